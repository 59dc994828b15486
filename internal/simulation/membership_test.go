package simulation_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/simulation"
)

var _ = Describe("scenarios with membership changes", func() {
	It("violate no rule and restore full fault tolerance in time", func() {
		scenarios := uint64(6)
		if raceDetector {
			scenarios = 1
		}
		all := runScenarios(simulation.NewMembershipScenario, scenarios)
		Expect(all.Memberships).To(BeNumerically(">", 3*int(scenarios)))
		Expect(all.Reads).To(BeNumerically(">", 500*int(scenarios)))
		Expect(all.Retries).To(BeNumerically(">", 50*int(scenarios)))
		Expect(slices.Max(all.RecoveryTimes)).To(BeNumerically("<", 6*time.Second))
	})
	It("violate no rule while every controller in turn is replaced, twice over", func() {
		if raceDetector {
			Skip("too slow under the race detector; .ci/run runs it without")
		}
		all := runScenarios(simulation.NewReplacementChainScenario, 2)
		Expect(all.Memberships).To(BeNumerically(">", 30))
		Expect(all.HandedOver).To(BeNumerically(">", 100))
		Expect(all.Kept).To(BeNumerically(">", 500))
	})
	DescribeTable("detect a planted fault", func(fault, rules string) {
		if raceDetector {
			Skip("too slow under the race detector; .ci/run runs it without")
		}
		for seed := range uint64(30) {
			d := simulation.NewMembershipScenario(seed, 3, 1)
			d.PlantedFault = fault
			if violation := simulation.Run(d).Violation; violation != "" {
				Expect(violation).To(MatchRegexp("^(" + rules + ")"))
				return
			}
		}
		Fail("the planted fault was not detected")
	},
		Entry("a snapshot without the digests of accepted changes", "digests are lost with the snapshot", "CONFIG|AGAIN"),
		Entry("a snapshot that is older than its log", "a snapshot is older than its log", "LOST"),
		Entry("a suspended leader that resumes and serves stale state", "a frozen leader serves by its old state", "READ"),
		Entry("a read without a confirmation round", "reads without a round", "READ"),
		Entry("an identity that is reused after its disk was lost", "an identity is used again", "TWICE"),
		Entry("a removed member that grants", "a removed member grants", "MEMBERS|REMOVED"),
		Entry("a removed identity that is added again", "a retired identity is kept", "MEMBERS|REMOVED"),
		Entry("a successor that copies claims without their responses", "a successor copies no answers", "DENIED|KEPT"),
		Entry("a controller that shuts down without handing its responses over", "a leaving controller keeps its answers",
			"KEPT"),
	)
	It("run a key at most once in every order of a membership change's events within the state limit", func() {
		states := 2000
		if raceDetector {
			states = 200
		}
		Expect(simulation.Explore(simulation.Bounds{States: states, MembershipChanges: 1, Wipes: 1,
			MessageLosses: 1}).Violation).To(BeEmpty())
	})
})
