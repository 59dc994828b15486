package xds_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/durationpb"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/internal/planner/xds"
	"mulleinwood/rules"
)

// peerProtocol is the protocol of a peer.
type peerProtocol int

const (
	lines           peerProtocol = iota // line protocol
	stateOfTheWorld                     // gRPC, state-of-the-world form
	incremental                         // gRPC, incremental form
)

// testPeer is a stream of a proxy or a collector with any protocol.
type testPeer struct {
	id            uint64
	variant       peerProtocol
	now           *float64
	proxy         int
	zone          string
	assignments   *xds.AssignmentStream
	loads         *xds.LoadStream
	table         map[string]float64
	levels        map[string]float64
	pendingNonces []string // of the responses to acknowledge
	stamps        []uint32 // of the line messages to acknowledge
}

func (p *testPeer) ID() uint64             { return p.id }
func (p *testPeer) AnswerHeartbeat() error { return nil }
func (p *testPeer) DeferHeartbeat()        {}
func (p *testPeer) Close(error)            {}

// Assign applies orders to the table of the peer, in the form of its protocol.
func (p *testPeer) Assign(orders protocol.Assignment) error {
	if p.variant == lines {
		text, err := orders.Append(nil)
		if err != nil {
			return err
		}
		for _, line := range splitLines(text) {
			var part standin.Order
			if err := json.Unmarshal(line, &part); err != nil {
				return err
			}
			if part.Replace {
				clear(p.table)
				clear(p.levels)
			}
			for _, r := range part.Rows {
				if p.table[r.Server] = r.Weight; r.Weight == 0 {
					delete(p.table, r.Server)
				}
			}
			for _, class := range part.Classes {
				p.levels[class] = *part.Level
			}
			if part.Token != nil {
				p.stamps = append(p.stamps, *part.Token)
			}
		}
		return nil
	}
	m, err := p.assignments.Encode(*p.now, orders)
	if err != nil {
		return err
	}
	var resources []*endpoint.ClusterLoadAssignment
	switch m := m.(type) {
	case *discovery.DiscoveryResponse:
		p.pendingNonces = append(p.pendingNonces, m.Nonce)
		for _, r := range m.Resources {
			a := &endpoint.ClusterLoadAssignment{}
			if err := r.UnmarshalTo(a); err != nil {
				return err
			}
			resources = append(resources, a)
		}
	case *discovery.DeltaDiscoveryResponse:
		p.pendingNonces = append(p.pendingNonces, m.Nonce)
		for _, r := range m.Resources {
			a := &endpoint.ClusterLoadAssignment{}
			if err := r.Resource.UnmarshalTo(a); err != nil {
				return err
			}
			resources = append(resources, a)
		}
	}
	for _, a := range resources {
		rows, _, gate := xds.ParseAssignment(a, false)
		clear(p.table)
		for _, r := range rows {
			p.table[r.Server] = r.Weight
		}
		if delete(p.levels, a.ClusterName); gate != nil {
			p.levels[a.ClusterName] = gate.Level
		}
	}
	return nil
}

func splitLines(text []byte) (list [][]byte) {
	for len(text) > 0 {
		end := slices.Index(text, '\n')
		list, text = append(list, text[:end]), text[end+1:]
	}
	return list
}

// eventRecorder runs a decision module and records its events and actions.
type eventRecorder struct {
	module *rules.Controller
	log    []string
}

func (r *eventRecorder) Step(now float64, events []rules.Event) []rules.Action {
	actions := r.module.Step(now, events)
	for _, e := range events {
		r.log = append(r.log, fmt.Sprintf("%.0f %T%+v", now, e, e))
	}
	for _, a := range actions {
		r.log = append(r.log, fmt.Sprintf("%.0f orders %T%+v", now, a, a))
	}
	return actions
}

type discardCalls struct{}

func (discardCalls) Watch(uint64, int64)                {}
func (discardCalls) Fetch(uint64)                       {}
func (discardCalls) Cancel(uint64)                      {}
func (discardCalls) SetDiscovery(string)                {}
func (discardCalls) Probe(rules.ServerID, string, bool) {}

var mixedSettings = settings.Settings{ZoneNames: []string{"n", "s"}, KindNames: []string{"m"}, Rules: rules.Settings{Instances: 1, Zones: 2, Proxies: 10,
	ReportPeriod: 1000, QueueLines: 3600, LinesPerSec: 2400, MessageCost: 3, DrainGrace: 2000, MaxTimeWithoutServer: 2500, WarmupTime: 10000, StartCapacity: 0.2,
	OverloadFactor: 2.5, OverloadTime: 3000, Classes: []rules.Class{{Name: "view", LatencyTarget: 1000, Deadline: 4000, Value: 1},
		{Name: "pay", LatencyTarget: 500, Deadline: 1500, Value: 2, Effect: rules.Unsafe}}}}

// runDay runs one scripted day. protocolOf returns the protocol of each new stream; nothing else differs between two runs
// with the same seed.
func runDay(t *testing.T, seed uint64, protocolOf func(stream int) peerProtocol) (log []string, proxies []*testPeer) {
	const servers, rounds = 12, 250
	set := mixedSettings
	config := xds.Config{Zones: set.ZoneNames, Classes: []string{"view", "pay"}, ReportPeriod: 1000,
		Bounds: protocol.Bounds{Proxies: set.Rules.Proxies, MaxLatency: 4000, MaxPeriod: 60000}}
	rng, now := rand.New(rand.NewPCG(seed, 17)), 1e6
	known := protocol.List{Revision: 1, Complete: true}
	entry := func(i int, phase string, since float64) protocol.Member {
		return protocol.Member{ID: fmt.Sprint("s-", i), Address: fmt.Sprint("127.0.0.1:", 8000+i), Zone: set.ZoneNames[i%2], Kind: "m", Phase: phase, Weight: 1, StartedAt: since}
	}
	for i := range servers {
		known.Members = append(known.Members, entry(i, protocol.PhaseUp, 0))
	}
	record := &eventRecorder{module: rules.New(set.Rules, 5)}
	router := routing.New(set, record, discardCalls{}, known, zerolog.Nop())
	streams, id := 0, uint64(0)
	deliver := func(p *testPeer, messages []protocol.Message) {
		for _, m := range messages {
			router.Handle(routing.MessageReceived{Peer: p, Message: m})
		}
	}
	line := func(p *testPeer, text string) {
		m, err := protocol.Decode([]byte(text), config.Bounds)
		if err != nil {
			t.Fatal(err)
		}
		deliver(p, []protocol.Message{m})
	}
	newPeer := func(proxy int, zone string) *testPeer {
		id++
		streams++
		return &testPeer{id: id, variant: protocolOf(streams), now: &now, proxy: proxy, zone: zone, table: map[string]float64{}, levels: map[string]float64{}}
	}
	join := func(proxy int) *testPeer {
		p := newPeer(proxy, set.ZoneNames[proxy%2])
		p.assignments, p.loads = xds.NewAssignmentStream(config, p.variant == incremental), xds.NewLoadStream(config)
		node := standin.ProxyNode(proxy, p.zone, 20)
		switch p.variant {
		case lines:
			line(p, fmt.Sprintf(`{"t":"attach","proxy":%d,"zone":%q,"weight":20,"fresh":true}`, proxy, p.zone))
		case stateOfTheWorld:
			messages, _, err := p.assignments.HandleRequest(now, &discovery.DiscoveryRequest{Node: node, TypeUrl: xds.EndpointsTypeURL})
			if err != nil {
				t.Fatal(err)
			}
			deliver(p, messages)
		case incremental:
			messages, _, err := p.assignments.HandleDeltaRequest(now, &discovery.DeltaDiscoveryRequest{Node: node, TypeUrl: xds.EndpointsTypeURL, ResourceNamesSubscribe: config.Classes})
			if err != nil {
				t.Fatal(err)
			}
			deliver(p, messages)
		}
		if p.variant != lines {
			p.loads.HandleRequest(&load.LoadStatsRequest{Node: node})
		}
		return p
	}
	collect := func(zone string) *testPeer {
		p := newPeer(-1, zone)
		if p.variant == lines {
			line(p, fmt.Sprintf(`{"t":"telemetry","zone":%q}`, zone))
			return p
		}
		p.loads = xds.NewLoadStream(config)
		update, err := p.loads.HandleRequest(&load.LoadStatsRequest{Node: standin.CollectorNode(zone)})
		if err != nil {
			t.Fatal(err)
		}
		deliver(p, update.Messages)
		return p
	}
	proxies = make([]*testPeer, set.Rules.Proxies)
	var collectors []*testPeer
	for round := range rounds {
		now += 100
		for i := range proxies {
			if proxies[i] == nil || rng.IntN(300) == 0 { // joins, or reconnects before the end of its old stream is noticed
				old := proxies[i]
				if proxies[i] = join(i); old != nil {
					router.Handle(routing.Disconnected{Peer: old})
				}
			}
			p := proxies[i]
			for n, late := len(p.stamps)+len(p.pendingNonces), rng.IntN(4) == 0; n > 0 && !late; n-- {
				if p.variant == lines {
					line(p, fmt.Sprintf(`{"t":"done","proxy":%d,"mark":%d,"took_ms":%v}`, i, p.stamps[0], 0))
					p.stamps = p.stamps[1:]
					continue
				}
				messages, _, err := acknowledge(p, now)
				if err != nil {
					t.Fatal(err)
				}
				deliver(p, messages)
				p.pendingNonces = p.pendingNonces[1:]
			}
			for k, class := range config.Classes {
				tries := rng.IntN(30)
				if (round+i)%10 != k {
					continue
				}
				if p.variant == lines {
					line(p, fmt.Sprintf(`{"t":"client_stats","proxy":%d,"class":%q,"tries":%d,"failed":0,"span_ms":1000}`, i, class, tries))
					continue
				}
				update, err := p.loads.HandleRequest(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: class,
					LoadReportInterval: durationpb.New(time.Second), UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{TotalIssuedRequests: uint64(tries)}}}}})
				if err != nil || len(update.Invalid) > 0 {
					t.Fatal(err, update.Invalid)
				}
				deliver(p, update.Messages)
			}
		}
		if round%70 == 0 {
			collectors = []*testPeer{collect("n"), collect("s")}
		}
		for z, c := range collectors {
			for i := range servers {
				tries, mean, failed := 5+rng.IntN(20), 60+rng.IntN(40)+i*10, 0
				if (round+i+z)%10 > 0 {
					continue
				}
				if i == 5 && round > 100 && round < 160 {
					failed = tries
				}
				if c.variant == lines {
					line(c, fmt.Sprintf(`{"t":"upstream_stats","zone":%q,"server":"s-%d","tries":%d,"failed":%d,"mean_ms":%d,"span_ms":1000}`, c.zone, i, tries, failed, mean))
					continue
				}
				update, err := c.loads.HandleRequest(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{LoadReportInterval: durationpb.New(time.Second),
					UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{UpstreamEndpointStats: []*endpoint.UpstreamEndpointStats{
						standin.EndpointStats(fmt.Sprint("s-", i), tries, failed, float64(mean))}}}}}})
				if err != nil || len(update.Invalid) > 0 {
					t.Fatal(err, update.Invalid)
				}
				deliver(c, update.Messages)
			}
		}
		switch i := round / 40 % servers; round % 40 {
		case 10:
			router.Handle(routing.ListUpdated{List: protocol.List{Revision: int64(round), Members: []protocol.Member{entry(i, protocol.PhaseDraining, 0)}}})
		case 30:
			router.Handle(routing.ListUpdated{List: protocol.List{Revision: int64(round), Members: []protocol.Member{entry(i, protocol.PhaseUp, now)}}})
		}
		if _, _, err := router.Advance(now); err != nil {
			t.Fatal(err)
		}
	}
	return record.log, proxies
}

// acknowledge sends the ACK of the oldest pending response.
func acknowledge(p *testPeer, now float64) ([]protocol.Message, []xds.InvalidPartError, error) {
	if p.variant == incremental {
		return p.assignments.HandleDeltaRequest(now, &discovery.DeltaDiscoveryRequest{TypeUrl: xds.EndpointsTypeURL, ResponseNonce: p.pendingNonces[0]})
	}
	return p.assignments.HandleRequest(now, &discovery.DiscoveryRequest{TypeUrl: xds.EndpointsTypeURL, ResponseNonce: p.pendingNonces[0]})
}

// TestDecisionsIgnoreProtocol guards against decisions that depend on the protocol of a message. The same day runs with the
// line protocol, with either form of gRPC, half and half, and with random protocols. The decision module must get the same
// events in the same order and return the same actions, and the tables of the proxies must agree within the rounding of
// integer weights.
func TestDecisionsIgnoreProtocol(t *testing.T) {
	for seed := range uint64(6) {
		want, linePeers := runDay(t, seed, func(int) peerProtocol { return lines })
		if len(want) < 1000 {
			t.Fatalf("a day of only %d events and actions", len(want))
		}
		rng := rand.New(rand.NewPCG(seed, 99))
		for name, protocolOf := range map[string]func(int) peerProtocol{
			"state of the world": func(int) peerProtocol { return stateOfTheWorld },
			"incremental":        func(int) peerProtocol { return incremental },
			"half and half":      func(stream int) peerProtocol { return peerProtocol(stream % 2) },
			"at random":          func(int) peerProtocol { return peerProtocol(rng.IntN(3)) },
		} {
			got, peers := runDay(t, seed, protocolOf)
			for i := range want {
				if i >= len(got) || withoutApplyTime(got[i]) != withoutApplyTime(want[i]) {
					t.Fatalf("seed %d, %s: step %d is\n%s\nwith lines it is\n%s", seed, name, i, got[min(i, len(got)-1)], want[i])
				}
			}
			for i := range linePeers {
				compareTables(t, fmt.Sprintf("seed %d, %s, proxy %d", seed, name, i), peers[i], linePeers[i])
			}
		}
	}
}

// withoutApplyTime removes the time that a proxy took to apply a message from a recorded step. A line states it, whereas gRPC
// only shows it by the time of the ACK.
func withoutApplyTime(step string) string {
	var now, head string
	if n, _ := fmt.Sscan(step, &now, &head); n == 2 && len(head) > 9 && head[:9] == "rules.Ack" {
		return step[:slices.Index([]byte(step), 'E')]
	}
	return step
}

// compareTables compares the tables of two proxies by the traffic share of each server.
func compareTables(t *testing.T, label string, got, want *testPeer) {
	t.Helper()
	trafficShare := func(p *testPeer, name string) float64 {
		sum := 0.0
		for _, w := range p.table {
			sum += w
		}
		return p.table[name] / sum
	}
	if !slices.Equal(slices.Sorted(maps.Keys(got.table)), slices.Sorted(maps.Keys(want.table))) {
		t.Fatalf("%s holds %v, with lines %v", label, got.table, want.table)
	}
	for name := range want.table {
		if difference := math.Abs(trafficShare(got, name) - trafficShare(want, name)); difference > float64(len(want.table))/xds.MaxWeight {
			t.Errorf("%s: %s gets %v of the traffic, with lines %v", label, name, trafficShare(got, name), trafficShare(want, name))
		}
	}
	for class, level := range want.levels {
		if math.Abs(got.levels[class]-level) > 1e-6 {
			t.Errorf("%s: level of %s is %v, with lines %v", label, class, got.levels[class], level)
		}
	}
}
