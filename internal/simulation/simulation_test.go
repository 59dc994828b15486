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

// playAll plays so many days with three members and with five, side by side, and sums up what happened.
func playAll(draw func(uint64, int, int) simulation.Scenario, days uint64) (all simulation.Result) {
	results := make([]simulation.Result, 2*days)
	var playing sync.WaitGroup
	for i := range results {
		seed, lost := uint64(i)/2, 1+i%2
		playing.Go(func() { results[i] = simulation.Run(draw(seed, 2*lost+1, lost)) })
	}
	playing.Wait()
	for i, r := range results {
		Expect(r.Violation).To(BeEmpty(), "seed %d, %d disks may be lost", i/2, 1+i%2)
		all.Add(r)
	}
	return all
}

func busyDay(seed uint64, members, lost int) simulation.Scenario {
	return simulation.NewBookingScenario(seed, members, lost, simulation.BookingLoad{Rate: 20, SurgeFactor: 10, BookedShare: 0.5})
}

var _ = Describe("days of a core and its edges", func() {
	It("break no rule, and are days on which something happens", func() {
		if raced {
			playAll(simulation.NewScenario, 1)
			return
		}
		all := playAll(simulation.NewScenario, 10)
		Expect(all.Changes).To(BeNumerically(">", 1000))
		Expect(all.Runs).To(BeNumerically(">", 2500))
		Expect(all.Repeats).To(BeNumerically(">", 3000))
	})
	It("break no rule while servers come, leave and fail, over a million events", func() {
		if raced {
			playAll(simulation.NewServiceScenario, 1)
			return
		}
		all := playAll(simulation.NewServiceScenario, 10)
		Expect(all.Events).To(BeNumerically(">", 1_000_000))
		Expect(all.Served).To(BeNumerically(">", 20_000))
		Expect(all.Drains).To(BeNumerically(">", 100))
		Expect(all.Rejected).To(BeNumerically(">", 100))
		Expect(all.Unknown).To(BeNumerically(">", 100))
		Expect(all.RetriedRequests).To(BeNumerically(">", 100))
	})
	It("keep a tenant's booked room while others come at ten times their usual", func() {
		days := uint64(3)
		if raced {
			days = 1
		}
		play := func(busy simulation.BookingLoad) (all simulation.Result) {
			return playAll(func(seed uint64, members, lost int) simulation.Scenario {
				return simulation.NewBookingScenario(seed, members, lost, busy)
			}, days)
		}
		share := func(t simulation.TrafficStats) float64 { return float64(t.Served) / float64(t.Requests) }
		crowd := simulation.BookingLoad{Rate: 20, SurgeFactor: 10}
		without := play(crowd)
		crowd.BookedShare = 0.5
		with := play(crowd)
		Expect(share(without.Tenant)).To(BeNumerically("<", 0.3))
		Expect(share(with.Tenant)).To(BeNumerically(">", 0.9))
		Expect(with.Others.Served).To(BeNumerically(">", with.Tenant.Served), "what is left, and what is lent")
	})
	DescribeTable("keep booked room through", func(troubles ...simulation.Fault) {
		d := busyDay(3, 3, 1)
		d.Faults = troubles
		r := simulation.Run(d)
		Expect(r.Violation).To(BeEmpty())
		Expect(float64(r.Tenant.Served) / float64(r.Tenant.Requests)).To(BeNumerically(">", 0.85))
		Expect(r.Runs).To(BeNumerically(">", 200), "keyed operations go on, each once")
	},
		Entry("nothing"),
		Entry("the loss of the whole core a second before the start",
			simulation.Fault{At: 9 * time.Second, Kind: simulation.PowerAll, Duration: 3 * time.Second}),
		Entry("a leader that dies as it acknowledges", simulation.Fault{At: 1100 * time.Millisecond, Kind: simulation.Kill,
			Node: 0, Duration: time.Second},
			simulation.Fault{At: 1150 * time.Millisecond, Kind: simulation.Kill, Node: 1,
				Duration: time.Second},
			simulation.Fault{At: 1200 * time.Millisecond, Kind: simulation.Kill, Node: 2, Duration: time.Second}),
		Entry("a disk that is lost right after, and power on the others",
			simulation.Fault{At: 1300 * time.Millisecond, Kind: simulation.Wipe, Node: 1, Duration: time.Second},
			simulation.Fault{At: 1300 * time.Millisecond, Kind: simulation.PowerAll, Duration: time.Second}),
		Entry("half of the edges replaced in the middle",
			simulation.Fault{At: 12 * time.Second, Kind: simulation.KillEdge, Node: 0}, simulation.Fault{At: 13 * time.Second,
				Kind: simulation.KillEdge, Node: 2}),
		Entry("an edge that is cut off for long", simulation.Fault{At: 9 * time.Second, Kind: simulation.PartitionEdge,
			Node: 1, Duration: 9 * time.Second}),
		Entry("servers that crash in the middle", simulation.Fault{At: 12 * time.Second, Kind: simulation.Crash, Node: 0},
			simulation.Fault{At: 12 * time.Second, Kind: simulation.Crash, Node: 2},
			simulation.Fault{At: 12100 * time.Millisecond, Kind: simulation.Crash, Node: 4}),
		Entry("controllers that stand still by turns", simulation.Fault{At: 10 * time.Second, Kind: simulation.Freeze,
			Node: 0, Duration: 2 * time.Second},
			simulation.Fault{At: 13 * time.Second, Kind: simulation.Freeze, Node: 1,
				Duration: 2 * time.Second},
			simulation.Fault{At: 16 * time.Second, Kind: simulation.Freeze, Node: 2, Duration: 2 * time.Second}),
	)
	It("are the same again from the same seed", func() {
		Expect(simulation.Run(simulation.NewScenario(7, 5, 2))).To(Equal(simulation.Run(simulation.NewScenario(7, 5, 2))))
		Expect(simulation.Run(simulation.NewServiceScenario(7, 5,
			2))).To(Equal(simulation.Run(simulation.NewServiceScenario(7, 5, 2))))
	})
	DescribeTable("show a planted fault", func(fault, as string, draw func(uint64, int, int) simulation.Scenario) {
		if raced {
			Skip("too slow under the race detector; .ci/run plays them without it")
		}
		for seed := range uint64(300) {
			d := draw(seed, 3, 1)
			d.PlantedFault = fault
			if simulation.Run(d).Violation != "" {
				short := simulation.Shrink(d, 10)
				Expect(simulation.Run(short).Violation).To(MatchRegexp("^(" + as + ")"))
				Expect(len(short.Faults)).To(BeNumerically("<=", len(d.Faults)))
				return
			}
		}
		Fail("the planted fault was not seen")
	},
		Entry("a ledger that grants before storing", "grants before storing", "TWICE", simulation.NewScenario),
		Entry("a ledger that grants with an empty disk", "grants with an empty disk", "TWICE|REMOVED", simulation.NewScenario),
		Entry("a ledger that is restored from one other", "restored from one", "TWICE", simulation.NewScenario),
		Entry("an edge that withdraws what ran", "withdraws what ran", "TWICE", simulation.NewScenario),
		Entry("a claim that one ledger decides", "one ledger is enough", "TWICE", simulation.NewScenario),
		Entry("a member that votes with an empty disk", "votes with an empty disk", "CONFIG|LOST|LEADER|TWICE",
			simulation.NewScenario),
		Entry("a snapshot without the log after it", "a snapshot drops the log after it", "FAULT", simulation.NewScenario),
		Entry("a change whose base isn't looked at", "a base isn't looked at", "CONFIG", simulation.NewScenario),
		Entry("a call that is not known again", "calls are forgotten", "CONFIG|AGAIN", simulation.NewScenario),
		Entry("an edge that takes an older configuration", "an edge takes any version", "CONFIG", simulation.NewServiceScenario),
		Entry("a new dealer that deals what a former one dealt", "a new dealer deals at once", "ROOM", busyDay),
		Entry("a whole table that is kept back from an edge that comes back", "a whole table is kept back", "TABLE",
			simulation.NewServiceScenario),
		Entry("a drain that is acknowledged before it is told", "a drain is acknowledged before it is told", "DRAIN",
			simulation.NewServiceScenario),
		Entry("a late beat that undoes a drain", "a late beat undoes a drain", "DRAIN", simulation.NewServiceScenario),
		Entry("connections that belong to an address", "connections belong to an address", "ROUTE",
			simulation.NewServiceScenario),
		Entry("an edge that believes any answer", "answers aren't told apart", "MIXED", simulation.NewServiceScenario),
		Entry("an edge that tries again what may have run", "what broke off is tried again", "TWICE|REFUSED",
			simulation.NewServiceScenario),
		Entry("further tries that cost nothing", "tries cost nothing", "BUDGET", simulation.NewServiceScenario),
	)
})

var _ = Describe("every order of a small core's events", func() {
	It("lets a key run once through a loss of power, and, as far as is gone, of a disk", func() {
		if raced {
			Expect(simulation.Explore(simulation.Bounds{States: 300, PowerLosses: 1, Wipes: 1}).Violation).To(BeEmpty())
			return
		}
		r := simulation.Explore(simulation.Bounds{States: 5000, PowerLosses: 1})
		Expect(r.Violation).To(BeEmpty())
		Expect(r.Truncated).To(BeFalse(), "all there are")
		Expect(r.States).To(BeNumerically(">", 1000))
		r = simulation.Explore(simulation.Bounds{States: 3000, PowerLosses: 1, Wipes: 1, Revocations: 1})
		Expect(r.Violation).To(BeEmpty())
	})
	DescribeTable("shows a planted fault", func(fault string, powers, wipes int) {
		if raced {
			Skip("too slow under the race detector; .ci/run plays them without it")
		}
		r := simulation.Explore(simulation.Bounds{States: 8000, PowerLosses: powers, Wipes: wipes, PlantedFault: fault})
		Expect(r.Violation).To(HavePrefix("TWICE"))
		Expect(r.Trace).NotTo(BeEmpty())
	},
		Entry("a ledger that grants before storing", "grants before storing", 1, 0),
		Entry("a ledger that grants with an empty disk", "grants with an empty disk", 0, 1),
		Entry("an edge that withdraws what ran", "withdraws what ran", 1, 0),
	)
})
