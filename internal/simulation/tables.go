package simulation

import (
	"slices"
	"time"

	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/peer"
)

const (
	reportOf  = time.Second
	tableWait = 3 * time.Second // in which an edge at its controller has a table
)

// newGroups gives a controller's life its tables, which hold nothing yet.
func (w *world) newTables(n *node) {
	var zones []string
	for i := range w.day.Members {
		zones = append(zones, zoneName(i))
	}
	n.tables = weights.New(zoneName(n.zone), zones, w.rng.Uint64(), func() int { return len(n.membership.Voters) }, func(string, string) {})
	n.others = map[int]weights.PeerTraffic{}
	if n.registry != nil {
		n.tables.UpdateServers(n.registry.All(w.now), w.now)
	}
}

// weigh sends a controller's edges what its tables order.
func (w *world) weigh(n *node) {
	orders := n.tables.Tick(w.now, func() (all []weights.PeerTraffic) {
		for i := range w.nodes {
			if o, heard := n.others[i]; heard {
				all = append(all, o)
			}
		}
		return all
	})
	for i, e := range w.edges {
		name := linkName(-1 - i)
		k, order := w.between(n.n, -1-i), orders[name]
		if k == nil || order == nil || w.day.Fault == "a whole table is kept back" && len(order.Replaced) > 0 {
			continue
		}
		w.wired(k, n.n, func() {
			for _, service := range order.Replaced {
				e.picker.ClearWeights(service)
			}
			for _, l := range order.Changed {
				e.picker.SetWeight(l.Server, l.Weight)
			}
			if len(order.Tokens) > 0 {
				w.wired(k, -1-i, func() { n.tables.HandleReport(name, &peer.Report{Applied: order.Tokens}, nil) })
			}
		})
	}
}

// report has an edge say what it met, once a second.
func (w *world) report(e *edge) {
	if w.now < e.reports || e.frozen > w.now || e.controller == nowhere {
		return
	}
	e.reports = w.now + reportOf
	k := w.between(e.controller, -1-e.n)
	if k == nil {
		return
	}
	r := &peer.Report{Period: reportOf.Seconds()}
	for _, service := range w.services {
		for _, u := range e.picker.Upstreams(service) {
			if m := e.picker.DrainStats(u); m.Attempts > 0 {
				r.Servers = append(r.Servers, peer.ServerStats{Server: u.ID, Attempts: m.Attempts, Failed: m.Failed, TotalTime: m.TotalTime})
			}
		}
		if n := e.asked[service]; n > 0 {
			r.Services = append(r.Services, peer.ServiceStats{Service: service, Requests: uint32(n)})
		}
	}
	clear(e.asked)
	n := w.nodes[e.controller]
	w.wired(k, -1-e.n, func() {
		n.tables.HandleReport(linkName(-1-e.n), r, func(server string) (string, bool) {
			entry, known := n.registry.Get(server)
			return entry.Service, known
		})
	})
}

// auditTables holds an edge that has been at its controller, and in touch, for a while against what its controller ordered for it: of
// each service's lines it knows, a table has spoken.
func (w *world) auditTables(e *edge) {
	if !w.calm() || e.calm > w.now || e.controller == nowhere || w.now < e.arrived+tableWait {
		return
	}
	n := w.nodes[e.controller]
	for _, service := range w.services {
		ordered := n.tables.OrderedWeights(linkName(-1-e.n), service)
		upstreams := e.picker.Upstreams(service)
		meant := slices.ContainsFunc(upstreams, func(u *picker.Upstream) bool { return ordered[u.ID] > 0 })
		if !meant || slices.ContainsFunc(upstreams, (*picker.Upstream).HasWeight) {
			delete(e.bare, service)
			continue
		}
		if since, seen := e.bare[service]; !seen { // it may be on its way
			e.bare[service] = w.now
		} else if w.now-since > tableWait {
			w.broken("TABLE: edge %d has been at controller %d for %s and holds nothing of its table of %s", e.n, n.n, w.now-e.arrived, service)
		}
	}
}
