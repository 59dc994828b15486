// Package transport moves bytes between sockets and protocol machines. It knows no message.
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

// Sizes of the buffers of a connection.
const (
	initialBufferSize     = 1 << 10 // of either buffer
	maxUnidentifiedBuffer = 4 << 10 // most that a connection may hold before it has said who it is
	maxInputBuffer        = 2 << 20 // most that a known connection may hold: a line of 1 MiB and what follows it
	maxOutputBuffer       = 2 << 20 // most that may wait for a peer that doesn't read
)

var (
	// ErrOverflow says that a peer left too much unread.
	ErrOverflow = errors.New("peer leaves its messages unread")
	// ErrJoinTimeout says that a peer has not said in time who it is.
	ErrJoinTimeout = errors.New("has not joined in time")
)

// Machine is a protocol fed with bytes. It takes from the buffer what is complete and leaves the rest.
type Machine interface {
	Feed(in *ring.Buffer) error
}

// ConnState says how much a connection has shown of itself. It decides who goes first when descriptors run out.
type ConnState int32

// The standings, those that go first first.
const (
	Silent       ConnState = iota // has sent no whole message
	Unidentified                  // has sent some, and has not said who it is
	Superseded                    // was known, and another has come in its place; it may be gone without a sign
	Identified                    // a stream or a collector, which are never shed
)

var lastID atomic.Uint64

// NextID is the number of a connection, or of a stream within one, that begins now: larger than all before.
func NextID() uint64 { return lastID.Add(1) }

// Conn is one accepted connection: a reader that feeds a machine and a writer that empties a buffer.
type Conn struct {
	id              uint64
	nc              net.Conn
	in              *ring.Buffer // the reader's own
	state           atomic.Int32
	replyPending    atomic.Bool // something that the planner owes an answer, which it can't give yet
	joinDeadline    time.Time   // the reader's own, as the next two
	pastDeadline    bool        // joinBy has passed
	wasReplyPending bool        // it was owed an answer when it was last read
	deadlineCleared bool        // it has joined, and its reads end at no time
	handoff         func(*Conn, net.Conn)
	sawFirstByte    bool // its first bytes have come

	mu          sync.Mutex
	out         *ring.Buffer
	closeReason error
	writeSignal chan struct{}
}

func newConn(nc net.Conn, budget *ring.Budget) *Conn {
	return &Conn{id: NextID(), nc: nc, in: ring.New(initialBufferSize, maxUnidentifiedBuffer, budget),
		out: ring.New(initialBufferSize, maxOutputBuffer, budget), writeSignal: make(chan struct{}, 1)}
}

// ID is larger for connections accepted later.
func (c *Conn) ID() uint64 { return c.id }

// Remote is the peer's address, for the log.
func (c *Conn) Remote() string { return c.nc.RemoteAddr().String() }

// SetReplyPending notes whether the peer has asked something that is not yet answered. While that is so, the time in which it
// must join does not end: a planner that can't make orders yet answers whoever asked before.
func (c *Conn) SetReplyPending(pending bool) { c.replyPending.Store(pending) }

// MarkSuperseded notes that another connection has come in place of this one. It rises again if its peer still speaks.
func (c *Conn) MarkSuperseded() { c.state.Store(int32(Superseded)) }

// Promote notes what the peer has shown of itself. Called by the connection's machine.
func (c *Conn) Promote(s ConnState) {
	if ConnState(c.state.Load()) < s {
		c.state.Store(int32(s))
	}
	if s == Identified {
		c.in.SetLimit(maxInputBuffer)
	}
}

// Joined says whether the peer has shown who it is, now or before another came in its place.
func (c *Conn) Joined() bool { return ConnState(c.state.Load()) >= Superseded }

// Send queues bytes for the peer. It never waits: a peer that leaves too much unread loses this connection.
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

// Close ends the connection for the given reason; the first reason counts.
func (c *Conn) Close(reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(reason)
}

func (c *Conn) closeLocked(reason error) {
	if c.closeReason == nil {
		c.closeReason = reason
		closeConn(c.nc)
		close(c.writeSignal)
	}
}

// reason is why the connection ended, or nil.
func (c *Conn) reason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeReason
}

// read reads once. As long as the peer is not known it must become so within the given time, whatever it sends
// or doesn't: guards against peers that hold descriptors and memory and are nobody. A deadline that passed while
// this process stood still is given one more read, and no second one: the peer may send without an end.
func (c *Conn) read(buf []byte, joinTimeout time.Duration) (int, error) {
	if c.Joined() || joinTimeout <= 0 {
		if joinTimeout > 0 && !c.deadlineCleared {
			c.deadlineCleared = true
			_ = c.nc.SetReadDeadline(time.Time{}) // it fails on a closed connection only, which Read tells
		}
		return c.nc.Read(buf)
	}
	for {
		asked := c.replyPending.Load()
		if c.wasReplyPending && !asked { // its answer must reach it: the time begins anew
			c.joinDeadline, c.pastDeadline = time.Now().Add(joinTimeout), false
		}
		c.wasReplyPending = asked
		if c.pastDeadline {
			if !asked {
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

// serve runs the connection until it ends and returns why. A panic of the machine ends this connection alone.
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

// write sends what waits until the connection ends.
func (c *Conn) write() {
	for range c.writeSignal {
		for {
			c.mu.Lock()
			first, _ := c.out.Peek() // stays as it is while more is appended behind it
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
