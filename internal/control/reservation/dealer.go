package reservation

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Leases are long, so that an edge that is cut off keeps its part for a while, and moved by answers: room that an edge
// gives up is free as soon as it says so.
const (
	leaseDuration     = 10 * time.Second
	demandTTL         = 2 * time.Second                // an edge that was not heard for that long gets nothing more
	LeaderProofTTL    = 500 * time.Millisecond         // how old the proof may be by which a planner deals
	inheritedLeaseTTL = leaseDuration + LeaderProofTTL // how long leases that a former dealer gave may be out

	maxClockSkew = 2 * time.Second // what the core's time may differ by from planner to planner
)

// Reservation is what edges are told of a booking: the slots that it holds now. The reservation of all who have booked none at a service
// is one too.
type Reservation struct {
	ID      string `cbor:"1,keyasint" json:"id"`
	Tenant  string `cbor:"2,keyasint,omitempty" json:"tenant,omitempty"`
	Service string `cbor:"3,keyasint" json:"service"`
	Route   string `cbor:"4,keyasint,omitempty" json:"route,omitempty"`
	Slots   int    `cbor:"5,keyasint" json:"slots"`
	Zone    string `cbor:"6,keyasint,omitempty" json:"zone,omitempty"` // whose edges have it; none: all
}

const othersPrefix = "*"

// OthersID names the reservation of all others at a service.
func OthersID(service string) string { return othersPrefix + service }

// Demand is an edge's word on what it has in work or waiting in each reservation, and on the lease that it holds. Stamp is its own
// steady clock.
type Demand struct {
	Incarnation uint64         `cbor:"1,keyasint"`
	Stamp       time.Duration  `cbor:"2,keyasint"`
	Term        uint64         `cbor:"3,keyasint"` // whose leases it takes
	Seq         uint64         `cbor:"4,keyasint,omitempty"`
	Wanted      map[string]int `cbor:"5,keyasint,omitempty"`
	HeldShares  map[string]int `cbor:"6,keyasint,omitempty"` // by a lease of a former term, if it has none of this one
	LeaseLeft   time.Duration  `cbor:"7,keyasint,omitempty"`
	Zone        string         `cbor:"8,keyasint,omitempty"`
}

// Lease is an edge's parts of all reservations. It answers a Demand and counts from that one's stamp, on the edge's own clock: a
// lease that is long on its way, or read by a process that stood still, is over by the time it is heard.
type Lease struct {
	Incarnation uint64          `cbor:"1,keyasint"`
	Stamp       time.Duration   `cbor:"2,keyasint"`
	Term        uint64          `cbor:"3,keyasint"`
	Seq         uint64          `cbor:"4,keyasint"`
	Duration    time.Duration   `cbor:"5,keyasint"`
	Shares      map[string]int  `cbor:"6,keyasint,omitempty"`
	Exhausted   map[string]bool `cbor:"7,keyasint,omitempty"` // reservations of which more is wanted than there is
}

// Allocator deals reservations to the edges, under one term of the consensus. What any edge may still hold by an older lease is
// never dealt twice, so that the parts of a reservation sum to no more than the whole at every moment: through cuts, lost words,
// edges that die, and dealers that follow each other.
type Allocator struct {
	term            uint64
	since           time.Duration
	reservations    map[string]Reservation
	edges           map[string]*edgeState
	inheritedShares map[string]int // by reservation, what edges brought along from a former dealer's leases
	openedAt        map[string]time.Duration
	seq             uint64
}

type edgeState struct {
	demand           Demand
	heardAt          time.Duration
	pastIncarnations []uint64 // lives that are over
	leases           []grantedLease
}

type grantedLease struct {
	seq       uint64
	expiresAt time.Duration
	shares    map[string]int
}

// NewAllocator makes a dealer for a term that begins now. Who makes one must have led under that term by then.
func NewAllocator(term uint64, now time.Duration) *Allocator {
	return &Allocator{term: term, since: now, reservations: map[string]Reservation{}, edges: map[string]*edgeState{}, inheritedShares: map[string]int{}, openedAt: map[string]time.Duration{}}
}

// Term is the one that the dealer deals under.
func (d *Allocator) Term() uint64 { return d.term }

// Plan sets the reservations as they are now: they grow at once, and shrink as edges answer or leases end.
func (d *Allocator) Plan(reservations []Reservation, now time.Duration) {
	clear(d.reservations)
	for _, r := range reservations {
		d.reservations[r.ID] = r
		if _, known := d.openedAt[r.ID]; !known {
			d.openedAt[r.ID] = now
		}
	}
	maps.DeleteFunc(d.openedAt, func(id string, _ time.Duration) bool { _, planned := d.reservations[id]; return !planned })
}

// inherited tells that a former dealer may have dealt a reservation: it opened before this one's term, or so near to its begin
// that the planners' clocks may differ on which came first.
func (d *Allocator) inherited(id string, now time.Duration) bool {
	return now-d.since < inheritedLeaseTTL && d.openedAt[id]-d.since < maxClockSkew
}

const maxPastIncarnations = 16

// HandleDemand takes an edge's word. One of another term says nothing of what the edge may hold by ours.
func (d *Allocator) HandleDemand(edge string, demand Demand, now time.Duration) {
	if demand.Term != d.term {
		return
	}
	e := d.edges[edge]
	switch {
	case e == nil:
		e = &edgeState{}
		d.edges[edge] = e
		d.adoptInherited(e, demand, now)
	case slices.Contains(e.pastIncarnations, demand.Incarnation):
		return
	case demand.Incarnation != e.demand.Incarnation: // its process began anew and holds nothing of before
		e.pastIncarnations = append(e.pastIncarnations, e.demand.Incarnation)
		e.pastIncarnations = e.pastIncarnations[max(0, len(e.pastIncarnations)-maxPastIncarnations):]
		e.leases = nil
	case demand.Stamp < e.demand.Stamp:
		return // a late one
	}
	e.demand, e.heardAt = demand, now
	e.leases = slices.DeleteFunc(e.leases, func(g grantedLease) bool { return g.seq < demand.Seq })
}

// adoptInherited takes over what an edge holds of a former dealer's leases.
func (d *Allocator) adoptInherited(e *edgeState, demand Demand, now time.Duration) {
	if demand.Seq == 0 && demand.LeaseLeft > 0 && now-d.since < inheritedLeaseTTL {
		e.leases = append(e.leases, grantedLease{0, now + demand.LeaseLeft, demand.HeldShares})
		for id, n := range demand.HeldShares {
			d.inheritedShares[id] += n
		}
	}
}

// maxHeld is the most that an edge may hold of a reservation now, by any lease that it may have heard of.
func (e *edgeState) maxHeld(id string, now time.Duration) (largest int) {
	for _, g := range e.leases {
		if now <= g.expiresAt {
			largest = max(largest, g.shares[id])
		}
	}
	return largest
}

// Allocate gives every edge that is there its parts for the next while.
func (d *Allocator) Allocate(now time.Duration) map[string]Lease {
	var names []string
	for name, e := range d.edges {
		e.leases = slices.DeleteFunc(e.leases, func(g grantedLease) bool { return now > g.expiresAt })
		if now-e.heardAt <= demandTTL {
			names = append(names, name)
		} else if len(e.leases) == 0 && now-d.since >= inheritedLeaseTTL {
			delete(d.edges, name)
		}
	}
	slices.Sort(names)
	out := map[string]Lease{}
	for _, name := range names {
		e := d.edges[name]
		d.seq++
		out[name] = Lease{Incarnation: e.demand.Incarnation, Stamp: e.demand.Stamp, Term: d.term, Seq: d.seq, Duration: leaseDuration, Shares: map[string]int{}, Exhausted: map[string]bool{}}
	}
	for _, id := range slices.Sorted(maps.Keys(d.reservations)) {
		d.allocateReservation(id, names, now, out)
	}
	for _, name := range names {
		e := d.edges[name]
		e.leases = append(e.leases, grantedLease{out[name].Seq, now + leaseDuration, out[name].Shares}) // at the latest: the stamp was before now
	}
	return out
}

func (d *Allocator) allocateReservation(id string, names []string, now time.Duration, out map[string]Lease) {
	total := d.reservations[id].Slots
	names = slices.Clone(names)
	if zone := d.reservations[id].Zone; zone != "" {
		names = slices.DeleteFunc(names, func(name string) bool { return d.edges[name].demand.Zone != zone })
	}
	if d.inherited(id, now) { // the rest may be held by edges that were not heard yet
		if total = min(total, d.inheritedShares[id]); d.inheritedShares[id] == 0 && strings.HasPrefix(id, othersPrefix) {
			return // nothing is said of it, and edges hold others to an even share
		}
	}
	want := d.targetShares(id, max(0, total), names)
	free, wanted := total, 0
	for _, name := range names {
		wanted += max(0, d.edges[name].demand.Wanted[id])
	}
	for _, e := range d.edges {
		free -= e.maxHeld(id, now)
	}
	// First those who are furthest below what they should have.
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(d.edges[a].maxHeld(id, now)-want[a], d.edges[b].maxHeld(id, now)-want[b])
	})
	for _, name := range names {
		maxHeld := d.edges[name].maxHeld(id, now)
		share := min(want[name], maxHeld)
		if more := min(want[name]-share, free); more > 0 {
			share, free = share+more, free-more
		}
		out[name].Shares[id] = share
		if wanted > d.reservations[id].Slots {
			out[name].Exhausted[id] = true
		}
	}
}

// targetShares are what the parts should be: to each what it wants if the whole suffices, and what is left evenly; else by the
// largest remainder.
func (d *Allocator) targetShares(id string, total int, names []string) map[string]int {
	out := map[string]int{}
	wantedTotal := 0
	wants := func(name string) int { return max(0, d.edges[name].demand.Wanted[id]) }
	for _, n := range names {
		wantedTotal += wants(n)
	}
	if len(names) == 0 {
		return out
	}
	if wantedTotal <= total {
		spare := total - wantedTotal
		for i, n := range names {
			out[n] = wants(n) + spare/len(names)
			if i < spare%len(names) {
				out[n]++
			}
		}
		return out
	}
	left := total
	for _, n := range names {
		out[n] = total * wants(n) / wantedTotal
		left -= out[n]
	}
	byRemainder := slices.Clone(names)
	slices.SortStableFunc(byRemainder, func(a, b string) int {
		return cmp.Compare(total*wants(b)%wantedTotal, total*wants(a)%wantedTotal)
	})
	for _, n := range byRemainder[:left] {
		out[n]++
	}
	return out
}

// Wanted is how much of each reservation is wanted now, by the edges that were heard lately.
func (d *Allocator) Wanted(now time.Duration) map[string]int {
	use := map[string]int{}
	for _, e := range d.edges {
		if now-e.heardAt <= demandTTL {
			for id, n := range e.demand.Wanted {
				use[id] += n
			}
		}
	}
	return use
}

// LeaseHolder is an edge's own view of its parts. A life of its process begins with none.
type LeaseHolder struct {
	Incarnation uint64
	term        uint64 // whose leases are taken
	leaseTerm   uint64 // term of the lease that is held
	lease       Lease
	expiresAt   time.Duration
}

// FollowTerm takes the controller's word on the term that reservations are dealt under. Leases of former ones are refused from
// then on: the new dealer may count on what it is told here.
func (h *LeaseHolder) FollowTerm(term uint64) { h.term = max(h.term, term) }

// Accept takes a lease, if it is newer than the one that is held.
func (h *LeaseHolder) Accept(l Lease) bool {
	if l.Incarnation != h.Incarnation || l.Term != h.term || h.leaseTerm == l.Term && l.Seq <= h.lease.Seq {
		return false
	}
	h.lease, h.leaseTerm, h.expiresAt = l, l.Term, l.Stamp+l.Duration
	return true
}

// Share is what may be used of a reservation now, on the edge's clock, and whether more of it is wanted than there is. Without a
// lease nothing is known.
func (h *LeaseHolder) Share(id string, now time.Duration) (slots int, exhausted, known bool) {
	if now >= h.expiresAt {
		return 0, false, false
	}
	slots, known = h.lease.Shares[id]
	return slots, h.lease.Exhausted[id], known
}

// Demand is what the edge says, given what it wants of each reservation.
func (h *LeaseHolder) Demand(wanted map[string]int, now time.Duration) Demand {
	demand := Demand{Incarnation: h.Incarnation, Stamp: now, Term: h.term, Wanted: wanted}
	switch {
	case h.leaseTerm == h.term:
		demand.Seq = h.lease.Seq
	case now < h.expiresAt:
		demand.HeldShares, demand.LeaseLeft = h.lease.Shares, h.expiresAt-now
	}
	return demand
}
