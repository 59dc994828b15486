// Package proxy is the runtime of an edge process: it accepts clients' requests, finds their route, sends each to a server
// of the route's service and forwards the server's response.
//
// Each request is served by its own goroutine. Each part below owns its state and protects it by its own lock, and no part
// calls another one while it holds its lock:
//
//	clientListener     clients' connections, under the limits of the configuration
//	pipeline.go        the steps of a request: route, claim, attempts, response
//	roundTrip          one attempt at one server
//	upstreamPool       servers, their connections, and the picker that chooses among them
//	trafficCounter     numbers of requests by service, and the retry budgets that they fund
//	requestQueue       requests that wait for a slot at a server
//	activeRequests     requests that are being served, for the log
//	reservationGates   this edge's shares of reserved capacity
//	claimTracker       claims of keyed operations
//	controllerSession  the link to this edge's controller
//	shutdown           the graceful shutdown
package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/lateness"
	"mulleinwood/internal/platform/metrics"
	"mulleinwood/internal/platform/nodesettings"
)

// reportInterval is how often an edge sends a report to its controller and closes connections that were idle for too long.
const reportInterval = time.Second

// Proxy is one edge. Its methods are safe for concurrent use.
type Proxy struct {
	*node.Env
	security *peer.Security

	tree       atomic.Pointer[config.Tree] // routes of the configuration in force; nil if there is none yet
	fleetEdges atomic.Int32                // number of edges in the fleet, as last reported by the controller

	clients      *clientListener
	bodyMemory   *memoryBudget
	upstreams    *upstreamPool
	traffic      *trafficCounter
	queue        *requestQueue
	reservations *reservationGates
	claims       *claimTracker
	session      *controllerSession
	shutdown     *shutdown
	logLimiter   *logLimiter
	active       *activeRequests
	lateness     lateness.Meter
}

// New returns an edge without a configuration and without servers.
func New(c node.Config) *Proxy {
	p := &Proxy{Env: node.NewEnv(c, metrics.Edge, rand.Uint64()|1), security: c.Security}
	limits := c.Settings.Limits
	p.clients = newClientListener(p, maxClientConns(limits.FileHandles))
	p.bodyMemory = newMemoryBudget(int64(bodyMemoryShare * limits.MemoryMB * (1 << 20)))
	p.queue = newRequestQueue()
	p.upstreams = newUpstreamPool(p.Env, p.queue.wakeAll)
	p.traffic = newTrafficCounter(p.Settings, &p.fleetEdges)
	p.session = newControllerSession(p.Env, c.Security, p)
	p.shutdown = newShutdown()
	p.claims = newClaimTracker(p.Env, p.session, p.shutdown.work.Done())
	p.reservations = newReservationGates(p.Env, p.queue, &p.fleetEdges, p.session.send)
	p.logLimiter = &logLimiter{}
	p.active = newActiveRequests(p.Env, p.logLimiter)
	return p
}

// Run serves clients until ctx is done, and then shuts down gracefully: accepted requests are answered within the grace. It
// returns an error only if a listener can't be opened.
func Run(ctx context.Context, c node.Config) error {
	p := New(c)
	listener, err := node.Listen(ctx, p.Settings.Listen.Front)
	if err != nil {
		return err
	}
	readiness, err := node.Listen(ctx, p.Settings.Listen.Readiness)
	if err != nil {
		return err
	}
	probe := &http.Server{Handler: http.HandlerFunc(p.serveReadiness), IdleTimeout: time.Minute,
		ReadHeaderTimeout: defaultHeaderTimeout}
	go p.serve(func() error { return p.clients.serve(listener) })
	go p.serve(func() error { return probe.Serve(readiness) })
	p.LogEvent("edge starts", "node", p.Settings.Node, "zone", p.Settings.Zone, "incarnation", p.Incarnation)
	sessionCtx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the session is needed until the end of the shutdown
	defer cancel()
	go p.session.run(sessionCtx)
	go p.reservations.run(ctx)
	go func() {
		for range c.Reloads {
			p.reload()
		}
	}()
	p.runPeriodic(ctx)
	cause := p.shutDown(listener)
	p.active.logCutOff()
	p.LogEvent("edge ends", "node", p.Settings.Node, "cause", cause, "in_flight", p.shutdown.inFlight.Load(),
		"idle_closed", p.shutdown.idleClosed, "unread", p.shutdown.unread, "late", p.lateness.Worst(p.Now()))
	return nil
}

// serve runs a listener until it is closed.
func (p *Proxy) serve(accept func() error) {
	if err := accept(); !errors.Is(err, http.ErrServerClosed) && !p.shutdown.requested() {
		p.LogEvent("listener ends", "cause", err)
	}
}

// reload reads the settings file and the certificates again. Of the settings, only the seeds take effect in a running edge.
// An invalid file changes nothing.
func (p *Proxy) reload() {
	if err := p.security.Reload(); err != nil {
		p.LogEvent("inner TLS rejected", "cause", err)
	}
	settings, err := nodesettings.Load()
	if err != nil {
		p.LogEvent("settings rejected", "cause", err)
		return
	}
	p.session.addKnown(settings.SeedIPs())
	p.LogEvent("settings reloaded", "seeds", strings.Join(settings.Seeds, " "))
}

// serveReadiness serves the readiness check of the platform, and the metrics.
func (p *Proxy) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/metrics":
		p.Metrics.Handler().ServeHTTP(w, r)
	case r.URL.Path != "/readiness":
		w.WriteHeader(http.StatusNotFound)
	case p.shutdown.requested() || p.tree.Load() == nil || p.upstreams.empty():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// runPeriodic runs the periodic tasks until ctx is done.
func (p *Proxy) runPeriodic(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	due := p.Now() + reportInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := p.Now()
			p.lateness.Observe(due, now)
			due = max(due, now-reportInterval) + reportInterval // missed ticks are skipped
			p.sendReport()
			p.closeIdle()
			p.claims.resendRevocations()
			p.claims.sendResponses()
		}
	}
}

// sendReport sends the statistics since the last report to the controller, if there are any.
func (p *Proxy) sendReport() {
	report := &peer.Report{Period: reportInterval.Seconds(), Servers: p.upstreams.takeStats(), Services: p.traffic.takeStats()}
	if len(report.Servers)+len(report.Services) > 0 {
		p.session.send(report)
	}
}

// closeIdle closes connections to clients and servers that were idle for too long.
func (p *Proxy) closeIdle() {
	if tree := p.tree.Load(); tree != nil && tree.Config.Limits.IdleTimeout > 0 {
		const slack = 0.5 // seconds, for a request in transit
		idle := seconds(tree.Config.Limits.IdleTimeout + slack)
		longest := 0.0
		for _, r := range tree.Config.Routes {
			longest = max(longest, r.Deadline)
		}
		p.clients.conns.CloseStale(idle, idle+seconds(longest)+stuckTimeout)
	}
	p.upstreams.closeIdle()
}

// seconds converts a time of the configuration, in seconds, to a time.Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// current returns the state that a new controller receives: the version of the edge's configuration, and the entries of its
// registry.
func (p *Proxy) current() (version uint64, servers []registry.Entry) {
	if tree := p.tree.Load(); tree != nil {
		version = uint64(tree.Config.Version)
	}
	return version, p.upstreams.entries()
}

// handleControllerAttached sends pending claims and unconfirmed responses to a new controller: the previous one may have
// crashed before handling them.
func (p *Proxy) handleControllerAttached() {
	p.claims.resendPending()
	p.claims.resendResponses()
}

// handleOutcomes handles the outcomes of claims.
func (p *Proxy) handleOutcomes(outcomes peer.ClaimOutcomes) {
	for _, one := range outcomes {
		p.claims.handleOutcome(one)
	}
}

// handleSummary updates the number of edges and the shares of slots from the controller's summary of the fleet.
func (p *Proxy) handleSummary(s *peer.Summary) {
	p.fleetEdges.Store(int32(s.Fleet))
	if s.ZoneEdges != nil {
		p.upstreams.assignSlots(s.ZoneEdges)
	}
}

// registryDigests returns the digests of this edge's registry, to be compared with the controller's.
func (p *Proxy) registryDigests() (all uint64, byZone map[string]uint64) {
	return p.upstreams.digests()
}

// handleMessage handles a message from the controller.
func (p *Proxy) handleMessage(link *peer.Link, m peer.Message) {
	switch m := m.(type) {
	case peer.RegistryUpdate:
		if len(m.Entries) > 0 {
			p.upstreams.update(m.Entries)
		}
		if m.AckID != 0 {
			link.Send(peer.RegistryAck(m.AckID))
		}
	case *peer.Digests:
		if reply := p.upstreams.compare(m); reply != nil {
			link.Send(reply...)
		}
	case *peer.Config:
		if !p.applyConfig(m) {
			link.Send(peer.ConfigRequest{})
		}
	case *peer.Weights:
		p.upstreams.updateWeights(m)
		if len(m.Tokens) > 0 {
			link.Send(&peer.Report{Applied: m.Tokens})
		}
	case peer.ClaimOutcomes:
		p.handleOutcomes(m)
	case peer.ResponseConfirmations:
		p.claims.handleConfirmations(m)
	case *peer.Reservations:
		p.reservations.handleReservations(m)
	case peer.Leases:
		for _, l := range m {
			p.reservations.handleLease(l.Lease)
		}
	}
}

// applyConfig applies a configuration unless its version is older than the one in force: the version never decreases while
// the process runs. It reports false if a complete configuration is needed.
func (p *Proxy) applyConfig(m *peer.Config) (ok bool) {
	tree := p.tree.Load()
	if tree != nil && m.Version <= uint64(tree.Config.Version) {
		return true
	}
	var next *config.Config
	var err error
	switch {
	case m.Snapshot != nil:
		next, err = config.Parse(m.Snapshot)
	case tree != nil && m.Base == uint64(tree.Config.Version):
		next, err = tree.Config.Patch(m.Delta)
	default:
		return false
	}
	if err != nil {
		p.LogEvent("configuration rejected", "version", m.Version, "cause", err)
		return m.Snapshot != nil
	}
	p.tree.Store(config.NewTree(next))
	p.clients.setLimits(next.Limits)
	p.LogEvent("configuration changed", "version", next.Version, "routes", len(next.Routes))
	return true
}

// closeConn closes a connection that isn't used any more, so that an error has no consequence.
func closeConn(conn net.Conn) { _ = conn.Close() }
