package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulleinwood/internal/platform/tcpstate"
)

// lingerTimeout bounds how long a connection whose sending side has ended is read on for its client's end. Clients end a
// connection as soon as they see its end; this is for those that don't, and for links that hold the news back.
const lingerTimeout = 500 * time.Millisecond

// errClosing is what net/http reads from a connection that was closed. Of this form it takes it for an end of the connection; to
// other errors it would answer 400.
var errClosing = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Timeouts are how long a client may take. Both have to be above 0.
type Timeouts struct {
	Header time.Duration // for the head of a request, from its first byte on
	Idle   time.Duration // for the first byte on a new connection
}

// connState is what a connection is used for.
type connState int

// The states of a connection, in the order in which they follow each other; a busy one becomes idle again.
const (
	stateIdle    connState = iota // net/http waits for a request, and has read nothing of it
	stateBusy                     // a request is being read, served or answered
	stateClosing                  // the stream to the client has ended: what still comes is dropped
)

// Conn is a client's connection. Net/http uses it as a net.Conn; the Tracker that made it ends it.
type Conn struct {
	net.Conn
	tracker  *Tracker
	timeouts Timeouts
	raw      syscall.RawConn // nil: not a socket of the kernel

	mu       sync.Mutex
	state    connState
	since    time.Time // the last change between waiting for a request and serving one
	active   bool      // the head of a request was read, and its response has not left
	answered bool      // a response has left, and net/http did not ask for more since
	started  bool      // the first byte has come
	// overrunUntil bounds time-outs that count as not fired; zero: none has fired over bytes that had arrived.
	overrunUntil time.Time
	closedAt     time.Time // when the stream to the client ended
	measured     bool      // the client had not ended its own before
}

func newConn(accepted net.Conn, tracker *Tracker, timeouts Timeouts) *Conn {
	c := &Conn{Conn: accepted, tracker: tracker, timeouts: timeouts, since: time.Now()}
	if socket, ok := accepted.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn() // one that is closed already fails at the first read
	}
	return c
}

// SetReadDeadline is called by net/http before a header with the time that it may take. On a new connection that time counts
// from the first byte on, since clients may connect ahead of what they send. A connection that is closing keeps its own.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosing {
		return nil
	}
	if !c.started && !t.IsZero() && time.Until(t) > 0 {
		t = time.Now().Add(c.timeouts.Idle)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads for net/http. What comes after the end of the stream to the client is dropped, until the client's own end.
func (c *Conn) Read(p []byte) (int, error) {
	c.awaitRequest()
	for {
		n, err := c.readAndBecomeBusy(p)
		switch {
		case c.isClosing():
			if err != nil {
				c.observeClientEnd(err)
				return 0, errClosing
			}
		case err != nil && c.overruns(err): // once more
		default:
			if n > 0 {
				c.beginHeaderTimeout()
			}
			return n, err
		}
	}
}

// awaitRequest makes the connection idle if net/http asks for the first bytes after a response: it has nothing buffered then.
func (c *Conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered && c.state == stateBusy {
		c.state = stateIdle
	}
	c.answered = false
}

// readAndBecomeBusy reads, and makes the connection busy with the bytes that it takes from the kernel, as one step.
func (c *Conn) readAndBecomeBusy(p []byte) (n int, err error) {
	if c.raw == nil {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.becomeBusy(n)
		return n, err
	}
	waited := c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if n, err = readSocket(int(fd), p); errors.Is(err, unix.EAGAIN) {
			return false
		}
		c.becomeBusy(n)
		return true
	})
	if waited != nil {
		n, err = 0, waited
		if wrapped := new(net.OpError); errors.As(waited, &wrapped) {
			err = wrapped.Err
		}
	}
	switch {
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readSocket reads once without waiting.
func readSocket(fd int, p []byte) (int, error) {
	for {
		n, err := unix.Read(fd, p)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return max(n, 0), err
	}
}

// becomeBusy notes that so many bytes were read. The lock is held.
func (c *Conn) becomeBusy(bytes int) {
	if bytes > 0 && c.state == stateIdle {
		c.state = stateBusy
	}
}

// beginHeaderTimeout starts the time for the header with the first byte of a new connection.
func (c *Conn) beginHeaderTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started && c.state != stateClosing {
		c.started = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.timeouts.Header)) // a connection that is closed fails at the next read
	}
}

// overruns reports whether a time-out for a head fired although bytes had arrived by then, since the process was late. They are
// read, then: for as long again as a head may take at most, so that a client can't go on so for ever.
func (c *Conn) overruns(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.active || !tcpstate.Readable(c.Conn) {
		return false
	}
	now := time.Now()
	if c.overrunUntil.IsZero() {
		c.overrunUntil = now.Add(c.timeouts.Header)
	}
	return now.Before(c.overrunUntil) && c.Conn.SetReadDeadline(c.overrunUntil) == nil
}

// setActive notes that the head of a request was read.
func (c *Conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.answered, c.since = true, false, time.Now()
	if c.state == stateIdle { // its bytes came together with those of the previous request
		c.state = stateBusy
	}
}

// setAnswered notes that the response has left.
func (c *Conn) setAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.answered, c.since, c.overrunUntil = false, true, time.Now(), time.Time{}
}

// isClosing reports whether the stream to the client has ended.
func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == stateClosing
}

// busy reports whether anything is left to be done on the connection: a request, or the client's end.
func (c *Conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != stateIdle
}

// use tells whether a request is served on the connection, and since when that is so.
func (c *Conn) use() (active bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active, c.since
}

// closeIfIdle ends the stream to the client unless a request, or a part of one, has reached this machine. Net/http's read,
// which waits, goes on until the client's end.
func (c *Conn) closeIfIdle() (result idleCloseResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state != stateIdle:
		return notIdle
	case tcpstate.Readable(c.Conn):
		return unreadBytes
	}
	c.endStream()
	return idleClosed
}

// idleCloseResult is what became of closing an idle connection.
type idleCloseResult int

const (
	idleClosed  idleCloseResult = iota
	notIdle                     // a request is on it
	unreadBytes                 // something has arrived that the process has not read
)

// endStream ends the stream to the client. Where that can't be done, or has failed, nothing is waited for: the reads end at
// once, and net/http closes the connection. It must not be closed here: the lock is held, and a close waits for a read that
// waits for the lock.
func (c *Conn) endStream() {
	c.state, c.closedAt = stateClosing, time.Now()
	until := c.closedAt
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		until = until.Add(lingerTimeout)
		c.measured = !tcpstate.Readable(c.Conn)
	}
	_ = c.Conn.SetReadDeadline(until) // a connection that is closed ends the reads all the same
}

// Close ends the connection for net/http, after a response or a failure. It ends the stream to the client, drops what still
// comes, and returns when the client has ended its own stream or lingerTimeout is over: a close over unread bytes would be
// a reset, which may take back the response.
func (c *Conn) Close() error {
	c.mu.Lock()
	lingers := c.state != stateClosing
	if lingers {
		c.endStream()
	}
	c.mu.Unlock()
	if lingers {
		_, err := io.Copy(io.Discard, c.Conn)
		c.observeClientEnd(err)
	}
	return c.Conn.Close()
}

// abort closes the connection at once, whatever is on it.
func (c *Conn) abort() {
	c.mu.Lock()
	c.state = stateClosing
	c.mu.Unlock()
	closeConn(c.Conn)
}

// observeClientEnd hands on how long the client's end took after ours; err is what ended the reads.
func (c *Conn) observeClientEnd(err error) {
	if err != nil && !errors.Is(err, io.EOF) {
		return
	}
	c.mu.Lock()
	measured, span := c.measured, time.Since(c.closedAt)
	c.mu.Unlock()
	if measured {
		c.tracker.roundTrips.observe(span)
	}
}

// awaitsClient reports for how long the client's end has been waited for; ok: it is.
func (c *Conn) awaitsClient(now time.Time) (span time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.closedAt), c.state == stateClosing && c.measured
}

// closeConn closes a connection of which nothing more is expected, so that an error would change nothing.
func closeConn(conn net.Conn) { _ = conn.Close() }
