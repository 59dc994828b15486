package bench

import (
	"errors"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/cores"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// group is a planner on several cores without sockets and goroutines, on a clock that its user moves: the real desk, and
// for each core the real router and module.
type group struct {
	set   settings.Settings
	now   float64
	desk  *cores.Assigner
	each  []*share
	order func(proxy int, o protocol.Assignment)
	known protocol.List
}

// share is one core of a group.
type share struct {
	router *routing.Router
	module *rules.Controller
	looks  uint64
}

// end is a proxy's end of a stream.
type end struct {
	group *group
	proxy int
	marks []uint32
}

func (e *end) ID() uint64 { return uint64(e.proxy) + 1 }
func (e *end) Assign(o protocol.Assignment) error {
	if o.Token != nil {
		e.marks = append(e.marks, *o.Token)
	}
	e.group.order(e.proxy, o)
	return nil
}
func (e *end) AnswerHeartbeat() error { return nil }
func (e *end) DeferHeartbeat()        {}
func (e *end) Close(error)            {}

// noCalls asks nobody anything.
type noCalls struct{}

func (noCalls) Watch(uint64, int64)                {}
func (noCalls) Fetch(uint64)                       {}
func (noCalls) Cancel(uint64)                      {}
func (noCalls) SetDiscovery(string)                {}
func (noCalls) Probe(rules.ServerID, string, bool) {}

func newGroup(f Fleet, n int, order func(proxy int, o protocol.Assignment)) (*group, error) {
	set, err := f.parsed()
	if err != nil {
		return nil, err
	}
	set.Rules.Probes = false // nobody answers them here
	g := &group{set: set, now: 1e6, order: order, each: make([]*share, n),
		known: protocol.List{Revision: 1, Complete: true, Members: f.members()}}
	g.desk = cores.NewAssigner(cores.Settings{Cores: n, Zones: len(zones), QueueLines: set.Rules.QueueLines,
		LinesPerSec:    set.Rules.LinesPerSec,
		ConfirmTimeout: set.Rules.DrainGrace / 4, MovesPerSecond: 8, RestartDelay: 10000}, g.now)
	for i := range n {
		module := rules.New(set.Rules, f.Seed+uint64(i))
		g.each[i] = &share{router: routing.NewHosted(set, module, noCalls{}, g.known, 0, zerolog.Nop()), module: module}
	}
	return g, g.carryOut()
}

// join takes a proxy in.
func (g *group) join(ends map[int]*end, proxy int, rate float64) error {
	ends[proxy] = &end{group: g, proxy: proxy}
	g.desk.HandleJoined(g.now, uint64(proxy)+1, proxy, proxy%len(zones), rate)
	for _, c := range g.desk.DrainCommands() {
		if c, ok := c.(cores.Assign); ok {
			g.each[c.Core].router.Handle(routing.ProxyHandedOver{Peer: ends[proxy],
				Attach: protocol.Attach{Proxy: proxy, Zone: zoneOf(proxy), Rate: rate, Fresh: true}})
		}
	}
	return nil
}

// said hands a message to the core of its proxy, or to all.
func (g *group) said(from *end, m protocol.Message) {
	if _, all := m.(protocol.ServerReport); all {
		for _, c := range g.each {
			c.router.Handle(routing.MessageReceived{Peer: &end{proxy: -2}, Message: m})
		}
		return
	}
	if at, joined := g.desk.CoreOf(from.proxy); joined {
		g.each[at].router.Handle(routing.MessageReceived{Peer: from, Message: m})
	}
}

// words tells the desk how far each core has come, and lets it look.
func (g *group) words() error {
	for i, c := range g.each {
		if p := c.router.Progress(); p.Rounds != c.looks {
			c.looks = p.Rounds
			own, waiting := c.module.OwnLoad()
			g.desk.HandleReport(g.now, i, 1, cores.CoreReport{SeenEpoch: p.SeenEpoch, AppliedEpoch: p.AppliedEpoch, ShareNumber: p.ShareNumber, QueuedLines: waiting,
				JoinedProxies: own.JoinedProxies,
				TypicalRates:  own.TypicalRates, Demands: own.Demands})
		}
	}
	g.desk.Tick(g.now)
	return g.carryOut()
}

// carryOut does what the desk has decided, as far as it decides it here: no core ends, and proxies stay.
func (g *group) carryOut() error {
	for _, c := range g.desk.DrainCommands() {
		switch c := c.(type) {
		case cores.Share:
			g.each[c.Core].router.Handle(routing.ShareAllocated{Number: c.Number,
				Part: rules.Part{ChannelShare: c.ChannelShare, JoinedProxies: c.JoinedProxies, TypicalRates: c.TypicalRates,
					Demands: c.Demands}})
		case cores.Isolate, cores.Abort:
			return errors.New("a core was cut off on a clock that nothing holds up")
		}
	}
	return nil
}

// change tells every core of a change of the list.
func (g *group) change(m protocol.Member) {
	epoch := g.desk.HandleListChange(g.now)
	g.desk.DrainCommands()
	for _, c := range g.each {
		c.router.Handle(routing.ListUpdated{List: protocol.List{Members: []protocol.Member{m}}, Epoch: epoch})
	}
}
