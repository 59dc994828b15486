package attempt_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/edge/attempt"
)

// All answers there can be: only one that is whole, this try's, short, and says so without contradicting itself proves that
// nothing ran, and a status that promises is passed on by no other.
func TestOnlyProofIsProof(t *testing.T) {
	g := NewWithT(t)
	for n := range 1 << 10 {
		bit := func(i int) bool { return n>>i&1 == 1 }
		a := attempt.Response{Received: bit(0), IDMatches: bit(1), Delimited: bit(2), Complete: bit(3), NotRun: bit(4), Success: bit(5), Sealed: bit(6),
			Oversized: bit(7), ProtocolSwitched: bit(8), UnexpectedEncoding: bit(9)}
		for _, status := range []int{0, 200, 404, 408, 421, 429, 500, 503} {
			a.Status = status
			believed := a.Received && a.IDMatches && a.Delimited && a.Complete && !a.ProtocolSwitched && !a.UnexpectedEncoding
			row := a.Cause().Consequence()
			g.Expect(a.Outcome()).To(Equal(row.Outcome))
			g.Expect(row.Outcome == attempt.NotRun).To(Equal(believed && a.NotRun && !a.Success && !a.Oversized), "%+v", a)
			g.Expect(row.Outcome == attempt.Ran).To(Equal(believed && !a.NotRun && (!a.Success || a.Sealed) && !attempt.PromisesNotRun(status)), "%+v", a)
			g.Expect(row.Outcome).NotTo(Equal(attempt.NotSent))
		}
	}
}

// Each line of the table agrees with what its ending means.
func TestTableOfConsequences(t *testing.T) {
	g := NewWithT(t)
	for _, c := range attempt.Causes() {
		row := c.Consequence()
		proved := row.Outcome == attempt.NotSent || row.Outcome == attempt.NotRun
		g.Expect(c.String()).NotTo(BeEmpty(), "a line is missing")
		g.Expect(row.Disposition == attempt.SafeRefusal).To(Equal(proved), "%s: a promise needs proof", c)
		g.Expect(row.Retry == attempt.Always).To(Equal(proved), "%s: what must not run twice needs proof", c)
		g.Expect(row.Claim == attempt.RevokeClaim).To(Equal(proved), "%s: a withdrawn key may run again", c)
		g.Expect(row.ReuseConn && row.Outcome != attempt.Ran && row.Outcome != attempt.NotRun).To(BeFalse(), "%s: kept after something odd", c)
		g.Expect(row.Claim == attempt.CompleteClaim && row.Disposition != attempt.ForwardResponse).To(BeFalse(), "%s: kept for repeats and not told", c)
	}
}

// All sequences of events: nothing is promised once a byte was written but on the server's word, a connection is kept only
// after a whole answer, and a try that is over stays so.
func TestEveryAttempt(t *testing.T) {
	g := NewWithT(t)
	whole := attempt.Response{Received: true, IDMatches: true, Delimited: true, Complete: true, Success: true, Sealed: true, Status: 200}
	away := attempt.Response{Received: true, IDMatches: true, Delimited: true, Complete: true, NotRun: true, Status: 503}
	long, foreign, cut := whole, whole, whole
	long.Oversized, foreign.IDMatches, cut.Complete = true, false, false
	ways := 0
	var walk func(try attempt.Attempt, depth int, written, answered bool, last attempt.Response)
	walk = func(try attempt.Attempt, depth int, written, answered bool, last attempt.Response) {
		ways++
		if try.State == attempt.Done {
			row := try.Cause.Consequence()
			byWord := answered && last.NotRun && last.IDMatches && last.Complete
			g.Expect(row.Disposition == attempt.SafeRefusal && written && !byWord).To(BeFalse(), "%s is promised after a byte was written", try.Cause)
			g.Expect(row.ReuseConn && !(answered && last.IDMatches && last.Complete)).To(BeFalse(), "%s keeps the connection", try.Cause)
		}
		if depth == 0 {
			return
		}
		for _, e := range attempt.Events() {
			next := try
			next.Handle(e)
			g.Expect(next.State).To(BeNumerically(">=", try.State))
			if try.State == attempt.Done {
				g.Expect(next).To(Equal(try))
			}
			walk(next, depth-1, written || e >= attempt.SendStarted && e <= attempt.ResponseStarted && try.State != attempt.Done, answered, last)
		}
		if try.State < attempt.Sending || try.State > attempt.ReadingHeader {
			return
		}
		for _, a := range []attempt.Response{whole, away, long, foreign, cut} {
			next := try
			if next.HandleHeader(a) {
				next.HandleBody(a)
			}
			walk(next, depth-1, true, true, a)
			next.HandleStreamEnd()
			walk(next, depth-1, true, true, a)
		}
	}
	walk(attempt.Attempt{}, 5, false, false, attempt.Response{})
	g.Expect(ways).To(BeNumerically(">", 5_000))
}

// All ways of up to five tries: what must not run twice is never sent again after it may have run, no request reaches
// more servers than its route allows, and each further server is paid for.
func TestEveryWayOfARequest(t *testing.T) {
	g := NewWithT(t)
	var walk func(a attempt.Retries, ran int, paid int)
	ways := 0
	walk = func(a attempt.Retries, ran, paid int) {
		ways++
		g.Expect(a.SentAttempts).To(BeNumerically("<=", a.MaxServers))
		g.Expect(max(0, a.SentAttempts-1)).To(BeNumerically("<=", paid))
		if a.Attempts == 5 {
			return
		}
		for _, e := range []attempt.Outcome{attempt.NotSent, attempt.NotRun, attempt.Ran, attempt.Unknown} {
			for _, status := range []int{200, 404, 500} {
				next := a
				held := status != 404 || e != attempt.Ran // a long body, say
				may := ran
				if e == attempt.Ran || e == attempt.Unknown {
					may++
				}
				if !a.Safe {
					g.Expect(may).To(BeNumerically("<=", 1), "%+v", a)
				}
				switch next.AfterOutcome(e, status, held) {
				case attempt.RetryFree:
					walk(next, may, paid)
				case attempt.RetryPaid:
					next.Paid = true
					walk(next, may, paid+1)
				}
			}
		}
	}
	for _, safe := range []bool{true, false} {
		for most := 1; most <= 3; most++ {
			walk(attempt.Retries{Safe: safe, MaxServers: most}, 0, 0)
		}
	}
	g.Expect(ways).To(BeNumerically(">", 500))
}

// After a try that may have run, no later one makes the promise true again.
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
