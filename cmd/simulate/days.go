package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/days"
)

const kindsFile = "days/kinds.toml"

func daysCommand() *cli.Command {
	return &cli.Command{
		Name:  "days",
		Usage: "draw days of trouble for the users' bench, from all kinds that it knows",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first day's; the next day's is one higher"},
			&cli.IntFlag{Name: "count", Value: 10, Usage: "number of days"},
			&cli.StringFlag{Name: "site", Required: true, Usage: "the deployment's site file"},
			&cli.StringFlag{Name: "kinds", Value: kindsFile, Usage: "the catalogue of kinds"},
			&cli.StringSliceFlag{Name: "without", Usage: "kinds that are not drawn"},
			&cli.StringFlag{Name: "out", Required: true, Usage: "folder that the days are written to"},
		},
		Action: drawDays,
	}
}

func drawDays(_ context.Context, cmd *cli.Command) error {
	catalogue, err := parseFile(cmd.String("kinds"), days.ParseCatalogue)
	if err != nil {
		return err
	}
	catalogue = catalogue.Without(cmd.StringSlice("without")...)
	site, err := parseFile(cmd.String("site"), days.ParseSite)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(cmd.String("out"), 0o755); err != nil {
		return err
	}
	for i := range cmd.Int("count") {
		day, err := days.Draw(catalogue, site, cmd.Uint64("seed")+uint64(i))
		if err != nil {
			return err
		}
		if err := writeDay(cmd.String("out"), day); err != nil {
			return err
		}
	}
	return nil
}

func writeDay(folder string, day days.Day) error {
	text, err := day.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, day.Name+".toml"), text, 0o644)
}

// parseFile reads a file with a parser, and names the file in the error.
func parseFile[T any](path string, parse func([]byte) (T, error)) (T, error) {
	var none T
	text, err := os.ReadFile(path)
	if err != nil {
		return none, err
	}
	value, err := parse(text)
	if err != nil {
		return none, fmt.Errorf("%s: %w", path, err)
	}
	return value, nil
}
