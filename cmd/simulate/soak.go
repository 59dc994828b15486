package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/soak"
)

// smallSize is the size of a run in CI.
var smallSize = soak.Size{Controllers: 3, Edges: 3, Servers: 3, Clients: 24, DurationSeconds: 60}

// Sizes of large runs.
const (
	maxProcesses      = 300
	largeControllers  = 5
	largeServers      = 12
	clientsPerEdge    = 2
	largeSeconds      = 60
	processMegabytes  = 40  // that a process takes, measured
	ownMegabytes      = 500 // that the soak itself takes
	memoryDivisor     = 2   // half of the machine's memory at most
	minLargeProcesses = 20
)

// soakCommand runs the gateway as real processes under a schedule of faults.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak",
		Usage: "run the gateway as real processes on loopback under a schedule of faults; code 1 if a rule is broken, 2 if it " +
			"could not run",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the schedule and the clients, or the first of them"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "runs, one after the other; the next seed is one higher"},
			&cli.BoolFlag{Name: "small", Usage: "three controllers and three edges for a minute (the default)"},
			&cli.BoolFlag{Name: "large", Usage: "as many processes as half of the machine's memory bears, 300 at most"},
			&cli.FloatFlag{Name: "duration", Usage: "seconds of traffic; 0: as the size has it"},
			&cli.FloatFlag{Name: "quota", Usage: "share of a core, for the whole run, instead of the drawn quotas"},
			&cli.FloatFlag{Name: "quota-period", Value: 0.1, Usage: "seconds of a period of the quota"},
			&cli.StringFlag{Name: "quota-on", Value: "edges", Usage: "a process, or edges, controllers or all"},
			&cli.StringFlag{Name: "schedule", Usage: "file of a schedule that is played instead of a drawn one"},
			&cli.StringFlag{Name: "programs", Usage: "folder of the programs (default: that of this one)"},
			&cli.StringFlag{Name: "page", Usage: "HTML file of latencies and shutdown times over all runs"},
			&cli.StringFlag{Name: "out", Value: "found/soak", Usage: "folder that keeps what a run with a breach leaves"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("small") && cmd.Bool("large") {
		return apierror.Settings.New("--small and --large exclude each other")
	}
	binDir := cmd.String("programs")
	if binDir == "" {
		self, err := os.Executable()
		if err != nil {
			return apierror.Settings.Wrap(err, "--programs")
		}
		binDir = filepath.Dir(self)
	}
	schedules, err := soakSchedules(cmd)
	if err != nil {
		return err
	}
	// A terminal that goes away is an interrupt, too: the processes of a run must not outlive it.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
	defer stop()
	broken := 0
	var summary soak.Summary
	for _, schedule := range schedules {
		dir := filepath.Join(cmd.String("out"), strconv.FormatUint(schedule.Seed, 10))
		outcome, err := soak.Run(ctx, soak.Options{Schedule: schedule, BinDir: binDir, Dir: dir})
		if errors.Is(err, soak.ErrUnable) {
			return apierror.Settings.Wrap(err, "seed %d", schedule.Seed)
		}
		if err != nil {
			return err
		}
		fmt.Println(outcome.Line())
		summary.Add(outcome)
		if len(outcome.Breaches) > 0 {
			broken++
			fmt.Printf("%s at %.3f s: %s\n  the stories are in %s\n", outcome.Breaches[0].Rule, outcome.Breaches[0].At.Seconds(),
				outcome.Breaches[0].What, dir)
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
	}
	if page := cmd.String("page"); page != "" {
		if err := writePage(page, &summary); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", broken, len(schedules))
	}
	return nil
}

func writePage(path string, summary *soak.Summary) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(summary.WritePage(file), file.Close())
}

// soakSchedules are the schedules of all runs.
func soakSchedules(cmd *cli.Command) ([]soak.Schedule, error) {
	if path := cmd.String("schedule"); path != "" {
		schedule, err := parseFile(path, soak.ParseSchedule)
		if err != nil {
			return nil, apierror.Settings.Wrap(err, "--schedule")
		}
		return []soak.Schedule{schedule}, nil
	}
	size := smallSize
	if cmd.Bool("large") {
		var err error
		if size, err = largeSize(); err != nil {
			return nil, err
		}
	}
	if duration := cmd.Float("duration"); duration > 0 {
		size.DurationSeconds = duration
	}
	var all []soak.Schedule
	for i := range cmd.Int("runs") {
		schedule := soak.Draw(cmd.Uint64("seed")+uint64(i), size)
		if cmd.IsSet("quota") {
			schedule.Quotas = []soak.Quota{{On: cmd.String("quota-on"), ForS: size.DurationSeconds, Share: cmd.Float("quota"),
				PeriodS: cmd.Float("quota-period")}}
		}
		if err := schedule.Check(); err != nil {
			return nil, apierror.Settings.Wrap(err, "schedule")
		}
		all = append(all, schedule)
	}
	return all, nil
}

// largeSize is the largest size that half of the machine's memory bears.
func largeSize() (soak.Size, error) {
	total, err := machineMegabytes()
	if err != nil {
		return soak.Size{}, apierror.Settings.Wrap(err, "--large")
	}
	processes := min(maxProcesses, (total/memoryDivisor-ownMegabytes)/processMegabytes)
	if processes < minLargeProcesses {
		return soak.Size{}, apierror.Settings.New("--large: half of %d MB bears %d processes, %d at least are needed", total,
			processes, minLargeProcesses)
	}
	edges := processes - largeControllers
	return soak.Size{Controllers: largeControllers, Edges: edges, Servers: largeServers, Clients: clientsPerEdge * edges,
		DurationSeconds: largeSeconds}, nil
}
