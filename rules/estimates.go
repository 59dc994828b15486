package rules

// What reports add up to.

import (
	"math"
	"slices"
)

func (c *Controller) handleReport(e Heard) {
	s := c.serverByID[e.Server]
	if s == nil || e.Zone >= len(s.zones) || e.Attempts <= 0 {
		return
	}
	answered := max(0, e.Attempts-e.Failed)
	if e.Latency <= 0 {
		answered = 0
	}
	for _, sum := range []*tally{&s.round, &s.zones[e.Zone], &s.recent, &c.fleet} {
		sum.tries += e.Attempts
		sum.failed += e.Failed
		sum.answered += answered
		sum.time += answered * e.Latency
	}
	s.lastHeard = c.now
	if answered > 0 {
		s.unanswered = 0
		return
	}
	if s.unanswered == 0 {
		s.unansweredSince = c.now - e.Period
	}
	s.unanswered += e.Attempts
}

// handleDemand counts a report for as much as the time it covers: late ones cover many periods.
func (c *Controller) handleDemand(e Demand) {
	p := c.proxyByID[e.Proxy]
	if p == nil || e.Class >= len(p.demand) || e.Period <= 0 {
		return
	}
	p.reportedAt[e.Class] = c.now
	p.demand[e.Class] += (1 - math.Exp(-e.Period/demandTime)) * (e.Requests/e.Period*1000 - p.demand[e.Class])
	step := (1 - math.Exp(-e.Period/typicalTime)) / float64(len(p.demand))
	p.typicalRate *= 1 - step
	for _, d := range p.demand {
		p.typicalRate += step * d
	}
}

// latency is the mean answer time of the median server: a few sick servers or a few heavy requests don't
// speak for the fleet.
func (c *Controller) latency() float64 {
	var all []float64
	for _, s := range c.servers {
		if s.usable() && s.recent.answered > 0 {
			all = append(all, s.recent.time/s.recent.answered)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
