package soak

import (
	"cmp"
	"slices"
	"time"
)

// Rule is the name of a rule of the users' pages.
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

// Rules lists all rules in the order of reports.
var Rules = []Rule{Lost, Gone, Denied, Mixed, Twice, Refused, Budget, Drain, Config, Fault}

// baseTolerance is the error of a recorded time on an idle machine, due to the scheduling of the process, the client and the
// server. The measured delay of the soak itself is added to it.
const baseTolerance = 100 * time.Millisecond

// Breach is a violation of a rule.
type Breach struct {
	Rule    Rule
	At      time.Duration
	What    string
	Request string // ID of the attempt; "" if the breach concerns none
	Node    string // name of the process; "" if the breach concerns none
}

// audit contains a record and indexes into it.
type audit struct {
	*Record
	runs              map[string][]ServerRun // by attempt ID
	runsByKey         map[string][]ServerRun // by operation key
	requests          map[string]Request
	changes           map[string][]ProcessChange // by process, in the order of time
	controllerChanges []ProcessChange            // changes of all controllers
	breaches          []Breach
}

// Audit checks a record against the rules and returns the breaches ordered by time.
func Audit(record *Record) []Breach {
	a := &audit{Record: record, runs: map[string][]ServerRun{}, runsByKey: map[string][]ServerRun{},
		requests: map[string]Request{}, changes: map[string][]ProcessChange{}}
	for _, run := range record.Runs {
		a.runs[run.ID] = append(a.runs[run.ID], run)
		if run.Key != "" {
			a.runsByKey[run.Key] = append(a.runsByKey[run.Key], run)
		}
	}
	for _, request := range record.Requests {
		a.requests[request.ID] = request
	}
	controllers := record.Schedule.Size.controllerNames()
	for _, change := range record.Processes {
		a.changes[change.Node] = append(a.changes[change.Node], change)
		if slices.Contains(controllers, change.Node) {
			a.controllerChanges = append(a.controllerChanges, change)
		}
	}
	for _, check := range []func(){a.auditLost, a.auditGone, a.auditDenied, a.auditRepeats, a.auditMixed, a.auditTwice,
		a.auditRefused, a.auditBudget, a.auditDeadlines, a.auditDrain, a.auditConfig, a.auditProcesses} {
		check()
	}
	slices.SortStableFunc(a.breaches, func(x, y Breach) int { return cmp.Compare(x.At, y.At) })
	return a.breaches
}

// report adds a breach about a request, or about none if request is the zero value.
func (a *audit) report(rule Rule, at time.Duration, what string, request Request) {
	a.breaches = append(a.breaches, Breach{Rule: rule, At: at, What: what, Request: request.ID, Node: request.Edge})
}

// tolerance returns the possible error of recorded times around at.
func (a *audit) tolerance(at time.Duration) time.Duration {
	return baseTolerance + a.delayAround(at) + a.longestThrottleAround(at)
}

// hadFault reports whether a process had an unplanned fault between from and to.
func (a *audit) hadFault(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(a.changes[node], func(c ProcessChange) bool {
		return c.What.unplanned() && c.At >= from && c.At <= to
	})
}

// changed reports whether changes has an entry between from and to.
func changed(changes []ProcessChange, from, to time.Duration) bool {
	return slices.ContainsFunc(changes, func(c ProcessChange) bool { return c.At >= from && c.At <= to })
}

// inContact reports whether an edge had contact with the controllers throughout contactBound before at: neither its process
// nor any controller changed in that time.
func (a *audit) inContact(node string, at time.Duration) bool {
	return !changed(a.changes[node], at-contactBound, at) && !changed(a.controllerChanges, at-contactBound, at)
}

// terminatedBefore returns the time of the SIGTERM that started the shutdown of a process in progress at the given time. ok
// reports whether there was one, at most a grace period and one second earlier. Of several SIGTERMs to the same process the
// first counts, because the grace period starts with it.
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
