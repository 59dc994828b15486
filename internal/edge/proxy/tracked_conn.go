package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is a connection to a server that records what net/http doesn't expose: whether any byte of a request was
// written, and whether a response is followed by surplus bytes that belong to no request.
type trackedConn struct {
	net.Conn
	written atomic.Bool

	mu      sync.Mutex
	changed sync.Cond
	reading bool // net/http has consumed all bytes and waits for more
	closed  bool
}

// trackedConnKey is the context key of a dial for the variable that is set to the new connection.
type trackedConnKey struct{}

// track wraps a new connection, and sets the variable in the context of its dial.
func track(ctx context.Context, conn net.Conn) *trackedConn {
	tracked := &trackedConn{Conn: conn}
	tracked.changed.L = &tracked.mu
	if variable, ok := ctx.Value(trackedConnKey{}).(**trackedConn); ok {
		*variable = tracked
	}
	return tracked
}

// resetWritten resets hasWritten. It is called before a request is passed to net/http.
func (c *trackedConn) resetWritten() { c.written.Store(false) }

// hasWritten reports whether a byte of the request may have been sent. The result is final once the connection is closed.
func (c *trackedConn) hasWritten() bool { return c.written.Load() }

// Write sets written before it writes, and restores it if the connection accepted no byte.
func (c *trackedConn) Write(p []byte) (int, error) {
	before := c.written.Swap(true)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.written.Store(before)
	}
	return n, err
}

// Read records that net/http is waiting for more bytes while it reads.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.beginRead()
	defer c.endRead()
	return c.Conn.Read(p)
}

func (c *trackedConn) beginRead() {
	c.mu.Lock()
	c.reading = true
	c.mu.Unlock()
	c.changed.Broadcast()
}

func (c *trackedConn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// Close closes the connection and wakes the callers of waitClean.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.changed.Broadcast()
	return c.Conn.Close()
}

// waitClean reports whether the connection has no surplus bytes after a response. In that case net/http starts to wait for
// more bytes; otherwise it closes the connection. It does either immediately, and waitClean blocks until then.
func (c *trackedConn) waitClean() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}
