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

// attemptResult is how a try ended, and the answer if there is one.
type attemptResult struct {
	cause     attempt.Cause
	status    int
	header    http.Header // without what concerns the server's connection
	body      []byte
	remaining io.Reader // of an answer that isn't held whole; end has to be called then
	length    int64     // of the whole answer, where rest is set; -1: not told
	end       func(fromServer, toClient error) attempt.Cause
	err       error // what happened, where no answer can be passed on
}

// roundTrip is a try while it goes on.
type roundTrip struct {
	*Proxy
	clientReq *clientRequest
	upstream  *upstream
	ctx       context.Context
	cancel    context.CancelFunc
	conn      *serverConn
	attempt   attempt.Attempt
	sentAt    time.Duration
}

// errServerDraining says that a server began to leave while a connection to it was made.
var errServerDraining = errors.New("server left")

// attemptOnce sends the request to one server.
func (p *Proxy) attemptOnce(t *clientRequest, u *upstream) attemptResult {
	e := &roundTrip{Proxy: p, clientReq: t, upstream: u}
	e.ctx, e.cancel = context.WithTimeout(context.WithoutCancel(t.r.Context()), t.deadline-p.now()-returnMargin)
	out := e.do(t.bodyTail != nil || t.route.Kind != config.Safe && p.distrusts(u.Service))
	if out.remaining == nil {
		e.cancel()
	}
	return out
}

// do is the whole exchange. A connection that was free and ended before the first byte is replaced by a new one: nothing
// was sent.
func (rt *roundTrip) do(fresh bool) attemptResult {
	if err := rt.connect(fresh); err != nil {
		rt.releaseUpstream(rt.upstream, 0, false, false)
		return attemptResult{cause: rt.attempt.Cause, err: err}
	}
	resp, err := rt.send()
	if err == nil {
		return rt.receive(resp)
	}
	if ended := rt.attempt.Cause == attempt.Unsent || rt.attempt.Cause == attempt.BrokenOff; ended && rt.conn.used && rt.ctx.Err() == nil {
		rt.distrust(rt.upstream.Service)
		if rt.attempt.Cause == attempt.Unsent {
			rt.attempt = attempt.Attempt{}
			return rt.do(true)
		}
	}
	rt.releaseUpstream(rt.upstream, 0, true, rt.attempt.Cause == attempt.ClientStopped)
	return attemptResult{cause: rt.attempt.Cause, err: fmt.Errorf("server %s: %w", rt.upstream.ID, err)}
}

// connect finds a connection, unless the server leaves meanwhile.
func (rt *roundTrip) connect(fresh bool) error {
	rt.attempt.Handle(attempt.ConnectStarted)
	ctx, cancel := context.WithTimeout(rt.ctx, dialTimeout)
	defer cancel()
	conn, err := rt.Proxy.connect(ctx, rt.upstream, fresh)
	if err != nil {
		rt.attempt.Handle(attempt.ConnectionClosed)
		return fmt.Errorf("dial: %w", err)
	}
	rt.conn = conn
	rt.attempt.Handle(attempt.ConnectionReady)
	if rt.upstream.isDraining() {
		rt.conn.conn.Close()
		rt.attempt.Handle(attempt.ServerDraining)
		return errServerDraining
	}
	return nil
}

// send writes the request and waits for the head of an answer.
func (rt *roundTrip) send() (*http.Response, error) {
	req := rt.request(rt.ctx, rt.clientReq, rt.upstream)
	rt.sentAt = rt.now()
	rt.conn.tracked.resetWritten()
	resp, err := rt.conn.conn.RoundTrip(req)
	if err == nil {
		rt.attempt.Handle(attempt.FirstByte)
		rt.attempt.Handle(attempt.ResponseBegins)
		return resp, nil
	}
	rt.conn.conn.Close()
	if rt.conn.tracked.hasWritten() { // asked after the close: from then on no byte leaves
		rt.attempt.Handle(attempt.FirstByte)
	}
	broke := rt.clientReq.bodyTail.failure()
	switch {
	case rt.ctx.Err() != nil:
		rt.attempt.Handle(attempt.DeadlineExceeded)
	case broke != nil: // the client broke off, or was too slow: not the server's doing
		rt.attempt.Handle(attempt.ClientClosed)
		err = fmt.Errorf("body: %w", broke)
	default:
		rt.attempt.Handle(attempt.ConnectionClosed)
	}
	return nil, err
}

// receive takes a server's answer: whole if it is short, else its beginning.
func (rt *roundTrip) receive(resp *http.Response) attemptResult {
	header := copyEndToEnd(resp.Header)
	a := rt.classify(resp, header)
	var body []byte
	var err error
	if rt.attempt.HandleHead(a) {
		body, err = rt.readBody(resp, &a)
	}
	out := attemptResult{cause: rt.attempt.Cause, status: resp.StatusCode, header: header, body: body}
	ending := out.cause.Consequence().Outcome
	if ending == attempt.Unknown {
		rt.distrust(rt.upstream.Service)
	} else {
		rt.reportLoad(rt.upstream, resp.Header)
	}
	if out.cause != attempt.Streaming {
		out.err = rt.describe(resp, err)
	}
	took, answered := rt.now()-rt.sentAt, ending == attempt.Ran && out.status < http.StatusInternalServerError
	if rt.attempt.State == attempt.Done {
		rt.finish(resp, took, answered)
		return out
	}
	out.remaining, out.length = resp.Body, resp.ContentLength
	out.end = func(fromServer, toClient error) attempt.Cause {
		rt.handleStreamed(fromServer, toClient)
		rt.finish(resp, took, answered)
		rt.cancel()
		rt.queue.wake(rt.clientReq.service)
		return rt.attempt.Cause
	}
	return out
}

// classify reads the head of an answer. It is this try's only if it carries its id, once.
func (rt *roundTrip) classify(resp *http.Response, header http.Header) attempt.Response {
	ids := header["X-Attempt-Id"]
	return attempt.Response{
		Received:  true,
		OwnID:     len(ids) == 1 && ids[0] == rt.clientReq.id,
		Delimited: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || bodiless(rt.clientReq.r.Method, resp.StatusCode),
		NotRun:    header.Get("X-Not-Run") != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		Success:   resp.StatusCode/100 == 2,
		Sealed:    header.Get("X-Server-Seal") != "",
		Switched:  resp.StatusCode == http.StatusSwitchingProtocols,
		Encoded:   header["Content-Encoding"] != nil && rt.clientReq.r.Header["Accept-Encoding"] == nil,
		Status:    resp.StatusCode,
	}
}

// readBody reads as much of an answer's body as may be held.
func (rt *roundTrip) readBody(resp *http.Response, a *attempt.Response) ([]byte, error) {
	most := int64(maxBufferedResponse)
	if rt.clientReq.route.Kind == config.Keyed {
		most = maxKeptResponse
	}
	body, whole, booked, err := rt.bodyMemory.buffer(resp.Body, resp.ContentLength, most)
	rt.clientReq.bodyBytes += booked
	switch {
	case err == nil:
		a.Complete, a.Partial = true, !whole
		rt.attempt.HandleBody(*a)
	case rt.ctx.Err() != nil:
		rt.attempt.Handle(attempt.DeadlineExceeded)
	default:
		rt.attempt.Handle(attempt.ConnectionClosed)
	}
	return body, err
}

// describe tells for the log why an answer can't be passed on.
func (rt *roundTrip) describe(resp *http.Response, err error) error {
	switch rt.attempt.Cause {
	case attempt.Answered, attempt.Failed:
		return nil
	case attempt.Foreign:
		return fmt.Errorf("answer of server %s belongs to another try: %q", rt.upstream.ID, resp.Header["X-Attempt-Id"])
	}
	if err != nil {
		return fmt.Errorf("answer of server %s breaks off: %w", rt.upstream.ID, err)
	}
	return fmt.Errorf("answer of server %s has status %d", rt.upstream.ID, resp.StatusCode)
}

// handleStreamed takes how the passing on of a long answer ended.
func (rt *roundTrip) handleStreamed(fromServer, toClient error) {
	switch {
	case fromServer != nil:
		rt.attempt.Handle(attempt.ConnectionClosed)
	case toClient != nil:
		rt.attempt.Handle(attempt.ClientClosed)
	default:
		rt.attempt.HandleStreamed()
	}
}

// finish gives the connection and the server's place back.
func (rt *roundTrip) finish(resp *http.Response, took time.Duration, answered bool) {
	resp.Body.Close()
	keep := rt.attempt.Cause.Consequence().ReuseConn && !resp.Close
	if keep && rt.clientReq.bodyTail == nil { // after a long body it isn't known whether all of it was taken
		rt.upstream.putIdle(rt.conn, rt.now(), resp.Header)
	} else {
		rt.conn.conn.Close()
	}
	rt.releaseUpstream(rt.upstream, took, true, answered)
}

// distrust notes that a service's connections can't be reused safely for now: servers drop them, or send on them what
// belongs to no request. What must not run twice then goes on new ones, where nothing is left over; a new connection
// costs little beside an operation whose outcome nobody knows.
func (p *Proxy) distrust(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distrusted[service] = p.now() + distrustDuration
}

func (p *Proxy) distrusts(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now() < p.distrusted[service]
}
