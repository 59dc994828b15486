package simulation

import (
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
)

// Time limits of a graceful shutdown, as in the programs with a grace period of 6 s.
const (
	maxShutdown     = 5 * time.Second
	minShutdown     = 400 * time.Millisecond // time for edges to attach to another controller
	handOverTimeout = 1500 * time.Millisecond
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	startedAt         time.Duration
	handOverStartedAt time.Duration // when the hand-over of stored responses began; 0: not yet
	target            int           // controller that receives them; nowhere: none
	synced            bool          // the target has stored them durably
	restartDelay      time.Duration // delay until the process restarts on the same disk; 0: it doesn't restart
}

// beginShutdown starts the graceful shutdown of a controller.
func (w *cluster) beginShutdown(n *controller, restartDelay time.Duration) {
	if n.shuttingDown || !w.isRunning(n.number) {
		return
	}
	n.shuttingDown = true
	n.shutdown = shutdown{startedAt: w.now, target: nowhere, restartDelay: restartDelay}
	w.announceStatus(n)
	n.nextSummary = 0
}

// continueShutdown ends a controller that is shutting down once leadership, vote and stored responses are handed over, or
// after maxShutdown.
func (w *cluster) continueShutdown(n *controller) {
	if !n.shuttingDown {
		return
	}
	n.nextSummary = 0 // attached edges look for another controller at each summary
	shutdown := &n.shutdown
	switch {
	case w.now-shutdown.startedAt > maxShutdown:
	case n.replica.Role() == consensus.Leader && w.otherVoterLinked(n):
		return
	case n.replica.IsVoter() && w.standbyLinked(n):
		return
	case n.retired && !w.handedOver(n):
		return
	case w.now-shutdown.startedAt < minShutdown, len(n.proposals) > 0:
		return
	default:
		w.auditHandOver(n)
	}
	if shutdown.restartDelay > 0 {
		w.stopController(n, shutdown.restartDelay)
		return
	}
	w.removeController(n)
}

// otherVoterLinked reports whether leadership can be transferred to a linked voter.
func (w *cluster) otherVoterLinked(n *controller) bool {
	for _, id := range n.replica.Membership().All() {
		if p := w.replicaAt(n, id); p != nil && !n.replicaStatuses[p.number].leaving {
			return true
		}
	}
	return false
}

// standbyLinked reports whether a linked controller could take over this one's vote.
func (w *cluster) standbyLinked(n *controller) bool {
	if n.replica.Membership().Joint() {
		return true
	}
	for _, s := range n.replicaStatuses {
		if !s.leaving && !n.replica.Membership().Contains(s.identity) {
			return true
		}
	}
	return false
}

// handedOver sends the stored responses to another controller and reports whether they are durable there. It gives up after
// handOverTimeout.
func (w *cluster) handedOver(n *controller) bool {
	shutdown := &n.shutdown
	if w.scenario.PlantedFault == "a leaving controller keeps its answers" {
		return true
	}
	if shutdown.handOverStartedAt == 0 {
		shutdown.handOverStartedAt = w.now
		if shutdown.target = w.handOverTarget(n); shutdown.target == nowhere {
			shutdown.synced = true
		} else {
			w.handOverResponses(n, w.controllers[shutdown.target])
		}
	}
	return shutdown.synced || w.now-shutdown.handOverStartedAt > handOverTimeout
}

// handOverTarget returns the controller that receives the stored responses, preferably one in the same zone, or nowhere.
func (w *cluster) handOverTarget(n *controller) int {
	target := nowhere
	for i, o := range w.controllers {
		if s, linked := n.replicaStatuses[i]; !linked || s.leaving {
			continue
		}
		if o.zone == n.zone {
			return i
		}
		if target == nowhere {
			target = i
		}
	}
	return target
}

func (w *cluster) handOverResponses(n, to *controller) {
	k := w.linkBetween(n.number, to.number)
	if k == nil {
		return
	}
	responses := n.keptResponses()
	w.sendOnLink(k, n.number, func() {
		for _, r := range responses {
			to.claimStore.Complete(r, w.now)
		}
		w.persistRetrying(to, func(d *disk) { d.records = append(d.records, responses...) }, func() {
			if k.up {
				w.sendOnLink(k, to.number, func() { n.shutdown.synced = true })
			}
		})
	})
}

// keptResponses returns the stored responses of a controller with their claims, ordered by key.
func (n *controller) keptResponses() (all []idempotency.Record) {
	n.claimStore.EachResponse(func(r idempotency.Record) { all = append(all, r) })
	sortRecords(all)
	return all
}
