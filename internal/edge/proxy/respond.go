package proxy

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/httpconn"
)

// maxLogLinesPerSecond limits the log lines for each kind of error.
const maxLogLinesPerSecond = 5

// respond forwards a server's response, or rejects the request if there is none to be forwarded.
func (p *Proxy) respond(w http.ResponseWriter, req *clientRequest, result attemptResult) {
	if req.retries.Disposition(result.cause) != attempt.ForwardResponse {
		p.reject(w, req.http, req.clientError(result))
		return
	}
	req.writeHeader(w.Header(), result)
	p.Metrics.Requests.WithLabelValues(string(req.route.Kind), strconv.Itoa(result.status)).Inc()
	if result.stream != nil && req.bodyTail != nil {
		// Without full duplex, net/http would read the rest of the request body itself, and these bytes would be missing
		// in the body that is being sent to the server.
		_ = http.NewResponseController(w).EnableFullDuplex() // HTTP/1.1 connections always support it
	}
	w.WriteHeader(result.status)
	_, err := w.Write(result.body) // fails only if the client has left
	if result.stream != nil {
		req.active.setStage(stageStreaming)
		p.streamResponse(w, req, result.stream, err)
	}
}

// writeHeader sets the header of a forwarded response in h.
func (req *clientRequest) writeHeader(h http.Header, result attemptResult) {
	for name, values := range result.header {
		h[name] = values
	}
	h[headerAttemptID] = []string{req.id}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	switch {
	case hasNoBody(req.http.Method, result.status): // the server's Content-Length is kept
	case result.stream == nil:
		h["Content-Length"] = []string{strconv.Itoa(len(result.body))}
	case result.stream.length >= 0:
		h["Content-Length"] = []string{strconv.FormatInt(result.stream.length, 10)}
	}
}

// hasNoBody reports whether a response to method has no body, regardless of its Content-Length.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// streamResponse forwards the rest of a long response. A truncated response must not look complete, so the client's
// connection is aborted in that case. toClient is the error of writing the beginning, if any.
func (p *Proxy) streamResponse(w http.ResponseWriter, req *clientRequest, stream *responseStream, toClient error) {
	var fromServer error
	if toClient == nil {
		fromServer, toClient = copyBody(w, stream.remaining)
	}
	if fromServer != nil && req.clientLeft() { // the attempt was cancelled because the client left
		fromServer, toClient = nil, errClientLeft
	}
	cause := stream.finish(fromServer, toClient)
	if cause.Consequence().Disposition != attempt.AbortConnection {
		return
	}
	if fromServer != nil {
		p.Metrics.Failures.WithLabelValues(apierror.Kind(apierror.PerhapsRun.New("response truncated"))).Inc()
		p.logRejection(apierror.PerhapsRun.Wrap(fromServer, "response truncated"), req.http)
	}
	if stream.length < 0 && !req.http.ProtoAtLeast(1, 1) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler) // makes net/http close the connection
}

// resetConn resets a client's connection so that the client sees a failure: an HTTP/1.0 client takes a regular close as the
// end of a response without a length.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the abort by the caller remains
	}
	if client, ok := conn.(*httpconn.Conn); ok {
		conn = client.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // on failure, the connection is closed without a reset
	}
	closeConn(conn)
}

// clientError returns the error sent to the client if no response is forwarded.
func (req *clientRequest) clientError(result attemptResult) error {
	switch req.retries.Disposition(result.cause) {
	case attempt.SafeRefusal:
		return req.safeRefusalKind(result.cause).Wrap(result.err, "%s", result.cause)
	case attempt.GatewayTimeout:
		return apierror.TimedOut.Wrap(result.err, "%s", result.cause)
	default:
		return apierror.PerhapsRun.Wrap(result.err, "%s", result.cause)
	}
}

// safeRefusalKind returns the kind of error that promises the client that its request never ran.
func (req *clientRequest) safeRefusalKind(cause attempt.Cause) *errorx.Type {
	switch {
	case req.retries.SentAttempts > 0:
		return apierror.NotRun
	case cause == attempt.ClientLeft:
		return apierror.ClientLeft
	case cause == attempt.NoCapacity || cause == attempt.DeadlineTooNear:
		return apierror.Busy
	default:
		return apierror.NoServer
	}
}

// reject responds to the client with an error, with the status and Retry-After of the apierror package. Retry-After varies
// at random by ±25%, so that clients don't retry at the same moment.
func (p *Proxy) reject(w http.ResponseWriter, r *http.Request, err error) {
	response := apierror.For(err)
	h := w.Header()
	if id := r.Header.Get(headerAttemptID); id != "" {
		h[headerAttemptID] = []string{id}
	}
	if response.RetryAfter > 0 {
		spread := 0.75 + rand.Float64()/2
		h.Set("Retry-After", strconv.FormatFloat(response.RetryAfter*spread, 'f', 3, 64))
	}
	h["Content-Type"] = []string{"text/plain"}
	body := apierror.Kind(err) + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(response.Status)
	_, _ = io.WriteString(w, body) // fails only if the client has left
	p.Metrics.Failures.WithLabelValues(apierror.Kind(err)).Inc()
	p.logRejection(err, r)
}

// logLimiter counts the log lines of the current second by kind, to limit their rate. It is safe for concurrent use.
type logLimiter struct {
	mu     sync.Mutex
	second int64
	lines  map[string]int
}

// allow counts a line and reports whether it may be written.
func (l *logLimiter) allow(kind string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := int64(now / time.Second); l.lines == nil || l.second != second {
		l.second, l.lines = second, map[string]int{}
	}
	l.lines[kind]++
	return l.lines[kind] <= maxLogLinesPerSecond
}

// logRejection logs a failed request and its cause. At most maxLogLinesPerSecond are logged of each kind, so that logging a
// flood of rejections costs less than serving the requests. The metrics count all of them.
func (p *Proxy) logRejection(err error, r *http.Request) {
	kind := apierror.Kind(err)
	if p.logLimiter.allow(kind, p.Now()) {
		p.LogEvent("request failed", "kind", kind, "attempt", r.Header.Get(headerAttemptID), "host", r.Host, "cause", err)
	}
}
