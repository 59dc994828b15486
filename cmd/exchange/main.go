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
	"mulleinwood/internal/tone"
	"mulleinwood/internal/trunk"
)

func main() {
	night.Main(&cli.Command{
		Name:  "exchange",
		Usage: "control planner of the gateway",
		Flags: []cli.Flag{&cli.StringFlag{Name: "inner-tls", Sources: cli.EnvVars("MULLEINWOOD_INNER_TLS"),
			Usage: "folder with certificate.pem, key.pem and authorities.pem for links between the gateway's processes; none: links are plain"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			set, err := boot.Load()
			if err != nil {
				return err
			}
			set.KeepMemory()
			security, err := trunk.NewSecurity(cmd.String("inner-tls"), set.IP)
			if err != nil {
				return tone.Settings.Wrap(err, "--inner-tls")
			}
			return exchange.Run(ctx, set, security, log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)))
		},
	})
}
