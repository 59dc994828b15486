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

// lingerTimeout limits how long a connection is read after its sending side was closed, until the client closes its side.
// Clients do so as soon as they see the end of the stream; the limit is for clients that don't, and for slow links.
const lingerTimeout = 500 * time.Millisecond

// errClosing is the read error of a closed connection. net/http treats an error of this form as the end of the connection;
// to others it would respond with status 400.
var errClosing = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Timeouts limits how long a client may take. Both durations must be positive.
type Timeouts struct {
	Header time.Duration // for the header of a request, from its first byte
	Idle   time.Duration // for the first byte on a new connection
}

// connState is the state of a connection.
type connState int

// The states of a connection, in order; a busy connection may become idle again.
const (
	stateIdle    connState = iota // net/http waits for a request and has read no byte of it
	stateBusy                     // a request is being read, served or answered
	stateClosing                  // the stream to the client has ended, and received bytes are discarded
)

// Conn is a client's connection. The net/http package uses it as a net.Conn; the Tracker that created it closes it when idle.
type Conn struct {
	net.Conn
	tracker  *Tracker
	timeouts Timeouts
	raw      syscall.RawConn // nil if the connection is not a kernel socket

	mu            sync.Mutex
	state         connState
	since         time.Time // last change between waiting for a request and serving one
	active        bool      // a request's header was read, and its response is not sent yet
	responseSent  bool      // a response was sent, and net/http has not read since
	firstByteRead bool      // the first byte was received
	// overrunUntil is the time until which timeouts are ignored that fire although bytes have arrived; zero if none has.
	lateTimeoutUntil  time.Time
	closedAt          time.Time // when the stream to the client ended
	measuresRoundTrip bool      // the client had not closed its side before
}

func newConn(accepted net.Conn, tracker *Tracker, timeouts Timeouts) *Conn {
	c := &Conn{Conn: accepted, tracker: tracker, timeouts: timeouts, since: time.Now()}
	if socket, ok := accepted.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn() // a closed one fails at the first read
	}
	return c
}

// SetReadDeadline implements net.Conn. net/http calls it with the header timeout before it reads a header. On a new connection
// the idle timeout applies until the first byte, since clients may connect before they have a request to send. A closing
// connection keeps its own deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateClosing {
		return nil
	}
	if !c.firstByteRead && !t.IsZero() && time.Until(t) > 0 {
		t = time.Now().Add(c.timeouts.Idle)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. After the end of the stream to the client, received bytes are discarded until the client closes
// its side.
func (c *Conn) Read(p []byte) (int, error) {
	c.awaitRequest()
	for {
		n, err := c.readAndBecomeBusy(p)
		switch {
		case c.isClosing():
			if err != nil {
				c.observeClientClose(err)
				return 0, errClosing
			}
		case err != nil && c.ignoreTimeout(err): // read again
		default:
			if n > 0 {
				c.beginHeaderTimeout()
			}
			return n, err
		}
	}
}

// awaitRequest makes the connection idle if this is net/http's first read after a response: its buffer is empty then.
func (c *Conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseSent && c.state == stateBusy {
		c.state = stateIdle
	}
	c.responseSent = false
}

// readAndBecomeBusy reads bytes from the kernel and makes the connection busy, in one step under the lock.
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

// readSocket reads once without blocking.
func readSocket(fd int, p []byte) (int, error) {
	for {
		n, err := unix.Read(fd, p)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return max(n, 0), err
	}
}

// becomeBusy makes an idle connection busy if bytes were read. The caller must hold mu.
func (c *Conn) becomeBusy(bytes int) {
	if bytes > 0 && c.state == stateIdle {
		c.state = stateBusy
	}
}

// beginHeaderTimeout starts the header timeout at the first byte of a new connection.
func (c *Conn) beginHeaderTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.firstByteRead && c.state != stateClosing {
		c.firstByteRead = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.timeouts.Header)) // a closed connection fails at the next read
	}
}

// ignoreTimeout reports whether a header timeout fired although bytes had arrived, because the process was delayed. The bytes are
// then read within one more header timeout, so that a client can't extend its time indefinitely.
func (c *Conn) ignoreTimeout(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.active || !tcpstate.Readable(c.Conn) {
		return false
	}
	now := time.Now()
	if c.lateTimeoutUntil.IsZero() {
		c.lateTimeoutUntil = now.Add(c.timeouts.Header)
	}
	return now.Before(c.lateTimeoutUntil) && c.Conn.SetReadDeadline(c.lateTimeoutUntil) == nil
}

// setActive records that the header of a request was read.
func (c *Conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.responseSent, c.since = true, false, time.Now()
	if c.state == stateIdle { // its bytes were read together with the previous request
		c.state = stateBusy
	}
}

// setResponseSent records that the response was sent.
func (c *Conn) setResponseSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.responseSent, c.since, c.lateTimeoutUntil = false, true, time.Now(), time.Time{}
}

// isClosing reports whether the stream to the client has ended.
func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == stateClosing
}

// busy reports whether the connection has a request in progress, or is closing and waits for the client to close its side.
func (c *Conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != stateIdle
}

// activity reports whether a request is being served on the connection, and since when that has been so.
func (c *Conn) activity() (active bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active, c.since
}

// closeIfIdle ends the stream to the client unless a request, or a part of one, has arrived at this machine. The pending read
// of net/http continues until the client closes its side.
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

// idleCloseResult is the result of closeIfIdle.
type idleCloseResult int

const (
	idleClosed  idleCloseResult = iota // the stream was ended
	notIdle                            // a request is in progress
	unreadBytes                        // bytes have arrived that the process has not read
)

// endStream ends the stream to the client. If that isn't supported or fails, reads end immediately, and net/http closes the
// connection. endStream must not close it: the caller holds mu, and a close waits for a pending read, which waits for mu.
func (c *Conn) endStream() {
	c.state, c.closedAt = stateClosing, time.Now()
	until := c.closedAt
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		until = until.Add(lingerTimeout)
		c.measuresRoundTrip = !tcpstate.Readable(c.Conn)
	}
	_ = c.Conn.SetReadDeadline(until) // on failure, the connection is closed, and reads end
}

// Close implements net.Conn. It ends the stream to the client, discards received bytes, and returns when the client has closed
// its side or lingerTimeout is over: closing a socket with unread bytes sends a reset, which may discard the response.
func (c *Conn) Close() error {
	c.mu.Lock()
	lingers := c.state != stateClosing
	if lingers {
		c.endStream()
	}
	c.mu.Unlock()
	if lingers {
		_, err := io.Copy(io.Discard, c.Conn)
		c.observeClientClose(err)
	}
	return c.Conn.Close()
}

// abort closes the connection immediately, even if requests are in progress.
func (c *Conn) abort() {
	c.mu.Lock()
	c.state = stateClosing
	c.mu.Unlock()
	closeConn(c.Conn)
}

// observeClientClose records the time from the end of our stream to the client's; err is the error that ended the reads.
func (c *Conn) observeClientClose(err error) {
	if err != nil && !errors.Is(err, io.EOF) {
		return
	}
	c.mu.Lock()
	measured, span := c.measuresRoundTrip, time.Since(c.closedAt)
	c.mu.Unlock()
	if measured {
		c.tracker.roundTrips.observe(span)
	}
}

// awaitingClientClose reports whether the connection waits for the client to close its side, and for how long it has waited.
func (c *Conn) awaitingClientClose(now time.Time) (span time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.closedAt), c.state == stateClosing && c.measuresRoundTrip
}

// closeConn closes a connection that isn't used any more, so that an error has no consequence.
func closeConn(conn net.Conn) { _ = conn.Close() }
