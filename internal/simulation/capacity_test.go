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

// capacityScale is the size of a system in the capacity benchmarks. They measure the cost of one event at an eighth, a
// quarter, a half and the whole of the size that docs/CAPACITY.md is checked against. go test -run '^$' -bench Capacity
// -benchtime 5x ./internal/simulation produces its figures.
type capacityScale struct{ edges, servers, services, routes, hosts int }

var fullScale = capacityScale{edges: 2190, servers: 20000, services: 950, routes: 34000, hosts: 76000}

const (
	controllers     = 10
	zones           = 8
	requestsPerEdge = 73 // requests per second of one edge: 160,000 at 2,190 edges
)

func forEachCapacityScale(b *testing.B, benchmark func(b *testing.B, s capacityScale)) {
	for _, n := range []int{8, 4, 2, 1} {
		s := capacityScale{fullScale.edges / n, fullScale.servers / n, fullScale.services / n, fullScale.routes / n,
			fullScale.hosts / n}
		b.Run(fmt.Sprintf("1of%d", n), func(b *testing.B) { benchmark(b, s) })
	}
}

func (s capacityScale) edgesPerController() int { return s.edges / controllers }

func (s capacityScale) server(n int, seq uint64) registry.Entry {
	return registry.Entry{ID: fmt.Sprintf("i-%08d", n), Service: fmt.Sprint("service-", n%s.services),
		Zone: fmt.Sprint("z", n/s.services%zones),
		Address: fmt.Sprintf("10.%d.%d.%d:8080", n/40000, n/200%200,
			n%200), Version: "v1", Capacity: 2, Seq: seq, Owner: "10.0.0.1"}
}

func (s capacityScale) newRegistry() *registry.Registry {
	servers := registry.New(90 * time.Second)
	for n := range s.servers {
		servers.Apply(s.server(n, 1), 0)
	}
	return servers
}

// newBroadcaster returns a broadcaster with the links of one controller: to its edges, and to the other controllers, which
// are linked to each other.
func (s capacityScale) newBroadcaster(servers *registry.Registry) *broadcast.Broadcaster {
	broadcaster := broadcast.New(servers)
	for n := range s.edgesPerController() {
		broadcaster.AddPeer(fmt.Sprint("edge ", n), true)
	}
	for n := range controllers - 1 {
		broadcaster.AddPeer(fmt.Sprint("controller ", n), false)
	}
	return broadcaster
}

func (s capacityScale) config() []byte {
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
		panic(err) // can't fail: plain values only
	}
	return text
}

func (s capacityScale) route(n int, deadline float64) map[string]any {
	return map[string]any{"name": fmt.Sprint("route-", n), "path_prefix": fmt.Sprintf("/api/%d/", n), "kind": "safe",
		"deadline_s": deadline,
		"setpoint_s": 0.4, "priority": 1, "service": fmt.Sprint("service-", n%s.services), "tries": 2}
}

// patch returns a configuration patch that changes the given number of routes.
func (s capacityScale) patch(version uint64, routes int) []byte {
	type m = map[string]any
	var hosts []m
	for n := range routes {
		hosts = append(hosts, m{"plant": fmt.Sprintf("tenant-%05d.example", n),
			"channels": []m{s.route(n, 1+float64(version%7))}})
	}
	text, err := json.Marshal(m{"version": fmt.Sprint("r", version), "upsert": m{"plants": hosts}})
	if err != nil {
		panic(err) // can't fail: plain values only
	}
	return text
}

func mustSucceed[T any](b *testing.B) func(v T, err error) T {
	return func(v T, err error) T {
		if err != nil {
			b.Helper()
			b.Fatal(err)
		}
		return v
	}
}

// measureHeap returns the value that make returns and the heap memory that it occupies. Nothing else may allocate meanwhile.
func measureHeap(make func() any) (value any, bytes float64) {
	var before, after runtime.MemStats
	readSettled := func(m *runtime.MemStats) {
		runtime.GC()
		runtime.GC() // a sync.Pool keeps its contents through one collection
		runtime.ReadMemStats(m)
	}
	readSettled(&before)
	value = make()
	readSettled(&after)
	return value, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func BenchmarkCapacityBeat(b *testing.B) {
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		broadcaster := s.newBroadcaster(s.newRegistry())
		seq, sends := uint64(1), 0
		for b.Loop() {
			seq++
			broadcaster.HandleServerCall(s.server(int(seq)%s.servers, seq), seq, time.Duration(seq))
			sends += len(broadcaster.DrainOutput().Messages)
		}
		b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
	})
}

func BenchmarkCapacitySilence(b *testing.B) { // runs twenty times per second
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		d := s.newRegistry()
		for b.Loop() {
			d.MarkTimedOut("10.0.0.1", func(string) bool { return false }, time.Hour, time.Second)
		}
	})
}

func BenchmarkCapacityDrain(b *testing.B) {
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		broadcaster := s.newBroadcaster(s.newRegistry())
		n, sends, bytes := 0, 0, 0.0
		for b.Loop() {
			e := s.server(s.servers+n, 2)
			e.State = registry.Draining
			broadcaster.HandleServerCall(e, uint64(n), time.Duration(n))
			for _, one := range broadcaster.DrainOutput().Messages {
				sends++
				if n == 0 {
					bytes += frameBytes(b, &peer.Frame{Entries: one.Entries, AckID: one.AckID})
				}
				broadcaster.HandleAck(one.To, one.AckID)
			}
			n++
		}
		b.ReportMetric(float64(sends)/float64(b.N), "sends/op")
		b.ReportMetric(bytes, "wire-bytes/op")
	})
}

func BenchmarkCapacityServers(b *testing.B) { // all servers, as sent to a joining process
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		value, bytes := measureHeap(func() any { return s.newRegistry() })
		d := value.(*registry.Registry)
		edgePicker, pickerBytes := measureHeap(func() any { return s.newPicker() })
		var text []byte
		for b.Loop() {
			text = mustSucceed[[]byte](b)(cbor.Marshal(&peer.Frame{Entries: d.All(0)}))
		}
		runtime.KeepAlive(d)
		b.ReportMetric(bytes, "directory-heap")
		b.ReportMetric(pickerBytes, "picker-heap")
		b.ReportMetric(float64(len(text)), "wire-bytes")
		runtime.KeepAlive(edgePicker)
	})
}

func (s capacityScale) newPicker() *picker.Picker {
	x := picker.New("z0", rand.New(rand.NewPCG(1, 1)).Float64)
	for n := range s.servers {
		e := s.server(n, 1)
		x.Add(&picker.Upstream{ID: e.ID, Service: e.Service, Zone: e.Zone, Capacity: e.Capacity})
	}
	return x
}

func BenchmarkCapacityRoster(b *testing.B) { // an edge of the zone joins or leaves
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		x := s.newPicker()
		zoneEdges := make([]uint32, s.edges/zones)
		for i := range zoneEdges {
			zoneEdges[i] = rand.Uint32()
		}
		for b.Loop() {
			x.AssignSlots(zoneEdges, zoneEdges[0])
		}
		b.ReportMetric(frameBytes(b, &peer.Frame{Summary: &peer.Summary{Full: true, ZoneEdges: zoneEdges}}), "wire-bytes")
	})
}

func BenchmarkCapacityPick(b *testing.B) {
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		x := s.newPicker()
		zoneEdges := make([]uint32, s.edges/zones)
		for i := range zoneEdges {
			zoneEdges[i] = uint32(i)
		}
		x.AssignSlots(zoneEdges, 0)
		now := time.Duration(0)
		for b.Loop() {
			now += time.Millisecond
			if upstream := x.Pick("service-0", func(*picker.Upstream) bool { return false }, now); upstream != nil {
				x.Succeeded(upstream, 0, now)
			}
		}
	})
}

func BenchmarkCapacityTables(b *testing.B) { // one second of one controller
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		d, rng := s.newRegistry(), rand.New(rand.NewPCG(1, 1))
		var names []string
		for z := range zones {
			names = append(names, fmt.Sprint("z", z))
		}
		var others []weights.PeerTraffic
		for n := range controllers - 1 {
			o := weights.PeerTraffic{Edges: s.edgesPerController()}
			for service := range s.services {
				o.TrafficByZone = append(o.TrafficByZone,
					peer.ZoneTraffic{Service: fmt.Sprint("service-", service), Zone: names[n%zones], Rate: 17})
			}
			others = append(others, o)
		}
		now, weightCount, sentBytes := time.Duration(0), 0, 0.0
		runSecond := func(weightTables *weights.Tables) {
			for n := range s.edgesPerController() {
				r := &peer.Report{Period: 1}
				for range requestsPerEdge {
					e := s.server(rng.IntN(s.servers), 1)
					r.Servers = append(r.Servers, peer.ServerStats{Server: e.ID, Attempts: 1, TotalTime: 0.1 +
						0.05*rng.Float64()})
					r.Services = append(r.Services, peer.ServiceStats{Service: e.Service, Requests: 1})
				}
				weightTables.HandleReport(fmt.Sprint("e", n), r,
					func(id string) (string, bool) { e, ok := d.Get(id); return e.Service, ok })
			}
			for range 4 {
				for edge, w := range weightTables.Tick(now, func() []weights.PeerTraffic { return others }) {
					weightCount += len(w.Changed)
					sentBytes += frameBytes(b, &peer.Frame{Weights: w})
					weightTables.HandleReport(edge, &peer.Report{Applied: w.Tokens}, nil)
				}
				now += 250 * time.Millisecond
			}
		}
		value, bytes := measureHeap(func() any {
			weightTables := weights.New("z0", names, 1, func() int { return controllers }, func(string, string) {})
			weightTables.UpdateServers(d.All(0), 0)
			for n := range s.edgesPerController() {
				weightTables.Join(fmt.Sprint("e", n), "z0")
			}
			for range 3 {
				runSecond(weightTables)
			}
			return weightTables
		})
		weightTables := value.(*weights.Tables)
		weightCount, sentBytes = 0, 0.0
		for b.Loop() {
			runSecond(weightTables)
		}
		b.ReportMetric(bytes, "heap")
		b.ReportMetric(float64(weightCount)/float64(b.N), "lines/op")
		b.ReportMetric(sentBytes/float64(b.N), "wire-bytes/op")
	})
}

func BenchmarkCapacityPulse(b *testing.B) { // a full summary from one controller to another, sent once per second
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		summary := &peer.Summary{InContact: true, Full: true, Version: 1, Edges: s.edgesPerController(), Fleet: s.edges,
			RegistryDigest: rand.Uint64(), Clock: 1e9, EdgesByZone: map[string][]uint32{}}
		for n := range controllers - 1 {
			summary.Controllers = append(summary.Controllers, fmt.Sprint("10.0.0.", n))
		}
		for n := range s.services {
			summary.TrafficByZone = append(summary.TrafficByZone, peer.ZoneTraffic{Service: fmt.Sprint("service-", n), Zone: "z0",
				Rate: 17.3})
		}
		for range s.edgesPerController() {
			summary.EdgesByZone["z0"] = append(summary.EdgesByZone["z0"], rand.Uint32())
		}
		var text []byte
		for b.Loop() {
			text = mustSucceed[[]byte](b)(cbor.Marshal(&peer.Frame{Summary: summary}))
			var f peer.Frame
			if err := cbor.Unmarshal(text, &f); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(text)), "wire-bytes")
	})
}

func BenchmarkCapacityParse(b *testing.B) { // a whole configuration, as received by a controller from an operator or by an edge
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		text := s.config()
		c, bytes := measureHeap(func() any { return mustSucceed[*config.Config](b)(config.Parse(text)) })
		tree, treeBytes := measureHeap(func() any { return config.NewTree(c.(*config.Config)) })
		for b.Loop() {
			mustSucceed[*config.Config](b)(config.Parse(text))
		}
		b.ReportMetric(float64(len(text)), "wire-bytes")
		b.ReportMetric(bytes, "config-heap")
		b.ReportMetric(treeBytes, "tree-heap")
		runtime.KeepAlive(tree)
		runtime.KeepAlive(text)
	})
}

func BenchmarkCapacityTree(b *testing.B) {
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		c := mustSucceed[*config.Config](b)(config.Parse(s.config()))
		for b.Loop() {
			config.NewTree(c)
		}
	})
}

func BenchmarkCapacityWrite(b *testing.B) { // a whole configuration, as read back, sent to a joining process, and saved
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		c := mustSucceed[*config.Config](b)(config.Parse(s.config()))
		for b.Loop() {
			mustSucceed[[]byte](b)(json.Marshal(c))
		}
	})
}

func (s capacityScale) newStateMachine(b *testing.B) (stateMachine *statemachine.StateMachine, put func(statemachine.Change)) {
	stateMachine = statemachine.New()
	at := uint64(0)
	put = func(c statemachine.Change) {
		at++
		if _, err := stateMachine.Apply(consensus.Entry{Index: at, Term: 1,
			Data: mustSucceed[[]byte](b)(cbor.Marshal(c))}); err != nil {
			b.Fatal(err)
		}
	}
	put(statemachine.Change{Body: s.config()})
	return stateMachine, put
}

func BenchmarkCapacitySnapshot(b *testing.B) {
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		stateMachine, _ := s.newStateMachine(b)
		var saved []byte
		took := [2]time.Duration{}
		for b.Loop() {
			startedAt := time.Now()
			saved = mustSucceed[[]byte](b)(stateMachine.Save())
			took[0] += time.Since(startedAt)
			startedAt = time.Now()
			if err := statemachine.New().Restore(consensus.Snapshot{Index: 1, Term: 1, Data: saved}); err != nil {
				b.Fatal(err)
			}
			took[1] += time.Since(startedAt)
		}
		b.ReportMetric(float64(len(saved)), "wire-bytes")
		b.ReportMetric(took[0].Seconds()/float64(b.N), "save-s/op")
		b.ReportMetric(took[1].Seconds()/float64(b.N), "restore-s/op")
	})
}

func BenchmarkCapacityChange(b *testing.B) { // at a controller; an edge applies the same change and builds its routing tree
	for _, routes := range []int{1, 1000} {
		b.Run(fmt.Sprint(routes, " routes"), func(b *testing.B) {
			forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
				stateMachine, put := s.newStateMachine(b)
				version := uint64(1)
				for b.Loop() {
					version++
					put(statemachine.Change{Base: version - 1, Patch: true, Body: s.patch(version, routes)})
				}
				b.ReportMetric(float64(len(s.patch(version, routes))), "wire-bytes")
				runtime.KeepAlive(stateMachine)
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
				_, bytes := measureHeap(func() any {
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
				b.ReportMetric(frameBytes(b, &peer.Frame{GrantRequests: []idempotency.Record{{Key: idempotency.KeyOf("t", "1"),
					Token: idempotency.Token{Incarnation: 1 << 60, Sequence: n}, ResponseHolder: "10.0.0.1"}}}), "ask-bytes")
			})
		}
	}
}

// An edge collects the statistics of all servers for its report once per second, under the picker's lock.
func BenchmarkCapacityReport(b *testing.B) {
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		x, reported := s.newPicker(), 0
		for b.Loop() {
			for _, upstream := range x.All() {
				if x.TakeStats(upstream).Attempts > 0 {
					reported++
				}
			}
		}
	})
}

func BenchmarkCapacityRoute(b *testing.B) { // looks up the route of a request
	forEachCapacityScale(b, func(b *testing.B, s capacityScale) {
		tree, n := config.NewTree(mustSucceed[*config.Config](b)(config.Parse(s.config()))), 0
		for b.Loop() {
			n = (n + 7919) % s.routes
			if tree.Find(fmt.Sprintf("tenant-%05d.example", n), fmt.Sprintf("/api/%d/x", n)) == nil {
				b.Fatal("no route for", n)
			}
		}
	})
}

func BenchmarkCapacityStore(b *testing.B) { // a batch of claims, made durable on this machine's disk
	for _, batch := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(batch, " records"), func(b *testing.B) {
			store, _, err := storage.Open(b.TempDir(), time.Minute, 64<<20)
			if err != nil {
				b.Fatal(err)
			}
			defer store.Close()
			n, cpuTime := uint64(0), func() time.Duration {
				var u unix.Rusage
				if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
					b.Fatal(err)
				}
				return time.Duration(u.Utime.Nano() + u.Stime.Nano())
			}
			before := cpuTime()
			for b.Loop() {
				batchWrite := &storage.Batch{}
				for range batch {
					n++
					batchWrite.Claims = append(batchWrite.Claims, idempotency.Record{Key: idempotency.KeyOf("t", fmt.Sprint(n)),
						Token: idempotency.Token{Incarnation: 1 << 60, Sequence: n}, ResponseHolder: "10.0.0.1"})
				}
				if err := store.Commit([]*storage.Batch{batchWrite}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(cpuTime()-before)/float64(n), "cpu-ns/record")
		})
	}
}
