package proxy

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// lateRequest plays a keyed request that comes some time after an edge was told to end, while no controller rules on claims.
// It tells after how long it is answered, and when the edge ends.
func lateRequest(t *testing.T, after time.Duration) (answered, ended time.Duration, w *httptest.ResponseRecorder) {
	runEdge(t, func(h *testEdge) {
		began := time.Now()
		near, far := net.Pipe()
		defer far.Close()
		listener := &oneConn{near}
		done := make(chan struct{})
		go func() {
			h.shutDown(listener)
			ended = time.Since(began)
			close(done)
		}()
		h.shutdown.inFlight.Add(1) // another request that a server is still at work on
		defer h.shutdown.inFlight.Add(-1)
		time.Sleep(after)
		w = httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/k/1", strings.NewReader("x"))
		r.Host = "a.example"
		r.Header.Set("X-Attempt-Id", "9c41d07be2a35f68")
		r.Header.Set("X-Operation-Key", "k-1")
		r.Header.Set("X-Deadline-Ms", "2000")
		h.ServeHTTP(w, r)
		answered = time.Since(began)
		<-done
		synctest.Wait()
	})
	return answered, ended, w
}

// oneConn is a listener that is only closed.
type oneConn struct{ net.Conn }

func (l *oneConn) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (l *oneConn) Addr() net.Addr            { return l.LocalAddr() }

// A request that is read in the last moments before the edge ends is answered before it does: nothing of it has run.
func TestLateRequestsAreRefusedBeforeTheEnd(t *testing.T) {
	for _, before := range []time.Duration{1500, 900, 700, 590, 450, 300, 210} {
		answered, ended, w := lateRequest(t, 6*time.Second-before*time.Millisecond)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Connection") != "close" {
			t.Errorf("%d ms before the end of the grace: answered %d, Connection %q", before, w.Code, w.Header().Get("Connection"))
		}
		if answered+50*time.Millisecond > ended {
			t.Errorf("%d ms before the end of the grace: answered after %s, the edge ends after %s", before, answered, ended)
		}
	}
}

// A request that is forwarded late in the grace is answered before the edge ends: whoever reads its response last cuts it off
// otherwise, although the server was sound and the deadline not reached.
func TestForwardedRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", works(h, 1300*time.Millisecond))
		startedAt := time.Now()
		near, far := net.Pipe()
		defer far.Close()
		var ended time.Duration
		done := make(chan struct{})
		go func() {
			h.shutDown(&oneConn{near})
			ended = time.Since(startedAt)
			close(done)
		}()
		h.shutdown.inFlight.Add(1) // a client of a kept connection goes on sending
		defer h.shutdown.inFlight.Add(-1)
		time.Sleep(4700 * time.Millisecond) // of a grace of 6 s
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "http://a.example/s/x", nil)
		r.RequestURI = "/s/x"
		r.Header.Set("X-Attempt-Id", "9c41d07be2a35f68")
		r.Header.Set("X-Deadline-Ms", "2000")
		h.ServeHTTP(w, r)
		answered := time.Since(startedAt)
		<-done
		if answered > ended {
			t.Errorf("answered %d after %s, the edge ended after %s", w.Code, answered, ended)
		}
	})
}
