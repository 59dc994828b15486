package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/operator"
)

// fetchStatuses asks all controllers; it fails if none answers.
func fetchStatuses(ctx context.Context, cmd *cli.Command) ([]operator.Status, []string, error) {
	client, err := newClient(cmd)
	if err != nil {
		return nil, nil, err
	}
	statuses, silent := client.Statuses(ctx)
	if len(statuses) == 0 {
		return nil, silent, fmt.Errorf("no controller answers: %v", silent)
	}
	return statuses, silent, nil
}

func printTable(head string, rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, head)
	rows(w)
	return w.Flush()
}

// mergeServers returns the servers as a controller in contact knows them, with the weights that any controller's edges hold.
func mergeServers(statuses []operator.Status) []operator.Server {
	servers := statuses[0].Servers
	if i := slices.IndexFunc(statuses, func(status operator.Status) bool { return status.InContact }); i >= 0 {
		servers = statuses[i].Servers
	}
	for _, status := range statuses { // each controller knows the weights that its own edges hold
		for _, server := range status.Servers {
			sameID := func(other operator.Server) bool { return other.ID == server.ID }
			if i := slices.IndexFunc(servers, sameID); i >= 0 {
				servers[i].Weight = max(servers[i].Weight, server.Weight)
			}
		}
	}
	return servers
}

func listServers(ctx context.Context, cmd *cli.Command) error {
	statuses, _, err := fetchStatuses(ctx, cmd)
	if err != nil {
		return err
	}
	servers := mergeServers(statuses)
	if cmd.Bool("json") {
		return printJSON(servers)
	}
	return printTable("SERVICE\tSERVER\tZONE\tADDRESS\tSTATE\tSLOTS\tWEIGHT", func(w *tabwriter.Writer) {
		for _, server := range servers {
			state := server.State
			if server.TimedOut {
				state += ", silent"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\n", server.Service, server.ID, server.Zone, server.Address, state,
				server.Capacity, server.Weight)
		}
	})
}

func listPlanners(ctx context.Context, cmd *cli.Command) error {
	statuses, silent, err := fetchStatuses(ctx, cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"exchanges": statuses, "silent": silent})
	}
	return printTable("CONTROLLER\tZONE\tROLE\tVOTE\tTERM\tCHANGES\tVERSION\tDISK\tEDGES", func(w *tabwriter.Writer) {
		for _, status := range statuses {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%.1f ms\t%d\n", status.Node, status.Zone, consensusRole(status),
				votingState(status.Membership), status.Term,
				status.Commit, status.Version, status.DiskMs, len(status.Edges))
		}
		for _, address := range silent {
			fmt.Fprintf(w, "%s\t\tdoes not answer\t\t\t\t\t\t\n", address)
		}
	})
}

// consensusRole says in a few words who leads, as a controller knows it.
func consensusRole(status operator.Status) string {
	switch status.Leader {
	case status.IP:
		return "leads"
	case "":
		return "knows no leader"
	}
	return "follows " + status.Leader
}

func listKeys(ctx context.Context, cmd *cli.Command) error {
	statuses, _, err := fetchStatuses(ctx, cmd)
	if err != nil {
		return err
	}
	counts := map[string]int{}
	for _, status := range statuses {
		counts[status.Node] = status.Keys
	}
	if cmd.Bool("json") {
		return printJSON(counts)
	}
	return printTable("CONTROLLER\tKEYS IN THEIR WINDOW", func(w *tabwriter.Writer) {
		for _, status := range statuses {
			fmt.Fprintf(w, "%s\t%d\n", status.Node, status.Keys)
		}
	})
}

func printFaults(ctx context.Context, cmd *cli.Command) error {
	statuses, silent, err := fetchStatuses(ctx, cmd)
	if err != nil {
		return err
	}
	faults := operator.Faults(statuses, silent)
	if cmd.Bool("json") {
		if err := printJSON(map[string]any{"faults": faults}); err != nil {
			return err
		}
	} else {
		for _, fault := range faults {
			fmt.Println(fault)
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d things need looking at", len(faults))
	}
	if !cmd.Bool("json") {
		fmt.Printf("all well: %d controllers, configuration %s\n", len(statuses), statuses[0].Version)
	}
	return nil
}
