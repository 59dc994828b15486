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
	dialTimeout  = 400 * time.Millisecond
	tcpKeepAlive = 5 * time.Second
	// userTimeoutMillis is how long sent bytes may stay unacknowledged; a network partition is not reported otherwise.
	userTimeoutMillis = 2000

	defaultServerIdleTimeout = 8 * time.Second         // assumed idle timeout of a server that sends no Keep-Alive header
	idleMargin               = 1500 * time.Millisecond // how much earlier than the server the edge closes an idle connection
	minServerIdleTimeout     = idleMargin + 100*time.Millisecond

	// distrustDuration is how long unsafe requests don't reuse a service's connections after one of them was dropped or
	// contained a response that belongs to no request.
	distrustDuration       = 5 * time.Second
	tombstoneRetention     = 90 * time.Second // how long the entry of a removed server is kept
	transportBufferBytes   = 4 << 10
	maxResponseHeaderBytes = 64 << 10
)

// setUserTimeout makes the kernel close connections whose peer doesn't acknowledge sent bytes in time.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// On failure, the requests' deadlines remain.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
}

// upstreamPool contains the servers known to this edge, their connections, and the picker that chooses among them. It is
// safe for concurrent use.
type upstreamPool struct {
	*node.Env
	onChange  func() // called without the lock after servers were added or removed
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	transport *http.Transport

	mu         sync.Mutex
	registry   *registry.Registry
	picker     *picker.Picker
	distrusted map[string]time.Duration // by service: the end of the distrust
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

// dialTracked dials a server and wraps the connection in a trackedConn.
func (p *upstreamPool) dialTracked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return track(ctx, conn), nil
}

// upstream is a picker's upstream with its connections. The connections belong to one instance of a server and are closed
// with it, even if another instance takes over the address.
type upstream struct {
	*picker.Upstream
	address string

	mu          sync.Mutex
	idle        []*serverConn // the one that has been idle longest comes first
	idleTimeout time.Duration // after which the server closes an idle connection
	closed      bool          // the server is draining or was removed
}

// serverConn is a connection to a server. It carries one request at a time.
type serverConn struct {
	client    *http.ClientConn
	tracked   *trackedConn
	idleSince time.Duration
	reused    bool // it was used by an earlier request
}

// close closes the connection.
func (c *serverConn) close() { _ = c.client.Close() } // nothing more is expected on it

// usable reports whether the connection may be used for another request.
func (c *serverConn) usable(now, idleTimeout time.Duration) bool {
	return now-c.idleSince <= idleTimeout-idleMargin && c.client.Err() == nil
}

// usage is the result of an attempt, as the picker counts it.
type usage struct {
	duration      time.Duration // of a cancelled attempt: 0 unless it exceeds the latency target
	reachedServer bool          // a connection was established
	succeeded     bool
	cancelled     bool // the client left or stopped sending, so the result says nothing about the server's health
}

// update applies registry entries, and closes the upstreams of servers that are draining or gone.
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

// updateWeights applies changes of the weight tables.
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

// assignSlots divides the slots of the zone's servers among the zone's edges, given as their hashes.
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

// serves reports whether a server of the service is known.
func (p *upstreamPool) serves(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.picker.Serves(service)
}

// entries returns all registry entries.
func (p *upstreamPool) entries() []registry.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.registry.All(p.Now())
}

// digests returns the digests of the registry, in total and by zone.
func (p *upstreamPool) digests() (all uint64, byZone map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.registry.Digest(), p.registry.ZoneDigests()
}

// compare compares a controller's digests with the registry and returns the messages to be sent in reply.
func (p *upstreamPool) compare(d *peer.Digests) []peer.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return d.Compare(p.registry, p.Now())
}

// takeStats returns the attempts counted by server since the last call.
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

// pick chooses a server that is not among the attempted ones and reserves a slot there. It returns nil if none has a free
// slot.
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

// release releases a reserved slot and counts the result of the attempt.
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

// reportLoad passes a server's reported load to the picker. X-Server-Load contains the numbers of running and waiting
// requests and of slots; a malformed header is ignored.
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

// distrust records that a service's connections can't be reused safely for now: its servers drop them, or send responses
// that belong to no request. Unsafe requests then use new connections, which contain no leftovers; the cost of dialling is
// small compared with an operation whose outcome is unknown.
func (p *upstreamPool) distrust(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distrusted[service] = p.Now() + distrustDuration
}

// distrusts reports whether unsafe requests must not reuse a service's connections.
func (p *upstreamPool) distrusts(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Now() < p.distrusted[service]
}

// connect returns the most recently used idle connection to the server, or a new one if none is usable.
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

// dialConn opens a new connection to the server.
func (p *upstreamPool) dialConn(ctx context.Context, u *upstream) (*serverConn, error) {
	conn := &serverConn{}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, &conn.tracked), "http", u.address)
	if err != nil {
		return nil, err
	}
	conn.client = client
	return conn, nil
}

// closeIdle closes connections that were idle for too long, and removes expired entries of the registry.
func (p *upstreamPool) closeIdle() {
	p.mu.Lock()
	p.registry.Prune(p.Now())
	all := p.picker.All()
	p.mu.Unlock()
	for _, u := range all {
		u.Attachment.(*upstream).closeIdle(p.Now())
	}
}

// popIdle removes and returns the most recently used idle connection, or nil if none is idle.
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

// close closes the idle connections and prevents further ones. Requests in flight continue.
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

// closeIdle closes the idle connections that are no longer usable.
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

// putIdle returns a connection to the idle ones after a response with the given header.
func (u *upstream) putIdle(conn *serverConn, now time.Duration, header http.Header) {
	surplus := u.addIdle(conn, now, keepAliveTimeoutOf(header))
	if surplus != nil {
		surplus.close()
	}
}

// addIdle adds an idle connection and returns one that has to be closed, if any: the added one if it can't be kept, or the
// longest idle one if there are more than can be in use at once, since distrust opens additional ones. timeout is the
// server's idle timeout, 0 if not stated.
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

// keepAliveTimeoutOf returns the server's idle timeout from its Keep-Alive header, 0 if there is none.
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
