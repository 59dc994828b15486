package simulation

import (
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
)

// Spans of an end in order, as the programs have them with a grace of 6 s.
const (
	leaveMost    = 5 * time.Second
	leaveAtLeast = 400 * time.Millisecond // for edges to find another controller
	handOverFor  = 1500 * time.Millisecond
)

// departure is the state of a controller that was told to end.
type departure struct {
	since      time.Duration
	handedOver time.Duration // since when answers are on their way to another controller; 0: not yet
	heir       int           // that they were sent to; nowhere: nobody
	synced     bool          // they are durable there
	back       time.Duration // until the process starts again, on the same disk; 0: it doesn't
}

// beginLeaving tells a controller to end.
func (w *world) beginLeaving(n *node, back time.Duration) {
	if n.leaving || !w.running(n.n) {
		return
	}
	n.leaving = true
	n.departure = departure{since: w.now, heir: nowhere, back: back}
	w.tellStanding(n)
	n.summarized = 0
}

// depart goes on with the end of a controller that was told to end.
func (w *world) depart(n *node) {
	if !n.leaving {
		return
	}
	n.summarized = 0 // edges that are still here look for another controller at each summary
	d := &n.departure
	switch {
	case w.now-d.since > leaveMost:
	case n.member.Role() == consensus.Leader && w.othersStay(n):
		return
	case n.member.Votes() && w.successorStandsBy(n):
		return
	case n.retired && !w.handedOver(n):
		return
	case w.now-d.since < leaveAtLeast, len(n.waiting) > 0:
		return
	default:
		w.auditHandOver(n)
	}
	if d.back > 0 {
		w.fail(n, d.back, false)
		return
	}
	w.remove(n)
}

// othersStay tells whether leadership can be passed to a linked voter.
func (w *world) othersStay(n *node) bool {
	for _, id := range n.member.Membership().All() {
		if p := w.replicaAt(n, id); p != nil && !n.standings[p.n].leaving {
			return true
		}
	}
	return false
}

// successorStandsBy tells whether a linked controller could take this one's vote.
func (w *world) successorStandsBy(n *node) bool {
	if n.member.Membership().Joint() {
		return true
	}
	for _, s := range n.standings {
		if !s.leaving && !n.member.Membership().Contains(s.identity) {
			return true
		}
	}
	return false
}

// handedOver sends the answers that are kept here to another controller, and tells whether they are durable there.
func (w *world) handedOver(n *node) bool {
	d := &n.departure
	if w.day.Fault == "a leaving controller keeps its answers" {
		return true
	}
	if d.handedOver == 0 {
		d.handedOver = w.now
		if d.heir = w.heir(n); d.heir == nowhere {
			d.synced = true
		} else {
			w.sendAnswers(n, w.nodes[d.heir])
		}
	}
	return d.synced || w.now-d.handedOver > handOverFor
}

// heir is who takes the kept answers over: a controller of the own zone, else any.
func (w *world) heir(n *node) int {
	heir := nowhere
	for i, o := range w.nodes {
		if s, linked := n.standings[i]; !linked || s.leaving {
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

func (w *world) sendAnswers(n, to *node) {
	k := w.between(n.n, to.n)
	if k == nil {
		return
	}
	answers := n.answers()
	w.wired(k, n.n, func() {
		for _, r := range answers {
			to.claimStore.Complete(r, w.now)
		}
		w.persistSurely(to, func(d *disk) { d.records = append(d.records, answers...) }, func() {
			if k.up {
				w.wired(k, to.n, func() { n.departure.synced = true })
			}
		})
	})
}

// answers are those that a controller keeps, with their claims.
func (n *node) answers() (all []idempotency.Record) {
	n.claimStore.EachResponse(func(r idempotency.Record) { all = append(all, r) })
	sortRecords(all)
	return all
}

// keepAnswer has an edge tell its controller what a key's run answered.
func (w *world) keepAnswer(e *edge, r idempotency.Record) {
	if e.controller == nowhere {
		return
	}
	if k := w.between(e.controller, -1-e.n); k != nil {
		n := w.nodes[e.controller]
		r.ResponseHolder, r.Response = n.name, &idempotency.Response{Status: 200}
		w.wired(k, -1-e.n, func() {
			n.claimStore.Complete(r, w.now)
			w.persist(n, func(d *disk) { d.records = append(d.records, r) }, func(bool) {})
		})
	}
}
