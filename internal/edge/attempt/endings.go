package attempt

import "net/http"

// Ending says what is known of a request after a try.
type Ending uint8

// The endings. Only the first two allow a try elsewhere for what must not run twice, and a refusal that promises.
const (
	NotSent Ending = iota // no byte left for the server
	NotRun                // the server says that it did not run
	Ran                   // a whole answer of this try came, or began and is passed on
	Perhaps               // anything else
)

func (e Ending) String() string {
	return [...]string{"not_sent", "not_run", "ran", "perhaps"}[min(e, Perhaps)]
}

func (e Ending) mayHaveRun() bool { return e == Ran || e == Perhaps }

// Tell is what the client may be told.
type Tell uint8

// What the client may be told.
const (
	Promise        Tell = iota // 503 with Retry-After: it has not run and never will
	PassOn                     // the server's answer
	BadGateway                 // 502: nothing is promised
	GatewayTimeout             // 504: nothing is promised
	BreakOff                   // the connection is broken off: part of an answer was passed on
)

// Resend says for which requests another server may be tried.
type Resend uint8

// Which requests may be sent again.
const (
	Never  Resend = iota
	IfSafe        // those that may run more than once
	Always        // unsafe and keyed ones as well: it is proved that nothing ran
)

// Claim is what becomes of a keyed operation's claim.
type Claim uint8

// What becomes of a claim.
const (
	Leave    Claim = iota // repeats are told 409 until the window is over
	Withdraw              // a repeat may run
	Finish                // the answer is kept for repeats
)

// Cause is the way in which a try came to be over: one line of the table.
type Cause uint8

// The causes, in the order of a try's life.
const (
	NoRoom        Cause = iota // no server was chosen: none has room
	NoTime                     // none was chosen: the deadline is too near
	NoConnection               // no connection came about
	ServerLeft                 // the server began to leave before the first byte
	Unsent                     // the connection ended before the first byte
	Silence                    // the time ran out after the first byte
	BrokenOff                  // the connection ended, or brought bytes that are no answer, before a whole head
	ClientStopped              // the client's body ended early after the first byte
	Foreign                    // the answer has another try's id, none, or several
	Switched                   // the answer changes the protocol
	Endless                    // the answer doesn't tell its own end
	Encoded                    // the answer's body has a content coding that was not asked for
	Unproven                   // a status that promises, without the server's word that nothing ran
	Contradictory              // a success that says that nothing ran
	Unsealed                   // a success without a seal
	Lengthy                    // the server turns it away at length
	Cut                        // the answer's body ended early, and nothing of it was passed on
	TurnedAway                 // the server says that it did not run the request
	WrongServer                // another server has the address: it did not run the request
	Answered                   // a whole answer
	Failed                     // a whole answer that is the server's own failure
	Passing                    // a long answer, whose beginning is held and which is passed on as it comes
	PassedOn                   // a long answer came up to its end and was passed on
	PassingCut                 // a long answer ended early after its beginning was passed on
	ClientGone                 // the client took no more of a long answer
	causes
)

// Row is what follows from a cause.
type Row struct {
	Name   string
	Ending Ending
	Tell   Tell
	Again  Resend
	Keep   bool // the connection may be used again, unless the server closes it
	Claim  Claim
}

// table is the one place where these decisions stand. docs/attempts.md shows it.
var table = [causes]Row{
	NoRoom:        {"no_room", NotSent, Promise, Always, false, Withdraw},
	NoTime:        {"no_time", NotSent, Promise, Always, false, Withdraw},
	NoConnection:  {"no_connection", NotSent, Promise, Always, false, Withdraw},
	ServerLeft:    {"server_left", NotSent, Promise, Always, false, Withdraw},
	Unsent:        {"unsent", NotSent, Promise, Always, false, Withdraw},
	Silence:       {"silence", Perhaps, GatewayTimeout, IfSafe, false, Leave},
	BrokenOff:     {"broken_off", Perhaps, BadGateway, IfSafe, false, Leave},
	ClientStopped: {"client_stopped", Perhaps, BadGateway, Never, false, Leave},
	Foreign:       {"foreign", Perhaps, BadGateway, IfSafe, false, Leave},
	Switched:      {"switched", Perhaps, BadGateway, IfSafe, false, Leave},
	Endless:       {"endless", Perhaps, BadGateway, IfSafe, false, Leave},
	Encoded:       {"encoded", Perhaps, BadGateway, IfSafe, false, Leave},
	Unproven:      {"unproven", Perhaps, BadGateway, IfSafe, false, Leave},
	Contradictory: {"contradictory", Perhaps, BadGateway, IfSafe, false, Leave},
	Unsealed:      {"unsealed", Perhaps, BadGateway, IfSafe, false, Leave},
	Lengthy:       {"lengthy", Perhaps, BadGateway, IfSafe, false, Leave},
	Cut:           {"cut", Perhaps, BadGateway, IfSafe, false, Leave},
	TurnedAway:    {"turned_away", NotRun, Promise, Always, true, Withdraw},
	WrongServer:   {"wrong_server", NotRun, Promise, Always, false, Withdraw},
	Answered:      {"answered", Ran, PassOn, Never, true, Finish},
	Failed:        {"failed", Ran, PassOn, IfSafe, true, Finish},
	Passing:       {"passing", Ran, PassOn, Never, false, Leave},
	PassedOn:      {"passed_on", Ran, PassOn, Never, true, Leave},
	PassingCut:    {"passing_cut", Ran, BreakOff, Never, false, Leave},
	ClientGone:    {"client_gone", Ran, BreakOff, Never, false, Leave},
}

// Row finds what follows from the cause.
func (c Cause) Row() Row { return table[c] }

func (c Cause) String() string { return table[c].Name }

// Answer is what came back from a server that was sent a request.
type Answer struct {
	Came     bool // at all
	Ours     bool // it carries this try's id
	Ends     bool // it tells its own end
	Whole    bool // and came up to it, or is long and still coming
	NotRun   bool // it says that the request was not run
	Good     bool // a success
	Sealed   bool // with the server's seal
	Long     bool // it is not held whole, and still coming
	Switched bool // it changes the protocol
	Encoded  bool // its body has a content coding that was not asked for
	Status   int  // 0: not told, of a server that is known to keep the protocol
}

// Promising tells whether a status promises that the request has not run and never will.
func Promising(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Head is the cause for which an answer's head alone ends the try; ok tells that it doesn't, and the body counts.
func (a Answer) Head() (cause Cause, ok bool) {
	switch {
	case !a.Came:
		return BrokenOff, false
	case !a.Ours:
		return Foreign, false
	case a.Switched:
		return Switched, false
	case !a.Ends:
		return Endless, false
	case a.Encoded:
		return Encoded, false
	case a.Good && a.NotRun:
		return Contradictory, false
	case a.Good && !a.Sealed:
		return Unsealed, false
	case Promising(a.Status) && !a.NotRun:
		return Unproven, false
	}
	return 0, true
}

// Cause tells how a try is over that brought this answer. Of an answer that is not this try's, or not whole, nothing is
// believed: not even that it didn't run.
func (a Answer) Cause() Cause {
	cause, ok := a.Head()
	switch {
	case !ok:
		return cause
	case !a.Whole:
		return Cut
	case a.NotRun && a.Long:
		return Lengthy
	case a.NotRun && a.Status == http.StatusMisdirectedRequest:
		return WrongServer
	case a.NotRun:
		return TurnedAway
	case a.Long:
		return Passing
	case a.Status >= failed:
		return Failed
	default:
		return Answered
	}
}

// Ending is what is known after this answer.
func (a Answer) Ending() Ending { return a.Cause().Row().Ending }
