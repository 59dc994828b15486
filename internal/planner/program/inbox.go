package program

import (
	"sync"

	"mulleinwood/internal/planner/routing"
)

// maxPendingReports is how many reports may wait for a core. Who brings more waits, until the core has taken some or is cut off.
const maxPendingReports = 4096

// inbox is what waits for one core. What the host says comes before the reports, so that a core far behind with these
// learns of a change of the list with its next turn.
type inbox struct {
	mu      sync.Mutex
	hasRoom sync.Cond
	control []routing.Event // of the host, in order
	reports []routing.Event
	closed  bool
	wake    chan struct{}
}

func newInbox() *inbox {
	in := &inbox{wake: make(chan struct{}, 1)}
	in.hasRoom.L = &in.mu
	return in
}

func (in *inbox) notify() {
	select {
	case in.wake <- struct{}{}:
	default:
	}
}

// postControl adds an order of the host. It never waits: there are few.
func (in *inbox) postControl(e routing.Event) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.closed {
		in.control = append(in.control, e)
		in.notify()
	}
}

// postReport adds a report, and waits while too many do. One for a core that was cut off is dropped.
func (in *inbox) postReport(e routing.Event) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for len(in.reports) >= maxPendingReports && !in.closed {
		in.hasRoom.Wait()
	}
	if in.closed {
		return
	}
	if in.reports = append(in.reports, e); len(in.reports) == 1 {
		in.notify()
	}
}

// drain empties the inbox into the lists given, which it keeps for the next time.
func (in *inbox) drain(control, reports []routing.Event) (pendingControl, pendingReports []routing.Event) {
	clear(control)
	clear(reports)
	in.mu.Lock()
	defer in.mu.Unlock()
	pendingControl, pendingReports = in.control, in.reports
	in.control, in.reports = control[:0], reports[:0]
	in.hasRoom.Broadcast()
	return pendingControl, pendingReports
}

// close lets nobody wait any more and takes nothing from now on.
func (in *inbox) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed, in.control, in.reports = true, nil, nil
	in.hasRoom.Broadcast()
	in.notify()
}
