package rules

// What reports add up to.

import (
	"math"
	"slices"
)

func (c *Controller) heard(e Heard) {
	s := c.server[e.Server]
	if s == nil || e.Zone >= len(s.zones) || e.Tries <= 0 {
		return
	}
	answered := max(0, e.Tries-e.Failed)
	if e.Latency <= 0 {
		answered = 0
	}
	for _, sum := range []*tally{&s.round, &s.zones[e.Zone], &s.recent, &c.fleet} {
		sum.tries += e.Tries
		sum.failed += e.Failed
		sum.answered += answered
		sum.time += answered * e.Latency
	}
	s.lastHeard = c.now
	if answered > 0 {
		s.dry = 0
		return
	}
	if s.dry == 0 {
		s.drySince = c.now - e.Period
	}
	s.dry += e.Tries
}

// demand counts a report for as much as the time it covers: late ones cover many periods.
func (c *Controller) demand(e Demand) {
	p := c.proxy[e.Proxy]
	if p == nil || e.Class >= len(p.demand) || e.Period <= 0 {
		return
	}
	p.told[e.Class] = c.now
	p.demand[e.Class] += (1 - math.Exp(-e.Period/demandTime)) * (e.Requests/e.Period*1000 - p.demand[e.Class])
	step := (1 - math.Exp(-e.Period/typicalTime)) / float64(len(p.demand))
	p.usual *= 1 - step
	for _, d := range p.demand {
		p.usual += step * d
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
