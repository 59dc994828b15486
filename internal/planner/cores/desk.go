package cores

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Settings are the facts that a desk is given.
type Settings struct {
	Cores       int
	Zones       int
	QueueLines  float64 // lines that may wait in the planner's channel
	LinesPerSec float64 // its usual pace
	Confirm     float64 // a core that hasn't taken up a change, or said a word, within this is late
	MovesPerS   int     // proxies that may be moved a second
	Rest        float64 // a core that was cut off stays out this long; doubled each time
}

const (
	// allocateInterval is the time between two deals of the channel, and between two looks at how even the cores are.
	allocateInterval = 1000.0
	// maxRest is the longest rest, in rests.
	maxRest = 64
	// forgiven is how many rests without a fault make a core's earlier ones forgotten.
	forgiven = 30
	// stalled is the share of Confirm after which a desk that was not asked takes it that the whole process stood still:
	// what its cores left unsaid meanwhile says nothing about them.
	stalled = 0.5
)

// CoreReport is what a core says after each look.
type CoreReport struct {
	Seen    uint64    // changes of the list that its module has looked at
	Done    uint64    // changes that no table of its proxies contradicts any more
	Deal    uint64    // the number of the share that it works with
	Waiting float64   // lines that wait for its proxies
	Joined  float64   // proxies
	Usual   []float64 // their requests a second, by zone
	Demands []float64 // by class
}

// Command is what a desk has its host do.
type Command interface{ command() }

// The commands, to be carried out in their order.
type (
	// Assignment gives a proxy's stream to a core, which sends it its whole table. Whoever had it can't order on it any more.
	Assignment struct {
		Stream     uint64
		Proxy      int
		Core, Life int
	}
	// Leave tells a core that a proxy is not its any more.
	Leave struct {
		Stream     uint64
		Proxy      int
		Core, Life int
	}
	// Supersede ends a stream whose proxy has a newer one.
	Supersede struct{ Stream uint64 }
	// Tell gives a core the change of the list that is under way.
	Tell struct {
		Core, Life int
		Epoch      uint64
	}
	// Cut takes from a core every stream that it has. Nothing that it still says or orders counts.
	Cut struct {
		Core, Life int
		Why        string
	}
	// Begin starts a core's next life, with the whole list as of the epoch.
	Begin struct {
		Core, Life int
		Epoch      uint64
	}
	// Share tells a core what of the planner is its own, and what the others' proxies bring.
	Share struct {
		Core, Life     int
		Deal           uint64 // changes with Channel
		Channel        float64
		Joined         float64
		Usual, Demands []float64
	}
	// LogNote is a line for the log.
	LogNote struct {
		Core int
		Text string
	}
	// End says that no core is left: the program can't go on.
	End struct{ Why string }
)

func (Assignment) command() {}
func (Leave) command()      {}
func (Supersede) command()  {}
func (Tell) command()       {}
func (Cut) command()        {}
func (Begin) command()      {}
func (Share) command()      {}
func (LogNote) command()    {}
func (End) command()        {}

// core is a core's standing.
type core struct {
	live      bool
	life      int
	spoken    bool    // it has said a word in this life: only such a one can take over
	heard     float64 // its last word, or what stands for one
	word      CoreReport
	unseen    float64 // since when a change of the list waits to be taken up; meaningful if word.Seen is behind
	gone      bool    // what ran it has ended
	backAt    float64
	rests     float64 // the next rest, in rests
	faultless float64 // since when
	told      bool    // that it is slow to take tables back
}

// crowd is the proxies of one zone at one core.
type crowd struct{ number, rate float64 }

// home is where a proxy belongs.
type home struct {
	stream  uint64
	core    int
	zone    int
	rate    float64
	movedAt float64
}

// Assigner divides a planner among its cores.
type Assigner struct {
	set    Settings
	cores  []core
	homes  map[int]*home // joined proxies, by number
	crowds [][]crowd     // of the homes, by core and zone
	last   map[int]int   // the core that had a proxy which is not here: its mirror is there
	purse  *channelBudget
	epoch  uint64
	asked  float64 // when the desk was last asked anything by its ticks
	dealt  float64
	warned bool // that no core can take over
	out    []Command
}

// NewAssigner returns a desk whose cores all begin their first life now.
func NewAssigner(set Settings, now float64) *Assigner {
	d := &Assigner{set: set, cores: make([]core, set.Cores), homes: map[int]*home{}, last: map[int]int{},
		purse: newChannelBudget(set.Cores, set.QueueLines, set.LinesPerSec), asked: now, dealt: now}
	for i := range d.cores {
		d.crowds = append(d.crowds, make([]crowd, set.Zones))
		d.cores[i] = core{live: true, life: 1, heard: now, faultless: now, rests: 1}
		d.out = append(d.out, Begin{Core: i, Life: 1})
	}
	return d
}

// Take returns the commands given since the last call.
func (d *Assigner) Take() []Command {
	out := d.out
	d.out = nil
	return out
}

// Life is a core's present life; 0: it is out.
func (d *Assigner) Life(core int) int {
	if !d.cores[core].live {
		return 0
	}
	return d.cores[core].life
}

// Home is the core that decides for a proxy.
func (d *Assigner) Home(proxy int) (core int, joined bool) {
	h := d.homes[proxy]
	if h == nil {
		return 0, false
	}
	return h.core, true
}

// count adds a proxy to its core's crowds, or with sign -1 takes it out.
func (d *Assigner) count(h *home, sign float64) {
	c := &d.crowds[h.core][h.zone]
	c.number += sign
	if c.rate += sign * h.rate; c.number == 0 {
		c.rate = 0 // sums of fractions leave a rest
	}
}

// rehome gives a proxy to another core.
func (d *Assigner) rehome(now float64, h *home, to int) {
	d.count(h, -1)
	h.core, h.movedAt = to, now
	d.count(h, 1)
}

func (d *Assigner) note(core int, format string, args ...any) {
	d.out = append(d.out, LogNote{Core: core, Text: fmt.Sprintf(format, args...)})
}

// Joined takes a proxy's stream in. Larger streams are newer: an older one of the same proxy is ended, and so is this one
// if it is the older. A proxy that comes back goes to the core that has its mirror, if that lives and is not overfull.
func (d *Assigner) Joined(now float64, stream uint64, proxy, zone int, rate float64) {
	at, known := d.last[proxy]
	if old := d.homes[proxy]; old != nil {
		if old.stream >= stream {
			d.out = append(d.out, Supersede{Stream: stream})
			return
		}
		d.out = append(d.out, Leave{Stream: old.stream, Proxy: proxy, Core: old.core, Life: d.cores[old.core].life},
			Supersede{Stream: old.stream})
		at, known = old.core, true
		d.count(old, -1)
		delete(d.homes, proxy)
	}
	delete(d.last, proxy)
	h := &home{stream: stream, zone: zone, rate: max(0, rate), movedAt: math.Inf(-1)}
	loads, zoneLoads, open := d.loads(zone)
	if known = known && open[at]; known {
		sum, live := 0.0, 0.0
		for i := range open {
			if open[i] {
				live, sum = live+1, sum+loads[i]
			}
		}
		known = loads[at]*live <= (1+unevenFrom)*sum
	}
	if h.core = at; !known {
		var found bool
		if h.core, found = pick(loads, zoneLoads, d.set.Zones, open); !found {
			return // no core is left, which End has told
		}
	}
	d.homes[proxy] = h
	d.count(h, 1)
	d.out = append(d.out, Assignment{Stream: stream, Proxy: proxy, Core: h.core, Life: d.cores[h.core].life})
}

// Left says that a stream has ended. That of a proxy with a newer one changes nothing.
func (d *Assigner) Left(stream uint64, proxy int) {
	h := d.homes[proxy]
	if h == nil || h.stream != stream {
		return
	}
	d.count(h, -1)
	delete(d.homes, proxy)
	d.last[proxy] = h.core
	d.out = append(d.out, Leave{Stream: stream, Proxy: proxy, Core: h.core, Life: d.cores[h.core].life})
}

// Changed says that the list has changed. Every core is told; it takes it up with its next look.
func (d *Assigner) Changed(now float64) (epoch uint64) {
	for i := range d.cores {
		if c := &d.cores[i]; c.live {
			if c.word.Seen >= d.epoch {
				c.unseen = now
			}
			d.out = append(d.out, Tell{Core: i, Life: c.life, Epoch: d.epoch + 1})
		}
	}
	d.epoch++
	return d.epoch
}

// Said takes a core's word. One of a life that is over is void.
func (d *Assigner) Said(now float64, core, life int, w CoreReport) {
	c := &d.cores[core]
	if !c.live || c.life != life {
		return
	}
	if c.heard, c.spoken = now, true; w.Seen > c.word.Seen {
		c.unseen = now // what is still behind has waited at most since then
	}
	c.word = w
	if w.Done >= d.epoch {
		c.told = false
	}
	d.purse.confirmed(core, w.Deal, w.Waiting)
	if now-c.faultless > forgiven*d.set.Rest {
		c.rests = 1
	}
}

// Died says that what ran a core has ended, by a panic or since it was cut off.
func (d *Assigner) Died(now float64, core, life int, why string) {
	c := &d.cores[core]
	if c.life != life {
		return
	}
	c.gone = true
	if c.live {
		d.cut(now, core, why)
	}
}

// Tick looks at the cores. It is to be called several times within Confirm.
func (d *Assigner) Tick(now float64) {
	if late := now - d.asked; late > stalled*d.set.Confirm {
		for i := range d.cores {
			d.cores[i].heard += late
			d.cores[i].unseen += late
		}
	}
	d.purse.drain(now - d.asked)
	d.asked = now
	d.watch(now)
	for i := range d.cores {
		if c := &d.cores[i]; !c.live && c.gone && now >= c.backAt {
			d.begin(now, i)
		}
	}
	if now-d.dealt >= allocateInterval {
		d.dealt = now
		d.even(now)
		d.share()
	}
}

// late says whether a core holds its proxies up: no word, or a change of the list that its module has not looked at.
func (d *Assigner) late(now float64, c *core) bool {
	return now-c.heard > d.set.Confirm || c.word.Seen < d.epoch && now-c.unseen > d.set.Confirm
}

// watch cuts off cores that are late, if another is in time: where all are late it is the machine, and moving every proxy
// would only add to that. A core that is in time but can't write what takes a server out, since the channel is slow, is
// not late: whole tables would take the channel longer still.
func (d *Assigner) watch(now float64) {
	healthy := false
	for i := range d.cores {
		healthy = healthy || d.cores[i].live && d.cores[i].spoken && !d.late(now, &d.cores[i])
	}
	for i := range d.cores {
		c := &d.cores[i]
		switch {
		case !c.live:
		case d.late(now, c) && healthy:
			d.cut(now, i, fmt.Sprintf("no word for %.0f ms, list %d of %d", now-c.heard, c.word.Seen, d.epoch))
		case d.late(now, c) && !d.warned:
			d.warned = true
			d.note(i, "late, as are all others: none can take over")
		case !d.late(now, c):
			d.warned = false
			if !c.told && c.word.Done < d.epoch && c.word.Seen >= d.epoch && now-c.unseen > 2*d.set.Confirm {
				c.told = true
				d.note(i, "list %d looked at, tables that contradict it still wait for the channel", d.epoch)
			}
		}
	}
}

// cut takes a core out and gives its proxies to the others, those of the most traffic first.
func (d *Assigner) cut(now float64, at int, why string) {
	c := &d.cores[at]
	c.live, c.backAt, c.faultless = false, now+c.rests*d.set.Rest, now+c.rests*d.set.Rest
	c.rests = min(maxRest, 2*c.rests)
	d.purse.cut(at)
	d.out = append(d.out, Cut{Core: at, Life: c.life, Why: why})
	var homeless []int
	for proxy, h := range d.homes {
		if h.core == at {
			homeless = append(homeless, proxy)
		}
	}
	slices.SortFunc(homeless, func(a, b int) int {
		return cmp.Or(cmp.Compare(d.homes[b].rate, d.homes[a].rate), cmp.Compare(a, b))
	})
	maps.DeleteFunc(d.last, func(_ int, core int) bool { return core == at })
	for n, proxy := range homeless {
		h := d.homes[proxy]
		loads, zoneLoads, open := d.loads(h.zone)
		to, found := pick(loads, zoneLoads, d.set.Zones, open)
		if !found {
			for _, proxy := range homeless[n:] {
				d.count(d.homes[proxy], -1)
				delete(d.homes, proxy)
			}
			break
		}
		d.rehome(now, h, to)
		d.out = append(d.out, Assignment{Stream: h.stream, Proxy: proxy, Core: to, Life: d.cores[to].life})
	}
	if !slices.ContainsFunc(d.cores, func(c core) bool { return c.live }) {
		d.out = append(d.out, End{Why: why})
	}
}

// begin starts a core's next life. It gets proxies once it has a share of the channel.
func (d *Assigner) begin(now float64, at int) {
	c := &d.cores[at]
	*c = core{live: true, life: c.life + 1, heard: now, unseen: now, rests: c.rests, faultless: now,
		word: CoreReport{Seen: d.epoch, Done: d.epoch}}
	d.purse.begin(at)
	d.out = append(d.out, Begin{Core: at, Life: c.life, Epoch: d.epoch})
}

// meanRate is the mean rate of the proxies that are here.
func (d *Assigner) meanRate() float64 {
	var all crowd
	for _, zones := range d.crowds {
		for _, c := range zones {
			all.number, all.rate = all.number+c.number, all.rate+c.rate
		}
	}
	return all.rate / max(1, all.number)
}

// loads is each core's cost, what of it is in a zone, and whether it may get proxies.
func (d *Assigner) loads(zone int) (all, inZone []float64, open []bool) {
	all, inZone, open = make([]float64, len(d.cores)), make([]float64, len(d.cores)), make([]bool, len(d.cores))
	mean := d.meanRate()
	for i, zones := range d.crowds {
		for z, c := range zones {
			x := c.number * cost(c.rate/max(1, c.number), mean)
			if all[i] += x; z == zone {
				inZone[i] = x
			}
		}
	}
	funded := false
	for i := range d.cores {
		open[i] = d.cores[i].live && d.purse.holders[i].told > 0
		funded = funded || open[i]
	}
	for i := range d.cores {
		open[i] = open[i] || !funded && d.cores[i].live
	}
	return all, inZone, open
}

// even moves proxies from full cores to empty ones, unless a core has something to take up first.
func (d *Assigner) even(now float64) {
	for i := range d.cores {
		if c := &d.cores[i]; c.live && (c.word.Done < d.epoch || d.late(now, c)) {
			return
		}
	}
	loads, _, open := d.loads(-1)
	mean, least, most := d.meanRate(), math.Inf(1), 0.0
	for i, load := range loads {
		if open[i] {
			least, most = min(least, load), max(most, load)
		}
	}
	if d.set.MovesPerS == 0 || (most-least)*float64(len(d.cores)) <= unevenFrom*float64(len(d.homes)) {
		return // a quick look; moves goes by the cores that are open
	}
	var list []settler
	for proxy, h := range d.homes {
		list = append(list, settler{proxy: proxy, core: h.core, zone: h.zone, cost: cost(h.rate, mean),
			rested: now-h.movedAt >= moveRest})
	}
	for _, m := range moves(list, open, d.set.MovesPerS) {
		h := d.homes[m.proxy]
		from := h.core
		d.rehome(now, h, m.to)
		d.out = append(d.out, Leave{Stream: h.stream, Proxy: m.proxy, Core: from, Life: d.cores[from].life},
			Assignment{Stream: h.stream, Proxy: m.proxy, Core: m.to, Life: d.cores[m.to].life})
	}
}

// share deals the channel by the proxies that each core has, and tells each core what is its own and what the others
// bring.
func (d *Assigner) share() {
	needs := make([]float64, len(d.cores))
	for _, h := range d.homes {
		needs[h.core]++
	}
	d.purse.deal(needs)
	for i := range d.cores {
		if !d.cores[i].live {
			continue
		}
		s := Share{Core: i, Life: d.cores[i].life, Deal: d.purse.holders[i].deal, Channel: d.purse.holders[i].told}
		for j := range d.cores {
			if c := &d.cores[j]; j != i && c.live {
				s.Joined += c.word.Joined
				s.Usual = sum(s.Usual, c.word.Usual)
				s.Demands = sum(s.Demands, c.word.Demands)
			}
		}
		d.out = append(d.out, s)
	}
}

// sum adds two lists up; the longer one's length counts.
func sum(a, b []float64) []float64 {
	out := make([]float64, max(len(a), len(b)))
	for i := range out {
		if i < len(a) {
			out[i] += a[i]
		}
		if i < len(b) {
			out[i] += b[i]
		}
	}
	return out
}
