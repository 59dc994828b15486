package simulation

import (
	"mulleinwood/internal/control/consensus"
)

const snapshotThreshold = 30 // log entries after a snapshot

// processOutput carries out the output of the consensus replica.
func (w *cluster) processOutput(n *controller) {
	out := n.replica.DrainOutput()
	w.sendAll(n, out.Immediate)
	if w.scenario.PlantedFault == "tells before storing" {
		w.sendAll(n, out.AfterSync)
	}
	if !out.Empty() || len(out.AfterSync) > 0 {
		w.persistOutput(n, out)
	}
	w.commit(n, out)
	if n.state.EntriesSinceSnapshot > snapshotThreshold {
		w.compact(n)
	}
}

// compact replaces the log by a snapshot of the state machine.
func (w *cluster) compact(n *controller) {
	data, err := n.state.Save()
	if err != nil {
		return
	}
	if w.scenario.PlantedFault == "a snapshot is older than its log" && n.previousSnapshot != nil {
		data, n.previousSnapshot = n.previousSnapshot, data
	} else {
		n.previousSnapshot = data
	}
	n.replica.Compact(n.state.Index, data)
	n.state.EntriesSinceSnapshot = 0
}

// sendAll sends consensus messages to the linked replicas with the identities that they name.
func (w *cluster) sendAll(n *controller, ms []consensus.Message) {
	for _, m := range ms {
		to := w.replicaAt(n, m.To)
		if to == nil {
			continue
		}
		w.send(n.number, to.number, func() {
			to.replica.Step(m, w.now)
			w.processOutput(to)
		})
	}
}

// persistOutput makes an output durable, then sends the messages that have to wait for it.
func (w *cluster) persistOutput(n *controller, out consensus.Output) {
	index, term := out.LastEntry()
	w.persistRetrying(n, func(d *disk) { d.storeOutput(out, w.scenario.PlantedFault) }, func() {
		if w.scenario.PlantedFault != "tells before storing" {
			w.sendAll(n, out.AfterSync)
		}
		if index > 0 {
			n.replica.MarkDurable(index, term, w.now)
		}
	})
}

// commit passes committed entries to the auditor's history, the state machine and the membership.
func (w *cluster) commit(n *controller, out consensus.Output) {
	before := n.state.Version()
	if out.Install != nil {
		w.restoreSnapshot(n, *out.Install)
		w.applyMembership(n, out.Install.Membership)
	}
	for _, e := range out.Committed {
		w.auditEntry(n, e)
		if e.Membership != nil {
			w.applyMembership(n, *e.Membership)
		}
		w.auditApplied(n, e)
	}
	if version := n.state.Version(); version != before || out.Install != nil {
		for _, k := range w.links {
			if k.up && k.a < 0 && k.b == n.number {
				w.sendOnLink(k, n.number, func() { w.applyEdgeConfig(w.edges[-1-k.a], version) })
			}
		}
	}
}

// restoreSnapshot restores a controller's state machine from a snapshot and checks its version.
func (w *cluster) restoreSnapshot(n *controller, s consensus.Snapshot) {
	if err := n.state.Restore(s); err != nil {
		w.fail("FAULT: %s can't read a snapshot: %v", n.name, err)
	} else if want := w.versionAt[s.Index-1]; n.state.Version() != want {
		w.fail("LOST: a snapshot of entry %d contains r%d instead of r%d", s.Index, n.state.Version(), want)
	}
	if w.scenario.PlantedFault == "digests are lost with the snapshot" {
		n.state.AcceptedChanges = nil
	}
}
