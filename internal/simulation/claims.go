package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mulleinwood/internal/control/idempotency"
)

// inOrder makes what comes out of a coordinator's map the same again from the same seed.
func inOrder(asks []idempotency.Ask, done []idempotency.Outcome) {
	slices.SortStableFunc(asks, func(a, b idempotency.Ask) int { return cmp.Compare(a.Record.Token.N, b.Record.Token.N) })
	slices.SortFunc(done, func(a, b idempotency.Outcome) int { return cmp.Compare(a.Token.N, b.Token.N) })
}

// judge puts a claim to a node's claim store; a grant is told once it is durable.
func (w *world) judge(n *node, r idempotency.Record, tell func(idempotency.Verdict, idempotency.Record)) {
	v, holder, store := n.claimStore.Claim(r, w.now)
	if !store {
		tell(v, holder)
		return
	}
	claimStore := n.claimStore
	if w.day.Fault == "grants before storing" {
		tell(v, holder)
	}
	w.persist(n, func(d *disk) { d.records = append(d.records, r) }, func(ok bool) {
		if !ok {
			claimStore.Failed(r.Key, r.Token)
		}
		if !ok || !claimStore.Stored(r.Key, r.Token) {
			v = idempotency.Unable
		}
		if w.day.Fault != "grants before storing" {
			tell(v, holder)
		}
	})
}

// ask puts claims to claim stores.
func (w *world) ask(n *node, asks []idempotency.Ask) {
	for _, a := range asks {
		to := slices.Index(w.names, a.To)
		r := a.Record
		verdict := func(v idempotency.Verdict, holder idempotency.Record) {
			more, done := n.coordinator.Verdict(a.To, r.Token, v, holder, w.now)
			w.ask(n, more)
			if done != nil {
				w.ruled(n, *done)
			}
		}
		if to == n.n {
			w.judge(n, r, verdict)
			continue
		}
		w.send(n.n, to, func() {
			w.judge(w.nodes[to], r, func(v idempotency.Verdict, holder idempotency.Record) {
				w.send(to, n.n, func() { verdict(v, holder) })
			})
		})
	}
}

func (w *world) ruled(n *node, o idempotency.Outcome) {
	if tell := n.claims[o.Token]; tell != nil {
		delete(n.claims, o.Token)
		tell(o.Ruling)
	}
}

// copyStores asks the others for what they hold, while a node's claim store is blank.
func (w *world) copyStores(n *node) {
	for _, o := range w.nodes {
		if o == n {
			continue
		}
		w.send(n.n, o.n, func() {
			blank := o.claimStore.Blank()
			var all []idempotency.Record
			o.claimStore.Each(func(r idempotency.Record) { all = append(all, r) })
			w.send(o.n, n.n, func() {
				if !n.claimStore.Blank() {
					return
				}
				var kept []idempotency.Record
				for _, r := range all {
					kept = append(kept, n.claimStore.Copy(r, w.now))
				}
				n.copies[o.n] = blank
				sound := 0
				for _, b := range n.copies {
					if !b {
						sound++
					}
				}
				enough := sound >= len(w.nodes)-w.day.Lost
				if w.day.Fault == "restored from one" {
					enough = sound >= 1
				}
				claimStore := n.claimStore
				w.persist(n, func(d *disk) {
					d.records = append(d.records, kept...)
					if enough {
						d.blank = false
					}
				}, func(ok bool) {
					if ok && enough {
						claimStore.Restored()
					}
				})
			})
		})
	}
}

// clients try operations at an edge: new keys, and keys that were tried before, here or elsewhere.
func (w *world) clients(e *edge) {
	if e.frozen > w.now {
		return
	}
	if w.rng.IntN(6) == 0 {
		key := idempotency.KeyOf("t", fmt.Sprint(w.rng.IntN(40), "-", w.now/(4*time.Second)))
		if w.tried[key] {
			w.result.Repeats++
		}
		w.tried[key] = true
		w.next++
		r := idempotency.Record{Key: key, Token: idempotency.Token{Life: uint64(e.n + 1), N: w.next}}
		e.open[r.Token] = &claim{record: r, since: w.now}
		w.claim(e, r, w.controllerOr(e, w.rng.IntN(len(w.nodes))))
	}
	var open []*claim
	for _, c := range e.open {
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b *claim) int { return cmp.Compare(a.record.Token.N, b.record.Token.N) })
	for _, c := range open {
		switch age := w.now - c.since; {
		case age > giveUp:
			w.withdraw(e, c)
		case age > edgeFor && !c.second:
			c.second = true
			w.claim(e, c.record, (w.controllerOr(e, 0)+1+w.rng.IntN(len(w.nodes)-1))%len(w.nodes))
		}
	}
	e.voids = slices.DeleteFunc(e.voids, func(v void) bool { return w.now-v.at > voidFor })
	for i := range e.voids {
		if v := &e.voids[i]; w.now-v.said > time.Second {
			v.said = w.now
			w.sayVoid(e, v.record)
		}
	}
}

// homeOr is the controller that an edge asks first.
func (w *world) controllerOr(e *edge, otherwise int) int {
	if e.controller == nowhere {
		return otherwise
	}
	return e.controller
}

// claim asks a controller for the right to run a key's operation.
func (w *world) claim(e *edge, r idempotency.Record, at int) {
	e.open[r.Token].asked++
	n := w.nodes[at]
	w.send(-1-e.n, at, func() {
		life := e.life
		n.claims[r.Token] = func(ruling idempotency.Ruling) {
			w.send(at, -1-e.n, func() {
				if e.life == life {
					w.heard(e, r, ruling)
				}
			})
		}
		w.ask(n, n.coordinator.Open(idempotency.Record{Key: r.Key, Token: r.Token, Home: n.name}, w.now))
	})
}

// heard takes a ruling as an edge does: the first to decide is believed.
func (w *world) heard(e *edge, r idempotency.Record, ruling idempotency.Ruling) {
	c := e.open[r.Token]
	if c == nil {
		return
	}
	if c.asked--; ruling == idempotency.Refused && c.asked > 0 {
		return
	}
	if ruling != idempotency.Stands {
		w.withdraw(e, c)
		return
	}
	delete(e.open, r.Token)
	if w.rng.IntN(10) == 0 { // the server proves that it didn't run
		e.voids = append(e.voids, void{r, w.now, 0})
		return
	}
	w.result.Runs++
	if w.runs[r.Key]++; w.runs[r.Key] > 1 {
		w.result.Broken = fmt.Sprintf("TWICE: a key runs twice, the second time at %s", w.now)
	}
	if w.day.Fault == "withdraws what ran" && w.rng.IntN(4) == 0 {
		e.voids = append(e.voids, void{r, w.now, 0})
	}
}

func (w *world) withdraw(e *edge, c *claim) {
	delete(e.open, c.record.Token)
	e.voids = append(e.voids, void{c.record, w.now, 0})
}

func (w *world) sayVoid(e *edge, r idempotency.Record) {
	for _, n := range w.nodes {
		w.send(-1-e.n, n.n, func() {
			if line, store := n.claimStore.Void(r.Key, r.Token, w.now); store {
				w.persist(n, func(d *disk) { d.records = append(d.records, line) }, func(bool) {})
			}
		})
	}
}
