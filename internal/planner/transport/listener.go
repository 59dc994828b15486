package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mulleinwood/internal/planner/transport/ring"
)

// acceptBackoff is how long accepting rests after the system refused a descriptor and nothing could be shed.
const acceptBackoff = 10 * time.Millisecond

// ErrLoadShed ends a connection that had to make room for another.
var ErrLoadShed = errors.New("shed to make room")

// Handler makes the machine of an accepted connection, and hears of its end. It hears too of connections that were
// refused since all others are known.
type Handler interface {
	Accepted(c *Conn) Machine
	Closed(c *Conn, reason error)
	Rejected(peer string)
}

// NewBufferBudget returns a budget for what connections hold beyond the little that each may hold in any case.
func NewBufferBudget(limit int64) *ring.Budget { return ring.NewBudget(limit, maxUnidentifiedBuffer) }

// Listener accepts connections, no more than Most at a time. All their buffers together stay within Memory. A
// connection that is not known within Join of its accepting is closed; 0: it may stay.
type Listener struct {
	JoinTimeout time.Duration
	// Foreign takes over connections whose first byte is of HTTP/2 or TLS; nil: they are fed to the machine as any. It must
	// see to it that the connection is closed in the end.
	Handoff func(c *Conn, nc net.Conn)
	Memory  *ring.Budget

	maxConns atomic.Int64
	ln       net.Listener
	mu       sync.Mutex
	conns    map[uint64]*Conn
	serving  sync.WaitGroup
}

// Listen opens the address.
func Listen(address string, maxConns int, budget *ring.Budget) (*Listener, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{Memory: budget, ln: ln, conns: map[uint64]*Conn{}}
	l.SetMaxConns(maxConns)
	return l, nil
}

// SetMaxConns changes how many connections may be open from the next one on.
func (l *Listener) SetMaxConns(limit int) { l.maxConns.Store(int64(limit)) }

// full says whether no more connections may be open.
func (l *Listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.conns)) >= l.maxConns.Load()
}

// Addr is the address that it listens on.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Serve accepts until ctx ends, then closes every connection and waits for them.
func (l *Listener) Serve(ctx context.Context, h Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = l.ln.Close() }) // its end is what Accept tells
	defer stop()
	defer l.closeAll(net.ErrClosed)
	for {
		nc, err := l.ln.Accept()
		if ctx.Err() != nil {
			if nc != nil {
				closeConn(nc)
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil { // mostly: out of descriptors
			if !l.shedOne() {
				time.Sleep(acceptBackoff)
			}
			continue
		}
		c := newConn(nc, l.Memory)
		c.handoff = l.Handoff
		for l.full() && l.shedOne() {
		}
		if l.full() {
			h.Rejected(nc.RemoteAddr().String())
			closeConn(nc)
			continue
		}
		l.mu.Lock()
		l.conns[c.id] = c
		l.mu.Unlock()
		l.serving.Go(func() {
			reason := c.serve(h.Accepted(c), l.JoinTimeout)
			l.mu.Lock()
			delete(l.conns, c.id)
			l.mu.Unlock()
			h.Closed(c, reason)
		})
	}
}

// shedOne closes the connection that has shown least of itself, the oldest of those; never a known one. Guards
// against strangers that connect and say nothing until no descriptor is left for a proxy.
func (l *Listener) shedOne() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *Conn
	for _, c := range l.conns {
		if ConnState(c.state.Load()) == Identified {
			continue
		}
		if victim == nil || c.state.Load() < victim.state.Load() ||
			c.state.Load() == victim.state.Load() && c.id < victim.id {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	delete(l.conns, victim.id)
	victim.Close(ErrLoadShed)
	return true
}

func (l *Listener) closeAll(reason error) {
	l.mu.Lock()
	for _, c := range l.conns {
		c.Close(reason)
	}
	l.mu.Unlock()
	l.serving.Wait()
}
