package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

const (
	at      = 100 * time.Second // time of the request in the cases
	millis  = time.Millisecond
	second  = time.Second
	anEdge  = "edge-1"
	aServer = "i-lookups-1"
)

// auditCase is a record that breaks a rule, and a change that removes the fault.
type auditCase struct {
	name   string
	rule   Rule
	record func() *Record
	repair func(*Record) // changes the record to what the rule allows
}

// successful returns a request to which a server responded, and its run.
func successful(kind RequestKind) (Request, ServerRun) {
	request := Request{ID: "a-1", Kind: kind, Edge: anEdge, StartedAt: at, SentAt: at + millis, DeadlineAt: at + 2*second,
		EndedAt: at + 50*millis, Kept: true, Status: http.StatusOK, Complete: true, Seal: "s", Digest: 7}
	run := ServerRun{ID: "a-1", Service: lookupService, Server: aServer, Incarnation: 1, ArrivedAt: at + 5*millis, EndedAt: at + 45*millis,
		DeadlineMS: 1990, Planned: 40 * millis, Status: http.StatusOK, Seal: "s", Digest: 7, Outcome: RunComplete}
	if kind == Post {
		request.Key, run.Key = "k-1", "k-1"
	}
	return request, run
}

// recordOf returns a function that creates a record of one request and one run and applies change to it.
func recordOf(kind RequestKind, change func(*Record, *Request, *ServerRun)) func() *Record {
	return func() *Record {
		request, run := successful(kind)
		record := &Record{Schedule: Schedule{Size: Size{Controllers: 3, Edges: 3}}, EndedAt: 200 * second, QuietAt: 190 * second,
			Reads: []ConfigRead{{Node: "controller-1", SentAt: 195 * second, EndedAt: 195 * second}}}
		change(record, &request, &run)
		record.Requests, record.Runs = append(record.Requests, request), append(record.Runs, run)
		return record
	}
}

// lost returns a record of a request that an edge aborted afterTerm after its SIGTERM, while the server was still working.
func lost(afterTerm time.Duration) func() *Record {
	return recordOf(Lookup, func(record *Record, request *Request, run *ServerRun) {
		record.Processes = []ProcessChange{{At: at - afterTerm, Node: anEdge, What: Terminated}}
		request.Status, request.Complete, request.Seal, request.Failure = 0, false, "", "EOF"
		request.EndedAt, run.EndedAt, run.Outcome = at+530*millis, at+530*millis, RunAbandoned
	})
}

// left returns a record of a request whose client disconnects after 100 ms and whose run continues for workedOn.
func left(kind RequestKind, workedOn time.Duration) func() *Record {
	return recordOf(kind, func(_ *Record, request *Request, run *ServerRun) {
		request.LeftAt, request.Complete, request.Status, request.Seal = at+100*millis, false, 0, ""
		run.Outcome, run.EndedAt = RunAbandoned, request.LeftAt+workedOn
	})
}

// deniedRepeats returns a record of keys with successful responses, whose repeats got 409 two seconds later.
func deniedRepeats(keys int) func() *Record {
	return recordOf(Lookup, func(record *Record, _ *Request, _ *ServerRun) {
		for _, key := range numberedNames("k", keys) {
			first, run := successful(Post)
			first.ID, first.Key, run.ID, run.Key = "first-"+key, key, "first-"+key, key
			repeat := first
			repeat.ID, repeat.Edge, repeat.Status, repeat.Seal = "repeat-"+key, "edge-2", http.StatusConflict, ""
			repeat.StartedAt, repeat.SentAt, repeat.EndedAt = at+2*second, at+2*second, at+2*second+10*millis
			record.Requests, record.Runs = append(record.Requests, first, repeat), append(record.Runs, run)
		}
	})
}

func withChange(what Change, when time.Duration) func(*Record) {
	return func(r *Record) { r.Processes = append(r.Processes, ProcessChange{At: when, Node: anEdge, What: what}) }
}

var auditCases = []auditCase{
	{"given up late in the grace", Lost, lost(5270 * millis), func(r *Record) { r.Runs[0].Outcome = RunBrokeOff }},
	{"given up late in the grace, and killed", Lost, lost(5270 * millis), withChange(Killed, at+100*millis)},
	{"given up late in the grace, sent early", Lost, lost(5270 * millis), func(r *Record) {
		r.Processes[0].At, r.Requests[0].EndedAt, r.Runs[0].EndedAt = at-2*second, at+3700*millis, at+3700*millis
		r.Requests[0].DeadlineAt = at + 5*second
	}},
	{"given up late in the grace, with a second SIGTERM", Lost, func() *Record {
		r := lost(5270 * millis)()
		r.Processes = append(r.Processes, ProcessChange{At: at - second, Node: anEdge, What: Terminated})
		return r
	}, func(r *Record) { r.Runs[0].Outcome = RunBrokeOff }},
	{"given up on a kept connection at any time", Lost, lost(time.Minute), func(r *Record) {
		r.Runs, r.Requests[0].EndedAt = nil, at+100*millis // in flight when the edge closed the connection
	}},
	{"taken and not answered", Lost, func() *Record {
		r := lost(5270 * millis)()
		r.Runs = nil
		return r
	}, func(r *Record) { r.Requests[0].Failure = failureTimedOut }},
	{"broken off and answered by an edge that ends", Lost, recordOf(Lookup, func(record *Record, request *Request, run *ServerRun) {
		record.Processes = []ProcessChange{{At: at - 4*second, Node: anEdge, What: Terminated}}
		request.Status, request.Seal, run.Outcome = http.StatusGatewayTimeout, "", RunAbandoned
	}), func(r *Record) { r.Requests[0].EndedAt = r.Requests[0].DeadlineAt }},
	{"worked on", Gone, left(Review, 1900*millis), func(r *Record) { r.Runs[0].EndedAt = r.Requests[0].LeftAt + 20*millis }},
	{"worked on, and the edge stood still", Gone, left(Stream, second), withChange(Suspended, at-second)},
	{"sent on long after", Gone, func() *Record {
		r := left(Note, 2*second)()
		r.Runs[0].ArrivedAt = r.Requests[0].LeftAt + 900*millis
		return r
	}, func(r *Record) { r.Runs[0].ArrivedAt = at + 5*millis }},
	{"404 for a proper request", Denied, recordOf(Lookup, func(record *Record, request *Request, _ *ServerRun) {
		request.Status, request.Seal = http.StatusNotFound, ""
	}), func(r *Record) { r.Requests[0].Status = http.StatusConflict }},
	{"409 for repeats of four keys, long after good answers", Denied, deniedRepeats(maxKeysDenied + 1), func(r *Record) {
		r.Requests = r.Requests[2:] // of three keys
	}},
	{"409 for repeats, and the first edge was restarted", Denied, deniedRepeats(maxKeysDenied + 1), withChange(Started, at+second)},
	{"409 for repeats, soon after good answers", Denied, deniedRepeats(maxKeysDenied + 1), func(r *Record) {
		for i := range r.Requests {
			if r.Requests[i].Status == http.StatusConflict {
				r.Requests[i].StartedAt = at + 900*millis
			}
		}
	}},
	{"a pause that is longer than the quota's", Gone, func() *Record {
		r := left(Review, 700*millis)()
		r.Throttled = []ThrottledSpan{{Node: anEdge, At: at, For: 90 * millis}}
		return r
	}, func(r *Record) { r.Throttled[0].For = 150 * millis }},
	{"a success without a seal", Mixed, recordOf(Lookup, func(_ *Record, request *Request, _ *ServerRun) { request.Seal = "" }),
		func(r *Record) { r.Requests[0].Seal = "s" }},
	{"another body", Mixed, recordOf(Stream, func(_ *Record, request *Request, _ *ServerRun) { request.Digest = 8 }),
		func(r *Record) { r.Requests[0].Digest = 7 }},
	{"a repeat with an answer of its own", Mixed, recordOf(Post, func(record *Record, request *Request, run *ServerRun) {
		repeat := *request
		repeat.ID, repeat.Seal = "a-2", "t"
		record.Requests = append(record.Requests, repeat)
	}), func(r *Record) { r.Requests[0].Seal = "s" }},
	{"an attempt at two servers", Twice, recordOf(Note, func(record *Record, _ *Request, run *ServerRun) {
		record.Runs = append(record.Runs, *run)
	}), func(r *Record) { r.Runs[0].Outcome = RunNotRun }},
	{"a key at two servers", Twice, recordOf(Post, func(record *Record, _ *Request, run *ServerRun) {
		first := *run
		first.ID = "a-0"
		record.Runs = append(record.Runs, first)
	}), func(r *Record) { r.Runs[0].Outcome = RunUnread }},
	{"refused, and it ran", Refused, recordOf(Note, func(_ *Record, request *Request, _ *ServerRun) {
		request.Status, request.Seal = http.StatusServiceUnavailable, ""
	}), func(r *Record) { r.Runs[0].Outcome = RunNotRun }},
	{"more retries than the budget has", Budget, manyRetries(90), func(r *Record) { r.Runs = r.Runs[:len(r.Runs)-70] }},
	{"at more servers than tries", Budget, func() *Record {
		r := manyRetries(0)()
		r.Runs = slices.Concat(r.Runs[:8], r.Runs[:8], r.Runs[:8])
		return r
	}, func(r *Record) { r.Runs = r.Runs[8:] }},
	{"no deadline", Budget, func() *Record {
		r := manyRetries(0)()
		for i := range r.Runs {
			r.Runs[i].DeadlineMS = -1
		}
		return r
	}, func(r *Record) {
		for i := range r.Runs {
			r.Runs[i].DeadlineMS = 1990
		}
	}},
	{"sent to a server that left", Drain, recordOf(Lookup, func(record *Record, _ *Request, _ *ServerRun) {
		record.Left = []ServerLeft{{Server: aServer, Incarnation: 1, AckedAt: at - 3*second}}
	}), withChange(Started, at-second)},
	{"an old configuration", Config, readOf(1, 1), func(r *Record) { r.Reads[0].Version, r.Reads[0].Routes = 2, 2 }},
	{"a configuration that nobody sent", Config, readOf(2, 1), func(r *Record) { r.Reads[0].Routes = 2 }},
	{"not read back", Config, func() *Record {
		r := readOf(2, 2)()
		r.Reads = r.Reads[:1]
		return r
	}, func(r *Record) { r.Reads[0].SentAt = r.QuietAt }},
	{"an end by itself", Fault, processes(ProcessChange{At: at, Node: anEdge, What: Failed}), func(r *Record) { r.Processes = nil }},
	{"a process that outlasts its grace", Fault, processes(ProcessChange{At: at, Node: anEdge, What: Overdue}),
		func(r *Record) {
			r.Processes = append(r.Processes, ProcessChange{At: at - second, Node: anEdge, What: Resumed})
		}},
	{"an end by SIGTERM itself", Fault, processes(ProcessChange{At: at - second, Node: anEdge, What: Started},
		ProcessChange{At: at - millis, Node: anEdge, What: Terminated},
		ProcessChange{At: at, Node: anEdge, What: Ended, Text: "signal: terminated"}),
		func(r *Record) { r.Processes[0].At = at - 30*millis }},
	{"an end by SIGHUP", Fault, processes(ProcessChange{At: at - second, Node: anEdge, What: Started},
		ProcessChange{At: at, Node: anEdge, What: Failed, Text: "signal: hangup"}), func(r *Record) { r.Processes = r.Processes[:1] }},
	{"an end by SIGHUP just after the start", Fault, processes(ProcessChange{At: at - 30*millis, Node: anEdge, What: Started},
		ProcessChange{At: at, Node: anEdge, What: Failed, Text: "signal: hangup"}), func(r *Record) { r.Processes = r.Processes[:1] }},
	{"an end with an error", Fault, processes(ProcessChange{At: at, Node: anEdge, What: Terminated},
		ProcessChange{At: at + second, Node: anEdge, What: Ended, Text: "exit status 1"}), func(r *Record) { r.Processes[1].Text = "" }},
}

// manyRetries returns a record of 100 requests, and of repeated arrivals of the first ones.
func manyRetries(retries int) func() *Record {
	return recordOf(Lookup, func(record *Record, request *Request, run *ServerRun) {
		for i := range 100 {
			one, ran := *request, *run
			one.ID = numberedNames("b", 100)[i]
			ran.ID = one.ID
			record.Requests, record.Runs = append(record.Requests, one), append(record.Runs, ran)
		}
		record.Runs = append(record.Runs, record.Runs[:retries]...)
	})
}

// readOf returns a record of two acknowledged changes, a much later read of the given version, and a read at the end.
func readOf(version, routes int) func() *Record {
	return recordOf(Lookup, func(record *Record, _ *Request, _ *ServerRun) {
		record.Calls = []ConfigCall{{Version: 1, Routes: 1, SentAt: 10 * second, AckedAt: 11 * second},
			{Version: 2, Routes: 2, SentAt: 20 * second, AckedAt: 21 * second}}
		record.Reads = []ConfigRead{{Node: "controller-2", SentAt: 30 * second, EndedAt: 30 * second, Version: version, Routes: routes},
			{Node: "controller-1", SentAt: 195 * second, EndedAt: 195 * second, Version: 2, Routes: 2}}
	})
}

func processes(changes ...ProcessChange) func() *Record {
	return recordOf(Lookup, func(record *Record, _ *Request, _ *ServerRun) { record.Processes = changes })
}

// Each rule is reported for a record with its fault, and not after the fault is removed.
func TestAuditorSeesEachFault(t *testing.T) {
	audited := map[Rule]bool{}
	for _, c := range auditCases {
		audited[c.rule] = true
		record := c.record()
		if breaches := Audit(record); countOf(breaches, c.rule) == 0 {
			t.Errorf("%s: %s is not reported, got %v", c.name, c.rule, breaches)
		}
		c.repair(record)
		if breaches := Audit(record); countOf(breaches, c.rule) > 0 {
			t.Errorf("%s: %s is reported without its fault: %v", c.name, c.rule, breaches)
		}
	}
	for _, rule := range Rules {
		if !audited[rule] {
			t.Errorf("no test case breaks %s", rule)
		}
	}
}

// Measured delays of the soak itself widen the tolerance and cause no breach.
func TestOwnDelayIsNotBlamedOnTheGateway(t *testing.T) {
	record := left(Review, 900*millis)()
	if countOf(Audit(record), Gone) != 1 {
		t.Fatal("a run of 900 ms after the disconnect is not reported")
	}
	record.Delays = []Delay{{At: at + second, Late: 500 * millis}}
	if breaches := Audit(record); len(breaches) > 0 {
		t.Errorf("reported although the soak ran half a second late: %v", breaches)
	}
}
