package reservation

import (
	"math"
	"time"
)

const (
	// lendingWindow is the time within which lent slots have to become free again.
	lendingWindow = 500 * time.Millisecond
	// initialMeanDuration is the mean request duration assumed before any request has ended, in seconds.
	initialMeanDuration = 1.0
	// durationSmoothing is the weight of the newest request in the moving average of request durations.
	durationSmoothing = 0.05
)

// AdmissionGate limits the requests for one service at one edge. Requests under a booking are admitted up to the edge's share
// of it. Idle booked slots are lent to unreserved requests, but only as many as become free again within the lending window
// without cutting off a request. Unreserved requests are limited to their own share and the lent slots; they are unlimited
// until LimitUnreserved is called.
type AdmissionGate struct {
	bookings          map[string]*usage // by booking id
	unreserved        usage             // of requests without a booking
	unreservedLimited bool
	meanDuration      float64 // moving average over requests that ended, in seconds
}

// usage is the use of one reservation at this edge. All numbers are in slots.
type usage struct {
	share     int  // slots granted to this edge
	total     int  // slots of the reservation at all edges
	inUse     int  // requests in flight at this edge
	exhausted bool // the requests at all edges exceed the total
}

// hasCapacity reports whether a slot is free: within the share, or within the total while that isn't exhausted.
func (u *usage) hasCapacity() bool {
	return u != nil && (u.inUse < u.share || !u.exhausted && u.inUse < u.total)
}

// NewAdmissionGate returns a gate without bookings that doesn't limit unreserved requests.
func NewAdmissionGate() *AdmissionGate {
	return &AdmissionGate{bookings: map[string]*usage{}, meanDuration: initialMeanDuration}
}

// SetShare sets a booking's share at this edge, its total slots at all edges, and whether the requests at all edges exceed
// that total.
func (g *AdmissionGate) SetShare(id string, share, total int, exhausted bool) {
	u := g.bookings[id]
	if u == nil {
		u = &usage{}
		g.bookings[id] = u
	}
	u.share, u.total, u.exhausted = max(0, share), total, exhausted
}

// Retain removes all bookings for which keep returns false. Requests in flight under a removed booking continue.
func (g *AdmissionGate) Retain(keep func(id string) bool) {
	for id, u := range g.bookings {
		if keep(id) {
			continue
		}
		if u.share, u.total = 0, 0; u.inUse == 0 {
			delete(g.bookings, id)
		}
	}
}

// LimitUnreserved limits requests without a booking to their share at this edge, or to the total while that isn't exhausted.
func (g *AdmissionGate) LimitUnreserved(share, total int, exhausted bool) {
	g.unreserved.share, g.unreserved.total, g.unreserved.exhausted, g.unreservedLimited = max(0, share), total, exhausted, true
}

// ClearUnreservedLimit admits all requests without a booking.
func (g *AdmissionGate) ClearUnreservedLimit() { g.unreservedLimited = false }

// Idle reports whether no request admitted by the gate is in flight.
func (g *AdmissionGate) Idle() bool {
	for _, u := range g.bookings {
		if u.inUse > 0 {
			return false
		}
	}
	return g.unreserved.inUse == 0
}

// lendableFraction returns the fraction of idle booked slots that may be lent: the expected fraction of requests that end
// within the lending window. If durations are exponentially distributed, a request in flight ends within a time t with a
// probability of 1 - exp(-t/mean); if they vary less, it ends sooner.
func (g *AdmissionGate) lendableFraction() float64 {
	return 1 - math.Exp(-lendingWindow.Seconds()/g.meanDuration)
}

// lentSlots returns how many idle booked slots unreserved requests may use now.
func (g *AdmissionGate) lentSlots() int {
	idle := 0
	for _, u := range g.bookings {
		idle += max(0, u.share-u.inUse)
	}
	return int(float64(idle) * g.lendableFraction())
}

// HasCapacity reports whether a booking has a free slot at this edge.
func (g *AdmissionGate) HasCapacity(id string) bool { return g.bookings[id].hasCapacity() }

// Admit reports whether there is a slot for a request, and takes it. A request under a booking gets a booked slot within the
// edge's share, or beyond it while the booking isn't exhausted, because shares follow the traffic with a delay. Otherwise,
// and with an empty id, it competes for unreserved slots. The caller must pass admittedAs to Release.
func (g *AdmissionGate) Admit(id string) (admittedAs string, ok bool) {
	if u := g.bookings[id]; id != "" && u.hasCapacity() {
		u.inUse++
		return id, true
	}
	if !g.unreservedLimited || g.unreserved.hasCapacity() || g.unreserved.inUse < g.unreserved.share+g.lentSlots() {
		g.unreserved.inUse++
		return "", true
	}
	return "", false
}

// Release returns a request's slot. A duration of 0 means that the admitted request was not executed; it doesn't count toward
// the mean duration.
func (g *AdmissionGate) Release(admittedAs string, duration time.Duration) {
	if duration > 0 {
		g.meanDuration += durationSmoothing * (duration.Seconds() - g.meanDuration)
	}
	u := g.bookings[admittedAs]
	if admittedAs == "" || u == nil {
		g.unreserved.inUse--
		return
	}
	if u.inUse--; u.inUse == 0 && u.total == 0 {
		delete(g.bookings, admittedAs)
	}
}
