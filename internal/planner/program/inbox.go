package program

import (
	"sync"

	"mulleinwood/internal/planner/routing"
)

// maxPendingReports is the most reports queued for a core. Further senders block until the core drains its inbox or is isolated.
const maxPendingReports = 4096

// inbox is the queue of one core. Control events of the supervisor take precedence over reports, so that a core with a backlog
// of reports learns of a list change in its next turn.
type inbox struct {
	mu      sync.Mutex
	hasRoom sync.Cond
	control []routing.Event // the supervisor's events, in order
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

// postControl queues an event of the supervisor. It never blocks, since there are few.
func (in *inbox) postControl(e routing.Event) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.closed {
		in.control = append(in.control, e)
		in.notify()
	}
}

// postReport queues a report and blocks while the queue is full. A report for a core that was isolated is dropped.
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

// drain returns the queued events and reuses the given slices for the next ones.
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

// close discards the queue, wakes blocked senders and makes the inbox drop all later events.
func (in *inbox) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.closed, in.control, in.reports = true, nil, nil
	in.hasRoom.Broadcast()
	in.notify()
}
