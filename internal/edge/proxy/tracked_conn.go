package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is a connection to a server that tells what net/http doesn't: whether any byte of a request was written, and
// whether bytes that belong to no request follow a response.
type trackedConn struct {
	net.Conn
	written atomic.Bool

	mu      sync.Mutex
	changed sync.Cond
	reading bool // net/http has read all that came, and waits for more
	closed  bool
}

// trackedConnKey finds, in the context of a dial, the variable that is set to the new connection.
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

// resetWritten is called before a request is handed to net/http.
func (c *trackedConn) resetWritten() { c.written.Store(false) }

// hasWritten tells whether a byte of the request may have left. It is final once the connection is closed.
func (c *trackedConn) hasWritten() bool { return c.written.Load() }

// Write notes that bytes leave before they do, and takes that back where the connection took none.
func (c *trackedConn) Write(p []byte) (int, error) {
	before := c.written.Swap(true)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.written.Store(before)
	}
	return n, err
}

// Read notes that net/http has read all that came.
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

// Close wakes those who wait for the connection to become clean.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.changed.Broadcast()
	return c.Conn.Close()
}

// waitClean reports whether nothing is left of what came. After a response net/http either waits for more, or finds surplus
// bytes and closes the connection; it does one of them at once, so this waits for it.
func (c *trackedConn) waitClean() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}
