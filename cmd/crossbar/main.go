// Command crossbar is the edge of the gateway: it carries the clients' traffic to the servers.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"mulleinwood/internal/boot"
	"mulleinwood/internal/crossbar"
	"mulleinwood/internal/night"
)

func main() {
	night.Main(&cli.Command{
		Name:  "crossbar",
		Usage: "edge of the gateway",
		Action: func(ctx context.Context, _ *cli.Command) error {
			set, err := boot.Load()
			if err != nil {
				return err
			}
			set.KeepMemory()
			return crossbar.Run(ctx, set, log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)))
		},
	})
}
