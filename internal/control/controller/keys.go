package controller

import (
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/peer"
)

// fetch waits for an answer that another controller holds.
type fetch struct {
	until time.Duration
	left  int // controllers that have not said
	do    func(*idempotency.Response)
}

// claimed takes the claims of an edge.
func (c *Controller) claimed(p *remote, f *peer.Frame) {
	for _, r := range f.Claims {
		if len(c.membership.Voters) == 0 {
			p.link.Send(&peer.Frame{Outcomes: []peer.ClaimOutcome{{Token: r.Token, Outcome: idempotency.OutcomeUndecided}}})
			continue
		}
		r.ResponseHolder = c.set.IP
		c.claimers[r.Token] = p
		c.askStores(c.coordinator.Start(r, c.now()))
	}
}

// keyFrame takes what a frame says of claims.
func (c *Controller) keyFrame(p *remote, f *peer.Frame) {
	now := c.now()
	c.claimed(p, f)
	for _, r := range f.GrantRequests {
		c.judge(r, f.Epoch, func(v idempotency.GrantReply, holder idempotency.Record) {
			answer := peer.GrantReply{Token: r.Token, Reply: v}
			if v == idempotency.ReplyConflict {
				answer.Holder = &holder
			}
			p.link.Send(&peer.Frame{GrantReplies: []peer.GrantReply{answer}})
		})
	}
	for _, v := range f.GrantReplies {
		holder := idempotency.Record{}
		if v.Holder != nil {
			holder = *v.Holder
		}
		c.verdict(p.standing.Identity, v.Token, v.Reply, holder)
	}
	for _, r := range f.Revocations {
		if p.edge { // an edge's claim was put to all
			c.void(r)
		} else {
			c.voidHere(r)
		}
	}
	for _, r := range f.Responses {
		if r.Response != nil {
			r.ResponseHolder = c.set.IP
			c.claimStore.Complete(r, now)
			if p.edge {
				c.store.record(r, now, nil)
			} else { // one that leaves hands it on: it is kept until the disk takes it
				c.put(&storage.Batch{Claims: []idempotency.Record{r}}, nil)
			}
		}
	}
	for _, r := range f.ResponseQueries {
		r.Response = c.claimStore.Response(r.Key, r.Token)
		p.link.Send(&peer.Frame{ResponseReplies: []idempotency.Record{r}})
	}
	for _, r := range f.ResponseReplies {
		if w, ok := c.fetches[r.Token]; ok {
			if w.left--; r.Response != nil || w.left <= 0 {
				delete(c.fetches, r.Token)
				w.do(r.Response)
			}
		}
	}
	if f.CopyRequest {
		c.sendCopy(p, f.Epoch)
	}
	if f.ClaimsChunk != nil {
		c.takeCopy(p, f.ClaimsChunk, f.Epoch)
	}
	if f.SyncRequest != 0 {
		c.put(&storage.Batch{}, func(bool) { p.link.Send(&peer.Frame{SyncReply: f.SyncRequest}) })
	}
	if f.SyncReply != 0 {
		c.departure.synced = true
	}
}

// judge puts a claim to the claim store here; a grant is told once it is durable. One that is asked under a membership
// older than the newest that is durable here is granted nothing: the entrants have copied, or are copying, what this store
// held before.
func (c *Controller) judge(r idempotency.Record, epoch uint64, tell func(idempotency.GrantReply, idempotency.Record)) {
	if epoch < c.epoch {
		tell(idempotency.ReplyStaleEpoch, idempotency.Record{})
		return
	}
	v, holder, store := c.claimStore.Grant(r, c.now())
	if !store {
		tell(v, holder)
		return
	}
	c.store.record(r, c.now(), func(ok bool) {
		if !ok { // the disk refuses: what isn't durable is not granted, and not remembered as if it were
			c.claimStore.MarkFailed(r.Key, r.Token)
		}
		if !ok || !c.claimStore.MarkDurable(r.Key, r.Token) {
			v = idempotency.ReplyUnavailable
		}
		tell(v, holder)
	})
}

// askStores puts claims to claim stores.
func (c *Controller) askStores(asks []idempotency.GrantRequest) {
	for _, a := range asks {
		if a.To == c.identity {
			r := a.Record
			c.judge(r, c.membership.Epoch, func(v idempotency.GrantReply, holder idempotency.Record) { c.verdict(a.To, r.Token, v, holder) })
		} else if p := c.replicaAt(a.To); p != nil {
			p.link.Send(&peer.Frame{GrantRequests: []idempotency.Record{a.Record}, Epoch: c.membership.Epoch})
		} else {
			c.verdict(a.To, a.Record.Token, idempotency.ReplyUnavailable, idempotency.Record{})
		}
	}
}

func (c *Controller) verdict(from string, token idempotency.Token, v idempotency.GrantReply, holder idempotency.Record) {
	asks, done := c.coordinator.HandleReply(from, token, v, holder, c.now())
	c.askStores(asks)
	if done != nil {
		c.ruled(*done)
	}
}

// ruled tells the claimer, who alone withdraws what doesn't stand: two coordinators may be asked about one claim, and only
// the claimer knows which of them it heard. Where another claim holds the key, its answer goes along, if there is one.
func (c *Controller) ruled(o idempotency.Result) {
	c.metrics.Claims.WithLabelValues(o.Outcome.String()).Inc()
	p := c.claimers[o.Token]
	delete(c.claimers, o.Token)
	tell := func(a *idempotency.Response) {
		if p != nil {
			p.link.Send(&peer.Frame{Outcomes: []peer.ClaimOutcome{{Token: o.Token, Outcome: o.Outcome, Response: a}}})
		}
	}
	if o.Outcome != idempotency.OutcomeConflict {
		tell(nil)
		return
	}
	h := o.Holder
	if a := c.claimStore.Response(h.Key, h.Token); a != nil {
		tell(a)
		return
	}
	// The answer is where the claimer's controller was when it came, mostly at the claim store's Home: all are asked at once.
	asked := 0
	do := c.also(h.Token, tell)
	for _, p := range c.peers {
		p.link.Send(&peer.Frame{ResponseQueries: []idempotency.Record{{Key: h.Key, Token: h.Token}}})
		asked++
	}
	if asked == 0 {
		tell(nil)
		return
	}
	c.fetches[h.Token] = &fetch{until: c.now() + fetchLimit, left: asked, do: do}
}

// also lets one fetch serve all that wait for the same answer.
func (c *Controller) also(t idempotency.Token, tell func(*idempotency.Response)) func(*idempotency.Response) {
	if w, ok := c.fetches[t]; ok {
		return func(a *idempotency.Response) { w.do(a); tell(a) }
	}
	return tell
}

// void withdraws a claim under which nothing was run, or ever will be.
func (c *Controller) void(r idempotency.Record) {
	for _, ip := range membership.Addresses(c.membership.All()) {
		if ip == c.set.IP {
			c.voidHere(r)
		} else if p := c.peers[ip]; p != nil {
			p.link.Send(&peer.Frame{Revocations: []idempotency.Record{{Key: r.Key, Token: r.Token}}})
		}
	}
}

func (c *Controller) voidHere(r idempotency.Record) {
	if record, store := c.claimStore.Revoke(r.Key, r.Token, c.now()); store {
		c.store.record(record, c.now(), nil)
	}
}

// sendCopy hands an entrant all claims that this store holds, once it grants nothing under the former membership.
func (c *Controller) sendCopy(p *remote, epoch uint64) {
	if c.membership.Epoch != epoch || c.epoch < epoch {
		return // it asks again
	}
	if c.claimStore.Recovering() || !slices.Contains(c.membership.Voters, c.identity) {
		return
	}
	var part []idempotency.Record
	c.claimStore.EachClaim(func(r idempotency.Record) {
		if part = append(part, r); len(part) == copyChunk {
			p.link.Send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Records: part}, Epoch: epoch})
			part = nil
		}
	})
	p.link.Send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Records: part, Last: true}, Epoch: epoch})
}

// takeCopy takes a part of another store. Once a majority of the former voters is here and durable, this one grants.
func (c *Controller) takeCopy(p *remote, part *peer.ClaimsChunk, epoch uint64) {
	if !c.entering() || epoch != c.membership.Epoch || part.Recovering {
		return
	}
	records := make([]idempotency.Record, len(part.Records))
	for i, r := range part.Records {
		records[i] = c.claimStore.Import(r, c.now())
	}
	c.put(&storage.Batch{Claims: records}, nil) // kept until the disk takes it, before what says that the store is whole
	if !part.Last {
		return
	}
	c.copied[p.standing.Identity] = true
	former := consensus.Membership{Voters: c.membership.Voters}
	if !former.Quorum(func(id string) bool { return c.copied[id] }) {
		return
	}
	no := false
	c.put(&storage.Batch{Recovering: &no}, func(bool) {
		if c.membership.Epoch != epoch || !c.claimStore.Recovering() {
			return // the change is over meanwhile, or this was said before
		}
		c.claimStore.FinishRecovery()
		_ = c.logger.Log("event", "claims copied", "keys", c.claimStore.Len(), "epoch", epoch)
		c.tellStanding()
	})
}
