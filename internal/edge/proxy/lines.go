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

// line is a picker's line with its connections. They end with it, whoever has the address next.
type line struct {
	*picker.Line
	address string

	mu      sync.Mutex
	idle    []*trunkConn
	idleFor time.Duration
	dead    bool
}

// trunkConn is a connection to a server that carries one request at a time.
type trunkConn struct {
	conn  *http.ClientConn
	since time.Duration // idle
	used  bool
}

// lines holds the picker, and a lock around it.
type lines struct {
	mu sync.Mutex
	*picker.Finder
}

// heard takes news of servers.
func (c *Crossbar) heard(entries []registry.Entry) {
	c.mu.Lock()
	c.lines.mu.Lock()
	changed := false
	var ended []*line
	for _, e := range entries {
		now, _ := c.dir.Take(e, c.now())
		switch {
		case now.State != registry.Ready:
			if l := c.lines.End(e.ID); l != nil {
				ended = append(ended, l.Host.(*line))
				changed = true
			}
		case c.lines.Line(e.ID) == nil && now.Address != "":
			l := &line{address: now.Address, idleFor: idleUnknown}
			l.Line = &picker.Line{ID: now.ID, Service: now.Service, Zone: now.Zone, Capacity: now.Capacity, Host: l}
			c.lines.Add(l.Line)
			changed = true
		}
		c.lines.Silent(e.ID, now.Silent)
	}
	c.lines.mu.Unlock()
	c.mu.Unlock()
	for _, l := range ended {
		l.end()
	}
	if changed {
		c.waiting.wakeAll()
	}
}

// weigh takes the tables' changed lines.
func (c *Crossbar) weigh(w *peer.Weights) {
	c.lines.mu.Lock()
	defer c.lines.mu.Unlock()
	for _, service := range w.Whole {
		c.lines.Unweigh(service)
	}
	for _, one := range w.Lines {
		c.lines.Weigh(one.Server, one.Weight)
	}
}

// end closes a line: nothing new is sent, what is out goes on.
func (l *line) end() {
	l.mu.Lock()
	l.dead = true
	idle := l.idle
	l.idle = nil
	l.mu.Unlock()
	for _, k := range idle {
		k.conn.Close()
	}
}

func (l *line) sweep(now time.Duration) {
	l.mu.Lock()
	var old []*trunkConn
	l.idle = slices.DeleteFunc(l.idle, func(k *trunkConn) bool {
		if now-k.since > l.idleFor-idleEarly || k.conn.Err() != nil {
			old = append(old, k)
			return true
		}
		return false
	})
	l.mu.Unlock()
	for _, k := range old {
		k.conn.Close()
	}
}

// pick chooses a server that this request was not at yet, and books a place on it.
func (c *Crossbar) pick(service string, not []*line) *line {
	c.lines.mu.Lock()
	defer c.lines.mu.Unlock()
	l := c.lines.Pick(service, func(l *picker.Line) bool { return slices.Contains(not, l.Host.(*line)) }, c.now())
	if l == nil {
		return nil
	}
	return l.Host.(*line)
}

func (c *Crossbar) serves(service string) bool {
	c.lines.mu.Lock()
	defer c.lines.mu.Unlock()
	return c.lines.Serves(service)
}

// done gives the booked place back and counts how it went.
func (c *Crossbar) done(l *line, took time.Duration, arrived, answered bool) {
	c.lines.mu.Lock()
	defer c.lines.mu.Unlock()
	c.lines.Done(l.Line, took, arrived, answered, c.now())
}

// connect gives a connection that is free, or a new one.
func (c *Crossbar) connect(ctx context.Context, l *line, fresh bool) (*trunkConn, error) {
	now := c.now()
	for !fresh {
		l.mu.Lock()
		n := len(l.idle)
		if n == 0 {
			l.mu.Unlock()
			break
		}
		k := l.idle[n-1]
		l.idle = l.idle[:n-1]
		old := now-k.since > l.idleFor-idleEarly
		l.mu.Unlock()
		if !old && k.conn.Err() == nil {
			k.used = true
			return k, nil
		}
		k.conn.Close()
	}
	conn, err := c.dialer.NewClientConn(ctx, "http", l.address)
	if err != nil {
		return nil, err
	}
	return &trunkConn{conn: conn}, nil
}

// free takes a connection back.
func (l *line) free(k *trunkConn, now time.Duration, header http.Header) {
	if v := header.Get("Keep-Alive"); v != "" {
		for _, part := range strings.Split(v, ",") {
			if name, figure, ok := strings.Cut(strings.TrimSpace(part), "="); ok && name == "timeout" {
				if s, err := strconv.Atoi(figure); err == nil && s > 0 {
					l.mu.Lock()
					l.idleFor = max(time.Duration(s)*time.Second, idleEarly+100*time.Millisecond)
					l.mu.Unlock()
				}
			}
		}
	}
	var oldest *trunkConn
	l.mu.Lock()
	k.since = now
	keep := !l.dead && k.conn.Err() == nil
	if keep {
		l.idle = append(l.idle, k)
		if len(l.idle) > l.Capacity+1 { // more than ever run at once: new ones were made for distrust
			oldest = l.idle[0]
			l.idle = l.idle[1:]
		}
	}
	l.mu.Unlock()
	if oldest != nil {
		oldest.conn.Close()
	}
	if !keep {
		k.conn.Close()
	}
}

// tell takes the server's word on its load: running, waiting, slots.
func (c *Crossbar) tell(l *line, header http.Header) {
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
	c.lines.mu.Lock()
	defer c.lines.mu.Unlock()
	c.lines.Told(l.Line, figures[0], figures[1], c.now())
}
