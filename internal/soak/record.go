package soak

import (
	"sync"
	"time"
)

// RequestKind is a kind of client request. Each kind has a route of the same name.
type RequestKind string

// The kinds of requests.
const (
	Lookup RequestKind = "lookup" // safe and short
	Review RequestKind = "review" // safe and slow
	Note   RequestKind = "note"   // unsafe
	Post   RequestKind = "post"   // keyed
	Stream RequestKind = "stream" // safe, with a long, slow response body
	Upload RequestKind = "upload" // unsafe, with a long, slow request body
)

// Repeatable reports whether requests of the kind may run more than once.
func (k RequestKind) Repeatable() bool { return k == Lookup || k == Review || k == Stream }

// Request is a request as observed by its client. The time of an event that did not happen is 0.
type Request struct {
	ID         string // X-Attempt-Id
	Kind       RequestKind
	Key        string // operation key; "" unless the request is keyed
	Edge       string // name of the edge to which it was sent
	StartedAt  time.Duration
	SentAt     time.Duration // when its last byte was written
	DeadlineAt time.Duration // deadline stated by its client
	LeftAt     time.Duration // when its client disconnected before the response
	EndedAt    time.Duration // when the response was complete or the connection ended
	Kept       bool          // the connection had carried a request before
	Status     int           // 0: no response header was received
	Complete   bool          // the response was received completely
	Seal       string        // X-Server-Seal
	Digest     uint64        // digest of the response body
	Failure    string        // why the response is not complete
}

// RunOutcome is the result of a request at a server.
type RunOutcome string

// The outcomes of runs.
const (
	RunComplete  RunOutcome = "complete"    // the server responded
	RunAbandoned RunOutcome = "abandoned"   // the edge closed the connection, and the server dropped the request
	RunBrokeOff  RunOutcome = "broke off"   // the server aborted the request itself
	RunNotRun    RunOutcome = "turned away" // the server rejected it and reported that it did not run
	RunUnread    RunOutcome = "unread"      // its body was not received completely, so it did not run
)

// ServerRun is a request as observed by a server.
type ServerRun struct {
	ID          string
	Key         string
	Service     string
	Server      string
	Incarnation int // number that identifies one start of a server
	ArrivedAt   time.Duration
	EndedAt     time.Duration
	DeadlineMS  float64       // deadline in milliseconds as received by the server; -1: none
	Planned     time.Duration // duration of the run unless it is aborted
	Status      int
	Seal        string
	Digest      uint64
	Outcome     RunOutcome
}

// ProcessChange is a signal to a process of the gateway, or a change of its state.
type ProcessChange struct {
	At   time.Duration
	Node string
	What Change
	Text string // details for breaches.txt
}

// Change is a kind of change of a process.
type Change string

// The changes of processes.
const (
	Started    Change = "started"
	Ready      Change = "ready"
	Terminated Change = "got SIGTERM"
	Killed     Change = "got SIGKILL"
	Suspended  Change = "got SIGSTOP"
	Resumed    Change = "got SIGCONT"
	Reloaded   Change = "got SIGHUP"
	Ended      Change = "ended"
	Overdue    Change = "was still running at the end of its grace"
	Failed     Change = "ended by itself"
)

// unplanned reports whether a change is a fault rather than planned work.
func (c Change) unplanned() bool {
	return c == Killed || c == Suspended || c == Resumed || c == Failed || c == Overdue
}

// ConfigCall is a configuration change as observed by the operator.
type ConfigCall struct {
	Version int
	Routes  int // number of routes in the configuration
	SentAt  time.Duration
	AckedAt time.Duration // 0: never
}

// ConfigRead is a read of the configuration with status 200.
type ConfigRead struct {
	Node    string
	SentAt  time.Duration
	EndedAt time.Duration
	Version int
	Routes  int
}

// ServerLeft is an acknowledged announcement of a server that it leaves.
type ServerLeft struct {
	Server      string
	Incarnation int
	AckedAt     time.Duration
}

// Record contains all observations of a run. Times count from the start of the run.
type Record struct {
	Schedule  Schedule
	Requests  []Request
	Runs      []ServerRun
	Processes []ProcessChange
	Calls     []ConfigCall
	Reads     []ConfigRead
	Left      []ServerLeft
	Delays    []Delay
	Throttled []ThrottledSpan // by quotas
	TrafficAt time.Duration   // the start of traffic, from which the schedule counts
	QuietAt   time.Duration   // the end of traffic
	EndedAt   time.Duration
}

// recorder collects the record of a run in progress. It is safe for concurrent use.
type recorder struct {
	startedAt time.Time

	mu     sync.Mutex
	record Record
}

func newRecorder() *recorder { return &recorder{startedAt: time.Now()} }

// now returns the time since the start of the run.
func (r *recorder) now() time.Duration { return time.Since(r.startedAt) }

// add applies a change to the record.
func (r *recorder) add(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// processChanged records a change of a process.
func (r *recorder) processChanged(node string, what Change, text string) {
	at := r.now()
	r.add(func(all *Record) { all.Processes = append(all.Processes, ProcessChange{at, node, what, text}) })
}

// finish returns the record. It is called once, at the end of the run.
func (r *recorder) finish() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.EndedAt = r.now()
	record := r.record
	return &record
}
