// Package attempt follows one request from server to server. It holds the one table from what came of a try to what is
// known of it, and decides whether another try may follow: what must not run twice goes elsewhere only on proof that it
// never ran. It is a value without I/O and clock.
package attempt

// Ending says how a try at a server went.
type Ending uint8

// The endings. Only the first two allow a try elsewhere for what must not run twice, and a refusal that promises.
const (
	NotSent Ending = iota // no byte left for the server
	NotRun                // the server says that it did not run
	Ran                   // a whole answer of this try came
	Perhaps               // anything else
)

func (e Ending) String() string {
	return [...]string{"not_sent", "not_run", "ran", "perhaps"}[min(e, Perhaps)]
}

// Answer is what came back from a server that was sent a request.
type Answer struct {
	Came   bool // at all
	Ours   bool // it carries this try's id
	Ends   bool // it tells its own end
	Whole  bool // and came up to it, or is long and still coming
	NotRun bool // it says that the request was not run
	Good   bool // a success
	Sealed bool // with the server's seal
}

// Ending is the table. Of an answer that is not this try's, or not whole, nothing is believed: not even that it didn't run.
func (a Answer) Ending() Ending {
	switch {
	case !a.Came || !a.Ours || !a.Ends || !a.Whole:
		return Perhaps
	case a.NotRun:
		return NotRun
	case a.Good && !a.Sealed:
		return Perhaps
	default:
		return Ran
	}
}

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
	Safe  bool // it may run more than once
	Most  int  // servers that it may reach
	Sent  int  // tries that reached a server
	Tried int
	Paid  bool // for a further try that reached none yet
}

// Ended takes the ending of a try. Held tells whether all of it can be sent again.
func (a *Attempt) Ended(e Ending, status int, held bool) Next {
	a.Tried++
	if e != NotSent {
		a.Sent++
		a.Paid = false
	}
	again := e == NotSent || e == NotRun || a.Safe && (e == Perhaps || e == Ran && status >= failed)
	switch {
	case !again || !held || a.Sent >= a.Most || a.Tried > mostTried:
		return Stop
	case a.Sent > 0 && !a.Paid: // the next server may be the second that it reaches
		return Pay
	default:
		return Again
	}
}
