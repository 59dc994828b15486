package controller

import (
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

const (
	// keyWindowSlack is added to the configured key window, so that a record is kept too long rather than too short.
	keyWindowSlack = 5 * time.Second
	// defaultKeyWindow is the key window if the settings have none, in seconds.
	defaultKeyWindow = 60
	// claimHedgeDelay is how long the first claim stores may take to reply before the others are asked as well.
	claimHedgeDelay = 20 * time.Millisecond
	// claimTimeout is how long a claim may stay undecided. The timeout at the edges is a little longer.
	claimTimeout = 900 * time.Millisecond
	// copyInterval is how often the claims of other stores are requested while they are being copied.
	copyInterval = 200 * time.Millisecond
	// maxChunkClaims is the maximum number of claims per message when a store is copied.
	maxChunkClaims = 2000
)

// membershipState provides the membership to the claims service.
type membershipState interface {
	// ownIdentity returns the identity of this replica.
	ownIdentity() string
	// membership returns the newest applied membership.
	membership() consensus.Membership
	// durableEpoch returns the epoch of the newest membership that is durable on this replica.
	durableEpoch() uint64
	// announceStatus sends this replica's status to all controllers.
	announceStatus()
}

// claimsService runs this controller's claim store and the coordinator for the claims of its edges. A grant is sent only
// once it is durable.
type claimsService struct {
	*node.Env
	writer      *writer
	links       *linkTable
	members     membershipState
	store       *idempotency.Store
	coordinator *idempotency.Coordinator
	responses   *responseService

	claimants  map[idempotency.Token]*remote // links that receive the outcome
	copiedFrom map[string]bool               // replicas whose claims were copied for the change in progress
	nextCopy   time.Duration
	onSynced   func() // called when the handed-over responses are durable at the peer
}

// newStore returns an empty claim store that grants.
func newStore(env *node.Env) *idempotency.Store {
	store := idempotency.NewStore(keyWindow(env), false)
	store.SetMaxResponseBytes(maxResponseBytes(env))
	store.LimitReplicas(env.Settings.IP, maxReplicaBytes(env))
	return store
}

func newClaimsService(env *node.Env, w *writer, links *linkTable, members membershipState,
	store *idempotency.Store) *claimsService {
	s := &claimsService{Env: env, writer: w, links: links, members: members, claimants: map[idempotency.Token]*remote{},
		copiedFrom: map[string]bool{}, onSynced: func() {}}
	s.store = store
	s.coordinator = idempotency.NewCoordinator(nil, claimHedgeDelay, claimTimeout)
	s.responses = newResponseService(env, w, links, members, s.store)
	return s
}

// keyWindow returns how long claims are kept.
func keyWindow(env *node.Env) time.Duration {
	return env.Settings.Seconds("key_window_s", defaultKeyWindow) + keyWindowSlack
}

func (s *claimsService) tick(now time.Duration) {
	requests, results := s.coordinator.Tick(now)
	s.sendGrantRequests(requests)
	s.finishClaims(results)
	s.store.Expire(now)
	s.responses.tick(now)
}

// handleMessage handles a peer's message about claims.
func (s *claimsService) handleMessage(p *remote, m peer.Message) {
	switch m := m.(type) {
	case peer.ClaimRequests:
		s.handleClaimRequests(p, m)
	case peer.GrantRequests:
		s.handleGrantRequests(p, m)
	case peer.GrantReplies:
		s.handleGrantReplies(p, m)
	case peer.Revocations:
		s.handleRevocations(p, m)
	case peer.CopyRequest:
		s.handleCopyRequest(p, m)
	case peer.ClaimsCopy:
		s.handleClaimsCopy(p, m)
	case peer.SyncRequest:
		s.writer.write(&storage.Batch{}, func() { p.link.Send(peer.SyncReply(m)) })
	case peer.SyncReply:
		s.onSynced()
	default:
		s.responses.handleMessage(p, m)
	}
}

// handleClaimRequests starts collecting grants for an edge's claims.
func (s *claimsService) handleClaimRequests(p *remote, requests peer.ClaimRequests) {
	for _, r := range requests {
		if len(s.members.membership().Voters) == 0 {
			p.link.Send(peer.ClaimOutcomes{{Token: r.Token, Outcome: idempotency.OutcomeUndecided}})
			continue
		}
		r.ResponseHolder = s.Settings.IP
		s.claimants[r.Token] = p
		s.sendGrantRequests(s.coordinator.Start(r, s.Now()))
	}
}

// handleGrantRequests requests grants from this store for another coordinator's claims.
func (s *claimsService) handleGrantRequests(p *remote, m peer.GrantRequests) {
	for _, r := range m.Records {
		s.requestGrant(r, m.Epoch, func(reply idempotency.GrantReply, holder idempotency.Record) {
			message := peer.GrantReply{Token: r.Token, Reply: reply}
			if reply == idempotency.ReplyConflict {
				message.Holder = &holder
			}
			p.link.Send(peer.GrantReplies{message})
		})
	}
}

// requestGrant requests a grant from this store and calls done with the reply, for a grant once it is durable. A request
// under a membership older than the newest durable one is rejected: the new voters have copied, or are copying, the claims
// that this store held before.
func (s *claimsService) requestGrant(r idempotency.Record, epoch uint64, done func(idempotency.GrantReply, idempotency.Record)) {
	if epoch < s.members.durableEpoch() {
		done(idempotency.ReplyStaleEpoch, idempotency.Record{})
		return
	}
	reply, holder, mustStore := s.store.Grant(r, s.Now())
	if !mustStore {
		done(reply, holder)
		return
	}
	s.writer.writeClaim(r, func(durable bool) {
		if !durable { // a claim that isn't durable is neither granted nor kept as granted
			s.store.MarkFailed(r.Key, r.Token)
		}
		if !durable || !s.store.MarkDurable(r.Key, r.Token) {
			reply = idempotency.ReplyUnavailable
		}
		done(reply, holder)
	})
}

// sendGrantRequests sends grant requests to the stores that the coordinator chose.
func (s *claimsService) sendGrantRequests(requests []idempotency.GrantRequest) {
	epoch := s.members.membership().Epoch
	for _, request := range requests {
		if request.To == s.members.ownIdentity() {
			token := request.Record.Token
			s.requestGrant(request.Record, epoch, func(reply idempotency.GrantReply, holder idempotency.Record) {
				s.handleGrantReply(request.To, token, reply, holder)
			})
		} else if p := s.links.replica(request.To); p != nil {
			p.link.Send(peer.GrantRequests{Epoch: epoch, Records: []idempotency.Record{request.Record}})
		} else {
			s.handleGrantReply(request.To, request.Record.Token, idempotency.ReplyUnavailable, idempotency.Record{})
		}
	}
}

func (s *claimsService) handleGrantReplies(p *remote, replies peer.GrantReplies) {
	for _, reply := range replies {
		holder := idempotency.Record{}
		if reply.Holder != nil {
			holder = *reply.Holder
		}
		s.handleGrantReply(p.status.Identity, reply.Token, reply.Reply, holder)
	}
}

func (s *claimsService) handleGrantReply(from string, token idempotency.Token, reply idempotency.GrantReply,
	holder idempotency.Record) {
	requests, result := s.coordinator.HandleReply(from, token, reply, holder)
	s.sendGrantRequests(requests)
	if result != nil {
		s.finishClaim(*result)
	}
}

func (s *claimsService) finishClaims(results []idempotency.Result) {
	for _, result := range results {
		s.finishClaim(result)
	}
}

// finishClaim sends the outcome to the claimant. Only the claimant revokes a claim that was not granted: it may have asked
// two coordinators about one claim, and only it knows whose reply it received. If another claim holds the key, the outcome
// includes the response of that claim's run, if there is one.
func (s *claimsService) finishClaim(result idempotency.Result) {
	s.Metrics.Claims.WithLabelValues(result.Outcome.String()).Inc()
	claimant := s.claimants[result.Token]
	delete(s.claimants, result.Token)
	done := func(response *idempotency.Response) {
		if claimant != nil {
			claimant.link.Send(peer.ClaimOutcomes{{Token: result.Token, Outcome: result.Outcome, Response: response}})
		}
	}
	if result.Outcome != idempotency.OutcomeConflict {
		done(nil)
		return
	}
	s.responses.find(result.Holder, result.HolderGranted, done)
}

// handleRevocations revokes claims: at all stores if an edge sent them, only here if another controller forwarded them.
func (s *claimsService) handleRevocations(p *remote, revocations peer.Revocations) {
	for _, r := range revocations {
		if p.edge {
			s.revokeEverywhere(r)
		} else {
			s.revoke(r)
		}
	}
}

func (s *claimsService) revokeEverywhere(r idempotency.Record) {
	for _, ip := range membership.Addresses(s.members.membership().All()) {
		if ip == s.Settings.IP {
			s.revoke(r)
		} else if p := s.links.controllers[ip]; p != nil {
			p.link.Send(peer.Revocations{{Key: r.Key, Token: r.Token}})
		}
	}
}

func (s *claimsService) revoke(r idempotency.Record) {
	if record, mustStore := s.store.Revoke(r.Key, r.Token, s.Now()); mustStore {
		s.writer.writeClaim(record, nil)
	}
}

// setStores sets the coordinators' claim stores to those of the current membership.
func (s *claimsService) setStores() {
	m := s.members.membership()
	requests, results := s.coordinator.SetStores(s.members.ownIdentity(), m.Voters, m.Next)
	s.sendGrantRequests(requests)
	s.finishClaims(results)
	s.responses.replication.setStores()
}

// forgetGrants discards a replica's grants for undecided claims and its confirmations of responses. It is called when the
// replica lost its disk or was voted out.
func (s *claimsService) forgetGrants(identity string) {
	s.finishClaims(s.coordinator.DiscardGrants(identity))
	s.responses.replication.forgetConfirmations(identity)
}

// restartCopy starts copying the claims of the other stores from the beginning.
func (s *claimsService) restartCopy() { s.copiedFrom, s.nextCopy = map[string]bool{}, 0 }

// mustCopy reports whether this replica is a new voter in the current membership change whose store lacks the others'
// claims.
func (s *claimsService) mustCopy() bool {
	m, own := s.members.membership(), s.members.ownIdentity()
	return s.store.Recovering() && m.Joint() && slices.Contains(m.Next, own) && !slices.Contains(m.Voters, own)
}

// requestCopies requests the claims of the current voters' stores while this replica is becoming a voter.
func (s *claimsService) requestCopies(now time.Duration) {
	if !s.mustCopy() || now < s.nextCopy {
		return
	}
	s.nextCopy = now + copyInterval
	m := s.members.membership()
	for _, identity := range m.Voters {
		if p := s.links.replica(identity); p != nil && !s.copiedFrom[identity] {
			p.link.Send(peer.CopyRequest{Epoch: m.Epoch})
		}
	}
}

// handleCopyRequest sends all claims of this store to a new voter. It ignores the request until this store no longer grants
// under the previous membership; the new voter retries.
func (s *claimsService) handleCopyRequest(p *remote, m peer.CopyRequest) {
	current := s.members.membership()
	if current.Epoch != m.Epoch || s.members.durableEpoch() < m.Epoch {
		return
	}
	if s.store.Recovering() || !slices.Contains(current.Voters, s.members.ownIdentity()) {
		return
	}
	var chunk []idempotency.Record
	s.store.EachClaim(func(r idempotency.Record) {
		if chunk = append(chunk, r); len(chunk) == maxChunkClaims {
			p.link.Send(peer.ClaimsCopy{Epoch: m.Epoch, ClaimsChunk: &peer.ClaimsChunk{Records: chunk}})
			chunk = nil
		}
	})
	p.link.Send(peer.ClaimsCopy{Epoch: m.Epoch, ClaimsChunk: &peer.ClaimsChunk{Records: chunk, Last: true}})
}

// handleClaimsCopy imports a chunk of another store. Once the claims of a majority of the previous voters are copied and
// durable here, this store starts granting.
func (s *claimsService) handleClaimsCopy(p *remote, m peer.ClaimsCopy) {
	current := s.members.membership()
	if !s.mustCopy() || m.Epoch != current.Epoch || m.Recovering {
		return
	}
	records := make([]idempotency.Record, len(m.Records))
	for i, r := range m.Records {
		records[i] = s.store.Import(r, s.Now())
	}
	s.writer.write(&storage.Batch{Claims: records}, nil) // durable before the record that the store is complete
	if !m.Last {
		return
	}
	s.copiedFrom[p.status.Identity] = true
	previous := consensus.Membership{Voters: current.Voters}
	if previous.HasQuorum(func(identity string) bool { return s.copiedFrom[identity] }) {
		s.finishRecovery(m.Epoch)
	}
}

// finishRecovery records that the store is complete and lets it grant once that record is durable.
func (s *claimsService) finishRecovery(epoch uint64) {
	recovering := false
	s.writer.write(&storage.Batch{Recovering: &recovering}, func() {
		if s.members.membership().Epoch != epoch || !s.store.Recovering() {
			return // the change has ended in the meantime, or recovery is already finished
		}
		s.store.FinishRecovery()
		s.LogEvent("claims copied", "keys", s.store.Len(), "responses", s.store.ResponseCount(), "epoch", epoch)
		s.members.announceStatus()
		s.responses.backfill.start()
	})
}
