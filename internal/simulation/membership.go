package simulation

import (
	"maps"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
)

const (
	copyInterval   = 200 * time.Millisecond // interval of requests for the claims of other stores
	maxCaughtUpLag = 16                     // log entries by which a caught-up replica may lag behind the commit index
)

// replicaStatus is the status of a replica that a controller announces to its peers.
type replicaStatus struct {
	identity       string
	epoch          uint64
	ready, leaving bool
}

// ensureIdentity assigns an identity to a disk without one, before anything else is written to it.
func (w *cluster) ensureIdentity(n *controller) {
	if n.disk.identity == "" {
		n.disk.identity, n.disk.recovering = membership.Identity(n.name, w.rng.Uint64()|1), true
	}
}

// startReplica starts a controller's consensus replica with the contents of its disk.
func (w *cluster) startReplica(n *controller) {
	d := &n.disk
	started := consensus.Membership{}
	if len(d.bootstrapVoters) > 0 {
		started = consensus.Membership{Epoch: 1, Voters: d.bootstrapVoters}
	}
	n.identity, n.bootstrapVoters = d.identity, d.bootstrapVoters
	n.replica = consensus.New(consensus.Config{ID: n.identity, Timing: timing, Seed: w.rng.Uint64(), Membership: started,
		HardState: d.hardState,
		Snapshot:  d.snapshot, Log: slices.Clone(d.log), Now: w.now})
	if n.membership = d.membership; n.membership.Epoch == 0 {
		n.membership = started
	}
	n.epoch, n.manager = n.membership.Epoch, membership.Manager{}
	n.seenReplicas, n.replicaStatuses = map[string]membership.Controller{}, map[int]replicaStatus{}
	n.copiedFrom, n.nextCopy = map[string]bool{}, 0
}

// applyMembership applies a committed membership. Once it is durable, the claim store rejects requests under an older epoch.
func (w *cluster) applyMembership(n *controller, m consensus.Membership) {
	if m.Epoch <= n.membership.Epoch {
		return // the log is replayed after a restart
	}
	previous := n.membership
	n.membership = m
	newIdentity := "" // new identity of a replica that was voted out; empty: unchanged
	retired := previous.Contains(n.identity) && !m.Contains(n.identity)
	switch {
	case retired && w.scenario.PlantedFault == "a retired identity is kept", retired &&
		w.scenario.PlantedFault == "a removed member grants":
		retired = false
	case retired:
		n.claimStore.BeginRecovery()
		n.retired = true
		newIdentity = membership.Identity(n.name, w.rng.Uint64()|1)
	case m.Contains(n.identity) && n.claimStore.Recovering():
		n.copiedFrom, n.nextCopy = map[string]bool{}, 0
		w.finishRecoveryOfBootstrapVoter(n)
	}
	w.persistRetrying(n, func(d *disk) {
		if d.membership = m; retired {
			d.identity, d.recovering = newIdentity, true
		}
	}, func() {
		n.epoch = max(n.epoch, m.Epoch)
		if newIdentity != "" {
			n.identity = newIdentity
			n.replica.SetID(newIdentity)
		}
		w.announceStatus(n)
	})
	w.setStores(n)
}

// setStores sets the claim stores of the active membership at the coordinator.
func (w *cluster) setStores(n *controller) {
	voters, next := n.membership.Voters, n.membership.Next
	if w.scenario.PlantedFault == "one ledger is enough" && len(voters) > 0 {
		voters, next = []string{n.identity}, nil
	}
	requests, done := n.coordinator.SetStores(n.identity, voters, next)
	w.sendGrantRequests(n, requests)
	for _, o := range done {
		w.finishClaim(n, o)
	}
	requests, done = n.replication.SetStores(n.identity, n.membership.Voters, n.membership.Next)
	w.sendResponseCopies(n, requests)
	w.finishResponses(n, done)
}

func (n *controller) replicaStatus() replicaStatus {
	return replicaStatus{identity: n.identity, epoch: n.epoch, ready: !n.claimStore.Recovering(), leaving: n.shuttingDown}
}

// announceStatus sends this controller's status to all linked controllers.
func (w *cluster) announceStatus(n *controller) {
	for _, k := range w.links {
		if k.up && k.a >= 0 && (k.a == n.number || k.b == n.number) {
			w.sendStatus(n, k)
		}
	}
}

func (w *cluster) sendStatus(n *controller, k *link) {
	s, to := n.replicaStatus(), w.controllers[k.a+k.b-n.number]
	w.sendOnLink(k, n.number, func() { w.handleStatus(to, n, s) })
}

// handleStatus handles a controller's status. A changed identity at its address means that its disk was lost or that it was
// voted out: its grants to pending claims are discarded.
func (w *cluster) handleStatus(n, from *controller, s replicaStatus) {
	if previous, linked := n.replicaStatuses[from.number]; linked && previous.identity != s.identity {
		w.forgetGrants(n, previous.identity)
	}
	n.replicaStatuses[from.number] = s
	for _, id := range slices.Sorted(maps.Keys(n.seenReplicas)) {
		if membership.Address(id) == from.name && id != s.identity {
			w.forgetGrants(n, id)
		}
	}
	n.seenReplicas[s.identity] = membership.Controller{ID: s.identity, Zone: zoneName(from.zone), MayVote: true}
}

func (w *cluster) forgetGrants(n *controller, identity string) {
	for _, o := range n.coordinator.DiscardGrants(identity) {
		w.finishClaim(n, o)
	}
	w.finishResponses(n, n.replication.DiscardGrants(identity))
}

// replicaAt returns the linked controller that runs a replica. It returns nil if another replica, or none, runs at its
// address.
func (w *cluster) replicaAt(n *controller, identity string) *controller {
	at := slices.Index(w.controllerNames, membership.Address(identity))
	if s, linked := n.replicaStatuses[at]; linked && s.identity == identity {
		return w.controllers[at]
	}
	return nil
}

// manageMembership takes the next step of a membership change on a leader.
func (w *cluster) manageMembership(n *controller) {
	var linked []string
	for _, s := range n.replicaStatuses {
		linked = append(linked, s.identity)
	}
	slices.Sort(linked)
	n.replica.SetLearners(linked)
	if n.replica.Role() != consensus.Leader {
		return
	}
	switch decision := n.manager.Decide(w.view(n), w.now); decision.Action {
	case membership.ActionBegin:
		_ = n.replica.BeginChange(decision.Next, w.now) // an error means that the change can't begin yet
	case membership.ActionAdopt:
		_ = n.replica.AdoptChange(w.now) // an error means that the change can't complete yet
	case membership.ActionAbandon:
		_ = n.replica.AbandonChange(w.now) // an error means that the change can't be abandoned yet
	case membership.ActionTransferLeadership:
		n.replica.TransferLeadership(decision.To, w.now)
	}
}

// view returns the input of the membership manager.
func (w *cluster) view(n *controller) membership.View {
	own := n.replicaStatus()
	v := membership.View{Self: n.identity, Term: n.replica.Term(), Membership: n.replica.Membership(),
		Committed: n.replica.MembershipCommitted(), WantedVoters: w.scenario.Members}
	v.Controllers = append(v.Controllers, membership.Controller{ID: n.identity, Zone: zoneName(n.zone), MayVote: true,
		Connected: true, CaughtUp: true,
		ShuttingDown: own.leaving, Epoch: own.epoch, Ready: own.ready})
	for _, id := range slices.Sorted(maps.Keys(n.seenReplicas)) {
		controller := n.seenReplicas[id]
		if p := w.replicaAt(n, id); p != nil {
			s := n.replicaStatuses[p.number]
			controller.Connected, controller.ShuttingDown, controller.Epoch, controller.Ready = true, s.leaving, s.epoch, s.ready
			match, _, known := n.replica.Match(id)
			controller.CaughtUp = known && match+maxCaughtUpLag >= n.replica.CommitIndex()
		} else if !v.Membership.Contains(id) {
			continue
		}
		v.Controllers = append(v.Controllers, controller)
	}
	return v
}

// mustCopy reports whether this replica is being added by the current membership change and its store doesn't hold the
// claims of the previous voters yet.
func (n *controller) mustCopy() bool {
	return n.claimStore.Recovering() && n.membership.Joint() && slices.Contains(n.membership.Next, n.identity) &&
		!slices.Contains(n.membership.Voters, n.identity)
}

// requestCopies requests the claims of the previous voters' stores while this replica is being added.
func (w *cluster) requestCopies(n *controller) {
	if !n.mustCopy() || w.now < n.nextCopy {
		return
	}
	n.nextCopy = w.now + copyInterval
	epoch := n.membership.Epoch
	for _, id := range n.membership.Voters {
		if from := w.replicaAt(n, id); from != nil && !n.copiedFrom[id] {
			w.send(n.number, from.number, func() { w.sendCopy(from, n, epoch) })
		}
	}
}

// sendCopy sends all claims of this store to a replica that is being added, once this store grants nothing under the
// previous membership.
func (w *cluster) sendCopy(n, to *controller, epoch uint64) {
	if (n.membership.Epoch != epoch || n.epoch < epoch) && w.scenario.PlantedFault != "copies are sent early" {
		return // the replica repeats its request
	}
	if n.claimStore.Recovering() || !slices.Contains(n.membership.Voters, n.identity) {
		return
	}
	var all []idempotency.Record
	n.claimStore.EachClaim(func(r idempotency.Record) { all = append(all, r) })
	sortRecords(all)
	from := n.identity
	w.send(n.number, to.number, func() { w.importCopy(to, from, all, epoch) })
}

func sortRecords(all []idempotency.Record) {
	slices.SortFunc(all, func(a, b idempotency.Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
}

// importCopy imports the claims of another store. Once a majority of the previous voters has been imported durably, this
// store starts to grant.
func (w *cluster) importCopy(n *controller, from string, all []idempotency.Record, epoch uint64) {
	if !n.mustCopy() || epoch != n.membership.Epoch {
		return
	}
	records := make([]idempotency.Record, len(all))
	for i, r := range all {
		records[i] = n.claimStore.Import(r, w.now)
	}
	w.persistRetrying(n, func(d *disk) { d.records = append(d.records, records...) }, func() {})
	n.copiedFrom[from] = true
	previous := consensus.Membership{Voters: n.membership.Voters}
	if !previous.HasQuorum(func(id string) bool { return n.copiedFrom[id] }) && w.scenario.PlantedFault != "restored from one" {
		return
	}
	w.persistRetrying(n, func(d *disk) { d.recovering = false }, func() {
		if n.membership.Epoch != epoch || !n.claimStore.Recovering() {
			return // the change has ended, or recovery has already finished
		}
		n.claimStore.FinishRecovery()
		w.announceStatus(n)
		w.startBackfill(n)
	})
}
