package soak

import (
	"fmt"
	"slices"
	"time"
)

// auditConfig finds reads that return a version older than an acknowledged one, reads whose content differs from what was sent
// under their version, and a configuration that is not read back at the end.
func (a *audit) auditConfig() {
	routes := map[int]int{0: 0}
	for _, call := range a.Calls {
		routes[call.Version] = call.Routes
	}
	for _, read := range a.Reads {
		newest := a.newestAcked(read.SentAt - applyBound - a.tolerance(read.SentAt))
		switch sent, known := routes[read.Version]; {
		case read.Version < newest:
			a.reportConfig(read, fmt.Sprintf("%s answers r%d, r%d was acknowledged over %s before", read.Node, read.Version,
				newest, applyBound))
		case !known || sent != read.Routes:
			a.reportConfig(read, fmt.Sprintf("%s answers r%d with %d routes, which nobody sent", read.Node, read.Version,
				read.Routes))
		}
	}
	a.auditReadBack()
}

// newestAcked returns the newest version that was acknowledged by the given time.
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
		a.breaches = append(a.breaches, Breach{Rule: Config, At: a.EndedAt,
			What: fmt.Sprintf("r%d was acknowledged, and r%d is read back at the end (-1: nothing)", newest, latest)})
	}
}

// reportConfig adds a breach of CONFIG about a read.
func (a *audit) reportConfig(read ConfigRead, what string) {
	a.breaches = append(a.breaches, Breach{Rule: Config, At: read.EndedAt, What: what, Node: read.Node})
}

// signalWindow is how long after its start a process may still exit by the default action of SIGTERM. Until the packages of its
// libraries are initialized (40 ms on a busy machine, more with hundreds of simultaneous starts) no handler is installed. The
// process has no state and no clients by then, and was asked to exit. SIGHUP may never end a process.
const signalWindow = 250 * time.Millisecond

// auditProcesses finds processes that exited without a signal, outlasted their grace period, or failed to exit gracefully.
func (a *audit) auditProcesses() {
	for node, changes := range a.changes {
		last, startedAt := Change(""), time.Duration(0)
		for _, change := range changes {
			switch {
			case change.What == Started:
				startedAt = change.At
			case endedBySIGTERM(change) && change.At-startedAt < signalWindow:
			case change.What == Failed:
				a.reportFault(node, change.At, "ended by itself: "+change.Text)
			case change.What == Overdue && !a.suspendedWithin(node, change.At-grace, change.At):
				a.reportFault(node, change.At, "was still running at the end of its grace")
			case change.What == Ended && change.Text != "" && last == Terminated:
				a.reportFault(node, change.At, "did not end in order after SIGTERM: "+change.Text)
			}
			if change.What != Reloaded {
				last = change.What
			}
		}
	}
}

// endedBySIGTERM reports whether a process was ended by the default action of SIGTERM instead of its own handler.
func endedBySIGTERM(change ProcessChange) bool { return change.Text == "signal: terminated" }

// suspendedWithin reports whether a process was suspended or resumed between from and to: it could not use that part of its
// grace period.
func (a *audit) suspendedWithin(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(a.changes[node], func(c ProcessChange) bool {
		return (c.What == Suspended || c.What == Resumed) && c.At >= from && c.At <= to
	})
}

// reportFault adds a breach of FAULT about a process.
func (a *audit) reportFault(node string, at time.Duration, what string) {
	a.breaches = append(a.breaches, Breach{Rule: Fault, At: at, What: node + " " + what, Node: node})
}
