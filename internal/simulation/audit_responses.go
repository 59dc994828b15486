package simulation

import (
	"fmt"
	"slices"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
)

const (
	// minRepeatAge is the age of a response from which on a repeat must get it, if its edge was in touch then and for
	// contactAfterAnswer.
	minRepeatAge       = time.Second
	contactAfterAnswer = 2 * time.Second
	// minStrengthTime is how long all voters must have been complete before disks are lost. Otherwise the loss exceeds the
	// tolerance, and may take responses.
	minStrengthTime = time.Second
)

// responseAudit records the responses that clients received.
type responseAudit struct {
	answers       []*answer // in the order of time
	answerByKey   map[idempotency.Key]*answer
	answerByToken map[idempotency.Token]*answer
	completeSince time.Duration // since when all voters are complete; 0: they are not
	lastWipeAt    time.Duration
}

// answer is the response of the first run of a key.
type answer struct {
	token     idempotency.Token
	key       idempotency.Key
	at        time.Duration
	inTouch   bool // the edge and the controllers were stable then and for contactAfterAnswer
	confirmed bool // its edge was told that a majority of the claim stores holds it
	excused   bool // a loss beyond the tolerance came after it
}

// responseOf returns the response of a run, which names the run.
func responseOf(token idempotency.Token) *idempotency.Response {
	return &idempotency.Response{Status: 200, Body: fmt.Append(nil, token.Incarnation, " ", token.Sequence)}
}

// auditAnswer records that a client received the response of a run.
func (w *cluster) auditAnswer(e *edge, r idempotency.Record) {
	a := &answer{token: r.Token, key: r.Key, at: w.now}
	w.answers = append(w.answers, a)
	w.answerByKey[r.Key], w.answerByToken[r.Token] = a, a
	incarnation, stable := e.incarnation, w.isStable() && e.stableSince <= w.now
	w.scheduleAfter(contactAfterAnswer, func() {
		a.inTouch = stable && e.incarnation == incarnation && w.isStable() && e.stableSince <= w.now
	})
}

// auditConfirmation records that an edge was told that a response is durable at a majority.
func (w *cluster) auditConfirmation(token idempotency.Token) {
	if a := w.answerByToken[token]; a != nil {
		a.confirmed = true
	}
}

// auditRepeat checks what a repeat got whose key is held by another claim: the response of the first run or, for a while, none.
func (w *cluster) auditRepeat(e *edge, repeat *claim, response *idempotency.Response) {
	a := w.answerByKey[repeat.record.Key]
	switch {
	case response != nil && (a == nil || string(response.Body) != string(responseOf(a.token).Body)):
		w.fail("MIXED: a repeat got a response that is not that of its key's run")
	case response != nil:
		w.result.RepeatsServed++
	case a != nil && a.inTouch && !a.excused && repeat.stable && w.isStable() && e.stableSince <= w.now &&
		repeat.startedAt > a.at+minRepeatAge && w.now < a.at+keyWindow:
		w.fail("DENIED: a repeat at edge %d got 409 %s after its key's operation was answered", e.number,
			repeat.startedAt-a.at)
	}
}

// auditStrength records since when all voters are complete.
func (w *cluster) auditStrength() {
	if w.now%(50*time.Millisecond) != 0 {
		return
	}
	switch complete := w.missingVoters() == "" && !w.backfilling(); {
	case !complete:
		w.completeSince = 0
	case w.completeSince == 0:
		w.completeSince = w.now
	}
}

// backfilling reports whether a voter is still copying responses.
func (w *cluster) backfilling() bool {
	return slices.ContainsFunc(w.controllers, func(n *controller) bool { return n.backfill != nil })
}

// auditWipe is called before a disk is lost. If the controllers have not recovered from the losses before, the responses so
// far may be lost.
func (w *cluster) auditWipe() {
	if w.lastWipeAt == w.now {
		return // several disks are lost at once, as many as are tolerated
	}
	w.lastWipeAt = w.now
	since := w.completeSince
	if since > 0 && w.now-since >= minStrengthTime {
		return
	}
	for _, a := range w.answers {
		a.excused = true
	}
}

// auditKeptResponses checks at the end that a majority of the voters holds each response that was confirmed to its edge.
func (w *cluster) auditKeptResponses() {
	since := w.completeSince
	if since == 0 || w.now-since < minStrengthTime {
		return
	}
	leader := w.leader()
	voters := leader.replica.Membership().Voters
	for _, a := range w.answers {
		if !a.confirmed || a.excused || w.now-a.at > keyWindow {
			continue
		}
		w.result.Kept++
		holders := 0
		for _, n := range w.controllers {
			if slices.Contains(membership.Addresses(voters), n.name) && n.claimStore.Response(a.key, a.token) != nil {
				holders++
			}
		}
		if holders <= len(voters)/2 {
			w.fail("KEPT: %d of %d claim stores hold a response of %s that was confirmed", holders, len(voters), a.at)
		}
	}
}
