package rules

// The round: the design, and the shares that follow from it.

import "math"

// usable says whether a server may hold a line.
func (s *server) usable() bool { return s.State == Ready && !s.doubted && !s.kept }

// runRound is one step of the feedback loop, when enough of the fleet was heard.
func (c *Controller) runRound() {
	c.nextRound = c.now + roundTime
	var ready, fresh, speeds, rates, n, m float64
	for _, s := range c.servers {
		if !s.usable() {
			continue
		}
		if s.held > 0 { // only those in our tables can be heard: a gate over all would never open in one zone
			ready++
			if s.lastHeard > 0 && c.now-s.lastHeard <= heardFor {
				fresh++
			}
		}
		if s.round.tries > 0 {
			rates, m = rates+s.round.rate(), m+1
		}
		if s.speed() > 0 {
			speeds, n = speeds+s.speed(), n+1
		}
	}
	if fresh == 0 || fresh < coverage*ready {
		c.log("round waits: %v of %v servers heard", fresh, ready)
		return
	}
	for _, s := range c.servers {
		if s.usable() {
			e := 0.0 // unheard servers count as average
			if s.speed() > 0 {
				e = s.speed()*n/speeds - 1
			}
			if s.round.tries > 0 && rates > 0 && s.round.rate()*m < rates { // the failure clamp
				e = min(e, s.round.rate()*m/rates-1)
			}
			s.learn(e)
		}
		s.round = tally{}
		clear(s.zones)
	}
}

// learn takes the error of one round into the factor.
func (s *server) learn(e float64) {
	s.errors = append(s.errors, e)
	s.errors = s.errors[max(0, len(s.errors)-errorsKept):]
	mean := 0.0
	for _, x := range s.errors {
		mean += x / float64(len(s.errors))
	}
	if math.Abs(mean) > deadBand {
		s.sum = max(-sumCap, min(sumCap, s.sum*(1-tDecay/tI)+mean))
		s.factor += approach * (max(factorLow, min(factorHigh, 1+kP*mean+kP/tI*s.sum)) - s.factor)
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

// present is the share of its capacity that a server has at least, by its last start.
func (c *Controller) present(s *server) float64 {
	if s.StartedAt == 0 || c.now-s.StartedAt >= c.set.WarmupTime {
		return 1
	}
	return c.set.StartCapacity + (1-c.set.StartCapacity)*max(0, c.now-s.StartedAt)/c.set.WarmupTime
}

// weight is a server's listed weight times its factor; a started or returned server begins at a share.
func (c *Controller) weight(s *server) float64 {
	factor := s.factor
	if now := c.present(s); now < 1 {
		factor = min(factor, max(startShare, now))
	}
	if back := c.now - s.returnedAt; s.returnedAt > 0 && back < returnTime {
		factor = min(factor, startShare+(1-startShare)*back/returnTime)
	}
	return s.Weight * factor
}

// shares fixes each server's part of all traffic. Cold budget: guards the rule that a started server is never
// pushed over. Its share stays under what it can do if the whole fleet ran full, so planners need not agree.
// Last line: no proxy is left without a server; if none is usable, all ready ones count, doubted or not.
func (c *Controller) shares() {
	var ready, usable, total, warm, cold float64 // servers; weight of all and the warm, share of the cold
	c.listed, c.usable, c.fit = 0, 0, 1
	for _, s := range c.servers {
		if s.State == Ready {
			ready++
			c.listed += s.Weight * max(startShare, c.present(s))
		}
		if s.usable() {
			usable++
		}
	}
	for _, s := range c.servers {
		s.share = 0
		if s.inTables = s.usable() || usable == 0 && s.State == Ready; s.inTables {
			s.share = c.weight(s)
			total += s.share
			c.usable++
			if c.present(s) == 1 {
				warm += s.share
			}
		}
	}
	for _, s := range c.servers {
		if now := c.present(s); s.inTables && now < 1 {
			s.share = min(s.share/max(1e-9, total), warmupSafety*c.set.FallMultiple*now/ready)
			cold += s.share
		}
	}
	if warm == 0 && total > 0 {
		c.fit = max(minFit, cold)
	}
	for _, s := range c.servers {
		if c.present(s) == 1 && warm > 0 {
			s.share *= (1 - cold) / warm
		} else {
			s.share /= c.fit
		}
	}
}
