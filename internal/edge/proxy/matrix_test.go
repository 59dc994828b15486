package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/peer"
)

// The boundaries of a request and its response at which a scripted server acts.
const (
	atAccept = iota // of a new connection; on a reused one, while it is idle
	atHeadPart
	atHead
	atBodyPart
	atRequestEnd
	atResponseHeadPart
	atResponseHead
	atResponseBodyPart
	atResponseEnd
	boundaryCount
)

var boundaryNames = [boundaryCount]string{"accept", "part of the head", "head", "part of the body", "complete request",
	"part of the response's head", "response's head", "part of the response's body", "complete response"}

// The actions of a scripted server.
const (
	actSilence = iota
	actClose
	actReset
	actGarbage
	actSecondResponse
	actForeignResponse
	actionCount
)

var actionNames = [actionCount]string{"silence", "close", "reset", "garbage", "a second response", "a response of another attempt"}

// lastWarmUpID is the ID of the last request before the probe on a reused connection.
const lastWarmUpID = "warm-4"

// matrixCase is one combination of boundary, action, kind of route and connection.
type matrixCase struct {
	at, action  int
	reused      bool
	kind        string // the route's path segment
	chunked     bool   // the response is chunked
	realSockets bool   // connections are TCP sockets instead of pipes
}

func (p matrixCase) String() string {
	return fmt.Sprintf("%s at %s, /%s/, reused %v, chunked %v, sockets %v", actionNames[p.action], boundaryNames[p.at], p.kind, p.reused, p.chunked, p.realSockets)
}

// auditor checks the requests that servers receive and the responses that clients receive, without access to the edge.
type auditor struct {
	mu               sync.Mutex
	completeRequests map[string]int // number of complete requests received by servers, by ID
	provedNotRun     map[string]int // by ID: of these, the ones that a server declared as not run
	findings         []string
}

func newAuditor() *auditor {
	return &auditor{completeRequests: map[string]int{}, provedNotRun: map[string]int{}}
}

func (a *auditor) report(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.findings = append(a.findings, fmt.Sprintf(format, args...))
}

func (a *auditor) received(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.completeRequests[id]++
}

// checkResponse checks a client's response, whose body contains the ID of its request.
func (a *auditor) checkResponse(id string, resp *http.Response, body string, err error) {
	switch {
	case resp.Header.Get("X-Attempt-Id") != id:
		a.report("%s received a response of %q", id, resp.Header.Get("X-Attempt-Id"))
	case resp.StatusCode == 200 && err == nil && (body != expectedBody(id) || resp.Header.Get("X-Server-Seal") != "seal-"+id):
		a.report("%s received %q", id, body)
	case resp.StatusCode == 200 && err != nil && !strings.HasPrefix(expectedBody(id), body):
		a.report("%s received a part of another response", id)
	}
}

// checkRequest checks how often a request ran, after its response was received.
func (a *auditor) checkRequest(id string, safe bool, status int) {
	a.mu.Lock()
	ran := a.completeRequests[id] - a.provedNotRun[id]
	a.mu.Unlock()
	if !safe && ran > 1 {
		a.report("%s was sent %d times", id, ran)
	}
	if attempt.PromisesNotRun(status) && ran > 0 {
		a.report("%s was sent despite a %d, which promises that it did not run", id, status)
	}
}

func expectedBody(id string) string { return strings.Repeat("the bytes of "+id+".", 3) }

// expectedResponse returns the head and the body of the good response to a request.
func expectedResponse(id string, chunked bool) (head, body string) {
	head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" + id + "\r\n"
	if body = expectedBody(id); !chunked {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// scriptedServers are the servers of one case. The first request that arrives while armed triggers the action; all others
// receive good responses.
type scriptedServers struct {
	matrixCase
	*auditor
	mu       sync.Mutex
	armed    bool
	served   sync.WaitGroup
	answer   func(id string) string  // replaces the good response, if set
	keepConn bool                    // the connection may be reused after the scripted response
	wrapConn func(net.Conn) net.Conn // plants a fault in the edge's connections
	single   bool                    // there is only one server
}

func (p *scriptedServers) disarm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	armed := p.armed
	p.armed = false
	return armed
}

// serve serves one connection at a server.
func (p *scriptedServers) serve(conn net.Conn) {
	defer p.served.Done()
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if p.at == atAccept && !p.reused && p.disarm() {
			p.actOn(conn, in)
			return
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		script := p.at != atAccept && p.disarm()
		if script && p.at == atHeadPart {
			p.actOn(conn, in)
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if script && p.at < atRequestEnd {
			if p.at == atBodyPart {
				_, _ = r.Body.Read(make([]byte, 2))
			}
			p.actOn(conn, in)
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		p.received(id)
		if script {
			p.writeScripted(conn, in, id)
			return
		}
		head, body := expectedResponse(id, p.chunked)
		if _, err := io.WriteString(conn, head+body); err != nil {
			return
		}
		if p.at == atAccept && p.reused && id == lastWarmUpID { // while the connection is idle
			p.actOn(conn, in)
			return
		}
	}
}

// writeScripted writes the response up to the boundary, and the action's surplus bytes in the same segment.
func (p *scriptedServers) writeScripted(conn net.Conn, in *bufio.Reader, id string) {
	if p.answer != nil {
		text := p.answer(id)
		if strings.Contains(text, "X-Not-Run") || strings.Contains(text, " 421 ") {
			p.auditor.mu.Lock()
			p.provedNotRun[id]++
			p.auditor.mu.Unlock()
		}
		_, _ = io.WriteString(conn, text)
		if p.keepConn {
			p.served.Add(1)
			p.serve(conn)
			return
		}
		p.readUntilClose(in)
		return
	}
	head, body := expectedResponse(id, p.chunked)
	text := map[int]string{atResponseHeadPart: head[:len(head)/2], atResponseHead: head, atResponseBodyPart: head + body[:len(body)/2],
		atResponseEnd: head + body}[p.at]
	_, _ = io.WriteString(conn, text+p.surplusBytes(id))
	p.finishAction(conn, in)
}

// surplusBytes returns the bytes that an action sends.
func (p *scriptedServers) surplusBytes(id string) string {
	head, body := expectedResponse(id, false)
	otherHead, otherBody := expectedResponse("stranger", false)
	return map[int]string{actGarbage: "\x00no answer\r\n\r\n", actSecondResponse: head + body, actForeignResponse: otherHead + otherBody}[p.action]
}

// actOn runs the action before any response.
func (p *scriptedServers) actOn(conn net.Conn, in *bufio.Reader) {
	_, _ = io.WriteString(conn, p.surplusBytes("stranger"))
	p.finishAction(conn, in)
}

func (p *scriptedServers) finishAction(conn net.Conn, in *bufio.Reader) {
	switch p.action {
	case actClose:
	case actReset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		} else {
			conn.(*pipeEnd).reset.Store(true)
		}
	case actSilence:
		if p.at == atResponseEnd { // a complete response without a fault
			p.served.Add(1)
			p.serve(conn)
			return
		}
		p.readUntilClose(in)
	default:
		p.readUntilClose(in)
	}
}

// readUntilClose reads until the edge closes the connection. It reports a finding if another request arrives after the action.
func (p *scriptedServers) readUntilClose(in *bufio.Reader) {
	text, _ := io.ReadAll(in)
	if strings.Contains(string(text), "X-Attempt-Id: after") {
		p.report("a connection was reused after %s", actionNames[p.action])
	}
}

// run runs the case: the client sends a probe and another request in the same segment. It returns the status of the probe's
// response, or 0 if the connection was closed without one.
func (p *scriptedServers) run(h *testEdge, through func(http.Handler) http.Handler) int {
	h.decideClaim = func(idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
		return idempotency.OutcomeGranted, nil
	}
	if through != nil {
		h.clients.handler = through(h.Proxy)
	}
	h.upstreams.dial = p.dial
	h.addServer("i-1", goodResponse)
	if !p.single {
		h.addServer("i-2", goodResponse)
	}
	if p.realSockets { // long deadlines, since the clock is real
		patient := strings.ReplaceAll(strings.Replace(testConfig, `"r1"`, `"r2"`, 1), `"deadline_s":2`, `"deadline_s":60`)
		h.g.Expect(h.applyConfig(&peer.Config{Version: 2, Snapshot: []byte(patient)})).To(BeTrue())
	}
	for range 8 { // fills the retry budget
		h.traffic.countRequest("tags")
	}
	client, shut := p.client(h)
	defer p.served.Wait()
	defer func() { // the edge's own connections
		for _, u := range h.upstreams.picker.All() {
			u.Attachment.(*upstream).close()
		}
	}()
	defer shut()
	in := bufio.NewReader(client)
	if p.reused {
		for _, id := range []string{"warm-1", "warm-2", "warm-3", lastWarmUpID} { // leaves idle connections to both servers
			go func() { _, _ = io.WriteString(client, probeRequest("s", id)) }()
			p.readResponse(in, id)
		}
		if !p.realSockets {
			synctest.Wait()
		}
	}
	p.mu.Lock()
	p.armed = true
	p.mu.Unlock()
	go func() { _, _ = io.WriteString(client, probeRequest(p.kind, "probe")+probeRequest("s", "after")) }()
	status := p.readResponse(in, "probe")
	if status != 0 {
		if after := p.readResponse(in, "after"); after != 200 {
			p.report("the request after the probe received %d", after)
		}
	}
	p.checkRequest("probe", p.kind == "s", status)
	return status
}

func probeRequest(kind, id string) string {
	return "POST /" + kind + "/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Operation-Key: " + id +
		"\r\nContent-Length: 5\r\n\r\nhello"
}

// readResponse reads and checks a client's next response. It returns its status, or 0 if there is none.
func (p *scriptedServers) readResponse(in *bufio.Reader, id string) int {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	p.checkResponse(id, resp, string(body), err)
	return resp.StatusCode
}

// client connects a client to the edge by a pipe or a socket.
func (p *scriptedServers) client(h *testEdge) (conn net.Conn, shut func()) {
	if p.realSockets {
		front, err := net.Listen("tcp", "127.0.0.1:0")
		h.g.Expect(err).NotTo(HaveOccurred())
		go func() { _ = h.clients.serve(front) }()
		conn, err = net.Dial("tcp", front.Addr().String())
		h.g.Expect(err).NotTo(HaveOccurred())
		return conn, func() { conn.Close(); front.Close() }
	}
	s := newPipeListener()
	ended := make(chan struct{})
	go func() { _ = h.clients.serve(s); close(ended) }()
	synctest.Wait()
	conn = h.connectClient(s)
	return conn, func() {
		conn.Close()
		s.Close()
		<-ended
		close(h.clients.handoff.closed)
		h.clients.conns.CloseStale(0, 0)
	}
}

// dial connects the edge to a server, by a pipe or a socket.
func (p *scriptedServers) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	p.served.Add(1)
	if !p.realSockets {
		near, far := newPipe()
		go p.serve(far)
		if p.wrapConn != nil {
			near = p.wrapConn(near)
		}
		return near, nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.served.Done()
		return nil, err
	}
	go func() {
		conn, err := l.Accept()
		l.Close() // closing earlier would reset the connection in the backlog
		if err != nil {
			p.served.Done()
			return
		}
		p.serve(conn)
	}()
	return (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
}

// generateCases returns all valid cases.
func generateCases(real bool) (all []matrixCase) {
	for at := range boundaryCount {
		for act := range actionCount {
			for _, kind := range []string{"s", "u", "k"} {
				for n := range 4 {
					p := matrixCase{at: at, action: act, kind: kind, reused: n&1 > 0, chunked: n&2 > 0, realSockets: real}
					if p.valid() {
						all = append(all, p)
					}
				}
			}
		}
	}
	return all
}

// valid reports whether a case can occur and has a defined result.
func (p matrixCase) valid() bool {
	switch {
	case p.realSockets && p.action == actSilence: // waiting for a timeout needs the fake clock
		return false
	case p.reused && p.at == atAccept && p.action == actSilence: // the connection has no fault
		return false
	case p.reused && p.at == atAccept && p.action > actReset && p.realSockets: // the surplus bytes may arrive before or after the request is sent
		return false
	case p.action == actSecondResponse:
		return p.at == atResponseEnd
	case p.action > actReset && (p.at == atResponseHead || p.at == atResponseBodyPart):
		return p.chunked && p.at == atResponseHead // the edge can't distinguish surplus bytes from the body
	}
	return true
}

// allowedStatuses returns the statuses that the table of the attempt package allows.
func (p matrixCase) allowedStatuses() []int {
	switch {
	case p.at == atResponseEnd:
		return []int{200}
	case p.action == actSilence: // the deadline is exceeded
		return []int{504}
	case p.kind == "s":
		return []int{200}
	case p.at == atAccept: // depends on whether the connection accepted a byte
		return []int{200, 502}
	default:
		return []int{502}
	}
}

func TestEveryBoundary(t *testing.T) {
	cases := append(generateCases(false), generateCases(true)...)
	for _, c := range cases {
		try := func(h *testEdge) {
			p := &scriptedServers{matrixCase: c, auditor: newAuditor()}
			status := p.run(h, nil)
			h.g.Expect(p.findings).To(BeEmpty(), "%s", c)
			h.g.Expect(c.allowedStatuses()).To(ContainElement(status), "%s", c)
		}
		if c.realSockets {
			setup(t, func(h *testEdge) { defer h.close(); try(h) })
		} else {
			runEdge(t, try)
		}
	}
	t.Logf("%d cases", len(cases))
}

// pipeEnd is the server's end of a pipe, which can be reset.
type pipeEnd struct {
	net.Conn
	reset *atomic.Bool
}

// edgeEnd is the edge's end of a pipe. After a reset, its calls return ECONNRESET as a socket's do.
type edgeEnd struct{ *pipeEnd }

func newPipe() (near, far net.Conn) {
	a, b := net.Pipe()
	flag := new(atomic.Bool)
	return edgeEnd{&pipeEnd{a, flag}}, &pipeEnd{b, flag}
}

func (e edgeEnd) failed(err error) error {
	if err != nil && e.reset.Load() && !errors.Is(err, os.ErrDeadlineExceeded) {
		return syscall.ECONNRESET
	}
	return err
}

func (e edgeEnd) Read(p []byte) (int, error) {
	n, err := e.Conn.Read(p)
	return n, e.failed(err)
}

func (e edgeEnd) Write(p []byte) (int, error) {
	n, err := e.Conn.Write(p)
	return n, e.failed(err)
}
