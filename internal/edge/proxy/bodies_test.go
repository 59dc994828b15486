package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/httpconn"
)

// setLimits applies a configuration with the given limits.
func (h *testEdge) setLimits(version int, limits string) {
	next := strings.Replace(strings.Replace(testConfig, `"r1"`, fmt.Sprintf(`"r%d"`, version), 1), `{"max_body_bytes":100}`, limits, 1)
	h.g.Expect(h.applyConfig(&peer.Config{Version: uint64(version), Snapshot: []byte(next)})).To(BeTrue())
}

// pipeListener is a listener whose connections are pipes.
type pipeListener struct {
	in     chan net.Conn
	closed chan struct{}
	once   *sync.Once
}

func newPipeListener() pipeListener {
	return pipeListener{in: make(chan net.Conn), closed: make(chan struct{}), once: &sync.Once{}}
}

func (s pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-s.in:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s pipeListener) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}
func (s pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connectClient connects a client to the edge.
func (h *testEdge) connectClient(s pipeListener) net.Conn {
	near, far := net.Pipe()
	s.in <- far
	synctest.Wait()
	return near
}

// serveClients serves a listener while a scenario runs, and waits until serving has ended.
func (h *testEdge) serveClients(scenario func(pipeListener)) {
	s := newPipeListener()
	ended := make(chan struct{})
	go func() { _ = h.clients.serve(s); close(ended) }()
	synctest.Wait()
	scenario(s)
	s.Close()
	<-ended
	close(h.clients.handoff.closed)
	h.clients.conns.CloseStale(0, 0)
}

func TestLongBodiesAreSentOnceAndWhole(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.setLimits(2, `{"max_body_bytes":1000000}`)
		h.addServer("i-1", truncatedResponse)
		h.addServer("i-2", truncatedResponse)
		for range 4 { // fills the retry budget
			h.traffic.countRequest("tags")
		}
		long := strings.Repeat("0123456789", 50_000)
		h.g.Expect(h.request("POST", "/s/x", long).Code).To(Equal(502))
		h.g.Expect(len(h.bodies)).To(Equal(1), "a streamed body can't be sent again, though the route is safe")
		h.g.Expect(h.bodies[0] == long).To(BeTrue())
		h.g.Expect(h.request("POST", "/s/x", "short").Code).To(Equal(502))
		h.g.Expect(len(h.bodies)).To(Equal(3), "a buffered body can be sent again")
		h.g.Expect(h.request("POST", "/s/x", strings.Repeat("x", 1_000_001)).Code).To(Equal(413))
	})
}

func TestBodiesTogetherStayWithinTheBudget(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.setLimits(2, `{"max_body_bytes":1000000}`)
		h.addServer("i-1", goodResponse)
		whole := h.bodyMemory.available.Load()
		h.bodyMemory.available.Store(10_000)
		long := strings.Repeat("x", 100_000)
		h.g.Expect(h.request("POST", "/u/x", long).Code).To(Equal(200))
		h.g.Expect(h.bodies).To(Equal([]string{long}), "what isn't buffered is streamed")
		h.g.Expect(h.bodyMemory.available.Load()).To(BeEquivalentTo(10_000), "all reserved bytes are released")
		h.bodyMemory.available.Store(whole)
	})
	g := NewWithT(t)
	for _, left := range []int64{0, 1, 5_000, 1 << 20} {
		for _, size := range []int{0, 1, uncountedBytes, uncountedBytes + 1, maxInitialBufferBytes, 100_000, maxBufferedRequestBytes, maxBufferedRequestBytes + 1} {
			for _, contentLength := range []int64{-1, int64(size)} {
				a := &memoryBudget{}
				a.available.Store(left)
				text := strings.Repeat("x", size)
				src := iotest.DataErrReader(strings.NewReader(text))
				got, err := a.buffer(src, contentLength, maxBufferedRequestBytes)
				body, whole, reserved := got.data, got.complete, got.reserved
				g.Expect(err).NotTo(HaveOccurred())
				more, _ := io.ReadAll(src)
				g.Expect(string(body)+string(more) == text).To(BeTrue(), "left %d, size %d", left, size)
				g.Expect(whole).To(Equal(len(more) == 0 && size <= maxBufferedRequestBytes && (whole || size > 0)), "left %d, size %d, length %d", left, size, contentLength)
				g.Expect(a.available.Load()).To(And(BeNumerically(">=", 0), Equal(left-reserved)))
				g.Expect(int64(len(body))).To(BeNumerically("<=", uncountedBytes+reserved))
			}
		}
	}
}

// A long response is streamed. A truncated one must not look complete to the client, nor be counted as a success.
func TestLongAnswers(t *testing.T) {
	long := strings.Repeat("0123456789", 60_000)
	chunked := func(r *http.Request, end string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s",
			r.Header.Get("X-Attempt-Id"), len(long), long, end)
	}
	withLength := func(r *http.Request) string { return rawResponse(r, "200 OK", "X-Server-Seal: s\r\n", long) }
	for name, c := range map[string]struct {
		answer func(*http.Request) string
		whole  bool
	}{
		"a length":            {withLength, true},
		"chunks":              {func(r *http.Request) string { return chunked(r, "0\r\n\r\n") }, true},
		"a length, truncated": {func(r *http.Request) string { return withLength(r)[:400_000] + "<close>" }, false},
		"chunks, truncated":   {func(r *http.Request) string { return chunked(r, "") + "<close>" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			runEdge(t, func(h *testEdge) {
				h.setLimits(2, `{}`)
				h.addServer("i-1", c.answer)
				h.serveClients(func(s pipeListener) {
					conn := h.connectClient(s)
					defer conn.Close()
					go func() { _, _ = io.WriteString(conn, "GET /s/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t\r\n\r\n") }()
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					h.g.Expect(err).NotTo(HaveOccurred())
					body, err := io.ReadAll(resp.Body)
					if c.whole {
						h.g.Expect(err).NotTo(HaveOccurred())
						h.g.Expect(string(body) == long).To(BeTrue())
					} else {
						h.g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
					}
					synctest.Wait()
					h.g.Expect(h.upstreams.picker.Get("i-1").InFlight()).To(Equal(0), "its slot is released")
				})
			})
		})
	}
}

func TestAnswerWithoutBody(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", func(r *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: 77\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		})
		w := h.request("HEAD", "/s/x", "")
		h.g.Expect(w.Code).To(Equal(200))
		h.g.Expect(w.Header().Get("Content-Length")).To(Equal("77"), "the response to HEAD has the length of a GET")
	})
}

// Expect applies to one hop: if the edge forwarded it, a server that ignores it would wait for a body that is never sent.
func TestExpectHeaderIsNotForwarded(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		h.g.Expect(h.request("POST", "/s/x", "body", "Expect", "100-continue").Code).To(Equal(200))
		h.g.Expect(h.received[0].Header).NotTo(HaveKey("Expect"))
		h.g.Expect(h.bodies[0]).To(Equal("body"))
	})
}

func TestAbsoluteURIsFindTheirRoute(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		r := httptest.NewRequest("GET", "http://a.example/s/x?y=1", nil)
		r.RequestURI = "http://a.example/s/x?y=1"
		r.Header.Set("X-Attempt-Id", "t")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		h.g.Expect(w.Code).To(Equal(200))
		h.g.Expect(h.received[0].RequestURI).To(Equal("/s/x?y=1"))
	})
}

// The configured limits apply to slow and silent clients and to large requests, and don't affect other clients.
func TestLimitsOfTheConfiguration(t *testing.T) {
	const limits = `{"max_header_bytes":8000,"max_body_bytes":1000,"header_wait_s":3,"idle_s":15}`
	const head = "GET /s/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t\r\n"
	closedAfter := func(h *testEdge, conn net.Conn) time.Duration {
		began := time.Now()
		_, _ = io.Copy(io.Discard, conn)
		return time.Since(began).Round(100 * time.Millisecond)
	}
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		h.serveClients(func(s pipeListener) {
			before := h.connectClient(s)
			h.setLimits(2, limits)
			synctest.Wait()
			go func() { _, _ = io.WriteString(before, head+"X-Pad: "+strings.Repeat("x", 20_000)+"\r\n\r\n") }()
			resp, err := http.ReadResponse(bufio.NewReader(before), nil)
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(resp.StatusCode).To(Equal(200), "an established connection keeps the previous limits")

			late := h.connectClient(s)
			_, _ = io.WriteString(late, "GET /s/x HT")
			h.g.Expect(closedAfter(h, late)).To(Equal(3*time.Second), "a header has header_wait_s from its first byte")

			silent := h.connectClient(s)
			h.g.Expect(closedAfter(h, silent)).To(Equal(15*time.Second), "a connection without a request may stay for idle_s")

			large := h.connectClient(s)
			go func() { _, _ = io.WriteString(large, head+"X-Pad: "+strings.Repeat("x", 20_000)+"\r\n\r\n") }()
			resp, err = http.ReadResponse(bufio.NewReader(large), nil)
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(resp.StatusCode).To(Equal(431))

			slow := h.connectClient(s)
			_, _ = io.WriteString(slow, "POST /s/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t\r\nX-Deadline-Ms: 700\r\nContent-Length: 9\r\n\r\nhalf")
			began := time.Now()
			resp, err = http.ReadResponse(bufio.NewReader(slow), nil)
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(resp.StatusCode).To(Equal(408), "a request whose body doesn't arrive by the deadline was never run")
			h.g.Expect(time.Since(began).Round(10 * time.Millisecond)).To(Equal(700 * time.Millisecond))

			for _, c := range []net.Conn{before, large, slow} {
				c.Close()
			}
		})
	})
}

func TestLimitsThatComeBeforeTheListenerCount(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.setLimits(2, `{"header_wait_s":2}`)
		h.serveClients(func(s pipeListener) {
			late := h.connectClient(s)
			_, _ = io.WriteString(late, "GET")
			began := time.Now()
			_, _ = io.Copy(io.Discard, late)
			h.g.Expect(time.Since(began).Round(100 * time.Millisecond)).To(Equal(2 * time.Second))
		})
	})
}

func TestLongestIdleConnectionIsEvicted(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.clients.conns = httpconn.NewTracker(2)
		h.addServer("i-1", hang)
		h.serveClients(func(s pipeListener) {
			first := h.connectClient(s)
			time.Sleep(time.Second)
			busy := h.connectClient(s)
			_, _ = io.WriteString(busy, "GET /s/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t\r\nX-Deadline-Ms: 1900\r\n\r\n")
			synctest.Wait()
			third := h.connectClient(s)
			_, err := first.Read(make([]byte, 1))
			h.g.Expect(err).To(MatchError(io.EOF), "the first was idle longest")
			fourth := h.connectClient(s)
			_, err = third.Read(make([]byte, 1))
			h.g.Expect(err).To(MatchError(io.EOF), "an active connection is not evicted")
			resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
			h.g.Expect(err).NotTo(HaveOccurred())
			h.g.Expect(resp.StatusCode).To(Equal(504))
			for _, c := range []net.Conn{busy, fourth} {
				c.Close()
			}
		})
	})
}
