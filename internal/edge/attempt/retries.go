// Package attempt follows one request from server to server. An Attempt is the request at one server, as a state machine;
// Retries decides, after each attempt that is over, whether another server is tried and what the client is told.
//
// How an attempt can end, and what follows from each way, stands in one table (consequences.go): the outcome, what the
// client is told, whether the request may be sent again, whether the connection is reused and what becomes of the claim of
// a keyed operation. docs/attempts.md shows it. The package does no I/O and reads no clock.
//
// The invariants: what may run only once is never sent again after it may have run; a client is promised that a request
// never ran only if that is proved for every server that was tried; a connection is reused only after a complete response.
package attempt

// Next says what follows an attempt.
type Next uint8

// What may follow.
const (
	Stop      Next = iota
	RetryFree      // another server, at no cost: none was reached yet, or the retry is paid for
	RetryPaid      // another server, if the retry budget allows it
)

// serverErrorStatus is the status from which a server's response is a failure of its own, which may not happen elsewhere.
const serverErrorStatus = 500

// maxAttempts bounds the attempts of a request, whether or not they reach a server.
const maxAttempts = 6

// Retries is what is known of all attempts of one request.
type Retries struct {
	Safe         bool // the request may run more than once
	MaxServers   int  // servers that it may reach
	SentAttempts int  // attempts that reached a server
	Attempts     int
	Paid         bool // a retry is paid for that has reached no server yet
	MayHaveRun   bool // at one of the servers that were tried
}

// AfterAttempt counts an attempt that is over for this cause, and says what follows. Resendable reports whether the complete
// request can be sent again and nothing of a response was forwarded.
func (r *Retries) AfterAttempt(cause Cause, resendable bool) Next {
	then := cause.Consequence()
	r.Attempts++
	if then.Outcome != NotSent {
		r.SentAttempts++
		r.Paid = false
	}
	if then.Outcome.mayHaveRun() {
		r.MayHaveRun = true
	}
	mayRetry := then.Retry == Always || then.Retry == IfSafe && r.Safe
	switch {
	case !mayRetry || !resendable || r.SentAttempts >= r.MaxServers || r.Attempts > maxAttempts:
		return Stop
	case r.SentAttempts > 0 && !r.Paid: // the next server may be the second that the request reaches
		return RetryPaid
	default:
		return RetryFree
	}
}

// AfterOutcome is AfterAttempt for callers that know only the outcome and the response's status.
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

// Disposition is what the client may be told after an attempt that is over for this cause. A refusal that promises that the
// request never ran has to hold for all servers that were tried, not only for the last one.
func (r *Retries) Disposition(cause Cause) Disposition {
	if d := cause.Consequence().Disposition; d != SafeRefusal || !r.MayHaveRun {
		return d
	}
	return BadGateway
}

// Supersedes reports whether the result of an attempt that is over for this cause takes the place of the previous one. After
// an attempt that may have run, one that never ran tells the client nothing new.
func (r *Retries) Supersedes(cause Cause) bool {
	return !r.MayHaveRun || cause.Consequence().Outcome.mayHaveRun()
}

// ClaimAction is what becomes of a keyed operation's claim after an attempt that is over for this cause.
func (r *Retries) ClaimAction(cause Cause) ClaimAction {
	if action := cause.Consequence().Claim; action != RevokeClaim || !r.MayHaveRun {
		return action
	}
	return KeepClaim
}
