package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/config"
	"mulleinwood/internal/operator"
)

// configCommand has the commands on the configuration.
func configCommand() *cli.Command {
	return &cli.Command{Name: "config", Usage: "the configuration", Commands: []*cli.Command{
		{Name: "get", Usage: "print the newest configuration", Action: getConfig},
		{Name: "check", Usage: "say what is wrong with a configuration file, in one line with its place",
			ArgsUsage: "FILE", Action: checkConfig,
			Flags: []cli.Flag{&cli.BoolFlag{Name: "change", Usage: "the file holds changes of items, as for patch"}}},
		{Name: "diff", Usage: "what a file would change", ArgsUsage: "FILE", Action: diffConfig},
		{Name: "put", Usage: "replace the configuration by a file, on top of the version that is in force",
			ArgsUsage: "FILE", Action: putConfig},
		{Name: "patch", Usage: "change named items by a file, on top of the version that is in force",
			ArgsUsage: "FILE", Action: putConfig},
		{Name: "history", Usage: "the versions that were taken, newest first", Action: listConfigHistory},
	}}
}

// fetchConfig reads the newest configuration, and its version.
func fetchConfig(ctx context.Context, client *operator.Client) ([]byte, config.Version, error) {
	text, err := client.Call(ctx, http.MethodGet, "/config", nil, nil)
	if err != nil {
		return nil, 0, err
	}
	var document struct {
		Version string `json:"version"`
	}
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, 0, fmt.Errorf("the answer can't be read: %w", err)
	}
	version, ok := config.ParseVersion(document.Version)
	if !ok {
		return nil, 0, fmt.Errorf("the answer's version is %q", document.Version)
	}
	return text, version, nil
}

func getConfig(ctx context.Context, cmd *cli.Command) error {
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	text, _, err := fetchConfig(ctx, client)
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

func checkConfig(_ context.Context, cmd *cli.Command) error {
	text, err := readFileArgument(cmd)
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
	parsed, err := config.Parse(text)
	if err != nil {
		return err
	}
	fmt.Printf("valid: %s, %d routes, %d services\n", parsed.Version, len(parsed.Routes), len(parsed.Services))
	return nil
}

// configUpdate is a file that the operator names, and what it is to be held against.
type configUpdate struct {
	client  *operator.Client
	text    []byte         // of the file
	inForce []byte         // the newest configuration
	version config.Version // of what is in force
}

func readConfigUpdate(ctx context.Context, cmd *cli.Command) (update configUpdate, err error) {
	if update.text, err = readFileArgument(cmd); err != nil {
		return configUpdate{}, err
	}
	if update.client, err = newClient(cmd); err != nil {
		return configUpdate{}, err
	}
	update.inForce, update.version, err = fetchConfig(ctx, update.client)
	return update, err
}

func diffConfig(ctx context.Context, cmd *cli.Command) error {
	update, err := readConfigUpdate(ctx, cmd)
	if err != nil {
		return err
	}
	lines, err := operator.Diff(update.inForce, update.text)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(lines)
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	return nil
}

func putConfig(ctx context.Context, cmd *cli.Command) error {
	update, err := readConfigUpdate(ctx, cmd)
	if err != nil {
		return err
	}
	method := http.MethodPut
	if cmd.Name == "patch" {
		method = http.MethodPatch
	}
	baseVersion := "0"
	if update.version > 0 {
		baseVersion = update.version.String()
	}
	header := http.Header{"If-Match": {baseVersion}, "Content-Type": {"application/json"}}
	reply, err := update.client.Call(ctx, method, "/config", header, update.text)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		fmt.Println(string(reply))
		return nil
	}
	fmt.Printf("taken, on top of %s\n", baseVersion)
	return nil
}

func listConfigHistory(ctx context.Context, cmd *cli.Command) error {
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	text, err := client.Call(ctx, http.MethodGet, "/config/history", nil, nil)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		fmt.Println(string(text))
		return nil
	}
	var versions []struct{ Version, Digest string }
	if err := json.Unmarshal(text, &versions); err != nil {
		return err
	}
	for _, version := range versions {
		fmt.Println(version.Version, version.Digest)
	}
	return nil
}
