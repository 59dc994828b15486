package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

const (
	// claimHedgeDelay is how long the own controller may take before another one is asked, too: it may have died, and a
	// network partition is noticed only by its silence.
	claimHedgeDelay = 60 * time.Millisecond
	// revocationRepeatDuration is how long a revocation is repeated: as long as controllers that lost power take to be back.
	revocationRepeatDuration = 4 * time.Second
	// maxStoredBytes bounds the memory that kept responses take: an edge has a small machine.
	maxStoredBytes = 8 << 20
	// maxStoredPerFrame is how many kept responses are sent in one frame.
	maxStoredPerFrame       = 100
	defaultKeyWindowSeconds = 60 // seconds, where the settings don't say
)

// claimSender is what the tracker needs of the links to controllers.
type claimSender interface {
	// send hands a message to the own controller, and reports whether there is one.
	send(m peer.Message) bool
	// sendSecondary hands a message to another controller, and reports whether one could be reached.
	sendSecondary(m peer.Message) bool
	// sendBoth hands a message to both, as far as there are links to them.
	sendBoth(m peer.Message)
	// connected reports whether there is a link to either.
	connected() bool
}

// claimTracker claims the keys of operations, and keeps what a controller may want to hear again.
type claimTracker struct {
	*node.Env
	controllers claimSender
	abort       <-chan struct{} // closed when requests that wait are refused

	mu          sync.Mutex
	sequence    uint64
	pending     map[idempotency.Token]*pendingClaim
	stored      []timedRecord // responses of the last window, oldest first: a controller that lost its disk gets them again
	storedBytes int           // of their bodies
	revocations []timedRecord // that are still repeated
}

type timedRecord struct {
	at     time.Duration
	record idempotency.Record
}

// pendingClaim waits for its outcome.
type pendingClaim struct {
	record     idempotency.Record
	unanswered int // controllers that were asked and have not answered
	outcome    chan peer.ClaimOutcome
}

func newClaimTracker(env *node.Env, controllers claimSender, abort <-chan struct{}) *claimTracker {
	return &claimTracker{Env: env, controllers: controllers, abort: abort, pending: map[idempotency.Token]*pendingClaim{}}
}

// acquire asks for the right to run a key's operation. If no controller can be reached after giveUpEarly, or none decides
// within limit or before ctx ends, the outcome is undecided. A claim that is not granted is revoked: nothing was run under
// it, and nothing ever will be.
func (t *claimTracker) acquire(ctx context.Context, key idempotency.Key, giveUpEarly, limit time.Duration) (idempotency.Record,
	peer.ClaimOutcome) {
	c := t.addClaim(key)
	defer t.removeClaim(c)
	hedgeDelay := claimHedgeDelay
	if !t.requestGrant(t.controllers.send, c) {
		hedgeDelay = 0
	}
	hedge := time.AfterFunc(hedgeDelay, func() { t.requestGrant(t.controllers.sendSecondary, c) })
	defer hedge.Stop()
	outcome := t.await(ctx, c, giveUpEarly, limit)
	if outcome.Outcome != idempotency.OutcomeGranted {
		t.revoke(c.record)
	}
	return c.record, outcome
}

func (t *claimTracker) addClaim(key idempotency.Key) *pendingClaim {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	token := idempotency.Token{Incarnation: t.Incarnation, Sequence: t.sequence}
	c := &pendingClaim{record: idempotency.Record{Key: key, Token: token}, outcome: make(chan peer.ClaimOutcome, 1)}
	t.pending[token] = c
	return c
}

func (t *claimTracker) removeClaim(c *pendingClaim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, c.record.Token)
}

// await waits for the outcome of a claim.
func (t *claimTracker) await(ctx context.Context, c *pendingClaim, giveUpEarly, limit time.Duration) peer.ClaimOutcome {
	undecided := peer.ClaimOutcome{Token: c.record.Token, Outcome: idempotency.OutcomeUndecided}
	startedAt := t.Now()
	timer := time.NewTimer(min(giveUpEarly, limit))
	defer timer.Stop()
	for {
		select {
		case outcome := <-c.outcome:
			return outcome
		case <-t.abort:
			return undecided
		case <-ctx.Done():
			return undecided
		case <-timer.C:
			passed := t.Now() - startedAt
			if passed >= limit || !t.controllers.connected() {
				return undecided
			}
			timer.Reset(limit - passed) // a controller is at it
		}
	}
}

// requestGrant asks one more controller, unless the claim is decided. It reports whether nobody else has to be asked for
// lack of a link.
func (t *claimTracker) requestGrant(send func(peer.Message) bool, c *pendingClaim) bool {
	if !t.countRequest(c) {
		return true
	}
	if send(peer.ClaimRequests{c.record}) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.unanswered--
	return false
}

// countRequest counts a controller that is asked, and reports whether the claim is still pending.
func (t *claimTracker) countRequest(c *pendingClaim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending[c.record.Token] == nil {
		return false
	}
	c.unanswered++
	return true
}

// handleOutcome takes a controller's word on a claim. That one could not decide it matters only once no other one is asked;
// the first to decide is believed, and then nobody is asked any more.
func (t *claimTracker) handleOutcome(outcome peer.ClaimOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.pending[outcome.Token]
	if c == nil {
		return
	}
	c.unanswered--
	if outcome.Outcome == idempotency.OutcomeUndecided && c.unanswered > 0 {
		return
	}
	delete(t.pending, outcome.Token)
	c.outcome <- outcome // it has room for the one outcome
}

// resendPending puts pending claims to a new controller: the previous one may have died with them.
func (t *claimTracker) resendPending() {
	t.resendRevocations()
	for _, c := range t.allPending() {
		t.requestGrant(t.controllers.send, c)
	}
}

func (t *claimTracker) allPending() (all []*pendingClaim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.pending {
		all = append(all, c)
	}
	return all
}

// revoke withdraws a claim under which nothing was run. It is repeated for a while: a controller that could not decide on
// the claim may not hear of its end either, and a store that holds it would refuse the client's next attempt.
func (t *claimTracker) revoke(claim idempotency.Record) {
	r := idempotency.Record{Key: claim.Key, Token: claim.Token}
	t.controllers.sendBoth(peer.Revocations{r})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revocations = append(t.revocations, timedRecord{t.Now(), r})
}

// resendRevocations repeats what was revoked lately.
func (t *claimTracker) resendRevocations() {
	if recent := t.recentRevocations(); len(recent) > 0 {
		t.controllers.sendBoth(recent)
	}
}

func (t *claimTracker) recentRevocations() (recent peer.Revocations) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	t.revocations = slices.DeleteFunc(t.revocations, func(r timedRecord) bool { return now-r.at > revocationRepeatDuration })
	for _, r := range t.revocations {
		recent = append(recent, r.record)
	}
	return recent
}

// complete has the response of a claim's run kept for repeats: by the controller, and here for one that loses its disk.
func (t *claimTracker) complete(claim idempotency.Record, response *idempotency.Response) {
	r := idempotency.Record{Key: claim.Key, Token: claim.Token, Response: response}
	t.controllers.send(peer.Responses{r})
	now, window := t.Now(), t.Settings.Seconds("key_window_s", defaultKeyWindowSeconds)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stored, t.storedBytes = append(t.stored, timedRecord{now, r}), t.storedBytes+len(response.Body)
	expired := 0
	for ; expired < len(t.stored) && (now-t.stored[expired].at > window || t.storedBytes > maxStoredBytes); expired++ {
		t.storedBytes -= len(t.stored[expired].record.Response.Body)
	}
	if expired > 0 {
		t.stored = slices.Delete(t.stored, 0, expired)
	}
}

// sendStored gives a controller whose disk came back empty the responses that are still kept here.
func (t *claimTracker) sendStored(link *peer.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for chunk := range slices.Chunk(t.stored, maxStoredPerFrame) {
		var responses peer.Responses
		for _, r := range chunk {
			responses = append(responses, r.record)
		}
		link.Send(responses)
	}
}
