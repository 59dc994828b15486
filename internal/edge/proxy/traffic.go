package proxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"mulleinwood/internal/edge/retrybudget"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/nodesettings"
)

// randomFloat returns a random number in [0, 1).
func randomFloat() float64 { return rand.Float64() }

// trafficCounter counts the requests for each service, and contains the retry budgets that they fund. It is safe for
// concurrent use.
type trafficCounter struct {
	retryRatio, retrySlack float64       // the platform's limits on retries of the whole fleet
	fleetEdges             *atomic.Int32 // number of edges that share the slack

	mu      sync.Mutex
	budgets map[string]*retrybudget.Budget
	stats   map[string]*peer.ServiceStats // since the last report
}

func newTrafficCounter(settings *nodesettings.Settings, fleetEdges *atomic.Int32) *trafficCounter {
	return &trafficCounter{retryRatio: settings.Bound("retry_ratio", 0), retrySlack: settings.Bound("retry_slack", 0),
		fleetEdges: fleetEdges,
		budgets:    map[string]*retrybudget.Budget{}, stats: map[string]*peer.ServiceStats{}}
}

// countRequest counts a request for a service and returns the service's retry budget.
func (t *trafficCounter) countRequest(service string) *retrybudget.Budget {
	edges := int(t.fleetEdges.Load())
	t.mu.Lock()
	defer t.mu.Unlock()
	budget := t.budgets[service]
	if budget == nil {
		budget = retrybudget.New(t.retryRatio, t.retrySlack, edges)
		t.budgets[service] = budget
	}
	budget.SetShare(t.retrySlack, edges)
	budget.Earn()
	s := t.stats[service]
	if s == nil {
		s = &peer.ServiceStats{Service: service}
		t.stats[service] = s
	}
	s.Requests++
	return budget
}

// spendRetry spends a retry of the budget, and reports whether one was left. While capacity is reserved at the service, the
// last retry is left to requests under a reservation.
func (t *trafficCounter) spendRetry(budget *retrybudget.Budget, a *admission) bool {
	keepOne := a != nil && a.admittedAs == ""
	t.mu.Lock()
	defer t.mu.Unlock()
	if keepOne {
		return budget.SpendUnlessLast()
	}
	return budget.Spend()
}

// refundRetry returns a retry to the budget for which no server was found.
func (t *trafficCounter) refundRetry(budget *retrybudget.Budget) {
	t.mu.Lock()
	defer t.mu.Unlock()
	budget.Refund()
}

// takeStats returns the requests counted by service since the last call.
func (t *trafficCounter) takeStats() (all []peer.ServiceStats) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.stats {
		all = append(all, *s)
	}
	clear(t.stats)
	return all
}
