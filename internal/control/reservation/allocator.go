package reservation

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// leaseDuration is long so that a partitioned edge keeps its shares for a while. It doesn't delay reallocation: slots
	// that an edge gives up become free as soon as it acknowledges a newer lease.
	leaseDuration = 10 * time.Second
	// demandTTL is how long an edge is granted new leases after its last demand.
	demandTTL = 2 * time.Second
	// LeaderProofTTL is the maximum age of the proof of leadership that a controller needs to allocate. Leadership is proven
	// when a majority confirms it.
	LeaderProofTTL = 500 * time.Millisecond
	// inheritedLeaseTTL is how long the leases of an earlier leader may remain valid after a new leader's term began.
	inheritedLeaseTTL = leaseDuration + LeaderProofTTL
	// maxClockSkew is the largest expected difference between the Clocks of two controllers.
	maxClockSkew = 2 * time.Second
	// maxPastIncarnations is how many earlier incarnations of an edge are remembered in order to ignore their delayed
	// demands.
	maxPastIncarnations = 16
)

// Reservation is the part of a booking that is sent to edges: the slots that it holds now. The unreserved capacity of a
// service, which serves requests without a booking, is a reservation as well.
type Reservation struct {
	ID      string `cbor:"1,keyasint" json:"id"`
	Tenant  string `cbor:"2,keyasint,omitempty" json:"tenant,omitempty"`
	Service string `cbor:"3,keyasint" json:"service"`
	Route   string `cbor:"4,keyasint,omitempty" json:"route,omitempty"`
	Slots   int    `cbor:"5,keyasint" json:"slots"`
	Zone    string `cbor:"6,keyasint,omitempty" json:"zone,omitempty"` // only edges in this zone get shares; empty: all edges
}

// unreservedPrefix begins the ids of reservations of unreserved capacity. The ids of bookings may not begin with it.
const unreservedPrefix = "*"

// UnreservedID returns the id of the reservation that holds a service's unreserved capacity.
func UnreservedID(service string) string { return unreservedPrefix + service }

// Demand is an edge's report to the allocator: its requests in flight or queued, by reservation, and the lease that it holds.
type Demand struct {
	Incarnation   uint64         `cbor:"1,keyasint"`
	Stamp         time.Duration  `cbor:"2,keyasint"`           // time of the report, on the edge's monotonic clock
	Term          uint64         `cbor:"3,keyasint"`           // of the leases that the edge accepts
	Seq           uint64         `cbor:"4,keyasint,omitempty"` // of the newest lease of this term that the edge holds; 0: none
	Requested     map[string]int `cbor:"5,keyasint,omitempty"` // requests in flight or queued, by reservation
	CurrentShares map[string]int `cbor:"6,keyasint,omitempty"` // by a lease of an earlier term, if none of this term is held
	LeaseLeft     time.Duration  `cbor:"7,keyasint,omitempty"` // remaining validity of the lease behind CurrentShares
	Zone          string         `cbor:"8,keyasint,omitempty"`
}

// Lease grants an edge its shares of all reservations. It answers a Demand and is valid for Duration from the stamp of that
// Demand, on the edge's own clock: a lease that is delayed in transit for longer than Duration, or received by a process that
// was suspended for as long, has expired when it is read.
type Lease struct {
	Incarnation uint64          `cbor:"1,keyasint"`
	Stamp       time.Duration   `cbor:"2,keyasint"`
	Term        uint64          `cbor:"3,keyasint"`
	Seq         uint64          `cbor:"4,keyasint"`
	Duration    time.Duration   `cbor:"5,keyasint"`
	Shares      map[string]int  `cbor:"6,keyasint,omitempty"` // slots, by reservation
	Exhausted   map[string]bool `cbor:"7,keyasint,omitempty"` // reservations whose requests at all edges exceed their slots
}

// Allocator divides the slots of the reservations among the edges. It belongs to one consensus term.
type Allocator struct {
	term            uint64
	startedAt       time.Duration
	reservations    map[string]Reservation
	edges           map[string]*edgeState
	inheritedShares map[string]int           // slots reported as held by leases of an earlier term, by reservation
	activeSince     map[string]time.Duration // when a reservation was first set, by reservation
	seq             uint64                   // of the last lease granted
}

// edgeState is the allocator's record of one edge.
type edgeState struct {
	demand           Demand // the last one received
	lastDemandAt     time.Duration
	pastIncarnations []uint64
	leases           []grantedLease // the edge may hold any of these: it has acknowledged no newer one
}

type grantedLease struct {
	seq       uint64
	expiresAt time.Duration
	shares    map[string]int
}

// NewAllocator returns an allocator for a term that begins now. The caller must be the leader of that term.
func NewAllocator(term uint64, now time.Duration) *Allocator {
	return &Allocator{term: term, startedAt: now, reservations: map[string]Reservation{}, edges: map[string]*edgeState{},
		inheritedShares: map[string]int{}, activeSince: map[string]time.Duration{}}
}

// Term returns the consensus term that the allocator belongs to.
func (a *Allocator) Term() uint64 { return a.term }

// SetReservations replaces the active reservations. Added slots are granted with the next leases; removed slots are freed as
// edges acknowledge newer leases or their leases expire.
func (a *Allocator) SetReservations(reservations []Reservation, now time.Duration) {
	clear(a.reservations)
	for _, r := range reservations {
		a.reservations[r.ID] = r
		if _, seenBefore := a.activeSince[r.ID]; !seenBefore {
			a.activeSince[r.ID] = now
		}
	}
	maps.DeleteFunc(a.activeSince, func(id string, _ time.Duration) bool {
		_, reserved := a.reservations[id]
		return !reserved
	})
}

// mayBeInherited reports whether an earlier allocator may have granted shares of a reservation that are still valid: the
// reservation became active before this allocator's term, or so soon after its start that the controllers' clocks may
// disagree on which came first.
func (a *Allocator) mayBeInherited(id string, now time.Duration) bool {
	return now-a.startedAt < inheritedLeaseTTL && a.activeSince[id]-a.startedAt < maxClockSkew
}

// HandleDemand records an edge's demand. A demand of another term is ignored, since it doesn't tell which lease of this term
// the edge holds.
func (a *Allocator) HandleDemand(edge string, demand Demand, now time.Duration) {
	if demand.Term != a.term {
		return
	}
	e := a.edges[edge]
	switch {
	case e == nil:
		e = &edgeState{}
		a.edges[edge] = e
		a.adoptInheritedLease(e, demand, now)
	case slices.Contains(e.pastIncarnations, demand.Incarnation):
		return
	case demand.Incarnation != e.demand.Incarnation: // the process was restarted and has lost its leases
		e.pastIncarnations = append(e.pastIncarnations, e.demand.Incarnation)
		e.pastIncarnations = e.pastIncarnations[max(0, len(e.pastIncarnations)-maxPastIncarnations):]
		e.leases = nil
	case demand.Stamp < e.demand.Stamp:
		return // delivered out of order
	}
	e.demand, e.lastDemandAt = demand, now
	e.leases = slices.DeleteFunc(e.leases, func(l grantedLease) bool { return l.seq < demand.Seq })
}

// adoptInheritedLease records the shares that an edge holds by a lease of an earlier term.
func (a *Allocator) adoptInheritedLease(e *edgeState, demand Demand, now time.Duration) {
	if demand.Seq != 0 || demand.LeaseLeft <= 0 || now-a.startedAt >= inheritedLeaseTTL {
		return
	}
	e.leases = append(e.leases, grantedLease{0, now + demand.LeaseLeft, demand.CurrentShares})
	for id, slots := range demand.CurrentShares {
		a.inheritedShares[id] += slots
	}
}

// maxShare returns the largest share of a reservation that the edge may hold now, by any lease that it may have received.
func (e *edgeState) maxShare(id string, now time.Duration) (largest int) {
	for _, l := range e.leases {
		if now <= l.expiresAt {
			largest = max(largest, l.shares[id])
		}
	}
	return largest
}

// Allocate returns the next lease for each edge that sent a demand within demandTTL, by edge.
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
		expiresAt := now + leaseDuration // upper bound: the lease counts from its stamp, which is earlier
		e.leases = append(e.leases, grantedLease{l.Seq, expiresAt, l.Shares})
	}
	return leases
}

// activeEdges returns the sorted names of the edges that sent a demand within demandTTL. It removes other edges once they
// hold no lease of this term and leases of earlier terms have expired.
func (a *Allocator) activeEdges(now time.Duration) (names []string) {
	for name, e := range a.edges {
		e.leases = slices.DeleteFunc(e.leases, func(l grantedLease) bool { return now > l.expiresAt })
		if now-e.lastDemandAt <= demandTTL {
			names = append(names, name)
		} else if len(e.leases) == 0 && now-a.startedAt >= inheritedLeaseTTL {
			delete(a.edges, name)
		}
	}
	slices.Sort(names)
	return names
}

// allocateReservation sets the shares of one reservation in the leases of the given edges.
func (a *Allocator) allocateReservation(id string, edges []string, now time.Duration, leases map[string]Lease) {
	total := a.reservations[id].Slots
	if a.mayBeInherited(id, now) { // slots that no edge has reported may be held by edges that haven't reported yet
		if a.inheritedShares[id] == 0 && strings.HasPrefix(id, unreservedPrefix) {
			return // without a share, edges limit unreserved requests to an even part of the slots
		}
		total = min(total, a.inheritedShares[id])
	}
	edges = a.eligibleEdges(id, edges)
	targets := a.targetShares(id, max(0, total), edges)
	free, requested := total, 0
	for _, name := range edges {
		requested += a.requested(name, id)
	}
	for _, e := range a.edges {
		free -= e.maxShare(id, now)
	}
	// Edges furthest below their target come first.
	slices.SortStableFunc(edges, func(x, y string) int {
		return cmp.Compare(a.edges[x].maxShare(id, now)-targets[x], a.edges[y].maxShare(id, now)-targets[y])
	})
	for _, name := range edges {
		share := min(targets[name], a.edges[name].maxShare(id, now))
		if increase := min(targets[name]-share, free); increase > 0 {
			share, free = share+increase, free-increase
		}
		leases[name].Shares[id] = share
		if requested > a.reservations[id].Slots {
			leases[name].Exhausted[id] = true
		}
	}
}

// eligibleEdges returns the edges among which a reservation is divided: those in its zone, or all if it has none.
func (a *Allocator) eligibleEdges(id string, edges []string) []string {
	edges = slices.Clone(edges)
	zone := a.reservations[id].Zone
	if zone == "" {
		return edges
	}
	return slices.DeleteFunc(edges, func(name string) bool { return a.edges[name].demand.Zone != zone })
}

// requested returns the number of requests in flight or queued at an edge for a reservation.
func (a *Allocator) requested(edge, id string) int { return max(0, a.edges[edge].demand.Requested[id]) }

// targetShares returns the intended share of each edge. If there are enough slots, each edge gets as many as it requests and
// an even part of the remainder. Otherwise slots are divided in proportion to the requests, by the largest remainder method.
func (a *Allocator) targetShares(id string, total int, edges []string) map[string]int {
	targets := map[string]int{}
	if len(edges) == 0 {
		return targets
	}
	requested := 0
	for _, name := range edges {
		requested += a.requested(name, id)
	}
	if spare := total - requested; spare >= 0 {
		for i, name := range edges {
			targets[name] = a.requested(name, id) + spare/len(edges)
			if i < spare%len(edges) {
				targets[name]++
			}
		}
		return targets
	}
	remaining := total
	for _, name := range edges {
		targets[name] = total * a.requested(name, id) / requested
		remaining -= targets[name]
	}
	byRemainder := slices.Clone(edges)
	slices.SortStableFunc(byRemainder, func(x, y string) int {
		return cmp.Compare(total*a.requested(y, id)%requested, total*a.requested(x, id)%requested)
	})
	for _, name := range byRemainder[:remaining] {
		targets[name]++
	}
	return targets
}

// TotalRequested returns the requests in flight or queued by reservation, summed over the edges that sent a demand within
// demandTTL.
func (a *Allocator) TotalRequested(now time.Duration) map[string]int {
	totals := map[string]int{}
	for _, e := range a.edges {
		if now-e.lastDemandAt > demandTTL {
			continue
		}
		for id, n := range e.demand.Requested {
			totals[id] += n
		}
	}
	return totals
}

// LeaseHolder is an edge's view of its own shares. A new incarnation of the edge's process starts without a lease.
type LeaseHolder struct {
	Incarnation uint64
	term        uint64 // of the leases that are accepted
	leaseTerm   uint64 // of the lease held
	lease       Lease
	expiresAt   time.Duration
}

// AdvanceTerm raises the term of the leases that are accepted; a lower term is ignored. Leases of earlier terms are rejected
// from then on, because the new allocator relies on the shares that the edge reports from now on.
func (h *LeaseHolder) AdvanceTerm(term uint64) { h.term = max(h.term, term) }

// Accept replaces the lease held with l if l is for this incarnation and term and newer, and reports whether it did.
func (h *LeaseHolder) Accept(l Lease) bool {
	if l.Incarnation != h.Incarnation || l.Term != h.term || h.leaseTerm == l.Term && l.Seq <= h.lease.Seq {
		return false
	}
	h.lease, h.leaseTerm, h.expiresAt = l, l.Term, l.Stamp+l.Duration
	return true
}

// Share returns the edge's slots of a reservation now, on the edge's monotonic clock, and whether the requests at all edges
// exceed the reservation's slots. Known is false without a valid lease, or if the lease doesn't contain the reservation.
func (h *LeaseHolder) Share(id string, now time.Duration) (slots int, exhausted, known bool) {
	if now >= h.expiresAt {
		return 0, false, false
	}
	slots, known = h.lease.Shares[id]
	return slots, h.lease.Exhausted[id], known
}

// Demand returns the edge's report, given its requests in flight or queued by reservation.
func (h *LeaseHolder) Demand(requested map[string]int, now time.Duration) Demand {
	d := Demand{Incarnation: h.Incarnation, Stamp: now, Term: h.term, Requested: requested}
	switch {
	case h.leaseTerm == h.term:
		d.Seq = h.lease.Seq
	case now < h.expiresAt:
		d.CurrentShares, d.LeaseLeft = h.lease.Shares, h.expiresAt-now
	}
	return d
}
