package attempt

import "net/http"

// Outcome is what is known after an attempt about whether the server ran the request.
type Outcome uint8

// The outcomes. Only NotSent and NotRun allow another attempt of a request that must not run twice, or a response that
// promises the client that the request didn't run.
const (
	NotSent Outcome = iota // no byte of the request was sent
	NotRun                 // the server reported that it did not run the request
	Ran                    // a complete response of this attempt was received, or one is being forwarded
	Unknown                // the request may have run
)

// String returns the outcome's name in metrics. Dashboards use the names of the first version, such as perhaps for Unknown.
func (o Outcome) String() string {
	return [...]string{"not_sent", "not_run", "ran", "perhaps"}[min(o, Unknown)]
}

func (o Outcome) mayHaveRun() bool { return o == Ran || o == Unknown }

// Disposition is the kind of response that the client receives.
type Disposition uint8

// The dispositions.
const (
	SafeRefusal     Disposition = iota // 503 with Retry-After: promises that the request has not run and never will
	ForwardResponse                    // the server's response
	BadGateway                         // 502: the request may have run
	GatewayTimeout                     // 504: the request may have run
	AbortConnection                    // the client's connection is closed, since part of a response was already forwarded
)

// RetryRule states which requests may be retried on another server.
type RetryRule uint8

// The rules.
const (
	Never  RetryRule = iota
	IfSafe           // requests that may run more than once
	Always           // all requests, including unsafe and keyed ones: it is proved that the request didn't run
)

// ClaimAction is what is done with the claim of a keyed operation.
type ClaimAction uint8

// The actions.
const (
	KeepClaim     ClaimAction = iota // repeats receive 409 until the key window ends
	RevokeClaim                      // a repeat of the operation may run
	CompleteClaim                    // the response is stored and returned to repeats
)

// Cause is the reason why an attempt ended. Each cause has one row in the table of consequences.
type Cause uint8

// The causes, in the order of the states in which they occur.
const (
	NoCapacity            Cause = iota // no server was chosen: none has a free slot
	DeadlineTooNear                    // no server was chosen: the deadline is too near
	ClientLeft                         // no server was chosen: the client has disconnected
	NoConnection                       // no connection could be established
	DrainedBeforeSend                  // the server began to drain before the first byte was written
	ClosedBeforeSend                   // the connection was closed before the first byte was written
	ResponseTimeout                    // the deadline passed after the first byte was written
	ConnectionBroken                   // closed, or returned bytes that are not a response, before a complete header
	ClientAborted                      // the client disconnected after the first byte was written, or its body ended early
	ForeignResponse                    // the response carries another attempt's ID, no ID or several
	ProtocolSwitched                   // the response switches the protocol
	Undelimited                        // the response has neither a length nor chunked encoding
	UnexpectedEncoding                 // the response has a content coding that the client did not request
	UnconfirmedRejection               // a status that means not run, without the header that confirms it
	ContradictoryResponse              // a 2xx status with the header that reports that the request did not run
	MissingSeal                        // a 2xx status without the server's seal
	OversizedRejection                 // the server rejected the request with a body that exceeds the buffer
	BodyTruncated                      // the response body ended early; none of it was forwarded
	Rejected                           // the server reported that it did not run the request
	WrongServer                        // another server now has the address and did not run the request
	Completed                          // a complete response
	ServerError                        // a complete response with a 5xx status
	Streaming                          // an oversized response is being forwarded, of which the beginning is buffered
	Streamed                           // an oversized response was forwarded completely
	StreamTruncated                    // an oversized response ended early after its beginning was forwarded
	ClientDisconnected                 // the client stopped reading an oversized response
	causes
)

// Consequence is the set of decisions that follow from a cause.
type Consequence struct {
	Name        string // used in logs and in docs/attempts.md
	Outcome     Outcome
	Disposition Disposition
	Retry       RetryRule
	ReuseConn   bool // the connection may be reused, unless the server closes it
	Claim       ClaimAction
}

// consequences defines all decisions that follow from a cause. docs/attempts.md shows the same table.
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

// Consequence returns the row of the table for the cause.
func (c Cause) Consequence() Consequence { return consequences[c] }

// String returns the cause's name in logs.
func (c Cause) String() string { return consequences[c].Name }

// Response describes what a server returned for a request. Fields after Received are valid only if it is set.
type Response struct {
	Received           bool // any response arrived
	IDMatches          bool // it carries this attempt's ID, exactly once
	Delimited          bool // it has a length, chunked encoding or by definition no body
	Complete           bool // its end was received, or it is Oversized and still arriving
	NotRun             bool // it reports that the request was not run
	Success            bool // its status is 2xx
	Sealed             bool // it carries the server's seal
	Oversized          bool // its body exceeds the buffer
	ProtocolSwitched   bool // it switches the protocol
	UnexpectedEncoding bool // its body has a content coding that the client did not request
	Status             int  // HTTP status; 0 if not given, for a server that is known to follow the protocol
}

// PromisesNotRun reports whether an HTTP status promises that the request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// HeaderCause returns the cause if the response's header alone ends the attempt. If ok is true it does not, and the body
// must be read.
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

// Cause returns the cause of an attempt that received this response. A response that doesn't belong to the attempt, or is
// not complete, is not trusted: not even its report that the request didn't run.
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

// Outcome returns what is known after this response.
func (r Response) Outcome() Outcome { return r.Cause().Consequence().Outcome }
