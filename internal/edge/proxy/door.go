package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinwood/internal/config"
)

// What clients may send before any configuration says so.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

const (
	clientHandleShare = 0.6             // of the descriptors, for clients' connections
	reservedHandles   = 200             // that the platform reserves for files
	stuckAfter        = 5 * time.Second // past deadline and idle time, after which a request's connection is stuck
)

// clientListener lets clients' connections in, under the limits in force. net/http takes its limits when a server starts, so
// other limits get a server of their own: new connections go to it, and those that are there stay under theirs.
type clientListener struct {
	handler http.Handler
	conns   *connTracker

	mu      sync.Mutex
	limits  config.Limits
	handoff *handoffListener
}

// handoffListener is the listener of one server: connections are handed to it.
type handoffListener struct {
	in            chan net.Conn
	closed        chan struct{}
	addr          net.Addr
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.in:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *handoffListener) Close() error   { return nil } // only change closes it
func (l *handoffListener) Addr() net.Addr { return l.addr }

// serve takes connections in until the listener is closed.
func (l *clientListener) serve(front net.Listener) error {
	l.replaceServer(front.Addr())
	for {
		conn, err := front.Accept()
		if err != nil {
			return err
		}
		l.mu.Lock()
		at := l.handoff
		l.mu.Unlock()
		caller := &clientConn{Conn: conn, awaitingFirstByte: true, headerTimeout: at.headerTimeout, idleTimeout: at.idleTimeout}
		if !l.conns.admit(caller) {
			conn.Close()
			continue
		}
		select {
		case at.in <- caller: // its server waits for it
		case <-at.closed: // this process stood still meanwhile
			l.conns.state(caller, http.StateClosed)
			conn.Close()
		}
	}
}

// setLimits takes over the limits of a configuration, which may come before the door opens.
func (l *clientListener) setLimits(limits config.Limits) {
	l.mu.Lock()
	same := l.limits.HeaderBytes == limits.HeaderBytes && l.limits.HeaderWait == limits.HeaderWait && l.limits.Idle == limits.Idle
	at := l.handoff
	l.limits = limits
	l.mu.Unlock()
	if at != nil && !same {
		l.replaceServer(at.addr)
	}
}

// replaceServer has new connections served under the limits as they are now.
func (l *clientListener) replaceServer(addr net.Addr) {
	l.mu.Lock()
	limits, old := l.limits, l.handoff
	next := &handoffListener{in: make(chan net.Conn), closed: make(chan struct{}), addr: addr, headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout}
	most := defaultHeaderBytes
	if limits.HeaderBytes > 0 {
		most = limits.HeaderBytes
	}
	if limits.HeaderWait > 0 {
		next.headerTimeout = time.Duration(limits.HeaderWait * float64(time.Second))
	}
	if limits.Idle > 0 {
		next.idleTimeout = time.Duration(limits.Idle * float64(time.Second))
	}
	l.handoff = next
	l.mu.Unlock()
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: next.headerTimeout, IdleTimeout: time.Hour, MaxHeaderBytes: most, ConnState: l.conns.state}
	go func() { _ = server.Serve(next) }() // ends when other limits come
	if old != nil {
		go func() { // whoever was being handed over still finds it open
			time.Sleep(time.Second)
			close(old.closed)
		}()
	}
}

// clientConn is a client's connection. Until its first byte it is idle, and only from then on late with its header: clients
// may connect ahead of what they send.
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

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.awaitingFirstByte && n > 0 {
		c.awaitingFirstByte = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout)) // a connection that is closed fails at the next read
	}
	return n, err
}

// connTracker knows clients' connections: since when each is idle or busy. It closes those that are so for longer than the
// configuration allows, and the longest idle when there are too many. It guards against clients that hold connections
// without using them.
type connTracker struct {
	mu    sync.Mutex
	limit int
	conns map[net.Conn]*connUse
}

type connUse struct {
	since  time.Time
	active bool
}

// admit takes a new connection in. Where there are too many, the one that has been idle for longest makes room.
func (t *connTracker) admit(conn net.Conn) bool {
	t.mu.Lock()
	var oldest net.Conn
	if len(t.conns) >= t.limit {
		for c, u := range t.conns {
			if !u.active && (oldest == nil || u.since.Before(t.conns[oldest].since)) {
				oldest = c
			}
		}
		if oldest == nil {
			t.mu.Unlock()
			return false
		}
		delete(t.conns, oldest)
	}
	t.conns[conn] = &connUse{since: time.Now()}
	t.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return true
}

// state follows what net/http says of a connection.
func (t *connTracker) state(conn net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch u := t.conns[conn]; {
	case s == http.StateClosed || s == http.StateHijacked:
		delete(t.conns, conn)
	case u != nil && s != http.StateNew:
		u.since, u.active = time.Now(), s == http.StateActive
	}
}

// closeStale closes what has been idle, or busy with one request, for too long.
func (t *connTracker) closeStale(idle, active time.Duration) {
	t.mu.Lock()
	var old []net.Conn
	for conn, u := range t.conns {
		if most := idle; time.Since(u.since) > most && !u.active || time.Since(u.since) > active {
			old = append(old, conn)
			delete(t.conns, conn)
		}
	}
	t.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}
