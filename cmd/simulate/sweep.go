package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/simulation"
)

// policySetting is the name of the setting whose values are policies; all others have numbers.
const policySetting = "policy"

// numericSettings are the settings that a sweep can vary by numbers, and what they do to a scenario.
var numericSettings = map[string]func(*simulation.Scenario, float64){
	"rate":    func(scenario *simulation.Scenario, value float64) { scenario.Rate = value },
	"servers": func(scenario *simulation.Scenario, value float64) { scenario.Servers = int(value) },
	"edges":   func(scenario *simulation.Scenario, value float64) { scenario.Edges = int(value) },
	"every":   func(scenario *simulation.Scenario, value float64) { scenario.ChangeIntervalTicks = max(1, int(value)) },
}

// sweepCommand measures service days over values of a setting, the same seeds at each.
func sweepCommand() *cli.Command {
	return &cli.Command{
		Name:  "sweep",
		Usage: "play service days with values of a setting, the same seeds at each: a table of figures, and a page with plots",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vary", Value: "rate",
				Usage: "rate (requests a second and edge), servers, edges, every (ticks between changes), policy"},
			&cli.StringFlag{Name: "values", Value: "10,20,40,60,80",
				Usage: "the first is what the others are compared with; of policy: " +
					strings.Join(simulation.Policies[1:], ", ") + ", or dealt"},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second and edge, where something else is varied"},
			&cli.IntFlag{Name: "seeds", Value: 30},
			&cli.Uint64Flag{Name: "seed", Usage: "the first"},
			&cli.IntFlag{Name: "members", Value: 3},
			&cli.IntFlag{Name: "lost", Value: 1},
			&cli.StringFlag{Name: "out", Value: "simulation", Usage: "folder for figures.csv, plots and report.html"},
		},
		Action: runSweep,
	}
}

// maxLatency bounds the histogram of response times.
const maxLatency = time.Minute

// sweepPoint is what one value of the setting showed.
type sweepPoint struct {
	label      string
	value      float64 // on the plots' axis; a policy's place in the list
	total      simulation.Result
	served     []float64 // shares of the requests, by seed
	late       []float64
	latency    *hdrhistogram.Histogram // microseconds
	violations []string
}

// sweepRun is what all points of a sweep have in common.
type sweepRun struct {
	setting       string
	rate          float64 // 0: that of the scenario
	firstSeed     uint64
	seeds         int
	members, lost int
}

func runSweep(_ context.Context, cmd *cli.Command) error {
	run := sweepRun{setting: cmd.String("vary"), rate: cmd.Float("rate"), firstSeed: cmd.Uint64("seed"), seeds: cmd.Int("seeds"),
		members: cmd.Int("members"), lost: cmd.Int("lost")}
	points, err := parsePoints(run.setting, cmd.String("values"))
	if err != nil {
		return err
	}
	for _, point := range points {
		run.measure(point)
		fmt.Fprintf(os.Stderr, "%s %s: %d days\n", run.setting, point.label, run.seeds)
	}
	return writeSweepReport(cmd.String("out"), run.setting, points)
}

// parsePoints reads the values that a setting is given.
func parsePoints(setting, values string) ([]*sweepPoint, error) {
	if numericSettings[setting] == nil && setting != policySetting {
		return nil, apierror.Settings.New("--vary %q: rate, servers, edges, every and policy can be varied", setting)
	}
	var points []*sweepPoint
	for i, text := range strings.Split(values, ",") {
		point := &sweepPoint{label: strings.TrimSpace(text), value: float64(i),
			latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
		if setting == policySetting {
			if !slices.Contains(simulation.Policies, strings.TrimPrefix(point.label, "dealt")) {
				return nil, apierror.Settings.New("--values: %q is no policy", point.label)
			}
		} else {
			number, err := strconv.ParseFloat(point.label, 64)
			if err != nil || number <= 0 {
				return nil, apierror.Settings.New("--values: %q is no number above 0", text)
			}
			point.value = number
		}
		points = append(points, point)
	}
	return points, nil
}

// measure plays all seeds with the point's value.
func (run sweepRun) measure(point *sweepPoint) {
	results := simulateAll(run.seeds, func(i int) simulation.Scenario {
		return run.scenario(point, run.firstSeed+uint64(i))
	})
	for i, result := range results {
		point.add(result)
		if result.Violation != "" {
			point.violations = append(point.violations, fmt.Sprintf("seed %d: %s", run.firstSeed+uint64(i), result.Violation))
		}
	}
}

// scenario is the service day of a seed with the point's value.
func (run sweepRun) scenario(point *sweepPoint, seed uint64) simulation.Scenario {
	scenario := simulation.NewServiceScenario(seed, run.members, run.lost)
	scenario.MeasureLatency = true
	if run.rate > 0 {
		scenario.Rate = run.rate
	}
	if set := numericSettings[run.setting]; set != nil {
		set(&scenario, point.value)
	} else {
		scenario.Policy = strings.TrimPrefix(point.label, "dealt")
	}
	return scenario
}

func (point *sweepPoint) add(result simulation.Result) {
	point.total.Add(result)
	requests := float64(max(1, result.Requests))
	point.served = append(point.served, float64(result.Served)/requests)
	point.late = append(point.late, float64(result.Late)/requests)
	for _, took := range result.Latencies {
		_ = point.latency.RecordValue(min(took, maxLatency).Microseconds()) // within its bounds
	}
}

// quantileMs is a quantile of the response times, 0 to 100, in milliseconds.
func (point *sweepPoint) quantileMs(quantile float64) float64 {
	return float64(point.latency.ValueAtQuantile(quantile)) / 1000
}
