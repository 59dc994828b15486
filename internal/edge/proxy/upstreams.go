package proxy

import (
	"context"
	"net"
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
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

const (
	dialTimeout       = 400 * time.Millisecond
	tcpKeepAlive      = 5 * time.Second
	userTimeoutMillis = 2000 // that sent bytes may stay unacknowledged: a network partition is not reported otherwise

	defaultServerIdleTimeout = 8 * time.Second         // how long a server keeps an idle connection, where it doesn't say
	idleMargin               = 1500 * time.Millisecond // by which a connection is closed here before the server closes it
	minServerIdleTimeout     = idleMargin + 100*time.Millisecond

	// distrustDuration is how long the connections of a service are not reused for what must not run twice, after one
	// of them was dropped or brought what belongs to no request.
	distrustDuration       = 5 * time.Second
	tombstoneRetention     = 90 * time.Second // how long a server that is gone is remembered
	transportBufferBytes   = 4 << 10
	maxResponseHeaderBytes = 64 << 10
)

// setUserTimeout has the kernel end connections whose peer doesn't acknowledge.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis) // without it deadlines remain
	})
}

// upstreamPool holds the servers that this edge knows, their connections, and the picker that chooses among them.
type upstreamPool struct {
	*node.Env
	onChange  func() // called, without the lock, when servers came or went
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	transport *http.Transport

	mu         sync.Mutex
	registry   *registry.Registry
	picker     *picker.Picker
	distrusted map[string]time.Duration // services, and until when
}

func newUpstreamPool(env *node.Env, onChange func()) *upstreamPool {
	p := &upstreamPool{Env: env, onChange: onChange, registry: registry.New(tombstoneRetention),
		picker: picker.New(env.Settings.Zone, randomFloat), distrusted: map[string]time.Duration{}}
	p.dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAlive, Control: setUserTimeout}).DialContext
	p.transport = &http.Transport{DisableCompression: true, Proxy: nil, WriteBufferSize: transportBufferBytes,
		ReadBufferSize:         transportBufferBytes,
		MaxResponseHeaderBytes: maxResponseHeaderBytes, DialContext: p.dialTracked}
	return p
}

func (p *upstreamPool) dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return track(ctx, conn), nil
}

// upstream is a picker's upstream with its connections. They belong to one incarnation of a server and end with it,
// whichever server has the address next.
type upstream struct {
	*picker.Upstream
	address string

	mu          sync.Mutex
	idle        []*serverConn // the longest idle first
	idleTimeout time.Duration // of the server
	closed      bool
}

// serverConn is a connection to a server. It carries one request at a time.
type serverConn struct {
	client    *http.ClientConn
	tracked   *trackedConn
	idleSince time.Duration
	reused    bool // it carried a request before
}

// close closes a connection that is not used any more.
func (c *serverConn) close() { _ = c.client.Close() } // there is nothing left to be lost on it

// usable reports whether a connection may carry another request.
func (c *serverConn) usable(now, idleTimeout time.Duration) bool {
	return now-c.idleSince <= idleTimeout-idleMargin && c.client.Err() == nil
}

// usage is how an attempt went, as the picker counts it.
type usage struct {
	duration      time.Duration // of a cancelled one: 0, unless it is over the latency target
	reachedServer bool          // at the server
	succeeded     bool
	cancelled     bool // the client left or stopped sending: it doesn't speak for or against the server
}

// update takes over what changed of servers.
func (p *upstreamPool) update(entries []registry.Entry) {
	removed, changed := p.apply(entries)
	for _, u := range removed {
		u.close()
	}
	if changed {
		p.onChange()
	}
}

func (p *upstreamPool) apply(entries []registry.Entry) (removed []*upstream, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entry := range entries {
		e, _ := p.registry.Apply(entry, p.Now())
		switch {
		case e.State != registry.Ready || e.Expired:
			if u := p.picker.Remove(e.ID); u != nil {
				removed, changed = append(removed, u.Attachment.(*upstream)), true
			}
		case p.picker.Get(e.ID) == nil && e.Address != "":
			p.picker.Add(newUpstream(e).Upstream)
			changed = true
		}
		p.picker.SetTimedOut(e.ID, e.TimedOut)
	}
	return removed, changed
}

func newUpstream(e registry.Entry) *upstream {
	u := &upstream{address: e.Address, idleTimeout: defaultServerIdleTimeout}
	u.Upstream = &picker.Upstream{ID: e.ID, Service: e.Service, Zone: e.Zone, Capacity: e.Capacity, Attachment: u}
	return u
}

// updateWeights takes over changed lines of the weight tables.
func (p *upstreamPool) updateWeights(w *peer.Weights) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range w.Replaced {
		p.picker.ClearWeights(service)
	}
	for _, one := range w.Changed {
		p.picker.SetWeight(one.Server, one.Weight)
	}
}

// assignSlots divides the slots of the zone's servers among the zone's edges.
func (p *upstreamPool) assignSlots(zoneEdges []uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.AssignSlots(zoneEdges, peer.EdgeHash(p.Settings.Node))
}

// empty reports whether no server is known.
func (p *upstreamPool) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.Len() == 0
}

// serves reports whether any server of a service is known.
func (p *upstreamPool) serves(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.Serves(service)
}

// entries is all that is known of servers.
func (p *upstreamPool) entries() []registry.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.registry.All(p.Now())
}

// digests are those of what is known of servers, altogether and by zone.
func (p *upstreamPool) digests() (all uint64, byZone map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.registry.Digest(), p.registry.ZoneDigests()
}

// compare answers a controller's digests.
func (p *upstreamPool) compare(d *peer.Digests) []peer.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return d.Compare(p.registry, p.Now())
}

// takeStats gives what was counted at the servers since the last call.
func (p *upstreamPool) takeStats() (all []peer.ServerStats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.picker.All() {
		if s := p.picker.TakeStats(u); s.Attempts > 0 {
			all = append(all, peer.ServerStats{Server: u.ID, Attempts: s.Attempts, Failed: s.Failed, TotalTime: s.TotalTime})
		}
	}
	return all
}

// pick chooses a server that is not among those already tried, and reserves a slot there; nil: none has room.
func (p *upstreamPool) pick(service string, attempted []*upstream) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasAttempted := func(u *picker.Upstream) bool { return slices.Contains(attempted, u.Attachment.(*upstream)) }
	u := p.picker.Pick(service, wasAttempted, p.Now())
	if u == nil {
		return nil
	}
	return u.Attachment.(*upstream)
}

// release gives a reserved slot back and counts how the attempt went.
func (p *upstreamPool) release(u *upstream, use usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case use.cancelled:
		p.picker.Cancelled(u.Upstream, use.duration)
	case use.succeeded:
		p.picker.Succeeded(u.Upstream, use.duration, p.Now())
	case use.reachedServer:
		p.picker.Failed(u.Upstream, p.Now())
	default:
		p.picker.Unreachable(u.Upstream, p.Now())
	}
}

// reportLoad takes over a server's word on its load: running, waiting and slots, as X-Server-Load gives them.
func (p *upstreamPool) reportLoad(u *upstream, header http.Header) {
	const fields = 3
	parts := strings.Split(header.Get(headerServerLoad), ",")
	if len(parts) != fields {
		return
	}
	var figures [fields]float64
	for i, part := range parts {
		x, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || x < 0 {
			return
		}
		figures[i] = x
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.ReportLoad(u.Upstream, figures[0], figures[1], p.Now())
}

// distrust notes that a service's connections can't be reused safely for now: its servers drop them, or send on them what
// belongs to no request. What must not run twice then goes on new connections, where nothing is left over; that costs
// little beside an operation whose outcome nobody knows.
func (p *upstreamPool) distrust(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distrusted[service] = p.Now() + distrustDuration
}

func (p *upstreamPool) distrusts(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Now() < p.distrusted[service]
}

// connect gives an idle connection of the server, the latest used first, or a new one.
func (p *upstreamPool) connect(ctx context.Context, u *upstream) (*serverConn, error) {
	for {
		conn, usable := u.popIdle(p.Now())
		if conn == nil {
			return p.dialConn(ctx, u)
		}
		if usable && conn.tracked.waitClean() {
			conn.reused = true
			return conn, nil
		}
		conn.close()
	}
}

// dialConn gives a new connection to the server.
func (p *upstreamPool) dialConn(ctx context.Context, u *upstream) (*serverConn, error) {
	conn := &serverConn{}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, &conn.tracked), "http", u.address)
	if err != nil {
		return nil, err
	}
	conn.client = client
	return conn, nil
}

// closeIdle closes the connections that were idle for too long, and forgets servers that are long gone.
func (p *upstreamPool) closeIdle() {
	p.mu.Lock()
	p.registry.Prune(p.Now())
	all := p.picker.All()
	p.mu.Unlock()
	for _, u := range all {
		u.Attachment.(*upstream).closeIdle(p.Now())
	}
}

// popIdle takes the connection that was used last; nil: none is idle.
func (u *upstream) popIdle(now time.Duration) (conn *serverConn, usable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	last := len(u.idle) - 1
	if last < 0 {
		return nil, false
	}
	conn = u.idle[last]
	u.idle = u.idle[:last]
	return conn, conn.usable(now, u.idleTimeout)
}

// close ends an upstream: nothing new is sent, what is in flight goes on.
func (u *upstream) close() {
	u.mu.Lock()
	u.closed = true
	idle := u.idle
	u.idle = nil
	u.mu.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// isDraining reports whether the upstream's server is draining or gone.
func (u *upstream) isDraining() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.closed
}

func (u *upstream) closeIdle(now time.Duration) {
	for _, conn := range u.removeUnusable(now) {
		conn.close()
	}
}

func (u *upstream) removeUnusable(now time.Duration) (unusable []*serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idle = slices.DeleteFunc(u.idle, func(conn *serverConn) bool {
		if conn.usable(now, u.idleTimeout) {
			return false
		}
		unusable = append(unusable, conn)
		return true
	})
	return unusable
}

// putIdle takes a connection back after a response with this header.
func (u *upstream) putIdle(conn *serverConn, now time.Duration, header http.Header) {
	surplus := u.addIdle(conn, now, keepAliveTimeoutOf(header))
	if surplus != nil {
		surplus.close()
	}
}

// addIdle gives the connection that has to be closed instead: the one itself if it can't be kept, or the longest idle one
// where there are more than ever ran at once (new ones are made out of distrust). Timeout is the server's; 0: not stated.
func (u *upstream) addIdle(conn *serverConn, now, timeout time.Duration) (surplus *serverConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if timeout > 0 {
		u.idleTimeout = max(timeout, minServerIdleTimeout)
	}
	conn.idleSince = now
	if u.closed || conn.client.Err() != nil {
		return conn
	}
	if u.idle = append(u.idle, conn); len(u.idle) > u.Capacity+1 {
		surplus = u.idle[0]
		u.idle = u.idle[1:]
	}
	return surplus
}

// keepAliveTimeoutOf reads how long the server keeps an idle connection from its Keep-Alive header; 0: it doesn't say.
func keepAliveTimeoutOf(header http.Header) (timeout time.Duration) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, figure, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || name != "timeout" {
			continue
		}
		if s, err := strconv.Atoi(figure); err == nil && s > 0 {
			timeout = time.Duration(s) * time.Second
		}
	}
	return timeout
}
