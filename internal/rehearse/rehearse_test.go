package rehearse_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/rehearse"
)

func TestRehearse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rehearse")
}

var _ = Describe("days of a core and its edges", func() {
	It("break no rule, and are days on which something happens", func() {
		var all rehearse.Result
		for seed := range uint64(25) {
			for _, size := range [][2]int{{3, 1}, {5, 2}} {
				r := rehearse.Play(rehearse.NewDay(seed, size[0], size[1]))
				Expect(r.Broken).To(BeEmpty(), "seed %d, %d members", seed, size[0])
				all.Changes, all.Runs, all.Repeats = all.Changes+r.Changes, all.Runs+r.Runs, all.Repeats+r.Repeats
			}
		}
		Expect(all.Changes).To(BeNumerically(">", 1000))
		Expect(all.Runs).To(BeNumerically(">", 3000))
		Expect(all.Repeats).To(BeNumerically(">", 3000))
	})
	It("are the same again from the same seed", func() {
		Expect(rehearse.Play(rehearse.NewDay(7, 5, 2))).To(Equal(rehearse.Play(rehearse.NewDay(7, 5, 2))))
	})
	DescribeTable("show a planted fault", func(fault string) {
		for seed := range uint64(300) {
			d := rehearse.NewDay(seed, 3, 1)
			d.Fault = fault
			if rehearse.Play(d).Broken != "" {
				short := rehearse.Shrink(d)
				Expect(rehearse.Play(short).Broken).NotTo(BeEmpty())
				Expect(len(short.Troubles)).To(BeNumerically("<=", len(d.Troubles)))
				return
			}
		}
		Fail("the planted fault was not seen")
	},
		Entry("a ledger that grants before storing", "grants before storing"),
		Entry("a ledger that grants with an empty disk", "grants with an empty disk"),
		Entry("a ledger that is restored from one other", "restored from one"),
		Entry("an edge that withdraws what ran", "withdraws what ran"),
	)
})
