package soak

import (
	"fmt"
	"slices"
	"time"
)

// auditConfig finds reads that are older than what was acknowledged, or not what was sent under their number, and a
// configuration that is not read back at the end.
func (a *audit) auditConfig() {
	routes := map[int]int{0: 0}
	for _, call := range a.Calls {
		routes[call.Version] = call.Routes
	}
	for _, read := range a.Reads {
		newest := a.newestAcked(read.SentAt - applyBound - a.tolerance(read.SentAt))
		switch sent, known := routes[read.Version]; {
		case read.Version < newest:
			a.findConfig(read, fmt.Sprintf("%s answers r%d, r%d was acknowledged over %s before", read.Node, read.Version, newest,
				applyBound))
		case !known || sent != read.Routes:
			a.findConfig(read, fmt.Sprintf("%s answers r%d with %d routes, which nobody sent", read.Node, read.Version,
				read.Routes))
		}
	}
	a.auditReadBack()
}

// newestAcked is the newest version that had been acknowledged at a time.
func (a *audit) newestAcked(at time.Duration) (newest int) {
	for _, call := range a.Calls {
		if call.AckedAt > 0 && call.AckedAt <= at {
			newest = max(newest, call.Version)
		}
	}
	return newest
}

// auditReadBack checks the reads after the end of traffic.
func (a *audit) auditReadBack() {
	newest, latest := a.newestAcked(a.EndedAt), -1
	for _, read := range a.Reads {
		if read.SentAt >= a.QuietAt {
			latest = max(latest, read.Version)
		}
	}
	if latest < newest {
		a.found = append(a.found, Breach{Rule: Config, At: a.EndedAt,
			What: fmt.Sprintf("r%d was acknowledged, and r%d is read back at the end (-1: nothing)", newest, latest)})
	}
}

func (a *audit) findConfig(read ConfigRead, what string) {
	a.found = append(a.found, Breach{Rule: Config, At: read.EndedAt, What: what, Node: read.Node})
}

// signalWindow is how long after its start a process may still have the system's own action on SIGTERM: until the packages
// of its libraries are initialized (40 ms on a busy machine) and by as much as hundreds of starts at once add to that. It
// holds nothing by then, serves nobody, and was asked to end. A SIGHUP may end no process at any time.
const signalWindow = 250 * time.Millisecond

// auditProcesses finds processes that ended by themselves, outlasted their grace, or did not end in order.
func (a *audit) auditProcesses() {
	for node, changes := range a.changes {
		last, startedAt := Change(""), time.Duration(0)
		for _, change := range changes {
			switch {
			case change.What == Started:
				startedAt = change.At
			case endedBySIGTERM(change) && change.At-startedAt < signalWindow:
			case change.What == Failed:
				a.findFault(node, change.At, "ended by itself: "+change.Text)
			case change.What == Overdue && !a.suspendedWithin(node, change.At-grace, change.At):
				a.findFault(node, change.At, "was still running at the end of its grace")
			case change.What == Ended && change.Text != "" && last == Terminated:
				a.findFault(node, change.At, "did not end in order after SIGTERM: "+change.Text)
			}
			if change.What != Reloaded {
				last = change.What
			}
		}
	}
}

// endedBySIGTERM reports whether a process ended by the system's own action on SIGTERM, which it handles otherwise.
func endedBySIGTERM(change ProcessChange) bool { return change.Text == "signal: terminated" }

// suspendedWithin reports whether a process was stopped or resumed in a span: then its grace went by without it.
func (a *audit) suspendedWithin(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(a.changes[node], func(c ProcessChange) bool {
		return (c.What == Suspended || c.What == Resumed) && c.At >= from && c.At <= to
	})
}

func (a *audit) findFault(node string, at time.Duration, what string) {
	a.found = append(a.found, Breach{Rule: Fault, At: at, What: node + " " + what, Node: node})
}
