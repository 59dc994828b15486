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

var testConfig = Config{Classes: []string{"view", "pay"}, Zones: []string{"n", "s"}, ReportPeriod: 1000,
	Bounds: protocol.Bounds{Proxies: 8, MaxLatency: 4000, MaxPeriod: 60000}}

func node(id, zone string) *core.Node {
	return &core.Node{Id: id, Locality: &core.Locality{Zone: zone}}
}

func request(n *core.Node, nonce string, names ...string) *discovery.DiscoveryRequest {
	return &discovery.DiscoveryRequest{Node: n, TypeUrl: EndpointsTypeURL, ResponseNonce: nonce, ResourceNames: names}
}

func stamp(n uint32) *uint32 { return &n }

// TestBadNodes checks that each invalid first request ends its stream with the right error and yields no message for routing.
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
		"no node":                          {request(nil, ""), ErrMissingNode},
		"no id":                            {request(node("", "n"), ""), ErrUnknownNode},
		"unknown proxy":                    {request(node("proxy/8", "n"), ""), ErrUnknownNode},
		"negative proxy":                   {request(node("proxy/-1", "n"), ""), ErrUnknownNode},
		"proxy number with a leading zero": {request(node("proxy/01", "n"), ""), ErrUnknownNode},
		"unknown zone":                     {request(node("proxy/1", "x"), ""), ErrUnknownNode},
		"a collector":                      {request(node("collector/n", ""), ""), ErrNotProxy},
		"a negative rate":                  {request(rate(-1), ""), ErrUnknownNode},
		"a NaN rate":                       {request(rate(math.NaN()), ""), ErrUnknownNode},
		"an infinite rate":                 {request(rate(math.Inf(1)), ""), ErrUnknownNode},
		"unknown type":                     {&discovery.DiscoveryRequest{Node: node("proxy/1", "n"), TypeUrl: "type.googleapis.com/what"}, ErrUnsupportedType},
		"too many names":                   {request(node("proxy/1", "n"), "", "a", "b", "c", "d", "e", "f"), ErrTooManyNames},
	} {
		messages, _, err := NewAssignmentStream(testConfig, false).HandleRequest(0, tc.r)
		if !errors.Is(err, tc.want) || len(messages) > 0 {
			t.Errorf("%s: %v, %v; want %v", name, messages, err, tc.want)
		}
	}
	stream := NewAssignmentStream(testConfig, false)
	stream.HandleRequest(0, request(node("proxy/1", "n"), ""))
	if _, _, err := stream.HandleRequest(1, request(node("proxy/2", "n"), "")); !errors.Is(err, ErrNodeChanged) {
		t.Errorf("a different second node: %v", err)
	}
	if _, _, err := stream.HandleRequest(1, request(node("proxy/1", "n"), "", "view")); err != nil {
		t.Errorf("the same node again: %v", err)
	}
}

// newJoinedStream returns a stream whose proxy has joined and subscribed to the names.
func newJoinedStream(t *testing.T, incremental bool, names ...string) *AssignmentStream {
	t.Helper()
	stream := NewAssignmentStream(testConfig, incremental)
	var messages []protocol.Message
	var err error
	if incremental {
		messages, _, err = stream.HandleDeltaRequest(0, &discovery.DeltaDiscoveryRequest{Node: node("proxy/3", "s"), TypeUrl: EndpointsTypeURL, ResourceNamesSubscribe: names})
	} else {
		messages, _, err = stream.HandleRequest(0, request(node("proxy/3", "s"), "", names...))
	}
	if err != nil || len(messages) != 1 || messages[0] != (protocol.Attach{Proxy: 3, Zone: "s", Fresh: true}) {
		t.Fatalf("%v, %v", messages, err)
	}
	return stream
}

// TestAcknowledgementsBecomeDone checks that an ACK becomes a done message once, and that an outdated or unknown nonce is
// reported and doesn't.
func TestAcknowledgementsBecomeDone(t *testing.T) {
	stream := newJoinedStream(t, false, "view", "pay", "unknown")
	for mark := range uint32(3) {
		if _, err := stream.Encode(float64(mark*100), protocol.Assignment{Token: stamp(mark), Rows: []protocol.Row{{Server: "s-0", Weight: 1, Zone: "n"}}}); err != nil {
			t.Fatal(err)
		}
	}
	messages, _, _ := stream.HandleRequest(150, request(nil, "1", "view", "pay"))
	if len(messages) != 1 || messages[0] != (protocol.Ack{Proxy: 3, Token: 1, Elapsed: 50}) {
		t.Errorf("ACK of an older response: %v", messages)
	}
	for _, nonce := range []string{"0", "1", "77"} { // superseded, acknowledged before, never sent
		if messages, invalid, err := stream.HandleRequest(160, request(nil, nonce, "view", "pay")); len(messages) > 0 || len(invalid) != 1 || err != nil {
			t.Errorf("nonce %s: %v %v %v; want one invalid part", nonce, messages, invalid, err)
		}
	}
	if messages, _, _ := stream.HandleRequest(500, request(nil, "2", "view", "pay")); len(messages) != 1 || messages[0] != (protocol.Ack{Proxy: 3, Token: 2, Elapsed: 300}) {
		t.Errorf("ACK of the newest response: %v", messages)
	}
}

// TestRejectionsBackOff guards against a proxy that rejects everything and a planner that answers each NACK at once.
func TestRejectionsBackOff(t *testing.T) {
	stream, now, wholeTables := newJoinedStream(t, false), 0.0, []float64{}
	for ; now < 300000; now += 100 {
		for range stream.Wake(now) {
			wholeTables = append(wholeTables, now)
			mark := uint32(len(wholeTables))
			stream.Encode(now, protocol.Assignment{Replace: true, Token: stamp(mark), Rows: []protocol.Row{{Server: "s-0", Weight: 1}}})
		}
		if len(stream.pending) == 0 && stream.WakeAt() == 0 {
			stream.Encode(now, protocol.Assignment{Token: stamp(uint32(now) % 60000)})
		}
		for _, response := range stream.pending {
			nack := request(nil, response.nonce)
			nack.ErrorDetail = &statuspb.Status{Message: strings.Repeat("no ", 1000)}
			if _, invalid, err := stream.HandleRequest(now, nack); err != nil || len(invalid) != 1 || len(invalid[0].Error()) > 300 {
				t.Fatalf("NACK: %v %v", invalid, err)
			}
			break
		}
	}
	if len(wholeTables) < 5 || len(wholeTables) > 13 {
		t.Errorf("%d whole tables in five minutes of NACKs, at %v", len(wholeTables), wholeTables)
	}
	for i := 2; i < len(wholeTables); i++ {
		if before, gap := wholeTables[i-1]-wholeTables[i-2], wholeTables[i]-wholeTables[i-1]; gap < before {
			t.Errorf("the delay shrinks: %v after %v", gap, before)
		}
	}
	stream.Encode(now, protocol.Assignment{Token: stamp(9)})
	if stream.Wake(now + 100000); stream.wakeAt != 0 {
		t.Error("a whole table is still due")
	}
	if stream.HandleRequest(now, request(nil, "9")); stream.rejections != 0 {
		t.Error("an ACK doesn't reset the backoff")
	}
}

// TestNewNamesGetAWholeTable checks that a proxy which subscribes to a class later gets a whole table, since the table that it
// holds for that class isn't known.
func TestNewNamesGetAWholeTable(t *testing.T) {
	stream := newJoinedStream(t, false, "view")
	messages, _, _ := stream.HandleRequest(0, request(nil, "", "view", "pay"))
	if len(messages) != 1 || messages[0] != (protocol.Nack{Proxy: 3}) {
		t.Errorf("state of the world: %v", messages)
	}
	deltaStream := newJoinedStream(t, true, "view")
	messages, _, _ = deltaStream.HandleDeltaRequest(0, &discovery.DeltaDiscoveryRequest{TypeUrl: EndpointsTypeURL, ResourceNamesSubscribe: []string{"pay"}})
	if len(messages) != 1 || messages[0] != (protocol.Nack{Proxy: 3}) {
		t.Errorf("incremental: %v", messages)
	}
	if m, err := deltaStream.Encode(0, protocol.Assignment{Replace: true, Rows: []protocol.Row{{Server: "s-0", Weight: 1}}, Token: stamp(1)}); err != nil || len(m.(*discovery.DeltaDiscoveryResponse).Resources) != 2 {
		t.Errorf("%v, %v; want both classes", m, err)
	}
	if _, _, err := deltaStream.HandleDeltaRequest(0, &discovery.DeltaDiscoveryRequest{TypeUrl: EndpointsTypeURL, ResourceNamesUnsubscribe: []string{"pay"}}); err != nil {
		t.Fatal(err)
	}
	if m, _ := deltaStream.Encode(0, protocol.Assignment{Rows: []protocol.Row{{Server: "s-1", Weight: 1}}, Token: stamp(2)}); len(m.(*discovery.DeltaDiscoveryResponse).Resources) != 1 {
		t.Errorf("%v; want only the class that is left", m)
	}
}

// TestTablesSurviveEncoding checks for random orders that a reader of either form of the standard messages holds the same table
// as a reader of lines, within the rounding of MaxWeight, and that the weight of each zone is the sum of its endpoints'.
func TestTablesSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stateOfTheWorld, delta := NewAssignmentStream(testConfig, false), NewAssignmentStream(testConfig, true)
		stateOfTheWorld.HandleRequest(0, request(node("proxy/0", "n"), ""))
		delta.HandleDeltaRequest(0, &discovery.DeltaDiscoveryRequest{Node: node("proxy/0", "n"), TypeUrl: EndpointsTypeURL})
		expected, levels, draining := map[string]protocol.Row{}, map[string]protocol.Gate{}, map[string]bool{}
		got := [2]map[string]*endpoint.ClusterLoadAssignment{{}, {}}
		for mark := range uint32(rapid.IntRange(1, 12).Draw(t, "orders")) {
			orders := protocol.Assignment{Replace: mark == 0 || rapid.IntRange(0, 5).Draw(t, "replace") == 0, Token: stamp(mark)}
			if orders.Replace {
				clear(expected)
				clear(levels)
			}
			for range rapid.IntRange(0, 6).Draw(t, "rows") {
				i := rapid.IntRange(0, 9).Draw(t, "server")
				r := protocol.Row{Server: "s-" + string(rune('0'+i)), Zone: testConfig.Zones[i%2], Address: "127.0.0.1:80", Weight: rapid.SampledFrom([]float64{0, 0.01, 0.1, 0.5, 1, 1.37, 40}).Draw(t, "weight")}
				if orders.Rows = append(orders.Rows, r); r.Weight > 0 {
					expected[r.Server] = r
				} else {
					delete(expected, r.Server)
				}
			}
			if rapid.Bool().Draw(t, "gate") {
				g := protocol.Gate{Classes: []string{rapid.SampledFrom(testConfig.Classes).Draw(t, "class")}, Level: rapid.Float64Range(0, 1).Draw(t, "level"), Retry: rapid.IntRange(0, 1).Draw(t, "again")}
				orders.Gates = append(orders.Gates, g)
				levels[g.Classes[0]] = g
			}
			if name := "s-" + string(rune('0'+rapid.IntRange(0, 9).Draw(t, "drained"))); rapid.Bool().Draw(t, "drain") {
				if draining[name] {
					orders.Include = append(orders.Include, name)
					delete(draining, name)
				} else {
					orders.Exclude = append(orders.Exclude, name)
					draining[name] = true
				}
			}
			for form, a := range []*AssignmentStream{stateOfTheWorld, delta} {
				m, err := a.Encode(0, orders)
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
		for _, r := range expected {
			total += r.Weight
		}
		for form := range got {
			for _, class := range testConfig.Classes {
				rows, gotDraining, gate := ParseAssignment(got[form][class], false)
				sum, zones := 0.0, 0.0
				for _, r := range rows {
					sum += r.Weight
				}
				for _, group := range got[form][class].GetEndpoints() {
					zones += float64(group.GetLoadBalancingWeight().GetValue())
				}
				if len(rows) != len(expected) || math.Abs(zones-sum) > 0 {
					t.Fatalf("%d rows, want %d; weights of zones %v, of servers %v", len(rows), len(expected), zones, sum)
				}
				for _, r := range rows {
					want := expected[r.Server]
					if share := want.Weight / total; math.Abs(r.Weight/sum-share) > float64(len(rows))/MaxWeight || r.Address != want.Address || r.Zone != want.Zone {
						t.Fatalf("%+v, share %v; want %+v, share %v", r, r.Weight/sum, want, share)
					}
				}
				for _, name := range gotDraining {
					if !draining[name] {
						t.Fatalf("%s is draining", name)
					}
				}
				want, gated := levels[class]
				if gated && len(expected) > 0 && (gate == nil || gate.Retry != want.Retry || math.Abs(gate.Level-want.Level) > 1e-6) {
					t.Fatalf("gate %+v, want %+v", gate, want)
				}
			}
		}
	})
}

func loadRequest(interval time.Duration, endpoints ...*endpoint.UpstreamEndpointStats) *load.LoadStatsRequest {
	return &load.LoadStatsRequest{Node: node("collector/n", ""), ClusterStats: []*endpoint.ClusterStats{{ClusterName: "all",
		LoadReportInterval: durationpb.New(interval), UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{UpstreamEndpointStats: endpoints}}}}}
}

func endpointStats(id string, tries, failed uint64, latency float64, answered uint64) *endpoint.UpstreamEndpointStats {
	stats := &endpoint.UpstreamEndpointStats{TotalIssuedRequests: tries, TotalErrorRequests: failed,
		LoadMetricStats: []*endpoint.EndpointLoadMetricStats{{MetricName: LatencyMetric, NumRequestsFinishedWithMetric: answered, TotalMetricValue: latency * float64(answered)}}}
	if id != "" {
		stats.Metadata = &structpb.Struct{Fields: map[string]*structpb.Value{"id": structpb.NewStringValue(id)}}
	}
	return stats
}

// TestInvalidLoadReports checks that an impossible report is rejected, and that the rest of the message is used.
func TestInvalidLoadReports(t *testing.T) {
	good := endpointStats("s-1", 10, 1, 40, 9)
	for name, r := range map[string]*load.LoadStatsRequest{
		"an interval of 0":             loadRequest(0, good),
		"a negative interval":          loadRequest(-time.Second, good),
		"an interval over the limit":   loadRequest(24*time.Hour, good),
		"more failed than tried":       loadRequest(time.Second, endpointStats("s-1", 1, 2, 40, 0)),
		"no latency":                   loadRequest(time.Second, endpointStats("s-1", 10, 0, 40, 0)),
		"a latency of 0":               loadRequest(time.Second, endpointStats("s-1", 10, 0, 0, 10)),
		"a NaN latency":                loadRequest(time.Second, endpointStats("s-1", 10, 0, math.NaN(), 10)),
		"an infinite latency":          loadRequest(time.Second, endpointStats("s-1", 10, 0, math.Inf(1), 10)),
		"a negative latency":           loadRequest(time.Second, endpointStats("s-1", 10, 0, -5, 10)),
		"a latency over the limit":     loadRequest(time.Second, endpointStats("s-1", 10, 0, 90000, 10)),
		"more attempts than the limit": loadRequest(time.Second, endpointStats("s-1", math.MaxUint64, 0, 40, 10)),
		"no endpoint":                  loadRequest(time.Second, endpointStats("", 10, 0, 40, 10)),
	} {
		stream := NewLoadStream(testConfig)
		first, err := stream.HandleRequest(r)
		if err != nil || first.Response == nil || len(first.Invalid) != 1 || len(first.Messages) != 1 ||
			first.Messages[0] != (protocol.Collector{Zone: "n"}) {
			t.Errorf("%s: %+v, %v", name, first, err)
		}
		next, err := stream.HandleRequest(loadRequest(time.Second, endpointStats("s-2", 4, 4, 0, 0), good))
		if err != nil || len(next.Messages) != 2 || len(next.Invalid) > 0 {
			t.Errorf("%s: next report: %+v %v", name, next, err)
		}
	}
	stream := NewLoadStream(testConfig)
	if _, err := stream.HandleRequest(&load.LoadStatsRequest{}); !errors.Is(err, ErrMissingNode) {
		t.Errorf("no node: %v", err)
	}
	stream.HandleRequest(loadRequest(time.Second))
	r := loadRequest(time.Second, good)
	if r.Node = node("collector/s", ""); true {
		if _, err := stream.HandleRequest(r); !errors.Is(err, ErrNodeChanged) {
			t.Errorf("a different node: %v", err)
		}
	}
	address := endpointStats("", 10, 1, 40, 9)
	address.Address = &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: "::1", PortSpecifier: &core.SocketAddress_PortValue{PortValue: 80}}}}
	update, _ := NewLoadStream(testConfig).HandleRequest(loadRequest(time.Second, address))
	messages := update.Messages
	if len(messages) != 2 || messages[1].(protocol.ServerReport).Address != "[::1]:80" || messages[1].(protocol.ServerReport).Latency != 40 {
		t.Errorf("endpoint with an address only: %v", messages)
	}
}
