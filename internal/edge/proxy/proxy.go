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
	"mulleinwood/internal/platform/lifecycle"
	"mulleinwood/internal/platform/metrics"
	"mulleinwood/internal/platform/nodesettings"
	"mulleinwood/internal/platform/peer"
)

// Spans of an edge.
const (
	reportEvery = time.Second
	sweepEvery  = time.Second
	tombstones  = 90 * time.Second
	leaveAfter  = 2500 * time.Millisecond // of a stop: by then the platform sends no new connections
	leaveQuiet  = 700 * time.Millisecond  // without any request
)

// Proxy is one edge.
type Proxy struct {
	set      *nodesettings.Settings
	security *peer.Security
	logger   log.Logger
	began    time.Time
	life     uint64

	tree  atomic.Pointer[config.Tree]
	edges atomic.Int32 // in the whole fleet, as the controller last told

	mu       sync.Mutex
	registry *registry.Registry
	budgets  map[string]*retrybudget.Budget
	asked    map[string]*peer.Asked

	doubted map[string]time.Duration // services whose connections are not reused for what must not run twice, until when
	noted   struct {                 // under mu
		second int64
		lines  map[string]int
	}
	upstreams    upstreams
	metrics      *metrics.Metrics
	controller   controllerLink
	claims       claims
	reservations reservations
	conns        conns
	door         door
	held         account
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	dialer       *http.Transport
	waiting      queue
	leaving      atomic.Bool
	lastCall     atomic.Bool   // nothing is begun any more: the process is about to end
	ending       chan struct{} // closed when what waits here and was not sent is given up
	inFlight     atomic.Int64
	lastSeen     atomic.Int64 // when a request last came, on the steady clock
}

// New makes an edge that holds nothing yet.
func New(set *nodesettings.Settings, logger log.Logger) *Proxy {
	c := &Proxy{set: set, logger: logger, began: time.Now(), life: rand.Uint64() | 1,
		budgets: map[string]*retrybudget.Budget{}, asked: map[string]*peer.Asked{}}
	c.registry = registry.New(tombstones)
	c.metrics = metrics.New(metrics.Edge)
	c.upstreams.Picker = picker.New(set.Zone, rand.Float64)
	c.controller.known, c.controller.zones, c.controller.calls = map[string]bool{}, map[string]string{}, make(chan struct{}, 1)
	for _, ip := range set.SeedIPs() {
		c.controller.known[ip] = true
	}
	c.doubted = map[string]time.Duration{}
	c.noted.lines = map[string]int{}
	c.reservations.held.Life, c.reservations.gates, c.reservations.wants = c.life, map[string]*reservation.Gate{}, map[string]int{}
	c.reservations.kick = make(chan struct{}, 1)
	c.claims.open = map[idempotency.Token]*claim{}
	c.conns.all, c.conns.most = map[net.Conn]*use{}, max(16, int(clientShare*float64(set.Limits.FileHandles-keptHandles)))
	c.door = door{handler: c, conns: &c.conns}
	c.held.left.Store(int64(heldShare * set.Limits.MemoryMB * (1 << 20)))
	c.ending = make(chan struct{})
	c.waiting.waiters = map[string][]*waiter{}
	c.dial = (&net.Dialer{Timeout: dialLimit, KeepAlive: 5 * time.Second, Control: cutSoon}).DialContext
	c.dialer = &http.Transport{DisableCompression: true, Proxy: nil, WriteBufferSize: 4 << 10, ReadBufferSize: 4 << 10,
		MaxResponseHeaderBytes: 64 << 10, DialContext: c.dialWatched}
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
	probe := &http.Server{Handler: http.HandlerFunc(c.ready), IdleTimeout: time.Minute, ReadHeaderTimeout: headerWait}
	for _, serve := range []func() error{func() error { return c.door.open(front) }, func() error { return probe.Serve(readiness) }} {
		go func() {
			if err := serve(); !errors.Is(err, http.ErrServerClosed) && !c.leaving.Load() {
				_ = logger.Log("event", "listener ends", "cause", err)
			}
		}()
	}
	_ = logger.Log("event", "edge starts", "node", set.Node, "zone", set.Zone)
	go c.controller.run(c)
	go c.reservations.run(ctx, c)
	go func() {
		for range reloads {
			c.reload()
		}
	}()
	c.work(ctx)
	c.leave(front)
	_ = logger.Log("event", "edge ends", "node", set.Node)
	return nil
}

// reload takes the settings file's seeds over: the only part of it that a running edge has use for. A file that is wrong
// changes nothing.
func (c *Proxy) reload() {
	if err := c.security.Reload(); err != nil {
		_ = c.logger.Log("event", "inner TLS not taken over", "cause", err)
	}
	set, err := nodesettings.Load()
	if err != nil {
		_ = c.logger.Log("event", "settings not taken over", "cause", err)
		return
	}
	c.controller.learn(set.SeedIPs())
	_ = c.logger.Log("event", "settings read again", "seeds", strings.Join(set.Seeds, " "))
}

// now is the steady time since the process began.
func (c *Proxy) now() time.Duration { return time.Since(c.began) }

// ready tells the platform whether to send clients here.
func (c *Proxy) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/metrics" {
		c.metrics.Handler().ServeHTTP(w, r)
		return
	}
	if r.URL.Path != "/readiness" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if c.leaving.Load() || c.tree.Load() == nil || !c.knowsServers() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (c *Proxy) knowsServers() bool {
	c.upstreams.mu.Lock()
	defer c.upstreams.mu.Unlock()
	return c.upstreams.Len() > 0
}

// work does what is due by the clock.
func (c *Proxy) work(ctx context.Context) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.report()
			c.sweep()
			c.claims.sayAgain(c)
		}
	}
}

// Spans before the end of the grace. What is read so late that it could not be answered any more is refused at once, and
// what still waits here is refused early enough for the answer to leave: nothing of it has run.
const (
	refuseBefore = 600 * time.Millisecond
	giveUpBefore = 400 * time.Millisecond
	endBefore    = 200 * time.Millisecond
)

// leave ends in order: not ready at once, and serving until nothing comes any more or the time that is granted is
// nearly over. It guards against breaking off what runs and against closing doors that clients still come to.
func (c *Proxy) leave(front net.Listener) {
	c.leaving.Store(true)
	_ = c.logger.Log("event", "told to end", "in_flight", c.inFlight.Load())
	start := c.now()
	grace := c.set.Seconds("grace_s", 6)
	closed, given := false, false
	for {
		time.Sleep(50 * time.Millisecond)
		gone := c.now() - start
		idle := c.inFlight.Load() == 0
		quiet := c.now()-time.Duration(c.lastSeen.Load()) > leaveQuiet
		if idle && quiet && gone > min(leaveAfter, grace/2) || gone > grace-endBefore {
			return
		}
		if gone > grace-refuseBefore {
			c.lastCall.Store(true)
		}
		if !given && gone > grace-giveUpBefore {
			given = true
			close(c.ending)
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

// sweep closes what has been idle for too long, on both sides.
func (c *Proxy) sweep() {
	if tree := c.tree.Load(); tree != nil && tree.Config.Limits.Idle > 0 {
		idle, longest := time.Duration((tree.Config.Limits.Idle+0.5)*float64(time.Second)), 0.0
		for _, r := range tree.Config.Routes {
			longest = max(longest, r.Deadline)
		}
		c.conns.sweep(idle, idle+time.Duration(longest*float64(time.Second))+activeBeyond)
	}
	c.mu.Lock()
	c.registry.Forget(c.now())
	c.mu.Unlock()
	c.upstreams.mu.Lock()
	upstreams := c.upstreams.All()
	c.upstreams.mu.Unlock()
	for _, u := range upstreams {
		u.Host.(*upstream).sweep(c.now())
	}
}

// report tells the controller what was met since the last report.
func (c *Proxy) report() {
	r := &peer.Report{Period: reportEvery.Seconds()}
	c.upstreams.mu.Lock()
	for _, u := range c.upstreams.All() {
		if m := c.upstreams.Met(u); m.Tries > 0 {
			r.Met = append(r.Met, peer.Met{Server: u.ID, Tries: m.Tries, Failed: m.Failed, Time: m.Time})
		}
	}
	c.upstreams.mu.Unlock()
	c.mu.Lock()
	for _, a := range c.asked {
		r.Asked = append(r.Asked, *a)
	}
	clear(c.asked)
	c.mu.Unlock()
	if len(r.Met)+len(r.Asked) > 0 {
		c.controller.send(&peer.Frame{Report: r})
	}
}
