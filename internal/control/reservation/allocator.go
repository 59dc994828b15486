package reservation

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// leaseDuration is long, so that an edge that is cut off keeps its shares for a while. Slots that an edge gives up are
	// free as soon as it acknowledges a newer lease.
	leaseDuration = 10 * time.Second
	// demandTTL is how long an edge gets new leases after its last demand.
	demandTTL = 2 * time.Second
	// LeaderProofTTL is how old the proof may be by which a controller allocates as leader.
	LeaderProofTTL = 500 * time.Millisecond
	// inheritedLeaseTTL is how long leases of an earlier leader may be in force after a new one began.
	inheritedLeaseTTL = leaseDuration + LeaderProofTTL
	// maxClockSkew is what the time may differ by from controller to controller.
	maxClockSkew = 2 * time.Second
	// maxPastIncarnations is how many earlier incarnations of an edge are remembered, whose late demands are ignored.
	maxPastIncarnations = 16
)

// Reservation is what edges receive of a booking: the slots that it holds now. The capacity that is left for all who have
// booked nothing at a service is a reservation, too.
type Reservation struct {
	ID      string `cbor:"1,keyasint" json:"id"`
	Tenant  string `cbor:"2,keyasint,omitempty" json:"tenant,omitempty"`
	Service string `cbor:"3,keyasint" json:"service"`
	Route   string `cbor:"4,keyasint,omitempty" json:"route,omitempty"`
	Slots   int    `cbor:"5,keyasint" json:"slots"`
	Zone    string `cbor:"6,keyasint,omitempty" json:"zone,omitempty"` // whose edges share it; empty: all
}

const othersPrefix = "*"

// UnreservedID names the reservation of all who have booked nothing at a service.
func UnreservedID(service string) string { return othersPrefix + service }

// Demand is what an edge says of its reservations: what runs or waits there, and the lease that it holds.
type Demand struct {
	Incarnation   uint64         `cbor:"1,keyasint"`
	Stamp         time.Duration  `cbor:"2,keyasint"` // on the edge's own steady clock
	Term          uint64         `cbor:"3,keyasint"` // whose leases it accepts
	Seq           uint64         `cbor:"4,keyasint,omitempty"`
	Requested     map[string]int `cbor:"5,keyasint,omitempty"` // requests, by reservation
	CurrentShares map[string]int `cbor:"6,keyasint,omitempty"` // by a lease of an earlier term, if it has none of this one
	LeaseLeft     time.Duration  `cbor:"7,keyasint,omitempty"` // of that lease
	Zone          string         `cbor:"8,keyasint,omitempty"`
}

// Lease gives an edge its shares of all reservations. It answers a Demand and counts from that one's stamp, on the edge's
// own clock: a lease that was long on its way, or that is read by a process that stood still, has run out when it is read.
type Lease struct {
	Incarnation uint64          `cbor:"1,keyasint"`
	Stamp       time.Duration   `cbor:"2,keyasint"`
	Term        uint64          `cbor:"3,keyasint"`
	Seq         uint64          `cbor:"4,keyasint"`
	Duration    time.Duration   `cbor:"5,keyasint"`
	Shares      map[string]int  `cbor:"6,keyasint,omitempty"` // slots, by reservation
	Exhausted   map[string]bool `cbor:"7,keyasint,omitempty"` // reservations of which more is wanted than there is
}

// Allocator divides the reservations among the edges, under one term of the consensus.
type Allocator struct {
	term            uint64
	since           time.Duration
	reservations    map[string]Reservation
	edges           map[string]*edgeState
	inheritedShares map[string]int // by reservation: what edges said that they hold by leases of an earlier term
	openedAt        map[string]time.Duration
	seq             uint64
}

// edgeState is what is known of an edge.
type edgeState struct {
	demand           Demand // the last one
	heardAt          time.Duration
	pastIncarnations []uint64
	leases           []grantedLease // that it may have received and not acknowledged a newer one of
}

type grantedLease struct {
	seq       uint64
	expiresAt time.Duration
	shares    map[string]int
}

// NewAllocator makes an allocator for a term that begins now. The caller must lead under that term by then.
func NewAllocator(term uint64, now time.Duration) *Allocator {
	return &Allocator{term: term, since: now, reservations: map[string]Reservation{}, edges: map[string]*edgeState{},
		inheritedShares: map[string]int{}, openedAt: map[string]time.Duration{}}
}

// Term is the one that the allocator allocates under.
func (a *Allocator) Term() uint64 { return a.term }

// SetReservations sets the reservations that are in force. They grow at once, and shrink as edges acknowledge or leases run out.
func (a *Allocator) SetReservations(reservations []Reservation, now time.Duration) {
	clear(a.reservations)
	for _, r := range reservations {
		a.reservations[r.ID] = r
		if _, known := a.openedAt[r.ID]; !known {
			a.openedAt[r.ID] = now
		}
	}
	maps.DeleteFunc(a.openedAt, func(id string, _ time.Duration) bool {
		_, planned := a.reservations[id]
		return !planned
	})
}

// inherited reports whether an earlier allocator may have given out shares of a reservation: it opened before this one's
// term, or so near to its begin that the controllers' clocks may differ on which came first.
func (a *Allocator) inherited(id string, now time.Duration) bool {
	return now-a.since < inheritedLeaseTTL && a.openedAt[id]-a.since < maxClockSkew
}

// HandleDemand takes an edge's demand. One of another term says nothing of what the edge may hold by this one.
func (a *Allocator) HandleDemand(edge string, demand Demand, now time.Duration) {
	if demand.Term != a.term {
		return
	}
	e := a.edges[edge]
	switch {
	case e == nil:
		e = &edgeState{}
		a.edges[edge] = e
		a.adoptInherited(e, demand, now)
	case slices.Contains(e.pastIncarnations, demand.Incarnation):
		return
	case demand.Incarnation != e.demand.Incarnation: // its process was restarted and holds nothing of before
		e.pastIncarnations = append(e.pastIncarnations, e.demand.Incarnation)
		e.pastIncarnations = e.pastIncarnations[max(0, len(e.pastIncarnations)-maxPastIncarnations):]
		e.leases = nil
	case demand.Stamp < e.demand.Stamp:
		return // a late one
	}
	e.demand, e.heardAt = demand, now
	e.leases = slices.DeleteFunc(e.leases, func(l grantedLease) bool { return l.seq < demand.Seq })
}

// adoptInherited takes over what an edge holds by a lease of an earlier term.
func (a *Allocator) adoptInherited(e *edgeState, demand Demand, now time.Duration) {
	if demand.Seq != 0 || demand.LeaseLeft <= 0 || now-a.since >= inheritedLeaseTTL {
		return
	}
	e.leases = append(e.leases, grantedLease{0, now + demand.LeaseLeft, demand.CurrentShares})
	for id, slots := range demand.CurrentShares {
		a.inheritedShares[id] += slots
	}
}

// maxShare is the most that an edge may hold of a reservation now, by any lease that it may have received.
func (e *edgeState) maxShare(id string, now time.Duration) (largest int) {
	for _, l := range e.leases {
		if now <= l.expiresAt {
			largest = max(largest, l.shares[id])
		}
	}
	return largest
}

// Allocate gives every edge that was heard lately its next lease, by edge.
func (a *Allocator) Allocate(now time.Duration) map[string]Lease {
	edges := a.activeEdges(now)
	leases := map[string]Lease{}
	for _, name := range edges {
		demand := a.edges[name].demand
		a.seq++
		leases[name] = Lease{Incarnation: demand.Incarnation, Stamp: demand.Stamp, Term: a.term, Seq: a.seq,
			Duration: leaseDuration,
			Shares:   map[string]int{}, Exhausted: map[string]bool{}}
	}
	for _, id := range slices.Sorted(maps.Keys(a.reservations)) {
		a.allocateReservation(id, edges, now, leases)
	}
	for _, name := range edges {
		e, l := a.edges[name], leases[name]
		expiresAt := now + leaseDuration // at the latest: the stamp was before now
		e.leases = append(e.leases, grantedLease{l.Seq, expiresAt, l.Shares})
	}
	return leases
}

// activeEdges lists the edges that were heard lately, sorted, and forgets those that hold nothing any more.
func (a *Allocator) activeEdges(now time.Duration) (names []string) {
	for name, e := range a.edges {
		e.leases = slices.DeleteFunc(e.leases, func(l grantedLease) bool { return now > l.expiresAt })
		if now-e.heardAt <= demandTTL {
			names = append(names, name)
		} else if len(e.leases) == 0 && now-a.since >= inheritedLeaseTTL {
			delete(a.edges, name)
		}
	}
	slices.Sort(names)
	return names
}

// allocateReservation sets the shares of one reservation in the leases of these edges.
func (a *Allocator) allocateReservation(id string, edges []string, now time.Duration, leases map[string]Lease) {
	total := a.reservations[id].Slots
	if a.inherited(id, now) { // what was not heard of may be held by edges that were not heard yet
		if a.inheritedShares[id] == 0 && strings.HasPrefix(id, othersPrefix) {
			return // nothing is said of it, and edges limit the others to an even share
		}
		total = min(total, a.inheritedShares[id])
	}
	edges = a.sharers(id, edges)
	targets := a.targetShares(id, max(0, total), edges)
	free, wanted := total, 0
	for _, name := range edges {
		wanted += a.wanted(name, id)
	}
	for _, e := range a.edges {
		free -= e.maxShare(id, now)
	}
	// First those who are furthest below what they should have.
	slices.SortStableFunc(edges, func(x, y string) int {
		return cmp.Compare(a.edges[x].maxShare(id, now)-targets[x], a.edges[y].maxShare(id, now)-targets[y])
	})
	for _, name := range edges {
		share := min(targets[name], a.edges[name].maxShare(id, now))
		if more := min(targets[name]-share, free); more > 0 {
			share, free = share+more, free-more
		}
		leases[name].Shares[id] = share
		if wanted > a.reservations[id].Slots {
			leases[name].Exhausted[id] = true
		}
	}
}

// sharers are the edges among which a reservation is divided.
func (a *Allocator) sharers(id string, edges []string) []string {
	edges = slices.Clone(edges)
	zone := a.reservations[id].Zone
	if zone == "" {
		return edges
	}
	return slices.DeleteFunc(edges, func(name string) bool { return a.edges[name].demand.Zone != zone })
}

// wanted is what an edge wants of a reservation.
func (a *Allocator) wanted(edge, id string) int { return max(0, a.edges[edge].demand.Requested[id]) }

// targetShares are what the shares should be: to each edge what it wants if there is enough, and what is left evenly; else
// in proportion to what is wanted, by the largest remainder.
func (a *Allocator) targetShares(id string, total int, edges []string) map[string]int {
	targets := map[string]int{}
	if len(edges) == 0 {
		return targets
	}
	wanted := 0
	for _, name := range edges {
		wanted += a.wanted(name, id)
	}
	if spare := total - wanted; spare >= 0 {
		for i, name := range edges {
			targets[name] = a.wanted(name, id) + spare/len(edges)
			if i < spare%len(edges) {
				targets[name]++
			}
		}
		return targets
	}
	left := total
	for _, name := range edges {
		targets[name] = total * a.wanted(name, id) / wanted
		left -= targets[name]
	}
	byRemainder := slices.Clone(edges)
	slices.SortStableFunc(byRemainder, func(x, y string) int {
		return cmp.Compare(total*a.wanted(y, id)%wanted, total*a.wanted(x, id)%wanted)
	})
	for _, name := range byRemainder[:left] {
		targets[name]++
	}
	return targets
}

// TotalRequested is how much of each reservation is wanted now, by the edges that were heard lately.
func (a *Allocator) TotalRequested(now time.Duration) map[string]int {
	all := map[string]int{}
	for _, e := range a.edges {
		if now-e.heardAt > demandTTL {
			continue
		}
		for id, n := range e.demand.Requested {
			all[id] += n
		}
	}
	return all
}

// LeaseHolder is an edge's own view of its shares. An incarnation of its process begins with none.
type LeaseHolder struct {
	Incarnation uint64
	term        uint64 // whose leases are accepted
	leaseTerm   uint64 // of the lease that is held
	lease       Lease
	expiresAt   time.Duration
}

// AdvanceTerm takes over the term that reservations are allocated under. Leases of earlier ones are refused from then on,
// since the new allocator may count on what it receives here.
func (h *LeaseHolder) AdvanceTerm(term uint64) { h.term = max(h.term, term) }

// Accept takes over a lease, and reports whether it is newer than the one that is held.
func (h *LeaseHolder) Accept(l Lease) bool {
	if l.Incarnation != h.Incarnation || l.Term != h.term || h.leaseTerm == l.Term && l.Seq <= h.lease.Seq {
		return false
	}
	h.lease, h.leaseTerm, h.expiresAt = l, l.Term, l.Stamp+l.Duration
	return true
}

// Share is what may be used of a reservation now, on the edge's clock, and whether more of it is wanted than there is.
// Without a lease nothing is known.
func (h *LeaseHolder) Share(id string, now time.Duration) (slots int, exhausted, known bool) {
	if now >= h.expiresAt {
		return 0, false, false
	}
	slots, known = h.lease.Shares[id]
	return slots, h.lease.Exhausted[id], known
}

// Demand is what the edge says, given what it wants of each reservation.
func (h *LeaseHolder) Demand(wanted map[string]int, now time.Duration) Demand {
	d := Demand{Incarnation: h.Incarnation, Stamp: now, Term: h.term, Requested: wanted}
	switch {
	case h.leaseTerm == h.term:
		d.Seq = h.lease.Seq
	case now < h.expiresAt:
		d.CurrentShares, d.LeaseLeft = h.lease.Shares, h.expiresAt-now
	}
	return d
}
