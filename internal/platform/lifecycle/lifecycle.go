// Package lifecycle starts and ends all programs alike: it runs a command line, ends it on SIGTERM, and turns errors
// into one line and a code: 0 done, 1 failed while running, 2 wrong arguments, settings or surroundings.
package lifecycle

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"mulleinwood/internal/platform/apierror"
)

// Main runs a command line and ends the process.
func Main(cmd *cli.Command) {
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, strings.ReplaceAll(err.Error(), "\n", " "))
		if errorx.IsOfType(err, apierror.Settings) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
