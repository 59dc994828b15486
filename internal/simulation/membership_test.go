package simulation_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/simulation"
)

var _ = Describe("days on which members change", func() {
	It("break no rule, and bring the core back to full tolerance in time", func() {
		days := uint64(6)
		if raced {
			days = 1
		}
		all := playAll(simulation.NewMembershipScenario, days)
		Expect(all.Memberships).To(BeNumerically(">", 3*int(days)))
		Expect(all.Reads).To(BeNumerically(">", 500*int(days)))
		Expect(all.Retries).To(BeNumerically(">", 50*int(days)))
		Expect(slices.Max(all.RecoveryTimes)).To(BeNumerically("<", 6*time.Second))
	})
	It("break no rule while every controller in turn is replaced, twice over", func() {
		if raced {
			Skip("too slow under the race detector; .ci/run plays them without it")
		}
		all := playAll(simulation.NewReplacementChainScenario, 2)
		Expect(all.Memberships).To(BeNumerically(">", 30))
		Expect(all.HandedOver).To(BeNumerically(">", 100))
	})
	DescribeTable("show a planted fault", func(fault, as string) {
		if raced {
			Skip("too slow under the race detector; .ci/run plays them without it")
		}
		for seed := range uint64(30) {
			d := simulation.NewMembershipScenario(seed, 3, 1)
			d.PlantedFault = fault
			if broken := simulation.Run(d).Violation; broken != "" {
				Expect(broken).To(MatchRegexp("^(" + as + ")"))
				return
			}
		}
		Fail("the planted fault was not seen")
	},
		Entry("an order's digest that is lost with the snapshot", "digests are lost with the snapshot", "CONFIG|AGAIN"),
		Entry("a snapshot that is older than its log", "a snapshot is older than its log", "LOST"),
		Entry("a frozen leader that serves by its old state", "a frozen leader serves by its old state", "READ"),
		Entry("a read without a round", "reads without a round", "READ"),
		Entry("an identity that is used again after its disk was lost", "an identity is used again", "TWICE"),
		Entry("a removed member that grants", "a removed member grants", "MEMBERS|REMOVED"),
		Entry("a retired identity that is voted in again", "a retired identity is kept", "MEMBERS|REMOVED"),
		Entry("a leaving controller that ends without handing its answers over", "a leaving controller keeps its answers",
			"KEPT"),
	)
	It("let a key run once in every order of a change's events, as far as is gone", func() {
		states := 2000
		if raced {
			states = 200
		}
		Expect(simulation.Explore(simulation.Bounds{States: states, MembershipChanges: 1, Wipes: 1,
			MessageLosses: 1}).Violation).To(BeEmpty())
	})
})
