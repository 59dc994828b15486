package simulation

import (
	"math"
	"time"

	"mulleinwood/internal/control/consensus"
)

const forGood = time.Duration(math.MaxInt64)

// occupant is the machine that stands at a place now; Leading means where the leader is.
func (w *world) occupant(place int) *node {
	if place == Leading {
		for _, n := range w.places {
			if w.running(n.n) && n.member.Role() == consensus.Leader {
				return n
			}
		}
		place = 0
	}
	return w.places[place%len(w.places)]
}

// remove takes a machine away for good.
func (w *world) remove(n *node) {
	w.losePower(n)
	n.life++
	n.up, n.gone, n.leaving = forGood, true, false
}

// succeed has an empty machine with another address start in an old one's place.
func (w *world) succeed(old *node) *node {
	n := w.newNode(old.zone)
	w.lay(n)
	w.start(n)
	for i, o := range w.places {
		if o == old {
			w.places[i] = n
		}
	}
	return n
}

// comeBack starts a machine again that was replaced, with its disk. Nobody's place is its own any more.
func (w *world) comeBack(n *node) {
	n.gone, n.up = false, w.now
	w.start(n)
}

// replace takes a machine away and has its successor start some time later.
func (w *world) replace(t Trouble, old *node) {
	w.remove(old)
	w.later(t.For, func() { w.succeed(old) })
	if t.Kind == ReplaceBack {
		w.later(t.For+backAfter, func() { w.comeBack(old) })
	}
}

const backAfter = 2 * time.Second // after its successor's start, an old machine comes back

// leaveFor has a machine end in order, its successor there before or after.
func (w *world) leaveFor(t Trouble, old *node) {
	switch t.Kind {
	case SuccessorFirst:
		w.succeed(old)
		w.later(t.For, func() { w.beginLeaving(old, 0) })
	case SuccessorAfter:
		w.beginLeaving(old, 0)
		w.later(t.For, func() { w.succeed(old) })
	case Restart:
		w.beginLeaving(old, t.For)
	}
}

// later has something happen after a span.
func (w *world) later(span time.Duration, do func()) {
	w.after(max(1, int(span/time.Millisecond)), do)
}

// present are the controllers that are not gone for good.
func (w *world) present() []*node {
	var all []*node
	for _, n := range w.nodes {
		if !n.gone {
			all = append(all, n)
		}
	}
	return all
}

// some is any controller that is not gone for good.
func (w *world) some() int {
	all := w.present()
	return all[w.rng.IntN(len(all))].n
}

// another is any controller that is not gone for good, but for one.
func (w *world) another(but int) int {
	var all []int
	for _, n := range w.present() {
		if n.n != but {
			all = append(all, n.n)
		}
	}
	if len(all) == 0 {
		return but
	}
	return all[w.rng.IntN(len(all))]
}

// following is the controller after one, of those that are not gone for good.
func (w *world) following(i int) int {
	for range w.nodes {
		if i = (i + 1) % len(w.nodes); !w.nodes[i].gone {
			break
		}
	}
	return i
}
