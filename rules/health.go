package rules

// Which servers are excluded, and for how long.

// checkHealth excludes servers that answer nothing, and readmits them with a slow start once their probes are
// answered. It covers hung or unresponsive servers, broken links, and dead processes that are still listed.
// As it would do harm when the whole fleet is slow at once, suspicion excludes a limited share of the fleet.
func (c *Controller) checkHealth() {
	ready, suspected := c.countSuspected()
	latency := c.medianLatency()
	excludeCold := (c.pressure > collapsePressure || c.averageFill < minFill) && c.proxiesAvoidServers()
	for _, s := range c.servers {
		// Proxies avoid servers whose requests fail, so in a collapse all their traffic goes to the few that
		// have not failed yet: no cold server is added to these before the fleet answers again.
		s.coldExcluded = c.warmCapacity(s) < 1 && excludeCold
		if s.State != Ready {
			continue
		}
		silent := s.unanswered >= suspectAttempts && c.now-s.unansweredSince >= suspectLatencies*latency
		if !s.suspected && silent && (s.unlisted || suspected+1 <= maxSuspectedShare*ready) {
			suspected++
			c.suspect(s)
		}
		if s.suspected && c.now >= s.suspectedUntil &&
			(s.probesAnswered >= probesToReturn || !c.settings.Probes) {
			suspected--
			c.clearSuspicion(s)
		}
		if s.suspected && c.settings.Probes && c.now >= s.nextProbe {
			s.nextProbe = c.now + probeInterval
			c.actions = append(c.actions, Probe{Server: s.ID})
		}
	}
}

// countSuspected counts the servers that are listed ready, and those of them that are suspected.
func (c *Controller) countSuspected() (ready, suspected float64) {
	for _, s := range c.servers {
		if s.State != Ready || s.unlisted {
			continue
		}
		ready++
		if s.suspected {
			suspected++
		}
	}
	return ready, suspected
}

// proxiesAvoidServers reports whether a line carries enough attempts during a warm-up for its proxy to avoid
// a cold server. Otherwise traffic stays where the tables send it, within the cold budget. This guards
// against excluding most of a fleet that was replaced.
func (c *Controller) proxiesAvoidServers() bool {
	return c.typicalRate*c.settings.WarmupTime/1000 >= avoidanceAttempts*c.totalLines
}

// suspect excludes a server for at least nextSuspicion, which doubles each time up to maxSuspicionTime.
func (c *Controller) suspect(s *server) {
	s.suspected, s.suspectedUntil = true, c.now+s.nextSuspicion
	s.probesAnswered, s.nextProbe = 0, c.now
	s.nextSuspicion = min(maxSuspicionTime, 2*s.nextSuspicion)
	c.log("server %d out: %v tries without an answer, listed %t", s.ID, s.unanswered, !s.unlisted)
}

// clearSuspicion readmits a server and begins its slow start.
func (c *Controller) clearSuspicion(s *server) {
	s.suspected, s.unanswered, s.returnedAt, s.recentErrors = false, 0, c.now, nil
	c.log("server %d back", s.ID)
}
