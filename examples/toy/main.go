// Command toy plays a small deployment for a planner to look after: discovery, four servers, two proxies and
// the collectors of two zones, all in one process on the loopback addresses of examples/planner.json. It prints
// each table as it arrives, lets one server turn slow and another drain, and ends after half a minute.
package main

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/standin"
)

const (
	planner   = "127.0.0.1:8080"
	discovery = "127.0.0.1:8500"

	slowAt  = 8 * time.Second
	drainAt = 18 * time.Second
	endAt   = 30 * time.Second
	period  = time.Second // of the reports
)

var zones = []string{"north", "south"}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := play(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

func play(ctx context.Context) error {
	list, err := standin.NewDiscovery(discovery)
	if err != nil {
		return err
	}
	defer list.Close()
	var members []protocol.Member
	for i := range 4 {
		server, err := standin.NewServer("127.0.0.1:0")
		if err != nil {
			return err
		}
		defer server.Close()
		members = append(members, protocol.Member{ID: fmt.Sprintf("s-%d", i+1), Address: server.Addr(),
			Zone: zones[i%2], Kind: "m1", Cell: i % 2, Phase: protocol.PhaseUp, Weight: 1})
	}
	list.Change(members...)

	say("waiting for a planner at %s", planner)
	if err := await(ctx); err != nil {
		return err
	}
	var group sync.WaitGroup
	defer group.Wait()
	for i, zone := range zones {
		proxy, err := standin.NewProxy(planner, i, zone, 20)
		if err != nil {
			return err
		}
		defer proxy.Close()
		group.Go(func() { show(proxy, zone) })
		collector, err := standin.NewCollector(planner, zone)
		if err != nil {
			return err
		}
		defer collector.Close()
		say("proxy %d of zone %s has joined", i, zone)
		group.Go(func() { report(ctx, proxy, collector) })
	}

	steps := []struct {
		at time.Duration
		do func()
	}{
		{slowAt, func() { say("s-1 now takes 400 ms instead of 100: its weight falls round by round") }},
		{drainAt, func() {
			say("s-2 drains: its line goes at once")
			members[1].Phase = protocol.PhaseDraining
			list.Change(members[1])
		}},
		{endAt, func() { say("the end") }},
	}
	for _, step := range steps {
		select {
		case <-time.After(time.Until(begun.Add(step.at))):
			step.do()
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

var begun = time.Now()

// say prints a line with the time since the start.
func say(format string, args ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
}

// await returns once a planner takes connections.
func await(ctx context.Context) error {
	for {
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", planner)
		if err == nil {
			begun = time.Now()
			return nc.Close()
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// show prints a proxy's table whenever a message has changed it, until its stream ends.
func show(proxy *standin.Proxy, zone string) {
	seen := 0
	for {
		state := proxy.Wait(func(s standin.State) bool { return s.Messages > seen })
		if state.Closed != nil {
			return
		}
		seen = state.Messages
		var lines []string
		for _, server := range slices.Sorted(maps.Keys(state.Table)) {
			lines = append(lines, fmt.Sprintf("%s %.2f", server, state.Table[server]))
		}
		say("table of proxy %d (%s): %s", proxy.Number, zone, strings.Join(lines, ", "))
	}
}

// report tells the planner what the proxy's requests met, as if they had followed its table.
func report(ctx context.Context, proxy *standin.Proxy, collector *standin.Collector) {
	const requests = 20.0 // a period
	tick := time.NewTicker(period)
	defer tick.Stop()
	for range int((endAt - period) / period) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		state, sum := proxy.State(), 0.0
		for _, weight := range state.Table {
			sum += weight
		}
		for server, weight := range state.Table {
			mean := 100.0
			if server == "s-1" && time.Since(begun) > slowAt {
				mean = 400
			}
			if collector.Report(server, int(requests*weight/sum+0.5), 0, mean, 1000) != nil {
				return
			}
		}
		for _, class := range []string{"lookup", "order"} {
			if proxy.WriteLine(fmt.Sprintf(`{"t":"client_stats","proxy":%d,"class":%q,"tries":%g,"failed":0,"span_ms":1000}`,
				proxy.Number, class, requests/2)) != nil {
				return
			}
		}
	}
}
