package soak

import (
	"fmt"
	"slices"
	"time"
)

// Limits of the rules on servers, equal to those of the users' pages.
const (
	triesPerRoute        = 2
	deadlineOverrun      = 500 * time.Millisecond // BUDGET: how much later than the client's deadline that of a server may be
	maxRequestsOverTries = 3                      // requests that may run on more servers than their route's tries
	maxBadDeadlines      = 20                     // requests that may be forwarded with a missing or too late deadline
)

// auditBudget finds windows in which a service got more retries than the budget of the whole fleet allows, and requests that
// ran on more servers than the tries of their route.
func (a *audit) auditBudget() {
	for _, service := range serviceNames {
		a.auditRetryWindows(service)
	}
	over := 0
	for id, runs := range a.runs {
		if countStarted(runs) <= triesPerRoute {
			continue
		}
		if over++; over > maxRequestsOverTries {
			a.report(Budget, runs[0].ArrivedAt, fmt.Sprintf("%d requests ran on more servers than %d", over, triesPerRoute),
				a.requests[id])
		}
	}
}

func (a *audit) auditRetryWindows(service string) {
	var retries, firsts []time.Duration
	for _, runs := range a.runs {
		for i, run := range runs {
			switch {
			case run.Service != service:
			case i == 0:
				firsts = append(firsts, run.ArrivedAt)
			default:
				retries = append(retries, run.ArrivedAt)
			}
		}
	}
	slices.Sort(retries)
	for i, begin := range retries {
		count := 0
		for _, at := range retries[i:] {
			if at < begin+retryWindow {
				count++
			}
		}
		requests := max(countIn(firsts, begin, begin+retryWindow), countIn(firsts, begin-retryWindow, begin),
			countIn(firsts, begin-retryWindow/2, begin+retryWindow/2))
		if float64(count) > retryRatio*float64(requests)+retrySlack {
			what := fmt.Sprintf("%s got %d retries for %d requests within %s", service, count, requests, retryWindow)
			a.breaches = append(a.breaches, Breach{Rule: Budget, At: begin, What: what})
			return
		}
	}
}

func countIn(times []time.Duration, from, to time.Duration) (count int) {
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// auditDeadlines finds requests that were forwarded with a deadline later than that of their clients, or without one.
func (a *audit) auditDeadlines() {
	failed, all := 0, 0
	var worst ServerRun
	for _, run := range a.Runs {
		request, ok := a.requests[run.ID]
		if !ok {
			continue
		}
		all++
		end := run.ArrivedAt + time.Duration(run.DeadlineMS*float64(time.Millisecond))
		if run.DeadlineMS < 0 || end > request.DeadlineAt+deadlineOverrun+a.tolerance(run.ArrivedAt) {
			failed, worst = failed+1, run
		}
	}
	if failed > maxBadDeadlines && failed*5 > all {
		a.report(Budget, worst.ArrivedAt, fmt.Sprintf("%d of %d arrivals had no deadline or one that is too long", failed, all),
			a.requests[worst.ID])
	}
}

// auditDrain finds requests that reached a server after the time by which all edges must know that it is leaving.
func (a *audit) auditDrain() {
	leftAt := map[int]time.Duration{}
	for _, left := range a.Left {
		leftAt[left.Incarnation] = left.AckedAt
	}
	for _, run := range a.Runs {
		acked, ok := leftAt[run.Incarnation]
		if !ok || run.ArrivedAt <= acked+drainBound+a.tolerance(run.ArrivedAt) {
			continue
		}
		if request, ok := a.requests[run.ID]; ok && a.inContact(request.Edge, run.ArrivedAt) {
			a.report(Drain, run.ArrivedAt, fmt.Sprintf("a request reached %s %s after its leaving was acknowledged", run.Server,
				(run.ArrivedAt-acked).Round(time.Millisecond)), request)
		}
	}
}
