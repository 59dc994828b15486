package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinwood/internal/platform/tcpstate"
)

// connTracker knows since when each connection of a client is idle or busy. It closes those that are so for longer than
// the configuration allows, and the longest idle one when there are too many, so that clients can't hold connections
// without using them.
type connTracker struct {
	mu    sync.Mutex
	limit int
	conns map[*clientConn]*connUse
}

// connUse is what net/http last said of a connection.
type connUse struct {
	since  time.Time
	active bool // the head of a request was read
}

func newConnTracker(limit int) *connTracker {
	return &connTracker{limit: limit, conns: map[*clientConn]*connUse{}}
}

// admit takes in a new connection. Where there are too many, the one that has been idle for longest makes room, or else the
// one that has been sending the head of a request for longest; false: there is none.
func (t *connTracker) admit(conn *clientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.limit && !t.evictIdle() && !t.evictUnread() {
		return false
	}
	t.conns[conn] = &connUse{since: time.Now()}
	return true
}

// evictIdle closes the connection that has been idle for longest. One that gets busy meanwhile is passed over.
func (t *connTracker) evictIdle() bool {
	passedOver := map[*clientConn]bool{}
	for {
		conn := t.longest(func(c *clientConn, use *connUse) bool { return !use.active && !c.busy() && !passedOver[c] })
		switch {
		case conn == nil:
			return false
		case conn.closeIfIdle():
			delete(t.conns, conn)
			return true
		}
		passedOver[conn] = true
	}
}

// evictUnread closes the connection whose request has been waited for the longest, without its head being complete.
func (t *connTracker) evictUnread() bool {
	conn := t.longest(func(_ *clientConn, use *connUse) bool { return !use.active })
	if conn == nil {
		return false
	}
	delete(t.conns, conn)
	closeConn(conn)
	return true
}

// longest finds, among the connections that are eligible, the one that has been in its state for longest; nil: none is.
func (t *connTracker) longest(eligible func(*clientConn, *connUse) bool) (oldest *clientConn) {
	for conn, use := range t.conns {
		if eligible(conn, use) && (oldest == nil || use.since.Before(t.conns[oldest].since)) {
			oldest = conn
		}
	}
	return oldest
}

// setState follows what net/http says of a connection.
func (t *connTracker) setState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		conn.endRequest()
	case http.StateActive:
		conn.beginRequest() // of a request whose bytes came together with the previous one
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch use := t.conns[conn]; {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(t.conns, conn)
	case use != nil && state != http.StateNew:
		use.since, use.active = time.Now(), state == http.StateActive
	}
}

// busy counts the connections on which a request is being read, served or answered.
func (t *connTracker) busy() (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		if conn.busy() {
			count++
		}
	}
	return count
}

// idleClose is what closing idle connections met.
type idleClose struct {
	closed int
	unread int // of these, that had something unread in the kernel
	unsent int // bytes that were written to any client and did not reach it yet
}

// add takes the counts of another close, and its unsent bytes if there are more.
func (c *idleClose) add(other idleClose) {
	c.closed, c.unread, c.unsent = c.closed+other.closed, c.unread+other.unread, max(c.unsent, other.unsent)
}

// closeIdle closes the connections that have been idle for so long.
func (t *connTracker) closeIdle(minIdle time.Duration) (met idleClose) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, use := range t.conns {
		if use.active || time.Since(use.since) < minIdle {
			continue
		}
		unread := tcpstate.Readable(conn.Conn)
		if !conn.closeIfIdle() {
			continue
		}
		delete(t.conns, conn)
		met.closed++
		if unread {
			met.unread++
		}
	}
	return met
}

// unsent is how many bytes were written to clients and did not reach them yet.
func (t *connTracker) unsent() (bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		bytes += tcpstate.Unsent(conn.Conn)
	}
	return bytes
}

// closeStale closes what has been idle, or busy with one request, for too long.
func (t *connTracker) closeStale(maxIdle, maxActive time.Duration) {
	t.closeIdle(maxIdle)
	for _, conn := range t.removeStuck(maxActive) {
		closeConn(conn)
	}
}

func (t *connTracker) removeStuck(maxActive time.Duration) (stuck []*clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, use := range t.conns {
		if time.Since(use.since) > maxActive {
			stuck = append(stuck, conn)
			delete(t.conns, conn)
		}
	}
	return stuck
}
