package main

import (
	"context"
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/simulation"
)

// settings that a sweep can vary, and what they do to a day.
var settings = map[string]func(*simulation.Scenario, float64){
	"rate":    func(d *simulation.Scenario, x float64) { d.Rate = x },
	"servers": func(d *simulation.Scenario, x float64) { d.Servers = int(x) },
	"edges":   func(d *simulation.Scenario, x float64) { d.Edges = int(x) },
	"every":   func(d *simulation.Scenario, x float64) { d.Every = max(1, int(x)) },
}

// sweep measures service days over values of a setting, the same seeds at each.
func sweep() *cli.Command {
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
		Action: sweeping,
	}
}

// point is what one value of the setting showed.
type point struct {
	label  string
	value  float64
	sum    simulation.Result
	served []float64 // shares, by seed
	late   []float64
	hist   *hdrhistogram.Histogram // microseconds
	broken []string
}

func sweeping(_ context.Context, cmd *cli.Command) error {
	vary := cmd.String("vary")
	set := settings[vary]
	if set == nil && vary != "policy" {
		return apierror.Settings.New("--vary %q: rate, servers, edges, every and policy can be varied", vary)
	}
	var points []*point
	for i, text := range strings.Split(cmd.String("values"), ",") {
		p := &point{label: strings.TrimSpace(text), value: float64(i), hist: hdrhistogram.New(1, 60_000_000, 3)}
		if vary == "policy" {
			if !slices.Contains(simulation.Policies, strings.TrimPrefix(p.label, "dealt")) {
				return apierror.Settings.New("--values: %q is no policy", p.label)
			}
		} else {
			x, err := strconv.ParseFloat(p.label, 64)
			if err != nil || x <= 0 {
				return apierror.Settings.New("--values: %q is no number above 0", text)
			}
			p.value = x
		}
		points = append(points, p)
	}
	seeds := cmd.Int("seeds")
	for _, p := range points {
		results := make([]simulation.Result, seeds)
		var all sync.WaitGroup
		free := make(chan struct{}, runtime.NumCPU())
		for i := range results {
			all.Go(func() {
				free <- struct{}{}
				defer func() { <-free }()
				d := simulation.NewServiceScenario(cmd.Uint64("seed")+uint64(i), cmd.Int("members"), cmd.Int("lost"))
				d.Latency = true
				if rate := cmd.Float("rate"); rate > 0 {
					d.Rate = rate
				}
				if set != nil {
					set(&d, p.value)
				} else {
					d.Policy = strings.TrimPrefix(p.label, "dealt")
				}
				results[i] = simulation.Run(d)
			})
		}
		all.Wait()
		for i, r := range results {
			p.take(r)
			if r.Violation != "" {
				p.broken = append(p.broken, fmt.Sprintf("seed %d: %s", cmd.Uint64("seed")+uint64(i), r.Violation))
			}
		}
		fmt.Fprintf(os.Stderr, "%s %s: %d days\n", vary, p.label, seeds)
	}
	return report(cmd.String("out"), vary, points)
}

func (p *point) take(r simulation.Result) {
	p.sum.Add(r)
	n := float64(max(1, r.Requests))
	p.served, p.late = append(p.served, float64(r.Served)/n), append(p.late, float64(r.Late)/n)
	for _, t := range r.Took {
		_ = p.hist.RecordValue(min(t.Microseconds(), 60_000_000)) // within its bounds
	}
}

// interval is a mean and half the width of its 95% interval.
func interval(x []float64) (mean, half float64) {
	for _, v := range x {
		mean += v / float64(len(x))
	}
	sum := 0.0
	for _, v := range x {
		sum += (v - mean) * (v - mean)
	}
	if n := float64(len(x)); n > 1 {
		half = 1.96 * math.Sqrt(sum/(n-1)/n)
	}
	return mean, half
}

// against is how much higher a point's figures are than the first one's, seed by seed.
func against(x, first []float64) (mean, half float64) {
	diff := make([]float64, len(x))
	for i := range x {
		diff[i] = x[i] - first[i]
	}
	return interval(diff)
}

func report(dir, vary string, points []*point) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	rows := [][]string{{vary, "served", "served ±", "against first", "against first ±", "late", "p50 ms", "p99 ms",
		"p99.9 ms", "waiting beside idle", "broken"}}
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
	ms := func(p *point, q float64) float64 { return float64(p.hist.ValueAtQuantile(q)) / 1000 }
	for _, p := range points {
		served, half := interval(p.served)
		more, moreHalf := against(p.served, points[0].served)
		late, _ := interval(p.late)
		beside := p.sum.Beside / max(1, p.sum.Work+p.sum.Beside)
		rows = append(rows, []string{p.label, f(served), f(half), f(more), f(moreHalf), f(late), f(ms(p, 50)), f(ms(p, 99)),
			f(ms(p, 99.9)), f(beside), strconv.Itoa(len(p.broken))})
	}
	out, err := os.Create(filepath.Join(dir, "figures.csv"))
	if err != nil {
		return err
	}
	defer out.Close()
	if err := csv.NewWriter(out).WriteAll(rows); err != nil {
		return err
	}
	for name, y := range map[string]func(*point) float64{
		"served": func(p *point) float64 { m, _ := interval(p.served); return m },
		"p99":    func(p *point) float64 { return ms(p, 99) },
	} {
		if err := draw(filepath.Join(dir, name+".png"), vary, name, points, y); err != nil {
			return err
		}
	}
	var page strings.Builder
	fmt.Fprintf(&page,
		"<!doctype html><title>Simulation: %s</title><h1>Service days by %s</h1><p>Simulated time; %d seeds at each value, the same ones; ± is half of the 95%% interval. Made %s.</p><table border=1>",
		vary, vary, len(points[0].served), time.Now().Format(time.DateTime))
	for _, row := range rows {
		page.WriteString("<tr><td>" + strings.Join(row, "<td>"))
	}
	page.WriteString(`</table><img src="served.png" alt="share served"><img src="p99.png" alt="99th percentile of answer times, ms">`)
	for _, p := range points {
		for _, b := range p.broken {
			fmt.Fprintf(&page, "<p>%s %s, %s", vary, p.label, b)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "report.html"), []byte(page.String()), 0o644); err != nil {
		return err
	}
	for _, row := range rows {
		fmt.Println(strings.Join(row, "\t"))
	}
	for _, p := range points {
		if len(p.broken) > 0 {
			return fmt.Errorf("%s %s, %s", vary, p.label, p.broken[0])
		}
	}
	return nil
}

func draw(path, x, y string, points []*point, of func(*point) float64) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	line := plotter.XYs{}
	for _, one := range points {
		line = append(line, plotter.XY{X: one.value, Y: of(one)})
	}
	l, s, err := plotter.NewLinePoints(line)
	if err != nil {
		return err
	}
	p.Add(l, s, plotter.NewGrid())
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}
