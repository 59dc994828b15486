package reservation

import (
	"math"
	"time"
)

// backWithin is how soon room that is lent out has to be back.
const backWithin = 500 * time.Millisecond

// Gate lets requests for one service in at one edge. Booked requests have their parts; what is idle of them is lent to the
// others, as much as comes back in time by itself: nothing that runs is broken off. Others are held to their own part and
// what is lent to them; a gate without any word on that holds nobody.
type Gate struct {
	booked map[string]*share
	rest   share   // of all others here
	bound  bool    // others are held to it
	work   float64 // seconds that a request takes, in the mean
}

type share struct {
	part, whole, out int
	full             bool
}

func (s *share) has() bool { return s != nil && (s.out < s.part || !s.full && s.out < s.whole) }

const workFirst = 1.0 // seconds, until some requests were seen

// NewGate makes a gate that holds nobody.
func NewGate() *Gate { return &Gate{booked: map[string]*share{}, work: workFirst} }

// Part sets a booking's part here, the whole of it, and whether more of it is wanted than there is.
func (g *Gate) Part(id string, part, whole int, full bool) {
	s := g.booked[id]
	if s == nil {
		s = &share{}
		g.booked[id] = s
	}
	s.part, s.whole, s.full = max(0, part), whole, full
}

// Keep ends all bookings but those that are to be kept. What runs under them runs on.
func (g *Gate) Keep(those func(id string) bool) {
	for id, s := range g.booked {
		if !those(id) {
			if s.part, s.whole = 0, 0; s.out == 0 {
				delete(g.booked, id)
			}
		}
	}
}

// Others holds all who have booked nothing to their part, and to the whole of it while no more than that is wanted.
func (g *Gate) Others(part, whole int, full bool) {
	g.rest.part, g.rest.whole, g.rest.full, g.bound = max(0, part), whole, full, true
}

// Free lets all in who have booked nothing.
func (g *Gate) Free() { g.bound = false }

// Idle tells that nothing runs under the gate.
func (g *Gate) Idle() bool {
	for _, s := range g.booked {
		if s.out > 0 {
			return false
		}
	}
	return g.rest.out == 0
}

// lendable is the share of idle booked slots that may be lent: what is given back by itself in time. A request in work ends
// within a time t with a chance of 1 - exp(-t/work), if works are as spread as those of the field are; those that are
// less spread end sooner.
func (g *Gate) lendable() float64 { return 1 - math.Exp(-backWithin.Seconds()/g.work) }

// lent is how many of the booked slots others may use now.
func (g *Gate) lent() int {
	idle := 0
	for _, s := range g.booked {
		idle += max(0, s.part-s.out)
	}
	return int(float64(idle) * g.lendable())
}

// Has tells whether a booking has room here.
func (g *Gate) Has(id string) bool { return g.booked[id].has() }

// Admit takes a request in, if there is room for it: under a booking up to its part, and beyond while the booking isn't
// used up elsewhere, since its parts follow the traffic only a moment later; else as everybody. It tells under what the
// request was taken, to be handed to Done.
func (g *Gate) Admit(id string) (under string, ok bool) {
	if s := g.booked[id]; id != "" && s.has() {
		s.out++
		return id, true
	}
	if !g.bound || g.rest.has() || g.rest.out < g.rest.part+g.lent() {
		g.rest.out++
		return "", true
	}
	return "", false
}

// Done gives a request's room back. One that was let in for nothing took no time.
func (g *Gate) Done(under string, took time.Duration) {
	if took > 0 {
		g.work += 0.05 * (took.Seconds() - g.work)
	}
	s := g.booked[under]
	if under == "" || s == nil {
		g.rest.out--
		return
	}
	if s.out--; s.out == 0 && s.whole == 0 {
		delete(g.booked, under)
	}
}
