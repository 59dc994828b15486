// Command operator is the operators' client: it reads and changes the configuration and shows how the system is.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/config"
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
			{Name: "config", Usage: "the configuration", Commands: []*cli.Command{
				{Name: "get", Usage: "print the newest configuration", Action: configGet},
				{Name: "check", Usage: "say what is wrong with a configuration file, in one line with its place",
					ArgsUsage: "FILE", Action: configCheck,
					Flags: []cli.Flag{&cli.BoolFlag{Name: "change", Usage: "the file holds changes of items, as for patch"}}},
				{Name: "diff", Usage: "what a file would change", ArgsUsage: "FILE", Action: configDiff},
				{Name: "put", Usage: "replace the configuration by a file, on top of the version that is in force",
					ArgsUsage: "FILE", Action: configPut},
				{Name: "patch", Usage: "change named items by a file, on top of the version that is in force",
					ArgsUsage: "FILE", Action: configPut},
				{Name: "history", Usage: "the versions that were taken, newest first", Action: configHistory},
			}},
			bookings(),
			{Name: "servers", Usage: "the servers, their states and weights", Action: servers},
			{Name: "planners", Usage: "controllers and edges, and how they are", Action: planners},
			members(),
			{Name: "keys", Usage: "how many keyed operations each ledger holds", Action: keys},
			{Name: "status", Usage: "what needs looking at; code 1 if anything does", Action: status},
			try(),
		},
	})
}

func client(cmd *cli.Command) (*operator.Client, error) {
	at := cmd.StringSlice("at")
	if len(at) == 0 {
		return nil, apierror.Settings.New("--at or MULLEINWOOD_AT has to name a controller")
	}
	return operator.New(at, func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }), nil
}

func file(cmd *cli.Command) ([]byte, error) {
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

func current(ctx context.Context, c *operator.Client) ([]byte, config.Version, error) {
	text, err := c.Call(ctx, http.MethodGet, "/config", nil, nil)
	if err != nil {
		return nil, 0, err
	}
	var v struct {
		Version string `json:"version"`
	}
	if err := json.Unmarshal(text, &v); err != nil {
		return nil, 0, fmt.Errorf("the answer can't be read: %w", err)
	}
	n, ok := config.ParseVersion(v.Version)
	if !ok {
		return nil, 0, fmt.Errorf("the answer's version is %q", v.Version)
	}
	return text, n, nil
}

func configGet(ctx context.Context, cmd *cli.Command) error {
	c, err := client(cmd)
	if err != nil {
		return err
	}
	text, _, err := current(ctx, c)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, text, "", "  "); err != nil {
		return err
	}
	fmt.Println(out.String())
	return nil
}

func configCheck(_ context.Context, cmd *cli.Command) error {
	text, err := file(cmd)
	if err != nil {
		return err
	}
	path := cmd.Args().First()
	if cmd.Bool("change") {
		if err := operator.CheckChange(path, text); err != nil {
			return err
		}
		fmt.Println("valid by itself: the controllers judge it against what is in force")
		return nil
	}
	if err := operator.CheckConfig(path, text); err != nil {
		return err
	}
	config, err := config.Parse(text)
	if err != nil {
		return err
	}
	fmt.Printf("valid: %s, %d routes, %d services\n", config.Version, len(config.Routes), len(config.Services))
	return nil
}

func configDiff(ctx context.Context, cmd *cli.Command) error {
	text, err := file(cmd)
	if err != nil {
		return err
	}
	c, err := client(cmd)
	if err != nil {
		return err
	}
	now, _, err := current(ctx, c)
	if err != nil {
		return err
	}
	lines, err := operator.Diff(now, text)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(lines)
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	return nil
}

func configPut(ctx context.Context, cmd *cli.Command) error {
	text, err := file(cmd)
	if err != nil {
		return err
	}
	c, err := client(cmd)
	if err != nil {
		return err
	}
	_, base, err := current(ctx, c)
	if err != nil {
		return err
	}
	method := http.MethodPut
	if cmd.Name == "patch" {
		method = http.MethodPatch
	}
	match := "0"
	if base > 0 {
		match = base.String()
	}
	answer, err := c.Call(ctx, method, "/config", http.Header{"If-Match": {match}, "Content-Type": {"application/json"}}, text)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		fmt.Println(string(answer))
		return nil
	}
	fmt.Printf("taken, on top of %s\n", match)
	return nil
}

func configHistory(ctx context.Context, cmd *cli.Command) error {
	c, err := client(cmd)
	if err != nil {
		return err
	}
	text, err := c.Call(ctx, http.MethodGet, "/config/history", nil, nil)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		fmt.Println(string(text))
		return nil
	}
	var all []struct{ Version, Digest string }
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	for _, v := range all {
		fmt.Println(v.Version, v.Digest)
	}
	return nil
}

// seen asks all controllers; it fails if none answers.
func seen(ctx context.Context, cmd *cli.Command) ([]operator.Status, []string, error) {
	c, err := client(cmd)
	if err != nil {
		return nil, nil, err
	}
	views, silent := c.Statuses(ctx)
	if len(views) == 0 {
		return nil, silent, fmt.Errorf("no controller answers: %v", silent)
	}
	return views, silent, nil
}

func table(head string, rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	return w.Flush()
}

func servers(ctx context.Context, cmd *cli.Command) error {
	views, _, err := seen(ctx, cmd)
	if err != nil {
		return err
	}
	best := views[0]
	for _, v := range views {
		if v.InContact && !best.InContact {
			best = v
		}
	}
	for _, v := range views { // each controller knows the weights that its own edges hold
		for _, s := range v.Servers {
			if i := slices.IndexFunc(best.Servers, func(o operator.Server) bool { return o.ID == s.ID }); i >= 0 {
				best.Servers[i].Weight = max(best.Servers[i].Weight, s.Weight)
			}
		}
	}
	if cmd.Bool("json") {
		return printJSON(best.Servers)
	}
	return table("SERVICE\tSERVER\tZONE\tADDRESS\tSTATE\tSLOTS\tWEIGHT", func(w *tabwriter.Writer) {
		for _, s := range best.Servers {
			state := s.State
			if s.TimedOut {
				state += ", silent"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\n", s.Service, s.ID, s.Zone, s.Address, state, s.Capacity, s.Weight)
		}
	})
}

func planners(ctx context.Context, cmd *cli.Command) error {
	views, silent, err := seen(ctx, cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"exchanges": views, "silent": silent})
	}
	return table("CONTROLLER\tZONE\tROLE\tVOTE\tTERM\tCHANGES\tVERSION\tDISK\tEDGES", func(w *tabwriter.Writer) {
		for _, v := range views {
			role := "follows " + v.Leader
			if v.Leader == v.IP {
				role = "leads"
			} else if v.Leader == "" {
				role = "knows no leader"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%.1f ms\t%d\n", v.Node, v.Zone, role, vote(v.Membership), v.Term,
				v.Commit, v.Version, v.DiskMs, len(v.Edges))
		}
		for _, at := range silent {
			fmt.Fprintf(w, "%s\t\tdoes not answer\t\t\t\t\t\t\n", at)
		}
	})
}

func keys(ctx context.Context, cmd *cli.Command) error {
	views, _, err := seen(ctx, cmd)
	if err != nil {
		return err
	}
	counts := map[string]int{}
	for _, v := range views {
		counts[v.Node] = v.Keys
	}
	if cmd.Bool("json") {
		return printJSON(counts)
	}
	return table("CONTROLLER\tKEYS IN THEIR WINDOW", func(w *tabwriter.Writer) {
		for _, v := range views {
			fmt.Fprintf(w, "%s\t%d\n", v.Node, v.Keys)
		}
	})
}

func status(ctx context.Context, cmd *cli.Command) error {
	views, silent, err := seen(ctx, cmd)
	if err != nil {
		return err
	}
	faults := operator.Faults(views, silent)
	if cmd.Bool("json") {
		if err := printJSON(map[string]any{"faults": faults}); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			fmt.Println(f)
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d things need looking at", len(faults))
	}
	if !cmd.Bool("json") {
		fmt.Printf("all well: %d controllers, configuration %s\n", len(views), views[0].Version)
	}
	return nil
}
