package rules

// Which servers a proxy's table holds.

import (
	"math"
	"slices"
)

// targets splits the shares by proxy zone. Crossing zones has a price, so a zone's proxies use its own
// servers as far as these have room and spill only the rest. Where proxies join controllers of their own
// zone, those that we don't see are taken to be in the zones where we see none.
func (c *Controller) targets() {
	for i := range c.zones {
		c.zones[i] = zone{servers: c.zones[i].servers}
	}
	clear(c.demands)
	c.joined, c.usual = 0, 1e-3
	c.mine = Part{TypicalRates: make([]float64, len(c.zones))}
	for _, p := range c.proxies {
		if p.joined {
			for k, d := range p.demand { // what is not asked for is not reported
				silent := max(0, c.now-p.told[k]-silenceTimeout*c.set.ReportPeriod)
				c.demands[k] += d * math.Exp(-silent/demandTime)
			}
			c.joined++
			c.usual += p.usual + 1e-3
			c.zones[p.zone].own += p.usual + 1e-3
		}
	}
	c.mine.Joined, c.mine.Demands = c.joined, slices.Clone(c.demands)
	c.joined += c.part.Joined
	for k, d := range c.part.Demands {
		c.demands[k] += d
	}
	for i := range c.zones {
		z := &c.zones[i]
		if z.all, c.mine.TypicalRates[i] = z.own, z.own; i < len(c.part.TypicalRates) {
			z.all, c.usual = z.own+c.part.TypicalRates[i], c.usual+c.part.TypicalRates[i]
		}
	}
	unseen, hidden, spare := 0.0, 0.0, 1e-9 // traffic of proxies not seen, room of zones without ours
	if c.set.LocalFirst && c.joined > 0 {
		unseen = max(0, float64(c.set.Proxies)-c.joined) * c.usual / c.joined
	}
	for _, s := range c.servers {
		c.zones[s.Zone].room += s.share
		if c.zones[s.Zone].all == 0 {
			hidden += s.share
		}
	}
	for i := range c.zones {
		z := &c.zones[i]
		if z.part = z.all / (c.usual + unseen); z.all == 0 && hidden > 0 {
			z.part = unseen / (c.usual + unseen) * z.room / hidden
		}
		z.over = max(0, 1-z.room*(1+zoneSlack)/max(1e-9, z.part))
		z.spare = max(0, z.room-z.part) + 1e-9*z.room
		spare += z.spare
	}
	for i := range c.zones {
		c.zones[i].flow += c.zones[i].own * (1 - c.zones[i].over)
		for j := range c.zones {
			c.zones[j].flow += c.zones[i].own * c.zones[i].over * c.zones[j].spare / spare
		}
	}
	for _, s := range c.servers {
		s.target = s.share / max(1e-9, c.zones[s.Zone].room) * c.zones[s.Zone].flow
	}
}

// size is the number of lines of a proxy's table, mostly by its traffic: no more than servers' connection
// limits and the channel allow with every proxy at that, nor many more servers than its traffic fills. Guards
// against full connections; a table of fewer lines could be without a server for longer when many die.
func (c *Controller) size(p *proxy) float64 {
	n := max(1, c.joined, float64(c.set.Proxies))
	mean := min(tableShare*c.set.QueueLines/n-c.set.HeadLines, max(linesMany, linesUseful*c.usable/n))
	if c.set.MinConns > 0 {
		mean = min(mean, connShare*c.set.MinConns*c.usable/n)
	}
	return max(minLines, mean*(1+3*p.usual*c.joined/c.usual)/4)
}

// deal gives each proxy its part of the fleet: its own zone first, others only for what spills. It starts
// from the tables as they are, so that few lines change when servers come and go; each new line is for the
// server held least for its target. Few servers in a zone are all held, but by proxies with little traffic.
func (c *Controller) deal() {
	for _, s := range c.servers {
		s.held, s.seen = 0, nil
	}
	c.lines = 0
	for _, p := range c.proxies {
		p.have = 0
		for i := range p.lines {
			if l := &p.lines[i]; !l.s.inTables || l.s.Zone != p.zone && c.zones[p.zone].over == 0 {
				l.want = 0
			} else if l.want > 0 {
				p.have++
			}
		}
		p.lines = slices.DeleteFunc(p.lines, func(l line) bool { return l.want == 0 && l.sent == 0 })
		for _, l := range p.lines {
			if l.want > 0 && p.joined {
				l.s.held += p.usual / p.have
			}
		}
	}
	for z := range c.zones {
		c.zones[z].servers.begin(heldLess)
	}
	for _, s := range c.servers {
		if s.target > 0 {
			c.zones[s.Zone].servers.add(s)
		}
	}
	for _, p := range c.proxies {
		if p.joined {
			size, far := c.size(p), 0.0
			if over := c.zones[p.zone].over; over > 0 {
				far = max(1, math.Round(size*over))
			}
			c.fill(p, true, size-far)
			c.fill(p, false, far)
			c.lines += p.have
		}
	}
	c.spread()
}

// heldLess orders servers by how little they are held for their target.
func heldLess(a, b *server) bool {
	if x, y := a.held*b.target, b.held*a.target; x != y {
		return x < y
	}
	return a.ID < b.ID
}

// busier orders proxies by the traffic of a line.
func busier(a, b *proxy) bool {
	if x, y := a.usual*b.have, b.usual*a.have; x != y {
		return x > y
	}
	return a.id < b.id
}

// spread deals servers that are held for too little once more, each to the busiest proxy of its zone:
// newcomers, and those whose proxies left.
func (c *Controller) spread() {
	byZone := map[int]*ranked[*proxy]{} // few looks need any
	for _, s := range c.servers {
		if s.held >= starved*s.target {
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
			best.take(s)
			r.moved()
		}
		r.restore()
	}
}

// fill deals a proxy servers of its own zone, or of others, until its table holds enough of them.
func (c *Controller) fill(p *proxy, home bool, lines float64) {
	for _, l := range p.lines {
		if l.s.seen = p; l.want > 0 && (l.s.Zone == p.zone) == home {
			lines--
		}
	}
	for ; lines > 0; lines-- {
		var best *server
		for z := range c.zones {
			if (z != p.zone) == home {
				continue
			}
			s, found := c.zones[z].servers.first(func(s *server) bool { return s.seen == p })
			if found && (best == nil || heldLess(s, best)) {
				best = s
			}
		}
		if best == nil {
			break
		}
		p.take(best)
		c.zones[best.Zone].servers.moved()
	}
	for z := range c.zones {
		c.zones[z].servers.restore()
	}
}

// take gives a proxy a line for a server; its weight comes with weigh.
func (p *proxy) take(s *server) {
	p.have++
	s.seen, s.held = p, s.held+p.usual/p.have
	p.lines = append(p.lines, line{s: s, want: 1})
}

// moved says whether a line differs from what the proxy was sent by enough to be worth an order.
func (l line) moved() bool { return math.Abs(l.want-l.sent) > minMove*l.sent }

// weigh sets the weights of all lines: a server's share, corrected for how it is held, so that the traffic it
// gets from all our tables follows its share although each table holds only a part of the fleet.
func (c *Controller) weigh() {
	for range fitSteps {
		for _, s := range c.servers {
			s.held = 0
		}
		for _, p := range c.proxies {
			sum := p.weigh(1)
			for _, l := range p.lines {
				if p.joined {
					l.s.held += (p.usual + 1e-3) * l.want / sum
				}
			}
		}
		for _, s := range c.servers {
			if s.held > 0 {
				s.fitted = max(1/maxFit, min(maxFit, s.fitted*math.Sqrt(s.target/s.held)))
			}
		}
	}
	for _, p := range c.proxies {
		sum, works := p.weigh(c.usable), false
		p.urgent, p.need = !p.bound, 0
		for _, l := range p.lines {
			works = works || l.want > 0 && l.sent > 0
			p.urgent = p.urgent || l.sent > 0 && !l.s.inTables
			if l.moved() {
				p.need += math.Abs(l.want-l.sent) / sum * p.usual
			}
		}
		if p.urgent = p.urgent || !works && p.have > 0; p.urgent {
			p.need += c.usual // first
		}
	}
}

// weigh sets the weights of a proxy's lines, in which a mean server has the given weight, and sums them up.
func (p *proxy) weigh(mean float64) (sum float64) {
	for i := range p.lines {
		if l := &p.lines[i]; l.want > 0 {
			l.want = max(1e-9, l.s.share*l.s.fitted*mean)
			sum += l.want
		}
	}
	return max(1e-9, sum)
}
