package main

import (
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"text/tabwriter"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/program"
)

type configCmd struct {
	Check checkCmd `cmd:"" help:"Check files and say what is wrong with them, with line and column. *.jsonc is taken for the program's own settings, anything else for a planner's configuration."`
	Show  showCmd  `cmd:"" help:"Show the program's own settings as they are in force, and where each came from."`
}

type checkCmd struct {
	Files []string `arg:"" name:"file" help:"Files to check."`
}

// Run checks each file and ends at the first that is wrong.
func (k checkCmd) Run(out io.Writer) error {
	for _, file := range k.Files {
		var err error
		if filepath.Ext(file) == ".jsonc" {
			_, err = options.Load(file)
		} else {
			err = program.CheckConfig(file)
		}
		if err != nil {
			return startError{err}
		}
		fmt.Fprintf(out, "%s: good\n", file)
	}
	return nil
}

type showCmd struct {
	JSON bool `help:"As a JSON list of {path, value, origin, range}."`
}

// Run prints every setting.
func (s showCmd) Run(c *cli, out io.Writer) error {
	own, err := c.load()
	if err != nil {
		return startError{err}
	}
	values := own.Values()
	if s.JSON {
		to := json.NewEncoder(out)
		to.SetIndent("", "  ")
		return to.Encode(values)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "setting\tvalue\tfrom\trange")
	for _, v := range values {
		fmt.Fprintf(table, "%s\t%v\t%s\t%s\n", v.Path, v.Value, v.Origin, v.Range)
	}
	return table.Flush()
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(out io.Writer) error {
	_, err := fmt.Fprintf(out, "mulleinwood %s (%s %s/%s)\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return err
}
