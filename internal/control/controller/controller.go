// Package controller is the runtime of a controller process: it owns the deciders (consensus, registry, claim store, weights),
// feeds them with what comes in on sockets and timers, and does what they say. One goroutine owns all of them; whatever
// waits for a disk or a peer is a callback that it runs later.
package controller

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/lifecycle"
	"mulleinwood/internal/platform/metrics"
	"mulleinwood/internal/platform/nodesettings"
)

// Spans of the control plane. They follow from how soon a second's bounds have to be met, not from a deployment.
const (
	tickEvery       = 50 * time.Millisecond
	busyTick        = 10 * time.Millisecond // while claims wait for verdicts
	heartbeatEvery  = 150 * time.Millisecond
	electionTimeout = 500 * time.Millisecond
	silentBeats     = 2.5 // beats that a server may leave out
	ownerLost       = 2500 * time.Millisecond
	tombstones      = 90 * time.Second
	keySlack        = 5 * time.Second
	claimHedge      = 20 * time.Millisecond
	claimLimit      = 900 * time.Millisecond
	fetchLimit      = 300 * time.Millisecond
	redialEvery     = 300 * time.Millisecond
	dialLimit       = 400 * time.Millisecond
	forgetAfter     = 2 * time.Minute // without an answer, of a controller that has no vote
	storeAgain      = 100 * time.Millisecond
	lazyMost        = 100 * time.Millisecond // that a line waits for the disk when nobody waits for the line
	callLimit       = 1500 * time.Millisecond
	compactAfter    = 64 // entries of the log
	fullEvery       = 4  // summaries, of which one is full
	memoryShare     = 0.25
	diskShare       = 0.25 // what is freed in the file is used again only once no older head needs it
)

// Controller is one control planner.
type Controller struct {
	set      *nodesettings.Settings
	security *peer.Security
	logger   log.Logger
	began    time.Time
	life     uint64
	inbox    chan func()

	metrics               *metrics.Metrics
	storage               *storage.Storage
	store                 store
	first                 bool     // the whole system starts for the first time, and this disk is empty
	members               []string // the voters that the cluster started with, where this disk knows them
	identity              string
	cluster               atomic.Uint64 // 0: not known yet
	replica               *consensus.Replica
	membership            consensus.Membership // the newest that was applied
	epoch                 uint64               // of the newest that was applied durably
	manager               membership.Manager
	met                   map[string]membership.Controller // replicas that were linked at some time
	state                 *statemachine.StateMachine
	waiters               map[uint64]waiter
	reads                 []read
	registry              *registry.Registry
	claimStore            *idempotency.Store
	coordinator           *idempotency.Coordinator
	copied                map[string]bool    // replicas whose claims were copied for the change under way
	peers                 map[string]*remote // controllers by IP
	edges                 map[string]*remote // by IP
	guests                map[*remote]bool
	broadcaster           *broadcast.Broadcaster
	calls                 map[uint64]func() // of servers, to be acknowledged
	nextCall              uint64
	fetches               map[idempotency.Token]*fetch
	tables                *weights.Tables
	reservations          reservations
	known                 map[string]bool // IPs of controllers
	claimers              map[idempotency.Token]*remote
	goneSince             map[string]time.Duration // controllers out of reach
	nextSummary, nextCopy time.Duration
	summaries             int
	leaving               bool // told to end
	retired               bool // voted out since its start
	departure             departure
	unreadable            bool              // a snapshot could not be read: the state here is not what was committed
	strangers             map[string]uint64 // controllers of other clusters that were refused, by address
	said                  string            // role last logged
}

// Run serves until ctx ends.
func Run(ctx context.Context, set *nodesettings.Settings, security *peer.Security, logger log.Logger) error {
	c := &Controller{set: set, security: security, logger: logger, began: time.Now(), life: rand.Uint64() | 1, inbox: make(chan func(), 1024),
		waiters: map[uint64]waiter{}, state: statemachine.New(), copied: map[string]bool{}, met: map[string]membership.Controller{},
		peers: map[string]*remote{}, edges: map[string]*remote{}, guests: map[*remote]bool{}, calls: map[uint64]func(){},
		fetches: map[idempotency.Token]*fetch{}, known: map[string]bool{}, claimers: map[idempotency.Token]*remote{},
		goneSince: map[string]time.Duration{}}
	reloads := lifecycle.Reloads()
	c.registry = registry.New(tombstones)
	c.broadcaster = broadcast.New(c.registry)
	c.metrics = metrics.New(metrics.Controller)
	c.tables = weights.New(set.Zone, slices.Collect(maps.Keys(set.Zones)), c.life, func() int { return len(c.membership.Voters) }, func(service, note string) {
		_ = logger.Log("event", "table", "service", service, "note", note)
	})
	c.reservations.clock = reservation.NewClock()
	if err := c.open(); err != nil {
		return err
	}
	defer c.storage.Close()
	listener, err := net.Listen("tcp", set.InnerAddress(set.IP))
	if err != nil {
		return err
	}
	defer listener.Close()
	control, err := net.Listen("tcp", set.Listen.Control)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: c.handler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 32 << 10}
	go func() {
		if err := server.Serve(control); !errors.Is(err, http.ErrServerClosed) {
			_ = logger.Log("event", "control calls end", "cause", err)
		}
	}()
	defer shutdown(server)
	go c.accept(listener)
	_ = logger.Log("event", "controller starts", "node", set.Node, "zone", set.Zone, "identity", c.identity, "epoch", c.membership.Epoch, "voters", strings.Join(c.membership.Voters, " "))
	go func() {
		for range reloads {
			c.do(c.reload)
		}
	}()
	c.loop(ctx)
	c.drainLinks()
	_ = logger.Log("event", "controller ends", "node", set.Node)
	return nil
}

// reload takes the settings file's seeds over: the only part of it that a running controller has use for. A file that is
// wrong changes nothing.
func (c *Controller) reload() {
	if err := c.security.Reload(); err != nil {
		_ = c.logger.Log("event", "inner TLS not taken over", "cause", err)
	}
	set, err := nodesettings.Load()
	if err != nil {
		_ = c.logger.Log("event", "settings not taken over", "cause", err)
		return
	}
	for _, ip := range set.SeedIPs() {
		c.meet(ip)
	}
	_ = c.logger.Log("event", "settings read again", "seeds", strings.Join(set.Seeds, " "))
}

// now is the steady time since the process began: jumps of the time of day don't show in it.
func (c *Controller) now() time.Duration { return time.Since(c.began) }

// do has the owner run a function.
func (c *Controller) do(f func()) { c.inbox <- f }

func (c *Controller) open() error {
	dir := os.TempDir()
	if c.set.DataDir != nil {
		dir = *c.set.DataDir
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	window := c.set.Seconds("key_window_s", 60) + keySlack
	answers := c.answersMost()
	a, state, err := storage.Open(dir, window, answers)
	if err != nil {
		return err
	}
	c.storage = a
	if state.Corrupt != nil {
		_ = c.logger.Log("event", "disk spoilt", "put aside", "exchange.db.spoilt", "cause", state.Corrupt)
	}
	for _, ip := range c.set.SeedIPs() {
		c.known[ip] = true
	}
	delete(c.known, c.set.IP)
	if err := c.drawIdentity(state); err != nil {
		return err
	}
	c.first = c.set.FirstStart && c.identity == membership.Identity(c.set.IP, 0)
	c.members = state.BootstrapVoters
	c.claimStore = idempotency.NewStore(window, state.Recovering)
	c.claimStore.SetMaxResponseBytes(answers)
	for _, r := range state.Claims {
		c.claimStore.Load(r, c.now())
	}
	for _, e := range state.Servers { // as they were: their next beats confirm them, or their silence takes them out
		e.WarmupLeft, e.Owner = 0, c.set.IP
		if now, news := c.registry.Apply(e, c.now()); news {
			c.tables.UpdateServers([]registry.Entry{now}, c.now())
		}
	}
	c.join(state)
	return nil
}

// join starts this controller's part in the consensus, with what its disk held.
func (c *Controller) join(state *storage.State) {
	started := consensus.Membership{}
	if len(state.BootstrapVoters) > 0 {
		started = consensus.Membership{Epoch: 1, Voters: state.BootstrapVoters}
	}
	c.replica = consensus.New(consensus.Config{ID: c.identity, Timing: consensus.Timing{Heartbeat: heartbeatEvery, ElectionTimeout: electionTimeout},
		Seed: c.life, Membership: started, Hard: state.Hard, Snapshot: state.Snapshot, Log: state.Entries, Now: c.now()})
	c.coordinator = idempotency.NewCoordinator(nil, claimHedge, claimLimit)
	c.membership, c.epoch = state.Membership, state.Membership.Epoch
	if c.membership.Epoch == 0 {
		c.membership, c.epoch = started, started.Epoch
	}
	c.cluster.Store(c.membership.Cluster)
	c.setStores()
	for _, ip := range membership.Addresses(c.membership.All()) {
		if ip != c.set.IP {
			c.known[ip] = true
		}
	}
}

// answersMost is how many bytes the answers of keyed operations may take, in memory and on disk.
func (c *Controller) answersMost() int64 {
	most := memoryShare * c.set.Limits.MemoryMB
	if disk := c.set.Limits.DiskMB; disk > 0 {
		most = min(most, diskShare*disk)
	}
	return int64(most * (1 << 20))
}

func (c *Controller) loop(ctx context.Context) {
	tick := time.NewTimer(tickEvery)
	defer tick.Stop()
	told := ctx.Done()
	for !c.departed() {
		select {
		case <-told:
			told = nil
			c.beginLeaving()
		case f := <-c.inbox:
			f()
			for more := true; more; { // what came in together is decided and stored together
				select {
				case f := <-c.inbox:
					f()
				default:
					more = false
				}
			}
		case <-tick.C:
			c.tick()
			next := tickEvery
			if c.coordinator.HasPending() {
				next = busyTick
			}
			tick.Reset(next)
		}
		c.settle()
	}
}

func (c *Controller) tick() {
	now := c.now()
	if !c.unreadable {
		c.replica.Tick(now)
	}
	asks, done := c.coordinator.Tick(now)
	c.askStores(asks)
	for _, o := range done {
		c.ruled(o)
	}
	c.claimStore.Expire(now)
	c.found()
	c.manage(now)
	c.askCopies(now)
	c.depart(now)
	c.summarize(now)
	c.overdue(now)
	c.broadcaster.Tick(now)
	c.pushWeights(now)
	c.dealReservations(now)
	changed := c.registry.MarkTimedOut(c.set.IP, c.lost, time.Duration(silentBeats*c.set.BeatPeriod*float64(time.Second)), now)
	if len(changed) > 0 {
		for _, e := range changed {
			_ = c.logger.Log("event", "server silent", "server", e.ID, "service", e.Service, "gone", e.Ended())
		}
		c.broadcaster.Publish(changed, now)
	}
}

// settle does what the consensus wants done after the events of a turn, and hands the disk what has gathered.
func (c *Controller) settle() {
	out := c.replica.TakeOutput()
	for _, m := range out.Immediate {
		c.sendAgree(m)
	}
	if !out.Empty() || len(out.AfterSync) > 0 {
		index, term := out.Last()
		after := out.AfterSync
		done := func(bool) {
			for _, m := range after {
				c.sendAgree(m)
			}
			if index > 0 {
				c.replica.MarkDurable(index, term, c.now())
			}
		}
		if out.Empty() && c.store.idleAgree() {
			done(true)
		} else {
			c.store.agree(&storage.Batch{Hard: out.Hard, Snapshot: out.Snapshot, Truncate: out.Truncate, Entries: out.Entries}, done)
		}
	}
	c.apply(out)
	c.answerReads()
	c.sayRole()
	c.tell()
	c.store.run(c)
}

func (c *Controller) sayRole() {
	role := "follower of " + c.replica.Leader()
	if c.replica.Role() == consensus.Leader {
		role = "leader"
	} else if c.replica.Leader() == "" {
		role = "no leader"
	}
	if !c.replica.Votes() {
		role += ", no vote"
	}
	if role != c.said {
		c.said = role
		_ = c.logger.Log("event", "role", "role", role, "term", c.replica.Term(), "commit", c.replica.Commit())
	}
}

func (c *Controller) sendAgree(m consensus.Message) {
	if p := c.replicaAt(m.To); p != nil {
		p.link.Send(&peer.Frame{Consensus: []consensus.Message{m}})
	}
}

// attached tells whether this planner is in contact with a majority of the voters.
func (c *Controller) attached() bool { return !c.unreadable && c.replica.HasQuorumContact(c.now()) }
