package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/nodesettings"
)

const testSettings = `
node: "edge-1"
ip: "10.0.0.1"
zone: "hall"
seeds: ["10.0.0.8:1"]
inner_port_range: [7000, 7001]
bounds: ["retry_ratio=0.5,retry_slack=40"]
`

const testConfig = `{"version":"r1","services":[{"name":"tags"}],"limits":{"max_body_bytes":100},"plants":[{"plant":"a.example","channels":[` +
	`{"name":"s","path_prefix":"/s/","kind":"safe","deadline_s":2,"setpoint_s":0.4,"service":"tags","tries":2},` +
	`{"name":"u","path_prefix":"/u/","kind":"unsafe","deadline_s":2,"setpoint_s":0.4,"service":"tags","tries":2},` +
	`{"name":"k","path_prefix":"/k/","kind":"keyed","deadline_s":2,"setpoint_s":0.4,"service":"tags","tries":2}]}]}`

// testEdge is an edge with scripted servers and a scripted controller, on a fake clock.
type testEdge struct {
	*Proxy
	g             *WithT
	mu            sync.Mutex
	servers       map[string]func(*http.Request) string // by address: returns the bytes of a response; the server hangs after an empty one or the suffix <stall>, and closes after <close>
	received      []*http.Request                       // requests received by servers
	bodies        []string
	dials         int
	decideClaim   func(idempotency.Record) (idempotency.Outcome, *idempotency.Response)
	revoked       []idempotency.Record
	stored        []idempotency.Record
	controllerEnd *peer.Link
}

// runEdge runs a scenario with a testEdge on a fake clock.
func runEdge(t *testing.T, scenario func(*testEdge)) {
	synctest.Test(t, func(t *testing.T) {
		setup(t, func(h *testEdge) {
			defer synctest.Wait()
			defer h.close()
			scenario(h)
		})
	})
}

// setup runs a scenario with a testEdge on the clock of its caller.
func setup(t *testing.T, scenario func(*testEdge)) {
	g := NewWithT(t)
	set, err := nodesettings.Parse("test", []byte(testSettings))
	g.Expect(err).NotTo(HaveOccurred())
	h := &testEdge{Proxy: New(node.Config{Settings: set, Logger: log.NewNopLogger()}), g: g, servers: map[string]func(*http.Request) string{}}
	h.upstreams.dial = h.dial
	g.Expect(h.applyConfig(&peer.Config{Version: 1, Snapshot: []byte(testConfig)})).To(BeTrue())
	near, far := net.Pipe()
	link := peer.NewLink(near)
	h.session.link = link
	h.controllerEnd = peer.NewLink(far)
	go func() {
		_ = link.Read(func(messages []peer.Message) {
			for _, m := range messages {
				h.handleMessage(link, m)
			}
		})
	}()
	go func() { _ = h.controllerEnd.Read(h.handleAtController) }()
	scenario(h)
}

// close closes the links to the controller and the idle connections to servers.
func (h *testEdge) close() {
	h.session.link.Close()
	h.controllerEnd.Close()
	for _, u := range h.upstreams.picker.All() {
		u.Attachment.(*upstream).close()
	}
}

func (h *testEdge) handleAtController(messages []peer.Message) {
	f := peer.FrameOf(messages...)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range f.Claims {
		if h.decideClaim != nil {
			outcome, response := h.decideClaim(r)
			h.controllerEnd.Send(peer.ClaimOutcomes{{Token: r.Token, Outcome: outcome, Response: response}})
		}
	}
	h.revoked = append(h.revoked, f.Revocations...)
	h.stored = append(h.stored, f.Responses...)
}

// dial connects to a scripted server.
func (h *testEdge) dial(_ context.Context, _, address string) (net.Conn, error) {
	h.mu.Lock()
	answer := h.servers[address]
	h.dials++
	h.mu.Unlock()
	if answer == nil {
		return nil, fmt.Errorf("no server at %s", address)
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		in := bufio.NewReader(far)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			h.mu.Lock()
			h.received, h.bodies = append(h.received, r), append(h.bodies, string(body))
			h.mu.Unlock()
			text := answer(r)
			text, closes := strings.CutSuffix(text, "<close>")
			text, stalls := strings.CutSuffix(text, "<stall>")
			if stalls {
				_, _ = io.WriteString(far, text)
			}
			if text == "" && !closes || stalls {
				_, _ = io.Copy(io.Discard, in) // hangs until the edge closes the connection
				return
			}
			if _, err := io.WriteString(far, text); err != nil || closes {
				return
			}
		}
	}()
	return near, nil
}

// addServer adds a server that sends the responses of a script.
func (h *testEdge) addServer(id string, answer func(*http.Request) string) {
	h.mu.Lock()
	h.servers[id+":80"] = answer
	h.mu.Unlock()
	h.upstreams.update([]registry.Entry{{ID: id, Service: "tags", Address: id + ":80", Zone: "hall", Capacity: 2, Seq: 1}})
}

func (h *testEdge) request(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	w := h.send(method, path, body, headers...)
	synctest.Wait()
	return w
}

func (h *testEdge) send(method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://a.example"+path, strings.NewReader(body))
	r.RequestURI = path
	r.Header.Set("X-Attempt-Id", "try-1")
	r.Header.Set("X-Deadline-Ms", "1000")
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i] != "" {
			r.Header.Set(headers[i], headers[i+1])
		}
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func rawResponse(r *http.Request, status, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Attempt-Id"), extra, len(body), body)
}

func goodResponse(r *http.Request) string {
	return rawResponse(r, "200 OK", "X-Server-Seal: seal\r\n", "bytes")
}
func rejectFull(r *http.Request) string { return rawResponse(r, "503 Full", "X-Not-Run: 1\r\n", "") }
func hang(*http.Request) string         { return "" }
func truncatedResponse(r *http.Request) string {
	return strings.TrimSuffix(goodResponse(r), "tes") + "<close>"
}
func foreignResponse(*http.Request) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: try-0\r\nX-Server-Seal: seal\r\nContent-Length: 1\r\n\r\nx"
}

func TestRequestGoesUnchangedAndAnswerComesBack(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		w := h.request("POST", "/u/x?q=%2f", "hello", "X-Own", "kept", "Connection", "X-Hop", "X-Hop", "gone", "X-Expected-Instance", "i-9")
		h.g.Expect(w.Code).To(Equal(200))
		h.g.Expect(w.Body.String()).To(Equal("bytes"))
		h.g.Expect(w.Header().Get("X-Server-Seal")).To(Equal("seal"))
		got := h.received[0]
		h.g.Expect(got.RequestURI).To(Equal("/u/x?q=%2f"))
		h.g.Expect(got.Host).To(Equal("a.example"))
		h.g.Expect(h.bodies[0]).To(Equal("hello"))
		h.g.Expect(got.Header.Get("X-Own")).To(Equal("kept"))
		h.g.Expect(got.Header).NotTo(HaveKey("X-Hop"))
		h.g.Expect(got.Header).NotTo(HaveKey("Accept-Encoding"))
		h.g.Expect(got.Header.Get("X-Expected-Instance")).To(Equal("i-1"))
		h.g.Expect(got.Header.Get("X-Deadline-Ms")).To(Equal("995"))
	})
}

// An unsafe request is retried at another server only if the first one's response proves that it did not run.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name         string
		first        func(*http.Request) string
		path         string
		status, sent int
	}{
		{"a response of another attempt, safe", foreignResponse, "/s/x", 200, 2},
		{"a response of another attempt, unsafe", foreignResponse, "/u/x", 502, 1},
		{"a truncated body, safe", truncatedResponse, "/s/x", 200, 2},
		{"a truncated body, unsafe", truncatedResponse, "/u/x", 502, 1},
		{"a close without a response, unsafe", func(*http.Request) string { return "<close>" }, "/u/x", 502, 1},
		{"bytes that are no HTTP response, unsafe", func(*http.Request) string { return "spoilt\r\n\r\n" }, "/u/x", 502, 1},
		{"rejected as full, unsafe", rejectFull, "/u/x", 200, 2},
		{"a server error, unsafe", func(r *http.Request) string { return rawResponse(r, "500 Oops", "", "") }, "/u/x", 500, 1},
		{"a success without a seal, unsafe", func(r *http.Request) string { return rawResponse(r, "200 OK", "", "x") }, "/u/x", 502, 1},
		{"a success without a length, unsafe", func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\nX-Attempt-Id: try-1\r\nX-Server-Seal: seal\r\n\r\nbytes<close>"
		}, "/u/x", 502, 1},
		{"silence, unsafe", hang, "/u/x", 504, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			runEdge(t, func(h *testEdge) {
				first := true
				script := func(r *http.Request) string {
					h.mu.Lock()
					mine := first
					first = false
					h.mu.Unlock()
					if mine {
						return c.first(r)
					}
					return goodResponse(r)
				}
				h.addServer("i-1", script)
				h.addServer("i-2", script)
				for range 4 { // fills the retry budget
					h.traffic.countRequest("tags")
				}
				w := h.request("POST", c.path, "x")
				h.g.Expect(w.Code).To(Equal(c.status))
				h.g.Expect(h.received).To(HaveLen(c.sent))
			})
		})
	}
}

func TestNoRetryWithoutBudget(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", rejectFull)
		h.addServer("i-2", rejectFull)
		w := h.request("GET", "/s/x", "")
		h.g.Expect(w.Code).To(Equal(503))
		h.g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		h.g.Expect(h.received).To(HaveLen(1))
	})
}

func TestRefusalWithoutAnyServerComesAtOnce(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		w := h.request("GET", "/s/x", "")
		h.g.Expect(w.Code).To(Equal(503))
		h.g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
		h.g.Expect(h.Now()).To(BeNumerically("<=", 100*time.Millisecond))
	})
}

func TestServerThatLeavesGetsNothing(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		h.g.Expect(h.request("GET", "/s/x", "").Code).To(Equal(200))
		h.upstreams.update([]registry.Entry{{ID: "i-1", Service: "tags", Address: "i-1:80", Seq: 2, State: registry.Draining}})
		h.upstreams.update([]registry.Entry{{ID: "i-1", Service: "tags", Address: "i-1:80", Seq: 1}}) // late
		h.g.Expect(h.request("GET", "/s/x", "").Code).To(Equal(503))
		h.g.Expect(h.received).To(HaveLen(1))
	})
}

func TestConnectionsEndWithAnIncarnationNotWithAnAddress(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		h.request("GET", "/s/x", "")
		h.request("GET", "/s/x", "")
		h.g.Expect(h.dials).To(Equal(1))
		h.upstreams.update([]registry.Entry{{ID: "i-1", Seq: 2, State: registry.Removed}, {ID: "i-2", Service: "tags", Address: "i-1:80", Zone: "hall", Capacity: 2, Seq: 1}})
		h.request("GET", "/s/x", "")
		h.g.Expect(h.dials).To(Equal(2))
		h.g.Expect(h.received[2].Header.Get("X-Expected-Instance")).To(Equal("i-2"))
	})
}

func TestKeyedOperations(t *testing.T) {
	grant := func(idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
		return idempotency.OutcomeGranted, nil
	}
	t.Run("run once claimed, and their response is stored", func(t *testing.T) {
		runEdge(t, func(h *testEdge) {
			h.decideClaim = grant
			h.addServer("i-1", goodResponse)
			h.g.Expect(h.request("POST", "/k/x", "x", "X-Operation-Key", "k").Code).To(Equal(200))
			h.g.Expect(h.stored).To(HaveLen(1))
			h.g.Expect(string(h.stored[0].Response.Body)).To(Equal("bytes"))
			h.g.Expect(h.stored[0].Response.Headers).To(HaveKeyWithValue("X-Server-Seal", "seal"))
		})
	})
	t.Run("are answered 409 while another edge runs them", func(t *testing.T) {
		runEdge(t, func(h *testEdge) {
			h.decideClaim = func(idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
				return idempotency.OutcomeConflict, nil
			}
			h.addServer("i-1", goodResponse)
			h.g.Expect(h.request("POST", "/k/x", "x", "X-Operation-Key", "k").Code).To(Equal(409))
			h.g.Expect(h.received).To(BeEmpty())
		})
	})
	t.Run("repeat the first response with the ID of this attempt", func(t *testing.T) {
		runEdge(t, func(h *testEdge) {
			h.decideClaim = func(idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
				return idempotency.OutcomeConflict, &idempotency.Response{Status: 201, Headers: map[string]string{"X-Server-Seal": "first"}, Body: []byte("one")}
			}
			w := h.request("POST", "/k/x", "x", "X-Operation-Key", "k")
			h.g.Expect(w.Code).To(Equal(201))
			h.g.Expect(w.Body.String()).To(Equal("one"))
			h.g.Expect(w.Header().Get("X-Server-Seal")).To(Equal("first"))
			h.g.Expect(w.Header().Get("X-Attempt-Id")).To(Equal("try-1"))
		})
	})
	t.Run("are not sent without a granted claim, which is revoked", func(t *testing.T) {
		runEdge(t, func(h *testEdge) {
			h.addServer("i-1", goodResponse)
			w := h.request("POST", "/k/x", "x", "X-Operation-Key", "k") // the controller doesn't respond
			h.g.Expect(w.Code).To(Equal(503))
			h.g.Expect(h.received).To(BeEmpty())
			h.g.Expect(h.revoked).To(HaveLen(1))
		})
	})
	t.Run("are revoked on proof that they never ran, and only then", func(t *testing.T) {
		runEdge(t, func(h *testEdge) {
			h.decideClaim = grant
			h.addServer("i-1", rejectFull)
			h.g.Expect(h.request("POST", "/k/x", "x", "X-Operation-Key", "k").Code).To(Equal(503))
			h.g.Expect(h.revoked).To(HaveLen(1))
		})
		runEdge(t, func(h *testEdge) {
			h.decideClaim = grant
			h.addServer("i-1", truncatedResponse)
			h.g.Expect(h.request("POST", "/k/x", "x", "X-Operation-Key", "k").Code).To(Equal(502))
			h.g.Expect(h.revoked).To(BeEmpty())
			h.g.Expect(h.stored).To(BeEmpty())
		})
	})
	t.Run("are rejected early while no controller can be reached, and revoked once one can", func(t *testing.T) {
		runEdge(t, func(h *testEdge) {
			h.addServer("i-1", goodResponse)
			link := h.session.link
			h.session.link, h.session.known = nil, map[string]bool{}
			w := h.request("POST", "/k/x", "x", "X-Operation-Key", "k")
			h.g.Expect(w.Code).To(Equal(503))
			h.g.Expect(w.Header().Get("Retry-After")).NotTo(BeEmpty())
			h.g.Expect(h.Now()).To(BeNumerically("<=", 100*time.Millisecond), "a fifth of the latency target and a margin")
			h.session.link = link
			h.claims.resendPending()
			synctest.Wait()
			h.g.Expect(h.revoked).To(HaveLen(1))
			h.g.Expect(h.received).To(BeEmpty())
		})
	})
	t.Run("are revoked at the secondary controller, too: the edge's controller may have crashed", func(t *testing.T) {
		runEdge(t, func(h *testEdge) {
			h.addServer("i-1", goodResponse)
			near, far := net.Pipe()
			secondary, other := peer.NewLink(near), peer.NewLink(far)
			defer secondary.Close()
			var claims, revocations int
			go func() {
				_ = other.Read(func(messages []peer.Message) {
					f := peer.FrameOf(messages...)
					claims, revocations = claims+len(f.Claims), revocations+len(f.Revocations)
				})
			}()
			h.session.secondary = secondary
			h.g.Expect(h.request("POST", "/k/x", "x", "X-Operation-Key", "k").Code).To(Equal(503))
			h.g.Expect(claims).To(Equal(1))
			h.g.Expect(revocations).To(Equal(1))
		})
	})
	t.Run("need a key", func(t *testing.T) {
		runEdge(t, func(h *testEdge) { h.g.Expect(h.request("POST", "/k/x", "x").Code).To(Equal(400)) })
	})
	t.Run("are no longer pending once decided", func(t *testing.T) {
		runEdge(t, func(h *testEdge) {
			h.decideClaim = grant
			h.addServer("i-1", goodResponse)
			h.request("POST", "/k/x", "x", "X-Operation-Key", "k")
			h.g.Expect(h.claims.pending).To(BeEmpty())
		})
	})
}

// A surplus response on a connection could be taken for the next request's. After a service sent one, unsafe requests use
// new connections, while safe ones continue to reuse idle ones.
func TestUnsafeRequestsAvoidDistrustedConnections(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		spoil := true
		h.addServer("i-1", func(r *http.Request) string {
			if r.URL.Path == "/s/spoilt" && spoil {
				spoil = false
				return foreignResponse(r)
			}
			return goodResponse(r)
		})
		h.request("GET", "/s/x", "")
		h.request("GET", "/s/spoilt", "")
		h.request("GET", "/s/x", "")
		before := h.dials
		h.request("GET", "/s/x", "")
		h.g.Expect(h.dials).To(Equal(before))
		h.g.Expect(h.request("POST", "/u/x", "x").Code).To(Equal(200))
		h.g.Expect(h.dials).To(Equal(before + 1))
	})
}

// While all servers are full, requests that can still meet the latency target are served before stale ones that arrived
// earlier.
func TestFreshRequestsGoFirst(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		open := make(chan struct{})
		h.addServer("i-1", func(r *http.Request) string { <-open; return goodResponse(r) })
		var order []string
		var mu sync.Mutex
		var all sync.WaitGroup
		send := func(name, left string) {
			all.Go(func() {
				w := h.send("GET", "/s/"+name, "", "X-Deadline-Ms", left)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprint(name, " ", w.Code))
			})
			synctest.Wait()
		}
		for i := range 4 { // two run, two may be queued at the server
			send(fmt.Sprint("first-", i), "2000")
		}
		send("stale", "1000")
		send("fresh", "2000")
		open <- struct{}{}
		synctest.Wait()
		mu.Lock()
		h.g.Expect(order).To(HaveLen(1))
		mu.Unlock()
		close(open)
		all.Wait()
		h.g.Expect(h.received[4].URL.Path).To(Equal("/s/fresh"))
	})
}

func TestBadRequestsAreRejected(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.addServer("i-1", goodResponse)
		for _, c := range []struct {
			path, body, header, value string
			status                    int
		}{
			{"/none/x", "", "", "", 404},
			{"/s/x", "", "X-Attempt-Id", "", 400},
			{"/s/x", "", "X-Deadline-Ms", "soon", 400},
			{"/s/x", strings.Repeat("x", 101), "", "", 413},
			{"/s/x", "", "", "", 200},
		} {
			w := h.request("GET", c.path, c.body, c.header, c.value)
			h.g.Expect(w.Code).To(Equal(c.status), "%+v", c)
		}
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		newer := strings.Replace(testConfig, `"r1"`, `"r5"`, 1)
		h.g.Expect(h.applyConfig(&peer.Config{Version: 5, Snapshot: []byte(newer)})).To(BeTrue())
		h.g.Expect(h.applyConfig(&peer.Config{Version: 1, Snapshot: []byte(testConfig)})).To(BeTrue())
		h.g.Expect(h.tree.Load().Config.Version).To(Equal(config.Version(5)))
		h.g.Expect(h.applyConfig(&peer.Config{Version: 9, Base: 7, Delta: []byte(`{"version":"r9"}`)})).To(BeFalse(), "a delta of another version needs a complete configuration")
	})
}

func BenchmarkRequest(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Seal", "seal")
		_, _ = io.WriteString(w, "bytes")
	}))
	defer server.Close()
	set, err := nodesettings.Parse("test", []byte(testSettings))
	if err != nil {
		b.Fatal(err)
	}
	c := New(node.Config{Settings: set, Logger: log.NewNopLogger()})
	c.applyConfig(&peer.Config{Version: 1, Snapshot: []byte(testConfig)})
	c.upstreams.update([]registry.Entry{{ID: "i-1", Service: "tags", Address: server.Listener.Addr().String(), Zone: "hall", Capacity: 2, Seq: 1}})
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest("GET", "http://a.example/s/x", nil)
		r.RequestURI = "/s/x"
		r.Header.Set("X-Attempt-Id", "try")
		w := httptest.NewRecorder()
		c.ServeHTTP(w, r)
		if w.Code != 200 {
			b.Fatal(w.Code)
		}
	}
}

// After SIGTERM during a response, the response is completed, new requests are served with Connection: close, readiness
// fails immediately, and the edge ends once no more requests arrive.
func TestShutdownCutsNothingOff(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		running := make(chan struct{})
		h.addServer("i-1", func(r *http.Request) string {
			if r.URL.Path == "/s/slow" {
				<-running
			}
			return goodResponse(r)
		})
		front, err := net.Listen("tcp", "127.0.0.1:0")
		h.g.Expect(err).NotTo(HaveOccurred())
		var all sync.WaitGroup
		var slow *httptest.ResponseRecorder
		all.Go(func() { slow = h.send("GET", "/s/slow", "", "X-Deadline-Ms", "2000") })
		synctest.Wait()
		left := false
		all.Go(func() { h.shutDown(front); left = true })
		time.Sleep(time.Second)
		synctest.Wait()
		ready := httptest.NewRecorder()
		h.serveReadiness(ready, httptest.NewRequest("GET", "/readiness", nil))
		h.g.Expect(ready.Code).To(Equal(503))
		w := h.request("GET", "/s/new", "")
		h.g.Expect(w.Code).To(Equal(200))
		h.g.Expect(w.Header().Get("Connection")).To(Equal("close"))
		h.g.Expect(left).To(BeFalse())
		close(running)
		all.Wait()
		h.g.Expect(slow.Code).To(Equal(200))
		h.g.Expect(left).To(BeTrue())
		h.g.Expect(h.Now()).To(BeNumerically("<", 5*time.Second))
	})
}

// Three concurrent requests with the same key: only the one whose claim is granted runs.
func TestOneOfManyEdgesRunsAKey(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		taken := map[idempotency.Key]idempotency.Token{}
		h.decideClaim = func(r idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
			if first, ok := taken[r.Key]; ok && first != r.Token {
				return idempotency.OutcomeConflict, nil
			}
			taken[r.Key] = r.Token
			return idempotency.OutcomeGranted, nil
		}
		h.addServer("i-1", goodResponse)
		var all sync.WaitGroup
		codes := make([]int, 3)
		for i := range codes {
			all.Go(func() { codes[i] = h.send("POST", "/k/x", "x", "X-Operation-Key", "k").Code })
		}
		all.Wait()
		slices.Sort(codes)
		h.g.Expect(codes).To(Equal([]int{200, 409, 409}))
		h.g.Expect(h.received).To(HaveLen(1))
	})
}
