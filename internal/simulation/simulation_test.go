package simulation_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/simulation"
)

func TestRehearse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "simulation")
}

// runScenarios runs count scenarios with three voters and as many with five concurrently, expects that no rule is violated,
// and returns the sum of their results.
func runScenarios(newScenario func(uint64, int, int) simulation.Scenario, count uint64) (total simulation.Result) {
	results := make([]simulation.Result, 2*count)
	var running sync.WaitGroup
	for i := range results {
		seed, lost := uint64(i)/2, 1+i%2
		running.Go(func() { results[i] = simulation.Run(newScenario(seed, 2*lost+1, lost)) })
	}
	running.Wait()
	for i, r := range results {
		Expect(r.Violation).To(BeEmpty(), "seed %d, %d disks may be lost", i/2, 1+i%2)
		total.Add(r)
	}
	return total
}

func newBusyScenario(seed uint64, members, lost int) simulation.Scenario {
	return simulation.NewBookingScenario(seed, members, lost, simulation.BookingLoad{Rate: 20, SurgeFactor: 10, BookedShare: 0.5})
}

var _ = Describe("scenarios with controllers and edges", func() {
	It("violate no rule, with a minimum of changes and keyed operations", func() {
		if raceDetector {
			runScenarios(simulation.NewScenario, 1)
			return
		}
		all := runScenarios(simulation.NewScenario, 10)
		Expect(all.Changes).To(BeNumerically(">", 1000))
		Expect(all.Runs).To(BeNumerically(">", 2500))
		Expect(all.Repeats).To(BeNumerically(">", 3000))
		Expect(all.RepeatsServed).To(BeNumerically(">", 10_000), "repeats get the response of the first run")
		Expect(all.Kept).To(BeNumerically(">", 1000), "confirmed responses are on a majority of the stores at the end")
	})
	It("violate no rule while servers start, drain and fail, over a million events", func() {
		if raceDetector {
			runScenarios(simulation.NewServiceScenario, 1)
			return
		}
		all := runScenarios(simulation.NewServiceScenario, 10)
		Expect(all.Events).To(BeNumerically(">", 1_000_000))
		Expect(all.Served).To(BeNumerically(">", 20_000))
		Expect(all.Drains).To(BeNumerically(">", 100))
		Expect(all.Rejected).To(BeNumerically(">", 100))
		Expect(all.Unknown).To(BeNumerically(">", 100))
		Expect(all.RetriedRequests).To(BeNumerically(">", 100))
	})
	It("keep a tenant's booked capacity while others send ten times their usual rate", func() {
		scenarios := uint64(3)
		if raceDetector {
			scenarios = 1
		}
		play := func(busy simulation.BookingLoad) (all simulation.Result) {
			return runScenarios(func(seed uint64, members, lost int) simulation.Scenario {
				return simulation.NewBookingScenario(seed, members, lost, busy)
			}, scenarios)
		}
		share := func(t simulation.TrafficStats) float64 { return float64(t.Served) / float64(t.Requests) }
		crowd := simulation.BookingLoad{Rate: 20, SurgeFactor: 10}
		without := play(crowd)
		crowd.BookedShare = 0.5
		with := play(crowd)
		Expect(share(without.Tenant)).To(BeNumerically("<", 0.3))
		Expect(share(with.Tenant)).To(BeNumerically(">", 0.9))
		Expect(with.Others.Served).To(BeNumerically(">", with.Tenant.Served), "others use the unreserved and the lent capacity")
	})
	DescribeTable("keep booked capacity through", func(faults ...simulation.Fault) {
		d := newBusyScenario(3, 3, 1)
		d.Faults = faults
		r := simulation.Run(d)
		Expect(r.Violation).To(BeEmpty())
		Expect(float64(r.Tenant.Served) / float64(r.Tenant.Requests)).To(BeNumerically(">", 0.85))
		Expect(r.Runs).To(BeNumerically(">", 200), "keyed operations continue, each at most once")
	},
		Entry("nothing"),
		Entry("a power loss of all controllers one second before the start",
			simulation.Fault{At: 9 * time.Second, Kind: simulation.PowerAll, Duration: 3 * time.Second}),
		Entry("kills of all controllers as the leader acknowledges",
			simulation.Fault{At: 1100 * time.Millisecond, Kind: simulation.Kill,
				Node: 0, Duration: time.Second},
			simulation.Fault{At: 1150 * time.Millisecond, Kind: simulation.Kill, Node: 1,
				Duration: time.Second},
			simulation.Fault{At: 1200 * time.Millisecond, Kind: simulation.Kill, Node: 2, Duration: time.Second}),
		Entry("a disk lost right after, with a power loss of the others",
			simulation.Fault{At: 1300 * time.Millisecond, Kind: simulation.Wipe, Node: 1, Duration: time.Second},
			simulation.Fault{At: 1300 * time.Millisecond, Kind: simulation.PowerAll, Duration: time.Second}),
		Entry("half of the edges restarted during the booking",
			simulation.Fault{At: 12 * time.Second, Kind: simulation.KillEdge, Node: 0}, simulation.Fault{At: 13 * time.Second,
				Kind: simulation.KillEdge, Node: 2}),
		Entry("a long partition of an edge", simulation.Fault{At: 9 * time.Second, Kind: simulation.PartitionEdge,
			Node: 1, Duration: 9 * time.Second}),
		Entry("servers that crash during the booking", simulation.Fault{At: 12 * time.Second, Kind: simulation.Crash, Node: 0},
			simulation.Fault{At: 12 * time.Second, Kind: simulation.Crash, Node: 2},
			simulation.Fault{At: 12100 * time.Millisecond, Kind: simulation.Crash, Node: 4}),
		Entry("controllers that are suspended in turn", simulation.Fault{At: 10 * time.Second, Kind: simulation.Freeze,
			Node: 0, Duration: 2 * time.Second},
			simulation.Fault{At: 13 * time.Second, Kind: simulation.Freeze, Node: 1,
				Duration: 2 * time.Second},
			simulation.Fault{At: 16 * time.Second, Kind: simulation.Freeze, Node: 2, Duration: 2 * time.Second}),
	)
	It("are deterministic for a seed", func() {
		Expect(simulation.Run(simulation.NewScenario(7, 5, 2))).To(Equal(simulation.Run(simulation.NewScenario(7, 5, 2))))
		Expect(simulation.Run(simulation.NewServiceScenario(7, 5,
			2))).To(Equal(simulation.Run(simulation.NewServiceScenario(7, 5, 2))))
	})
	DescribeTable("detect a planted fault", func(fault, rules string, newScenario func(uint64, int, int) simulation.Scenario) {
		if raceDetector {
			Skip("too slow under the race detector; .ci/run runs it without")
		}
		for seed := range uint64(300) {
			d := newScenario(seed, 3, 1)
			d.PlantedFault = fault
			if simulation.Run(d).Violation != "" {
				short := simulation.Shrink(d, 10)
				Expect(simulation.Run(short).Violation).To(MatchRegexp("^(" + rules + ")"))
				Expect(len(short.Faults)).To(BeNumerically("<=", len(d.Faults)))
				return
			}
		}
		Fail("the planted fault was not detected")
	},
		Entry("a claim store that grants before storing", "grants before storing", "TWICE", simulation.NewScenario),
		Entry("a claim store that grants with an empty disk", "grants with an empty disk", "TWICE|REMOVED",
			simulation.NewScenario),
		Entry("a claim store that recovers from a single copy", "restored from one", "TWICE", simulation.NewScenario),
		Entry("an edge that revokes the claim of an operation that ran", "withdraws what ran", "TWICE", simulation.NewScenario),
		Entry("a claim granted by a single store", "one ledger is enough", "TWICE", simulation.NewScenario),
		Entry("a response that only one controller stores", "one store keeps an answer", "DENIED|KEPT", simulation.NewScenario),
		Entry("a response that is confirmed before it is durable", "an answer is confirmed before it is stored", "DENIED|KEPT",
			simulation.NewScenario),
		Entry("a successor that copies claims without their responses", "a successor copies no answers", "DENIED|KEPT",
			simulation.NewScenario),
		Entry("a voter that votes with an empty disk", "votes with an empty disk", "CONFIG|LOST|LEADER|TWICE",
			simulation.NewScenario),
		Entry("a snapshot that drops the log after it", "a snapshot drops the log after it", "FAULT", simulation.NewScenario),
		Entry("a change whose base isn't checked", "a base isn't looked at", "CONFIG", simulation.NewScenario),
		Entry("a repeated call that isn't recognized", "calls are forgotten", "CONFIG|AGAIN", simulation.NewScenario),
		Entry("an edge that applies an older configuration", "an edge takes any version", "CONFIG",
			simulation.NewServiceScenario),
		Entry("a new allocator that allocates slots that are still leased", "a new dealer deals at once", "ROOM",
			newBusyScenario),
		Entry("a full weight table that isn't sent to an edge that reconnects", "a whole table is kept back", "TABLE",
			simulation.NewServiceScenario),
		Entry("a drain that is acknowledged before it is published", "a drain is acknowledged before it is told", "DRAIN",
			simulation.NewServiceScenario),
		Entry("a late heartbeat that reverts a drain", "a late beat undoes a drain", "DRAIN", simulation.NewServiceScenario),
		Entry("connections that are bound to an address instead of a server", "connections belong to an address", "ROUTE",
			simulation.NewServiceScenario),
		Entry("an edge that accepts a response to another request", "answers aren't told apart", "MIXED",
			simulation.NewServiceScenario),
		Entry("an edge that retries a request that may have run", "what broke off is tried again", "TWICE|REFUSED",
			simulation.NewServiceScenario),
		Entry("retries that bypass the budget", "tries cost nothing", "BUDGET", simulation.NewServiceScenario),
	)
})

var _ = Describe("every order of events of the bounded model", func() {
	It("runs a key at most once through a power loss, and within the state limit through a lost disk", func() {
		if raceDetector {
			Expect(simulation.Explore(simulation.Bounds{States: 300, PowerLosses: 1, Wipes: 1}).Violation).To(BeEmpty())
			return
		}
		r := simulation.Explore(simulation.Bounds{States: 5000, PowerLosses: 1})
		Expect(r.Violation).To(BeEmpty())
		Expect(r.Truncated).To(BeFalse(), "all states are visited")
		Expect(r.States).To(BeNumerically(">", 1000))
		r = simulation.Explore(simulation.Bounds{States: 3000, PowerLosses: 1, Wipes: 1, Revocations: 1})
		Expect(r.Violation).To(BeEmpty())
	})
	DescribeTable("detects a planted fault", func(fault string, powers, wipes int) {
		if raceDetector {
			Skip("too slow under the race detector; .ci/run runs it without")
		}
		r := simulation.Explore(simulation.Bounds{States: 8000, PowerLosses: powers, Wipes: wipes, PlantedFault: fault})
		Expect(r.Violation).To(HavePrefix("TWICE"))
		Expect(r.Trace).NotTo(BeEmpty())
	},
		Entry("a claim store that grants before storing", "grants before storing", 1, 0),
		Entry("a claim store that grants with an empty disk", "grants with an empty disk", 0, 1),
		Entry("an edge that revokes the claim of an operation that ran", "withdraws what ran", 1, 0),
	)
})
