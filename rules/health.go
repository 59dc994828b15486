package rules

// Who is kept out, and for how long.

// health keeps out servers that answer nothing and lets them in again, eased, once their probes are answered.
// It guards against whatever swallows requests: hung or silent servers, cut links, dead processes that the
// list still shows. It could harm when all is slow at once: doubt keeps out a share of the fleet at most.
func (c *Controller) health() {
	var ready, out float64
	for _, s := range c.servers {
		if s.State == Ready && !s.unlisted {
			ready++
			if s.doubted {
				out++
			}
		}
	}
	latency, failing := c.latency(), c.pressure > collapse || c.filled < filledEnough
	// Where a line meets too few tries for its proxy to avoid a server that is cold, traffic stays where the
	// tables send it, within the cold budget. Guards against holding out most of a fleet that was replaced.
	avoided := c.usual*c.set.WarmupTime/1000 >= avoidTries*c.lines
	for _, s := range c.servers {
		// Proxies avoid servers that fail them, so in a collapse all their traffic runs to the few that have
		// not failed yet: no cold server is put there before the fleet answers again.
		s.kept = c.present(s) < 1 && failing && avoided
		if s.State != Ready {
			continue
		}
		dry := s.dry >= dryTries && c.now-s.drySince >= dryLatency*latency
		if !s.doubted && dry && (s.unlisted || out+1 <= maxDoubt*ready) {
			out++
			s.doubted, s.until, s.alive, s.nextProbe = true, c.now+s.hold, 0, c.now
			s.hold = min(maxHold, 2*s.hold)
			c.log("server %d out: %v tries without an answer, listed %t", s.ID, s.dry, !s.unlisted)
		}
		if s.doubted && c.now >= s.until && (s.alive >= probesAlive || !c.set.Probes) {
			out--
			s.doubted, s.dry, s.returnedAt, s.errors = false, 0, c.now, nil
			c.log("server %d back", s.ID)
		}
		if s.doubted && c.set.Probes && c.now >= s.nextProbe {
			s.nextProbe = c.now + probeBackoff
			c.out = append(c.out, Probe{Server: s.ID})
		}
	}
}
