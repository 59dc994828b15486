// Package simulation plays the controllers of the gateway and its edges in simulated time from one seed: the real deciders
// (consensus, claim stores, coordinators) over modelled messages, disks and losses. An auditor that knows nothing of their books
// holds what servers ran and what operators were told against the rules. What goes wrong in a day is a script, so that a
// bad day can be cut down to the few troubles that it needs.
package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one thing that goes wrong.
type Fault struct {
	At       time.Duration
	Kind     string
	Node     int // a controller; for a kill of an edge, the edge
	Duration time.Duration
}

func (fault Fault) String() string {
	return fmt.Sprintf("%7.3fs %-10s %d for %.3fs", fault.At.Seconds(), fault.Kind, fault.Node, fault.Duration.Seconds())
}

// The kinds of trouble.
const (
	Kill              = "kill"      // a controller's process ends; its disk stays
	Wipe              = "wipe"      // it loses its disk with it
	PowerAll          = "power_all" // all controllers end; writes that were not done are lost
	Partition         = "cut"       // a controller is cut off from the other controllers
	OutboundPartition = "cut_out"   // it hears the other controllers, and they don't hear it
	InboundPartition  = "cut_in"    // they hear it, and it doesn't hear them
	SlowDisk          = "slow_disk" // its writes take 25 times as long
	FullDisk          = "full_disk" // its writes fail
	KillEdge          = "kill_edge" // an edge forgets all

	Replace      = "replace"         // a machine is gone for good, and its successor starts after the span
	ReplaceBack  = "replace_back"    // and some seconds later the old one comes back with its disk
	StandbyFirst = "successor_first" // the successor starts, and the old one is told to end after the span
	StandbyAfter = "successor_after" // the old one is told to end, and the successor starts after the span
	Restart      = "restart"         // a controller is told to end, and starts again on its disk
	JumpClock    = "jump_clock"      // its time of day jumps by the span

	Freeze        = "freeze"      // a controller stands still, and goes on
	PartitionEdge = "cut_edge"    // an edge is cut off from all controllers
	FreezeEdge    = "freeze_edge" // an edge stands still
	Drain         = "drain"       // a server leaves in order, and its address goes to another service
	Crash         = "crash"       // a server ends, half of them with their machine
	LoseReplies   = "lose"        // a server runs requests and their answers are lost
	Garble        = "garble"      // a server's answers break off, or belong to another request
	SlowServer    = "slow_server"
	FailingServer = "sick" // most answers of all servers of a service break off
)

// core are the troubles of controllers and edges, service those of servers.
var (
	controlFaults = []string{Kill, Kill, PowerAll, Partition, SlowDisk, FullDisk, KillEdge, Freeze, PartitionEdge, FreezeEdge}
	serverFaults  = []string{Drain, Drain, Drain, Crash, LoseReplies, Garble, SlowServer, FailingServer}
)

// Scenario is what is played.
type Scenario struct {
	Seed                uint64
	Members             int // controllers with a vote
	MaxLostDisks        int // disks that may be lost at once
	Edges               int
	Services            int
	Servers             int
	Rate                float64 // requests a second at each edge
	ChangeIntervalTicks int     // ticks of a leader between changes, in the mean
	Length              time.Duration
	Faults              []Fault
	PlantedFault        string // planted, to see that the auditor sees
	MeasureLatency      bool   // times of answers, and of waiting beside idle servers, are wanted
	BookingLoad         BookingLoad
	Operators           int    // operators at once; 0: two
	ReplyLossInterval   int    // one answer to an operator in so many is lost; 0: one in ten
	Seeds               int    // machines that are known at the first start, too few to be all voters; 0: all
	MustRecover         bool   // the core has to be whole again some time after each trouble
	Policy              string // by which edges pick, to compare with; empty: as they do
}

func (scenario Scenario) operatorCount() int {
	if scenario.Operators == 0 {
		return 2
	}
	return scenario.Operators
}

func (scenario Scenario) replyLoss() int {
	if scenario.ReplyLossInterval == 0 {
		return 10
	}
	return scenario.ReplyLossInterval
}

// maxDrain is the rule's: how long after its acknowledgement a server that leaves may still be sent to. The rehearsal
// holds the system to half of what the first deployments allow.
func (scenario Scenario) maxDrain() time.Duration { return time.Second }

// NewScenario draws a day. Losses of disks stay within what is borne, and are far enough apart to be made good.
func NewScenario(seed uint64, members, lost int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 11))
	scenario := Scenario{Seed: seed, Members: members, MaxLostDisks: lost, Edges: 3, Length: 14 * time.Second,
		ChangeIntervalTicks: 20}
	wiped := time.Duration(-1)
	for at := 2 * time.Second; at < scenario.Length-4*time.Second; at += time.Duration(rng.IntN(1500)) * time.Millisecond {
		fault := Fault{At: at, Node: rng.IntN(members), Duration: time.Duration(200+rng.IntN(1500)) * time.Millisecond}
		switch n := rng.IntN(16); {
		case n < 4:
			fault.Kind = Kill
		case n < 6:
			fault.Kind = PowerAll
		case n < 8:
			fault.Kind = []string{Partition, OutboundPartition, InboundPartition}[rng.IntN(3)]
		case n < 10:
			fault.Kind = SlowDisk
		case n < 11:
			fault.Kind = FullDisk
		case n < 13:
			fault.Kind, fault.Node = KillEdge, rng.IntN(scenario.Edges)
		default:
			if wiped >= 0 && at < wiped+5*time.Second {
				continue
			}
			wiped = at
			for _, node := range rng.Perm(members)[:1+rng.IntN(lost)] {
				scenario.Faults = append(scenario.Faults, Fault{At: at, Kind: Wipe, Node: node, Duration: fault.Duration})
			}
			if rng.IntN(2) == 0 {
				scenario.Faults = append(scenario.Faults, Fault{At: at, Kind: PowerAll, Duration: fault.Duration})
			}
			continue
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	return scenario
}

// NewServiceScenario draws a day on which the core's troubles are far enough apart for the rules that hold between them, and
// servers come, leave, crash, lose and spoil answers all the time.
func NewServiceScenario(seed uint64, members, lost int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 12))
	scenario := Scenario{Seed: seed, Members: members, MaxLostDisks: lost, Edges: 3 + rng.IntN(3), Services: 3, Servers: 9 +
		rng.IntN(6), Rate: 25, ChangeIntervalTicks: 300, Length: 24 * time.Second}
	for at := 3 * time.Second; at < scenario.Length-3*time.Second; at += time.Duration(100+rng.IntN(900)) * time.Millisecond {
		scenario.Faults = append(scenario.Faults, Fault{At: at, Kind: serverFaults[rng.IntN(len(serverFaults))],
			Node: rng.IntN(1000), Duration: time.Duration(500+rng.IntN(3000)) * time.Millisecond})
	}
	for at := 3 * time.Second; at < scenario.Length-3*time.Second; at += time.Duration(2000+rng.IntN(7000)) * time.Millisecond {
		scenario.Faults = append(scenario.Faults, Fault{At: at, Kind: controlFaults[rng.IntN(len(controlFaults))],
			Node: rng.IntN(1000), Duration: time.Duration(200+rng.IntN(1800)) * time.Millisecond})
	}
	slices.SortStableFunc(scenario.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return scenario
}

// Shrink drops troubles that a bad day doesn't need to stay bad, one after the other, with so many days played at most.
func Shrink(scenario Scenario, maxRuns int) Scenario {
	violation, _, _ := strings.Cut(Run(scenario).Violation, ":")
	for shrunk := true; shrunk; {
		shrunk = false
		for i := range scenario.Faults {
			if maxRuns--; maxRuns < 0 {
				return scenario
			}
			candidate := scenario
			candidate.Faults = append(append([]Fault{}, scenario.Faults[:i]...), scenario.Faults[i+1:]...)
			if strings.HasPrefix(Run(candidate).Violation, violation+":") {
				scenario, shrunk = candidate, true
				break
			}
		}
	}
	return scenario
}
