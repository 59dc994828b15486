package rules

// How much is let in.

import (
	"cmp"
	"math"
	"slices"
)

// poorer orders classes by their worth for their work. The aim is all that is known of a class's work.
func poorer(a, b Class) int { return cmp.Compare(a.Value/a.LatencyTarget, b.Value/b.LatencyTarget) }

// admission sheds work when answers come too late for their aims. What may come in is held against what the
// fleet lately answered, not against the last level: reports are seconds old, and a level that builds on its
// past swings. It is kept in work a second: a share would let in all the repeats of refused clients at once.
func (c *Controller) admission(span float64) {
	var aims, worth, offered, admitted, requests float64
	levels := c.wantedLevels()
	for k, class := range c.set.Classes {
		d := c.demands[k]
		aims += class.Value * (d + 1e-3) / class.LatencyTarget
		worth += class.Value * (d + 1e-3)
		offered += d * class.LatencyTarget
		admitted += d * class.LatencyTarget * levels[k]
		requests += d * levels[k]
	}
	if c.fleet.tries < 1 || requests < 1e-9 {
		return
	}
	// The idle time goes by the work let in: once the heavy requests are refused, answers come sooner.
	aim, latency, work := worth/aims, c.latency(), admitted/requests
	if latency > 0 && c.filled > filledEnough {
		c.idle = append(c.idle, latency/work)[max(0, len(c.idle)+1-idleLooks):]
		c.base = min(c.base, slices.Max(c.idle))
	}
	idle := min(c.base*work, latencyTargetShare*aim)
	c.pressure = c.fleet.failed/c.fleet.tries + latency/(baseShare*idle+waitShare*aim)
	// Work answered a second, in units of the aims, which are all that is known of a class's work.
	decay := math.Exp(-span / fleetTime)
	c.filled = 1 - (1-c.filled)*decay // corrects the average of a controller that just started
	answered := c.fleet.answered * (1 - decay) / c.filled * 1000 / span * work
	c.able = max(answered/max(1e-9, c.listed), c.able*math.Pow(ableDecay, span/1000))
	able := c.able * c.listed
	c.limit = max(c.limit*math.Pow(limitGrow, span/1000), able*minCapacity)
	if c.pressure > sheddingFrom && c.filled > filledEnough { // a first report may be of a part
		c.limit = min(c.limit, able*max(minCapacity, 1+capacitySlope*(1-c.pressure)))
	}
	before := c.shed
	c.shed = max(0, min(maxShedding, 1-c.limit/offered))
	if (before == 0) != (c.shed == 0) {
		c.log("shedding now %.2f of the work, pressure %.2f", c.shed, c.pressure)
	}
	c.fleet.fade(decay)
	for _, s := range c.servers {
		s.recent.fade(decay)
	}
}

// wantedLevels gives each class its level as a share: those with the least worth for their work give way.
func (c *Controller) wantedLevels() []float64 {
	total := 0.0
	for k, d := range c.demands {
		total += d * c.set.Classes[k].LatencyTarget
	}
	levels, cut := slices.Repeat([]float64{1}, len(c.demands)), max(c.shed, 1-c.fit)*total
	for _, k := range c.order {
		if work := c.demands[k] * c.set.Classes[k].LatencyTarget; work > 0 && cut > 0 {
			levels[k] = 1 - min(cut, work)/work
			cut -= min(cut, work)
		}
	}
	return levels
}

// level is what a proxy is told of a class's level. A rate is its usual part of the fleet's demand, with room
// for chance: a proxy with few requests would else refuse what the fleet has room for.
func (c *Controller) level(p *proxy, k int, level float64) float64 {
	if c.set.Admission != AdmitRate {
		return level
	}
	if level >= 1 {
		return unlimited
	}
	rate := level * c.demands[k] * p.usual / c.usual
	return rate + rateHeadroom*math.Sqrt(rate)
}
