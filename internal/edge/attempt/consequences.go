package attempt

import "net/http"

// Outcome says what is known of a request after an attempt.
type Outcome uint8

// The outcomes. Only the first two allow an attempt elsewhere for what must not run twice, and a refusal that promises.
const (
	NotSent Outcome = iota // no byte left for the server
	NotRun                 // the server says that it did not run the request
	Ran                    // a complete response of this attempt came, or began and is forwarded
	Unknown                // anything else
)

// String is the outcome's name in metrics. The names are those of the first version, since dashboards read them.
func (o Outcome) String() string {
	return [...]string{"not_sent", "not_run", "ran", "perhaps"}[min(o, Unknown)]
}

func (o Outcome) mayHaveRun() bool { return o == Ran || o == Unknown }

// Disposition is what the client may be told.
type Disposition uint8

// The dispositions.
const (
	SafeRefusal     Disposition = iota // 503 with Retry-After: the request has not run and never will
	ForwardResponse                    // the server's response
	BadGateway                         // 502: nothing is promised
	GatewayTimeout                     // 504: nothing is promised
	AbortConnection                    // the client's connection is broken off: part of a response was forwarded
)

// RetryRule says for which requests another server may be tried.
type RetryRule uint8

// The rules.
const (
	Never  RetryRule = iota
	IfSafe           // those that may run more than once
	Always           // unsafe and keyed ones as well: it is proved that nothing ran
)

// ClaimAction is what becomes of a keyed operation's claim.
type ClaimAction uint8

// The actions.
const (
	KeepClaim     ClaimAction = iota // repeats are told 409 until the window is over
	RevokeClaim                      // a repeat may run
	CompleteClaim                    // the response is kept for repeats
)

// Cause is the way in which an attempt ended: one line of the table.
type Cause uint8

// The causes, in the order of the states of an attempt.
const (
	NoCapacity            Cause = iota // no server was chosen: none has a free slot
	DeadlineTooNear                    // none was chosen: the deadline is too near
	ClientLeft                         // none was chosen: the client has left
	NoConnection                       // no connection could be made
	DrainedBeforeSend                  // the server began to drain before the first byte
	ClosedBeforeSend                   // the connection ended before the first byte
	ResponseTimeout                    // the deadline passed after the first byte
	ConnectionBroken                   // the connection ended, or brought bytes that are no response, before a complete head
	ClientAborted                      // the client left after the first byte, or its body ended early
	ForeignResponse                    // the response has another attempt's id, none, or several
	ProtocolSwitched                   // the response changes the protocol
	Undelimited                        // the response doesn't tell its own end
	UnexpectedEncoding                 // the response's body has a content coding that was not asked for
	UnconfirmedRejection               // a status that promises, without the server's word that nothing ran
	ContradictoryResponse              // a success that says that nothing ran
	MissingSeal                        // a success without a seal
	OversizedRejection                 // the server turns the request away at length
	BodyTruncated                      // the response's body ended early, and nothing of it was forwarded
	Rejected                           // the server says that it did not run the request
	WrongServer                        // another server has the address: it did not run the request
	Completed                          // a complete response
	ServerError                        // a complete response that is the server's own failure
	Streaming                          // a long response, whose beginning is buffered and which is forwarded as it comes
	Streamed                           // a long response came up to its end and was forwarded
	StreamTruncated                    // a long response ended early after its beginning was forwarded
	ClientDisconnected                 // the client took no more of a long response
	causes
)

// Consequence is what follows from a cause.
type Consequence struct {
	Name        string // for logs and docs/attempts.md
	Outcome     Outcome
	Disposition Disposition
	Retry       RetryRule
	ReuseConn   bool // the connection may be used again, unless the server closes it
	Claim       ClaimAction
}

// consequences is the one place where these decisions stand. docs/attempts.md shows it.
var consequences = [causes]Consequence{
	NoCapacity:            {"no_capacity", NotSent, SafeRefusal, Always, false, RevokeClaim},
	DeadlineTooNear:       {"no_time", NotSent, SafeRefusal, Always, false, RevokeClaim},
	ClientLeft:            {"client_left", NotSent, SafeRefusal, Always, false, RevokeClaim},
	NoConnection:          {"no_connection", NotSent, SafeRefusal, Always, false, RevokeClaim},
	DrainedBeforeSend:     {"server_left", NotSent, SafeRefusal, Always, false, RevokeClaim},
	ClosedBeforeSend:      {"unsent", NotSent, SafeRefusal, Always, false, RevokeClaim},
	ResponseTimeout:       {"response_timeout", Unknown, GatewayTimeout, IfSafe, false, KeepClaim},
	ConnectionBroken:      {"broken_off", Unknown, BadGateway, IfSafe, false, KeepClaim},
	ClientAborted:         {"client_stopped", Unknown, BadGateway, Never, false, KeepClaim},
	ForeignResponse:       {"foreign", Unknown, BadGateway, IfSafe, false, KeepClaim},
	ProtocolSwitched:      {"switched", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Undelimited:           {"endless", Unknown, BadGateway, IfSafe, false, KeepClaim},
	UnexpectedEncoding:    {"encoded", Unknown, BadGateway, IfSafe, false, KeepClaim},
	UnconfirmedRejection:  {"unproven", Unknown, BadGateway, IfSafe, false, KeepClaim},
	ContradictoryResponse: {"contradictory", Unknown, BadGateway, IfSafe, false, KeepClaim},
	MissingSeal:           {"unsealed", Unknown, BadGateway, IfSafe, false, KeepClaim},
	OversizedRejection:    {"lengthy", Unknown, BadGateway, IfSafe, false, KeepClaim},
	BodyTruncated:         {"truncated", Unknown, BadGateway, IfSafe, false, KeepClaim},
	Rejected:              {"turned_away", NotRun, SafeRefusal, Always, true, RevokeClaim},
	WrongServer:           {"wrong_server", NotRun, SafeRefusal, Always, false, RevokeClaim},
	Completed:             {"answered", Ran, ForwardResponse, Never, true, CompleteClaim},
	ServerError:           {"failed", Ran, ForwardResponse, IfSafe, true, CompleteClaim},
	Streaming:             {"streaming", Ran, ForwardResponse, Never, false, KeepClaim},
	Streamed:              {"streamed", Ran, ForwardResponse, Never, true, KeepClaim},
	StreamTruncated:       {"stream_truncated", Ran, AbortConnection, Never, false, KeepClaim},
	ClientDisconnected:    {"client_disconnected", Ran, AbortConnection, Never, false, KeepClaim},
}

// Consequence finds what follows from the cause.
func (c Cause) Consequence() Consequence { return consequences[c] }

// String is the cause's name in logs.
func (c Cause) String() string { return consequences[c].Name }

// Response is what came back from a server that was sent a request.
type Response struct {
	Received           bool // at all
	IDMatches          bool // it carries this attempt's id, once
	Delimited          bool // it tells its own end
	Complete           bool // and came up to it, or is Partial and still coming
	NotRun             bool // it says that the request was not run
	Success            bool // its status is one of 2xx
	Sealed             bool // it carries the server's seal
	Oversized          bool // it is too long to be buffered
	ProtocolSwitched   bool // it changes the protocol
	UnexpectedEncoding bool // its body has a content coding that was not asked for
	Status             int  // 0: not stated, of a server that is known to keep the protocol
}

// PromisesNotRun reports whether a status promises that the request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// HeaderCause is the cause for which a response's head alone ends the attempt; ok: it doesn't, and the body counts.
func (r Response) HeaderCause() (cause Cause, ok bool) {
	switch {
	case !r.Received:
		return ConnectionBroken, false
	case !r.IDMatches:
		return ForeignResponse, false
	case r.ProtocolSwitched:
		return ProtocolSwitched, false
	case !r.Delimited:
		return Undelimited, false
	case r.UnexpectedEncoding:
		return UnexpectedEncoding, false
	case r.Success && r.NotRun:
		return ContradictoryResponse, false
	case r.Success && !r.Sealed:
		return MissingSeal, false
	case PromisesNotRun(r.Status) && !r.NotRun:
		return UnconfirmedRejection, false
	}
	return 0, true
}

// Cause tells how an attempt ends that brought this response. Of a response that doesn't belong to the attempt, or is not
// complete, nothing is believed: not even that the request didn't run.
func (r Response) Cause() Cause {
	cause, ok := r.HeaderCause()
	switch {
	case !ok:
		return cause
	case !r.Complete:
		return BodyTruncated
	case r.NotRun && r.Oversized:
		return OversizedRejection
	case r.NotRun && r.Status == http.StatusMisdirectedRequest:
		return WrongServer
	case r.NotRun:
		return Rejected
	case r.Oversized:
		return Streaming
	case r.Status >= serverErrorStatus:
		return ServerError
	default:
		return Completed
	}
}

// Outcome is what is known after this response.
func (r Response) Outcome() Outcome { return r.Cause().Consequence().Outcome }
