package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is a connection to a server that tells what net/http doesn't: whether any byte of a request was written, and
// whether bytes that belong to no request lie behind an answer.
type trackedConn struct {
	net.Conn
	written atomic.Bool

	mu      sync.Mutex
	changed sync.Cond
	reading bool // net/http has nothing left of what came, and waits for more
	closed  bool
}

// trackedConnKey finds in a dial's context where the new connection is noted.
type trackedConnKey struct{}

// dialTracked makes a connection for the transport.
func (p *Proxy) dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	w := &trackedConn{Conn: conn}
	w.changed.L = &w.mu
	if at, ok := ctx.Value(trackedConnKey{}).(**trackedConn); ok {
		*at = w
	}
	return w, nil
}

// resetWritten is called before a request is handed to net/http.
func (w *trackedConn) resetWritten() { w.written.Store(false) }

// hasWritten tells whether a byte of the request may have left. It is final once the connection is closed.
func (w *trackedConn) hasWritten() bool { return w.written.Load() }

// Write notes that bytes leave before they do, and takes it back where the connection took none.
func (w *trackedConn) Write(p []byte) (int, error) {
	before := w.written.Swap(true)
	n, err := w.Conn.Write(p)
	if n == 0 && err != nil {
		w.written.Store(before)
	}
	return n, err
}

// Read notes that net/http has taken all that came.
func (w *trackedConn) Read(p []byte) (int, error) {
	w.setReading(true)
	n, err := w.Conn.Read(p)
	w.setReading(false)
	return n, err
}

func (w *trackedConn) setReading(reading bool) {
	w.mu.Lock()
	w.reading = reading
	w.mu.Unlock()
	if reading {
		w.changed.Broadcast()
	}
}

// Close wakes those who wait for the connection to become clean.
func (w *trackedConn) Close() error {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.changed.Broadcast()
	return w.Conn.Close()
}

// clean tells whether nothing is left of what came. After an answer net/http either waits for more, or finds surplus bytes
// and closes the connection; it does one of them at once.
func (w *trackedConn) clean() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.reading && !w.closed {
		w.changed.Wait()
	}
	return !w.closed
}
