package soak

import (
	"cmp"
	"slices"
	"time"
)

// Rule is a rule of the users' pages.
type Rule string

// The rules that are audited.
const (
	Lost    Rule = "LOST"
	Gone    Rule = "GONE"
	Denied  Rule = "DENIED"
	Mixed   Rule = "MIXED"
	Twice   Rule = "TWICE"
	Refused Rule = "REFUSED"
	Budget  Rule = "BUDGET"
	Drain   Rule = "DRAIN"
	Config  Rule = "CONFIG"
	Fault   Rule = "FAULT"
)

// Rules are all of them, in the order of reports.
var Rules = []Rule{Lost, Gone, Denied, Mixed, Twice, Refused, Budget, Drain, Config, Fault}

// baseTolerance is what a time in the record may be off on an idle machine: a scheduling of the process, of the client and
// of the server. What the soak measures of its own lateness comes on top.
const baseTolerance = 100 * time.Millisecond

// Breach is a rule that was broken.
type Breach struct {
	Rule    Rule
	At      time.Duration
	What    string
	Request string // id of the attempt; "" where it is not about one
	Node    string // process concerned; "" where none is
}

// audit holds a record, and what is looked up in it.
type audit struct {
	*Record
	runs     map[string][]ServerRun // by attempt
	runsKey  map[string][]ServerRun // by key
	requests map[string]Request
	changes  map[string][]ProcessChange // by process, in order
	core     []ProcessChange            // of controllers
	found    []Breach
}

// Audit checks a record against the rules and gives the breaches in the order of their times.
func Audit(record *Record) []Breach {
	a := &audit{Record: record, runs: map[string][]ServerRun{}, runsKey: map[string][]ServerRun{}, requests: map[string]Request{},
		changes: map[string][]ProcessChange{}}
	for _, run := range record.Runs {
		a.runs[run.ID] = append(a.runs[run.ID], run)
		if run.Key != "" {
			a.runsKey[run.Key] = append(a.runsKey[run.Key], run)
		}
	}
	for _, request := range record.Requests {
		a.requests[request.ID] = request
	}
	controllers := record.Schedule.Size.controllerNames()
	for _, change := range record.Processes {
		a.changes[change.Node] = append(a.changes[change.Node], change)
		if slices.Contains(controllers, change.Node) {
			a.core = append(a.core, change)
		}
	}
	for _, check := range []func(){a.auditLost, a.auditGone, a.auditDenied, a.auditRepeats, a.auditMixed, a.auditTwice,
		a.auditRefused, a.auditBudget, a.auditDeadlines, a.auditDrain, a.auditConfig, a.auditProcesses} {
		check()
	}
	slices.SortStableFunc(a.found, func(x, y Breach) int { return cmp.Compare(x.At, y.At) })
	return a.found
}

func (a *audit) find(rule Rule, at time.Duration, what string, request Request) {
	a.found = append(a.found, Breach{Rule: rule, At: at, What: what, Request: request.ID, Node: request.Edge})
}

// tolerance is what times around one may be off.
func (a *audit) tolerance(at time.Duration) time.Duration {
	return baseTolerance + a.delayAround(at) + a.longestThrottleAround(at)
}

// troubled reports whether a process had an unplanned fault in a span.
func (a *audit) troubled(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(a.changes[node], func(c ProcessChange) bool {
		return c.What.unplanned() && c.At >= from && c.At <= to
	})
}

// changed reports whether anything happened to one of the processes in a span.
func changed(changes []ProcessChange, from, to time.Duration) bool {
	return slices.ContainsFunc(changes, func(c ProcessChange) bool { return c.At >= from && c.At <= to })
}

// inTouch reports whether an edge was in touch throughout the contact time before a moment: it ran, and the core was settled.
func (a *audit) inTouch(node string, at time.Duration) bool {
	return !changed(a.changes[node], at-contactBound, at) && !changed(a.core, at-contactBound, at)
}

// terminatedBefore is the SIGTERM of a process by which it was ending at a moment; ok: there was one, not longer ago than a
// grace lasts. Of several to the same process the first counts: the grace begins with it.
func (a *audit) terminatedBefore(node string, at time.Duration) (when time.Duration, ok bool) {
	for _, c := range a.changes[node] {
		switch {
		case c.At > at:
		case c.What == Started:
			ok = false
		case c.What == Terminated && !ok:
			when, ok = c.At, true
		}
	}
	return when, ok && at-when <= grace+time.Second
}
