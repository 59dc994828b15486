// Package controller is the runtime of a controller process: it owns the deciders (consensus, registry, claim store, weights),
// feeds them with what comes in on sockets and timers, and does what they say. One goroutine owns all of them; whatever
// waits for a disk or a peer is a callback that it runs later.
package controller

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"

	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/platform/lifecycle"
	"mulleinwood/internal/platform/metrics"
	"mulleinwood/internal/platform/nodesettings"
	"mulleinwood/internal/platform/peer"
	"mulleinwood/internal/platform/storage"
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
	members               []string
	member                *consensus.Replica // nil in a controller that has no vote
	blank                 bool               // an empty disk, and the members aren't known yet
	state                 *statemachine.StateMachine
	waiters               map[uint64]waiter
	reads                 []read
	registry              *registry.Registry
	claimStore            *idempotency.Store
	coordinator           *idempotency.Coordinator
	copies                map[string]bool    // claim stores that were copied while ours is blank, and whether they were blank too
	peers                 map[string]*remote // controllers by IP
	edges                 map[string]*remote // by IP
	guests                map[*remote]bool
	broadcaster           *broadcast.Broadcaster
	calls                 map[uint64]func() // of servers, to be acknowledged
	nextCall              uint64
	fetches               map[idempotency.Token]*fetch
	tables                *weights.Tables
	reservations          reservations
	known                 map[string]bool   // IPs of controllers
	founder               bool              // names the members, once there are enough
	fresh                 bool              // the whole system starts for the first time
	lives                 map[string]uint64 // of controllers, when last met
	claimers              map[idempotency.Token]*remote
	goneSince             map[string]time.Duration // controllers out of reach
	nextSummary, nextCopy time.Duration
	summaries             int
	draining              bool   // told to end
	said                  string // role last logged
}

// Run serves until ctx ends.
func Run(ctx context.Context, set *nodesettings.Settings, security *peer.Security, logger log.Logger) error {
	c := &Controller{set: set, security: security, logger: logger, began: time.Now(), life: rand.Uint64() | 1, inbox: make(chan func(), 1024),
		waiters: map[uint64]waiter{}, state: statemachine.New(), copies: map[string]bool{},
		peers: map[string]*remote{}, edges: map[string]*remote{}, guests: map[*remote]bool{}, calls: map[uint64]func(){},
		fetches: map[idempotency.Token]*fetch{}, known: map[string]bool{}, claimers: map[idempotency.Token]*remote{},
		goneSince: map[string]time.Duration{}, lives: map[string]uint64{}}
	reloads := lifecycle.Reloads()
	c.registry = registry.New(tombstones)
	c.broadcaster = broadcast.New(c.registry)
	c.metrics = metrics.New(metrics.Controller)
	c.tables = weights.New(set.Zone, slices.Collect(maps.Keys(set.Zones)), c.life, func() int { return len(c.members) }, func(service, note string) {
		_ = logger.Log("event", "table", "service", service, "note", note)
	})
	c.reservations.clock = reservation.NewClock()
	if err := c.open(); err != nil {
		return err
	}
	defer c.storage.Close()
	listener, err := net.Listen("tcp", set.Inner(set.IP))
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
	defer server.Close()
	go c.accept(listener)
	_ = logger.Log("event", "controller starts", "node", set.Node, "zone", set.Zone, "members", strings.Join(c.members, " "), "blank", c.blank)
	go func() {
		for range reloads {
			c.do(c.reload)
		}
	}()
	c.loop(ctx)
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
	if state.Spoilt != nil {
		_ = c.logger.Log("event", "disk spoilt", "put aside", "exchange.db.spoilt", "cause", state.Spoilt)
	}
	for _, ip := range c.set.SeedIPs() {
		c.known[ip] = true
	}
	delete(c.known, c.set.IP)
	c.members = state.Members
	// A disk without members never held a vote or a claim, or lost them: the file alone may be there since a start that was
	// cut short right after the loss.
	first := c.set.FirstStart && state.Spoilt == nil
	blank := len(state.Members) == 0 && !first
	seeds := c.set.SeedIPs()
	slices.Sort(seeds)
	c.founder = len(c.members) == 0 && first && c.set.Counted && len(seeds) > 0 && seeds[0] == c.set.IP
	if len(c.members) == 0 && first && slices.Contains(seeds, c.set.IP) && len(seeds) >= c.wanted() {
		c.members = seeds
		if err := a.Commit([]*storage.Batch{{Members: c.members, Hard: &state.Hard}}); err != nil {
			return err
		}
	}
	c.claimStore = idempotency.NewStore(window, blank || state.LedgerBlank)
	c.claimStore.Bound(answers)
	for _, r := range state.Records {
		c.claimStore.Load(r, c.now())
	}
	for _, e := range state.Servers { // as they were: their next beats confirm them, or their silence takes them out
		e.Warmup, e.Owner = 0, c.set.IP
		if now, news := c.registry.Take(e, c.now()); news {
			c.tables.Changed([]registry.Entry{now}, c.now())
		}
	}
	c.blank = blank
	c.fresh = len(state.Members) == 0 && first
	if len(c.members) > 0 {
		return c.join(state)
	}
	return nil
}

// answersMost is how many bytes the answers of keyed operations may take, in memory and on disk.
func (c *Controller) answersMost() int64 {
	most := memoryShare * c.set.Limits.MemoryMB
	if disk := c.set.Limits.DiskMB; disk > 0 {
		most = min(most, diskShare*disk)
	}
	return int64(most * (1 << 20))
}

// wanted is how many members the consensus needs, so that more than half remain when as many as are borne are lost.
func (c *Controller) wanted() int { return 2*c.set.Tolerance.Machines + 1 }

// found names the members of a system that starts for the first time, where the seeds are too few to be all of them. One
// alone decides, the first of the seeds; the others learn it from each other.
func (c *Controller) found() {
	if !c.founder || len(c.members) > 0 {
		return
	}
	members := []string{c.set.IP}
	for ip, p := range c.peers {
		if p.counted {
			members = append(members, ip)
		}
	}
	slices.Sort(members)
	seeds := c.set.SeedIPs()
	slices.SortStableFunc(members, func(a, b string) int { // the seeds are surely meant
		return cmp.Compare(btoi(!slices.Contains(seeds, a)), btoi(!slices.Contains(seeds, b)))
	})
	if len(members) < c.wanted() {
		return
	}
	c.invited(members[:c.wanted()])
	for _, p := range c.peers {
		hello := c.hello()
		hello.Members = c.members
		p.link.Send(&peer.Frame{Hello: hello})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// join starts this planner's part in the consensus.
func (c *Controller) join(state *storage.State) error {
	for _, ip := range c.members {
		if ip != c.set.IP {
			c.known[ip] = true
		}
	}
	if !slices.Contains(c.members, c.set.IP) {
		return nil
	}
	c.member = consensus.New(c.set.IP, c.members, consensus.Timing{Heartbeat: heartbeatEvery, ElectionTimeout: electionTimeout, Lost: c.set.Tolerance.Machines}, c.life,
		state.Hard, state.Snapshot, state.Entries, c.now())
	at := slices.Index(c.members, c.set.IP)
	order := append(slices.Clone(c.members[at:]), c.members[:at]...)
	c.coordinator = idempotency.NewCoordinator(order, claimHedge, claimLimit)
	return nil
}

// invited makes a planner with an empty disk a member again, once another says who the members are.
func (c *Controller) invited(members []string) {
	if len(c.members) > 0 || len(members) == 0 {
		return
	}
	c.members = slices.Clone(members)
	slices.Sort(c.members)
	hard := consensus.HardState{Blank: slices.Contains(members, c.set.IP) && !c.fresh}
	yes := hard.Blank
	if !yes {
		c.claimStore.Restored() // it never granted anything, or is asked by nobody
	}
	c.put(&storage.Batch{Members: c.members, Hard: &hard, LedgerBlank: &yes}, nil)
	if err := c.join(&storage.State{Hard: hard}); err != nil {
		_ = c.logger.Log("event", "can't join", "cause", err)
	}
	_ = c.logger.Log("event", "members learnt", "members", strings.Join(c.members, " "), "vote", c.member != nil)
}

func (c *Controller) loop(ctx context.Context) {
	tick := time.NewTimer(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
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
			if c.coordinator != nil && c.coordinator.Busy() {
				next = busyTick
			}
			tick.Reset(next)
		}
		c.settle()
	}
}

func (c *Controller) tick() {
	now := c.now()
	if c.member != nil {
		c.member.Tick(now)
		asks, done := c.coordinator.Tick(now)
		c.askStores(asks)
		for _, o := range done {
			c.ruled(o)
		}
	}
	c.claimStore.Expire(now)
	c.found()
	c.askCopies(now)
	c.summarize(now)
	c.overdue(now)
	c.broadcaster.Tick(now)
	c.pushWeights(now)
	c.dealReservations(now)
	changed := c.registry.Silence(c.set.IP, c.lost, time.Duration(silentBeats*c.set.BeatPeriod*float64(time.Second)), now)
	if len(changed) > 0 {
		for _, e := range changed {
			_ = c.logger.Log("event", "server silent", "server", e.ID, "service", e.Service, "gone", e.State == registry.Gone)
		}
		c.broadcaster.Changed(changed, now)
	}
}

// settle does what the consensus wants done after the events of a turn, and hands the disk what has gathered.
func (c *Controller) settle() {
	if c.member != nil {
		out := c.member.Take()
		for _, m := range out.Now {
			c.sendAgree(m)
		}
		if !out.Empty() || len(out.After) > 0 {
			last := uint64(0)
			if n := len(out.Entries); n > 0 {
				last = out.Entries[n-1].Index
			} else if out.Snapshot != nil {
				last = out.Snapshot.Index
			}
			after := out.After
			done := func(bool) {
				for _, m := range after {
					c.sendAgree(m)
				}
				if last > 0 {
					c.member.Stored(last, c.now())
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
	}
	c.tell()
	c.store.run(c)
}

func (c *Controller) sayRole() {
	role := "follower of " + c.member.Leader()
	if c.member.Role() == consensus.Leader {
		role = "leader"
	} else if c.member.Leader() == "" {
		role = "no leader"
	}
	if c.member.Blank() {
		role += ", disk not restored"
	}
	if role != c.said {
		c.said = role
		_ = c.logger.Log("event", "role", "role", role, "term", c.member.Term(), "commit", c.member.Commit())
	}
}

func (c *Controller) sendAgree(m consensus.Message) {
	if p := c.peers[m.To]; p != nil {
		p.link.Send(&peer.Frame{Agree: []consensus.Message{m}})
	}
}

// attached tells whether this planner hears more than half of the core.
func (c *Controller) attached() bool {
	if c.member != nil {
		return c.member.Attached(c.now())
	}
	return len(c.members) > 0 && len(c.peers) > len(c.members)/2
}
