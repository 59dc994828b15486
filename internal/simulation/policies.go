package simulation

import (
	"cmp"
	"slices"

	"mulleinwood/internal/edge/picker"
)

// Policies by which edges can pick, beside their own: what is common in the field, and one that sees what nobody can.
var Policies = []string{"", "tables", "round robin", "least outstanding", "two choices", "oracle"}

// pick chooses a server for a request.
func (w *world) pick(e *edge, q *request) *picker.Line {
	not := func(l *picker.Line) bool { return slices.Contains(q.tried, l) }
	if w.day.Policy == "" || w.day.Policy == "tables" { // the latter without parts: nothing is dealt
		return e.finder.Pick(q.service, not, w.now)
	}
	var fit []*picker.Line
	for _, l := range e.finder.Lines(q.service) {
		if !not(l) {
			fit = append(fit, l)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	least := func(of func(*picker.Line) float64) *picker.Line {
		return slices.MinFunc(fit, func(a, b *picker.Line) int { return cmp.Compare(of(a), of(b)) })
	}
	var l *picker.Line
	switch w.day.Policy {
	case "round robin":
		e.turn[q.service]++
		l = fit[e.turn[q.service]%len(fit)]
	case "least outstanding":
		l = least(func(l *picker.Line) float64 { return float64(l.Out()) / float64(l.Capacity) })
	case "two choices":
		a, b := fit[w.rng.IntN(len(fit))], fit[w.rng.IntN(len(fit))]
		if l = a; b.Out()*a.Capacity < a.Out()*b.Capacity {
			l = b
		}
	default:
		l = least(w.trulyTakes)
	}
	e.finder.Book(l)
	return l
}

// trulyTakes is how long a request would take at a server, in units of its usual work: what an oracle sees.
func (w *world) trulyTakes(l *picker.Line) float64 {
	s := w.at[l.Host.(string)]
	if s == nil || s.ended || s.id != l.ID {
		return 1e9
	}
	pace := s.speed * w.slowness(s)
	if s.losing > w.now || s.garbling > w.now || s.sick > w.now {
		pace *= 3
	}
	ahead := len(s.running) + len(s.queue) + 1 - s.capacity
	return pace * (1 + max(0, float64(ahead))/float64(s.capacity))
}

// weighIdle counts work, and waiting that nobody had to do.
func (w *world) weighIdle() {
	waits, free := map[string]int{}, map[string]bool{}
	for _, s := range w.servers {
		if s.ended {
			continue
		}
		w.result.Work += step.Seconds() * float64(len(s.running))
		waits[s.service] += len(s.queue)
		if !s.leaving && len(s.running) < s.capacity {
			free[s.service] = true
		}
	}
	for service, n := range waits {
		if free[service] {
			w.result.Beside += step.Seconds() * float64(n)
		}
	}
}
