package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
)

// maxAbandonedWork is how long the work on a request may continue after its client has left (rule GONE, NEWS-18).
const maxAbandonedWork = 500 * time.Millisecond

// serverConns records when the edge closed its connections to servers.
type serverConns struct {
	mu       sync.Mutex
	opened   int
	closedAt []time.Time
}

// closeObservedConn calls onClose at its first close.
type closeObservedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (c *closeObservedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// watchServerConns records the connections to servers from now on.
func (h *testEdge) watchServerConns() *serverConns {
	s := &serverConns{}
	dial := h.upstreams.dial
	h.upstreams.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.opened++
		return &closeObservedConn{Conn: conn, onClose: s.noteClose}, nil
	}
	return s
}

func (s *serverConns) noteClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closedAt = append(s.closedAt, time.Now())
}

// open returns the number of open connections.
func (s *serverConns) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened - len(s.closedAt)
}

// continueOnFailure lets the test continue after a failed expectation, so that work in progress ends before the fake clock.
func (h *testEdge) continueOnFailure(t *testing.T) {
	h.g.ConfigureWithFailHandler(func(message string, _ ...int) { t.Error(message) })
}

// wireRequest returns a request as a client writes it.
func wireRequest(kind, deadlineMS string) string {
	method := map[string]string{"s": "GET", "u": "POST", "k": "PUT"}[kind]
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: try-1\r\nX-Operation-Key: k-1\r\n"+
		"X-Deadline-Ms: %s\r\nContent-Length: 0\r\n\r\n", method, kind, deadlineMS)
}

// truncatedLongResponse returns the beginning of a long response.
func truncatedLongResponse() string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: try-1\r\nX-Server-Seal: s\r\nContent-Length: 900000\r\n\r\n" +
		strings.Repeat("0123456789", 40_000)
}

// The work on a request is cancelled when its client leaves, at any stage: the server stops working on it, no other server
// receives it, and no slot, claim or connection remains in use for it.
func TestWorkIsCancelledWhenTheClientLeaves(t *testing.T) {
	slowly := func(h *testEdge) { h.addServer("i-1", respondAfter(h, 1800*time.Millisecond)) }
	for _, c := range []struct {
		name, kind, deadlineMS string
		prepare                func(h *testEdge)
		meanwhile              func(h *testEdge) // while the request is served
		received               int               // number of requests that may reach servers
	}{
		{name: "at a server", kind: "s", deadlineMS: "2000", prepare: slowly, received: 1},
		{name: "at a server that doesn't respond", kind: "s", deadlineMS: "2000", received: 1,
			prepare: func(h *testEdge) { h.addServer("i-1", hang) }},
		{name: "on a connection from before a change of the limits", kind: "s", deadlineMS: "2000", prepare: slowly, received: 1,
			meanwhile: func(h *testEdge) { h.setLimits(3, `{"idle_s":3}`) }},
		{name: "queued", kind: "s", deadlineMS: "1500", prepare: func(h *testEdge) {
			slowly(h)
			for range 10 { // more than are admitted to a server of two slots
				h.upstreams.picker.Reserve(h.upstreams.picker.Get("i-1"))
			}
		}},
		{name: "claiming", kind: "k", deadlineMS: "2000", prepare: func(h *testEdge) {
			slowly(h)
			h.decideClaim = nil // the controller receives the claim and doesn't respond
		}},
		{name: "streaming", kind: "s", deadlineMS: "2000", received: 1, prepare: func(h *testEdge) {
			h.addServer("i-1", func(*http.Request) string { return truncatedLongResponse() + "<stall>" })
		}},
		{name: "streaming an unsafe request", kind: "u", deadlineMS: "2000", received: 1,
			prepare: func(h *testEdge) {
				h.addServer("i-1", func(*http.Request) string { return truncatedLongResponse() + "<stall>" })
			}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runEdge(t, func(h *testEdge) {
				h.continueOnFailure(t)
				h.setLimits(2, `{}`)
				conns := h.watchServerConns()
				c.prepare(h)
				h.serveClients(func(s pipeListener) {
					conn := h.connectClient(s)
					go func() { _, _ = io.WriteString(conn, wireRequest(c.kind, c.deadlineMS)) }()
					go func() { _, _ = io.Copy(io.Discard, conn) }() // until the server stalls
					time.Sleep(100 * time.Millisecond)
					synctest.Wait()
					h.g.Expect(h.shutdown.inFlight.Load()).To(BeEquivalentTo(1))
					if c.meanwhile != nil {
						c.meanwhile(h)
					}
					conn.Close()
					time.Sleep(maxAbandonedWork)
					synctest.Wait()
					h.g.Expect(h.shutdown.inFlight.Load()).To(BeZero(), "the work continues")
					h.g.Expect(conns.open()).To(BeZero(), "the connection to the server stays open, so the server continues to work")
					time.Sleep(2 * time.Second)
					synctest.Wait()
					h.g.Expect(h.received).To(HaveLen(c.received), "a server received the request after its client had left")
					if c.kind == "k" {
						h.g.Expect(h.revoked).NotTo(BeEmpty(), "the claim is not revoked")
					}
				})
			})
		})
	}
}

// grantClaim grants every claim.
func grantClaim(idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
	return idempotency.OutcomeGranted, nil
}

// A request isn't retried after its client has left, even if the first server proves that it did not run.
func TestNoRetryForAClientThatLeft(t *testing.T) {
	for _, kind := range []string{"s", "u", "k"} {
		runEdge(t, func(h *testEdge) {
			h.continueOnFailure(t)
			h.setLimits(2, `{}`)
			h.decideClaim = grantClaim
			turnAway := func(r *http.Request) string {
				time.Sleep(300 * time.Millisecond)
				return rejectFull(r)
			}
			for range 4 { // fills the retry budget
				h.traffic.countRequest("tags")
			}
			h.addServer("i-1", turnAway)
			h.addServer("i-2", turnAway)
			h.serveClients(func(s pipeListener) {
				conn := h.connectClient(s)
				go func() { _, _ = io.WriteString(conn, wireRequest(kind, "2000")) }()
				time.Sleep(100 * time.Millisecond)
				conn.Close()
				time.Sleep(2 * time.Second)
				synctest.Wait()
				h.g.Expect(h.received).To(HaveLen(1), kind)
				if kind == "k" {
					h.g.Expect(h.revoked).NotTo(BeEmpty(), "nothing ran, so a repeat must be allowed")
				}
			})
		})
	}
}

// An unsafe request is not cancelled when its client leaves, since its outcome would be unknown. The response of a keyed
// operation is stored for repeats.
func TestUnsafeWorkContinuesAfterTheClientLeaves(t *testing.T) {
	for _, kind := range []string{"u", "k"} {
		runEdge(t, func(h *testEdge) {
			h.continueOnFailure(t)
			h.setLimits(2, `{}`)
			conns := h.watchServerConns()
			h.decideClaim = grantClaim
			h.addServer("i-1", respondAfter(h, 750*time.Millisecond))
			h.serveClients(func(s pipeListener) {
				conn := h.connectClient(s)
				go func() { _, _ = io.WriteString(conn, wireRequest(kind, "2000")) }()
				time.Sleep(100 * time.Millisecond)
				conn.Close()
				time.Sleep(600 * time.Millisecond)
				synctest.Wait()
				h.g.Expect(conns.open()).To(Equal(1), "the request was cancelled")
				time.Sleep(200 * time.Millisecond)
				synctest.Wait()
				h.g.Expect(h.shutdown.inFlight.Load()).To(BeZero())
				h.g.Expect(h.received).To(HaveLen(1))
				if kind == "k" {
					h.g.Expect(h.stored).To(HaveLen(1), "the response is stored for repeats")
				}
			})
		})
	}
}
