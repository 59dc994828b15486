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

// The boundaries of a request and its answer, at which a scripted server acts.
const (
	atAccept = iota // of a new connection; on a reused one: while it is free
	atHeadPart
	atHead
	atBodyPart
	atWhole
	atAnswerHeadPart
	atAnswerHead
	atAnswerBodyPart
	atAnswerWhole
	boundaries
)

var boundaryNames = [boundaries]string{"accept", "part of the head", "head", "part of the body", "whole request",
	"part of the answer's head", "answer's head", "part of the answer's body", "whole answer"}

// The acts of a scripted server.
const (
	silence = iota
	closing
	resetting
	garbage
	secondAnswer
	foreignAnswer
	acts
)

var actNames = [acts]string{"silence", "close", "reset", "garbage", "a second answer", "an answer of another try"}

// lastWarm is the request before the probe, where the connection is a reused one.
const lastWarm = "warm-4"

// play is one case of the matrix.
type play struct {
	at, act int
	reused  bool
	kind    string // the route's path segment
	chunked bool   // the answer
	real    bool   // sockets of the system
}

func (p play) String() string {
	return fmt.Sprintf("%s at %s, /%s/, reused %v, chunked %v, sockets %v", actNames[p.act], boundaryNames[p.at], p.kind, p.reused, p.chunked, p.real)
}

// auditor sees what servers receive and clients are told, and knows nothing of the edge.
type auditor struct {
	mu       sync.Mutex
	whole    map[string]int // requests that servers received whole, by id
	proved   map[string]int // of them, those that a server said it did not run
	findings []string
}

func newAuditor() *auditor { return &auditor{whole: map[string]int{}, proved: map[string]int{}} }

func (a *auditor) find(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.findings = append(a.findings, fmt.Sprintf(format, args...))
}

func (a *auditor) received(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.whole[id]++
}

// told checks what a client was told. Its body names whose it is.
func (a *auditor) told(id string, resp *http.Response, body string, err error) {
	switch {
	case resp.Header.Get("X-Attempt-Id") != id:
		a.find("%s was told an answer of %q", id, resp.Header.Get("X-Attempt-Id"))
	case resp.StatusCode == 200 && err == nil && (body != bodyOf(id) || resp.Header.Get("X-Server-Seal") != "seal-"+id):
		a.find("%s was told %q", id, body)
	case resp.StatusCode == 200 && err != nil && !strings.HasPrefix(bodyOf(id), body):
		a.find("%s was told a part of another's", id)
	}
}

// settled checks a request after all that could be sent was sent.
func (a *auditor) settled(id string, safe bool, status int) {
	a.mu.Lock()
	ran := a.whole[id] - a.proved[id]
	a.mu.Unlock()
	if !safe && ran > 1 {
		a.find("%s was sent %d times", id, ran)
	}
	if attempt.PromisesNotRun(status) && ran > 0 {
		a.find("%s was promised by a %d and sent", id, status)
	}
}

func bodyOf(id string) string { return strings.Repeat("the bytes of "+id+".", 3) }

// answerTo is the head and the body of the good answer to a request.
func answerTo(id string, chunked bool) (head, body string) {
	head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" + id + "\r\n"
	if body = bodyOf(id); !chunked {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// peers are the scripted servers of one case. The first that is reached while armed plays the script; the others are good.
type peers struct {
	play
	*auditor
	mu     sync.Mutex
	armed  bool
	served sync.WaitGroup
	answer func(id string) string  // in the place of the good one, if set
	sound  bool                    // and the connection may be used after it
	spoil  func(net.Conn) net.Conn // a planted fault on the edge's connections
	alone  bool                    // there is one server
}

func (p *peers) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	armed := p.armed
	p.armed = false
	return armed
}

// serve is one connection at a server.
func (p *peers) serve(conn net.Conn) {
	defer p.served.Done()
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if p.at == atAccept && !p.reused && p.take() {
			p.actOn(conn, in)
			return
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		script := p.at != atAccept && p.take()
		if script && p.at == atHeadPart {
			p.actOn(conn, in)
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if script && p.at < atWhole {
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
			p.script(conn, in, id)
			return
		}
		head, body := answerTo(id, p.chunked)
		if _, err := io.WriteString(conn, head+body); err != nil {
			return
		}
		if p.at == atAccept && p.reused && id == lastWarm { // while the connection is free
			p.actOn(conn, in)
			return
		}
	}
}

// script writes as much of the answer as the boundary says, with what the act adds in the same segment.
func (p *peers) script(conn net.Conn, in *bufio.Reader, id string) {
	if p.answer != nil {
		text := p.answer(id)
		if strings.Contains(text, "X-Not-Run") || strings.Contains(text, " 421 ") {
			p.auditor.mu.Lock()
			p.proved[id]++
			p.auditor.mu.Unlock()
		}
		_, _ = io.WriteString(conn, text)
		if p.sound {
			p.served.Add(1)
			p.serve(conn)
			return
		}
		p.listen(in)
		return
	}
	head, body := answerTo(id, p.chunked)
	text := map[int]string{atAnswerHeadPart: head[:len(head)/2], atAnswerHead: head, atAnswerBodyPart: head + body[:len(body)/2],
		atAnswerWhole: head + body}[p.at]
	_, _ = io.WriteString(conn, text+p.surplus(id))
	p.end(conn, in)
}

// surplus are the bytes of an act.
func (p *peers) surplus(id string) string {
	head, body := answerTo(id, false)
	otherHead, otherBody := answerTo("stranger", false)
	return map[int]string{garbage: "\x00no answer\r\n\r\n", secondAnswer: head + body, foreignAnswer: otherHead + otherBody}[p.act]
}

// actOn acts before any answer.
func (p *peers) actOn(conn net.Conn, in *bufio.Reader) {
	_, _ = io.WriteString(conn, p.surplus("stranger"))
	p.end(conn, in)
}

func (p *peers) end(conn net.Conn, in *bufio.Reader) {
	switch p.act {
	case closing:
	case resetting:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		} else {
			conn.(*pipeEnd).reset.Store(true)
		}
	case silence:
		if p.at == atAnswerWhole { // nothing is odd
			p.served.Add(1)
			p.serve(conn)
			return
		}
		p.listen(in)
	default:
		p.listen(in)
	}
}

// listen reads what comes after the act until the edge closes the connection: no other request may be among it.
func (p *peers) listen(in *bufio.Reader) {
	text, _ := io.ReadAll(in)
	if strings.Contains(string(text), "X-Attempt-Id: after") {
		p.find("a connection was kept after %s", actNames[p.act])
	}
}

// run plays the case: a probe and, in the same segment behind it, another request of the same client. It gives the probe's
// status; 0: the connection was broken off.
func (p *peers) run(h *testEdge, through func(http.Handler) http.Handler) int {
	h.decide = func(idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
		return idempotency.OutcomeGranted, nil
	}
	if through != nil {
		h.clients.handler = through(h.Proxy)
	}
	h.upstreams.dial = p.dial
	h.addServer("i-1", good)
	if !p.alone {
		h.addServer("i-2", good)
	}
	if p.real { // no time is measured
		patient := strings.ReplaceAll(strings.Replace(plan, `"r1"`, `"r2"`, 1), `"deadline_s":2`, `"deadline_s":60`)
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
		for _, id := range []string{"warm-1", "warm-2", "warm-3", lastWarm} { // both servers have a free connection, or nearly
			go func() { _, _ = io.WriteString(client, probe("s", id)) }()
			p.hear(in, id)
		}
		if !p.real {
			synctest.Wait()
		}
	}
	p.mu.Lock()
	p.armed = true
	p.mu.Unlock()
	go func() { _, _ = io.WriteString(client, probe(p.kind, "probe")+probe("s", "after")) }()
	status := p.hear(in, "probe")
	if status != 0 {
		if after := p.hear(in, "after"); after != 200 {
			p.find("the request behind it was told %d", after)
		}
	}
	p.settled("probe", p.kind == "s", status)
	return status
}

func probe(kind, id string) string {
	return "POST /" + kind + "/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\nX-Operation-Key: " + id +
		"\r\nContent-Length: 5\r\n\r\nhello"
}

// hear reads the next answer at a client.
func (p *peers) hear(in *bufio.Reader, id string) int {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	p.told(id, resp, string(body), err)
	return resp.StatusCode
}

// client connects a client to the edge's door, by a pipe or a socket.
func (p *peers) client(h *testEdge) (conn net.Conn, shut func()) {
	if p.real {
		front, err := net.Listen("tcp", "127.0.0.1:0")
		h.g.Expect(err).NotTo(HaveOccurred())
		go func() { _ = h.clients.serve(front) }()
		conn, err = net.Dial("tcp", front.Addr().String())
		h.g.Expect(err).NotTo(HaveOccurred())
		return conn, func() { conn.Close(); front.Close() }
	}
	s := newStreet()
	ended := make(chan struct{})
	go func() { _ = h.clients.serve(s); close(ended) }()
	synctest.Wait()
	conn = h.walkIn(s)
	return conn, func() {
		conn.Close()
		s.Close()
		<-ended
		close(h.clients.handoff.closed)
		h.clients.conns.CloseStale(0, 0)
	}
}

// dial connects the edge to a server, by a pipe or a socket.
func (p *peers) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	p.served.Add(1)
	if !p.real {
		near, far := newPipe()
		go p.serve(far)
		if p.spoil != nil {
			near = p.spoil(near)
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

// matrix generates the cases.
func matrix(real bool) (all []play) {
	for at := range boundaries {
		for act := range acts {
			for _, kind := range []string{"s", "u", "k"} {
				for n := range 4 {
					p := play{at: at, act: act, kind: kind, reused: n&1 > 0, chunked: n&2 > 0, real: real}
					if p.possible() {
						all = append(all, p)
					}
				}
			}
		}
	}
	return all
}

// possible tells whether a case means anything.
func (p play) possible() bool {
	switch {
	case p.real && p.act == silence: // it takes its time, which is a fake clock's business
		return false
	case p.reused && p.at == atAccept && p.act == silence: // that is a sound connection
		return false
	case p.reused && p.at == atAccept && p.act > resetting && p.real: // such bytes and the request may cross on their way
		return false
	case p.act == secondAnswer:
		return p.at == atAnswerWhole
	case p.act > resetting && (p.at == atAnswerHead || p.at == atAnswerBodyPart):
		return p.chunked && p.at == atAnswerHead // bytes in the place of a body are the body: only the server could tell
	}
	return true
}

// statuses are those that the table of endings allows.
func (p play) statuses() []int {
	switch {
	case p.at == atAnswerWhole:
		return []int{200}
	case p.act == silence: // the time is over
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
	cases := append(matrix(false), matrix(true)...)
	for _, c := range cases {
		try := func(h *testEdge) {
			p := &peers{play: c, auditor: newAuditor()}
			status := p.run(h, nil)
			h.g.Expect(p.findings).To(BeEmpty(), "%s", c)
			h.g.Expect(c.statuses()).To(ContainElement(status), "%s", c)
		}
		if c.real {
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
