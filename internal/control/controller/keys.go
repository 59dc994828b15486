package controller

import (
	"slices"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/platform/peer"
	"mulleinwood/internal/platform/storage"
)

// fetch waits for an answer that another controller holds.
type fetch struct {
	until time.Duration
	left  int // controllers that have not said
	do    func(*idempotency.Answer)
}

const copyChunk = 2000

// claimed takes the claims of an edge.
func (x *Exchange) claimed(p *remote, f *peer.Frame) {
	for _, r := range f.Claims {
		if x.office == nil || x.draining {
			p.link.Send(&peer.Frame{Rulings: []peer.Ruling{{Token: r.Token, Ruling: idempotency.Refused}}})
			continue
		}
		r.Home = x.set.IP
		x.claimers[r.Token] = p
		x.askLedgers(x.office.Open(r, x.now()))
	}
}

// keyFrame takes what a frame says of claims.
func (x *Exchange) keyFrame(p *remote, f *peer.Frame) {
	now := x.now()
	x.claimed(p, f)
	for _, r := range f.Asks {
		x.judge(r, func(v idempotency.Verdict, holder idempotency.Record) {
			answer := peer.Verdict{Token: r.Token, Verdict: v}
			if v == idempotency.Held {
				answer.Holder = &holder
			}
			p.link.Send(&peer.Frame{Verdicts: []peer.Verdict{answer}})
		})
	}
	for _, v := range f.Verdicts {
		holder := idempotency.Record{}
		if v.Holder != nil {
			holder = *v.Holder
		}
		x.verdict(p.ip, v.Token, v.Verdict, holder)
	}
	for _, r := range f.Voids {
		if p.edge { // an edge's claim was put to all
			x.void(r, x.members)
		} else {
			x.voidHere(r)
		}
	}
	for _, r := range f.Done {
		if r.Answer != nil {
			r.Home = x.set.IP
			x.ledger.Done(r, now)
			x.store.record(r, now, nil)
		}
	}
	for _, r := range f.Fetch {
		r.Answer = x.ledger.Answer(r.Key, r.Token)
		p.link.Send(&peer.Frame{Fetched: []idempotency.Record{r}})
	}
	for _, r := range f.Fetched {
		if w, ok := x.fetches[r.Token]; ok {
			if w.left--; r.Answer != nil || w.left <= 0 {
				delete(x.fetches, r.Token)
				w.do(r.Answer)
			}
		}
	}
	if f.Copy {
		x.sendCopy(p)
	}
	if f.Copied != nil {
		x.copied(p, f.Copied)
	}
}

// judge puts a claim to the ledger here; a grant is told once it is durable.
func (x *Exchange) judge(r idempotency.Record, tell func(idempotency.Verdict, idempotency.Record)) {
	v, holder, store := x.ledger.Claim(r, x.now())
	if !store {
		tell(v, holder)
		return
	}
	x.store.record(r, x.now(), func(ok bool) {
		if !ok { // the disk refuses: what isn't durable is not granted, and not remembered as if it were
			x.ledger.Failed(r.Key, r.Token)
		}
		if !ok || !x.ledger.Stored(r.Key, r.Token) {
			v = idempotency.Unable
		}
		tell(v, holder)
	})
}

// askLedgers puts claims to ledgers.
func (x *Exchange) askLedgers(asks []idempotency.Ask) {
	for _, a := range asks {
		if a.To == x.set.IP {
			r := a.Record
			x.judge(r, func(v idempotency.Verdict, holder idempotency.Record) { x.verdict(x.set.IP, r.Token, v, holder) })
		} else if p := x.peers[a.To]; p != nil {
			p.link.Send(&peer.Frame{Asks: []idempotency.Record{a.Record}})
		} else {
			x.verdict(a.To, a.Record.Token, idempotency.Unable, idempotency.Record{})
		}
	}
}

func (x *Exchange) verdict(from string, token idempotency.Token, v idempotency.Verdict, holder idempotency.Record) {
	if x.office == nil {
		return
	}
	asks, done := x.office.Verdict(from, token, v, holder, x.now())
	x.askLedgers(asks)
	if done != nil {
		x.ruled(*done)
	}
}

// ruled tells the claimer, who alone withdraws what doesn't stand: two offices may be asked about one claim, and only
// the claimer knows which of them it heard. Where another claim holds the key, its answer goes along, if there is one.
func (x *Exchange) ruled(o idempotency.Outcome) {
	x.tally.Claims.WithLabelValues(o.Ruling.String()).Inc()
	p := x.claimers[o.Token]
	delete(x.claimers, o.Token)
	tell := func(a *idempotency.Answer) {
		if p != nil {
			p.link.Send(&peer.Frame{Rulings: []peer.Ruling{{Token: o.Token, Ruling: o.Ruling, Answer: a}}})
		}
	}
	if o.Ruling != idempotency.Taken {
		tell(nil)
		return
	}
	h := o.Holder
	if a := x.ledger.Answer(h.Key, h.Token); a != nil {
		tell(a)
		return
	}
	// The answer is where the claimer's home was when it came, mostly at the ledger's Home: all are asked at once.
	asked := 0
	do := x.also(h.Token, tell)
	for _, p := range x.peers {
		p.link.Send(&peer.Frame{Fetch: []idempotency.Record{{Key: h.Key, Token: h.Token}}})
		asked++
	}
	if asked == 0 {
		tell(nil)
		return
	}
	x.fetches[h.Token] = &fetch{until: x.now() + fetchLimit, left: asked, do: do}
}

// also lets one fetch serve all that wait for the same answer.
func (x *Exchange) also(t idempotency.Token, tell func(*idempotency.Answer)) func(*idempotency.Answer) {
	if w, ok := x.fetches[t]; ok {
		return func(a *idempotency.Answer) { w.do(a); tell(a) }
	}
	return tell
}

// void withdraws a claim under which nothing was run, or ever will be.
func (x *Exchange) void(r idempotency.Record, at []string) {
	for _, ip := range at {
		if ip == x.set.IP {
			x.voidHere(r)
		} else if p := x.peers[ip]; p != nil {
			p.link.Send(&peer.Frame{Voids: []idempotency.Record{{Key: r.Key, Token: r.Token}}})
		}
	}
}

func (x *Exchange) voidHere(r idempotency.Record) {
	if line, store := x.ledger.Void(r.Key, r.Token, x.now()); store {
		x.store.record(line, x.now(), nil)
	}
}

// sendCopy hands a blank ledger all that this one holds.
func (x *Exchange) sendCopy(p *remote) {
	var part []idempotency.Record
	x.ledger.Each(func(r idempotency.Record) {
		if part = append(part, r); len(part) == copyChunk {
			p.link.Send(&peer.Frame{Copied: &peer.Copied{Records: part}})
			part = nil
		}
	})
	p.link.Send(&peer.Frame{Copied: &peer.Copied{Records: part, Last: true, Blank: x.ledger.Blank()}})
}

// copied takes a part of another ledger. Once enough of them are here and durable, this ledger grants again.
func (x *Exchange) copied(p *remote, c *peer.Copied) {
	if !x.ledger.Blank() || x.member == nil {
		return
	}
	for _, r := range c.Records {
		x.store.record(x.ledger.Copy(r, x.now()), x.now(), nil)
	}
	if !c.Last {
		return
	}
	x.copies[p.ip] = c.Blank
	sound := 0
	for _, blank := range x.copies {
		if !blank {
			sound++
		}
	}
	// Enough are all that can have kept their disks when as many as are borne lost theirs: any claim that stands is held
	// by one of them. Where all are blank, no claim ever stood.
	if sound < len(x.members)-x.set.Tolerance.Machines && (sound > 0 || len(x.copies) < len(x.members)-1) {
		return
	}
	no := false
	x.put(&storage.Batch{LedgerBlank: &no}, func(ok bool) {
		if ok && x.ledger.Blank() {
			x.ledger.Restored()
			_ = x.logger.Log("event", "ledger restored", "keys", x.ledger.Len())
		}
	})
}

// askCopies asks the other ledgers for what they hold, while this one is blank.
func (x *Exchange) askCopies(now time.Duration) {
	if x.member == nil || !x.ledger.Blank() || now < x.nextCopy {
		return
	}
	x.nextCopy = now + time.Second
	for ip, p := range x.peers {
		if blank, copied := x.copies[ip]; slices.Contains(x.members, ip) && (!copied || blank) {
			p.link.Send(&peer.Frame{Copy: true})
		}
	}
}
