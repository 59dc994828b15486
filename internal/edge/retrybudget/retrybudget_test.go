package retrybudget_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/edge/retrybudget"
)

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retrybudget")
}

var _ = Describe("the retry budgets of a fleet", func() {
	const ratio, slack, steps, window = 0.2, 60.0, 6000, 1000 // a step is a hundredth of a second

	// largestExcess simulates edges that retry whenever their budget allows it, with bursts, idle times, restarts and joining
	// edges. It returns the largest excess over the fleet's budget in any window.
	largestExcess := func(seed uint64, refill bool) (worst float64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		edges := make([]*retrybudget.Budget, 10)
		for i := range edges {
			edges[i] = retrybudget.New(ratio, slack, len(edges))
		}
		requests, spent := make([]float64, steps), make([]float64, steps)
		rate := 1
		for now := range steps {
			if rng.IntN(300) == 0 {
				rate = rng.IntN(2)
			}
			if rng.IntN(2) == 0 { // a restart, or another edge joins in its place
				i := rng.IntN(len(edges))
				edges[i] = retrybudget.New(ratio, slack, len(edges))
				for n := 0; refill && n < 100; n++ {
					edges[i].Earn()
				}
			}
			for range rate {
				e := edges[rng.IntN(len(edges))]
				e.Earn()
				requests[now]++
				for rng.IntN(3) > 0 && e.Spend() {
					spent[now]++
				}
			}
		}
		requestSum, spentSum := 0.0, 0.0
		for now := range steps {
			requestSum, spentSum = requestSum+requests[now], spentSum+spent[now]
			if now >= window {
				requestSum, spentSum = requestSum-requests[now-window], spentSum-spent[now-window]
			}
			worst = max(worst, spentSum-ratio*requestSum-slack)
		}
		return worst
	}
	It("spend less than the budget in every window, through bursts, restarts and joins", func() {
		for seed := range uint64(60) {
			Expect(largestExcess(seed, false)).To(BeNumerically("<=", 0), "seed %d", seed)
		}
	})
	It("exceed it when a restart fills the token bucket", func() {
		broken := 0
		for seed := range uint64(60) {
			if largestExcess(seed, true) > 0 {
				broken++
			}
		}
		Expect(broken).To(BeNumerically(">", 0), "the injected fault was not detected")
	})
	It("start empty", func() {
		Expect(retrybudget.New(ratio, slack, 10).Spend()).To(BeFalse())
	})
})
