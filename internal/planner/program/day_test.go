package program

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"mulleinwood/internal/planner/audit"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/internal/planner/xds"
	"mulleinwood/rules"
)

// watched is a fleet whose proxies and list an auditor outside the planner sees.
type watched struct {
	*fleet
	begun time.Time
	mu    sync.Mutex
	books *audit.Auditor
	end   chan struct{}
	group sync.WaitGroup
}

func (w *watched) now() float64 { return float64(time.Since(w.begun)) / float64(time.Millisecond) }

// audited lets an auditor watch a fleet of so many cores from its start on.
func audited(t *testing.T, n int, wrap func(core, life int, module sharer) sharer) *watched {
	w := &watched{fleet: onCores(t, n, wrap), begun: time.Now(), end: make(chan struct{})}
	w.audit()
	return w
}

// audit begins the books and looks at them until the day ends.
func (w *watched) audit() {
	c, err := LoadConfig(env(envConfig, example))
	if err != nil {
		w.t.Fatal(err)
	}
	w.books = audit.New(c.Settings.Rules, 0)
	for _, m := range w.members {
		w.tell(m)
	}
	w.group.Go(func() {
		for {
			select {
			case <-w.end:
				return
			case <-time.After(50 * time.Millisecond):
				w.mu.Lock()
				w.books.Tick(w.now())
				w.mu.Unlock()
			}
		}
	})
}

// verdict ends the day's books and fails the test for each rule that was broken.
func (w *watched) verdict() {
	w.t.Helper()
	close(w.end)
	w.group.Wait()
	for _, b := range w.books.Violations() {
		w.t.Errorf("%s: %s, at %.0f ms", b.Rule, b.Detail, b.At)
	}
	w.t.Logf("most seen: %+v", w.books.Peak)
}

func (w *watched) tell(m protocol.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := rules.Ready
	if m.Phase != protocol.PhaseUp {
		state = rules.Draining
	}
	entry := audit.Server{Name: m.ID, State: state, Size: m.Weight}
	if m.StartedAt > 0 {
		entry.StartedAt = m.StartedAt - float64(w.begun.UnixMicro())/1000
	}
	w.books.ServerChanged(w.now(), entry)
}

func (w *watched) change(id, phase string, since float64) {
	m := w.members[id]
	m.Phase, m.StartedAt = phase, since
	w.tell(m)
	w.discovery.Change(m)
}

func (w *watched) joins(number int) *standin.Proxy {
	w.t.Helper()
	w.mu.Lock()
	w.books.ProxyJoined(w.now(), number, 20)
	w.mu.Unlock()
	p, err := standin.Join(w.planner, number, []string{"north", "south"}[number%2], 20, func(parts []standin.Order) {
		o := audit.Order{Rows: map[string]float64{}, Retries: map[int]rules.Retry{}, Lines: 3}
		for _, part := range parts {
			o.Replace = o.Replace || part.Replace
			for _, r := range part.Rows {
				o.Rows[r.Server] = r.Weight
			}
			if part.Retry != nil {
				o.Retries[0], o.Retries[1] = rules.Retry(*part.Retry), rules.Retry(*part.Retry)
			}
			o.Lines += float64(part.Lines())
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.books.OrderReceived(w.now(), number, o)
	})
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

// TestDayOnFourCores plays a day on loopback: reports, drains and returns, proxies that leave and come back, a core that
// stalls, one that panics, a discovery outage and a reload, and the end by the same way as SIGTERM. The auditor finds no
// broken rule, and every proxy ends with a table.
func TestDayOnFourCores(t *testing.T) {
	const proxies = 32
	modules, wrap := stallables(4)
	w := audited(t, 4, wrap)
	list := make([]*standin.Proxy, proxies)
	for i := range list {
		list[i] = w.joins(i)
	}
	collectors := []*standin.Collector{w.collector("north"), w.collector("south")}
	for _, p := range list {
		w.wait("a whole table", p, func(s standin.State) bool { return len(s.Table) > 0 })
	}
	rng := rand.New(rand.NewPCG(4, 4))
	hold := make(chan struct{})
	unix := func() float64 { return float64(time.Now().UnixMicro()) / 1000 }
	const beats = 70 // of a tenth of a second
	pace := time.NewTicker(100 * time.Millisecond)
	defer pace.Stop()
	for beat := range beats {
		<-pace.C
		switch beat {
		case 8:
			w.change("s-0", "draining", 0)
		case 12:
			modules[1].hold.Store(&hold)
			w.change("s-2", "draining", 0)
		case 25:
			w.change("s-0", "up", unix())
		case 30:
			modules[1].hold.Store(nil)
			close(hold)
		case 34:
			modules[2].panic.Store(true)
			w.change("s-3", "draining", 0)
		case 38:
			for i := 0; i < proxies; i += 2 { // half leave
				list[i].Close()
				w.mu.Lock()
				w.books.ProxyLeft(i)
				w.mu.Unlock()
			}
		case 44:
			w.discovery.SetDown(true)
		case 50:
			w.discovery.SetDown(false)
			for i := 0; i < proxies; i += 2 { // and join again within a moment
				list[i] = w.joins(i)
			}
		case 54:
			w.change("s-2", "up", unix())
		case 58:
			w.change("s-1", "draining", 0)
		}
		for _, p := range list {
			if beat%10 == p.Number%10 && p.State().Closed == nil {
				for _, class := range []string{"lookup", "order"} {
					p.WriteLine(fmt.Sprintf(`{"t":"client_stats","proxy":%d,"class":%q,"tries":%d,"failed":0,"span_ms":1000}`,
						p.Number, class, 5+rng.IntN(10)))
				}
			}
		}
		for i, c := range collectors {
			if beat%10 == 5*i {
				for _, id := range []string{"s-0", "s-1", "s-2", "s-3"} {
					c.Report(id, 20, 0, 80+20*rng.Float64(), 1000)
				}
			}
		}
	}
	for _, p := range list {
		w.wait("a table of what is up", p, func(s standin.State) bool {
			return len(s.Table) > 0 && s.Table["s-1"] == 0 &&
				s.Table["s-3"] == 0
		})
	}
	w.verdict()
	for _, p := range list {
		p.Close()
	}
	w.stop()
}

// joinsGRPC lets a proxy join by gRPC under the auditor's eyes.
func (w *watched) joinsGRPC(number int) *standin.GRPCProxy {
	w.t.Helper()
	w.mu.Lock()
	w.books.ProxyJoined(w.now(), number, 20)
	w.mu.Unlock()
	p, err := standin.JoinGRPC(w.planner, number, []string{"north", "south"}[number%2], 20, classNames, nil,
		func(r *discovery.DiscoveryResponse) {
			o := audit.Order{Replace: true, Rows: map[string]float64{}, Retries: map[int]rules.Retry{}}
			for i, packed := range r.GetResources() {
				var a endpoint.ClusterLoadAssignment
				if packed.UnmarshalTo(&a) != nil {
					return
				}
				rows, shut, gate := xds.ParseAssignment(&a, false)
				if gate != nil {
					o.Retries[slices.Index(classNames, a.GetClusterName())] = rules.Retry(gate.Retry)
				}
				if i == 0 {
					for _, row := range rows {
						o.Rows[row.Server] = row.Weight
					}
					o.Drop = shut
				}
			}
			o.Lines = float64(len(o.Rows) + 4)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.books.OrderReceived(w.now(), number, o)
		})
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

// partner is a proxy of either protocol.
type partner interface {
	reader
	Close()
}

// TestDayOnBothProtocols plays a day with half of the servers, proxies and collectors on each protocol: drains, a lost zone that
// comes back cold, a server that answers nothing until its probes are answered, a discovery outage, and proxies and a server
// that change their protocol. The auditor finds no broken rule.
func TestDayOnBothProtocols(t *testing.T) {
	const proxies = 16
	w := &watched{begun: time.Now(), end: make(chan struct{})}
	w.fleet = withFront(t, 2, nil)
	w.audit()
	byGRPC := map[string]*standin.GRPCServer{}
	turn := func(id string) { // the server speaks gRPC from now on, at the same address
		w.servers[id].Close()
		s, err := standin.NewGRPCServer(w.members[id].Address)
		if err != nil {
			t.Fatal(err)
		}
		byGRPC[id] = s
		w.close = append(w.close, s.Close)
		delete(w.servers, id)
	}
	turn("s-1")
	turn("s-3")
	list := make([]partner, proxies)
	spoken := make([]bool, proxies) // by gRPC
	join := func(i int, grpc bool) {
		if spoken[i] = grpc; grpc {
			list[i] = w.joinsGRPC(i)
		} else {
			list[i] = w.joins(i)
		}
	}
	for i := range list {
		join(i, i%4 >= 2)
	}
	north := w.collector("north")
	south, err := standin.NewGRPCCollector(w.planner, "south", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer south.Close()
	for _, p := range list {
		w.await("a table", p, func(s standin.State) bool { return len(s.Table) > 0 })
	}
	rng := rand.New(rand.NewPCG(17, 4))
	unix := func() float64 { return float64(time.Now().UnixMicro()) / 1000 }
	former := []partner{}
	const beats = 80
	pace := time.NewTicker(100 * time.Millisecond)
	defer pace.Stop()
	for beat := range beats {
		<-pace.C
		switch beat {
		case 5:
			w.change("s-0", "draining", 0)
		case 14: // the south is lost
			w.change("s-1", "removed", 0)
			w.change("s-3", "removed", 0)
			w.change("s-0", "up", 0)
		case 30: // and comes back cold
			w.change("s-1", "up", unix())
			w.change("s-3", "up", unix())
		case 36: // proxies change their protocol, the older stream not yet closed
			for i := 0; i < proxies; i += 3 {
				former = append(former, list[i])
				join(i, !spoken[i])
			}
		case 44:
			w.discovery.SetDown(true)
		case 50:
			w.discovery.SetDown(false)
			turn("s-2") // between one probe and the next
		case 56:
			w.change("s-0", "draining", 0)
		}
		for i, p := range list {
			if beat%10 != i%10 || p.State().Closed != nil {
				continue
			}
			for _, class := range classNames {
				tries := 5 + rng.IntN(10)
				switch p := p.(type) {
				case *standin.Proxy:
					p.WriteLine(fmt.Sprintf(`{"t":"client_stats","proxy":%d,"class":%q,"tries":%d,"failed":0,"span_ms":1000}`, i,
						class, tries))
				case *standin.GRPCProxy:
					p.ReportUsage(class, uint64(tries), 0, time.Second)
				}
			}
		}
		if beat%5 == 0 {
			for _, id := range []string{"s-0", "s-1", "s-2", "s-3"} {
				failed := 0
				if id == "s-2" && beat >= 35 && beat < 60 { // answers nothing: probes must find it well again
					failed = 20
				}
				north.Report(id, 20, failed, 80, 500)
				south.Report(id, 20, failed, 90, 500)
			}
		}
	}
	for i, p := range list {
		w.await("a table of what is up", p, func(s standin.State) bool {
			return len(s.Table) > 0 && s.Table["s-0"] == 0 && (i%2 == 1 || s.Table["s-2"] > 0) // of the north
		})
	}
	for _, p := range former {
		w.await("the end of the older stream", p, func(s standin.State) bool { return s.Closed != nil })
		p.Close()
	}
	if byGRPC["s-2"].Probed() == 0 {
		t.Error("the server that changed its protocol was not probed by the new one")
	}
	w.verdict()
	for _, p := range list {
		p.Close()
	}
	w.stop()
}
