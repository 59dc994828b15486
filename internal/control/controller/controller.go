// Package controller is the runtime of a controller process: it owns the deciders (consensus, registry, ledger, weights),
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
	tickEvery    = 50 * time.Millisecond
	busyTick     = 10 * time.Millisecond // while claims wait for verdicts
	beatEvery    = 150 * time.Millisecond
	patience     = 500 * time.Millisecond
	silentBeats  = 2.5 // beats that a server may leave out
	ownerLost    = 2500 * time.Millisecond
	tombstones   = 90 * time.Second
	keySlack     = 5 * time.Second
	claimHurry   = 20 * time.Millisecond
	claimLimit   = 900 * time.Millisecond
	fetchLimit   = 300 * time.Millisecond
	redialEvery  = 300 * time.Millisecond
	dialLimit    = 400 * time.Millisecond
	storeAgain   = 100 * time.Millisecond
	lazyMost     = 100 * time.Millisecond // that a line waits for the disk when nobody waits for the line
	callLimit    = 1500 * time.Millisecond
	compactAfter = 64 // entries of the log
	fullEvery    = 4  // pulses, of which one is full
	memoryShare  = 0.25
	diskShare    = 0.25 // what is freed in the file is used again only once no older head needs it
)

// Exchange is one control planner.
type Exchange struct {
	set      *nodesettings.Settings
	security *peer.Security
	logger   log.Logger
	began    time.Time
	life     uint64
	inbox    chan func()

	tally               *metrics.Tally
	archive             *storage.Archive
	store               store
	members             []string
	member              *consensus.Member // nil in a controller that has no vote
	blank               bool              // an empty disk, and the members aren't known yet
	state               *statemachine.Daybook
	waiters             map[uint64]waiter
	reads               []read
	dir                 *registry.Directory
	ledger              *idempotency.Ledger
	office              *idempotency.Office
	copies              map[string]bool    // ledgers that were copied while ours is blank, and whether they were blank too
	peers               map[string]*remote // controllers by IP
	edges               map[string]*remote // by IP
	guests              map[*remote]bool
	board               *broadcast.Board
	calls               map[uint64]func() // of servers, to be acknowledged
	nextCall            uint64
	fetches             map[idempotency.Token]*fetch
	tables              *weights.Groups
	rooms               rooms
	known               map[string]bool   // IPs of controllers
	founder             bool              // names the members, once there are enough
	fresh               bool              // the whole system starts for the first time
	lives               map[string]uint64 // of controllers, when last met
	claimers            map[idempotency.Token]*remote
	goneSince           map[string]time.Duration // controllers out of reach
	nextPulse, nextCopy time.Duration
	pulses              int
	draining            bool   // told to end
	said                string // role last logged
}

// Run serves until ctx ends.
func Run(ctx context.Context, set *nodesettings.Settings, security *peer.Security, logger log.Logger) error {
	x := &Exchange{set: set, security: security, logger: logger, began: time.Now(), life: rand.Uint64() | 1, inbox: make(chan func(), 1024),
		waiters: map[uint64]waiter{}, state: statemachine.New(), copies: map[string]bool{},
		peers: map[string]*remote{}, edges: map[string]*remote{}, guests: map[*remote]bool{}, calls: map[uint64]func(){},
		fetches: map[idempotency.Token]*fetch{}, known: map[string]bool{}, claimers: map[idempotency.Token]*remote{},
		goneSince: map[string]time.Duration{}, lives: map[string]uint64{}}
	reloads := lifecycle.Reloads()
	x.dir = registry.New(tombstones)
	x.board = broadcast.New(x.dir)
	x.tally = metrics.New(metrics.Controller)
	x.tables = weights.New(set.Zone, slices.Collect(maps.Keys(set.Zones)), x.life, func() int { return len(x.members) }, func(service, note string) {
		_ = logger.Log("event", "table", "service", service, "note", note)
	})
	x.rooms.clock = reservation.NewClock()
	if err := x.open(); err != nil {
		return err
	}
	defer x.archive.Close()
	listener, err := net.Listen("tcp", set.Inner(set.IP))
	if err != nil {
		return err
	}
	defer listener.Close()
	control, err := net.Listen("tcp", set.Listen.Control)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: x.handler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 32 << 10}
	go func() {
		if err := server.Serve(control); !errors.Is(err, http.ErrServerClosed) {
			_ = logger.Log("event", "control calls end", "cause", err)
		}
	}()
	defer server.Close()
	go x.accept(listener)
	_ = logger.Log("event", "controller starts", "node", set.Node, "zone", set.Zone, "members", strings.Join(x.members, " "), "blank", x.blank)
	go func() {
		for range reloads {
			x.do(x.reload)
		}
	}()
	x.loop(ctx)
	_ = logger.Log("event", "controller ends", "node", set.Node)
	return nil
}

// reload takes the settings file's seeds over: the only part of it that a running controller has use for. A file that is
// wrong changes nothing.
func (x *Exchange) reload() {
	if err := x.security.Reload(); err != nil {
		_ = x.logger.Log("event", "inner TLS not taken over", "cause", err)
	}
	set, err := nodesettings.Load()
	if err != nil {
		_ = x.logger.Log("event", "settings not taken over", "cause", err)
		return
	}
	for _, ip := range set.SeedIPs() {
		x.meet(ip)
	}
	_ = x.logger.Log("event", "settings read again", "seeds", strings.Join(set.Seeds, " "))
}

// now is the steady time since the process began: jumps of the time of day don't show in it.
func (x *Exchange) now() time.Duration { return time.Since(x.began) }

// do has the owner run a function.
func (x *Exchange) do(f func()) { x.inbox <- f }

func (x *Exchange) open() error {
	dir := os.TempDir()
	if x.set.DataDir != nil {
		dir = *x.set.DataDir
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	window := x.set.Seconds("key_window_s", 60) + keySlack
	answers := x.answersMost()
	a, state, err := storage.Open(dir, window, answers)
	if err != nil {
		return err
	}
	x.archive = a
	if state.Spoilt != nil {
		_ = x.logger.Log("event", "disk spoilt", "put aside", "exchange.db.spoilt", "cause", state.Spoilt)
	}
	for _, ip := range x.set.SeedIPs() {
		x.known[ip] = true
	}
	delete(x.known, x.set.IP)
	x.members = state.Members
	// A disk without members never held a vote or a claim, or lost them: the file alone may be there since a start that was
	// cut short right after the loss.
	first := x.set.FirstStart && state.Spoilt == nil
	blank := len(state.Members) == 0 && !first
	seeds := x.set.SeedIPs()
	slices.Sort(seeds)
	x.founder = len(x.members) == 0 && first && x.set.Counted && len(seeds) > 0 && seeds[0] == x.set.IP
	if len(x.members) == 0 && first && slices.Contains(seeds, x.set.IP) && len(seeds) >= x.wanted() {
		x.members = seeds
		if err := a.Commit([]*storage.Batch{{Members: x.members, Hard: &state.Hard}}); err != nil {
			return err
		}
	}
	x.ledger = idempotency.NewLedger(window, blank || state.LedgerBlank)
	x.ledger.Bound(answers)
	for _, r := range state.Records {
		x.ledger.Load(r, x.now())
	}
	for _, e := range state.Servers { // as they were: their next beats confirm them, or their silence takes them out
		e.Warmup, e.Owner = 0, x.set.IP
		if now, news := x.dir.Take(e, x.now()); news {
			x.tables.Changed([]registry.Entry{now}, x.now())
		}
	}
	x.blank = blank
	x.fresh = len(state.Members) == 0 && first
	if len(x.members) > 0 {
		return x.join(state)
	}
	return nil
}

// answersMost is how many bytes the answers of keyed operations may take, in memory and on disk.
func (x *Exchange) answersMost() int64 {
	most := memoryShare * x.set.Limits.MemoryMB
	if disk := x.set.Limits.DiskMB; disk > 0 {
		most = min(most, diskShare*disk)
	}
	return int64(most * (1 << 20))
}

// wanted is how many members the agreement needs, so that more than half remain when as many as are borne are lost.
func (x *Exchange) wanted() int { return 2*x.set.Tolerance.Machines + 1 }

// found names the members of a system that starts for the first time, where the seeds are too few to be all of them. One
// alone decides, the first of the seeds; the others learn it from each other.
func (x *Exchange) found() {
	if !x.founder || len(x.members) > 0 {
		return
	}
	members := []string{x.set.IP}
	for ip, p := range x.peers {
		if p.counted {
			members = append(members, ip)
		}
	}
	slices.Sort(members)
	seeds := x.set.SeedIPs()
	slices.SortStableFunc(members, func(a, b string) int { // the seeds are surely meant
		return cmp.Compare(btoi(!slices.Contains(seeds, a)), btoi(!slices.Contains(seeds, b)))
	})
	if len(members) < x.wanted() {
		return
	}
	x.invited(members[:x.wanted()])
	for _, p := range x.peers {
		hello := x.hello()
		hello.Members = x.members
		p.link.Send(&peer.Frame{Hello: hello})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// join starts this planner's part in the agreement.
func (x *Exchange) join(state *storage.State) error {
	for _, ip := range x.members {
		if ip != x.set.IP {
			x.known[ip] = true
		}
	}
	if !slices.Contains(x.members, x.set.IP) {
		return nil
	}
	x.member = consensus.New(x.set.IP, x.members, consensus.Timing{Beat: beatEvery, Patience: patience, Lost: x.set.Tolerance.Machines}, x.life,
		state.Hard, state.Snapshot, state.Entries, x.now())
	at := slices.Index(x.members, x.set.IP)
	order := append(slices.Clone(x.members[at:]), x.members[:at]...)
	x.office = idempotency.NewOffice(order, claimHurry, claimLimit)
	return nil
}

// invited makes a planner with an empty disk a member again, once another says who the members are.
func (x *Exchange) invited(members []string) {
	if len(x.members) > 0 || len(members) == 0 {
		return
	}
	x.members = slices.Clone(members)
	slices.Sort(x.members)
	hard := consensus.Hard{Blank: slices.Contains(members, x.set.IP) && !x.fresh}
	yes := hard.Blank
	if !yes {
		x.ledger.Restored() // it never granted anything, or is asked by nobody
	}
	x.put(&storage.Batch{Members: x.members, Hard: &hard, LedgerBlank: &yes}, nil)
	if err := x.join(&storage.State{Hard: hard}); err != nil {
		_ = x.logger.Log("event", "can't join", "cause", err)
	}
	_ = x.logger.Log("event", "members learnt", "members", strings.Join(x.members, " "), "vote", x.member != nil)
}

func (x *Exchange) loop(ctx context.Context) {
	tick := time.NewTimer(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-x.inbox:
			f()
			for more := true; more; { // what came in together is decided and stored together
				select {
				case f := <-x.inbox:
					f()
				default:
					more = false
				}
			}
		case <-tick.C:
			x.tick()
			next := tickEvery
			if x.office != nil && x.office.Busy() {
				next = busyTick
			}
			tick.Reset(next)
		}
		x.settle()
	}
}

func (x *Exchange) tick() {
	now := x.now()
	if x.member != nil {
		x.member.Tick(now)
		asks, done := x.office.Tick(now)
		x.askLedgers(asks)
		for _, o := range done {
			x.ruled(o)
		}
	}
	x.ledger.Expire(now)
	x.found()
	x.askCopies(now)
	x.pulse(now)
	x.overdue(now)
	x.board.Tick(now)
	x.pushWeights(now)
	x.dealRooms(now)
	changed := x.dir.Silence(x.set.IP, x.lost, time.Duration(silentBeats*x.set.BeatPeriod*float64(time.Second)), now)
	if len(changed) > 0 {
		for _, e := range changed {
			_ = x.logger.Log("event", "server silent", "server", e.ID, "service", e.Service, "gone", e.State == registry.Gone)
		}
		x.board.Changed(changed, now)
	}
}

// settle does what the agreement wants done after the events of a turn, and hands the disk what has gathered.
func (x *Exchange) settle() {
	if x.member != nil {
		out := x.member.Take()
		for _, m := range out.Now {
			x.sendAgree(m)
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
					x.sendAgree(m)
				}
				if last > 0 {
					x.member.Stored(last, x.now())
				}
			}
			if out.Empty() && x.store.idleAgree() {
				done(true)
			} else {
				x.store.agree(&storage.Batch{Hard: out.Hard, Snapshot: out.Snapshot, Truncate: out.Truncate, Entries: out.Entries}, done)
			}
		}
		x.apply(out)
		x.answerReads()
		x.sayRole()
	}
	x.tell()
	x.store.run(x)
}

func (x *Exchange) sayRole() {
	role := "follower of " + x.member.Leader()
	if x.member.Role() == consensus.Leader {
		role = "leader"
	} else if x.member.Leader() == "" {
		role = "no leader"
	}
	if x.member.Blank() {
		role += ", disk not restored"
	}
	if role != x.said {
		x.said = role
		_ = x.logger.Log("event", "role", "role", role, "term", x.member.Term(), "commit", x.member.Commit())
	}
}

func (x *Exchange) sendAgree(m consensus.Message) {
	if p := x.peers[m.To]; p != nil {
		p.link.Send(&peer.Frame{Agree: []consensus.Message{m}})
	}
}

// attached tells whether this planner hears more than half of the core.
func (x *Exchange) attached() bool {
	if x.member != nil {
		return x.member.Attached(x.now())
	}
	return len(x.members) > 0 && len(x.peers) > len(x.members)/2
}
