package program

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/rules"
)

// startOnCores starts a planner on n cores, with enough proxies for them.
func startOnCores(t *testing.T, n int, wrap func(core, incarnation int, module coreModule) coreModule) *fleet {
	return start(t, func(f *fleet, c *Config) {
		f.wrap = wrap
		c.Options.Cores.Count, c.Options.Cores.MovesPerSecond, c.Options.Cores.RestartDelayMS, c.Limits.Cores = n, 8, 300,
			float64(n)
		c.Settings.Rules.Proxies = 8 * n
	}, nil)
}

// join lets proxies 0 to n-1 join and waits until each has a complete table.
func (f *fleet) join(n int) (list []*standin.Proxy) {
	for i := range n {
		list = append(list, f.proxy(i, []string{"north", "south"}[i%2]))
	}
	for _, p := range list {
		f.wait("a complete table", p, func(s standin.State) bool { return s.Replaced > 0 && len(s.Table) > 0 })
	}
	return list
}

// stallableModule is a module whose next round can be blocked or made to panic, as if its core stalled or failed.
type stallableModule struct {
	coreModule
	hold   atomic.Pointer[chan struct{}]
	panic  atomic.Bool
	rounds atomic.Int64
}

func (s *stallableModule) Step(now float64, events []rules.Event) []rules.Action {
	if s.panic.Load() {
		panic("corrupt state")
	}
	if hold := s.hold.Load(); hold != nil {
		<-*hold
	}
	s.rounds.Add(1)
	return s.coreModule.Step(now, events)
}

// newStallableModules returns a function that wraps the modules of a fleet's cores, and the list of each core's first module.
func newStallableModules(n int) ([]*stallableModule, func(core, incarnation int, module coreModule) coreModule) {
	list := make([]*stallableModule, n)
	return list, func(core, incarnation int, module coreModule) coreModule {
		s := &stallableModule{coreModule: module}
		if incarnation == 1 {
			list[core] = s
		}
		return s
	}
}

func TestDrainReachesEveryCore(t *testing.T) {
	f := startOnCores(t, 4, nil)
	defer f.stop()
	proxies := f.join(16)
	f.phase("s-2", "draining")
	for _, p := range proxies {
		f.wait("a table without the draining server", p, lacksServer("s-2"))
	}
	f.phase("s-2", "up")
	f.phase("s-3", "removed")
	for _, p := range proxies {
		f.wait("a table without the removed server", p, lacksServer("s-3"))
	}
}

// TestStalledCoreLosesItsProxies guards against a core that stalls while a server drains, so that its proxies keep sending
// there. Other cores take them over within the grace, later assignments of the stalled core are dropped, and it is restarted.
func TestStalledCoreLosesItsProxies(t *testing.T) {
	modules, wrap := newStallableModules(2)
	f := startOnCores(t, 2, wrap)
	defer f.stop()
	proxies := f.join(16)
	hold := make(chan struct{})
	modules[1].hold.Store(&hold)
	f.phase("s-2", "draining")
	begun := time.Now()
	for _, p := range proxies {
		f.wait("a table without the draining server", p, lacksServer("s-2"))
	}
	t.Logf("all tables exclude it after %v of a 2 s grace", time.Since(begun))
	rounds := modules[1].rounds.Load()
	close(hold)
	f.until("the stalled core's last round", func() bool { return modules[1].rounds.Load() > rounds })
	f.phase("s-3", "draining")
	for _, p := range proxies {
		s := f.wait("a table without the other draining server", p, lacksServer("s-3"))
		if s.Table["s-2"] > 0 {
			t.Errorf("proxy %d has the first draining server again: %v", p.Number, s.Table)
		}
	}
}

// TestPanicOfOneCore checks that a panic isolates its core, that the others take its proxies and the program continues. A panic
// of the last core ends the program, as with a single core.
func TestPanicOfOneCore(t *testing.T) {
	modules, wrap := newStallableModules(2)
	f := startOnCores(t, 2, wrap)
	proxies := f.join(16)
	modules[0].panic.Store(true)
	f.until("the first incarnation has ended", func() bool {
		total := 0
		for _, p := range proxies {
			total += p.State().Replaced
		}
		return total > len(proxies)
	})
	f.phase("s-1", "draining")
	for _, p := range proxies {
		f.wait("a table without the draining server", p, lacksServer("s-1"))
	}
	f.stop()

	f = startOnCores(t, 2, func(core, incarnation int, module coreModule) coreModule {
		s := &stallableModule{coreModule: module}
		s.panic.Store(true)
		return s
	})
	select {
	case err := <-f.ended:
		if err == nil || !strings.Contains(err.Error(), "no core is left") || !strings.Contains(err.Error(), "corrupt state") {
			t.Errorf("ended with %v; want the cause", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the program continues without a core")
	}
	f.ended <- nil
	f.stop()
}

// TestRejoinOnCores checks that a newer stream of a proxy closes the older one, whichever core serves it.
func TestRejoinOnCores(t *testing.T) {
	f := startOnCores(t, 2, nil)
	defer f.stop()
	proxies := f.join(16)
	for _, old := range proxies[:4] {
		newer := f.proxy(old.Number, "north")
		f.wait("a complete table", newer, func(s standin.State) bool { return s.Replaced > 0 && len(s.Table) > 0 })
		f.until("the end of the older stream", func() bool { return old.State().Closed != nil })
	}
	f.phase("s-0", "draining")
	for _, p := range proxies[4:] {
		f.wait("a table without the draining server", p, lacksServer("s-0"))
	}
}

// TestHalfOfProxiesLeave checks that after half of the proxies have left, the others are still served and get at most one more
// complete table. The tests of package cores cover how the load of the cores is balanced then.
func TestHalfOfProxiesLeave(t *testing.T) {
	f := startOnCores(t, 2, nil)
	defer f.stop()
	proxies := f.join(16)
	for _, p := range proxies[8:] {
		p.Close()
	}
	f.phase("s-0", "draining")
	for _, p := range proxies[:8] {
		s := f.wait("a table without the draining server", p, lacksServer("s-0"))
		if s.Replaced > 2 {
			t.Errorf("proxy %d got %d complete tables", p.Number, s.Replaced)
		}
	}
}

// TestReloadAndEndOnCores checks that SIGHUP changes the discovery address for all cores, so that a drain announced at the new
// address reaches each of them, and that the planner ends promptly although a core is stuck.
func TestReloadAndEndOnCores(t *testing.T) {
	path := filepath.Join(t.TempDir(), "planner.json")
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
	modules, wrap := newStallableModules(2)
	f := start(t, func(f *fleet, c *Config) {
		f.wrap = wrap
		c.Options.Cores = options.Cores{Count: 2, RestartDelayMS: 300}
		c.Limits.Cores, c.Settings.Rules.Proxies = 2, 16
		c.getenv = env(envConfig, path, envListen, "127.0.0.1:0", envDiscovery, c.Discovery)
	}, nil)
	proxies := f.join(16)
	second, err := standin.NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	first := f.discovery
	second.Change(slices.Collect(maps.Values(f.members))...)
	f.discovery = second
	write(strings.Replace(string(text), "127.0.0.1:8500", second.Addr(), 1))
	f.reloads <- syscall.SIGHUP
	f.until("a watch at the new address", func() bool { return second.Watches() > 0 })
	first.Close()
	for i := range 3 {
		f.phase(fmt.Sprint("s-", i), "draining")
	}
	for _, p := range proxies {
		f.wait("only the last server", p, func(s standin.State) bool { return len(s.Table) == 1 && s.Table["s-3"] > 0 })
	}
	hold := make(chan struct{})
	defer close(hold)
	modules[0].hold.Store(&hold)
	f.stop()
}

func TestCoreCount(t *testing.T) {
	var c Config
	c.Settings.Rules.Proxies = 64
	for _, tc := range []struct {
		set     int
		granted float64
		want    int
	}{{0, 0, 1}, {-3, 0, 1}, {4, 0, 4}, {4, 1, 1}, {4, 0.25, 1}, {4, 2.5, 3}, {64, 64, 8}} {
		c.Options.Cores.Count, c.Limits.Cores = tc.set, tc.granted
		if n, cut := coreCount(c); n != tc.want || (cut != "") != (tc.set > n) {
			t.Errorf("%d set, %v granted: %d, cut by %q; want %d", tc.set, tc.granted, n, cut, tc.want)
		}
	}
}
