package simulation

import (
	"slices"
	"time"

	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/peer"
)

const (
	reportInterval = time.Second
	tableTimeout   = 3 * time.Second // time within which an attached edge receives a weight table
)

// newTables creates the weight tables of a starting controller.
func (w *cluster) newTables(n *controller) {
	var zones []string
	for i := range w.scenario.Members {
		zones = append(zones, zoneName(i))
	}
	n.tables = weights.New(zoneName(n.zone), zones, w.rng.Uint64(), func() int { return len(n.membership.Voters) },
		func(string, string) {})
	n.peerTraffic = map[int]weights.PeerTraffic{}
	if n.registry != nil {
		n.tables.UpdateServers(n.registry.All(w.now), w.now)
	}
}

// pushWeights sends the weight updates of a controller's tables to its edges.
func (w *cluster) pushWeights(n *controller) {
	updates := n.tables.Tick(w.now, func() (all []weights.PeerTraffic) {
		for i := range w.controllers {
			if o, heard := n.peerTraffic[i]; heard {
				all = append(all, o)
			}
		}
		return all
	})
	for i, e := range w.edges {
		name := linkName(-1 - i)
		k, update := w.linkBetween(n.number, -1-i), updates[name]
		if k == nil || update == nil || w.scenario.PlantedFault == "a whole table is kept back" && len(update.Replaced) > 0 {
			continue
		}
		w.sendOnLink(k, n.number, func() {
			for _, service := range update.Replaced {
				e.picker.ClearWeights(service)
			}
			for _, l := range update.Changed {
				e.picker.SetWeight(l.Server, l.Weight)
			}
			if len(update.Tokens) > 0 {
				w.sendOnLink(k, -1-i, func() { n.tables.HandleReport(name, &peer.Report{Applied: update.Tokens}, nil) })
			}
		})
	}
}

// sendReport sends an edge's statistics to its controller once per reportInterval.
func (w *cluster) sendReport(e *edge) {
	if w.now < e.nextReport || e.frozenUntil > w.now || e.controller == nowhere {
		return
	}
	e.nextReport = w.now + reportInterval
	k := w.linkBetween(e.controller, -1-e.number)
	if k == nil {
		return
	}
	r := &peer.Report{Period: reportInterval.Seconds()}
	for _, service := range w.services {
		for _, u := range e.picker.Upstreams(service) {
			if m := e.picker.TakeStats(u); m.Attempts > 0 {
				r.Servers = append(r.Servers, peer.ServerStats{Server: u.ID, Attempts: m.Attempts, Failed: m.Failed,
					TotalTime: m.TotalTime})
			}
		}
		if n := e.serviceRequests[service]; n > 0 {
			r.Services = append(r.Services, peer.ServiceStats{Service: service, Requests: uint32(n)})
		}
	}
	clear(e.serviceRequests)
	n := w.controllers[e.controller]
	w.sendOnLink(k, -1-e.number, func() {
		n.tables.HandleReport(linkName(-1-e.number), r, func(server string) (string, bool) {
			entry, known := n.registry.Get(server)
			return entry.Service, known
		})
	})
}

// auditTables checks that a stable edge which has been attached to its controller for tableTimeout holds weights for every
// service for which the controller has assigned some to servers that the edge knows.
func (w *cluster) auditTables(e *edge) {
	if !w.isStable() || e.stableSince > w.now || e.controller == nowhere || w.now < e.attachedAt+tableTimeout {
		return
	}
	n := w.controllers[e.controller]
	for _, service := range w.services {
		weights := n.tables.WeightsFor(linkName(-1-e.number), service)
		upstreams := e.picker.Upstreams(service)
		expected := slices.ContainsFunc(upstreams, func(u *picker.Upstream) bool { return weights[u.ID] > 0 })
		if !expected || slices.ContainsFunc(upstreams, (*picker.Upstream).HasWeight) {
			delete(e.withoutTableSince, service)
			continue
		}
		if since, seen := e.withoutTableSince[service]; !seen { // the table may be in flight
			e.withoutTableSince[service] = w.now
		} else if w.now-since > tableTimeout {
			w.fail("TABLE: edge %d has been attached to controller %d for %s without weights for %s", e.number, n.number,
				w.now-e.attachedAt, service)
		}
	}
}
