package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/demo"
)

// tryCommand runs a gateway on this machine: three controllers, two edges, four stand-in servers, a request of each kind.
func tryCommand() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run a whole gateway with stand-in servers on this machine and send a request of each kind through",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "folder of the programs (default: that of this one)"},
			&cli.BoolFlag{Name: "logs", Usage: "print the programs' logs"},
			&cli.BoolFlag{Name: "stay", Usage: "keep running until interrupted"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	binDir, err := programDir(cmd.String("bin"))
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "mulleinwood-try-")
	if err != nil {
		return err
	}
	gateway := &demo.Demo{Dir: dir, BinDir: binDir, Out: os.Stdout, PrintLogs: cmd.Bool("logs")}
	err = playDemo(ctx, gateway)
	if err == nil && cmd.Bool("stay") {
		fmt.Println("fronts at 127.0.61.11:18641 and 127.0.61.12:18641, control at 127.0.61.1:18649; end with ctrl-c")
		<-ctx.Done()
	}
	if stopErr := gateway.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return fmt.Errorf("%w (logs and disks are in %s)", err, dir)
	}
	fmt.Println("all programs ended in order")
	return os.RemoveAll(dir)
}

// playDemo goes through the demo up to the first step that fails.
func playDemo(ctx context.Context, gateway *demo.Demo) error {
	for _, step := range []func(context.Context) error{gateway.Start, gateway.Try, gateway.Reload, gateway.Book} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// programDir is the folder of the programs: the one that was asked for, or that of this program.
func programDir(asked string) (string, error) {
	if asked != "" {
		return asked, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Dir(self), nil
}
