package cores

// Probes shares probes among cores. Each core's module doubts a server by itself and probes it each second; the server
// should still meet one planner. An ask joins the probe under way; otherwise it gets the last answer, if it has not had it
// and the answer is no older than the pace at which the server is being probed; otherwise it starts a probe.
type Probes struct {
	servers map[string]*probed
}

// probed is a server that has been probed.
type probed struct {
	started    float64 // the latest probe
	pace       float64 // between the latest two; 0: there was one
	inFlight   bool    // it is under way
	waiting    []int   // cores that get its answer
	answeredTo map[int]bool
	answered   bool
}

// maxProbed bounds the servers that are remembered; those of no probe under way go first.
const maxProbed = 1024

// Request is a core's wish to have a server probed. Start says that a probe is to be made now; otherwise, if again is true, the
// core is to be told the latest answer at once, and if not, the one that is on its way.
func (p *Probes) Request(now float64, server string, core int) (start, repeat bool) {
	if p.servers == nil {
		p.servers = map[string]*probed{}
	}
	s := p.servers[server]
	if s == nil {
		p.prune()
		s = &probed{}
		p.servers[server] = s
	}
	switch {
	case s.inFlight:
		s.waiting = append(s.waiting, core)
		return false, false
	case s.answered && !s.answeredTo[core] && s.pace > 0 && now-s.started <= s.pace:
		s.answeredTo[core] = true
		return false, true
	}
	if s.answered {
		s.pace = now - s.started
	}
	s.started, s.inFlight, s.answered, s.waiting, s.answeredTo = now, true, false, []int{core}, map[int]bool{}
	return true, false
}

// Complete ends the probe under way and returns the cores that are to be told.
func (p *Probes) Complete(server string) []int {
	s := p.servers[server]
	if s == nil || !s.inFlight {
		return nil
	}
	for _, core := range s.waiting {
		s.answeredTo[core] = true
	}
	waiting := s.waiting
	s.inFlight, s.answered, s.waiting = false, true, nil
	return waiting
}

func (p *Probes) prune() {
	if len(p.servers) < maxProbed {
		return
	}
	for name, s := range p.servers {
		if !s.inFlight {
			delete(p.servers, name)
		}
	}
}

// Known says whether a server's latest answer may still be asked for.
func (p *Probes) Known(server string) bool { return p.servers[server] != nil }
