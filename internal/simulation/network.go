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
	w.messages = append(w.messages, message{deliverAt: w.now + time.Duration(ms)*time.Millisecond, deliver: do, scheduled: true})
}

func (w *cluster) incarnationOf(process int) int {
	if process < 0 {
		return w.edges[-1-process].incarnation
	}
	return w.controllers[process].incarnation
}

// send delivers an unreliable message after a random delay, or drops it.
func (w *cluster) send(from, to int, do func()) {
	if w.rng.IntN(40) == 0 {
		return
	}
	w.messages = append(w.messages, message{deliverAt: w.now + time.Duration(1+w.rng.IntN(9))*time.Millisecond,
		from: from, to: to, incarnations: [2]int{w.incarnationOf(from), w.incarnationOf(to)},
		deliver: do, betweenControllers: from >= 0 && to >= 0})
}

func (w *cluster) deliverMessages() {
	pending := w.messages
	w.messages = nil
	var kept []message
	for _, m := range pending {
		if m.deliverAt > w.now {
			kept = append(kept, m)
			continue
		}
		if m.scheduled {
			w.result.Events++
			m.deliver()
			continue
		}
		switch {
		case w.incarnationOf(m.from) != m.incarnations[0] || w.incarnationOf(m.to) != m.incarnations[1]:
		case m.link != nil && (!m.link.up || m.link.epoch != m.epoch):
		case m.link != nil && !w.isReachable(m.from, m.to), !w.isRunning(m.to) &&
			(m.to < 0 || w.controllers[m.to].downUntil <= w.now):
			kept = append(kept, m) // delayed by a partition, or unread by a suspended process
		case m.to >= 0 && w.controllers[m.to].downUntil > w.now:
		case m.betweenControllers && (w.controllers[m.from].outboundPartitionUntil > w.now ||
			w.controllers[m.to].inboundPartitionUntil > w.now):
		default:
			w.result.Events++
			m.deliver()
		}
	}
	w.messages = append(kept, w.messages...)
}
