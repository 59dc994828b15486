package rules

// How much is let in.

import (
	"cmp"
	"math"
	"slices"
)

// lessValuable orders classes by their worth for their work. The aim is all that is known of a class's work.
func lessValuable(a, b Class) int {
	return cmp.Compare(a.Value/a.LatencyTarget, b.Value/b.LatencyTarget)
}

// classTotals are sums over the classes: of values by demand, and of work, in units of the latency targets,
// which are all that is known of a class's work.
type classTotals struct {
	valueOverTarget, value float64
	offered, admitted      float64 // work a second
	requests               float64 // a second, admitted
}

func (c *Controller) classTotals() (sum classTotals) {
	levels := c.admissionLevels()
	for k, class := range c.settings.Classes {
		d := c.demands[k]
		sum.valueOverTarget += class.Value * (d + tinyRate) / class.LatencyTarget
		sum.value += class.Value * (d + tinyRate)
		sum.offered += d * class.LatencyTarget
		sum.admitted += d * class.LatencyTarget * levels[k]
		sum.requests += d * levels[k]
	}
	return sum
}

// updateAdmission sheds work when answers come too late for their targets. What may come in is held against
// what the fleet lately answered, not against the last level: reports are seconds old, and a level that
// builds on its past swings. It is kept in work a second: a share would let in all the repeats of refused
// clients at once.
func (c *Controller) updateAdmission(span float64) {
	sum := c.classTotals()
	if c.fleet.tries < 1 || sum.requests < 1e-9 {
		return
	}
	work := sum.admitted / sum.requests // of a request that is let in
	c.updatePressure(sum.value/sum.valueOverTarget, work)
	c.updateWorkLimit(span, work)
	before := c.shedShare
	c.shedShare = max(0, min(maxShedding, 1-c.workLimit/sum.offered))
	if (before == 0) != (c.shedShare == 0) {
		c.log("shedding now %.2f of the work, pressure %.2f", c.shedShare, c.pressure)
	}
	decay := math.Exp(-span / fleetTime)
	c.fleet.fade(decay)
	for _, s := range c.servers {
		s.recent.fade(decay)
	}
}

// updatePressure compares the answer time with what is wanted. The idle time goes by the work let in: once
// the heavy requests are refused, answers come sooner.
func (c *Controller) updatePressure(target, work float64) {
	latency := c.latency()
	if latency > 0 && c.averageFill > filledEnough {
		c.recentIdle = append(c.recentIdle, latency/work)[max(0, len(c.recentIdle)+1-idleLooks):]
		c.idleLatency = min(c.idleLatency, slices.Max(c.recentIdle))
	}
	idle := min(c.idleLatency*work, latencyTargetShare*target)
	c.pressure = c.fleet.failed/c.fleet.tries + latency/(baseShare*idle+waitShare*target)
}

// updateWorkLimit lets the limit grow without pressure, and holds it to what the fleet answers under it.
func (c *Controller) updateWorkLimit(span, work float64) {
	decay := math.Exp(-span / fleetTime)
	c.averageFill = 1 - (1-c.averageFill)*decay // corrects the average of a controller that just started
	answered := c.fleet.answered * (1 - decay) / c.averageFill * 1000 / span * work
	c.bestThroughput = max(answered/max(tinyShare, c.listedWeight),
		c.bestThroughput*math.Pow(throughputDecay, span/1000))
	capacity := c.bestThroughput * c.listedWeight
	c.workLimit = max(c.workLimit*math.Pow(limitGrowth, span/1000), capacity*minCapacity)
	if c.pressure > sheddingFrom && c.averageFill > filledEnough { // a first report may be of a part
		c.workLimit = min(c.workLimit, capacity*max(minCapacity, 1+capacitySlope*(1-c.pressure)))
	}
}

// admissionLevels gives each class its level as a share: those with the least worth for their work give way.
func (c *Controller) admissionLevels() []float64 {
	total := 0.0
	for k, d := range c.demands {
		total += d * c.settings.Classes[k].LatencyTarget
	}
	levels, cut := slices.Repeat([]float64{1}, len(c.demands)), max(c.shedShare, 1-c.coldCapacity)*total
	for _, k := range c.shedOrder {
		if work := c.demands[k] * c.settings.Classes[k].LatencyTarget; work > 0 && cut > 0 {
			levels[k] = 1 - min(cut, work)/work
			cut -= min(cut, work)
		}
	}
	return levels
}

// levelFor is what a proxy is told of a class's level. A rate is its usual part of the fleet's demand, with
// room for chance: a proxy with few requests would else refuse what the fleet has room for.
func (c *Controller) levelFor(p *proxy, k int, level float64) float64 {
	if c.settings.Admission != AdmitRate {
		return level
	}
	if level >= 1 {
		return unlimited
	}
	rate := level * c.demands[k] * p.typicalRate / c.typicalRate
	return rate + rateHeadroom*math.Sqrt(rate)
}
