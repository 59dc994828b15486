package controller

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/node"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/peer"
)

// caughtUpLag is by how many entries a controller may lag and still count as level with the log.
const caughtUpLag = 16

// memberService knows which replicas vote and what this one's part is. On a leader it also carries out what the membership
// manager decides.
type memberService struct {
	*node.Env
	writer    *writer
	links     *linkTable
	consensus *consensusRuntime
	claims    *claimsService
	// addController starts to dial a controller by its IP address.
	addController func(ip string)
	// shuttingDown reports whether this controller was asked to end.
	shuttingDown func() bool

	identity        string        // of this replica: its address, and a number drawn for its disk
	cluster         atomic.Uint64 // 0: not known yet. Handshakes are sent from other goroutines.
	firstStart      bool          // the whole system starts for the first time, and this disk is empty
	bootstrapVoters []string      // voters that the cluster started with, where this disk knows them
	current         consensus.Membership
	durable         uint64 // epoch of the newest membership that is applied and durable
	retired         bool   // voted out since the process started
	manager         membership.Manager
	seen            map[string]membership.Controller // replicas that were linked at some time, by identity
}

func (s *memberService) ownIdentity() string              { return s.identity }
func (s *memberService) membership() consensus.Membership { return s.current }
func (s *memberService) durableEpoch() uint64             { return s.durable }

// initIdentity gives a disk that has no identity yet its own, before anything else is written to it.
func (s *memberService) initIdentity(state *storage.State, commit func([]*storage.Batch) error) error {
	if state.Identity != "" {
		s.identity = state.Identity
		return nil
	}
	firstStart := s.Settings.FirstStart && state.Corrupt == nil
	recovering := true
	switch {
	case len(state.BootstrapVoters) > 0 && !state.Hard.DiskLost && !state.Recovering: // a complete file without an identity
		s.identity, recovering = membership.Identity(s.Settings.IP, 0), false
		if snapshot := &state.Snapshot; snapshot.Index > 0 && snapshot.Membership.Epoch == 0 {
			snapshot.Membership = consensus.Membership{Epoch: 1, Voters: state.BootstrapVoters}
		}
	case firstStart:
		s.identity = membership.Identity(s.Settings.IP, 0)
	default: // the disk was lost: what it voted and granted is not known
		s.identity, state.BootstrapVoters = newIdentity(s.Settings.IP), nil
	}
	state.Recovering = recovering
	batch := &storage.Batch{Identity: s.identity, Recovering: &recovering}
	if seeds := s.sortedSeeds(); firstStart && len(state.BootstrapVoters) == 0 && slices.Contains(seeds, s.Settings.IP) &&
		len(seeds) >= s.wantedVoters() {
		recovering = false // it never granted anything
		state.BootstrapVoters, state.Recovering = seeds, false
		batch.BootstrapVoters, batch.Hard = seeds, &state.Hard
	}
	return commit([]*storage.Batch{batch})
}

func newIdentity(ip string) string { return membership.Identity(ip, rand.Uint64()|1) }

// load takes over what the disk held of the membership.
func (s *memberService) load(state *storage.State) {
	s.firstStart = s.Settings.FirstStart && s.identity == membership.Identity(s.Settings.IP, 0)
	s.bootstrapVoters = state.BootstrapVoters
	s.current = state.Membership
	if s.current.Epoch == 0 {
		s.current = bootstrapMembership(state.BootstrapVoters)
	}
	s.durable = s.current.Epoch
	s.cluster.Store(s.current.Cluster)
}

// bootstrapMembership is the membership of a cluster's first start; empty voters give the empty one.
func bootstrapMembership(voters []string) consensus.Membership {
	if len(voters) == 0 {
		return consensus.Membership{}
	}
	return consensus.Membership{Epoch: 1, Voters: voters}
}

// sortedSeeds are the addresses of the seeds. If they are enough, they are the voters of a first start.
func (s *memberService) sortedSeeds() []string {
	return slices.Sorted(slices.Values(s.Settings.SeedIPs()))
}

// wantedVoters is how many voters the consensus needs, so that a majority remains when as many as are tolerated are lost.
func (s *memberService) wantedVoters() int {
	tolerated := s.Settings.Tolerance
	return 2*max(tolerated.Machines, min(1, tolerated.Zones+tolerated.Regions)) + 1
}

// chooseBootstrapVoters names the voters of a system that starts for the first time, where the seeds are too few to be all
// of them. The first of the seeds alone decides; the others learn it from its handshake.
func (s *memberService) chooseBootstrapVoters() {
	seeds := s.sortedSeeds()
	if !s.firstStart || len(s.bootstrapVoters) > 0 || !s.Settings.Counted || len(seeds) == 0 || seeds[0] != s.Settings.IP {
		return
	}
	candidates := []string{s.Settings.IP}
	for ip, p := range s.links.controllers {
		if p.counted {
			candidates = append(candidates, ip)
		}
	}
	slices.Sort(candidates)
	isSeed := func(ip string) bool { return slices.Contains(seeds, ip) }
	voters := slices.Concat(filter(candidates, isSeed), filter(candidates, func(ip string) bool { return !isSeed(ip) }))
	if wanted := s.wantedVoters(); len(voters) >= wanted {
		s.handleBootstrapVoters(voters[:wanted])
	}
}

func filter(values []string, include func(string) bool) (filtered []string) {
	for _, value := range values {
		if include(value) {
			filtered = append(filtered, value)
		}
	}
	return filtered
}

// handleBootstrapVoters takes over the voters of a first start, and tells all peers once that is durable.
func (s *memberService) handleBootstrapVoters(voters []string) {
	if len(voters) == 0 || !s.firstStart || len(s.bootstrapVoters) > 0 || !s.consensus.replica.Bootstrap(voters) {
		return
	}
	s.bootstrapVoters = slices.Sorted(slices.Values(voters))
	hard := s.consensus.replica.HardState() // a vote that was given before the voters were known stays
	s.writer.write(&storage.Batch{BootstrapVoters: s.bootstrapVoters, Hard: &hard}, s.announceBootstrapVoters)
	s.apply(s.consensus.replica.Membership())
}

// announceBootstrapVoters repeats the handshake with the voters in it.
func (s *memberService) announceBootstrapVoters() {
	message := s.handshake()
	message.BootstrapVoters = s.bootstrapVoters
	s.links.sendToControllers(message)
}

// handshake holds only what never changes, since it is also sent from outside the owner.
func (s *memberService) handshake() *peer.Handshake {
	return &peer.Handshake{Node: s.Settings.Node, IP: s.Settings.IP, Zone: s.Settings.Zone, Incarnation: s.Incarnation,
		Counted: s.Settings.Counted, Cluster: s.cluster.Load()}
}

// apply takes over a membership that is committed. From when it is durable, this claim store grants nothing that is asked
// under an older one.
func (s *memberService) apply(m consensus.Membership) {
	if m.Epoch <= s.current.Epoch {
		return // the log is applied again after a start
	}
	previous := s.current
	s.current = m
	s.cluster.Store(m.Cluster)
	batch := &storage.Batch{Membership: &m}
	nextIdentity := "" // of a replica that is voted out
	switch {
	case previous.Contains(s.identity) && !m.Contains(s.identity):
		nextIdentity = s.retire(batch)
	case m.Contains(s.identity) && s.claims.store.Recovering():
		s.claims.restartCopy()
		s.finishRecoveryOfBootstrapVoter()
	}
	s.writer.write(batch, func() {
		s.durable = max(s.durable, m.Epoch)
		if nextIdentity != "" {
			s.identity = nextIdentity
			s.consensus.replica.SetID(nextIdentity)
		}
		s.announceStatus()
	})
	for _, ip := range membership.Addresses(m.All()) {
		s.addController(ip)
	}
	s.claims.setStores()
	s.LogEvent("membership changed", "epoch", m.Epoch, "cluster", m.Cluster, "voters", strings.Join(m.Voters, " "),
		"next", strings.Join(m.Next, " "), "votes", m.Contains(s.identity))
}

// retire ends the part of an identity that was voted out: its grants count for nothing any more, and another identity of
// this disk may be voted in later.
func (s *memberService) retire(batch *storage.Batch) (nextIdentity string) {
	s.claims.store.BeginRecovery()
	s.retired = true
	recovering := true
	batch.Identity, batch.Recovering = newIdentity(s.Settings.IP), &recovering
	return batch.Identity
}

// finishRecoveryOfBootstrapVoter lets the store of a voter of the first start grant: under that identity it never granted
// anything before.
func (s *memberService) finishRecoveryOfBootstrapVoter() {
	if s.identity != membership.Identity(s.Settings.IP, 0) || !slices.Contains(s.current.Voters, s.identity) {
		return
	}
	recovering := false
	s.claims.store.FinishRecovery()
	s.writer.write(&storage.Batch{Recovering: &recovering}, nil)
}

// status is what this replica says of its part in the consensus.
func (s *memberService) status() *peer.ReplicaStatus {
	return &peer.ReplicaStatus{Identity: s.identity, Cluster: s.current.Cluster, Epoch: s.durable,
		Ready:        !s.claims.store.Recovering(),
		ShuttingDown: s.shuttingDown()}
}

// announceStatus tells all controllers of this replica's status.
func (s *memberService) announceStatus() { s.links.sendToControllers(s.status()) }

// otherCluster reports whether a process that names this cluster belongs to another one than this controller.
func (s *memberService) otherCluster(cluster uint64) bool {
	own := s.cluster.Load()
	return own != 0 && cluster != 0 && cluster != own
}

// handleReplicaStatus takes over what a controller says of its replica. Another identity at its address means that its disk
// was lost, or that it was voted out: what it granted to claims that are still open is not relied on.
func (s *memberService) handleReplicaStatus(p *remote, status *peer.ReplicaStatus) {
	if p.edge {
		return
	}
	if s.otherCluster(status.Cluster) {
		s.links.reject(p, status.Cluster)
		return
	}
	if previous := p.status.Identity; previous != "" && previous != status.Identity {
		s.claims.forgetGrants(previous)
	}
	p.status = *status
	s.links.known[p.ip] = true
	for identity, replica := range s.seen {
		if membership.Address(identity) == p.ip && identity != status.Identity {
			s.claims.forgetGrants(identity)
			replica.Connected = false
			s.seen[identity] = replica
		}
	}
	s.seen[status.Identity] = membership.Controller{ID: status.Identity, Zone: p.zone, MayVote: p.counted}
}

// manage lets a leader change the membership.
func (s *memberService) manage(now time.Duration) {
	replica := s.consensus.replica
	replica.SetLearners(s.links.identities())
	if replica.ID() != s.identity { // it led when it was voted out
		replica.SetID(s.identity)
	}
	if !s.consensus.leads() {
		return
	}
	d := s.manager.Decide(s.view(), now)
	if d.Action == membership.ActionNone {
		return
	}
	err := s.carryOut(d, now)
	s.LogEvent("membership change", "action", d.Action, "cause", d.Cause, "next", strings.Join(d.Next, " "), "to", d.To,
		"error", err)
}

func (s *memberService) carryOut(d membership.Decision, now time.Duration) error {
	replica := s.consensus.replica
	switch d.Action {
	case membership.ActionBegin:
		return replica.BeginChange(d.Next, now)
	case membership.ActionAdopt:
		return replica.AdoptChange(now)
	case membership.ActionAbandon:
		return replica.AbandonChange(now)
	case membership.ActionTransferLeadership:
		replica.TransferLeadership(d.To, now)
	}
	return nil
}

// view is what the membership manager decides by.
func (s *memberService) view() membership.View {
	replica := s.consensus.replica
	v := membership.View{Self: s.identity, Term: replica.Term(), Membership: replica.Membership(),
		Committed:    replica.MembershipCommitted(),
		WantedVoters: s.wantedVoters()}
	v.Controllers = append(v.Controllers, membership.Controller{ID: s.identity, Zone: s.Settings.Zone,
		MayVote: s.Settings.Counted, Connected: true,
		CaughtUp: true, ShuttingDown: s.shuttingDown(), Epoch: s.durable, Ready: !s.claims.store.Recovering()})
	for identity, controller := range s.seen {
		if p := s.links.replica(identity); p != nil {
			controller.Connected, controller.ShuttingDown, controller.Epoch, controller.Ready = true, p.status.ShuttingDown, p.status.Epoch, p.status.Ready
			match, _, known := replica.Match(identity)
			controller.CaughtUp = known && match+caughtUpLag >= replica.CommitIndex()
		} else if !v.Membership.Contains(identity) {
			delete(s.seen, identity) // if it comes back, it is a new one
			continue
		}
		v.Controllers = append(v.Controllers, controller)
	}
	return v
}

// transferLeadership hands leadership to any other voter that holds the complete log.
func (s *memberService) transferLeadership() {
	for _, identity := range s.current.Voters {
		if identity != s.identity && s.consensus.replica.TransferLeadership(identity, s.Now()) {
			return
		}
	}
}

// operatorView is what operators are told of who votes.
func (s *memberService) operatorView() operator.Membership {
	m := s.current
	view := operator.Membership{Identity: s.identity, Cluster: fmt.Sprintf("%016x", m.Cluster), Epoch: m.Epoch,
		Voters: m.Voters, Next: m.Next,
		Votes: m.Contains(s.identity), ShuttingDown: s.shuttingDown()}
	if !s.consensus.leads() {
		return view
	}
	for _, controller := range s.view().Controllers {
		if controller.ID != s.identity {
			view.Replicas = append(view.Replicas, s.operatorReplica(controller))
		}
	}
	slices.SortFunc(view.Replicas, func(a, b operator.Replica) int { return cmp.Compare(a.Identity, b.Identity) })
	return view
}

func (s *memberService) operatorReplica(controller membership.Controller) operator.Replica {
	r := operator.Replica{Identity: controller.ID, Votes: s.current.Contains(controller.ID), Connected: controller.Connected, Ready: controller.Ready,
		ShuttingDown: controller.ShuttingDown, Epoch: controller.Epoch}
	if match, _, known := s.consensus.replica.Match(controller.ID); known {
		commit := s.consensus.replica.CommitIndex()
		r.Lag = commit - min(match, commit)
	}
	return r
}
