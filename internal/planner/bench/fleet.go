// Package bench measures planners: planner processes on loopback with scripted peers, and decision modules and routers in
// this process without sockets. Peers run outside the planner's process, so their CPU time is not counted.
package bench

import (
	"fmt"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
)

// Fleet is the size of a synthetic deployment, and the seed of its random draws.
type Fleet struct {
	Proxies int    `json:"proxies"`
	Servers int    `json:"servers"`
	Seed    uint64 `json:"seed"`
}

// Parameters of the synthetic deployment.
const (
	reportIntervalMS    = 1000.0
	warmupMS            = 8000.0
	queueLinesPerProxy  = 60.0 // limit of the lines buffered in the channel, per proxy
	linesPerSecPerProxy = 40.0 // send rate of the channel, per proxy
	proxyRate           = 20.0 // mean requests per second of a proxy
	messageHeaderLines  = 3.0
)

var (
	zones   = []string{"east", "west"}
	classes = []string{"view", "post", "pay"}
)

// settings returns the planner settings of the deployment, ready for JSON encoding.
func (f Fleet) settings() map[string]any {
	class := func(name, idempotency string, latencyTarget, deadline, importance float64) map[string]any {
		return map[string]any{"name": name, "slo": latencyTarget, "deadline": deadline,
			"idempotency": idempotency, "importance": importance,
			"late-worth": 0.1,
			"group":      "all", "repeat-window": 1000}
	}
	return map[string]any{
		"replicas-of-me": 1, "me": 0, "my-zone": 0, "localities": zones, "kinds": []string{"m1"}, "granularity": 1,
		"discovery": "pushed",
		"classes": []any{class("view", "read_like", 1000, 4000, 1), class("post", "idempotency_key", 500, 2000, 5),
			class("pay", "non_idempotent", 500, 1500, 2)},
		"permissions": map[string]any{"probes": true, "dial-timeout": 250},
		"report":      map[string]any{"via": "none", "fields": []string{}},
		"rules": map[string]any{"cold": warmupMS, "start-capacity": 0.2, "stop-sending-within": 2000, "fall-multiple": 2.5,
			"tip-after": 3000},
		"extra": map[string]any{"proxy-count": f.Proxies, "level-kind": "ratio", "retry-default": 0, "try-aims": 1,
			"interval": reportIntervalMS, "bare": 3000,
			"pending-max": queueLinesPerProxy * float64(f.Proxies), "egress-per-s": linesPerSecPerProxy * float64(f.Proxies),
			"per-message": messageHeaderLines, "reloads-max": 0, "counted-over": 10000, "min-conn-cap": 0, "ranges": 0,
			"local-first": false,
			"stays-local": []bool{false, false, false}},
	}
}

// parsedSettings returns the deployment's settings as a planner parses them.
func (f Fleet) parsedSettings() (settings.Settings, error) {
	text, err := marshal(f.settings())
	if err != nil {
		return settings.Settings{}, err
	}
	return settings.Parse(text)
}

// member returns server i as discovery lists it. Nothing listens at its address, which receives only probes.
func member(i int, phase string, since float64) protocol.Member {
	return protocol.Member{ID: fmt.Sprintf("s-%d", i), Address: "127.0.0.1:9", Zone: zones[i%len(zones)], Kind: "m1",
		Phase: phase, Weight: 1, StartedAt: since}
}

// members returns all servers of the fleet in the phase up.
func (f Fleet) members() (list []protocol.Member) {
	for i := range f.Servers {
		list = append(list, member(i, protocol.PhaseUp, 0))
	}
	return list
}

func zoneOf(proxy int) string { return zones[proxy%len(zones)] }
