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
	// keyWindowSlack is added to the window of keys that the platform gives: a record is kept too long rather than too short.
	keyWindowSlack = 5 * time.Second
	// defaultKeyWindow is taken where the settings don't give one, in seconds.
	defaultKeyWindow = 60
	// claimHedgeDelay is how long the first claim stores may take before the others are asked, too.
	claimHedgeDelay = 20 * time.Millisecond
	// claimTimeout is how long a claim may stay undecided. Edges wait a little longer.
	claimTimeout = 900 * time.Millisecond
	// responseQueryTimeout is how long other controllers may take to say whether they keep a response.
	responseQueryTimeout = 300 * time.Millisecond
	// copyInterval is the time between two requests for the claims of other stores.
	copyInterval = 200 * time.Millisecond
	// maxChunkClaims is how many claims one message holds when a store is copied.
	maxChunkClaims = 2000
	// responseMemoryShare and responseDiskShare bound what responses may take of the machine. Space that is freed in the
	// file is used again only once no older transaction needs it, so a quarter of the disk is all of it in the worst case.
	responseMemoryShare = 0.25
	responseDiskShare   = 0.25
)

// membershipState is what the claims service has to know of the membership.
type membershipState interface {
	// ownIdentity is that of this replica.
	ownIdentity() string
	// membership is the newest that was applied.
	membership() consensus.Membership
	// durableEpoch is that of the newest membership that is durable here.
	durableEpoch() uint64
	// announceStatus tells all controllers of this replica's status.
	announceStatus()
}

// claimsService runs the claim store of this controller and the coordinator of its edges' claims. A grant is sent once it
// is durable.
type claimsService struct {
	*node.Env
	writer      *writer
	links       *linkTable
	members     membershipState
	store       *idempotency.Store
	coordinator *idempotency.Coordinator

	claimants  map[idempotency.Token]*remote // who receives the outcome
	queries    map[idempotency.Token]*responseQuery
	copiedFrom map[string]bool // replicas whose claims were copied for the change under way
	nextCopy   time.Duration
	onSynced   func() // called when a peer has made durable what was handed over to it
}

// responseQuery waits for a response that another controller keeps.
type responseQuery struct {
	deadline time.Duration
	pending  int // controllers that have not replied
	done     func(*idempotency.Response)
}

func newClaimsService(env *node.Env, w *writer, links *linkTable, members membershipState, state *storage.State) *claimsService {
	s := &claimsService{Env: env, writer: w, links: links, members: members, claimants: map[idempotency.Token]*remote{},
		queries: map[idempotency.Token]*responseQuery{}, copiedFrom: map[string]bool{}, onSynced: func() {}}
	s.store = idempotency.NewStore(keyWindow(env), state.Recovering)
	s.store.SetMaxResponseBytes(maxResponseBytes(env))
	for _, r := range state.Claims {
		s.store.Load(r, env.Now())
	}
	s.coordinator = idempotency.NewCoordinator(nil, claimHedgeDelay, claimTimeout)
	return s
}

// keyWindow is how long claims are remembered.
func keyWindow(env *node.Env) time.Duration {
	return env.Settings.Seconds("key_window_s", defaultKeyWindow) + keyWindowSlack
}

// maxResponseBytes is how many bytes the responses of keyed operations may take, in memory and on disk.
func maxResponseBytes(env *node.Env) int64 {
	megabytes := responseMemoryShare * env.Settings.Limits.MemoryMB
	if disk := env.Settings.Limits.DiskMB; disk > 0 {
		megabytes = min(megabytes, responseDiskShare*disk)
	}
	return int64(megabytes * (1 << 20))
}

func (s *claimsService) tick(now time.Duration) {
	requests, results := s.coordinator.Tick(now)
	s.sendGrantRequests(requests)
	s.finishClaims(results)
	s.store.Expire(now)
}

// expireQueries gives up on responses that nobody sends.
func (s *claimsService) expireQueries(now time.Duration) {
	for token, q := range s.queries {
		if now > q.deadline {
			delete(s.queries, token)
			q.done(nil)
		}
	}
}

// handleMessage handles what peers say of claims.
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
	case peer.Responses:
		s.handleResponses(p, m)
	case peer.ResponseQueries:
		s.handleResponseQueries(p, m)
	case peer.ResponseReplies:
		s.handleResponseReplies(m)
	case peer.CopyRequest:
		s.handleCopyRequest(p, m)
	case peer.ClaimsCopy:
		s.handleClaimsCopy(p, m)
	case peer.SyncRequest:
		s.writer.write(&storage.Batch{}, func() { p.link.Send(peer.SyncReply(m)) })
	case peer.SyncReply:
		s.onSynced()
	}
}

// handleClaimRequests starts to collect grants for the claims of an edge.
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

// handleGrantRequests puts the claims of another coordinator to the store here.
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

// requestGrant puts a claim to the store here; a grant is sent once it is durable. A claim that is asked under a membership
// older than the newest that is durable here is granted nothing: the new voters have copied, or are copying, what this
// store held before.
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
		if !durable { // what isn't durable is not granted, and not remembered as if it were
			s.store.MarkFailed(r.Key, r.Token)
		}
		if !durable || !s.store.MarkDurable(r.Key, r.Token) {
			reply = idempotency.ReplyUnavailable
		}
		done(reply, holder)
	})
}

// sendGrantRequests puts claims to the stores that the coordinator chose.
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

// finishClaim tells the claimant the outcome. The claimant alone revokes a claim that was not granted: two coordinators may
// be asked about one claim, and only the claimant knows which of them it heard. Where another claim holds the key, the
// response of its run goes along, if there is one.
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
	s.findResponse(result.Holder, done)
}

// findResponse looks for the response of a claim's run. It is kept where the claimant's controller was when the response
// came, mostly at the claim's ResponseHolder: all controllers are asked at once.
func (s *claimsService) findResponse(claim idempotency.Record, done func(*idempotency.Response)) {
	if response := s.store.Response(claim.Key, claim.Token); response != nil {
		done(response)
		return
	}
	if len(s.links.controllers) == 0 {
		done(nil)
		return
	}
	done = s.joinQuery(claim.Token, done)
	s.links.sendToControllers(peer.ResponseQueries{{Key: claim.Key, Token: claim.Token}})
	s.queries[claim.Token] = &responseQuery{deadline: s.Now() + responseQueryTimeout, pending: len(s.links.controllers),
		done: done}
}

// joinQuery lets one query serve all that wait for the same response.
func (s *claimsService) joinQuery(token idempotency.Token, done func(*idempotency.Response)) func(*idempotency.Response) {
	if q, ok := s.queries[token]; ok {
		return func(response *idempotency.Response) {
			q.done(response)
			done(response)
		}
	}
	return done
}

// handleRevocations withdraws claims: at all stores if an edge says so, here if another controller passes it on.
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

// handleResponses keeps the responses of completed operations. What a controller hands over as it shuts down is written
// without giving up, since it may be the only copy.
func (s *claimsService) handleResponses(p *remote, responses peer.Responses) {
	for _, r := range responses {
		if r.Response == nil {
			continue
		}
		r.ResponseHolder = s.Settings.IP
		s.store.Complete(r, s.Now())
		if p.edge {
			s.writer.writeClaim(r, nil)
		} else {
			s.writer.write(&storage.Batch{Claims: []idempotency.Record{r}}, nil)
		}
	}
}

func (s *claimsService) handleResponseQueries(p *remote, queries peer.ResponseQueries) {
	for _, r := range queries {
		r.Response = s.store.Response(r.Key, r.Token)
		p.link.Send(peer.ResponseReplies{r})
	}
}

func (s *claimsService) handleResponseReplies(replies peer.ResponseReplies) {
	for _, r := range replies {
		q, ok := s.queries[r.Token]
		if !ok {
			continue
		}
		if q.pending--; r.Response != nil || q.pending <= 0 {
			delete(s.queries, r.Token)
			q.done(r.Response)
		}
	}
}

// setStores lets the coordinator ask the stores of the membership in force.
func (s *claimsService) setStores() {
	m := s.members.membership()
	requests, results := s.coordinator.SetStores(s.members.ownIdentity(), m.Voters, m.Next)
	s.sendGrantRequests(requests)
	s.finishClaims(results)
}

// forgetGrants takes back what a replica granted to claims that are still open: its disk was lost, or it was voted out.
func (s *claimsService) forgetGrants(identity string) {
	s.finishClaims(s.coordinator.DiscardGrants(identity))
}

// restartCopy begins to copy the claims of the other stores from the start.
func (s *claimsService) restartCopy() { s.copiedFrom, s.nextCopy = map[string]bool{}, 0 }

// mustCopy reports whether this replica is a new voter of the change under way whose store doesn't hold the others' claims.
func (s *claimsService) mustCopy() bool {
	m, own := s.members.membership(), s.members.ownIdentity()
	return s.store.Recovering() && m.Joint() && slices.Contains(m.Next, own) && !slices.Contains(m.Voters, own)
}

// requestCopies asks the stores of the present voters for what they hold, while this replica is to become a voter.
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

// handleCopyRequest sends a new voter all claims that this store holds, once it grants nothing under the previous
// membership. One that is refused asks again.
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

// handleClaimsCopy takes over a chunk of another store. Once a majority of the previous voters is copied and durable here,
// this store grants.
func (s *claimsService) handleClaimsCopy(p *remote, m peer.ClaimsCopy) {
	current := s.members.membership()
	if !s.mustCopy() || m.Epoch != current.Epoch || m.Recovering {
		return
	}
	records := make([]idempotency.Record, len(m.Records))
	for i, r := range m.Records {
		records[i] = s.store.Import(r, s.Now())
	}
	s.writer.write(&storage.Batch{Claims: records}, nil) // durable before what says that the store is complete
	if !m.Last {
		return
	}
	s.copiedFrom[p.status.Identity] = true
	previous := consensus.Membership{Voters: current.Voters}
	if previous.HasQuorum(func(identity string) bool { return s.copiedFrom[identity] }) {
		s.finishRecovery(m.Epoch)
	}
}

// finishRecovery lets the store grant once it is durable that it is complete.
func (s *claimsService) finishRecovery(epoch uint64) {
	recovering := false
	s.writer.write(&storage.Batch{Recovering: &recovering}, func() {
		if s.members.membership().Epoch != epoch || !s.store.Recovering() {
			return // the change is over meanwhile, or this was done before
		}
		s.store.FinishRecovery()
		s.LogEvent("claims copied", "keys", s.store.Len(), "epoch", epoch)
		s.members.announceStatus()
	})
}
