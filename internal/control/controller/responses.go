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
		s.backfill.handleReplies(p, m)
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

// find looks up the response of a claim's run and calls done with it, or with nil if there is none. A majority of the claim
// stores holds it, but not always this one, so all controllers are asked at once.
func (s *responseService) find(claim idempotency.Record, done func(*idempotency.Response)) {
	if response := s.store.Response(claim.Key, claim.Token); response != nil {
		s.count(metricFoundHere)
		done(response)
		return
	}
	query := &responseQuery{claim: claim, deadline: s.Now() + responseQueryTimeout, done: s.joinQuery(claim.Token, done)}
	for ip := range s.links.controllers {
		query.asked = append(query.asked, ip)
	}
	if len(query.asked) == 0 {
		s.finishQuery(query, nil)
		return
	}
	s.queries[claim.Token] = query
	s.links.sendToControllers(peer.ResponseQueries{{Key: claim.Key, Token: claim.Token}})
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

// handleQueries answers the first of another controller's queries, as many as fit into a frame.
func (s *responseService) handleQueries(p *remote, queries peer.ResponseQueries) {
	replies := make([]idempotency.Record, len(queries))
	for i, r := range queries {
		r.Response = s.store.Response(r.Key, r.Token)
		replies[i] = r
	}
	p.link.Send(peer.ResponseReplies(chunkResponses(replies, maxReplicationFrameBytes)[0]))
}

// handleReplies completes the queries to which a response was found, or that all controllers answered.
func (s *responseService) handleReplies(p *remote, replies peer.ResponseReplies) {
	for _, r := range replies {
		q, ok := s.queries[r.Token]
		if !ok {
			continue
		}
		q.replied = append(q.replied, p.ip)
		if r.Response != nil || len(q.replied) >= len(q.asked) {
			s.finishQuery(q, r.Response)
		}
	}
}

// expireQueries completes queries that timed out, without a response.
func (s *responseService) expireQueries(now time.Duration) {
	for _, q := range s.queries {
		if now > q.deadline {
			s.finishQuery(q, nil)
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
