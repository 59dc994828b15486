package rules

// The round: the design, and the shares that follow from it.

import "math"

// usable says whether a server may hold a line.
func (s *server) usable() bool { return s.State == Ready && !s.suspected && !s.heldBack }

// fleetMeans are what a round compares a server with: sums over the servers that hold lines, and their
// numbers.
type fleetMeans struct {
	inTables, heard    float64 // servers in our tables, and those of them that were heard lately
	speeds, withSpeed  float64
	rates, withReports float64 // success rates
}

// runRound is one step of the feedback loop, when enough of the fleet was heard.
func (c *Controller) runRound() {
	c.nextRound = c.now + roundTime
	fleet := c.fleetMeans()
	if fleet.heard == 0 || fleet.heard < coverage*fleet.inTables {
		c.log("round waits: %v of %v servers heard", fleet.heard, fleet.inTables)
		return
	}
	for _, s := range c.servers {
		if s.usable() {
			s.updateFactor(fleet.errorOf(s))
		}
		s.round = tally{}
		clear(s.zones)
	}
}

// fleetMeans sums up the round. Only servers in our tables can be heard: were all of them to be, a round
// would never begin where a planner serves one zone.
func (c *Controller) fleetMeans() (fleet fleetMeans) {
	for _, s := range c.servers {
		if !s.usable() {
			continue
		}
		if s.assignedRate > 0 {
			fleet.inTables++
			if s.lastHeard > 0 && c.now-s.lastHeard <= heardFor {
				fleet.heard++
			}
		}
		if s.round.tries > 0 {
			fleet.rates += s.round.rate()
			fleet.withReports++
		}
		if speed := s.speed(); speed > 0 {
			fleet.speeds += speed
			fleet.withSpeed++
		}
	}
	return fleet
}

// errorOf is how much faster than the mean a server is, as a share; unheard servers count as average. The
// failure clamp: no server's error is over that of its success rate, where it is below the mean.
func (f fleetMeans) errorOf(s *server) float64 {
	e := 0.0
	if speed := s.speed(); speed > 0 {
		e = speed*f.withSpeed/f.speeds - 1
	}
	if s.round.tries > 0 && f.rates > 0 && s.round.rate()*f.withReports < f.rates {
		e = min(e, s.round.rate()*f.withReports/f.rates-1)
	}
	return e
}

// updateFactor takes the error of one round into the factor.
func (s *server) updateFactor(e float64) {
	s.recentErrors = append(s.recentErrors, e)
	s.recentErrors = s.recentErrors[max(0, len(s.recentErrors)-errorsKept):]
	mean := 0.0
	for _, x := range s.recentErrors {
		mean += x / float64(len(s.recentErrors))
	}
	if math.Abs(mean) > deadBand {
		s.errorSum = max(-sumCap, min(sumCap, s.errorSum*(1-tDecay/tI)+mean))
		s.factor += approach * (max(factorLow, min(factorHigh, 1+kP*mean+kP/tI*s.errorSum)) - s.factor)
	}
}

// speed is the inverse mean latency, averaged over the proxy zones at or above their mean; 0: no answer.
func (s *server) speed() (mean float64) {
	for range 2 { // over all zones, then over those at or above that mean
		sum, n := 0.0, 0.0
		for _, z := range s.zones {
			if z.time > 0 && z.answered/z.time >= mean*0.999999 {
				sum, n = sum+z.answered/z.time, n+1
			}
		}
		mean = sum / max(1, n)
	}
	return mean
}

// warmCapacity is the share of its capacity that a server has at least, by its last start.
func (c *Controller) warmCapacity(s *server) float64 {
	if s.StartedAt == 0 || c.now-s.StartedAt >= c.settings.WarmupTime {
		return 1
	}
	return c.settings.StartCapacity + (1-c.settings.StartCapacity)*max(0,
		c.now-s.StartedAt)/c.settings.WarmupTime
}

// factoredWeight is a server's listed weight times its factor; a started or returned server begins at a
// share.
func (c *Controller) factoredWeight(s *server) float64 {
	factor := s.factor
	if now := c.warmCapacity(s); now < 1 {
		factor = min(factor, max(startShare, now))
	}
	if back := c.now - s.returnedAt; s.returnedAt > 0 && back < returnTime {
		factor = min(factor, startShare+(1-startShare)*back/returnTime)
	}
	return s.Weight * factor
}

// computeShares fixes each server's part of all traffic. Cold budget: guards the rule that a started server
// is never pushed over. Its share stays under what it can do if the whole fleet ran full, so planners need
// not agree. Last line: no proxy is left without a server; if none is usable, all ready ones count, suspected
// or not.
func (c *Controller) computeShares() {
	ready, usable := c.countReady()
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

// countReady counts the ready and the usable servers, and sums up the weight that is listed ready.
func (c *Controller) countReady() (ready, usable float64) {
	c.listedWeight = 0
	for _, s := range c.servers {
		if s.State == Ready {
			ready++
			c.listedWeight += s.Weight * max(startShare, c.warmCapacity(s))
		}
		if s.usable() {
			usable++
		}
	}
	return ready, usable
}

// shareByWeight gives the servers that may hold lines their weight as a share for now, and sums them up: all
// of them, and the warm ones. All ready servers may hold lines if none is usable.
func (c *Controller) shareByWeight(noneUsable bool) (total, warm float64) {
	c.usableServers = 0
	for _, s := range c.servers {
		s.share = 0
		s.inTables = s.usable() || noneUsable && s.State == Ready
		if !s.inTables {
			continue
		}
		s.share = c.factoredWeight(s)
		total += s.share
		c.usableServers++
		if c.warmCapacity(s) == 1 {
			warm += s.share
		}
	}
	return total, warm
}

// limitColdShares holds the shares of cold servers to their budget, and sums them up.
func (c *Controller) limitColdShares(total, ready float64) (cold float64) {
	for _, s := range c.servers {
		if now := c.warmCapacity(s); s.inTables && now < 1 {
			s.share = min(s.share/max(1e-9, total), warmupSafety*c.settings.OverloadFactor*now/ready)
			cold += s.share
		}
	}
	return cold
}
