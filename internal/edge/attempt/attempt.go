// Package attempt follows one request from server to server. A Try is the life of a request at one server, as a state
// machine. How a try can end, and what follows from each way, stands in one table (endings.go): what the client is told,
// whether the request may be sent again, whether the connection is kept and what becomes of the claim of a keyed
// operation. The package does no I/O and reads no clock.
package attempt

// Next says what follows a try.
type Next uint8

// What may follow.
const (
	Stop      Next = iota
	RetryFree      // another server, at no cost: none was reached yet, or it is paid for
	RetryPaid      // another server, if the retry budget allows it
)

// serverErrorStatus is the status from which a server's answer is a failure of its own, which may be otherwise elsewhere.
const serverErrorStatus = 500

// maxAttempts bounds the servers that are tried, reached or not.
const maxAttempts = 6

// Retries is one request's way.
type Retries struct {
	Safe       bool // it may run more than once
	MaxSent    int  // servers that it may reach
	Sent       int  // tries that reached a server
	Attempts   int
	Paid       bool // for a further try that reached none yet
	MayHaveRun bool // at one of the servers that were tried
}

// AfterAttempt takes the cause for which a try is over. Held tells whether all of the request can be sent again, and nothing of
// an answer was passed on.
func (a *Retries) AfterAttempt(cause Cause, resendable bool) Next {
	then := cause.Consequence()
	a.Attempts++
	if then.Outcome != NotSent {
		a.Sent++
		a.Paid = false
	}
	if then.Outcome.mayHaveRun() {
		a.MayHaveRun = true
	}
	mayRetry := then.Retry == Always || then.Retry == IfSafe && a.Safe
	switch {
	case !mayRetry || !resendable || a.Sent >= a.MaxSent || a.Attempts > maxAttempts:
		return Stop
	case a.Sent > 0 && !a.Paid: // the next server may be the second that it reaches
		return RetryPaid
	default:
		return RetryFree
	}
}

// AfterOutcome is Over for those who know only the ending and the answer's status.
func (a *Retries) AfterOutcome(e Outcome, status int, resendable bool) Next {
	switch {
	case e == NotSent:
		return a.AfterAttempt(NoConnection, resendable)
	case e == NotRun:
		return a.AfterAttempt(TurnedAway, resendable)
	case e == Ran && status >= serverErrorStatus:
		return a.AfterAttempt(Failed, resendable)
	case e == Ran:
		return a.AfterAttempt(Answered, resendable)
	default:
		return a.AfterAttempt(BrokenOff, resendable)
	}
}

// Disposition is what the client may be told after a try that is over for this cause. A promise that the request never ran has
// to hold for all servers that were tried, not only for the last one.
func (a *Retries) Disposition(cause Cause) Disposition {
	if disposition := cause.Consequence().Disposition; disposition != SafeRefusal || !a.MayHaveRun {
		return disposition
	}
	return BadGateway
}

// Supersedes tells whether an outcome for this cause takes the place of the former one. After a try that may have run, one
// that never ran tells the client nothing new.
func (a *Retries) Supersedes(cause Cause) bool {
	return !a.MayHaveRun || cause.Consequence().Outcome.mayHaveRun()
}

// ClaimAction is what becomes of a keyed operation's claim after a try that is over for this cause.
func (a *Retries) ClaimAction(cause Cause) ClaimAction {
	if action := cause.Consequence().Claim; action != RevokeClaim || !a.MayHaveRun {
		return action
	}
	return KeepClaim
}
