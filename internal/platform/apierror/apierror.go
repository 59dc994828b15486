// Package apierror is the closed list of the gateway's error kinds and the one table from kind to answer.
package apierror

import (
	"net/http"

	"github.com/joomcode/errorx"
)

var space = errorx.NewNamespace("mulleinwood")

// The kinds of error.
var (
	Settings    = space.NewType("settings")     // the settings file is missing or wrong
	NoRoute     = space.NewType("no_route")     // no route matches host and path
	Malformed   = space.NewType("malformed")    // the request can't be read or lacks what its route needs
	TooLarge    = space.NewType("too_large")    // over the configuration's limits
	SlowBody    = space.NewType("slow_body")    // the body did not come in time; nothing was sent
	AtWork      = space.NewType("at_work")      // the key's operation is being run
	NotReady    = space.NewType("not_ready")    // no configuration held yet
	NoServer    = space.NewType("no_server")    // no server to send to; nothing was sent
	Busy        = space.NewType("busy")         // no free slot in time; nothing was sent
	Unclaimed   = space.NewType("unclaimed")    // the key could not be claimed; nothing was sent
	ClientLeft  = space.NewType("client_left")  // the client left; nothing was sent
	NotRun      = space.NewType("not_run")      // servers rejected it; it never ran
	PerhapsRun  = space.NewType("perhaps_run")  // sent, and no complete response came
	TimedOut    = space.NewType("timed_out")    // sent, and the time ran out
	Invalid     = space.NewType("invalid")      // a configuration that breaks a demand
	Stale       = space.NewType("stale")        // built on a version that is not the current one
	NoLeader    = space.NewType("no_leader")    // nobody can decide now
	Unconfirmed = space.NewType("unconfirmed")  // a change whose outcome is not known
	Conflict    = space.NewType("conflict")     // what is asked can't be done in the present state
	Overbooked  = space.NewType("overbooked")   // more slots than could be kept
	UnknownCall = space.NewType("unknown_call") // no such call
)

// Response is how a kind is answered. Retry is the Retry-After in seconds, 0 for none: it stands only where the
// request has not run and never will.
type Response struct {
	Status     int
	RetryAfter float64
}

var responses = map[*errorx.Type]Response{
	NoRoute:     {http.StatusNotFound, 0},
	Malformed:   {http.StatusBadRequest, 0},
	TooLarge:    {http.StatusRequestEntityTooLarge, 0},
	SlowBody:    {http.StatusRequestTimeout, 0.2},
	AtWork:      {http.StatusConflict, 0},
	NotReady:    {http.StatusServiceUnavailable, 0.2},
	NoServer:    {http.StatusServiceUnavailable, 0.2},
	Busy:        {http.StatusServiceUnavailable, 0.1},
	Unclaimed:   {http.StatusServiceUnavailable, 1}, // more than half of the core is out of reach: that takes a while
	ClientLeft:  {http.StatusServiceUnavailable, 0.2},
	NotRun:      {http.StatusServiceUnavailable, 0.1},
	PerhapsRun:  {http.StatusBadGateway, 0},
	TimedOut:    {http.StatusGatewayTimeout, 0},
	Invalid:     {http.StatusBadRequest, 0},
	Stale:       {http.StatusPreconditionFailed, 0},
	NoLeader:    {http.StatusServiceUnavailable, 0.2},
	Unconfirmed: {http.StatusBadGateway, 0},
	Conflict:    {http.StatusConflict, 0},
	Overbooked:  {http.StatusConflict, 0},
	UnknownCall: {http.StatusNotFound, 0},
}

// For finds the answer to an error; one of no kind of ours is an unconfirmed outcome.
func For(err error) Response {
	for kind, answer := range responses {
		if errorx.IsOfType(err, kind) {
			return answer
		}
	}
	return responses[PerhapsRun]
}

// Kind is the short name of an error's kind, for logs.
func Kind(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Type().FullName()
	}
	return "unknown"
}
