package rules_test

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// countingController is a controller that records the highest number of a server in its events.
type countingController struct {
	*rules.Controller
	highestID rules.ServerID
}

func (n *countingController) Step(now float64, events []rules.Event) []rules.Action {
	for _, e := range events {
		if list, ok := e.(rules.List); ok {
			for _, s := range list.Servers {
				n.highestID = max(n.highestID, s.ID)
			}
		}
	}
	return n.Controller.Step(now, events)
}

// TestChurn adds and removes thousands of servers with new names, while streams break and return. It guards against memory,
// and work per decision, that grow with all servers ever listed instead of the current ones.
func TestChurn(t *testing.T) {
	for _, drainOnly := range []bool{false, true} {
		const live, proxies = 12, 9
		set := settings.Settings{ZoneNames: []string{"a", "b"},
			Rules: rules.Settings{Instances: 1, Zones: 2, Proxies: proxies,
				QueryDiscovery: true, Admission: rules.AdmitShare, ReportPeriod: 1000, QueueLines: 3600, LinesPerSec: 2400, MessageCost: 3,
				DrainGrace: 1500, MaxTimeWithoutServer: 2500, WarmupTime: 1000, StartCapacity: 0.2, OverloadFactor: 2.5, OverloadTime: 3000, DrainOnly: drainOnly,
				Classes: []rules.Class{{Name: "view", LatencyTarget: 1000, Deadline: 4000, Value: 1}}}}
		entry := func(n int, phase string) protocol.Member {
			return protocol.Member{ID: fmt.Sprint("s", n), Zone: set.ZoneNames[n%2], Phase: phase, Weight: 1}
		}
		known := protocol.List{Revision: 1, Complete: true}
		for n := range live {
			known.Members = append(known.Members, entry(n, "up"))
		}
		module := &countingController{Controller: rules.New(set.Rules, 7)}
		r := routing.New(set, module, noCalls{}, known, zerolog.Nop())
		lines, bound := 0.0, false
		streams := map[int]*proxy{}
		r.Handle(routing.MessageReceived{Peer: &proxy{t: t, lines: &lines, bound: &bound},
			Message: protocol.Heartbeat{}})
		now, id := 50000.0, uint64(100)
		run := func(duration float64) {
			for end := now + duration; now < end; now += 100 {
				if _, _, err := r.Advance(now); err != nil {
					t.Fatal(err)
				}
			}
		}
		run(1000)
		var watch uint64 = 1
		mostServers, mostLines := 0, 0
		for n := live; n < 3000; n++ {
			if at := n % proxies; n%3 == 0 { // the stream breaks; a new one is established at once or later
				if old := streams[at]; old != nil {
					r.Handle(routing.Disconnected{Peer: old})
					delete(streams, at)
				} else {
					id++
					streams[at] = &proxy{t: t, id: id, lines: &lines, messageStarts: true, rejoined: true, bound: &bound}
					r.Handle(routing.MessageReceived{Peer: streams[at],
						Message: protocol.Attach{Proxy: at, Zone: set.ZoneNames[at%2], Rate: 3}})
				}
			}
			r.Handle(routing.ListReceived{Call: watch,
				List: protocol.List{Revision: int64(n), Members: []protocol.Member{entry(n, "up"),
					entry(n-live, "draining")}}})
			run(300)
			gone := entry(n-live, "removed")
			r.Handle(routing.ListReceived{Call: watch,
				List: protocol.List{Revision: int64(n), Members: []protocol.Member{gone}}})
			run(300)
			servers, held := module.TrackedCounts()
			mostServers, mostLines = max(mostServers, servers), max(mostLines, held)
		}
		if mostServers > 3*live || int(module.highestID) > 3*live {
			t.Errorf("drain only %t: with %d current servers, %d were kept and numbers went up to %d", drainOnly, live, mostServers, module.highestID)
		}
		if mostLines > proxies*3*live || lines == 0 {
			t.Errorf("drain only %t: %d table lines were kept, %v were ordered", drainOnly, mostLines,
				lines)
		}
	}
}
