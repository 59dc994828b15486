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

// caughtUpLag is the maximum lag, in entries, at which a controller counts as caught up with the log.
const caughtUpLag = 16

// memberService tracks the voters and this replica's identity. On the leader it also carries out the membership manager's
// decisions.
type memberService struct {
	*node.Env
	writer    *writer
	links     *linkTable
	consensus *consensusRuntime
	claims    *claimsService
	// addController starts dialling the controller at an IP address.
	addController func(ip string)
	// shuttingDown reports whether this controller is shutting down.
	shuttingDown func() bool

	identity        string        // of this replica: its address and a random number for its disk
	cluster         atomic.Uint64 // 0: not known yet; atomic because other goroutines send handshakes
	firstStart      bool          // this is the cluster's first start, and this disk is empty
	bootstrapVoters []string      // voters that the cluster started with, if stored on this disk
	current         consensus.Membership
	durable         uint64 // epoch of the newest membership that is applied and durable
	retired         bool   // voted out since the process started
	manager         membership.Manager
	seen            map[string]membership.Controller // replicas that have been linked since the start, by identity
}

func (s *memberService) ownIdentity() string              { return s.identity }
func (s *memberService) membership() consensus.Membership { return s.current }
func (s *memberService) durableEpoch() uint64             { return s.durable }

// initIdentity sets the identity from state. If the disk has none yet, it stores a new one before anything else is written.
func (s *memberService) initIdentity(state *storage.State, commit func([]*storage.Batch) error) error {
	if state.Identity != "" {
		s.identity = state.Identity
		return nil
	}
	firstStart := s.Settings.FirstStart && state.Corrupt == nil
	recovering := true
	switch {
	case len(state.BootstrapVoters) > 0 && !state.Hard.DiskLost && !state.Recovering: // complete, but without an identity
		s.identity, recovering = membership.Identity(s.Settings.IP, 0), false
		if snapshot := &state.Snapshot; snapshot.Index > 0 && snapshot.Membership.Epoch == 0 {
			snapshot.Membership = consensus.Membership{Epoch: 1, Voters: state.BootstrapVoters}
		}
	case firstStart:
		s.identity = membership.Identity(s.Settings.IP, 0)
	default: // the disk was lost, and with it its votes and grants
		s.identity, state.BootstrapVoters = newIdentity(s.Settings.IP), nil
	}
	state.Recovering = recovering
	batch := &storage.Batch{Identity: s.identity, Recovering: &recovering}
	if seeds := s.sortedSeeds(); firstStart && len(state.BootstrapVoters) == 0 && slices.Contains(seeds, s.Settings.IP) &&
		len(seeds) >= s.wantedVoters() {
		recovering = false // this replica has never granted a claim
		state.BootstrapVoters, state.Recovering = seeds, false
		batch.BootstrapVoters, batch.Hard = seeds, &state.Hard
	}
	return commit([]*storage.Batch{batch})
}

func newIdentity(ip string) string { return membership.Identity(ip, rand.Uint64()|1) }

// load restores the membership from the stored state.
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

// bootstrapMembership returns the membership of a cluster's first start, or the empty one if there are no voters.
func bootstrapMembership(voters []string) consensus.Membership {
	if len(voters) == 0 {
		return consensus.Membership{}
	}
	return consensus.Membership{Epoch: 1, Voters: voters}
}

// sortedSeeds returns the sorted seed addresses. If there are enough seeds, they are the voters at the first start.
func (s *memberService) sortedSeeds() []string {
	return slices.Sorted(slices.Values(s.Settings.SeedIPs()))
}

// wantedVoters returns how many voters are needed so that a majority remains after the tolerated number of failures.
func (s *memberService) wantedVoters() int {
	tolerated := s.Settings.Tolerance
	return 2*max(tolerated.Machines, min(1, tolerated.Zones+tolerated.Regions)) + 1
}

// chooseBootstrapVoters chooses the voters of a cluster that starts for the first time with fewer seeds than wanted voters.
// Only the first seed decides; the others learn the choice from its handshake.
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

// handleBootstrapVoters adopts the voters of a first start and announces them to all peers once they are durable.
func (s *memberService) handleBootstrapVoters(voters []string) {
	if len(voters) == 0 || !s.firstStart || len(s.bootstrapVoters) > 0 || !s.consensus.replica.Bootstrap(voters) {
		return
	}
	s.bootstrapVoters = slices.Sorted(slices.Values(voters))
	hard := s.consensus.replica.HardState() // keeps a vote that was cast before the voters were known
	s.writer.write(&storage.Batch{BootstrapVoters: s.bootstrapVoters, Hard: &hard}, s.announceBootstrapVoters)
	s.apply(s.consensus.replica.Membership())
}

// announceBootstrapVoters sends the handshake again, with the voters included.
func (s *memberService) announceBootstrapVoters() {
	message := s.handshake()
	message.BootstrapVoters = s.bootstrapVoters
	s.links.sendToControllers(message)
}

// handshake returns a handshake without mutable state of the owner, since other goroutines call it as well.
func (s *memberService) handshake() *peer.Handshake {
	return &peer.Handshake{Node: s.Settings.Node, IP: s.Settings.IP, Zone: s.Settings.Zone, Incarnation: s.Incarnation,
		Counted: s.Settings.Counted, Cluster: s.cluster.Load()}
}

// apply applies a committed membership. Once it is durable, this claim store rejects requests under an older membership.
func (s *memberService) apply(m consensus.Membership) {
	if m.Epoch <= s.current.Epoch {
		return // entries are applied again after a restart
	}
	previous := s.current
	s.current = m
	s.cluster.Store(m.Cluster)
	batch := &storage.Batch{Membership: &m}
	nextIdentity := "" // set if this replica was voted out
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

// retire adds a new identity for this disk to the batch after the current one was voted out, and returns it. The grants of
// the old identity no longer count; the new identity may be voted in later.
func (s *memberService) retire(batch *storage.Batch) (nextIdentity string) {
	s.claims.store.BeginRecovery()
	s.retired = true
	recovering := true
	batch.Identity, batch.Recovering = newIdentity(s.Settings.IP), &recovering
	return batch.Identity
}

// finishRecoveryOfBootstrapVoter lets the store of a bootstrap voter grant at once, since it has never granted a claim under
// that identity.
func (s *memberService) finishRecoveryOfBootstrapVoter() {
	if s.identity != membership.Identity(s.Settings.IP, 0) || !slices.Contains(s.current.Voters, s.identity) {
		return
	}
	recovering := false
	s.claims.store.FinishRecovery()
	s.writer.write(&storage.Batch{Recovering: &recovering}, nil)
}

// status returns the status that this replica announces to other controllers.
func (s *memberService) status() *peer.ReplicaStatus {
	return &peer.ReplicaStatus{Identity: s.identity, Cluster: s.current.Cluster, Epoch: s.durable,
		Ready:        !s.claims.store.Recovering(),
		ShuttingDown: s.shuttingDown()}
}

// announceStatus sends this replica's status to all controllers.
func (s *memberService) announceStatus() { s.links.sendToControllers(s.status()) }

// otherCluster reports whether cluster differs from this controller's cluster. It is false while either is unknown.
func (s *memberService) otherCluster(cluster uint64) bool {
	own := s.cluster.Load()
	return own != 0 && cluster != 0 && cluster != own
}

// handleReplicaStatus records a controller's replica status. A new identity at the same address means that the replica lost
// its disk or was voted out, so its grants for undecided claims are discarded.
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

// manage runs the membership manager and carries out its decision if this controller leads.
func (s *memberService) manage(now time.Duration) {
	replica := s.consensus.replica
	replica.SetLearners(s.links.identities())
	if replica.ID() != s.identity { // it was the leader when it was voted out
		replica.SetID(s.identity)
	}
	if !s.consensus.leads() {
		return
	}
	decision := s.manager.Decide(s.view(), now)
	if decision.Action == membership.ActionNone {
		return
	}
	err := s.carryOut(decision, now)
	s.LogEvent("membership change", "action", decision.Action, "cause", decision.Cause,
		"next", strings.Join(decision.Next, " "), "to", decision.To, "error", err)
}

func (s *memberService) carryOut(decision membership.Decision, now time.Duration) error {
	replica := s.consensus.replica
	switch decision.Action {
	case membership.ActionBegin:
		return replica.BeginChange(decision.Next, now)
	case membership.ActionAdopt:
		return replica.AdoptChange(now)
	case membership.ActionAbandon:
		return replica.AbandonChange(now)
	case membership.ActionTransferLeadership:
		replica.TransferLeadership(decision.To, now)
	}
	return nil
}

// view returns the input of the membership manager.
func (s *memberService) view() membership.View {
	replica := s.consensus.replica
	view := membership.View{Self: s.identity, Term: replica.Term(), Membership: replica.Membership(),
		Committed:    replica.MembershipCommitted(),
		WantedVoters: s.wantedVoters()}
	view.Controllers = append(view.Controllers, membership.Controller{ID: s.identity, Zone: s.Settings.Zone,
		MayVote: s.Settings.Counted, Connected: true,
		CaughtUp: true, ShuttingDown: s.shuttingDown(), Epoch: s.durable, Ready: !s.claims.store.Recovering()})
	for identity, controller := range s.seen {
		if p := s.links.replica(identity); p != nil {
			controller.Connected, controller.ShuttingDown, controller.Epoch, controller.Ready =
				true, p.status.ShuttingDown, p.status.Epoch, p.status.Ready
			match, _, known := replica.Match(identity)
			controller.CaughtUp = known && match+caughtUpLag >= replica.CommitIndex()
		} else if !view.Membership.Contains(identity) {
			delete(s.seen, identity) // a replica that returns is treated as new
			continue
		}
		view.Controllers = append(view.Controllers, controller)
	}
	return view
}

// transferLeadership transfers leadership to any other voter that has the complete log.
func (s *memberService) transferLeadership() {
	for _, identity := range s.current.Voters {
		if identity != s.identity && s.consensus.replica.TransferLeadership(identity, s.Now()) {
			return
		}
	}
}

// operatorView returns the membership as reported to operators.
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
	r := operator.Replica{Identity: controller.ID, Votes: s.current.Contains(controller.ID), Connected: controller.Connected,
		Ready: controller.Ready, ShuttingDown: controller.ShuttingDown, Epoch: controller.Epoch}
	if match, _, known := s.consensus.replica.Match(controller.ID); known {
		commit := s.consensus.replica.CommitIndex()
		r.Lag = commit - min(match, commit)
	}
	return r
}
