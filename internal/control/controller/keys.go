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
func (c *Controller) claimed(p *remote, f *peer.Frame) {
	for _, r := range f.Claims {
		if c.coordinator == nil || c.draining {
			p.link.Send(&peer.Frame{Rulings: []peer.Ruling{{Token: r.Token, Ruling: idempotency.Refused}}})
			continue
		}
		r.Home = c.set.IP
		c.claimers[r.Token] = p
		c.askStores(c.coordinator.Open(r, c.now()))
	}
}

// keyFrame takes what a frame says of claims.
func (c *Controller) keyFrame(p *remote, f *peer.Frame) {
	now := c.now()
	c.claimed(p, f)
	for _, r := range f.Asks {
		c.judge(r, func(v idempotency.Verdict, holder idempotency.Record) {
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
		c.verdict(p.ip, v.Token, v.Verdict, holder)
	}
	for _, r := range f.Voids {
		if p.edge { // an edge's claim was put to all
			c.void(r, c.members)
		} else {
			c.voidHere(r)
		}
	}
	for _, r := range f.Done {
		if r.Answer != nil {
			r.Home = c.set.IP
			c.claimStore.Done(r, now)
			c.store.record(r, now, nil)
		}
	}
	for _, r := range f.Fetch {
		r.Answer = c.claimStore.Answer(r.Key, r.Token)
		p.link.Send(&peer.Frame{Fetched: []idempotency.Record{r}})
	}
	for _, r := range f.Fetched {
		if w, ok := c.fetches[r.Token]; ok {
			if w.left--; r.Answer != nil || w.left <= 0 {
				delete(c.fetches, r.Token)
				w.do(r.Answer)
			}
		}
	}
	if f.Copy {
		c.sendCopy(p)
	}
	if f.Copied != nil {
		c.copied(p, f.Copied)
	}
}

// judge puts a claim to the claim store here; a grant is told once it is durable.
func (c *Controller) judge(r idempotency.Record, tell func(idempotency.Verdict, idempotency.Record)) {
	v, holder, store := c.claimStore.Claim(r, c.now())
	if !store {
		tell(v, holder)
		return
	}
	c.store.record(r, c.now(), func(ok bool) {
		if !ok { // the disk refuses: what isn't durable is not granted, and not remembered as if it were
			c.claimStore.Failed(r.Key, r.Token)
		}
		if !ok || !c.claimStore.Stored(r.Key, r.Token) {
			v = idempotency.Unable
		}
		tell(v, holder)
	})
}

// askStores puts claims to claim stores.
func (c *Controller) askStores(asks []idempotency.Ask) {
	for _, a := range asks {
		if a.To == c.set.IP {
			r := a.Record
			c.judge(r, func(v idempotency.Verdict, holder idempotency.Record) { c.verdict(c.set.IP, r.Token, v, holder) })
		} else if p := c.peers[a.To]; p != nil {
			p.link.Send(&peer.Frame{Asks: []idempotency.Record{a.Record}})
		} else {
			c.verdict(a.To, a.Record.Token, idempotency.Unable, idempotency.Record{})
		}
	}
}

func (c *Controller) verdict(from string, token idempotency.Token, v idempotency.Verdict, holder idempotency.Record) {
	if c.coordinator == nil {
		return
	}
	asks, done := c.coordinator.Verdict(from, token, v, holder, c.now())
	c.askStores(asks)
	if done != nil {
		c.ruled(*done)
	}
}

// ruled tells the claimer, who alone withdraws what doesn't stand: two coordinators may be asked about one claim, and only
// the claimer knows which of them it heard. Where another claim holds the key, its answer goes along, if there is one.
func (c *Controller) ruled(o idempotency.Outcome) {
	c.metrics.Claims.WithLabelValues(o.Ruling.String()).Inc()
	p := c.claimers[o.Token]
	delete(c.claimers, o.Token)
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
	if a := c.claimStore.Answer(h.Key, h.Token); a != nil {
		tell(a)
		return
	}
	// The answer is where the claimer's controller was when it came, mostly at the claim store's Home: all are asked at once.
	asked := 0
	do := c.also(h.Token, tell)
	for _, p := range c.peers {
		p.link.Send(&peer.Frame{Fetch: []idempotency.Record{{Key: h.Key, Token: h.Token}}})
		asked++
	}
	if asked == 0 {
		tell(nil)
		return
	}
	c.fetches[h.Token] = &fetch{until: c.now() + fetchLimit, left: asked, do: do}
}

// also lets one fetch serve all that wait for the same answer.
func (c *Controller) also(t idempotency.Token, tell func(*idempotency.Answer)) func(*idempotency.Answer) {
	if w, ok := c.fetches[t]; ok {
		return func(a *idempotency.Answer) { w.do(a); tell(a) }
	}
	return tell
}

// void withdraws a claim under which nothing was run, or ever will be.
func (c *Controller) void(r idempotency.Record, at []string) {
	for _, ip := range at {
		if ip == c.set.IP {
			c.voidHere(r)
		} else if p := c.peers[ip]; p != nil {
			p.link.Send(&peer.Frame{Voids: []idempotency.Record{{Key: r.Key, Token: r.Token}}})
		}
	}
}

func (c *Controller) voidHere(r idempotency.Record) {
	if record, store := c.claimStore.Void(r.Key, r.Token, c.now()); store {
		c.store.record(record, c.now(), nil)
	}
}

// sendCopy hands a blank claim store all that this one holds.
func (c *Controller) sendCopy(p *remote) {
	var part []idempotency.Record
	c.claimStore.Each(func(r idempotency.Record) {
		if part = append(part, r); len(part) == copyChunk {
			p.link.Send(&peer.Frame{Copied: &peer.Copied{Records: part}})
			part = nil
		}
	})
	p.link.Send(&peer.Frame{Copied: &peer.Copied{Records: part, Last: true, Blank: c.claimStore.Blank()}})
}

// copied takes a part of another claim store. Once enough of them are here and durable, this claim store grants again.
func (c *Controller) copied(p *remote, copied *peer.Copied) {
	if !c.claimStore.Blank() || c.member == nil {
		return
	}
	for _, r := range copied.Records {
		c.store.record(c.claimStore.Copy(r, c.now()), c.now(), nil)
	}
	if !copied.Last {
		return
	}
	c.copies[p.ip] = copied.Blank
	sound := 0
	for _, blank := range c.copies {
		if !blank {
			sound++
		}
	}
	// Enough are all that can have kept their disks when as many as are borne lost theirs: any claim that stands is held
	// by one of them. Where all are blank, no claim ever stood.
	if sound < len(c.members)-c.set.Tolerance.Machines && (sound > 0 || len(c.copies) < len(c.members)-1) {
		return
	}
	no := false
	c.put(&storage.Batch{LedgerBlank: &no}, func(ok bool) {
		if ok && c.claimStore.Blank() {
			c.claimStore.Restored()
			_ = c.logger.Log("event", "ledger restored", "keys", c.claimStore.Len())
		}
	})
}

// askCopies asks the other claim stores for what they hold, while this one is blank.
func (c *Controller) askCopies(now time.Duration) {
	if c.member == nil || !c.claimStore.Blank() || now < c.nextCopy {
		return
	}
	c.nextCopy = now + time.Second
	for ip, p := range c.peers {
		if blank, copied := c.copies[ip]; slices.Contains(c.members, ip) && (!copied || blank) {
			p.link.Send(&peer.Frame{Copy: true})
		}
	}
}
