package tables

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// packet is an update in the channel.
type packet struct {
	u       Update
	touched bool
}

// model is one world: a planner in one of its lives, a channel that loses, doubles, reorders and corrupts, and a receiver.
type model struct {
	life     uint64
	sender   *Sender
	channel  []packet
	receiver Receiver
	budget   int // of troubles that may still happen
	sent     map[Version]Table
	newest   uint64 // the receiver's, in this life
	now      float64
}

const modelProxy = 1

// lives are the tables that each life sends, in order.
var lives = [][]map[string]float32{
	{{"a": 1}, {"a": 1, "b": 1}, {"b": 2}},
	{{"c": 1}, {"a": 1, "c": 1}, {"a": 1}},
}

func origin(life uint64) Origin { return Origin{Instance: "n0", Incarnation: life + 1} }

func tableOf(weights map[string]float32) Table {
	t := New()
	for name, w := range weights {
		t.Weights[name] = w
	}
	return t
}

func newModel(f faults) *model {
	m := &model{sender: NewSender(origin(0), modelProxy, nil), receiver: *NewReceiver(modelProxy, nil), budget: 3, sent: map[Version]Table{}}
	m.receiver.faults = f
	m.receiver.StreamStarted(0, origin(0))
	return m
}

func (m *model) clone() *model {
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

func (m *model) key() string {
	out := fmt.Sprint(m.life, m.sender.at.Number, m.budget, m.receiver.at, m.receiver.digest, m.receiver.table.Weights, m.receiver.behind, m.receiver.whole,
		m.receiver.asked, m.receiver.next-m.now)
	for _, p := range m.channel {
		out += fmt.Sprint(p.u.Version, p.u.Snapshot, p.touched)
	}
	return out
}

// broken says what is wrong with the world.
func (m *model) broken() string {
	held, at := m.receiver.Table()
	switch {
	case at.Number == 0:
		return ""
	case at.Proxy != modelProxy:
		return "holds another proxy's table"
	case at.Origin != origin(m.life):
		return "holds another origin's version as the present one's"
	case at.Number < m.newest:
		return "went back to an earlier version"
	case !held.Equal(m.sent[at]):
		return fmt.Sprintf("holds %v as version %d, which was %v", held.Weights, at.Number, m.sent[at].Weights)
	}
	return ""
}

// put lets updates into the channel, which holds four at most.
func (m *model) put(updates ...Update) {
	for _, u := range updates {
		if len(m.channel) < 4 {
			m.channel = append(m.channel, packet{u: u})
		}
	}
}

func (m *model) deliver(p packet) {
	m.receiver.Apply(m.now, p.u)
	if m.receiver.at.Origin == origin(m.life) {
		m.newest = max(m.newest, m.receiver.at.Number)
	}
}

// steps are the worlds that may follow, by what happens.
func (m *model) steps() map[string]*model {
	out := map[string]*model{}
	step := func(name string, change func(*model)) {
		c := m.clone()
		change(c)
		out[name] = c
	}
	trouble := func(name string, change func(*model)) {
		if m.budget > 0 {
			step(name, func(c *model) { c.budget--; change(c) })
		}
	}
	if n := m.sender.at.Number; n < uint64(len(lives[m.life])) {
		step("the planner sends", func(c *model) {
			u, err := c.sender.Next(tableOf(lives[c.life][n]), false)
			if err != nil {
				panic(err)
			}
			c.sent[u.Version] = c.sender.table
			c.put(u)
		})
	}
	for i := range m.channel {
		remove := func(c *model) { c.channel = slices.Delete(c.channel, i, i+1) }
		step(fmt.Sprint("delivery of ", i), func(c *model) { p := c.channel[i]; remove(c); c.deliver(p) }) // any one: reordered
		trouble(fmt.Sprint("loss of ", i), remove)
		trouble(fmt.Sprint("doubling of ", i), func(c *model) { c.deliver(c.channel[i]) })
		if !m.channel[i].touched {
			trouble(fmt.Sprint("corruption of ", i), func(c *model) {
				p := c.channel[i]
				p.touched, p.u.Weights = true, map[string]float32{"a": 7}
				c.channel[i] = p
			})
		}
	}
	if m.life == 0 {
		trouble("the planner's next life", func(c *model) {
			c.life, c.newest = 1, 0
			c.sender = NewSender(origin(1), modelProxy, nil)
			c.receiver.StreamStarted(c.now, origin(1))
		})
	}
	trouble("a receiver that starts anew", func(c *model) {
		f := c.receiver.faults
		c.receiver, c.newest = *NewReceiver(modelProxy, nil), 0
		c.receiver.faults = f
		c.receiver.StreamStarted(c.now, origin(c.life))
	})
	trouble("an update for another proxy", func(c *model) {
		c.put(Snapshot(tableOf(map[string]float32{"z": 1}), Version{Origin: origin(c.life), Proxy: 2, Number: c.receiver.at.Number + 1}, nil))
	})
	trouble("an update of another planner", func(c *model) {
		c.put(Snapshot(tableOf(map[string]float32{"y": 1}), Version{Origin: Origin{Instance: "n9", Incarnation: 4}, Proxy: modelProxy, Number: c.receiver.at.Number + 1}, nil))
	})
	if due := m.receiver.NextResendAt(); due > 0 && m.sender.at.Number > 0 && m.receiver.asked < 4 {
		step("a question", func(c *model) {
			c.now = max(c.now, due)
			if a, asks := c.receiver.NextResendRequest(c.now); asks {
				c.put(c.sender.Resend(a)...)
			}
		})
	}
	return out
}

// repaired says whether a good channel brings the receiver into step: what is under way arrives in order, and two questions
// are answered.
func (m *model) repaired() bool {
	c := m.clone()
	if c.sender.at.Number == 0 {
		return true
	}
	for round := 0; ; round++ {
		for len(c.channel) > 0 {
			p := c.channel[0]
			c.channel = c.channel[1:]
			c.deliver(p)
		}
		c.receiver.HandleNotice(c.now, c.sender.at, c.sender.Digest())
		if c.receiver.UpToDate() && c.receiver.at == c.sender.at {
			return true
		}
		if round == 2 {
			return false
		}
		c.now = max(c.now, c.receiver.NextResendAt())
		if a, asks := c.receiver.NextResendRequest(c.now); asks {
			c.put(c.sender.Resend(a)...)
		}
	}
}

// explore goes through every world that can follow, breadth first, up to a depth. It returns the first way to a broken one.
func explore(f faults, depth int) (worlds int, way []string, why string) {
	type node struct {
		m   *model
		way []string
	}
	seen, level := map[string]bool{}, []node{{m: newModel(f)}}
	for d := 0; d <= depth && len(level) > 0; d++ {
		var next []node
		for _, n := range level {
			if why := n.m.broken(); why != "" {
				return worlds, n.way, why
			}
			if f == (faults{}) && !n.m.repaired() {
				return worlds, n.way, "a good channel does not bring it into step within two questions"
			}
			if d == depth {
				continue
			}
			for name, m := range n.m.steps() {
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
	worlds, way, why := explore(faults{}, depth)
	if why != "" {
		t.Fatalf("after %v: %s", way, why)
	}
	t.Logf("%d worlds in %v", worlds, time.Since(begun))
}

// TestPlantedFaultsAreFound guards against a model that can't find anything: each receiver lacks one check.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, f := range map[string]faults{"digest": {digest: true}, "proxy": {proxy: true}, "origin": {origin: true}, "old": {old: true},
		"base, and digest": {base: true, digest: true}} {
		worlds, way, why := explore(f, 6)
		if why == "" {
			t.Errorf("a receiver without the check of %s: not found among %d worlds", name, worlds)
			continue
		}
		t.Logf("without the check of %s, found after %d worlds: %s, by %v", name, worlds, why, way)
	}
}
