package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"mulleinwood/internal/planner/bench"
)

type benchCmd struct {
	Cores     benchCoresCmd     `cmd:"" help:"Measure planners of several cores on loopback: processes of their own under scripted peers of this one. Reports at full speed, then at half of what one core handles while servers drain and come back; an auditor outside the planner counts broken rules."`
	Look      benchLookCmd      `cmd:"" help:"Time the looks of planners of several cores in this process, without sockets, at sizes that sockets don't reach."`
	Decisions benchDecisionsCmd `cmd:"" help:"Play one scripted day, on simulated servers and clock, to planners of several numbers of cores and compare what they decide."`
	Fronts    benchFrontsCmd    `cmd:"" help:"Measure the same fleet over lines, over gRPC and half and half, as bench cores does."`
	Versions  benchVersionsCmd  `cmd:"" help:"Measure what versioned tables and their record cost, and how soon receivers are in step again after losses, on a scripted day with simulated servers and clock."`
}

// sizes are the flags that all measurements share.
type sizes struct {
	Proxies int    `help:"Proxies, each a stream." default:"600"`
	Servers int    `help:"Servers in the list." default:"500"`
	Seed    uint64 `help:"For everything that is drawn." default:"1"`
	JSON    string `name:"json" help:"Write the result to a file as JSON, fields named with their units." placeholder:"FILE"`
	Plot    string `help:"Write a plot to a file (PNG)." placeholder:"FILE"`
}

func (s sizes) check() error {
	switch {
	case s.Proxies < 1 || s.Proxies > 60000:
		return startError{fmt.Errorf("--proxies is %d; it may be 1 to 60000", s.Proxies)}
	case s.Servers < 1 || s.Servers > 100000:
		return startError{fmt.Errorf("--servers is %d; it may be 1 to 100000", s.Servers)}
	}
	return nil
}

func (s sizes) fleet() bench.Fleet {
	return bench.Fleet{Proxies: s.Proxies, Servers: s.Servers, Seed: s.Seed}
}

// checkCores holds a list of core counts to its range.
func checkCores(list []int) error {
	for _, n := range list {
		if n < 1 || n > 64 {
			return startError{fmt.Errorf("--cores has %d; it may be 1 to 64", n)}
		}
	}
	return nil
}

type benchCoresCmd struct {
	Cores   []int   `help:"Numbers of cores to measure; more than the machine has are marked." default:"1,2,4,8"`
	Seconds float64 `help:"Of each phase." default:"8"`
	sizes
}

// Run measures and reports.
func (b benchCoresCmd) Run(out io.Writer) error {
	result, err := b.measure(b.Cores, nil, b.Seconds)
	if err != nil {
		return err
	}
	return b.report(result, result.WriteTable, result.WritePlot, out)
}

type benchFrontsCmd struct {
	Cores   []int    `help:"Numbers of cores to measure." default:"1,4"`
	Fronts  []string `help:"What peers speak: lines, grpc, half (every second peer by gRPC)." default:"lines,grpc,half" enum:"lines,grpc,half"`
	Seconds float64  `help:"Of each phase." default:"8"`
	sizes
}

// Run measures and reports.
func (b benchFrontsCmd) Run(out io.Writer) error {
	var fronts []bench.Frontend
	for _, front := range b.Fronts {
		fronts = append(fronts, bench.Frontend(front))
	}
	measured, err := b.measure(b.Cores, fronts, b.Seconds)
	if err != nil {
		return err
	}
	result := bench.FrontendsResult{Result: measured}
	return b.report(result, result.WriteTable, result.WritePlot, out)
}

// measure runs planners as processes of their own.
func (s sizes) measure(counts []int, fronts []bench.Frontend, seconds float64) (bench.Result, error) {
	if err := s.check(); err != nil {
		return bench.Result{}, err
	}
	if err := checkCores(counts); err != nil {
		return bench.Result{}, err
	}
	if seconds < 0.1 || seconds > 600 {
		return bench.Result{}, startError{fmt.Errorf("--seconds is %g; it may be 0.1 to 600", seconds)}
	}
	self, err := os.Executable()
	if err != nil {
		return bench.Result{}, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	plan := bench.Plan{Fleet: s.fleet(), Cores: counts, Frontends: fronts, Seconds: seconds, Command: []string{self, "serve"},
		Progress: progress}
	result, err := plan.Measure(ctx)
	if err != nil {
		return result, fmt.Errorf("bench: %w", err)
	}
	return result, nil
}

type benchLookCmd struct {
	Cores []int `help:"Numbers of cores to measure." default:"1,2,4"`
	sizes
}

// Run measures and reports.
func (b benchLookCmd) Run(out io.Writer) error {
	if err := b.check(); err != nil {
		return err
	}
	if err := checkCores(b.Cores); err != nil {
		return err
	}
	result, err := bench.MeasureRounds(b.fleet(), b.Cores, progress)
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return b.report(result, result.WriteTable, result.WritePlot, out)
}

type benchDecisionsCmd struct {
	Cores []int `help:"Numbers of cores to compare." default:"1,2,4,8"`
	sizes
}

// Run compares and reports.
func (b benchDecisionsCmd) Run(out io.Writer) error {
	if err := b.check(); err != nil {
		return err
	}
	if err := checkCores(b.Cores); err != nil {
		return err
	}
	result, err := bench.CompareDecisions(b.fleet(), b.Cores, progress)
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	return b.report(result, result.WriteTable, result.WritePlot, out)
}

type benchVersionsCmd struct {
	sizes
	Deliveries int `help:"Besides, deliver so many updates over channels that spoil them, and check each table held." default:"100000"`
}

// Run measures and reports.
func (b benchVersionsCmd) Run(out io.Writer) error {
	if err := b.check(); err != nil {
		return err
	}
	if b.Deliveries < 0 {
		return startError{fmt.Errorf("--deliveries is %d; it may not be negative", b.Deliveries)}
	}
	result, err := bench.MeasureVersions(b.fleet(), progress)
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	progress("%d deliveries over channels that spoil them", b.Deliveries)
	result.Deliveries += b.Deliveries
	result.Mismatches += int(bench.StressVersions(b.Deliveries, b.Seed))
	return b.report(result, result.WriteTable, result.WritePlot, out)
}

// report writes a result in every form that was asked for.
func (s sizes) report(result any, table func(io.Writer) error, plot func(string) error, out io.Writer) error {
	if err := table(out); err != nil {
		return err
	}
	if s.JSON != "" {
		if err := bench.WriteJSON(s.JSON, result); err != nil {
			return err
		}
	}
	if s.Plot != "" {
		return plot(s.Plot)
	}
	return nil
}

// progress tells on standard error how far a long command is.
func progress(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
