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
		a := attempt.Answer{Came: bit(0), Ours: bit(1), Ends: bit(2), Whole: bit(3), NotRun: bit(4), Good: bit(5), Sealed: bit(6),
			Long: bit(7), Switched: bit(8), Encoded: bit(9)}
		for _, status := range []int{0, 200, 404, 408, 421, 429, 500, 503} {
			a.Status = status
			believed := a.Came && a.Ours && a.Ends && a.Whole && !a.Switched && !a.Encoded
			row := a.Cause().Row()
			g.Expect(a.Ending()).To(Equal(row.Ending))
			g.Expect(row.Ending == attempt.NotRun).To(Equal(believed && a.NotRun && !a.Good && !a.Long), "%+v", a)
			g.Expect(row.Ending == attempt.Ran).To(Equal(believed && !a.NotRun && (!a.Good || a.Sealed) && !attempt.Promising(status)), "%+v", a)
			g.Expect(row.Ending).NotTo(Equal(attempt.NotSent))
		}
	}
}

// Each line of the table agrees with what its ending means.
func TestTableOfEndings(t *testing.T) {
	g := NewWithT(t)
	for _, c := range attempt.Causes() {
		row := c.Row()
		proved := row.Ending == attempt.NotSent || row.Ending == attempt.NotRun
		g.Expect(c.String()).NotTo(BeEmpty(), "a line is missing")
		g.Expect(row.Tell == attempt.Promise).To(Equal(proved), "%s: a promise needs proof", c)
		g.Expect(row.Again == attempt.Always).To(Equal(proved), "%s: what must not run twice needs proof", c)
		g.Expect(row.Claim == attempt.Withdraw).To(Equal(proved), "%s: a withdrawn key may run again", c)
		g.Expect(row.Keep && row.Ending != attempt.Ran && row.Ending != attempt.NotRun).To(BeFalse(), "%s: kept after something odd", c)
		g.Expect(row.Claim == attempt.Finish && row.Tell != attempt.PassOn).To(BeFalse(), "%s: kept for repeats and not told", c)
	}
}

// All sequences of events: nothing is promised once a byte was written but on the server's word, a connection is kept only
// after a whole answer, and a try that is over stays so.
func TestEveryLifeOfATry(t *testing.T) {
	g := NewWithT(t)
	whole := attempt.Answer{Came: true, Ours: true, Ends: true, Whole: true, Good: true, Sealed: true, Status: 200}
	away := attempt.Answer{Came: true, Ours: true, Ends: true, Whole: true, NotRun: true, Status: 503}
	long, foreign, cut := whole, whole, whole
	long.Long, foreign.Ours, cut.Whole = true, false, false
	ways := 0
	var walk func(try attempt.Try, depth int, written, answered bool, last attempt.Answer)
	walk = func(try attempt.Try, depth int, written, answered bool, last attempt.Answer) {
		ways++
		if try.State == attempt.Over {
			row := try.Cause.Row()
			byWord := answered && last.NotRun && last.Ours && last.Whole
			g.Expect(row.Tell == attempt.Promise && written && !byWord).To(BeFalse(), "%s is promised after a byte was written", try.Cause)
			g.Expect(row.Keep && !(answered && last.Ours && last.Whole)).To(BeFalse(), "%s keeps the connection", try.Cause)
		}
		if depth == 0 {
			return
		}
		for _, e := range attempt.Events() {
			next := try
			next.On(e)
			g.Expect(next.State).To(BeNumerically(">=", try.State))
			if try.State == attempt.Over {
				g.Expect(next).To(Equal(try))
			}
			walk(next, depth-1, written || e >= attempt.FirstByte && e <= attempt.AnswerBegins && try.State != attempt.Over, answered, last)
		}
		if try.State < attempt.Sending || try.State > attempt.Head {
			return
		}
		for _, a := range []attempt.Answer{whole, away, long, foreign, cut} {
			next := try
			if next.OnHead(a) {
				next.OnBody(a)
			}
			walk(next, depth-1, true, true, a)
			next.OnPassedOn()
			walk(next, depth-1, true, true, a)
		}
	}
	walk(attempt.Try{}, 5, false, false, attempt.Answer{})
	g.Expect(ways).To(BeNumerically(">", 5_000))
}

// All ways of up to five tries: what must not run twice is never sent again after it may have run, no request reaches
// more servers than its route allows, and each further server is paid for.
func TestEveryWayOfARequest(t *testing.T) {
	g := NewWithT(t)
	var walk func(a attempt.Attempt, ran int, paid int)
	ways := 0
	walk = func(a attempt.Attempt, ran, paid int) {
		ways++
		g.Expect(a.Sent).To(BeNumerically("<=", a.Most))
		g.Expect(max(0, a.Sent-1)).To(BeNumerically("<=", paid))
		if a.Tried == 5 {
			return
		}
		for _, e := range []attempt.Ending{attempt.NotSent, attempt.NotRun, attempt.Ran, attempt.Perhaps} {
			for _, status := range []int{200, 404, 500} {
				next := a
				held := status != 404 || e != attempt.Ran // a long body, say
				may := ran
				if e == attempt.Ran || e == attempt.Perhaps {
					may++
				}
				if !a.Safe {
					g.Expect(may).To(BeNumerically("<=", 1), "%+v", a)
				}
				switch next.Ended(e, status, held) {
				case attempt.Again:
					walk(next, may, paid)
				case attempt.Pay:
					next.Paid = true
					walk(next, may, paid+1)
				}
			}
		}
	}
	for _, safe := range []bool{true, false} {
		for most := 1; most <= 3; most++ {
			walk(attempt.Attempt{Safe: safe, Most: most}, 0, 0)
		}
	}
	g.Expect(ways).To(BeNumerically(">", 500))
}

// After a try that may have run, no later one makes the promise true again.
func TestNoPromiseAfterATryThatMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	for _, first := range attempt.Causes() {
		for _, second := range attempt.Causes() {
			a := attempt.Attempt{Safe: true, Most: 3}
			a.Over(first, true)
			a.Over(second, true)
			ran := first.Row().Ending == attempt.Ran || first.Row().Ending == attempt.Perhaps
			g.Expect(ran && a.Tell(second) == attempt.Promise).To(BeFalse(), "%s, then %s", first, second)
		}
	}
}
