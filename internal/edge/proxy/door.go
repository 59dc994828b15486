package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinwood/internal/config"
)

// What clients may send before any configuration says so.
const (
	headerBytes = 64 << 10
	headerWait  = 10 * time.Second
	idleBefore  = 15 * time.Second
)

const (
	clientShare  = 0.6             // of the descriptors, for clients' connections
	keptHandles  = 200             // that the platform reserves for files
	activeBeyond = 5 * time.Second // past deadline and idle time, after which a request's connection is stuck
)

// door lets clients' connections in, under the limits in force. net/http takes its limits when a server starts, so
// other limits get a server of their own: new connections go to it, and those that are there stay under theirs.
type door struct {
	handler http.Handler
	conns   *conns

	mu     sync.Mutex
	limits config.Limits
	lobby  *lobby
}

// lobby is the listener of one server: connections are handed to it.
type lobby struct {
	in     chan net.Conn
	closed chan struct{}
	addr   net.Addr
	header time.Duration
	idle   time.Duration
}

func (l *lobby) Accept() (net.Conn, error) {
	select {
	case conn := <-l.in:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *lobby) Close() error   { return nil } // only change closes it
func (l *lobby) Addr() net.Addr { return l.addr }

// open takes connections in until the listener is closed.
func (d *door) open(front net.Listener) error {
	d.change(front.Addr())
	for {
		conn, err := front.Accept()
		if err != nil {
			return err
		}
		d.mu.Lock()
		at := d.lobby
		d.mu.Unlock()
		caller := &caller{Conn: conn, silent: true, header: at.header, idle: at.idle}
		if !d.conns.admit(caller) {
			conn.Close()
			continue
		}
		select {
		case at.in <- caller: // its server waits for it
		case <-at.closed: // this process stood still meanwhile
			d.conns.state(caller, http.StateClosed)
			conn.Close()
		}
	}
}

// limit takes over the limits of a configuration, which may come before the door opens.
func (d *door) limit(limits config.Limits) {
	d.mu.Lock()
	same := d.limits.HeaderBytes == limits.HeaderBytes && d.limits.HeaderWait == limits.HeaderWait && d.limits.Idle == limits.Idle
	at := d.lobby
	d.limits = limits
	d.mu.Unlock()
	if at != nil && !same {
		d.change(at.addr)
	}
}

// change has new connections served under the limits as they are now.
func (d *door) change(addr net.Addr) {
	d.mu.Lock()
	limits, old := d.limits, d.lobby
	next := &lobby{in: make(chan net.Conn), closed: make(chan struct{}), addr: addr, header: headerWait, idle: idleBefore}
	most := headerBytes
	if limits.HeaderBytes > 0 {
		most = limits.HeaderBytes
	}
	if limits.HeaderWait > 0 {
		next.header = time.Duration(limits.HeaderWait * float64(time.Second))
	}
	if limits.Idle > 0 {
		next.idle = time.Duration(limits.Idle * float64(time.Second))
	}
	d.lobby = next
	d.mu.Unlock()
	server := &http.Server{Handler: d.handler, ReadHeaderTimeout: next.header, IdleTimeout: time.Hour, MaxHeaderBytes: most, ConnState: d.conns.state}
	go func() { _ = server.Serve(next) }() // ends when other limits come
	if old != nil {
		go func() { // whoever was being handed over still finds it open
			time.Sleep(time.Second)
			close(old.closed)
		}()
	}
}

// caller is a client's connection. Until its first byte it is idle, and only from then on late with its header: clients
// may connect ahead of what they send.
type caller struct {
	net.Conn
	silent       bool // used by the connection's one reader
	header, idle time.Duration
}

// SetReadDeadline is called by net/http before the first header with the time that a header may take.
func (c *caller) SetReadDeadline(t time.Time) error {
	if c.silent && !t.IsZero() && time.Until(t) > 0 {
		t = time.Now().Add(c.idle)
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *caller) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent && n > 0 {
		c.silent = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.header)) // a connection that is closed fails at the next read
	}
	return n, err
}

// conns knows clients' connections: since when each is idle or busy. It closes those that are so for longer than the
// configuration allows, and the longest idle when there are too many. It guards against clients that hold connections
// without using them.
type conns struct {
	mu   sync.Mutex
	most int
	all  map[net.Conn]*use
}

type use struct {
	since  time.Time
	active bool
}

// admit takes a new connection in. Where there are too many, the one that has been idle for longest makes room.
func (k *conns) admit(conn net.Conn) bool {
	k.mu.Lock()
	var oldest net.Conn
	if len(k.all) >= k.most {
		for c, u := range k.all {
			if !u.active && (oldest == nil || u.since.Before(k.all[oldest].since)) {
				oldest = c
			}
		}
		if oldest == nil {
			k.mu.Unlock()
			return false
		}
		delete(k.all, oldest)
	}
	k.all[conn] = &use{since: time.Now()}
	k.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return true
}

// state follows what net/http says of a connection.
func (k *conns) state(conn net.Conn, s http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch u := k.all[conn]; {
	case s == http.StateClosed || s == http.StateHijacked:
		delete(k.all, conn)
	case u != nil && s != http.StateNew:
		u.since, u.active = time.Now(), s == http.StateActive
	}
}

// sweep closes what has been idle, or busy with one request, for too long.
func (k *conns) sweep(idle, active time.Duration) {
	k.mu.Lock()
	var old []net.Conn
	for conn, u := range k.all {
		if most := idle; time.Since(u.since) > most && !u.active || time.Since(u.since) > active {
			old = append(old, conn)
			delete(k.all, conn)
		}
	}
	k.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}
