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
	tickInterval    = 20 * time.Millisecond // interval of the assigner's ticks
	confirmFraction = 0.25                  // default confirmation timeout of a core, as a fraction of the drain grace
	minConfirmMS    = 250.0                 // least confirmation timeout, in ms: a core steps every 100 ms
)

// supervisor runs a planner on several cores. It follows discovery for them and applies the assigner's decisions about which
// core serves which proxy. One goroutine owns all fields except those marked as shared.
type supervisor struct {
	settings  settings.Settings
	assigner  *cores.Assigner
	follower  *routing.Follower
	log       zerolog.Logger
	now       func() float64
	newModule func(core, incarnation int) coreModule
	probes    *sharedProbes
	ctx       context.Context

	events            chan routing.Event // for the supervisor's own goroutine
	currentRuns       []*coreRun         // the current incarnation of each core, by core index
	activeRuns        []*coreRun         // every incarnation whose goroutine may still be running
	streams           map[uint64]routing.MessageReceived
	leases            map[int]*lease // the current or last lease of each proxy
	pendingHeartbeats []routing.Peer // peers whose heartbeats are answered after the first list
	members           map[string]protocol.Member
	latestChange      protocol.List // the list change being distributed to the cores
	nextWatchAt       float64       // when to start the next watch; 0 if none is due
	fatal             error         // set once no core is left

	// The fields below are shared with the readers of all connections.
	activeLeases    []atomic.Pointer[lease] // by proxy number
	liveRuns        atomic.Pointer[[]*coreRun]
	hasList         atomic.Bool
	superseded      sync.Map // IDs of connections whose proxy has a newer connection
	droppedMessages atomic.Int64
}

// pendingAttach is an Attach whose reader waits until the stream is assigned to a core.
type pendingAttach struct {
	routing.MessageReceived
	assigned chan struct{}
}

// incarnationEnded reports that a core's goroutine has ended.
type incarnationEnded struct {
	core, incarnation int
	err               error
}

// supervisorEvent carries one of the supervisor's own events through the event channel. Exactly one of its pointers is set.
type supervisorEvent struct {
	routing.Event
	attach *pendingAttach
	ended  *incarnationEnded
}

// newSupervisor returns a supervisor of coreCount cores. It starts none of them before run is called.
func newSupervisor(ctx context.Context, c Config, coreCount int, outgoing *calls,
	newModule func(core, incarnation int) coreModule, log zerolog.Logger) *supervisor {
	r := c.Settings.Rules
	confirm := c.Options.Cores.ConfirmTimeoutMS
	if confirm == 0 {
		confirm = max(minConfirmMS, confirmFraction*r.DrainGrace)
	}
	s := &supervisor{settings: c.Settings, log: log, now: clock(), newModule: newModule, ctx: ctx,
		events:      make(chan routing.Event, maxPendingEvents),
		currentRuns: make([]*coreRun, coreCount), streams: map[uint64]routing.MessageReceived{}, leases: map[int]*lease{},
		members:      map[string]protocol.Member{},
		activeLeases: make([]atomic.Pointer[lease], r.Proxies), follower: routing.NewFollower(outgoing, c.Known.Revision)}
	s.probes = &sharedProbes{now: s.now, probe: outgoing.probe, waiting: map[string]map[int]probeRequest{},
		last: map[string]routing.Probed{}}
	s.liveRuns.Store(&[]*coreRun{})
	s.mergeList(c.Known)
	s.hasList.Store(len(c.Known.Members) > 0)
	s.assigner = cores.NewAssigner(cores.Settings{Cores: coreCount, Zones: len(c.Settings.ZoneNames), QueueLines: r.QueueLines,
		LinesPerSec:    r.LinesPerSec,
		ConfirmTimeout: confirm, MovesPerSecond: c.Options.Cores.MovesPerSecond,
		RestartDelay: c.Options.Cores.RestartDelayMS}, s.now())
	return s
}

// post accepts an event from any goroutine. Reports of proxies and collectors go directly to the cores; other events go to
// the supervisor's goroutine.
func (s *supervisor) post(e routing.Event) {
	received, ok := e.(routing.MessageReceived)
	if !ok {
		s.send(e)
		return
	}
	switch m := received.Message.(type) {
	case protocol.Heartbeat:
		if s.hasList.Load() {
			received.Peer.AnswerHeartbeat() // the connection's reader notices a failed write
			return
		}
		s.send(e)
	case protocol.Collector:
	case protocol.Attach:
		attach := &pendingAttach{MessageReceived: received, assigned: make(chan struct{})}
		s.send(supervisorEvent{Event: e, attach: attach})
		select { // messages that follow on the stream need its core
		case <-attach.assigned:
		case <-s.ctx.Done():
		}
	case protocol.Ack:
		l := s.activeLease(received.Peer, m.Proxy)
		if l == nil {
			return
		}
		if token, matches := l.coreToken(m.Token); matches {
			m.Token = token
			l.core.inbox.postReport(routing.MessageReceived{Peer: l, Message: m})
		}
	case protocol.UsageReport:
		if l := s.activeLease(received.Peer, m.Proxy); l != nil {
			l.core.inbox.postReport(routing.MessageReceived{Peer: l, Message: m})
		}
	case protocol.Nack:
		if l := s.activeLease(received.Peer, m.Proxy); l != nil && l.ID() == received.Peer.ID() {
			l.core.inbox.postReport(routing.MessageReceived{Peer: l, Message: m})
		}
	case protocol.ServerReport:
		if _, superseded := s.superseded.Load(received.Peer.ID()); superseded {
			return
		}
		for _, c := range *s.liveRuns.Load() {
			c.inbox.postReport(e)
		}
	}
}

// send queues an event for the supervisor's own goroutine.
func (s *supervisor) send(e routing.Event) {
	select {
	case s.events <- e:
	case <-s.ctx.Done():
	}
}

// activeLease returns the lease of a proxy, or nil if there is none or the sending stream has been superseded.
func (s *supervisor) activeLease(from routing.Peer, proxy int) *lease {
	l := s.activeLeases[proxy].Load()
	if l != nil && l.ID() == from.ID() {
		return l
	}
	if _, superseded := s.superseded.Load(from.ID()); l == nil || superseded {
		if n := int(s.droppedMessages.Add(1)); routing.ShouldLog(n) {
			s.log.Warn().Str("reason", "about a proxy that is not here, or from a stream that was replaced").Int("proxy", proxy).
				Int("count", n).Msg("message not used")
		}
		return nil
	}
	return l
}

// run serves until the context ends or no core is left.
func (s *supervisor) run() error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer s.stop()
	if err := s.applyCommands(); err != nil {
		return err
	}
	s.follower.StartWatch()
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case e := <-s.events:
			s.handle(e)
		case <-tick.C:
			s.tick()
		}
		if err := cmp.Or(s.fatal, s.applyCommands()); err != nil {
			return err
		}
	}
}

func (s *supervisor) tick() {
	now := s.now()
	for i, run := range s.currentRuns {
		if report := run.report.Swap(nil); report != nil {
			s.assigner.HandleReport(now, i, run.incarnation, *report)
		}
	}
	s.assigner.Tick(now)
	if s.nextWatchAt > 0 && now >= s.nextWatchAt {
		s.nextWatchAt = 0
		s.follower.StartWatch()
	}
}

func (s *supervisor) handle(e routing.Event) {
	switch e := e.(type) {
	case supervisorEvent:
		if e.attach != nil {
			s.handleAttach(e.attach)
		} else {
			s.handleCoreEnd(*e.ended)
		}
	case routing.MessageReceived: // a heartbeat that arrived before the first list
		if s.hasList.Load() {
			e.Peer.AnswerHeartbeat()
			return
		}
		e.Peer.DeferHeartbeat()
		s.pendingHeartbeats = append(s.pendingHeartbeats, e.Peer)
	case routing.Disconnected:
		id := e.Peer.ID()
		s.superseded.Delete(id)
		s.pendingHeartbeats = slices.DeleteFunc(s.pendingHeartbeats, func(p routing.Peer) bool { return p.ID() == id })
		if stream, known := s.streams[id]; known {
			delete(s.streams, id)
			s.assigner.HandleLeft(id, stream.Message.(protocol.Attach).Proxy)
		}
	case routing.ListReceived:
		if s.follower.HandleList(e) {
			s.handleListChange(e.List)
		}
	case routing.WatchStarted:
		s.follower.HandleWatchStarted(e)
	case routing.CallFailed:
		if counts, watched := s.follower.HandleFailure(e); counts {
			s.log.Warn().Err(e.Err).Int64("revision", s.follower.Revision()).Msg("discovery call ended")
			if watched {
				// Random jitter keeps many planners from retrying at once.
				s.nextWatchAt = s.now() + routing.WatchBackoff*(0.5+rand.Float64())
			}
		}
	case routing.DiscoveryMoved:
		s.nextWatchAt = 0
		s.follower.HandleMove(e)
	}
}

// handleAttach assigns a proxy's stream to a core. The stream's reader continues once that is done.
func (s *supervisor) handleAttach(attach *pendingAttach) {
	defer close(attach.assigned)
	m := attach.Message.(protocol.Attach)
	zone := slices.Index(s.settings.ZoneNames, m.Zone)
	if _, duplicate := s.streams[attach.Peer.ID()]; duplicate || zone < 0 || m.Proxy >= len(s.activeLeases) {
		return // the sender check rules this out; a second Attach is ignored
	}
	s.streams[attach.Peer.ID()] = attach.MessageReceived
	s.assigner.HandleJoined(s.now(), attach.Peer.ID(), m.Proxy, zone, m.Rate)
	if err := s.applyCommands(); err != nil {
		s.fatal = err
	}
}

func (s *supervisor) handleCoreEnd(e incarnationEnded) {
	reason := "ended"
	if e.err != nil {
		reason = e.err.Error()
		s.log.Error().Int("core", e.core).Int("life", e.incarnation).Str("error", reason).Msg("core failed")
	}
	s.activeRuns = slices.DeleteFunc(s.activeRuns, func(c *coreRun) bool {
		return c.index == e.core && c.incarnation == e.incarnation
	})
	s.assigner.HandleEnded(s.now(), e.core, e.incarnation, reason)
}

// mergeList applies a complete list or a list change to the members.
func (s *supervisor) mergeList(l protocol.List) {
	if l.Complete {
		clear(s.members)
	}
	for _, m := range l.Members {
		if m.Phase == protocol.PhaseRemoved {
			delete(s.members, m.ID)
		} else {
			s.members[m.ID] = m
		}
	}
}

// handleListChange starts distributing a list change to all cores and answers the heartbeats that waited for the first list.
func (s *supervisor) handleListChange(l protocol.List) {
	s.mergeList(l)
	s.latestChange = l
	s.assigner.HandleListChange(s.now())
	if s.hasList.Store(true); len(s.pendingHeartbeats) > 0 {
		for _, peer := range s.pendingHeartbeats {
			peer.AnswerHeartbeat()
		}
		s.pendingHeartbeats = nil
	}
}

// completeList returns the current complete list, sorted by server ID.
func (s *supervisor) completeList() protocol.List {
	l := protocol.List{Revision: s.follower.Revision(), Complete: true}
	for _, m := range s.members {
		l.Members = append(l.Members, m)
	}
	slices.SortFunc(l.Members, func(a, b protocol.Member) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// applyCommands carries out the assigner's pending commands. It returns an error if no core is left.
func (s *supervisor) applyCommands() error {
	for _, c := range s.assigner.DrainCommands() {
		switch c := c.(type) {
		case cores.StartCore:
			s.startIncarnation(c)
		case cores.UpdateList:
			s.currentRuns[c.Core].inbox.postControl(routing.ListUpdated{List: s.latestChange, Epoch: c.Epoch})
		case cores.Share:
			s.currentRuns[c.Core].inbox.postControl(routing.ShareAllocated{Number: c.Number,
				Part: rules.Part{ChannelShare: c.ChannelShare, JoinedProxies: c.JoinedProxies, TypicalRates: c.TypicalRates,
					Demands: c.Demands}})
		case cores.Assign:
			s.assignProxy(c)
		case cores.Unassign:
			if l := s.activeLeases[c.Proxy].Swap(nil); l != nil {
				l.revoke()
				l.core.inbox.postControl(routing.Disconnected{Peer: l})
			}
		case cores.Supersede:
			if stream, known := s.streams[c.Stream]; known {
				s.superseded.Store(c.Stream, true)
				delete(s.streams, c.Stream)
				stream.Peer.Close(routing.ErrSuperseded)
			}
		case cores.Isolate:
			s.isolateCore(c)
		case cores.LogLine:
			s.log.Warn().Int("core", c.Core).Msg("core: " + c.Text)
		case cores.Abort:
			return errors.New("no core is left: " + c.Reason)
		}
	}
	return nil
}

func (s *supervisor) startIncarnation(c cores.StartCore) {
	log := s.log.With().Int("core", c.Core).Logger()
	var run *coreRun
	ready := make(chan struct{})
	calls := coreCalls{probes: s.probes, core: func() *coreRun { <-ready; return run }}
	run = startCore(s.ctx, c.Core, c.Incarnation, s.settings, s.newModule(c.Core, c.Incarnation), calls, s.completeList(),
		c.Epoch, s.now, log,
		func(err error) {
			s.send(supervisorEvent{ended: &incarnationEnded{c.Core, c.Incarnation, err}})
		})
	close(ready)
	s.currentRuns[c.Core] = run
	s.activeRuns = append(s.activeRuns, run)
	s.publishLiveRuns()
	if c.Incarnation > 1 {
		log.Info().Int("life", c.Incarnation).Msg("core begins again")
	}
}

// publishLiveRuns updates the cores to which the connections' readers deliver server reports.
func (s *supervisor) publishLiveRuns() {
	var live []*coreRun
	for i, run := range s.currentRuns {
		if run != nil && s.assigner.Incarnation(i) == run.incarnation {
			live = append(live, run)
		}
	}
	s.liveRuns.Store(&live)
}

// isolateCore revokes all leases of a core, even while it is busy, and cancels it without waiting for its end.
func (s *supervisor) isolateCore(c cores.Isolate) {
	run := s.currentRuns[c.Core]
	revoked := 0
	for i := range s.activeLeases {
		if l := s.activeLeases[i].Load(); l != nil && l.core == run {
			l.revoke()
			revoked++
		}
	}
	run.cancel()
	run.inbox.close()
	s.publishLiveRuns()
	s.log.Error().Int("core", c.Core).Int("life", c.Incarnation).Int("proxies", revoked).Str("cause",
		firstLine(c.Reason)).Msg("core cut off: others take its proxies")
}

// assignProxy assigns a stream to a core and revokes the previous lease, so that its former core can no longer send on it.
func (s *supervisor) assignProxy(c cores.Assign) {
	stream := s.streams[c.Stream]
	old := s.leases[c.Proxy]
	if old != nil {
		old.revoke()
	}
	l := old.next(stream.Peer, c.Proxy, s.currentRuns[c.Core])
	s.leases[c.Proxy] = l
	s.activeLeases[c.Proxy].Store(l)
	excluded := make([]string, 0, len(l.excluded))
	for name := range l.excluded {
		excluded = append(excluded, name)
	}
	slices.Sort(excluded)
	l.core.inbox.postControl(routing.ProxyHandedOver{Peer: l, Attach: stream.Message.(protocol.Attach), Excluded: excluded})
}

// stop cancels all cores and waits for them up to a timeout. A stuck core is abandoned, since the process is about to exit and
// the core's streams are closed.
func (s *supervisor) stop() {
	timeout := time.After(time.Duration(max(minConfirmMS, confirmFraction*s.settings.Rules.DrainGrace)) * time.Millisecond)
	for _, run := range s.activeRuns {
		run.cancel()
		run.inbox.close()
	}
	for _, run := range s.activeRuns {
		select {
		case <-run.ended:
		case <-timeout:
			return
		}
	}
}

// coreCount returns how many cores to run: the configured number, limited by the granted cores and by the number of proxies.
// limitedBy names the limit that applied, if any.
func coreCount(c Config) (n int, limitedBy string) {
	n = max(1, c.Options.Cores.Count)
	if granted := int(math.Ceil(c.Limits.Cores)); granted > 0 && n > granted {
		n, limitedBy = granted, "limits.cores"
	}
	if limit := max(1, c.Settings.Rules.Proxies/minProxiesPerCore); n > limit {
		n, limitedBy = limit, "proxies"
	}
	if c.Settings.Rules.KeyRanges > 0 && n > 1 {
		n, limitedBy = 1, "slices"
	}
	return n, limitedBy
}

// minProxiesPerCore is the least number of proxies per core. The tables of fewer proxies distribute traffic poorly.
const minProxiesPerCore = 8
