package simulation

import (
	"math"
	"time"

	"mulleinwood/internal/control/consensus"
)

const forever = time.Duration(math.MaxInt64)

// controllerAt is the machine that stands at a place now; Leading means where the leader is.
func (w *cluster) controllerAt(place int) *controller {
	if place == LeaderNode {
		for _, n := range w.positions {
			if w.isRunning(n.number) && n.replica.Role() == consensus.Leader {
				return n
			}
		}
		place = 0
	}
	return w.positions[place%len(w.positions)]
}

// removeController takes a machine away for good.
func (w *cluster) removeController(n *controller) {
	w.losePower(n)
	n.incarnation++
	n.downUntil, n.removed, n.shuttingDown = forever, true, false
}

// replaceController has an empty machine with another address start in an old one's place.
func (w *cluster) replaceController(old *controller) {
	n := w.newController(old.zone)
	w.connectController(n)
	w.startController(n)
	for i, o := range w.positions {
		if o == old {
			w.positions[i] = n
		}
	}
}

// returnController starts a machine again that was replaced, with its disk. Nobody's place is its own any more.
func (w *cluster) returnController(n *controller) {
	n.removed, n.downUntil = false, w.now
	w.startController(n)
}

// replaceAfter takes a machine away and has its successor start some time later.
func (w *cluster) replaceAfter(fault Fault, old *controller) {
	w.removeController(old)
	w.scheduleAfter(fault.Duration, func() { w.replaceController(old) })
	if fault.Kind == ReplaceBack {
		w.scheduleAfter(fault.Duration+returnDelay, func() { w.returnController(old) })
	}
}

const returnDelay = 2 * time.Second // after its successor's start, an old machine comes back

// shutDownAndReplace has a machine end in order, its successor there before or after.
func (w *cluster) shutDownAndReplace(fault Fault, old *controller) {
	switch fault.Kind {
	case StandbyFirst:
		w.replaceController(old)
		w.scheduleAfter(fault.Duration, func() { w.beginShutdown(old, 0) })
	case StandbyAfter:
		w.beginShutdown(old, 0)
		w.scheduleAfter(fault.Duration, func() { w.replaceController(old) })
	case Restart:
		w.beginShutdown(old, fault.Duration)
	}
}

// scheduleAfter has something happen after a span.
func (w *cluster) scheduleAfter(span time.Duration, do func()) {
	w.scheduleMillis(max(1, int(span/time.Millisecond)), do)
}

// activeControllers are the controllers that are not gone for good.
func (w *cluster) activeControllers() []*controller {
	var all []*controller
	for _, n := range w.controllers {
		if !n.removed {
			all = append(all, n)
		}
	}
	return all
}

// anyController is any controller that is not gone for good.
func (w *cluster) anyController() int {
	all := w.activeControllers()
	return all[w.rng.IntN(len(all))].number
}

// otherController is any controller that is not gone for good, but for one.
func (w *cluster) otherController(excluded int) int {
	var all []int
	for _, n := range w.activeControllers() {
		if n.number != excluded {
			all = append(all, n.number)
		}
	}
	if len(all) == 0 {
		return excluded
	}
	return all[w.rng.IntN(len(all))]
}

// nextController is the controller after one, of those that are not gone for good.
func (w *cluster) nextController(i int) int {
	for range w.controllers {
		if i = (i + 1) % len(w.controllers); !w.controllers[i].removed {
			break
		}
	}
	return i
}
