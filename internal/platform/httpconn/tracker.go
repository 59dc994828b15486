package httpconn

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mulleinwood/internal/platform/tcpstate"
)

const (
	// maxLingeringShare is the largest fraction of the connections that may linger after eviction: a flood of new connections
	// must not occupy file descriptors by lingering.
	maxLingeringShare = 0.25
	// maxRoundTripAge is how long a measured round trip is considered valid.
	maxRoundTripAge = lingerTimeout
)

// Tracker contains all clients' connections, and closes those that are no longer needed. It is safe for concurrent use.
type Tracker struct {
	limit      int
	roundTrips roundTrips
	accepting  atomic.Int32 // calls of Accept that have not returned

	mu         sync.Mutex
	conns      map[*Conn]struct{}
	lastAccept time.Time
}

// NewTracker returns a tracker of at most limit connections.
func NewTracker(limit int) *Tracker { return &Tracker{limit: limit, conns: map[*Conn]struct{}{}} }

// Accept waits for a connection and tracks it. Connections beyond the limit are closed. Its errors are the listener's.
func (t *Tracker) Accept(listener net.Listener, timeouts func() Timeouts) (*Conn, error) {
	t.accepting.Add(1)
	defer t.accepting.Add(-1)
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := t.admit(accepted, timeouts()); conn != nil {
			return conn, nil
		}
		closeConn(accepted)
	}
}

// LastAccept returns when the last connection was accepted, or the zero time if none was.
func (t *Tracker) LastAccept() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastAccept
}

// admit tracks a new connection. At the limit, it evicts the connection that has been idle longest, or else the one that has
// been sending the header of a request longest. It returns nil if neither exists.
func (t *Tracker) admit(accepted net.Conn, timeouts Timeouts) *Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.limit && !t.evictIdle() && !t.evictIncomplete() {
		return nil
	}
	conn := newConn(accepted, t, timeouts)
	t.conns[conn] = struct{}{}
	t.lastAccept = time.Now()
	return conn
}

// evictIdle closes the connection that has been idle longest, skipping those with unread bytes. It reports whether there was
// one. The caller must hold mu.
func (t *Tracker) evictIdle() bool {
	lingers := 0
	for conn := range t.conns {
		if conn.isClosing() {
			lingers++
		}
	}
	passedOver := map[*Conn]bool{}
	for {
		conn := t.longestInState(func(c *Conn) bool { return !c.busy() && !passedOver[c] })
		switch {
		case conn == nil:
			return false
		case conn.closeIfIdle() == idleClosed:
			if float64(lingers) >= maxLingeringShare*float64(t.limit) {
				conn.abort()
			}
			return true
		}
		passedOver[conn] = true
	}
}

// evictIncomplete closes the connection that has been waiting longest for the complete header of a request. It reports whether
// there was one. The caller must hold mu.
func (t *Tracker) evictIncomplete() bool {
	conn := t.longestInState(func(c *Conn) bool {
		active, _ := c.activity()
		return !active && !c.isClosing()
	})
	if conn == nil {
		return false
	}
	conn.abort()
	return true
}

// longestInState returns the eligible connection that has been in its state longest, or nil if none is eligible. The caller
// must hold mu.
func (t *Tracker) longestInState(eligible func(*Conn) bool) (oldest *Conn) {
	var oldestSince time.Time
	for conn := range t.conns {
		_, since := conn.activity()
		if eligible(conn) && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = conn, since
		}
	}
	return oldest
}

// SetState updates a connection from net/http's state of it. It must be the server's ConnState.
func (t *Tracker) SetState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.setActive()
	case http.StateIdle:
		conn.setResponseSent()
	case http.StateClosed, http.StateHijacked:
		t.forget(conn)
	}
}

// Drop removes a connection and closes it immediately.
func (t *Tracker) Drop(conn *Conn) {
	t.forget(conn)
	conn.abort()
}

func (t *Tracker) forget(conn *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

// all returns the current connections.
func (t *Tracker) all() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Conn, 0, len(t.conns))
	for conn := range t.conns {
		all = append(all, conn)
	}
	return all
}

// Busy returns the number of connections that have a request in progress, have unread bytes, or wait for the client to close
// its side.
func (t *Tracker) Busy() (count int) {
	for _, conn := range t.all() {
		if conn.busy() || tcpstate.Readable(conn.Conn) {
			count++
		}
	}
	return count
}

// CloseIdle closes the connections that have been idle for at least minIdle, except those with unread bytes. It returns the
// numbers of closed connections and of those skipped because of unread bytes.
func (t *Tracker) CloseIdle(minIdle time.Duration) (closed, unread int) {
	now := time.Now()
	for _, conn := range t.all() {
		if active, since := conn.activity(); active || now.Sub(since) < minIdle {
			continue
		}
		switch conn.closeIfIdle() {
		case idleClosed:
			closed++
		case unreadBytes:
			unread++
		case notIdle:
		}
	}
	return closed, unread
}

// CloseStale closes connections that have been idle for at least maxIdle, and aborts those that have been busy with one
// request, or waiting without unread bytes, for more than maxActive.
func (t *Tracker) CloseStale(maxIdle, maxActive time.Duration) {
	t.CloseIdle(maxIdle)
	now := time.Now()
	for _, conn := range t.all() {
		active, since := conn.activity()
		if now.Sub(since) <= maxActive || conn.isClosing() {
			continue
		}
		if active || !tcpstate.Readable(conn.Conn) {
			t.Drop(conn)
		}
	}
}

// Abort closes all connections immediately.
func (t *Tracker) Abort() {
	for _, conn := range t.all() {
		conn.abort()
	}
}

// RoundTripWithin reports whether the round trip to the clients, from a close to the client's own close, is at most bound
// according to the recent closes. Idle connections should be closed only then: a request that is lost to the close was sent
// at most that long before its client sees the close. Without a recent or pending close, it reports true.
func (t *Tracker) RoundTripWithin(bound time.Duration) bool {
	if t.roundTrips.last(maxRoundTripAge) > bound {
		return false
	}
	now := time.Now()
	for _, conn := range t.all() {
		if span, ok := conn.awaitingClientClose(now); ok && span > bound {
			return false
		}
	}
	return true
}

// Unsent returns the number of bytes that were written to clients and not received by them yet.
func (t *Tracker) Unsent() (bytes int) {
	for _, conn := range t.all() {
		bytes += tcpstate.Unsent(conn.Conn)
	}
	return bytes
}

// roundTrips contains the last measured time from a close to the client's close. It is safe for concurrent use.
type roundTrips struct {
	mu         sync.Mutex
	observedAt time.Time
	duration   time.Duration
}

func (r *roundTrips) observe(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observedAt, r.duration = time.Now(), span
}

// last returns the last measurement, or 0 if there is none or it is older than maxAge.
func (r *roundTrips) last(maxAge time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.observedAt) > maxAge {
		return 0
	}
	return r.duration
}
