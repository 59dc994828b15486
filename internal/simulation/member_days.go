package simulation

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Leading as a trouble's Node means the controller that leads.
const Leading = -1

// ofMembers are the troubles of member days; each may strike as many machines at once as are borne.
var ofMembers = []string{Replace, Replace, ReplaceBack, SuccessorFirst, SuccessorFirst, SuccessorAfter, Restart, Wipe, Wipe,
	Kill, Cut, CutOut, CutIn, SlowDisk, FullDisk, Freeze}

// NewMemberDay draws a day on which machines are replaced, end in order, lose their disks, are cut off, killed and stand
// still, never more at once than are borne: a lost machine counts as lost until the core has had its time to settle after
// the machine's, or its successor's, start.
func NewMemberDay(seed uint64, members, lost int) Day {
	rng := rand.New(rand.NewPCG(seed, 15))
	d := memberDay(seed, members, lost)
	d.Seeds = rng.IntN(3) % 2
	at := 4 * time.Second
	for range 5 + rng.IntN(3) {
		at = d.strike(rng, at, lost)
		if rng.IntN(6) == 0 { // the whole core loses power, perhaps together with the next loss
			span := time.Duration(200+rng.IntN(1500)) * time.Millisecond
			d.add(Trouble{At: at, Kind: PowerAll, For: span})
			at += span
			if rng.IntN(2) == 0 {
				at += settleWithin
			}
		}
	}
	d.sideTroubles(rng, at)
	d.finish()
	return d
}

// NewChainDay draws a day on which every machine in turn is replaced, twice over, with lost disks, cuts, kills and losses
// of power between, and a loss of as many as are borne at the end.
func NewChainDay(seed uint64, members, lost int) Day {
	rng := rand.New(rand.NewPCG(seed, 16))
	d := memberDay(seed, members, lost)
	at := 4 * time.Second
	kinds := []string{Replace, Replace, SuccessorFirst, SuccessorAfter, ReplaceBack}
	for i := range 2 * members {
		t := Trouble{At: at, Kind: kinds[rng.IntN(len(kinds))], Node: i % members, For: time.Duration(100+rng.IntN(3000)) * time.Millisecond}
		d.add(t)
		at = t.ends() + settleWithin
		if i%3 == 2 {
			at = d.strike(rng, at, lost)
		}
		if i == members {
			d.add(Trouble{At: at, Kind: PowerAll, For: time.Second})
			at += time.Second + settleWithin
		}
	}
	for _, place := range rng.Perm(members)[:lost] {
		d.add(Trouble{At: at, Kind: []string{Wipe, Replace}[rng.IntN(2)], Node: place, For: time.Second})
	}
	d.sideTroubles(rng, at)
	d.finish()
	return d
}

func memberDay(seed uint64, members, lost int) Day {
	return Day{Seed: seed, Members: members, Lost: lost, Edges: 3, Every: 100, Writers: 8, Lossy: 3, Settles: true}
}

func (d *Day) add(t Trouble) { d.Troubles = append(d.Troubles, t) }

// ends is when a trouble is over.
func (t Trouble) ends() time.Duration {
	switch t.Kind {
	case JumpClock:
		return t.At
	case ReplaceBack:
		return t.At + t.For + backAfter
	case SuccessorFirst, SuccessorAfter, Restart:
		return t.At + t.For + leaveMost
	}
	return t.At + t.For
}

// strike draws a loss of as many machines as are borne, at most, about at once. It gives when the next loss may come.
func (d *Day) strike(rng *rand.Rand, at time.Duration, lost int) time.Duration {
	next := at
	for i, place := range rng.Perm(d.Members)[:1+rng.IntN(lost)] {
		t := Trouble{At: at + time.Duration(rng.IntN(400))*time.Millisecond, Kind: ofMembers[rng.IntN(len(ofMembers))], Node: place,
			For: time.Duration(100+rng.IntN(4000)) * time.Millisecond}
		if i == 0 && d.Lost == 1 && rng.IntN(3) == 0 {
			t.Node = Leading
		}
		d.add(t)
		if t.Kind == Wipe && rng.IntN(3) == 0 { // just as the others lose power
			d.add(Trouble{At: t.At, Kind: PowerAll, For: t.For})
		}
		next = max(next, t.ends())
	}
	return next + settleWithin
}

// sideTroubles draws what costs the core nothing: troubles of edges, and jumps of the time of day.
func (d *Day) sideTroubles(rng *rand.Rand, until time.Duration) {
	for at := 2 * time.Second; at < until; at += time.Duration(500+rng.IntN(5000)) * time.Millisecond {
		t := Trouble{At: at, Kind: []string{KillEdge, CutEdge, FreezeEdge, JumpClock}[rng.IntN(4)], Node: rng.IntN(d.Members * d.Edges),
			For: time.Duration(100+rng.IntN(2000)) * time.Millisecond}
		if t.Kind == JumpClock {
			t.For = time.Duration(rng.IntN(7200)-3600) * time.Second
		}
		d.add(t)
	}
}

// finish puts the troubles in order and ends the day some seconds after the core has settled from the last.
func (d *Day) finish() {
	last := time.Duration(0)
	for _, t := range d.Troubles {
		last = max(last, t.ends())
	}
	slices.SortStableFunc(d.Troubles, func(a, b Trouble) int { return cmp.Compare(a.At, b.At) })
	d.Length = last + settleWithin + 4*time.Second
}
