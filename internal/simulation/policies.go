package simulation

import (
	"cmp"
	"slices"

	"mulleinwood/internal/edge/picker"
)

// Policies are the server selection policies: the production one (empty), common alternatives, and an oracle that knows the
// actual state of the servers.
var Policies = []string{"", "tables", "round robin", "least outstanding", "two choices", "oracle"}

// pickServer chooses a server for a request according to the scenario's policy.
func (w *cluster) pickServer(e *edge, q *request) *picker.Upstream {
	excluded := func(u *picker.Upstream) bool { return slices.Contains(q.attemptedServers, u) }
	if w.scenario.Policy == "" || w.scenario.Policy == "tables" { // with tables, edges are assigned no slots
		return e.picker.Pick(q.service, excluded, w.now)
	}
	var candidates []*picker.Upstream
	for _, u := range e.picker.Upstreams(q.service) {
		if !excluded(u) {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	minimum := func(cost func(*picker.Upstream) float64) *picker.Upstream {
		return slices.MinFunc(candidates, func(a, b *picker.Upstream) int { return cmp.Compare(cost(a), cost(b)) })
	}
	var u *picker.Upstream
	switch w.scenario.Policy {
	case "round robin":
		e.roundRobinNext[q.service]++
		u = candidates[e.roundRobinNext[q.service]%len(candidates)]
	case "least outstanding":
		u = minimum(func(u *picker.Upstream) float64 { return float64(u.InFlight()) / float64(u.Capacity) })
	case "two choices":
		a, b := candidates[w.rng.IntN(len(candidates))], candidates[w.rng.IntN(len(candidates))]
		if u = a; b.InFlight()*a.Capacity < a.InFlight()*b.Capacity {
			u = b
		}
	default:
		u = minimum(w.actualDuration)
	}
	e.picker.Reserve(u)
	return u
}

// actualDuration returns how long a request would take at a server, in units of its usual duration, as only the oracle knows
// it.
func (w *cluster) actualDuration(u *picker.Upstream) float64 {
	s := w.serverByAddress[u.Attachment.(string)]
	if s == nil || s.stopped || s.id != u.ID {
		return 1e9
	}
	factor := s.workFactor * w.slowFactor(s)
	if s.losesRepliesUntil > w.now || s.garblesUntil > w.now || s.failsUntil > w.now {
		factor *= 3
	}
	ahead := len(s.running) + len(s.queue) + 1 - s.capacity
	return factor * (1 + max(0, float64(ahead))/float64(s.capacity))
}

// recordAvoidableWait adds up the running time of requests, and the time that requests wait while another server of their
// service has a free slot.
func (w *cluster) recordAvoidableWait() {
	waiting, hasFreeSlot := map[string]int{}, map[string]bool{}
	for _, s := range w.servers {
		if s.stopped {
			continue
		}
		w.result.WorkSeconds += tickInterval.Seconds() * float64(len(s.running))
		waiting[s.service] += len(s.queue)
		if !s.draining && len(s.running) < s.capacity {
			hasFreeSlot[s.service] = true
		}
	}
	for service, n := range waiting {
		if hasFreeSlot[service] {
			w.result.AvoidableWaitSeconds += tickInterval.Seconds() * float64(n)
		}
	}
}
