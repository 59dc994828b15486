package bench

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot/plotter"

	"mulleinwood/internal/planner/audit"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

// Decisions is what planners of one number of cores decided on a scripted day, on simulated servers and a simulated clock.
type Decisions struct {
	Cores             int     `json:"cores"`
	SpeedCompensation float64 `json:"learnt_share"`     // of the difference between fast and slow servers that weights make up for
	Spread            float64 `json:"spread"`           // standard deviation of the servers' use, as a share of its mean
	RejectedShare     float64 `json:"refused_share"`    // of the worth asked for during the overload
	LevelDifference   float64 `json:"level_difference"` // largest between two proxies in any class, mean over the overload
	Messages          int     `json:"messages"`
	Lines             int     `json:"lines"`
	MaxQueueLines     float64 `json:"queue_lines_most"`
	MaxDrainMillis    float64 `json:"drain_ms_most"`
	ViolationCount    int     `json:"breaks"`
}

// DecisionsResult is the result of CompareDecisions.
type DecisionsResult struct {
	Fleet
	Seconds int         `json:"simulated_seconds"`
	Runs    []Decisions `json:"decisions"`
}

// The scripted day, in seconds. Tables stand before the first figure is taken.
const (
	scenarioSeconds = 150
	settleTime      = 60  // from here to the overload, weights and spread count
	overloadFrom    = 90  // servers get half as much again as they can do
	overloadUntil   = 130 // refusals count from 10 s after its beginning
	slowPart        = 4   // each fourth server is slow
	slowness        = 0.6
	idleMS          = 90.0
)

// scenarioRun is a deployment in which nothing is at random but the counts in reports, drawn from the seed alone: all planners meet
// the same day.
type scenarioRun struct {
	fleet   Fleet
	group   *group
	audit   *audit.Auditor
	tables  []map[string]float64
	levels  [][]float64
	rates   []float64
	result  Decisions
	ends    map[int]*end
	samples struct{ plain, loaded, levels float64 }
}

// CompareDecisions plays the same day to planners of several numbers of cores.
func CompareDecisions(f Fleet, counts []int, say func(string, ...any)) (DecisionsResult, error) {
	result := DecisionsResult{Fleet: f, Seconds: scenarioSeconds}
	for _, n := range counts {
		say("%d cores: %d s of a day, simulated", n, scenarioSeconds)
		d, err := f.play(n)
		if err != nil {
			return result, fmt.Errorf("%d cores: %w", n, err)
		}
		result.Runs = append(result.Runs, d)
	}
	return result, nil
}

func (f Fleet) play(n int) (Decisions, error) {
	d := &scenarioRun{fleet: f, result: Decisions{Cores: n}, ends: map[int]*end{}}
	var err error
	if d.group, err = newGroup(f, n, d.ordered); err != nil {
		return d.result, err
	}
	if err := d.begin(); err != nil {
		return d.result, err
	}
	draw := rand.New(rand.NewPCG(f.Seed, 12))
	for look := range scenarioSeconds * 10 {
		if err := d.look(look, draw); err != nil {
			return d.result, err
		}
	}
	if d.samples.plain > 0 {
		d.result.SpeedCompensation /= d.samples.plain
		d.result.Spread /= d.samples.plain
	}
	if d.samples.loaded > 0 {
		d.result.RejectedShare /= d.samples.loaded
		d.result.LevelDifference /= d.samples.loaded
	}
	d.result.MaxQueueLines, d.result.MaxDrainMillis, d.result.ViolationCount = d.audit.Peak.QueueLines, d.audit.Peak.DrainMillis, len(d.audit.Violations())
	return d.result, nil
}

// begin opens the books and lets every proxy join.
func (d *scenarioRun) begin() error {
	f := d.fleet
	d.audit = audit.New(d.group.set.Rules, d.group.now)
	for _, m := range d.group.known.Members {
		d.audit.ServerChanged(d.group.now, audit.Server{Name: m.ID, State: rules.Ready, Size: 1})
	}
	draw := rand.New(rand.NewPCG(f.Seed, 11))
	for p := range f.Proxies { // a few carry most
		rate := proxyRate / 2
		if p%10 == 0 {
			rate = proxyRate * 5
		}
		d.rates = append(d.rates, rate*(0.8+0.4*draw.Float64()))
		d.tables, d.levels = append(d.tables, map[string]float64{}), append(d.levels, []float64{1, 1, 1})
		d.audit.ProxyJoined(d.group.now, p, d.rates[p])
		if err := d.group.join(d.ends, p, d.rates[p]); err != nil {
			return err
		}
	}
	return nil
}

// ordered is a message that a proxy has read.
func (d *scenarioRun) ordered(proxy int, o protocol.Assignment) {
	sent := audit.Order{Replace: o.Replace, Rows: map[string]float64{}, Retries: map[int]rules.Retry{}, Drop: o.Exclude,
		Undrop: o.Include,
		Lines:  float64(o.LineCount()) + headOfMessage}
	if o.Replace {
		clear(d.tables[proxy])
	}
	for _, r := range o.Rows {
		if sent.Rows[r.Server] = r.Weight; r.Weight > 0 {
			d.tables[proxy][r.Server] = r.Weight
		} else {
			delete(d.tables[proxy], r.Server)
		}
	}
	for _, gate := range o.Gates {
		for k, class := range classes {
			if slices.Contains(gate.Classes, class) {
				d.levels[proxy][k], sent.Retries[k] = gate.Level, rules.Retry(gate.Retry)
			}
		}
	}
	d.result.Messages++
	d.result.Lines += int(sent.Lines)
	d.audit.OrderReceived(d.group.now, proxy, sent)
}

// capacity of a server in requests a second: with the whole fleet, half of the day's traffic over what is needed.
func (d *scenarioRun) capacity(i int) float64 {
	even := 0.0
	for _, rate := range d.rates {
		even += rate
	}
	even *= 1.6 / float64(d.fleet.Servers)
	if i%slowPart == 0 {
		return even * slowness
	}
	return even
}

// parts of a proxy's requests by class, and what they weigh in worth.
var (
	parts  = []float64{0.6, 0.2, 0.2}
	worths = []float64{1, 5, 2}
)

func (d *scenarioRun) look(look int, draw *rand.Rand) error {
	g := d.group
	g.now += decideInterval
	second := look / 10
	asked := 1.0
	if second >= overloadFrom && second < overloadUntil {
		asked = 2.4
	}
	if look%40 == 20 && second >= 20 { // a server drains, and comes back cold some seconds later
		d.change((look/40)%d.fleet.Servers, protocol.PhaseDraining, 0)
	}
	if look%40 == 0 && second >= 28 {
		d.change((look/40-2)%d.fleet.Servers, protocol.PhaseUp, g.now)
	}
	for _, e := range d.ends {
		for _, mark := range e.marks {
			g.said(e, protocol.Ack{Proxy: e.proxy, Token: mark, Elapsed: 20})
		}
		e.marks = nil
	}
	if look%10 == 0 {
		d.report(asked, second, draw)
	}
	for _, c := range g.each {
		if _, _, err := c.router.Advance(g.now); err != nil {
			return err
		}
	}
	d.audit.Tick(g.now)
	return g.words()
}

func (d *scenarioRun) change(i int, phase string, since float64) {
	d.group.change(member(i, phase, since))
	state := rules.Ready
	if phase != protocol.PhaseUp {
		state = rules.Draining
	}
	d.audit.ServerChanged(d.group.now, audit.Server{Name: fmt.Sprint("s-", i), State: state, Size: 1, StartedAt: since})
}

// report works out what the last second brought each server, and tells what was met.
func (d *scenarioRun) report(asked float64, second int, draw *rand.Rand) {
	loads := make([][]float64, d.fleet.Servers) // requests a second, by zone of the proxies
	for i := range loads {
		loads[i] = make([]float64, len(zones))
	}
	refused, worth, least, most := 0.0, 0.0, []float64{1, 1, 1}, []float64{0, 0, 0}
	for p, table := range d.tables {
		sum, let := 0.0, 0.0
		for _, weight := range table {
			sum += weight
		}
		for k, part := range parts {
			level := min(1, d.levels[p][k])
			let += part * level
			refused += d.rates[p] * part * (1 - level) * worths[k]
			worth += d.rates[p] * part * worths[k]
			least[k], most[k] = min(least[k], level), max(most[k], level)
			noise := 1 + 0.1*draw.NormFloat64()
			d.group.said(d.ends[p], protocol.UsageReport{Proxy: p, Class: classes[k],
				Requests: math.Round(max(0, d.rates[p]*asked*part*noise)), Period: reportEvery})
		}
		for name, weight := range table {
			var i int
			fmt.Sscanf(name, "s-%d", &i)
			loads[i][p%len(zones)] += d.rates[p] * asked * let * weight / sum
		}
	}
	use := make([]float64, d.fleet.Servers)
	fast, slow, fasts, slows := 0.0, 0.0, 0.0, 0.0
	for i := range loads {
		total := 0.0
		for _, x := range loads[i] {
			total += x
		}
		use[i] = total / d.capacity(i)
		if total == 0 {
			continue
		}
		if i%slowPart == 0 {
			slow, slows = slow+total, slows+1
		} else {
			fast, fasts = fast+total, fasts+1
		}
		speed := 1.0
		if i%slowPart == 0 {
			speed = slowness
		}
		mean := idleMS / speed * (1 + 0.02*draw.NormFloat64()) * (1 + math.Pow(min(use[i], 3), 4))
		for z, x := range loads[i] {
			if tries := math.Round(x); tries > 0 {
				failed := 0.0
				if use[i] > 1.2 {
					failed = math.Round(tries * min(0.8, (use[i]-1.2)/2))
				}
				d.group.said(nil, protocol.ServerReport{Zone: zones[z], Server: fmt.Sprint("s-", i), Attempts: tries,
					Failed: failed, Latency: mean, Period: reportEvery})
			}
		}
	}
	switch {
	case second >= settleTime && second < overloadFrom:
		d.samples.plain++
		d.result.SpeedCompensation += (1 - (slow/slows)/(fast/fasts)) / (1 - slowness)
		d.result.Spread += spread(use)
	case second >= overloadFrom+10 && second < overloadUntil:
		d.samples.loaded++
		d.result.RejectedShare += refused / worth
		widest := 0.0
		for k := range least {
			widest = max(widest, most[k]-least[k])
		}
		d.result.LevelDifference += widest
	}
}

// spread is the standard deviation of what is over 0, as a share of its mean.
func spread(list []float64) float64 {
	var n, sum, squares float64
	for _, x := range list {
		if x > 0 {
			n, sum, squares = n+1, sum+x, squares+x*x
		}
	}
	mean := sum / n
	return math.Sqrt(max(0, squares/n-mean*mean)) / mean
}

// WriteTable prints the comparison for people.
func (d DecisionsResult) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%d proxies, %d servers, seed %d; %d s, simulated servers and clock\n\n", d.Proxies, d.Servers, d.Seed,
		d.Seconds)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table,
		"cores\tlearnt\tspread of use\trefused worth\tlevels apart\tmessages\tlines\tqueue most\tdrain ms most\tbreaks")
	for _, e := range d.Runs {
		fmt.Fprintf(table, "%d\t%.2f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.0f\t%.0f\t%d\n", e.Cores, e.SpeedCompensation, e.Spread, e.RejectedShare,
			e.LevelDifference, e.Messages, e.Lines,
			e.MaxQueueLines, e.MaxDrainMillis, e.ViolationCount)
	}
	return table.Flush()
}

// WritePlot draws spread and refusals against cores.
func (d DecisionsResult) WritePlot(file string) error {
	var spread, refused, messages plotter.XYs
	for _, e := range d.Runs {
		x := float64(e.Cores)
		spread = append(spread, plotter.XY{X: x, Y: e.Spread})
		refused = append(refused, plotter.XY{X: x, Y: e.RejectedShare})
		messages = append(messages, plotter.XY{X: x, Y: float64(e.Messages) / 1000})
	}
	left, err := chart("Decisions on the same day", "share", series{"spread of servers' use", blue, spread, false},
		series{"refused worth in the overload", red, refused, false})
	if err != nil {
		return err
	}
	right, err := chart("Orders written", "thousand messages", series{"messages", blue, messages, false})
	if err != nil {
		return err
	}
	return sideBySide(file, left, right)
}
