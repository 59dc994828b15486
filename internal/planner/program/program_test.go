package program

import (
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/rules"
)

// TestEndToEnd runs a planner through a drain, a broken watch, a discovery outage, a server that fails all requests, a proxy's
// second stream and the shutdown, and checks for leaked goroutines and descriptors.
func TestEndToEnd(t *testing.T) {
	goroutines, descriptors := runtime.NumGoroutine(), openDescriptors(t)
	f := start(t, nil, nil)
	north, south := f.proxy(0, "north"), f.proxy(1, "south")
	f.wait("the first table in the north", north, hasServers("s-0", "s-2"))
	f.wait("the first table in the south", south, hasServers("s-1", "s-3"))

	f.phase("s-1", protocol.PhaseDraining)
	f.wait("a drain", south, lacksServer("s-1"))
	f.phase("s-1", protocol.PhaseUp)
	f.wait("its return", south, hasServers("s-1"))

	f.discovery.Break()
	f.phase("s-2", protocol.PhaseRemoved)
	f.wait("a removal while the watch was broken", north, lacksServer("s-2"))
	f.discovery.SetDown(true)
	f.phase("s-2", protocol.PhaseUp)
	f.discovery.SetDown(false)
	f.wait("a change while discovery was down", north, hasServers("s-2"))

	f.discovery.Finish() // a watch that ends normally must be restarted too
	f.phase("s-3", protocol.PhaseDraining)
	f.wait("a drain after a watch has ended normally", south, lacksServer("s-3"))
	f.phase("s-3", protocol.PhaseUp)
	f.wait("its return", south, hasServers("s-3"))

	watches := f.discovery.Watches()
	f.discovery.Garble("{\"revision\":\n")
	f.until("a watch after one that can't be read", func() bool { return f.discovery.Watches() > watches })
	if holding := south.State(); !hasServers("s-1", "s-3")(holding) {
		t.Errorf("an invalid list changed the table: %+v", holding.Table)
	}
	watches = f.discovery.Watches()
	f.discovery.SetSilent(true)
	f.discovery.Break()
	f.until("a watch that stays silent", func() bool { return f.discovery.Watches() > watches })
	f.discovery.SetSilent(false) // for the next one
	f.phase("s-3", protocol.PhaseDraining)
	f.wait("a drain after a watch has fallen silent", south, lacksServer("s-3"))
	f.phase("s-3", protocol.PhaseUp)
	f.wait("its return", south, hasServers("s-3"))

	collector := f.collector("north")
	started := time.Now() // s-0 fails all requests until it is ejected
	for s := north.State(); s.Table["s-0"] > 0; s = north.State() {
		if time.Since(started) > testTimeout {
			t.Fatal("a server that fails all requests stays in the table")
		}
		collector.Report("s-0", 10, 10, 0, 1000)
		collector.Report("s-2", 10, 0, 100, 1000)
		time.Sleep(50 * time.Millisecond)
	}
	f.until("probes of an ejected server", func() bool { return f.servers["s-0"].Probed() >= 2 })
	f.wait("its return", north, hasServers("s-0"))
	if f.servers["s-3"].Probed() > 0 {
		t.Error("a healthy server was probed")
	}

	again := f.proxy(0, "north")
	f.wait("the table on a second stream", again, func(s standin.State) bool {
		return s.Replaced == 1 && hasServers("s-0", "s-2")(s)
	})
	old := north.Wait(func(standin.State) bool { return false })
	if old.Closed == nil {
		t.Error("the first stream stays open")
	}
	f.stop()
	for _, p := range []*standin.Proxy{again, south} {
		if s := p.State(); s.Closed != io.EOF && !strings.Contains(fmt.Sprint(s.Closed), "closed") &&
			!strings.Contains(fmt.Sprint(s.Closed), "reset") {
			t.Errorf("a stream ended with %v", s.Closed)
		}
	}
	f.until("the end of all goroutines", func() bool { return runtime.NumGoroutine() <= goroutines })
	f.until("the closing of all descriptors", func() bool { return openDescriptors(t) <= descriptors })
}

// TestHeartbeatWaitsForAList guards against a planner that reports to be ready before it can make assignments.
func TestHeartbeatWaitsForAList(t *testing.T) {
	f := start(t, nil, nil)
	defer f.stop()
	nc, err := net.Dial("tcp", f.planner)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(nc, `{"t":"hb"}`+"\n")
	answer := make([]byte, len(`{"t":"hb_ok"}`)+1)
	if _, err := io.ReadFull(nc, answer); err != nil || string(answer) != `{"t":"hb_ok"}`+"\n" {
		t.Errorf("answer %q, %v", answer, err)
	}
	if f.discovery.Watches() == 0 {
		t.Error("answered before discovery was asked, with no list known")
	}
}

// TestBadPeers guards against peers that violate the protocol, send nothing, or disconnect: proxies must still be served, even
// if such peers use up all descriptors.
func TestBadPeers(t *testing.T) {
	f := start(t, func(_ *fleet, c *Config) { c.Limits.Sockets = 64 }, nil) // 42 of them for connections
	defer f.stop()
	f.until("a list", func() bool { return f.discovery.Watches() > 0 })
	var unidentified []net.Conn
	dial := func(text string) net.Conn {
		nc, err := net.Dial("tcp", f.planner)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, text)
		unidentified = append(unidentified, nc)
		return nc
	}
	for range 100 {
		dial("")
	}
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "{\"t\":\"odd\"}\n", strings.Repeat("x", 1<<16),
		`{"t":"attach","proxy":99,"zone":"north"}` + "\nnonsense\n"} {
		nc := dial(text)
		nc.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := nc.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("%.30q: the connection stays: %v", text, err)
		}
	}
	p := f.proxy(0, "north")
	p.WriteLine(`["nonsense"]`)
	p.WriteLine(`{"t":"client_stats","proxy":0,"class":"odd","tries":1}`)
	p.WriteLine(`{"t":"done","proxy":0,"mark":77777}`)
	c := f.collector("north")
	for range 50 {
		dial("")
	}
	for range 50 { // collectors that reconnect without closing their old connections
		dial(`{"t":"telemetry","zone":"south"}` + "\n")
	}
	f.wait("a table despite unidentified peers", p, hasServers("s-0", "s-2"))
	f.phase("s-0", protocol.PhaseDraining)
	f.wait("a drain despite unidentified peers", p, lacksServer("s-0"))
	late := f.proxy(1, "south")
	f.wait("a table for a proxy that joins late", late, hasServers("s-1", "s-3"))
	for range 100 { // reports are still accepted
		if err := c.Report("s-2", 10, 0, 100, 1000); err != nil {
			t.Fatal(err)
		}
	}
	for _, nc := range unidentified {
		nc.Close()
	}
}

// TestReloadMoves changes the discovery address in the file several times, with an invalid file in between. It guards against a
// planner that ends on SIGHUP, keeps using a closed address, or misses a drain.
func TestReloadMoves(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(string(text))
	f := start(t, func(_ *fleet, c *Config) {
		c.getenv = env(envConfig, path, envListen, "127.0.0.1:0", envDiscovery, c.Discovery)
	}, nil)
	defer f.stop()
	p := f.proxy(0, "north")
	f.wait("a table", p, hasServers("s-0", "s-2"))
	for round := range 3 {
		second, err := standin.NewDiscovery("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		first := f.discovery
		second.Change(slices.Collect(maps.Values(f.members))...)
		f.discovery = second
		write(string(text[:len(text)/2])) // half written
		f.reloads <- syscall.SIGHUP
		f.until("the invalid file to be read", func() bool { return len(f.reloads) == 0 })
		write(strings.Replace(string(text), "127.0.0.1:8500", second.Addr(), 1))
		f.reloads <- syscall.SIGHUP
		f.until("a watch at the new address", func() bool { return second.Watches() > 0 })
		first.Close()
		f.phase("s-0", protocol.PhaseDraining)
		f.wait(fmt.Sprint("a drain announced by discovery ", round+2), p, lacksServer("s-0"))
		f.phase("s-0", protocol.PhaseUp)
		f.wait("its return", p, hasServers("s-0"))
	}
}

// TestProbeResults checks the results that the module gets for probes that are answered, refused, unanswered and unable to
// connect.
func TestProbeResults(t *testing.T) {
	m := &probingModule{results: make(chan rules.Probed, 10)}
	f := start(t, func(f *fleet, _ *Config) {
		f.servers["s-1"].Set(http.StatusServiceUnavailable, "")
		f.servers["s-2"].Set(0, "")
		f.servers["s-3"].Close()
		delete(f.servers, "s-3")
	}, m)
	defer f.stop()
	got := map[rules.ServerID]rules.Probed{}
	for range 4 {
		select {
		case r := <-m.results:
			got[r.Server] = r
		case <-time.After(testTimeout):
			t.Fatalf("results so far: %+v", got)
		}
	}
	for id, want := range []rules.Probed{{OK: true, Load: []float64{0.1, 0}}, {Refused: true}, {}, {}} {
		r := got[rules.ServerID(id)]
		if r.OK != want.OK || r.Refused != want.Refused || fmt.Sprint(r.Load) != fmt.Sprint(want.Load) {
			t.Errorf("server %d: %+v, want %+v", id, r, want)
		}
	}
}

// probingModule is a module that probes each server of the first list once.
type probingModule struct {
	results chan rules.Probed
	asked   bool
}

func (m *probingModule) Step(_ float64, events []rules.Event) (actions []rules.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case rules.List:
			for _, s := range e.Servers {
				actions = append(actions, rules.Probe{Server: s.ID})
			}
		case rules.Probed:
			m.results <- e
		}
	}
	if !m.asked {
		m.asked = true
		actions = append(actions, rules.Watch{})
	}
	return actions
}

// panickingModule is a module that panics in its second step.
type panickingModule struct{ steps int }

func (m *panickingModule) Step(float64, []rules.Event) []rules.Action {
	if m.steps++; m.steps > 1 {
		panic("invalid state")
	}
	return []rules.Action{rules.Timer{Delay: 1}}
}

// TestModulePanic checks that a panic of the only module ends the program with the cause, since its state can't be trusted.
func TestModulePanic(t *testing.T) {
	f := start(t, nil, &panickingModule{})
	select {
	case err := <-f.ended:
		if err == nil || !strings.Contains(err.Error(), "invalid state") {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("the program continues")
	}
	f.ended <- nil
	f.stop()
}
