// Package rehearse plays the core of the gateway and its edges in simulated time from one seed: the real deciders
// (agreement, ledgers, offices) over modelled messages, disks and losses. An auditor that knows nothing of their books
// holds what servers ran and what operators were told against the rules. What goes wrong in a day is a script, so that a
// bad day can be cut down to the few troubles that it needs.
package rehearse

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Trouble is one thing that goes wrong.
type Trouble struct {
	At   time.Duration
	Kind string
	Node int // an exchange; for a kill of an edge, the edge
	For  time.Duration
}

func (t Trouble) String() string {
	return fmt.Sprintf("%7.3fs %-10s %d for %.3fs", t.At.Seconds(), t.Kind, t.Node, t.For.Seconds())
}

// The kinds of trouble.
const (
	Kill     = "kill"      // an exchange's process ends; its disk stays
	Wipe     = "wipe"      // it loses its disk with it
	PowerAll = "power_all" // all exchanges end; writes that were not done are lost
	Cut      = "cut"       // an exchange is cut off from the other exchanges
	SlowDisk = "slow_disk" // its writes take 25 times as long
	FullDisk = "full_disk" // its writes fail
	KillEdge = "kill_edge" // an edge forgets all
)

// Day is what is played.
type Day struct {
	Seed     uint64
	Members  int // exchanges with a vote
	Lost     int // disks that may be lost at once
	Edges    int
	Length   time.Duration
	Troubles []Trouble
	Fault    string // planted, to see that the auditor sees
}

// NewDay draws a day. Losses of disks stay within what is borne, and are far enough apart to be made good.
func NewDay(seed uint64, members, lost int) Day {
	rng := rand.New(rand.NewPCG(seed, 11))
	d := Day{Seed: seed, Members: members, Lost: lost, Edges: 3, Length: 14 * time.Second}
	wiped := time.Duration(-1)
	for at := 2 * time.Second; at < d.Length-4*time.Second; at += time.Duration(rng.IntN(1500)) * time.Millisecond {
		t := Trouble{At: at, Node: rng.IntN(members), For: time.Duration(200+rng.IntN(1500)) * time.Millisecond}
		switch n := rng.IntN(16); {
		case n < 4:
			t.Kind = Kill
		case n < 6:
			t.Kind = PowerAll
		case n < 8:
			t.Kind = Cut
		case n < 10:
			t.Kind = SlowDisk
		case n < 11:
			t.Kind = FullDisk
		case n < 13:
			t.Kind, t.Node = KillEdge, rng.IntN(d.Edges)
		default:
			if wiped >= 0 && at < wiped+5*time.Second {
				continue
			}
			wiped = at
			for _, node := range rng.Perm(members)[:1+rng.IntN(lost)] {
				d.Troubles = append(d.Troubles, Trouble{At: at, Kind: Wipe, Node: node, For: t.For})
			}
			if rng.IntN(2) == 0 {
				d.Troubles = append(d.Troubles, Trouble{At: at, Kind: PowerAll, For: t.For})
			}
			continue
		}
		d.Troubles = append(d.Troubles, t)
	}
	return d
}

// Shrink drops troubles that a bad day doesn't need to stay bad.
func Shrink(d Day) Day {
	for again := true; again; {
		again = false
		for i := range d.Troubles {
			less := d
			less.Troubles = append(append([]Trouble{}, d.Troubles[:i]...), d.Troubles[i+1:]...)
			if Play(less).Broken != "" {
				d, again = less, true
				break
			}
		}
	}
	return d
}
