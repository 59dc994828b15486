package rules

// Which servers a proxy's table holds.

import (
	"math"
	"slices"
)

const (
	// tinyRate keeps divisions by rates away from zero, in requests a second.
	tinyRate = 1e-3
	// tinyShare does the same for shares and weights.
	tinyShare = 1e-9
)

// computeTargets splits the shares by proxy zone. Crossing zones has a price, so a zone's proxies use its own
// servers as far as these have room and spill only the rest. Where proxies join controllers of their own
// zone, those that we don't see are taken to be in the zones where we see none.
func (c *Controller) computeTargets() {
	for i := range c.zones {
		c.zones[i] = zone{servers: c.zones[i].servers}
	}
	c.sumDemand()
	c.addOtherParts()
	c.fillZones(c.computeZoneShares())
	for _, s := range c.servers {
		z := &c.zones[s.Zone]
		s.targetRate = s.share / max(tinyShare, z.capacityShare) * z.inboundRate
	}
}

// sumDemand sums up what our own proxies bring. What is not asked for is not reported, so silence counts as
// less.
func (c *Controller) sumDemand() {
	clear(c.demands)
	c.joinedProxies, c.typicalRate = 0, tinyRate
	for _, p := range c.proxies {
		if !p.joined {
			continue
		}
		for k, d := range p.demand {
			silent := max(0, c.now-p.reportedAt[k]-silenceTimeout*c.settings.ReportPeriod)
			c.demands[k] += d * math.Exp(-silent/demandTime)
		}
		c.joinedProxies++
		c.typicalRate += p.typicalRate + tinyRate
		c.zones[p.zone].ownRate += p.typicalRate + tinyRate
	}
	c.ownPart = Part{TypicalRates: make([]float64, len(c.zones)), JoinedProxies: c.joinedProxies,
		Demands: slices.Clone(c.demands)}
	for i, z := range c.zones {
		c.ownPart.TypicalRates[i] = z.ownRate
	}
}

// addOtherParts adds what the planner's other cores bring.
func (c *Controller) addOtherParts() {
	c.joinedProxies += c.otherParts.JoinedProxies
	for k, d := range c.otherParts.Demands {
		c.demands[k] += d
	}
	for i := range c.zones {
		z := &c.zones[i]
		z.totalRate = z.ownRate
		if i < len(c.otherParts.TypicalRates) {
			z.totalRate += c.otherParts.TypicalRates[i]
			c.typicalRate += c.otherParts.TypicalRates[i]
		}
	}
}

// computeZoneShares compares each zone's traffic with the capacity of its servers, and sums up what is to
// spare.
func (c *Controller) computeZoneShares() (spare float64) {
	unseen, hidden := 0.0, 0.0 // traffic of proxies not seen, capacity of zones without ours
	if c.settings.LocalFirst && c.joinedProxies > 0 {
		unseen = max(0, float64(c.settings.Proxies)-c.joinedProxies) * c.typicalRate / c.joinedProxies
	}
	for _, s := range c.servers {
		c.zones[s.Zone].capacityShare += s.share
		if c.zones[s.Zone].totalRate == 0 {
			hidden += s.share
		}
	}
	spare = tinyShare
	for i := range c.zones {
		z := &c.zones[i]
		z.trafficShare = z.totalRate / (c.typicalRate + unseen)
		if z.totalRate == 0 && hidden > 0 {
			z.trafficShare = unseen / (c.typicalRate + unseen) * z.capacityShare / hidden
		}
		z.spillShare = max(0, 1-z.capacityShare*(1+zoneSlack)/max(tinyShare, z.trafficShare))
		z.spareShare = max(0, z.capacityShare-z.trafficShare) + tinyShare*z.capacityShare
		spare += z.spareShare
	}
	return spare
}

// fillZones sends what does not spill to the zone's own servers, and the rest to all zones by what they have
// to spare.
func (c *Controller) fillZones(spare float64) {
	for i := range c.zones {
		from := &c.zones[i]
		from.inboundRate += from.ownRate * (1 - from.spillShare)
		for j := range c.zones {
			c.zones[j].inboundRate += from.ownRate * from.spillShare * c.zones[j].spareShare / spare
		}
	}
}

// tableSize is the number of lines of a proxy's table, mostly by its traffic: no more than servers'
// connection limits and the channel allow with every proxy at that, nor many more servers than its traffic
// fills. Guards against full connections; a table of fewer lines could be without a server for longer when
// many die.
func (c *Controller) tableSize(p *proxy) float64 {
	n := max(1, c.joinedProxies, float64(c.settings.Proxies))
	mean := min(tableShare*c.settings.QueueLines/n-c.settings.MessageCost,
		max(maxMeanLines, linesPerFilledServer*c.usableServers/n))
	if c.settings.MinConnections > 0 {
		mean = min(mean, connShare*c.settings.MinConnections*c.usableServers/n)
	}
	return max(minLines, mean*(1+3*p.typicalRate*c.joinedProxies/c.typicalRate)/4)
}

// dealTables gives each proxy its part of the fleet: its own zone first, others only for what spills. It
// starts from the tables as they are, so that few lines change when servers come and go; each new line is for
// the server held least for its target. Few servers in a zone are all held, but by proxies with little
// traffic.
func (c *Controller) dealTables() {
	for _, s := range c.servers {
		s.assignedRate, s.dealtTo = 0, nil
	}
	for _, p := range c.proxies {
		c.dropUnwantedLines(p)
	}
	c.rankServers()
	c.totalLines = 0
	for _, p := range c.proxies {
		if !p.joined {
			continue
		}
		size, far := c.tableSize(p), 0.0
		if spill := c.zones[p.zone].spillShare; spill > 0 {
			far = max(1, math.Round(size*spill))
		}
		c.fill(p, p.isHome, size-far)
		c.fill(p, p.isAway, far)
		c.totalLines += p.wantedLines
	}
	c.dealToStarved()
}

// dropUnwantedLines takes lines out of a proxy's table whose servers may hold none, or that lie in other
// zones while nothing spills, and counts what the others bring their servers.
func (c *Controller) dropUnwantedLines(p *proxy) {
	p.wantedLines = 0
	for i := range p.lines {
		l := &p.lines[i]
		if !l.server.inTables || l.server.Zone != p.zone && c.zones[p.zone].spillShare == 0 {
			l.wanted = 0
		} else if l.wanted > 0 {
			p.wantedLines++
		}
	}
	p.lines = slices.DeleteFunc(p.lines, func(l line) bool { return l.wanted == 0 && l.sent == 0 })
	if !p.joined {
		return
	}
	for _, l := range p.lines {
		if l.wanted > 0 {
			l.server.assignedRate += p.typicalRate / p.wantedLines
		}
	}
}

// rankServers orders the servers of each zone by how little they are held for their target.
func (c *Controller) rankServers() {
	for z := range c.zones {
		c.zones[z].servers.begin(lessAssigned)
	}
	for _, s := range c.servers {
		if s.targetRate > 0 {
			c.zones[s.Zone].servers.add(s)
		}
	}
}

// lessAssigned orders servers by how little they are held for their target.
func lessAssigned(a, b *server) bool {
	if x, y := a.assignedRate*b.targetRate, b.assignedRate*a.targetRate; x != y {
		return x < y
	}
	return a.ID < b.ID
}

// busier orders proxies by the traffic of a line.
func busier(a, b *proxy) bool {
	if x, y := a.typicalRate*b.wantedLines, b.typicalRate*a.wantedLines; x != y {
		return x > y
	}
	return a.id < b.id
}

// dealToStarved deals servers that are held for too little once more, each to the busiest proxy of its zone:
// newcomers, and those whose proxies left.
func (c *Controller) dealToStarved() {
	byZone := map[int]*ranked[*proxy]{} // few looks need any
	for _, s := range c.servers {
		if s.assignedRate >= starvedShare*s.targetRate {
			continue
		}
		r := byZone[s.Zone]
		if r == nil {
			r = &ranked[*proxy]{before: busier}
			for _, p := range c.proxies {
				if p.joined && p.zone == s.Zone {
					r.add(p)
				}
			}
			byZone[s.Zone] = r
		}
		if best, found := r.first(func(p *proxy) bool { return p.knows(s) }); found {
			best.addLine(s)
			r.moved()
		}
		r.restore()
	}
}

// isHome and isAway tell the proxy's own zone from others.
func (p *proxy) isHome(zone int) bool { return zone == p.zone }
func (p *proxy) isAway(zone int) bool { return zone != p.zone }

// fill deals a proxy servers of eligible zones until its table holds enough of them.
func (c *Controller) fill(p *proxy, eligible func(zone int) bool, lines float64) {
	for _, l := range p.lines {
		l.server.dealtTo = p
		if l.wanted > 0 && eligible(l.server.Zone) {
			lines--
		}
	}
	for ; lines > 0; lines-- {
		best := c.leastAssigned(p, eligible)
		if best == nil {
			break
		}
		p.addLine(best)
		c.zones[best.Zone].servers.moved()
	}
	for z := range c.zones {
		c.zones[z].servers.restore()
	}
}

// leastAssigned is the server of the eligible zones that is held least for its target and that is not in the
// proxy's table; nil: there is none.
func (c *Controller) leastAssigned(p *proxy, eligible func(zone int) bool) (best *server) {
	for z := range c.zones {
		if !eligible(z) {
			continue
		}
		s, found := c.zones[z].servers.first(func(s *server) bool { return s.dealtTo == p })
		if found && (best == nil || lessAssigned(s, best)) {
			best = s
		}
	}
	return best
}

// addLine gives a proxy a line for a server; its weight comes with computeWeights.
func (p *proxy) addLine(s *server) {
	p.wantedLines++
	s.dealtTo, s.assignedRate = p, s.assignedRate+p.typicalRate/p.wantedLines
	p.lines = append(p.lines, line{server: s, wanted: 1})
}

// moved says whether a line differs from what the proxy was sent by enough to be worth an order.
func (l line) moved() bool { return math.Abs(l.wanted-l.sent) > minMove*l.sent }

// computeWeights sets the weights of all lines: a server's share, corrected for how it is held, so that the
// traffic it gets from all our tables follows its share although each table holds only a part of the fleet.
func (c *Controller) computeWeights() {
	for range fitSteps {
		c.fitCorrections()
	}
	for _, p := range c.proxies {
		c.computeUrgency(p, p.setWeights(c.usableServers))
	}
}

// fitCorrections is one step of fitting the weights to the tables.
func (c *Controller) fitCorrections() {
	for _, s := range c.servers {
		s.assignedRate = 0
	}
	for _, p := range c.proxies {
		sum := p.setWeights(1)
		if !p.joined {
			continue
		}
		for _, l := range p.lines {
			l.server.assignedRate += (p.typicalRate + tinyRate) * l.wanted / sum
		}
	}
	for _, s := range c.servers {
		if s.assignedRate > 0 {
			fitted := s.correction * math.Sqrt(s.targetRate/s.assignedRate)
			s.correction = max(1/maxCorrection, min(maxCorrection, fitted))
		}
	}
}

// computeUrgency says whether a proxy's table can wait, and how much of its traffic goes elsewhere than
// wanted. A table is urgent if it is not the proxy's yet, has a line that must go, or none that works.
func (c *Controller) computeUrgency(p *proxy, sum float64) {
	works := false
	p.urgent, p.misroutedRate = !p.bound, 0
	for _, l := range p.lines {
		works = works || l.wanted > 0 && l.sent > 0
		p.urgent = p.urgent || l.sent > 0 && !l.server.inTables
		if l.moved() {
			p.misroutedRate += math.Abs(l.wanted-l.sent) / sum * p.typicalRate
		}
	}
	if p.urgent = p.urgent || !works && p.wantedLines > 0; p.urgent {
		p.misroutedRate += c.typicalRate // first
	}
}

// setWeights sets the weights of a proxy's lines, in which a mean server has the given weight, and sums them
// up.
func (p *proxy) setWeights(mean float64) (sum float64) {
	for i := range p.lines {
		if l := &p.lines[i]; l.wanted > 0 {
			l.wanted = max(tinyShare, l.server.share*l.server.correction*mean)
			sum += l.wanted
		}
	}
	return max(tinyShare, sum)
}
