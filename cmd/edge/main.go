// Command edge is the gateway's data plane: it carries the clients' traffic to the servers.
package main

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"mulleinwood/internal/edge/proxy"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/lifecycle"
	"mulleinwood/internal/platform/nodesettings"
)

func main() {
	lifecycle.Main(&cli.Command{
		Name:  "edge",
		Usage: "edge of the gateway",
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
			return proxy.Run(ctx, set, security, log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)))
		},
	})
}
