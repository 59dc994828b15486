package booking

import (
	"math"
	"time"
)

// backWithin is how soon room that is lent out has to be back.
const backWithin = 500 * time.Millisecond

// Gate lets requests for one service in at one edge. Booked requests have their part; what is idle of it is lent to the
// others, as much as comes back in time by itself: nothing that runs is broken off.
type Gate struct {
	slots  int // requests in work that the edge has room for
	out    int
	booked map[string]*share
	work   float64 // seconds that a request takes, in the mean
}

type share struct {
	part, out int
}

// NewGate makes a gate with room for so many requests at once.
func NewGate(slots int) *Gate { return &Gate{slots: slots, booked: map[string]*share{}, work: 1} }

// Room sets for how many requests there is room.
func (g *Gate) Room(slots int) { g.slots = slots }

// Part sets a booking's part here; 0 ends it. What runs under it runs on.
func (g *Gate) Part(id string, part int) {
	s := g.booked[id]
	if s == nil {
		s = &share{}
		g.booked[id] = s
	}
	if s.part = max(0, part); s.part == 0 && s.out == 0 {
		delete(g.booked, id)
	}
}

// lendable is the share of idle booked room that may be lent: what is given back by itself in time. A request in work ends
// within a time t with a chance of 1 - exp(-t/work), if works are as spread as those of the field are; those that are
// less spread end sooner.
func (g *Gate) lendable() float64 { return 1 - math.Exp(-backWithin.Seconds()/g.work) }

// kept is the booked room that is idle and not to be lent.
func (g *Gate) kept() int {
	idle := 0
	for _, s := range g.booked {
		idle += max(0, s.part-s.out)
	}
	return int(math.Ceil(float64(idle) * (1 - g.lendable())))
}

// Admit takes a request in, if there is room for it: under a booking up to its part, else as everybody. It tells under
// what it was taken, to be handed to Done.
func (g *Gate) Admit(id string) (under string, ok bool) {
	if s := g.booked[id]; id != "" && s != nil && s.out < s.part && g.out < g.slots {
		s.out++
		g.out++
		return id, true
	}
	if g.out+g.kept() < g.slots {
		g.out++
		return "", true
	}
	return "", false
}

// Done gives a request's room back.
func (g *Gate) Done(under string, took time.Duration) {
	g.out--
	g.work += 0.05 * (took.Seconds() - g.work)
	if s := g.booked[under]; under != "" && s != nil {
		if s.out--; s.out == 0 && s.part == 0 {
			delete(g.booked, under)
		}
	}
}
