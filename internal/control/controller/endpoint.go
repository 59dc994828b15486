package controller

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mulleinwood/internal/platform/httpconn"
)

const (
	drainPoll = 5 * time.Millisecond
	// endpointDrainTimeout limits how long draining the endpoint may take. Connections of calls that are unanswered by then
	// are closed; their callers retry at another controller.
	endpointDrainTimeout = 300 * time.Millisecond
	// controlHandleShare is the share of the file handles for connections of servers and operators. At the limit, the
	// connection that has been idle longest is closed for a new one.
	controlHandleShare  = 0.5
	defaultControlConns = 1024 // connections, if the settings have no limit of file handles
)

// controlEndpoint is the HTTP server for calls of servers and operators.
type controlEndpoint struct {
	listener net.Listener
	conns    *httpconn.Tracker
	server   *http.Server
	draining atomic.Bool // responses close their connections, so that callers go to another controller
}

func newControlEndpoint(c *Controller, listener net.Listener) *controlEndpoint {
	limit := defaultControlConns
	if handles := c.Settings.Limits.FileHandles; handles > 0 {
		limit = max(1, int(controlHandleShare*float64(handles)))
	}
	conns := httpconn.NewTracker(limit)
	e := &controlEndpoint{listener: listener, conns: conns}
	e.server = &http.Server{Handler: e.closeWhileDraining(newControlAPI(c).handler()), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: conns.SetState}
	return e
}

// serve serves calls until the endpoint is drained.
func (e *controlEndpoint) serve() error {
	return e.server.Serve(e.conns.Listener(e.listener, httpconn.Timeouts{Header: readHeaderTimeout, Idle: idleTimeout}))
}

func (e *controlEndpoint) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drain answers the calls that have arrived, including those not yet accepted or read, and closes all connections. It takes
// at most about endpointDrainTimeout.
func (e *controlEndpoint) drain() {
	e.draining.Store(true)
	drain := httpconn.NewDrain(e.listener, e.conns)
	deadline := time.Now().Add(endpointDrainTimeout)
	for !drain.Step() && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	_ = e.listener.Close() // connections may still be waiting in the backlog
	e.conns.Abort()
}
