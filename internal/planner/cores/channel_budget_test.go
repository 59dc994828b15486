package cores

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// dealt is a share and its number.
type dealt struct {
	share float64
	deal  uint64
}

// spender is a core that uses all that it may: it fills its share of the queue as soon as it can, and takes up a new share
// some words later.
type spender struct {
	coming []dealt // shares told and not yet taken up
	dealt
	waiting float64 // lines in the channel
}

// leftover is what a core that ended has left in the channel: the last of all that was queued then.
type leftover struct{ lines, queued float64 }

// TestPurseNeverOverTheWhole guards against cores that together put more lines into the channel than it may hold, whatever
// the order of deals, words, ends and beginnings; and against a core that gets nothing for good.
func TestPurseNeverOverTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "cores")
		const queue, pace = 3600.0, 2400.0
		p := newChannelBudget(n, queue, pace)
		cores := make([]spender, n)
		var gone []leftover
		for i := range cores {
			cores[i].share = 1 / float64(n)
		}
		needs := make([]float64, n)
		total := func() (lines float64) {
			for _, c := range cores {
				lines += c.waiting
			}
			for _, l := range gone {
				lines += l.lines
			}
			return lines
		}
		check := func() {
			if lines := total(); lines > queue*(1+1e-9) {
				t.Fatalf("%v lines in a channel of %v: %+v", lines, queue, p.holders)
			}
			if sum := p.sum(); sum > 1+1e-9 {
				t.Fatalf("shares of %v dealt", sum)
			}
		}
		word := func(i int) {
			if c := &cores[i]; p.holders[i].live {
				if len(c.coming) > 0 {
					c.dealt, c.coming = c.coming[0], c.coming[1:]
				}
				c.waiting = max(c.waiting, c.share*queue) // fills what it may
				p.confirm(i, c.deal, c.waiting)
			}
		}
		deal := func() {
			for _, i := range p.allocate(needs) {
				cores[i].coming = append(cores[i].coming, dealt{p.holders[i].share, p.holders[i].number})
			}
		}
		pass := func(span float64) {
			p.drain(span)
			sent := span * pace / 1000
			if all := total(); all > 0 {
				for i := range cores {
					cores[i].waiting *= max(0, 1-sent/all)
				}
			}
			for i := range gone {
				gone[i].queued -= sent
			}
			gone = slices.DeleteFunc(gone, func(l leftover) bool { return l.queued <= 0 })
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "core")
			switch rapid.SampledFrom([]string{"need", "deal", "word", "word", "pass", "cut", "begin"}).Draw(t, "what") {
			case "need":
				needs[i] = rapid.Float64Range(0, 1000).Draw(t, "need")
			case "deal":
				deal()
			case "word":
				word(i)
			case "pass":
				pass(rapid.Float64Range(0, 500).Draw(t, "span"))
			case "cut":
				if p.holders[i].live {
					gone = append(gone, leftover{cores[i].waiting, total()})
					cores[i] = spender{}
					p.remove(i)
				}
			case "begin":
				if !p.holders[i].live {
					p.add(i)
				}
			}
			check()
		}
		// Left alone, all shares come to what is needed, and every core has its floor, within ten deals.
		for range 10 {
			deal()
			check()
			for range 4 {
				for i := range cores {
					for len(cores[i].coming) > 0 {
						word(i)
						check()
					}
				}
				pass(750)
				for i := range cores { // what has drained is told
					p.confirm(i, cores[i].deal, cores[i].waiting)
				}
			}
		}
		targets := p.targets(needs)
		for i, h := range p.holders {
			if math.Abs(h.share-targets[i]) > 3*minShareChange {
				t.Fatalf("core %d has %v, should have %v: %+v", i, h.share, targets[i], p.holders)
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

func TestMovesEvenOutAndEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "cores")
		open := make([]bool, n)
		for i := range open {
			open[i] = rapid.Bool().Draw(t, "open")
		}
		var list []movableProxy
		for p := range rapid.IntRange(0, 60).Draw(t, "proxies") {
			at := rapid.IntRange(0, n-1).Draw(t, "core")
			if !open[at] {
				continue // proxies are at live cores only
			}
			list = append(list, movableProxy{proxy: p, core: at, cost: rapid.Float64Range(0.5, 20).Draw(t, "cost"), rested: true})
		}
		most := rapid.IntRange(0, 20).Draw(t, "most")
		squares := func() (sum float64) {
			loads := make([]float64, n)
			for _, s := range list {
				loads[s.core] += s.cost
			}
			for _, l := range loads {
				sum += l * l
			}
			return sum
		}
		out := planMoves(list, open, most)
		if len(out) > most {
			t.Fatalf("%d moves, at most %d are allowed", len(out), most)
		}
		moved := map[int]bool{}
		for _, m := range out {
			if moved[m.proxy] || !open[m.to] {
				t.Fatalf("proxy %d moved twice, or to core %d that is out", m.proxy, m.to)
			}
			moved[m.proxy] = true
			before := squares()
			for i := range list {
				if list[i].proxy == m.proxy {
					list[i].core = m.to
				}
			}
			if after := squares(); after >= before {
				t.Fatalf("a move that doesn't even out: %v, was %v", after, before)
			}
		}
	})
}

// TestProbesAreThePlanners guards against a doubted server that is probed once a second by every core.
func TestProbesAreThePlanners(t *testing.T) {
	var p Probes
	started, told := 0, map[int]int{}
	for ms := 0; ms < 60000; ms += 100 {
		for core := range 4 {
			if ms%1000 != 200*core { // each in its own rhythm
				continue
			}
			start, again := p.Request(float64(ms), "s-1", core)
			if again {
				told[core]++
			}
			if start {
				started++
				if core == 0 && ms%7000 == 0 { // one is slow: who asks meanwhile joins it
					if start, again := p.Request(float64(ms)+50, "s-1", 2); start || again {
						t.Error("an ask while a probe is under way starts another or gets an old answer")
					}
				}
				for _, waiting := range p.Complete("s-1") {
					told[waiting]++
				}
			}
		}
	}
	if started > 70 {
		t.Errorf("%d probes of one server in a minute by four cores", started)
	}
	for core := range 4 {
		if told[core] < 55 {
			t.Errorf("core %d was told %d answers in a minute", core, told[core])
		}
	}
	if start, again := p.Request(200000, "s-1", 3); !start || again {
		t.Error("an answer of long ago is taken for news")
	}
	for i := range 3 * maxProbed {
		p.Request(float64(200001+i), string(rune('a'+i)), 0)
		p.Complete(string(rune('a' + i)))
	}
	if len(p.servers) > maxProbed {
		t.Errorf("%d servers are remembered", len(p.servers))
	}
}
