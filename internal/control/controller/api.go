package controller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/nodesettings"
)

// Maximum lengths of call bodies, in bytes.
const (
	maxConfigBody      = 32 << 20
	maxBookingsBody    = 1 << 20
	maxReplacementBody = 64 << 10
	maxHeartbeatBody   = 64 << 10
)

// controlAPI handles the HTTP calls of servers and operators. Its handlers run on their own goroutines: they validate what
// needs no access to the controller's state, pass the rest to the owner and wait for the outcome.
type controlAPI struct {
	*Controller
}

func newControlAPI(c *Controller) *controlAPI { return &controlAPI{c} }

func (a *controlAPI) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /instances/{id}", a.putInstance)
	mux.HandleFunc("DELETE /instances/{id}", a.deleteInstance)
	mux.HandleFunc("PUT /config", a.putConfig)
	mux.HandleFunc("PATCH /config", a.patchConfig)
	mux.HandleFunc("GET /config", a.getConfig)
	mux.HandleFunc("GET /config/history", a.getConfigHistory)
	mux.HandleFunc("GET /bookings", a.getBookings)
	mux.HandleFunc("PUT /bookings", a.changeBookings)
	mux.HandleFunc("PUT /bookings/{id}", a.changeBookings)
	mux.HandleFunc("DELETE /bookings/{id}", a.changeBookings)
	mux.HandleFunc("POST /members", a.replaceMember)
	mux.HandleFunc("GET /status", a.getStatus)
	mux.Handle("GET /metrics", a.Metrics.Handler())
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, apierror.UnknownCall.New("%s %s is no call", r.Method, r.URL.Path))
	})
	return mux
}

// writeError answers with the status and Retry-After that apierror assigns to err.
func writeError(w http.ResponseWriter, err error) {
	response := apierror.For(err)
	if response.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(response.RetryAfter, 'f', -1, 64))
	}
	writeJSON(w, response.Status, map[string]string{"error": err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"error":"the response can't be encoded"}`)
	}
	writeBody(w, status, text)
}

// writeBody answers with JSON that is already encoded.
func writeBody(w http.ResponseWriter, status int, text []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // a caller that has disconnected retries
}

// readBody reads a body of at most limit bytes. If that fails, it answers the call with an error, which is of the type
// tooLarge for a longer body, and returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, tooLarge *errorx.Type) (body []byte, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		return body, true
	}
	kind := apierror.Malformed
	if exceeded := new(http.MaxBytesError); errors.As(err, &exceeded) {
		kind = tooLarge
	}
	writeError(w, kind.Wrap(err, "body"))
	return nil, false
}

// outcome is the owner's answer to a call.
type outcome struct {
	leader string // IP of the leader to redirect the caller to; empty or own: err or body is the answer
	err    error
	body   any // encoded as JSON with status 200; a json.RawMessage is sent unchanged
}

// onLeader runs f on the owner's goroutine if this controller leads, and answers the call with the outcome that f sends.
// Otherwise it redirects the caller to the leader, or answers with an error if the leader is unknown.
func (a *controlAPI) onLeader(w http.ResponseWriter, r *http.Request, f func(done chan<- outcome)) {
	done := make(chan outcome, 1)
	a.runOnOwner(func() {
		if !a.consensus.leads() {
			done <- outcome{leader: a.consensus.leaderIP(), err: errNoLeader()}
			return
		}
		f(done)
	})
	a.writeOutcome(w, r, await(r.Context(), done))
}

func errNoLeader() error { return apierror.NoLeader.New("nobody leads now") }

func (a *controlAPI) writeOutcome(w http.ResponseWriter, r *http.Request, out outcome) {
	raw, isRaw := out.body.(json.RawMessage)
	switch {
	case out.leader != "" && out.leader != a.Settings.IP:
		w.Header().Set("Location", "http://"+controlAddress(a.Settings, out.leader)+r.URL.RequestURI())
		w.WriteHeader(http.StatusTemporaryRedirect)
	case out.err != nil:
		writeError(w, out.err)
	case isRaw:
		writeBody(w, http.StatusOK, raw)
	default:
		writeJSON(w, http.StatusOK, out.body)
	}
}

// await waits for a value. If the caller disconnects first, it panics with http.ErrAbortHandler, so that net/http closes the
// connection without an answer. If the handler just returned, net/http would write a 200, and a caller that closed only its
// sending side would take it for an acknowledgement.
func await[T any](ctx context.Context, values <-chan T) T {
	select {
	case value := <-values:
		return value
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// controlAddress returns the address for control calls of the controller at an IP address. All controllers use the same port.
func controlAddress(settings *nodesettings.Settings, ip string) string {
	_, port, err := net.SplitHostPort(settings.Listen.Control)
	if err != nil {
		return ip
	}
	return net.JoinHostPort(ip, port)
}
