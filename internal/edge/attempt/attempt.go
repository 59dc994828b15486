package attempt

// State is how far an attempt is. It only grows.
type State uint8

// The states of an attempt.
const (
	Chosen        State = iota // a server is chosen
	Connecting                 // a connection is sought: an idle one, or a new one
	Connected                  // there is one, and no byte of the request was written
	Sending                    // the first byte was written, so the server may have any part
	Sent                       // all of the request was written
	ReadingHeader              // the response's head has begun
	ReadingBody                // the head belongs to this attempt, and the body is being read
	StreamingBody              // the beginning of a long body was handed on to the client
	Done
)

// String is the state's name.
func (s State) String() string {
	return [...]string{"chosen", "connecting", "connected", "sending", "sent", "head", "body", "streaming", "done"}[min(s, Done)]
}

// Event is what happens to an attempt.
type Event uint8

// The events. What the runtime can't tell from its sockets it leaves out: states may be passed over, never gone back.
const (
	ConnectStarted   Event = iota
	ConnectionReady        // an idle one was found, or a new one made
	SendStarted            // the first byte of the request is being written
	SendCompleted          // and the last one was
	ResponseStarted        // the first byte of a response came
	ConnectionClosed       // it was closed or reset, could not be made, or brought what is no response
	DeadlineExceeded
	ServerDraining
	ClientClosed // the client broke off, or takes no more
	events
)

// Attempt is a request at one server. The zero value is ready.
type Attempt struct {
	State State
	Cause Cause // once it is done
}

// Handle takes an event. One that the state has no use for changes nothing.
func (a *Attempt) Handle(e Event) {
	switch {
	case a.State == Done:
	case e <= ResponseStarted:
		a.advance(e)
	case e == ServerDraining && a.State > Connected: // what is in flight goes on
	default:
		a.finish(a.failure(e))
	}
}

// reached is the state that an event leads to.
var reached = [...]State{
	ConnectStarted:  Connecting,
	ConnectionReady: Connected,
	SendStarted:     Sending,
	SendCompleted:   Sent,
	ResponseStarted: ReadingHeader,
}

func (a *Attempt) advance(e Event) { a.State = max(a.State, reached[e]) }

// failure is the cause for which an event ends the attempt in its state.
func (a *Attempt) failure(e Event) Cause {
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

// HandleHeader takes a response whose head has been read. It reports whether the body is worth reading.
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

// HandleBody takes a response whose body has been read as far as it is buffered.
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

// HandleStreamEnd takes the end of a long response, of which the client took all.
func (a *Attempt) HandleStreamEnd() {
	if a.State == StreamingBody {
		a.finish(Streamed)
	}
}

func (a *Attempt) finish(cause Cause) { a.State, a.Cause = Done, cause }
