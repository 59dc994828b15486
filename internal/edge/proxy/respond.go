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

// answer passes on what a server said, or says why nobody did.
func (c *Proxy) answer(w http.ResponseWriter, t *task, out outcome) {
	if t.way.Tell(out.cause) != attempt.PassOn {
		c.refuse(w, t.r, t.failure(out))
		return
	}
	t.answerHeader(w.Header(), out)
	c.metrics.Requests.WithLabelValues(string(t.route.Kind), strconv.Itoa(out.status)).Inc()
	if out.rest != nil && t.rest != nil {
		// Without this net/http would take what the client still sends for itself, out of the middle of what the server gets.
		_ = http.NewResponseController(w).EnableFullDuplex() // a writer without it is a test's
	}
	w.WriteHeader(out.status)
	_, err := w.Write(out.body) // a client that is gone has given up
	if out.rest != nil {
		c.passOn(w, t, out, err)
	}
}

// answerHeader makes the header of an answer that is passed on.
func (t *task) answerHeader(h http.Header, out outcome) {
	for name, values := range out.header {
		h[name] = values
	}
	h["X-Attempt-Id"] = []string{t.id}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is guessed
	}
	switch {
	case bodiless(t.r.Method, out.status): // the length that the server told stands
	case out.rest == nil:
		h["Content-Length"] = []string{strconv.Itoa(len(out.body))}
	case out.length >= 0:
		h["Content-Length"] = []string{strconv.FormatInt(out.length, 10)}
	}
}

// bodiless tells whether an answer has no body, whatever its header says.
func bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// passOn hands on the rest of a long answer. One that was cut short must not look whole.
func (c *Proxy) passOn(w http.ResponseWriter, t *task, out outcome, gone error) {
	var broken error
	if gone == nil {
		broken, gone = stream(w, out.rest)
	}
	cause := out.end(broken, gone)
	if cause.Row().Tell != attempt.BreakOff {
		return
	}
	if broken != nil {
		c.metrics.GivenUp.WithLabelValues(apierror.Kind(apierror.PerhapsRun.New("broken off"))).Inc()
		c.note(apierror.PerhapsRun.Wrap(broken, "answer breaks off"), t.r)
	}
	if out.length < 0 && !t.r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset ends a client's connection so that the client sees a failure. A client of HTTP/1.0 takes a close for the end of an
// answer without a length.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // a writer without it is a test's
	}
	if client, ok := conn.(*caller); ok {
		conn = client.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // one that has failed is closed all the same
	}
	conn.Close()
}

// failure is the error that the client is told where no answer is passed on.
func (t *task) failure(out outcome) error {
	switch t.way.Tell(out.cause) {
	case attempt.Promise:
		return t.promise(out.cause).Wrap(out.err, "%s", out.cause)
	case attempt.GatewayTimeout:
		return apierror.TimedOut.Wrap(out.err, "%s", out.cause)
	default:
		return apierror.PerhapsRun.Wrap(out.err, "%s", out.cause)
	}
}

// promise is the kind of error by which a client is told that its request never ran.
func (t *task) promise(cause attempt.Cause) *errorx.Type {
	switch {
	case t.way.Sent > 0:
		return apierror.NotRun
	case cause == attempt.NoRoom || cause == attempt.NoTime:
		return apierror.Busy
	default:
		return apierror.NoServer
	}
}

// refuse answers an error as the table of kinds says.
func (c *Proxy) refuse(w http.ResponseWriter, r *http.Request, err error) {
	a := apierror.For(err)
	h := w.Header()
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		h["X-Attempt-Id"] = []string{id}
	}
	if a.Retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.Retry*(0.75+rand.Float64()/2), 'f', 3, 64))
	}
	h["Content-Type"] = []string{"text/plain"}
	body := apierror.Kind(err) + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(a.Status)
	_, _ = io.WriteString(w, body) // a client that is gone has given up
	c.metrics.GivenUp.WithLabelValues(apierror.Kind(err)).Inc()
	c.note(err, r)
}

// note logs what was given up, with its cause: a few lines a second of each kind, since a flood of refusals should not
// cost more than the requests did. The counters tell all.
func (c *Proxy) note(err error, r *http.Request) {
	kind, second := apierror.Kind(err), int64(c.now()/time.Second)
	c.mu.Lock()
	if c.noted.second != second {
		c.noted.second, c.noted.lines = second, map[string]int{}
	}
	c.noted.lines[kind]++
	n := c.noted.lines[kind]
	c.mu.Unlock()
	if n <= notedMost {
		_ = c.logger.Log("event", "given up", "kind", kind, "try", r.Header.Get("X-Attempt-Id"), "host", r.Host, "cause", err)
	}
}
