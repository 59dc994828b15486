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

// Decisions summarizes the decisions of a planner with one number of cores on a scripted day, with simulated servers and a
// simulated clock.
type Decisions struct {
	Cores             int     `json:"cores"`
	SpeedCompensation float64 `json:"learnt_share"`     // speed difference that the weights compensate
	Spread            float64 `json:"spread"`           // standard deviation of the servers' utilization over its mean
	RejectedShare     float64 `json:"refused_share"`    // share of the demand, weighted by importance, in the overload
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

// The scripted day: times in seconds, counted from its start. Tables have converged before the first figure is taken.
const (
	scenarioSeconds  = 150
	measureFrom      = 60  // start of the interval, up to the overload, in which weights and spread are measured
	overloadFrom     = 90  // start of the overload: demand exceeds the nominal capacity by half
	overloadUntil    = 130 // end of the overload; rejections are measured from 10 s after its start
	slowServerStride = 4   // every fourth server is slow
	slowServerSpeed  = 0.6
	idleLatencyMS    = 90.0
)

// scenarioRun is one run of the scripted day. All random values are drawn from the seed alone, so that every planner gets the
// same day.
type scenarioRun struct {
	fleet   Fleet
	group   *group
	auditor *audit.Auditor
	tables  []map[string]float64
	levels  [][]float64
	rates   []float64
	result  Decisions
	streams map[int]*proxyStream
	samples struct{ plain, loaded, levels float64 }
}

// CompareDecisions runs the same scripted day on planners with different numbers of cores.
func CompareDecisions(f Fleet, coreCounts []int, progress func(string, ...any)) (DecisionsResult, error) {
	result := DecisionsResult{Fleet: f, Seconds: scenarioSeconds}
	for _, n := range coreCounts {
		progress("%d cores: %d s of a day, simulated", n, scenarioSeconds)
		decisions, err := f.playScenario(n)
		if err != nil {
			return result, fmt.Errorf("%d cores: %w", n, err)
		}
		result.Runs = append(result.Runs, decisions)
	}
	return result, nil
}

func (f Fleet) playScenario(n int) (Decisions, error) {
	run := &scenarioRun{fleet: f, result: Decisions{Cores: n}, streams: map[int]*proxyStream{}}
	var err error
	if run.group, err = newGroup(f, n, run.applyAssignment); err != nil {
		return run.result, err
	}
	if err := run.start(); err != nil {
		return run.result, err
	}
	rng := rand.New(rand.NewPCG(f.Seed, 12))
	for round := range scenarioSeconds * 10 {
		if err := run.advance(round, rng); err != nil {
			return run.result, err
		}
	}
	if run.samples.plain > 0 {
		run.result.SpeedCompensation /= run.samples.plain
		run.result.Spread /= run.samples.plain
	}
	if run.samples.loaded > 0 {
		run.result.RejectedShare /= run.samples.loaded
		run.result.LevelDifference /= run.samples.loaded
	}
	run.result.MaxQueueLines, run.result.MaxDrainMillis, run.result.ViolationCount = run.auditor.Peak.QueueLines,
		run.auditor.Peak.DrainMillis, len(run.auditor.Violations())
	return run.result, nil
}

// start creates the auditor and attaches every proxy.
func (run *scenarioRun) start() error {
	f := run.fleet
	run.auditor = audit.New(run.group.set.Rules, run.group.now)
	for _, m := range run.group.list.Members {
		run.auditor.ServerChanged(run.group.now, audit.Server{Name: m.ID, State: rules.Ready, Size: 1})
	}
	rng := rand.New(rand.NewPCG(f.Seed, 11))
	for p := range f.Proxies { // every tenth proxy has ten times the rate of the others, and so most of the traffic
		rate := proxyRate / 2
		if p%10 == 0 {
			rate = proxyRate * 5
		}
		run.rates = append(run.rates, rate*(0.8+0.4*rng.Float64()))
		run.tables, run.levels = append(run.tables, map[string]float64{}), append(run.levels, []float64{1, 1, 1})
		run.auditor.ProxyJoined(run.group.now, p, run.rates[p])
		if err := run.group.join(run.streams, p, run.rates[p]); err != nil {
			return err
		}
	}
	return nil
}

// applyAssignment applies an assignment to the proxy's table and records it.
func (run *scenarioRun) applyAssignment(proxy int, o protocol.Assignment) {
	message := audit.Order{Replace: o.Replace, Rows: map[string]float64{}, Retries: map[int]rules.Retry{}, Drop: o.Exclude,
		Undrop: o.Include,
		Lines:  float64(o.LineCount()) + messageHeaderLines}
	if o.Replace {
		clear(run.tables[proxy])
	}
	for _, r := range o.Rows {
		if message.Rows[r.Server] = r.Weight; r.Weight > 0 {
			run.tables[proxy][r.Server] = r.Weight
		} else {
			delete(run.tables[proxy], r.Server)
		}
	}
	for _, gate := range o.Gates {
		for k, class := range classes {
			if slices.Contains(gate.Classes, class) {
				run.levels[proxy][k], message.Retries[k] = gate.Level, rules.Retry(gate.Retry)
			}
		}
	}
	run.result.Messages++
	run.result.Lines += int(message.Lines)
	run.auditor.OrderReceived(run.group.now, proxy, message)
}

// capacity returns the capacity of server i in requests per second. All servers together can handle about half more than
// the normal demand.
func (run *scenarioRun) capacity(i int) float64 {
	evenShare := 0.0
	for _, rate := range run.rates {
		evenShare += rate
	}
	evenShare *= 1.6 / float64(run.fleet.Servers)
	if i%slowServerStride == 0 {
		return evenShare * slowServerSpeed
	}
	return evenShare
}

// Share of each class in a proxy's requests, and importance of a request of each class.
var (
	classShares     = []float64{0.6, 0.2, 0.2}
	classImportance = []float64{1, 5, 2}
)

func (run *scenarioRun) advance(round int, rng *rand.Rand) error {
	g := run.group
	g.now += roundIntervalMS
	second := round / 10
	demand := 1.0
	if second >= overloadFrom && second < overloadUntil {
		demand = 2.4
	}
	if round%40 == 20 && second >= 20 { // a server drains, and returns 6 s later in its warm-up
		run.changeServer((round/40)%run.fleet.Servers, protocol.PhaseDraining, 0)
	}
	if round%40 == 0 && second >= 28 {
		run.changeServer((round/40-2)%run.fleet.Servers, protocol.PhaseUp, g.now)
	}
	for _, e := range run.streams {
		for _, token := range e.tokens {
			g.deliver(e, protocol.Ack{Proxy: e.proxy, Token: token, Elapsed: 20})
		}
		e.tokens = nil
	}
	if round%10 == 0 {
		run.sendReports(demand, second, rng)
	}
	for _, c := range g.cores {
		if _, _, err := c.router.Advance(g.now); err != nil {
			return err
		}
	}
	run.auditor.Tick(g.now)
	return g.reportProgress()
}

func (run *scenarioRun) changeServer(i int, phase string, since float64) {
	run.group.changeMember(member(i, phase, since))
	state := rules.Ready
	if phase != protocol.PhaseUp {
		state = rules.Draining
	}
	run.auditor.ServerChanged(run.group.now, audit.Server{Name: fmt.Sprint("s-", i), State: state, Size: 1, StartedAt: since})
}

// sendReports computes the load of each server in the last second and sends the usage and server reports for it.
func (run *scenarioRun) sendReports(demand float64, second int, rng *rand.Rand) {
	loads := make([][]float64, run.fleet.Servers) // requests per second, by zone of the proxies
	for i := range loads {
		loads[i] = make([]float64, len(zones))
	}
	rejected, importance, minLevels, maxLevels := 0.0, 0.0, []float64{1, 1, 1}, []float64{0, 0, 0}
	for p, table := range run.tables {
		sum, admitted := 0.0, 0.0
		for _, weight := range table {
			sum += weight
		}
		for k, part := range classShares {
			level := min(1, run.levels[p][k])
			admitted += part * level
			rejected += run.rates[p] * part * (1 - level) * classImportance[k]
			importance += run.rates[p] * part * classImportance[k]
			minLevels[k], maxLevels[k] = min(minLevels[k], level), max(maxLevels[k], level)
			noise := 1 + 0.1*rng.NormFloat64()
			run.group.deliver(run.streams[p], protocol.UsageReport{Proxy: p, Class: classes[k],
				Requests: math.Round(max(0, run.rates[p]*demand*part*noise)), Period: reportIntervalMS})
		}
		for name, weight := range table {
			var i int
			fmt.Sscanf(name, "s-%d", &i)
			loads[i][p%len(zones)] += run.rates[p] * demand * admitted * weight / sum
		}
	}
	utilization := make([]float64, run.fleet.Servers)
	fastLoad, slowLoad, fastCount, slowCount := 0.0, 0.0, 0.0, 0.0
	for i := range loads {
		total := 0.0
		for _, x := range loads[i] {
			total += x
		}
		utilization[i] = total / run.capacity(i)
		if total == 0 {
			continue
		}
		if i%slowServerStride == 0 {
			slowLoad, slowCount = slowLoad+total, slowCount+1
		} else {
			fastLoad, fastCount = fastLoad+total, fastCount+1
		}
		speed := 1.0
		if i%slowServerStride == 0 {
			speed = slowServerSpeed
		}
		mean := idleLatencyMS / speed * (1 + 0.02*rng.NormFloat64()) * (1 + math.Pow(min(utilization[i], 3), 4))
		for z, x := range loads[i] {
			if tries := math.Round(x); tries > 0 {
				failed := 0.0
				if utilization[i] > 1.2 {
					failed = math.Round(tries * min(0.8, (utilization[i]-1.2)/2))
				}
				run.group.deliver(nil, protocol.ServerReport{Zone: zones[z], Server: fmt.Sprint("s-", i), Attempts: tries,
					Failed: failed, Latency: mean, Period: reportIntervalMS})
			}
		}
	}
	switch {
	case second >= measureFrom && second < overloadFrom:
		run.samples.plain++
		run.result.SpeedCompensation += (1 - (slowLoad/slowCount)/(fastLoad/fastCount)) / (1 - slowServerSpeed)
		run.result.Spread += spread(utilization)
	case second >= overloadFrom+10 && second < overloadUntil:
		run.samples.loaded++
		run.result.RejectedShare += rejected / importance
		maxDifference := 0.0
		for k := range minLevels {
			maxDifference = max(maxDifference, maxLevels[k]-minLevels[k])
		}
		run.result.LevelDifference += maxDifference
	}
}

// spread returns the standard deviation of the positive values, divided by their mean.
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

// WriteTable prints the comparison as text.
func (r DecisionsResult) WriteTable(out io.Writer) error {
	fmt.Fprintf(out, "%d proxies, %d servers, seed %d; %d s, simulated servers and clock\n\n", r.Proxies, r.Servers, r.Seed,
		r.Seconds)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table,
		"cores\tlearnt\tspread of use\trefused worth\tlevels apart\tmessages\tlines\tqueue most\tdrain ms most\tbreaks")
	for _, e := range r.Runs {
		fmt.Fprintf(table, "%d\t%.2f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.0f\t%.0f\t%d\n", e.Cores,
			e.SpeedCompensation, e.Spread, e.RejectedShare, e.LevelDifference, e.Messages, e.Lines,
			e.MaxQueueLines, e.MaxDrainMillis, e.ViolationCount)
	}
	return table.Flush()
}

// WritePlot draws spread, rejections and message counts against the number of cores.
func (r DecisionsResult) WritePlot(file string) error {
	var spread, refused, messages plotter.XYs
	for _, e := range r.Runs {
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
