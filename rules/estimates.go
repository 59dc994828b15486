package rules

// Estimates from the reports of proxies.

import (
	"math"
	"slices"
)

// handleReport adds a report on a server to the totals and counts attempts since the last answer.
func (c *Controller) handleReport(e Heard) {
	s := c.serverByID[e.Server]
	if s == nil || e.Zone >= len(s.roundByZone) || e.Attempts <= 0 {
		return
	}
	answered := max(0, e.Attempts-e.Failed)
	if e.Latency <= 0 {
		answered = 0
	}
	for _, sum := range []*reportTotals{&s.thisRound, &s.roundByZone[e.Zone], &s.recentTotals, &c.fleet} {
		sum.attempts += e.Attempts
		sum.failed += e.Failed
		sum.answered += answered
		sum.totalLatency += answered * e.Latency
	}
	s.lastReport = c.now
	if answered > 0 {
		s.unanswered = 0
		return
	}
	if s.unanswered == 0 {
		s.unansweredSince = c.now - e.Period
	}
	s.unanswered += e.Attempts
}

// handleDemand averages a demand report, weighted by the time it covers: late reports cover many periods.
func (c *Controller) handleDemand(e Demand) {
	p := c.proxyByID[e.Proxy]
	if p == nil || e.Class >= len(p.demand) || e.Period <= 0 {
		return
	}
	p.reportedAt[e.Class] = c.now
	p.demand[e.Class] += (1 - math.Exp(-e.Period/demandTime)) * (e.Requests/e.Period*1000 - p.demand[e.Class])
	step := (1 - math.Exp(-e.Period/typicalRateTime)) / float64(len(p.demand))
	p.typicalRate *= 1 - step
	for _, d := range p.demand {
		p.typicalRate += step * d
	}
}

// medianLatency returns the mean latency of the median server, in milliseconds; 0: no server has answered. A
// few slow servers or a few heavy requests don't affect it.
func (c *Controller) medianLatency() float64 {
	var all []float64
	for _, s := range c.servers {
		if s.usable() && s.recentTotals.answered > 0 {
			all = append(all, s.recentTotals.totalLatency/s.recentTotals.answered)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
