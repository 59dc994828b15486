package simulation_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/peer"
)

// Capacity: what one event costs the deciders at an eighth, a quarter, a half and the whole of the size that docs/CAPACITY.md
// is held against; go test -run '^$' -bench Capacity -benchtime 5x ./internal/simulation makes its figures.
type scale struct{ edges, servers, services, routes, hosts int }

var whole = scale{edges: 2190, servers: 20000, services: 950, routes: 34000, hosts: 76000}

const (
	controllers = 10
	zones       = 8
	metEach     = 73 // requests a second of one edge: 160,000 over 2,190
)

func parts(b *testing.B, do func(b *testing.B, s scale)) {
	for _, n := range []int{8, 4, 2, 1} {
		s := scale{whole.edges / n, whole.servers / n, whole.services / n, whole.routes / n, whole.hosts / n}
		b.Run(fmt.Sprintf("1of%d", n), func(b *testing.B) { do(b, s) })
	}
}

func (s scale) home() int { return s.edges / controllers }

func (s scale) server(n int, seq uint64) registry.Entry {
	return registry.Entry{ID: fmt.Sprintf("i-%08d", n), Service: fmt.Sprint("service-", n%s.services),
		Zone: fmt.Sprint("z", n/s.services%zones),
		Address: fmt.Sprintf("10.%d.%d.%d:8080", n/40000, n/200%200,
			n%200), Version: "v1", Capacity: 2, Seq: seq, Owner: "10.0.0.1"}
}

func (s scale) directory() *registry.Registry {
	d := registry.New(90 * time.Second)
	for n := range s.servers {
		d.Apply(s.server(n, 1), 0)
	}
	return d
}

// board has the links of one controller: its edges, and the other controllers, which hear each other.
func (s scale) board(d *registry.Registry) *broadcast.Broadcaster {
	board := broadcast.New(d)
	for n := range s.home() {
		board.AddPeer(fmt.Sprint("edge ", n), true)
	}
	for n := range controllers - 1 {
		board.AddPeer(fmt.Sprint("controller ", n), false)
	}
	return board
}

func (s scale) config() []byte {
	type m = map[string]any
	var services []m
	for n := range s.services {
		services = append(services, m{"name": fmt.Sprint("service-", n), "health_path": "/health", "conn_limit": 110})
	}
	hosts := make([]m, s.hosts)
	for n := range hosts {
		hosts[n] = m{"plant": fmt.Sprintf("tenant-%05d.example", n)}
	}
	for n := range s.routes {
		hosts[n]["channels"] = []m{s.route(n, 1)}
	}
	text, err := json.Marshal(m{"version": "r1", "services": services, "limits": m{"max_header_bytes": 16384}, "plants": hosts})
	if err != nil {
		panic(err) // plain values
	}
	return text
}

func (s scale) route(n int, deadline float64) map[string]any {
	return map[string]any{"name": fmt.Sprint("route-", n), "path_prefix": fmt.Sprintf("/api/%d/", n), "kind": "safe",
		"deadline_s": deadline,
		"setpoint_s": 0.4, "priority": 1, "service": fmt.Sprint("service-", n%s.services), "tries": 2}
}

// patch changes some routes.
func (s scale) patch(version uint64, routes int) []byte {
	type m = map[string]any
	var hosts []m
	for n := range routes {
		hosts = append(hosts, m{"plant": fmt.Sprintf("tenant-%05d.example", n),
			"channels": []m{s.route(n, 1+float64(version%7))}})
	}
	text, err := json.Marshal(m{"version": fmt.Sprint("r", version), "upsert": m{"plants": hosts}})
	if err != nil {
		panic(err) // plain values
	}
	return text
}

func need[T any](b *testing.B) func(v T, err error) T {
	return func(v T, err error) T {
		if err != nil {
			b.Helper()
			b.Fatal(err)
		}
		return v
	}
}

// heap is what the heap holds of what is made. Nothing else may be made meanwhile.
func heap(make func() any) (made any, bytes float64) {
	var before, after runtime.MemStats
	settle := func(m *runtime.MemStats) {
		runtime.GC()
		runtime.GC() // pools keep what they hold over one
		runtime.ReadMemStats(m)
	}
	settle(&before)
	made = make()
	settle(&after)
	return made, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func BenchmarkCapacityBeat(b *testing.B) {
	parts(b, func(b *testing.B, s scale) {
		board := s.board(s.directory())
		seq, sends := uint64(1), 0
		for b.Loop() {
			seq++
			board.HandleServerCall(s.server(int(seq)%s.servers, seq), seq, time.Duration(seq))
			sends += len(board.DrainOutput().Messages)
		}
		b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
	})
}

func BenchmarkCapacitySilence(b *testing.B) { // twenty times a second
	parts(b, func(b *testing.B, s scale) {
		d := s.directory()
		for b.Loop() {
			d.MarkTimedOut("10.0.0.1", func(string) bool { return false }, time.Hour, time.Second)
		}
	})
}

func BenchmarkCapacityDrain(b *testing.B) {
	parts(b, func(b *testing.B, s scale) {
		board := s.board(s.directory())
		n, sends, bytes := 0, 0, 0.0
		for b.Loop() {
			e := s.server(s.servers+n, 2)
			e.State = registry.Draining
			board.HandleServerCall(e, uint64(n), time.Duration(n))
			for _, one := range board.DrainOutput().Messages {
				sends++
				if n == 0 {
					bytes += size(b, &peer.Frame{Entries: one.Entries, AckID: one.AckID})
				}
				board.HandleAck(one.To, one.AckID)
			}
			n++
		}
		b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
		b.ReportMetric(bytes, "wire-bytes/op")
	})
}

func BenchmarkCapacityServers(b *testing.B) { // all servers, as a joining process is sent them
	parts(b, func(b *testing.B, s scale) {
		made, bytes := heap(func() any { return s.directory() })
		d := made.(*registry.Registry)
		lines, lineBytes := heap(func() any { return s.picker() })
		var text []byte
		for b.Loop() {
			text = need[[]byte](b)(cbor.Marshal(&peer.Frame{Entries: d.All(0)}))
		}
		runtime.KeepAlive(d)
		b.ReportMetric(bytes, "directory-heap")
		b.ReportMetric(lineBytes, "picker-heap")
		b.ReportMetric(float64(len(text)), "wire-bytes")
		runtime.KeepAlive(lines)
	})
}

func (s scale) picker() *picker.Picker {
	x := picker.New("z0", rand.New(rand.NewPCG(1, 1)).Float64)
	for n := range s.servers {
		e := s.server(n, 1)
		x.Add(&picker.Upstream{ID: e.ID, Service: e.Service, Zone: e.Zone, Capacity: e.Capacity})
	}
	return x
}

func BenchmarkCapacityRoster(b *testing.B) { // an edge of the zone joins or leaves
	parts(b, func(b *testing.B, s scale) {
		x := s.picker()
		roster := make([]uint32, s.edges/zones)
		for i := range roster {
			roster[i] = rand.Uint32()
		}
		for b.Loop() {
			x.AssignSlots(roster, roster[0])
		}
		b.ReportMetric(size(b, &peer.Frame{Summary: &peer.Summary{Full: true, ZoneEdges: roster}}), "wire-bytes")
	})
}

func BenchmarkCapacityPick(b *testing.B) {
	parts(b, func(b *testing.B, s scale) {
		x := s.picker()
		roster := make([]uint32, s.edges/zones)
		for i := range roster {
			roster[i] = uint32(i)
		}
		x.AssignSlots(roster, 0)
		now := time.Duration(0)
		for b.Loop() {
			now += time.Millisecond
			if l := x.Pick("service-0", func(*picker.Upstream) bool { return false }, now); l != nil {
				x.Succeeded(l, 0, now)
			}
		}
	})
}

func BenchmarkCapacityTables(b *testing.B) { // a second of one controller
	parts(b, func(b *testing.B, s scale) {
		d, rng := s.directory(), rand.New(rand.NewPCG(1, 1))
		var names []string
		for z := range zones {
			names = append(names, fmt.Sprint("z", z))
		}
		var others []weights.PeerTraffic
		for n := range controllers - 1 {
			o := weights.PeerTraffic{Edges: s.home()}
			for service := range s.services {
				o.TrafficByZone = append(o.TrafficByZone,
					peer.ZoneTraffic{Service: fmt.Sprint("service-", service), Zone: names[n%zones], Rate: 17})
			}
			others = append(others, o)
		}
		now, lines, sent := time.Duration(0), 0, 0.0
		second := func(g *weights.Tables) {
			for n := range s.home() {
				r := &peer.Report{Period: 1}
				for range metEach {
					e := s.server(rng.IntN(s.servers), 1)
					r.Servers = append(r.Servers, peer.ServerStats{Server: e.ID, Attempts: 1, TotalTime: 0.1 +
						0.05*rng.Float64()})
					r.Services = append(r.Services, peer.ServiceStats{Service: e.Service, Requests: 1})
				}
				g.HandleReport(fmt.Sprint("e", n), r, func(id string) (string, bool) { e, ok := d.Get(id); return e.Service, ok })
			}
			for range 4 {
				for edge, w := range g.Tick(now, func() []weights.PeerTraffic { return others }) {
					lines += len(w.Changed)
					sent += size(b, &peer.Frame{Weights: w})
					g.HandleReport(edge, &peer.Report{Applied: w.Tokens}, nil)
				}
				now += 250 * time.Millisecond
			}
		}
		made, bytes := heap(func() any {
			g := weights.New("z0", names, 1, func() int { return controllers }, func(string, string) {})
			g.UpdateServers(d.All(0), 0)
			for n := range s.home() {
				g.Join(fmt.Sprint("e", n), "z0")
			}
			for range 3 {
				second(g)
			}
			return g
		})
		g := made.(*weights.Tables)
		lines, sent = 0, 0.0
		for b.Loop() {
			second(g)
		}
		b.ReportMetric(bytes, "heap")
		b.ReportMetric(float64(lines)/float64(b.N), "lines/op")
		b.ReportMetric(sent/float64(b.N), "wire-bytes/op")
	})
}

func BenchmarkCapacityPulse(b *testing.B) { // a full pulse from a controller to another, one a second
	parts(b, func(b *testing.B, s scale) {
		p := &peer.Summary{InContact: true, Full: true, Version: 1, Edges: s.home(), Fleet: s.edges,
			RegistryDigest: rand.Uint64(), Clock: 1e9, EdgesByZone: map[string][]uint32{}}
		for n := range controllers - 1 {
			p.Controllers = append(p.Controllers, fmt.Sprint("10.0.0.", n))
		}
		for n := range s.services {
			p.TrafficByZone = append(p.TrafficByZone, peer.ZoneTraffic{Service: fmt.Sprint("service-", n), Zone: "z0",
				Rate: 17.3})
		}
		for range s.home() {
			p.EdgesByZone["z0"] = append(p.EdgesByZone["z0"], rand.Uint32())
		}
		var text []byte
		for b.Loop() {
			text = need[[]byte](b)(cbor.Marshal(&peer.Frame{Summary: p}))
			var f peer.Frame
			if err := cbor.Unmarshal(text, &f); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(text)), "wire-bytes")
	})
}

func BenchmarkCapacityParse(b *testing.B) { // a whole configuration, as an operator puts it or an edge is sent it
	parts(b, func(b *testing.B, s scale) {
		text := s.config()
		c, bytes := heap(func() any { return need[*config.Config](b)(config.Parse(text)) })
		tree, treeBytes := heap(func() any { return config.NewTree(c.(*config.Config)) })
		for b.Loop() {
			need[*config.Config](b)(config.Parse(text))
		}
		b.ReportMetric(float64(len(text)), "wire-bytes")
		b.ReportMetric(bytes, "config-heap")
		b.ReportMetric(treeBytes, "tree-heap")
		runtime.KeepAlive(tree)
		runtime.KeepAlive(text)
	})
}

func BenchmarkCapacityTree(b *testing.B) {
	parts(b, func(b *testing.B, s scale) {
		c := need[*config.Config](b)(config.Parse(s.config()))
		for b.Loop() {
			config.NewTree(c)
		}
	})
}

func BenchmarkCapacityWrite(b *testing.B) { // a whole configuration, as it is read back, sent to a process that joins, and saved
	parts(b, func(b *testing.B, s scale) {
		c := need[*config.Config](b)(config.Parse(s.config()))
		for b.Loop() {
			need[[]byte](b)(json.Marshal(c))
		}
	})
}

func (s scale) daybook(b *testing.B) (book *statemachine.StateMachine, put func(statemachine.Change)) {
	book = statemachine.New()
	at := uint64(0)
	put = func(c statemachine.Change) {
		at++
		if _, err := book.Apply(consensus.Entry{Index: at, Term: 1, Data: need[[]byte](b)(cbor.Marshal(c))}); err != nil {
			b.Fatal(err)
		}
	}
	put(statemachine.Change{Body: s.config()})
	return book, put
}

func BenchmarkCapacitySnapshot(b *testing.B) {
	parts(b, func(b *testing.B, s scale) {
		book, _ := s.daybook(b)
		var saved []byte
		took := [2]time.Duration{}
		for b.Loop() {
			began := time.Now()
			saved = need[[]byte](b)(book.Save())
			took[0] += time.Since(began)
			began = time.Now()
			if err := statemachine.New().Restore(consensus.Snapshot{Index: 1, Term: 1, Data: saved}); err != nil {
				b.Fatal(err)
			}
			took[1] += time.Since(began)
		}
		b.ReportMetric(float64(len(saved)), "wire-bytes")
		b.ReportMetric(took[0].Seconds()/float64(b.N), "save-s/op")
		b.ReportMetric(took[1].Seconds()/float64(b.N), "restore-s/op")
	})
}

func BenchmarkCapacityChange(b *testing.B) { // at a controller; an edge applies the same change and makes its tree
	for _, routes := range []int{1, 1000} {
		b.Run(fmt.Sprint(routes, " routes"), func(b *testing.B) {
			parts(b, func(b *testing.B, s scale) {
				book, put := s.daybook(b)
				version := uint64(1)
				for b.Loop() {
					version++
					put(statemachine.Change{Base: version - 1, Patch: true, Body: s.patch(version, routes)})
				}
				b.ReportMetric(float64(len(s.patch(version, routes))), "wire-bytes")
				runtime.KeepAlive(book)
			})
		})
	}
}

func BenchmarkCapacityClaim(b *testing.B) {
	for _, members := range []int{3, 5} {
		for _, held := range []int{125000, 250000, 500000, 1000000} {
			b.Run(fmt.Sprint(members, " stores ", held, " keys held"), func(b *testing.B) {
				names := []string{"a", "b", "c", "d", "e"}[:members]
				coordinator, stores, n := idempotency.NewCoordinator(names, time.Second,
					time.Second), map[string]*idempotency.Store{}, uint64(0)
				claim := func() {
					n++
					r := idempotency.Record{Key: idempotency.KeyOf("t", fmt.Sprint(n)),
						Token: idempotency.Token{Incarnation: 1, Sequence: n}, ResponseHolder: "10.0.0.1"}
					for asks := coordinator.Start(r, 0); len(asks) > 0; {
						a := asks[0]
						asks = asks[1:]
						v, holder, _ := stores[a.To].Grant(a.Record, 0)
						stores[a.To].MarkDurable(a.Record.Key, a.Record.Token)
						more, _ := coordinator.HandleReply(a.To, a.Record.Token, v, holder)
						asks = append(asks, more...)
					}
				}
				_, bytes := heap(func() any {
					for _, name := range names {
						stores[name] = idempotency.NewStore(time.Minute, false)
					}
					for range held {
						claim()
					}
					return nil
				})
				for b.Loop() {
					claim()
				}
				b.ReportMetric(bytes/float64(held*(members/2+1)), "heap/key")
				b.ReportMetric(size(b, &peer.Frame{GrantRequests: []idempotency.Record{{Key: idempotency.KeyOf("t", "1"),
					Token: idempotency.Token{Incarnation: 1 << 60, Sequence: n}, ResponseHolder: "10.0.0.1"}}}), "ask-bytes")
			})
		}
	}
}

func BenchmarkCapacityReport(b *testing.B) { // an edge's look at all lines for its report, once a second, under the lock of picks
	parts(b, func(b *testing.B, s scale) {
		x, met := s.picker(), 0
		for b.Loop() {
			for _, l := range x.All() {
				if x.TakeStats(l).Attempts > 0 {
					met++
				}
			}
		}
	})
}

func BenchmarkCapacityRoute(b *testing.B) { // a request's route
	parts(b, func(b *testing.B, s scale) {
		tree, n := config.NewTree(need[*config.Config](b)(config.Parse(s.config()))), 0
		for b.Loop() {
			n = (n + 7919) % s.routes
			if tree.Find(fmt.Sprintf("tenant-%05d.example", n), fmt.Sprintf("/api/%d/x", n)) == nil {
				b.Fatal("no route for", n)
			}
		}
	})
}

func BenchmarkCapacityStore(b *testing.B) { // claims that gathered, durable on this machine's disk
	for _, batch := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(batch, " records"), func(b *testing.B) {
			a, _, err := storage.Open(b.TempDir(), time.Minute, 64<<20)
			if err != nil {
				b.Fatal(err)
			}
			defer a.Close()
			n, used := uint64(0), func() time.Duration {
				var u unix.Rusage
				if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
					b.Fatal(err)
				}
				return time.Duration(u.Utime.Nano() + u.Stime.Nano())
			}
			before := used()
			for b.Loop() {
				one := &storage.Batch{}
				for range batch {
					n++
					one.Claims = append(one.Claims, idempotency.Record{Key: idempotency.KeyOf("t", fmt.Sprint(n)),
						Token: idempotency.Token{Incarnation: 1 << 60, Sequence: n}, ResponseHolder: "10.0.0.1"})
				}
				if err := a.Commit([]*storage.Batch{one}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(used()-before)/float64(n), "cpu-ns/record")
		})
	}
}
