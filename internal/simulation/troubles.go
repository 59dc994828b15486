package simulation

import "time"

// contact is how long ago the last trouble has to be for what a rule bounds by time.
const contact = 3 * time.Second

// calm tells whether the core is settled.
func (w *world) calm() bool { return w.now >= w.coreCalm }

// trouble lets something go wrong.
func (w *world) trouble(t Trouble) {
	switch t.Kind {
	case Kill, Wipe, PowerAll, Cut, CutOut, CutIn, SlowDisk, FullDisk, Freeze:
		w.troubled(w.now + t.For)
		w.coreTrouble(t, w.occupant(t.Node))
	case Replace, ReplaceBack, SuccessorFirst, SuccessorAfter, Restart, JumpClock:
		w.memberTrouble(t, w.occupant(t.Node))
	case KillEdge, CutEdge, FreezeEdge:
		w.edgeTrouble(t, w.edges[t.Node%len(w.edges)])
	default:
		if len(w.servers) > 0 {
			w.serverTrouble(t)
		}
	}
}

func (w *world) coreTrouble(t Trouble, n *node) {
	switch t.Kind {
	case Kill:
		w.fail(n, t.For, false)
	case Wipe:
		w.fail(n, t.For, true)
	case PowerAll:
		for _, n := range w.present() {
			w.fail(n, max(t.For, n.up-w.now), false)
		}
	case Cut:
		n.cutOut, n.cutIn = w.now+t.For, w.now+t.For
	case CutOut:
		n.cutOut = w.now + t.For
	case CutIn:
		n.cutIn = w.now + t.For
	case Freeze:
		n.frozen = w.now + t.For
	case SlowDisk:
		n.slow = w.now + t.For
	case FullDisk:
		n.full = w.now + t.For
	}
}

// memberTrouble replaces a machine, or has it end in order.
func (w *world) memberTrouble(t Trouble, n *node) {
	switch t.Kind {
	case JumpClock:
		n.ahead = t.For
	case Replace:
		w.troubled(w.now + t.For)
		w.replace(t, n)
	case ReplaceBack:
		w.troubled(w.now + t.For + backAfter)
		w.replace(t, n)
	case SuccessorFirst, SuccessorAfter, Restart:
		w.troubled(w.now + t.For + leaveMost)
		w.leaveFor(t, n)
	}
}

func (w *world) edgeTrouble(t Trouble, e *edge) {
	e.calm = max(e.calm, w.now+t.For+contact)
	switch t.Kind {
	case KillEdge:
		w.restart(e)
	case CutEdge:
		e.cut = w.now + t.For
	case FreezeEdge:
		e.frozen = w.now + t.For
	}
}

func (w *world) serverTrouble(t Trouble) {
	var alive []*server
	for _, s := range w.servers {
		if !s.ended && !s.leaving {
			alive = append(alive, s)
		}
	}
	if len(alive) == 0 {
		return
	}
	s := alive[t.Node%len(alive)]
	switch t.Kind {
	case Drain:
		w.leave(s)
	case Crash:
		w.end(s, t.Node%2 == 0)
	case LoseAnswers:
		s.losing = w.now + t.For
	case Garble:
		s.garbling = w.now + t.For
	case SlowServer:
		w.slowed[s] = w.now + t.For
	case Sick:
		for _, o := range alive {
			if o.service == s.service {
				o.sick = w.now + 2*t.For
			}
		}
	}
}
