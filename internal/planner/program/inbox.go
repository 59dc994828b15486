package program

import (
	"sync"

	"mulleinwood/internal/planner/routing"
)

// maxReports is how many reports may wait for a core. Who brings more waits, until the core has taken some or is cut off.
const maxReports = 4096

// inbox is what waits for one core. What the host says comes before the reports, so that a core far behind with these
// learns of a change of the list with its next turn.
type inbox struct {
	mu      sync.Mutex
	room    sync.Cond
	orders  []routing.Event // of the host, in order
	reports []routing.Event
	closed  bool
	wake    chan struct{}
}

func newInbox() *inbox {
	in := &inbox{wake: make(chan struct{}, 1)}
	in.room.L = &in.mu
	return in
}

func (in *inbox) ring() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// order adds an order of the host. It never waits: there are few.
func (in *inbox) order(e routing.Event) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.closed {
		in.orders = append(in.orders, e)
		in.ring()
	}
}

// report adds a report, and waits while too many do. One for a core that was cut off is dropped.
func (in *inbox) report(e routing.Event) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for len(in.reports) >= maxReports && !in.closed {
		in.room.Wait()
	}
	if in.closed {
		return
	}
	if in.reports = append(in.reports, e); len(in.reports) == 1 {
		in.ring()
	}
}

// take empties the inbox into the lists given, which it keeps for the next time.
func (in *inbox) take(orders, reports []routing.Event) (o, r []routing.Event) {
	clear(orders)
	clear(reports)
	in.mu.Lock()
	defer in.mu.Unlock()
	o, r = in.orders, in.reports
	in.orders, in.reports = orders[:0], reports[:0]
	in.room.Broadcast()
	return o, r
}

// close lets nobody wait any more and takes nothing from now on.
func (in *inbox) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed, in.orders, in.reports = true, nil, nil
	in.room.Broadcast()
	in.ring()
}
