package attempt

// State is how far a try is.
type State uint8

// The states of a try.
const (
	Chosen        State = iota // a server is chosen
	Connecting                 // a connection is sought: one that is free, or a new one
	Connected                  // there is one, and no byte of the request was written
	Sending                    // the first byte was written, so the server may have any part
	Sent                       // all of the request was written
	Head                       // the answer's head has begun
	Body                       // the head is this try's, and the body is under way
	StreamingBody              // the beginning of a long body was handed on to the client
	Done
)

func (s State) String() string {
	return [...]string{"chosen", "connecting", "connected", "sending", "sent", "head", "body", "passing on", "over"}[min(s, Done)]
}

// Event is what happens to a try.
type Event uint8

// The events. What the runtime can't tell from its sockets it leaves out: states may be passed over, never gone back.
const (
	ConnectStarted   Event = iota // a connection is being sought
	ConnectionReady               // one was found
	FirstByte                     // the first byte of the request is being written
	LastByte                      // and the last one was
	ResponseBegins                // the first byte of an answer came
	ConnectionClosed              // the connection was closed or reset, was not to be had, or brought what is no answer
	DeadlineExceeded              // the time is over
	ServerDraining                // the server is leaving
	ClientClosed                  // the client broke off, or takes no more
	events
)

// Attempt is the life of a request at one server.
type Attempt struct {
	State State
	Cause Cause // once it is over
}

// Handle takes an event. One that the state has no use for changes nothing.
func (t *Attempt) Handle(e Event) {
	switch {
	case t.State == Done:
	case e <= ResponseBegins:
		t.advance(e)
	case e == ServerDraining && t.State > Connected: // what is out goes on
	default:
		t.finish(t.failure(e))
	}
}

// reached is the state that an event leads to.
var reached = [...]State{ConnectStarted: Connecting, ConnectionReady: Connected, FirstByte: Sending, LastByte: Sent, ResponseBegins: Head}

func (t *Attempt) advance(e Event) {
	t.State = max(t.State, reached[e])
}

// failure is the cause for which an event ends the try in its state.
func (t *Attempt) failure(e Event) Cause {
	switch {
	case t.State == StreamingBody && e == ClientClosed:
		return ClientGone
	case t.State == StreamingBody:
		return StreamCut
	case t.State >= Sending && e == DeadlineExceeded:
		return ResponseTimeout
	case t.State >= Sending && e == ClientClosed:
		return ClientStopped
	case t.State == Body:
		return Cut
	case t.State >= Sending:
		return BrokenOff
	case e == ServerDraining:
		return ServerLeft
	case t.State == Connected:
		return Unsent
	default:
		return NoConnection
	}
}

// HandleHead takes an answer whose head has been read. It tells whether the body is worth reading.
func (t *Attempt) HandleHead(a Response) bool {
	if t.State == Done {
		return false
	}
	if cause, ok := a.HeadCause(); !ok {
		t.finish(cause)
		return false
	}
	t.State = Body
	return true
}

// HandleBody takes an answer whose body has been read as far as it is held.
func (t *Attempt) HandleBody(a Response) {
	if t.State != Body {
		return
	}
	if cause := a.Cause(); cause != Streaming {
		t.finish(cause)
		return
	}
	t.State, t.Cause = StreamingBody, Streaming
}

// HandleStreamed takes the end of a long answer, of which the client took all.
func (t *Attempt) HandleStreamed() {
	if t.State == StreamingBody {
		t.finish(Streamed)
	}
}

func (t *Attempt) finish(cause Cause) { t.State, t.Cause = Done, cause }
