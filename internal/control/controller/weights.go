package controller

import (
	"maps"
	"slices"
	"time"

	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

// weightService computes the server weights that this controller's edges balance by.
type weightService struct {
	*node.Env
	links     *linkTable
	tables    *weights.Tables
	serviceOf func(server string) (service string, known bool)
}

// newWeightService returns a service with empty tables. The function voters returns how many controllers compute weights in
// parallel.
func newWeightService(env *node.Env, links *linkTable, voters func() int, serviceOf func(string) (string, bool)) *weightService {
	s := &weightService{Env: env, links: links, serviceOf: serviceOf}
	zones := slices.Collect(maps.Keys(env.Settings.Zones))
	s.tables = weights.New(env.Settings.Zone, zones, env.Incarnation, voters, func(service, note string) {
		s.LogEvent("weight table", "service", service, "note", note)
	})
	return s
}

func (s *weightService) handleReport(p *remote, report *peer.Report) {
	s.tables.HandleReport(p.ip, report, s.serviceOf)
}

// push sends changed weights to the edges.
func (s *weightService) push(now time.Duration) {
	orders := s.tables.Tick(now, s.peerTraffic)
	for ip, changes := range orders {
		if e := s.links.edges[ip]; e != nil {
			e.link.Send(changes)
		}
	}
}

// peerTraffic returns the traffic of the other controllers' edges.
func (s *weightService) peerTraffic() (traffic []weights.PeerTraffic) {
	for _, p := range s.links.controllers {
		traffic = append(traffic, weights.PeerTraffic{Edges: p.summary.edges, TrafficByZone: p.summary.trafficByZone})
	}
	return traffic
}
