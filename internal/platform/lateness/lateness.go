// Package lateness measures by how much a process runs behind its own timers: because its share of the processor is spent,
// because others have the processor, or because it stood still.
package lateness

import (
	"sync"
	"time"
)

// window is how long a measured lateness counts: a quota's pauses come in each of its periods, of a second at most.
const window = 5 * time.Second

// Meter holds the greatest lateness of the last seconds. Times are on any steady clock. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	current sample // the greatest of this window
	last    sample // the greatest of the window before
}

// sample is the greatest lateness since a time.
type sample struct {
	since time.Duration
	worst time.Duration
}

// Observe notes that something that was due at one time was done at another.
func (m *Meter) Observe(due, done time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(done)
	m.current.worst = max(m.current.worst, done-due)
}

// Worst is the greatest lateness within a window or two before now.
func (m *Meter) Worst(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return max(m.current.worst, m.last.worst)
}

func (m *Meter) advance(now time.Duration) {
	switch age := now - m.current.since; {
	case age >= 2*window:
		m.last, m.current = sample{}, sample{since: now}
	case age >= window:
		m.last, m.current = m.current, sample{since: now}
	}
}
