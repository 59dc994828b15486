package proxy

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/platform/httpconn"
)

// Limits that clients are held to before a configuration says otherwise.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

const (
	clientHandleShare = 0.6             // of the file handles, for clients' connections
	reservedHandles   = 200             // that the platform keeps for files
	minClientConns    = 16              // however few file handles there are
	stuckTimeout      = 5 * time.Second // past deadline and idle time, after which a request's connection is stuck
	// keepAliveTimeout is above any idle time of a configuration: the tracker closes idle connections.
	keepAliveTimeout = time.Hour
	// handoffGrace is how long the previous server still takes connections that were being handed to it.
	handoffGrace = time.Second
	// acceptBackoff is how long accepting rests after it failed, such as for lack of a descriptor.
	acceptBackoff = 20 * time.Millisecond
)

// maxClientConns is how many connections of clients are held at once.
func maxClientConns(fileHandles int) int {
	return max(minClientConns, int(clientHandleShare*float64(fileHandles-reservedHandles)))
}

// clientListener accepts clients' connections under the limits in force. net/http takes its limits when a server starts,
// so other limits get a server of their own: new connections go to it, and established ones stay under theirs.
type clientListener struct {
	handler http.Handler
	conns   *httpconn.Tracker

	mu      sync.Mutex
	limits  config.Limits
	handoff *handoffListener // of the server that takes new connections; nil: not serving yet
}

func newClientListener(handler http.Handler, maxConns int) *clientListener {
	return &clientListener{handler: handler, conns: httpconn.NewTracker(maxConns)}
}

// handoffListener is the listener of one server: accepted connections are handed to it.
type handoffListener struct {
	in       chan net.Conn
	closed   chan struct{}
	addr     net.Addr
	timeouts httpconn.Timeouts
}

// Accept implements net.Listener.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.in:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It does nothing: replaceServer closes the channel.
func (l *handoffListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *handoffListener) Addr() net.Addr { return l.addr }

// serve accepts connections until the listener is closed. Other failures, such as a lack of descriptors, pass.
func (l *clientListener) serve(listener net.Listener) error {
	l.replaceServer(listener.Addr())
	for {
		conn, err := l.conns.Accept(listener, func() httpconn.Timeouts { return l.current().timeouts })
		switch {
		case err == nil:
			l.handOff(conn)
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			time.Sleep(acceptBackoff)
		}
	}
}

// handOff gives a connection to the server that takes new ones. One that was replaced while this process stood still takes none
// any more: the next one does.
func (l *clientListener) handOff(conn *httpconn.Conn) {
	for handoff := l.current(); ; {
		select {
		case handoff.in <- conn: // its server waits for it
			return
		case <-handoff.closed:
		}
		next := l.current()
		if next == handoff { // nobody serves any more
			l.conns.Drop(conn)
			return
		}
		handoff = next
	}
}

// current is the listener of the server that takes new connections.
func (l *clientListener) current() *handoffListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handoff
}

// setLimits takes over the limits of a configuration, which may come before the listener serves.
func (l *clientListener) setLimits(limits config.Limits) {
	l.mu.Lock()
	same := l.limits.MaxHeaderBytes == limits.MaxHeaderBytes && l.limits.HeaderTimeout == limits.HeaderTimeout &&
		l.limits.IdleTimeout == limits.IdleTimeout
	handoff := l.handoff
	l.limits = limits
	l.mu.Unlock()
	if handoff != nil && !same {
		l.replaceServer(handoff.addr)
	}
}

// replaceServer has new connections served under the limits as they are now.
func (l *clientListener) replaceServer(addr net.Addr) {
	l.mu.Lock()
	limits, previous := l.limits, l.handoff
	next := &handoffListener{in: make(chan net.Conn), closed: make(chan struct{}), addr: addr,
		timeouts: httpconn.Timeouts{Header: defaultHeaderTimeout, Idle: defaultIdleTimeout}}
	if limits.HeaderTimeout > 0 {
		next.timeouts.Header = seconds(limits.HeaderTimeout)
	}
	if limits.IdleTimeout > 0 {
		next.timeouts.Idle = seconds(limits.IdleTimeout)
	}
	l.handoff = next
	l.mu.Unlock()
	maxHeader := defaultMaxHeaderBytes
	if limits.MaxHeaderBytes > 0 {
		maxHeader = limits.MaxHeaderBytes
	}
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: next.timeouts.Header, IdleTimeout: keepAliveTimeout,
		MaxHeaderBytes: maxHeader,
		ConnState:      l.conns.SetState}
	go func() { _ = server.Serve(next) }() // it ends when another server replaces it
	if previous != nil {
		time.AfterFunc(handoffGrace, func() { close(previous.closed) })
	}
}
