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

// auditedFleet is a fleet whose proxies and list are observed by an auditor outside the planner.
type auditedFleet struct {
	*fleet
	started time.Time
	mu      sync.Mutex
	auditor *audit.Auditor
	done    chan struct{}
	group   sync.WaitGroup
}

func (w *auditedFleet) now() float64 {
	return float64(time.Since(w.started)) / float64(time.Millisecond)
}

// startAudited starts a fleet on n cores and an auditor that observes it from the start.
func startAudited(t *testing.T, n int, wrap func(core, incarnation int, module coreModule) coreModule) *auditedFleet {
	w := &auditedFleet{fleet: startOnCores(t, n, wrap), started: time.Now(), done: make(chan struct{})}
	w.startAuditor()
	return w
}

// startAuditor creates the auditor and ticks it until done is closed.
func (w *auditedFleet) startAuditor() {
	c, err := LoadConfig(env(envConfig, example))
	if err != nil {
		w.t.Fatal(err)
	}
	w.auditor = audit.New(c.Settings.Rules, 0)
	for _, m := range w.members {
		w.reportMember(m)
	}
	w.group.Go(func() {
		for {
			select {
			case <-w.done:
				return
			case <-time.After(50 * time.Millisecond):
				w.mu.Lock()
				w.auditor.Tick(w.now())
				w.mu.Unlock()
			}
		}
	})
}

// checkViolations stops the auditor and fails the test for each violation.
func (w *auditedFleet) checkViolations() {
	w.t.Helper()
	close(w.done)
	w.group.Wait()
	for _, b := range w.auditor.Violations() {
		w.t.Errorf("%s: %s, at %.0f ms", b.Rule, b.Detail, b.At)
	}
	w.t.Logf("peaks: %+v", w.auditor.Peak)
}

func (w *auditedFleet) reportMember(m protocol.Member) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := rules.Ready
	if m.Phase != protocol.PhaseUp {
		state = rules.Draining
	}
	entry := audit.Server{Name: m.ID, State: state, Size: m.Weight}
	if m.StartedAt > 0 {
		entry.StartedAt = m.StartedAt - float64(w.started.UnixMicro())/1000
	}
	w.auditor.ServerChanged(w.now(), entry)
}

func (w *auditedFleet) changePhase(id, phase string, since float64) {
	m := w.members[id]
	m.Phase, m.StartedAt = phase, since
	w.reportMember(m)
	w.discovery.Change(m)
}

func (w *auditedFleet) joinProxy(number int) *standin.Proxy {
	w.t.Helper()
	w.mu.Lock()
	w.auditor.ProxyJoined(w.now(), number, 20)
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
		w.auditor.OrderReceived(w.now(), number, o)
	})
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

// TestDayOnFourCores runs a scripted day on loopback: reports, drains and returns, proxies that leave and rejoin, a core that
// stalls, one that panics, a discovery outage, and a shutdown like that by SIGTERM. The auditor must find no violation, and
// every proxy must end with a table.
func TestDayOnFourCores(t *testing.T) {
	const proxies = 32
	modules, wrap := newStallableModules(4)
	w := startAudited(t, 4, wrap)
	list := make([]*standin.Proxy, proxies)
	for i := range list {
		list[i] = w.joinProxy(i)
	}
	collectors := []*standin.Collector{w.collector("north"), w.collector("south")}
	for _, p := range list {
		w.wait("a complete table", p, func(s standin.State) bool { return len(s.Table) > 0 })
	}
	rng := rand.New(rand.NewPCG(4, 4))
	hold := make(chan struct{})
	unix := func() float64 { return float64(time.Now().UnixMicro()) / 1000 }
	const steps = 70 // of 100 ms
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for step := range steps {
		<-ticker.C
		switch step {
		case 8:
			w.changePhase("s-0", "draining", 0)
		case 12:
			modules[1].hold.Store(&hold)
			w.changePhase("s-2", "draining", 0)
		case 25:
			w.changePhase("s-0", "up", unix())
		case 30:
			modules[1].hold.Store(nil)
			close(hold)
		case 34:
			modules[2].panic.Store(true)
			w.changePhase("s-3", "draining", 0)
		case 38:
			for i := 0; i < proxies; i += 2 { // half of the proxies leave
				list[i].Close()
				w.mu.Lock()
				w.auditor.ProxyLeft(i)
				w.mu.Unlock()
			}
		case 44:
			w.discovery.SetDown(true)
		case 50:
			w.discovery.SetDown(false)
			for i := 0; i < proxies; i += 2 { // and join again
				list[i] = w.joinProxy(i)
			}
		case 54:
			w.changePhase("s-2", "up", unix())
		case 58:
			w.changePhase("s-1", "draining", 0)
		}
		for _, p := range list {
			if step%10 == p.Number%10 && p.State().Closed == nil {
				for _, class := range []string{"lookup", "order"} {
					p.WriteLine(fmt.Sprintf(`{"t":"client_stats","proxy":%d,"class":%q,"tries":%d,"failed":0,"span_ms":1000}`,
						p.Number, class, 5+rng.IntN(10)))
				}
			}
		}
		for i, c := range collectors {
			if step%10 == 5*i {
				for _, id := range []string{"s-0", "s-1", "s-2", "s-3"} {
					c.Report(id, 20, 0, 80+20*rng.Float64(), 1000)
				}
			}
		}
	}
	for _, p := range list {
		w.wait("a table of the servers that are up", p, func(s standin.State) bool {
			return len(s.Table) > 0 && s.Table["s-1"] == 0 &&
				s.Table["s-3"] == 0
		})
	}
	w.checkViolations()
	for _, p := range list {
		p.Close()
	}
	w.stop()
}

// joinGRPCProxy lets a proxy join by gRPC and reports its tables to the auditor.
func (w *auditedFleet) joinGRPCProxy(number int) *standin.GRPCProxy {
	w.t.Helper()
	w.mu.Lock()
	w.auditor.ProxyJoined(w.now(), number, 20)
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
			w.auditor.OrderReceived(w.now(), number, o)
		})
	if err != nil {
		w.t.Fatal(err)
	}
	return p
}

// closableProxy is a proxy that uses either protocol.
type closableProxy interface {
	proxyReader
	Close()
}

// TestDayOnBothProtocols runs a scripted day with half of the servers, proxies and collectors on each protocol: drains, a lost
// zone that returns cold, a server that fails all requests until probes find it healthy, a discovery outage, and proxies and a
// server that change their protocol. The auditor must find no violation.
func TestDayOnBothProtocols(t *testing.T) {
	const proxies = 16
	w := &auditedFleet{started: time.Now(), done: make(chan struct{})}
	w.fleet = startWithGRPC(t, 2, nil)
	w.startAuditor()
	byGRPC := map[string]*standin.GRPCServer{}
	switchToGRPC := func(id string) { // replaces the server by one that uses gRPC at the same address
		w.servers[id].Close()
		s, err := standin.NewGRPCServer(w.members[id].Address)
		if err != nil {
			t.Fatal(err)
		}
		byGRPC[id] = s
		w.close = append(w.close, s.Close)
		delete(w.servers, id)
	}
	switchToGRPC("s-1")
	switchToGRPC("s-3")
	list := make([]closableProxy, proxies)
	usesGRPC := make([]bool, proxies) // by proxy number
	join := func(i int, grpc bool) {
		if usesGRPC[i] = grpc; grpc {
			list[i] = w.joinGRPCProxy(i)
		} else {
			list[i] = w.joinProxy(i)
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
	superseded := []closableProxy{}
	const steps = 80
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for step := range steps {
		<-ticker.C
		switch step {
		case 5:
			w.changePhase("s-0", "draining", 0)
		case 14: // zone south is lost
			w.changePhase("s-1", "removed", 0)
			w.changePhase("s-3", "removed", 0)
			w.changePhase("s-0", "up", 0)
		case 30: // and returns cold
			w.changePhase("s-1", "up", unix())
			w.changePhase("s-3", "up", unix())
		case 36: // proxies change their protocol while their older stream is open
			for i := 0; i < proxies; i += 3 {
				superseded = append(superseded, list[i])
				join(i, !usesGRPC[i])
			}
		case 44:
			w.discovery.SetDown(true)
		case 50:
			w.discovery.SetDown(false)
			switchToGRPC("s-2") // between one probe and the next
		case 56:
			w.changePhase("s-0", "draining", 0)
		}
		for i, p := range list {
			if step%10 != i%10 || p.State().Closed != nil {
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
		if step%5 == 0 {
			for _, id := range []string{"s-0", "s-1", "s-2", "s-3"} {
				failed := 0
				if id == "s-2" && step >= 35 && step < 60 { // fails all requests: probes must find it healthy again
					failed = 20
				}
				north.Report(id, 20, failed, 80, 500)
				south.Report(id, 20, failed, 90, 500)
			}
		}
	}
	for i, p := range list {
		w.await("a table of the servers that are up", p, func(s standin.State) bool {
			return len(s.Table) > 0 && s.Table["s-0"] == 0 && (i%2 == 1 || s.Table["s-2"] > 0) // s-2 is in zone north
		})
	}
	for _, p := range superseded {
		w.await("the end of the older stream", p, func(s standin.State) bool { return s.Closed != nil })
		p.Close()
	}
	if byGRPC["s-2"].Probed() == 0 {
		t.Error("the server that changed its protocol was not probed by its new protocol")
	}
	w.checkViolations()
	for _, p := range list {
		p.Close()
	}
	w.stop()
}
