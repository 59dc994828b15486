package routing

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

func testSettings() settings.Settings {
	return settings.Settings{
		Rules: rules.Settings{Instances: 1, Zones: 2, Proxies: 4, Probes: true, QueryDiscovery: true, QueueLines: 1000, LinesPerSec: 1000,
			Classes: []rules.Class{{Name: "view", LatencyTarget: 1, Deadline: 1}, {Name: "post", LatencyTarget: 1, Deadline: 1}}},
		ZoneNames: []string{"north", "south"}, KindNames: []string{"m1", "m2"},
		LoadFields: []string{"util", "inflight"}, LoadReports: true,
	}
}

// scriptedModule is a module that records its events and returns the actions that the test sets.
type scriptedModule struct {
	times   []float64
	events  []rules.Event
	actions []rules.Action
	panics  bool
}

func (s *scriptedModule) Step(now float64, events []rules.Event) []rules.Action {
	if s.panics {
		panic("out of order")
	}
	s.times, s.events = append(s.times, now), append(s.events, events...)
	actions := s.actions
	s.actions = nil
	return actions
}

// peer is a connection that records what it was sent.
type peer struct {
	id       uint64
	sent     []string
	closed   error
	gone     bool
	deferred bool
}

func (p *peer) ID() uint64             { return p.id }
func (p *peer) Close(reason error)     { p.closed = reason }
func (p *peer) DeferHeartbeat()        { p.deferred = true }
func (p *peer) AnswerHeartbeat() error { return p.send(protocol.HeartbeatReply(), nil) }
func (p *peer) Assign(o protocol.Assignment) error {
	return p.send(o.Append(nil))
}

func (p *peer) send(text []byte, err error) error {
	if p.gone {
		return errors.New("gone")
	}
	p.sent = append(p.sent, string(text))
	return err
}

// callLog records the calls that are made.
type callLog []string

func (c *callLog) Watch(call uint64, from int64) {
	*c = append(*c, fmt.Sprintf("watch %d from %d", call, from))
}
func (c *callLog) Cancel(call uint64)            { *c = append(*c, fmt.Sprintf("cancel %d", call)) }
func (c *callLog) SetDiscovery(discovery string) { *c = append(*c, "move to "+discovery) }
func (c *callLog) Fetch(call uint64)             { *c = append(*c, fmt.Sprintf("fetch %d", call)) }
func (c *callLog) Probe(server rules.ServerID, address string, load bool) {
	*c = append(*c, fmt.Sprintf("probe %d at %s, load %t", server, address, load))
}

// harness is a router with a clock that the test controls.
type harness struct {
	t      *testing.T
	router *Router
	module *scriptedModule
	calls  *callLog
	now    float64
}

func member(id, phase string) protocol.Member {
	return protocol.Member{ID: id, Address: id + ":80", Zone: "south", Kind: "m2", Cell: 3, Phase: phase, Weight: 1}
}

func newHarness(t *testing.T, members ...protocol.Member) *harness {
	t.Helper()
	g := &harness{t: t, module: &scriptedModule{}, calls: &callLog{}, now: 1000}
	known := protocol.List{Revision: 41, Complete: true, Members: members}
	g.router = New(testSettings(), g.module, g.calls, known, zerolog.Nop())
	return g
}

// advance makes the module return actions and the router carry them out.
func (g *harness) advance(actions ...rules.Action) {
	g.t.Helper()
	g.module.actions = actions
	if len(actions) > 0 && len(g.router.pending) == 0 {
		g.router.pending = append(g.router.pending, rules.Tick{}) // the module runs only if there are events
	}
	if _, _, err := g.router.Advance(g.now); err != nil {
		g.t.Fatal(err)
	}
}

func (g *harness) deliver(p *peer, m ...protocol.Message) {
	for _, m := range m {
		g.router.Handle(MessageReceived{Peer: p, Message: m})
	}
}

// takeEvents returns the events that the module got since the last call.
func (g *harness) takeEvents() []rules.Event {
	events := g.module.events
	g.module.events = nil
	return events
}

func attach(proxy int) protocol.Attach {
	return protocol.Attach{Proxy: proxy, Zone: "south", Rate: 2.5}
}

func (g *harness) join(id uint64, proxy int) *peer {
	p := &peer{id: id}
	g.deliver(p, attach(proxy))
	g.advance()
	g.takeEvents()
	return p
}

// received returns what a proxy was sent since the last call.
func (p *peer) received() string {
	text := strings.Join(p.sent, "")
	p.sent = nil
	return text
}

func (g *harness) expect(what string, got, want any) {
	g.t.Helper()
	if !reflect.DeepEqual(got, want) {
		g.t.Errorf("%s:\n got %+v\nwant %+v", what, got, want)
	}
}

func TestMessagesBecomeEvents(t *testing.T) {
	g := newHarness(t, member("s-1", "up"), member("s-2", "draining"))
	g.advance()
	row := rules.Server{Weight: 1, Kind: 1, Zone: 1, Cell: 3, State: rules.Ready}
	second := row
	second.ID, second.State = 1, rules.Draining
	g.expect("start", g.takeEvents(), []rules.Event{rules.List{Kind: rules.ListCached, Servers: []rules.Server{row, second}}})

	p, c := &peer{id: 1}, &peer{id: 2}
	g.deliver(p, protocol.Attach{Proxy: 3, Zone: "south", Rate: 2.5, Fresh: true}, protocol.Ack{Proxy: 3, Token: 9, Elapsed: 310})
	g.deliver(c, protocol.Collector{Zone: "north"},
		protocol.ServerReport{Zone: "north", Server: "s-2", Attempts: 9, Failed: 1, Latency: 40, Period: 1000,
			Load: map[string]float64{"inflight": 7, "util": 0.5, "other": 3}},
		protocol.UsageReport{Proxy: 3, Class: "post", Requests: 5, Unanswered: 1, Period: 2000})
	g.advance()
	g.expect("reports", g.takeEvents(), []rules.Event{
		rules.Joined{Proxy: 3, Zone: 1, Rate: 2.5, Fresh: true},
		rules.Ack{Proxy: 3, Token: 9, Elapsed: 310},
		rules.Heard{Zone: 0, Server: 1, Attempts: 9, Failed: 1, Latency: 40, Period: 1000, Load: []float64{0.5, 7}},
		rules.Demand{Proxy: 3, Class: 1, Requests: 5, Unanswered: 1, Period: 2000}})
	g.router.Handle(Disconnected{Peer: c})
	g.router.Handle(Disconnected{Peer: p})
	g.advance()
	g.expect("disconnected stream", g.takeEvents(), []rules.Event{rules.Left{Proxy: 3}})
}

// TestUnknownNames checks that reports and proxies with names missing from the settings or the list are rejected.
func TestUnknownNames(t *testing.T) {
	g := newHarness(t, member("s-1", "up"))
	g.advance()
	g.takeEvents()
	p := &peer{id: 1}
	g.deliver(p, protocol.Collector{Zone: "west"}, protocol.Attach{Proxy: 4, Zone: "south"}, protocol.Attach{Proxy: 1, Zone: "west"},
		protocol.ServerReport{Zone: "west", Server: "s-1", Attempts: 1}, protocol.ServerReport{Zone: "north", Server: "s-9", Attempts: 1},
		protocol.UsageReport{Proxy: 1, Class: "odd"}, protocol.UsageReport{Proxy: 70000, Class: "view"}, protocol.Ack{Proxy: 1, Token: 1})
	g.advance()
	if got := g.takeEvents(); len(got) != 0 {
		t.Errorf("the module got %+v", got)
	}
	g.expect("the peer stays connected", p.closed, error(nil))
	unknown := member("s-8", "up")
	unknown.Zone, unknown.Kind = "west", "m9"
	g.router.handleList(ListReceived{Call: 0, List: protocol.List{Members: []protocol.Member{unknown}}})
	g.advance()
	g.expect("an entry of an unknown zone", g.takeEvents(), []rules.Event{rules.List{Servers: []rules.Server{
		{ID: 1, Weight: 1, Kind: 2, Zone: 2, Cell: 3, State: rules.Ready}}}})
}

// TestSupersededStream opens a new stream of a proxy before the old one closes. The module must see the proxy leave and join,
// and all later messages and the end of the old connection must be ignored.
func TestSupersededStream(t *testing.T) {
	g := newHarness(t, member("s-1", "up"))
	old := g.join(1, 2)
	g.advance(rules.SetWeight{Table: 2, Server: 0, Weight: 1}, rules.Bind{Proxy: 2, Table: 2}, rules.Mark{Token: 7})
	old.received()
	g.takeEvents()

	current := &peer{id: 5}
	g.deliver(current, attach(2))
	g.advance()
	g.expect("events", g.takeEvents(), []rules.Event{rules.Left{Proxy: 2}, rules.Joined{Proxy: 2, Zone: 1, Rate: 2.5}})
	g.expect("the old connection", old.closed, ErrSuperseded)

	g.deliver(old, protocol.Ack{Proxy: 2, Token: 7}, attach(2), attach(3),
		protocol.UsageReport{Proxy: 2, Class: "view", Requests: 9, Period: 1000})
	g.router.Handle(Disconnected{Peer: old})
	g.advance()
	if got := g.takeEvents(); len(got) != 0 {
		t.Errorf("events from the old stream: %+v", got)
	}
	older := &peer{id: 3} // accepted between the two, its bytes arrive late
	g.deliver(older, attach(2), protocol.Ack{Proxy: 2, Token: 7})
	g.expect("a connection older than the stream", older.closed, ErrSuperseded)
	g.deliver(current, protocol.Ack{Proxy: 2, Token: 7, Elapsed: 1})
	g.advance(rules.SetWeight{Table: 2, Server: 0, Weight: 2})
	g.expect("the new stream's acknowledgement", g.takeEvents(), []rules.Event{rules.Ack{Proxy: 2, Token: 7, Elapsed: 1}})
	g.expect("changes before the table is bound", current.received()+old.received(), "")
	g.advance(rules.Bind{Proxy: 2, Table: 2})
	g.expect("table", current.received(), `{"t":"assign","replace":true,"rows":[["s-1",2]]}`+"\n")

	g.takeEvents()
	g.deliver(current, attach(2), attach(1))
	g.advance()
	if got := g.takeEvents(); len(got) != 0 || current.closed != nil {
		t.Errorf("second attach on one stream: %+v, %v", got, current.closed)
	}
}

// TestOrders checks the assignments of a table from its binding through changes to a reconnect. A proxy must not be left with
// rows of another planner, or with a part of its table.
func TestOrders(t *testing.T) {
	g := newHarness(t, member("s-1", "up"), member("s-2", "up"), member("s-3", "up"))
	one, two := g.join(1, 0), g.join(2, 1)
	g.advance(rules.Admit{Table: 0, Mask: 1, Level: 0.5, Retry: rules.RetryIfNotRun},
		rules.SetWeight{Table: 0, Server: 2, Weight: 1}, rules.SetWeight{Table: 0, Server: 0, Weight: 1.5},
		rules.Bind{Proxy: 0, Table: 0}, rules.Mark{Token: 8})
	g.expect("the whole table", one.received(),
		`{"t":"assign","replace":true,"rows":[["s-1",1.5],["s-3",1]],"part":true}`+"\n"+
			`{"t":"assign","for":["view"],"gate":0.5,"again":1,"stamp":8}`+"\n")
	g.expect("a proxy without changes", two.received(), "")

	g.advance(rules.SetWeight{Table: 0, Server: 1, Weight: 3}, rules.SetWeight{Table: 0, Server: 0, Weight: 0},
		rules.SetWeight{Table: 1, Server: 0, Weight: 1}, rules.Mark{Token: 9})
	g.expect("changes", one.received(), `{"t":"assign","rows":[["s-2",3],["s-1",0]],"stamp":9}`+"\n")
	g.expect("a proxy without a table", two.received(), "")

	g.router.Handle(Disconnected{Peer: one})
	g.advance(rules.SetWeight{Table: 0, Server: 2, Weight: 0})
	rejoined := g.join(3, 0)
	g.advance(rules.Bind{Proxy: 0, Table: 0}, rules.SetWeight{Table: 0, Server: 0, Weight: 4}, rules.Mark{Token: 10})
	g.expect("the whole table after changes", rejoined.received(),
		`{"t":"assign","replace":true,"rows":[["s-1",4],["s-2",3]],"part":true}`+"\n"+
			`{"t":"assign","for":["view"],"gate":0.5,"again":1,"stamp":10}`+"\n")
	g.advance(rules.SetWeight{Table: 5, Server: 1, Weight: 1}, rules.Bind{Proxy: 0, Table: 5}, rules.Bind{Proxy: 1, Table: 5})
	const other = `{"t":"assign","replace":true,"rows":[["s-2",1]]}` + "\n"
	g.expect("another table, for two proxies", rejoined.received()+two.received(), other+other)
	g.advance(rules.SetWeight{Table: 0, Server: 0, Weight: 9}, rules.SetWeight{Table: 5, Server: 1, Weight: 2})
	const change = `{"t":"assign","rows":[["s-2",2]]}` + "\n"
	g.expect("changes of it, and none of the first", rejoined.received()+two.received(), change+change)
	g.advance(rules.Bind{Proxy: 3, Table: 0}, rules.Mark{Token: 11}) // not joined
	g.expect("sent to a proxy that has left", one.received()+rejoined.received()+two.received(), "")
}

// TestWithdrawAndLevelsForAll covers the actions that the current module does not use.
func TestWithdrawAndLevelsForAll(t *testing.T) {
	g := newHarness(t, member("s-1", "up"), member("s-2", "up"))
	one, two := g.join(1, 0), g.join(2, 1)
	g.advance(rules.SetWeight{Table: 0, Server: 0, Weight: 1}, rules.Bind{Proxy: 0, Table: 0},
		rules.SetWeight{Table: 1, Server: 1, Weight: 1}, rules.Bind{Proxy: 1, Table: 1})
	one.received()
	two.received()
	g.advance(rules.Withdraw{Server: 0, Excluded: true}, rules.Withdraw{Server: 0, Excluded: true})
	g.expect("excluded", one.received(), `{"t":"assign","drop":["s-1"]}`+"\n")
	g.expect("a table without it", two.received(), "")

	g.router.Handle(Disconnected{Peer: one})
	one = g.join(6, 0)
	g.advance(rules.Bind{Proxy: 0, Table: 0})
	g.expect("excluded again after a reconnect", one.received(),
		`{"t":"assign","replace":true,"rows":[["s-1",1]],"drop":["s-1"]}`+"\n")
	g.router.Handle(Disconnected{Peer: one})
	g.advance(rules.Withdraw{Server: 0, Excluded: false})
	one = g.join(7, 0)
	g.advance(rules.Bind{Proxy: 0, Table: 0})
	g.expect("included while the proxy was disconnected", one.received(),
		`{"t":"assign","replace":true,"rows":[["s-1",1]],"undrop":["s-1"]}`+"\n")
	g.advance(rules.Withdraw{Server: 0, Excluded: true})
	g.advance(rules.Withdraw{Server: 0, Excluded: false})
	g.expect("excluded and included", one.received(), `{"t":"assign","drop":["s-1"]}`+"\n"+`{"t":"assign","undrop":["s-1"]}`+"\n")

	g.advance(rules.Admit{Table: 1, Mask: 3, Level: 0.7, Retry: rules.RetryOnce})
	g.expect("one level for two classes", two.received(), `{"t":"assign","for":["view","post"],"gate":0.7,"again":2}`+"\n")
	g.advance(rules.Admit{Table: rules.AllTables, Mask: 1, Level: 0.2, Retry: rules.RetryNever})
	g.expect("all tables", one.received(), `{"t":"assign","for":["view"],"gate":0.2,"again":0}`+"\n")
	g.expect("all tables, with the table's own retry method", two.received(),
		`{"t":"assign","for":["view"],"gate":0.2,"again":2}`+"\n")
	g.router.Handle(Disconnected{Peer: two})
	two = g.join(4, 1)
	g.advance(rules.Bind{Proxy: 1, Table: 1})
	g.expect("levels after a reconnect", two.received(),
		`{"t":"assign","replace":true,"rows":[["s-2",1]],"part":true}`+"\n"+
			`{"t":"assign","for":["view"],"gate":0.2,"again":2,"part":true}`+"\n"+
			`{"t":"assign","for":["post"],"gate":0.7,"again":2}`+"\n")
}

// TestDiscovery plays results and failures of calls. It detects changes accepted from a call that has ended, a list that is
// lost with a failed call, and a module that waits forever for a result.
func TestDiscovery(t *testing.T) {
	g := newHarness(t, member("s-1", "up"))
	g.advance(rules.Watch{}, rules.Watch{})
	g.expect("one watch, from the revision known at the start", *g.calls, callLog{"watch 1 from 41"})
	g.takeEvents()
	g.router.Handle(WatchStarted{Call: 1})
	g.advance()
	g.expect("a watch without changes", g.takeEvents(), []rules.Event{rules.List{Kind: rules.ListChanges}})
	changed := member("s-1", "draining")
	changed.Address = "s-1:81"
	g.router.Handle(ListReceived{Call: 1, List: protocol.List{Revision: 45, Members: []protocol.Member{changed}}})
	g.router.Handle(CallFailed{Call: 1, Err: errors.New("reset")})
	g.router.Handle(CallFailed{Call: 1, Err: errors.New("again")})
	g.router.Handle(ListReceived{Call: 1, List: protocol.List{Revision: 50}})
	g.router.Handle(WatchStarted{Call: 1})
	g.advance(rules.Watch{})
	drains := rules.Server{Weight: 1, Kind: 1, Zone: 1, Cell: 3, State: rules.Draining}
	g.expect("a change and a failure", g.takeEvents(), []rules.Event{
		rules.List{Servers: []rules.Server{drains}}, rules.List{Kind: rules.ListFailed}})
	g.expect("the watch goes on", (*g.calls)[1:], callLog{"watch 2 from 45"})
	g.expect("the changed address", g.router.names.servers[0].address, "s-1:81")

	g.router.Handle(ListReceived{Call: 2, List: protocol.List{Revision: 47, Complete: true, Members: []protocol.Member{member("s-2", "up")}}})
	g.advance(rules.Fetch{}, rules.Fetch{})
	g.expect("one fetch", (*g.calls)[2:], callLog{"fetch 3"})
	g.router.Handle(ListReceived{Call: 3, List: protocol.List{Revision: 44, Complete: true}})
	g.router.Handle(CallFailed{Call: 3, Err: errors.New("late")})
	g.advance()
	up := rules.Server{ID: 1, Weight: 1, Kind: 1, Zone: 1, Cell: 3, State: rules.Ready}
	g.expect("a whole list, and a fetched one that the watch is ahead of", g.takeEvents(),
		[]rules.Event{rules.List{Kind: rules.ListFull, Servers: []rules.Server{up}}, rules.Forgotten{Server: 0}})
	g.advance(rules.Fetch{})
	g.takeEvents()
	g.router.Handle(CallFailed{Call: 4, Err: errors.New("503")})
	g.advance()
	g.expect("a failed fetch", g.takeEvents(), []rules.Event{rules.List{Kind: rules.ListFailed}})
}

// TestPushedDiscovery checks that the router watches by itself where changes are pushed and the module makes no calls.
// Otherwise the list would never be updated after the start, or after a watch has ended.
func TestPushedDiscovery(t *testing.T) {
	set, module, calls := testSettings(), &scriptedModule{}, &callLog{}
	set.Rules.QueryDiscovery = false
	r := New(set, module, calls, protocol.List{Revision: 41, Members: []protocol.Member{member("s-1", "up")}}, zerolog.Nop())
	advance := func(now, want float64) {
		t.Helper()
		if next, scheduled, err := r.Advance(now); err != nil || scheduled != (want > 0) || scheduled && next != want {
			t.Errorf("at %v the next call is due at %v, %t, %v; want %v", now, next, scheduled, err, want)
		}
	}
	advance(5000, 0)
	r.Handle(WatchStarted{Call: 1})
	r.Handle(ListReceived{Call: 1, List: protocol.List{Revision: 43}})
	r.Handle(CallFailed{Call: 1, Err: errors.New("reset")})
	advance(6000, 6000+WatchBackoff)
	advance(6000+WatchBackoff/2, 6000+WatchBackoff)
	advance(6000+WatchBackoff, 0)
	if want := (callLog{"watch 1 from 41", "watch 2 from 43"}); !reflect.DeepEqual(*calls, want) {
		t.Errorf("calls %v, want %v", *calls, want)
	}
	for _, e := range module.events {
		if l, ok := e.(rules.List); ok && l.Kind == rules.ListFailed {
			t.Error("the module got a failure of a call that it had not made")
		}
	}
}

// TestProbes checks that a server has at most one probe in flight, and none if the settings forbid probes.
func TestProbes(t *testing.T) {
	unknown := member("s-2", "up")
	unknown.Address = ""
	g := newHarness(t, member("s-1", "up"), unknown)
	g.advance(rules.Probe{Server: 0}, rules.Probe{Server: 0}, rules.Probe{Server: 1})
	g.expect("calls", *g.calls, callLog{"probe 0 at s-1:80, load true"})
	g.takeEvents()
	g.router.Handle(Probed{Server: 0, OK: true, Elapsed: 3 * time.Millisecond, Load: map[string]float64{"util": 0.5}})
	g.advance()
	g.expect("result", g.takeEvents(), []rules.Event{rules.Probed{Server: 0, OK: true, Elapsed: 3, Load: []float64{0.5, 0}}})
	g.advance(rules.Probe{Server: 0})
	g.expect("the next one", len(*g.calls), 2)
	g.router.set.Rules.Probes = false
	g.router.Handle(Probed{Server: 0, Refused: true})
	g.advance(rules.Probe{Server: 0})
	g.expect("forbidden", len(*g.calls), 2)
}

// TestTimers detects timers that are lost, fire early, or fire all at once after the process was paused.
func TestTimers(t *testing.T) {
	g := newHarness(t, member("s-1", "up"))
	g.module.actions = []rules.Action{rules.Timer{Delay: 100, Token: 1}, rules.Timer{Delay: 50, Token: 2}, rules.Timer{Delay: 90, Token: 3}}
	if next, scheduled, _ := g.router.Advance(1000); next != 1050 || !scheduled {
		t.Errorf("next call at %v, %t", next, scheduled)
	}
	g.takeEvents()
	if next, scheduled, _ := g.router.Advance(1049.9); next != 1050 || !scheduled || len(g.takeEvents()) > 0 {
		t.Errorf("early: next call at %v, %t", next, scheduled)
	}
	g.now = 1095
	g.advance()
	g.expect("two are due", g.takeEvents(), []rules.Event{rules.Tick{Token: 2}, rules.Tick{Token: 3}})
	g.expect("one step for both", len(g.module.times), 2)
	if _, scheduled, _ := g.router.Advance(5000); scheduled {
		t.Error("a call is scheduled without a timer")
	}
	g.expect("the last", g.takeEvents(), []rules.Event{rules.Tick{Token: 1}})
}

// TestHeartbeat checks that heartbeats are answered only once the planner can make assignments.
func TestHeartbeat(t *testing.T) {
	const answer = `{"t":"hb_ok"}` + "\n"
	g, p, q, r := newHarness(t), &peer{id: 1}, &peer{id: 2}, &peer{id: 3}
	g.deliver(p, protocol.Heartbeat{}, protocol.Heartbeat{})
	g.deliver(q, protocol.Heartbeat{})
	g.deliver(r, protocol.Heartbeat{})
	g.router.Handle(Disconnected{Peer: q})
	r.gone = true
	g.expect("without a list", p.received(), "")
	g.advance(rules.Watch{})
	g.router.Handle(ListReceived{Call: 1, List: protocol.List{Revision: 1, Complete: true, Members: []protocol.Member{member("s", "up")}}})
	g.expect("with one", p.received(), answer)
	g.expect("to a disconnected peer", q.received(), "")
	g.deliver(p, protocol.Heartbeat{})
	g.expect("afterwards", p.received(), answer)

	known, p := newHarness(t, member("s-1", "up")), &peer{id: 1}
	known.deliver(p, protocol.Heartbeat{})
	known.expect("a list known at the start", p.received(), answer)
}

// TestPanics checks that a panic while a message is handled closes that peer only. A panic of the module, or an action that
// can't be carried out, must return an error that ends the program, since the module's state can't be trusted.
func TestPanics(t *testing.T) {
	g := newHarness(t, member("s-1", "up"))
	p := &peer{id: 1}
	streams := g.router.streams
	g.router.streams = nil // a write to it panics
	g.deliver(p, attach(1))
	if p.closed == nil {
		t.Error("the peer stays connected after a panic")
	}
	g.router.streams = streams
	g.module.panics = true
	if _, _, err := g.router.Advance(1); err == nil || !strings.Contains(err.Error(), "out of order") {
		t.Errorf("error %v", err)
	}
	for _, invalid := range []rules.Action{rules.Probe{Server: 99}, nil} {
		g = newHarness(t, member("s-1", "up"))
		g.module.actions = []rules.Action{invalid}
		if _, _, err := g.router.Advance(1); err == nil || !strings.Contains(err.Error(), "order") {
			t.Errorf("action %v: error %v", invalid, err)
		}
	}
}

// TestLogNamesServers checks that log lines of the module, which contain server IDs, get the server's name.
func TestLogNamesServers(t *testing.T) {
	g, out := newHarness(t, member("s-1", "up"), member("s-2", "up")), &bytes.Buffer{}
	g.router.log = zerolog.New(out)
	g.advance(rules.Log{Text: "server 1 back"}, rules.Log{Text: "server 7 back"}, rules.Log{Text: "shedding"})
	want := `{"level":"info","by":"rules","server":"s-2","message":"server 1 back"}
{"level":"info","by":"rules","message":"server 7 back"}
{"level":"info","by":"rules","message":"shedding"}
`
	g.expect("log", out.String(), want)
}

// TestDeadPeer checks that other proxies get their assignments if writing to one fails.
func TestDeadPeer(t *testing.T) {
	g := newHarness(t, member("s-1", "up"))
	one, two := g.join(1, 0), g.join(2, 1)
	one.gone = true
	g.advance(rules.SetWeight{Table: 0, Server: 0, Weight: 1}, rules.Bind{Proxy: 0, Table: 0}, rules.Bind{Proxy: 1, Table: 0})
	var message map[string]any
	if err := json.Unmarshal([]byte(two.received()), &message); err != nil || message["replace"] != true {
		t.Errorf("assignment of the other proxy: %v, %v", message, err)
	}
}
