package controller

import (
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

const (
	// replicationHedgeDelay is how long the first claim stores may take to confirm a response before the others get it as
	// well. They write it with other records, after maxWriteDelay at most.
	replicationHedgeDelay = 800 * time.Millisecond
	// replicationTimeout is how long a response may stay unconfirmed. The edge sends it again.
	replicationTimeout = 3 * time.Second
	// replicationInterval is how often responses are sent to other stores, and confirmationInterval how often replies and
	// confirmations are sent, so that many share a frame: frames between zones are expensive.
	replicationInterval  = 100 * time.Millisecond
	confirmationInterval = 200 * time.Millisecond
	// declineRetryDelay is how long a store that declined a response beyond its limit is sent no others.
	declineRetryDelay = time.Second
	// maxReplicationFrameBytes is the size of the responses in a frame, unless one alone is larger.
	maxReplicationFrameBytes = 256 << 10
)

// responseReplication makes the responses of this controller's edges durable at a majority of the claim stores, as far as these
// have room, and confirms them to the edges then. It follows the rules of claims: during a membership change a response needs
// majorities of both sets of voters, and a store rejects a request under an older membership.
type responseReplication struct {
	*node.Env
	writer      *writer
	links       *linkTable
	members     membershipState
	store       *idempotency.Store
	coordinator *idempotency.Coordinator

	edges map[idempotency.Token]*remote // links that receive the confirmation

	nextCopies    time.Duration
	copies        map[string][]idempotency.Record // to be sent, by identity of the replica
	declinedUntil map[string]time.Duration        // by identity of the replica: its limit was reached
	nextReplies   time.Duration
	replies       map[*remote][]peer.GrantReply   // to be sent
	confirmations map[*remote][]idempotency.Token // to be sent
}

func newResponseReplication(env *node.Env, w *writer, links *linkTable, members membershipState,
	store *idempotency.Store) *responseReplication {
	return &responseReplication{Env: env, writer: w, links: links, members: members, store: store,
		coordinator: idempotency.NewCoordinator(nil, replicationHedgeDelay, replicationTimeout),
		edges:       map[idempotency.Token]*remote{}, copies: map[string][]idempotency.Record{},
		declinedUntil: map[string]time.Duration{}, replies: map[*remote][]peer.GrantReply{},
		confirmations: map[*remote][]idempotency.Token{}}
}

// start replicates the response of a claim that an edge sent. While no voters are known it does nothing: the edge sends the
// response again.
func (s *responseReplication) start(edge *remote, r idempotency.Record) {
	if len(s.members.membership().Voters) == 0 {
		return
	}
	r.ResponseHolder = s.Settings.IP
	s.edges[r.Token] = edge
	s.sendCopies(s.coordinator.Start(r, s.Now()))
}

// sendCopies stores a response in the own store, and queues it for the others.
func (s *responseReplication) sendCopies(requests []idempotency.GrantRequest) {
	for _, request := range requests {
		if request.To != s.members.ownIdentity() {
			s.copies[request.To] = append(s.copies[request.To], request.Record)
			continue
		}
		token := request.Record.Token
		s.storeCopy(request.Record, s.members.membership().Epoch, func(reply idempotency.GrantReply) {
			s.handleReply(request.To, token, reply)
		})
	}
}

// storeCopy stores a response and calls done with ReplyGranted once it is durable, or with the reason why it will not be:
// ReplyConflict if it is beyond a limit.
func (s *responseReplication) storeCopy(r idempotency.Record, epoch uint64, done func(idempotency.GrantReply)) {
	if epoch < s.members.durableEpoch() {
		done(idempotency.ReplyStaleEpoch)
		return
	}
	if s.store.Declines(r) {
		done(idempotency.ReplyConflict)
		return
	}
	stored, durable := s.store.StoreResponse(r, s.Now())
	switch {
	case !stored:
		done(idempotency.ReplyUnavailable)
		return
	case durable:
		done(idempotency.ReplyGranted)
		return
	}
	s.writer.writeResponse(r, func(reply idempotency.GrantReply) {
		if reply == idempotency.ReplyGranted {
			s.store.MarkResponseDurable(r.Key, r.Token)
		}
		done(reply)
	})
}

// handleCopies stores the responses that another controller replicates.
func (s *responseReplication) handleCopies(p *remote, m peer.ResponseCopies) {
	for _, r := range m.Records {
		if r.Response == nil {
			continue
		}
		s.storeCopy(r, m.Epoch, func(reply idempotency.GrantReply) {
			s.replies[p] = append(s.replies[p], peer.GrantReply{Token: r.Token, Reply: reply})
		})
	}
}

// handleReplies handles the replies of another claim store.
func (s *responseReplication) handleReplies(p *remote, replies peer.ResponseCopyReplies) {
	for _, reply := range replies {
		if reply.Reply == idempotency.ReplyConflict {
			s.declinedUntil[p.status.Identity] = s.Now() + declineRetryDelay
		}
		s.handleReply(p.status.Identity, reply.Token, reply.Reply)
	}
}

func (s *responseReplication) handleReply(from string, token idempotency.Token, reply idempotency.GrantReply) {
	requests, result := s.coordinator.HandleReply(from, token, reply, idempotency.Record{})
	s.sendCopies(requests)
	if result != nil {
		s.finish(*result)
	}
}

// finish queues the confirmation of a response that is durable at a majority, or that is beyond the limits of too many stores:
// then sending it again would not help. Without a confirmation the edge sends the response again.
func (s *responseReplication) finish(result idempotency.Result) {
	edge := s.edges[result.Token]
	delete(s.edges, result.Token)
	s.Metrics.Responses.WithLabelValues(replicationMetrics[result.Outcome]).Inc()
	if edge != nil && result.Outcome != idempotency.OutcomeUndecided {
		s.confirmations[edge] = append(s.confirmations[edge], result.Token)
	}
}

// replicationMetrics are the labels of a replication's outcomes.
var replicationMetrics = map[idempotency.Outcome]string{idempotency.OutcomeGranted: "confirmed",
	idempotency.OutcomeUndecided: "unconfirmed", idempotency.OutcomeConflict: "over_limit"}

func (s *responseReplication) finishAll(results []idempotency.Result) {
	for _, result := range results {
		s.finish(result)
	}
}

// setStores sets the claim stores whose confirmations count to those of the current membership.
func (s *responseReplication) setStores() {
	m := s.members.membership()
	requests, results := s.coordinator.SetStores(s.members.ownIdentity(), m.Voters, m.Next)
	s.sendCopies(requests)
	s.finishAll(results)
}

// forgetConfirmations discards a replica's confirmations of responses that no majority has confirmed yet.
func (s *responseReplication) forgetConfirmations(identity string) {
	s.finishAll(s.coordinator.DiscardGrants(identity))
}

func (s *responseReplication) tick(now time.Duration) {
	if now >= s.nextCopies {
		s.nextCopies = now + replicationInterval
		requests, results := s.coordinator.Tick(now)
		s.sendCopies(requests)
		s.finishAll(results)
		s.flushCopies()
	}
	if now >= s.nextReplies {
		s.nextReplies = now + confirmationInterval
		s.flushReplies()
	}
}

// flushCopies sends the responses that were queued for other stores since the last time.
func (s *responseReplication) flushCopies() {
	copies := s.copies
	s.copies = map[string][]idempotency.Record{}
	for identity, records := range copies {
		s.sendCopiesTo(identity, records)
	}
}

// flushReplies sends the replies and confirmations that were queued since the last time.
func (s *responseReplication) flushReplies() {
	for p, replies := range s.replies {
		p.link.Send(peer.ResponseCopyReplies(replies))
	}
	for edge, tokens := range s.confirmations {
		edge.link.Send(peer.ResponseConfirmations(tokens))
	}
	clear(s.replies)
	clear(s.confirmations)
}

// sendCopiesTo sends responses to a replica. If it isn't linked, the coordinator chooses other stores.
func (s *responseReplication) sendCopiesTo(identity string, records []idempotency.Record) {
	p := s.links.replica(identity)
	switch {
	case p == nil:
		s.failCopies(identity, records, idempotency.ReplyUnavailable)
		return
	case s.Now() < s.declinedUntil[identity]:
		s.failCopies(identity, records, idempotency.ReplyConflict)
		return
	}
	epoch := s.members.membership().Epoch
	for _, chunk := range chunkResponses(records, maxReplicationFrameBytes) {
		p.link.Send(peer.ResponseCopies{Epoch: epoch, Records: chunk})
	}
}

// failCopies handles responses that can't be sent to a replica like its reply.
func (s *responseReplication) failCopies(identity string, records []idempotency.Record, reply idempotency.GrantReply) {
	for _, r := range records {
		s.handleReply(identity, r.Token, reply)
	}
}

// chunkResponses splits records into chunks whose responses take at most maxBytes, unless one alone is larger.
func chunkResponses(records []idempotency.Record, maxBytes int) (chunks [][]idempotency.Record) {
	start, bytes := 0, 0
	for i, r := range records {
		size := 0
		if r.Response != nil {
			size = len(r.Response.Body)
		}
		if bytes+size > maxBytes && i > start {
			chunks = append(chunks, records[start:i])
			start, bytes = i, 0
		}
		bytes += size
	}
	if start < len(records) {
		chunks = append(chunks, records[start:])
	}
	return chunks
}
