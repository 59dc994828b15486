package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinwood/internal/config"
)

// Limits that clients are held to before a configuration says otherwise.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

const (
	clientHandleShare = 0.6             // of the file handles, for clients' connections
	reservedHandles   = 200             // that the platform keeps for files
	minClientConns    = 16              // however few file handles there are
	stuckAfter        = 5 * time.Second // past deadline and idle time, after which a request's connection is stuck
	// keepAliveTimeout is above any idle time of a configuration: the tracker closes idle connections.
	keepAliveTimeout = time.Hour
	// handoffGrace is how long the previous server still takes connections that were being handed to it.
	handoffGrace = time.Second
)

// maxClientConns is how many connections of clients are held at once.
func maxClientConns(fileHandles int) int {
	return max(minClientConns, int(clientHandleShare*float64(fileHandles-reservedHandles)))
}

// clientListener accepts clients' connections under the limits in force. net/http takes its limits when a server starts,
// so other limits get a server of their own: new connections go to it, and established ones stay under theirs.
type clientListener struct {
	handler http.Handler
	conns   *connTracker

	mu      sync.Mutex
	limits  config.Limits
	handoff *handoffListener // of the server that takes new connections; nil: not serving yet
}

func newClientListener(handler http.Handler, maxConns int) *clientListener {
	return &clientListener{handler: handler, conns: &connTracker{limit: maxConns, conns: map[net.Conn]*connUse{}}}
}

// handoffListener is the listener of one server: accepted connections are handed to it.
type handoffListener struct {
	in            chan net.Conn
	closed        chan struct{}
	addr          net.Addr
	headerTimeout time.Duration
	idleTimeout   time.Duration
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

// serve accepts connections until the listener is closed.
func (l *clientListener) serve(listener net.Listener) error {
	l.replaceServer(listener.Addr())
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return err
		}
		l.mu.Lock()
		handoff := l.handoff
		l.mu.Unlock()
		conn := &clientConn{Conn: accepted, awaitingFirstByte: true, headerTimeout: handoff.headerTimeout,
			idleTimeout: handoff.idleTimeout}
		if !l.conns.admit(conn) {
			closeConn(accepted)
			continue
		}
		select {
		case handoff.in <- conn: // its server waits for it
		case <-handoff.closed: // this process stood still meanwhile
			l.conns.setState(conn, http.StateClosed)
			closeConn(accepted)
		}
	}
}

// setLimits takes over the limits of a configuration, which may come before the listener serves.
func (l *clientListener) setLimits(limits config.Limits) {
	l.mu.Lock()
	same := l.limits.HeaderBytes == limits.HeaderBytes && l.limits.HeaderWait == limits.HeaderWait && l.limits.Idle == limits.Idle
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
		headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout}
	if limits.HeaderWait > 0 {
		next.headerTimeout = seconds(limits.HeaderWait)
	}
	if limits.Idle > 0 {
		next.idleTimeout = seconds(limits.Idle)
	}
	l.handoff = next
	l.mu.Unlock()
	maxHeader := defaultHeaderBytes
	if limits.HeaderBytes > 0 {
		maxHeader = limits.HeaderBytes
	}
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: next.headerTimeout, IdleTimeout: keepAliveTimeout,
		MaxHeaderBytes: maxHeader,
		ConnState:      l.conns.setState}
	go func() { _ = server.Serve(next) }() // it ends when another server replaces it
	if previous != nil {
		time.AfterFunc(handoffGrace, func() { close(previous.closed) })
	}
}

// clientConn is a client's connection. Until its first byte it is idle; the time for the header counts from then on, since
// clients may connect ahead of what they send.
type clientConn struct {
	net.Conn
	awaitingFirstByte          bool // used by the connection's one reader
	headerTimeout, idleTimeout time.Duration
}

// SetReadDeadline is called by net/http before the first header with the time that a header may take.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if c.awaitingFirstByte && !t.IsZero() && time.Until(t) > 0 {
		t = time.Now().Add(c.idleTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read starts the time for the header with the first byte.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.awaitingFirstByte && n > 0 {
		c.awaitingFirstByte = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout)) // a connection that is closed fails at the next read
	}
	return n, err
}

// connTracker knows since when each connection of a client is idle or busy. It closes those that are so for longer than
// the configuration allows, and the longest idle one when there are too many, so that clients can't hold connections
// without using them.
type connTracker struct {
	mu    sync.Mutex
	limit int
	conns map[net.Conn]*connUse
}

type connUse struct {
	since  time.Time
	active bool // a request is being read or answered
}

// admit takes in a new connection. Where there are too many, the one that has been idle for longest makes room; false:
// none is idle.
func (t *connTracker) admit(conn net.Conn) bool {
	evicted, ok := t.add(conn)
	if evicted != nil {
		closeConn(evicted)
	}
	return ok
}

func (t *connTracker) add(conn net.Conn) (evicted net.Conn, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.limit {
		if evicted = t.longestIdle(); evicted == nil {
			return nil, false
		}
		delete(t.conns, evicted)
	}
	t.conns[conn] = &connUse{since: time.Now()}
	return evicted, true
}

func (t *connTracker) longestIdle() (oldest net.Conn) {
	for conn, use := range t.conns {
		if !use.active && (oldest == nil || use.since.Before(t.conns[oldest].since)) {
			oldest = conn
		}
	}
	return oldest
}

// setState follows what net/http says of a connection.
func (t *connTracker) setState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch use := t.conns[conn]; {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(t.conns, conn)
	case use != nil && state != http.StateNew:
		use.since, use.active = time.Now(), state == http.StateActive
	}
}

// closeStale closes what has been idle, or busy with one request, for too long.
func (t *connTracker) closeStale(maxIdle, maxActive time.Duration) {
	for _, conn := range t.removeStale(maxIdle, maxActive) {
		closeConn(conn)
	}
}

func (t *connTracker) removeStale(maxIdle, maxActive time.Duration) (stale []net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, use := range t.conns {
		age := time.Since(use.since)
		if age > maxIdle && !use.active || age > maxActive {
			stale = append(stale, conn)
			delete(t.conns, conn)
		}
	}
	return stale
}
