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

// Headers of the protocol between clients, edges and servers.
const (
	headerAttemptID        = "X-Attempt-Id"
	headerDeadline         = "X-Deadline-Ms"
	headerOperationKey     = "X-Operation-Key"
	headerExpectedInstance = "X-Expected-Instance"
	headerNotRun           = "X-Not-Run"
	headerServerSeal       = "X-Server-Seal"
	headerServerLoad       = "X-Server-Load"
)

// errClientLeft is returned if the client closed its connection before its request was answered.
var errClientLeft = errors.New("the client left")

// clientRequest is a client's request in progress. It is used only by the goroutine that serves it.
type clientRequest struct {
	http          *http.Request
	active        *activeRequest
	id            string // the client's attempt ID
	route         *config.Route
	service       string        // one of the route's services, chosen by weight
	deadline      time.Duration // on the monotonic clock
	latencyTarget time.Duration
	stale         bool // the client has waited longer than the latency target, so fresh requests are served first

	body      []byte    // complete, or its beginning if bodyTail is set
	bodyTail  *bodyTail // nil if the body is buffered completely
	length    int64     // of the complete body in bytes, -1 if it is chunked
	bodyBytes int64     // reserved in the memory budget

	retries   attempt.Retries
	attempted []*upstream
	admission *admission // to reserved capacity; nil if no reservation is in force at the service
}

// timeLeft returns the time until the request's deadline.
func (req *clientRequest) timeLeft(now time.Duration) time.Duration { return req.deadline - now }

// clientLeft reports whether the client has closed its connection. The net/http package detects that while the request is
// served, once its body was read.
func (req *clientRequest) clientLeft() bool { return req.http.Context().Err() != nil }

// unsafe reports whether the request must not run more than once.
func (req *clientRequest) unsafe() bool { return req.route.Kind != config.Safe }

// readRequest reads a request and checks the headers that its route requires. A request returned together with an error is
// only good for releasing its reserved memory; it is nil if none was reserved.
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
		if !p.shutdown.admits(p.Now(), req.deadline) { // reading the body may have taken long
			return req, errShuttingDown
		}
	}
	req.deadline = min(req.deadline, p.shutdown.respondBy())
	req.service = drawService(route)
	return req, nil
}

// readDeadline sets the deadline to the route's, or to the client's if that is earlier.
func (req *clientRequest) readDeadline(now time.Duration) error {
	req.deadline = now + seconds(req.route.Deadline)
	text := req.http.Header.Get(headerDeadline)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseFloat(text, 64)
	if err != nil || !(millis >= 0) { // the negated comparison also rejects NaN
		return apierror.Malformed.New("X-Deadline-Ms %q is not a valid duration in milliseconds", text)
	}
	millis = min(millis, req.route.Deadline*1000) // a longer time may overflow a time.Duration
	req.deadline = now + time.Duration(millis*float64(time.Millisecond))
	req.stale = req.route.Deadline-millis/1000 > req.route.LatencyTarget
	return nil
}

// drawService returns one of a route's services, chosen at random by weight.
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
