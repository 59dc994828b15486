package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	wipeKeys = 20 // operations at each edge
	// downTime is how long a controller is down; the users' small sites keep a machine that loses its disk down for 3 s.
	downTime       = 1500 * time.Millisecond
	restTime       = 15 * time.Second
	allowedDenials = 3 // the rule is broken by repeats of more keys
)

// playWipe serves keyed operations, has one controller lose its disk, and repeats the operations once all machines have been
// back and in touch for a long time.
func playWipe(g *rig) (broken bool, err error) {
	first := map[string]answer{}
	for i := range wipeKeys * len(zones) {
		key := fmt.Sprintf("k-%d", i)
		got, err := g.try(tenant, g.edgeAddress(i%len(zones)), key)
		if err != nil || got.status != http.StatusOK {
			return false, fmt.Errorf("key %s is not served: %d, %w", key, got.status, err)
		}
		first[key] = got
	}
	time.Sleep(calmTime)
	if g.trouble {
		name := controllerName(0)
		g.kill(name)
		if err := os.RemoveAll(g.nodes[name].spec.DataDir()); err != nil {
			return false, err
		}
		g.record.note("killed    %s, which loses its disk", name)
		time.Sleep(downTime)
		if err := g.launch(name); err != nil {
			return false, err
		}
		g.record.note("started   %s, with an empty disk", name)
	}
	time.Sleep(restTime)
	denied, wrong := 0, 0
	for i := range wipeKeys * len(zones) {
		key := fmt.Sprintf("k-%d", i)
		got, err := g.try(tenant, g.edgeAddress((i+1)%len(zones)), key)
		switch {
		case err != nil:
			return false, err
		case got.status == http.StatusConflict:
			denied++
		case got != first[key]:
			wrong++
		}
	}
	g.record.note("of %d repeats, %d got 409 and %d another answer than the first try", len(first), denied, wrong)
	return denied > allowedDenials, nil
}
