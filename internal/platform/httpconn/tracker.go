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
	// maxLingerShare is the share of the connections that may linger after they made room for others: a flood of new ones
	// must not hold descriptors by closing.
	maxLingerShare = 0.25
	// roundTripAge is how long the last close's round trip says something about the way to the clients.
	roundTripAge = lingerTimeout
)

// Tracker holds all connections of clients, and ends those that are not needed any more. It is safe for concurrent use.
type Tracker struct {
	limit      int
	roundTrips roundTrips
	accepting  atomic.Int32 // calls of Accept that have not returned

	mu         sync.Mutex
	conns      map[*Conn]struct{}
	lastAccept time.Time
}

// NewTracker makes a tracker of at most so many connections.
func NewTracker(limit int) *Tracker { return &Tracker{limit: limit, conns: map[*Conn]struct{}{}} }

// Accept waits for a connection and takes it in. One for which there is no room is closed. Its errors are the listener's.
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

// LastAccept is when the last connection was taken in; zero: none was.
func (t *Tracker) LastAccept() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastAccept
}

// admit takes in a new connection. Where there are too many, the one that has been idle for longest makes room, or else the
// one that has been sending the head of a request for longest; nil: there is none, and the connection was not taken.
func (t *Tracker) admit(accepted net.Conn, timeouts Timeouts) *Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.limit && !t.evictIdle() && !t.evictUnread() {
		return nil
	}
	conn := newConn(accepted, t, timeouts)
	t.conns[conn] = struct{}{}
	t.lastAccept = time.Now()
	return conn
}

// evictIdle closes the connection that has been idle for longest. One on which something has arrived meanwhile is passed over.
func (t *Tracker) evictIdle() bool {
	lingers := 0
	for conn := range t.conns {
		if conn.isClosing() {
			lingers++
		}
	}
	passedOver := map[*Conn]bool{}
	for {
		conn := t.longest(func(c *Conn) bool { return !c.busy() && !passedOver[c] })
		switch {
		case conn == nil:
			return false
		case conn.closeIfIdle() == idleClosed:
			if float64(lingers) >= maxLingerShare*float64(t.limit) {
				conn.abort()
			}
			return true
		}
		passedOver[conn] = true
	}
}

// evictUnread closes the connection whose request has been waited for the longest, without its head being complete.
func (t *Tracker) evictUnread() bool {
	conn := t.longest(func(c *Conn) bool {
		active, _ := c.use()
		return !active && !c.isClosing()
	})
	if conn == nil {
		return false
	}
	conn.abort()
	return true
}

// longest finds, among the connections that are eligible, the one that has been in its state for longest; nil: none is.
func (t *Tracker) longest(eligible func(*Conn) bool) (oldest *Conn) {
	var oldestSince time.Time
	for conn := range t.conns {
		_, since := conn.use()
		if eligible(conn) && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = conn, since
		}
	}
	return oldest
}

// SetState follows what net/http says of a connection: it is the server's ConnState.
func (t *Tracker) SetState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.setActive()
	case http.StateIdle:
		conn.setAnswered()
	case http.StateClosed, http.StateHijacked:
		t.forget(conn)
	}
}

// Drop closes a connection that no server took.
func (t *Tracker) Drop(conn *Conn) {
	t.forget(conn)
	conn.abort()
}

func (t *Tracker) forget(conn *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

// all gives the connections as they are now.
func (t *Tracker) all() []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Conn, 0, len(t.conns))
	for conn := range t.conns {
		all = append(all, conn)
	}
	return all
}

// Busy counts the connections on which a request is being read, served or answered, on which something has arrived that was not
// read, or whose client's end is awaited.
func (t *Tracker) Busy() (count int) {
	for _, conn := range t.all() {
		if conn.busy() || tcpstate.Readable(conn.Conn) {
			count++
		}
	}
	return count
}

// CloseIdle closes the connections that have been idle for so long, unless something has arrived on them. It counts those
// that it closed, and those that it passed over since something had arrived that the process had not read.
func (t *Tracker) CloseIdle(minIdle time.Duration) (closed, unread int) {
	now := time.Now()
	for _, conn := range t.all() {
		if active, since := conn.use(); active || now.Sub(since) < minIdle {
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

// CloseStale closes what has been idle, or busy with one request, for too long.
func (t *Tracker) CloseStale(maxIdle, maxActive time.Duration) {
	t.CloseIdle(maxIdle)
	now := time.Now()
	for _, conn := range t.all() {
		active, since := conn.use()
		if now.Sub(since) <= maxActive || conn.isClosing() {
			continue
		}
		if active || !tcpstate.Readable(conn.Conn) {
			t.Drop(conn)
		}
	}
}

// Abort closes all connections at once.
func (t *Tracker) Abort() {
	for _, conn := range t.all() {
		conn.abort()
	}
}

// RoundTripWithin reports whether a client learns of a close, and this process of the client's, within a bound, as far as the last
// closes show. Only then may a connection be closed at will: a request that crosses the close was sent no longer before its
// client sees the end. Where nothing was closed lately and nothing waits, the way to the clients counts as free.
func (t *Tracker) RoundTripWithin(bound time.Duration) bool {
	if t.roundTrips.last(roundTripAge) > bound {
		return false
	}
	now := time.Now()
	for _, conn := range t.all() {
		if span, ok := conn.awaitsClient(now); ok && span > bound {
			return false
		}
	}
	return true
}

// Unsent is how many bytes were written to clients and did not reach them yet.
func (t *Tracker) Unsent() (bytes int) {
	for _, conn := range t.all() {
		bytes += tcpstate.Unsent(conn.Conn)
	}
	return bytes
}

// roundTrips holds the last time from a close to its client's own.
type roundTrips struct {
	mu   sync.Mutex
	at   time.Time
	span time.Duration
}

func (r *roundTrips) observe(span time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at, r.span = time.Now(), span
}

// last is the last one, if it is not older than that; 0: there is none.
func (r *roundTrips) last(maxAge time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.at) > maxAge {
		return 0
	}
	return r.span
}
