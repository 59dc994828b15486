package proxy

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/platform/apierror"
)

// clientRequest is a request on its way.
type clientRequest struct {
	r             *http.Request
	id            string
	body          []byte // or its beginning, if there is a rest
	length        int64  // of the whole body; -1: it comes in chunks
	bodyTail      *bodyTail
	bodyBytes     int64 // of the account of what is held
	route         *config.Route
	service       string
	deadline      time.Duration
	latencyTarget time.Duration
	receivedAt    time.Duration
	attempted     []*upstream
	retries       attempt.Retries
	admission     *admission
	stale         bool // the client has waited for longer than the aim: what is fresh is worth more
}

// readRequest reads a request whole and checks what its route needs.
func (p *Proxy) readRequest(w http.ResponseWriter, r *http.Request, tree *config.Tree, route *config.Route, now time.Duration) (*clientRequest, error) {
	t := &clientRequest{r: r, id: r.Header.Get("X-Attempt-Id"), route: route, receivedAt: now, latencyTarget: time.Duration(route.LatencyTarget * float64(time.Second))}
	if t.id == "" {
		return nil, apierror.Malformed.New("X-Attempt-Id is missing")
	}
	if route.Kind == config.Keyed && r.Header.Get("X-Operation-Key") == "" {
		return nil, apierror.Malformed.New("X-Operation-Key is missing on a keyed route")
	}
	t.deadline = now + time.Duration(route.Deadline*float64(time.Second))
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms >= 0) { // not a number is no time either
			return nil, apierror.Malformed.New("X-Deadline-Ms %q is no time", text)
		}
		ms = min(ms, route.Deadline*1000) // a longer time need not fit into a duration
		t.deadline = now + time.Duration(ms*float64(time.Millisecond))
		t.stale = route.Deadline-ms/1000 > route.LatencyTarget
	}
	if r.Body != nil && r.ContentLength != 0 {
		if err := p.bufferBody(w, t, tree.Config.Limits.BodyBytes); err != nil {
			return t, err
		}
	}
	t.service = choose(route)
	return t, nil
}

// choose draws one of a route's services by their gains.
func choose(route *config.Route) string {
	shares := route.Shares()
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	at := rand.Float64() * sum
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}
