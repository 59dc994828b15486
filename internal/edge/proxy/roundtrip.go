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

// attemptResult is how an attempt ended, and the response if there is one.
type attemptResult struct {
	cause  attempt.Cause
	status int
	header http.Header // end-to-end headers only
	body   []byte
	stream *responseStream // nil: body is the complete response
	err    error           // what happened, where no response can be forwarded
}

// responseStream is the rest of a response that is too long to be buffered. Its end has to be called.
type responseStream struct {
	remaining io.Reader
	length    int64 // of the complete response; -1: not known
	finish    func(fromServer, toClient error) attempt.Cause
}

// roundTrip is one attempt at one server while it goes on. It belongs to the goroutine that serves the request.
type roundTrip struct {
	*Proxy
	req             *clientRequest
	upstream        *upstream
	ctx             context.Context // ends with the request's deadline, with the process, and with a client that may be given up
	cancel          context.CancelFunc
	stopClientWatch func() bool // ends the watch on the client; nil: the attempt goes on without it
	conn            *serverConn
	attempt         attempt.Attempt
	sentAt          time.Duration
}

// errServerDraining says that a server began to drain while a connection to it was made.
var errServerDraining = errors.New("server is draining")

// attemptOnce sends the request to one server.
func (p *Proxy) attemptOnce(req *clientRequest, u *upstream) attemptResult {
	rt := &roundTrip{Proxy: p, req: req, upstream: u}
	timeout := req.timeLeft(p.Now()) - returnMargin
	rt.ctx, rt.cancel = context.WithTimeout(p.shutdown.work, timeout)
	if !req.unsafe() {
		rt.cancelOnClientLeft()
	}
	var result attemptResult
	if req.bodyTail != nil || req.unsafe() && p.upstreams.distrusts(u.Service) {
		result = rt.doOnNewConn()
	} else {
		result = rt.do()
	}
	if result.stream == nil {
		rt.releaseContext()
	}
	return result
}

// cancelOnClientLeft has the attempt end when the client leaves: nobody takes its response, and the server can use the slot.
func (rt *roundTrip) cancelOnClientLeft() {
	if rt.stopClientWatch == nil {
		rt.stopClientWatch = context.AfterFunc(rt.req.http.Context(), rt.cancel)
	}
}

// releaseContext frees what the context of the attempt holds.
func (rt *roundTrip) releaseContext() {
	if rt.stopClientWatch != nil {
		rt.stopClientWatch()
	}
	rt.cancel()
}

// endedByClient reports whether the attempt ended because the client left.
func (rt *roundTrip) endedByClient() bool { return rt.stopClientWatch != nil && rt.req.clientLeft() }

// cancelledUsage is the usage of an attempt that ended because the client left or stopped sending.
func (rt *roundTrip) cancelledUsage() usage {
	if took := rt.Now() - rt.sentAt; rt.sentAt > 0 && took > rt.req.latencyTarget {
		return usage{cancelled: true, duration: took}
	}
	return usage{cancelled: true}
}

// handleInterruption takes that the context or the connection of the attempt ended before its response was read.
func (rt *roundTrip) handleInterruption() {
	switch {
	case rt.endedByClient():
		rt.attempt.Handle(attempt.ClientClosed)
	case rt.ctx.Err() != nil:
		rt.attempt.Handle(attempt.DeadlineExceeded)
	default:
		rt.attempt.Handle(attempt.ConnectionClosed)
	}
}

// do makes the attempt on an idle connection, if there is one. If that ended before the first byte a new one replaces it:
// nothing was sent.
func (rt *roundTrip) do() attemptResult {
	conn, err := rt.connect(rt.upstreams.connect)
	if err != nil {
		return rt.failConnect(err)
	}
	resp, err := rt.send(conn)
	if err == nil {
		return rt.receive(resp)
	}
	unsent := rt.attempt.Cause == attempt.ClosedBeforeSend
	if (unsent || rt.attempt.Cause == attempt.ConnectionBroken) && conn.reused && rt.ctx.Err() == nil {
		rt.upstreams.distrust(rt.upstream.Service)
		if unsent {
			rt.attempt = attempt.Attempt{}
			return rt.doOnNewConn()
		}
	}
	return rt.fail(err)
}

// doOnNewConn makes the attempt on a new connection, where nothing of an earlier exchange can be left over.
func (rt *roundTrip) doOnNewConn() attemptResult {
	conn, err := rt.connect(rt.upstreams.dialConn)
	if err != nil {
		return rt.failConnect(err)
	}
	resp, err := rt.send(conn)
	if err != nil {
		return rt.fail(err)
	}
	return rt.receive(resp)
}

// failConnect ends an attempt for which there was no connection.
func (rt *roundTrip) failConnect(err error) attemptResult {
	use := usage{}
	if rt.req.clientLeft() {
		use = rt.cancelledUsage()
	}
	rt.upstreams.release(rt.upstream, use)
	return attemptResult{cause: rt.attempt.Cause, err: err}
}

// fail ends an attempt that got no response. Where the client left or stopped sending, the server did nothing wrong.
func (rt *roundTrip) fail(err error) attemptResult {
	use := usage{reachedServer: true}
	if rt.attempt.Cause == attempt.ClientAborted || rt.endedByClient() {
		use = rt.cancelledUsage()
	}
	rt.upstreams.release(rt.upstream, use)
	return attemptResult{cause: rt.attempt.Cause, err: fmt.Errorf("server %s: %w", rt.upstream.ID, err)}
}

// connect gets a connection, unless the server begins to drain or the client leaves meanwhile.
func (rt *roundTrip) connect(get func(context.Context, *upstream) (*serverConn, error)) (*serverConn, error) {
	rt.attempt.Handle(attempt.ConnectStarted)
	ctx, cancel := context.WithTimeout(rt.ctx, dialTimeout)
	defer cancel()
	conn, err := get(ctx, rt.upstream)
	if err != nil {
		rt.attempt.Handle(attempt.ConnectionClosed)
		return nil, fmt.Errorf("dial: %w", err)
	}
	rt.conn = conn
	rt.attempt.Handle(attempt.ConnectionReady)
	if rt.req.clientLeft() {
		conn.close()
		rt.attempt.Handle(attempt.ClientClosed)
		return nil, errClientLeft
	}
	if rt.upstream.isDraining() {
		conn.close()
		rt.attempt.Handle(attempt.ServerDraining)
		return nil, errServerDraining
	}
	return conn, nil
}

// send writes the request and waits for the head of a response.
func (rt *roundTrip) send(conn *serverConn) (*http.Response, error) {
	request := rt.upstreamRequest(rt.ctx, rt.req, rt.upstream)
	rt.sentAt = rt.Now()
	conn.tracked.resetWritten()
	resp, err := conn.client.RoundTrip(request)
	if err == nil {
		rt.attempt.Handle(attempt.SendStarted)
		rt.attempt.Handle(attempt.ResponseStarted)
		return resp, nil
	}
	conn.close()
	if conn.tracked.hasWritten() { // asked after the close: from then on no byte leaves
		rt.attempt.Handle(attempt.SendStarted)
	}
	clientErr := rt.req.bodyTail.failure()
	if clientErr != nil && rt.ctx.Err() == nil { // the client broke off, or was too slow: not the server's doing
		rt.attempt.Handle(attempt.ClientClosed)
		return nil, fmt.Errorf("body: %w", clientErr)
	}
	rt.handleInterruption()
	return nil, err
}

// receive reads a server's response: all of it if it is short, else its beginning.
func (rt *roundTrip) receive(resp *http.Response) attemptResult {
	header := copyEndToEnd(resp.Header)
	response := rt.classify(resp, header)
	var body []byte
	var err error
	if rt.attempt.HandleHeader(response) {
		body, err = rt.readBody(resp, &response)
	}
	result := attemptResult{cause: rt.attempt.Cause, status: resp.StatusCode, header: header, body: body}
	outcome := result.cause.Consequence().Outcome
	if outcome == attempt.Unknown {
		rt.upstreams.distrust(rt.upstream.Service)
	} else {
		rt.upstreams.reportLoad(rt.upstream, resp.Header)
	}
	if result.cause != attempt.Streaming {
		result.err = rt.responseError(resp, err)
	}
	use := usage{duration: rt.Now() - rt.sentAt, reachedServer: true, succeeded: outcome == attempt.Ran &&
		result.status < http.StatusInternalServerError}
	if rt.endedByClient() {
		use = rt.cancelledUsage()
	}
	if rt.attempt.State == attempt.Done {
		rt.finish(resp, use)
		return result
	}
	rt.cancelOnClientLeft() // what is streaming is of no use to anybody else
	result.stream = &responseStream{remaining: resp.Body, length: resp.ContentLength,
		finish: func(fromServer, toClient error) attempt.Cause {
			rt.handleStreamed(fromServer, toClient)
			rt.finish(resp, use)
			rt.releaseContext()
			rt.queue.wake(rt.req.service)
			return rt.attempt.Cause
		}}
	return result
}

// classify reads the head of a response. It belongs to this attempt only if it carries its id, once.
func (rt *roundTrip) classify(resp *http.Response, header http.Header) attempt.Response {
	ids := header[headerAttemptID]
	return attempt.Response{
		Received:  true,
		IDMatches: len(ids) == 1 && ids[0] == rt.req.id,
		Delimited: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 ||
			hasNoBody(rt.req.http.Method, resp.StatusCode),
		NotRun:             header.Get(headerNotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		Success:            resp.StatusCode/100 == 2,
		Sealed:             header.Get(headerServerSeal) != "",
		ProtocolSwitched:   resp.StatusCode == http.StatusSwitchingProtocols,
		UnexpectedEncoding: header["Content-Encoding"] != nil && rt.req.http.Header["Accept-Encoding"] == nil,
		Status:             resp.StatusCode,
	}
}

// readBody reads as much of a response's body as may be buffered.
func (rt *roundTrip) readBody(resp *http.Response, response *attempt.Response) ([]byte, error) {
	limit := int64(maxBufferedResponseBytes)
	if rt.req.route.Kind == config.Keyed {
		limit = maxStoredResponseBytes
	}
	body, err := rt.bodyMemory.buffer(resp.Body, resp.ContentLength, limit)
	rt.req.bodyBytes += body.reserved
	if err != nil {
		rt.handleInterruption()
		return body.data, err
	}
	response.Complete, response.Oversized = true, !body.complete
	rt.attempt.HandleBody(*response)
	return body.data, nil
}

// responseError tells for the log why a response can't be forwarded.
func (rt *roundTrip) responseError(resp *http.Response, err error) error {
	switch rt.attempt.Cause {
	case attempt.Completed, attempt.ServerError:
		return nil
	case attempt.ForeignResponse:
		return fmt.Errorf("response of server %s belongs to another attempt: %q", rt.upstream.ID, resp.Header[headerAttemptID])
	}
	if err != nil {
		return fmt.Errorf("response of server %s breaks off: %w", rt.upstream.ID, err)
	}
	return fmt.Errorf("response of server %s has status %d", rt.upstream.ID, resp.StatusCode)
}

// handleStreamed takes how the forwarding of a long response ended.
func (rt *roundTrip) handleStreamed(fromServer, toClient error) {
	switch {
	case fromServer != nil:
		rt.attempt.Handle(attempt.ConnectionClosed)
	case toClient != nil:
		rt.attempt.Handle(attempt.ClientClosed)
	default:
		rt.attempt.HandleStreamEnd()
	}
}

// finish gives the connection and the server's slot back.
func (rt *roundTrip) finish(resp *http.Response, use usage) {
	_ = resp.Body.Close() // its end was read, or the connection is closed below
	reuse := rt.attempt.Cause.Consequence().ReuseConn && !resp.Close
	if reuse && rt.req.bodyTail == nil { // after a long body it isn't known whether all of it was taken
		rt.upstream.putIdle(rt.conn, rt.Now(), resp.Header)
	} else {
		rt.conn.close()
	}
	rt.upstreams.release(rt.upstream, use)
}
