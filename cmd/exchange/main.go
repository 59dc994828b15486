// Command exchange is the control planner of the gateway: it agrees on the configuration, keeps the directory of servers
// and the ledger of operations, and decides the tables of the edges.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"mulleinwood/internal/boot"
	"mulleinwood/internal/exchange"
	"mulleinwood/internal/night"
)

func main() {
	night.Main(&cli.Command{
		Name:  "exchange",
		Usage: "control planner of the gateway",
		Action: func(ctx context.Context, _ *cli.Command) error {
			set, err := boot.Load()
			if err != nil {
				return err
			}
			set.KeepMemory()
			return exchange.Run(ctx, set, log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)))
		},
	})
}
