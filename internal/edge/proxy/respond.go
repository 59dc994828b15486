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

// maxLogLinesPerSecond bounds the lines of log for each kind of error.
const maxLogLinesPerSecond = 5

// respond forwards what a server said, or says why nobody did.
func (p *Proxy) respond(w http.ResponseWriter, req *clientRequest, result attemptResult) {
	if req.retries.Disposition(result.cause) != attempt.ForwardResponse {
		p.reject(w, req.http, req.clientError(result))
		return
	}
	req.writeHeader(w.Header(), result)
	p.Metrics.Requests.WithLabelValues(string(req.route.Kind), strconv.Itoa(result.status)).Inc()
	if result.stream != nil && req.bodyTail != nil {
		// Without this net/http would read what the client still sends, out of the middle of what the server gets.
		_ = http.NewResponseController(w).EnableFullDuplex() // HTTP/1.1 connections always support it
	}
	w.WriteHeader(result.status)
	_, err := w.Write(result.body) // a client that has gone has given up
	if result.stream != nil {
		req.active.setStage(stageStreaming)
		p.streamResponse(w, req, result.stream, err)
	}
}

// writeHeader makes the header of a response that is forwarded.
func (req *clientRequest) writeHeader(h http.Header, result attemptResult) {
	for name, values := range result.header {
		h[name] = values
	}
	h[headerAttemptID] = []string{req.id}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is guessed
	}
	switch {
	case hasNoBody(req.http.Method, result.status): // the length that the server stated stands
	case result.stream == nil:
		h["Content-Length"] = []string{strconv.Itoa(len(result.body))}
	case result.stream.length >= 0:
		h["Content-Length"] = []string{strconv.FormatInt(result.stream.length, 10)}
	}
}

// hasNoBody reports whether a response has no body, whatever its header says.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// streamResponse forwards the rest of a long response. One that was cut short must not look complete, so the client's
// connection is broken off then. ToClient is the error of writing the beginning.
func (p *Proxy) streamResponse(w http.ResponseWriter, req *clientRequest, stream *responseStream, toClient error) {
	var fromServer error
	if toClient == nil {
		fromServer, toClient = copyBody(w, stream.remaining)
	}
	if fromServer != nil && req.clientLeft() { // the attempt ended with the client
		fromServer, toClient = nil, errClientLeft
	}
	cause := stream.finish(fromServer, toClient)
	if cause.Consequence().Disposition != attempt.AbortConnection {
		return
	}
	if fromServer != nil {
		p.Metrics.Failures.WithLabelValues(apierror.Kind(apierror.PerhapsRun.New("broken off"))).Inc()
		p.logRejection(apierror.PerhapsRun.Wrap(fromServer, "response breaks off"), req.http)
	}
	if stream.length < 0 && !req.http.ProtoAtLeast(1, 1) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler) // net/http closes the connection for it
}

// resetConn ends a client's connection so that the client sees a failure: one of HTTP/1.0 takes a close for the end of a
// response without a length.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the abort that follows has to do
	}
	if client, ok := conn.(*httpconn.Conn); ok {
		conn = client.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // one that has failed is closed all the same
	}
	closeConn(conn)
}

// clientError is the error that the client is told where no response is forwarded.
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

// safeRefusalKind is the kind of error by which a client is told that its request never ran.
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

// reject answers an error as apierror's table says. Retry-After is spread over half of its value around it, so that clients
// don't come back together.
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
	_, _ = io.WriteString(w, body) // a client that has gone has given up
	p.Metrics.Failures.WithLabelValues(apierror.Kind(err)).Inc()
	p.logRejection(err, r)
}

// logLimiter counts the lines of the current second, by kind of error.
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

// logRejection logs a request that failed, with the cause: a few lines a second of each kind, since a flood of rejections
// should not cost more than the requests did. The counters count all.
func (p *Proxy) logRejection(err error, r *http.Request) {
	kind := apierror.Kind(err)
	if p.logLimiter.allow(kind, p.Now()) {
		p.LogEvent("request failed", "kind", kind, "attempt", r.Header.Get(headerAttemptID), "host", r.Host, "cause", err)
	}
}
