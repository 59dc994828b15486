package simulation

import "time"

// letter is a message on its way. It is lost with the life of either end.
type letter struct {
	at       time.Duration
	from, to int // controllers; edges are -1 - number
	lives    [2]int
	do       func()
	inner    bool // between controllers: a cut stops it
	wire     *wire
	epoch    int
	free     bool // something that the clock brings
}

// after has something happen some milliseconds from now.
func (w *world) after(ms int, do func()) {
	w.mail = append(w.mail, letter{at: w.now + time.Duration(ms)*time.Millisecond, do: do, free: true})
}

func (w *world) life(who int) int {
	if who < 0 {
		return w.edges[-1-who].life
	}
	return w.nodes[who].life
}

// send delivers later, or never.
func (w *world) send(from, to int, do func()) {
	if w.rng.IntN(40) == 0 {
		return
	}
	w.mail = append(w.mail, letter{at: w.now + time.Duration(1+w.rng.IntN(9))*time.Millisecond, from: from, to: to,
		lives: [2]int{w.life(from), w.life(to)}, do: do, inner: from >= 0 && to >= 0})
}

func (w *world) deliver() {
	mail := w.mail
	w.mail = nil
	var kept []letter
	for _, l := range mail {
		if l.at > w.now {
			kept = append(kept, l)
			continue
		}
		if l.free {
			w.result.Steps++
			l.do()
			continue
		}
		switch {
		case w.life(l.from) != l.lives[0] || w.life(l.to) != l.lives[1]:
		case l.wire != nil && (!l.wire.up || l.wire.epoch != l.epoch):
		case l.wire != nil && !w.passes(l.from, l.to), !w.running(l.to) && (l.to < 0 || w.nodes[l.to].up <= w.now):
			kept = append(kept, l) // held up by a cut, or unread by a process that stands still
		case l.to >= 0 && w.nodes[l.to].up > w.now:
		case l.inner && (w.nodes[l.from].cutOut > w.now || w.nodes[l.to].cutIn > w.now):
		default:
			w.result.Steps++
			l.do()
		}
	}
	w.mail = append(kept, w.mail...)
}
