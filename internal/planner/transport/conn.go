// Package transport moves bytes between sockets and protocol state machines. It doesn't interpret messages.
package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"mulleinwood/internal/planner/transport/ring"
)

// Sizes of a connection's buffers, in bytes.
const (
	initialBufferSize     = 1 << 10 // initial size of the input and the output buffer
	maxUnidentifiedBuffer = 4 << 10 // limit of the input buffer until the peer is identified
	maxInputBuffer        = 2 << 20 // limit of the input buffer afterwards: a line of 1 MiB and the data that follows it
	maxOutputBuffer       = 2 << 20 // limit of the output buffered for a peer that doesn't read
)

var (
	// ErrOverflow closes a connection whose output buffer is full because its peer doesn't read.
	ErrOverflow = errors.New("peer leaves its messages unread")
	// ErrJoinTimeout closes a connection whose peer has not identified itself in time.
	ErrJoinTimeout = errors.New("has not joined in time")
)

// Machine is the state machine of a protocol. Feed consumes the complete messages in the buffer and leaves the rest.
type Machine interface {
	Feed(in *ring.Buffer) error
}

// ConnState is the state of a connection's identification. Load shedding closes connections of the lowest state first.
type ConnState int32

// The states of a connection, in the order in which connections are shed.
const (
	Silent       ConnState = iota // has sent no complete message
	Unidentified                  // has sent messages but hasn't identified itself
	Superseded                    // was identified and replaced by another connection; its peer may be gone without a FIN
	Identified                    // a proxy's stream or a collector; never shed
)

var lastID atomic.Uint64

// NextID returns an ID for a new connection, or for a new stream within one. It is larger than all earlier IDs.
func NextID() uint64 { return lastID.Add(1) }

// Conn is one accepted connection. A reader goroutine feeds a machine, and a writer goroutine sends the output buffer.
type Conn struct {
	id              uint64
	nc              net.Conn
	in              *ring.Buffer // accessed by the reader only
	state           atomic.Int32
	replyPending    atomic.Bool // the peer waits for a reply that the planner can't give yet
	joinDeadline    time.Time   // accessed by the reader only, as all fields up to mu
	pastDeadline    bool        // joinDeadline has passed
	wasReplyPending bool        // value of replyPending at the last read
	deadlineCleared bool        // the peer has joined, and reads have no deadline
	handoff         func(*Conn, net.Conn)
	sawFirstByte    bool // the first bytes were received

	mu          sync.Mutex
	out         *ring.Buffer
	closeReason error
	writeSignal chan struct{}
}

func newConn(nc net.Conn, budget *ring.Budget) *Conn {
	return &Conn{id: NextID(), nc: nc, in: ring.New(initialBufferSize, maxUnidentifiedBuffer, budget),
		out: ring.New(initialBufferSize, maxOutputBuffer, budget), writeSignal: make(chan struct{}, 1)}
}

// ID returns the connection's ID. Connections accepted later have larger IDs.
func (c *Conn) ID() uint64 { return c.id }

// Remote returns the peer's address, for the log.
func (c *Conn) Remote() string { return c.nc.RemoteAddr().String() }

// SetReplyPending sets whether the peer has sent a request that isn't answered yet. Until it is answered, the join timeout
// is suspended, because a planner that can't compute orders yet delays its replies.
func (c *Conn) SetReplyPending(pending bool) { c.replyPending.Store(pending) }

// MarkSuperseded is called when another connection of the same peer replaces this one. Promote makes it Identified again if
// it still receives messages.
func (c *Conn) MarkSuperseded() { c.state.Store(int32(Superseded)) }

// Promote raises the connection's state; it never lowers it. It is called by the connection's machine.
func (c *Conn) Promote(s ConnState) {
	if ConnState(c.state.Load()) < s {
		c.state.Store(int32(s))
	}
	if s == Identified {
		c.in.SetLimit(maxInputBuffer)
	}
}

// Joined reports whether the peer has identified itself, even if the connection is superseded.
func (c *Conn) Joined() bool { return ConnState(c.state.Load()) >= Superseded }

// Send queues bytes for the peer without blocking. If the output buffer is full, it closes the connection and returns
// ErrOverflow.
func (c *Conn) Send(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeReason != nil {
		return c.closeReason
	}
	if _, err := c.out.Write(p); err != nil {
		c.closeLocked(ErrOverflow)
		return ErrOverflow
	}
	select {
	case c.writeSignal <- struct{}{}:
	default:
	}
	return nil
}

// Close closes the connection. Only the reason of the first call is kept.
func (c *Conn) Close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(reason)
}

// closeLocked closes the connection. The caller must hold mu.
func (c *Conn) closeLocked(reason error) {
	if c.closeReason == nil {
		c.closeReason = reason
		closeConn(c.nc)
		close(c.writeSignal)
	}
}

// reason returns the reason for which the connection was closed, or nil.
func (c *Conn) reason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason
}

// read reads once. It enforces the join timeout on a peer that isn't identified, whether or not the peer sends data, so that
// unidentified peers can't hold descriptors and memory. If the deadline passed while this process was paused, one more read
// is allowed. A second one is not, since the peer may send without end.
func (c *Conn) read(buf []byte, joinTimeout time.Duration) (int, error) {
	if c.Joined() || joinTimeout <= 0 {
		if joinTimeout > 0 && !c.deadlineCleared {
			c.deadlineCleared = true
			_ = c.nc.SetReadDeadline(time.Time{}) // fails only on a closed connection, which Read reports
		}
		return c.nc.Read(buf)
	}
	for {
		pending := c.replyPending.Load()
		if c.wasReplyPending && !pending { // restart the timeout, so that the reply can reach the peer
			c.joinDeadline, c.pastDeadline = time.Now().Add(joinTimeout), false
		}
		c.wasReplyPending = pending
		if c.pastDeadline {
			if !pending {
				return 0, ErrJoinTimeout
			}
			c.joinDeadline = time.Now().Add(joinTimeout)
		}
		c.pastDeadline = time.Now().After(c.joinDeadline)
		n, err := read(c.nc, buf, c.joinDeadline)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		c.pastDeadline = true
	}
}

// serve runs the connection until it is closed and returns the reason. A panic of the machine closes only this connection.
func (c *Conn) serve(machine Machine, joinTimeout time.Duration) (reason error) {
	if c.joinDeadline = time.Now().Add(joinTimeout); joinTimeout <= 0 {
		c.joinDeadline = time.Time{}
	}
	var writer sync.WaitGroup
	writer.Go(c.write)
	defer func() {
		if p := recover(); p != nil {
			c.Close(fmt.Errorf("panic: %v\n%s", p, debug.Stack()))
		}
		reason = c.reason()
		writer.Wait()
		c.in.Free()
		c.out.Free()
	}()
	for {
		space, err := c.in.Space()
		if err != nil {
			c.Close(fmt.Errorf("line too long: %w", err))
			return
		}
		n, err := c.read(space, joinTimeout)
		c.in.Commit(n)
		if n > 0 && !c.sawFirstByte && c.handoff != nil {
			if c.sawFirstByte = true; isForeign(c.in) {
				c.handOff()
				return
			}
		}
		if n > 0 {
			if feedErr := machine.Feed(c.in); feedErr != nil {
				c.Close(feedErr)
				return
			}
		}
		if err != nil {
			c.Close(fmt.Errorf("read: %w", err))
			return
		}
	}
}

// write sends the buffered output until the connection is closed.
func (c *Conn) write() {
	for range c.writeSignal {
		for {
			c.mu.Lock()
			first, _ := c.out.Peek() // stays valid while Send appends to the buffer
			c.mu.Unlock()
			if len(first) == 0 {
				break
			}
			n, err := c.nc.Write(first)
			c.mu.Lock()
			c.out.Discard(n)
			c.mu.Unlock()
			if err != nil {
				c.Close(fmt.Errorf("write: %w", err))
				break
			}
		}
	}
}
