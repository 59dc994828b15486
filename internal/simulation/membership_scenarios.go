package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// LeaderNode as a trouble's Node means the controller that leads.
const LeaderNode = -1

// ofMembers are the troubles of member days; each may strike as many machines at once as are borne.
var ofMembers = []string{Replace, Replace, ReplaceBack, StandbyFirst, StandbyFirst, StandbyAfter, Restart, Wipe, Wipe,
	Kill, Partition, OutboundPartition, InboundPartition, SlowDisk, FullDisk, Freeze}

// NewMembershipScenario draws a day on which machines are replaced, end in order, lose their disks, are cut off, killed and
// stand still, never more at once than are borne: a lost machine counts as lost until the core has had its time to settle
// after the machine's, or its successor's, start.
func NewMembershipScenario(seed uint64, members, lost int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 15))
	d := membershipScenario(seed, members, lost)
	d.Seeds = rng.IntN(3) % 2
	at := 4 * time.Second
	for range 5 + rng.IntN(3) {
		at = d.addLoss(rng, at, lost)
		if rng.IntN(6) == 0 { // the whole core loses power, perhaps together with the next loss
			span := time.Duration(200+rng.IntN(1500)) * time.Millisecond
			d.addFault(Fault{At: at, Kind: PowerAll, Duration: span})
			at += span
			if rng.IntN(2) == 0 {
				at += recoverWithin
			}
		}
	}
	d.addSideFaults(rng, at)
	d.sortFaults()
	return d
}

// NewReplacementChainScenario draws a day on which every machine in turn is replaced, twice over, with lost disks, cuts,
// kills and losses of power between, and a loss of as many as are borne at the end.
func NewReplacementChainScenario(seed uint64, members, lost int) Scenario {
	rng := rand.New(rand.NewPCG(seed, 16))
	d := membershipScenario(seed, members, lost)
	at := 4 * time.Second
	kinds := []string{Replace, Replace, StandbyFirst, StandbyAfter, ReplaceBack}
	for i := range 2 * members {
		t := Fault{At: at, Kind: kinds[rng.IntN(len(kinds))], Node: i % members,
			Duration: time.Duration(100+rng.IntN(3000)) * time.Millisecond}
		d.addFault(t)
		at = t.endsAt() + recoverWithin
		if i%3 == 2 {
			at = d.addLoss(rng, at, lost)
		}
		if i == members {
			d.addFault(Fault{At: at, Kind: PowerAll, Duration: time.Second})
			at += time.Second + recoverWithin
		}
	}
	for _, place := range rng.Perm(members)[:lost] {
		d.addFault(Fault{At: at, Kind: []string{Wipe, Replace}[rng.IntN(2)], Node: place, Duration: time.Second})
	}
	d.addSideFaults(rng, at)
	d.sortFaults()
	return d
}

func membershipScenario(seed uint64, members, lost int) Scenario {
	return Scenario{Seed: seed, Members: members, MaxLostDisks: lost, Edges: 3, ChangeIntervalTicks: 100, Operators: 8,
		ReplyLossInterval: 3, MustRecover: true}
}

func (d *Scenario) addFault(t Fault) { d.Faults = append(d.Faults, t) }

// endsAt is when a trouble is over.
func (t Fault) endsAt() time.Duration {
	switch t.Kind {
	case JumpClock:
		return t.At
	case ReplaceBack:
		return t.At + t.Duration + backAfter
	case StandbyFirst, StandbyAfter, Restart:
		return t.At + t.Duration + maxShutdown
	}
	return t.At + t.Duration
}

// addLoss draws a loss of as many machines as are borne, at most, about at once. It gives when the next loss may come.
func (d *Scenario) addLoss(rng *rand.Rand, at time.Duration, lost int) time.Duration {
	next := at
	for i, place := range rng.Perm(d.Members)[:1+rng.IntN(lost)] {
		t := Fault{At: at + time.Duration(rng.IntN(400))*time.Millisecond, Kind: ofMembers[rng.IntN(len(ofMembers))], Node: place,
			Duration: time.Duration(100+rng.IntN(4000)) * time.Millisecond}
		if i == 0 && d.MaxLostDisks == 1 && rng.IntN(3) == 0 {
			t.Node = LeaderNode
		}
		d.addFault(t)
		if t.Kind == Wipe && rng.IntN(3) == 0 { // just as the others lose power
			d.addFault(Fault{At: t.At, Kind: PowerAll, Duration: t.Duration})
		}
		next = max(next, t.endsAt())
	}
	return next + recoverWithin
}

// addSideFaults draws what costs the core nothing: troubles of edges, and jumps of the time of day.
func (d *Scenario) addSideFaults(rng *rand.Rand, until time.Duration) {
	for at := 2 * time.Second; at < until; at += time.Duration(500+rng.IntN(5000)) * time.Millisecond {
		t := Fault{At: at, Kind: []string{KillEdge, PartitionEdge, FreezeEdge, JumpClock}[rng.IntN(4)],
			Node:     rng.IntN(d.Members * d.Edges),
			Duration: time.Duration(100+rng.IntN(2000)) * time.Millisecond}
		if t.Kind == JumpClock {
			t.Duration = time.Duration(rng.IntN(7200)-3600) * time.Second
		}
		d.addFault(t)
	}
}

// sortFaults puts the troubles in order and ends the day some seconds after the core has settled from the last.
func (d *Scenario) sortFaults() {
	last := time.Duration(0)
	for _, t := range d.Faults {
		last = max(last, t.endsAt())
	}
	slices.SortStableFunc(d.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	d.Length = last + recoverWithin + 4*time.Second
}
