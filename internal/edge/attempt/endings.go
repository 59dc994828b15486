package attempt

import "net/http"

// Outcome says what is known of a request after a try.
type Outcome uint8

// The endings. Only the first two allow a try elsewhere for what must not run twice, and a refusal that promises.
const (
	NotSent Outcome = iota // no byte left for the server
	NotRun                 // the server says that it did not run
	Ran                    // a whole answer of this try came, or began and is passed on
	Unknown                // anything else
)

func (e Outcome) String() string {
	return [...]string{"not_sent", "not_run", "ran", "perhaps"}[min(e, Unknown)]
}

func (e Outcome) mayHaveRun() bool { return e == Ran || e == Unknown }

// Disposition is what the client may be told.
type Disposition uint8

// What the client may be told.
const (
	SafeRefusal     Disposition = iota // 503 with Retry-After: it has not run and never will
	ForwardResponse                    // the server's answer
	BadGateway                         // 502: nothing is promised
	GatewayTimeout                     // 504: nothing is promised
	AbortConnection                    // the connection is broken off: part of an answer was passed on
)

// RetryRule says for which requests another server may be tried.
type RetryRule uint8

// Which requests may be sent again.
const (
	Never  RetryRule = iota
	IfSafe           // those that may run more than once
	Always           // unsafe and keyed ones as well: it is proved that nothing ran
)

// ClaimAction is what becomes of a keyed operation's claim.
type ClaimAction uint8

// What becomes of a claim.
const (
	KeepClaim     ClaimAction = iota // repeats are told 409 until the window is over
	RevokeClaim                      // a repeat may run
	CompleteClaim                    // the answer is kept for repeats
)

// Cause is the way in which a try came to be over: one line of the table.
type Cause uint8

// The causes, in the order of a try's life.
const (
	NoCapacity      Cause = iota // no server was chosen: none has room
	NoTime                       // none was chosen: the deadline is too near
	NoConnection                 // no connection came about
	ServerLeft                   // the server began to leave before the first byte
	Unsent                       // the connection ended before the first byte
	ResponseTimeout              // the time ran out after the first byte
	BrokenOff                    // the connection ended, or brought bytes that are no answer, before a whole head
	ClientStopped                // the client's body ended early after the first byte
	Foreign                      // the answer has another try's id, none, or several
	Switched                     // the answer changes the protocol
	Endless                      // the answer doesn't tell its own end
	Encoded                      // the answer's body has a content coding that was not asked for
	Unproven                     // a status that promises, without the server's word that nothing ran
	Contradictory                // a success that says that nothing ran
	Unsealed                     // a success without a seal
	Lengthy                      // the server turns it away at length
	Cut                          // the answer's body ended early, and nothing of it was passed on
	TurnedAway                   // the server says that it did not run the request
	WrongServer                  // another server has the address: it did not run the request
	Answered                     // a whole answer
	Failed                       // a whole answer that is the server's own failure
	Streaming                    // a long answer, whose beginning is held and which is passed on as it comes
	Streamed                     // a long answer came up to its end and was passed on
	StreamCut                    // a long answer ended early after its beginning was passed on
	ClientGone                   // the client took no more of a long answer
	causes
)

// Consequence is what follows from a cause.
type Consequence struct {
	Name        string
	Outcome     Outcome
	Disposition Disposition
	Retry       RetryRule
	ReuseConn   bool // the connection may be used again, unless the server closes it
	Claim       ClaimAction
}

// consequences is the one place where these decisions stand. docs/attempts.md shows it.
var consequences = [causes]Consequence{
	NoCapacity:      {"no_room", NotSent, SafeRefusal, Always, false, RevokeClaim},
	NoTime:          {"no_time", NotSent, SafeRefusal, Always, false, RevokeClaim},
	NoConnection:    {"no_connection", NotSent, SafeRefusal, Always, false, RevokeClaim},
	ServerLeft:      {"server_left", NotSent, SafeRefusal, Always, false, RevokeClaim},
	Unsent:          {"unsent", NotSent, SafeRefusal, Always, false, RevokeClaim},
	ResponseTimeout: {"silence", Unknown, GatewayTimeout, IfSafe, false, KeepClaim},
	BrokenOff:       {"broken_off", Unknown, BadGateway, IfSafe, false, KeepClaim},
	ClientStopped:   {"client_stopped", Unknown, BadGateway, Never, false, KeepClaim},
	Foreign:         {"foreign", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Switched:        {"switched", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Endless:         {"endless", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Encoded:         {"encoded", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Unproven:        {"unproven", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Contradictory:   {"contradictory", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Unsealed:        {"unsealed", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Lengthy:         {"lengthy", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Cut:             {"cut", Unknown, BadGateway, IfSafe, false, KeepClaim},
	TurnedAway:      {"turned_away", NotRun, SafeRefusal, Always, true, RevokeClaim},
	WrongServer:     {"wrong_server", NotRun, SafeRefusal, Always, false, RevokeClaim},
	Answered:        {"answered", Ran, ForwardResponse, Never, true, CompleteClaim},
	Failed:          {"failed", Ran, ForwardResponse, IfSafe, true, CompleteClaim},
	Streaming:       {"passing", Ran, ForwardResponse, Never, false, KeepClaim},
	Streamed:        {"passed_on", Ran, ForwardResponse, Never, true, KeepClaim},
	StreamCut:       {"passing_cut", Ran, AbortConnection, Never, false, KeepClaim},
	ClientGone:      {"client_gone", Ran, AbortConnection, Never, false, KeepClaim},
}

// Consequence finds what follows from the cause.
func (c Cause) Consequence() Consequence { return consequences[c] }

func (c Cause) String() string { return consequences[c].Name }

// Response is what came back from a server that was sent a request.
type Response struct {
	Received  bool // at all
	OwnID     bool // it carries this try's id
	Delimited bool // it tells its own end
	Complete  bool // and came up to it, or is long and still coming
	NotRun    bool // it says that the request was not run
	Success   bool // a success
	Sealed    bool // with the server's seal
	Partial   bool // it is not held whole, and still coming
	Switched  bool // it changes the protocol
	Encoded   bool // its body has a content coding that was not asked for
	Status    int  // 0: not told, of a server that is known to keep the protocol
}

// PromisesNotRun tells whether a status promises that the request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// HeadCause is the cause for which an answer's head alone ends the try; ok tells that it doesn't, and the body counts.
func (a Response) HeadCause() (cause Cause, ok bool) {
	switch {
	case !a.Received:
		return BrokenOff, false
	case !a.OwnID:
		return Foreign, false
	case a.Switched:
		return Switched, false
	case !a.Delimited:
		return Endless, false
	case a.Encoded:
		return Encoded, false
	case a.Success && a.NotRun:
		return Contradictory, false
	case a.Success && !a.Sealed:
		return Unsealed, false
	case PromisesNotRun(a.Status) && !a.NotRun:
		return Unproven, false
	}
	return 0, true
}

// Cause tells how a try is over that brought this answer. Of an answer that is not this try's, or not whole, nothing is
// believed: not even that it didn't run.
func (a Response) Cause() Cause {
	cause, ok := a.HeadCause()
	switch {
	case !ok:
		return cause
	case !a.Complete:
		return Cut
	case a.NotRun && a.Partial:
		return Lengthy
	case a.NotRun && a.Status == http.StatusMisdirectedRequest:
		return WrongServer
	case a.NotRun:
		return TurnedAway
	case a.Partial:
		return Streaming
	case a.Status >= serverErrorStatus:
		return Failed
	default:
		return Answered
	}
}

// Outcome is what is known after this answer.
func (a Response) Outcome() Outcome { return a.Cause().Consequence().Outcome }
