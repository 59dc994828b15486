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
	"mulleinwood/internal/peer"
)

const (
	dialTimeout       = 400 * time.Millisecond
	userTimeoutMillis = 2000                    // milliseconds that sent bytes may stay unacknowledged: a cut is silent
	defaultServerIdle = 8 * time.Second         // a server's idle time, where it doesn't say
	idleMargin        = 1500 * time.Millisecond // a connection is closed here that much before the server closes it
)

// setUserTimeout has the kernel end connections whose peer is silent.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis) // a platform without it: deadlines remain
	})
}

// upstream is a picker's upstream with its connections. They end with it, whoever has the address next.
type upstream struct {
	*picker.Upstream
	address string

	mu          sync.Mutex
	idle        []*serverConn
	idleTimeout time.Duration
	closed      bool
}

// serverConn is a connection to a server that carries one request at a time.
type serverConn struct {
	conn    *http.ClientConn
	tracked *trackedConn
	since   time.Duration // idle
	used    bool          // it carried a request before
}

// upstreams holds the picker, and a lock around it.
type upstreams struct {
	mu sync.Mutex
	*picker.Picker
}

// updateServers takes news of servers.
func (p *Proxy) updateServers(entries []registry.Entry) {
	p.mu.Lock()
	p.upstreams.mu.Lock()
	changed := false
	var ended []*upstream
	for _, e := range entries {
		now, _ := p.registry.Apply(e, p.now())
		switch {
		case now.State != registry.Ready || now.Expired:
			if u := p.upstreams.Remove(e.ID); u != nil {
				ended = append(ended, u.Attachment.(*upstream))
				changed = true
			}
		case p.upstreams.Get(e.ID) == nil && now.Address != "":
			u := &upstream{address: now.Address, idleTimeout: defaultServerIdle}
			u.Upstream = &picker.Upstream{ID: now.ID, Service: now.Service, Zone: now.Zone, Capacity: now.Capacity, Attachment: u}
			p.upstreams.Add(u.Upstream)
			changed = true
		}
		p.upstreams.SetTimedOut(e.ID, now.TimedOut)
	}
	p.upstreams.mu.Unlock()
	p.mu.Unlock()
	for _, u := range ended {
		u.close()
	}
	if changed {
		p.queue.wakeAll()
	}
}

// updateWeights takes the tables' changed lines.
func (p *Proxy) updateWeights(w *peer.Weights) {
	p.upstreams.mu.Lock()
	defer p.upstreams.mu.Unlock()
	for _, service := range w.Replaced {
		p.upstreams.ClearWeights(service)
	}
	for _, one := range w.Changed {
		p.upstreams.SetWeight(one.Server, one.Weight)
	}
}

// close closes an upstream: nothing new is sent, what is out goes on.
func (u *upstream) close() {
	u.mu.Lock()
	u.closed = true
	idle := u.idle
	u.idle = nil
	u.mu.Unlock()
	for _, k := range idle {
		k.conn.Close()
	}
}

// isDraining tells whether the upstream's server is leaving or gone.
func (u *upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

func (u *upstream) closeIdle(now time.Duration) {
	u.mu.Lock()
	var old []*serverConn
	u.idle = slices.DeleteFunc(u.idle, func(k *serverConn) bool {
		if now-k.since > u.idleTimeout-idleMargin || k.conn.Err() != nil {
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
func (p *Proxy) pick(service string, not []*upstream) *upstream {
	p.upstreams.mu.Lock()
	defer p.upstreams.mu.Unlock()
	u := p.upstreams.Pick(service, func(u *picker.Upstream) bool { return slices.Contains(not, u.Attachment.(*upstream)) }, p.now())
	if u == nil {
		return nil
	}
	return u.Attachment.(*upstream)
}

func (p *Proxy) serves(service string) bool {
	p.upstreams.mu.Lock()
	defer p.upstreams.mu.Unlock()
	return p.upstreams.Serves(service)
}

// releaseUpstream gives the booked place back and counts how it went.
func (p *Proxy) releaseUpstream(u *upstream, took time.Duration, arrived, answered bool) {
	p.upstreams.mu.Lock()
	defer p.upstreams.mu.Unlock()
	p.upstreams.Release(u.Upstream, took, arrived, answered, p.now())
}

// connect gives a connection that is free, or a new one.
func (p *Proxy) connect(ctx context.Context, u *upstream, fresh bool) (*serverConn, error) {
	now := p.now()
	for !fresh {
		u.mu.Lock()
		n := len(u.idle)
		if n == 0 {
			u.mu.Unlock()
			break
		}
		k := u.idle[n-1]
		u.idle = u.idle[:n-1]
		old := now-k.since > u.idleTimeout-idleMargin
		u.mu.Unlock()
		if !old && k.conn.Err() == nil && k.tracked.clean() {
			k.used = true
			return k, nil
		}
		k.conn.Close()
	}
	k := &serverConn{}
	conn, err := p.dialer.NewClientConn(context.WithValue(ctx, trackedConnKey{}, &k.tracked), "http", u.address)
	if err != nil {
		return nil, err
	}
	k.conn = conn
	return k, nil
}

// putIdle takes a connection back.
func (u *upstream) putIdle(k *serverConn, now time.Duration, header http.Header) {
	if v := header.Get("Keep-Alive"); v != "" {
		for _, part := range strings.Split(v, ",") {
			if name, figure, ok := strings.Cut(strings.TrimSpace(part), "="); ok && name == "timeout" {
				if s, err := strconv.Atoi(figure); err == nil && s > 0 {
					u.mu.Lock()
					u.idleTimeout = max(time.Duration(s)*time.Second, idleMargin+100*time.Millisecond)
					u.mu.Unlock()
				}
			}
		}
	}
	var oldest *serverConn
	u.mu.Lock()
	k.since = now
	keep := !u.closed && k.conn.Err() == nil
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

// reportLoad takes the server's word on its load: running, waiting, slots.
func (p *Proxy) reportLoad(u *upstream, header http.Header) {
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
	p.upstreams.mu.Lock()
	defer p.upstreams.mu.Unlock()
	p.upstreams.ReportLoad(u.Upstream, figures[0], figures[1], p.now())
}
