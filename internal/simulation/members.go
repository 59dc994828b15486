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
	copyEvery   = 200 * time.Millisecond // between two requests for the claims of other stores
	caughtUpLag = 16                     // entries by which a controller may lag and still count as level with the log
)

// standing is what a controller says of its part in the consensus.
type standing struct {
	identity       string
	epoch          uint64
	ready, leaving bool
}

// identify gives a disk that has no identity yet its own, before anything else is written to it.
func (w *world) identify(n *node) {
	if n.disk.identity == "" {
		n.disk.identity, n.disk.blank = membership.Identity(n.name, w.rng.Uint64()|1), true
	}
}

// join starts a controller's part in the consensus, with what its disk held.
func (w *world) join(n *node) {
	d := &n.disk
	started := consensus.Membership{}
	if len(d.founders) > 0 {
		started = consensus.Membership{Epoch: 1, Voters: d.founders}
	}
	n.identity, n.founders = d.identity, d.founders
	n.member = consensus.New(consensus.Config{ID: n.identity, Timing: timing, Seed: w.rng.Uint64(), Membership: started, Hard: d.hard,
		Snapshot: d.snap, Log: slices.Clone(d.log), Now: w.now})
	if n.membership = d.membership; n.membership.Epoch == 0 {
		n.membership = started
	}
	n.epoch, n.manager = n.membership.Epoch, membership.Manager{}
	n.met, n.standings = map[string]membership.Controller{}, map[int]standing{}
	n.copied, n.nextCopy = map[string]bool{}, 0
}

// applyMembership takes over a membership that is committed. From when it is durable, this store of claims grants nothing
// that is asked under an older one.
func (w *world) applyMembership(n *node, m consensus.Membership) {
	if m.Epoch <= n.membership.Epoch {
		return // the log is applied again after a start
	}
	former := n.membership
	n.membership = m
	drawn := "" // the next identity of a replica that is voted out
	retired := former.Contains(n.identity) && !m.Contains(n.identity)
	switch {
	case retired && w.day.Fault == "a retired identity is kept", retired && w.day.Fault == "a removed member grants":
		retired = false
	case retired:
		n.claimStore.BeginRecovery()
		n.retired = true
		drawn = membership.Identity(n.name, w.rng.Uint64()|1)
	case m.Contains(n.identity) && n.claimStore.Recovering():
		n.copied, n.nextCopy = map[string]bool{}, 0
		w.foundStore(n)
	}
	w.persistSurely(n, func(d *disk) {
		if d.membership = m; retired {
			d.identity, d.blank = drawn, true
		}
	}, func() {
		n.epoch = max(n.epoch, m.Epoch)
		if drawn != "" {
			n.identity = drawn
			n.member.SetID(drawn)
		}
		w.tellStanding(n)
	})
	w.setStores(n)
}

// setStores lets the coordinator ask the stores of the membership in force.
func (w *world) setStores(n *node) {
	voters, next := n.membership.Voters, n.membership.Next
	if w.day.Fault == "one ledger is enough" && len(voters) > 0 {
		voters, next = []string{n.identity}, nil
	}
	asks, done := n.coordinator.SetStores(n.identity, voters, next)
	w.ask(n, asks)
	for _, o := range done {
		w.ruled(n, o)
	}
}

func (n *node) standing() standing {
	return standing{identity: n.identity, epoch: n.epoch, ready: !n.claimStore.Recovering(), leaving: n.leaving}
}

// tellStanding tells all linked controllers of this one's part.
func (w *world) tellStanding(n *node) {
	for _, k := range w.wires {
		if k.up && k.a >= 0 && (k.a == n.n || k.b == n.n) {
			w.sayStanding(n, k)
		}
	}
}

func (w *world) sayStanding(n *node, k *wire) {
	s, to := n.standing(), w.nodes[k.a+k.b-n.n]
	w.wired(k, n.n, func() { w.heardStanding(to, n, s) })
}

// heardStanding takes a controller's word. Another identity at its address means that its disk was lost, or that it was
// voted out: what it granted to claims that are still open is not relied on.
func (w *world) heardStanding(n, from *node, s standing) {
	if former, linked := n.standings[from.n]; linked && former.identity != s.identity {
		w.forgetGrants(n, former.identity)
	}
	n.standings[from.n] = s
	for _, id := range slices.Sorted(maps.Keys(n.met)) {
		if membership.Address(id) == from.name && id != s.identity {
			w.forgetGrants(n, id)
		}
	}
	n.met[s.identity] = membership.Controller{ID: s.identity, Zone: zoneName(from.zone), Counted: true}
}

func (w *world) forgetGrants(n *node, identity string) {
	for _, o := range n.coordinator.ForgetGrants(identity) {
		w.ruled(n, o)
	}
}

// replicaAt finds the linked controller that runs a replica; nil while another one, or none, runs at its address.
func (w *world) replicaAt(n *node, identity string) *node {
	at := slices.Index(w.names, membership.Address(identity))
	if s, linked := n.standings[at]; linked && s.identity == identity {
		return w.nodes[at]
	}
	return nil
}

// manage lets a leader change the membership.
func (w *world) manage(n *node) {
	var linked []string
	for _, s := range n.standings {
		linked = append(linked, s.identity)
	}
	slices.Sort(linked)
	n.member.SetLearners(linked)
	if n.member.Role() != consensus.Leader {
		return
	}
	switch d := n.manager.Decide(w.view(n), w.now); d.Action {
	case membership.ActionBegin:
		_ = n.member.BeginChange(d.Next, w.now) // an error: it may not begin yet
	case membership.ActionAdopt:
		_ = n.member.AdoptChange(w.now) // an error: it may not end yet
	case membership.ActionAbandon:
		_ = n.member.AbandonChange(w.now) // an error: it may not end yet
	case membership.TransferLeadership:
		n.member.TransferLeadership(d.To, w.now)
	}
}

// view is what the membership manager decides by.
func (w *world) view(n *node) membership.View {
	own := n.standing()
	v := membership.View{Self: n.identity, Term: n.member.Term(), Membership: n.member.Membership(), Committed: n.member.MembershipCommitted(), WantedVoters: w.day.Members}
	v.Controllers = append(v.Controllers, membership.Controller{ID: n.identity, Zone: zoneName(n.zone), Counted: true, Connected: true, CaughtUp: true,
		ShuttingDown: own.leaving, Epoch: own.epoch, Ready: own.ready})
	for _, id := range slices.Sorted(maps.Keys(n.met)) {
		met := n.met[id]
		if p := w.replicaAt(n, id); p != nil {
			s := n.standings[p.n]
			met.Connected, met.ShuttingDown, met.Epoch, met.Ready = true, s.leaving, s.epoch, s.ready
			match, _, known := n.member.Match(id)
			met.CaughtUp = known && match+caughtUpLag >= n.member.Commit()
		} else if !v.Membership.Contains(id) {
			continue
		}
		v.Controllers = append(v.Controllers, met)
	}
	return v
}

// entering tells that this replica is an entrant of the change under way whose store doesn't hold the others' claims yet.
func (n *node) entering() bool {
	return n.claimStore.Recovering() && n.membership.Joint() && slices.Contains(n.membership.Next, n.identity) && !slices.Contains(n.membership.Voters, n.identity)
}

// askCopies asks the former voters' stores for what they hold, while this replica enters.
func (w *world) askCopies(n *node) {
	if !n.entering() || w.now < n.nextCopy {
		return
	}
	n.nextCopy = w.now + copyEvery
	epoch := n.membership.Epoch
	for _, id := range n.membership.Voters {
		if from := w.replicaAt(n, id); from != nil && !n.copied[id] {
			w.send(n.n, from.n, func() { w.sendCopy(from, n, epoch) })
		}
	}
}

// sendCopy hands an entrant all claims that this store holds, once it grants nothing under the former membership.
func (w *world) sendCopy(n, to *node, epoch uint64) {
	if (n.membership.Epoch != epoch || n.epoch < epoch) && w.day.Fault != "copies are sent early" {
		return // it asks again
	}
	if n.claimStore.Recovering() || !slices.Contains(n.membership.Voters, n.identity) {
		return
	}
	var all []idempotency.Record
	n.claimStore.EachClaim(func(r idempotency.Record) { all = append(all, r) })
	sortRecords(all)
	from := n.identity
	w.send(n.n, to.n, func() { w.takeCopy(to, from, all, epoch) })
}

func sortRecords(all []idempotency.Record) {
	slices.SortFunc(all, func(a, b idempotency.Record) int { return slices.Compare(a.Key[:], b.Key[:]) })
}

// takeCopy takes over what another store holds. Once a majority of the former voters is here and durable, this one grants.
func (w *world) takeCopy(n *node, from string, all []idempotency.Record, epoch uint64) {
	if !n.entering() || epoch != n.membership.Epoch {
		return
	}
	records := make([]idempotency.Record, len(all))
	for i, r := range all {
		records[i] = n.claimStore.Import(r, w.now)
	}
	w.persistSurely(n, func(d *disk) { d.records = append(d.records, records...) }, func() {})
	n.copied[from] = true
	former := consensus.Membership{Voters: n.membership.Voters}
	if !former.Quorum(func(id string) bool { return n.copied[id] }) && w.day.Fault != "restored from one" {
		return
	}
	w.persistSurely(n, func(d *disk) { d.blank = false }, func() {
		if n.membership.Epoch != epoch || !n.claimStore.Recovering() {
			return // the change is over meanwhile, or this was said before
		}
		n.claimStore.FinishRecovery()
		w.tellStanding(n)
	})
}
