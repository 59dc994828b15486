package standin

import (
	"maps"
	"sync"
)

// stateMonitor holds the state of a proxy of either protocol, and signals its changes. It is safe for concurrent use.
type stateMonitor struct {
	mu      *sync.Mutex
	changed *sync.Cond
	state   State
}

func newStateMonitor() stateMonitor {
	mu := &sync.Mutex{}
	return stateMonitor{mu: mu, changed: sync.NewCond(mu),
		state: State{Table: map[string]float64{}, Levels: map[string]float64{}, Excluded: map[string]bool{}}}
}

// State returns a copy of the proxy's current state.
func (b *stateMonitor) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.copyState()
}

func (b *stateMonitor) copyState() State {
	s := b.state
	s.Table, s.Levels, s.Excluded = maps.Clone(s.Table), maps.Clone(s.Levels), maps.Clone(s.Excluded)
	return s
}

// Wait returns the proxy's state once wanted returns true for it or the stream has ended.
func (b *stateMonitor) Wait(wanted func(State) bool) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !wanted(b.state) && b.state.Closed == nil {
		b.changed.Wait()
	}
	return b.copyState()
}

// update applies a change to the proxy's state and wakes the waiters.
func (b *stateMonitor) update(change func(*State)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.state)
	b.changed.Broadcast()
}
