package proxy

import (
	"slices"
	"sync"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/peer"
)

// claims are those that this edge has asked for and not heard of.
type claims struct {
	mu          sync.Mutex
	next        uint64
	open        map[idempotency.Token]*pendingClaim
	kept        []timedRecord // of the last window, oldest first: a controller that loses its disk is given them again
	keptBytes   int           // bytes of their bodies
	revocations []timedRecord // claims that were withdrawn lately
}

// revocationRepeat is how long a withdrawal is repeated: as long as a core that lost power takes to be back.
const revocationRepeat = 4 * time.Second

type timedRecord struct {
	at     time.Duration
	record idempotency.Record
}

// maxKeptBytes bounds the memory that kept answers take: an edge has a small machine.
const maxKeptBytes = 8 << 20

type pendingClaim struct {
	record    idempotency.Record
	requested int // controllers that were asked and have not ruled
	outcome   chan peer.ClaimOutcome
}

// claimHedge is how long the controller has before another is asked, too: it may have died, and a cut is heard
// only by its silence.
const claimHedge = 60 * time.Millisecond

// acquireClaim asks for the right to run a key's operation. If no controller can be reached early, or none answers clearly in
// time, it is withdrawn: nothing was run under it, and nothing ever will be.
func (p *Proxy) acquireClaim(key idempotency.Key, early, limit time.Duration) (idempotency.Token, peer.ClaimOutcome) {
	k := &p.claims
	k.mu.Lock()
	k.next++
	r := idempotency.Record{Key: key, Token: idempotency.Token{Incarnation: p.incarnation, Sequence: k.next}}
	one := &pendingClaim{record: r, outcome: make(chan peer.ClaimOutcome, 1)}
	k.open[r.Token] = one
	k.mu.Unlock()
	hedge := claimHedge
	if !k.requestGrant(p.session.send, one) {
		hedge = 0
	}
	second := time.AfterFunc(hedge, func() { k.requestGrant(p.session.sendSecondary(p), one) })
	defer second.Stop()
	defer func() {
		k.mu.Lock()
		delete(k.open, r.Token)
		k.mu.Unlock()
	}()
	began := p.now()
	timer := time.NewTimer(min(early, limit))
	defer timer.Stop()
	for {
		select {
		case ruling := <-one.outcome:
			if ruling.Outcome != idempotency.OutcomeGranted {
				p.revokeClaim(r.Key, r.Token)
			}
			return r.Token, ruling
		case <-p.abort:
			p.revokeClaim(r.Key, r.Token)
			return r.Token, peer.ClaimOutcome{Token: r.Token, Outcome: idempotency.OutcomeUndecided}
		case <-timer.C:
			if gone := p.now() - began; gone < limit && p.session.connected() {
				timer.Reset(limit - gone) // somebody is at it
				continue
			}
			p.revokeClaim(r.Key, r.Token)
			return r.Token, peer.ClaimOutcome{Token: r.Token, Outcome: idempotency.OutcomeUndecided}
		}
	}
}

// revokeClaim voids a claim under which nothing was run. It is said again for a while: a core that could not rule on the
// claim may not hear of its end either, and whoever holds it would turn away the client's next try.
func (p *Proxy) revokeClaim(key idempotency.Key, token idempotency.Token) {
	r := idempotency.Record{Key: key, Token: token}
	p.session.sendBoth(&peer.Frame{Revocations: []idempotency.Record{r}})
	p.claims.mu.Lock()
	defer p.claims.mu.Unlock()
	p.claims.revocations = append(p.claims.revocations, timedRecord{p.now(), r})
}

// resendRevocations repeats what was withdrawn lately.
func (k *claims) resendRevocations(c *Proxy) {
	k.mu.Lock()
	now := c.now()
	k.revocations = slices.DeleteFunc(k.revocations, func(v timedRecord) bool { return now-v.at > revocationRepeat })
	f := &peer.Frame{}
	for _, v := range k.revocations {
		f.Revocations = append(f.Revocations, v.record)
	}
	k.mu.Unlock()
	if len(f.Revocations) > 0 {
		c.session.sendBoth(f)
	}
}

// completeClaim has the answer of a claim's run kept, for repeats.
func (p *Proxy) completeClaim(key idempotency.Key, token idempotency.Token, a *idempotency.Response) {
	r := idempotency.Record{Key: key, Token: token, Response: a}
	p.session.send(&peer.Frame{Responses: []idempotency.Record{r}})
	k, now, window := &p.claims, p.now(), p.settings.Seconds("key_window_s", 60)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept, k.keptBytes = append(k.kept, timedRecord{now, r}), k.keptBytes+len(a.Body)
	n := 0
	for ; n < len(k.kept) && (now-k.kept[n].at > window || k.keptBytes > maxKeptBytes); n++ {
		k.keptBytes -= len(k.kept[n].record.Response.Body)
	}
	if n > 0 {
		k.kept = slices.Delete(k.kept, 0, n)
	}
}

// sendKept gives a controller whose disk came back empty the answers that this edge still holds.
func (k *claims) sendKept(link *peer.Link) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := &peer.Frame{}
	for i, a := range k.kept {
		if f.Responses = append(f.Responses, a.record); len(f.Responses) == 100 || i == len(k.kept)-1 {
			link.Send(f)
			f = &peer.Frame{}
		}
	}
}

// requestGrant asks one controller more, unless the claim is decided.
func (k *claims) requestGrant(send func(*peer.Frame) bool, one *pendingClaim) bool {
	k.mu.Lock()
	if k.open[one.record.Token] == nil {
		k.mu.Unlock()
		return true
	}
	one.requested++
	k.mu.Unlock()
	if send(&peer.Frame{Claims: []idempotency.Record{one.record}}) {
		return true
	}
	k.mu.Lock()
	one.requested--
	k.mu.Unlock()
	return false
}

// handleOutcome takes a controller's word. That one could not decide it matters only once no other is asked: the first to decide
// is believed, and then nobody is asked again.
func (k *claims) handleOutcome(r peer.ClaimOutcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	one := k.open[r.Token]
	if one == nil {
		return
	}
	one.requested--
	if r.Outcome == idempotency.OutcomeUndecided && one.requested > 0 {
		return
	}
	delete(k.open, r.Token)
	one.outcome <- r // it has room for the one ruling
}

// resendPending puts open claims to a new controller: the former may have died with them.
func (k *claims) resendPending(c *Proxy) {
	k.resendRevocations(c)
	k.mu.Lock()
	var all []*pendingClaim
	for _, one := range k.open {
		all = append(all, one)
	}
	k.mu.Unlock()
	for _, one := range all {
		k.requestGrant(c.session.send, one)
	}
}
