// Package controller implements the controller process. It runs the components of the control plane (consensus, state
// machine, membership manager, claim store, registry, weight tables, reservations): it passes them the input from sockets
// and timers and carries out their decisions.
//
// All of this runs on one goroutine, the owner; see Controller.loop. Other goroutines (links, HTTP handlers, disk writes)
// send it functions through an inbox and never access its state. Work that waits for a disk or a peer is a callback that
// the owner runs later. Each component has its own file and state:
//
//	node.Env            platform settings, log, clock
//	writer              durable writes, in order, one sync at a time
//	consensusRuntime    the replica, the state machine and the calls that wait for them
//	memberService       the voters and this replica's identity
//	linkTable           links to edges and controllers; session.go dials, accepts and dispatches
//	claimsService       claims of keyed operations
//	responseService     responses of keyed operations, for repeats
//	registrar           the server registry
//	weightService       server weights, for the edges
//	reservationService  booked capacity
//	controlAPI          the HTTP endpoints for servers and operators
//	shutdown            the graceful shutdown
package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/metrics"
	"mulleinwood/internal/platform/nodesettings"
)

const (
	tickInterval = 50 * time.Millisecond
	// claimTickInterval is the tick interval while claims wait for replies. It is short enough to hedge after claimHedgeDelay.
	claimTickInterval = 10 * time.Millisecond
	inboxSize         = 1024

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Controller is one controller process. Its fields may only be accessed by the owner's goroutine, except for the embedded
// Env, security, inbox and linkCtx, which don't change after the start.
type Controller struct {
	*node.Env
	security *peer.Security
	inbox    chan func()
	linkCtx  context.Context // cancelled to stop the goroutines that dial

	storage      *storage.Storage
	writer       *writer
	links        *linkTable
	consensus    *consensusRuntime
	members      *memberService
	claims       *claimsService
	servers      *registrar
	weights      *weightService
	reservations *reservationService
	summaries    summarySchedule
	shutdown     shutdown
	endpoint     *controlEndpoint // nil if none is open
}

// Run serves until ctx is done and the graceful shutdown that follows is complete. It returns an error if the process can't
// start.
func Run(ctx context.Context, config node.Config) error {
	linkCtx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the shutdown needs links
	defer cancel()
	c := newController(config, rand.Uint64()|1)
	c.linkCtx = linkCtx
	if err := c.open(); err != nil {
		return err
	}
	defer c.closeStorage()
	inner, err := node.Listen(ctx, c.Settings.InnerAddress(c.Settings.IP))
	if err != nil {
		return err
	}
	defer closeListener(inner)
	control, err := node.Listen(ctx, c.Settings.Listen.Control)
	if err != nil {
		return err
	}
	c.endpoint = newControlEndpoint(c, control)
	go c.serveControl()
	go c.acceptLinks(linkCtx, inner)
	c.LogEvent("controller starts", "node", c.Settings.Node, "zone", c.Settings.Zone, "identity", c.members.identity,
		"epoch", c.members.current.Epoch, "voters", strings.Join(c.members.current.Voters, " "),
		"keys", c.claims.store.Len(), "responses", c.claims.store.ResponseCount())
	go func() {
		for range config.Reloads {
			c.runOnOwner(c.reload)
		}
	}()
	c.loop(ctx)
	c.links.drain(drainTimeout)
	c.LogEvent("controller ends", "node", c.Settings.Node)
	return nil
}

// closeListener closes l. An error is ignored, since the process is about to exit.
func closeListener(l net.Listener) { _ = l.Close() }

// closeStorage closes the data file. Everything that was acknowledged is already durable.
func (c *Controller) closeStorage() {
	if err := c.storage.Close(); err != nil {
		c.LogEvent("storage close failed", "cause", err)
	}
}

func (c *Controller) serveControl() {
	if err := c.endpoint.serve(); !errors.Is(err, http.ErrServerClosed) && !c.endpoint.draining.Load() {
		c.LogEvent("control endpoint ends", "cause", err)
	}
}

// newController returns a controller without its storage; open completes it. The incarnation identifies this run of the
// process.
func newController(config node.Config, incarnation uint64) *Controller {
	env := node.NewEnv(config, metrics.Controller, incarnation)
	c := &Controller{Env: env, security: config.Security, inbox: make(chan func(), inboxSize), linkCtx: context.Background()}
	c.writer = &writer{Env: env, runOnOwner: c.runOnOwner,
		commit: func(batches []*storage.Batch) error { return c.storage.Commit(batches) }}
	c.links = newLinkTable(env)
	c.consensus = &consensusRuntime{Env: env, writer: c.writer, events: c, state: statemachine.New(),
		proposals: map[uint64]proposal{}}
	c.members = &memberService{Env: env, writer: c.writer, links: c.links, consensus: c.consensus, addController: c.addController,
		shuttingDown: func() bool { return c.shutdown.started }, seen: map[string]membership.Controller{}}
	c.servers = newRegistrar(env, c.links, c.consensus.inContact, c.handleServerUpdates)
	c.weights = newWeightService(env, c.links, func() int { return len(c.members.current.Voters) }, c.serviceOfServer)
	c.reservations = newReservationService(env, c.links, c.consensus, c.servers.registry)
	return c
}

// open reads the stored state and initializes the components that start from it.
func (c *Controller) open() error {
	dir := os.TempDir()
	if c.Settings.DataDir != nil {
		dir = *c.Settings.DataDir
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create data directory: %w", err)
	}
	store := newStore(c.Env)
	opened, state, err := storage.OpenWith(dir, keyWindow(c.Env), maxResponseBytes(c.Env),
		func(r idempotency.Record) { store.Load(r, c.Now()) })
	if err != nil {
		return err
	}
	c.storage = opened
	if state.Corrupt != nil {
		c.LogEvent("data file corrupt", "moved_to", storage.CorruptFileName, "cause", state.Corrupt)
	}
	if err := c.members.initIdentity(state, c.storage.Commit); err != nil {
		return fmt.Errorf("store the identity: %w", err)
	}
	c.members.load(state)
	if state.Recovering {
		store.BeginRecovery()
	}
	c.claims = newClaimsService(c.Env, c.writer, c.links, c.members, store)
	c.claims.onSynced = func() { c.shutdown.handOverSynced = true }
	c.members.claims = c.claims
	c.weights.tables.UpdateServers(c.servers.load(state.Servers), c.Now())
	c.consensus.replica = consensus.New(consensus.Config{
		ID:         c.members.identity,
		Timing:     consensus.Timing{Heartbeat: heartbeatInterval, ElectionTimeout: electionTimeout},
		Seed:       c.Incarnation,
		Membership: bootstrapMembership(state.BootstrapVoters),
		HardState:  state.Hard,
		Snapshot:   state.Snapshot,
		Log:        state.Entries,
		Now:        c.Now(),
	})
	c.claims.setStores()
	c.learnAddresses()
	return nil
}

// learnAddresses records the controllers to dial from the start: the seeds and all voters.
func (c *Controller) learnAddresses() {
	for _, ip := range c.Settings.SeedIPs() {
		c.links.known[ip] = true
	}
	for _, ip := range membership.Addresses(c.members.current.All()) {
		c.links.known[ip] = true
	}
	delete(c.links.known, c.Settings.IP)
}

// reload applies the part of the settings file that a running controller can change, the seeds, and reloads the
// certificates. An invalid file changes nothing.
func (c *Controller) reload() {
	if err := c.security.Reload(); err != nil {
		c.LogEvent("inner TLS rejected", "cause", err)
	}
	settings, err := nodesettings.Load()
	if err != nil {
		c.LogEvent("settings rejected", "cause", err)
		return
	}
	for _, ip := range settings.SeedIPs() {
		c.addController(ip)
	}
	c.LogEvent("settings reloaded", "seeds", strings.Join(settings.Seeds, " "))
}

// runOnOwner queues f to run on the owner's goroutine. It blocks while the inbox is full.
func (c *Controller) runOnOwner(f func()) { c.inbox <- f }

// loop is the owner's event loop. Each turn handles all queued events and then carries out the resulting decisions, so that
// they share one disk write and one frame per peer.
func (c *Controller) loop(ctx context.Context) {
	tick := time.NewTimer(tickInterval)
	defer tick.Stop()
	stop := ctx.Done()
	for ended := false; !ended; {
		select {
		case <-c.shutdown.drained:
			ended = true
		case <-stop:
			stop = nil
			c.beginShutdown()
		case f := <-c.inbox:
			f()
			c.drainInbox()
		case <-tick.C:
			c.tick()
			tick.Reset(c.nextTick())
		}
		c.endTurn()
		c.drainEndpoint()
	}
}

func (c *Controller) drainInbox() {
	for {
		select {
		case f := <-c.inbox:
			f()
		default:
			return
		}
	}
}

func (c *Controller) nextTick() time.Duration {
	if c.claims.coordinator.HasPending() {
		return claimTickInterval
	}
	return tickInterval
}

// tick runs the periodic work of all components.
func (c *Controller) tick() {
	now := c.Now()
	c.consensus.tick(now)
	c.claims.tick(now)
	c.members.chooseBootstrapVoters()
	c.members.manage(now)
	c.claims.requestCopies(now)
	c.continueShutdown(now)
	c.sendSummaries(now)
	c.consensus.expireProposals(now)
	c.servers.broadcaster.Tick(now)
	c.weights.push(now)
	c.reservations.allocate(now)
	c.servers.expireHeartbeats(now)
}

// endTurn carries out the decisions that the events of a turn led to, and flushes the buffered writes.
func (c *Controller) endTurn() {
	c.consensus.process()
	c.servers.publish()
	c.writer.flush()
}

// sendConsensus implements consensusEvents.
func (c *Controller) sendConsensus(m consensus.Message) {
	if p := c.links.replica(m.To); p != nil {
		p.link.Send(peer.ConsensusMessages{m})
	}
}

// membershipCommitted implements consensusEvents.
func (c *Controller) membershipCommitted(m consensus.Membership) { c.members.apply(m) }

// configChanged implements consensusEvents.
func (c *Controller) configChanged(update *peer.Config) {
	c.links.sendToEdges(update)
	c.weights.tables.SetConfig(c.consensus.state.Config)
}

// handleServerUpdates passes changed servers to the writer and the weight tables.
func (c *Controller) handleServerUpdates(entries []registry.Entry) {
	c.writer.writeServers(entries)
	c.weights.tables.UpdateServers(entries, c.Now())
}

func (c *Controller) serviceOfServer(server string) (service string, known bool) {
	e, known := c.servers.registry.Get(server)
	return e.Service, known
}
