package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/edge/attempt"
)

// outcome is how a try ended, and the answer if there is one.
type outcome struct {
	cause  attempt.Cause
	status int
	header http.Header // without what concerns the server's connection
	body   []byte
	rest   io.Reader // of an answer that isn't held whole; end has to be called then
	length int64     // of the whole answer, where rest is set; -1: not told
	end    func(fromServer, toClient error) attempt.Cause
	err    error // what happened, where no answer can be passed on
}

// exchange is a try while it goes on.
type exchange struct {
	*Proxy
	t      *task
	u      *upstream
	ctx    context.Context
	cancel context.CancelFunc
	conn   *serverConn
	life   attempt.Try
	sent   time.Duration
}

// errLeft says that a server began to leave while a connection to it was made.
var errLeft = errors.New("server left")

// try sends the request to one server.
func (c *Proxy) try(t *task, u *upstream) outcome {
	e := &exchange{Proxy: c, t: t, u: u}
	e.ctx, e.cancel = context.WithTimeout(context.WithoutCancel(t.r.Context()), t.until-c.now()-wayBack)
	out := e.run(t.rest != nil || t.route.Kind != config.Safe && c.distrusts(u.Service))
	if out.rest == nil {
		e.cancel()
	}
	return out
}

// run is the whole exchange. A connection that was free and ended before the first byte is replaced by a new one: nothing
// was sent.
func (e *exchange) run(fresh bool) outcome {
	if err := e.connect(fresh); err != nil {
		e.done(e.u, 0, false, false)
		return outcome{cause: e.life.Cause, err: err}
	}
	resp, err := e.send()
	if err == nil {
		return e.receive(resp)
	}
	if ended := e.life.Cause == attempt.Unsent || e.life.Cause == attempt.BrokenOff; ended && e.conn.used && e.ctx.Err() == nil {
		e.distrust(e.u.Service)
		if e.life.Cause == attempt.Unsent {
			e.life = attempt.Try{}
			return e.run(true)
		}
	}
	e.done(e.u, 0, true, e.life.Cause == attempt.ClientStopped)
	return outcome{cause: e.life.Cause, err: fmt.Errorf("server %s: %w", e.u.ID, err)}
}

// connect finds a connection, unless the server leaves meanwhile.
func (e *exchange) connect(fresh bool) error {
	e.life.On(attempt.Connect)
	ctx, cancel := context.WithTimeout(e.ctx, dialLimit)
	defer cancel()
	conn, err := e.Proxy.connect(ctx, e.u, fresh)
	if err != nil {
		e.life.On(attempt.Closed)
		return fmt.Errorf("dial: %w", err)
	}
	e.conn = conn
	e.life.On(attempt.Connection)
	if e.u.left() {
		e.conn.conn.Close()
		e.life.On(attempt.Left)
		return errLeft
	}
	return nil
}

// send writes the request and waits for the head of an answer.
func (e *exchange) send() (*http.Response, error) {
	req := e.request(e.ctx, e.t, e.u)
	e.sent = e.now()
	e.conn.watched.begin()
	resp, err := e.conn.conn.RoundTrip(req)
	if err == nil {
		e.life.On(attempt.FirstByte)
		e.life.On(attempt.AnswerBegins)
		return resp, nil
	}
	e.conn.conn.Close()
	if e.conn.watched.wrote() { // asked after the close: from then on no byte leaves
		e.life.On(attempt.FirstByte)
	}
	broke := e.t.rest.failure()
	switch {
	case e.ctx.Err() != nil:
		e.life.On(attempt.TimeOut)
	case broke != nil: // the client broke off, or was too slow: not the server's doing
		e.life.On(attempt.ClientEnds)
		err = fmt.Errorf("body: %w", broke)
	default:
		e.life.On(attempt.Closed)
	}
	return nil, err
}

// receive takes a server's answer: whole if it is short, else its beginning.
func (e *exchange) receive(resp *http.Response) outcome {
	header := endToEnd(resp.Header)
	a := e.judge(resp, header)
	var body []byte
	var err error
	if e.life.OnHead(a) {
		body, err = e.hold(resp, &a)
	}
	out := outcome{cause: e.life.Cause, status: resp.StatusCode, header: header, body: body}
	ending := out.cause.Row().Ending
	if ending == attempt.Perhaps {
		e.distrust(e.u.Service)
	} else {
		e.tell(e.u, resp.Header)
	}
	if out.cause != attempt.Passing {
		out.err = e.explain(resp, err)
	}
	took, answered := e.now()-e.sent, ending == attempt.Ran && out.status < http.StatusInternalServerError
	if e.life.State == attempt.Over {
		e.end(resp, took, answered)
		return out
	}
	out.rest, out.length = resp.Body, resp.ContentLength
	out.end = func(fromServer, toClient error) attempt.Cause {
		e.passedOn(fromServer, toClient)
		e.end(resp, took, answered)
		e.cancel()
		e.waiting.wake(e.t.service)
		return e.life.Cause
	}
	return out
}

// judge reads the head of an answer. It is this try's only if it carries its id, once.
func (e *exchange) judge(resp *http.Response, header http.Header) attempt.Answer {
	ids := header["X-Attempt-Id"]
	return attempt.Answer{
		Came:     true,
		Ours:     len(ids) == 1 && ids[0] == e.t.id,
		Ends:     resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || bodiless(e.t.r.Method, resp.StatusCode),
		NotRun:   header.Get("X-Not-Run") != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		Good:     resp.StatusCode/100 == 2,
		Sealed:   header.Get("X-Server-Seal") != "",
		Switched: resp.StatusCode == http.StatusSwitchingProtocols,
		Encoded:  header["Content-Encoding"] != nil && e.t.r.Header["Accept-Encoding"] == nil,
		Status:   resp.StatusCode,
	}
}

// hold reads as much of an answer's body as may be held.
func (e *exchange) hold(resp *http.Response, a *attempt.Answer) ([]byte, error) {
	most := int64(answerHeld)
	if e.t.route.Kind == config.Keyed {
		most = answerKept
	}
	body, whole, booked, err := e.held.hold(resp.Body, resp.ContentLength, most)
	e.t.booked += booked
	switch {
	case err == nil:
		a.Whole, a.Long = true, !whole
		e.life.OnBody(*a)
	case e.ctx.Err() != nil:
		e.life.On(attempt.TimeOut)
	default:
		e.life.On(attempt.Closed)
	}
	return body, err
}

// explain tells for the log why an answer can't be passed on.
func (e *exchange) explain(resp *http.Response, err error) error {
	switch e.life.Cause {
	case attempt.Answered, attempt.Failed:
		return nil
	case attempt.Foreign:
		return fmt.Errorf("answer of server %s belongs to another try: %q", e.u.ID, resp.Header["X-Attempt-Id"])
	}
	if err != nil {
		return fmt.Errorf("answer of server %s breaks off: %w", e.u.ID, err)
	}
	return fmt.Errorf("answer of server %s has status %d", e.u.ID, resp.StatusCode)
}

// passedOn takes how the passing on of a long answer ended.
func (e *exchange) passedOn(fromServer, toClient error) {
	switch {
	case fromServer != nil:
		e.life.On(attempt.Closed)
	case toClient != nil:
		e.life.On(attempt.ClientEnds)
	default:
		e.life.OnPassedOn()
	}
}

// end gives the connection and the server's place back.
func (e *exchange) end(resp *http.Response, took time.Duration, answered bool) {
	resp.Body.Close()
	keep := e.life.Cause.Row().Keep && !resp.Close
	if keep && e.t.rest == nil { // after a long body it isn't known whether all of it was taken
		e.u.free(e.conn, e.now(), resp.Header)
	} else {
		e.conn.conn.Close()
	}
	e.done(e.u, took, true, answered)
}

// distrust notes that a service's connections can't be reused safely for now: servers drop them, or send on them what
// belongs to no request. What must not run twice then goes on new ones, where nothing is left over; a new connection
// costs little beside an operation whose outcome nobody knows.
func (c *Proxy) distrust(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubted[service] = c.now() + distrustFor
}

func (c *Proxy) distrusts(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now() < c.doubted[service]
}
