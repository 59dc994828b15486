package attempt

// State is how far a try is.
type State uint8

// The states of a try.
const (
	Chosen     State = iota // a server is chosen
	Connecting              // a connection is sought: one that is free, or a new one
	Connected               // there is one, and no byte of the request was written
	Sending                 // the first byte was written, so the server may have any part
	Sent                    // all of the request was written
	Head                    // the answer's head has begun
	Body                    // the head is this try's, and the body is under way
	PassingOn               // the beginning of a long body was handed on to the client
	Over
)

func (s State) String() string {
	return [...]string{"chosen", "connecting", "connected", "sending", "sent", "head", "body", "passing on", "over"}[min(s, Over)]
}

// Event is what happens to a try.
type Event uint8

// The events. What the runtime can't tell from its sockets it leaves out: states may be passed over, never gone back.
const (
	Connect      Event = iota // a connection is being sought
	Connection                // one was found
	FirstByte                 // the first byte of the request is being written
	LastByte                  // and the last one was
	AnswerBegins              // the first byte of an answer came
	Closed                    // the connection was closed or reset, was not to be had, or brought what is no answer
	TimeOut                   // the time is over
	Left                      // the server is leaving
	ClientEnds                // the client broke off, or takes no more
	events
)

// Try is the life of a request at one server.
type Try struct {
	State State
	Cause Cause // once it is over
}

// On takes an event. One that the state has no use for changes nothing.
func (t *Try) On(e Event) {
	switch {
	case t.State == Over:
	case e <= AnswerBegins:
		t.advance(e)
	case e == Left && t.State > Connected: // what is out goes on
	default:
		t.end(t.failure(e))
	}
}

// reached is the state that an event leads to.
var reached = [...]State{Connect: Connecting, Connection: Connected, FirstByte: Sending, LastByte: Sent, AnswerBegins: Head}

func (t *Try) advance(e Event) {
	t.State = max(t.State, reached[e])
}

// failure is the cause for which an event ends the try in its state.
func (t *Try) failure(e Event) Cause {
	switch {
	case t.State == PassingOn && e == ClientEnds:
		return ClientGone
	case t.State == PassingOn:
		return PassingCut
	case t.State >= Sending && e == TimeOut:
		return Silence
	case t.State >= Sending && e == ClientEnds:
		return ClientStopped
	case t.State == Body:
		return Cut
	case t.State >= Sending:
		return BrokenOff
	case e == Left:
		return ServerLeft
	case t.State == Connected:
		return Unsent
	default:
		return NoConnection
	}
}

// OnHead takes an answer whose head has been read. It tells whether the body is worth reading.
func (t *Try) OnHead(a Answer) bool {
	if t.State == Over {
		return false
	}
	if cause, ok := a.Head(); !ok {
		t.end(cause)
		return false
	}
	t.State = Body
	return true
}

// OnBody takes an answer whose body has been read as far as it is held.
func (t *Try) OnBody(a Answer) {
	if t.State != Body {
		return
	}
	if cause := a.Cause(); cause != Passing {
		t.end(cause)
		return
	}
	t.State, t.Cause = PassingOn, Passing
}

// OnPassedOn takes the end of a long answer, of which the client took all.
func (t *Try) OnPassedOn() {
	if t.State == PassingOn {
		t.end(PassedOn)
	}
}

func (t *Try) end(cause Cause) { t.State, t.Cause = Over, cause }
