// Command mulleinwood is one planner: it assigns servers to the proxies that join it.
package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"mulleinwood/internal/program"
)

// memoryShare of the limit is what the collector keeps the heap under; the rest is for stacks and the runtime.
const memoryShare = 0.7

func main() {
	config, err := program.LoadConfig(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulleinwood:", err)
		os.Exit(2)
	}
	if cores := config.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), int(math.Ceil(cores))))
	}
	if megabytes := config.Limits.MemoryMB; megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(megabytes) * (1 << 20)))
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the program whatever it is doing
	err = program.Run(ctx, config, log)
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
