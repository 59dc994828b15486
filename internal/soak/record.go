package soak

import (
	"sync"
	"time"
)

// RequestKind is a kind of clients' requests, by the route that they go to.
type RequestKind string

// The kinds of requests.
const (
	Lookup RequestKind = "lookup" // safe and short
	Review RequestKind = "review" // safe, takes long
	Note   RequestKind = "note"   // unsafe
	Post   RequestKind = "post"   // keyed
	Stream RequestKind = "stream" // safe, with a long response that comes slowly
	Upload RequestKind = "upload" // unsafe, with a long body that is sent slowly
)

// Repeatable reports whether requests of the kind may run more than once.
func (k RequestKind) Repeatable() bool { return k == Lookup || k == Review || k == Stream }

// Request is a request as its client saw it. Times are 0 where what they tell of did not happen.
type Request struct {
	ID         string // X-Attempt-Id
	Kind       RequestKind
	Key        string // of a keyed one
	Edge       string // the process that it was sent to
	StartedAt  time.Duration
	SentAt     time.Duration // its last byte was written
	DeadlineAt time.Duration // its client waits until then
	LeftAt     time.Duration // its client closed the connection of its own will
	EndedAt    time.Duration // the response was complete, or the connection ended
	Kept       bool          // the connection had carried a request before
	Status     int           // 0: no head of a response came
	Complete   bool          // the response came completely
	Seal       string        // X-Server-Seal
	Digest     uint64        // of the body
	Failure    string        // why the response is not complete
}

// RunOutcome is how a run at a server ended.
type RunOutcome string

// The outcomes of runs.
const (
	RunComplete  RunOutcome = "complete"    // the server answered
	RunAbandoned RunOutcome = "abandoned"   // the edge closed the connection, and the server dropped the request
	RunBrokeOff  RunOutcome = "broke off"   // the server broke off by itself
	RunNotRun    RunOutcome = "turned away" // the server did not run it, and said so
	RunUnread    RunOutcome = "unread"      // its body did not come completely, so that it did not begin
)

// ServerRun is a request as a server saw it.
type ServerRun struct {
	ID          string
	Key         string
	Service     string
	Server      string
	Incarnation int // of the server: which of its starts
	ArrivedAt   time.Duration
	EndedAt     time.Duration
	DeadlineMS  float64       // as the server was handed it; -1: it was not
	Planned     time.Duration // that the run takes if nobody breaks it off
	Status      int
	Seal        string
	Digest      uint64
	Outcome     RunOutcome
}

// ProcessChange is what happened to a process of the gateway.
type ProcessChange struct {
	At   time.Duration
	Node string
	What Change
	Text string // details, for stories
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

// unplanned reports whether a change is a fault, and not planned work.
func (c Change) unplanned() bool {
	return c == Killed || c == Suspended || c == Resumed || c == Failed || c == Overdue
}

// ConfigCall is a change of the configuration as the operator saw it.
type ConfigCall struct {
	Version int
	Routes  int // that the configuration holds
	SentAt  time.Duration
	AckedAt time.Duration // 0: never
}

// ConfigRead is a read of the configuration that was answered with 200.
type ConfigRead struct {
	Node    string
	SentAt  time.Duration
	EndedAt time.Duration
	Version int
	Routes  int
}

// ServerLeft is a server's word that it leaves, with the acknowledgement.
type ServerLeft struct {
	Server      string
	Incarnation int
	AckedAt     time.Duration
}

// Record is all that was seen in a run.
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

// recorder takes the record while a run goes on. It may be used by any goroutine.
type recorder struct {
	startedAt time.Time

	mu     sync.Mutex
	record Record
}

func newRecorder() *recorder { return &recorder{startedAt: time.Now()} }

// now is the time since the start of the run.
func (r *recorder) now() time.Duration { return time.Since(r.startedAt) }

// add changes the record.
func (r *recorder) add(change func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.record)
}

// processChanged notes a change of a process.
func (r *recorder) processChanged(node string, what Change, text string) {
	at := r.now()
	r.add(func(all *Record) { all.Processes = append(all.Processes, ProcessChange{at, node, what, text}) })
}

// finish gives the record.
func (r *recorder) finish() *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.EndedAt = r.now()
	record := r.record
	return &record
}
