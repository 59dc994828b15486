package simulation

import (
	"slices"
	"time"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/edge/retrybudget"
)

const (
	aim       = 250 * time.Millisecond
	patient   = 800 * time.Millisecond // a client's deadline
	waitFor   = aim / 5                // for room
	dialFor   = 400 * time.Millisecond
	earnRatio = 0.2
	slack     = 20.0
	triesMost = 2
	pooled    = 7 // of ten requests to a server that is known go on a connection that is there
)

// request is one try of a client at an edge.
type request struct {
	id      uint64
	safe    bool
	service string
	edge    *edge
	life    int
	began   time.Duration
	calm    bool // the edge was in touch when it came
	way     attempt.Retries
	tried   []*picker.Upstream
	over    bool

	pass   *pass // of busy days
	side   *Tenant
	counts bool
	again  int
}

// edgeHears takes news of servers.
func (w *world) edgeHears(e *edge, entries []registry.Entry) {
	for _, entry := range entries {
		now, _ := e.registry.Apply(entry, w.now)
		if w.day.Fault == "a late beat undoes a drain" {
			now = entry
		}
		switch {
		case now.State != registry.Ready:
			e.picker.Remove(now.ID)
		case e.picker.Get(now.ID) == nil && now.Address != "":
			e.picker.Add(&picker.Upstream{ID: now.ID, Service: now.Service, Zone: now.Zone, Capacity: now.Capacity, Attachment: now.Address})
		}
		e.picker.SetTimedOut(now.ID, now.TimedOut)
	}
}

// edgeTakes takes a version of the configuration.
func (w *world) edgeTakes(e *edge, version uint64) {
	if version > e.version || w.day.Fault == "an edge takes any version" {
		e.version = version
	}
}

// arrivals lets clients ask at an edge.
func (w *world) arrivals(e *edge) {
	if e.frozen > w.now || w.rng.Float64() >= w.day.Rate*step.Seconds() {
		return
	}
	w.next++
	q := &request{id: w.next, safe: w.rng.IntN(2) == 0, service: w.services[w.rng.IntN(len(w.services))], edge: e, life: e.life, began: w.now,
		calm: w.calm() && e.calm <= w.now}
	q.way = attempt.Retries{Safe: q.safe, MaxSent: triesMost}
	w.result.Requests++
	w.asked[q.service] = append(w.asked[q.service], w.now)
	e.asked[q.service]++
	w.auditVersion(e, q.calm)
	w.auditTables(e)
	budget := e.budget(q.service, len(w.edges))
	budget.Earn()
	w.seek(q)
}

func (e *edge) budget(service string, edges int) *retrybudget.Budget {
	budget := e.budgets[service]
	if budget == nil {
		budget = retrybudget.New(earnRatio, slack, edges)
		e.budgets[service] = budget
	}
	return budget
}

// seek finds a server with room for a request, waiting a little for one.
func (w *world) seek(q *request) {
	e := q.edge
	if e.life != q.life || q.over {
		return
	}
	if e.frozen > w.now {
		w.after(int((e.frozen-w.now)/time.Millisecond)+1, func() { w.seek(q) })
		return
	}
	if w.now > q.began+patient-step {
		w.finish(q, attempt.NotSent, 0)
		return
	}
	u := w.place(e, q)
	if u == nil {
		if q.way.Sent > 0 || w.now-q.began >= waitFor || !e.picker.Serves(q.service) {
			if q.way.Paid {
				e.budget(q.service, len(w.edges)).Refund()
			}
			w.finish(q, attempt.NotSent, 0)
			return
		}
		w.after(10, func() { w.seek(q) })
		return
	}
	q.tried = append(q.tried, u)
	t := &try{q: q, l: u, expect: u.ID, sent: w.now}
	if w.day.Fault == "connections belong to an address" {
		t.expect = ""
	}
	met := e.met[u.ID]
	e.met[u.ID] = true
	onPool := met && w.rng.IntN(10) < pooled
	t.answer = func(a attempt.Response, status int, load [2]float64) {
		if t.over || e.life != q.life {
			return
		}
		if e.frozen > w.now {
			w.after(int((e.frozen-w.now)/time.Millisecond)+1, func() { t.answer(a, status, load) })
			return
		}
		t.over = true
		w.ended(q, t, a, status, load, onPool)
	}
	w.after(1+w.rng.IntN(4), func() { w.arrive(t, u.Attachment.(string)) })
	limit := q.began + patient - w.now
	if !onPool { // nobody takes the connection at an address that is silent
		if s := w.at[u.Attachment.(string)]; s != nil && s.ended && s.silent {
			limit = min(limit, dialFor)
		}
	}
	w.after(int(limit/time.Millisecond), func() {
		if s := w.at[u.Attachment.(string)]; !onPool && s != nil && s.ended && s.silent {
			t.answer(attempt.Response{}, 0, [2]float64{})
			return
		}
		t.answer(attempt.Response{}, -1, [2]float64{})
	})
}

// ended takes how a try went, and goes on as the attempt's table says.
func (w *world) ended(q *request, t *try, a attempt.Response, status int, load [2]float64, onPool bool) {
	e := q.edge
	ending := a.Outcome()
	if !a.Received && status == 0 && !onPool && t.sent+dialFor >= w.now && !w.reached[t] {
		ending = attempt.NotSent // the connection was refused
	}
	if w.day.Fault == "answers aren't told apart" && a.Received && !a.OwnID {
		ending = attempt.Ran
	}
	if w.day.Fault == "what broke off is tried again" && ending == attempt.Unknown {
		ending = attempt.NotRun
	}
	switch ending {
	case attempt.Ran:
		e.picker.Succeeded(t.l, w.now-t.sent, w.now)
	case attempt.NotSent:
		e.picker.Unreachable(t.l, w.now)
	default:
		e.picker.Failed(t.l, w.now)
	}
	if a.Received && a.OwnID {
		e.picker.ReportLoad(t.l, load[0], load[1], w.now)
	}
	switch q.way.AfterOutcome(ending, status, true) {
	case attempt.Stop:
		if ending == attempt.Ran && t.brings != q.id {
			w.broken("MIXED: request %d is answered with what belongs to %d", q.id, t.brings)
		}
		w.finish(q, ending, status)
	case attempt.RetryPaid:
		if w.day.Fault != "tries cost nothing" && !e.budget(q.service, len(w.edges)).Spend() {
			w.finish(q, ending, status)
			return
		}
		q.way.Paid = true
		w.seek(q)
	default:
		w.seek(q)
	}
}

// finish is what a client hears.
func (w *world) finish(q *request, ending attempt.Outcome, status int) {
	q.over = true
	w.leaves(q, ending == attempt.Ran && status < 500, ending == attempt.NotSent || ending == attempt.NotRun)
	took := w.now - q.began
	switch {
	case ending == attempt.Ran && status < 500:
		w.result.Served++
		if took > aim {
			w.result.Late++
		}
		w.result.took(took)
	case ending == attempt.NotSent || ending == attempt.NotRun:
		w.result.Refused++
		if !q.safe { // a promise
			if w.ranBy[q.id] > 0 {
				w.broken("REFUSED: request %d is refused and has run", q.id)
			}
			w.refused[q.id] = true
		}
	default:
		w.result.Unknown++
	}
}

// arrived counts what comes to a server of the right life.
func (w *world) arrived(t *try, s *server) {
	w.reached[t] = true
	if w.seen[t.q.id]++; w.seen[t.q.id] > 1 {
		w.extra[t.q.service] = append(w.extra[t.q.service], w.now)
	}
	if s.service != t.q.service {
		w.broken("ROUTE: a request for %s reaches %s of %s", t.q.service, s.id, s.service)
	}
	if s.acked > 0 && s.ackedCalm && w.now > s.acked+w.day.drainBound() && t.q.calm && w.calm() && t.q.edge.calm <= w.now {
		w.broken("DRAIN: %s gets a request %s after its leaving was acknowledged", s.id, w.now-s.acked)
	}
}

// ran counts runs.
func (w *world) ran(t *try, _ *server) {
	id := t.q.id
	w.ranBy[id]++
	if !t.q.safe && w.ranBy[id] > 1 {
		w.broken("TWICE: request %d may not be repeated and runs twice", id)
	}
	if w.refused[id] {
		w.broken("REFUSED: request %d runs after it was refused", id)
	}
}

// auditVersion holds the version that an edge works by against those that it worked by before in this life, and, where it
// is in touch, against those that were acknowledged a while ago.
func (w *world) auditVersion(e *edge, calm bool) {
	const apply = 2 * time.Second
	life := [2]int{e.n, e.life}
	if e.version < w.worked[life] {
		w.broken("CONFIG: edge %d goes back from %d to %d", e.n, w.worked[life], e.version)
	}
	if w.worked[life] = e.version; !calm {
		return
	}
	for i := len(w.ackTimes) - 1; i >= 0; i-- {
		if a := w.ackTimes[i]; w.now-a.at > apply {
			if a.version > e.version {
				w.broken("CONFIG: edge %d works by r%d, r%d was acknowledged %s ago", e.n, e.version, a.version, w.now-a.at)
			}
			return
		}
	}
}

// auditBudget counts arrivals beyond the first in every window.
func (w *world) auditBudget() {
	const span = 10 * time.Second
	for _, service := range w.services {
		extra, asked := w.extra[service], w.asked[service]
		for i, end := range extra {
			from := end - span
			n := i + 1 - lower(extra, from)
			most := 0
			for _, begin := range []time.Duration{from, from - span/2, from - span} {
				most = max(most, lower(asked, begin+span)-lower(asked, begin))
			}
			if float64(n) > earnRatio*float64(most)+slack {
				w.broken("BUDGET: %d further arrivals at %s in ten seconds for %d requests", n, service, most)
				return
			}
		}
	}
}

func lower(times []time.Duration, at time.Duration) int {
	i, _ := slices.BinarySearch(times, at)
	return i
}
