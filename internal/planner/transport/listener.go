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

// acceptBackoff is the pause of Accept after it failed for lack of descriptors and no connection could be shed.
const acceptBackoff = 10 * time.Millisecond

// ErrLoadShed closes a connection to make room for another.
var ErrLoadShed = errors.New("shed to make room")

// Handler provides the machine of an accepted connection and is notified when the connection is closed. Rejected is called
// for a connection that is rejected because all others are identified.
type Handler interface {
	Accepted(c *Conn) Machine
	Closed(c *Conn, reason error)
	Rejected(peer string)
}

// NewBufferBudget returns a budget of limit bytes for the buffers of connections. The first bytes of each buffer, as many as
// an unidentified connection may use, don't count.
func NewBufferBudget(limit int64) *ring.Budget { return ring.NewBudget(limit, maxUnidentifiedBuffer) }

// Listener accepts a limited number of concurrent connections, see SetMaxConns. Their buffers share the budget Memory. A
// connection that isn't identified within JoinTimeout is closed; 0 disables the timeout.
type Listener struct {
	JoinTimeout time.Duration
	// Handoff takes over connections that begin with HTTP/2 or TLS, and must make sure that they are closed in the end. If it
	// is nil, they are fed to the machine like all others.
	Handoff func(c *Conn, nc net.Conn)
	Memory  *ring.Budget

	maxConns atomic.Int64
	ln       net.Listener
	mu       sync.Mutex
	conns    map[uint64]*Conn
	serving  sync.WaitGroup
}

// Listen listens on a TCP address.
func Listen(address string, maxConns int, budget *ring.Budget) (*Listener, error) {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{Memory: budget, ln: ln, conns: map[uint64]*Conn{}}
	l.SetMaxConns(maxConns)
	return l, nil
}

// SetMaxConns changes the limit of open connections. It applies from the next connection on.
func (l *Listener) SetMaxConns(limit int) { l.maxConns.Store(int64(limit)) }

// full reports whether the limit of open connections is reached.
func (l *Listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.conns)) >= l.maxConns.Load()
}

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Serve accepts connections until ctx is done, then closes all connections and waits for their goroutines.
func (l *Listener) Serve(ctx context.Context, h Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = l.ln.Close() }) // Accept reports the closing
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
		if err != nil { // usually out of descriptors
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

// shedOne closes the oldest connection of the lowest state and reports whether there was one; identified connections are
// never closed. It keeps silent, unidentified peers from using up the descriptors that proxies need.
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
