package simulation

import (
	"math"
	"time"

	"mulleinwood/internal/control/consensus"
)

const forever = time.Duration(math.MaxInt64)

// controllerAt returns the controller that occupies a position. LeaderNode selects the position of the leader.
func (w *cluster) controllerAt(position int) *controller {
	if position == LeaderNode {
		for _, n := range w.positions {
			if w.isRunning(n.number) && n.replica.Role() == consensus.Leader {
				return n
			}
		}
		position = 0
	}
	return w.positions[position%len(w.positions)]
}

// removeController removes a controller permanently.
func (w *cluster) removeController(n *controller) {
	w.losePower(n)
	n.incarnation++
	n.downUntil, n.removed, n.shuttingDown = forever, true, false
}

// replaceController starts a controller with a new address and an empty disk at the position of an old one.
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

// returnController restarts a replaced controller with its disk. It occupies no position any more.
func (w *cluster) returnController(n *controller) {
	n.removed, n.downUntil = false, w.now
	w.startController(n)
}

// replaceAfter removes a controller and starts its replacement after the fault's duration.
func (w *cluster) replaceAfter(fault Fault, old *controller) {
	w.removeController(old)
	w.scheduleAfter(fault.Duration, func() { w.replaceController(old) })
	if fault.Kind == ReplaceBack {
		w.scheduleAfter(fault.Duration+returnDelay, func() { w.returnController(old) })
	}
}

const returnDelay = 2 * time.Second // from the start of the replacement to the return of the removed controller

// shutDownAndReplace shuts a controller down, with its replacement started before or after, or restarts it.
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

// scheduleAfter runs do after a delay of at least one millisecond.
func (w *cluster) scheduleAfter(span time.Duration, do func()) {
	w.scheduleMillis(max(1, int(span/time.Millisecond)), do)
}

// activeControllers returns the controllers that are not removed.
func (w *cluster) activeControllers() []*controller {
	var all []*controller
	for _, n := range w.controllers {
		if !n.removed {
			all = append(all, n)
		}
	}
	return all
}

// anyController returns the number of a random controller that isn't removed.
func (w *cluster) anyController() int {
	all := w.activeControllers()
	return all[w.rng.IntN(len(all))].number
}

// otherController returns the number of a random controller that isn't removed, other than excluded.
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

// nextController returns the number of the next controller that isn't removed.
func (w *cluster) nextController(i int) int {
	for range w.controllers {
		if i = (i + 1) % len(w.controllers); !w.controllers[i].removed {
			break
		}
	}
	return i
}
