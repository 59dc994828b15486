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
				Flags: append([]cli.Flag{&cli.IntFlag{Name: "days", Value: 1000}}, sizes...), Action: runHunt},
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
			sweepCommand(),
			busyCommand(), daysCommand(), playCommand(), soakCommand(),
		},
	})
}

func newScenario(cmd *cli.Command, seed uint64) (simulation.Scenario, error) {
	members, lost := cmd.Int("members"), cmd.Int("lost")
	if lost < 1 || members < 2*lost+1 {
		return simulation.Scenario{}, apierror.Settings.New("to bear %d lost disks takes %d members at least", lost, 2*lost+1)
	}
	generate := simulation.NewScenario
	if cmd.Bool("services") {
		generate = simulation.NewServiceScenario
	}
	if cmd.Bool("replaced") {
		generate = simulation.NewMembershipScenario
	}
	if cmd.Bool("chains") {
		generate = simulation.NewReplacementChainScenario
	}
	scenario := generate(seed, members, lost)
	scenario.PlantedFault = cmd.String("fault")
	return scenario, nil
}

func printResult(r simulation.Result) {
	fmt.Printf("%d changes acknowledged, %d operations run, %d repeats\n", r.Changes, r.Runs, r.Repeats)
	if r.Requests > 0 {
		fmt.Printf("%d requests: %d served (%d late), %d refused, %d broken off; %d further arrivals; %d servers left in order\n",
			r.Requests, r.Served, r.Late, r.Rejected, r.Unknown, r.RetriedRequests, r.Drains)
	}
	if r.Reads > 0 {
		fmt.Printf("%d memberships, %d reads, %d acknowledged orders made again, %d answers of controllers that left\n",
			r.Memberships, r.Reads, r.Retries, r.HandedOver)
	}
	if n := len(r.RecoveryTimes); n > 0 {
		recoveries := slices.Sorted(slices.Values(r.RecoveryTimes))
		fmt.Printf("full tolerance again after %s in the median, %s in 99 of 100, %s at most (%d times)\n", recoveries[n/2],
			recoveries[n*99/100], recoveries[n-1], n)
	}
	fmt.Printf("%d events\n", r.Events)
}

func run(_ context.Context, cmd *cli.Command) error {
	scenario, err := newScenario(cmd, cmd.Uint64("seed"))
	if err != nil {
		return err
	}
	for _, fault := range scenario.Faults {
		fmt.Println(fault)
	}
	result := simulation.Run(scenario)
	printResult(result)
	if result.Violation != "" {
		return fmt.Errorf("%s", result.Violation)
	}
	return nil
}

// simulateAll runs as many scenarios, as many at once as there are processors. The results are in the scenarios' order.
func simulateAll(count int, scenario func(i int) simulation.Scenario) []simulation.Result {
	results := make([]simulation.Result, count)
	slots := make(chan struct{}, runtime.NumCPU())
	var workers sync.WaitGroup
	for i := range results {
		workers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = simulation.Run(scenario(i))
		})
	}
	workers.Wait()
	return results
}

// hunter collects what many scenarios showed.
type hunter struct {
	mu        sync.Mutex
	total     simulation.Result
	violating *simulation.Scenario // the one of the lowest seed
}

func (h *hunter) add(scenario simulation.Scenario, result simulation.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total.Add(result)
	if result.Violation != "" && (h.violating == nil || scenario.Seed < h.violating.Seed) {
		h.violating = &scenario
	}
}

// maxShrinkRuns bounds the search for a shorter list of faults that breaks the same rule.
const maxShrinkRuns = 500

// runHunt plays scenarios on all processors, and shrinks the first that breaks a rule.
func runHunt(ctx context.Context, cmd *cli.Command) error {
	if _, err := newScenario(cmd, 0); err != nil {
		return err
	}
	days, firstSeed := int64(cmd.Int("days")), cmd.Uint64("seed")
	var next atomic.Int64
	var workers sync.WaitGroup
	hunter := &hunter{}
	startedAt := time.Now()
	for range runtime.NumCPU() {
		workers.Go(func() {
			for number := next.Add(1) - 1; number < days && ctx.Err() == nil; number = next.Add(1) - 1 {
				scenario, err := newScenario(cmd, firstSeed+uint64(number))
				if err != nil {
					return // checked above
				}
				hunter.add(scenario, simulation.Run(scenario))
			}
		})
	}
	workers.Wait()
	fmt.Printf("%d days in %s\n", min(next.Load(), days), time.Since(startedAt).Round(time.Millisecond))
	printResult(hunter.total)
	if hunter.violating == nil {
		return nil
	}
	return reportViolation(*hunter.violating)
}

func reportViolation(scenario simulation.Scenario) error {
	shrunk := simulation.Shrink(scenario, maxShrinkRuns)
	for _, fault := range shrunk.Faults {
		fmt.Println(fault)
	}
	return fmt.Errorf("seed %d: %s (%d of its %d troubles are needed)", scenario.Seed, simulation.Run(shrunk).Violation,
		len(shrunk.Faults), len(scenario.Faults))
}

func explore(_ context.Context, cmd *cli.Command) error {
	startedAt := time.Now()
	result := simulation.Explore(simulation.Bounds{States: cmd.Int("states"), Wipes: cmd.Int("wipes"),
		PowerLosses: cmd.Int("powers"), Revocations: cmd.Int("withdrawals"), MembershipChanges: cmd.Int("changes"),
		MessageLosses: cmd.Int("losses"), PlantedFault: cmd.String("fault")})
	coverage := "all there are"
	if result.Truncated {
		coverage = "there are more"
	}
	fmt.Printf("%d states in %s, %s\n", result.States, time.Since(startedAt).Round(time.Millisecond), coverage)
	if result.Violation == "" {
		return nil
	}
	for _, c := range result.Trace {
		fmt.Println(c)
	}
	return fmt.Errorf("%s after %d events", result.Violation, len(result.Trace))
}
