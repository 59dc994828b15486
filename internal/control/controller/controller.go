// Package controller is the runtime of a controller process. It owns the deciders of the control plane (consensus, state
// machine, membership manager, claim store, registry, weight tables, reservations), feeds them with what comes in on
// sockets and timers, and does what they say.
//
// One goroutine, the owner, runs all of it: see Controller.loop. Other goroutines (links, HTTP handlers, disk writes) hand
// it functions through an inbox and never touch its state; whatever waits for a disk or a peer is a callback that the owner
// runs later. Each part has a file and a state of its own:
//
//	node.Env          facts of the platform, log, clock
//	writer            what has to become durable, in order, one sync at a time
//	consensusRuntime  the replica, the state machine and the calls that wait for them
//	memberService     who votes, and this replica's identity
//	linkTable         links to edges and controllers; session.go dials, accepts and dispatches
//	claimsService     claims of keyed operations
//	registrar         the register of servers
//	weightService     weights of servers, for the edges
//	reservationService  booked capacity
//	controlAPI        the HTTP endpoints of servers and operators
//	shutdown          the end in order
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
	// claimTickInterval is used while claims wait for replies: a slow store is noticed after claimHedgeDelay.
	claimTickInterval = 10 * time.Millisecond
	inboxSize         = 1024

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Controller is one controller process. All fields belong to the owner's goroutine, but for the embedded Env,
// security, inbox and linkCtx, which don't change after the start.
type Controller struct {
	*node.Env
	security *peer.Security
	inbox    chan func()
	linkCtx  context.Context // ends the goroutines that dial

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
	endpoint     *controlEndpoint // nil: none is open
}

// Run serves until ctx ends, and then until the shutdown in order is done.
func Run(ctx context.Context, config node.Config) error {
	linkCtx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // links are needed during the shutdown, too
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
		"epoch", c.members.current.Epoch, "voters", strings.Join(c.members.current.Voters, " "))
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

// closeListener stops accepting. Nothing is lost if it fails: the process ends.
func closeListener(l net.Listener) { _ = l.Close() }

// closeStorage closes the file. All that was acknowledged is durable already.
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

// newController makes a controller without its disk; open completes it. The incarnation names this run of the process.
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

// open reads the disk and makes what starts from it.
func (c *Controller) open() error {
	dir := os.TempDir()
	if c.Settings.DataDir != nil {
		dir = *c.Settings.DataDir
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("make data directory: %w", err)
	}
	opened, state, err := storage.Open(dir, keyWindow(c.Env), maxResponseBytes(c.Env))
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
	c.claims = newClaimsService(c.Env, c.writer, c.links, c.members, state)
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

// learnAddresses notes the controllers that are dialled from the start: the seeds and all voters.
func (c *Controller) learnAddresses() {
	for _, ip := range c.Settings.SeedIPs() {
		c.links.known[ip] = true
	}
	for _, ip := range membership.Addresses(c.members.current.All()) {
		c.links.known[ip] = true
	}
	delete(c.links.known, c.Settings.IP)
}

// reload takes over what a running controller has use for of the settings file: the seeds. It also reads the certificates
// again. A file that is wrong changes nothing.
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

// runOnOwner has the owner run a function. It blocks while the inbox is full.
func (c *Controller) runOnOwner(f func()) { c.inbox <- f }

// loop is the owner. Each turn runs all that came in together and then does what the deciders want done, so that one write
// to disk and one frame a peer serve all of it.
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

// tick does what is due by the clock.
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
	c.claims.expireQueries(now)
	c.servers.broadcaster.Tick(now)
	c.weights.push(now)
	c.reservations.allocate(now)
	c.servers.expireHeartbeats(now)
}

// endTurn does what the deciders want done after the events of a turn, and hands the disk what has gathered.
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

// handleServerUpdates takes what changed of servers to the disk and to the weight tables.
func (c *Controller) handleServerUpdates(entries []registry.Entry) {
	c.writer.writeServers(entries)
	c.weights.tables.UpdateServers(entries, c.Now())
}

func (c *Controller) serviceOfServer(server string) (service string, known bool) {
	e, known := c.servers.registry.Get(server)
	return e.Service, known
}
