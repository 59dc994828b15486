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
	leaseFor  = 10 * time.Second
	demandOld = 2 * time.Second        // an edge that was not heard for that long gets nothing more
	Confirmed = 500 * time.Millisecond // how old the proof may be by which a planner deals
	unknown   = leaseFor + Confirmed   // how long leases that a former dealer gave may be out

	clocksApart = 2 * time.Second // what the core's time may differ by from planner to planner
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

const restMark = "*"

// Rest names the reservation of all others at a service.
func Rest(service string) string { return restMark + service }

// Demand is an edge's word on what it has in work or waiting in each reservation, and on the lease that it holds. Stamp is its own
// steady clock.
type Demand struct {
	Life   uint64         `cbor:"1,keyasint"`
	Stamp  time.Duration  `cbor:"2,keyasint"`
	Term   uint64         `cbor:"3,keyasint"` // whose leases it takes
	Seq    uint64         `cbor:"4,keyasint,omitempty"`
	Wants  map[string]int `cbor:"5,keyasint,omitempty"`
	Holds  map[string]int `cbor:"6,keyasint,omitempty"` // by a lease of a former term, if it has none of this one
	EndsIn time.Duration  `cbor:"7,keyasint,omitempty"`
	Zone   string         `cbor:"8,keyasint,omitempty"`
}

// Lease is an edge's parts of all reservations. It answers a Demand and counts from that one's stamp, on the edge's own clock: a
// lease that is long on its way, or read by a process that stood still, is over by the time it is heard.
type Lease struct {
	Life  uint64          `cbor:"1,keyasint"`
	Stamp time.Duration   `cbor:"2,keyasint"`
	Term  uint64          `cbor:"3,keyasint"`
	Seq   uint64          `cbor:"4,keyasint"`
	For   time.Duration   `cbor:"5,keyasint"`
	Parts map[string]int  `cbor:"6,keyasint,omitempty"`
	Full  map[string]bool `cbor:"7,keyasint,omitempty"` // reservations of which more is wanted than there is
}

// Dealer deals reservations to the edges, under one term of the consensus. What any edge may still hold by an older lease is
// never dealt twice, so that the parts of a reservation sum to no more than the whole at every moment: through cuts, lost words,
// edges that die, and dealers that follow each other.
type Dealer struct {
	term         uint64
	since        time.Duration
	reservations map[string]Reservation
	edges        map[string]*dealt
	found        map[string]int // by reservation, what edges brought along from a former dealer's leases
	opens        map[string]time.Duration
	seq          uint64
}

type dealt struct {
	demand Demand
	heard  time.Duration
	former []uint64 // lives that are over
	leases []given
}

type given struct {
	seq   uint64
	until time.Duration
	parts map[string]int
}

// NewDealer makes a dealer for a term that begins now. Who makes one must have led under that term by then.
func NewDealer(term uint64, now time.Duration) *Dealer {
	return &Dealer{term: term, since: now, reservations: map[string]Reservation{}, edges: map[string]*dealt{}, found: map[string]int{}, opens: map[string]time.Duration{}}
}

// Term is the one that the dealer deals under.
func (d *Dealer) Term() uint64 { return d.term }

// Plan sets the reservations as they are now: they grow at once, and shrink as edges answer or leases end.
func (d *Dealer) Plan(reservations []Reservation, now time.Duration) {
	clear(d.reservations)
	for _, r := range reservations {
		d.reservations[r.ID] = r
		if _, known := d.opens[r.ID]; !known {
			d.opens[r.ID] = now
		}
	}
	maps.DeleteFunc(d.opens, func(id string, _ time.Duration) bool { _, held := d.reservations[id]; return !held })
}

// inherited tells that a former dealer may have dealt a reservation: it opened before this one's term, or so near to its begin
// that the planners' clocks may differ on which came first.
func (d *Dealer) inherited(id string, now time.Duration) bool {
	return now-d.since < unknown && d.opens[id]-d.since < clocksApart
}

const formerKept = 16

// Heard takes an edge's word. One of another term says nothing of what the edge may hold by ours.
func (d *Dealer) Heard(edge string, w Demand, now time.Duration) {
	if w.Term != d.term {
		return
	}
	e := d.edges[edge]
	switch {
	case e == nil:
		e = &dealt{}
		d.edges[edge] = e
		d.inherit(e, w, now)
	case slices.Contains(e.former, w.Life):
		return
	case w.Life != e.demand.Life: // its process began anew and holds nothing of before
		e.former = append(e.former, e.demand.Life)
		e.former = e.former[max(0, len(e.former)-formerKept):]
		e.leases = nil
	case w.Stamp < e.demand.Stamp:
		return // a late one
	}
	e.demand, e.heard = w, now
	e.leases = slices.DeleteFunc(e.leases, func(g given) bool { return g.seq < w.Seq })
}

// inherit takes over what an edge holds of a former dealer's leases.
func (d *Dealer) inherit(e *dealt, w Demand, now time.Duration) {
	if w.Seq == 0 && w.EndsIn > 0 && now-d.since < unknown {
		e.leases = append(e.leases, given{0, now + w.EndsIn, w.Holds})
		for id, n := range w.Holds {
			d.found[id] += n
		}
	}
}

// may is the most that an edge may hold of a reservation now, by any lease that it may have heard of.
func (e *dealt) may(id string, now time.Duration) (most int) {
	for _, g := range e.leases {
		if now <= g.until {
			most = max(most, g.parts[id])
		}
	}
	return most
}

// Deal gives every edge that is there its parts for the next while.
func (d *Dealer) Deal(now time.Duration) map[string]Lease {
	var names []string
	for name, e := range d.edges {
		e.leases = slices.DeleteFunc(e.leases, func(g given) bool { return now > g.until })
		if now-e.heard <= demandOld {
			names = append(names, name)
		} else if len(e.leases) == 0 && now-d.since >= unknown {
			delete(d.edges, name)
		}
	}
	slices.Sort(names)
	out := map[string]Lease{}
	for _, name := range names {
		e := d.edges[name]
		d.seq++
		out[name] = Lease{Life: e.demand.Life, Stamp: e.demand.Stamp, Term: d.term, Seq: d.seq, For: leaseFor, Parts: map[string]int{}, Full: map[string]bool{}}
	}
	for _, id := range slices.Sorted(maps.Keys(d.reservations)) {
		d.dealReservation(id, names, now, out)
	}
	for _, name := range names {
		e := d.edges[name]
		e.leases = append(e.leases, given{out[name].Seq, now + leaseFor, out[name].Parts}) // at the latest: the stamp was before now
	}
	return out
}

func (d *Dealer) dealReservation(id string, names []string, now time.Duration, out map[string]Lease) {
	whole := d.reservations[id].Slots
	names = slices.Clone(names)
	if zone := d.reservations[id].Zone; zone != "" {
		names = slices.DeleteFunc(names, func(name string) bool { return d.edges[name].demand.Zone != zone })
	}
	if d.inherited(id, now) { // the rest may be held by edges that were not heard yet
		if whole = min(whole, d.found[id]); d.found[id] == 0 && strings.HasPrefix(id, restMark) {
			return // nothing is said of it, and edges hold others to an even share
		}
	}
	want := d.shares(id, max(0, whole), names)
	free, wanted := whole, 0
	for _, name := range names {
		wanted += max(0, d.edges[name].demand.Wants[id])
	}
	for _, e := range d.edges {
		free -= e.may(id, now)
	}
	// First those who are furthest below what they should have.
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(d.edges[a].may(id, now)-want[a], d.edges[b].may(id, now)-want[b])
	})
	for _, name := range names {
		may := d.edges[name].may(id, now)
		part := min(want[name], may)
		if more := min(want[name]-part, free); more > 0 {
			part, free = part+more, free-more
		}
		out[name].Parts[id] = part
		if wanted > d.reservations[id].Slots {
			out[name].Full[id] = true
		}
	}
}

// shares are what the parts should be: to each what it wants if the whole suffices, and what is left evenly; else by the
// largest remainder.
func (d *Dealer) shares(id string, whole int, names []string) map[string]int {
	out := map[string]int{}
	sum := 0
	wants := func(name string) int { return max(0, d.edges[name].demand.Wants[id]) }
	for _, n := range names {
		sum += wants(n)
	}
	if len(names) == 0 {
		return out
	}
	if sum <= whole {
		spare := whole - sum
		for i, n := range names {
			out[n] = wants(n) + spare/len(names)
			if i < spare%len(names) {
				out[n]++
			}
		}
		return out
	}
	rest := whole
	for _, n := range names {
		out[n] = whole * wants(n) / sum
		rest -= out[n]
	}
	byRemainder := slices.Clone(names)
	slices.SortStableFunc(byRemainder, func(a, b string) int {
		return cmp.Compare(whole*wants(b)%sum, whole*wants(a)%sum)
	})
	for _, n := range byRemainder[:rest] {
		out[n]++
	}
	return out
}

// Use is how much of each reservation is wanted now, by the edges that were heard lately.
func (d *Dealer) Use(now time.Duration) map[string]int {
	use := map[string]int{}
	for _, e := range d.edges {
		if now-e.heard <= demandOld {
			for id, n := range e.demand.Wants {
				use[id] += n
			}
		}
	}
	return use
}

// Holding is an edge's own view of its parts. A life of its process begins with none.
type Holding struct {
	Life  uint64
	term  uint64 // whose leases are taken
	of    uint64 // term of the lease that is held
	lease Lease
	until time.Duration
}

// Follow takes the controller's word on the term that reservations are dealt under. Leases of former ones are refused from
// then on: the new dealer may count on what it is told here.
func (h *Holding) Follow(term uint64) { h.term = max(h.term, term) }

// Take takes a lease, if it is newer than the one that is held.
func (h *Holding) Take(l Lease) bool {
	if l.Life != h.Life || l.Term != h.term || h.of == l.Term && l.Seq <= h.lease.Seq {
		return false
	}
	h.lease, h.of, h.until = l, l.Term, l.Stamp+l.For
	return true
}

// Part is what may be used of a reservation now, on the edge's clock, and whether more of it is wanted than there is. Without a
// lease nothing is known.
func (h *Holding) Part(id string, now time.Duration) (slots int, full, known bool) {
	if now >= h.until {
		return 0, false, false
	}
	slots, known = h.lease.Parts[id]
	return slots, h.lease.Full[id], known
}

// Demand is what the edge says, given what it wants of each reservation.
func (h *Holding) Demand(wants map[string]int, now time.Duration) Demand {
	w := Demand{Life: h.Life, Stamp: now, Term: h.term, Wants: wants}
	switch {
	case h.of == h.term:
		w.Seq = h.lease.Seq
	case now < h.until:
		w.Holds, w.EndsIn = h.lease.Parts, h.until-now
	}
	return w
}
