package cores

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const confirm = 400.0

func deskSettings(n int) Settings {
	return Settings{Cores: n, Zones: 2, QueueLines: 3600, LinesPerSec: 2400, ConfirmTimeout: confirm, MovesPerSecond: 4, RestartDelay: 1000}
}

// world is a desk and a host that carries its commands out, with books of its own.
type world struct {
	desk   *Assigner
	now    float64
	life   []int       // by core; 0: none
	owner  map[int]int // proxy to core
	stream map[int]uint64
	next   uint64
	told   []uint64  // epochs that a core's inbox holds
	seen   []uint64  // and those that it has looked at
	word   []float64 // time of its last word
	spoken []bool    // it has said one in this life
	behind []float64 // since when the first change that it has not looked at waits
	ended  bool      // Abort was returned
	broken string
}

func newWorld(n int) *world {
	w := &world{desk: NewAssigner(deskSettings(n), 0), life: make([]int, n), owner: map[int]int{}, stream: map[int]uint64{},
		told: make([]uint64, n), seen: make([]uint64, n), word: make([]float64, n), spoken: make([]bool,
			n), behind: make([]float64, n)}
	w.carryOut()
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *world) carryOut() {
	for _, c := range w.desk.DrainCommands() {
		switch c := c.(type) {
		case StartCore:
			if w.life[c.Core] != 0 {
				w.fail("core %d begins life %d in its life %d", c.Core, c.Incarnation, w.life[c.Core])
			}
			w.life[c.Core], w.told[c.Core], w.seen[c.Core] = c.Incarnation, c.Epoch, c.Epoch
			w.word[c.Core], w.behind[c.Core], w.spoken[c.Core] = w.now, w.now, false
		case Isolate:
			w.life[c.Core] = 0
		case Assign:
			if w.life[c.Core] != c.Incarnation {
				w.fail("proxy %d is given to core %d, which is in life %d and not %d", c.Proxy, c.Core, w.life[c.Core],
					c.Incarnation)
			}
			if at, owned := w.owner[c.Proxy]; owned && w.life[at] != 0 && w.stream[c.Proxy] == c.Stream {
				w.fail("proxy %d is given to core %d while core %d has it", c.Proxy, c.Core, at)
			}
			w.owner[c.Proxy], w.stream[c.Proxy] = c.Core, c.Stream
		case Unassign:
			if at, owned := w.owner[c.Proxy]; !owned || at != c.Core || w.stream[c.Proxy] != c.Stream {
				w.fail("proxy %d is taken from core %d, which doesn't have it", c.Proxy, c.Core)
			}
			delete(w.owner, c.Proxy)
		case UpdateList:
			if w.life[c.Core] != c.Incarnation {
				w.fail("core %d is told in life %d, which is over", c.Core, c.Incarnation)
			}
			if w.told[c.Core] == w.seen[c.Core] {
				w.behind[c.Core] = w.now
			}
			w.told[c.Core] = c.Epoch
		case Abort:
			w.ended = true
		}
	}
	live := slices.ContainsFunc(w.life, func(life int) bool { return life > 0 })
	if w.ended == live {
		w.fail("the end is told: %t, cores live: %v", w.ended, w.life)
	}
	for proxy := range w.desk.placements {
		if at, owned := w.owner[proxy]; !owned || w.life[at] == 0 {
			w.fail("proxy %d is with no live core", proxy)
		}
	}
}

// do takes one step. Its name says which.
func (w *world) do(step string, i int) {
	if w.ended {
		return
	}
	switch step {
	case "join":
		w.next++
		w.desk.HandleJoined(w.now, w.next, i, i%2, float64(1+i))
	case "leave":
		w.desk.HandleLeft(w.stream[i], i)
	case "change":
		w.desk.HandleListChange(w.now)
	case "word":
		if w.life[i] > 0 {
			w.seen[i], w.word[i], w.behind[i], w.spoken[i] = w.told[i], w.now, w.now, true
			w.desk.HandleReport(w.now, i, w.life[i], CoreReport{SeenEpoch: w.seen[i], AppliedEpoch: w.seen[i],
				ShareNumber: w.desk.budget.holders[i].number, JoinedProxies: 1})
		}
	case "old word": // it looks, and doesn't see what it was told
		if w.life[i] > 0 {
			w.word[i], w.spoken[i] = w.now, true
			w.desk.HandleReport(w.now, i, w.life[i], CoreReport{SeenEpoch: w.seen[i], AppliedEpoch: w.seen[i],
				ShareNumber: w.desk.budget.holders[i].number})
		}
	case "late word": // of a life that is over
		if w.life[i] == 0 {
			w.desk.HandleReport(w.now, i, w.desk.cores[i].incarnation, CoreReport{SeenEpoch: 1 << 40, ShareNumber: 1})
		}
	case "die":
		w.desk.HandleEnded(w.now, i, w.desk.cores[i].incarnation, "panic")
	case "tick":
		w.now += confirm / 2
		w.desk.Tick(w.now)
		w.carryOut()
		w.agree()
	}
	w.carryOut()
}

// agree checks what the desk is for: where any core is in time, no live core is late, so that every proxy is with a core
// that has taken up every change of the list within Confirm and a tick.
func (w *world) agree() {
	late := func(i int) bool {
		return w.now-w.word[i] > confirm || w.seen[i] < w.told[i] && w.now-w.behind[i] > confirm
	}
	inTime := false
	for i, life := range w.life {
		inTime = inTime || life > 0 && w.spoken[i] && !late(i)
	}
	for i, life := range w.life {
		if inTime && life > 0 && late(i) {
			w.fail("core %d is late and has proxies still, at %v", i, w.now)
		}
	}
}

func (w *world) clone() *world {
	c := *w
	desk := *w.desk
	c.desk = &desk
	desk.cores, desk.lastCores = slices.Clone(desk.cores), maps.Clone(desk.lastCores)
	desk.placements, desk.groups = maps.Clone(desk.placements), slices.Clone(desk.groups)
	for proxy, h := range desk.placements {
		copied := *h
		desk.placements[proxy] = &copied
	}
	for i := range desk.groups {
		desk.groups[i] = slices.Clone(desk.groups[i])
	}
	purse := *desk.budget
	purse.holders = slices.Clone(purse.holders)
	desk.budget = &purse
	c.life, c.told, c.seen, c.word = slices.Clone(w.life), slices.Clone(w.told), slices.Clone(w.seen), slices.Clone(w.word)
	c.spoken = slices.Clone(w.spoken)
	c.owner, c.stream, c.behind = maps.Clone(w.owner), maps.Clone(w.stream), slices.Clone(w.behind)
	return &c
}

// key tells worlds apart that go on differently.
func (w *world) key() string {
	homes := ""
	for _, proxy := range slices.Sorted(maps.Keys(w.desk.placements)) {
		h := w.desk.placements[proxy]
		homes += fmt.Sprint(proxy, *h)
	}
	return fmt.Sprint(w.now, w.life, w.owner, w.stream, w.told, w.seen, w.word, w.spoken, w.behind, w.ended, w.desk.cores,
		w.desk.lastCores, homes, w.desk.budget.holders)
}

// TestDrainAgreementExhaustively goes through every order of joins, leavings, changes of the list, words, deaths and ticks
// of two cores and two proxies, seven steps deep. It guards against two owners of a stream, a proxy with none, words and
// orders of a life that is over, and a core that is behind with the list and keeps its proxies while another is in time.
func TestDrainAgreementExhaustively(t *testing.T) {
	depth := 7
	if testing.Short() {
		depth = 5
	}
	steps := []struct {
		name string
		at   []int
	}{{"join", []int{0, 1}}, {"leave", []int{0}}, {"change", []int{0}}, {"word", []int{0, 1}}, {"old word",
		[]int{1}}, {"late word", []int{0}}, {"die", []int{0, 1}}, {"tick", []int{0}}}
	seen, count := map[string]int{}, 0
	var path []string
	var visit func(w *world, left int)
	visit = func(w *world, left int) {
		if w.broken != "" {
			t.Fatalf("after %v: %s", path, w.broken)
		}
		key := w.key()
		if was, met := seen[key]; left == 0 || met && was >= left {
			return
		}
		seen[key] = left
		count++
		for _, step := range steps {
			for _, i := range step.at {
				path = append(path, fmt.Sprint(step.name, i))
				next := w.clone()
				next.do(step.name, i)
				visit(next, left-1)
				path = path[:len(path)-1]
			}
		}
	}
	visit(newWorld(2), depth)
	t.Logf("%d worlds", count)
}

// TestDeskOverLongDays does the same at random over long days, with more cores and proxies, rests and returns.
func TestDeskOverLongDays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "cores")
		w := newWorld(n)
		stuck := make([]bool, n)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			core, proxy := rapid.IntRange(0, n-1).Draw(t, "core"), rapid.IntRange(0, 12).Draw(t, "proxy")
			switch step := rapid.SampledFrom([]string{"join", "join", "leave", "change", "words", "words", "words", "stick",
				"die", "old word", "late word", "tick", "tick", "tick"}).Draw(t, "what"); step {
			case "words":
				for i := range n {
					if !stuck[i] {
						w.do("word", i)
					}
				}
			case "stick":
				stuck[core] = !stuck[core]
			case "join", "leave":
				w.do(step, proxy)
			default:
				w.do(step, core)
			}
			if w.broken != "" {
				t.Fatal(w.broken)
			}
		}
	})
}

// TestCutCoreComesBack: it rests, doubled with each fault, begins a new life once the old one's goroutine has ended, gets a
// share of the channel before it gets proxies, and then its part of them, by few moves a second that come to an end.
func TestCutCoreComesBack(t *testing.T) {
	w := newWorld(2)
	for p := range 40 {
		w.do("join", p)
	}
	words := func() {
		for i := range w.life {
			w.do("word", i)
		}
	}
	w.do("change", 0)
	for range 4 { // core 1 says nothing
		w.do("word", 0)
		w.do("tick", 0)
	}
	if w.life[1] != 0 || w.broken != "" {
		t.Fatalf("core 1 lives: %v %s", w.life, w.broken)
	}
	for range 20 {
		words()
		w.do("tick", 0)
	}
	if w.life[1] != 0 {
		t.Fatal("core 1 begins a new life while the old one is stuck")
	}
	w.do("die", 1) // the old goroutine ends
	at := func(core int) (n int) {
		for _, home := range w.desk.placements {
			if home.core == core {
				n++
			}
		}
		return n
	}
	least := 40
	for tick := range 200 {
		words()
		before := at(1)
		w.do("tick", 0)
		if moved := at(1) - before; moved > 4 || moved > 0 && w.desk.budget.holders[1].share == 0 {
			t.Fatalf("%d proxies moved at once, share %v", moved, w.desk.budget.holders[1].share)
		}
		if tick > 100 {
			least = min(least, at(1))
		}
	}
	if w.broken != "" || w.life[1] != 2 || least < 15 || at(1) > 25 {
		t.Errorf("core 1 in life %d with %d proxies, at least %d: %s", w.life[1], at(1), least, w.broken)
	}
}

// TestHeldUpProcessCutsNobody guards against a process that stood still as a whole and then cuts off whichever core speaks
// last.
func TestHeldUpProcessCutsNobody(t *testing.T) {
	d := NewAssigner(deskSettings(4), 0)
	d.Tick(100)
	d.HandleListChange(150)
	d.Tick(9000)
	d.HandleReport(9001, 0, 1, CoreReport{SeenEpoch: 1, AppliedEpoch: 1})
	d.Tick(9020)
	for _, c := range d.DrainCommands() {
		if cut, ok := c.(Isolate); ok {
			t.Errorf("core %d was cut off: %s", cut.Core, cut.Reason)
		}
	}
}

// TestEvenUnderSkew: a few proxies that carry most of the traffic, and a storm of joins within a second.
func TestEvenUnderSkew(t *testing.T) {
	d := NewAssigner(deskSettings(4), 0)
	for p := range 400 {
		rate := 1.0
		if p%40 == 0 {
			rate = 200
		}
		d.HandleJoined(float64(p), uint64(p+1), p, p%2, rate)
	}
	for zone := range 2 {
		loads, inZone, _ := d.loads(zone)
		for i := range loads {
			if loads[i] < 90 || loads[i] > 110 || inZone[i] < 10 {
				t.Errorf("core %d has the load %v, %v of it in zone %d", i, loads[i], inZone[i], zone)
			}
		}
	}
}
