package simulation

import (
	"mulleinwood/internal/control/consensus"
)

const snapAfter = 30 // entries

// settle does what the consensus wants done.
func (w *world) settle(n *node) {
	out := n.member.DrainOutput()
	w.post(n, out.Immediate)
	if w.day.Fault == "tells before storing" {
		w.post(n, out.AfterSync)
	}
	if !out.Empty() || len(out.AfterSync) > 0 {
		w.persistOutput(n, out)
	}
	w.commit(n, out)
	if n.state.EntriesSinceSnapshot > snapAfter {
		w.compact(n)
	}
}

// compact replaces the log by a snapshot of the state.
func (w *world) compact(n *node) {
	data, err := n.state.Save()
	if err != nil {
		return
	}
	if w.day.Fault == "a snapshot is older than its log" && n.saved != nil {
		data, n.saved = n.saved, data
	} else {
		n.saved = data
	}
	n.member.Compact(n.state.Index, data)
	n.state.EntriesSinceSnapshot = 0
}

// post sends messages of the consensus to those who are linked under the identity that is meant.
func (w *world) post(n *node, ms []consensus.Message) {
	for _, m := range ms {
		to := w.replicaAt(n, m.To)
		if to == nil {
			continue
		}
		w.send(n.n, to.n, func() {
			to.member.Step(m, w.now)
			w.settle(to)
		})
	}
}

// persistOutput makes an output durable; what has to wait for that is told then.
func (w *world) persistOutput(n *node, out consensus.Output) {
	index, term := out.Last()
	w.persistSurely(n, func(d *disk) { d.storeOutput(out, w.day.Fault) }, func() {
		if w.day.Fault != "tells before storing" {
			w.post(n, out.AfterSync)
		}
		if index > 0 {
			n.member.MarkDurable(index, term, w.now)
		}
	})
}

// commit takes what is committed: into the auditor's history, the state machine and the membership.
func (w *world) commit(n *node, out consensus.Output) {
	before := n.state.Version()
	if out.Install != nil {
		w.restores(n, *out.Install)
		w.applyMembership(n, out.Install.Membership)
	}
	for _, e := range out.Committed {
		w.auditEntry(n, e)
		if e.Membership != nil {
			w.applyMembership(n, *e.Membership)
		}
		w.applies(n, e)
	}
	if version := n.state.Version(); version != before || out.Install != nil {
		for _, k := range w.wires {
			if k.up && k.a < 0 && k.b == n.n {
				w.wired(k, n.n, func() { w.edgeTakes(w.edges[-1-k.a], version) })
			}
		}
	}
}

// restores gives a node what a snapshot holds.
func (w *world) restores(n *node, s consensus.Snapshot) {
	if err := n.state.Restore(s); err != nil {
		w.broken("FAULT: %s can't read a snapshot: %v", n.name, err)
	} else if want := w.forceAt[s.Index-1]; n.state.Version() != want {
		w.broken("LOST: a snapshot of entry %d holds r%d, not r%d", s.Index, n.state.Version(), want)
	}
	if w.day.Fault == "digests are lost with the snapshot" {
		n.state.Accepted = nil
	}
}
