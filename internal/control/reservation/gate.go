package reservation

import (
	"math"
	"time"
)

const (
	// lendingWindow is how soon slots that are lent have to be free again.
	lendingWindow = 500 * time.Millisecond
	// initialMeanDuration is taken for a request's duration until some were seen, in seconds.
	initialMeanDuration = 1.0
	// durationSmoothing is the weight of the newest request in the mean duration.
	durationSmoothing = 0.05
)

// AdmissionGate admits the requests for one service at one edge. Booked requests have their shares; what is idle of them is
// lent to the others, as much as becomes free in time by itself: nothing that runs is cut off. The others are limited to
// their own share and what is lent to them; a gate that received nothing of that doesn't limit them.
type AdmissionGate struct {
	booked       map[string]*usage // by booking
	others       usage             // of all who booked nothing
	limitsOthers bool
	meanDuration float64 // of a request, in seconds
}

// usage is how much of a reservation is used here.
type usage struct {
	share     int  // of this edge
	total     int  // of all edges
	inUse     int  // at this edge
	exhausted bool // more of it is wanted than there is
}

func (u *usage) hasCapacity() bool {
	return u != nil && (u.inUse < u.share || !u.exhausted && u.inUse < u.total)
}

// NewAdmissionGate makes a gate that limits nobody.
func NewAdmissionGate() *AdmissionGate {
	return &AdmissionGate{booked: map[string]*usage{}, meanDuration: initialMeanDuration}
}

// SetShare sets a booking's share here, its slots at all edges, and whether more of it is wanted than there is.
func (g *AdmissionGate) SetShare(id string, share, total int, exhausted bool) {
	u := g.booked[id]
	if u == nil {
		u = &usage{}
		g.booked[id] = u
	}
	u.share, u.total, u.exhausted = max(0, share), total, exhausted
}

// Retain ends all bookings but those that are wanted. What runs under them goes on.
func (g *AdmissionGate) Retain(wanted func(id string) bool) {
	for id, u := range g.booked {
		if wanted(id) {
			continue
		}
		if u.share, u.total = 0, 0; u.inUse == 0 {
			delete(g.booked, id)
		}
	}
}

// LimitUnreserved limits all who have booked nothing to their share, and to the total while no more than that is wanted.
func (g *AdmissionGate) LimitUnreserved(share, total int, exhausted bool) {
	g.others.share, g.others.total, g.others.exhausted, g.limitsOthers = max(0, share), total, exhausted, true
}

// ClearUnreservedLimit admits all who have booked nothing.
func (g *AdmissionGate) ClearUnreservedLimit() { g.limitsOthers = false }

// Idle reports whether nothing runs under the gate.
func (g *AdmissionGate) Idle() bool {
	for _, u := range g.booked {
		if u.inUse > 0 {
			return false
		}
	}
	return g.others.inUse == 0
}

// lendable is the part of idle booked slots that may be lent: what becomes free by itself within the lending window. A
// request that runs ends within a time t with a probability of 1 - exp(-t/mean) if durations are exponential; those that
// vary less end sooner.
func (g *AdmissionGate) lendable() float64 {
	return 1 - math.Exp(-lendingWindow.Seconds()/g.meanDuration)
}

// lentSlots is how many of the booked slots others may use now.
func (g *AdmissionGate) lentSlots() int {
	idle := 0
	for _, u := range g.booked {
		idle += max(0, u.share-u.inUse)
	}
	return int(float64(idle) * g.lendable())
}

// HasCapacity reports whether a booking has a slot here.
func (g *AdmissionGate) HasCapacity(id string) bool { return g.booked[id].hasCapacity() }

// Admit admits a request, if there is a slot for it: under a booking up to its share, and beyond while the booking isn't
// exhausted elsewhere, since shares follow the traffic only a moment later; else as everybody. AdmittedAs has to be handed
// to Release.
func (g *AdmissionGate) Admit(id string) (admittedAs string, ok bool) {
	if u := g.booked[id]; id != "" && u.hasCapacity() {
		u.inUse++
		return id, true
	}
	if !g.limitsOthers || g.others.hasCapacity() || g.others.inUse < g.others.share+g.lentSlots() {
		g.others.inUse++
		return "", true
	}
	return "", false
}

// Release gives a request's slot back. A duration of 0 is that of a request that was admitted in vain.
func (g *AdmissionGate) Release(admittedAs string, duration time.Duration) {
	if duration > 0 {
		g.meanDuration += durationSmoothing * (duration.Seconds() - g.meanDuration)
	}
	u := g.booked[admittedAs]
	if admittedAs == "" || u == nil {
		g.others.inUse--
		return
	}
	if u.inUse--; u.inUse == 0 && u.total == 0 {
		delete(g.booked, admittedAs)
	}
}
