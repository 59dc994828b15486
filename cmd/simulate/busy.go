package main

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/simulation"
)

// busy plays busy days that were known beforehand: a quiet morning, a crowd without a booking, and one with it.
func busy() *cli.Command {
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
		}, Action: busyDays}
}

func busyDays(_ context.Context, cmd *cli.Command) error {
	rate, crowd, booked := cmd.Float("rate"), cmd.Float("crowd"), cmd.Float("booked")
	var bad error
	for _, one := range []struct {
		name          string
		crowd, booked float64
	}{{"quiet morning", 1, 0}, {"crowd, nothing booked", crowd, 0}, {"crowd, room booked", crowd,
		booked}, {"quiet, room booked", 1, booked}} {
		results := make([]simulation.Result, cmd.Int("days"))
		var all sync.WaitGroup
		free := make(chan struct{}, runtime.NumCPU())
		for i := range results {
			all.Go(func() {
				free <- struct{}{}
				defer func() { <-free }()
				d := simulation.NewBookingScenario(cmd.Uint64("seed")+uint64(i), cmd.Int("members"), cmd.Int("lost"),
					simulation.Busy{Rate: rate, Crowd: one.crowd, Booked: one.booked, OneIn: cmd.Bool("one-edge")})
				d.PlantedFault = cmd.String("fault")
				if cmd.Bool("calm") {
					d.Faults = nil
				}
				results[i] = simulation.Run(d)
			})
		}
		all.Wait()
		var sum simulation.Result
		for i, r := range results {
			sum.Add(r)
			if r.Violation != "" && bad == nil {
				bad = fmt.Errorf("%s, seed %d: %s", one.name, cmd.Uint64("seed")+uint64(i), r.Violation)
			}
		}
		fmt.Printf("%s, %d days, %d keyed operations run\n  tenant %s\n  others %s\n", one.name, len(results), sum.Runs,
			sum.Tenant, sum.Others)
	}
	return bad
}
