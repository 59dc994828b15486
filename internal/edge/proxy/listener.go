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

// Default limits for clients, used if the configuration sets none.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

const (
	clientHandleShare = 0.6             // fraction of the file handles for clients' connections
	reservedHandles   = 200             // file handles that the platform reserves for files
	minClientConns    = 16              // regardless of the number of file handles
	stuckTimeout      = 5 * time.Second // beyond deadline and idle timeout, after which a connection counts as stuck
	// keepAliveTimeout exceeds any configured idle timeout, since the tracker closes idle connections.
	keepAliveTimeout = time.Hour
	// handoffGrace is how long a replaced server still accepts connections that are being handed to it.
	handoffGrace = time.Second
	// acceptBackoff is the pause after a failed accept, such as for lack of a file descriptor.
	acceptBackoff = 20 * time.Millisecond
)

// maxClientConns returns the largest number of concurrent clients' connections.
func maxClientConns(fileHandles int) int {
	return max(minClientConns, int(clientHandleShare*float64(fileHandles-reservedHandles)))
}

// clientListener accepts clients' connections under the limits in force. An http.Server can't change its limits while it
// runs, so changed limits start a new server for new connections; established connections keep theirs.
type clientListener struct {
	handler http.Handler
	conns   *httpconn.Tracker

	mu      sync.Mutex
	limits  config.Limits
	handoff *handoffListener // of the server for new connections; nil until serve is called
}

func newClientListener(handler http.Handler, maxConns int) *clientListener {
	return &clientListener{handler: handler, conns: httpconn.NewTracker(maxConns)}
}

// handoffListener is the net.Listener of one server, which receives accepted connections by a channel.
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

// serve accepts connections until the listener is closed. After other errors, such as a lack of file descriptors, it retries.
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

// handOff passes a connection to the server for new ones. If that server was replaced meanwhile, as after a pause of this
// process, and accepts no more, the connection goes to its successor.
func (l *clientListener) handOff(conn *httpconn.Conn) {
	for handoff := l.current(); ; {
		select {
		case handoff.in <- conn: // the server was waiting in Accept
			return
		case <-handoff.closed:
		}
		next := l.current()
		if next == handoff { // no server is left
			l.conns.Drop(conn)
			return
		}
		handoff = next
	}
}

// current returns the listener of the server for new connections.
func (l *clientListener) current() *handoffListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handoff
}

// setLimits applies the limits of a configuration. It may be called before serve.
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

// replaceServer starts a server with the current limits for new connections.
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
	go func() { _ = server.Serve(next) }() // returns when the server is replaced
	if previous != nil {
		time.AfterFunc(handoffGrace, func() { close(previous.closed) })
	}
}
