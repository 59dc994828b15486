package reservation

import (
	"math"
	"time"
)

// lendingWindow is how soon room that is lent out has to be back.
const lendingWindow = 500 * time.Millisecond

// AdmissionGate lets requests for one service in at one edge. Booked requests have their parts; what is idle of them is lent to the
// others, as much as comes back in time by itself: nothing that runs is broken off. Others are held to their own part and
// what is lent to them; a gate without any word on that holds nobody.
type AdmissionGate struct {
	booked       map[string]*usage
	others       usage   // of all others here
	limitsOthers bool    // others are held to it
	meanDuration float64 // seconds that a request takes, in the mean
}

type usage struct {
	share, total, inUse int
	exhausted           bool
}

func (s *usage) hasCapacity() bool {
	return s != nil && (s.inUse < s.share || !s.exhausted && s.inUse < s.total)
}

const initialMeanDuration = 1.0 // seconds, until some requests were seen

// NewAdmissionGate makes a gate that holds nobody.
func NewAdmissionGate() *AdmissionGate {
	return &AdmissionGate{booked: map[string]*usage{}, meanDuration: initialMeanDuration}
}

// SetShare sets a booking's part here, the whole of it, and whether more of it is wanted than there is.
func (g *AdmissionGate) SetShare(id string, share, total int, exhausted bool) {
	s := g.booked[id]
	if s == nil {
		s = &usage{}
		g.booked[id] = s
	}
	s.share, s.total, s.exhausted = max(0, share), total, exhausted
}

// Retain ends all bookings but those that are to be kept. What runs under them runs on.
func (g *AdmissionGate) Retain(wanted func(id string) bool) {
	for id, s := range g.booked {
		if !wanted(id) {
			if s.share, s.total = 0, 0; s.inUse == 0 {
				delete(g.booked, id)
			}
		}
	}
}

// LimitOthers holds all who have booked nothing to their part, and to the whole of it while no more than that is wanted.
func (g *AdmissionGate) LimitOthers(share, total int, exhausted bool) {
	g.others.share, g.others.total, g.others.exhausted, g.limitsOthers = max(0, share), total, exhausted, true
}

// UnlimitOthers lets all in who have booked nothing.
func (g *AdmissionGate) UnlimitOthers() { g.limitsOthers = false }

// Idle tells that nothing runs under the gate.
func (g *AdmissionGate) Idle() bool {
	for _, s := range g.booked {
		if s.inUse > 0 {
			return false
		}
	}
	return g.others.inUse == 0
}

// lendable is the share of idle booked slots that may be lent: what is given back by itself in time. A request in work ends
// within a time t with a chance of 1 - exp(-t/work), if works are as spread as those of the field are; those that are
// less spread end sooner.
func (g *AdmissionGate) lendable() float64 {
	return 1 - math.Exp(-lendingWindow.Seconds()/g.meanDuration)
}

// lentSlots is how many of the booked slots others may use now.
func (g *AdmissionGate) lentSlots() int {
	idle := 0
	for _, s := range g.booked {
		idle += max(0, s.share-s.inUse)
	}
	return int(float64(idle) * g.lendable())
}

// HasCapacity tells whether a booking has room here.
func (g *AdmissionGate) HasCapacity(id string) bool { return g.booked[id].hasCapacity() }

// Admit takes a request in, if there is room for it: under a booking up to its part, and beyond while the booking isn't
// used up elsewhere, since its parts follow the traffic only a moment later; else as everybody. It tells under what the
// request was taken, to be handed to Done.
func (g *AdmissionGate) Admit(id string) (under string, ok bool) {
	if s := g.booked[id]; id != "" && s.hasCapacity() {
		s.inUse++
		return id, true
	}
	if !g.limitsOthers || g.others.hasCapacity() || g.others.inUse < g.others.share+g.lentSlots() {
		g.others.inUse++
		return "", true
	}
	return "", false
}

// Release gives a request's room back. One that was let in for nothing took no time.
func (g *AdmissionGate) Release(under string, took time.Duration) {
	if took > 0 {
		g.meanDuration += 0.05 * (took.Seconds() - g.meanDuration)
	}
	s := g.booked[under]
	if under == "" || s == nil {
		g.others.inUse--
		return
	}
	if s.inUse--; s.inUse == 0 && s.total == 0 {
		delete(g.booked, under)
	}
}
