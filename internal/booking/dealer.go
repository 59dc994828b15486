package booking

import (
	"cmp"
	"slices"
	"time"
)

// Demand is an edge's word on what it has in work or waiting under a booking. Stamp is the edge's own steady clock.
type Demand struct {
	Life     uint64
	Stamp    time.Duration
	Requests int
}

// Lease is an edge's part of a booking. It answers a Demand and counts from that one's stamp, on the edge's own clock: a
// word that is long on its way, or read by a process that stood still, is over by the time it is heard.
type Lease struct {
	Life  uint64
	Stamp time.Duration
	For   time.Duration
	Slots int
}

const (
	leaseFor  = 2 * time.Second
	demandOld = 3 * time.Second
)

// Dealer deals one booking's room to the edges. What any of them may still hold by an older lease is never dealt twice, so
// the parts sum to no more than the whole at every moment, through cuts, lost words and edges that die.
type Dealer struct {
	whole int
	edges map[string]*dealt
}

type dealt struct {
	demand Demand
	heard  time.Duration
	part   int // as last sent
	leases []sent
}

type sent struct {
	slots int
	until time.Duration
}

// NewDealer makes a dealer of so many slots.
func NewDealer(whole int) *Dealer { return &Dealer{whole: max(0, whole), edges: map[string]*dealt{}} }

// Resize sets the whole: it grows at once, and shrinks as leases end.
func (d *Dealer) Resize(whole int) { d.whole = max(0, whole) }

// Heard takes an edge's word on its demand. It also tells that the edge is there.
func (d *Dealer) Heard(edge string, demand Demand, now time.Duration) {
	e := d.edges[edge]
	if e == nil {
		e = &dealt{}
		d.edges[edge] = e
	}
	if demand.Life == e.demand.Life && demand.Stamp < e.demand.Stamp {
		return // a late one
	}
	demand.Requests = max(0, demand.Requests)
	e.demand, e.heard = demand, now
}

// held is the most that an edge may hold now, by any lease that it may have heard of.
func (e *dealt) held(now time.Duration) (most int) {
	e.leases = slices.DeleteFunc(e.leases, func(s sent) bool { return now > s.until })
	for _, s := range e.leases {
		most = max(most, s.slots)
	}
	return most
}

// Deal gives every edge that is there its part for the next while. It is called more often than leases last.
func (d *Dealer) Deal(now time.Duration) map[string]Lease {
	var names []string
	held := 0
	for name, e := range d.edges {
		h := e.held(now)
		held += h
		if now-e.heard <= demandOld {
			names = append(names, name)
		} else if h == 0 {
			delete(d.edges, name)
		}
	}
	slices.Sort(names)
	want := d.shares(names)
	free := d.whole - held // what nobody can hold
	out := map[string]Lease{}
	// First those whose part shrinks: theirs is free only once the older lease has ended.
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(want[a]-d.edges[a].part, want[b]-d.edges[b].part)
	})
	for _, name := range names {
		e := d.edges[name]
		may := e.held(now)
		part := min(want[name], may)
		if more := want[name] - part; more > 0 && free > 0 {
			more = min(more, free)
			part, free = part+more, free-more
		}
		e.part = part
		e.leases = append(e.leases, sent{part, now + leaseFor}) // at the latest: the stamp was before now
		out[name] = Lease{Life: e.demand.Life, Stamp: e.demand.Stamp, For: leaseFor, Slots: part}
	}
	return out
}

// shares are what the parts should be: to each its demand if the whole suffices, and what is left evenly; else by the
// largest remainder.
func (d *Dealer) shares(names []string) map[string]int {
	out := map[string]int{}
	if len(names) == 0 {
		return out
	}
	sum := 0
	for _, n := range names {
		sum += d.edges[n].demand.Requests
	}
	if sum <= d.whole {
		spare := d.whole - sum
		for i, n := range names {
			out[n] = d.edges[n].demand.Requests + spare/len(names)
			if i < spare%len(names) {
				out[n]++
			}
		}
		return out
	}
	rest := d.whole
	for _, n := range names {
		out[n] = d.whole * d.edges[n].demand.Requests / sum
		rest -= out[n]
	}
	byRemainder := slices.Clone(names)
	slices.SortStableFunc(byRemainder, func(a, b string) int {
		return cmp.Compare(d.whole*d.edges[b].demand.Requests%sum, d.whole*d.edges[a].demand.Requests%sum)
	})
	for _, n := range byRemainder[:rest] {
		out[n]++
	}
	return out
}

// Held is an edge's own view of its part. A life of its process begins with none.
type Held struct {
	Life  uint64
	slots int
	until time.Duration
}

// Take takes a lease.
func (h *Held) Take(l Lease) {
	if until := l.Stamp + l.For; l.Life == h.Life && until > h.until {
		h.slots, h.until = l.Slots, until
	}
}

// Slots is what may be used now, on the edge's clock.
func (h *Held) Slots(now time.Duration) int {
	if now >= h.until {
		return 0
	}
	return h.slots
}
