package cores

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Settings are the facts that an assigner is given.
type Settings struct {
	Cores          int
	Zones          int
	QueueLines     float64 // lines that may wait in the planner's channel
	LinesPerSec    float64 // its usual pace
	ConfirmTimeout float64 // a core that hasn't taken up a change, or reported, within this is late
	MovesPerSecond int     // proxies that may be moved a second
	RestartDelay   float64 // a core that was cut off stays out this long; doubled each time
}

const (
	// allocateInterval is the time between two allocations of the channel, and between two looks at how even the cores are.
	allocateInterval = 1000.0
	// maxRest is the longest rest, in rests.
	maxRest = 64
	// healthyRests is how many rests without a fault make a core's earlier ones forgotten.
	healthyRests = 30
	// stalledShare is the share of ConfirmTimeout after which an assigner that was not ticked takes it that the whole process stood
	// still: what its cores did not report meanwhile says nothing about them.
	stalledShare = 0.5
)

// CoreReport is what a core reports after each look.
type CoreReport struct {
	SeenEpoch     uint64    // changes of the list that its module has looked at
	AppliedEpoch  uint64    // changes that no table of its proxies contradicts any more
	ShareNumber   uint64    // the number of the share that it works with
	QueuedLines   float64   // lines that wait for its proxies
	JoinedProxies float64   // proxies
	TypicalRates  []float64 // their requests a second, by zone
	Demands       []float64 // by class
}

// Command is what an assigner has its host do.
type Command interface{ command() }

// The commands, to be carried out in their order.
type (
	// Assign gives a proxy's stream to a core, which sends it its whole table. Whoever had it can't order on it any more.
	Assign struct {
		Stream            uint64
		Proxy             int
		Core, Incarnation int
	}
	// Unassign tells a core that a proxy is not its any more.
	Unassign struct {
		Stream            uint64
		Proxy             int
		Core, Incarnation int
	}
	// Supersede ends a stream whose proxy has a newer one.
	Supersede struct{ Stream uint64 }
	// UpdateList gives a core the change of the list that is under way.
	UpdateList struct {
		Core, Incarnation int
		Epoch             uint64
	}
	// Isolate takes from a core every stream that it has. Nothing that it still says or orders counts.
	Isolate struct {
		Core, Incarnation int
		Reason            string
	}
	// StartCore starts a core's next incarnation, with the whole list as of the epoch.
	StartCore struct {
		Core, Incarnation int
		Epoch             uint64
	}
	// Share tells a core what of the planner is its own, and what the others' proxies bring.
	Share struct {
		Core, Incarnation     int
		Number                uint64 // changes with Channel
		ChannelShare          float64
		JoinedProxies         float64
		TypicalRates, Demands []float64
	}
	// LogLine is a line for the log.
	LogLine struct {
		Core int
		Text string
	}
	// Abort says that no core is left: the program can't go on.
	Abort struct{ Reason string }
)

func (Assign) command()     {}
func (Unassign) command()   {}
func (Supersede) command()  {}
func (UpdateList) command() {}
func (Isolate) command()    {}
func (StartCore) command()  {}
func (Share) command()      {}
func (LogLine) command()    {}
func (Abort) command()      {}

// core is a core's standing.
type core struct {
	live          bool
	incarnation   int
	hasReported   bool    // it has reported in this incarnation: only such a one can take over
	lastReportAt  float64 // its last report, or what stands for one
	report        CoreReport
	listChangedAt float64 // since when a change of the list waits to be taken up; meaningful if report.Seen is behind
	ended         bool    // what ran it has ended
	restartAt     float64
	nextRests     float64 // the next rest, in rests
	healthySince  float64 // since when
	slowLogged    bool    // that it is slow to take tables back
}

// proxyGroup is the proxies of one zone at one core.
type proxyGroup struct{ number, rate float64 }

// placement is where a proxy belongs.
type placement struct {
	stream  uint64
	core    int
	zone    int
	rate    float64
	movedAt float64
}

// Assigner divides a planner among its cores.
type Assigner struct {
	settings       Settings
	cores          []core
	placements     map[int]*placement // joined proxies, by number
	groups         [][]proxyGroup     // of the homes, by core and zone
	lastCores      map[int]int        // the core that had a proxy which is not here: its mirror is there
	budget         *channelBudget
	epoch          uint64
	lastTick       float64 // when Tick was last called
	lastAllocation float64
	warned         bool // that no core can take over
	commands       []Command
}

// NewAssigner returns an assigner whose cores all start now.
func NewAssigner(set Settings, now float64) *Assigner {
	a := &Assigner{settings: set, cores: make([]core, set.Cores), placements: map[int]*placement{}, lastCores: map[int]int{},
		budget: newChannelBudget(set.Cores, set.QueueLines, set.LinesPerSec), lastTick: now, lastAllocation: now}
	for i := range a.cores {
		a.groups = append(a.groups, make([]proxyGroup, set.Zones))
		a.cores[i] = core{live: true, incarnation: 1, lastReportAt: now, healthySince: now, nextRests: 1}
		a.commands = append(a.commands, StartCore{Core: i, Incarnation: 1})
	}
	return a
}

// DrainCommands returns the commands given since the last call.
func (a *Assigner) DrainCommands() []Command {
	out := a.commands
	a.commands = nil
	return out
}

// Incarnation is a core's present life; 0: it is out.
func (a *Assigner) Incarnation(core int) int {
	if !a.cores[core].live {
		return 0
	}
	return a.cores[core].incarnation
}

// CoreOf is the core that decides for a proxy.
func (a *Assigner) CoreOf(proxy int) (core int, joined bool) {
	h := a.placements[proxy]
	if h == nil {
		return 0, false
	}
	return h.core, true
}

// count adds a proxy to its core's groups, or with sign -1 takes it out.
func (a *Assigner) count(h *placement, sign float64) {
	c := &a.groups[h.core][h.zone]
	c.number += sign
	if c.rate += sign * h.rate; c.number == 0 {
		c.rate = 0 // sums of fractions leave a rest
	}
}

// move gives a proxy to another core.
func (a *Assigner) move(now float64, h *placement, to int) {
	a.count(h, -1)
	h.core, h.movedAt = to, now
	a.count(h, 1)
}

func (a *Assigner) log(core int, format string, args ...any) {
	a.commands = append(a.commands, LogLine{Core: core, Text: fmt.Sprintf(format, args...)})
}

// HandleJoined takes a proxy's stream in. Larger streams are newer: an older one of the same proxy is ended, and so is this one
// if it is the older. A proxy that comes back goes to the core that has its mirror, if that lives and is not overfull.
func (a *Assigner) HandleJoined(now float64, stream uint64, proxy, zone int, rate float64) {
	core, known := a.lastCores[proxy]
	if old := a.placements[proxy]; old != nil {
		if old.stream >= stream {
			a.commands = append(a.commands, Supersede{Stream: stream})
			return
		}
		a.commands = append(a.commands, Unassign{Stream: old.stream, Proxy: proxy, Core: old.core,
			Incarnation: a.cores[old.core].incarnation},
			Supersede{Stream: old.stream})
		core, known = old.core, true
		a.count(old, -1)
		delete(a.placements, proxy)
	}
	delete(a.lastCores, proxy)
	h := &placement{stream: stream, zone: zone, rate: max(0, rate), movedAt: math.Inf(-1)}
	loads, zoneLoads, open := a.loads(zone)
	if known = known && open[core]; known {
		total, live := 0.0, 0.0
		for i := range open {
			if open[i] {
				live, total = live+1, total+loads[i]
			}
		}
		known = loads[core]*live <= (1+unevenFrom)*total
	}
	if h.core = core; !known {
		var found bool
		if h.core, found = pick(loads, zoneLoads, a.settings.Zones, open); !found {
			return // no core is left, which Abort has reported
		}
	}
	a.placements[proxy] = h
	a.count(h, 1)
	a.commands = append(a.commands, Assign{Stream: stream, Proxy: proxy, Core: h.core,
		Incarnation: a.cores[h.core].incarnation})
}

// HandleLeft says that a stream has ended. That of a proxy with a newer one changes nothing.
func (a *Assigner) HandleLeft(stream uint64, proxy int) {
	h := a.placements[proxy]
	if h == nil || h.stream != stream {
		return
	}
	a.count(h, -1)
	delete(a.placements, proxy)
	a.lastCores[proxy] = h.core
	a.commands = append(a.commands, Unassign{Stream: stream, Proxy: proxy, Core: h.core, Incarnation: a.cores[h.core].incarnation})
}

// HandleListChange says that the list has changed. Every core is told; it takes it up with its next look.
func (a *Assigner) HandleListChange(now float64) (epoch uint64) {
	for i := range a.cores {
		if c := &a.cores[i]; c.live {
			if c.report.SeenEpoch >= a.epoch {
				c.listChangedAt = now
			}
			a.commands = append(a.commands, UpdateList{Core: i, Incarnation: c.incarnation, Epoch: a.epoch + 1})
		}
	}
	a.epoch++
	return a.epoch
}

// HandleReport takes a core's report. One of an incarnation that has ended is ignored.
func (a *Assigner) HandleReport(now float64, core, incarnation int, report CoreReport) {
	c := &a.cores[core]
	if !c.live || c.incarnation != incarnation {
		return
	}
	if c.lastReportAt, c.hasReported = now, true; report.SeenEpoch > c.report.SeenEpoch {
		c.listChangedAt = now // what is still behind has waited at most since then
	}
	c.report = report
	if report.AppliedEpoch >= a.epoch {
		c.slowLogged = false
	}
	a.budget.confirm(core, report.ShareNumber, report.QueuedLines)
	if now-c.healthySince > healthyRests*a.settings.RestartDelay {
		c.nextRests = 1
	}
}

// HandleEnded says that what ran a core has ended, by a panic or since it was cut off.
func (a *Assigner) HandleEnded(now float64, core, incarnation int, why string) {
	c := &a.cores[core]
	if c.incarnation != incarnation {
		return
	}
	c.ended = true
	if c.live {
		a.isolate(now, core, why)
	}
}

// Tick looks at the cores. It is to be called several times within ConfirmTimeout.
func (a *Assigner) Tick(now float64) {
	if late := now - a.lastTick; late > stalledShare*a.settings.ConfirmTimeout {
		for i := range a.cores {
			a.cores[i].lastReportAt += late
			a.cores[i].listChangedAt += late
		}
	}
	a.budget.drain(now - a.lastTick)
	a.lastTick = now
	a.isolateLate(now)
	for i := range a.cores {
		if c := &a.cores[i]; !c.live && c.ended && now >= c.restartAt {
			a.startCore(now, i)
		}
	}
	if now-a.lastAllocation >= allocateInterval {
		a.lastAllocation = now
		a.balance(now)
		a.shareChannel()
	}
}

// late says whether a core holds its proxies up: no report, or a change of the list that its module has not looked at.
func (a *Assigner) late(now float64, c *core) bool {
	return now-c.lastReportAt > a.settings.ConfirmTimeout || c.report.SeenEpoch < a.epoch && now-c.listChangedAt > a.settings.ConfirmTimeout
}

// isolateLate cuts off cores that are late, if another is in time: where all are late it is the machine, and moving every proxy
// would only add to that. A core that is in time but can't write what takes a server out, since the channel is slow, is
// not late: whole tables would take the channel longer still.
func (a *Assigner) isolateLate(now float64) {
	healthy := false
	for i := range a.cores {
		healthy = healthy || a.cores[i].live && a.cores[i].hasReported && !a.late(now, &a.cores[i])
	}
	for i := range a.cores {
		c := &a.cores[i]
		switch {
		case !c.live:
		case a.late(now, c) && healthy:
			a.isolate(now, i, fmt.Sprintf("no word for %.0f ms, list %d of %d", now-c.lastReportAt, c.report.SeenEpoch, a.epoch))
		case a.late(now, c) && !a.warned:
			a.warned = true
			a.log(i, "late, as are all others: none can take over")
		case !a.late(now, c):
			a.warned = false
			if !c.slowLogged && c.report.AppliedEpoch < a.epoch && c.report.SeenEpoch >= a.epoch &&
				now-c.listChangedAt > 2*a.settings.ConfirmTimeout {
				c.slowLogged = true
				a.log(i, "list %d looked at, tables that contradict it still wait for the channel", a.epoch)
			}
		}
	}
}

// isolate takes a core out and gives its proxies to the others, those of the most traffic first.
func (a *Assigner) isolate(now float64, index int, why string) {
	c := &a.cores[index]
	c.live, c.restartAt, c.healthySince = false, now+c.nextRests*a.settings.RestartDelay, now+c.nextRests*a.settings.RestartDelay
	c.nextRests = min(maxRest, 2*c.nextRests)
	a.budget.remove(index)
	a.commands = append(a.commands, Isolate{Core: index, Incarnation: c.incarnation, Reason: why})
	var displaced []int
	for proxy, h := range a.placements {
		if h.core == index {
			displaced = append(displaced, proxy)
		}
	}
	slices.SortFunc(displaced, func(first, second int) int {
		return cmp.Or(cmp.Compare(a.placements[second].rate, a.placements[first].rate), cmp.Compare(first, second))
	})
	maps.DeleteFunc(a.lastCores, func(_ int, core int) bool { return core == index })
	for n, proxy := range displaced {
		h := a.placements[proxy]
		loads, zoneLoads, open := a.loads(h.zone)
		to, found := pick(loads, zoneLoads, a.settings.Zones, open)
		if !found {
			for _, proxy := range displaced[n:] {
				a.count(a.placements[proxy], -1)
				delete(a.placements, proxy)
			}
			break
		}
		a.move(now, h, to)
		a.commands = append(a.commands, Assign{Stream: h.stream, Proxy: proxy, Core: to,
			Incarnation: a.cores[to].incarnation})
	}
	if !slices.ContainsFunc(a.cores, func(c core) bool { return c.live }) {
		a.commands = append(a.commands, Abort{Reason: why})
	}
}

// startCore starts a core's next incarnation. It gets proxies once it has a share of the channel.
func (a *Assigner) startCore(now float64, index int) {
	c := &a.cores[index]
	*c = core{live: true, incarnation: c.incarnation + 1, lastReportAt: now, listChangedAt: now, nextRests: c.nextRests,
		healthySince: now,
		report:       CoreReport{SeenEpoch: a.epoch, AppliedEpoch: a.epoch}}
	a.budget.add(index)
	a.commands = append(a.commands, StartCore{Core: index, Incarnation: c.incarnation, Epoch: a.epoch})
}

// meanRate is the mean rate of the proxies that are here.
func (a *Assigner) meanRate() float64 {
	var all proxyGroup
	for _, zones := range a.groups {
		for _, c := range zones {
			all.number, all.rate = all.number+c.number, all.rate+c.rate
		}
	}
	return all.rate / max(1, all.number)
}

// loads is each core's cost, what of it is in a zone, and whether it may get proxies.
func (a *Assigner) loads(zone int) (all, inZone []float64, open []bool) {
	all, inZone, open = make([]float64, len(a.cores)), make([]float64, len(a.cores)), make([]bool, len(a.cores))
	mean := a.meanRate()
	for i, zones := range a.groups {
		for z, c := range zones {
			x := c.number * cost(c.rate/max(1, c.number), mean)
			if all[i] += x; z == zone {
				inZone[i] = x
			}
		}
	}
	funded := false
	for i := range a.cores {
		open[i] = a.cores[i].live && a.budget.holders[i].share > 0
		funded = funded || open[i]
	}
	for i := range a.cores {
		open[i] = open[i] || !funded && a.cores[i].live
	}
	return all, inZone, open
}

// balance moves proxies from full cores to empty ones, unless a core has something to take up first.
func (a *Assigner) balance(now float64) {
	for i := range a.cores {
		if c := &a.cores[i]; c.live && (c.report.AppliedEpoch < a.epoch || a.late(now, c)) {
			return
		}
	}
	loads, _, open := a.loads(-1)
	mean, lowest, highest := a.meanRate(), math.Inf(1), 0.0
	for i, load := range loads {
		if open[i] {
			lowest, highest = min(lowest, load), max(highest, load)
		}
	}
	if a.settings.MovesPerSecond == 0 || (highest-lowest)*float64(len(a.cores)) <= unevenFrom*float64(len(a.placements)) {
		return // a quick look; moves goes by the cores that are open
	}
	var list []movableProxy
	for proxy, h := range a.placements {
		list = append(list, movableProxy{proxy: proxy, core: h.core, zone: h.zone, cost: cost(h.rate, mean),
			rested: now-h.movedAt >= moveRest})
	}
	for _, m := range planMoves(list, open, a.settings.MovesPerSecond) {
		h := a.placements[m.proxy]
		from := h.core
		a.move(now, h, m.to)
		a.commands = append(a.commands, Unassign{Stream: h.stream, Proxy: m.proxy, Core: from,
			Incarnation: a.cores[from].incarnation},
			Assign{Stream: h.stream, Proxy: m.proxy, Core: m.to, Incarnation: a.cores[m.to].incarnation})
	}
}

// shareChannel deals the channel by the proxies that each core has, and tells each core what is its own and what the others
// bring.
func (a *Assigner) shareChannel() {
	needs := make([]float64, len(a.cores))
	for _, h := range a.placements {
		needs[h.core]++
	}
	a.budget.allocate(needs)
	for i := range a.cores {
		if !a.cores[i].live {
			continue
		}
		s := Share{Core: i, Incarnation: a.cores[i].incarnation, Number: a.budget.holders[i].number,
			ChannelShare: a.budget.holders[i].share}
		for j := range a.cores {
			if c := &a.cores[j]; j != i && c.live {
				s.JoinedProxies += c.report.JoinedProxies
				s.TypicalRates = addLists(s.TypicalRates, c.report.TypicalRates)
				s.Demands = addLists(s.Demands, c.report.Demands)
			}
		}
		a.commands = append(a.commands, s)
	}
}

// addLists adds two lists up; the longer one's length counts.
func addLists(a, b []float64) []float64 {
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
