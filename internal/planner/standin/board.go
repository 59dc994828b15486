package standin

import (
	"maps"
	"sync"
)

// board shows what a proxy holds, by whichever protocol it got it.
type board struct {
	mu     *sync.Mutex
	change *sync.Cond
	state  State
}

func newBoard() board {
	mu := &sync.Mutex{}
	return board{mu: mu, change: sync.NewCond(mu),
		state: State{Table: map[string]float64{}, Levels: map[string]float64{}, Excluded: map[string]bool{}}}
}

// State is a copy of what the proxy holds now.
func (b *board) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.copy()
}

func (b *board) copy() State {
	s := b.state
	s.Table, s.Levels, s.Excluded = maps.Clone(s.Table), maps.Clone(s.Levels), maps.Clone(s.Excluded)
	return s
}

// Wait returns once what the proxy holds is as wanted, or its stream has ended.
func (b *board) Wait(wanted func(State) bool) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !wanted(b.state) && b.state.Closed == nil {
		b.change.Wait()
	}
	return b.copy()
}

// alter changes what the proxy holds.
func (b *board) alter(change func(*State)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.state)
	b.change.Broadcast()
}
