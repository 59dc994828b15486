package program

import (
	"context"
	"net"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/transport"
)

// proxyConn identifies a proxy on a connection.
type proxyConn struct {
	conn  *transport.Conn
	proxy int
}

// handoffListener is the net.Listener of the gRPC server. It accepts the connections that the planner's listener hands over.
type handoffListener struct {
	addr  net.Addr
	conns chan net.Conn
	ctx   context.Context
}

// Accept implements net.Listener.
func (h handoffListener) Accept() (net.Conn, error) {
	select {
	case nc := <-h.conns:
		return nc, nil
	case <-h.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h handoffListener) Close() error { return nil }

// Addr implements net.Listener.
func (h handoffListener) Addr() net.Addr { return h.addr }

// handOff passes a connection from the planner's listener to the gRPC server.
func (f *frontend) handOff(c *transport.Conn, nc net.Conn) {
	f.mu.Lock()
	f.conns[c.Remote()] = c
	f.mu.Unlock()
	select {
	case f.handoffs.conns <- nc:
	case <-f.handoffs.ctx.Done():
		nc.Close()
	}
}

// removeConn removes a closed connection.
func (f *frontend) removeConn(c *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[c.Remote()] == c {
		delete(f.conns, c.Remote())
	}
}

// callerConn returns the connection and the peer of a call.
func (f *frontend) callerConn(ctx context.Context) (*transport.Conn, *peer.Peer, error) {
	p, _ := peer.FromContext(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if p == nil || f.conns[p.Addr.String()] == nil {
		return nil, nil, status.Error(codes.Unavailable, "the connection is gone")
	}
	return f.conns[p.Addr.String()], p, nil
}

// countStream changes the number of a proxy's assignment streams on a connection by delta: 1 on a join, -1 at a stream's end.
func (f *frontend) countStream(conn *transport.Conn, proxy, delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := proxyConn{conn, proxy}
	if f.assignmentStreams[key] += delta; f.assignmentStreams[key] <= 0 {
		delete(f.assignmentStreams, key)
	}
}

// hasAssignmentStream reports whether a proxy has an assignment stream on a connection.
func (f *frontend) hasAssignmentStream(conn *transport.Conn, proxy int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.assignmentStreams[proxyConn{conn, proxy}] > 0
}
