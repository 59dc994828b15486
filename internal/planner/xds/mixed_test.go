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

// speech is a protocol that a peer speaks.
type speech int

const (
	lines speech = iota
	world        // gRPC, state of the world
	delta        // gRPC, incremental
)

// party is a proxy's stream or a collector, by any protocol.
type party struct {
	id      uint64
	speaks  speech
	now     *float64
	proxy   int
	zone    string
	machine *xds.AssignmentStream
	loads   *xds.LoadStream
	table   map[string]float64
	levels  map[string]float64
	nonces  []string // to be answered
	marks   []uint32
}

func (p *party) ID() uint64             { return p.id }
func (p *party) AnswerHeartbeat() error { return nil }
func (p *party) DeferHeartbeat()        {}
func (p *party) Close(error)            {}

func (p *party) Assign(o protocol.Assignment) error {
	if p.speaks == lines {
		text, err := o.Append(nil)
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
				p.marks = append(p.marks, *part.Token)
			}
		}
		return nil
	}
	m, err := p.machine.Encode(*p.now, o)
	if err != nil {
		return err
	}
	var resources []*endpoint.ClusterLoadAssignment
	switch m := m.(type) {
	case *discovery.DiscoveryResponse:
		p.nonces = append(p.nonces, m.Nonce)
		for _, r := range m.Resources {
			a := &endpoint.ClusterLoadAssignment{}
			if err := r.UnmarshalTo(a); err != nil {
				return err
			}
			resources = append(resources, a)
		}
	case *discovery.DeltaDiscoveryResponse:
		p.nonces = append(p.nonces, m.Nonce)
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

// recorder notes what a module is told and orders.
type recorder struct {
	module *rules.Controller
	log    []string
}

func (r *recorder) Step(now float64, events []rules.Event) []rules.Action {
	actions := r.module.Step(now, events)
	for _, e := range events {
		r.log = append(r.log, fmt.Sprintf("%.0f %T%+v", now, e, e))
	}
	for _, a := range actions {
		r.log = append(r.log, fmt.Sprintf("%.0f orders %T%+v", now, a, a))
	}
	return actions
}

type noCalls struct{}

func (noCalls) Watch(uint64, int64)                {}
func (noCalls) Fetch(uint64)                       {}
func (noCalls) Cancel(uint64)                      {}
func (noCalls) SetDiscovery(string)                {}
func (noCalls) Probe(rules.ServerID, string, bool) {}

var mixedSettings = settings.Settings{ZoneNames: []string{"n", "s"}, KindNames: []string{"m"}, Rules: rules.Settings{Instances: 1, Zones: 2, Proxies: 10,
	ReportPeriod: 1000, QueueLines: 3600, LinesPerSec: 2400, MessageCost: 3, DrainGrace: 2000, MaxTimeWithoutServer: 2500, WarmupTime: 10000, StartCapacity: 0.2,
	OverloadFactor: 2.5, OverloadTime: 3000, Classes: []rules.Class{{Name: "view", LatencyTarget: 1000, Deadline: 4000, Value: 1},
		{Name: "pay", LatencyTarget: 500, Deadline: 1500, Value: 2, Effect: rules.Unsafe}}}}

// play plays one scripted day. Choose says what a stream speaks that begins; nothing else differs between two plays.
func play(t *testing.T, seed uint64, choose func(stream int) speech) (log []string, proxies []*party) {
	const servers, looks = 12, 250
	set := mixedSettings
	facts := xds.Config{Zones: set.ZoneNames, Classes: []string{"view", "pay"}, ReportPeriod: 1000,
		Bounds: protocol.Bounds{Proxies: set.Rules.Proxies, MaxLatency: 4000, MaxPeriod: 60000}}
	rng, now := rand.New(rand.NewPCG(seed, 17)), 1e6
	known := protocol.List{Revision: 1, Complete: true}
	entry := func(i int, phase string, since float64) protocol.Member {
		return protocol.Member{ID: fmt.Sprint("s-", i), Address: fmt.Sprint("127.0.0.1:", 8000+i), Zone: set.ZoneNames[i%2], Kind: "m", Phase: phase, Weight: 1, StartedAt: since}
	}
	for i := range servers {
		known.Members = append(known.Members, entry(i, protocol.PhaseUp, 0))
	}
	record := &recorder{module: rules.New(set.Rules, 5)}
	router := routing.New(set, record, noCalls{}, known, zerolog.Nop())
	streams, id := 0, uint64(0)
	say := func(p *party, said []protocol.Message) {
		for _, m := range said {
			router.Handle(routing.MessageReceived{Peer: p, Message: m})
		}
	}
	line := func(p *party, text string) {
		m, err := protocol.Decode([]byte(text), facts.Bounds)
		if err != nil {
			t.Fatal(err)
		}
		say(p, []protocol.Message{m})
	}
	begin := func(proxy int, zone string) *party {
		id++
		streams++
		return &party{id: id, speaks: choose(streams), now: &now, proxy: proxy, zone: zone, table: map[string]float64{}, levels: map[string]float64{}}
	}
	join := func(proxy int) *party {
		p := begin(proxy, set.ZoneNames[proxy%2])
		p.machine, p.loads = xds.NewAssignmentStream(facts, p.speaks == delta), xds.NewLoadStream(facts)
		node := standin.ProxyNode(proxy, p.zone, 20)
		switch p.speaks {
		case lines:
			line(p, fmt.Sprintf(`{"t":"attach","proxy":%d,"zone":%q,"weight":20,"fresh":true}`, proxy, p.zone))
		case world:
			said, _, err := p.machine.HandleRequest(now, &discovery.DiscoveryRequest{Node: node, TypeUrl: xds.EndpointsTypeURL})
			if err != nil {
				t.Fatal(err)
			}
			say(p, said)
		case delta:
			said, _, err := p.machine.HandleDeltaRequest(now, &discovery.DeltaDiscoveryRequest{Node: node, TypeUrl: xds.EndpointsTypeURL, ResourceNamesSubscribe: facts.Classes})
			if err != nil {
				t.Fatal(err)
			}
			say(p, said)
		}
		if p.speaks != lines {
			p.loads.HandleRequest(&load.LoadStatsRequest{Node: node})
		}
		return p
	}
	collect := func(zone string) *party {
		p := begin(-1, zone)
		if p.speaks == lines {
			line(p, fmt.Sprintf(`{"t":"telemetry","zone":%q}`, zone))
			return p
		}
		p.loads = xds.NewLoadStream(facts)
		update, err := p.loads.HandleRequest(&load.LoadStatsRequest{Node: standin.CollectorNode(zone)})
		if err != nil {
			t.Fatal(err)
		}
		say(p, update.Messages)
		return p
	}
	proxies = make([]*party, set.Rules.Proxies)
	var collectors []*party
	for look := range looks {
		now += 100
		for i := range proxies {
			if proxies[i] == nil || rng.IntN(300) == 0 { // joins, or comes back by a new stream, the old one not yet seen to end
				old := proxies[i]
				if proxies[i] = join(i); old != nil {
					router.Handle(routing.Disconnected{Peer: old})
				}
			}
			p := proxies[i]
			for n, late := len(p.marks)+len(p.nonces), rng.IntN(4) == 0; n > 0 && !late; n-- {
				if p.speaks == lines {
					line(p, fmt.Sprintf(`{"t":"done","proxy":%d,"mark":%d,"took_ms":%v}`, i, p.marks[0], 0))
					p.marks = p.marks[1:]
					continue
				}
				said, _, err := answer(p, now)
				if err != nil {
					t.Fatal(err)
				}
				say(p, said)
				p.nonces = p.nonces[1:]
			}
			for k, class := range facts.Classes {
				tries := rng.IntN(30)
				if (look+i)%10 != k {
					continue
				}
				if p.speaks == lines {
					line(p, fmt.Sprintf(`{"t":"client_stats","proxy":%d,"class":%q,"tries":%d,"failed":0,"span_ms":1000}`, i, class, tries))
					continue
				}
				update, err := p.loads.HandleRequest(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: class,
					LoadReportInterval: durationpb.New(time.Second), UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{TotalIssuedRequests: uint64(tries)}}}}})
				if err != nil || len(update.Invalid) > 0 {
					t.Fatal(err, update.Invalid)
				}
				say(p, update.Messages)
			}
		}
		if look%70 == 0 {
			collectors = []*party{collect("n"), collect("s")}
		}
		for z, c := range collectors {
			for i := range servers {
				tries, mean, failed := 5+rng.IntN(20), 60+rng.IntN(40)+i*10, 0
				if (look+i+z)%10 > 0 {
					continue
				}
				if i == 5 && look > 100 && look < 160 {
					failed = tries
				}
				if c.speaks == lines {
					line(c, fmt.Sprintf(`{"t":"upstream_stats","zone":%q,"server":"s-%d","tries":%d,"failed":%d,"mean_ms":%d,"span_ms":1000}`, c.zone, i, tries, failed, mean))
					continue
				}
				update, err := c.loads.HandleRequest(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{LoadReportInterval: durationpb.New(time.Second),
					UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{UpstreamEndpointStats: []*endpoint.UpstreamEndpointStats{
						standin.EndpointStats(fmt.Sprint("s-", i), tries, failed, float64(mean))}}}}}})
				if err != nil || len(update.Invalid) > 0 {
					t.Fatal(err, update.Invalid)
				}
				say(c, update.Messages)
			}
		}
		switch i := look / 40 % servers; look % 40 {
		case 10:
			router.Handle(routing.ListUpdated{List: protocol.List{Revision: int64(look), Members: []protocol.Member{entry(i, protocol.PhaseDraining, 0)}}})
		case 30:
			router.Handle(routing.ListUpdated{List: protocol.List{Revision: int64(look), Members: []protocol.Member{entry(i, protocol.PhaseUp, now)}}})
		}
		if _, _, err := router.Advance(now); err != nil {
			t.Fatal(err)
		}
	}
	return record.log, proxies
}

func answer(p *party, now float64) ([]protocol.Message, []xds.InvalidPartError, error) {
	if p.speaks == delta {
		return p.machine.HandleDeltaRequest(now, &discovery.DeltaDiscoveryRequest{TypeUrl: xds.EndpointsTypeURL, ResponseNonce: p.nonces[0]})
	}
	return p.machine.HandleRequest(now, &discovery.DiscoveryRequest{TypeUrl: xds.EndpointsTypeURL, ResponseNonce: p.nonces[0]})
}

// TestMixedFleetIsOneFleet guards against a decision that depends on the protocol which carried a message: the same day, all
// by lines, all by either form of gRPC, half and half, and switching at random, gives the module the same events in the same
// order and draws the same orders from it; and the tables that proxies hold agree within the rounding of whole weights.
func TestMixedFleetIsOneFleet(t *testing.T) {
	for seed := range uint64(6) {
		want, plain := play(t, seed, func(int) speech { return lines })
		if len(want) < 1000 {
			t.Fatalf("a day of %d events and orders", len(want))
		}
		draw := rand.New(rand.NewPCG(seed, 99))
		for name, choose := range map[string]func(int) speech{
			"state of the world": func(int) speech { return world },
			"incremental":        func(int) speech { return delta },
			"half and half":      func(stream int) speech { return speech(stream % 2) },
			"at random":          func(int) speech { return speech(draw.IntN(3)) },
		} {
			got, held := play(t, seed, choose)
			for i := range want {
				if i >= len(got) || withoutTook(got[i]) != withoutTook(want[i]) {
					t.Fatalf("seed %d, %s: step %d is\n%s\nby lines it is\n%s", seed, name, i, got[min(i, len(got)-1)], want[i])
				}
			}
			for i := range plain {
				agree(t, fmt.Sprintf("seed %d, %s, proxy %d", seed, name, i), held[i], plain[i])
			}
		}
	}
}

// withoutTook leaves out how long a proxy took to apply a message: a line tells it, and gRPC shows it.
func withoutTook(step string) string {
	var now, head string
	if n, _ := fmt.Sscan(step, &now, &head); n == 2 && len(head) > 9 && head[:9] == "rules.Ack" {
		return step[:slices.Index([]byte(step), 'E')]
	}
	return step
}

// agree compares what two proxies hold, as parts of their traffic.
func agree(t *testing.T, what string, got, want *party) {
	t.Helper()
	part := func(p *party, name string) float64 {
		sum := 0.0
		for _, w := range p.table {
			sum += w
		}
		return p.table[name] / sum
	}
	if !slices.Equal(slices.Sorted(maps.Keys(got.table)), slices.Sorted(maps.Keys(want.table))) {
		t.Fatalf("%s holds %v, by lines %v", what, got.table, want.table)
	}
	for name := range want.table {
		if d := math.Abs(part(got, name) - part(want, name)); d > float64(len(want.table))/xds.MaxWeight {
			t.Errorf("%s: %s gets %v of the traffic, by lines %v", what, name, part(got, name), part(want, name))
		}
	}
	for class, level := range want.levels {
		if math.Abs(got.levels[class]-level) > 1e-6 {
			t.Errorf("%s: level of %s is %v, by lines %v", what, class, got.levels[class], level)
		}
	}
}
