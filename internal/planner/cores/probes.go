package cores

// Probes deduplicates the health probes of all cores. Each core's decision module probes a suspected server once a second on
// its own, but the server should receive the probes of a single planner. A request joins a probe in flight. Otherwise it
// gets the latest result, if that core has not had it and it is no older than the current probe interval of the server.
// Otherwise it starts a new probe. The zero value is ready to use. Probes is not safe for concurrent use.
type Probes struct {
	servers map[string]*probeState
}

// probeState is the state of the probes of one server.
type probeState struct {
	startedAt   float64      // time of the latest probe
	interval    float64      // time between the latest two probes; 0 if there was only one
	inFlight    bool         // the latest probe has no result yet
	waiters     []int        // cores that get the result of the probe in flight
	deliveredTo map[int]bool // cores that have had the latest result
	answered    bool
}

// maxTrackedServers limits the number of tracked servers. Beyond it, those without a probe in flight are dropped.
const maxTrackedServers = 1024

// Request handles a core's request to probe a server. If start is true, the caller must probe the server now. If repeat is
// true, the caller must send the core the latest result at once. If neither is, the core gets the result of the probe in
// flight.
func (p *Probes) Request(now float64, server string, core int) (start, repeat bool) {
	if p.servers == nil {
		p.servers = map[string]*probeState{}
	}
	state := p.servers[server]
	if state == nil {
		p.prune()
		state = &probeState{}
		p.servers[server] = state
	}
	switch {
	case state.inFlight:
		state.waiters = append(state.waiters, core)
		return false, false
	case state.answered && !state.deliveredTo[core] && state.interval > 0 && now-state.startedAt <= state.interval:
		state.deliveredTo[core] = true
		return false, true
	}
	if state.answered {
		state.interval = now - state.startedAt
	}
	state.startedAt, state.inFlight, state.answered, state.waiters, state.deliveredTo = now, true, false, []int{core},
		map[int]bool{}
	return true, false
}

// Complete ends the probe in flight and returns the cores that must be sent its result.
func (p *Probes) Complete(server string) []int {
	state := p.servers[server]
	if state == nil || !state.inFlight {
		return nil
	}
	for _, core := range state.waiters {
		state.deliveredTo[core] = true
	}
	waiters := state.waiters
	state.inFlight, state.answered, state.waiters = false, true, nil
	return waiters
}

// prune drops all servers without a probe in flight if the limit is reached.
func (p *Probes) prune() {
	if len(p.servers) < maxTrackedServers {
		return
	}
	for name, state := range p.servers {
		if !state.inFlight {
			delete(p.servers, name)
		}
	}
}

// Known reports whether a server is tracked, so that its latest result may still be requested.
func (p *Probes) Known(server string) bool { return p.servers[server] != nil }
