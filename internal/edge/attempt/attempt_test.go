package attempt_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/edge/attempt"
)

// Checks all combinations of response properties. Only a complete, buffered response of this attempt that reports it without
// contradiction proves that the request did not run. A status that promises this is never forwarded without that report.
func TestOnlyValidResponseProvesNotRun(t *testing.T) {
	g := NewWithT(t)
	for n := range 1 << 10 {
		bit := func(i int) bool { return n>>i&1 == 1 }
		a := attempt.Response{Received: bit(0), IDMatches: bit(1), Delimited: bit(2), Complete: bit(3), NotRun: bit(4), Success: bit(5), Sealed: bit(6),
			Oversized: bit(7), ProtocolSwitched: bit(8), UnexpectedEncoding: bit(9)}
		for _, status := range []int{0, 200, 404, 408, 421, 429, 500, 503} {
			a.Status = status
			valid := a.Received && a.IDMatches && a.Delimited && a.Complete && !a.ProtocolSwitched && !a.UnexpectedEncoding
			row := a.Cause().Consequence()
			g.Expect(a.Outcome()).To(Equal(row.Outcome))
			g.Expect(row.Outcome == attempt.NotRun).To(Equal(valid && a.NotRun && !a.Success && !a.Oversized), "%+v", a)
			g.Expect(row.Outcome == attempt.Ran).To(Equal(valid && !a.NotRun && (!a.Success || a.Sealed) && !attempt.PromisesNotRun(status)), "%+v", a)
			g.Expect(row.Outcome).NotTo(Equal(attempt.NotSent))
		}
	}
}

// Checks that each row of the table is consistent: only a proved outcome allows a promise, a retry or a revoked claim.
func TestTableOfConsequences(t *testing.T) {
	g := NewWithT(t)
	for _, c := range attempt.Causes() {
		row := c.Consequence()
		proved := row.Outcome == attempt.NotSent || row.Outcome == attempt.NotRun
		g.Expect(c.String()).NotTo(BeEmpty(), "a row of the table is missing")
		g.Expect(row.Disposition == attempt.SafeRefusal).To(Equal(proved), "%s: a safe refusal requires proof that the request did not run", c)
		g.Expect(row.Retry == attempt.Always).To(Equal(proved), "%s: retrying unsafe requests requires proof that the request did not run", c)
		g.Expect(row.Claim == attempt.RevokeClaim).To(Equal(proved), "%s: a revoked key may run again", c)
		g.Expect(row.ReuseConn && row.Outcome != attempt.Ran && row.Outcome != attempt.NotRun).To(BeFalse(), "%s: connection reused without a valid response", c)
		g.Expect(row.Claim == attempt.CompleteClaim && row.Disposition != attempt.ForwardResponse).To(BeFalse(), "%s: stored for repeats but not forwarded", c)
	}
}

// Checks all sequences of events: after the first byte only the server's report allows a safe refusal, a connection is reused
// only after a complete response, and an attempt that is done stays unchanged.
func TestEveryEventSequence(t *testing.T) {
	g := NewWithT(t)
	complete := attempt.Response{Received: true, IDMatches: true, Delimited: true, Complete: true, Success: true, Sealed: true, Status: 200}
	rejected := attempt.Response{Received: true, IDMatches: true, Delimited: true, Complete: true, NotRun: true, Status: 503}
	oversized, foreign, truncated := complete, complete, complete
	oversized.Oversized, foreign.IDMatches, truncated.Complete = true, false, false
	visited := 0
	var walk func(current attempt.Attempt, depth int, written, answered bool, last attempt.Response)
	walk = func(current attempt.Attempt, depth int, written, answered bool, last attempt.Response) {
		visited++
		if current.State == attempt.Done {
			row := current.Cause.Consequence()
			confirmed := answered && last.NotRun && last.IDMatches && last.Complete
			g.Expect(row.Disposition == attempt.SafeRefusal && written && !confirmed).To(BeFalse(), "%s allows a safe refusal after a byte was written", current.Cause)
			g.Expect(row.ReuseConn && !(answered && last.IDMatches && last.Complete)).To(BeFalse(), "%s reuses the connection", current.Cause)
		}
		if depth == 0 {
			return
		}
		for _, e := range attempt.Events() {
			next := current
			next.Handle(e)
			g.Expect(next.State).To(BeNumerically(">=", current.State))
			if current.State == attempt.Done {
				g.Expect(next).To(Equal(current))
			}
			walk(next, depth-1, written || e >= attempt.SendStarted && e <= attempt.ResponseStarted && current.State != attempt.Done, answered, last)
		}
		if current.State < attempt.Sending || current.State > attempt.ReadingHeader {
			return
		}
		for _, a := range []attempt.Response{complete, rejected, oversized, foreign, truncated} {
			next := current
			if next.HandleHeader(a) {
				next.HandleBody(a)
			}
			walk(next, depth-1, true, true, a)
			next.HandleStreamEnd()
			walk(next, depth-1, true, true, a)
		}
	}
	walk(attempt.Attempt{}, 5, false, false, attempt.Response{})
	g.Expect(visited).To(BeNumerically(">", 5_000))
}

// Checks all sequences of up to five attempts: a request that must not run twice is never sent again after it may have run, no
// request reaches more servers than its route allows, and each server after the first is paid for from the retry budget.
func TestEveryRetrySequence(t *testing.T) {
	g := NewWithT(t)
	var walk func(a attempt.Retries, ran int, paid int)
	visited := 0
	walk = func(a attempt.Retries, ran, paid int) {
		visited++
		g.Expect(a.SentAttempts).To(BeNumerically("<=", a.MaxServers))
		g.Expect(max(0, a.SentAttempts-1)).To(BeNumerically("<=", paid))
		if a.Attempts == 5 {
			return
		}
		for _, e := range []attempt.Outcome{attempt.NotSent, attempt.NotRun, attempt.Ran, attempt.Unknown} {
			for _, status := range []int{200, 404, 500} {
				next := a
				resendable := status != 404 || e != attempt.Ran // false stands for a body that can't be sent again
				mayHaveRun := ran
				if e == attempt.Ran || e == attempt.Unknown {
					mayHaveRun++
				}
				if !a.Safe {
					g.Expect(mayHaveRun).To(BeNumerically("<=", 1), "%+v", a)
				}
				switch next.AfterOutcome(e, status, resendable) {
				case attempt.RetryFree:
					walk(next, mayHaveRun, paid)
				case attempt.RetryPaid:
					next.Paid = true
					walk(next, mayHaveRun, paid+1)
				}
			}
		}
	}
	for _, safe := range []bool{true, false} {
		for maxServers := 1; maxServers <= 3; maxServers++ {
			walk(attempt.Retries{Safe: safe, MaxServers: maxServers}, 0, 0)
		}
	}
	g.Expect(visited).To(BeNumerically(">", 500))
}

// Guards against a safe refusal when an earlier attempt may have run: no later attempt makes that promise true again.
func TestNoSafeRefusalAfterAnAttemptThatMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	for _, first := range attempt.Causes() {
		for _, second := range attempt.Causes() {
			a := attempt.Retries{Safe: true, MaxServers: 3}
			a.AfterAttempt(first, true)
			a.AfterAttempt(second, true)
			ran := first.Consequence().Outcome == attempt.Ran || first.Consequence().Outcome == attempt.Unknown
			g.Expect(ran && a.Disposition(second) == attempt.SafeRefusal).To(BeFalse(), "%s, then %s", first, second)
		}
	}
}
