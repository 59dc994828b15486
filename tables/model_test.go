package tables

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// message is an update in transit.
type message struct {
	update    Update
	corrupted bool
}

// world is a state of the model: a planner in one of its incarnations, a channel that loses, duplicates, reorders and corrupts
// messages, and a receiver.
type world struct {
	incarnation uint64
	sender      *Sender
	channel     []message
	receiver    Receiver
	faultsLeft  int // faults that may still be injected
	sent        map[Version]Table
	newestHeld  uint64 // newest version number that the receiver held in this incarnation
	now         float64
}

const testProxy = 1

// tablesByIncarnation contains the tables that each incarnation sends, in order.
var tablesByIncarnation = [][]map[string]float32{
	{{"a": 1}, {"a": 1, "b": 1}, {"b": 2}},
	{{"c": 1}, {"a": 1, "c": 1}, {"a": 1}},
}

func originOf(incarnation uint64) Origin { return Origin{Instance: "n0", Incarnation: incarnation + 1} }

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

// violation describes the invariant that the state violates, or returns an empty string.
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
		return "reverted to an earlier version"
	case !held.Equal(m.sent[at]):
		return fmt.Sprintf("holds %v as version %d, which was %v", held.Weights, at.Number, m.sent[at].Weights)
	}
	return ""
}

// enqueue puts updates into the channel and drops those beyond its capacity of four.
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

// successors returns the possible next states, by the event that leads to each.
func (m *world) successors() map[string]*world {
	out := map[string]*world{}
	add := func(name string, change func(*world)) {
		c := m.clone()
		change(c)
		out[name] = c
	}
	injectFault := func(name string, change func(*world)) {
		if m.faultsLeft > 0 {
			add(name, func(c *world) { c.faultsLeft--; change(c) })
		}
	}
	if n := m.sender.version.Number; n < uint64(len(tablesByIncarnation[m.incarnation])) {
		add("planner sends", func(c *world) {
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
		// of any message: reordering
		add(fmt.Sprint("deliver message ", i), func(c *world) { p := c.channel[i]; remove(c); c.deliver(p) })
		injectFault(fmt.Sprint("lose message ", i), remove)
		injectFault(fmt.Sprint("duplicate message ", i), func(c *world) { c.deliver(c.channel[i]) })
		if !m.channel[i].corrupted {
			injectFault(fmt.Sprint("corrupt message ", i), func(c *world) {
				p := c.channel[i]
				p.corrupted, p.update.Weights = true, map[string]float32{"a": 7}
				c.channel[i] = p
			})
		}
	}
	if m.incarnation == 0 {
		injectFault("planner restarts", func(c *world) {
			c.incarnation, c.newestHeld = 1, 0
			c.sender = NewSender(originOf(1), testProxy, nil)
			c.receiver.StreamStarted(c.now, originOf(1))
		})
	}
	injectFault("receiver restarts", func(c *world) {
		f := c.receiver.disabled
		c.receiver, c.newestHeld = *NewReceiver(testProxy, nil), 0
		c.receiver.disabled = f
		c.receiver.StreamStarted(c.now, originOf(c.incarnation))
	})
	injectFault("update for another proxy", func(c *world) {
		c.enqueue(Snapshot(tableOf(map[string]float32{"z": 1}),
			Version{Origin: originOf(c.incarnation), Proxy: 2, Number: c.receiver.version.Number + 1}, nil))
	})
	injectFault("update of another planner", func(c *world) {
		c.enqueue(Snapshot(tableOf(map[string]float32{"y": 1}),
			Version{Origin: Origin{Instance: "n9", Incarnation: 4}, Proxy: testProxy,
				Number: c.receiver.version.Number + 1}, nil))
	})
	if due := m.receiver.NextResendAt(); due > 0 && m.sender.version.Number > 0 && m.receiver.attempts < 4 {
		add("resend request", func(c *world) {
			c.now = max(c.now, due)
			if a, asks := c.receiver.NextResendRequest(c.now); asks {
				c.enqueue(c.sender.Resend(a)...)
			}
		})
	}
	return out
}

// recovers reports whether the receiver reaches the planner's version over a faultless channel: the messages in transit
// arrive in order and at most two resend requests are answered.
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

// explore visits every reachable state up to a depth, breadth first. It returns the events that lead to the first violation,
// and its description.
func explore(f disabledChecks, depth int) (states int, path []string, violation string) {
	type node struct {
		m    *world
		path []string
	}
	seen, level := map[string]bool{}, []node{{m: newWorld(f)}}
	for d := 0; d <= depth && len(level) > 0; d++ {
		var next []node
		for _, n := range level {
			if violation := n.m.violation(); violation != "" {
				return states, n.path, violation
			}
			if f == (disabledChecks{}) && !n.m.recovers() {
				return states, n.path, "receiver does not catch up within two resend requests"
			}
			if d == depth {
				continue
			}
			for name, m := range n.m.successors() {
				if key := m.key(); !seen[key] {
					seen[key] = true
					states++
					next = append(next, node{m, append(slices.Clone(n.path), name)})
				}
			}
		}
		level = next
	}
	return states, nil, ""
}

// TestReceiverHoldsOnlyWhatWasSent explores every state of a planner with two incarnations of three versions, a channel of
// four messages and three injected faults, to a depth of seven steps. No receiver may hold a table that wasn't sent as its
// version, and each must catch up over a faultless channel within two resend requests.
func TestReceiverHoldsOnlyWhatWasSent(t *testing.T) {
	depth := 7
	if testing.Short() {
		depth = 5
	}
	start := time.Now()
	states, path, violation := explore(disabledChecks{}, depth)
	if violation != "" {
		t.Fatalf("after %v: %s", path, violation)
	}
	t.Logf("%d states in %v", states, time.Since(start))
}

// TestPlantedFaultsAreFound guards against a model check that can't detect faults: in each run the receiver lacks one check.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, f := range map[string]disabledChecks{"digest": {digest: true}, "proxy": {proxy: true},
		"origin": {origin: true}, "stale": {stale: true},
		"base and digest": {base: true, digest: true}} {
		states, path, violation := explore(f, 6)
		if violation == "" {
			t.Errorf("receiver without the check of %s: no violation in %d states", name, states)
			continue
		}
		t.Logf("receiver without the check of %s: violation after %d states: %s, by %v", name, states, violation, path)
	}
}
