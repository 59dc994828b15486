package controller

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/peer"
)

const (
	copyEvery   = 200 * time.Millisecond // between two requests for the claims of other stores
	caughtUpLag = 16                     // entries by which a controller may lag and still count as level with the log
	copyChunk   = 2000                   // claims in one frame
)

// drawIdentity gives a disk that has no identity yet its own, before anything else is written to it.
func (c *Controller) drawIdentity(state *storage.State) error {
	first := c.set.FirstStart && state.Corrupt == nil
	blank := true
	switch {
	case state.Identity != "":
		c.identity = state.Identity
		return nil
	case len(state.BootstrapVoters) > 0 && !state.Hard.DiskLost && !state.Recovering: // a file of an earlier version, whole
		c.identity, blank = membership.Identity(c.set.IP, 0), false
		if s := &state.Snapshot; s.Index > 0 && s.Membership.Epoch == 0 {
			s.Membership = consensus.Membership{Epoch: 1, Voters: state.BootstrapVoters}
		}
	case first:
		c.identity = membership.Identity(c.set.IP, 0)
	default: // the disk was lost: what it voted and granted is not known
		c.identity, state.BootstrapVoters = newIdentity(c.set.IP), nil
	}
	state.Recovering = blank
	batch := &storage.Batch{Identity: c.identity, Recovering: &blank}
	if seeds := c.founders(); first && len(state.BootstrapVoters) == 0 && slices.Contains(seeds, c.set.IP) && len(seeds) >= c.wanted() {
		blank = false // it never granted anything
		state.BootstrapVoters, state.Recovering = seeds, false
		batch.BootstrapVoters, batch.Hard = seeds, &state.Hard
	}
	return c.storage.Commit([]*storage.Batch{batch})
}

func newIdentity(ip string) string { return membership.Identity(ip, rand.Uint64()|1) }

// founders are the voters of a first start whose seeds are enough of them.
func (c *Controller) founders() []string {
	seeds := c.set.SeedIPs()
	slices.Sort(seeds)
	return seeds
}

// wanted is how many voters the consensus needs, so that a majority remains when as many as are tolerated are lost.
func (c *Controller) wanted() int {
	return 2*max(c.set.Tolerance.Machines, min(1, c.set.Tolerance.Zones+c.set.Tolerance.Regions)) + 1
}

// found names the voters of a system that starts for the first time, where the seeds are too few to be all of them. One
// alone decides, the first of the seeds; the others learn it from each other.
func (c *Controller) found() {
	seeds := c.founders()
	if !c.first || len(c.members) > 0 || !c.set.Counted || len(seeds) == 0 || seeds[0] != c.set.IP {
		return
	}
	voters := []string{c.set.IP}
	for ip, p := range c.peers {
		if p.counted {
			voters = append(voters, ip)
		}
	}
	slices.Sort(voters)
	slices.SortStableFunc(voters, func(a, b string) int { // the seeds are surely meant
		return cmp.Compare(btoi(!slices.Contains(seeds, a)), btoi(!slices.Contains(seeds, b)))
	})
	if len(voters) < c.wanted() {
		return
	}
	c.bootstrap(voters[:c.wanted()])
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// bootstrap takes the voters of a first start over, and tells all peers once that is durable.
func (c *Controller) bootstrap(voters []string) {
	if !c.first || len(c.members) > 0 || !c.replica.Bootstrap(voters) {
		return
	}
	c.members = slices.Sorted(slices.Values(voters))
	hard := c.replica.HardState() // a vote that was given before the voters were known stays
	c.put(&storage.Batch{BootstrapVoters: c.members, Hard: &hard}, func(bool) {
		for _, p := range c.peers {
			hello := c.hello()
			hello.BootstrapVoters = c.members
			p.link.Send(&peer.Frame{Handshake: hello})
		}
	})
	c.applyMembership(c.replica.Membership())
}

// applyMembership takes over a membership that is committed. From when it is durable, this store of claims grants nothing
// that is asked under an older one.
func (c *Controller) applyMembership(m consensus.Membership) {
	if m.Epoch <= c.membership.Epoch {
		return // the log is applied again after a start
	}
	former := c.membership
	c.membership = m
	c.cluster.Store(m.Cluster)
	batch := &storage.Batch{Membership: &m}
	drawn := "" // the next identity of a replica that is voted out
	switch {
	case former.Contains(c.identity) && !m.Contains(c.identity):
		drawn = c.retire(batch)
	case m.Contains(c.identity) && c.claimStore.Recovering():
		c.copied, c.nextCopy = map[string]bool{}, 0
		c.foundStore()
	}
	c.put(batch, func(bool) {
		c.epoch = max(c.epoch, m.Epoch)
		if drawn != "" {
			c.identity = drawn
			c.replica.SetID(drawn)
		}
		c.tellStanding()
	})
	for _, ip := range membership.Addresses(m.All()) {
		c.meet(ip)
	}
	c.setStores()
	_ = c.logger.Log("event", "membership", "epoch", m.Epoch, "cluster", m.Cluster, "voters", strings.Join(m.Voters, " "),
		"next", strings.Join(m.Next, " "), "votes", m.Contains(c.identity))
}

// setStores lets the coordinator ask the stores of the membership in force.
func (c *Controller) setStores() {
	asks, done := c.coordinator.SetStores(c.identity, c.membership.Voters, c.membership.Next)
	c.askStores(asks)
	for _, o := range done {
		c.ruled(o)
	}
}

// retire ends the part of an identity that was voted out: its claims count for nothing any more, and a new identity may be
// voted in later.
func (c *Controller) retire(batch *storage.Batch) (identity string) {
	c.claimStore.BeginRecovery()
	c.retired = true
	yes := true
	batch.Identity, batch.Recovering = newIdentity(c.set.IP), &yes
	return batch.Identity
}

// foundStore lets the store of a founder grant: under the identity of a first start it never granted anything before.
func (c *Controller) foundStore() {
	if c.identity != membership.Identity(c.set.IP, 0) || !slices.Contains(c.membership.Voters, c.identity) {
		return
	}
	no := false
	c.claimStore.FinishRecovery()
	c.put(&storage.Batch{Recovering: &no}, nil)
}

// standing is what this controller says of its part in the consensus.
func (c *Controller) standing() *peer.ReplicaStatus {
	return &peer.ReplicaStatus{Identity: c.identity, Cluster: c.membership.Cluster, Epoch: c.epoch, Ready: !c.claimStore.Recovering(), ShuttingDown: c.leaving}
}

// tellStanding tells it to all controllers.
func (c *Controller) tellStanding() {
	f := &peer.Frame{ReplicaStatus: c.standing()}
	for _, p := range c.peers {
		p.link.Send(f)
	}
}

// heardStanding takes a peer's word. Another identity at its address means that its disk was lost, or that it was voted
// out: what it granted to claims that are still open is not relied on.
func (c *Controller) heardStanding(p *remote, s *peer.ReplicaStatus) {
	if mine := c.cluster.Load(); mine != 0 && s.Cluster != 0 && s.Cluster != mine {
		c.refuseStranger(p, s.Cluster)
		return
	}
	if former := p.standing.Identity; former != "" && former != s.Identity {
		c.forgetGrants(former)
	}
	p.standing = *s
	c.known[p.ip] = true
	for id := range c.met {
		if membership.Address(id) == p.ip && id != s.Identity {
			c.forgetGrants(id)
			met := c.met[id]
			met.Connected = false
			c.met[id] = met
		}
	}
	c.met[s.Identity] = membership.Controller{ID: s.Identity, Zone: p.zone, Counted: p.counted}
}

// refuseStranger ends the link to a controller of another cluster, with one line of log for as long as it keeps calling.
func (c *Controller) refuseStranger(p *remote, cluster uint64) {
	if c.strangers[p.ip] != cluster {
		if c.strangers == nil {
			c.strangers = map[string]uint64{}
		}
		c.strangers[p.ip] = cluster
		_ = c.logger.Log("event", "stranger", "node", p.node, "ip", p.ip, "cause", "it belongs to another cluster", "cluster", cluster)
	}
	p.link.Close()
}

func (c *Controller) forgetGrants(identity string) {
	for _, o := range c.coordinator.ForgetGrants(identity) {
		c.ruled(o)
	}
}

// replicaAt finds the link to a replica; nil while another one, or none, runs at its address.
func (c *Controller) replicaAt(identity string) *remote {
	if p := c.peers[membership.Address(identity)]; p != nil && p.standing.Identity == identity {
		return p
	}
	return nil
}

// manage lets a leader change the membership.
func (c *Controller) manage(now time.Duration) {
	var linked []string
	for _, p := range c.peers {
		if p.standing.Identity != "" {
			linked = append(linked, p.standing.Identity)
		}
	}
	slices.Sort(linked)
	c.replica.SetLearners(linked)
	if c.replica.ID() != c.identity { // it led when it was voted out
		c.replica.SetID(c.identity)
	}
	if !c.leads() {
		return
	}
	d := c.manager.Decide(c.view(), now)
	var err error
	switch d.Action {
	case membership.ActionNone:
		return
	case membership.ActionBegin:
		err = c.replica.BeginChange(d.Next, now)
	case membership.ActionAdopt, membership.ActionAbandon:
		err = c.replica.FinishChange(d.Action == membership.ActionAdopt, now)
	case membership.TransferLeadership:
		c.replica.TransferLeadership(d.To, now)
	}
	_ = c.logger.Log("event", "membership change", "action", d.Action, "cause", d.Cause, "next", strings.Join(d.Next, " "), "to", d.To, "error", err)
}

// view is what the membership manager decides by.
func (c *Controller) view() membership.View {
	v := membership.View{Self: c.identity, Term: c.replica.Term(), Membership: c.replica.Membership(), Committed: c.replica.MembershipCommitted(), WantedVoters: c.wanted()}
	v.Controllers = append(v.Controllers, membership.Controller{ID: c.identity, Zone: c.set.Zone, Counted: c.set.Counted, Connected: true, CaughtUp: true,
		ShuttingDown: c.leaving, Epoch: c.epoch, Ready: !c.claimStore.Recovering()})
	for id, met := range c.met {
		if p := c.replicaAt(id); p != nil {
			met.Connected, met.ShuttingDown, met.Epoch, met.Ready = true, p.standing.ShuttingDown, p.standing.Epoch, p.standing.Ready
			match, _, known := c.replica.Match(id)
			met.CaughtUp = known && match+caughtUpLag >= c.replica.Commit()
		} else if !v.Membership.Contains(id) {
			delete(c.met, id) // it comes back as one that is met anew
			continue
		}
		v.Controllers = append(v.Controllers, met)
	}
	return v
}

// entering tells that this replica is an entrant of the change under way whose store doesn't hold the others' claims yet.
func (c *Controller) entering() bool {
	return c.claimStore.Recovering() && c.membership.Joint() && slices.Contains(c.membership.Next, c.identity) && !slices.Contains(c.membership.Voters, c.identity)
}

// askCopies asks the former voters' stores for what they hold, while this replica enters.
func (c *Controller) askCopies(now time.Duration) {
	if !c.entering() || now < c.nextCopy {
		return
	}
	c.nextCopy = now + copyEvery
	for _, id := range c.membership.Voters {
		if p := c.replicaAt(id); p != nil && !c.copied[id] {
			p.link.Send(&peer.Frame{CopyRequest: true, Epoch: c.membership.Epoch})
		}
	}
}

// membershipView is what operators are told of who votes.
func (c *Controller) membershipView() operator.Membership {
	m := c.membership
	view := operator.Membership{Identity: c.identity, Cluster: fmt.Sprintf("%016x", m.Cluster), Epoch: m.Epoch, Voters: m.Voters, Next: m.Next,
		Votes: m.Contains(c.identity), ShuttingDown: c.leaving}
	if !c.leads() {
		return view
	}
	for _, r := range c.view().Controllers {
		if r.ID == c.identity {
			continue
		}
		one := operator.Replica{Identity: r.ID, Votes: m.Contains(r.ID), Connected: r.Connected, Ready: r.Ready, ShuttingDown: r.ShuttingDown, Epoch: r.Epoch}
		if match, _, known := c.replica.Match(r.ID); known {
			one.Lag = c.replica.Commit() - min(match, c.replica.Commit())
		}
		view.Replicas = append(view.Replicas, one)
	}
	slices.SortFunc(view.Replicas, func(a, b operator.Replica) int { return cmp.Compare(a.Identity, b.Identity) })
	return view
}
