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

// attemptResult contains the cause that ended an attempt, and the response if the server sent one that can be forwarded.
type attemptResult struct {
	cause  attempt.Cause
	status int
	header http.Header // end-to-end headers only
	body   []byte
	stream *responseStream // nil if body is the complete response
	err    error           // why no response can be forwarded, else nil
}

// responseStream is the unread rest of a response that is too long to be buffered. The caller must call finish.
type responseStream struct {
	remaining io.Reader
	length    int64 // of the complete response, -1 if unknown
	finish    func(fromServer, toClient error) attempt.Cause
}

// roundTrip is one attempt at one server in progress. It is used only by the goroutine that serves the request.
type roundTrip struct {
	*Proxy
	req             *clientRequest
	upstream        *upstream
	ctx             context.Context // done at the deadline, at shutdown, and, if cancellable, when the client leaves
	cancel          context.CancelFunc
	stopClientWatch func() bool // stops watching the client; nil if the attempt outlives its client
	conn            *serverConn
	attempt         attempt.Attempt
	sentAt          time.Duration
}

// errServerDraining is returned if the server began to drain while a connection to it was being opened.
var errServerDraining = errors.New("server is draining")

// attemptOnce makes one attempt: it sends the request to one server and reads the response. Unsafe requests use a new
// connection while the service's idle connections are distrusted, and so do bodies that can't be sent a second time.
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

// cancelOnClientLeft cancels the attempt when the client leaves: the response is no longer needed, and the server's slot
// becomes free for another request.
func (rt *roundTrip) cancelOnClientLeft() {
	if rt.stopClientWatch == nil {
		rt.stopClientWatch = context.AfterFunc(rt.req.http.Context(), rt.cancel)
	}
}

// releaseContext stops watching the client and releases the resources of the attempt's context.
func (rt *roundTrip) releaseContext() {
	if rt.stopClientWatch != nil {
		rt.stopClientWatch()
	}
	rt.cancel()
}

// endedByClient reports whether the attempt was cancelled because the client left.
func (rt *roundTrip) endedByClient() bool { return rt.stopClientWatch != nil && rt.req.clientLeft() }

// cancelledUsage returns the usage of an attempt that ended because the client left or stopped sending. Its duration is set
// only if it exceeds the latency target.
func (rt *roundTrip) cancelledUsage() usage {
	if took := rt.Now() - rt.sentAt; rt.sentAt > 0 && took > rt.req.latencyTarget {
		return usage{cancelled: true, duration: took}
	}
	return usage{cancelled: true}
}

// handleInterruption records that the context or the connection of the attempt ended before its response was read.
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

// do makes the attempt on an idle connection if there is one. If that connection turns out to be closed before the first
// byte of the request was written, the attempt starts over on a new connection: nothing was sent.
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

// doOnNewConn makes the attempt on a new connection, which can't contain leftovers of an earlier exchange.
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

// failConnect ends an attempt that got no connection, and releases the server's slot.
func (rt *roundTrip) failConnect(err error) attemptResult {
	use := usage{}
	if rt.req.clientLeft() {
		use = rt.cancelledUsage()
	}
	rt.upstreams.release(rt.upstream, use)
	return attemptResult{cause: rt.attempt.Cause, err: err}
}

// fail ends an attempt that got no response, and releases the server's slot. It isn't counted as the server's failure if the
// client left or stopped sending.
func (rt *roundTrip) fail(err error) attemptResult {
	use := usage{reachedServer: true}
	if rt.attempt.Cause == attempt.ClientAborted || rt.endedByClient() {
		use = rt.cancelledUsage()
	}
	rt.upstreams.release(rt.upstream, use)
	return attemptResult{cause: rt.attempt.Cause, err: fmt.Errorf("server %s: %w", rt.upstream.ID, err)}
}

// connect opens or takes a connection by get. It fails if the server begins to drain or the client leaves meanwhile.
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

// send writes the request and waits for the response header.
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
	if conn.tracked.hasWritten() { // checked after the close: no byte is written any more
		rt.attempt.Handle(attempt.SendStarted)
	}
	clientErr := rt.req.bodyTail.failure()
	if clientErr != nil && rt.ctx.Err() == nil { // the client closed the connection or was too slow: no fault of the server
		rt.attempt.Handle(attempt.ClientClosed)
		return nil, fmt.Errorf("body: %w", clientErr)
	}
	rt.handleInterruption()
	return nil, err
}

// receive reads a server's response: completely if it is short, else as much as may be buffered. The rest becomes the
// result's stream.
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
	rt.cancelOnClientLeft() // a streamed response can't be stored for repeats, so only this client needs it
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

// classify derives the facts about a response from its header. A response belongs to this attempt only if it contains the
// attempt's ID exactly once.
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

// readBody reads as much of a response's body as may be buffered, and records whether that is all of it.
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

// responseError returns the reason for the log why a response can't be forwarded, or nil if it can.
func (rt *roundTrip) responseError(resp *http.Response, err error) error {
	switch rt.attempt.Cause {
	case attempt.Completed, attempt.ServerError:
		return nil
	case attempt.ForeignResponse:
		return fmt.Errorf("response of server %s belongs to another attempt: %q", rt.upstream.ID, resp.Header[headerAttemptID])
	}
	if err != nil {
		return fmt.Errorf("response of server %s is truncated: %w", rt.upstream.ID, err)
	}
	return fmt.Errorf("response of server %s has status %d", rt.upstream.ID, resp.StatusCode)
}

// handleStreamed records how the forwarding of a long response ended.
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

// finish returns the connection to the idle ones or closes it, and releases the server's slot.
func (rt *roundTrip) finish(resp *http.Response, use usage) {
	_ = resp.Body.Close() // the body was read to its end, or the connection is closed below
	reuse := rt.attempt.Cause.Consequence().ReuseConn && !resp.Close
	if reuse && rt.req.bodyTail == nil { // the server may not have read all of a streamed request body
		rt.upstream.putIdle(rt.conn, rt.Now(), resp.Header)
	} else {
		rt.conn.close()
	}
	rt.upstreams.release(rt.upstream, use)
}
