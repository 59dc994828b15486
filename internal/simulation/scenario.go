// Package simulation runs the gateway's controllers and edges in simulated time from one seed: the production decision code
// (consensus, claim stores, coordinators) over modelled messages, disks and faults. An independent auditor, which doesn't
// read the state of these components, checks the runs at servers and the replies to operators against the rules. Faults are
// a script, so that a failing scenario can be shrunk to the few faults that it needs.
package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one scheduled fault of a scenario.
type Fault struct {
	At       time.Duration
	Kind     string
	Node     int // controller number; for faults of edges and servers, an index that is reduced to one of them
	Duration time.Duration
}

// String returns the fault on one line: its time, kind, target and duration.
func (fault Fault) String() string {
	return fmt.Sprintf("%7.3fs %-10s %d for %.3fs", fault.At.Seconds(), fault.Kind, fault.Node, fault.Duration.Seconds())
}

// The kinds of faults.
const (
	Kill              = "kill"      // a controller's process ends and restarts; its disk is kept
	Wipe              = "wipe"      // a controller's process ends and its disk is lost
	PowerAll          = "power_all" // all controllers end; incomplete writes are lost
	Partition         = "cut"       // a controller is partitioned from the other controllers in both directions
	OutboundPartition = "cut_out"   // a controller receives from the other controllers but can't send to them
	InboundPartition  = "cut_in"    // a controller sends to the other controllers but can't receive from them
	SlowDisk          = "slow_disk" // a controller's writes take 25 times as long
	FullDisk          = "full_disk" // a controller's writes fail
	KillEdge          = "kill_edge" // an edge restarts without state

	Replace      = "replace"         // a controller is removed permanently; a replacement starts after Duration
	ReplaceBack  = "replace_back"    // Replace, and the removed controller returns with its disk after another returnDelay
	StandbyFirst = "successor_first" // a replacement starts; the old controller is shut down after Duration
	StandbyAfter = "successor_after" // a controller is shut down; its replacement starts after Duration
	Restart      = "restart"         // a controller is shut down and restarts on its disk
	JumpClock    = "jump_clock"      // a controller's wall clock is offset by Duration

	Freeze        = "freeze"      // a controller's process is suspended, then resumes
	PartitionEdge = "cut_edge"    // an edge is partitioned from all controllers
	FreezeEdge    = "freeze_edge" // an edge's process is suspended, then resumes
	Drain         = "drain"       // a server drains; its address may go to another service
	Crash         = "crash"       // a server crashes; for an even Node its machine becomes unreachable as well
	LoseReplies   = "lose"        // a server runs requests, and some of its responses are lost
	Garble        = "garble"      // some of a server's responses are truncated or belong to another request
	SlowServer    = "slow_server"
	FailingServer = "sick" // most responses of all servers of a service are truncated
)

// controlFaults are the faults of controllers and edges, serverFaults those of servers. A kind that is listed several times
// is drawn more often.
var (
	controlFaults = []string{Kill, Kill, PowerAll, Partition, SlowDisk, FullDisk, KillEdge, Freeze, PartitionEdge, FreezeEdge}
	serverFaults  = []string{Drain, Drain, Drain, Crash, LoseReplies, Garble, SlowServer, FailingServer}
)

// Scenario describes one simulation run.
type Scenario struct {
	Seed                uint64
	Members             int // voting controllers
	MaxLostDisks        int // disks that may be lost at the same time
	Edges               int
	Services            int
	Servers             int
	Rate                float64 // requests per second at each edge
	ChangeIntervalTicks int     // mean number of ticks between two configuration changes of an operator
	Length              time.Duration
	Faults              []Fault
	PlantedFault        string // deliberate defect, to verify that the auditor detects it; empty: none
	MeasureLatency      bool   // record response times and the time that requests wait while another server has a free slot
	BookingLoad         BookingLoad
	Operators           int    // concurrent operators; 0: two
	ReplyLossInterval   int    // one of this many replies to operators is lost; 0: one in ten
	Seeds               int    // number of controllers known at bootstrap if they are too few to be all voters; 0: all are known
	MustRecover         bool   // require that the controllers regain full fault tolerance within recoveryTimeout of each fault
	Policy              string // server selection policy of edges, one of Policies; empty: the production policy
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

// maxDrain is how long after the acknowledgement of its drain a server may still receive requests. The simulation requires
// half of what the first deployments allow.
func (scenario Scenario) maxDrain() time.Duration { return time.Second }

// NewScenario generates a scenario with faults of controllers and edges. Disk losses stay within the tolerated number, and
// are far enough apart for the stores to recover in between.
func NewScenario(seed uint64, members, maxLostDisks int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 11))
	scenario := Scenario{Seed: seed, Members: members, MaxLostDisks: maxLostDisks, Edges: 3, Length: 14 * time.Second,
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
			for _, node := range rng.Perm(members)[:1+rng.IntN(maxLostDisks)] {
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

// NewServiceScenario generates a scenario in which controller faults are far enough apart for the rules that hold between
// them, while servers start, drain, crash, and lose or corrupt responses all the time.
func NewServiceScenario(seed uint64, members, maxLostDisks int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 12))
	scenario := Scenario{Seed: seed, Members: members, MaxLostDisks: maxLostDisks, Edges: 3 + rng.IntN(3), Services: 3,
		Servers: 9 + rng.IntN(6), Rate: 25, ChangeIntervalTicks: 300, Length: 24 * time.Second}
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

// Shrink removes faults one at a time from a failing scenario as long as the same rule is still violated. It runs at most
// maxRuns simulations.
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
