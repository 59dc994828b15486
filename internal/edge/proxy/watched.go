package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// watchedConn is a connection to a server that tells what net/http doesn't: whether any byte of a request was written, and
// whether bytes that belong to no request lie behind an answer.
type watchedConn struct {
	net.Conn
	written atomic.Bool

	mu      sync.Mutex
	changed sync.Cond
	reading bool // net/http has nothing left of what came, and waits for more
	closed  bool
}

// watchedKey finds in a dial's context where the new connection is noted.
type watchedKey struct{}

// dialWatched makes a connection for the transport.
func (c *Proxy) dialWatched(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w := &watchedConn{Conn: conn}
	w.changed.L = &w.mu
	if at, ok := ctx.Value(watchedKey{}).(**watchedConn); ok {
		*at = w
	}
	return w, nil
}

// begin is called before a request is handed to net/http.
func (w *watchedConn) begin() { w.written.Store(false) }

// wrote tells whether a byte of the request may have left. It is final once the connection is closed.
func (w *watchedConn) wrote() bool { return w.written.Load() }

// Write notes that bytes leave before they do, and takes it back where the connection took none.
func (w *watchedConn) Write(p []byte) (int, error) {
	before := w.written.Swap(true)
	n, err := w.Conn.Write(p)
	if n == 0 && err != nil {
		w.written.Store(before)
	}
	return n, err
}

// Read notes that net/http has taken all that came.
func (w *watchedConn) Read(p []byte) (int, error) {
	w.setReading(true)
	n, err := w.Conn.Read(p)
	w.setReading(false)
	return n, err
}

func (w *watchedConn) setReading(reading bool) {
	w.mu.Lock()
	w.reading = reading
	w.mu.Unlock()
	if reading {
		w.changed.Broadcast()
	}
}

// Close wakes those who wait for the connection to become clean.
func (w *watchedConn) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.changed.Broadcast()
	return w.Conn.Close()
}

// clean tells whether nothing is left of what came. After an answer net/http either waits for more, or finds surplus bytes
// and closes the connection; it does one of them at once.
func (w *watchedConn) clean() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.reading && !w.closed {
		w.changed.Wait()
	}
	return !w.closed
}
