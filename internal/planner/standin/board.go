package standin

import (
	"maps"
	"sync"
)

// stateMonitor shows what a proxy holds, by whichever protocol it got it.
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

// State is a copy of what the proxy holds now.
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

// Wait returns once what the proxy holds is as wanted, or its stream has ended.
func (b *stateMonitor) Wait(wanted func(State) bool) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !wanted(b.state) && b.state.Closed == nil {
		b.changed.Wait()
	}
	return b.copyState()
}

// update changes what the proxy holds.
func (b *stateMonitor) update(change func(*State)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.state)
	b.changed.Broadcast()
}
