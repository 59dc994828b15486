package proxy

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/platform/apierror"
)

// respond passes on what a server said, or says why nobody did.
func (p *Proxy) respond(w http.ResponseWriter, t *clientRequest, out attemptResult) {
	if t.retries.Disposition(out.cause) != attempt.ForwardResponse {
		p.reject(w, t.r, t.clientError(out))
		return
	}
	t.writeHeader(w.Header(), out)
	p.metrics.Requests.WithLabelValues(string(t.route.Kind), strconv.Itoa(out.status)).Inc()
	if out.remaining != nil && t.bodyTail != nil {
		// Without this net/http would take what the client still sends for itself, out of the middle of what the server gets.
		_ = http.NewResponseController(w).EnableFullDuplex() // a writer without it is a test's
	}
	w.WriteHeader(out.status)
	_, err := w.Write(out.body) // a client that is gone has given up
	if out.remaining != nil {
		p.streamResponse(w, t, out, err)
	}
}

// writeHeader makes the header of an answer that is passed on.
func (r *clientRequest) writeHeader(h http.Header, out attemptResult) {
	for name, values := range out.header {
		h[name] = values
	}
	h["X-Attempt-Id"] = []string{r.id}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is guessed
	}
	switch {
	case bodiless(r.r.Method, out.status): // the length that the server told stands
	case out.remaining == nil:
		h["Content-Length"] = []string{strconv.Itoa(len(out.body))}
	case out.length >= 0:
		h["Content-Length"] = []string{strconv.FormatInt(out.length, 10)}
	}
}

// bodiless tells whether an answer has no body, whatever its header says.
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// streamResponse hands on the rest of a long answer. One that was cut short must not look whole.
func (p *Proxy) streamResponse(w http.ResponseWriter, t *clientRequest, out attemptResult, gone error) {
	var broken error
	if gone == nil {
		broken, gone = copyBody(w, out.remaining)
	}
	cause := out.end(broken, gone)
	if cause.Consequence().Disposition != attempt.AbortConnection {
		return
	}
	if broken != nil {
		p.metrics.GivenUp.WithLabelValues(apierror.Kind(apierror.PerhapsRun.New("broken off"))).Inc()
		p.logRejection(apierror.PerhapsRun.Wrap(broken, "answer breaks off"), t.r)
	}
	if out.length < 0 && !t.r.ProtoAtLeast(1, 1) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConn ends a client's connection so that the client sees a failure. A client of HTTP/1.0 takes a close for the end of an
// answer without a length.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // a writer without it is a test's
	}
	if client, ok := conn.(*clientConn); ok {
		conn = client.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // one that has failed is closed all the same
	}
	conn.Close()
}

// clientError is the error that the client is told where no answer is passed on.
func (r *clientRequest) clientError(out attemptResult) error {
	switch r.retries.Disposition(out.cause) {
	case attempt.SafeRefusal:
		return r.safeRefusalKind(out.cause).Wrap(out.err, "%s", out.cause)
	case attempt.GatewayTimeout:
		return apierror.TimedOut.Wrap(out.err, "%s", out.cause)
	default:
		return apierror.PerhapsRun.Wrap(out.err, "%s", out.cause)
	}
}

// safeRefusalKind is the kind of error by which a client is told that its request never ran.
func (r *clientRequest) safeRefusalKind(cause attempt.Cause) *errorx.Type {
	switch {
	case r.retries.Sent > 0:
		return apierror.NotRun
	case cause == attempt.NoCapacity || cause == attempt.NoTime:
		return apierror.Busy
	default:
		return apierror.NoServer
	}
}

// reject answers an error as the table of kinds says.
func (p *Proxy) reject(w http.ResponseWriter, r *http.Request, err error) {
	a := apierror.For(err)
	h := w.Header()
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		h["X-Attempt-Id"] = []string{id}
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter*(0.75+rand.Float64()/2), 'f', 3, 64))
	}
	h["Content-Type"] = []string{"text/plain"}
	body := apierror.Kind(err) + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(a.Status)
	_, _ = io.WriteString(w, body) // a client that is gone has given up
	p.metrics.GivenUp.WithLabelValues(apierror.Kind(err)).Inc()
	p.logRejection(err, r)
}

// logRejection logs what was given up, with its cause: a few lines a second of each kind, since a flood of refusals should not
// cost more than the requests did. The counters tell all.
func (p *Proxy) logRejection(err error, r *http.Request) {
	kind, second := apierror.Kind(err), int64(p.now()/time.Second)
	p.mu.Lock()
	if p.rejectionLog.second != second {
		p.rejectionLog.second, p.rejectionLog.lines = second, map[string]int{}
	}
	p.rejectionLog.lines[kind]++
	n := p.rejectionLog.lines[kind]
	p.mu.Unlock()
	if n <= maxLogLinesPerSecond {
		_ = p.logger.Log("event", "given up", "kind", kind, "try", r.Header.Get("X-Attempt-Id"), "host", r.Host, "cause", err)
	}
}
