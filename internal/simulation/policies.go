package simulation

import (
	"cmp"
	"slices"

	"mulleinwood/internal/edge/picker"
)

// Policies by which edges can pick, beside their own: what is common in the field, and one that sees what nobody can.
var Policies = []string{"", "tables", "round robin", "least outstanding", "two choices", "oracle"}

// pick chooses a server for a request.
func (w *cluster) pick(e *edge, q *request) *picker.Upstream {
	not := func(u *picker.Upstream) bool { return slices.Contains(q.tried, u) }
	if w.scenario.Policy == "" || w.scenario.Policy == "tables" { // the latter without parts: nothing is dealt
		return e.picker.Pick(q.service, not, w.now)
	}
	var fit []*picker.Upstream
	for _, u := range e.picker.Upstreams(q.service) {
		if !not(u) {
			fit = append(fit, u)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	least := func(of func(*picker.Upstream) float64) *picker.Upstream {
		return slices.MinFunc(fit, func(a, b *picker.Upstream) int { return cmp.Compare(of(a), of(b)) })
	}
	var u *picker.Upstream
	switch w.scenario.Policy {
	case "round robin":
		e.policyTurn[q.service]++
		u = fit[e.policyTurn[q.service]%len(fit)]
	case "least outstanding":
		u = least(func(u *picker.Upstream) float64 { return float64(u.InFlight()) / float64(u.Capacity) })
	case "two choices":
		a, b := fit[w.rng.IntN(len(fit))], fit[w.rng.IntN(len(fit))]
		if u = a; b.InFlight()*a.Capacity < a.InFlight()*b.Capacity {
			u = b
		}
	default:
		u = least(w.trulyTakes)
	}
	e.picker.Reserve(u)
	return u
}

// trulyTakes is how long a request would take at a server, in units of its usual work: what an oracle sees.
func (w *cluster) trulyTakes(u *picker.Upstream) float64 {
	s := w.processAt[u.Attachment.(string)]
	if s == nil || s.ended || s.id != u.ID {
		return 1e9
	}
	pace := s.speed * w.slowFactor(s)
	if s.losing > w.now || s.garbling > w.now || s.failing > w.now {
		pace *= 3
	}
	ahead := len(s.running) + len(s.queue) + 1 - s.capacity
	return pace * (1 + max(0, float64(ahead))/float64(s.capacity))
}

// weighIdle counts work, and waiting that nobody had to do.
func (w *cluster) weighIdle() {
	waits, free := map[string]int{}, map[string]bool{}
	for _, s := range w.servers {
		if s.ended {
			continue
		}
		w.result.WorkSeconds += tickLength.Seconds() * float64(len(s.running))
		waits[s.service] += len(s.queue)
		if !s.draining && len(s.running) < s.capacity {
			free[s.service] = true
		}
	}
	for service, n := range waits {
		if free[service] {
			w.result.AvoidableWaitSeconds += tickLength.Seconds() * float64(n)
		}
	}
}
