package controller

import (
	"slices"
	"strings"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

const (
	// responseQueryTimeout is how long to wait for the other controllers' replies to a response query.
	responseQueryTimeout = 300 * time.Millisecond
	// missingResponseLogInterval and maxMissingResponseLogs limit the log lines about responses that were not found: repeats
	// of operations that are still running are ordinary.
	missingResponseLogInterval = time.Second
	maxMissingResponseLogs     = 20
	// responseMemoryShare and responseDiskShare limit the responses' share of the machine's memory and disk. Space freed
	// in the file is reused only once no older transaction needs it: in the worst case a quarter of the disk fills all of it.
	responseMemoryShare = 0.25
	responseDiskShare   = 0.25
	// replicaShare limits the part of the machine's memory and disk for responses that other controllers received. It is less
	// than that of the own ones, whose loss would leave no copy at all.
	replicaShare = 0.04
)

// responseService keeps the responses of keyed operations for repeats: it replicates them, and looks them up here and at other
// controllers.
type responseService struct {
	*node.Env
	writer      *writer
	links       *linkTable
	store       *idempotency.Store
	replication *responseReplication
	backfill    *responseBackfill
	queries     map[idempotency.Token]*responseQuery
	missing     missingResponseLog
}

// responseQuery is a pending query for a response that another controller may keep.
type responseQuery struct {
	claim    idempotency.Record
	byKey    bool // if there is none, any response of the key will do
	keyAsked bool // the controllers were asked for the key
	deadline time.Duration
	asked    []string // IPs of the controllers that were asked
	replied  []string // IPs of those that replied without a response
	done     func(*idempotency.Response)
}

func newResponseService(env *node.Env, w *writer, links *linkTable, members membershipState,
	store *idempotency.Store) *responseService {
	s := &responseService{Env: env, writer: w, links: links, store: store, queries: map[idempotency.Token]*responseQuery{}}
	s.replication = newResponseReplication(env, w, links, members, store)
	s.backfill = &responseBackfill{Env: env, writer: w, links: links, members: members, store: store}
	if !store.Recovering() {
		s.backfill.start() // the process may have ended before an earlier backfill did
	}
	return s
}

// maxResponseBytes returns the limit for the stored responses of keyed operations, in memory and on disk, in bytes.
func maxResponseBytes(env *node.Env) int64 {
	megabytes := responseMemoryShare * env.Settings.Limits.MemoryMB
	if disk := env.Settings.Limits.DiskMB; disk > 0 {
		megabytes = min(megabytes, responseDiskShare*disk)
	}
	return int64(megabytes * (1 << 20))
}

// maxReplicaBytes returns the limit for replicas of other controllers' responses, in memory and on disk, in bytes.
func maxReplicaBytes(env *node.Env) int64 {
	return int64(float64(maxResponseBytes(env)) * replicaShare / responseMemoryShare)
}

// handleMessage handles a peer's message about responses.
func (s *responseService) handleMessage(p *remote, m peer.Message) {
	switch m := m.(type) {
	case peer.Responses:
		s.handleResponses(p, m)
	case peer.ResponseCopies:
		s.replication.handleCopies(p, m)
	case peer.ResponseCopyReplies:
		s.replication.handleReplies(p, m)
	case peer.ResponseQueries:
		s.handleQueries(p, m)
	case peer.ResponseReplies:
		s.handleReplies(p, m)
	case peer.KeyQueries:
		s.handleKeyQueries(p, m)
	case peer.KeyReplies:
		s.handleKeyReplies(p, m)
	}
}

func (s *responseService) tick(now time.Duration) {
	s.replication.tick(now)
	s.backfill.step(now)
	s.expireQueries(now)
}

// handleResponses replicates the responses of operations that an edge completed, and stores those that a controller hands
// over while it shuts down. The latter may be the only copies, so their writes are retried until they succeed.
func (s *responseService) handleResponses(p *remote, responses peer.Responses) {
	for _, r := range responses {
		if r.Response == nil {
			continue
		}
		s.count(metricReceived)
		if p.edge {
			s.replication.start(p, r)
			continue
		}
		r.ResponseHolder = s.Settings.IP
		s.store.Complete(r, s.Now())
		s.writer.write(&storage.Batch{Claims: []idempotency.Record{r}}, nil)
	}
}

// find looks up the response of a claim that holds a key, and calls done with it, or with nil if there is none. A majority of
// the claim stores holds it, but not always this one, so all controllers are asked at once. If it isn't known that a majority
// granted the claim, another claim of the key may have run instead: then its response is looked for as well.
func (s *responseService) find(claim idempotency.Record, granted bool, done func(*idempotency.Response)) {
	if response := s.store.Response(claim.Key, claim.Token); response != nil {
		s.count(metricFoundHere)
		done(response)
		return
	}
	s.startQuery(&responseQuery{claim: claim, byKey: !granted, done: s.joinQuery(claim.Token, done)})
}

// startQuery asks all controllers for the response of a claim.
func (s *responseService) startQuery(q *responseQuery) {
	q.ask(s.links, s.Now())
	s.queries[q.claim.Token] = q
	s.links.sendToControllers(peer.ResponseQueries{{Key: q.claim.Key, Token: q.claim.Token}})
	s.continueQuery(q, nil)
}

// startKeyQuery asks all controllers for a response of the key, after none was found for the claim.
func (s *responseService) startKeyQuery(q *responseQuery) {
	q.byKey, q.keyAsked = false, true
	if ran, ok := s.store.ResponseOfKey(q.claim.Key); ok {
		s.finishQuery(q, ran.Response)
		return
	}
	q.ask(s.links, s.Now())
	s.links.sendToControllers(peer.KeyQueries{{Key: q.claim.Key, Token: q.claim.Token}})
	s.continueQuery(q, nil)
}

// ask records that all linked controllers are asked.
func (q *responseQuery) ask(links *linkTable, now time.Duration) {
	q.asked, q.replied, q.deadline = nil, nil, now+responseQueryTimeout
	for ip := range links.controllers {
		q.asked = append(q.asked, ip)
	}
}

// joinQuery returns a callback that also completes a pending query for the same response, so that one query serves all
// callers.
func (s *responseService) joinQuery(token idempotency.Token,
	done func(*idempotency.Response)) func(*idempotency.Response) {
	if q, ok := s.queries[token]; ok {
		return func(response *idempotency.Response) {
			q.done(response)
			done(response)
		}
	}
	return done
}

// handleQueries answers another controller's queries.
func (s *responseService) handleQueries(p *remote, queries peer.ResponseQueries) {
	for _, r := range queries {
		r.Response = s.store.Response(r.Key, r.Token)
		p.link.Send(peer.ResponseReplies{r})
	}
}

// handleKeyQueries answers the first of another controller's queries for keys, as many as fit into a frame.
func (s *responseService) handleKeyQueries(p *remote, queries peer.KeyQueries) {
	replies := make([]idempotency.Record, len(queries))
	for i, r := range queries {
		replies[i] = idempotency.Record{Key: r.Key, Token: r.Token}
		if ran, ok := s.store.ResponseOfKey(r.Key); ok {
			replies[i] = ran
		}
	}
	p.link.Send(peer.KeyReplies(chunkResponses(replies, maxReplicationFrameBytes)[0]))
}

// handleReplies handles the replies to queries for the responses of claims.
func (s *responseService) handleReplies(p *remote, replies peer.ResponseReplies) {
	for _, r := range replies {
		if q, ok := s.queries[r.Token]; ok && !q.keyAsked {
			q.replied = append(q.replied, p.ip)
			s.continueQuery(q, r.Response)
		}
	}
}

// handleKeyReplies handles the replies to queries for the responses of keys: those of a backfill, or of a single key.
func (s *responseService) handleKeyReplies(p *remote, replies peer.KeyReplies) {
	s.backfill.handleReplies(p, replies)
	for _, q := range s.queries {
		if q.keyAsked && len(replies) == 1 && replies[0].Key == q.claim.Key {
			q.replied = append(q.replied, p.ip)
			s.continueQuery(q, replies[0].Response)
		}
	}
}

// continueQuery completes a query if a response was found, or if all controllers have replied without one.
func (s *responseService) continueQuery(q *responseQuery, response *idempotency.Response) {
	switch {
	case response != nil:
		s.finishQuery(q, response)
	case len(q.replied) >= len(q.asked):
		s.endQuery(q)
	}
}

// endQuery ends a query without a response, unless the key is to be asked for, too.
func (s *responseService) endQuery(q *responseQuery) {
	if q.byKey {
		s.startKeyQuery(q)
		return
	}
	s.finishQuery(q, nil)
}

// expireQueries ends queries that timed out.
func (s *responseService) expireQueries(now time.Duration) {
	for _, q := range s.queries {
		if now > q.deadline {
			s.endQuery(q)
		}
	}
}

// finishQuery completes a query with the response that was found, or with nil.
func (s *responseService) finishQuery(q *responseQuery, response *idempotency.Response) {
	delete(s.queries, q.claim.Token)
	if response != nil {
		s.count(metricFoundElsewhere)
	} else {
		s.count(metricNotFound)
		s.logMissing(q)
	}
	q.done(response)
}

// logMissing logs where a response was looked for, unless too many such lines were logged. Token.Incarnation is that of the
// edge that ran the operation, or still runs it.
func (s *responseService) logMissing(q *responseQuery) {
	if !s.missing.allow(s.Now()) {
		return
	}
	slices.Sort(q.asked)
	slices.Sort(q.replied)
	s.LogEvent("response not found", "key", q.claim.Key, "edge_incarnation", q.claim.Token.Incarnation,
		"sequence", q.claim.Token.Sequence, "holder", q.claim.ResponseHolder, "asked", strings.Join(q.asked, " "),
		"replied", strings.Join(q.replied, " "))
}

// missingResponseLog limits the number of log lines in each missingResponseLogInterval.
type missingResponseLog struct {
	intervalStart time.Duration
	logged        int
}

// allow reports whether another line may be logged now, and counts it.
func (l *missingResponseLog) allow(now time.Duration) bool {
	if now-l.intervalStart >= missingResponseLogInterval {
		l.intervalStart, l.logged = now, 0
	}
	l.logged++
	return l.logged <= maxMissingResponseLogs
}

// responseMetric is the label of a counted event.
type responseMetric string

// The counted events of responses.
const (
	metricReceived       responseMetric = "received"
	metricFoundHere      responseMetric = "found_here"
	metricFoundElsewhere responseMetric = "found_elsewhere"
	metricNotFound       responseMetric = "not_found"
)

func (s *responseService) count(event responseMetric) {
	s.Metrics.Responses.WithLabelValues(string(event)).Inc()
}
