package rules

// Who is kept out, and for how long.

// checkHealth keeps out servers that answer nothing and lets them in again, eased, once their probes are
// answered. It guards against whatever swallows requests: hung or silent servers, cut links, dead processes
// that the list still shows. It could harm when all is slow at once: suspicion keeps out a share of the fleet
// at most.
func (c *Controller) checkHealth() {
	ready, out := c.countSuspected()
	latency := c.latency()
	holdBack := (c.pressure > collapse || c.averageFill < filledEnough) && c.proxiesAvoidServers()
	for _, s := range c.servers {
		// Proxies avoid servers that fail them, so in a collapse all their traffic runs to the few that have
		// not failed yet: no cold server is put there before the fleet answers again.
		s.heldBack = c.warmCapacity(s) < 1 && holdBack
		if s.State != Ready {
			continue
		}
		silent := s.unanswered >= suspectTries && c.now-s.unansweredSince >= suspectLatencies*latency
		if !s.suspected && silent && (s.unlisted || out+1 <= maxSuspected*ready) {
			out++
			c.suspect(s)
		}
		if s.suspected && c.now >= s.suspectedUntil &&
			(s.probesAnswered >= probesToReturn || !c.settings.Probes) {
			out--
			c.clearSuspicion(s)
		}
		if s.suspected && c.settings.Probes && c.now >= s.nextProbe {
			s.nextProbe = c.now + probeBackoff
			c.actions = append(c.actions, Probe{Server: s.ID})
		}
	}
}

// countSuspected counts the servers that are listed ready, and those of them that are kept out.
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

// proxiesAvoidServers says whether a line meets enough tries for its proxy to avoid a server that is cold.
// Where it does not, traffic stays where the tables send it, within the cold budget. Guards against holding
// out most of a fleet that was replaced.
func (c *Controller) proxiesAvoidServers() bool {
	return c.typicalRate*c.settings.WarmupTime/1000 >= avoidTries*c.totalLines
}

// suspect keeps a server out, each time for twice as long as before.
func (c *Controller) suspect(s *server) {
	s.suspected, s.suspectedUntil = true, c.now+s.nextSuspicion
	s.probesAnswered, s.nextProbe = 0, c.now
	s.nextSuspicion = min(maxSuspicion, 2*s.nextSuspicion)
	c.log("server %d out: %v tries without an answer, listed %t", s.ID, s.unanswered, !s.unlisted)
}

// clearSuspicion lets a server in again.
func (c *Controller) clearSuspicion(s *server) {
	s.suspected, s.unanswered, s.returnedAt, s.recentErrors = false, 0, c.now, nil
	c.log("server %d back", s.ID)
}
