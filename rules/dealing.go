package rules

// Assignment of servers to the tables of proxies.

import (
	"math"
	"slices"
)

const (
	// tinyRate prevents divisions by a rate of zero, in requests a second.
	tinyRate = 1e-3
	// tinyShare prevents divisions by a share or weight of zero.
	tinyShare = 1e-9
)

// computeTargets splits the shares by proxy zone. Traffic between zones is costly, so a zone's proxies use
// its own servers up to their capacity and spill only the rest. With Settings.LocalFirst, proxies of other
// controllers are assumed to be in the zones that have no proxies of this planner.
func (c *Controller) computeTargets() {
	for i := range c.zones {
		c.zones[i] = zone{servers: c.zones[i].servers}
	}
	c.sumDemand()
	c.addOtherParts()
	c.distributeTraffic(c.computeZoneShares())
	for _, s := range c.servers {
		z := &c.zones[s.Zone]
		s.targetRate = s.share / max(tinyShare, z.capacityShare) * z.inboundRate
	}
}

// sumDemand sums up the demand of our own proxies. A class without requests is not reported, so a demand
// without reports decays.
func (c *Controller) sumDemand() {
	clear(c.demands)
	c.joinedProxies, c.typicalRate = 0, tinyRate
	for _, p := range c.proxies {
		if !p.joined {
			continue
		}
		for k, d := range p.demand {
			silent := max(0, c.now-p.reportedAt[k]-silentPeriods*c.settings.ReportPeriod)
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

// addOtherParts adds the traffic of the planner's other cores.
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

// computeZoneShares compares each zone's traffic with the capacity of its servers, and returns the sum of the
// spare capacity.
func (c *Controller) computeZoneShares() (spareSum float64) {
	unseenRate, unseenCapacity := 0.0, 0.0 // of other controllers' proxies; of zones without our proxies
	if c.settings.LocalFirst && c.joinedProxies > 0 {
		unseenRate = max(0, float64(c.settings.Proxies)-c.joinedProxies) * c.typicalRate / c.joinedProxies
	}
	for _, s := range c.servers {
		c.zones[s.Zone].capacityShare += s.share
		if c.zones[s.Zone].totalRate == 0 {
			unseenCapacity += s.share
		}
	}
	spareSum = tinyShare
	for i := range c.zones {
		z := &c.zones[i]
		z.trafficShare = z.totalRate / (c.typicalRate + unseenRate)
		if z.totalRate == 0 && unseenCapacity > 0 {
			z.trafficShare = unseenRate / (c.typicalRate + unseenRate) * z.capacityShare / unseenCapacity
		}
		z.spillShare = max(0, 1-z.capacityShare*(1+zoneHeadroom)/max(tinyShare, z.trafficShare))
		z.spareShare = max(0, z.capacityShare-z.trafficShare) + tinyShare*z.capacityShare
		spareSum += z.spareShare
	}
	return spareSum
}

// distributeTraffic adds each zone's traffic to its own servers, and what spills to all zones by their spare
// capacity.
func (c *Controller) distributeTraffic(spare float64) {
	for i := range c.zones {
		from := &c.zones[i]
		from.inboundRate += from.ownRate * (1 - from.spillShare)
		for j := range c.zones {
			c.zones[j].inboundRate += from.ownRate * from.spillShare * c.zones[j].spareShare / spare
		}
	}
}

// tableSize returns the wanted number of lines of a proxy's table, which grows with its traffic. The mean is
// bounded by the servers' connection limits and the channel's queue, for tables of all proxies, and by a few
// times the servers that a proxy's traffic fills, so that connections don't run out. With too few lines a
// proxy could be without a server for longer when many servers fail.
func (c *Controller) tableSize(p *proxy) float64 {
	n := max(1, c.joinedProxies, float64(c.settings.Proxies))
	mean := min(tableQueueShare*c.settings.QueueLines/n-c.settings.MessageCost,
		max(maxMeanTableLines, linesPerFilledServer*c.usableServers/n))
	if c.settings.MinConnections > 0 {
		mean = min(mean, connectionShare*c.settings.MinConnections*c.usableServers/n)
	}
	return max(minTableLines, mean*(1+3*p.typicalRate*c.joinedProxies/c.typicalRate)/4)
}

// assignTables assigns each proxy a part of the fleet: servers of its own zone, and of others only for
// traffic that spills. It starts from the current tables, so that few lines change when servers come and go;
// each new line is for the server with the least assigned traffic relative to its target. In a zone of few
// servers each table has all of them, except those of proxies with little traffic.
func (c *Controller) assignTables() {
	for _, s := range c.servers {
		s.assignedRate, s.visitedBy = 0, nil
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
		size, remote := c.tableSize(p), 0.0
		if spill := c.zones[p.zone].spillShare; spill > 0 {
			remote = max(1, math.Round(size*spill))
		}
		c.fillTable(p, p.isLocal, size-remote)
		c.fillTable(p, p.isRemote, remote)
		c.totalLines += p.wantedLines
	}
	c.assignUnderassigned()
}

// dropUnwantedLines removes lines of a proxy's table whose servers may have none, or are in other zones while
// nothing spills, and adds the proxy's traffic to the servers of the other lines.
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

// rankServers orders the servers of each zone by their assigned traffic relative to their target.
func (c *Controller) rankServers() {
	for z := range c.zones {
		c.zones[z].servers.reset(lessAssigned)
	}
	for _, s := range c.servers {
		if s.targetRate > 0 {
			c.zones[s.Zone].servers.add(s)
		}
	}
}

// lessAssigned orders servers by their assigned traffic relative to their target, then by id.
func lessAssigned(a, b *server) bool {
	if x, y := a.assignedRate*b.targetRate, b.assignedRate*a.targetRate; x != y {
		return x < y
	}
	return a.ID < b.ID
}

// moreTrafficPerLine orders proxies by descending traffic per line, then by id.
func moreTrafficPerLine(a, b *proxy) bool {
	if x, y := a.typicalRate*b.wantedLines, b.typicalRate*a.wantedLines; x != y {
		return x > y
	}
	return a.id < b.id
}

// assignUnderassigned assigns each server with too little traffic for its target to one more proxy, the one
// of its zone with the most traffic per line: new servers, and those whose proxies left.
func (c *Controller) assignUnderassigned() {
	byZone := map[int]*priorityQueue[*proxy]{} // rarely needed
	for _, s := range c.servers {
		if s.assignedRate >= underassignedShare*s.targetRate {
			continue
		}
		ranking := byZone[s.Zone]
		if ranking == nil {
			ranking = &priorityQueue[*proxy]{less: moreTrafficPerLine}
			for _, p := range c.proxies {
				if p.joined && p.zone == s.Zone {
					ranking.add(p)
				}
			}
			byZone[s.Zone] = ranking
		}
		if best, found := ranking.first(func(p *proxy) bool { return p.hasLine(s) }); found {
			best.addLine(s)
			ranking.fixFirst()
		}
		ranking.restore()
	}
}

// isLocal and isRemote report whether a zone is the proxy's own one or another one.
func (p *proxy) isLocal(zone int) bool  { return zone == p.zone }
func (p *proxy) isRemote(zone int) bool { return zone != p.zone }

// fillTable assigns servers of eligible zones to a proxy until its table has enough lines for them.
func (c *Controller) fillTable(p *proxy, eligible func(zone int) bool, lines float64) {
	for _, l := range p.lines {
		l.server.visitedBy = p
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
		c.zones[best.Zone].servers.fixFirst()
	}
	for z := range c.zones {
		c.zones[z].servers.restore()
	}
}

// leastAssigned returns the server of the eligible zones with the least assigned traffic relative to its
// target that is not in the proxy's table; nil: there is none.
func (c *Controller) leastAssigned(p *proxy, eligible func(zone int) bool) (best *server) {
	for z := range c.zones {
		if !eligible(z) {
			continue
		}
		s, found := c.zones[z].servers.first(func(s *server) bool { return s.visitedBy == p })
		if found && (best == nil || lessAssigned(s, best)) {
			best = s
		}
	}
	return best
}

// addLine adds a line for a server to the proxy's table; computeWeights sets its weight.
func (p *proxy) addLine(s *server) {
	p.wantedLines++
	s.visitedBy, s.assignedRate = p, s.assignedRate+p.typicalRate/p.wantedLines
	p.lines = append(p.lines, line{server: s, wanted: 1})
}

// needsUpdate reports whether a line differs enough from the weight last sent to be worth an order.
func (l line) needsUpdate() bool { return math.Abs(l.wanted-l.sent) > minWeightChange*l.sent }

// computeWeights sets the weights of all lines: a server's share, corrected for its assignment, so that its
// traffic from all our tables follows its share although each table has only a part of the fleet.
func (c *Controller) computeWeights() {
	for range correctionSteps {
		c.fitCorrections()
	}
	for _, p := range c.proxies {
		c.computeUrgency(p, p.setWeights(c.usableServers))
	}
}

// fitCorrections runs one iteration of fitting the corrections to the tables.
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

// computeUrgency sets whether a proxy's table is urgent, and how much of the proxy's traffic doesn't follow
// the wanted weights. A table is urgent if it is not bound to the proxy, has a line that must be removed, or
// has no usable line that was sent.
func (c *Controller) computeUrgency(p *proxy, sum float64) {
	works := false
	p.urgent, p.misroutedRate = !p.bound, 0
	for _, l := range p.lines {
		works = works || l.wanted > 0 && l.sent > 0
		p.urgent = p.urgent || l.sent > 0 && !l.server.inTables
		if l.needsUpdate() {
			p.misroutedRate += math.Abs(l.wanted-l.sent) / sum * p.typicalRate
		}
	}
	if p.urgent = p.urgent || !works && p.wantedLines > 0; p.urgent {
		p.misroutedRate += c.typicalRate // urgent tables come first
	}
}

// setWeights sets the wanted weights of a proxy's lines, scaled so that a server of average share has the
// weight mean, and returns their sum.
func (p *proxy) setWeights(mean float64) (sum float64) {
	for i := range p.lines {
		if l := &p.lines[i]; l.wanted > 0 {
			l.wanted = max(tinyShare, l.server.share*l.server.correction*mean)
			sum += l.wanted
		}
	}
	return max(tinyShare, sum)
}
