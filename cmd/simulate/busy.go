package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/simulation"
)

// busyCommand plays busy days that were known beforehand: a quiet morning, a crowd without a booking, and one with it.
func busyCommand() *cli.Command {
	return &cli.Command{Name: "busy",
		Usage: "one tenant among a crowd of others, on a quiet morning, without and with booked room; code 1 if a rule is broken",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "days", Value: 30},
			&cli.Uint64Flag{Name: "seed"},
			&cli.IntFlag{Name: "members", Value: 3},
			&cli.IntFlag{Name: "lost", Value: 1},
			&cli.FloatFlag{Name: "rate", Value: 20,
				Usage: "requests a second and edge of the tenant, and the usual of the others"},
			&cli.FloatFlag{Name: "crowd", Value: 10, Usage: "times their usual that the others come at"},
			&cli.FloatFlag{Name: "booked", Value: 0.5, Usage: "share of the service's slots that is booked"},
			&cli.BoolFlag{Name: "one-edge", Usage: "all of the tenant's clients come in at one edge"},
			&cli.BoolFlag{Name: "calm", Usage: "nothing else goes wrong"},
			&cli.StringFlag{Name: "fault", Usage: "a planted fault, to see that it is seen"},
		}, Action: runBusy}
}

// busyCase is one kind of busy day.
type busyCase struct {
	name string
	busy simulation.BookingLoad
}

func busyCases(cmd *cli.Command) []busyCase {
	surge, booked := cmd.Float("crowd"), cmd.Float("booked")
	busy := func(surge, booked float64) simulation.BookingLoad {
		return simulation.BookingLoad{Rate: cmd.Float("rate"), SurgeFactor: surge, BookedShare: booked,
			SingleEdge: cmd.Bool("one-edge")}
	}
	return []busyCase{
		{"quiet morning", busy(1, 0)},
		{"crowd, nothing booked", busy(surge, 0)},
		{"crowd, room booked", busy(surge, booked)},
		{"quiet, room booked", busy(1, booked)},
	}
}

// runBusy plays all cases, and fails with the first rule that was broken.
func runBusy(_ context.Context, cmd *cli.Command) error {
	var violation error
	firstSeed := cmd.Uint64("seed")
	for _, busyCase := range busyCases(cmd) {
		results := simulateAll(cmd.Int("days"), func(i int) simulation.Scenario {
			scenario := simulation.NewBookingScenario(firstSeed+uint64(i), cmd.Int("members"), cmd.Int("lost"), busyCase.busy)
			scenario.PlantedFault = cmd.String("fault")
			if cmd.Bool("calm") {
				scenario.Faults = nil
			}
			return scenario
		})
		var total simulation.Result
		for i, result := range results {
			total.Add(result)
			if result.Violation != "" && violation == nil {
				violation = fmt.Errorf("%s, seed %d: %s", busyCase.name, firstSeed+uint64(i), result.Violation)
			}
		}
		fmt.Printf("%s, %d days, %d keyed operations run\n  tenant %s\n  others %s\n", busyCase.name, len(results), total.Runs,
			total.Tenant, total.Others)
	}
	return violation
}
