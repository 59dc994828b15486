// Command simhost runs the decision module behind the simulator's wire on standard input and output.
package main

import (
	"fmt"
	"os"

	"mulleinwood/internal/planner/simhost"
)

func main() {
	if err := simhost.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
