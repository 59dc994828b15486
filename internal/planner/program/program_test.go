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

// TestEndToEnd leads a planner through a drain, a broken watch, discovery down, a server that swallows requests,
// a proxy's second stream and the planner's end, and looks for what it left behind.
func TestEndToEnd(t *testing.T) {
	goroutines, descriptors := runtime.NumGoroutine(), files(t)
	f := start(t, nil, nil)
	north, south := f.proxy(0, "north"), f.proxy(1, "south")
	f.wait("the first table in the north", north, holds("s-0", "s-2"))
	f.wait("the first table in the south", south, holds("s-1", "s-3"))

	f.phase("s-1", protocol.PhaseDraining)
	f.wait("a drain", south, lacks("s-1"))
	f.phase("s-1", protocol.PhaseUp)
	f.wait("its return", south, holds("s-1"))

	f.discovery.Break()
	f.phase("s-2", protocol.PhaseRemoved)
	f.wait("a removal while the watch was broken", north, lacks("s-2"))
	f.discovery.SetDown(true)
	f.phase("s-2", protocol.PhaseUp)
	f.discovery.SetDown(false)
	f.wait("a change while discovery was down", north, holds("s-2"))

	f.discovery.Finish() // a watch that ends in good order has ended all the same
	f.phase("s-3", protocol.PhaseDraining)
	f.wait("a drain after a watch has ended in good order", south, lacks("s-3"))
	f.phase("s-3", protocol.PhaseUp)
	f.wait("its return", south, holds("s-3"))

	watches := f.discovery.Watches()
	f.discovery.Garble("{\"revision\":\n")
	f.until("a watch after one that can't be read", func() bool { return f.discovery.Watches() > watches })
	if holding := south.State(); !holds("s-1", "s-3")(holding) {
		t.Errorf("a list that can't be read changed the table: %+v", holding.Table)
	}
	watches = f.discovery.Watches()
	f.discovery.SetSilent(true)
	f.discovery.Break()
	f.until("a watch that stays silent", func() bool { return f.discovery.Watches() > watches })
	f.discovery.SetSilent(false) // for the next one
	f.phase("s-3", protocol.PhaseDraining)
	f.wait("a drain after a watch has fallen silent", south, lacks("s-3"))
	f.phase("s-3", protocol.PhaseUp)
	f.wait("its return", south, holds("s-3"))

	collector := f.collector("north")
	swallow := time.Now() // s-0 answers nothing, until it is out
	for s := north.State(); s.Table["s-0"] > 0; s = north.State() {
		if time.Since(swallow) > patience {
			t.Fatal("a server that answers nothing stays in the table")
		}
		collector.Report("s-0", 10, 10, 0, 1000)
		collector.Report("s-2", 10, 0, 100, 1000)
		time.Sleep(50 * time.Millisecond)
	}
	f.until("probes of a server that is out", func() bool { return f.servers["s-0"].Probed() >= 2 })
	f.wait("its return", north, holds("s-0"))
	if f.servers["s-3"].Probed() > 0 {
		t.Error("a server that nothing was held against was probed")
	}

	again := f.proxy(0, "north")
	f.wait("the table on a second stream", again, func(s standin.State) bool { return s.Replaced == 1 && holds("s-0", "s-2")(s) })
	old := north.Wait(func(standin.State) bool { return false })
	if old.Closed == nil {
		t.Error("the first stream goes on")
	}
	f.stop()
	for _, p := range []*standin.Proxy{again, south} {
		if s := p.State(); s.Closed != io.EOF && !strings.Contains(fmt.Sprint(s.Closed), "closed") &&
			!strings.Contains(fmt.Sprint(s.Closed), "reset") {
			t.Errorf("a stream ended with %v", s.Closed)
		}
	}
	f.until("the end of all goroutines", func() bool { return runtime.NumGoroutine() <= goroutines })
	f.until("the end of all descriptors", func() bool { return files(t) <= descriptors })
}

// TestHeartbeatWaitsForAList guards against a planner that is put to use before it can order anything.
func TestHeartbeatWaitsForAList(t *testing.T) {
	f := start(t, nil, nil)
	defer f.stop()
	nc, err := net.Dial("tcp", f.planner)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(patience))
	io.WriteString(nc, `{"t":"hb"}`+"\n")
	answer := make([]byte, len(`{"t":"hb_ok"}`)+1)
	if _, err := io.ReadFull(nc, answer); err != nil || string(answer) != `{"t":"hb_ok"}`+"\n" {
		t.Errorf("answer %q, %v", answer, err)
	}
	if f.discovery.Watches() == 0 {
		t.Error("answered before discovery was asked, with no list known")
	}
}

// TestBadPeers guards against peers that don't speak the protocol, say nothing, or go away: a proxy is served
// beside them, even where they take up every descriptor.
func TestBadPeers(t *testing.T) {
	f := start(t, func(_ *fleet, c *Config) { c.Limits.Sockets = 64 }, nil) // of which 42 are for connections
	defer f.stop()
	f.until("a list", func() bool { return f.discovery.Watches() > 0 })
	var strangers []net.Conn
	dial := func(text string) net.Conn {
		nc, err := net.Dial("tcp", f.planner)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, text)
		strangers = append(strangers, nc)
		return nc
	}
	for range 100 {
		dial("")
	}
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "{\"t\":\"odd\"}\n", strings.Repeat("x", 1<<16),
		`{"t":"attach","proxy":99,"zone":"north"}` + "\nnonsense\n"} {
		nc := dial(text)
		nc.SetReadDeadline(time.Now().Add(patience))
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
	for range 50 { // collectors that vanish and come back leave their old connections open
		dial(`{"t":"telemetry","zone":"south"}` + "\n")
	}
	f.wait("a table beside strangers", p, holds("s-0", "s-2"))
	f.phase("s-0", protocol.PhaseDraining)
	f.wait("a drain beside strangers", p, lacks("s-0"))
	late := f.proxy(1, "south")
	f.wait("a table for a proxy that comes late", late, holds("s-1", "s-3"))
	for range 100 { // reports still come through
		if err := c.Report("s-2", 10, 0, 100, 1000); err != nil {
			t.Fatal(err)
		}
	}
	for _, nc := range strangers {
		nc.Close()
	}
}

// TestReloadMoves leads a planner from one discovery to the next under a changed file, with a wrong file in between.
// Guards against a planner that ends on SIGHUP, goes on asking at an address that is closed, or misses a drain.
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
	f.wait("a table", p, holds("s-0", "s-2"))
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
		f.until("that file to be looked at", func() bool { return len(f.reloads) == 0 })
		write(strings.Replace(string(text), "127.0.0.1:8500", second.Addr(), 1))
		f.reloads <- syscall.SIGHUP
		f.until("a watch at the new address", func() bool { return second.Watches() > 0 })
		first.Close()
		f.phase("s-0", protocol.PhaseDraining)
		f.wait(fmt.Sprint("a drain told by discovery ", round+2), p, lacks("s-0"))
		f.phase("s-0", protocol.PhaseUp)
		f.wait("its return", p, holds("s-0"))
	}
}

// TestProbeResults checks what the module is told of probes that are answered, refused, silent and impossible.
func TestProbeResults(t *testing.T) {
	m := &prober{results: make(chan rules.Probed, 10)}
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
		case <-time.After(patience):
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

// prober is a module that probes each server of the first list once.
type prober struct {
	results chan rules.Probed
	asked   bool
}

func (m *prober) Step(_ float64, events []rules.Event) (actions []rules.Action) {
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

// crasher is a module that panics on its second turn.
type crasher struct{ turns int }

func (m *crasher) Step(float64, []rules.Event) []rules.Action {
	if m.turns++; m.turns > 1 {
		panic("lost the thread")
	}
	return []rules.Action{rules.Timer{Delay: 1}}
}

// TestModulePanic: a module whose state can't be trusted ends the program, with the cause.
func TestModulePanic(t *testing.T) {
	f := start(t, nil, &crasher{})
	select {
	case err := <-f.ended:
		if err == nil || !strings.Contains(err.Error(), "lost the thread") {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("the program goes on")
	}
	f.ended <- nil
	f.stop()
}
