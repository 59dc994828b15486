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

// Growth by size: what one event costs as a system grows one, two, four and eight times from edges x servers x routes of a
// small site. docs/system.md has the figures; go test -run '^$' -bench Growth ./internal/simulation makes them.
type fleet struct{ edges, servers, routes int }

var sizes = []fleet{{10, 36, 15}, {20, 72, 30}, {40, 144, 60}, {80, 288, 120}}

const (
	halls    = 4
	services = 4
)

func grow(b *testing.B, do func(b *testing.B, f fleet)) {
	for _, f := range sizes {
		b.Run(fmt.Sprintf("%dx%dx%d", f.edges, f.servers, f.routes), func(b *testing.B) { do(b, f) })
	}
}

func entry(n int, seq uint64) registry.Entry {
	return registry.Entry{ID: fmt.Sprint("i-", n), Service: fmt.Sprint("service-", n%services),
		Zone:    fmt.Sprint("z", n/services%halls),
		Address: fmt.Sprintf("10.0.%d.%d:80", n/200, n%200), Version: "v1", Capacity: 2, Seq: seq, Owner: "a"}
}

func known(f fleet) *registry.Registry {
	d := registry.New(time.Minute)
	for n := range f.servers {
		d.Apply(entry(n, 1), 0)
	}
	return d
}

// size is how many bytes a frame takes.
func size(b *testing.B, f *peer.Frame) float64 {
	text, err := cbor.Marshal(f)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(text))
}

func BenchmarkGrowthBeat(b *testing.B) {
	grow(b, func(b *testing.B, f fleet) {
		d := known(f)
		broadcaster := broadcast.New(d)
		for n := range f.edges / halls {
			broadcaster.AddPeer(fmt.Sprint("edge ", n), true)
		}
		seq, sends := uint64(1), 0
		for b.Loop() {
			seq++
			broadcaster.HandleServerCall(entry(int(seq)%f.servers, seq), seq, time.Duration(seq))
			sends += len(broadcaster.DrainOutput().Messages)
		}
		b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
	})
}

func BenchmarkGrowthNewServer(b *testing.B) {
	grow(b, func(b *testing.B, f fleet) {
		broadcaster := broadcast.New(known(f))
		for n := range f.edges / halls {
			broadcaster.AddPeer(fmt.Sprint("edge ", n), true)
		}
		n, sends, bytes := f.servers, 0, 0.0
		for b.Loop() {
			n++
			broadcaster.HandleServerCall(entry(n, 1), uint64(n), time.Duration(n))
			for _, s := range broadcaster.DrainOutput().Messages {
				sends++
				if n == f.servers+1 {
					bytes += size(b, &peer.Frame{Entries: s.Entries, AckID: s.AckID})
				}
			}
		}
		b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
		b.ReportMetric(bytes, "wire-bytes")
	})
}

func BenchmarkGrowthJoin(b *testing.B) {
	grow(b, func(b *testing.B, f fleet) {
		d := known(f)
		whole := configuration(f)
		var frame *peer.Frame
		for b.Loop() {
			frame = &peer.Frame{Handshake: &peer.Handshake{Node: "x"}, Entries: d.All(0),
				Config: &peer.Config{Version: 1, Snapshot: whole}}
			if _, err := cbor.Marshal(frame); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(size(b, frame), "wire-bytes")
	})
}

func BenchmarkGrowthTables(b *testing.B) {
	grow(b, func(b *testing.B, f fleet) {
		g := weights.New("z0", []string{"z0", "z1", "z2", "z3"}, 1, func() int { return 3 }, func(string, string) {})
		d := known(f)
		g.UpdateServers(d.All(0), 0)
		for n := range f.edges / halls {
			g.Join(fmt.Sprint("e", n), "z0")
		}
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Duration(0)
		for b.Loop() { // a second: every edge reports, and four looks
			for n := range f.edges / halls {
				r := &peer.Report{Period: 1}
				for s := range f.servers {
					r.Servers = append(r.Servers, peer.ServerStats{Server: fmt.Sprint("i-", s), Attempts: 4, TotalTime: 0.4 +
						0.2*rng.Float64()})
				}
				g.HandleReport(fmt.Sprint("e", n), r, func(id string) (string, bool) { e, ok := d.Get(id); return e.Service, ok })
			}
			for range 4 {
				for edge, w := range g.Tick(now, func() []weights.PeerTraffic { return nil }) {
					g.HandleReport(edge, &peer.Report{Applied: w.Tokens}, nil)
				}
				now += 250 * time.Millisecond
			}
		}
	})
}

func configuration(f fleet) []byte {
	type m = map[string]any
	var list, channels []m
	for n := range services {
		list = append(list, m{"name": fmt.Sprint("service-", n), "health_path": "/health", "conn_limit": 110})
	}
	for n := range f.routes {
		channels = append(channels, m{"name": fmt.Sprint("r-", n), "path_prefix": fmt.Sprintf("/p%d/", n), "kind": "safe",
			"deadline_s": 1, "setpoint_s": 0.4, "priority": 1, "service": fmt.Sprint("service-", n%services), "tries": 2})
	}
	text, err := json.Marshal(m{"version": "r1", "services": list, "limits": m{},
		"plants": []m{{"plant": "a.example", "channels": channels}}})
	if err != nil {
		panic(err) // plain values
	}
	return text
}

func BenchmarkGrowthChange(b *testing.B) {
	grow(b, func(b *testing.B, f fleet) {
		book := statemachine.New()
		put := func(index uint64, c statemachine.Change) {
			data, err := cbor.Marshal(c)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := book.Apply(consensus.Entry{Index: index, Term: 1, Data: data}); err != nil {
				b.Fatal(err)
			}
		}
		put(1, statemachine.Change{Body: configuration(f)})
		at := uint64(1)
		for b.Loop() { // one route changes: the state machine at a planner, and the tree at an edge
			at++
			put(at, statemachine.Change{Base: at - 1, Patch: true,
				Body: fmt.Appendf(nil,
					`{"version":"r%d","upsert":{"plants":[{"plant":"a.example","channels":[{"name":"r-1","path_prefix":"/p1/","kind":"safe","deadline_s":1,"service":"service-1","tries":2}]}]}}`, at)})
			config.NewTree(book.Config)
		}
	})
}

func BenchmarkGrowthPick(b *testing.B) {
	grow(b, func(b *testing.B, f fleet) {
		x := picker.New("z0", rand.New(rand.NewPCG(1, 1)).Float64)
		for n := range f.servers {
			e := entry(n, 1)
			x.Add(&picker.Upstream{ID: e.ID, Service: e.Service, Zone: e.Zone, Capacity: e.Capacity})
		}
		roster := make([]uint32, f.edges/halls)
		for i := range roster {
			roster[i] = uint32(i)
		}
		x.AssignSlots(roster, 0)
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
