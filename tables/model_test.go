package tables

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// message is an update in the channel.
type message struct {
	update    Update
	corrupted bool
}

// world is one world: a planner in one of its lives, a channel that loses, doubles, reorders and corrupts, and a receiver.
type world struct {
	incarnation uint64
	sender      *Sender
	channel     []message
	receiver    Receiver
	faultsLeft  int // of troubles that may still happen
	sent        map[Version]Table
	newestHeld  uint64 // the receiver's, in this life
	now         float64
}

const testProxy = 1

// tablesByIncarnation are the tables that each life sends, in order.
var tablesByIncarnation = [][]map[string]float32{
	{{"a": 1}, {"a": 1, "b": 1}, {"b": 2}},
	{{"c": 1}, {"a": 1, "c": 1}, {"a": 1}},
}

func originOf(life uint64) Origin { return Origin{Instance: "n0", Incarnation: life + 1} }

func tableOf(weights map[string]float32) Table {
	t := New()
	for name, w := range weights {
		t.Weights[name] = w
	}
	return t
}

func newWorld(f disabledChecks) *world {
	m := &world{sender: NewSender(originOf(0), testProxy, nil), receiver: *NewReceiver(testProxy, nil), faultsLeft: 3,
		sent: map[Version]Table{}}
	m.receiver.disabled = f
	m.receiver.StreamStarted(0, originOf(0))
	return m
}

func (m *world) clone() *world {
	c := *m
	s := *m.sender
	s.history = slices.Clone(s.history)
	c.sender = &s
	c.channel = slices.Clone(m.channel)
	c.receiver.table = m.receiver.table.Clone()
	c.sent = make(map[Version]Table, len(m.sent))
	for v, t := range m.sent {
		c.sent[v] = t
	}
	return &c
}

func (m *world) key() string {
	out := fmt.Sprint(m.incarnation, m.sender.version.Number, m.faultsLeft, m.receiver.version, m.receiver.digest,
		m.receiver.table.Weights, m.receiver.missing, m.receiver.needSnapshot, m.receiver.attempts, m.receiver.nextAttempt-m.now)
	for _, p := range m.channel {
		out += fmt.Sprint(p.update.Version, p.update.Snapshot, p.corrupted)
	}
	return out
}

// violation says what is wrong with the world.
func (m *world) violation() string {
	held, at := m.receiver.Table()
	switch {
	case at.Number == 0:
		return ""
	case at.Proxy != testProxy:
		return "holds another proxy's table"
	case at.Origin != originOf(m.incarnation):
		return "holds another origin's version as the present one's"
	case at.Number < m.newestHeld:
		return "went back to an earlier version"
	case !held.Equal(m.sent[at]):
		return fmt.Sprintf("holds %v as version %d, which was %v", held.Weights, at.Number, m.sent[at].Weights)
	}
	return ""
}

// enqueue lets updates into the channel, which holds four at most.
func (m *world) enqueue(updates ...Update) {
	for _, u := range updates {
		if len(m.channel) < 4 {
			m.channel = append(m.channel, message{update: u})
		}
	}
}

func (m *world) deliver(p message) {
	m.receiver.Apply(m.now, p.update)
	if m.receiver.version.Origin == originOf(m.incarnation) {
		m.newestHeld = max(m.newestHeld, m.receiver.version.Number)
	}
}

// successors are the worlds that may follow, by what happens.
func (m *world) successors() map[string]*world {
	out := map[string]*world{}
	step := func(name string, change func(*world)) {
		c := m.clone()
		change(c)
		out[name] = c
	}
	trouble := func(name string, change func(*world)) {
		if m.faultsLeft > 0 {
			step(name, func(c *world) { c.faultsLeft--; change(c) })
		}
	}
	if n := m.sender.version.Number; n < uint64(len(tablesByIncarnation[m.incarnation])) {
		step("the planner sends", func(c *world) {
			u, err := c.sender.Next(tableOf(tablesByIncarnation[c.incarnation][n]), false)
			if err != nil {
				panic(err)
			}
			c.sent[u.Version] = c.sender.table
			c.enqueue(u)
		})
	}
	for i := range m.channel {
		remove := func(c *world) { c.channel = slices.Delete(c.channel, i, i+1) }
		step(fmt.Sprint("delivery of ", i), func(c *world) { p := c.channel[i]; remove(c); c.deliver(p) }) // any one: reordered
		trouble(fmt.Sprint("loss of ", i), remove)
		trouble(fmt.Sprint("doubling of ", i), func(c *world) { c.deliver(c.channel[i]) })
		if !m.channel[i].corrupted {
			trouble(fmt.Sprint("corruption of ", i), func(c *world) {
				p := c.channel[i]
				p.corrupted, p.update.Weights = true, map[string]float32{"a": 7}
				c.channel[i] = p
			})
		}
	}
	if m.incarnation == 0 {
		trouble("the planner's next life", func(c *world) {
			c.incarnation, c.newestHeld = 1, 0
			c.sender = NewSender(originOf(1), testProxy, nil)
			c.receiver.StreamStarted(c.now, originOf(1))
		})
	}
	trouble("a receiver that starts anew", func(c *world) {
		f := c.receiver.disabled
		c.receiver, c.newestHeld = *NewReceiver(testProxy, nil), 0
		c.receiver.disabled = f
		c.receiver.StreamStarted(c.now, originOf(c.incarnation))
	})
	trouble("an update for another proxy", func(c *world) {
		c.enqueue(Snapshot(tableOf(map[string]float32{"z": 1}),
			Version{Origin: originOf(c.incarnation), Proxy: 2, Number: c.receiver.version.Number + 1}, nil))
	})
	trouble("an update of another planner", func(c *world) {
		c.enqueue(Snapshot(tableOf(map[string]float32{"y": 1}),
			Version{Origin: Origin{Instance: "n9", Incarnation: 4}, Proxy: testProxy, Number: c.receiver.version.Number + 1}, nil))
	})
	if due := m.receiver.NextResendAt(); due > 0 && m.sender.version.Number > 0 && m.receiver.attempts < 4 {
		step("a question", func(c *world) {
			c.now = max(c.now, due)
			if a, asks := c.receiver.NextResendRequest(c.now); asks {
				c.enqueue(c.sender.Resend(a)...)
			}
		})
	}
	return out
}

// recovers says whether a good channel brings the receiver into step: what is under way arrives in order, and two questions
// are answered.
func (m *world) recovers() bool {
	c := m.clone()
	if c.sender.version.Number == 0 {
		return true
	}
	for round := 0; ; round++ {
		for len(c.channel) > 0 {
			p := c.channel[0]
			c.channel = c.channel[1:]
			c.deliver(p)
		}
		c.receiver.HandleNotice(c.now, c.sender.version, c.sender.Digest())
		if c.receiver.UpToDate() && c.receiver.version == c.sender.version {
			return true
		}
		if round == 2 {
			return false
		}
		c.now = max(c.now, c.receiver.NextResendAt())
		if a, asks := c.receiver.NextResendRequest(c.now); asks {
			c.enqueue(c.sender.Resend(a)...)
		}
	}
}

// explore goes through every world that can follow, breadth first, up to a depth. It returns the first way to a broken one.
func explore(f disabledChecks, depth int) (worlds int, way []string, why string) {
	type node struct {
		m   *world
		way []string
	}
	seen, level := map[string]bool{}, []node{{m: newWorld(f)}}
	for d := 0; d <= depth && len(level) > 0; d++ {
		var next []node
		for _, n := range level {
			if why := n.m.violation(); why != "" {
				return worlds, n.way, why
			}
			if f == (disabledChecks{}) && !n.m.recovers() {
				return worlds, n.way, "a good channel does not bring it into step within two questions"
			}
			if d == depth {
				continue
			}
			for name, m := range n.m.successors() {
				if key := m.key(); !seen[key] {
					seen[key] = true
					worlds++
					next = append(next, node{m, append(slices.Clone(n.way), name)})
				}
			}
		}
		level = next
	}
	return worlds, nil, ""
}

// TestReceiverHoldsOnlyWhatWasSent explores every world of a planner with two lives of three versions, a channel of four, and
// three troubles, to a depth of seven steps: no receiver holds a table that no planner sent under that version, and a good channel
// brings every one of them into step within two questions.
func TestReceiverHoldsOnlyWhatWasSent(t *testing.T) {
	depth := 7
	if testing.Short() {
		depth = 5
	}
	begun := time.Now()
	worlds, way, why := explore(disabledChecks{}, depth)
	if why != "" {
		t.Fatalf("after %v: %s", way, why)
	}
	t.Logf("%d worlds in %v", worlds, time.Since(begun))
}

// TestPlantedFaultsAreFound guards against a model that can't find anything: each receiver lacks one check.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, f := range map[string]disabledChecks{"digest": {digest: true}, "proxy": {proxy: true},
		"origin": {origin: true}, "old": {stale: true},
		"base, and digest": {base: true, digest: true}} {
		worlds, way, why := explore(f, 6)
		if why == "" {
			t.Errorf("a receiver without the check of %s: not found among %d worlds", name, worlds)
			continue
		}
		t.Logf("without the check of %s, found after %d worlds: %s, by %v", name, worlds, why, way)
	}
}
