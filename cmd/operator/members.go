package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/operator"
	"mulleinwood/internal/platform/apierror"
)

// members is the command for who votes in the core.
func members() *cli.Command {
	return &cli.Command{Name: "members", Usage: "who votes in the core, who stands by, and who lags", Action: listMembers,
		Commands: []*cli.Command{
			{Name: "replace", Usage: "take a voter's vote and give it to a controller that stands by", ArgsUsage: "IDENTITY",
				Action: replaceMember,
				Description: "The number of voters stays: without a controller that stands by nothing is changed. A voter that is lost, or told\n" +
					"to end, is replaced without this call.",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "by", Usage: "identity of who takes the vote; whoever stands by, if it is not named"},
					&cli.BoolFlag{Name: "dry-run", Usage: "only say what would be done"},
				}},
		}}
}

// vote says in a few words which part a controller has in the consensus.
func vote(m operator.Membership) string {
	part := "no vote"
	if m.Votes {
		part = "votes"
	}
	if m.ShuttingDown {
		part += ", leaves"
	}
	return part
}

func listMembers(ctx context.Context, cmd *cli.Command) error {
	views, silent, err := seen(ctx, cmd)
	if err != nil {
		return err
	}
	leading := slices.IndexFunc(views, func(v operator.Status) bool { return v.Leader == v.IP })
	if leading < 0 {
		return fmt.Errorf("none of %d controllers that answer leads, %d are silent", len(views), len(silent))
	}
	leader := views[leading]
	m := leader.Membership
	if cmd.Bool("json") {
		return printJSON(m)
	}
	fmt.Printf("cluster %s, epoch %d, voters %s\n", m.Cluster, m.Epoch, strings.Join(m.Voters, " "))
	if len(m.Next) > 0 {
		fmt.Printf("a change is under way to %s\n", strings.Join(m.Next, " "))
	}
	return table("IDENTITY\tPART\tLINKED\tCLAIMS\tEPOCH\tLACKS", func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s\tleads\tyes\t%s\t%d\t0\n", m.Identity, ready(!leader.Recovering), m.Epoch)
		for _, r := range m.Replicas {
			part := vote(operator.Membership{Votes: r.Votes, ShuttingDown: r.ShuttingDown})
			if m.Votes && !r.Votes && r.Connected {
				part = "stands by"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", r.Identity, part, yes(r.Connected), ready(r.Ready), r.Epoch, r.Lag)
		}
	})
}

func yes(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

func ready(is bool) string {
	if is {
		return "grants"
	}
	return "none"
}

func replaceMember(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return apierror.Settings.New("%s takes the identity of one voter", cmd.FullName())
	}
	c, err := client(cmd)
	if err != nil {
		return err
	}
	call := operator.Replacement{Voter: cmd.Args().First(), By: cmd.String("by"), DryRun: cmd.Bool("dry-run")}
	body, err := json.Marshal(call)
	if err != nil {
		return err
	}
	text, err := c.Call(ctx, http.MethodPost, "/members", nil, body)
	if err != nil {
		return err
	}
	var made operator.ReplacementResult
	if err := json.Unmarshal(text, &made); err != nil {
		return fmt.Errorf("the answer can't be read: %w", err)
	}
	if cmd.Bool("json") {
		return printJSON(made)
	}
	what := "epoch %d: voters %s become %s\n"
	if call.DryRun {
		what = "epoch %d: voters %s would become %s\n"
	}
	fmt.Printf(what, made.Epoch, strings.Join(made.Voters, " "), strings.Join(made.Next, " "))
	return nil
}
