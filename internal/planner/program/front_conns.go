package program

import (
	"context"
	"net"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/transport"
)

// held is a proxy on a connection.
type held struct {
	conn  *transport.Conn
	proxy int
}

// handedConns is the listener that the gRPC server accepts from: what the one listener has handed over.
type handedConns struct {
	addr  net.Addr
	conns chan net.Conn
	ctx   context.Context
}

// Accept implements net.Listener.
func (h handedConns) Accept() (net.Conn, error) {
	select {
	case nc := <-h.conns:
		return nc, nil
	case <-h.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h handedConns) Close() error { return nil }

// Addr implements net.Listener.
func (h handedConns) Addr() net.Addr { return h.addr }

// take is handed a connection by the listener.
func (f *frontend) take(c *transport.Conn, nc net.Conn) {
	f.mu.Lock()
	f.conns[c.Remote()] = c
	f.mu.Unlock()
	select {
	case f.handed.conns <- nc:
	case <-f.handed.ctx.Done():
		nc.Close()
	}
}

// gone forgets a connection.
func (f *frontend) gone(c *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[c.Remote()] == c {
		delete(f.conns, c.Remote())
	}
}

// caller finds the connection of a call.
func (f *frontend) caller(ctx context.Context) (*transport.Conn, *peer.Peer, error) {
	p, _ := peer.FromContext(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if p == nil || f.conns[p.Addr.String()] == nil {
		return nil, nil, status.Error(codes.Unavailable, "the connection is gone")
	}
	return f.conns[p.Addr.String()], p, nil
}

// hold counts a proxy's assignment streams on a connection: by 1 when one joins, by -1 when it ends.
func (f *frontend) hold(conn *transport.Conn, proxy, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := held{conn, proxy}
	if f.holds[key] += by; f.holds[key] <= 0 {
		delete(f.holds, key)
	}
}

// holding says whether a proxy has an assignment stream on a connection.
func (f *frontend) holding(conn *transport.Conn, proxy int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds[held{conn, proxy}] > 0
}
