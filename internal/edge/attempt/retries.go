// Package attempt implements the attempts and retries of one request. An Attempt is the state machine of the request at one
// server; Retries decides after each attempt whether another server is tried and which response the client receives.
//
// One table (consequences.go) lists every cause that can end an attempt and its consequences: the outcome, the client's
// response, whether the request may be retried, whether the connection is reused and what is done with the claim of a keyed
// operation. docs/attempts.md shows the table. The package does no I/O and reads no clock.
//
// The invariants: a request that may run only once is never sent again after it may have run; a client is promised that a
// request never ran only if that is proved for every server that was tried; a connection is reused only after a complete
// response.
package attempt

// Next is the decision after an attempt.
type Next uint8

// The decisions.
const (
	Stop      Next = iota
	RetryFree      // try another server without the retry budget: no server was reached yet, or the retry is already paid for
	RetryPaid      // try another server if the retry budget allows it
)

// serverErrorStatus is the lowest HTTP status that is a server error, which another server may not return.
const serverErrorStatus = 500

// maxAttempts limits the attempts of a request, whether or not they reach a server: no further attempt is made after more than
// maxAttempts.
const maxAttempts = 6

// Retries is the state of all attempts of one request.
type Retries struct {
	Safe         bool // the request may run more than once
	MaxServers   int  // limit of attempts that may reach a server
	SentAttempts int  // attempts that reached a server
	Attempts     int  // all attempts that ended
	Paid         bool // a retry was taken from the retry budget and has not reached a server yet
	MayHaveRun   bool // the request may have run at one of the servers that were tried
}

// AfterAttempt counts an attempt that ended with this cause and returns the next step. resendable means that the complete
// request can be sent again and no part of a response was forwarded.
func (r *Retries) AfterAttempt(cause Cause, resendable bool) Next {
	consequence := cause.Consequence()
	r.Attempts++
	if consequence.Outcome != NotSent {
		r.SentAttempts++
		r.Paid = false
	}
	if consequence.Outcome.mayHaveRun() {
		r.MayHaveRun = true
	}
	mayRetry := consequence.Retry == Always || consequence.Retry == IfSafe && r.Safe
	switch {
	case !mayRetry || !resendable || r.SentAttempts >= r.MaxServers || r.Attempts > maxAttempts:
		return Stop
	case r.SentAttempts > 0 && !r.Paid: // a server was already reached, so the next attempt is a retry
		return RetryPaid
	default:
		return RetryFree
	}
}

// AfterOutcome is like AfterAttempt, for callers that know only the outcome and the response's status.
func (r *Retries) AfterOutcome(o Outcome, status int, resendable bool) Next {
	return r.AfterAttempt(typicalCause(o, status), resendable)
}

func typicalCause(o Outcome, status int) Cause {
	switch {
	case o == NotSent:
		return NoConnection
	case o == NotRun:
		return Rejected
	case o == Ran && status >= serverErrorStatus:
		return ServerError
	case o == Ran:
		return Completed
	default:
		return ConnectionBroken
	}
}

// Disposition returns the kind of response for the client after an attempt that ended with this cause. A refusal promises
// that the request never ran, which must hold for all servers that were tried and not only for the last one.
func (r *Retries) Disposition(cause Cause) Disposition {
	if d := cause.Consequence().Disposition; d != SafeRefusal || !r.MayHaveRun {
		return d
	}
	return BadGateway
}

// Supersedes reports whether the result of an attempt that ended with this cause replaces the previous result. After an
// attempt that may have run, an attempt that never ran adds no information for the client.
func (r *Retries) Supersedes(cause Cause) bool {
	return !r.MayHaveRun || cause.Consequence().Outcome.mayHaveRun()
}

// ClaimAction returns what is done with a keyed operation's claim after an attempt that ended with this cause.
func (r *Retries) ClaimAction(cause Cause) ClaimAction {
	if action := cause.Consequence().Claim; action != RevokeClaim || !r.MayHaveRun {
		return action
	}
	return KeepClaim
}
