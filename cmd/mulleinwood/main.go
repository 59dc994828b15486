// Command mulleinwood is one planner: it assigns servers to the proxies that join it.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/program"
)

// Codes the program ends with.
const (
	codeFailed   = 1 // while it ran
	codeBadStart = 2 // wrong arguments, settings or surroundings
)

// version is that of the newest heading in CHANGELOG.md.
const version = "0.5.0"

type cli struct {
	Settings string `help:"The program's own settings, JSON with comments. If none is named, ${settings_file} is read where it is there." env:"MULLEINWOOD_SETTINGS" placeholder:"FILE" type:"path"`

	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a planner until SIGTERM or SIGINT (what happens without a command). NODE_CONFIG names its configuration; NODE_NAME, NODE_LISTEN and NODE_DISCOVERY win over the file's entries. SIGHUP reads it again."`
	Config  configCmd  `cmd:"" help:"Check a configuration, or show what is in force."`
	Tables  tablesCmd  `cmd:"" help:"Read the record of what proxies were sent."`
	Bench   benchCmd   `cmd:"" help:"Measure."`
	Version versionCmd `cmd:"" help:"Print the version and what it was built with."`
}

// load reads the program's own settings.
func (c *cli) load() (options.Loaded, error) {
	if c.Settings != "" {
		return options.Load(c.Settings)
	}
	return options.LoadIfPresent(options.DefaultFile)
}

// startError is a failure before the work began.
type startError struct{ err error }

func (e startError) Error() string { return e.err.Error() }
func (e startError) Unwrap() error { return e.err }

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run carries a command line out and returns the code to end with. What is wrong takes one line.
func run(args []string, stdout, stderr io.Writer) int {
	var c cli
	ended := -1
	parser, err := kong.New(&c, kong.Name("mulleinwood"), kong.Writers(stdout, stderr),
		kong.Vars{"settings_file": options.DefaultFile},
		kong.Description("A table manager: it assigns servers to proxies and decides what their tables hold. "+
			"Exit codes: 0 done, 1 failed while running, 2 wrong arguments, settings or surroundings."),
		kong.Exit(func(code int) { ended = code }), kong.UsageOnError(), kong.BindTo(stdout, (*io.Writer)(nil)))
	if err == nil {
		var command *kong.Context
		if command, err = parser.Parse(args); ended >= 0 {
			return ended // help was asked for
		}
		if err == nil {
			err = command.Run(&c)
		} else {
			err = startError{fmt.Errorf("%w (see --help)", err)}
		}
	}
	var start startError
	var opened *program.StartError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &start), errors.As(err, &opened):
		fmt.Fprintln(stderr, "mulleinwood:", err)
		return codeBadStart
	}
	if !errors.Is(err, errLogged) {
		fmt.Fprintln(stderr, "mulleinwood:", err)
	}
	return codeFailed
}
