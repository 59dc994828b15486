// Command controller is the gateway's control process: it agrees with the others on the configuration, keeps the registry
// of servers and the claim store of keyed operations, and decides the weights that the edges send by.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"mulleinwood/internal/control/controller"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/lifecycle"
	"mulleinwood/internal/platform/nodesettings"
)

func main() {
	lifecycle.Main(&cli.Command{
		Name:  "controller",
		Usage: "control planner of the gateway",
		Flags: []cli.Flag{&cli.StringFlag{Name: "inner-tls", Sources: cli.EnvVars("MULLEINWOOD_INNER_TLS"),
			Usage: "folder with certificate.pem, key.pem and authorities.pem for links between the gateway's processes; none: links are plain"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			set, err := nodesettings.Load()
			if err != nil {
				return err
			}
			set.ApplyMemoryLimit()
			security, err := peer.NewSecurity(cmd.String("inner-tls"), set.IP)
			if err != nil {
				return apierror.Settings.Wrap(err, "--inner-tls")
			}
			return controller.Run(ctx, set, security, log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)))
		},
	})
}
