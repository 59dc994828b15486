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

// group is a planner on several cores without sockets and goroutines, on a clock that the caller advances. It uses the
// production assigner, and the production router and decision module for each core.
type group struct {
	set          settings.Settings
	now          float64
	assigner     *cores.Assigner
	cores        []*coreState
	onAssignment func(proxy int, o protocol.Assignment)
	list         protocol.List
}

// coreState is the state of one core of a group.
type coreState struct {
	router *routing.Router
	module *rules.Controller
	rounds uint64
}

// proxyStream is the planner's view of a proxy's stream. It collects the tokens that the proxy has to acknowledge.
type proxyStream struct {
	group  *group
	proxy  int
	tokens []uint32
}

func (e *proxyStream) ID() uint64 { return uint64(e.proxy) + 1 }
func (e *proxyStream) Assign(o protocol.Assignment) error {
	if o.Token != nil {
		e.tokens = append(e.tokens, *o.Token)
	}
	e.group.onAssignment(e.proxy, o)
	return nil
}
func (e *proxyStream) AnswerHeartbeat() error { return nil }
func (e *proxyStream) DeferHeartbeat()        {}
func (e *proxyStream) Close(error)            {}

// noopCalls ignores all outgoing calls to discovery and to servers.
type noopCalls struct{}

func (noopCalls) Watch(uint64, int64)                {}
func (noopCalls) Fetch(uint64)                       {}
func (noopCalls) Cancel(uint64)                      {}
func (noopCalls) SetDiscovery(string)                {}
func (noopCalls) Probe(rules.ServerID, string, bool) {}

func newGroup(f Fleet, n int, onAssignment func(proxy int, o protocol.Assignment)) (*group, error) {
	set, err := f.parsedSettings()
	if err != nil {
		return nil, err
	}
	set.Rules.Probes = false // no server answers probes here
	g := &group{set: set, now: 1e6, onAssignment: onAssignment, cores: make([]*coreState, n),
		list: protocol.List{Revision: 1, Complete: true, Members: f.members()}}
	g.assigner = cores.NewAssigner(cores.Settings{Cores: n, Zones: len(zones), QueueLines: set.Rules.QueueLines,
		LinesPerSec:    set.Rules.LinesPerSec,
		ConfirmTimeout: set.Rules.DrainGrace / 4, MovesPerSecond: 8, RestartDelay: 10000}, g.now)
	for i := range n {
		module := rules.New(set.Rules, f.Seed+uint64(i))
		g.cores[i] = &coreState{router: routing.NewHosted(set, module, noopCalls{}, g.list, 0, zerolog.Nop()), module: module}
	}
	return g, g.runCommands()
}

// join attaches a proxy to the core that the assigner chooses.
func (g *group) join(streams map[int]*proxyStream, proxy int, rate float64) error {
	streams[proxy] = &proxyStream{group: g, proxy: proxy}
	g.assigner.HandleJoined(g.now, uint64(proxy)+1, proxy, proxy%len(zones), rate)
	for _, c := range g.assigner.DrainCommands() {
		if c, ok := c.(cores.Assign); ok {
			g.cores[c.Core].router.Handle(routing.ProxyHandedOver{Peer: streams[proxy],
				Attach: protocol.Attach{Proxy: proxy, Zone: zoneOf(proxy), Rate: rate, Fresh: true}})
		}
	}
	return nil
}

// deliver passes a server report to all cores, and any other message to the core of its proxy.
func (g *group) deliver(from *proxyStream, m protocol.Message) {
	if _, all := m.(protocol.ServerReport); all {
		for _, c := range g.cores {
			c.router.Handle(routing.MessageReceived{Peer: &proxyStream{proxy: -2}, Message: m})
		}
		return
	}
	if at, joined := g.assigner.CoreOf(from.proxy); joined {
		g.cores[at].router.Handle(routing.MessageReceived{Peer: from, Message: m})
	}
}

// reportProgress reports each core's progress to the assigner and ticks it.
func (g *group) reportProgress() error {
	for i, c := range g.cores {
		if p := c.router.Progress(); p.Rounds != c.rounds {
			c.rounds = p.Rounds
			own, waiting := c.module.OwnLoad()
			g.assigner.HandleReport(g.now, i, 1, cores.CoreReport{SeenEpoch: p.SeenEpoch, AppliedEpoch: p.AppliedEpoch,
				ShareNumber: p.ShareNumber, QueuedLines: waiting, JoinedProxies: own.JoinedProxies,
				TypicalRates: own.TypicalRates, Demands: own.Demands})
		}
	}
	g.assigner.Tick(g.now)
	return g.runCommands()
}

// runCommands executes the assigner's commands. Only shares are expected here: no core fails, and no proxy moves.
func (g *group) runCommands() error {
	for _, command := range g.assigner.DrainCommands() {
		switch command := command.(type) {
		case cores.Share:
			g.cores[command.Core].router.Handle(routing.ShareAllocated{Number: command.Number,
				Part: rules.Part{ChannelShare: command.ChannelShare, JoinedProxies: command.JoinedProxies, TypicalRates: command.TypicalRates,
					Demands: command.Demands}})
		case cores.Isolate, cores.Abort:
			return errors.New("core isolated although the simulated clock cannot stall")
		}
	}
	return nil
}

// changeMember sends a changed member of the server list to every core.
func (g *group) changeMember(m protocol.Member) {
	epoch := g.assigner.HandleListChange(g.now)
	g.assigner.DrainCommands()
	for _, c := range g.cores {
		c.router.Handle(routing.ListUpdated{List: protocol.List{Members: []protocol.Member{m}}, Epoch: epoch})
	}
}
