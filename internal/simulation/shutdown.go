package simulation

import (
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
)

// Spans of an end in order, as the programs have them with a grace of 6 s.
const (
	maxShutdown     = 5 * time.Second
	minShutdown     = 400 * time.Millisecond // for edges to find another controller
	handOverTimeout = 1500 * time.Millisecond
)

// shutdown is the state of a controller that was told to end.
type shutdown struct {
	startedAt         time.Duration
	handOverStartedAt time.Duration // since when answers are on their way to another controller; 0: not yet
	target            int           // that they were sent to; nowhere: nobody
	synced            bool          // they are durable there
	restartDelay      time.Duration // until the process starts again, on the same disk; 0: it doesn't
}

// beginShutdown tells a controller to end.
func (w *cluster) beginShutdown(n *controller, restartDelay time.Duration) {
	if n.shuttingDown || !w.isRunning(n.number) {
		return
	}
	n.shuttingDown = true
	n.shutdown = shutdown{startedAt: w.now, target: nowhere, restartDelay: restartDelay}
	w.announceStatus(n)
	n.nextSummary = 0
}

// continueShutdown goes on with the end of a controller that was told to end.
func (w *cluster) continueShutdown(n *controller) {
	if !n.shuttingDown {
		return
	}
	n.nextSummary = 0 // edges that are still here look for another controller at each summary
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

// otherVoterLinked tells whether leadership can be passed to a linked voter.
func (w *cluster) otherVoterLinked(n *controller) bool {
	for _, id := range n.replica.Membership().All() {
		if p := w.replicaAt(n, id); p != nil && !n.replicaStatuses[p.number].leaving {
			return true
		}
	}
	return false
}

// standbyLinked tells whether a linked controller could take this one's vote.
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

// handedOver sends the answers that are kept here to another controller, and tells whether they are durable there.
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

// handOverTarget is who takes the kept answers over: a controller of the own zone, else any.
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

// keptResponses are those that a controller keeps, with their claims.
func (n *controller) keptResponses() (all []idempotency.Record) {
	n.claimStore.EachResponse(func(r idempotency.Record) { all = append(all, r) })
	sortRecords(all)
	return all
}

// keepResponse has an edge tell its controller what a key's run answered.
func (w *cluster) keepResponse(e *edge, r idempotency.Record) {
	if e.controller == nowhere {
		return
	}
	if k := w.linkBetween(e.controller, -1-e.number); k != nil {
		n := w.controllers[e.controller]
		r.ResponseHolder, r.Response = n.name, &idempotency.Response{Status: 200}
		w.sendOnLink(k, -1-e.number, func() {
			n.claimStore.Complete(r, w.now)
			w.persist(n, func(d *disk) { d.records = append(d.records, r) }, func(bool) {})
		})
	}
}
