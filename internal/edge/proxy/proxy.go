// Package proxy is the runtime of an edge process: it takes clients' requests, finds their route, sends each to a server
// of the route's service and answers with what that server said.
package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/edge/retrybudget"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/lifecycle"
	"mulleinwood/internal/platform/metrics"
	"mulleinwood/internal/platform/nodesettings"
)

// Spans of an edge.
const (
	reportInterval  = time.Second
	sweepInterval   = time.Second
	tombstones      = 90 * time.Second
	minShutdown     = 2500 * time.Millisecond // of a stop: by then the platform sends no new connections
	quietBeforeExit = 700 * time.Millisecond  // without any request
)

// Proxy is one edge.
type Proxy struct {
	settings    *nodesettings.Settings
	security    *peer.Security
	logger      log.Logger
	startedAt   time.Time
	incarnation uint64

	tree       atomic.Pointer[config.Tree]
	fleetEdges atomic.Int32 // in the whole fleet, as the controller last told

	mu           sync.Mutex
	registry     *registry.Registry
	budgets      map[string]*retrybudget.Budget
	serviceStats map[string]*peer.ServiceStats

	distrusted   map[string]time.Duration // services whose connections are not reused for what must not run twice, until when
	rejectionLog struct {                 // under mu
		second int64
		lines  map[string]int
	}
	upstreams     upstreams
	metrics       *metrics.Metrics
	session       controllerSession
	claims        claims
	reservations  reservations
	clientConns   connTracker
	clients       clientListener
	bodyMemory    memoryBudget
	dial          func(ctx context.Context, network, address string) (net.Conn, error)
	dialer        *http.Transport
	queue         queue
	shuttingDown  atomic.Bool
	rejecting     atomic.Bool   // nothing is begun any more: the process is about to end
	abort         chan struct{} // closed when what waits here and was not sent is given up
	inFlight      atomic.Int64
	lastRequestAt atomic.Int64 // when a request last came, on the steady clock
}

// New makes an edge that holds nothing yet.
func New(set *nodesettings.Settings, logger log.Logger) *Proxy {
	c := &Proxy{settings: set, logger: logger, startedAt: time.Now(), incarnation: rand.Uint64() | 1,
		budgets: map[string]*retrybudget.Budget{}, serviceStats: map[string]*peer.ServiceStats{}}
	c.registry = registry.New(tombstones)
	c.metrics = metrics.New(metrics.Edge)
	c.upstreams.Picker = picker.New(set.Zone, rand.Float64)
	c.session.known, c.session.zoneByIP, c.session.dialing = map[string]bool{}, map[string]string{}, make(chan struct{}, 1)
	for _, ip := range set.SeedIPs() {
		c.session.known[ip] = true
	}
	c.distrusted = map[string]time.Duration{}
	c.rejectionLog.lines = map[string]int{}
	c.reservations.leases.Incarnation, c.reservations.gates, c.reservations.wanted = c.incarnation, map[string]*reservation.AdmissionGate{}, map[string]int{}
	c.reservations.wake = make(chan struct{}, 1)
	c.claims.open = map[idempotency.Token]*pendingClaim{}
	c.clientConns.conns, c.clientConns.limit = map[net.Conn]*connUse{}, max(16, int(clientHandleShare*float64(set.Limits.FileHandles-reservedHandles)))
	c.clients = clientListener{handler: c, conns: &c.clientConns}
	c.bodyMemory.available.Store(int64(bodyMemoryShare * set.Limits.MemoryMB * (1 << 20)))
	c.abort = make(chan struct{})
	c.queue.waiters = map[string][]*waiter{}
	c.dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second, Control: setUserTimeout}).DialContext
	c.dialer = &http.Transport{DisableCompression: true, Proxy: nil, WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10,
		MaxResponseHeaderBytes: 64 << 10, DialContext: c.dialTracked}
	return c
}

// Run serves until ctx ends, and then until what it has taken is answered.
func Run(ctx context.Context, set *nodesettings.Settings, security *peer.Security, logger log.Logger) error {
	c := New(set, logger)
	c.security = security
	reloads := lifecycle.Reloads()
	front, err := net.Listen("tcp", set.Listen.Front)
	if err != nil {
		return err
	}
	readiness, err := net.Listen("tcp", set.Listen.Readiness)
	if err != nil {
		return err
	}
	probe := &http.Server{Handler: http.HandlerFunc(c.serveReadiness), IdleTimeout: time.Minute, ReadHeaderTimeout: defaultHeaderTimeout}
	for _, serve := range []func() error{func() error { return c.clients.serve(front) }, func() error { return probe.Serve(readiness) }} {
		go func() {
			if err := serve(); !errors.Is(err, http.ErrServerClosed) && !c.shuttingDown.Load() {
				_ = logger.Log("event", "listener ends", "cause", err)
			}
		}()
	}
	_ = logger.Log("event", "edge starts", "node", set.Node, "zone", set.Zone)
	go c.session.run(c)
	go c.reservations.run(ctx, c)
	go func() {
		for range reloads {
			c.reload()
		}
	}()
	c.runPeriodic(ctx)
	c.shutDown(front)
	_ = logger.Log("event", "edge ends", "node", set.Node)
	return nil
}

// reload takes the settings file's seeds over: the only part of it that a running edge has use for. A file that is wrong
// changes nothing.
func (p *Proxy) reload() {
	if err := p.security.Reload(); err != nil {
		_ = p.logger.Log("event", "inner TLS not taken over", "cause", err)
	}
	set, err := nodesettings.Load()
	if err != nil {
		_ = p.logger.Log("event", "settings not taken over", "cause", err)
		return
	}
	p.session.addKnown(set.SeedIPs())
	_ = p.logger.Log("event", "settings read again", "seeds", strings.Join(set.Seeds, " "))
}

// now is the steady time since the process began.
func (p *Proxy) now() time.Duration { return time.Since(p.startedAt) }

// serveReadiness tells the platform whether to send clients here.
func (p *Proxy) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics" {
		p.metrics.Handler().ServeHTTP(w, r)
		return
	}
	if r.URL.Path != "/readiness" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if p.shuttingDown.Load() || p.tree.Load() == nil || !p.knowsServers() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Proxy) knowsServers() bool {
	p.upstreams.mu.Lock()
	defer p.upstreams.mu.Unlock()
	return p.upstreams.Len() > 0
}

// runPeriodic does what is due by the clock.
func (p *Proxy) runPeriodic(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.sendReport()
			p.closeIdle()
			p.claims.resendRevocations(p)
		}
	}
}

// Spans before the end of the grace. What is read so late that it could not be answered any more is refused at once, and
// what still waits here is refused early enough for the answer to leave: nothing of it has run.
const (
	rejectBefore = 600 * time.Millisecond
	abortBefore  = 400 * time.Millisecond
	exitBefore   = 200 * time.Millisecond
)

// shutDown ends in order: not ready at once, and serving until nothing comes any more or the time that is granted is
// nearly over. It guards against breaking off what runs and against closing doors that clients still come to.
func (p *Proxy) shutDown(front net.Listener) {
	p.shuttingDown.Store(true)
	_ = p.logger.Log("event", "told to end", "in_flight", p.inFlight.Load())
	start := p.now()
	grace := p.settings.Seconds("grace_s", 6)
	closed, given := false, false
	for {
		time.Sleep(50 * time.Millisecond)
		gone := p.now() - start
		idle := p.inFlight.Load() == 0
		quiet := p.now()-time.Duration(p.lastRequestAt.Load()) > quietBeforeExit
		if idle && quiet && gone > min(minShutdown, grace/2) || gone > grace-exitBefore {
			return
		}
		if gone > grace-rejectBefore {
			p.rejecting.Store(true)
		}
		if !given && gone > grace-abortBefore {
			given = true
			close(p.abort)
		}
		if !closed && gone > grace-time.Second {
			closed = true
			front.Close()
		}
		if closed && idle {
			return
		}
	}
}

// closeIdle closes what has been idle for too long, on both sides.
func (p *Proxy) closeIdle() {
	if tree := p.tree.Load(); tree != nil && tree.Config.Limits.Idle > 0 {
		idle, longest := time.Duration((tree.Config.Limits.Idle+0.5)*float64(time.Second)), 0.0
		for _, r := range tree.Config.Routes {
			longest = max(longest, r.Deadline)
		}
		p.clientConns.closeStale(idle, idle+time.Duration(longest*float64(time.Second))+stuckAfter)
	}
	p.mu.Lock()
	p.registry.Prune(p.now())
	p.mu.Unlock()
	p.upstreams.mu.Lock()
	upstreams := p.upstreams.All()
	p.upstreams.mu.Unlock()
	for _, u := range upstreams {
		u.Attachment.(*upstream).closeIdle(p.now())
	}
}

// sendReport tells the controller what was met since the last report.
func (p *Proxy) sendReport() {
	r := &peer.Report{Period: reportInterval.Seconds()}
	p.upstreams.mu.Lock()
	for _, u := range p.upstreams.All() {
		if m := p.upstreams.TakeStats(u); m.Attempts > 0 {
			r.Servers = append(r.Servers, peer.ServerStats{Server: u.ID, Attempts: m.Attempts, Failed: m.Failed, TotalTime: m.TotalTime})
		}
	}
	p.upstreams.mu.Unlock()
	p.mu.Lock()
	for _, a := range p.serviceStats {
		r.Services = append(r.Services, *a)
	}
	clear(p.serviceStats)
	p.mu.Unlock()
	if len(r.Servers)+len(r.Services) > 0 {
		p.session.send(&peer.Frame{Report: r})
	}
}
