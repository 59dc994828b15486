package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/peer"
)

// lateRequest sends a keyed request some time after the start of a shutdown, while no controller decides on claims. It
// returns the times from the start at which the request is answered and the edge ends.
func lateRequest(t *testing.T, after time.Duration) (answered, ended time.Duration, w *httptest.ResponseRecorder) {
	runEdge(t, func(h *testEdge) {
		began := time.Now()
		near, far := net.Pipe()
		defer far.Close()
		listener := &closeOnlyListener{near}
		done := make(chan struct{})
		go func() {
			h.shutDown(listener)
			ended = time.Since(began)
			close(done)
		}()
		h.shutdown.inFlight.Add(1) // another request in progress at a server
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

// closeOnlyListener is a listener that is only closed.
type closeOnlyListener struct{ net.Conn }

func (l *closeOnlyListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (l *closeOnlyListener) Addr() net.Addr            { return l.LocalAddr() }

// A request that is read shortly before the edge ends is rejected before the end, and did not run.
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

// A request that is forwarded late in the grace is answered before the edge ends. Otherwise its response would be cut off,
// although the server is healthy and the deadline not reached.
func TestForwardedRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", respondAfter(h, 1300*time.Millisecond))
		startedAt := time.Now()
		near, far := net.Pipe()
		defer far.Close()
		var ended time.Duration
		done := make(chan struct{})
		go func() {
			h.shutDown(&closeOnlyListener{near})
			ended = time.Since(startedAt)
			close(done)
		}()
		h.shutdown.inFlight.Add(1) // a client of a persistent connection continues to send
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

// runDuringShutdown runs a scenario while an edge shuts down. Another request prevents the edge from ending early. It returns
// the time from the start at which the edge ended.
func runDuringShutdown(t *testing.T, play func(h *testEdge, startedAt time.Time)) (ended time.Duration) {
	runEdge(t, func(h *testEdge) {
		h.continueOnFailure(t)
		near, far := net.Pipe()
		defer far.Close()
		startedAt := time.Now()
		done := make(chan struct{})
		go func() {
			h.shutDown(&closeOnlyListener{near})
			ended = time.Since(startedAt)
			close(done)
		}()
		go func() { // heartbeats keep the link open
			for {
				select {
				case <-done:
					return
				case <-time.After(peer.SummaryInterval):
					h.controllerEnd.Send(&peer.Summary{})
					h.session.link.Send(&peer.Summary{})
				}
			}
		}()
		h.shutdown.inFlight.Add(1)
		play(h, startedAt)
		<-done
		h.shutdown.inFlight.Add(-1)
		time.Sleep(10 * time.Second) // for servers that are still working
		synctest.Wait()
	})
	return ended
}

// receivedCount returns the number of requests received by servers.
func (h *testEdge) receivedCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.received)
}

// setLongDeadlines applies a configuration whose routes have deadlines of 20 s.
func (h *testEdge) setLongDeadlines() {
	long := strings.ReplaceAll(strings.Replace(testConfig, "r1", "r2", 1), `"deadline_s":2`, `"deadline_s":20`)
	h.g.Expect(h.applyConfig(&peer.Config{Version: 2, Snapshot: []byte(long)})).To(BeTrue())
}

// Requests of each kind arrive at various times of the grace, with various deadlines and service times. Each receives a
// complete response before the edge ends. After admitAllDuration that is the server's response, or a rejection, in which
// case no server received the request.
func TestWhatIsAcceptedWhileShuttingDownIsAnswered(t *testing.T) {
	const grace = 6 * time.Second
	for _, kind := range []string{"s", "u", "k"} {
		for after := 200 * time.Millisecond; after < grace-200*time.Millisecond; after += 350 * time.Millisecond {
			for _, deadline := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond} {
				for _, share := range []float64{0.1, 0.9, 3} {
					var answered time.Duration
					var w *httptest.ResponseRecorder
					received := 0
					ended := runDuringShutdown(t, func(h *testEdge, startedAt time.Time) {
						h.decideClaim = grantClaim
						h.addServer("i-1", respondAfter(h, time.Duration(share*float64(deadline))))
						time.Sleep(after)
						w = h.send(http.MethodPost, "/"+kind+"/x", "", "X-Operation-Key", "k-1",
							"X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
						answered = time.Since(startedAt)
						received = h.receivedCount()
					})
					name := fmt.Sprintf("%s after %s, deadline %s, server takes %.1f of it: %d", kind, after, deadline, share, w.Code)
					if answered+flushReserve/2 > ended {
						t.Errorf("%s: answered after %s, the edge ends after %s", name, answered, ended)
					}
					if w.Code == http.StatusServiceUnavailable && received > 0 {
						t.Errorf("%s: rejected, but sent to a server", name)
					}
					inTime := share < 1
					if received > 0 && inTime && after > admitAllDuration && w.Code != http.StatusOK {
						t.Errorf("%s: accepted after admitAllDuration and cancelled", name)
					}
					if after+deadline < grace-500*time.Millisecond && received == 0 {
						t.Errorf("%s: rejected, although there is enough time", name)
					}
				}
			}
		}
	}
}

// A request whose body arrives slowly is checked again once it is complete: by then it may be too late to serve it.
func TestLateBodiesAreRefusedBeforeTheEnd(t *testing.T) {
	for _, c := range []struct {
		bodyTakes time.Duration
		status    int
	}{{50 * time.Millisecond, http.StatusOK}, {1900 * time.Millisecond, http.StatusServiceUnavailable}} {
		runDuringShutdown(t, func(h *testEdge, _ time.Time) {
			h.setLongDeadlines()
			h.addServer("i-1", respondAfter(h, 1500*time.Millisecond))
			time.Sleep(admitAllDuration - 100*time.Millisecond)
			body, client := io.Pipe()
			r := httptest.NewRequest(http.MethodPost, "http://a.example/u/x", body)
			r.RequestURI, r.ContentLength = "/u/x", 9
			r.Header.Set("X-Attempt-Id", "try-1")
			go func() {
				_, _ = client.Write([]byte("half"))
				time.Sleep(c.bodyTakes)
				_, _ = client.Write([]byte("fully"))
				client.Close()
			}()
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			h.g.Expect(w.Code).To(Equal(c.status), c.bodyTakes.String())
			h.g.Expect(h.receivedCount() > 0).To(Equal(c.status == http.StatusOK), "a rejected request is sent to no server")
		})
	}
}

// A request that is in progress at SIGTERM and would outlast the grace is answered by the edge before the end, instead of
// having its connection closed.
func TestWhatOutlastsTheGraceIsAnswered(t *testing.T) {
	var w *httptest.ResponseRecorder
	var answered time.Duration
	ended := runDuringShutdown(t, func(h *testEdge, startedAt time.Time) {
		h.setLongDeadlines()
		h.addServer("i-1", hang)
		w = h.send(http.MethodGet, "/s/x", "", "X-Deadline-Ms", "15000")
		answered = time.Since(startedAt)
	})
	if w.Code != http.StatusGatewayTimeout || answered+flushReserve/2 > ended {
		t.Errorf("answered %d after %s, the edge ended after %s", w.Code, answered, ended)
	}
}

// The phases of a schedule are in order, and work is not cancelled before the last sixth of the grace.
func TestShutdownSchedule(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, time.Minute} {
		s := newShutdownSchedule(time.Hour, grace, 0)
		ends := time.Hour + grace
		if !(time.Hour < s.admitAllUntil && s.admitAllUntil <= s.stopAccept && s.admitAllUntil < s.respondBy && s.respondBy < s.exitBy && s.exitBy < ends) {
			t.Errorf("grace %s: %+v", grace, s)
		}
		if s.respondBy < ends-grace/6 {
			t.Errorf("grace %s: work is cancelled %s before its end", grace, ends-s.respondBy)
		}
	}
}

// The process doesn't end before a slow client has received its response, even if no more requests arrive.
func TestShutdownWaitsUntilResponsesHaveLeft(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.continueOnFailure(t)
		h.addServer("i-1", goodResponse)
		h.serveClients(func(s pipeListener) {
			conn := h.connectClient(s)
			ended := false
			go func() {
				h.shutDown(s)
				ended = true
			}()
			time.Sleep(admitAllDuration - 100*time.Millisecond)
			go func() { _, _ = io.WriteString(conn, wireRequest("s", "2000")) }()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			h.g.Expect(ended).To(BeFalse(), "the response was not read yet")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(resp.StatusCode).To(Equal(200))
			h.g.Expect(resp.Close).To(BeTrue())
			_, _ = io.Copy(io.Discard, conn)
			time.Sleep(time.Second)
			synctest.Wait()
			h.g.Expect(ended).To(BeTrue())
		})
	})
}

// Idle connections are closed once the platform sends no new ones, and don't delay the end.
func TestShutdownClosesIdleConnections(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.continueOnFailure(t)
		h.addServer("i-1", goodResponse)
		h.serveClients(func(s pipeListener) {
			kept := h.connectClient(s)
			ended := make(chan struct{})
			go func() {
				h.shutDown(s)
				close(ended)
			}()
			startedAt := time.Now()
			_, err := io.ReadAll(kept)
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(time.Since(startedAt)).To(BeNumerically("~", admitAllDuration, 2*shutdownPoll))
			<-ended
			h.g.Expect(time.Since(startedAt)).To(BeNumerically("~", admitAllDuration, 3*shutdownPoll), "the idle connection must not delay the end")
		})
	})
}
