package simulation

import (
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
)

const (
	readLease = 150 * time.Millisecond // of a planted fault
	readEvery = 300 * time.Millisecond // in the mean, by each operator
)

// read is an operator's call that reads the configuration in force, at a controller that waits for the proof that it leads.
type read struct {
	round        uint64
	until        time.Duration
	acknowledged uint64 // the newest version that was acknowledged when the call began
}

// reads lets operators read, each at any controller.
func (w *world) reads() {
	if w.rng.Float64() >= float64(len(w.writers))*step.Seconds()/readEvery.Seconds() {
		return
	}
	n, acknowledged := w.readsFrom(), w.books.newest
	life := n.life
	way := time.Duration(1+w.rng.IntN(5)) * time.Millisecond
	if w.rng.IntN(4) == 0 {
		way += time.Duration(w.rng.IntN(400)) * time.Millisecond
	}
	w.later(way, func() { w.readAt(n, life, acknowledged) })
}

// readsFrom is whom an operator asks: any controller, or one that holds itself for the leader.
func (w *world) readsFrom() *node {
	if w.rng.IntN(2) == 0 {
		for _, n := range w.present() {
			if n.up <= w.now && n.member.Role() == consensus.Leader {
				return n
			}
		}
	}
	return w.nodes[w.some()]
}

// wake has processes that stood still read the calls that came meanwhile, before anything else.
func (w *world) wake() {
	for _, n := range w.nodes {
		if len(n.unread) > 0 && n.frozen <= w.now {
			unread := n.unread
			n.unread = nil
			for _, do := range unread {
				do()
			}
		}
	}
}

func (w *world) readAt(n *node, life int, acknowledged uint64) {
	switch {
	case n.life != life || n.up > w.now:
		return
	case n.frozen > w.now:
		n.unread = append(n.unread, func() { w.readAt(n, life, acknowledged) })
		return
	case n.member.Role() != consensus.Leader:
		return
	}
	if w.day.Fault == "reads without a round" || w.day.Fault == "a frozen leader serves by its old state" && n.leased > 0 {
		w.auditRead(n, n.state.Version(), acknowledged)
		return
	}
	n.reading = append(n.reading, read{n.member.ReadIndex(w.now), w.now + callOver, acknowledged})
	w.settle(n)
}

// answerReads answers the reads whose round is confirmed.
func (w *world) answerReads(n *node) {
	n.reading = slices.DeleteFunc(n.reading, func(r read) bool {
		if n.member.Role() != consensus.Leader || w.now > r.until {
			return true
		}
		if !n.member.ReadConfirmed(r.round) {
			return false
		}
		n.leased = readLease
		w.auditRead(n, n.state.Version(), r.acknowledged)
		return true
	})
	n.leased -= step // a clock that stands still with its process
}
