// Command simulate plays the gateway's controllers and edges in simulated time, to find what breaks a rule before the day
// does, and to measure what a setting does.
package main

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/lifecycle"
	"mulleinwood/internal/simulation"
)

func main() {
	sizes := []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Usage: "the day, or the first of them"},
		&cli.IntFlag{Name: "members", Value: 3, Usage: "controllers with a vote"},
		&cli.IntFlag{Name: "lost", Value: 1, Usage: "disks that may be lost at once"},
		&cli.BoolFlag{Name: "services",
			Usage: "days on which servers come, leave and fail, and the core's troubles are further apart"},
		&cli.BoolFlag{Name: "replaced", Usage: "days on which controllers are replaced, leave and come back"},
		&cli.BoolFlag{Name: "chains", Usage: "days on which every controller in turn is replaced, twice over"},
		&cli.StringFlag{Name: "fault", Usage: "a planted fault, to see that it is seen"},
	}
	lifecycle.Main(&cli.Command{
		Name:  "simulate",
		Usage: "the gateway's deciders in simulated time, from one seed",
		Commands: []*cli.Command{
			{Name: "run", Usage: "play one day and tell what happened", Flags: sizes, Action: run},
			{Name: "hunt", Usage: "play many days, and shrink the first that breaks a rule; code 1 if any does",
				Flags: append([]cli.Flag{&cli.IntFlag{Name: "days", Value: 1000}}, sizes...), Action: hunt},
			{Name: "explore", Usage: "go through every order of events of three ledgers, two edges and one key",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: "states", Value: 100000, Usage: "that are gone through at most"},
					&cli.IntFlag{Name: "wipes", Value: 1, Usage: "disks that may be lost, one at a time"},
					&cli.IntFlag{Name: "powers", Value: 1, Usage: "losses of power of all"},
					&cli.IntFlag{Name: "changes", Usage: "of the membership, by which a learner takes a voter's place"},
					&cli.IntFlag{Name: "losses", Usage: "single messages that may be lost"},
					&cli.IntFlag{Name: "withdrawals", Usage: "claims that an edge gives up early"},
					&cli.StringFlag{Name: "fault", Usage: "a planted fault, to see that it is seen"},
				}, Action: explore},
			sweep(),
			busy(), daysCommand(), playCommand(),
		},
	})
}

func day(cmd *cli.Command, seed uint64) (simulation.Scenario, error) {
	members, lost := cmd.Int("members"), cmd.Int("lost")
	if lost < 1 || members < 2*lost+1 {
		return simulation.Scenario{}, apierror.Settings.New("to bear %d lost disks takes %d members at least", lost, 2*lost+1)
	}
	draw := simulation.NewScenario
	if cmd.Bool("services") {
		draw = simulation.NewServiceScenario
	}
	if cmd.Bool("replaced") {
		draw = simulation.NewMembershipScenario
	}
	if cmd.Bool("chains") {
		draw = simulation.NewReplacementChainScenario
	}
	d := draw(seed, members, lost)
	d.PlantedFault = cmd.String("fault")
	return d, nil
}

func tell(r simulation.Result) {
	fmt.Printf("%d changes acknowledged, %d operations run, %d repeats\n", r.Changes, r.Runs, r.Repeats)
	if r.Requests > 0 {
		fmt.Printf("%d requests: %d served (%d late), %d refused, %d broken off; %d further arrivals; %d servers left in order\n",
			r.Requests, r.Served, r.Late, r.Refused, r.Unknown, r.RetriedRequests, r.Drains)
	}
	if r.Reads > 0 {
		fmt.Printf("%d memberships, %d reads, %d acknowledged orders made again, %d answers of controllers that left\n",
			r.Memberships, r.Reads, r.Retries, r.HandedOver)
	}
	if n := len(r.Restored); n > 0 {
		whole := slices.Sorted(slices.Values(r.Restored))
		fmt.Printf("full tolerance again after %s in the median, %s in 99 of 100, %s at most (%d times)\n", whole[n/2],
			whole[n*99/100], whole[n-1], n)
	}
	fmt.Printf("%d events\n", r.Steps)
}

func run(_ context.Context, cmd *cli.Command) error {
	d, err := day(cmd, cmd.Uint64("seed"))
	if err != nil {
		return err
	}
	for _, t := range d.Faults {
		fmt.Println(t)
	}
	r := simulation.Run(d)
	tell(r)
	if r.Violation != "" {
		return fmt.Errorf("%s", r.Violation)
	}
	return nil
}

func hunt(ctx context.Context, cmd *cli.Command) error {
	if _, err := day(cmd, 0); err != nil {
		return err
	}
	var next atomic.Int64
	var mu sync.Mutex
	var bad *simulation.Scenario
	var sum simulation.Result
	var all sync.WaitGroup
	began := time.Now()
	for range runtime.NumCPU() {
		all.Go(func() {
			for ctx.Err() == nil {
				n := next.Add(1) - 1
				if n >= int64(cmd.Int("days")) {
					return
				}
				d, err := day(cmd, cmd.Uint64("seed")+uint64(n))
				if err != nil {
					return // checked above
				}
				r := simulation.Run(d)
				mu.Lock()
				sum.Add(r)
				if r.Violation != "" && (bad == nil || d.Seed < bad.Seed) {
					bad = &d
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	fmt.Printf("%d days in %s\n", min(next.Load(), int64(cmd.Int("days"))), time.Since(began).Round(time.Millisecond))
	tell(sum)
	if bad == nil {
		return nil
	}
	short := simulation.Shrink(*bad, 500)
	for _, t := range short.Faults {
		fmt.Println(t)
	}
	return fmt.Errorf("seed %d: %s (%d of its %d troubles are needed)", bad.Seed, simulation.Run(short).Violation,
		len(short.Faults), len(bad.Faults))
}

func explore(_ context.Context, cmd *cli.Command) error {
	began := time.Now()
	r := simulation.Explore(simulation.Bounds{States: cmd.Int("states"), Wipes: cmd.Int("wipes"), Powers: cmd.Int("powers"),
		Withdrawals: cmd.Int("withdrawals"), Changes: cmd.Int("changes"), Losses: cmd.Int("losses"), Fault: cmd.String("fault")})
	which := "all there are"
	if r.Deeper {
		which = "there are more"
	}
	fmt.Printf("%d states in %s, %s\n", r.States, time.Since(began).Round(time.Millisecond), which)
	if r.Broken == "" {
		return nil
	}
	for _, c := range r.Way {
		fmt.Println(c)
	}
	return fmt.Errorf("%s after %d events", r.Broken, len(r.Way))
}
