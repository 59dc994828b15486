package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"mulleinwood/internal/demo"
)

// try is a gateway on this machine: three controllers, two edges, four stand-in servers, a request of each kind.
func try() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run a whole gateway with stand-in servers on this machine and send a request of each kind through",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "folder of the programs (default: that of this one)"},
			&cli.BoolFlag{Name: "logs", Usage: "print the programs' logs"},
			&cli.BoolFlag{Name: "stay", Usage: "keep running until interrupted"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			bin := cmd.String("bin")
			if bin == "" {
				self, err := os.Executable()
				if err != nil {
					return err
				}
				bin = filepath.Dir(self)
			}
			dir, err := os.MkdirTemp("", "mulleinwood-try-")
			if err != nil {
				return err
			}
			gateway := &demo.Demo{Dir: dir, Bin: bin, Out: os.Stdout, Tail: cmd.Bool("logs")}
			err = gateway.Start(ctx)
			if err == nil {
				err = gateway.Try()
			}
			if err == nil {
				err = gateway.Reload()
			}
			if err == nil {
				err = gateway.Book()
			}
			if err == nil && cmd.Bool("stay") {
				fmt.Println("fronts at 127.0.61.11:18641 and 127.0.61.12:18641, control at 127.0.61.1:18649; end with ctrl-c")
				<-ctx.Done()
			}
			if stopped := gateway.Stop(); err == nil {
				err = stopped
			}
			if err != nil {
				return fmt.Errorf("%w (logs and disks are in %s)", err, dir)
			}
			fmt.Println("all programs ended in order")
			return os.RemoveAll(dir)
		},
	}
}
