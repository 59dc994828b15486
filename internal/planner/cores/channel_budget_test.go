package cores

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// allocatedShare is a share of the channel and its number.
type allocatedShare struct {
	share       float64
	shareNumber uint64
}

// busyCore is a core that always uses its whole share of the queue, and takes up a new share some reports after it was sent.
type busyCore struct {
	pendingShares []allocatedShare // shares sent and not yet taken up
	allocatedShare
	queuedLines float64 // its lines in the channel
}

// leftoverLines are the lines that a removed core has left in the channel. They are sent last of all lines queued at that
// time, which linesAhead counts.
type leftoverLines struct{ lines, linesAhead float64 }

// TestBudgetNeverExceedsChannel guards against cores that together put more lines into the channel than its capacity, for any
// order of allocations, reports, removals and restarts; and against a core that never gets a share.
func TestBudgetNeverExceedsChannel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "cores")
		const queue, pace = 3600.0, 2400.0
		budget := newChannelBudget(n, queue, pace)
		cores := make([]busyCore, n)
		var leftovers []leftoverLines
		for i := range cores {
			cores[i].share = 1 / float64(n)
		}
		needs := make([]float64, n)
		total := func() (lines float64) {
			for _, c := range cores {
				lines += c.queuedLines
			}
			for _, l := range leftovers {
				lines += l.lines
			}
			return lines
		}
		check := func() {
			if lines := total(); lines > queue*(1+1e-9) {
				t.Fatalf("%v lines in a channel of %v: %+v", lines, queue, budget.holders)
			}
			if sum := budget.sum(); sum > 1+1e-9 {
				t.Fatalf("shares of %v allocated", sum)
			}
		}
		report := func(i int) {
			if c := &cores[i]; budget.holders[i].live {
				if len(c.pendingShares) > 0 {
					c.allocatedShare, c.pendingShares = c.pendingShares[0], c.pendingShares[1:]
				}
				c.queuedLines = max(c.queuedLines, c.share*queue) // uses its whole share
				budget.confirm(i, c.shareNumber, c.queuedLines)
			}
		}
		allocate := func() {
			for _, i := range budget.allocate(needs) {
				cores[i].pendingShares = append(cores[i].pendingShares,
					allocatedShare{budget.holders[i].share, budget.holders[i].shareNumber})
			}
		}
		advance := func(span float64) {
			budget.advance(span)
			sent := span * pace / 1000
			if all := total(); all > 0 {
				for i := range cores {
					cores[i].queuedLines *= max(0, 1-sent/all)
				}
			}
			for i := range leftovers {
				leftovers[i].linesAhead -= sent
			}
			leftovers = slices.DeleteFunc(leftovers, func(l leftoverLines) bool { return l.linesAhead <= 0 })
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "core")
			switch rapid.SampledFrom([]string{"need", "allocate", "report", "report", "advance", "remove",
				"add"}).Draw(t, "step") {
			case "need":
				needs[i] = rapid.Float64Range(0, 1000).Draw(t, "need")
			case "allocate":
				allocate()
			case "report":
				report(i)
			case "advance":
				advance(rapid.Float64Range(0, 500).Draw(t, "span"))
			case "remove":
				if budget.holders[i].live {
					leftovers = append(leftovers, leftoverLines{cores[i].queuedLines, total()})
					cores[i] = busyCore{}
					budget.remove(i)
				}
			case "add":
				if !budget.holders[i].live {
					budget.add(i)
				}
			}
			check()
		}
		// Without further changes, all shares reach their targets, the minimum of each core included, within ten allocations.
		for range 10 {
			allocate()
			check()
			for range 4 {
				for i := range cores {
					for len(cores[i].pendingShares) > 0 {
						report(i)
						check()
					}
				}
				advance(750)
				for i := range cores { // report the lines left after sending
					budget.confirm(i, cores[i].shareNumber, cores[i].queuedLines)
				}
			}
		}
		targets := budget.targets(needs)
		for i, h := range budget.holders {
			if math.Abs(h.share-targets[i]) > 3*minShareChange {
				t.Fatalf("core %d has %v, should have %v: %+v", i, h.share, targets[i], budget.holders)
			}
		}
	})
}

func (b *channelBudget) sum() (sum float64) {
	for _, h := range b.holders {
		sum += b.reserved(h)
	}
	return sum
}

// TestMovesEvenOutAndEnd guards against moves that exceed their limit, move a proxy twice or to a core that can't take it, or
// don't make the load more even.
func TestMovesEvenOutAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "cores")
		assignable := make([]bool, n)
		for i := range assignable {
			assignable[i] = rapid.Bool().Draw(t, "open")
		}
		var proxies []movableProxy
		for p := range rapid.IntRange(0, 60).Draw(t, "proxies") {
			at := rapid.IntRange(0, n-1).Draw(t, "core")
			if !assignable[at] {
				continue // proxies are only at assignable cores
			}
			proxies = append(proxies, movableProxy{proxy: p, core: at, cost: rapid.Float64Range(0.5, 20).Draw(t, "cost"),
				cooledDown: true})
		}
		limit := rapid.IntRange(0, 20).Draw(t, "most")
		squares := func() (sum float64) {
			loads := make([]float64, n)
			for _, s := range proxies {
				loads[s.core] += s.cost
			}
			for _, l := range loads {
				sum += l * l
			}
			return sum
		}
		moves := planMoves(proxies, assignable, limit)
		if len(moves) > limit {
			t.Fatalf("%d moves, at most %d are allowed", len(moves), limit)
		}
		moved := map[int]bool{}
		for _, m := range moves {
			if moved[m.proxy] || !assignable[m.to] {
				t.Fatalf("proxy %d moved twice, or to core %d, which is not assignable", m.proxy, m.to)
			}
			moved[m.proxy] = true
			before := squares()
			for i := range proxies {
				if proxies[i].proxy == m.proxy {
					proxies[i].core = m.to
				}
			}
			if after := squares(); after >= before {
				t.Fatalf("a move that doesn't even out the load: sum of squares %v, was %v", after, before)
			}
		}
	})
}

// TestProbesAreShared guards against a suspected server that is probed once a second by every core.
func TestProbesAreShared(t *testing.T) {
	var p Probes
	started, answers := 0, map[int]int{}
	for ms := 0; ms < 60000; ms += 100 {
		for core := range 4 {
			if ms%1000 != 200*core { // each core once a second, at its own offset
				continue
			}
			start, again := p.Request(float64(ms), "s-1", core)
			if again {
				answers[core]++
			}
			if start {
				started++
				if core == 0 && ms%7000 == 0 { // a slow probe: a request in the meantime joins it
					if start, again := p.Request(float64(ms)+50, "s-1", 2); start || again {
						t.Error("a request during a probe starts another one or gets an old result")
					}
				}
				for _, waiting := range p.Complete("s-1") {
					answers[waiting]++
				}
			}
		}
	}
	if started > 70 {
		t.Errorf("%d probes of one server in a minute by four cores", started)
	}
	for core := range 4 {
		if answers[core] < 55 {
			t.Errorf("core %d got %d results in a minute", core, answers[core])
		}
	}
	if start, again := p.Request(200000, "s-1", 3); !start || again {
		t.Error("an old result is taken for a new one")
	}
	for i := range 3 * maxTrackedServers {
		p.Request(float64(200001+i), string(rune('a'+i)), 0)
		p.Complete(string(rune('a' + i)))
	}
	if len(p.servers) > maxTrackedServers {
		t.Errorf("%d servers are tracked", len(p.servers))
	}
}
