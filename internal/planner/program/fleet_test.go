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

// fleet is a planner with discovery, servers and peers on loopback.
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
	wrap      func(core, incarnation int, module coreModule) coreModule
}

// testTimeout is how long a test waits for any one condition.
const testTimeout = 30 * time.Second

// start runs a planner with the example configuration, which change may modify first. A nil module stands for the program's
// own modules.
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
		modules := func(core, incarnation int) coreModule { return singleCoreModule{module} }
		if module == nil {
			modules = f.modules(c)
		}
		f.ended <- run(ctx, c, modules, zerolog.New(testLog{t}), f.reloads, func(a string) { address <- a })
	}()
	select {
	case f.planner = <-address:
	case err := <-f.ended:
		select {
		case f.planner = <-address: // it has started, and ended before this goroutine got its address
			f.ended <- err
		default:
			t.Fatal(err)
		}
	}
	return f
}

// modules returns a function that creates the program's own modules, each wrapped by f.wrap if that is set.
func (f *fleet) modules(c Config) func(core, incarnation int) coreModule {
	return func(core, incarnation int) coreModule {
		module := coreModule(rules.New(c.Settings.Rules, c.Seed+uint64(core)))
		if f.wrap != nil {
			module = f.wrap(core, incarnation, module)
		}
		return module
	}
}

// singleCoreModule is a module that runs on the only core.
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

// stop ends the planner as SIGTERM does, and then everything else.
func (f *fleet) stop() {
	f.t.Helper()
	f.cancel()
	select {
	case err := <-f.ended:
		if err != nil {
			f.t.Errorf("the planner ended with %v", err)
		}
	case <-time.After(testTimeout):
		f.t.Fatal("the planner did not end")
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

// phase changes the phase of a server in discovery's list.
func (f *fleet) phase(id, phase string) {
	m := f.members[id]
	m.Phase = phase
	f.discovery.Change(m)
}

// wait returns a proxy's state once it is as wanted. It fails the test if the stream ends first.
func (f *fleet) wait(what string, p *standin.Proxy, wanted func(standin.State) bool) standin.State {
	f.t.Helper()
	got := make(chan standin.State, 1)
	go func() { got <- p.Wait(wanted) }()
	select {
	case s := <-got:
		if s.Closed != nil {
			f.t.Fatalf("%s: the stream ended: %v", what, s.Closed)
		}
		return s
	case <-time.After(testTimeout):
		f.t.Fatalf("%s: not within %v; held: %+v", what, testTimeout, p.State())
		return standin.State{}
	}
}

// until polls for a condition that no message reports.
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
