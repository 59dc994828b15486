package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// LeaderNode as the Node of a fault selects the controller that leads when the fault begins.
const LeaderNode = -1

// membershipFaults are the fault kinds of membership scenarios. Each may affect as many controllers at the same time as are
// tolerated. A kind that is listed several times is drawn more often.
var membershipFaults = []string{Replace, Replace, ReplaceBack, StandbyFirst, StandbyFirst, StandbyAfter, Restart, Wipe, Wipe,
	Kill, Partition, OutboundPartition, InboundPartition, SlowDisk, FullDisk, Freeze}

// NewMembershipScenario generates a scenario in which controllers are replaced, shut down, wiped, partitioned, killed and
// suspended, never more at the same time than are tolerated: a lost controller counts as lost until recoveryTimeout after
// its own or its replacement's start.
func NewMembershipScenario(seed uint64, members, maxLostDisks int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 15))
	scenario := membershipScenario(seed, members, maxLostDisks)
	scenario.Seeds = rng.IntN(3) % 2
	at := 4 * time.Second
	for range 5 + rng.IntN(3) {
		at = scenario.addLoss(rng, at, maxLostDisks)
		if rng.IntN(6) == 0 { // all controllers lose power, possibly together with the next loss
			span := time.Duration(200+rng.IntN(1500)) * time.Millisecond
			scenario.addFault(Fault{At: at, Kind: PowerAll, Duration: span})
			at += span
			if rng.IntN(2) == 0 {
				at += recoveryTimeout
			}
		}
	}
	scenario.addSideFaults(rng, at)
	scenario.sortFaults()
	return scenario
}

// NewReplacementChainScenario generates a scenario in which every controller in turn is replaced, twice over, with wipes,
// partitions, kills and power losses in between, and at the end a loss of as many controllers as are tolerated.
func NewReplacementChainScenario(seed uint64, members, maxLostDisks int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 16))
	scenario := membershipScenario(seed, members, maxLostDisks)
	at := 4 * time.Second
	kinds := []string{Replace, Replace, StandbyFirst, StandbyAfter, ReplaceBack}
	for i := range 2 * members {
		fault := Fault{At: at, Kind: kinds[rng.IntN(len(kinds))], Node: i % members,
			Duration: time.Duration(100+rng.IntN(3000)) * time.Millisecond}
		scenario.addFault(fault)
		at = fault.endsAt() + recoveryTimeout
		if i%3 == 2 {
			at = scenario.addLoss(rng, at, maxLostDisks)
		}
		if i == members {
			scenario.addFault(Fault{At: at, Kind: PowerAll, Duration: time.Second})
			at += time.Second + recoveryTimeout
		}
	}
	for _, position := range rng.Perm(members)[:maxLostDisks] {
		scenario.addFault(Fault{At: at, Kind: []string{Wipe, Replace}[rng.IntN(2)], Node: position, Duration: time.Second})
	}
	scenario.addSideFaults(rng, at)
	scenario.sortFaults()
	return scenario
}

func membershipScenario(seed uint64, members, maxLostDisks int) Scenario {
	return Scenario{Seed: seed, Members: members, MaxLostDisks: maxLostDisks, Edges: 3, ChangeIntervalTicks: 100, Operators: 8,
		ReplyLossInterval: 3, MustRecover: true}
}

func (scenario *Scenario) addFault(fault Fault) { scenario.Faults = append(scenario.Faults, fault) }

// endsAt returns the time at which a fault is over.
func (fault Fault) endsAt() time.Duration {
	switch fault.Kind {
	case JumpClock:
		return fault.At
	case ReplaceBack:
		return fault.At + fault.Duration + returnDelay
	case StandbyFirst, StandbyAfter, Restart:
		return fault.At + fault.Duration + maxShutdown
	}
	return fault.At + fault.Duration
}

// addLoss adds faults of at most as many controllers as are tolerated, about the same time. It returns when the next loss
// may begin.
func (scenario *Scenario) addLoss(rng *rand.Rand, at time.Duration, maxLost int) time.Duration {
	next := at
	for i, position := range rng.Perm(scenario.Members)[:1+rng.IntN(maxLost)] {
		fault := Fault{At: at + time.Duration(rng.IntN(400))*time.Millisecond,
			Kind: membershipFaults[rng.IntN(len(membershipFaults))], Node: position,
			Duration: time.Duration(100+rng.IntN(4000)) * time.Millisecond}
		if i == 0 && scenario.MaxLostDisks == 1 && rng.IntN(3) == 0 {
			fault.Node = LeaderNode
		}
		scenario.addFault(fault)
		if fault.Kind == Wipe && rng.IntN(3) == 0 { // together with a power loss of the other controllers
			scenario.addFault(Fault{At: fault.At, Kind: PowerAll, Duration: fault.Duration})
		}
		next = max(next, fault.endsAt())
	}
	return next + recoveryTimeout
}

// addSideFaults adds faults that don't reduce the fault tolerance of the controllers: faults of edges, and jumps of wall
// clocks.
func (scenario *Scenario) addSideFaults(rng *rand.Rand, until time.Duration) {
	for at := 2 * time.Second; at < until; at += time.Duration(500+rng.IntN(5000)) * time.Millisecond {
		fault := Fault{At: at, Kind: []string{KillEdge, PartitionEdge, FreezeEdge, JumpClock}[rng.IntN(4)],
			Node:     rng.IntN(scenario.Members * scenario.Edges),
			Duration: time.Duration(100+rng.IntN(2000)) * time.Millisecond}
		if fault.Kind == JumpClock {
			fault.Duration = time.Duration(rng.IntN(7200)-3600) * time.Second
		}
		scenario.addFault(fault)
	}
}

// sortFaults sorts the faults by time and ends the scenario some seconds after the deadline for recovery from the last one.
func (scenario *Scenario) sortFaults() {
	last := time.Duration(0)
	for _, fault := range scenario.Faults {
		last = max(last, fault.endsAt())
	}
	slices.SortStableFunc(scenario.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	scenario.Length = last + recoveryTimeout + 4*time.Second
}
