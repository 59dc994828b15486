package cores

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Settings configures an Assigner.
type Settings struct {
	Cores          int
	Zones          int
	QueueLines     float64 // capacity of the planner's channel, in lines
	LinesPerSec    float64 // usual throughput of the channel, in lines per second
	ConfirmTimeout float64 // time in which a core must report and take up a list change, or it is late
	MovesPerSecond int     // limit on proxies moved for rebalancing per second; 0 turns rebalancing off
	RestartDelay   float64 // delay before an isolated core restarts; doubled with each fault
}

const (
	// allocateInterval is the time between two allocations of the channel and between two attempts to rebalance, in
	// milliseconds.
	allocateInterval = 1000.0
	// maxRestartBackoff limits the restart delay, in multiples of Settings.RestartDelay.
	maxRestartBackoff = 64
	// backoffResetDelays is the time without a fault after which a core's restart backoff is reset, in multiples of
	// Settings.RestartDelay.
	backoffResetDelays = 30
	// stalledShare is the share of ConfirmTimeout without a call of Tick after which the whole process is assumed to have
	// been suspended. Missing reports from that time are not held against the cores.
	stalledShare = 0.5
)

// CoreReport is the state that a core reports after each planning round.
type CoreReport struct {
	SeenEpoch     uint64    // latest list epoch that the core's decision module has processed
	AppliedEpoch  uint64    // latest list epoch that the tables of all its proxies comply with
	ShareNumber   uint64    // number of the Share in use
	QueuedLines   float64   // lines buffered for its proxies
	JoinedProxies float64   // number of joined proxies
	TypicalRates  []float64 // typical requests per second of its proxies, by zone
	Demands       []float64 // recent requests per second of its proxies, by class
}

// Command is an instruction of an Assigner to its host.
type Command interface{ command() }

// The commands. The host must execute them in order.
type (
	// Assign assigns a proxy's stream to a core, which sends the proxy a whole table. The previous owner must not write to
	// the stream any more.
	Assign struct {
		Stream            uint64
		Proxy             int
		Core, Incarnation int
	}
	// Unassign removes a proxy from a core.
	Unassign struct {
		Stream            uint64
		Proxy             int
		Core, Incarnation int
	}
	// Supersede closes a stream whose proxy has opened a newer one.
	Supersede struct{ Stream uint64 }
	// UpdateList sends the latest change of the server list to a core.
	UpdateList struct {
		Core, Incarnation int
		Epoch             uint64
	}
	// Isolate revokes all streams of a core. Later reports and orders of that incarnation are ignored.
	Isolate struct {
		Core, Incarnation int
		Reason            string
	}
	// StartCore starts a core's next incarnation with the complete server list as of Epoch.
	StartCore struct {
		Core, Incarnation int
		Epoch             uint64
	}
	// Share sends a core its share of the planner's channel and the sums over the proxies of all other cores.
	Share struct {
		Core, Incarnation     int
		Number                uint64 // increases whenever ChannelShare changes
		ChannelShare          float64
		JoinedProxies         float64
		TypicalRates, Demands []float64
	}
	// LogLine is a message for the log.
	LogLine struct {
		Core int
		Text string
	}
	// Abort reports that no core is live, so the program must end.
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

// core is the state of one core.
type core struct {
	live               bool
	incarnation        int
	hasReported        bool    // the core has reported in this incarnation; only then can it take over proxies
	lastReportAt       float64 // time of the last report or of the start, plus the suspensions of the process since
	report             CoreReport
	changePendingSince float64 // since when a list change is pending; valid if report.SeenEpoch is behind
	exited             bool    // the core's goroutine has ended
	restartAt          float64
	restartBackoff     float64 // delay of the next restart, in multiples of Settings.RestartDelay
	healthySince       float64 // since when the core has had no fault; in the future while it waits for its restart
	slowLogged         bool    // the slow removal of outdated tables has been logged
}

// proxyGroup is the number of proxies of one zone at one core, and the sum of their requests per second.
type proxyGroup struct{ count, rate float64 }

// placement is the assignment of a joined proxy to a core.
type placement struct {
	stream  uint64
	core    int
	zone    int
	rate    float64
	movedAt float64
}

// Assigner assigns proxies and channel shares to the cores of one planner. It is not safe for concurrent use.
type Assigner struct {
	settings       Settings
	cores          []core
	placements     map[int]*placement // joined proxies, by number
	groups         [][]proxyGroup     // sums over placements, by core and zone
	lastCores      map[int]int        // by proxy that has left: its last core, which still holds a copy of its table
	budget         *channelBudget
	epoch          uint64
	lastTick       float64 // when Tick was last called
	lastAllocation float64
	allLateLogged  bool // it has been logged that all cores are late
	commands       []Command
}

// NewAssigner returns an Assigner whose first commands start all cores.
func NewAssigner(settings Settings, now float64) *Assigner {
	a := &Assigner{settings: settings, cores: make([]core, settings.Cores), placements: map[int]*placement{},
		lastCores: map[int]int{},
		budget:    newChannelBudget(settings.Cores, settings.QueueLines, settings.LinesPerSec),
		lastTick:  now, lastAllocation: now}
	for i := range a.cores {
		a.groups = append(a.groups, make([]proxyGroup, settings.Zones))
		a.cores[i] = core{live: true, incarnation: 1, lastReportAt: now, healthySince: now, restartBackoff: 1}
		a.commands = append(a.commands, StartCore{Core: i, Incarnation: 1})
	}
	return a
}

// DrainCommands returns the commands issued since the last call.
func (a *Assigner) DrainCommands() []Command {
	out := a.commands
	a.commands = nil
	return out
}

// Incarnation returns a core's current incarnation, or 0 if the core is isolated.
func (a *Assigner) Incarnation(core int) int {
	if !a.cores[core].live {
		return 0
	}
	return a.cores[core].incarnation
}

// CoreOf returns the core that a proxy is assigned to, and whether the proxy has joined.
func (a *Assigner) CoreOf(proxy int) (core int, joined bool) {
	placed := a.placements[proxy]
	if placed == nil {
		return 0, false
	}
	return placed.core, true
}

// adjustGroup adds a proxy to the sums of its core and zone, or subtracts it if sign is -1.
func (a *Assigner) adjustGroup(placed *placement, sign float64) {
	group := &a.groups[placed.core][placed.zone]
	group.count += sign
	if group.rate += sign * placed.rate; group.count == 0 {
		group.rate = 0 // clears the rounding error of the sum
	}
}

// move reassigns a proxy to another core.
func (a *Assigner) move(now float64, placed *placement, to int) {
	a.adjustGroup(placed, -1)
	placed.core, placed.movedAt = to, now
	a.adjustGroup(placed, 1)
}

func (a *Assigner) log(core int, format string, args ...any) {
	a.commands = append(a.commands, LogLine{Core: core, Text: fmt.Sprintf(format, args...)})
}

// HandleJoined assigns a proxy's new stream to a core. Of two streams of the same proxy, the one with the smaller ID is older
// and is closed. A returning proxy is assigned to its last core, which still holds a copy of its table, if that core is
// live and not overloaded.
func (a *Assigner) HandleJoined(now float64, stream uint64, proxy, zone int, rate float64) {
	core, preferred := a.lastCores[proxy]
	if previous := a.placements[proxy]; previous != nil {
		if previous.stream >= stream {
			a.commands = append(a.commands, Supersede{Stream: stream})
			return
		}
		a.commands = append(a.commands, Unassign{Stream: previous.stream, Proxy: proxy, Core: previous.core,
			Incarnation: a.cores[previous.core].incarnation},
			Supersede{Stream: previous.stream})
		core, preferred = previous.core, true
		a.adjustGroup(previous, -1)
		delete(a.placements, proxy)
	}
	delete(a.lastCores, proxy)
	placed := &placement{stream: stream, zone: zone, rate: max(0, rate), movedAt: math.Inf(-1)}
	loads, zoneLoads, assignable := a.loads(zone)
	if preferred = preferred && assignable[core]; preferred {
		total, live := 0.0, 0.0
		for i := range assignable {
			if assignable[i] {
				live, total = live+1, total+loads[i]
			}
		}
		preferred = loads[core]*live <= (1+rebalanceThreshold)*total
	}
	if placed.core = core; !preferred {
		var found bool
		if placed.core, found = pickCore(loads, zoneLoads, a.settings.Zones, assignable); !found {
			return // no core is left, which Abort has reported
		}
	}
	a.placements[proxy] = placed
	a.adjustGroup(placed, 1)
	a.commands = append(a.commands, Assign{Stream: stream, Proxy: proxy, Core: placed.core,
		Incarnation: a.cores[placed.core].incarnation})
}

// HandleLeft removes a proxy whose stream has ended. It ignores a stream that a newer one has replaced.
func (a *Assigner) HandleLeft(stream uint64, proxy int) {
	placed := a.placements[proxy]
	if placed == nil || placed.stream != stream {
		return
	}
	a.adjustGroup(placed, -1)
	delete(a.placements, proxy)
	a.lastCores[proxy] = placed.core
	a.commands = append(a.commands, Unassign{Stream: stream, Proxy: proxy, Core: placed.core,
		Incarnation: a.cores[placed.core].incarnation})
}

// HandleListChange increments the list epoch and notifies all live cores, which process the change in their next planning
// round.
func (a *Assigner) HandleListChange(now float64) (epoch uint64) {
	for i := range a.cores {
		if c := &a.cores[i]; c.live {
			if c.report.SeenEpoch >= a.epoch {
				c.changePendingSince = now
			}
			a.commands = append(a.commands, UpdateList{Core: i, Incarnation: c.incarnation, Epoch: a.epoch + 1})
		}
	}
	a.epoch++
	return a.epoch
}

// HandleReport processes a core's report. It ignores reports of earlier incarnations.
func (a *Assigner) HandleReport(now float64, core, incarnation int, report CoreReport) {
	c := &a.cores[core]
	if !c.live || c.incarnation != incarnation {
		return
	}
	if c.lastReportAt, c.hasReported = now, true; report.SeenEpoch > c.report.SeenEpoch {
		c.changePendingSince = now // a change that is still pending has waited since then at most
	}
	c.report = report
	if report.AppliedEpoch >= a.epoch {
		c.slowLogged = false
	}
	a.budget.confirm(core, report.ShareNumber, report.QueuedLines)
	if now-c.healthySince > backoffResetDelays*a.settings.RestartDelay {
		c.restartBackoff = 1
	}
}

// HandleEnded records that a core's goroutine has ended, by a panic or after its isolation. A live core is isolated.
func (a *Assigner) HandleEnded(now float64, core, incarnation int, reason string) {
	c := &a.cores[core]
	if c.incarnation != incarnation {
		return
	}
	c.exited = true
	if c.live {
		a.isolate(now, core, reason)
	}
}

// Tick isolates late cores, restarts isolated ones, rebalances proxies and allocates the channel. It must be called several
// times per ConfirmTimeout.
func (a *Assigner) Tick(now float64) {
	if elapsed := now - a.lastTick; elapsed > stalledShare*a.settings.ConfirmTimeout {
		for i := range a.cores {
			a.cores[i].lastReportAt += elapsed
			a.cores[i].changePendingSince += elapsed
		}
	}
	a.budget.advance(now - a.lastTick)
	a.lastTick = now
	a.isolateLate(now)
	for i := range a.cores {
		if c := &a.cores[i]; !c.live && c.exited && now >= c.restartAt {
			a.startCore(now, i)
		}
	}
	if now-a.lastAllocation >= allocateInterval {
		a.lastAllocation = now
		a.balance(now)
		a.shareChannel()
	}
}

// isLate reports whether a core has exceeded ConfirmTimeout, either without a report or with a list change that its decision
// module has not processed.
func (a *Assigner) isLate(now float64, c *core) bool {
	return now-c.lastReportAt > a.settings.ConfirmTimeout ||
		c.report.SeenEpoch < a.epoch && now-c.changePendingSince > a.settings.ConfirmTimeout
}

// isolateLate isolates late cores if another core is on time. If all are late, the machine is overloaded, and moving every
// proxy would add to its load. A core that is on time but can't send the removal of a server because the channel is slow
// is not late: the whole tables sent by a new owner would take the channel longer still.
func (a *Assigner) isolateLate(now float64) {
	healthy := false
	for i := range a.cores {
		healthy = healthy || a.cores[i].live && a.cores[i].hasReported && !a.isLate(now, &a.cores[i])
	}
	for i := range a.cores {
		c := &a.cores[i]
		switch {
		case !c.live:
		case a.isLate(now, c) && healthy:
			a.isolate(now, i, fmt.Sprintf("no word for %.0f ms, list %d of %d", now-c.lastReportAt, c.report.SeenEpoch, a.epoch))
		case a.isLate(now, c) && !a.allLateLogged:
			a.allLateLogged = true
			a.log(i, "late, as are all others: none can take over")
		case !a.isLate(now, c):
			a.allLateLogged = false
			if !c.slowLogged && c.report.AppliedEpoch < a.epoch && c.report.SeenEpoch >= a.epoch &&
				now-c.changePendingSince > 2*a.settings.ConfirmTimeout {
				c.slowLogged = true
				a.log(i, "list %d looked at, tables that contradict it still wait for the channel", a.epoch)
			}
		}
	}
}

// isolate removes a core and reassigns its proxies to the other cores, in descending order of their rates.
func (a *Assigner) isolate(now float64, index int, reason string) {
	c := &a.cores[index]
	c.live, c.restartAt, c.healthySince = false, now+c.restartBackoff*a.settings.RestartDelay,
		now+c.restartBackoff*a.settings.RestartDelay
	c.restartBackoff = min(maxRestartBackoff, 2*c.restartBackoff)
	a.budget.remove(index)
	a.commands = append(a.commands, Isolate{Core: index, Incarnation: c.incarnation, Reason: reason})
	var displaced []int
	for proxy, placed := range a.placements {
		if placed.core == index {
			displaced = append(displaced, proxy)
		}
	}
	slices.SortFunc(displaced, func(first, second int) int {
		return cmp.Or(cmp.Compare(a.placements[second].rate, a.placements[first].rate), cmp.Compare(first, second))
	})
	maps.DeleteFunc(a.lastCores, func(_ int, core int) bool { return core == index })
	for n, proxy := range displaced {
		placed := a.placements[proxy]
		loads, zoneLoads, assignable := a.loads(placed.zone)
		target, found := pickCore(loads, zoneLoads, a.settings.Zones, assignable)
		if !found {
			for _, proxy := range displaced[n:] {
				a.adjustGroup(a.placements[proxy], -1)
				delete(a.placements, proxy)
			}
			break
		}
		a.move(now, placed, target)
		a.commands = append(a.commands, Assign{Stream: placed.stream, Proxy: proxy, Core: target,
			Incarnation: a.cores[target].incarnation})
	}
	if !slices.ContainsFunc(a.cores, func(c core) bool { return c.live }) {
		a.commands = append(a.commands, Abort{Reason: reason})
	}
}

// startCore starts a core's next incarnation. It is assigned proxies once it has a share of the channel.
func (a *Assigner) startCore(now float64, index int) {
	c := &a.cores[index]
	*c = core{live: true, incarnation: c.incarnation + 1, lastReportAt: now, changePendingSince: now,
		restartBackoff: c.restartBackoff,
		healthySince:   now,
		report:         CoreReport{SeenEpoch: a.epoch, AppliedEpoch: a.epoch}}
	a.budget.add(index)
	a.commands = append(a.commands, StartCore{Core: index, Incarnation: c.incarnation, Epoch: a.epoch})
}

// meanRate returns the mean rate of the joined proxies.
func (a *Assigner) meanRate() float64 {
	var total proxyGroup
	for _, zones := range a.groups {
		for _, group := range zones {
			total.count, total.rate = total.count+group.count, total.rate+group.rate
		}
	}
	return total.rate / max(1, total.count)
}

// loads returns, by core, the total cost of its proxies, the part of that cost in one zone, and whether proxies may be
// assigned to it: it must be live and have a share of the channel, or only be live if no core has a share.
func (a *Assigner) loads(zone int) (total, inZone []float64, assignable []bool) {
	total, inZone, assignable = make([]float64, len(a.cores)), make([]float64, len(a.cores)), make([]bool, len(a.cores))
	mean := a.meanRate()
	for i, zones := range a.groups {
		for z, group := range zones {
			load := group.count * cost(group.rate/max(1, group.count), mean)
			if total[i] += load; z == zone {
				inZone[i] = load
			}
		}
	}
	funded := false
	for i := range a.cores {
		assignable[i] = a.cores[i].live && a.budget.holders[i].share > 0
		funded = funded || assignable[i]
	}
	for i := range a.cores {
		assignable[i] = assignable[i] || !funded && a.cores[i].live
	}
	return total, inZone, assignable
}

// balance moves proxies from the most to the least loaded cores. It does nothing while a list change is pending at a core
// or a core is late.
func (a *Assigner) balance(now float64) {
	for i := range a.cores {
		if c := &a.cores[i]; c.live && (c.report.AppliedEpoch < a.epoch || a.isLate(now, c)) {
			return
		}
	}
	loads, _, assignable := a.loads(-1)
	mean, lowest, highest := a.meanRate(), math.Inf(1), 0.0
	for i, load := range loads {
		if assignable[i] {
			lowest, highest = min(lowest, load), max(highest, load)
		}
	}
	if a.settings.MovesPerSecond == 0 || (highest-lowest)*float64(len(a.cores)) <= rebalanceThreshold*float64(len(a.placements)) {
		return // cheap check with all cores counted; planMoves counts only assignable ones
	}
	var candidates []movableProxy
	for proxy, placed := range a.placements {
		candidates = append(candidates, movableProxy{proxy: proxy, core: placed.core, zone: placed.zone,
			cost:       cost(placed.rate, mean),
			cooledDown: now-placed.movedAt >= moveCooldown})
	}
	for _, m := range planMoves(candidates, assignable, a.settings.MovesPerSecond) {
		placed := a.placements[m.proxy]
		from := placed.core
		a.move(now, placed, m.to)
		a.commands = append(a.commands, Unassign{Stream: placed.stream, Proxy: m.proxy, Core: from,
			Incarnation: a.cores[from].incarnation},
			Assign{Stream: placed.stream, Proxy: m.proxy, Core: m.to, Incarnation: a.cores[m.to].incarnation})
	}
}

// shareChannel allocates the channel in proportion to the number of proxies at each core. It sends each core its share and
// the sums over the other cores.
func (a *Assigner) shareChannel() {
	needs := make([]float64, len(a.cores))
	for _, placed := range a.placements {
		needs[placed.core]++
	}
	a.budget.allocate(needs)
	for i := range a.cores {
		if !a.cores[i].live {
			continue
		}
		share := Share{Core: i, Incarnation: a.cores[i].incarnation, Number: a.budget.holders[i].shareNumber,
			ChannelShare: a.budget.holders[i].share}
		for j := range a.cores {
			if c := &a.cores[j]; j != i && c.live {
				share.JoinedProxies += c.report.JoinedProxies
				share.TypicalRates = addLists(share.TypicalRates, c.report.TypicalRates)
				share.Demands = addLists(share.Demands, c.report.Demands)
			}
		}
		a.commands = append(a.commands, share)
	}
}

// addLists returns the element-wise sum of two lists, with the length of the longer one.
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
