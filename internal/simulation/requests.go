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
	latencyTarget  = 250 * time.Millisecond
	clientDeadline = 800 * time.Millisecond
	queueTimeout   = latencyTarget / 5 // maximum wait for a free slot at a server
	dialTimeout    = 400 * time.Millisecond
	retryRatio     = 0.2
	retrySlack     = 20.0
	maxAttempts    = 2
	pooledTenths   = 7 // of ten requests to a server that was contacted before, the number that reuse a connection
)

// request is one client request at an edge.
type request struct {
	id               uint64
	safe             bool
	service          string
	edge             *edge
	incarnation      int
	startedAt        time.Duration
	stable           bool // the controllers and the edge were stable at startedAt
	retries          attempt.Retries
	attemptedServers []*picker.Upstream
	finished         bool

	admission    *admission // only in scenarios with a BookingLoad
	trafficStats *TrafficStats
	measured     bool
	resends      int
}

// updateEdgeServers applies registry entries at an edge and updates its picker.
func (w *cluster) updateEdgeServers(e *edge, entries []registry.Entry) {
	for _, entry := range entries {
		applied, _ := e.registry.Apply(entry, w.now)
		if w.scenario.PlantedFault == "a late beat undoes a drain" {
			applied = entry
		}
		switch {
		case applied.State != registry.Ready:
			e.picker.Remove(applied.ID)
		case e.picker.Get(applied.ID) == nil && applied.Address != "":
			e.picker.Add(&picker.Upstream{ID: applied.ID, Service: applied.Service, Zone: applied.Zone,
				Capacity: applied.Capacity, Attachment: applied.Address})
		}
		e.picker.SetTimedOut(applied.ID, applied.TimedOut)
	}
}

// applyEdgeConfig applies a configuration version at an edge, unless it is older than the current one.
func (w *cluster) applyEdgeConfig(e *edge, version uint64) {
	if version > e.version || w.scenario.PlantedFault == "an edge takes any version" {
		e.version = version
	}
}

// generateRequest draws whether a client request arrives at an edge during this tick, and starts it.
func (w *cluster) generateRequest(e *edge) {
	if e.frozenUntil > w.now || w.rng.Float64() >= w.scenario.Rate*tickInterval.Seconds() {
		return
	}
	w.nextKey++
	q := &request{id: w.nextKey, safe: w.rng.IntN(2) == 0, service: w.services[w.rng.IntN(len(w.services))], edge: e,
		incarnation: e.incarnation, startedAt: w.now,
		stable: w.isStable() && e.stableSince <= w.now}
	q.retries = attempt.Retries{Safe: q.safe, MaxServers: maxAttempts}
	w.result.Requests++
	w.requestTimes[q.service] = append(w.requestTimes[q.service], w.now)
	e.serviceRequests[q.service]++
	w.auditVersion(e)
	if q.stable {
		w.auditAppliedVersion(e)
	}
	w.auditTables(e)
	budget := e.budget(q.service, len(w.edges))
	budget.Earn()
	w.startAttempt(q)
}

func (e *edge) budget(service string, edges int) *retrybudget.Budget {
	budget := e.budgets[service]
	if budget == nil {
		budget = retrybudget.New(retryRatio, retrySlack, edges)
		e.budgets[service] = budget
	}
	return budget
}

// startAttempt picks a server with a free slot for a request and sends it. Before the first attempt it waits up to
// queueTimeout for a slot.
func (w *cluster) startAttempt(q *request) {
	e := q.edge
	if e.incarnation != q.incarnation || q.finished {
		return
	}
	if e.frozenUntil > w.now {
		w.whenResumed(e, func() { w.startAttempt(q) })
		return
	}
	if w.now > q.startedAt+clientDeadline-tickInterval {
		w.finishRequest(q, attempt.NotSent, 0)
		return
	}
	if u := w.pickForBooking(e, q); u != nil {
		w.sendAttempt(q, u)
		return
	}
	if q.retries.SentAttempts > 0 || w.now-q.startedAt >= queueTimeout || !e.picker.Serves(q.service) {
		if q.retries.Paid {
			e.budget(q.service, len(w.edges)).Refund()
		}
		w.finishRequest(q, attempt.NotSent, 0)
		return
	}
	w.scheduleMillis(10, func() { w.startAttempt(q) })
}

// whenResumed runs do once a suspended edge has resumed.
func (w *cluster) whenResumed(e *edge, do func()) {
	w.scheduleMillis(int((e.frozenUntil-w.now)/time.Millisecond)+1, do)
}

// sendAttempt sends a request to a server over a pooled or a new connection.
func (w *cluster) sendAttempt(q *request, u *picker.Upstream) {
	e := q.edge
	q.attemptedServers = append(q.attemptedServers, u)
	t := &attemptState{request: q, upstream: u, expectedID: u.ID, sentAt: w.now}
	if w.scenario.PlantedFault == "connections belong to an address" {
		t.expectedID = ""
	}
	connected := e.contacted[u.ID]
	e.contacted[u.ID] = true
	t.pooled = connected && w.rng.IntN(10) < pooledTenths
	t.respond = func(response attempt.Response, status int, load [2]float64) {
		if t.abandoned || e.incarnation != q.incarnation {
			return
		}
		if e.frozenUntil > w.now {
			w.whenResumed(e, func() { t.respond(response, status, load) })
			return
		}
		t.abandoned = true
		w.handleAttemptEnd(q, t, response, status, load)
	}
	address, _ := u.Attachment.(string)
	w.scheduleMillis(1+w.rng.IntN(4), func() { w.arriveAtServer(t, address) })
	limit := q.startedAt + clientDeadline - w.now
	// An unresponsive address accepts no new connection.
	unreachable := func() bool {
		s := w.serverByAddress[address]
		return !t.pooled && s != nil && s.stopped && s.unresponsive
	}
	if unreachable() {
		limit = min(limit, dialTimeout)
	}
	w.scheduleMillis(int(limit/time.Millisecond), func() {
		status := -1
		if unreachable() {
			status = 0
		}
		t.respond(attempt.Response{}, status, [2]float64{})
	})
}

// handleAttemptEnd records the outcome of an attempt and retries or finishes the request as attempt.Retries decides.
func (w *cluster) handleAttemptEnd(q *request, t *attemptState, response attempt.Response, status int, load [2]float64) {
	e := q.edge
	outcome := response.Outcome()
	if !response.Received && status == 0 && !t.pooled && t.sentAt+dialTimeout >= w.now && !w.attemptsReached[t] {
		outcome = attempt.NotSent // the connection was refused
	}
	if w.scenario.PlantedFault == "answers aren't told apart" && response.Received && !response.IDMatches {
		outcome = attempt.Ran
	}
	if w.scenario.PlantedFault == "what broke off is tried again" && outcome == attempt.Unknown {
		outcome = attempt.NotRun
	}
	switch outcome {
	case attempt.Ran:
		e.picker.Succeeded(t.upstream, w.now-t.sentAt, w.now)
	case attempt.NotSent:
		e.picker.Unreachable(t.upstream, w.now)
	default:
		e.picker.Failed(t.upstream, w.now)
	}
	if response.Received && response.IDMatches {
		e.picker.ReportLoad(t.upstream, load[0], load[1], w.now)
	}
	switch q.retries.AfterOutcome(outcome, status, true) {
	case attempt.Stop:
		if outcome == attempt.Ran && t.responseTo != q.id {
			w.fail("MIXED: request %d received the response of request %d", q.id, t.responseTo)
		}
		w.finishRequest(q, outcome, status)
	case attempt.RetryPaid:
		if w.scenario.PlantedFault != "tries cost nothing" && !e.budget(q.service, len(w.edges)).Spend() {
			w.finishRequest(q, outcome, status)
			return
		}
		q.retries.Paid = true
		w.startAttempt(q)
	default:
		w.startAttempt(q)
	}
}

// finishRequest ends a request and counts what its client receives.
func (w *cluster) finishRequest(q *request, outcome attempt.Outcome, status int) {
	q.finished = true
	w.finishBookedRequest(q, bookedResultOf(outcome, status))
	took := w.now - q.startedAt
	switch {
	case outcome == attempt.Ran && status < 500:
		w.result.Served++
		if took > latencyTarget {
			w.result.Late++
		}
		w.result.recordLatency(took)
	case outcome == attempt.NotSent || outcome == attempt.NotRun:
		w.result.Rejected++
		if !q.safe { // the client is told that the request did not run
			if w.runsByRequest[q.id] > 0 {
				w.fail("REFUSED: request %d was rejected after it had run", q.id)
			}
			w.rejected[q.id] = true
		}
	default:
		w.result.Unknown++
	}
}

// countArrival audits a request that arrives at the server process it was meant for.
func (w *cluster) countArrival(t *attemptState, s *server) {
	w.attemptsReached[t] = true
	if w.arrivalCounts[t.request.id]++; w.arrivalCounts[t.request.id] > 1 {
		w.retryTimes[t.request.service] = append(w.retryTimes[t.request.service], w.now)
	}
	if s.service != t.request.service {
		w.fail("ROUTE: a request for %s reached %s of service %s", t.request.service, s.id, s.service)
	}
	if s.drainAckedAt > 0 && s.ackedWhileStable && w.now > s.drainAckedAt+w.scenario.maxDrain() &&
		t.request.stable && w.isStable() && t.request.edge.stableSince <= w.now {
		w.fail("DRAIN: %s received a request %s after its drain was acknowledged", s.id, w.now-s.drainAckedAt)
	}
}

// countRun audits a request that starts to run.
func (w *cluster) countRun(t *attemptState, _ *server) {
	id := t.request.id
	w.runsByRequest[id]++
	if !t.request.safe && w.runsByRequest[id] > 1 {
		w.fail("TWICE: unsafe request %d ran twice", id)
	}
	if w.rejected[id] {
		w.fail("REFUSED: request %d ran after it was rejected", id)
	}
}

// auditVersion checks that an edge doesn't return to an older version within one incarnation.
func (w *cluster) auditVersion(e *edge) {
	process := [2]int{e.number, e.incarnation}
	if e.version < w.appliedVersions[process] {
		w.fail("CONFIG: edge %d returned from version %d to version %d", e.number, w.appliedVersions[process], e.version)
	}
	w.appliedVersions[process] = e.version
}

// auditAppliedVersion checks that a connected edge applies an acknowledged version within applyTimeout.
func (w *cluster) auditAppliedVersion(e *edge) {
	const applyTimeout = 2 * time.Second
	for i := len(w.acknowledgements) - 1; i >= 0; i-- {
		if a := w.acknowledgements[i]; w.now-a.ackedAt > applyTimeout {
			if a.version > e.version {
				w.fail("CONFIG: edge %d applies r%d although r%d was acknowledged %s ago",
					e.number, e.version, a.version, w.now-a.ackedAt)
			}
			return
		}
	}
}

// auditBudget checks the retries to each service against the retry budget, in every window of ten seconds.
func (w *cluster) auditBudget() {
	const span = 10 * time.Second
	for _, service := range w.services {
		retries, requests := w.retryTimes[service], w.requestTimes[service]
		for i, end := range retries {
			from := end - span
			n := i + 1 - lowerBound(retries, from)
			limit := 0
			for _, start := range []time.Duration{from, from - span/2, from - span} {
				limit = max(limit, lowerBound(requests, start+span)-lowerBound(requests, start))
			}
			if float64(n) > retryRatio*float64(limit)+retrySlack {
				w.fail("BUDGET: %d retries arrived at %s in ten seconds for %d requests", n, service, limit)
				return
			}
		}
	}
}

func lowerBound(times []time.Duration, at time.Duration) int {
	i, _ := slices.BinarySearch(times, at)
	return i
}
