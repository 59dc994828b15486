package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The keyed operations that the stores hold when the kills begin: the keyed traffic of Sagamie's grown fleet for three
	// quarters of its key window, which is 60 s.
	loadRate    = 667 // operations a second
	loadTime    = 45 * time.Second
	loadClients = 120
	loadPrefix  = "load-" // of their keys; they are recorded by their number only

	recordedKeys = 5 // operations that are recorded, and sent again at the end

	kills        = 5
	killAfter    = 50 * time.Millisecond  // from the start of the controllers to the kill of all of them
	restartDelay = 300 * time.Millisecond // from the kill of the controllers to their next start
	loadCount    = loadRate * int(loadTime/time.Second)
	recoveryTime = 25 * time.Second // over recovery_s
	readInterval = 500 * time.Millisecond
)

// playKills kills all controllers at the same moment, and again soon after each of their next starts. Then it leaves them alone
// and reads the configuration back.
func playKills(g *rig) (broken bool, err error) {
	g.record.note("sent      %d keyed operations, answered with 200 and run: %d", loadCount, g.load())
	if err := g.tryKeys(); err != nil {
		return false, err
	}
	if g.trouble {
		if err := g.killAgainAndAgain(); err != nil {
			return false, err
		}
	}
	startedAt := time.Now()
	err = waitUntil(recoveryTime, func() error {
		defer time.Sleep(readInterval)
		status, text, err := g.call(http.MethodGet, "")
		if err == nil && (status != http.StatusOK || !strings.Contains(text, `"version":"r1"`)) {
			err = fmt.Errorf("%d %s", status, text)
		}
		if err != nil {
			g.record.note("read      the configuration doesn't come: %v", err)
		}
		return err
	})
	if err == nil {
		g.record.note("read      the configuration r1, %.1f s after the last start", time.Since(startedAt).Seconds())
	}
	_ = g.tryKeys() // for the record; the rule is judged by the configuration
	for i := range controllers {
		_, absent := os.Stat(filepath.Join(g.nodes[controllerName(i)].spec.DataDir(), "exchange.db.spoilt"))
		g.record.note("disk      %s has put its data file aside: %t", controllerName(i), absent == nil)
	}
	return err != nil, nil
}

// tryKeys sends a few keyed operations, the same each time.
func (g *rig) tryKeys() error {
	for i := range recordedKeys {
		if _, err := g.try(tenant, g.edgeAddress(i%len(zones)), fmt.Sprintf("k-%d", i)); err != nil {
			return err
		}
	}
	return nil
}

func (g *rig) killAgainAndAgain() error {
	for n := range kills + 1 {
		g.killControllers()
		g.record.note("killed    all controllers, %d of %d", n+1, kills+1)
		time.Sleep(restartDelay)
		for i := range controllers {
			if err := g.launch(controllerName(i)); err != nil {
				return err
			}
		}
		g.record.note("started   all controllers")
		if n < kills {
			time.Sleep(killAfter)
		}
	}
	return nil
}

func (g *rig) killControllers() {
	var all sync.WaitGroup
	for i := range controllers {
		all.Go(func() { g.kill(controllerName(i)) })
	}
	all.Wait()
}

// load sends keyed operations to all edges at loadRate and returns how many were served. They are not recorded one by one.
func (g *rig) load() (served int64) {
	var ok atomic.Int64
	var all sync.WaitGroup
	startedAt := time.Now()
	for client := range loadClients {
		all.Go(func() {
			transport := newTransport(g.edgeAddress(client % len(zones)))
			transport.DisableKeepAlives = false
			defer transport.CloseIdleConnections()
			for i := client; i < loadCount; i += loadClients {
				time.Sleep(time.Until(startedAt.Add(time.Duration(i) * time.Second / loadRate)))
				name := fmt.Sprintf("%s%d", loadPrefix, i)
				if got, err := sendTry(transport, tenant, name, name); err == nil && got.status == http.StatusOK {
					ok.Add(1)
				}
			}
		})
	}
	all.Wait()
	return ok.Load()
}
