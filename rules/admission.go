package rules

// Admission levels: how much of each class is admitted.

import (
	"cmp"
	"math"
	"slices"
)

// lessValuable orders classes by value per work. The latency target stands for the work of a request, as
// nothing else is known of it.
func lessValuable(a, b Class) int {
	return cmp.Compare(a.Value/a.LatencyTarget, b.Value/b.LatencyTarget)
}

// classTotals holds sums over the classes, weighted by demand. A request's work is the latency target of its
// class, as nothing else is known of it.
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

// updateAdmission sheds load when latencies exceed what the targets allow. The limit follows the fleet's
// recent throughput, not the last level: reports are seconds old, and a level derived from its own past
// oscillates.
// It is an absolute rate of work: a share would admit all the repeated requests of refused clients at once.
func (c *Controller) updateAdmission(elapsed float64) {
	sum := c.classTotals()
	if c.fleet.attempts < 1 || sum.requests < 1e-9 {
		return
	}
	work := sum.admitted / sum.requests // of an admitted request
	c.updatePressure(sum.value/sum.valueOverTarget, work)
	c.updateWorkLimit(elapsed, work)
	before := c.shedShare
	c.shedShare = max(0, min(maxShedShare, 1-c.workLimit/sum.offered))
	if (before == 0) != (c.shedShare == 0) {
		c.log("shedding now %.2f of the work, pressure %.2f", c.shedShare, c.pressure)
	}
	decay := math.Exp(-elapsed / fleetTime)
	c.fleet.decay(decay)
	for _, s := range c.servers {
		s.recentTotals.decay(decay)
	}
}

// updatePressure compares the latency with the wanted one. The idle latency is kept per unit of admitted
// work: once heavy requests are refused, the remaining ones are answered sooner.
func (c *Controller) updatePressure(target, work float64) {
	latency := c.medianLatency()
	if latency > 0 && c.averageFill > minFill {
		c.idleLatencies = append(c.idleLatencies, latency/work)[max(0, len(c.idleLatencies)+1-idleSamples):]
		c.idleLatency = min(c.idleLatency, slices.Max(c.idleLatencies))
	}
	idle := min(c.idleLatency*work, maxIdleShare*target)
	c.pressure = c.fleet.failed/c.fleet.attempts + latency/(idleLatencyFactor*idle+queueingShare*target)
}

// updateWorkLimit grows the work limit, and under pressure bounds it by the fleet's recent throughput.
func (c *Controller) updateWorkLimit(elapsed, work float64) {
	decay := math.Exp(-elapsed / fleetTime)
	c.averageFill = 1 - (1-c.averageFill)*decay // corrects the average of a controller that just started
	answered := c.fleet.answered * (1 - decay) / c.averageFill * 1000 / elapsed * work
	c.bestThroughput = max(answered/max(tinyShare, c.listedWeight),
		c.bestThroughput*math.Pow(throughputDecay, elapsed/1000))
	capacity := c.bestThroughput * c.listedWeight
	c.workLimit = max(c.workLimit*math.Pow(limitGrowth, elapsed/1000), capacity*minCapacityShare)
	if c.pressure > sheddingPressure && c.averageFill > minFill { // the first reports may cover only a part
		c.workLimit = min(c.workLimit, capacity*max(minCapacityShare, 1+capacitySlope*(1-c.pressure)))
	}
}

// admissionLevels returns the admitted share of each class; the least valuable work is shed first.
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

// levelFor returns the level of class k as it is sent to a proxy. A rate is the proxy's typical part of the
// fleet's admitted demand, with headroom for random variation: a proxy with few requests would otherwise
// refuse requests that the fleet has capacity for.
func (c *Controller) levelFor(p *proxy, k int, level float64) float64 {
	if c.settings.Admission != AdmitRate {
		return level
	}
	if level >= 1 {
		return unlimitedRate
	}
	rate := level * c.demands[k] * p.typicalRate / c.typicalRate
	return rate + rateHeadroom*math.Sqrt(rate)
}
