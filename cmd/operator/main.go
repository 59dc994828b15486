// Command operator is the operators' client: it reads and changes the configuration and shows how the system is.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/operator"
	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/lifecycle"
)

func main() {
	lifecycle.Main(&cli.Command{
		Name:  "operator",
		Usage: "operators' client of the gateway",
		Description: "Codes: 0 done, 1 refused or failed, 2 wrong arguments or surroundings.\n" +
			"Calls go to the controllers of --at, one after the other, and follow them to the leader.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "at", Usage: "control addresses of controllers", Sources: cli.EnvVars("MULLEINWOOD_AT")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Commands: []*cli.Command{
			configCommand(),
			bookingsCommand(),
			{Name: "servers", Usage: "the servers, their states and weights", Action: listServers},
			{Name: "planners", Usage: "controllers and edges, and how they are", Action: listPlanners},
			membersCommand(),
			{Name: "keys", Usage: "how many keyed operations each ledger holds", Action: listKeys},
			{Name: "status", Usage: "what needs looking at; code 1 if anything does", Action: printFaults},
			tryCommand(),
		},
	})
}

func newClient(cmd *cli.Command) (*operator.Client, error) {
	addresses := cmd.StringSlice("at")
	if len(addresses) == 0 {
		return nil, apierror.Settings.New("--at or MULLEINWOOD_AT has to name a controller")
	}
	return operator.New(addresses, func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }), nil
}

func readFileArgument(cmd *cli.Command) ([]byte, error) {
	if cmd.NArg() != 1 {
		return nil, apierror.Settings.New("%s takes one file", cmd.FullName())
	}
	text, err := os.ReadFile(cmd.Args().First())
	if err != nil {
		return nil, apierror.Settings.Wrap(err, "file")
	}
	return text, nil
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
