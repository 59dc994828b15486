package proxy

import (
	"mulleinwood/internal/edge/retrybudget"
	"mulleinwood/internal/peer"
)

// countRequest counts a request for a service and gives the service's retry budget.
func (p *Proxy) countRequest(service string) *retrybudget.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget := p.budgets[service]
	slack := p.settings.Bound("retry_slack", 0)
	if budget == nil {
		budget = retrybudget.New(p.settings.Bound("retry_ratio", 0), slack, int(p.fleetEdges.Load()))
		p.budgets[service] = budget
	}
	budget.SetShare(slack, int(p.fleetEdges.Load()))
	budget.Earn()
	a := p.serviceStats[service]
	if a == nil {
		a = &peer.ServiceStats{Service: service}
		p.serviceStats[service] = a
	}
	a.Requests++
	return budget
}

// spendRetry takes a further try out of the budget. While room is booked at the service, one try is kept for those who booked.
func (p *Proxy) spendRetry(budget *retrybudget.Budget, held *admission) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return budget.Spend(held != nil && held.admittedAs == "")
}

func (p *Proxy) refundRetry(budget *retrybudget.Budget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget.Refund()
}
