package simulation

import "time"

// message is a message in flight. It is dropped if the process at either end restarts.
type message struct {
	deliverAt          time.Duration
	from, to           int // controller number, or -1 - number for an edge
	incarnations       [2]int
	deliver            func()
	betweenControllers bool // between controllers outside a link: dropped by a partition
	link               *link
	epoch              int
	scheduled          bool // a scheduled event, not a message
}

// scheduleMillis runs do after the given number of milliseconds.
func (w *cluster) scheduleMillis(ms int, do func()) {
	w.network = append(w.network, message{deliverAt: w.now + time.Duration(ms)*time.Millisecond, deliver: do, scheduled: true})
}

func (w *cluster) incarnationOf(who int) int {
	if who < 0 {
		return w.edges[-1-who].incarnation
	}
	return w.controllers[who].incarnation
}

// send delivers an unreliable message after a random delay, or drops it.
func (w *cluster) send(from, to int, do func()) {
	if w.rng.IntN(40) == 0 {
		return
	}
	w.network = append(w.network, message{deliverAt: w.now + time.Duration(1+w.rng.IntN(9))*time.Millisecond, from: from, to: to,
		incarnations: [2]int{w.incarnationOf(from), w.incarnationOf(to)}, deliver: do, betweenControllers: from >= 0 && to >= 0})
}

func (w *cluster) deliverMessages() {
	pending := w.network
	w.network = nil
	var kept []message
	for _, l := range pending {
		if l.deliverAt > w.now {
			kept = append(kept, l)
			continue
		}
		if l.scheduled {
			w.result.Events++
			l.deliver()
			continue
		}
		switch {
		case w.incarnationOf(l.from) != l.incarnations[0] || w.incarnationOf(l.to) != l.incarnations[1]:
		case l.link != nil && (!l.link.up || l.link.epoch != l.epoch):
		case l.link != nil && !w.isReachable(l.from, l.to), !w.isRunning(l.to) &&
			(l.to < 0 || w.controllers[l.to].downUntil <= w.now):
			kept = append(kept, l) // delayed by a partition, or unread by a suspended process
		case l.to >= 0 && w.controllers[l.to].downUntil > w.now:
		case l.betweenControllers && (w.controllers[l.from].outboundCutUntil > w.now ||
			w.controllers[l.to].inboundCutUntil > w.now):
		default:
			w.result.Events++
			l.deliver()
		}
	}
	w.network = append(kept, w.network...)
}
