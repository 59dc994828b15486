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

// The boundaryCount of a request and its answer, at which a scripted server acts.
const (
	atAccept = iota // of a new connection; on a reused one: while it is free
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

var boundaryNames = [boundaryCount]string{"accept", "part of the head", "head", "part of the body", "whole request",
	"part of the answer's head", "answer's head", "part of the answer's body", "whole answer"}

// The actionCount of a scripted server.
const (
	actSilence = iota
	actClose
	actReset
	actGarbage
	actSecondResponse
	actForeignResponse
	actionCount
)

var actionNames = [actionCount]string{"silence", "close", "reset", "garbage", "a second answer", "an answer of another try"}

// lastWarmUpID is the request before the probe, where the connection is a reused one.
const lastWarmUpID = "warm-4"

// matrixCase is one case of the matrix.
type matrixCase struct {
	at, action  int
	reused      bool
	kind        string // the route's path segment
	chunked     bool   // the answer
	realSockets bool   // sockets of the system
}

func (p matrixCase) String() string {
	return fmt.Sprintf("%s at %s, /%s/, reused %v, chunked %v, sockets %v", actionNames[p.action], boundaryNames[p.at], p.kind, p.reused, p.chunked, p.realSockets)
}

// auditor sees what servers receive and clients are told, and knows nothing of the edge.
type auditor struct {
	mu               sync.Mutex
	completeRequests map[string]int // requests that servers received whole, by id
	provedNotRun     map[string]int // of them, those that a server said it did not run
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

// checkResponse checks what a client was told. Its body names whose it is.
func (a *auditor) checkResponse(id string, resp *http.Response, body string, err error) {
	switch {
	case resp.Header.Get("X-Attempt-Id") != id:
		a.report("%s was told an answer of %q", id, resp.Header.Get("X-Attempt-Id"))
	case resp.StatusCode == 200 && err == nil && (body != expectedBody(id) || resp.Header.Get("X-Server-Seal") != "seal-"+id):
		a.report("%s was told %q", id, body)
	case resp.StatusCode == 200 && err != nil && !strings.HasPrefix(expectedBody(id), body):
		a.report("%s was told a part of another's", id)
	}
}

// checkRequest checks a request after all that could be sent was sent.
func (a *auditor) checkRequest(id string, safe bool, status int) {
	a.mu.Lock()
	ran := a.completeRequests[id] - a.provedNotRun[id]
	a.mu.Unlock()
	if !safe && ran > 1 {
		a.report("%s was sent %d times", id, ran)
	}
	if attempt.PromisesNotRun(status) && ran > 0 {
		a.report("%s was promised by a %d and sent", id, status)
	}
}

func expectedBody(id string) string { return strings.Repeat("the bytes of "+id+".", 3) }

// expectedResponse is the head and the body of the good answer to a request.
func expectedResponse(id string, chunked bool) (head, body string) {
	head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" + id + "\r\n"
	if body = expectedBody(id); !chunked {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// scriptedServers are the scripted servers of one case. The first that is reached while armed plays the script; the others are good.
type scriptedServers struct {
	matrixCase
	*auditor
	mu       sync.Mutex
	armed    bool
	served   sync.WaitGroup
	answer   func(id string) string  // in the place of the good one, if set
	keepConn bool                    // and the connection may be used after it
	wrapConn func(net.Conn) net.Conn // a planted fault on the edge's connections
	single   bool                    // there is one server
}

func (p *scriptedServers) disarm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	armed := p.armed
	p.armed = false
	return armed
}

// serve is one connection at a server.
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
		if p.at == atAccept && p.reused && id == lastWarmUpID { // while the connection is free
			p.actOn(conn, in)
			return
		}
	}
}

// writeScripted writes as much of the answer as the boundary says, with what the act adds in the same segment.
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

// surplusBytes are the bytes of an act.
func (p *scriptedServers) surplusBytes(id string) string {
	head, body := expectedResponse(id, false)
	otherHead, otherBody := expectedResponse("stranger", false)
	return map[int]string{actGarbage: "\x00no answer\r\n\r\n", actSecondResponse: head + body, actForeignResponse: otherHead + otherBody}[p.action]
}

// actOn acts before any answer.
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
		if p.at == atResponseEnd { // nothing is odd
			p.served.Add(1)
			p.serve(conn)
			return
		}
		p.readUntilClose(in)
	default:
		p.readUntilClose(in)
	}
}

// readUntilClose reads what comes after the act until the edge closes the connection: no other request may be among it.
func (p *scriptedServers) readUntilClose(in *bufio.Reader) {
	text, _ := io.ReadAll(in)
	if strings.Contains(string(text), "X-Attempt-Id: after") {
		p.report("a connection was kept after %s", actionNames[p.action])
	}
}

// run plays the case: a probe and, in the same segment behind it, another request of the same client. It gives the probe's
// status; 0: the connection was broken off.
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
	if p.realSockets { // no time is measured
		patient := strings.ReplaceAll(strings.Replace(testConfig, `"r1"`, `"r2"`, 1), `"deadline_s":2`, `"deadline_s":60`)
		h.g.Expect(h.applyConfig(&peer.Config{Version: 2, Snapshot: []byte(patient)})).To(BeTrue())
	}
	for range 8 { // fills the budget
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
		for _, id := range []string{"warm-1", "warm-2", "warm-3", lastWarmUpID} { // both servers have a free connection, or nearly
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
			p.report("the request behind it was told %d", after)
		}
	}
	p.checkRequest("probe", p.kind == "s", status)
	return status
}

func probeRequest(kind, id string) string {
	return "POST /" + kind + "/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Operation-Key: " + id +
		"\r\nContent-Length: 5\r\n\r\nhello"
}

// readResponse reads the next answer at a client.
func (p *scriptedServers) readResponse(in *bufio.Reader, id string) int {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	p.checkResponse(id, resp, string(body), err)
	return resp.StatusCode
}

// client connects a client to the edge's door, by a pipe or a socket.
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
		l.Close() // not before: it would reset what waits to be accepted
		if err != nil {
			p.served.Done()
			return
		}
		p.serve(conn)
	}()
	return (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
}

// generateCases generates the cases.
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

// valid tells whether a case means anything.
func (p matrixCase) valid() bool {
	switch {
	case p.realSockets && p.action == actSilence: // it takes its time, which is a fake clock's business
		return false
	case p.reused && p.at == atAccept && p.action == actSilence: // that is a sound connection
		return false
	case p.reused && p.at == atAccept && p.action > actReset && p.realSockets: // such bytes and the request may cross on their way
		return false
	case p.action == actSecondResponse:
		return p.at == atResponseEnd
	case p.action > actReset && (p.at == atResponseHead || p.at == atResponseBodyPart):
		return p.chunked && p.at == atResponseHead // bytes in the place of a body are the body: only the server could tell
	}
	return true
}

// allowedStatuses are those that the table of endings allows.
func (p matrixCase) allowedStatuses() []int {
	switch {
	case p.at == atResponseEnd:
		return []int{200}
	case p.action == actSilence: // the time is over
		return []int{504}
	case p.kind == "s":
		return []int{200}
	case p.at == atAccept: // whether a byte was taken is the connection's to say
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

// pipeEnd is the server's end of a pipe, and resets it on demand.
type pipeEnd struct {
	net.Conn
	reset *atomic.Bool
}

// edgeEnd is the edge's end: after a reset its calls fail as a socket's do.
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
