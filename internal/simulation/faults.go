package simulation

import "time"

// stabilizationTime is the time that must have passed since the last fault before time-bounded rules are checked.
const stabilizationTime = 3 * time.Second

// isStable reports whether the controllers have had no fault for stabilizationTime.
func (w *cluster) isStable() bool { return w.now >= w.stableSince }

// applyFault injects a fault.
func (w *cluster) applyFault(fault Fault) {
	switch fault.Kind {
	case Kill, Wipe, PowerAll, Partition, OutboundPartition, InboundPartition, SlowDisk, FullDisk, Freeze:
		w.extendRecoveryDeadline(w.now + fault.Duration)
		w.applyControllerFault(fault, w.controllerAt(fault.Node))
	case Replace, ReplaceBack, StandbyFirst, StandbyAfter, Restart, JumpClock:
		w.applyMembershipFault(fault, w.controllerAt(fault.Node))
	case KillEdge, PartitionEdge, FreezeEdge:
		w.applyEdgeFault(fault, w.edges[fault.Node%len(w.edges)])
	default:
		if len(w.servers) > 0 {
			w.applyServerFault(fault)
		}
	}
}

func (w *cluster) applyControllerFault(fault Fault, n *controller) {
	switch fault.Kind {
	case Kill:
		w.stopController(n, fault.Duration)
	case Wipe:
		w.wipeController(n, fault.Duration)
	case PowerAll:
		for _, n := range w.activeControllers() {
			w.stopController(n, max(fault.Duration, n.downUntil-w.now))
		}
	case Partition:
		n.outboundPartitionUntil, n.inboundPartitionUntil = w.now+fault.Duration, w.now+fault.Duration
	case OutboundPartition:
		n.outboundPartitionUntil = w.now + fault.Duration
	case InboundPartition:
		n.inboundPartitionUntil = w.now + fault.Duration
	case Freeze:
		n.frozenUntil = w.now + fault.Duration
	case SlowDisk:
		n.slowDiskUntil = w.now + fault.Duration
	case FullDisk:
		n.fullDiskUntil = w.now + fault.Duration
	}
}

// applyMembershipFault injects a fault that replaces, shuts down or restarts a controller, or that changes its wall clock.
func (w *cluster) applyMembershipFault(fault Fault, n *controller) {
	switch fault.Kind {
	case JumpClock:
		n.clockOffset = fault.Duration
	case Replace:
		w.extendRecoveryDeadline(w.now + fault.Duration)
		w.replaceAfter(fault, n)
	case ReplaceBack:
		w.extendRecoveryDeadline(w.now + fault.Duration + returnDelay)
		w.replaceAfter(fault, n)
	case StandbyFirst, StandbyAfter, Restart:
		w.extendRecoveryDeadline(w.now + fault.Duration + maxShutdown)
		w.shutDownAndReplace(fault, n)
	}
}

func (w *cluster) applyEdgeFault(fault Fault, e *edge) {
	e.stableSince = max(e.stableSince, w.now+fault.Duration+stabilizationTime)
	switch fault.Kind {
	case KillEdge:
		w.restartEdge(e)
	case PartitionEdge:
		e.partitionUntil = w.now + fault.Duration
	case FreezeEdge:
		e.frozenUntil = w.now + fault.Duration
	}
}

func (w *cluster) applyServerFault(fault Fault) {
	var alive []*server
	for _, s := range w.servers {
		if !s.stopped && !s.draining {
			alive = append(alive, s)
		}
	}
	if len(alive) == 0 {
		return
	}
	s := alive[fault.Node%len(alive)]
	switch fault.Kind {
	case Drain:
		w.drainServer(s)
	case Crash:
		w.endServer(s, fault.Node%2 == 0)
	case LoseReplies:
		s.losesRepliesUntil = w.now + fault.Duration
	case Garble:
		s.garblesUntil = w.now + fault.Duration
	case SlowServer:
		w.slowUntil[s] = w.now + fault.Duration
	case FailingServer:
		for _, o := range alive {
			if o.service == s.service {
				o.failsUntil = w.now + 2*fault.Duration
			}
		}
	}
}
