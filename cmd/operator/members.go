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

// membersCommand is the command for who votes in the core.
func membersCommand() *cli.Command {
	return &cli.Command{Name: "members", Usage: "who votes in the core, who stands by, and who lags", Action: listMembers,
		Commands: []*cli.Command{
			{Name: "replace", Usage: "take a voter's vote and give it to a controller that stands by", ArgsUsage: "IDENTITY",
				Action: replaceMember,
				Description: "The number of voters stays: without a controller that stands by nothing is changed. " +
					"A voter that is lost, or told\n" +
					"to end, is replaced without this call.",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "by", Usage: "identity of who takes the vote; whoever stands by, if it is not named"},
					&cli.BoolFlag{Name: "dry-run", Usage: "only say what would be done"},
				}},
		}}
}

// votingState says in a few words which part a controller has in the consensus.
func votingState(membership operator.Membership) string {
	state := "no vote"
	if membership.Votes {
		state = "votes"
	}
	if membership.ShuttingDown {
		state += ", leaves"
	}
	return state
}

func listMembers(ctx context.Context, cmd *cli.Command) error {
	statuses, silent, err := fetchStatuses(ctx, cmd)
	if err != nil {
		return err
	}
	index := slices.IndexFunc(statuses, func(status operator.Status) bool { return status.Leader == status.IP })
	if index < 0 {
		return fmt.Errorf("none of %d controllers that answer leads, %d are silent", len(statuses), len(silent))
	}
	leader := statuses[index]
	membership := leader.Membership
	if cmd.Bool("json") {
		return printJSON(membership)
	}
	fmt.Printf("cluster %s, epoch %d, voters %s\n", membership.Cluster, membership.Epoch, strings.Join(membership.Voters, " "))
	if len(membership.Next) > 0 {
		fmt.Printf("a change is under way to %s\n", strings.Join(membership.Next, " "))
	}
	return printTable("IDENTITY\tPART\tLINKED\tCLAIMS\tEPOCH\tLACKS", func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s\tleads\tyes\t%s\t%d\t0\n", membership.Identity, claimsState[!leader.Recovering], membership.Epoch)
		for _, replica := range membership.Replicas {
			state := votingState(operator.Membership{Votes: replica.Votes, ShuttingDown: replica.ShuttingDown})
			if membership.Votes && !replica.Votes && replica.Connected {
				state = "stands by"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", replica.Identity, state, yesOrNo[replica.Connected],
				claimsState[replica.Ready], replica.Epoch, replica.Lag)
		}
	})
}

// yesOrNo and claimsState are the words that the table has for a replica's state.
var (
	yesOrNo     = map[bool]string{true: "yes", false: "no"}
	claimsState = map[bool]string{true: "grants", false: "none"}
)

func replaceMember(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 1 {
		return apierror.Settings.New("%s takes the identity of one voter", cmd.FullName())
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	replacement := operator.Replacement{Voter: cmd.Args().First(), By: cmd.String("by"), DryRun: cmd.Bool("dry-run")}
	body, err := json.Marshal(replacement)
	if err != nil {
		return err
	}
	text, err := client.Call(ctx, http.MethodPost, "/members", nil, body)
	if err != nil {
		return err
	}
	var result operator.ReplacementResult
	if err := json.Unmarshal(text, &result); err != nil {
		return fmt.Errorf("the answer can't be read: %w", err)
	}
	if cmd.Bool("json") {
		return printJSON(result)
	}
	format := "epoch %d: voters %s become %s\n"
	if replacement.DryRun {
		format = "epoch %d: voters %s would become %s\n"
	}
	fmt.Printf(format, result.Epoch, strings.Join(result.Voters, " "), strings.Join(result.Next, " "))
	return nil
}
