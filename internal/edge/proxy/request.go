package proxy

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/platform/apierror"
)

// Headers of the users' protocol.
const (
	headerAttemptID        = "X-Attempt-Id"
	headerDeadline         = "X-Deadline-Ms"
	headerOperationKey     = "X-Operation-Key"
	headerExpectedInstance = "X-Expected-Instance"
	headerNotRun           = "X-Not-Run"
	headerServerSeal       = "X-Server-Seal"
	headerServerLoad       = "X-Server-Load"
)

// errClientLeft says that the client closed its connection before its request was answered.
var errClientLeft = errors.New("the client left")

// clientRequest is a request of a client while it is served. It belongs to the goroutine that serves it.
type clientRequest struct {
	http          *http.Request
	active        *activeRequest
	id            string // of the client's attempt
	route         *config.Route
	service       string        // one of the route's, drawn by weight
	deadline      time.Duration // on the steady clock
	latencyTarget time.Duration
	stale         bool // the client has waited for longer than the latency target: fresh requests go first

	body      []byte    // or its beginning, if there is a tail
	bodyTail  *bodyTail // nil: the body is buffered completely
	length    int64     // of the complete body; -1: it comes in chunks
	bodyBytes int64     // reserved of the memory budget

	retries   attempt.Retries
	attempted []*upstream
	admission *admission // to booked capacity; nil: no reservation is in force at the service
}

// timeLeft is how long the request may still take.
func (req *clientRequest) timeLeft(now time.Duration) time.Duration { return req.deadline - now }

// clientLeft reports whether the client has closed its connection. Net/http notices that while the request is served, once
// its body was read.
func (req *clientRequest) clientLeft() bool { return req.http.Context().Err() != nil }

// unsafe reports whether the request may run only once.
func (req *clientRequest) unsafe() bool { return req.route.Kind != config.Safe }

// readRequest reads a request and checks what its route needs. The request it gives with an error has only its reserved
// memory to be released; it is nil if there is none.
func (p *Proxy) readRequest(w http.ResponseWriter, r *http.Request, tree *config.Tree, route *config.Route,
	now time.Duration) (*clientRequest, error) {
	req := &clientRequest{http: r, id: r.Header.Get(headerAttemptID), route: route, latencyTarget: seconds(route.LatencyTarget)}
	if req.id == "" {
		return nil, apierror.Malformed.New("X-Attempt-Id is missing")
	}
	if route.Kind == config.Keyed && r.Header.Get(headerOperationKey) == "" {
		return nil, apierror.Malformed.New("X-Operation-Key is missing on a keyed route")
	}
	if err := req.readDeadline(now); err != nil {
		return nil, err
	}
	if !p.shutdown.admits(now, req.deadline) {
		return nil, errShuttingDown
	}
	if r.Body != nil && r.ContentLength != 0 {
		if err := p.bufferBody(w, req, tree.Config.Limits.MaxBodyBytes); err != nil {
			return req, err
		}
		if !p.shutdown.admits(p.Now(), req.deadline) { // the body took its time
			return req, errShuttingDown
		}
	}
	req.deadline = min(req.deadline, p.shutdown.respondBy())
	req.service = drawService(route)
	return req, nil
}

// readDeadline takes the route's deadline, or the client's if that is nearer.
func (req *clientRequest) readDeadline(now time.Duration) error {
	req.deadline = now + seconds(req.route.Deadline)
	text := req.http.Header.Get(headerDeadline)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil || !(millis >= 0) { // not a number is no time either
		return apierror.Malformed.New("X-Deadline-Ms %q is no time", text)
	}
	millis = min(millis, req.route.Deadline*1000) // a longer time need not fit into a duration
	req.deadline = now + time.Duration(millis*float64(time.Millisecond))
	req.stale = req.route.Deadline-millis/1000 > req.route.LatencyTarget
	return nil
}

// drawService draws one of a route's services by their weights.
func drawService(route *config.Route) string {
	shares := route.Shares()
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	at := rand.Float64() * total
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}
