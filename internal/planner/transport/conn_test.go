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

// echoMachine is a machine that answers each line with itself. Some lines are words to it.
type echoMachine struct{ c *Conn }

func (e *echoMachine) Feed(in *ring.Buffer) error {
	for end := in.Index('\n', 0); end >= 0; end = in.Index('\n', 0) {
		switch text := string(in.Front(end)); text {
		case "panic":
			panic("told to")
		case "end":
			return errors.New("told to end")
		case "hello":
			e.c.Promote(Identified)
		case "stale":
			e.c.MarkSuperseded()
		case "word":
			e.c.Promote(Unidentified)
		case "owe":
			e.c.SetReplyPending(true)
		case "paid":
			e.c.SetReplyPending(false)
		case "flood":
			for e.c.Send(make([]byte, 64<<10)) == nil {
			}
			return nil // as for a sender that is not the connection's own reader
		}
		if err := e.c.Send(in.Front(end + 1)); err != nil {
			return err
		}
		in.Discard(end + 1)
	}
	return nil
}

// testHandler is a handler that keeps the reasons of the connections that ended, by the order of their accepting.
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

// startListener starts a listener that takes most connections, and stops it at the end of the test.
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

// waitClosed waits for a connection to end and returns why.
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

// client is the far end of a connection.
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

// roundTrip writes a line and reads it back.
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

// closed says whether the other side has ended the connection; it waits for that or for a byte.
func (g *client) closed() bool {
	_, err := g.nc.Read(make([]byte, 1))
	return err != nil
}

func TestErrorClosesOnlyItsConnection(t *testing.T) {
	h, address := startListener(t, 10)
	healthy := dial(t, address)
	healthy.roundTrip("hello")
	for line, want := range map[string]string{"panic": "told to", "end": "told to end",
		strings.Repeat("x", maxUnidentifiedBuffer+1): "too long"} {
		g := dial(t, address)
		io.WriteString(g.nc, line+"\n")
		if !g.closed() {
			t.Errorf("%.20q: the connection stays", line)
		}
		if err := h.waitClosed(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.20q: ended by %v", line, err)
		}
	}
	healthy.roundTrip("still here")
	healthy.roundTrip(strings.Repeat("y", 10*maxUnidentifiedBuffer)) // one that is known may say more
}

// exhaustedListener is a listener to which the system refuses descriptors now and then.
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

// TestOutOfDescriptors guards against accepting that ends, or spins, once the system has no descriptor left: the
// strangers go, and accepting goes on.
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
	identified.roundTrip("hello")
	unidentified.roundTrip("word")
	for range 3 { // two strangers to shed, then nothing
		d.failures <- struct{}{}
	}
	silent := dial(t, address) // the listener waits for it already; the refusals come after it
	for name, g := range map[string]*client{"silent": silent, "one that spoke": unidentified} {
		if !g.closed() {
			t.Errorf("the stranger stays: %s", name)
		}
	}
	dial(t, address).roundTrip("hello")
	identified.roundTrip("still here")
}

// TestOverflow guards against memory and waiting for a peer that doesn't read: it loses its connection alone.
func TestOverflow(t *testing.T) {
	h, address := startListener(t, 10)
	healthy, stalled := dial(t, address), dial(t, address)
	healthy.roundTrip("hello")
	stalled.nc.(*net.TCPConn).SetReadBuffer(4 << 10)
	io.WriteString(stalled.nc, "flood\n")
	reason := make(chan error, 1)
	go func() { reason <- h.waitClosed() }()
	select {
	case err := <-reason:
		if !errors.Is(err, ErrOverflow) {
			t.Errorf("ended by %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the connection stays")
	}
	healthy.roundTrip("still here")
}

// TestLoadShedding guards against strangers that use up descriptors: those that have said nothing go first, the oldest
// of them, then those that have said something; proxies and collectors never do.
func TestLoadShedding(t *testing.T) {
	h, address := startListener(t, 4)
	identified, unidentified := dial(t, address), dial(t, address)
	identified.roundTrip("hello")
	unidentified.roundTrip("word")
	silent := []*client{}
	for range 20 {
		silent = append(silent, dial(t, address))
	}
	for i := range 18 { // two of them fit
		if !silent[i].closed() {
			t.Fatalf("stranger %d stays", i)
		}
		if err := h.waitClosed(); !errors.Is(err, ErrLoadShed) {
			t.Fatalf("stranger %d ended by %v", i, err)
		}
	}
	silent[18].roundTrip("hello")
	silent[19].roundTrip("hello")
	late := dial(t, address)
	late.roundTrip("hello")
	if !unidentified.closed() {
		t.Error("the stranger that spoke stays")
	}
	if !dial(t, address).closed() {
		t.Error("a fifth connection was taken beside four known ones")
	}
	if n := h.rejected.Load(); n != 1 {
		t.Errorf("%d connections refused", n)
	}
	for _, g := range []*client{identified, silent[18], silent[19], late} {
		g.roundTrip("still here")
	}
	silent[18].roundTrip("stale") // another has come in its place
	last := dial(t, address)
	last.roundTrip("hello")
	if !silent[18].closed() {
		t.Error("a stale connection stays")
	}
	for _, g := range []*client{identified, silent[19], late, last} {
		g.roundTrip("still here")
	}
}

// TestJoinTimeout guards against peers that hold a descriptor and are nobody: silent, talking or never ending, each is closed
// when its time is over. Who has joined stays, and so does who is owed an answer, until it has it.
func TestJoinTimeout(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 20, nil)
	if err != nil {
		t.Fatal(err)
	}
	l.JoinTimeout = 100 * time.Millisecond
	h := &testHandler{reasons: map[uint64]error{}, closed: make(chan struct{}, 1000)}
	address := serve(t, l, h)
	identified, awaitingReply := dial(t, address), dial(t, address)
	identified.roundTrip("hello")
	awaitingReply.roundTrip("owe")
	silent, unidentified, endless := dial(t, address), dial(t, address), dial(t, address)
	unidentified.roundTrip("word")
	go func() {
		for err := error(nil); err == nil; _, err = io.WriteString(endless.nc, "word\n") {
		}
	}()
	go io.Copy(io.Discard, endless.nc)
	for range 3 {
		if err := h.waitClosed(); !errors.Is(err, ErrJoinTimeout) {
			t.Errorf("ended by %v", err)
		}
	}
	for name, g := range map[string]*client{"silent": silent, "talker": unidentified} {
		if !g.closed() {
			t.Errorf("the %s one stays", name)
		}
	}
	identified.roundTrip("still here")
	awaitingReply.roundTrip("still here")
	time.Sleep(l.JoinTimeout * 6 / 10) // into the time that began anew while it was owed the answer
	repliedAt := time.Now()
	awaitingReply.roundTrip("paid")
	if !awaitingReply.closed() {
		t.Error("one that has its answer and has not joined stays")
	}
	if elapsed := time.Since(repliedAt); elapsed < l.JoinTimeout { // it may else be closed before the answer is written
		t.Errorf("one that got its answer is closed %v later, before its time", elapsed)
	}
	identified.roundTrip("still here")
}
