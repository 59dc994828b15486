package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Limits of the rules on requests, equal to those of the users' pages.
const (
	goneBound = 500 * time.Millisecond // GONE: how long a run may continue after its client disconnected
	// earlyRequestLimit and graceFraction belong to the exception of LOST: a request that was sent no later than
	// earlyRequestLimit after the SIGTERM may be aborted if its server is still working in the last 1/graceFraction of the
	// grace period.
	earlyRequestLimit = 3 * time.Second
	graceFraction     = 6
	// deadlineAnswerSlack is how long before a deadline a response may already report that it has passed.
	deadlineAnswerSlack = 100 * time.Millisecond
	// minRepeatAge is the age of a successful response from which on repeats of its key may not get a 409. maxKeysDenied
	// is the number of keys for which they may nevertheless.
	minRepeatAge        = time.Second
	maxKeysDenied       = 3
	contactAfterSuccess = 2 * time.Second // after a successful response its edge keeps contact for this time
)

// auditLost finds requests whose connection ended without a complete response, and requests that an edge aborted during its
// shutdown.
func (a *audit) auditLost() {
	for _, request := range a.Requests {
		if request.SentAt == 0 || request.LeftAt > 0 || request.Failure == failureTimedOut {
			continue
		}
		switch {
		case !request.Complete && a.isLost(request):
			a.report(Lost, request.EndedAt, "a request was taken and its connection closed without a complete answer", request)
		case request.Complete && a.isCutOff(request):
			a.report(Lost, request.EndedAt,
				"a request that its server worked on was broken off and answered by an edge that shuts down", request)
		}
	}
}

// isLost reports whether a request without a complete response breaks LOST.
func (a *audit) isLost(request Request) bool {
	if request.EndedAt >= request.DeadlineAt || a.hadFault(request.Edge, request.StartedAt-contactBound, request.EndedAt) {
		return false
	}
	passedOn := false
	for _, run := range a.runs[request.ID] {
		if run.Outcome == RunBrokeOff {
			return false
		}
		passedOn = passedOn || run.Outcome != RunNotRun
	}
	if !passedOn && request.EndedAt-request.SentAt <= lossSlack+a.tolerance(request.EndedAt) {
		return false // it was in flight when the edge closed the connection, and was not read
	}
	return !a.excusedByGrace(request)
}

// isCutOff reports whether an edge in shutdown aborted the run of a request and sent a response of its own.
func (a *audit) isCutOff(request Request) bool {
	if request.Seal != "" || request.Status < http.StatusInternalServerError ||
		request.EndedAt >= request.DeadlineAt-deadlineAnswerSlack-a.tolerance(request.EndedAt) {
		return false
	}
	if _, ok := a.terminatedBefore(request.Edge, request.EndedAt); !ok {
		return false
	}
	abandoned := slices.ContainsFunc(a.runs[request.ID], func(run ServerRun) bool { return run.Outcome == RunAbandoned })
	return abandoned && !a.excusedByGrace(request)
}

// excusedByGrace reports whether the exception of LOST applies to a request.
func (a *audit) excusedByGrace(request Request) bool {
	terminated, ok := a.terminatedBefore(request.Edge, request.EndedAt)
	if !ok || request.SentAt > terminated+earlyRequestLimit {
		return false
	}
	lastPart := terminated + grace - grace/graceFraction - a.tolerance(request.EndedAt)
	return slices.ContainsFunc(a.runs[request.ID], func(run ServerRun) bool { return run.EndedAt >= lastPart })
}

// auditGone finds runs that started or continued after their client had disconnected.
func (a *audit) auditGone() {
	for _, request := range a.Requests {
		if request.LeftAt == 0 || a.hadFault(request.Edge, request.LeftAt-contactBound, request.LeftAt+goneBound) {
			continue
		}
		bound := request.LeftAt + goneBound + a.tolerance(request.LeftAt+goneBound)
		for _, run := range a.runs[request.ID] {
			switch {
			case run.ArrivedAt > bound:
				a.report(Gone, run.ArrivedAt, fmt.Sprintf("a request reached %s %s after its client had left", run.Server,
					(run.ArrivedAt-request.LeftAt).Round(time.Millisecond)), request)
			case request.Kind.Repeatable() && run.EndedAt > bound:
				a.report(Gone, bound, fmt.Sprintf("%s worked on for %s after the client had left", run.Server,
					(run.EndedAt-request.LeftAt).Round(time.Millisecond)), request)
			}
		}
	}
}

// auditDenied finds valid requests to which the edge itself responded with 3xx or 4xx.
func (a *audit) auditDenied() {
	for _, request := range a.Requests {
		if !request.Complete || request.Seal != "" || request.Status/100 != 3 && request.Status/100 != 4 {
			continue
		}
		switch request.Status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusConflict:
		default:
			a.report(Denied, request.EndedAt, fmt.Sprintf("a proper request was answered with %d", request.Status), request)
		}
	}
}

// auditRepeats finds keys whose repeats get 409, operation in progress, long after a successful response.
func (a *audit) auditRepeats() {
	firstSuccess := map[string]Request{} // by key: the first good answer
	for _, request := range a.Requests {
		first, known := firstSuccess[request.Key]
		if request.Key != "" && request.Complete && request.Seal != "" && request.Status == http.StatusOK &&
			(!known || request.EndedAt < first.EndedAt) {
			firstSuccess[request.Key] = request
		}
	}
	denied := map[string]Request{}
	for _, request := range a.Requests {
		first, known := firstSuccess[request.Key]
		if known && request.Complete && request.Seal == "" && request.Status == http.StatusConflict &&
			request.StartedAt > first.EndedAt+minRepeatAge+a.tolerance(first.EndedAt) &&
			a.inContact(first.Edge, first.EndedAt+contactAfterSuccess) && a.inContact(request.Edge, request.EndedAt) {
			denied[request.Key] = request
		}
	}
	if len(denied) <= maxKeysDenied {
		return
	}
	for key, request := range denied {
		a.report(Denied, request.EndedAt, fmt.Sprintf("a repeat of key %s got 409 over %s after a good answer", key,
			minRepeatAge), request)
	}
}

// auditMixed finds responses that no server gave to the request, or to any request with its key.
func (a *audit) auditMixed() {
	for _, request := range a.Requests {
		if !request.Complete || request.Seal == "" && request.Status/100 != 2 {
			continue
		}
		runs := a.runs[request.ID]
		if request.Key != "" {
			runs = a.runsByKey[request.Key]
		}
		own := slices.ContainsFunc(runs, func(run ServerRun) bool {
			return run.Seal == request.Seal && run.Digest == request.Digest && run.Status == request.Status
		})
		if !own {
			a.report(Mixed, request.EndedAt, fmt.Sprintf("an answer %d with seal %q is no server's to this request",
				request.Status, request.Seal), request)
		}
	}
}

// started reports whether the server started to execute the request.
func (run ServerRun) started() bool { return run.Outcome != RunNotRun && run.Outcome != RunUnread }

func countStarted(runs []ServerRun) (count int) {
	for _, run := range runs {
		if run.started() {
			count++
		}
	}
	return count
}

// auditTwice finds attempts that can't be repeated and keys that ran more than once.
func (a *audit) auditTwice() {
	for _, request := range a.Requests {
		if n := countStarted(a.runs[request.ID]); !request.Kind.Repeatable() && n > 1 {
			a.report(Twice, request.EndedAt, fmt.Sprintf("a request that can't be repeated ran %d times", n), request)
		}
	}
	for key, runs := range a.runsByKey {
		if n := countStarted(runs); n > 1 {
			last := runs[len(runs)-1]
			a.report(Twice, last.ArrivedAt, fmt.Sprintf("key %s ran %d times", key, n), a.requests[last.ID])
		}
	}
}

// auditRefused finds requests that ran although their rejection guarantees that they never do.
func (a *audit) auditRefused() {
	for _, request := range a.Requests {
		if !request.Complete || request.Kind.Repeatable() {
			continue
		}
		switch request.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if countStarted(a.runs[request.ID]) > 0 {
				a.report(Refused, request.EndedAt, fmt.Sprintf("a request that was refused with %d ran", request.Status), request)
			}
		}
	}
}
