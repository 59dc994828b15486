package rules

import (
	"math"
	"testing"
)

// newReplacedFleet returns a fleet of 60 servers, 36 of which start while the others answer late and fail half of their
// attempts. Its 240 proxies have rate requests a second each.
func newReplacedFleet(t *testing.T, rate float64) *fleet {
	t.Helper()
	set := largeSettings(240)
	servers := manyServers(60, set.Zones)
	f := newFleet(t, set, servers...)
	var joins []Event
	for i := range set.Proxies {
		joins = append(joins, Joined{Proxy: ProxyID(i), Zone: i % set.Zones, Rate: rate, Fresh: true})
	}
	f.advance(100, joins...)
	report := func(failed, latency float64) {
		events := f.acks()
		for _, s := range servers {
			events = append(events, heard(s.ID, s.Zone, 10, failed, latency))
		}
		for i := range set.Proxies {
			events = append(events, Demand{Proxy: ProxyID(i), Requests: rate, Period: 1000})
		}
		f.advance(1000, events...)
	}
	for range 8 {
		report(0, 100)
	}
	for i := range servers[:36] {
		servers[i].StartedAt = f.now
	}
	f.step(List{Kind: ListFull, Servers: servers})
	for range 4 {
		report(5, 900)
	}
	if f.c.pressure <= collapsePressure {
		t.Fatalf("pressure %v is below a collapse", f.c.pressure)
	}
	return f
}

// Guards against excluding all new servers as cold for the 18 s of their warm-up after six in ten servers were replaced
// within seconds: the others collapsed under the whole load. A proxy with a request in two seconds over nine lines never sees
// enough failures at one server to avoid it, so cold servers get only the traffic that the tables send them.
func TestReplacedFleetIsNotExcluded(t *testing.T) {
	f := newReplacedFleet(t, 0.4)
	excluded, cold := 0, 0.0
	for _, s := range f.c.servers {
		if s.coldExcluded {
			excluded++
		}
		if f.c.warmCapacity(s) < 1 {
			cold += s.share
			if most := coldBudgetShare * f.c.settings.OverloadFactor * f.c.warmCapacity(s) / 60; s.share > most+1e-9 {
				t.Errorf("cold server %d gets a share of %.4f, over its budget of %.4f", s.ID, s.share, most)
			}
		}
	}
	if excluded > 0 || cold < 0.1 {
		t.Errorf("%d servers are excluded, and the cold ones get %.2f of the traffic", excluded, cold)
	}
	f = newReplacedFleet(t, 40) // here a proxy sees enough failures at a server to avoid it
	for _, s := range f.c.servers {
		if f.c.warmCapacity(s) < 1 && !s.coldExcluded {
			t.Fatalf("cold server %d is used though proxies avoid failing servers", s.ID)
		}
	}
}

// channel delivers a planner's messages in order at its own pace. Each is acknowledged 400 ms after its delivery.
type channel struct {
	f           *fleet
	linesPerSec float64 // lines a second
	messages    []struct {
		ack    Ack
		n      float64
		drains bool
		left   float64 // time of delivery; 0: it waits
	}
	room float64
}

// decide delivers the messages that the channel has room for and due acknowledgements, runs one decision of the planner, and
// returns the number of lines that wait.
func (ch *channel) decide(events ...Event) (waiting float64) {
	f := ch.f
	ch.room = min(ch.room+ch.linesPerSec*decisionInterval/1000, ch.linesPerSec)
	for i := range ch.messages {
		if m := &ch.messages[i]; m.left == 0 && ch.room >= m.n {
			m.left, ch.room = f.now, ch.room-m.n
		} else if m.left == 0 {
			break
		}
	}
	for len(ch.messages) > 0 && ch.messages[0].left > 0 && f.now-ch.messages[0].left >= 400 {
		events, ch.messages = append(events, ch.messages[0].ack), ch.messages[1:]
	}
	messages, order := map[TableID]int{}, []TableID(nil)
	for _, a := range f.advance(decisionInterval, events...) {
		var id TableID
		switch a := a.(type) {
		case SetWeight:
			id = a.Table
		case Admit:
			id = a.Table
		case Bind:
			id = a.Table
		default:
			continue
		}
		if messages[id]++; messages[id] == 1 {
			order = append(order, id)
		}
	}
	for _, id := range order {
		n := float64(messages[id]) + f.c.settings.MessageCost + 1
		ch.messages = append(ch.messages, struct {
			ack    Ack
			n      float64
			drains bool
			left   float64
		}{ack: Ack{Proxy: ProxyID(id), Token: f.c.token}, n: n})
	}
	for _, m := range ch.messages {
		if m.left == 0 {
			waiting += m.n
		}
	}
	return waiting
}

// Guards against filling a channel that delivers only a tenth of its stated pace with ordinary orders: an estimate by the
// clock takes it for empty, and urgent orders waited five seconds behind ordinary ones.
func TestOrdinaryOrdersDontFillASlowChannel(t *testing.T) {
	f := largeFleet(t, 60, 240)
	ch := &channel{f: f, linesPerSec: f.c.settings.LinesPerSec / 10}
	most, least := 0.0, math.Inf(1)
	for look := range 100 {
		if look%10 == 0 { // lasting changes of weights and levels
			for i, s := range f.c.servers {
				s.factor = 0.5 + float64((i+look/10)%2)/2
			}
			f.c.shedShare = 0.3 + float64(look%20)/50
		}
		waiting := ch.decide()
		if most = max(most, waiting); look > 50 {
			least = min(least, waiting)
		}
		if f.c.queuedLines < waiting {
			t.Fatalf("decision %d: %v lines wait, the estimate is %v", look, waiting, f.c.queuedLines)
		}
	}
	if window := f.c.settings.LinesPerSec * maxLag / 1000; most > window {
		t.Errorf("up to %v lines wait in the channel, want at most %v", most, window)
	}
	if least > ch.linesPerSec*maxLag/1000*2 {
		t.Errorf("never less than %v lines wait in a channel that delivers %v a second", least, ch.linesPerSec)
	}
}

// Guards against a budget debt without limit: after waves of drains, urgent orders had overdrawn the budget of ordinary ones
// by ten seconds and more of the channel's time, and the servers that replaced the drained ones were in no table.
func TestNewServersDontWaitForTheBudgetDebtOfDrains(t *testing.T) {
	set := largeSettings(240)
	set.LinesPerSec, set.QueueLines = 2000, 40000
	servers := manyServers(120, set.Zones)
	f := newFleet(t, set, servers...)
	f.advance(100, manyProxies(240, set.Zones)...)
	ch := &channel{f: f, linesPerSec: set.LinesPerSec}
	decide := func(n int, events ...Event) {
		for ; n > 0; n-- {
			ch.decide(events...)
			events = nil
		}
	}
	decide(50)
	for wave := range 3 {
		drained, added := servers[24*wave:24*wave+24], []Server(nil)
		for i := range drained {
			drained[i].State = Draining
			added = append(added, ready(ServerID(5000+100*wave+i), drained[i].Zone))
		}
		decide(10, List{Kind: ListChanges, Servers: drained})
		decide(1, List{Kind: ListChanges, Servers: added})
	}
	decide(70)
	idle := 0
	for _, s := range f.c.servers {
		if s.State == Ready && f.hasNoLines(s.ID) {
			idle++
		}
	}
	if idle > 4 {
		t.Errorf("%d of 72 new servers are in no table seven seconds later", idle)
	}
}
