package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Figures of the rules on requests, as the pages have them.
const (
	goneBound = 500 * time.Millisecond // GONE: how long work may go on after the client left
	// sentEarly and lastShare are of LOST's exception: a request sent so soon after the SIGTERM whose server is still at work
	// in the last sixth of the grace may be given up.
	sentEarly = 3 * time.Second
	lastShare = 6
	// ownDeadlineSlack is how long before a deadline an answer may say that it has passed.
	ownDeadlineSlack = 100 * time.Millisecond
	// minRepeatAge is how long after a good answer a repeat of its key may not get a 409 any more; maxKeysDenied is how many
	// keys may all the same.
	minRepeatAge   = time.Second
	maxKeysDenied  = 3
	touchAfterGood = 2 * time.Second // in which the edge that gave the good answer stays in touch
)

// auditLost finds requests whose connection ended without a complete answer, and those that an edge which shuts down broke off.
func (a *audit) auditLost() {
	for _, request := range a.Requests {
		if request.SentAt == 0 || request.LeftAt > 0 || request.Failure == timedOut {
			continue
		}
		switch {
		case !request.Complete && a.isLost(request):
			a.find(Lost, request.EndedAt, "a request was taken and its connection closed without a complete answer", request)
		case request.Complete && a.isBrokenOff(request):
			a.find(Lost, request.EndedAt,
				"a request that its server worked on was broken off and answered by an edge that shuts down", request)
		}
	}
}

// isLost judges a request that has no complete answer.
func (a *audit) isLost(request Request) bool {
	if request.EndedAt >= request.DeadlineAt || a.troubled(request.Edge, request.StartedAt-contactBound, request.EndedAt) {
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
		return false // it crossed the close and was not read
	}
	return !a.outlastsGrace(request)
}

// isBrokenOff judges an answer of the edge's own to a request whose run it ended.
func (a *audit) isBrokenOff(request Request) bool {
	if request.Seal != "" || request.Status < http.StatusInternalServerError ||
		request.EndedAt >= request.DeadlineAt-ownDeadlineSlack-a.tolerance(request.EndedAt) {
		return false
	}
	if _, ok := a.terminatedBefore(request.Edge, request.EndedAt); !ok {
		return false
	}
	abandoned := slices.ContainsFunc(a.runs[request.ID], func(run ServerRun) bool { return run.Outcome == RunAbandoned })
	return abandoned && !a.outlastsGrace(request)
}

// outlastsGrace reports whether LOST's exception holds for a request.
func (a *audit) outlastsGrace(request Request) bool {
	terminated, ok := a.terminatedBefore(request.Edge, request.EndedAt)
	if !ok || request.SentAt > terminated+sentEarly {
		return false
	}
	lastPart := terminated + grace - grace/lastShare - a.tolerance(request.EndedAt)
	return slices.ContainsFunc(a.runs[request.ID], func(run ServerRun) bool { return run.EndedAt >= lastPart })
}

// auditGone finds work that went on, or began, after its client had left.
func (a *audit) auditGone() {
	for _, request := range a.Requests {
		if request.LeftAt == 0 || a.troubled(request.Edge, request.LeftAt-contactBound, request.LeftAt+goneBound) {
			continue
		}
		bound := request.LeftAt + goneBound + a.tolerance(request.LeftAt+goneBound)
		for _, run := range a.runs[request.ID] {
			switch {
			case run.ArrivedAt > bound:
				a.find(Gone, run.ArrivedAt, fmt.Sprintf("a request reached %s %s after its client had left", run.Server,
					(run.ArrivedAt-request.LeftAt).Round(time.Millisecond)), request)
			case request.Kind.Repeatable() && run.EndedAt > bound:
				a.find(Gone, bound, fmt.Sprintf("%s worked on for %s after the client had left", run.Server,
					(run.EndedAt-request.LeftAt).Round(time.Millisecond)), request)
			}
		}
	}
}

// auditDenied finds proper requests that were answered with a 3xx or 4xx of the edge's own.
func (a *audit) auditDenied() {
	for _, request := range a.Requests {
		if !request.Complete || request.Seal != "" || request.Status/100 != 3 && request.Status/100 != 4 {
			continue
		}
		switch request.Status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusConflict:
		default:
			a.find(Denied, request.EndedAt, fmt.Sprintf("a proper request was answered with %d", request.Status), request)
		}
	}
}

// auditRepeats finds keys whose repeats are told that the operation is in progress, long after it was answered with success.
func (a *audit) auditRepeats() {
	good := map[string]Request{} // by key: the first good answer
	for _, request := range a.Requests {
		first, known := good[request.Key]
		if request.Key != "" && request.Complete && request.Seal != "" && request.Status == http.StatusOK &&
			(!known || request.EndedAt < first.EndedAt) {
			good[request.Key] = request
		}
	}
	denied := map[string]Request{}
	for _, request := range a.Requests {
		first, known := good[request.Key]
		if known && request.Complete && request.Seal == "" && request.Status == http.StatusConflict &&
			request.StartedAt > first.EndedAt+minRepeatAge+a.tolerance(first.EndedAt) &&
			a.inTouch(first.Edge, first.EndedAt+touchAfterGood) && a.inTouch(request.Edge, request.EndedAt) {
			denied[request.Key] = request
		}
	}
	if len(denied) <= maxKeysDenied {
		return
	}
	for key, request := range denied {
		a.find(Denied, request.EndedAt, fmt.Sprintf("a repeat of key %s got 409 over %s after a good answer", key, minRepeatAge),
			request)
	}
}

// auditMixed finds answers that are not a server's to this request, or to the first one of its key.
func (a *audit) auditMixed() {
	for _, request := range a.Requests {
		if !request.Complete || request.Seal == "" && request.Status/100 != 2 {
			continue
		}
		runs := a.runs[request.ID]
		if request.Key != "" {
			runs = a.runsKey[request.Key]
		}
		own := slices.ContainsFunc(runs, func(run ServerRun) bool {
			return run.Seal == request.Seal && run.Digest == request.Digest && run.Status == request.Status
		})
		if !own {
			a.find(Mixed, request.EndedAt, fmt.Sprintf("an answer %d with seal %q is no server's to this request", request.Status,
				request.Seal), request)
		}
	}
}

// began reports whether a run began: then it counts as one.
func (run ServerRun) started() bool { return run.Outcome != RunNotRun && run.Outcome != RunUnread }

func countStarted(runs []ServerRun) (count int) {
	for _, run := range runs {
		if run.started() {
			count++
		}
	}
	return count
}

// auditTwice finds what may run once and ran more often: attempts that can't be repeated, and keys.
func (a *audit) auditTwice() {
	for _, request := range a.Requests {
		if n := countStarted(a.runs[request.ID]); !request.Kind.Repeatable() && n > 1 {
			a.find(Twice, request.EndedAt, fmt.Sprintf("a request that can't be repeated ran %d times", n), request)
		}
	}
	for key, runs := range a.runsKey {
		if n := countStarted(runs); n > 1 {
			last := runs[len(runs)-1]
			a.find(Twice, last.ArrivedAt, fmt.Sprintf("key %s ran %d times", key, n), a.requests[last.ID])
		}
	}
}

// auditRefused finds refusals that promise that a request never runs, although it ran.
func (a *audit) auditRefused() {
	for _, request := range a.Requests {
		if !request.Complete || request.Kind.Repeatable() {
			continue
		}
		switch request.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if countStarted(a.runs[request.ID]) > 0 {
				a.find(Refused, request.EndedAt, fmt.Sprintf("a request that was refused with %d ran", request.Status), request)
			}
		}
	}
}
