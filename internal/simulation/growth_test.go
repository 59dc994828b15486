package simulation_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/peer"
)

// growthSize is the size of a system in the growth benchmarks. They measure the cost of one event at one, two, four and
// eight times the edges x servers x routes of a small site. docs/system.md has the figures; go test -run '^$' -bench Growth
// ./internal/simulation produces them.
type growthSize struct{ edges, servers, routes int }

var growthSizes = []growthSize{{10, 36, 15}, {20, 72, 30}, {40, 144, 60}, {80, 288, 120}}

const (
	growthZones    = 4
	growthServices = 4
)

func forEachGrowthSize(b *testing.B, benchmark func(b *testing.B, size growthSize)) {
	for _, size := range growthSizes {
		b.Run(fmt.Sprintf("%dx%dx%d", size.edges, size.servers, size.routes), func(b *testing.B) { benchmark(b, size) })
	}
}

func growthEntry(n int, seq uint64) registry.Entry {
	return registry.Entry{ID: fmt.Sprint("i-", n), Service: fmt.Sprint("service-", n%growthServices),
		Zone:    fmt.Sprint("z", n/growthServices%growthZones),
		Address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200), Version: "v1", Capacity: 2, Seq: seq, Owner: "a"}
}

func newGrowthRegistry(f growthSize) *registry.Registry {
	d := registry.New(time.Minute)
	for n := range f.servers {
		d.Apply(growthEntry(n, 1), 0)
	}
	return d
}

// frameBytes returns the encoded size of a frame.
func frameBytes(b *testing.B, f *peer.Frame) float64 {
	text, err := cbor.Marshal(f)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(text))
}

func BenchmarkGrowthBeat(b *testing.B) {
	forEachGrowthSize(b, func(b *testing.B, f growthSize) {
		d := newGrowthRegistry(f)
		broadcaster := broadcast.New(d)
		for n := range f.edges / growthZones {
			broadcaster.AddPeer(fmt.Sprint("edge ", n), true)
		}
		seq, sends := uint64(1), 0
		for b.Loop() {
			seq++
			broadcaster.HandleServerCall(growthEntry(int(seq)%f.servers, seq), seq, time.Duration(seq))
			sends += len(broadcaster.DrainOutput().Messages)
		}
		b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
	})
}

func BenchmarkGrowthNewServer(b *testing.B) {
	forEachGrowthSize(b, func(b *testing.B, f growthSize) {
		broadcaster := broadcast.New(newGrowthRegistry(f))
		for n := range f.edges / growthZones {
			broadcaster.AddPeer(fmt.Sprint("edge ", n), true)
		}
		n, sends, bytes := f.servers, 0, 0.0
		for b.Loop() {
			n++
			broadcaster.HandleServerCall(growthEntry(n, 1), uint64(n), time.Duration(n))
			for _, s := range broadcaster.DrainOutput().Messages {
				sends++
				if n == f.servers+1 {
					bytes += frameBytes(b, &peer.Frame{Entries: s.Entries, AckID: s.AckID})
				}
			}
		}
		b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
		b.ReportMetric(bytes, "wire-bytes")
	})
}

func BenchmarkGrowthJoin(b *testing.B) {
	forEachGrowthSize(b, func(b *testing.B, f growthSize) {
		d := newGrowthRegistry(f)
		whole := growthConfig(f)
		var frame *peer.Frame
		for b.Loop() {
			frame = &peer.Frame{Handshake: &peer.Handshake{Node: "x"}, Entries: d.All(0),
				Config: &peer.Config{Version: 1, Snapshot: whole}}
			if _, err := cbor.Marshal(frame); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(frameBytes(b, frame), "wire-bytes")
	})
}

func BenchmarkGrowthTables(b *testing.B) {
	forEachGrowthSize(b, func(b *testing.B, f growthSize) {
		weightTables := weights.New("z0", []string{"z0", "z1", "z2", "z3"}, 1, func() int { return 3 }, func(string, string) {})
		d := newGrowthRegistry(f)
		weightTables.UpdateServers(d.All(0), 0)
		for n := range f.edges / growthZones {
			weightTables.Join(fmt.Sprint("e", n), "z0")
		}
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Duration(0)
		for b.Loop() { // one second: every edge reports once, and the tables are updated four times
			for n := range f.edges / growthZones {
				r := &peer.Report{Period: 1}
				for s := range f.servers {
					r.Servers = append(r.Servers, peer.ServerStats{Server: fmt.Sprint("i-", s), Attempts: 4, TotalTime: 0.4 +
						0.2*rng.Float64()})
				}
				weightTables.HandleReport(fmt.Sprint("e", n), r,
					func(id string) (string, bool) { e, ok := d.Get(id); return e.Service, ok })
			}
			for range 4 {
				for edge, w := range weightTables.Tick(now, func() []weights.PeerTraffic { return nil }) {
					weightTables.HandleReport(edge, &peer.Report{Applied: w.Tokens}, nil)
				}
				now += 250 * time.Millisecond
			}
		}
	})
}

func growthConfig(f growthSize) []byte {
	type m = map[string]any
	var list, channels []m
	for n := range growthServices {
		list = append(list, m{"name": fmt.Sprint("service-", n), "health_path": "/health", "conn_limit": 110})
	}
	for n := range f.routes {
		channels = append(channels, m{"name": fmt.Sprint("r-", n), "path_prefix": fmt.Sprintf("/p%d/", n), "kind": "safe",
			"deadline_s": 1, "setpoint_s": 0.4, "priority": 1, "service": fmt.Sprint("service-", n%growthServices), "tries": 2})
	}
	text, err := json.Marshal(m{"version": "r1", "services": list, "limits": m{},
		"plants": []m{{"plant": "a.example", "channels": channels}}})
	if err != nil {
		panic(err) // can't fail: plain values only
	}
	return text
}

func BenchmarkGrowthChange(b *testing.B) {
	forEachGrowthSize(b, func(b *testing.B, f growthSize) {
		stateMachine := statemachine.New()
		apply := func(index uint64, c statemachine.Change) {
			data, err := cbor.Marshal(c)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := stateMachine.Apply(consensus.Entry{Index: index, Term: 1, Data: data}); err != nil {
				b.Fatal(err)
			}
		}
		apply(1, statemachine.Change{Body: growthConfig(f)})
		at := uint64(1)
		for b.Loop() { // one route changes: a controller applies the change, and an edge builds its routing tree
			at++
			apply(at, statemachine.Change{Base: at - 1, Patch: true,
				Body: fmt.Appendf(nil,
					`{"version":"r%d","upsert":{"plants":[{"plant":"a.example","channels":[{"name":"r-1","path_prefix":"/p1/","kind":"safe","deadline_s":1,"service":"service-1","tries":2}]}]}}`, at)})
			config.NewTree(stateMachine.Config)
		}
	})
}

func BenchmarkGrowthPick(b *testing.B) {
	forEachGrowthSize(b, func(b *testing.B, f growthSize) {
		x := picker.New("z0", rand.New(rand.NewPCG(1, 1)).Float64)
		for n := range f.servers {
			e := growthEntry(n, 1)
			x.Add(&picker.Upstream{ID: e.ID, Service: e.Service, Zone: e.Zone, Capacity: e.Capacity})
		}
		zoneEdges := make([]uint32, f.edges/growthZones)
		for i := range zoneEdges {
			zoneEdges[i] = uint32(i)
		}
		x.AssignSlots(zoneEdges, 0)
		now := time.Duration(0)
		for b.Loop() {
			now += time.Millisecond
			if u := x.Pick("service-0", func(*picker.Upstream) bool { return false }, now); u != nil {
				x.Succeeded(u, 0, now)
			}
		}
	})
}

func BenchmarkGrowthClaim(b *testing.B) {
	for _, held := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(held, " keys held"), func(b *testing.B) {
			coordinator := idempotency.NewCoordinator([]string{"a", "b", "c"}, time.Second, time.Second)
			stores := map[string]*idempotency.Store{"a": idempotency.NewStore(time.Minute, false),
				"b": idempotency.NewStore(time.Minute, false), "c": idempotency.NewStore(time.Minute, false)}
			n := uint64(0)
			claim := func() {
				n++
				r := idempotency.Record{Key: idempotency.KeyOf("t", fmt.Sprint(n)),
					Token: idempotency.Token{Incarnation: 1, Sequence: n}}
				for asks := coordinator.Start(r, 0); len(asks) > 0; {
					a := asks[0]
					asks = asks[1:]
					v, holder, _ := stores[a.To].Grant(a.Record, 0)
					stores[a.To].MarkDurable(a.Record.Key, a.Record.Token)
					more, _ := coordinator.HandleReply(a.To, a.Record.Token, v, holder)
					asks = append(asks, more...)
				}
			}
			for range held {
				claim()
			}
			for b.Loop() {
				claim()
			}
		})
	}
}
