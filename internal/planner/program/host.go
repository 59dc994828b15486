package program

import (
	"cmp"
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/cores"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

const (
	tickEvery   = 20 * time.Millisecond // how often the assigner looks at its cores
	confirmPart = 0.25                  // of the drain grace: the time in which a core must confirm where none is set
	minConfirm  = 250.0                 // but never less: a core looks each tenth of a second
)

// supervisor runs a planner on several cores: it follows discovery for them, and carries out what the assigner decides about who
// has which proxy. One goroutine owns all of it but for what is said to be shared.
type supervisor struct {
	settings settings.Settings
	assigner *cores.Assigner
	follower *routing.Follower
	log      zerolog.Logger
	now      func() float64
	module   func(core, life int) sharer
	probes   *sharedProbes
	ctx      context.Context

	in      chan routing.Event // for the host alone
	runs    []*coreRun         // by core, the present incarnation
	all     []*coreRun         // every incarnation started whose goroutine may go on
	streams map[uint64]routing.MessageReceived
	leases  map[int]*lease // by proxy: the present one, or the last
	waiting []routing.Peer // heartbeats
	members map[string]protocol.Member
	list    protocol.List // the change that is being told
	watchAt float64       // when to watch again; 0: not needed
	failed  error         // no core is left

	// Shared with the readers of all connections.
	owners     []atomic.Pointer[lease] // by proxy
	live       atomic.Pointer[[]*coreRun]
	listed     atomic.Bool
	superseded sync.Map // connections whose proxy has a newer one
	dropped    atomic.Int64
}

// joining is an Attach whose reader waits until the stream has its core.
type joining struct {
	routing.MessageReceived
	placed chan struct{}
}

// incarnationEnded says that a core's goroutine has ended.
type incarnationEnded struct {
	core, incarnation int
	err               error
}

// supervisorEvent carries what only the host knows of through the channel of events.
type supervisorEvent struct {
	routing.Event
	joining *joining
	over    *incarnationEnded
}

// newSupervisor returns a host of so many cores that has not begun.
func newSupervisor(ctx context.Context, c Config, n int, asks *calls, module func(core, incarnation int) sharer,
	log zerolog.Logger) *supervisor {
	r := c.Settings.Rules
	confirm := c.Options.Cores.ConfirmMS
	if confirm == 0 {
		confirm = max(minConfirm, confirmPart*r.DrainGrace)
	}
	h := &supervisor{settings: c.Settings, log: log, now: clock(), module: module, ctx: ctx,
		in: make(chan routing.Event, maxEvents),
		runs: make([]*coreRun,
			n), streams: map[uint64]routing.MessageReceived{}, leases: map[int]*lease{}, members: map[string]protocol.Member{},
		owners: make([]atomic.Pointer[lease], r.Proxies), follower: routing.NewFollower(asks, c.Known.Revision)}
	h.probes = &sharedProbes{now: h.now, probe: asks.probe, waiting: map[string]map[int]probeRequest{},
		last: map[string]routing.Probed{}}
	h.live.Store(&[]*coreRun{})
	h.merge(c.Known)
	h.listed.Store(len(c.Known.Members) > 0)
	h.assigner = cores.NewAssigner(cores.Settings{Cores: n, Zones: len(c.Settings.ZoneNames), QueueLines: r.QueueLines,
		LinesPerSec:    r.LinesPerSec,
		ConfirmTimeout: confirm, MovesPerSecond: c.Options.Cores.MovesPerS, RestartDelay: c.Options.Cores.RestMS}, h.now())
	return h
}

// post takes an event from any goroutine. What a proxy or collector reports goes straight to the cores; the rest is the
// host's.
func (h *supervisor) post(e routing.Event) {
	said, ok := e.(routing.MessageReceived)
	if !ok {
		h.send(e)
		return
	}
	switch m := said.Message.(type) {
	case protocol.Heartbeat:
		if h.listed.Load() {
			said.Peer.AnswerHeartbeat() // one that fails is seen by the connection's reader
			return
		}
		h.send(e)
	case protocol.Collector:
	case protocol.Attach:
		j := &joining{MessageReceived: said, placed: make(chan struct{})}
		h.send(supervisorEvent{Event: e, joining: j})
		select { // what follows on the stream must find its core
		case <-j.placed:
		case <-h.ctx.Done():
		}
	case protocol.Ack:
		l := h.owner(said.Peer, m.Proxy)
		if l == nil {
			return
		}
		if mark, own := l.own(m.Token); own {
			m.Token = mark
			l.core.in.report(routing.MessageReceived{Peer: l, Message: m})
		}
	case protocol.UsageReport:
		if l := h.owner(said.Peer, m.Proxy); l != nil {
			l.core.in.report(routing.MessageReceived{Peer: l, Message: m})
		}
	case protocol.Nack:
		if l := h.owner(said.Peer, m.Proxy); l != nil && l.ID() == said.Peer.ID() {
			l.core.in.report(routing.MessageReceived{Peer: l, Message: m})
		}
	case protocol.ServerReport:
		if _, former := h.superseded.Load(said.Peer.ID()); former {
			return
		}
		for _, c := range *h.live.Load() {
			c.in.report(e)
		}
	}
}

// send posts for the host's own goroutine.
func (h *supervisor) send(e routing.Event) {
	select {
	case h.in <- e:
	case <-h.ctx.Done():
	}
}

// owner is the lease of a proxy, unless who speaks of it is a stream that has been replaced.
func (h *supervisor) owner(from routing.Peer, proxy int) *lease {
	l := h.owners[proxy].Load()
	if l != nil && l.ID() == from.ID() {
		return l
	}
	if _, former := h.superseded.Load(from.ID()); l == nil || former {
		if n := int(h.dropped.Add(1)); routing.ShouldLog(n) {
			h.log.Warn().Str("reason", "about a proxy that is not here, or from a stream that was replaced").Int("proxy", proxy).
				Int("count", n).Msg("message not used")
		}
		return nil
	}
	return l
}

// run serves until the context ends or no core is left.
func (h *supervisor) run() error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer h.stop()
	if err := h.carryOut(); err != nil {
		return err
	}
	h.follower.StartWatch()
	for {
		select {
		case <-h.ctx.Done():
			return nil
		case e := <-h.in:
			h.handle(e)
		case <-tick.C:
			h.tick()
		}
		if err := cmp.Or(h.failed, h.carryOut()); err != nil {
			return err
		}
	}
}

func (h *supervisor) tick() {
	now := h.now()
	for i, run := range h.runs {
		if w := run.report.Swap(nil); w != nil {
			h.assigner.HandleReport(now, i, run.incarnation, *w)
		}
	}
	h.assigner.Tick(now)
	if h.watchAt > 0 && now >= h.watchAt {
		h.watchAt = 0
		h.follower.StartWatch()
	}
}

func (h *supervisor) handle(e routing.Event) {
	switch e := e.(type) {
	case supervisorEvent:
		if e.joining != nil {
			h.joined(e.joining)
		} else {
			h.died(*e.over)
		}
	case routing.MessageReceived: // a heartbeat that comes before any list
		if h.listed.Load() {
			e.Peer.AnswerHeartbeat()
			return
		}
		e.Peer.DeferHeartbeat()
		h.waiting = append(h.waiting, e.Peer)
	case routing.Disconnected:
		id := e.Peer.ID()
		h.superseded.Delete(id)
		h.waiting = slices.DeleteFunc(h.waiting, func(p routing.Peer) bool { return p.ID() == id })
		if s, known := h.streams[id]; known {
			delete(h.streams, id)
			h.assigner.HandleLeft(id, s.Message.(protocol.Attach).Proxy)
		}
	case routing.ListReceived:
		if h.follower.HandleList(e) {
			h.change(e.List)
		}
	case routing.WatchStarted:
		h.follower.HandleWatchStarted(e)
	case routing.CallFailed:
		if counts, watched := h.follower.HandleFailure(e); counts {
			h.log.Warn().Err(e.Err).Int64("revision", h.follower.Revision()).Msg("discovery call ended")
			if watched {
				h.watchAt = h.now() + routing.WatchBackoff*(0.5+rand.Float64()) // spread by chance, as planners are many
			}
		}
	case routing.DiscoveryMoved:
		h.watchAt = 0
		h.follower.HandleMove(e)
	}
}

// joined gives a proxy's stream to a core. Its reader goes on once that is done.
func (h *supervisor) joined(j *joining) {
	defer close(j.placed)
	m := j.Message.(protocol.Attach)
	zone := slices.Index(h.settings.ZoneNames, m.Zone)
	if _, twice := h.streams[j.Peer.ID()]; twice || zone < 0 || m.Proxy >= len(h.owners) {
		return // its role has been checked, so this can't be; a second joining is void
	}
	h.streams[j.Peer.ID()] = j.MessageReceived
	h.assigner.HandleJoined(h.now(), j.Peer.ID(), m.Proxy, zone, m.Rate)
	if err := h.carryOut(); err != nil {
		h.failed = err
	}
}

func (h *supervisor) died(e incarnationEnded) {
	why := "ended"
	if e.err != nil {
		why = e.err.Error()
		h.log.Error().Int("core", e.core).Int("life", e.incarnation).Str("error", why).Msg("core failed")
	}
	h.all = slices.DeleteFunc(h.all, func(c *coreRun) bool { return c.index == e.core && c.incarnation == e.incarnation })
	h.assigner.HandleEnded(h.now(), e.core, e.incarnation, why)
}

// merge takes a list into the whole one.
func (h *supervisor) merge(l protocol.List) {
	if l.Complete {
		clear(h.members)
	}
	for _, m := range l.Members {
		if m.Phase == protocol.PhaseRemoved {
			delete(h.members, m.ID)
		} else {
			h.members[m.ID] = m
		}
	}
}

// change tells every core of a change of the list.
func (h *supervisor) change(l protocol.List) {
	h.merge(l)
	h.list = l
	h.assigner.HandleListChange(h.now())
	if h.listed.Store(true); len(h.waiting) > 0 {
		for _, peer := range h.waiting {
			peer.AnswerHeartbeat()
		}
		h.waiting = nil
	}
}

// whole is the list as it stands.
func (h *supervisor) whole() protocol.List {
	l := protocol.List{Revision: h.follower.Revision(), Complete: true}
	for _, m := range h.members {
		l.Members = append(l.Members, m)
	}
	slices.SortFunc(l.Members, func(a, b protocol.Member) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// carryOut does what the assigner has decided.
func (h *supervisor) carryOut() error {
	for _, c := range h.assigner.DrainCommands() {
		switch c := c.(type) {
		case cores.StartCore:
			h.begin(c)
		case cores.UpdateList:
			h.runs[c.Core].in.order(routing.ListUpdated{List: h.list, Epoch: c.Epoch})
		case cores.Share:
			h.runs[c.Core].in.order(routing.ShareAllocated{Number: c.Number,
				Part: rules.Part{ChannelShare: c.ChannelShare, JoinedProxies: c.JoinedProxies, TypicalRates: c.TypicalRates,
					Demands: c.Demands}})
		case cores.Assign:
			h.place(c)
		case cores.Unassign:
			if l := h.owners[c.Proxy].Swap(nil); l != nil {
				l.revoke()
				l.core.in.order(routing.Disconnected{Peer: l})
			}
		case cores.Supersede:
			if s, known := h.streams[c.Stream]; known {
				h.superseded.Store(c.Stream, true)
				delete(h.streams, c.Stream)
				s.Peer.Close(routing.ErrSuperseded)
			}
		case cores.Isolate:
			h.cut(c)
		case cores.LogLine:
			h.log.Warn().Int("core", c.Core).Msg("core: " + c.Text)
		case cores.Abort:
			return errors.New("no core is left: " + c.Reason)
		}
	}
	return nil
}

func (h *supervisor) begin(c cores.StartCore) {
	log := h.log.With().Int("core", c.Core).Logger()
	var run *coreRun
	ready := make(chan struct{})
	calls := coreCalls{probes: h.probes, core: func() *coreRun { <-ready; return run }}
	run = startCore(h.ctx, c.Core, c.Incarnation, h.settings, h.module(c.Core, c.Incarnation), calls, h.whole(), c.Epoch,
		h.now, log,
		func(err error) {
			h.send(supervisorEvent{over: &incarnationEnded{c.Core, c.Incarnation, err}})
		})
	close(ready)
	h.runs[c.Core] = run
	h.all = append(h.all, run)
	h.publish()
	if c.Incarnation > 1 {
		log.Info().Int("life", c.Incarnation).Msg("core begins again")
	}
}

// publish lets the readers know which cores get server reports.
func (h *supervisor) publish() {
	var live []*coreRun
	for i, run := range h.runs {
		if run != nil && h.assigner.Incarnation(i) == run.incarnation {
			live = append(live, run)
		}
	}
	h.live.Store(&live)
}

// cut takes every stream from a core, whatever it is doing, and lets it end by itself.
func (h *supervisor) cut(c cores.Isolate) {
	run := h.runs[c.Core]
	taken := 0
	for i := range h.owners {
		if l := h.owners[i].Load(); l != nil && l.core == run {
			l.revoke()
			taken++
		}
	}
	run.cancel()
	run.in.close()
	h.publish()
	h.log.Error().Int("core", c.Core).Int("life", c.Incarnation).Int("proxies", taken).Str("cause",
		firstLine(c.Reason)).Msg("core cut off: others take its proxies")
}

// place gives a stream to a core. Who had the proxy before can't order on it any more.
func (h *supervisor) place(c cores.Assign) {
	s := h.streams[c.Stream]
	old := h.leases[c.Proxy]
	if old != nil {
		old.revoke()
	}
	l := old.next(s.Peer, c.Proxy, h.runs[c.Core])
	h.leases[c.Proxy] = l
	h.owners[c.Proxy].Store(l)
	shut := make([]string, 0, len(l.shut))
	for name := range l.shut {
		shut = append(shut, name)
	}
	slices.Sort(shut)
	l.core.in.order(routing.ProxyHandedOver{Peer: l, Attach: s.Message.(protocol.Attach), Excluded: shut})
}

// stop lets every core end. One that is stuck is left behind: the program is about to end, and its streams are closed.
func (h *supervisor) stop() {
	patience := time.After(time.Duration(max(minConfirm, confirmPart*h.settings.Rules.DrainGrace)) * time.Millisecond)
	for _, run := range h.all {
		run.cancel()
		run.in.close()
	}
	for _, run := range h.all {
		select {
		case <-run.ended:
		case <-patience:
			return
		}
	}
}

// coreCount is how many cores decide: as set, within what the platform grants and what there are proxies for.
func coreCount(c Config) (n int, cut string) {
	n = max(1, c.Options.Cores.Count)
	if granted := int(math.Ceil(c.Limits.Cores)); granted > 0 && n > granted {
		n, cut = granted, "limits.cores"
	}
	if most := max(1, c.Settings.Rules.Proxies/minProxies); n > most {
		n, cut = most, "proxies"
	}
	if c.Settings.Rules.KeyRanges > 0 && n > 1 {
		n, cut = 1, "slices"
	}
	return n, cut
}

// minProxies is how many proxies a core must be able to have: the tables of fewer spread traffic badly.
const minProxies = 8
