package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/program"
)

// errLogged is a failure that the log has told of.
var errLogged = errors.New("told in the log")

type serveCmd struct{}

// Run serves until SIGTERM or SIGINT.
func (serveCmd) Run(c *cli) error {
	reloads := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(reloads, syscall.SIGHUP)
	own, err := c.load()
	if err != nil {
		return startError{err}
	}
	config, err := program.LoadConfig(os.Getenv)
	if err != nil {
		return startError{err}
	}
	config.Options = own.Options
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the program whatever it is doing
	err = program.Run(ctx, config, log, reloads)
	var start *program.StartError
	if errors.As(err, &start) {
		return start
	}
	if err != nil {
		log.Error().Err(err).Msg("planner ends")
		return errLogged
	}
	log.Info().Msg("planner ends")
	return nil
}
