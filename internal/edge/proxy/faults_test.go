package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
)

// scriptFirstRequest adds servers of which the first request gets the response of a script, and all others a good one.
func (h *testEdge) scriptFirstRequest(first func(*http.Request) string, servers ...string) {
	played := false
	for _, id := range servers {
		h.addServer(id, func(r *http.Request) string {
			h.mu.Lock()
			mine := !played
			played = true
			h.mu.Unlock()
			if mine {
				return first(r)
			}
			return goodResponse(r)
		})
	}
	for range 4 { // fills the retry budget
		h.traffic.countRequest("tags")
	}
}

// Responses that prove nothing: an unsafe request is sent to no other server, and its client receives no promise that it did
// not run.
func TestResponsesThatAreNotTrusted(t *testing.T) {
	for name, answer := range map[string]func(*http.Request) string{
		"a 503 without X-Not-Run": func(r *http.Request) string { return rawResponse(r, "503 Busy", "", "") },
		"a 429 without X-Not-Run": func(r *http.Request) string { return rawResponse(r, "429 Busy", "", "") },
		"a 408 without X-Not-Run": func(r *http.Request) string { return rawResponse(r, "408 Late", "", "") },
		"a success with X-Not-Run": func(r *http.Request) string {
			return rawResponse(r, "200 OK", "X-Server-Seal: s\r\nX-Not-Run: 1\r\n", "x")
		},
		"a content coding that was not requested": func(r *http.Request) string {
			return rawResponse(r, "200 OK", "X-Server-Seal: s\r\nContent-Encoding: gzip\r\n", "x")
		},
		"two attempt IDs": func(r *http.Request) string {
			return rawResponse(r, "200 OK", "X-Server-Seal: s\r\nX-Attempt-Id: try-0\r\n", "x")
		},
		"a seal that is a hop-by-hop header": func(r *http.Request) string {
			return rawResponse(r, "200 OK", "X-Server-Seal: s\r\nConnection: X-Server-Seal\r\n", "x")
		},
		"switched protocols": func(r *http.Request) string {
			return rawResponse(r, "101 Switch", "X-Server-Seal: s\r\n", "x") + "<close>"
		},
	} {
		for path, want := range map[string]int{"/u/x": 502, "/s/x": 200} {
			t.Run(name+path, func(t *testing.T) {
				runEdge(t, func(h *testEdge) {
					h.scriptFirstRequest(answer, "i-1", "i-2")
					h.g.Expect(h.request("POST", path, "x").Code).To(Equal(want))
					h.g.Expect(h.received).To(HaveLen(1 + want%2 + (502-want)/302))
				})
			})
		}
	}
}

func TestRequestedContentEncodingIsForwarded(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", func(r *http.Request) string {
			return rawResponse(r, "200 OK", "X-Server-Seal: s\r\nContent-Encoding: gzip\r\n", "x")
		})
		w := h.request("GET", "/s/x", "", "Accept-Encoding", "gzip")
		h.g.Expect(w.Code).To(Equal(200))
		h.g.Expect(w.Header().Get("Content-Encoding")).To(Equal("gzip"))
	})
}

// A client is promised that its request did not run only if that holds for the first server, too.
func TestNoPromiseAfterAFirstServerThatMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		first  func(*http.Request) string
		status int
	}{
		"truncated response": {truncatedResponse, 502},
		"server error":       {func(r *http.Request) string { return rawResponse(r, "500 Oops", "", "why") }, 500},
	} {
		t.Run(name, func(t *testing.T) {
			runEdge(t, func(h *testEdge) {
				h.scriptFirstRequest(c.first, "i-1", "i-2")
				for address, script := range h.servers {
					h.servers[address] = func(r *http.Request) string {
						if len(h.received) > 1 {
							return rejectFull(r)
						}
						return script(r)
					}
				}
				w := h.request("GET", "/s/x", "")
				h.g.Expect(h.received).To(HaveLen(2))
				h.g.Expect(w.Code).To(Equal(c.status))
				h.g.Expect(w.Header()).NotTo(HaveKey("Retry-After"))
			})
		})
	}
}

// A connection to a wrong server (421) must not be reused by the next request.
func TestConnectionToAnotherServerIsClosed(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.scriptFirstRequest(func(r *http.Request) string { return rawResponse(r, "421 Other", "", "") }, "i-1")
		h.g.Expect(h.request("POST", "/u/x", "x").Code).To(Equal(503))
		h.g.Expect(h.request("POST", "/u/x", "x").Code).To(Equal(200))
		h.g.Expect(h.dials).To(Equal(2))
	})
}

// A connection that is closed before it accepts a byte proves that nothing was sent, so a request of any kind may be sent
// on another one.
func TestNothingWrittenMayBeSentAgain(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.scriptFirstRequest(goodResponse, "i-1", "i-2")
		dial, ended := h.upstreams.dial, 0
		h.upstreams.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if ended == 0 {
				ended++
				near, far := net.Pipe()
				far.Close()
				return near, nil
			}
			return dial(ctx, network, address)
		}
		h.g.Expect(h.request("POST", "/u/x", "x").Code).To(Equal(200))
		h.g.Expect(h.received).To(HaveLen(1))
	})
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		h.request("GET", "/s/x", "")
		u := h.upstreams.picker.Get("i-1").Attachment.(*upstream)
		idle := u.idle[0].tracked
		idle.Conn = rejectingConn{idle.Conn} // it fails at the next write
		h.g.Expect(h.request("POST", "/u/x", "x").Code).To(Equal(200))
		h.g.Expect(h.received).To(HaveLen(2))
		h.g.Expect(h.dials).To(Equal(2), "the same server on a new connection")
	})
}

type rejectingConn struct{ net.Conn }

func (rejectingConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Surplus bytes after a response, in the same segment, are never taken for the response to the next request.
func TestSurplusBytesAreNotTakenForTheNextResponse(t *testing.T) {
	for i := range 200 {
		runEdge(t, func(h *testEdge) {
			h.scriptFirstRequest(func(r *http.Request) string { return goodResponse(r) + foreignResponse(r) }, "i-1")
			h.g.Expect(h.send("GET", "/s/x", "").Code).To(Equal(200))
			h.g.Expect(h.send("POST", "/u/x", "x").Code).To(Equal(200), "round %d", i)
			h.g.Expect(h.dials).To(Equal(2))
		})
	}
}

// The attempt ID and the operation key are end-to-end headers, even if the client's Connection header lists them.
func TestConnectionHeaderCannotRemoveIDs(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.decideClaim = func(idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
			return idempotency.OutcomeGranted, nil
		}
		h.addServer("i-1", goodResponse)
		w := h.request("POST", "/k/x", "x", "X-Operation-Key", "k", "Connection", "X-Attempt-Id, X-Operation-Key")
		h.g.Expect(w.Code).To(Equal(200))
		h.g.Expect(h.received[0].Header.Get("X-Operation-Key")).To(Equal("k"))
	})
}

// A deadline that overflows a duration is replaced by the route's; one that is not a number is rejected.
func TestDeadlinesOutOfRange(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		for text, status := range map[string]int{"1e14": 200, "+Inf": 200, "NaN": 400, "-1": 400} {
			h.g.Expect(h.request("GET", "/s/x", "", "X-Deadline-Ms", text).Code).To(Equal(status), text)
		}
	})
}

// The server's Content-Length of a response without a body is forwarded.
func TestLengthOfAnAnswerWithoutBodyStands(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", func(r *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 304 Same\r\nX-Attempt-Id: %s\r\nContent-Length: 77\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		})
		h.g.Expect(h.request("GET", "/s/x", "").Header().Get("Content-Length")).To(Equal("77"))
	})
}

// A server may send a long response before it has received all of a long request body: both continue, and no byte of either
// is lost.
func TestLongAnswerToABodyThatStillComes(t *testing.T) {
	long := strings.Repeat("0123456789", 60_000)
	runEdge(t, func(h *testEdge) {
		h.setLimits(2, `{}`)
		got := make(chan string, 1)
		h.upstreams.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(far))
				if err != nil {
					return
				}
				_, _ = io.WriteString(far, strings.Replace(rawResponse(r, "200 OK", "X-Server-Seal: s\r\n", long), "HTTP/1.1", "HTTP/1.1", 1))
				body, _ := io.ReadAll(r.Body)
				got <- string(body)
				far.Close()
			}()
			return near, nil
		}
		h.addServer("i-1", goodResponse)
		h.serveClients(func(s pipeListener) {
			conn := h.connectClient(s)
			defer conn.Close()
			sendRest := make(chan struct{})
			go func() {
				_, _ = io.WriteString(conn, "POST /u/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t\r\nTransfer-Encoding: chunked\r\n\r\n")
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(long), long)
				<-sendRest
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(long), long)
			}()
			go func() { synctest.Wait(); close(sendRest) }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			h.g.Expect(err).NotTo(HaveOccurred())
			body, _ := io.ReadAll(resp.Body)
			h.g.Expect(string(body) == long).To(BeTrue(), "%d bytes", len(body))
			sent := <-got
			h.g.Expect(len(sent) < 2*len(long) || sent == long+long).To(BeTrue())
			h.g.Expect(strings.HasPrefix(long+long, sent)).To(BeTrue(), "bytes of the body were lost: %d arrived", len(sent))
		})
	})
}

// An HTTP/1.0 client takes a close as the end of a response without a length, so a truncated one must end in a reset.
func TestTruncatedResponseLooksIncompleteToHTTP10Clients(t *testing.T) {
	setup(t, func(h *testEdge) {
		defer h.close()
		h.setLimits(2, `{}`)
		long := strings.Repeat("0123456789", 60_000)
		h.addServer("i-1", func(r *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: t\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n<close>", len(long), long)
		})
		front, err := net.Listen("tcp", "127.0.0.1:0")
		h.g.Expect(err).NotTo(HaveOccurred())
		defer front.Close()
		go func() { _ = h.clients.serve(front) }()
		conn, err := net.Dial("tcp", front.Addr().String())
		h.g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET /s/x HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: t\r\n\r\n")
		_, err = io.Copy(io.Discard, conn)
		h.g.Expect(err).To(HaveOccurred(), "a close would look like the end of the response")
	})
}

func TestServerThatLeavesWhileItIsDialled(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		dial := h.upstreams.dial
		h.upstreams.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			h.upstreams.update([]registry.Entry{{ID: "i-1", Service: "tags", Address: "i-1:80", Seq: 2, State: registry.Draining}})
			return dial(ctx, network, address)
		}
		h.g.Expect(h.request("POST", "/u/x", "x").Code).To(Equal(503))
		h.g.Expect(h.received).To(BeEmpty())
	})
}

func TestNothingIsSentWhenTheDeadlineIsTooNear(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		h.g.Expect(h.request("POST", "/u/x", "x", "X-Deadline-Ms", "14").Code).To(Equal(503))
		h.g.Expect(h.received).To(BeEmpty())
	})
}

// A client that leaves during a long response: its connection and the server's are closed, and the server's slot is released.
func TestClientThatLeavesDuringALongResponse(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.setLimits(2, `{}`)
		h.addServer("i-1", func(r *http.Request) string {
			return rawResponse(r, "200 OK", "X-Server-Seal: s\r\n", strings.Repeat("0123456789", 60_000))
		})
		h.serveClients(func(s pipeListener) {
			conn := h.connectClient(s)
			go func() { _, _ = io.WriteString(conn, "GET /s/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t\r\n\r\n") }()
			_, err := io.ReadFull(conn, make([]byte, 10_000))
			h.g.Expect(err).NotTo(HaveOccurred())
			conn.Close()
			synctest.Wait()
			u := h.upstreams.picker.Get("i-1")
			h.g.Expect(u.InFlight()).To(Equal(0))
			h.g.Expect(u.Attachment.(*upstream).idle).To(BeEmpty())
			h.g.Expect(h.shutdown.inFlight.Load()).To(BeZero())
		})
	})
}
