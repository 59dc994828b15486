package xds

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"pgregory.net/rapid"

	"mulleinwood/internal/planner/protocol"
)

var facts = Config{Classes: []string{"view", "pay"}, Zones: []string{"n", "s"}, ReportPeriod: 1000,
	Bounds: protocol.Bounds{Proxies: 8, MaxLatency: 4000, MaxPeriod: 60000}}

func node(id, zone string) *core.Node {
	return &core.Node{Id: id, Locality: &core.Locality{Zone: zone}}
}

func request(n *core.Node, nonce string, names ...string) *discovery.DiscoveryRequest {
	return &discovery.DiscoveryRequest{Node: n, TypeUrl: EndpointsTypeURL, ResponseNonce: nonce, ResourceNames: names}
}

func stamp(n uint32) *uint32 { return &n }

// TestBadNodes: each ends its stream with an error of its kind, and nothing of it reaches routing.
func TestBadNodes(t *testing.T) {
	rate := func(x float64) *core.Node {
		n := node("proxy/1", "n")
		n.Metadata = &structpb.Struct{Fields: map[string]*structpb.Value{"requests_per_second": structpb.NewNumberValue(x)}}
		return n
	}
	for name, tc := range map[string]struct {
		r    *discovery.DiscoveryRequest
		want error
	}{
		"no node":                {request(nil, ""), ErrMissingNode},
		"no id":                  {request(node("", "n"), ""), ErrUnknownNode},
		"unknown proxy":          {request(node("proxy/8", "n"), ""), ErrUnknownNode},
		"negative proxy":         {request(node("proxy/-1", "n"), ""), ErrUnknownNode},
		"proxy in another form":  {request(node("proxy/01", "n"), ""), ErrUnknownNode},
		"unknown zone":           {request(node("proxy/1", "x"), ""), ErrUnknownNode},
		"a collector":            {request(node("collector/n", ""), ""), ErrNotProxy},
		"a negative rate":        {request(rate(-1), ""), ErrUnknownNode},
		"a rate that is none":    {request(rate(math.NaN()), ""), ErrUnknownNode},
		"an endless rate":        {request(rate(math.Inf(1)), ""), ErrUnknownNode},
		"unknown type":           {&discovery.DiscoveryRequest{Node: node("proxy/1", "n"), TypeUrl: "type.googleapis.com/what"}, ErrUnsupportedType},
		"more names than can be": {request(node("proxy/1", "n"), "", "a", "b", "c", "d", "e", "f"), ErrTooManyNames},
	} {
		said, _, err := NewAssignmentStream(facts, false).HandleRequest(0, tc.r)
		if !errors.Is(err, tc.want) || len(said) > 0 {
			t.Errorf("%s: %v, %v; want %v", name, said, err, tc.want)
		}
	}
	a := NewAssignmentStream(facts, false)
	a.HandleRequest(0, request(node("proxy/1", "n"), ""))
	if _, _, err := a.HandleRequest(1, request(node("proxy/2", "n"), "")); !errors.Is(err, ErrNodeChanged) {
		t.Errorf("a second node that differs: %v", err)
	}
	if _, _, err := a.HandleRequest(1, request(node("proxy/1", "n"), "", "view")); err != nil {
		t.Errorf("the same node again: %v", err)
	}
}

// joined is a stream whose proxy has joined for these names.
func joined(t *testing.T, incremental bool, names ...string) *AssignmentStream {
	t.Helper()
	a := NewAssignmentStream(facts, incremental)
	var said []protocol.Message
	var err error
	if incremental {
		said, _, err = a.HandleDeltaRequest(0, &discovery.DeltaDiscoveryRequest{Node: node("proxy/3", "s"), TypeUrl: EndpointsTypeURL, ResourceNamesSubscribe: names})
	} else {
		said, _, err = a.HandleRequest(0, request(node("proxy/3", "s"), "", names...))
	}
	if err != nil || len(said) != 1 || said[0] != (protocol.Attach{Proxy: 3, Zone: "s", Fresh: true}) {
		t.Fatalf("%v, %v", said, err)
	}
	return a
}

func TestAnswersAreDone(t *testing.T) {
	a := joined(t, false, "view", "pay", "unheard-of")
	for mark := range uint32(3) {
		if _, err := a.Encode(float64(mark*100), protocol.Assignment{Token: stamp(mark), Rows: []protocol.Row{{Server: "s-0", Weight: 1, Zone: "n"}}}); err != nil {
			t.Fatal(err)
		}
	}
	said, _, _ := a.HandleRequest(150, request(nil, "1", "view", "pay"))
	if len(said) != 1 || said[0] != (protocol.Ack{Proxy: 3, Token: 1, Elapsed: 50}) {
		t.Errorf("answer to an older message: %v", said)
	}
	for _, nonce := range []string{"0", "1", "77"} { // overtaken, answered before, never sent
		if said, voids, err := a.HandleRequest(160, request(nil, nonce, "view", "pay")); len(said) > 0 || len(voids) != 1 || err != nil {
			t.Errorf("nonce %s: %v %v %v; want one void", nonce, said, voids, err)
		}
	}
	if said, _, _ := a.HandleRequest(500, request(nil, "2", "view", "pay")); len(said) != 1 || said[0] != (protocol.Ack{Proxy: 3, Token: 2, Elapsed: 300}) {
		t.Errorf("answer to the newest: %v", said)
	}
}

// TestRefusalsGrowApart guards against a proxy that refuses everything and a planner that answers each refusal at once.
func TestRefusalsGrowApart(t *testing.T) {
	a, now, asked := joined(t, false), 0.0, []float64{}
	for ; now < 300000; now += 100 {
		for range a.Wake(now) {
			asked = append(asked, now)
			mark := uint32(len(asked))
			a.Encode(now, protocol.Assignment{Replace: true, Token: stamp(mark), Rows: []protocol.Row{{Server: "s-0", Weight: 1}}})
		}
		if len(a.sent) == 0 && a.WakeAt() == 0 {
			a.Encode(now, protocol.Assignment{Token: stamp(uint32(now) % 60000)})
		}
		for _, m := range a.sent {
			r := request(nil, m.nonce)
			r.ErrorDetail = &statuspb.Status{Message: strings.Repeat("no ", 1000)}
			if _, voids, err := a.HandleRequest(now, r); err != nil || len(voids) != 1 || len(voids[0].Error()) > 300 {
				t.Fatalf("refusal: %v %v", voids, err)
			}
			break
		}
	}
	if len(asked) < 5 || len(asked) > 13 {
		t.Errorf("%d whole tables in five minutes of refusals, at %v", len(asked), asked)
	}
	for i := 2; i < len(asked); i++ {
		if before, gap := asked[i-1]-asked[i-2], asked[i]-asked[i-1]; gap < before {
			t.Errorf("waits that shrink: %v after %v", gap, before)
		}
	}
	a.Encode(now, protocol.Assignment{Token: stamp(9)})
	if a.Wake(now + 100000); a.due != 0 {
		t.Error("a whole table is due still")
	}
	if a.HandleRequest(now, request(nil, "9")); a.refusals != 0 {
		t.Error("a message that is accepted doesn't end the series")
	}
}

// TestNewNamesGetAWholeTable: what a proxy holds of a class that it names later isn't known.
func TestNewNamesGetAWholeTable(t *testing.T) {
	a := joined(t, false, "view")
	said, _, _ := a.HandleRequest(0, request(nil, "", "view", "pay"))
	if len(said) != 1 || said[0] != (protocol.Nack{Proxy: 3}) {
		t.Errorf("sow: %v", said)
	}
	d := joined(t, true, "view")
	said, _, _ = d.HandleDeltaRequest(0, &discovery.DeltaDiscoveryRequest{TypeUrl: EndpointsTypeURL, ResourceNamesSubscribe: []string{"pay"}})
	if len(said) != 1 || said[0] != (protocol.Nack{Proxy: 3}) {
		t.Errorf("incremental: %v", said)
	}
	if m, err := d.Encode(0, protocol.Assignment{Replace: true, Rows: []protocol.Row{{Server: "s-0", Weight: 1}}, Token: stamp(1)}); err != nil || len(m.(*discovery.DeltaDiscoveryResponse).Resources) != 2 {
		t.Errorf("%v, %v; want both classes", m, err)
	}
	if _, _, err := d.HandleDeltaRequest(0, &discovery.DeltaDiscoveryRequest{TypeUrl: EndpointsTypeURL, ResourceNamesUnsubscribe: []string{"pay"}}); err != nil {
		t.Fatal(err)
	}
	if m, _ := d.Encode(0, protocol.Assignment{Rows: []protocol.Row{{Server: "s-1", Weight: 1}}, Token: stamp(2)}); len(m.(*discovery.DeltaDiscoveryResponse).Resources) != 1 {
		t.Errorf("%v; want only the class that is left", m)
	}
}

// TestTablesSurviveTheForm: whatever is ordered, a reader of the published messages holds the table that a reader of lines
// does, within the stated rounding, in either form, and by zones first or not.
func TestTablesSurviveTheForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sow, delta := NewAssignmentStream(facts, false), NewAssignmentStream(facts, true)
		sow.HandleRequest(0, request(node("proxy/0", "n"), ""))
		delta.HandleDeltaRequest(0, &discovery.DeltaDiscoveryRequest{Node: node("proxy/0", "n"), TypeUrl: EndpointsTypeURL})
		held, levels, shut := map[string]protocol.Row{}, map[string]protocol.Gate{}, map[string]bool{}
		got := [2]map[string]*endpoint.ClusterLoadAssignment{{}, {}}
		for mark := range uint32(rapid.IntRange(1, 12).Draw(t, "orders")) {
			o := protocol.Assignment{Replace: mark == 0 || rapid.IntRange(0, 5).Draw(t, "replace") == 0, Token: stamp(mark)}
			if o.Replace {
				clear(held)
				clear(levels)
			}
			for range rapid.IntRange(0, 6).Draw(t, "rows") {
				i := rapid.IntRange(0, 9).Draw(t, "server")
				r := protocol.Row{Server: "s-" + string(rune('0'+i)), Zone: facts.Zones[i%2], Address: "127.0.0.1:80", Weight: rapid.SampledFrom([]float64{0, 0.01, 0.1, 0.5, 1, 1.37, 40}).Draw(t, "weight")}
				if o.Rows = append(o.Rows, r); r.Weight > 0 {
					held[r.Server] = r
				} else {
					delete(held, r.Server)
				}
			}
			if rapid.Bool().Draw(t, "gate") {
				g := protocol.Gate{Classes: []string{rapid.SampledFrom(facts.Classes).Draw(t, "class")}, Level: rapid.Float64Range(0, 1).Draw(t, "level"), Retry: rapid.IntRange(0, 1).Draw(t, "again")}
				o.Gates = append(o.Gates, g)
				levels[g.Classes[0]] = g
			}
			if name := "s-" + string(rune('0'+rapid.IntRange(0, 9).Draw(t, "shut"))); rapid.Bool().Draw(t, "shuts") {
				if shut[name] {
					o.Include = append(o.Include, name)
					delete(shut, name)
				} else {
					o.Exclude = append(o.Exclude, name)
					shut[name] = true
				}
			}
			for form, a := range []*AssignmentStream{sow, delta} {
				m, err := a.Encode(0, o)
				if err != nil {
					t.Fatal(err)
				}
				switch m := m.(type) {
				case *discovery.DiscoveryResponse:
					for _, packed := range m.Resources {
						c := &endpoint.ClusterLoadAssignment{}
						if err := packed.UnmarshalTo(c); err != nil {
							t.Fatal(err)
						}
						got[form][c.ClusterName] = c
					}
				case *discovery.DeltaDiscoveryResponse:
					for _, r := range m.Resources {
						c := &endpoint.ClusterLoadAssignment{}
						if err := r.Resource.UnmarshalTo(c); err != nil {
							t.Fatal(err)
						}
						got[form][r.Name] = c
					}
				}
			}
		}
		total := 0.0
		for _, r := range held {
			total += r.Weight
		}
		for form := range got {
			for _, class := range facts.Classes {
				rows, out, gate := ParseAssignment(got[form][class], false)
				sum, zones := 0.0, 0.0
				for _, r := range rows {
					sum += r.Weight
				}
				for _, group := range got[form][class].GetEndpoints() {
					zones += float64(group.GetLoadBalancingWeight().GetValue())
				}
				if len(rows) != len(held) || math.Abs(zones-sum) > 0 {
					t.Fatalf("%d rows, %d are held; weights of zones %v, of servers %v", len(rows), len(held), zones, sum)
				}
				for _, r := range rows {
					want := held[r.Server]
					if part := want.Weight / total; math.Abs(r.Weight/sum-part) > float64(len(rows))/MaxWeight || r.Address != want.Address || r.Zone != want.Zone {
						t.Fatalf("%+v, part %v; want %+v, part %v", r, r.Weight/sum, want, part)
					}
				}
				for _, name := range out {
					if !shut[name] {
						t.Fatalf("%s is shut out", name)
					}
				}
				want, gated := levels[class]
				if gated && len(held) > 0 && (gate == nil || gate.Retry != want.Retry || math.Abs(gate.Level-want.Level) > 1e-6) {
					t.Fatalf("gate %+v, want %+v", gate, want)
				}
			}
		}
	})
}

func stats(span time.Duration, e ...*endpoint.UpstreamEndpointStats) *load.LoadStatsRequest {
	return &load.LoadStatsRequest{Node: node("collector/n", ""), ClusterStats: []*endpoint.ClusterStats{{ClusterName: "all",
		LoadReportInterval: durationpb.New(span), UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{UpstreamEndpointStats: e}}}}}
}

func met(id string, tries, failed uint64, latency float64, answered uint64) *endpoint.UpstreamEndpointStats {
	e := &endpoint.UpstreamEndpointStats{TotalIssuedRequests: tries, TotalErrorRequests: failed,
		LoadMetricStats: []*endpoint.EndpointLoadMetricStats{{MetricName: LatencyMetric, NumRequestsFinishedWithMetric: answered, TotalMetricValue: latency * float64(answered)}}}
	if id != "" {
		e.Metadata = &structpb.Struct{Fields: map[string]*structpb.Value{"id": structpb.NewStringValue(id)}}
	}
	return e
}

// TestLoadThatCantBe: what can't be true is void, and the rest of the message counts.
func TestLoadThatCantBe(t *testing.T) {
	good := met("s-1", 10, 1, 40, 9)
	for name, r := range map[string]*load.LoadStatsRequest{
		"an interval of 0":         stats(0, good),
		"a negative interval":      stats(-time.Second, good),
		"an endless interval":      stats(24*time.Hour, good),
		"more failed than tried":   stats(time.Second, met("s-1", 1, 2, 40, 0)),
		"no latency":               stats(time.Second, met("s-1", 10, 0, 40, 0)),
		"a latency of 0":           stats(time.Second, met("s-1", 10, 0, 0, 10)),
		"a latency that is none":   stats(time.Second, met("s-1", 10, 0, math.NaN(), 10)),
		"an endless latency":       stats(time.Second, met("s-1", 10, 0, math.Inf(1), 10)),
		"a negative latency":       stats(time.Second, met("s-1", 10, 0, -5, 10)),
		"longer than anyone waits": stats(time.Second, met("s-1", 10, 0, 90000, 10)),
		"huge figures":             stats(time.Second, met("s-1", math.MaxUint64, 0, 40, 10)),
		"no endpoint":              stats(time.Second, met("", 10, 0, 40, 10)),
	} {
		l := NewLoadStream(facts)
		first, err := l.HandleRequest(r)
		if err != nil || first.Response == nil || len(first.Invalid) != 1 || len(first.Messages) != 1 ||
			first.Messages[0] != (protocol.Collector{Zone: "n"}) {
			t.Errorf("%s: %+v, %v", name, first, err)
		}
		next, err := l.HandleRequest(stats(time.Second, met("s-2", 4, 4, 0, 0), good))
		if err != nil || len(next.Messages) != 2 || len(next.Invalid) > 0 {
			t.Errorf("%s: what follows: %+v %v", name, next, err)
		}
	}
	l := NewLoadStream(facts)
	if _, err := l.HandleRequest(&load.LoadStatsRequest{}); !errors.Is(err, ErrMissingNode) {
		t.Errorf("no node: %v", err)
	}
	l.HandleRequest(stats(time.Second))
	r := stats(time.Second, good)
	if r.Node = node("collector/s", ""); true {
		if _, err := l.HandleRequest(r); !errors.Is(err, ErrNodeChanged) {
			t.Errorf("another node: %v", err)
		}
	}
	address := met("", 10, 1, 40, 9)
	address.Address = &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: "::1", PortSpecifier: &core.SocketAddress_PortValue{PortValue: 80}}}}
	update, _ := NewLoadStream(facts).HandleRequest(stats(time.Second, address))
	said := update.Messages
	if len(said) != 2 || said[1].(protocol.ServerReport).Address != "[::1]:80" || said[1].(protocol.ServerReport).Latency != 40 {
		t.Errorf("known by its address: %v", said)
	}
}
