package attempt_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/edge/attempt"
)

// All answers there can be: only one that is whole, this try's and says so proves that nothing ran.
func TestOnlyProofIsProof(t *testing.T) {
	g := NewWithT(t)
	for n := range 1 << 7 {
		bit := func(i int) bool { return n>>i&1 == 1 }
		a := attempt.Answer{Came: bit(0), Ours: bit(1), Ends: bit(2), Whole: bit(3), NotRun: bit(4), Good: bit(5), Sealed: bit(6)}
		believed := a.Came && a.Ours && a.Ends && a.Whole
		g.Expect(a.Ending() == attempt.NotRun).To(Equal(believed && a.NotRun), "%+v", a)
		g.Expect(a.Ending() == attempt.Ran).To(Equal(believed && !a.NotRun && (!a.Good || a.Sealed)), "%+v", a)
		g.Expect(a.Ending()).NotTo(Equal(attempt.NotSent))
	}
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
