package simulation

import (
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
)

// Spans of an end in order, as the programs have them with a grace of 6 s.
const (
	maxShutdown = 5 * time.Second
	minShutdown = 400 * time.Millisecond // for edges to find another controller
	handOverFor = 1500 * time.Millisecond
)

// shutdown is the state of a controller that was told to end.
type shutdown struct {
	since      time.Duration
	handedOver time.Duration // since when answers are on their way to another controller; 0: not yet
	heir       int           // that they were sent to; nowhere: nobody
	synced     bool          // they are durable there
	back       time.Duration // until the process starts again, on the same disk; 0: it doesn't
}

// beginShutdown tells a controller to end.
func (w *cluster) beginShutdown(n *controller, back time.Duration) {
	if n.shuttingDown || !w.running(n.n) {
		return
	}
	n.shuttingDown = true
	n.shutdown = shutdown{since: w.now, heir: nowhere, back: back}
	w.announceStatus(n)
	n.nextSummary = 0
}

// continueShutdown goes on with the end of a controller that was told to end.
func (w *cluster) continueShutdown(n *controller) {
	if !n.shuttingDown {
		return
	}
	n.nextSummary = 0 // edges that are still here look for another controller at each summary
	d := &n.shutdown
	switch {
	case w.now-d.since > maxShutdown:
	case n.replica.Role() == consensus.Leader && w.otherVoterLinked(n):
		return
	case n.replica.IsVoter() && w.standbyLinked(n):
		return
	case n.retired && !w.handedOver(n):
		return
	case w.now-d.since < minShutdown, len(n.proposals) > 0:
		return
	default:
		w.auditHandOver(n)
	}
	if d.back > 0 {
		w.stopController(n, d.back)
		return
	}
	w.removeController(n)
}

// otherVoterLinked tells whether leadership can be passed to a linked voter.
func (w *cluster) otherVoterLinked(n *controller) bool {
	for _, id := range n.replica.Membership().All() {
		if p := w.replicaAt(n, id); p != nil && !n.replicaStatuses[p.n].leaving {
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
	d := &n.shutdown
	if w.scenario.PlantedFault == "a leaving controller keeps its answers" {
		return true
	}
	if d.handedOver == 0 {
		d.handedOver = w.now
		if d.heir = w.handOverTarget(n); d.heir == nowhere {
			d.synced = true
		} else {
			w.handOverResponses(n, w.controllers[d.heir])
		}
	}
	return d.synced || w.now-d.handedOver > handOverFor
}

// handOverTarget is who takes the kept answers over: a controller of the own zone, else any.
func (w *cluster) handOverTarget(n *controller) int {
	heir := nowhere
	for i, o := range w.controllers {
		if s, linked := n.replicaStatuses[i]; !linked || s.leaving {
			continue
		}
		if o.zone == n.zone {
			return i
		}
		if heir == nowhere {
			heir = i
		}
	}
	return heir
}

func (w *cluster) handOverResponses(n, to *controller) {
	k := w.linkBetween(n.n, to.n)
	if k == nil {
		return
	}
	responses := n.keptResponses()
	w.sendOnLink(k, n.n, func() {
		for _, r := range responses {
			to.claimStore.Complete(r, w.now)
		}
		w.persistSurely(to, func(d *disk) { d.records = append(d.records, responses...) }, func() {
			if k.up {
				w.sendOnLink(k, to.n, func() { n.shutdown.synced = true })
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
	if k := w.linkBetween(e.controller, -1-e.n); k != nil {
		n := w.controllers[e.controller]
		r.ResponseHolder, r.Response = n.name, &idempotency.Response{Status: 200}
		w.sendOnLink(k, -1-e.n, func() {
			n.claimStore.Complete(r, w.now)
			w.persist(n, func(d *disk) { d.records = append(d.records, r) }, func(bool) {})
		})
	}
}
