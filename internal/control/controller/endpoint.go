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
	// endpointDrainTimeout bounds the end of the endpoint. Calls that are not answered by then end with their connection:
	// their callers make them again elsewhere.
	endpointDrainTimeout = 300 * time.Millisecond
	// Connections of servers and operators are bounded by a share of the file handles: the longest idle one makes room.
	controlHandleShare  = 0.5
	defaultControlConns = 1024 // where the settings don't say
)

// controlEndpoint is the HTTP server for servers and operators.
type controlEndpoint struct {
	listener net.Listener
	conns    *httpconn.Tracker
	server   *http.Server
	draining atomic.Bool // each response asks its caller to go elsewhere with the next call
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

// serve answers calls until the endpoint is drained.
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

// drain answers the calls that have arrived, also those that the process has not read yet, and ends all connections, within
// a bound.
func (e *controlEndpoint) drain() {
	e.draining.Store(true)
	drain := httpconn.NewDrain(e.listener, e.conns)
	deadline := time.Now().Add(endpointDrainTimeout)
	for !drain.Step() && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	_ = e.listener.Close() // also if something still waits there
	e.conns.Abort()
}
