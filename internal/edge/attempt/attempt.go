// Package attempt follows one request from server to server. A Try is the life of a request at one server, as a state
// machine. How a try can end, and what follows from each way, stands in one table (endings.go): what the client is told,
// whether the request may be sent again, whether the connection is kept and what becomes of the claim of a keyed
// operation. The package does no I/O and reads no clock.
package attempt

// Next says what follows a try.
type Next uint8

// What may follow.
const (
	Stop  Next = iota
	Again      // another server, at no cost: none was reached yet, or it is paid for
	Pay        // another server, if the retry budget allows it
)

// failed is the status from which a server's answer is a failure of its own, which may be otherwise elsewhere.
const failed = 500

// mostTried bounds the servers that are tried, reached or not.
const mostTried = 6

// Attempt is one request's way.
type Attempt struct {
	Safe       bool // it may run more than once
	Most       int  // servers that it may reach
	Sent       int  // tries that reached a server
	Tried      int
	Paid       bool // for a further try that reached none yet
	MayHaveRun bool // at one of the servers that were tried
}

// Over takes the cause for which a try is over. Held tells whether all of the request can be sent again, and nothing of
// an answer was passed on.
func (a *Attempt) Over(cause Cause, held bool) Next {
	row := cause.Row()
	a.Tried++
	if row.Ending != NotSent {
		a.Sent++
		a.Paid = false
	}
	if row.Ending.mayHaveRun() {
		a.MayHaveRun = true
	}
	again := row.Again == Always || row.Again == IfSafe && a.Safe
	switch {
	case !again || !held || a.Sent >= a.Most || a.Tried > mostTried:
		return Stop
	case a.Sent > 0 && !a.Paid: // the next server may be the second that it reaches
		return Pay
	default:
		return Again
	}
}

// Ended is Over for those who know only the ending and the answer's status.
func (a *Attempt) Ended(e Ending, status int, held bool) Next {
	switch {
	case e == NotSent:
		return a.Over(NoConnection, held)
	case e == NotRun:
		return a.Over(TurnedAway, held)
	case e == Ran && status >= failed:
		return a.Over(Failed, held)
	case e == Ran:
		return a.Over(Answered, held)
	default:
		return a.Over(BrokenOff, held)
	}
}

// Tell is what the client may be told after a try that is over for this cause. A promise that the request never ran has
// to hold for all servers that were tried, not only for the last one.
func (a *Attempt) Tell(cause Cause) Tell {
	if tell := cause.Row().Tell; tell != Promise || !a.MayHaveRun {
		return tell
	}
	return BadGateway
}

// Supersedes tells whether an outcome for this cause takes the place of the former one. After a try that may have run, one
// that never ran tells the client nothing new.
func (a *Attempt) Supersedes(cause Cause) bool {
	return !a.MayHaveRun || cause.Row().Ending.mayHaveRun()
}

// Claim is what becomes of a keyed operation's claim after a try that is over for this cause.
func (a *Attempt) Claim(cause Cause) Claim {
	if claim := cause.Row().Claim; claim != Withdraw || !a.MayHaveRun {
		return claim
	}
	return Leave
}
