package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/platform/peer"
)

const (
	dialLimit   = 400 * time.Millisecond
	userTimeout = 2000                    // milliseconds that sent bytes may stay unacknowledged: a cut is silent
	idleUnknown = 8 * time.Second         // a server's idle time, where it doesn't say
	idleEarly   = 1500 * time.Millisecond // a connection is closed here that much before the server closes it
)

// cutSoon has the kernel end connections whose peer is silent.
func cutSoon(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout) // a platform without it: deadlines remain
	})
}

// upstream is a picker's upstream with its connections. They end with it, whoever has the address next.
type upstream struct {
	*picker.Upstream
	address string

	mu      sync.Mutex
	idle    []*serverConn
	idleFor time.Duration
	dead    bool
}

// serverConn is a connection to a server that carries one request at a time.
type serverConn struct {
	conn    *http.ClientConn
	watched *watchedConn
	since   time.Duration // idle
	used    bool          // it carried a request before
}

// upstreams holds the picker, and a lock around it.
type upstreams struct {
	mu sync.Mutex
	*picker.Picker
}

// heard takes news of servers.
func (c *Proxy) heard(entries []registry.Entry) {
	c.mu.Lock()
	c.upstreams.mu.Lock()
	changed := false
	var ended []*upstream
	for _, e := range entries {
		now, _ := c.registry.Take(e, c.now())
		switch {
		case now.State != registry.Ready || now.Lapsed:
			if u := c.upstreams.End(e.ID); u != nil {
				ended = append(ended, u.Host.(*upstream))
				changed = true
			}
		case c.upstreams.Upstream(e.ID) == nil && now.Address != "":
			u := &upstream{address: now.Address, idleFor: idleUnknown}
			u.Upstream = &picker.Upstream{ID: now.ID, Service: now.Service, Zone: now.Zone, Capacity: now.Capacity, Host: u}
			c.upstreams.Add(u.Upstream)
			changed = true
		}
		c.upstreams.Silent(e.ID, now.Silent)
	}
	c.upstreams.mu.Unlock()
	c.mu.Unlock()
	for _, u := range ended {
		u.end()
	}
	if changed {
		c.waiting.wakeAll()
	}
}

// weigh takes the tables' changed lines.
func (c *Proxy) weigh(w *peer.Weights) {
	c.upstreams.mu.Lock()
	defer c.upstreams.mu.Unlock()
	for _, service := range w.Whole {
		c.upstreams.Unweigh(service)
	}
	for _, one := range w.Lines {
		c.upstreams.Weigh(one.Server, one.Weight)
	}
}

// end closes an upstream: nothing new is sent, what is out goes on.
func (u *upstream) end() {
	u.mu.Lock()
	u.dead = true
	idle := u.idle
	u.idle = nil
	u.mu.Unlock()
	for _, k := range idle {
		k.conn.Close()
	}
}

// left tells whether the upstream's server is leaving or gone.
func (u *upstream) left() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.dead
}

func (u *upstream) sweep(now time.Duration) {
	u.mu.Lock()
	var old []*serverConn
	u.idle = slices.DeleteFunc(u.idle, func(k *serverConn) bool {
		if now-k.since > u.idleFor-idleEarly || k.conn.Err() != nil {
			old = append(old, k)
			return true
		}
		return false
	})
	u.mu.Unlock()
	for _, k := range old {
		k.conn.Close()
	}
}

// pick chooses a server that this request was not at yet, and books a place on it.
func (c *Proxy) pick(service string, not []*upstream) *upstream {
	c.upstreams.mu.Lock()
	defer c.upstreams.mu.Unlock()
	u := c.upstreams.Pick(service, func(u *picker.Upstream) bool { return slices.Contains(not, u.Host.(*upstream)) }, c.now())
	if u == nil {
		return nil
	}
	return u.Host.(*upstream)
}

func (c *Proxy) serves(service string) bool {
	c.upstreams.mu.Lock()
	defer c.upstreams.mu.Unlock()
	return c.upstreams.Serves(service)
}

// done gives the booked place back and counts how it went.
func (c *Proxy) done(u *upstream, took time.Duration, arrived, answered bool) {
	c.upstreams.mu.Lock()
	defer c.upstreams.mu.Unlock()
	c.upstreams.Done(u.Upstream, took, arrived, answered, c.now())
}

// connect gives a connection that is free, or a new one.
func (c *Proxy) connect(ctx context.Context, u *upstream, fresh bool) (*serverConn, error) {
	now := c.now()
	for !fresh {
		u.mu.Lock()
		n := len(u.idle)
		if n == 0 {
			u.mu.Unlock()
			break
		}
		k := u.idle[n-1]
		u.idle = u.idle[:n-1]
		old := now-k.since > u.idleFor-idleEarly
		u.mu.Unlock()
		if !old && k.conn.Err() == nil && k.watched.clean() {
			k.used = true
			return k, nil
		}
		k.conn.Close()
	}
	k := &serverConn{}
	conn, err := c.dialer.NewClientConn(context.WithValue(ctx, watchedKey{}, &k.watched), "http", u.address)
	if err != nil {
		return nil, err
	}
	k.conn = conn
	return k, nil
}

// free takes a connection back.
func (u *upstream) free(k *serverConn, now time.Duration, header http.Header) {
	if v := header.Get("Keep-Alive"); v != "" {
		for _, part := range strings.Split(v, ",") {
			if name, figure, ok := strings.Cut(strings.TrimSpace(part), "="); ok && name == "timeout" {
				if s, err := strconv.Atoi(figure); err == nil && s > 0 {
					u.mu.Lock()
					u.idleFor = max(time.Duration(s)*time.Second, idleEarly+100*time.Millisecond)
					u.mu.Unlock()
				}
			}
		}
	}
	var oldest *serverConn
	u.mu.Lock()
	k.since = now
	keep := !u.dead && k.conn.Err() == nil
	if keep {
		u.idle = append(u.idle, k)
		if len(u.idle) > u.Capacity+1 { // more than ever run at once: new ones were made for distrust
			oldest = u.idle[0]
			u.idle = u.idle[1:]
		}
	}
	u.mu.Unlock()
	if oldest != nil {
		oldest.conn.Close()
	}
	if !keep {
		k.conn.Close()
	}
}

// tell takes the server's word on its load: running, waiting, slots.
func (c *Proxy) tell(u *upstream, header http.Header) {
	var figures [3]float64
	parts := strings.Split(header.Get("X-Server-Load"), ",")
	if len(parts) != len(figures) {
		return
	}
	for i, p := range parts {
		x, err := strconv.ParseFloat(strings.TrimSpace(p), 64)
		if err != nil || x < 0 {
			return
		}
		figures[i] = x
	}
	c.upstreams.mu.Lock()
	defer c.upstreams.mu.Unlock()
	c.upstreams.Told(u.Upstream, figures[0], figures[1], c.now())
}
