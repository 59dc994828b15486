package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinwood/internal/planner/transport/ring"
)

// echoMachine echoes each line. Some lines are commands to it.
type echoMachine struct{ c *Conn }

func (e *echoMachine) Feed(in *ring.Buffer) error {
	for end := in.Index('\n', 0); end >= 0; end = in.Index('\n', 0) {
		switch text := string(in.Front(end)); text {
		case "panic":
			panic("requested panic")
		case "end":
			return errors.New("requested end")
		case "identify":
			e.c.Promote(Identified)
		case "supersede":
			e.c.MarkSuperseded()
		case "message":
			e.c.Promote(Unidentified)
		case "reply pending":
			e.c.SetReplyPending(true)
		case "reply sent":
			e.c.SetReplyPending(false)
		case "flood":
			for e.c.Send(make([]byte, 64<<10)) == nil {
			}
			return nil // like a sender other than the connection's reader
		}
		if err := e.c.Send(in.Front(end + 1)); err != nil {
			return err
		}
		in.Discard(end + 1)
	}
	return nil
}

// testHandler records the reasons of closed connections by connection ID.
type testHandler struct {
	mu      sync.Mutex
	reasons map[uint64]error
	closed  chan struct{}

	rejected atomic.Int32
}

func (h *testHandler) Accepted(c *Conn) Machine { return &echoMachine{c} }

func (h *testHandler) Rejected(string) { h.rejected.Add(1) }

func (h *testHandler) Closed(c *Conn, reason error) {
	h.mu.Lock()
	h.reasons[c.ID()] = reason
	h.mu.Unlock()
	h.closed <- struct{}{}
}

// startListener starts a listener with a limit of connections and stops it at the end of the test.
func startListener(t *testing.T, maxConns int) (*testHandler, string) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", maxConns, nil)
	if err != nil {
		t.Fatal(err)
	}
	h := &testHandler{reasons: map[uint64]error{}, closed: make(chan struct{}, 1000)}
	return h, serve(t, l, h)
}

// serve runs a listener until the end of the test.
func serve(t *testing.T, l *Listener, h *testHandler) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- l.Serve(ctx, h) }()
	t.Cleanup(func() {
		cancel()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return l.Addr().String()
}

// waitClosed waits until a connection is closed and returns the reason.
func (h *testHandler) waitClosed() error {
	<-h.closed
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, reason := range h.reasons {
		delete(h.reasons, id)
		return reason
	}
	return nil
}

// client is the client side of a connection.
type client struct {
	t  *testing.T
	nc net.Conn
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &client{t, nc}
}

// roundTrip writes a line and reads its echo.
func (g *client) roundTrip(line string) {
	g.t.Helper()
	if _, err := io.WriteString(g.nc, line+"\n"); err != nil {
		g.t.Fatal(err)
	}
	got := make([]byte, len(line)+1)
	if _, err := io.ReadFull(g.nc, got); err != nil || string(got) != line+"\n" {
		g.t.Fatalf("read %.40q, %v; want %.40q", got, err, line)
	}
}

// closed waits for a byte or the end of the connection and reports whether it ended.
func (g *client) closed() bool {
	_, err := g.nc.Read(make([]byte, 1))
	return err != nil
}

func TestErrorClosesOnlyItsConnection(t *testing.T) {
	h, address := startListener(t, 10)
	healthy := dial(t, address)
	healthy.roundTrip("identify")
	for line, want := range map[string]string{"panic": "requested panic", "end": "requested end",
		strings.Repeat("x", maxUnidentifiedBuffer+1): "too long"} {
		g := dial(t, address)
		io.WriteString(g.nc, line+"\n")
		if !g.closed() {
			t.Errorf("%.20q: the connection wasn't closed", line)
		}
		if err := h.waitClosed(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.20q: closed with %v", line, err)
		}
	}
	healthy.roundTrip("ping")
	healthy.roundTrip(strings.Repeat("y", 10*maxUnidentifiedBuffer)) // an identified peer may send longer lines
}

// exhaustedListener is a listener whose Accept fails for lack of descriptors, once for each value in failures.
type exhaustedListener struct {
	net.Listener
	failures chan struct{}
}

func (d *exhaustedListener) Accept() (net.Conn, error) {
	select {
	case <-d.failures:
		return nil, syscall.EMFILE
	default:
		return d.Listener.Accept()
	}
}

// TestOutOfDescriptors guards against a listener that stops accepting, or spins, when no descriptor is left. Unidentified
// connections are shed, and the listener continues to accept.
func TestOutOfDescriptors(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 10, nil)
	if err != nil {
		t.Fatal(err)
	}
	d := &exhaustedListener{l.ln, make(chan struct{}, 3)}
	l.ln = d
	h := &testHandler{reasons: map[uint64]error{}, closed: make(chan struct{}, 1000)}
	address := serve(t, l, h)
	identified, unidentified := dial(t, address), dial(t, address)
	identified.roundTrip("identify")
	unidentified.roundTrip("message")
	for range 3 { // two connections can be shed, then none
		d.failures <- struct{}{}
	}
	silent := dial(t, address) // the listener already waits in Accept; the failures come after it
	for name, g := range map[string]*client{"silent": silent, "unidentified": unidentified} {
		if !g.closed() {
			t.Errorf("the %s connection wasn't shed", name)
		}
	}
	dial(t, address).roundTrip("identify")
	identified.roundTrip("ping")
}

// TestOverflow guards against unbounded memory and blocking for a peer that doesn't read. Only its connection is closed.
func TestOverflow(t *testing.T) {
	h, address := startListener(t, 10)
	healthy, stalled := dial(t, address), dial(t, address)
	healthy.roundTrip("identify")
	stalled.nc.(*net.TCPConn).SetReadBuffer(4 << 10)
	io.WriteString(stalled.nc, "flood\n")
	reason := make(chan error, 1)
	go func() { reason <- h.waitClosed() }()
	select {
	case err := <-reason:
		if !errors.Is(err, ErrOverflow) {
			t.Errorf("closed with %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the connection wasn't closed")
	}
	healthy.roundTrip("ping")
}

// TestLoadShedding guards against peers that use up descriptors without identifying themselves. Silent connections are shed
// first, the oldest first, then unidentified ones that sent messages. Those of proxies and collectors are never shed.
func TestLoadShedding(t *testing.T) {
	h, address := startListener(t, 4)
	identified, unidentified := dial(t, address), dial(t, address)
	identified.roundTrip("identify")
	unidentified.roundTrip("message")
	silent := []*client{}
	for range 20 {
		silent = append(silent, dial(t, address))
	}
	for i := range 18 { // the limit leaves room for two
		if !silent[i].closed() {
			t.Fatalf("silent connection %d wasn't shed", i)
		}
		if err := h.waitClosed(); !errors.Is(err, ErrLoadShed) {
			t.Fatalf("silent connection %d closed with %v", i, err)
		}
	}
	silent[18].roundTrip("identify")
	silent[19].roundTrip("identify")
	newcomer := dial(t, address)
	newcomer.roundTrip("identify")
	if !unidentified.closed() {
		t.Error("the unidentified connection wasn't shed")
	}
	if !dial(t, address).closed() {
		t.Error("a fifth connection was accepted beside four identified ones")
	}
	if n := h.rejected.Load(); n != 1 {
		t.Errorf("%d connections rejected", n)
	}
	for _, g := range []*client{identified, silent[18], silent[19], newcomer} {
		g.roundTrip("ping")
	}
	silent[18].roundTrip("supersede") // replaced by another connection
	last := dial(t, address)
	last.roundTrip("identify")
	if !silent[18].closed() {
		t.Error("a superseded connection wasn't shed")
	}
	for _, g := range []*client{identified, silent[19], newcomer, last} {
		g.roundTrip("ping")
	}
}

// TestJoinTimeout guards against peers that hold a descriptor without identifying themselves, whether they are silent, send
// one message or send without end: each is closed after the timeout. Peers that have joined stay connected, and peers that
// wait for a reply stay until they have it.
func TestJoinTimeout(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 20, nil)
	if err != nil {
		t.Fatal(err)
	}
	l.JoinTimeout = 100 * time.Millisecond
	h := &testHandler{reasons: map[uint64]error{}, closed: make(chan struct{}, 1000)}
	address := serve(t, l, h)
	identified, awaitingReply := dial(t, address), dial(t, address)
	identified.roundTrip("identify")
	awaitingReply.roundTrip("reply pending")
	silent, unidentified, endless := dial(t, address), dial(t, address), dial(t, address)
	unidentified.roundTrip("message")
	go func() {
		for err := error(nil); err == nil; _, err = io.WriteString(endless.nc, "message\n") {
		}
	}()
	go io.Copy(io.Discard, endless.nc)
	for range 3 {
		if err := h.waitClosed(); !errors.Is(err, ErrJoinTimeout) {
			t.Errorf("closed with %v", err)
		}
	}
	for name, g := range map[string]*client{"silent": silent, "unidentified": unidentified} {
		if !g.closed() {
			t.Errorf("the %s connection wasn't closed", name)
		}
	}
	identified.roundTrip("ping")
	awaitingReply.roundTrip("ping")
	time.Sleep(l.JoinTimeout * 6 / 10) // into the timeout that was restarted while the reply was pending
	repliedAt := time.Now()
	awaitingReply.roundTrip("reply sent")
	if !awaitingReply.closed() {
		t.Error("a connection that got its reply and hasn't joined wasn't closed")
	}
	if elapsed := time.Since(repliedAt); elapsed < l.JoinTimeout { // otherwise it may be closed before the reply is written
		t.Errorf("a connection was closed %v after its reply, before the timeout", elapsed)
	}
	identified.roundTrip("ping")
}
