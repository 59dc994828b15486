package cores

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const confirmTimeout = 400.0 // milliseconds

func testSettings(n int) Settings {
	return Settings{Cores: n, Zones: 2, QueueLines: 3600, LinesPerSec: 2400, ConfirmTimeout: confirmTimeout, MovesPerSecond: 4,
		RestartDelay: 1000}
}

// assignerModel runs an Assigner and a simulated host that executes its commands and keeps its own record of the expected
// state.
type assignerModel struct {
	assigner     *Assigner
	now          float64
	incarnations []int       // by core; 0 while it is isolated
	owners       map[int]int // core by proxy
	streams      map[int]uint64
	lastStream   uint64
	sentEpochs   []uint64  // latest list epoch sent to each core
	seenEpochs   []uint64  // latest list epoch that each core has processed
	reportTimes  []float64 // time of each core's last report
	hasReported  []bool    // the core has reported in this incarnation
	pendingSince []float64 // time of the oldest list change that the core has not processed
	aborted      bool      // Abort was returned
	failure      string
}

func newAssignerModel(n int) *assignerModel {
	m := &assignerModel{assigner: NewAssigner(testSettings(n), 0), incarnations: make([]int, n), owners: map[int]int{},
		streams: map[int]uint64{}, sentEpochs: make([]uint64, n), seenEpochs: make([]uint64, n),
		reportTimes: make([]float64, n), hasReported: make([]bool, n), pendingSince: make([]float64, n)}
	m.applyCommands()
	return m
}

func (m *assignerModel) fail(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

func (m *assignerModel) applyCommands() {
	for _, c := range m.assigner.DrainCommands() {
		switch c := c.(type) {
		case StartCore:
			if m.incarnations[c.Core] != 0 {
				m.fail("core %d starts incarnation %d while incarnation %d is live", c.Core, c.Incarnation,
					m.incarnations[c.Core])
			}
			m.incarnations[c.Core], m.sentEpochs[c.Core], m.seenEpochs[c.Core] = c.Incarnation, c.Epoch, c.Epoch
			m.reportTimes[c.Core], m.pendingSince[c.Core], m.hasReported[c.Core] = m.now, m.now, false
		case Isolate:
			m.incarnations[c.Core] = 0
		case Assign:
			if m.incarnations[c.Core] != c.Incarnation {
				m.fail("proxy %d is assigned to core %d, whose incarnation is %d and not %d", c.Proxy, c.Core,
					m.incarnations[c.Core], c.Incarnation)
			}
			if at, owned := m.owners[c.Proxy]; owned && m.incarnations[at] != 0 && m.streams[c.Proxy] == c.Stream {
				m.fail("proxy %d is assigned to core %d while core %d owns it", c.Proxy, c.Core, at)
			}
			m.owners[c.Proxy], m.streams[c.Proxy] = c.Core, c.Stream
		case Unassign:
			if at, owned := m.owners[c.Proxy]; !owned || at != c.Core || m.streams[c.Proxy] != c.Stream {
				m.fail("proxy %d is unassigned from core %d, which doesn't own it", c.Proxy, c.Core)
			}
			delete(m.owners, c.Proxy)
		case UpdateList:
			if m.incarnations[c.Core] != c.Incarnation {
				m.fail("core %d gets a list change for incarnation %d, which has ended", c.Core, c.Incarnation)
			}
			if m.sentEpochs[c.Core] == m.seenEpochs[c.Core] {
				m.pendingSince[c.Core] = m.now
			}
			m.sentEpochs[c.Core] = c.Epoch
		case Abort:
			m.aborted = true
		}
	}
	live := slices.ContainsFunc(m.incarnations, func(incarnation int) bool { return incarnation > 0 })
	if m.aborted == live {
		m.fail("aborted: %t, incarnations: %v", m.aborted, m.incarnations)
	}
	for proxy := range m.assigner.placements {
		if at, owned := m.owners[proxy]; !owned || m.incarnations[at] == 0 {
			m.fail("proxy %d is assigned to no live core", proxy)
		}
	}
}

// apply executes the named step for a proxy or a core.
func (m *assignerModel) apply(step string, i int) {
	if m.aborted {
		return
	}
	switch step {
	case "join":
		m.lastStream++
		m.assigner.HandleJoined(m.now, m.lastStream, i, i%2, float64(1+i))
	case "leave":
		m.assigner.HandleLeft(m.streams[i], i)
	case "change":
		m.assigner.HandleListChange(m.now)
	case "report":
		if m.incarnations[i] > 0 {
			m.seenEpochs[i], m.reportTimes[i], m.pendingSince[i], m.hasReported[i] = m.sentEpochs[i], m.now, m.now, true
			m.assigner.HandleReport(m.now, i, m.incarnations[i], CoreReport{SeenEpoch: m.seenEpochs[i],
				AppliedEpoch: m.seenEpochs[i], ShareNumber: m.assigner.budget.holders[i].shareNumber, JoinedProxies: 1})
		}
	case "stale report": // without having processed the latest list change
		if m.incarnations[i] > 0 {
			m.reportTimes[i], m.hasReported[i] = m.now, true
			m.assigner.HandleReport(m.now, i, m.incarnations[i], CoreReport{SeenEpoch: m.seenEpochs[i],
				AppliedEpoch: m.seenEpochs[i], ShareNumber: m.assigner.budget.holders[i].shareNumber})
		}
	case "late report": // of an incarnation that has ended
		if m.incarnations[i] == 0 {
			m.assigner.HandleReport(m.now, i, m.assigner.cores[i].incarnation, CoreReport{SeenEpoch: 1 << 40, ShareNumber: 1})
		}
	case "exit":
		m.assigner.HandleEnded(m.now, i, m.assigner.cores[i].incarnation, "panic")
	case "tick":
		m.now += confirmTimeout / 2
		m.assigner.Tick(m.now)
		m.applyCommands()
		m.checkLateCores()
	}
	m.applyCommands()
}

// checkLateCores checks that no live core is late if any core is on time. Every proxy is then at a core that has processed
// every list change within ConfirmTimeout and one tick.
func (m *assignerModel) checkLateCores() {
	late := func(i int) bool {
		return m.now-m.reportTimes[i] > confirmTimeout ||
			m.seenEpochs[i] < m.sentEpochs[i] && m.now-m.pendingSince[i] > confirmTimeout
	}
	onTime := false
	for i, incarnation := range m.incarnations {
		onTime = onTime || incarnation > 0 && m.hasReported[i] && !late(i)
	}
	for i, incarnation := range m.incarnations {
		if onTime && incarnation > 0 && late(i) {
			m.fail("core %d is late and not isolated at %v", i, m.now)
		}
	}
}

func (m *assignerModel) clone() *assignerModel {
	c := *m
	assigner := *m.assigner
	c.assigner = &assigner
	assigner.cores, assigner.lastCores = slices.Clone(assigner.cores), maps.Clone(assigner.lastCores)
	assigner.placements, assigner.groups = maps.Clone(assigner.placements), slices.Clone(assigner.groups)
	for proxy, placed := range assigner.placements {
		copied := *placed
		assigner.placements[proxy] = &copied
	}
	for i := range assigner.groups {
		assigner.groups[i] = slices.Clone(assigner.groups[i])
	}
	budget := *assigner.budget
	budget.holders = slices.Clone(budget.holders)
	assigner.budget = &budget
	c.incarnations, c.sentEpochs, c.seenEpochs, c.reportTimes = slices.Clone(m.incarnations), slices.Clone(m.sentEpochs),
		slices.Clone(m.seenEpochs), slices.Clone(m.reportTimes)
	c.hasReported = slices.Clone(m.hasReported)
	c.owners, c.streams, c.pendingSince = maps.Clone(m.owners), maps.Clone(m.streams), slices.Clone(m.pendingSince)
	return &c
}

// fingerprint returns a key that differs for states with different futures.
func (m *assignerModel) fingerprint() string {
	placements := ""
	for _, proxy := range slices.Sorted(maps.Keys(m.assigner.placements)) {
		placed := m.assigner.placements[proxy]
		placements += fmt.Sprint(proxy, *placed)
	}
	return fmt.Sprint(m.now, m.incarnations, m.owners, m.streams, m.sentEpochs, m.seenEpochs, m.reportTimes, m.hasReported,
		m.pendingSince, m.aborted, m.assigner.cores, m.assigner.lastCores, placements, m.assigner.budget.holders)
}

// TestAssignerExhaustively visits every order of joins, leaves, list changes, reports, exits and ticks of two cores and two
// proxies, seven steps deep. It guards against two owners of a stream, a proxy without an owner, reports and commands of an
// incarnation that has ended, and a core that is behind with the list and keeps its proxies while another is on time.
func TestAssignerExhaustively(t *testing.T) {
	depth := 7
	if testing.Short() {
		depth = 5
	}
	steps := []struct {
		name string
		at   []int
	}{{"join", []int{0, 1}}, {"leave", []int{0}}, {"change", []int{0}}, {"report", []int{0, 1}},
		{"stale report", []int{1}}, {"late report", []int{0}}, {"exit", []int{0, 1}}, {"tick", []int{0}}}
	seen, count := map[string]int{}, 0
	var path []string
	var visit func(model *assignerModel, left int)
	visit = func(model *assignerModel, left int) {
		if model.failure != "" {
			t.Fatalf("after %v: %s", path, model.failure)
		}
		key := model.fingerprint()
		if was, met := seen[key]; left == 0 || met && was >= left {
			return
		}
		seen[key] = left
		count++
		for _, step := range steps {
			for _, i := range step.at {
				path = append(path, fmt.Sprint(step.name, i))
				next := model.clone()
				next.apply(step.name, i)
				visit(next, left-1)
				path = path[:len(path)-1]
			}
		}
	}
	visit(newAssignerModel(2), depth)
	t.Logf("%d states visited", count)
}

// TestAssignerRandomly checks the same properties on long random sequences with more cores and proxies, restart delays and
// returning proxies.
func TestAssignerRandomly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "cores")
		model := newAssignerModel(n)
		stalled := make([]bool, n)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			core, proxy := rapid.IntRange(0, n-1).Draw(t, "core"), rapid.IntRange(0, 12).Draw(t, "proxy")
			switch step := rapid.SampledFrom([]string{"join", "join", "leave", "change", "reports", "reports",
				"reports", "stall", "exit", "stale report", "late report", "tick", "tick", "tick"}).Draw(t, "step"); step {
			case "reports":
				for i := range n {
					if !stalled[i] {
						model.apply("report", i)
					}
				}
			case "stall":
				stalled[core] = !stalled[core]
			case "join", "leave":
				model.apply(step, proxy)
			default:
				model.apply(step, core)
			}
			if model.failure != "" {
				t.Fatal(model.failure)
			}
		}
	})
}

// TestIsolatedCoreRestarts checks that an isolated core restarts after a delay that doubles with each fault, but not before the
// goroutine of its old incarnation has ended; that it gets a share of the channel before it is assigned proxies; and that
// rebalancing then gives it its part of the proxies by a limited number of moves per second, and ends.
func TestIsolatedCoreRestarts(t *testing.T) {
	model := newAssignerModel(2)
	for p := range 40 {
		model.apply("join", p)
	}
	reportAll := func() {
		for i := range model.incarnations {
			model.apply("report", i)
		}
	}
	model.apply("change", 0)
	for range 4 { // core 1 doesn't report
		model.apply("report", 0)
		model.apply("tick", 0)
	}
	if model.incarnations[1] != 0 || model.failure != "" {
		t.Fatalf("core 1 is not isolated: incarnations %v %s", model.incarnations, model.failure)
	}
	for range 20 {
		reportAll()
		model.apply("tick", 0)
	}
	if model.incarnations[1] != 0 {
		t.Fatal("core 1 starts a new incarnation while the goroutine of the old one has not ended")
	}
	model.apply("exit", 1) // the goroutine of the old incarnation ends
	proxiesOf := func(core int) (n int) {
		for _, placed := range model.assigner.placements {
			if placed.core == core {
				n++
			}
		}
		return n
	}
	least := 40
	for tick := range 200 {
		reportAll()
		before := proxiesOf(1)
		model.apply("tick", 0)
		if moved := proxiesOf(1) - before; moved > 4 || moved > 0 && model.assigner.budget.holders[1].share == 0 {
			t.Fatalf("%d proxies moved at once, share %v", moved, model.assigner.budget.holders[1].share)
		}
		if tick > 100 {
			least = min(least, proxiesOf(1))
		}
	}
	if model.failure != "" || model.incarnations[1] != 2 || least < 15 || proxiesOf(1) > 25 {
		t.Errorf("core 1 in incarnation %d with %d proxies, at least %d: %s", model.incarnations[1],
			proxiesOf(1), least, model.failure)
	}
}

// TestStalledProcessIsolatesNoCore guards against isolating the cores that report last after the whole process was suspended.
func TestStalledProcessIsolatesNoCore(t *testing.T) {
	assigner := NewAssigner(testSettings(4), 0)
	assigner.Tick(100)
	assigner.HandleListChange(150)
	assigner.Tick(9000)
	assigner.HandleReport(9001, 0, 1, CoreReport{SeenEpoch: 1, AppliedEpoch: 1})
	assigner.Tick(9020)
	for _, c := range assigner.DrainCommands() {
		if isolate, ok := c.(Isolate); ok {
			t.Errorf("core %d was isolated: %s", isolate.Core, isolate.Reason)
		}
	}
}

// TestEvenUnderSkew checks that the load is even when a few proxies carry most of the traffic and 400 join within a second.
func TestEvenUnderSkew(t *testing.T) {
	assigner := NewAssigner(testSettings(4), 0)
	for p := range 400 {
		rate := 1.0
		if p%40 == 0 {
			rate = 200
		}
		assigner.HandleJoined(float64(p), uint64(p+1), p, p%2, rate)
	}
	for zone := range 2 {
		loads, inZone, _ := assigner.loads(zone)
		for i := range loads {
			if loads[i] < 90 || loads[i] > 110 || inZone[i] < 10 {
				t.Errorf("core %d has the load %v, %v of it in zone %d", i, loads[i], inZone[i], zone)
			}
		}
	}
}
