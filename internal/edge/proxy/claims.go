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
	// claimHedgeDelay is how long the edge's controller may take before another one is asked, too: a controller that
	// crashed or is partitioned is detected only by its silence.
	claimHedgeDelay = 60 * time.Millisecond
	// revocationRepeatDuration is how long a revocation is repeated: as long as controllers take to restart after a power
	// failure.
	revocationRepeatDuration = 4 * time.Second
	// maxUnconfirmedBytes limits the memory of unconfirmed responses, since edges run on small machines.
	maxUnconfirmedBytes = 8 << 20
	// maxResponseFrameBytes is the size of the responses in a frame, unless one alone is larger.
	maxResponseFrameBytes   = 256 << 10
	defaultKeyWindowSeconds = 60 // used if the settings contain no key_window_s
)

// claimSender sends a claimTracker's messages over the links to controllers.
type claimSender interface {
	// send queues a message for the edge's controller and reports whether the edge is attached to one.
	send(m peer.Message) bool
	// sendSecondary queues a message for another controller and reports whether one could be reached.
	sendSecondary(m peer.Message) bool
	// sendBoth queues a message for both controllers, as far as there are links to them.
	sendBoth(m peer.Message)
	// connected reports whether there is a link to any controller.
	connected() bool
}

// claimTracker claims the keys of operations, and buffers responses and revocations that may have to be sent to a controller
// again. It is safe for concurrent use.
type claimTracker struct {
	*node.Env
	controllers claimSender
	abort       <-chan struct{} // closed at shutdown, when waiting requests are rejected

	mu          sync.Mutex
	sequence    uint64
	pending     map[idempotency.Token]*pendingClaim
	unconfirmed *idempotency.Unconfirmed
	revocations []timedRecord // still being repeated
}

// timedRecord is a record and the time at which it was added.
type timedRecord struct {
	at     time.Duration
	record idempotency.Record
}

// pendingClaim is a claim that is not decided yet.
type pendingClaim struct {
	record     idempotency.Record
	unanswered int // requests to controllers without an answer
	outcome    chan peer.ClaimOutcome
}

func newClaimTracker(env *node.Env, controllers claimSender, abort <-chan struct{}) *claimTracker {
	window := env.Settings.Seconds("key_window_s", defaultKeyWindowSeconds)
	return &claimTracker{Env: env, controllers: controllers, abort: abort, pending: map[idempotency.Token]*pendingClaim{},
		unconfirmed: idempotency.NewUnconfirmed(window, maxUnconfirmedBytes)}
}

// acquire claims a key and waits for the outcome. If no controller can be reached after giveUpEarly, or none decides within
// limit or before ctx is done, the outcome is undecided. A claim that is not granted is revoked: nothing was run under it,
// and nothing ever will be.
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

// addClaim adds a pending claim with a new token.
func (t *claimTracker) addClaim(key idempotency.Key) *pendingClaim {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	token := idempotency.Token{Incarnation: t.Incarnation, Sequence: t.sequence}
	c := &pendingClaim{record: idempotency.Record{Key: key, Token: token}, outcome: make(chan peer.ClaimOutcome, 1)}
	t.pending[token] = c
	return c
}

// removeClaim removes a pending claim; later outcomes are ignored.
func (t *claimTracker) removeClaim(c *pendingClaim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, c.record.Token)
}

// await waits for the outcome of a claim. It returns an undecided one as described at acquire, and at shutdown.
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
			timer.Reset(limit - passed) // a connected controller may still decide
		}
	}
}

// requestGrant asks one more controller, unless the claim is decided. It reports false if there is no link to that
// controller, so that another one has to be asked.
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

// countRequest counts a request to a controller, and reports whether the claim is still pending.
func (t *claimTracker) countRequest(c *pendingClaim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending[c.record.Token] == nil {
		return false
	}
	c.unanswered++
	return true
}

// handleOutcome handles a controller's outcome of a claim. An undecided outcome is ignored while another controller has not
// answered; the first decision counts, and later ones are ignored.
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
	c.outcome <- outcome // the channel has capacity for the only outcome
}

// resendPending sends pending claims and recent revocations to a new controller: the previous one may have crashed before
// handling them.
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

// revoke withdraws a claim under which nothing was run. The revocation is repeated for revocationRepeatDuration: a controller
// that could not decide on the claim may miss the revocation, too, and a replica that holds the claim would reject the
// client's next attempt.
func (t *claimTracker) revoke(claim idempotency.Record) {
	r := idempotency.Record{Key: claim.Key, Token: claim.Token}
	t.controllers.sendBoth(peer.Revocations{r})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revocations = append(t.revocations, timedRecord{t.Now(), r})
}

// resendRevocations sends the recent revocations again.
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

// complete has the response of a claimed operation stored for repeats. It is buffered here until a majority of the claim
// stores has confirmed it.
func (t *claimTracker) complete(claim idempotency.Record, response *idempotency.Response) {
	t.mu.Lock()
	t.unconfirmed.Add(idempotency.Record{Key: claim.Key, Token: claim.Token, Response: response}, t.Now())
	t.mu.Unlock()
	t.sendResponses()
}

// sendResponses sends the responses that are due, in one frame of limited size. While the edge is attached to no controller
// they stay buffered until the next attachment.
func (t *claimTracker) sendResponses() {
	due := t.dueResponses()
	if len(due) == 0 {
		return
	}
	event := "sent"
	if !t.controllers.send(peer.Responses(due)) {
		event = "unsent"
	}
	t.Metrics.Responses.WithLabelValues(event).Add(float64(len(due)))
}

func (t *claimTracker) dueResponses() []idempotency.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := t.unconfirmed.Dropped()
	due := t.unconfirmed.Due(t.Now(), maxResponseFrameBytes)
	if dropped = t.unconfirmed.Dropped() - dropped; dropped > 0 {
		t.Metrics.Responses.WithLabelValues("dropped").Add(float64(dropped))
	}
	return due
}

// resendResponses sends the unconfirmed responses to a new controller: the previous one may have replicated none of them.
func (t *claimTracker) resendResponses() {
	t.mu.Lock()
	t.unconfirmed.MarkAllDue(t.Now())
	t.mu.Unlock()
	t.sendResponses()
}

// handleConfirmations removes the responses that a majority of the claim stores holds, and sends the next ones that are due.
func (t *claimTracker) handleConfirmations(tokens peer.ResponseConfirmations) {
	t.Metrics.Responses.WithLabelValues("confirmed").Add(float64(len(tokens)))
	t.mu.Lock()
	t.unconfirmed.Confirm(tokens)
	t.mu.Unlock()
	t.sendResponses()
}

// unconfirmedCount returns the number of responses that no majority has confirmed.
func (t *claimTracker) unconfirmedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unconfirmed.Len()
}
