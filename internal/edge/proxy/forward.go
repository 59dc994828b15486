package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/platform/apierror"
)

const (
	queueShare           = 0.2 // of the aim that a request may wait here for room
	claimShare           = 0.5 // of the time left that a claim may take
	maxClaimWait         = 1200 * time.Millisecond
	returnMargin         = 5 * time.Millisecond // kept of the deadline for the answer's way
	minAttemptTime       = 10 * time.Millisecond
	distrustDuration     = 5 * time.Second
	maxLogLinesPerSecond = 5    // lines of log a second for each kind of error
	staleRankOffset      = 1000 // below every priority
)

// errShuttingDown refuses what comes in the last moments of a process that was told to end.
var errShuttingDown = apierror.NotReady.New("this edge is ending")

// ServeHTTP takes a client's request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	now := p.now()
	p.lastRequestAt.Store(int64(now))
	if p.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	if p.rejecting.Load() {
		p.reject(w, r, errShuttingDown)
		return
	}
	tree := p.tree.Load()
	if tree == nil {
		p.reject(w, r, apierror.NotReady.New("no configuration yet"))
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") { // a whole URI, which servers have to take, too
		path = r.URL.EscapedPath()
	}
	route := tree.Find(r.Host, path)
	if route == nil {
		p.reject(w, r, apierror.NoRoute.New("no route for %s%s", r.Host, path))
		return
	}
	t, err := p.readRequest(w, r, tree, route, now)
	if t != nil {
		defer func() { p.bodyMemory.release(t.bodyBytes) }()
	}
	if err != nil {
		p.reject(w, r, err)
		return
	}
	if route.Kind == config.Keyed {
		p.serveKeyed(w, t)
		return
	}
	out := p.forward(t)
	p.respond(w, t, out)
}

// serveKeyed runs an operation at most once: claimed before the first byte leaves, kept once it is answered.
func (p *Proxy) serveKeyed(w http.ResponseWriter, t *clientRequest) {
	key := idempotency.KeyOf(strings.ToLower(t.r.Host), t.r.Header.Get("X-Operation-Key"))
	left := t.deadline - p.now()
	token, ruling := p.acquireClaim(key, time.Duration(float64(t.latencyTarget)*queueShare), min(maxClaimWait, time.Duration(float64(left)*claimShare)))
	switch ruling.Outcome {
	case idempotency.OutcomeUndecided:
		p.reject(w, t.r, apierror.Unclaimed.New("the key could not be claimed"))
		return
	case idempotency.OutcomeConflict:
		p.replayResponse(w, t, ruling.Response)
		return
	}
	out := p.forward(t)
	switch t.retries.ClaimAction(out.cause) {
	case attempt.CompleteClaim:
		p.completeClaim(key, token, storedResponse(out))
	case attempt.RevokeClaim:
		p.revokeClaim(key, token)
	case attempt.KeepClaim: // repeats are told that the operation is at work until its window is over
	}
	p.respond(w, t, out)
}

// replayResponse answers a request whose key was claimed before.
func (p *Proxy) replayResponse(w http.ResponseWriter, t *clientRequest, first *idempotency.Response) {
	if first == nil {
		p.reject(w, t.r, apierror.AtWork.New("the operation is at work"))
		return
	}
	header := http.Header{}
	for name, value := range first.Headers {
		header.Set(name, value)
	}
	p.respond(w, t, attemptResult{cause: attempt.Answered, status: first.Status, header: header, body: first.Body})
}

// storedResponse is what repeats of an operation are told.
func storedResponse(out attemptResult) *idempotency.Response {
	a := &idempotency.Response{Status: out.status, Headers: map[string]string{}, Body: out.body}
	for _, name := range []string{"X-Server-Seal", "Content-Type"} {
		if v := out.header.Get(name); v != "" {
			a.Headers[name] = v
		}
	}
	return a
}

// forward sends a request to servers until one answers, or no further try is allowed.
func (p *Proxy) forward(t *clientRequest) attemptResult {
	budget := p.countRequest(t.service)
	told := attemptResult{cause: attempt.NoCapacity, err: fmt.Errorf("no room at %s", t.service)}
	t.admission = p.reservations.enter(p, t)
	defer p.reservations.release(p, t.admission, t.service)
	way := &t.retries
	way.Safe, way.MaxSent = t.route.Kind == config.Safe, t.route.MaxServers
	for {
		if t.deadline-p.now()-returnMargin < minAttemptTime {
			if way.Sent == 0 {
				return attemptResult{cause: attempt.NoTime, err: errDeadlineTooNear}
			}
			return told
		}
		u := p.acquireUpstream(t, way.Sent > 0)
		if u == nil {
			if way.Paid {
				p.refundRetry(budget)
			}
			if way.Sent == 0 {
				told.cause = attempt.NoCapacity
			}
			return told
		}
		out := p.attemptAt(t, u)
		if way.Supersedes(out.cause) {
			told = out
		}
		held := t.bodyTail == nil || !t.bodyTail.started.Load()
		next := way.AfterAttempt(out.cause, held)
		if next == attempt.Stop || p.now() > t.deadline-minAttemptTime {
			return told
		}
		if next == attempt.RetryPaid {
			if !p.spendRetry(budget, t.admission) {
				return told
			}
			way.Paid = true
		}
	}
}

// errDeadlineTooNear says that the deadline is too near for any server.
var errDeadlineTooNear = errors.New("no time left")

// attemptAt is one try with what is counted of it.
func (p *Proxy) attemptAt(t *clientRequest, u *upstream) attemptResult {
	t.attempted = append(t.attempted, u)
	out := p.attemptOnce(t, u)
	p.metrics.Tries.WithLabelValues(out.cause.Consequence().Outcome.String()).Inc()
	p.queue.wake(t.service)
	return out
}

// acquireUpstream finds a server with room, waiting a little for one.
func (p *Proxy) acquireUpstream(t *clientRequest, further bool) *upstream {
	if u := p.tryPick(t); u != nil || further || !p.serves(t.service) {
		return u // without any server there is nothing to wait for
	}
	limit, rank := min(time.Duration(float64(t.latencyTarget)*queueShare), (t.deadline-p.now())/4), t.route.Priority
	if t.stale { // it comes after all that can still be in time, and has nothing to lose by waiting
		limit, rank = (t.deadline-p.now())/3, rank+staleRankOffset
	}
	if p.reservations.hasPriority(t.admission) {
		rank -= bookedRankOffset
	}
	w := p.queue.enqueue(t.service, rank, p.now())
	defer p.queue.remove(t.service, w)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-w.wake:
			if u := p.tryPick(t); u != nil {
				return u
			}
		case <-timer.C:
			return p.tryPick(t)
		case <-p.abort:
			return nil
		}
	}
}

// tryPick picks a server, if the request may have room at its service.
func (p *Proxy) tryPick(t *clientRequest) *upstream {
	if !p.reservations.admit(t.admission, p.now()) {
		return nil
	}
	u := p.pick(t.service, t.attempted)
	if u == nil && t.retries.Sent == 0 {
		p.reservations.undoAdmit(t.admission)
	}
	return u
}
