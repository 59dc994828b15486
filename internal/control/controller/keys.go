package controller

import (
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/platform/peer"
	"mulleinwood/internal/platform/storage"
)

// fetch waits for an answer that another controller holds.
type fetch struct {
	until time.Duration
	left  int // controllers that have not said
	do    func(*idempotency.Answer)
}

// claimed takes the claims of an edge.
func (c *Controller) claimed(p *remote, f *peer.Frame) {
	for _, r := range f.Claims {
		if len(c.membership.Voters) == 0 {
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
		c.judge(r, f.Epoch, func(v idempotency.Verdict, holder idempotency.Record) {
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
		c.verdict(p.standing.Identity, v.Token, v.Verdict, holder)
	}
	for _, r := range f.Voids {
		if p.edge { // an edge's claim was put to all
			c.void(r)
		} else {
			c.voidHere(r)
		}
	}
	for _, r := range f.Done {
		if r.Answer != nil {
			r.Home = c.set.IP
			c.claimStore.Done(r, now)
			if p.edge {
				c.store.record(r, now, nil)
			} else { // one that leaves hands it on: it is kept until the disk takes it
				c.put(&storage.Batch{Records: []idempotency.Record{r}}, nil)
			}
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
		c.sendCopy(p, f.Epoch)
	}
	if f.Copied != nil {
		c.takeCopy(p, f.Copied, f.Epoch)
	}
	if f.Sync != 0 {
		c.put(&storage.Batch{}, func(bool) { p.link.Send(&peer.Frame{Synced: f.Sync}) })
	}
	if f.Synced != 0 {
		c.departure.synced = true
	}
}

// judge puts a claim to the claim store here; a grant is told once it is durable. One that is asked under a membership
// older than the newest that is durable here is granted nothing: the entrants have copied, or are copying, what this store
// held before.
func (c *Controller) judge(r idempotency.Record, epoch uint64, tell func(idempotency.Verdict, idempotency.Record)) {
	if epoch < c.epoch {
		tell(idempotency.Behind, idempotency.Record{})
		return
	}
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
		if a.To == c.identity {
			r := a.Record
			c.judge(r, c.membership.Epoch, func(v idempotency.Verdict, holder idempotency.Record) { c.verdict(a.To, r.Token, v, holder) })
		} else if p := c.replicaAt(a.To); p != nil {
			p.link.Send(&peer.Frame{Asks: []idempotency.Record{a.Record}, Epoch: c.membership.Epoch})
		} else {
			c.verdict(a.To, a.Record.Token, idempotency.Unable, idempotency.Record{})
		}
	}
}

func (c *Controller) verdict(from string, token idempotency.Token, v idempotency.Verdict, holder idempotency.Record) {
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
func (c *Controller) void(r idempotency.Record) {
	for _, ip := range membership.Addresses(c.membership.All()) {
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

// sendCopy hands an entrant all claims that this store holds, once it grants nothing under the former membership.
func (c *Controller) sendCopy(p *remote, epoch uint64) {
	if c.membership.Epoch != epoch || c.epoch < epoch {
		return // it asks again
	}
	if c.claimStore.Blank() || !slices.Contains(c.membership.Voters, c.identity) {
		return
	}
	var part []idempotency.Record
	c.claimStore.Each(func(r idempotency.Record) {
		if part = append(part, r); len(part) == copyChunk {
			p.link.Send(&peer.Frame{Copied: &peer.Copied{Records: part}, Epoch: epoch})
			part = nil
		}
	})
	p.link.Send(&peer.Frame{Copied: &peer.Copied{Records: part, Last: true}, Epoch: epoch})
}

// takeCopy takes a part of another store. Once a majority of the former voters is here and durable, this one grants.
func (c *Controller) takeCopy(p *remote, part *peer.Copied, epoch uint64) {
	if !c.entering() || epoch != c.membership.Epoch || part.Blank {
		return
	}
	records := make([]idempotency.Record, len(part.Records))
	for i, r := range part.Records {
		records[i] = c.claimStore.Copy(r, c.now())
	}
	c.put(&storage.Batch{Records: records}, nil) // kept until the disk takes it, before what says that the store is whole
	if !part.Last {
		return
	}
	c.copied[p.standing.Identity] = true
	former := consensus.Membership{Voters: c.membership.Voters}
	if !former.Quorum(func(id string) bool { return c.copied[id] }) {
		return
	}
	no := false
	c.put(&storage.Batch{LedgerBlank: &no}, func(bool) {
		if c.membership.Epoch != epoch || !c.claimStore.Blank() {
			return // the change is over meanwhile, or this was said before
		}
		c.claimStore.Restored()
		_ = c.logger.Log("event", "claims copied", "keys", c.claimStore.Len(), "epoch", epoch)
		c.tellStanding()
	})
}
