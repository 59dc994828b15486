package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/edge/retrybudget"
	"mulleinwood/internal/platform/apierror"
)

const (
	// queueShare is the fraction of the latency target that a request may wait in the queue for a slot at a server.
	queueShare = 0.2
	// returnMargin is subtracted from the deadline so that the response reaches the client in time.
	returnMargin = 5 * time.Millisecond
	// minAttemptTime is the least time left at which an attempt is started.
	minAttemptTime = 10 * time.Millisecond

	// Offsets added to a route's priority (stale) or subtracted from it (reserved) to get the rank in the queue; the lowest
	// rank is served first.
	staleRankOffset    = 1000
	reservedRankOffset = 1000
)

// ServeHTTP implements http.Handler for the clients' requests.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := p.shutdown
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	now := p.Now()
	s.lastRequestAt.Store(int64(now))
	active, end := p.active.begin(r, now)
	defer end()
	if s.requested() {
		w.Header().Set("Connection", "close")
	}
	if s.exiting.Load() {
		p.reject(w, r, errShuttingDown)
		return
	}
	tree := p.tree.Load()
	if tree == nil {
		p.reject(w, r, apierror.NotReady.New("no configuration yet"))
		return
	}
	route, err := findRoute(tree, r)
	if err != nil {
		p.reject(w, r, err)
		return
	}
	req, err := p.readRequest(w, r, tree, route, now)
	if req != nil {
		req.active = active
		defer func() { p.bodyMemory.release(req.bodyBytes) }()
	}
	switch {
	case err != nil:
		p.reject(w, r, err)
	case route.Kind == config.Keyed:
		p.serveKeyed(w, req)
	default:
		p.respond(w, req, p.forward(req))
	}
}

// findRoute returns the route for a request's host and path.
func findRoute(tree *config.Tree, r *http.Request) (*config.Route, error) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") { // an absolute URI, which HTTP servers must accept
		path = r.URL.EscapedPath()
	}
	tenant, err := config.TenantOf(r.Host)
	if err != nil {
		return nil, err
	}
	route := tree.FindTenant(tenant, path)
	if route == nil {
		return nil, apierror.NoRoute.New("no route for %s%s", r.Host, path)
	}
	return route, nil
}

// scale returns d multiplied by share.
func scale(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

// errDeadlineTooNear is returned if the time left is too short for an attempt at any server.
var errDeadlineTooNear = errors.New("no time left")

// forward sends a request to one server after another until one responds or no retry is allowed.
func (p *Proxy) forward(req *clientRequest) attemptResult {
	budget := p.traffic.countRequest(req.service)
	req.admission = p.reservations.enter(req.route, req.service)
	defer p.reservations.leave(req.admission, req.service)
	retries := &req.retries
	retries.Safe, retries.MaxServers = req.route.Kind == config.Safe, req.route.MaxServers
	result := attemptResult{cause: attempt.NoCapacity, err: fmt.Errorf("no capacity at %s", req.service)}
	for {
		if cause, err := p.mustStop(req); err != nil {
			if retries.SentAttempts == 0 {
				return attemptResult{cause: cause, err: err}
			}
			return result
		}
		u := p.acquireUpstream(req)
		if u == nil {
			if retries.Paid {
				p.traffic.refundRetry(budget)
			}
			switch {
			case retries.SentAttempts == 0 && req.clientLeft():
				return attemptResult{cause: attempt.ClientLeft, err: errClientLeft}
			case retries.SentAttempts == 0:
				result.cause = attempt.NoCapacity
			}
			return result
		}
		last := p.attemptAt(req, u)
		if retries.Supersedes(last.cause) {
			result = last
		}
		if !p.mayRetry(req, last.cause, budget) {
			return result
		}
	}
}

// mustStop returns the reason why no further attempt may be started, or a nil error if one may.
func (p *Proxy) mustStop(req *clientRequest) (attempt.Cause, error) {
	switch {
	case req.clientLeft():
		return attempt.ClientLeft, errClientLeft
	case req.timeLeft(p.Now())-returnMargin < minAttemptTime:
		return attempt.DeadlineTooNear, errDeadlineTooNear
	}
	return 0, nil
}

// mayRetry reports whether another server may be tried after an attempt that ended with cause. It spends a retry of the
// budget if the request may have reached a server already.
func (p *Proxy) mayRetry(req *clientRequest, cause attempt.Cause, budget *retrybudget.Budget) bool {
	next := req.retries.AfterAttempt(cause, req.bodyTail.resendable())
	if next == attempt.Stop || req.clientLeft() || p.shutdown.work.Err() != nil || p.Now() > req.deadline-minAttemptTime {
		return false
	}
	if next == attempt.RetryPaid {
		req.retries.Paid = p.traffic.spendRetry(budget, req.admission)
		return req.retries.Paid
	}
	return true
}

// attemptAt makes one attempt and counts its outcome.
func (p *Proxy) attemptAt(req *clientRequest, u *upstream) attemptResult {
	req.attempted = append(req.attempted, u)
	req.active.setStage(stageAtServer)
	result := p.attemptOnce(req, u)
	p.Metrics.Attempts.WithLabelValues(result.cause.Consequence().Outcome.String()).Inc()
	p.queue.wake(req.service)
	return result
}

// acquireUpstream reserves a slot at a server. Before the first attempt it waits in the queue for a short time, or until the
// client leaves. It returns nil if no slot becomes free.
func (p *Proxy) acquireUpstream(req *clientRequest) *upstream {
	retry := req.retries.SentAttempts > 0
	if u := p.tryPick(req); u != nil || retry || !p.upstreams.serves(req.service) {
		return u // without any server, waiting is pointless
	}
	req.active.setStage(stageQueued)
	limit, rank := p.queueLimits(req)
	w := p.queue.enqueue(req.service, rank)
	defer p.queue.remove(req.service, w)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-w.wake:
			if u := p.tryPick(req); u != nil {
				return u
			}
		case <-timer.C:
			return p.tryPick(req)
		case <-req.http.Context().Done():
			return nil
		case <-p.shutdown.work.Done():
			return nil
		}
	}
}

// queueLimits returns how long a request may wait for a server, and its rank in the queue. A stale request ranks behind all
// that can still meet the latency target, and may wait longer, since it has missed the target anyway.
func (p *Proxy) queueLimits(req *clientRequest) (limit time.Duration, rank int) {
	left := req.timeLeft(p.Now())
	limit, rank = min(scale(req.latencyTarget, queueShare), left/4), req.route.Priority
	if req.stale {
		limit, rank = left/3, rank+staleRankOffset
	}
	if p.reservations.hasPriority(req.admission) {
		rank -= reservedRankOffset
	}
	return limit, rank
}

// tryPick picks a server and reserves a slot there if the service's reservations admit the request. It returns nil if they
// don't or no server has a free slot.
func (p *Proxy) tryPick(req *clientRequest) *upstream {
	if !p.reservations.admit(req.admission) {
		return nil
	}
	u := p.upstreams.pick(req.service, req.attempted)
	if u == nil && req.retries.SentAttempts == 0 {
		p.reservations.undoAdmit(req.admission)
	}
	return u
}
