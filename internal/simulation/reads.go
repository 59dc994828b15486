package simulation

import (
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
)

const (
	plantedReadLease = 150 * time.Millisecond // only used by a planted fault
	readInterval     = 300 * time.Millisecond // mean interval between two reads of one operator
)

// read is an operator's call that reads the active configuration and waits for the confirmation that the controller still
// leads.
type read struct {
	round        uint64
	deadline     time.Duration
	acknowledged uint64 // the newest acknowledged version when the call began
}

// startReads draws whether an operator starts a read, at any controller.
func (w *cluster) startReads() {
	if w.rng.Float64() >= float64(len(w.operators))*tickInterval.Seconds()/readInterval.Seconds() {
		return
	}
	n, acknowledged := w.readTarget(), w.membershipAudit.newestVersion
	incarnation := n.incarnation
	delay := time.Duration(1+w.rng.IntN(5)) * time.Millisecond
	if w.rng.IntN(4) == 0 {
		delay += time.Duration(w.rng.IntN(400)) * time.Millisecond
	}
	w.scheduleAfter(delay, func() { w.readFrom(n, incarnation, acknowledged) })
}

// readTarget returns the controller that an operator reads from: any controller, or one that considers itself the leader.
func (w *cluster) readTarget() *controller {
	if w.rng.IntN(2) == 0 {
		for _, n := range w.activeControllers() {
			if n.downUntil <= w.now && n.replica.Role() == consensus.Leader {
				return n
			}
		}
	}
	return w.controllers[w.anyController()]
}

// resumeFrozen makes resumed processes handle the calls that arrived while they were suspended, before anything else.
func (w *cluster) resumeFrozen() {
	for _, n := range w.controllers {
		if len(n.unreadCalls) > 0 && n.frozenUntil <= w.now {
			unread := n.unreadCalls
			n.unreadCalls = nil
			for _, do := range unread {
				do()
			}
		}
	}
}

func (w *cluster) readFrom(n *controller, incarnation int, acknowledged uint64) {
	switch {
	case n.incarnation != incarnation || n.downUntil > w.now:
		return
	case n.frozenUntil > w.now:
		n.unreadCalls = append(n.unreadCalls, func() { w.readFrom(n, incarnation, acknowledged) })
		return
	case n.replica.Role() != consensus.Leader:
		return
	}
	if w.scenario.PlantedFault == "reads without a round" ||
		w.scenario.PlantedFault == "a frozen leader serves by its old state" && n.leaseUntil > 0 {
		w.auditRead(n, n.state.Version(), acknowledged)
		return
	}
	n.reads = append(n.reads, read{n.replica.ReadIndex(w.now), w.now + callTimeout, acknowledged})
	w.processOutput(n)
}

// completeReads completes the reads whose round is confirmed.
func (w *cluster) completeReads(n *controller) {
	n.reads = slices.DeleteFunc(n.reads, func(r read) bool {
		if n.replica.Role() != consensus.Leader || w.now > r.deadline {
			return true
		}
		if !n.replica.ReadConfirmed(r.round) {
			return false
		}
		n.leaseUntil = plantedReadLease
		w.auditRead(n, n.state.Version(), r.acknowledged)
		return true
	})
	n.leaseUntil -= tickInterval // a clock that stops while its process is suspended
}
