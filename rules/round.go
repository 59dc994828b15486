package rules

// The feedback loop of the weights, and the shares of traffic that follow from them.

import "math"

// usable reports whether a server may have a line in a table.
func (s *server) usable() bool { return s.State == Ready && !s.suspected && !s.coldExcluded }

// fleetMeans holds the sums over the usable servers, and the number of summands, from which a round computes
// the means that it compares a server with.
type fleetMeans struct {
	assigned, reported      float64 // servers in our tables, and those of them with a recent report
	speedSum, speedCount    float64
	successes, successCount float64 // success rates
}

// runRound runs one step of the feedback loop if enough servers have a recent report.
func (c *Controller) runRound() {
	c.nextRound = c.now + roundInterval
	means := c.fleetMeans()
	if means.reported == 0 || means.reported < minCoverage*means.assigned {
		c.log("round waits: %v of %v servers heard", means.reported, means.assigned)
		return
	}
	for _, s := range c.servers {
		if s.usable() {
			s.updateFactor(means.errorOf(s))
		}
		s.thisRound = reportTotals{}
		clear(s.roundByZone)
	}
}

// fleetMeans sums up the reports of the round. Coverage counts only servers in our tables, as no others are
// reported: if all servers counted, no round would run where a planner serves a single zone.
func (c *Controller) fleetMeans() (means fleetMeans) {
	for _, s := range c.servers {
		if !s.usable() {
			continue
		}
		if s.assignedRate > 0 {
			means.assigned++
			if s.lastReport > 0 && c.now-s.lastReport <= reportLifetime {
				means.reported++
			}
		}
		if s.thisRound.attempts > 0 {
			means.successes += s.thisRound.successRate()
			means.successCount++
		}
		if speed := s.speed(); speed > 0 {
			means.speedSum += speed
			means.speedCount++
		}
	}
	return means
}

// errorOf returns the relative deviation of a server's speed from the mean; servers without reports count as
// average. Failure clamp: if a server's success rate is below the mean, its error is at most the relative
// deviation of the success rate.
func (f fleetMeans) errorOf(s *server) float64 {
	e := 0.0
	if speed := s.speed(); speed > 0 {
		e = speed*f.speedCount/f.speedSum - 1
	}
	if s.thisRound.attempts > 0 && f.successes > 0 && s.thisRound.successRate()*f.successCount < f.successes {
		e = min(e, s.thisRound.successRate()*f.successCount/f.successes-1)
	}
	return e
}

// updateFactor adjusts the factor by the error of one round.
func (s *server) updateFactor(e float64) {
	s.recentErrors = append(s.recentErrors, e)
	s.recentErrors = s.recentErrors[max(0, len(s.recentErrors)-errorWindow):]
	mean := 0.0
	for _, x := range s.recentErrors {
		mean += x / float64(len(s.recentErrors))
	}
	if math.Abs(mean) > deadBand {
		s.errorSum = max(-maxErrorSum, min(maxErrorSum, s.errorSum*(1-tDecay/tI)+mean))
		s.factor += factorStep * (max(minFactor, min(maxFactor, 1+kP*mean+kP/tI*s.errorSum)) - s.factor)
	}
}

// speed returns the inverse mean latency, averaged over the proxy zones at or above their mean; 0: no answer.
func (s *server) speed() (mean float64) {
	for range 2 { // over all zones, then over those at or above that mean
		sum, n := 0.0, 0.0
		for _, z := range s.roundByZone {
			if z.totalLatency > 0 && z.answered/z.totalLatency >= mean*0.999999 {
				sum, n = sum+z.answered/z.totalLatency, n+1
			}
		}
		mean = sum / max(1, n)
	}
	return mean
}

// warmCapacity returns the least share of its full capacity that a server has, by the time since its start.
func (c *Controller) warmCapacity(s *server) float64 {
	if s.StartedAt == 0 || c.now-s.StartedAt >= c.settings.WarmupTime {
		return 1
	}
	return c.settings.StartCapacity + (1-c.settings.StartCapacity)*max(0,
		c.now-s.StartedAt)/c.settings.WarmupTime
}

// effectiveWeight returns a server's listed weight times its factor, reduced while a started server warms up
// and during the slow start of a returned one.
func (c *Controller) effectiveWeight(s *server) float64 {
	factor := s.factor
	if capacity := c.warmCapacity(s); capacity < 1 {
		factor = min(factor, max(initialShare, capacity))
	}
	if sinceReturn := c.now - s.returnedAt; s.returnedAt > 0 && sinceReturn < slowStartTime {
		factor = min(factor, initialShare+(1-initialShare)*sinceReturn/slowStartTime)
	}
	return s.Weight * factor
}

// computeShares sets each server's share of all traffic. The cold budget enforces the rule that a started
// server is never overloaded: its share stays below its capacity even if the whole fleet runs at full load,
// so planners need not coordinate. No proxy is left without a server: if none is usable, all ready ones are
// used, suspected or not.
func (c *Controller) computeShares() {
	ready, usable := c.countServers()
	total, warm := c.shareByWeight(usable == 0)
	cold := c.limitColdShares(total, ready)
	c.coldCapacity = 1
	if warm == 0 && total > 0 {
		c.coldCapacity = max(minColdCapacity, cold)
	}
	for _, s := range c.servers {
		if c.warmCapacity(s) == 1 && warm > 0 {
			s.share *= (1 - cold) / warm
		} else {
			s.share /= c.coldCapacity
		}
	}
}

// countServers counts the ready and the usable servers, and sums up the weight of the ready ones.
func (c *Controller) countServers() (ready, usable float64) {
	c.listedWeight = 0
	for _, s := range c.servers {
		if s.State == Ready {
			ready++
			c.listedWeight += s.Weight * max(initialShare, c.warmCapacity(s))
		}
		if s.usable() {
			usable++
		}
	}
	return ready, usable
}

// shareByWeight sets the share of each server that may have lines to its effective weight, not normalized
// yet. It returns the sums over all of them and over the warm ones. If none is usable, all ready servers may
// have lines.
func (c *Controller) shareByWeight(noneUsable bool) (total, warm float64) {
	c.usableServers = 0
	for _, s := range c.servers {
		s.share = 0
		s.inTables = s.usable() || noneUsable && s.State == Ready
		if !s.inTables {
			continue
		}
		s.share = c.effectiveWeight(s)
		total += s.share
		c.usableServers++
		if c.warmCapacity(s) == 1 {
			warm += s.share
		}
	}
	return total, warm
}

// limitColdShares limits the shares of cold servers to their budget and returns their sum.
func (c *Controller) limitColdShares(total, ready float64) (cold float64) {
	for _, s := range c.servers {
		if capacity := c.warmCapacity(s); s.inTables && capacity < 1 {
			s.share = min(s.share/max(1e-9, total), coldBudgetShare*c.settings.OverloadFactor*capacity/ready)
			cold += s.share
		}
	}
	return cold
}
