// Command mulleinwood is one planner: it assigns servers to the proxies that join it.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"mulleinwood/internal/program"
)

func main() {
	reloads := make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(reloads, syscall.SIGHUP)
	config, err := program.LoadConfig(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulleinwood:", err)
		os.Exit(2)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the program whatever it is doing
	err = program.Run(ctx, config, log, reloads)
	var start *program.StartError
	if errors.As(err, &start) {
		fmt.Fprintln(os.Stderr, "mulleinwood:", start)
		os.Exit(2)
	}
	if err != nil {
		log.Error().Err(err).Msg("planner ends")
		os.Exit(1)
	}
	log.Info().Msg("planner ends")
}
