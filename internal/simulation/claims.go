package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mulleinwood/internal/control/idempotency"
)

// judge puts a claim to a node's claim store; a grant is told once it is durable. One that is asked under a membership
// older than the newest that is durable here is granted nothing.
func (w *world) judge(n *node, r idempotency.Record, epoch uint64, tell func(idempotency.GrantReply, idempotency.Record)) {
	if w.fenced(n, epoch) {
		tell(idempotency.ReplyStaleEpoch, idempotency.Record{})
		return
	}
	v, holder, store := n.claimStore.Grant(r, w.now)
	if !store {
		tell(v, holder)
		return
	}
	if w.day.Fault == "grants before storing" {
		tell(v, holder)
	}
	w.persist(n, func(d *disk) { d.records = append(d.records, r) }, func(ok bool) {
		if !ok {
			n.claimStore.MarkFailed(r.Key, r.Token)
		}
		if !ok || !n.claimStore.MarkDurable(r.Key, r.Token) {
			v = idempotency.ReplyUnavailable
		}
		if w.day.Fault != "grants before storing" {
			w.auditGrant(n, v)
			tell(v, holder)
		}
	})
}

// fenced tells whether a store grants nothing under an epoch.
func (w *world) fenced(n *node, epoch uint64) bool {
	switch w.day.Fault {
	case "a store without the epoch fence":
		return false
	case "a removed member grants":
		return epoch < n.epoch && n.membership.Contains(n.identity)
	}
	return epoch < n.epoch
}

// ask puts claims to claim stores. A verdict counts for the replica that the store's machine is when it tells it.
func (w *world) ask(n *node, asks []idempotency.GrantRequest) {
	for _, a := range asks {
		r, epoch := a.Record, n.membership.Epoch
		if a.To == n.identity {
			w.judge(n, r, epoch, func(v idempotency.GrantReply, holder idempotency.Record) { w.verdict(n, a.To, r.Token, v, holder) })
			continue
		}
		to := w.replicaAt(n, a.To)
		if to == nil {
			w.verdict(n, a.To, r.Token, idempotency.ReplyUnavailable, idempotency.Record{})
			continue
		}
		w.send(n.n, to.n, func() {
			w.judge(to, r, epoch, func(v idempotency.GrantReply, holder idempotency.Record) {
				from := to.identity
				w.send(to.n, n.n, func() { w.verdict(n, from, r.Token, v, holder) })
			})
		})
	}
}

func (w *world) verdict(n *node, from string, token idempotency.Token, v idempotency.GrantReply, holder idempotency.Record) {
	more, done := n.coordinator.HandleReply(from, token, v, holder)
	w.ask(n, more)
	if done != nil {
		w.ruled(n, *done)
	}
}

func (w *world) ruled(n *node, o idempotency.Result) {
	if tell := n.claims[o.Token]; tell != nil {
		delete(n.claims, o.Token)
		tell(o.Outcome)
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
		r := idempotency.Record{Key: key, Token: idempotency.Token{Incarnation: uint64(e.n + 1), Sequence: w.next}}
		e.open[r.Token] = &claim{record: r, since: w.now}
		w.claim(e, r, w.controllerOr(e, w.some()))
	}
	var open []*claim
	for _, c := range e.open {
		open = append(open, c)
	}
	slices.SortFunc(open, func(a, b *claim) int { return cmp.Compare(a.record.Token.Sequence, b.record.Token.Sequence) })
	for _, c := range open {
		switch age := w.now - c.since; {
		case age > giveUp:
			w.withdraw(e, c)
		case age > edgeFor && !c.second:
			c.second = true
			w.claim(e, c.record, w.another(w.controllerOr(e, nowhere)))
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
		n.claims[r.Token] = func(ruling idempotency.Outcome) {
			w.send(at, -1-e.n, func() {
				if e.life == life {
					w.heard(e, r, ruling)
				}
			})
		}
		if len(n.membership.Voters) == 0 {
			w.ruled(n, idempotency.Result{Token: r.Token, Outcome: idempotency.OutcomeUndecided})
			return
		}
		w.ask(n, n.coordinator.Start(idempotency.Record{Key: r.Key, Token: r.Token, ResponseHolder: n.name}, w.now))
	})
}

// heard takes a ruling as an edge does: the first to decide is believed.
func (w *world) heard(e *edge, r idempotency.Record, ruling idempotency.Outcome) {
	c := e.open[r.Token]
	if c == nil {
		return
	}
	if c.asked--; ruling == idempotency.OutcomeUndecided && c.asked > 0 {
		return
	}
	if ruling != idempotency.OutcomeGranted {
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
	w.books.lastRun = w.now
	w.later(time.Duration(20+w.rng.IntN(60))*time.Millisecond, func() { w.keepAnswer(e, r) })
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
			if line, store := n.claimStore.Revoke(r.Key, r.Token, w.now); store {
				w.persist(n, func(d *disk) { d.records = append(d.records, line) }, func(bool) {})
			}
		})
	}
}
