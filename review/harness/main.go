// Command harness plays the cases of the review: it starts a small deployment as processes of their own on loopback, brings the
// disruption of a case about and checks its rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// A play brings the disruption of a case about, unless trouble is turned off, and reports whether the rule was broken.
type play func(g *rig) (broken bool, err error)

var plays = map[string]play{"kills": playKills, "port": playPort, "wipe": playWipe}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness kills|port|wipe RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, path string) (code int) {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = r.file.Close() }() // the exit code says what it held
	g, err := newRig(r)
	if err != nil {
		r.note("the case can't run: %v", err)
		return exitFailed
	}
	defer g.stop()
	g.trouble = os.Getenv("TROUBLE") != "0"
	broken := false
	if err = g.start(); err == nil {
		broken, err = p(g)
	}
	switch {
	case err != nil:
		r.note("the case can't run: %v", err)
		return exitFailed
	case broken:
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
