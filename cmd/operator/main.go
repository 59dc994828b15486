// Command operator is the operators' client: it reads and changes the configuration and shows how the system is.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/night"
)

func main() {
	at := &cli.StringFlag{Name: "at", Usage: "control address of an exchange", Required: true}
	get := func(path string) cli.ActionFunc {
		return func(ctx context.Context, cmd *cli.Command) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cmd.String("at")+path, nil)
			if err != nil {
				return err
			}
			resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
				return err
			}
			fmt.Println()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("GET %s: %s", path, resp.Status)
			}
			return nil
		}
	}
	night.Main(&cli.Command{
		Name:  "operator",
		Usage: "operators' client of the gateway",
		Commands: []*cli.Command{
			try(),
			{Name: "config", Usage: "the configuration", Commands: []*cli.Command{
				{Name: "get", Usage: "print the newest configuration", Flags: []cli.Flag{at}, Action: get("/config")},
			}},
			{Name: "status", Usage: "how an exchange sees the system", Flags: []cli.Flag{at}, Action: get("/status")},
		},
	})
}
