package attempt

// State is the progress of an attempt. It never decreases.
type State uint8

// The states of an attempt.
const (
	Chosen        State = iota // a server has been chosen
	Connecting                 // an idle connection is being looked up or a new one dialled
	Connected                  // a connection is ready and no byte of the request has been written
	Sending                    // the first byte was written; the server may have received any part of the request
	Sent                       // the complete request was written
	ReadingHeader              // the first byte of the response header arrived
	ReadingBody                // the header was accepted for this attempt and the body is being read
	StreamingBody              // the beginning of an oversized body was forwarded to the client
	Done
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"chosen", "connecting", "connected", "sending", "sent", "head", "body", "streaming", "done"}[min(s, Done)]
}

// Event is an input of the state machine of an attempt.
type Event uint8

// The events. The caller omits events that it can't observe on its sockets, so an attempt may skip states, but it never
// returns to an earlier one.
const (
	ConnectStarted   Event = iota
	ConnectionReady        // an idle connection was found or a new one established
	SendStarted            // the first byte of the request is being written
	SendCompleted          // the last byte of the request was written
	ResponseStarted        // the first byte of a response arrived
	ConnectionClosed       // closed or reset, not established, or it returned bytes that are not a response
	DeadlineExceeded
	ServerDraining
	ClientClosed // the client disconnected or stopped reading
	events
)

// Attempt is the state machine of a request at one server. The zero value is ready for use.
type Attempt struct {
	State State
	Cause Cause // why the attempt ended; valid in state Done, and Streaming in state StreamingBody
}

// Handle applies an event. Events that don't apply to the current state are ignored.
func (a *Attempt) Handle(e Event) {
	switch {
	case a.State == Done:
	case e <= ResponseStarted:
		a.advance(e)
	case e == ServerDraining && a.State > Connected: // requests in flight continue while the server drains
	default:
		a.finish(a.failureCause(e))
	}
}

// stateAfter is the state that each event advances an attempt to.
var stateAfter = [...]State{
	ConnectStarted:  Connecting,
	ConnectionReady: Connected,
	SendStarted:     Sending,
	SendCompleted:   Sent,
	ResponseStarted: ReadingHeader,
}

func (a *Attempt) advance(e Event) { a.State = max(a.State, stateAfter[e]) }

// failureCause returns the cause of an attempt that event e ends in its current state.
func (a *Attempt) failureCause(e Event) Cause {
	switch {
	case a.State == StreamingBody && e == ClientClosed:
		return ClientDisconnected
	case a.State == StreamingBody:
		return StreamTruncated
	case a.State >= Sending && e == DeadlineExceeded:
		return ResponseTimeout
	case a.State >= Sending && e == ClientClosed:
		return ClientAborted
	case a.State == ReadingBody:
		return BodyTruncated
	case a.State >= Sending:
		return ConnectionBroken
	case e == ServerDraining:
		return DrainedBeforeSend
	case a.State == Connected:
		return ClosedBeforeSend
	default:
		return NoConnection
	}
}

// HandleHeader applies a response whose header has been read. It reports whether the body must be read; if not, the attempt
// is done.
func (a *Attempt) HandleHeader(r Response) bool {
	if a.State == Done {
		return false
	}
	if cause, ok := r.HeaderCause(); !ok {
		a.finish(cause)
		return false
	}
	a.State = ReadingBody
	return true
}

// HandleBody applies a response whose body has been read up to the buffer limit. It is ignored except in state ReadingBody.
func (a *Attempt) HandleBody(r Response) {
	if a.State != ReadingBody {
		return
	}
	if cause := r.Cause(); cause != Streaming {
		a.finish(cause)
		return
	}
	a.State, a.Cause = StreamingBody, Streaming
}

// HandleStreamEnd ends an attempt whose oversized response was forwarded to the client completely.
func (a *Attempt) HandleStreamEnd() {
	if a.State == StreamingBody {
		a.finish(Streamed)
	}
}

func (a *Attempt) finish(cause Cause) { a.State, a.Cause = Done, cause }
