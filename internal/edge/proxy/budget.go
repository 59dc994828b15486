package proxy

import (
	"mulleinwood/internal/edge/retrybudget"
	"mulleinwood/internal/platform/peer"
)

// asks counts a request for a service and gives the service's retry budget.
func (c *Proxy) asks(service string) *retrybudget.Budget {
	c.mu.Lock()
	defer c.mu.Unlock()
	budget := c.budgets[service]
	slack := c.set.Bound("retry_slack", 0)
	if budget == nil {
		budget = retrybudget.New(c.set.Bound("retry_ratio", 0), slack, int(c.edges.Load()))
		c.budgets[service] = budget
	}
	budget.Share(slack, int(c.edges.Load()))
	budget.Request()
	a := c.asked[service]
	if a == nil {
		a = &peer.Asked{Service: service}
		c.asked[service] = a
	}
	a.Requests++
	return budget
}

// spend takes a further try out of the budget. While room is booked at the service, one try is kept for those who booked.
func (c *Proxy) spend(budget *retrybudget.Budget, p *pass) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return budget.Spend(p != nil && p.under == "")
}

func (c *Proxy) back(budget *retrybudget.Budget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	budget.Back()
}
