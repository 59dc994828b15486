package simulation

import "time"

// contact is how long ago the last trouble has to be for what a rule bounds by time.
const contact = 3 * time.Second

// isCalm tells whether the core is settled.
func (w *cluster) isCalm() bool { return w.now >= w.calmSince }

// applyFault lets something go wrong.
func (w *cluster) applyFault(t Fault) {
	switch t.Kind {
	case Kill, Wipe, PowerAll, Partition, OutboundPartition, InboundPartition, SlowDisk, FullDisk, Freeze:
		w.extendRecovery(w.now + t.Duration)
		w.applyControllerFault(t, w.controllerAt(t.Node))
	case Replace, ReplaceBack, StandbyFirst, StandbyAfter, Restart, JumpClock:
		w.applyMembershipFault(t, w.controllerAt(t.Node))
	case KillEdge, PartitionEdge, FreezeEdge:
		w.applyEdgeFault(t, w.edges[t.Node%len(w.edges)])
	default:
		if len(w.servers) > 0 {
			w.applyServerFault(t)
		}
	}
}

func (w *cluster) applyControllerFault(t Fault, n *controller) {
	switch t.Kind {
	case Kill:
		w.stopController(n, t.Duration)
	case Wipe:
		w.wipeController(n, t.Duration)
	case PowerAll:
		for _, n := range w.activeControllers() {
			w.stopController(n, max(t.Duration, n.downUntil-w.now))
		}
	case Partition:
		n.outboundCutUntil, n.inboundCutUntil = w.now+t.Duration, w.now+t.Duration
	case OutboundPartition:
		n.outboundCutUntil = w.now + t.Duration
	case InboundPartition:
		n.inboundCutUntil = w.now + t.Duration
	case Freeze:
		n.frozenUntil = w.now + t.Duration
	case SlowDisk:
		n.slowDiskUntil = w.now + t.Duration
	case FullDisk:
		n.fullDiskUntil = w.now + t.Duration
	}
}

// applyMembershipFault replaces a machine, or has it end in order.
func (w *cluster) applyMembershipFault(t Fault, n *controller) {
	switch t.Kind {
	case JumpClock:
		n.clockOffset = t.Duration
	case Replace:
		w.extendRecovery(w.now + t.Duration)
		w.replaceAfter(t, n)
	case ReplaceBack:
		w.extendRecovery(w.now + t.Duration + backAfter)
		w.replaceAfter(t, n)
	case StandbyFirst, StandbyAfter, Restart:
		w.extendRecovery(w.now + t.Duration + maxShutdown)
		w.shutDownAndReplace(t, n)
	}
}

func (w *cluster) applyEdgeFault(t Fault, e *edge) {
	e.calmSince = max(e.calmSince, w.now+t.Duration+contact)
	switch t.Kind {
	case KillEdge:
		w.restart(e)
	case PartitionEdge:
		e.cutUntil = w.now + t.Duration
	case FreezeEdge:
		e.frozenUntil = w.now + t.Duration
	}
}

func (w *cluster) applyServerFault(t Fault) {
	var alive []*server
	for _, s := range w.servers {
		if !s.ended && !s.draining {
			alive = append(alive, s)
		}
	}
	if len(alive) == 0 {
		return
	}
	s := alive[t.Node%len(alive)]
	switch t.Kind {
	case Drain:
		w.drainServer(s)
	case Crash:
		w.endServer(s, t.Node%2 == 0)
	case LoseReplies:
		s.losing = w.now + t.Duration
	case Garble:
		s.garbling = w.now + t.Duration
	case SlowServer:
		w.slowed[s] = w.now + t.Duration
	case FailingServer:
		for _, o := range alive {
			if o.service == s.service {
				o.failing = w.now + 2*t.Duration
			}
		}
	}
}
