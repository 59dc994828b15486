package program

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/rules"
)

// fleet is a planner with everything round it, on loopback.
type fleet struct {
	t         *testing.T
	discovery *standin.Discovery
	servers   map[string]*standin.Server
	members   map[string]protocol.Member
	planner   string
	cancel    context.CancelFunc
	ended     chan error
	reloads   chan os.Signal
	close     []func()
	wrap      func(core, life int, module coreModule) coreModule
}

// testTimeout is how long anything may take before a test calls it hung.
const testTimeout = 30 * time.Second

// start runs a planner with the settings of the example. Limits and module may be changed first.
func start(t *testing.T, change func(*fleet, *Config), module stepper) *fleet {
	t.Helper()
	f := &fleet{t: t, servers: map[string]*standin.Server{}, members: map[string]protocol.Member{}, ended: make(chan error, 1),
		reloads: make(chan os.Signal, 1)}
	var err error
	if f.discovery, err = standin.NewDiscovery("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	var list []protocol.Member
	for i := range 4 {
		s, err := standin.NewServer("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := protocol.Member{ID: fmt.Sprint("s-", i), Address: s.Addr(), Zone: []string{"north", "south"}[i%2], Kind: "m1",
			Phase: protocol.PhaseUp, Weight: 1}
		f.servers[m.ID], f.members[m.ID] = s, m
		list = append(list, m)
	}
	f.discovery.Change(list...)
	c, err := LoadConfig(env(envConfig, example, envListen, "127.0.0.1:0", envDiscovery, f.discovery.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(f, &c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	address := make(chan string, 1)
	go func() {
		modules := func(core, life int) coreModule { return singleCoreModule{module} }
		if module == nil {
			modules = f.modules(c)
		}
		f.ended <- run(ctx, c, modules, zerolog.New(testLog{t}), f.reloads, func(a string) { address <- a })
	}()
	select {
	case f.planner = <-address:
	case err := <-f.ended:
		t.Fatal(err)
	}
	return f
}

// modules makes the modules of the program itself, each wrapped where the test wants that.
func (f *fleet) modules(c Config) func(core, life int) coreModule {
	return func(core, life int) coreModule {
		module := coreModule(rules.New(c.Settings.Rules, c.Seed+uint64(core)))
		if f.wrap != nil {
			module = f.wrap(core, life, module)
		}
		return module
	}
}

// singleCoreModule is a module that shares its planner with nobody.
type singleCoreModule struct{ stepper }

func (singleCoreModule) OwnLoad() (rules.Part, float64) { return rules.Part{}, 0 }

// stepper is a module.
type stepper interface {
	Step(now float64, events []rules.Event) []rules.Action
}

// testLog writes log lines to the test's log.
type testLog struct{ t *testing.T }

func (l testLog) Write(p []byte) (int, error) {
	l.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

// stop ends the planner as SIGTERM does and everything else after it.
func (f *fleet) stop() {
	f.t.Helper()
	f.cancel()
	select {
	case err := <-f.ended:
		if err != nil {
			f.t.Errorf("the planner ended with %v", err)
		}
	case <-time.After(testTimeout):
		f.t.Fatal("the planner does not end")
	}
	for _, c := range f.close {
		c()
	}
	f.discovery.Close()
	for _, s := range f.servers {
		s.Close()
	}
}

func (f *fleet) proxy(number int, zone string) *standin.Proxy {
	f.t.Helper()
	p, err := standin.NewProxy(f.planner, number, zone, 20)
	if err != nil {
		f.t.Fatal(err)
	}
	f.close = append(f.close, p.Close)
	return p
}

func (f *fleet) collector(zone string) *standin.Collector {
	f.t.Helper()
	c, err := standin.NewCollector(f.planner, zone)
	if err != nil {
		f.t.Fatal(err)
	}
	f.close = append(f.close, c.Close)
	return c
}

// phase changes a server in the list.
func (f *fleet) phase(id, phase string) {
	m := f.members[id]
	m.Phase = phase
	f.discovery.Change(m)
}

// wait returns what a proxy holds once it is as wanted.
func (f *fleet) wait(what string, p *standin.Proxy, wanted func(standin.State) bool) standin.State {
	f.t.Helper()
	got := make(chan standin.State, 1)
	go func() { got <- p.Wait(wanted) }()
	select {
	case s := <-got:
		if s.Closed != nil {
			f.t.Fatalf("%s: the stream has ended: %v", what, s.Closed)
		}
		return s
	case <-time.After(testTimeout):
		f.t.Fatalf("%s: not within %v; held: %+v", what, testTimeout, p.State())
		return standin.State{}
	}
}

// until waits for something that no message tells of.
func (f *fleet) until(what string, wanted func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(testTimeout); !wanted(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

func hasServers(servers ...string) func(standin.State) bool {
	return func(s standin.State) bool {
		for _, id := range servers {
			if s.Table[id] == 0 {
				return false
			}
		}
		return true
	}
}

func lacksServer(server string) func(standin.State) bool {
	return func(s standin.State) bool { return s.Replaced > 0 && s.Table[server] == 0 }
}

func openDescriptors(t *testing.T) int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no list of descriptors on this system")
	}
	return len(entries)
}
