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

// echo is a machine that answers each line with itself. Some lines are words to it.
type echo struct{ c *Conn }

func (e *echo) Feed(in *ring.Buffer) error {
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

// hall is a handler that keeps the reasons of the connections that ended, by the order of their accepting.
type hall struct {
	mu    sync.Mutex
	ended map[uint64]error
	more  chan struct{}

	refused atomic.Int32
}

func (h *hall) Accepted(c *Conn) Machine { return &echo{c} }

func (h *hall) Rejected(string) { h.refused.Add(1) }

func (h *hall) Closed(c *Conn, reason error) {
	h.mu.Lock()
	h.ended[c.ID()] = reason
	h.mu.Unlock()
	h.more <- struct{}{}
}

// open starts a listener that takes most connections, and stops it at the end of the test.
func open(t *testing.T, most int) (*hall, string) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", most, nil)
	if err != nil {
		t.Fatal(err)
	}
	h := &hall{ended: map[uint64]error{}, more: make(chan struct{}, 1000)}
	return h, serve(t, l, h)
}

// serve runs a listener until the end of the test.
func serve(t *testing.T, l *Listener, h *hall) string {
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

// end waits for a connection to end and returns why.
func (h *hall) end() error {
	<-h.more
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, reason := range h.ended {
		delete(h.ended, id)
		return reason
	}
	return nil
}

// guest is the far end of a connection.
type guest struct {
	t  *testing.T
	nc net.Conn
}

func dial(t *testing.T, address string) *guest {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &guest{t, nc}
}

// says writes a line and reads it back.
func (g *guest) says(line string) {
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
func (g *guest) closed() bool {
	_, err := g.nc.Read(make([]byte, 1))
	return err != nil
}

func TestEndsAlone(t *testing.T) {
	h, address := open(t, 10)
	witness := dial(t, address)
	witness.says("hello")
	for line, want := range map[string]string{"panic": "told to", "end": "told to end",
		strings.Repeat("x", unidentifiedSize+1): "too long"} {
		g := dial(t, address)
		io.WriteString(g.nc, line+"\n")
		if !g.closed() {
			t.Errorf("%.20q: the connection stays", line)
		}
		if err := h.end(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.20q: ended by %v", line, err)
		}
	}
	witness.says("still here")
	witness.says(strings.Repeat("y", 10*unidentifiedSize)) // one that is known may say more
}

// drained is a listener to which the system refuses descriptors now and then.
type drained struct {
	net.Listener
	refuse chan struct{}
}

func (d *drained) Accept() (net.Conn, error) {
	select {
	case <-d.refuse:
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
	d := &drained{l.ln, make(chan struct{}, 3)}
	l.ln = d
	h := &hall{ended: map[uint64]error{}, more: make(chan struct{}, 1000)}
	address := serve(t, l, h)
	known, stranger := dial(t, address), dial(t, address)
	known.says("hello")
	stranger.says("word")
	for range 3 { // two strangers to shed, then nothing
		d.refuse <- struct{}{}
	}
	silent := dial(t, address) // the listener waits for it already; the refusals come after it
	for name, g := range map[string]*guest{"silent": silent, "one that spoke": stranger} {
		if !g.closed() {
			t.Errorf("the stranger stays: %s", name)
		}
	}
	dial(t, address).says("hello")
	known.says("still here")
}

// TestOverflow guards against memory and waiting for a peer that doesn't read: it loses its connection alone.
func TestOverflow(t *testing.T) {
	h, address := open(t, 10)
	witness, deaf := dial(t, address), dial(t, address)
	witness.says("hello")
	deaf.nc.(*net.TCPConn).SetReadBuffer(4 << 10)
	io.WriteString(deaf.nc, "flood\n")
	ended := make(chan error, 1)
	go func() { ended <- h.end() }()
	select {
	case err := <-ended:
		if !errors.Is(err, ErrOverflow) {
			t.Errorf("ended by %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("the connection stays")
	}
	witness.says("still here")
}

// TestShed guards against strangers that use up descriptors: those that have said nothing go first, the oldest
// of them, then those that have said something; proxies and collectors never do.
func TestShed(t *testing.T) {
	h, address := open(t, 4)
	known, talker := dial(t, address), dial(t, address)
	known.says("hello")
	talker.says("word")
	silent := []*guest{}
	for range 20 {
		silent = append(silent, dial(t, address))
	}
	for i := range 18 { // two of them fit
		if !silent[i].closed() {
			t.Fatalf("stranger %d stays", i)
		}
		if err := h.end(); !errors.Is(err, ErrLoadShed) {
			t.Fatalf("stranger %d ended by %v", i, err)
		}
	}
	silent[18].says("hello")
	silent[19].says("hello")
	late := dial(t, address)
	late.says("hello")
	if !talker.closed() {
		t.Error("the stranger that spoke stays")
	}
	if !dial(t, address).closed() {
		t.Error("a fifth connection was taken beside four known ones")
	}
	if n := h.refused.Load(); n != 1 {
		t.Errorf("%d connections refused", n)
	}
	for _, g := range []*guest{known, silent[18], silent[19], late} {
		g.says("still here")
	}
	silent[18].says("stale") // another has come in its place
	last := dial(t, address)
	last.says("hello")
	if !silent[18].closed() {
		t.Error("a stale connection stays")
	}
	for _, g := range []*guest{known, silent[19], late, last} {
		g.says("still here")
	}
}

// TestJoining guards against peers that hold a descriptor and are nobody: silent, talking or never ending, each is closed
// when its time is over. Who has joined stays, and so does who is owed an answer, until it has it.
func TestJoining(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 20, nil)
	if err != nil {
		t.Fatal(err)
	}
	l.JoinTimeout = 100 * time.Millisecond
	h := &hall{ended: map[uint64]error{}, more: make(chan struct{}, 1000)}
	address := serve(t, l, h)
	known, owed := dial(t, address), dial(t, address)
	known.says("hello")
	owed.says("owe")
	silent, talker, endless := dial(t, address), dial(t, address), dial(t, address)
	talker.says("word")
	go func() {
		for err := error(nil); err == nil; _, err = io.WriteString(endless.nc, "word\n") {
		}
	}()
	go io.Copy(io.Discard, endless.nc)
	for range 3 {
		if err := h.end(); !errors.Is(err, ErrJoinTimeout) {
			t.Errorf("ended by %v", err)
		}
	}
	for name, g := range map[string]*guest{"silent": silent, "talker": talker} {
		if !g.closed() {
			t.Errorf("the %s one stays", name)
		}
	}
	known.says("still here")
	owed.says("still here")
	time.Sleep(l.JoinTimeout * 6 / 10) // into the time that began anew while it was owed the answer
	paid := time.Now()
	owed.says("paid")
	if !owed.closed() {
		t.Error("one that has its answer and has not joined stays")
	}
	if kept := time.Since(paid); kept < l.JoinTimeout { // it may else be closed before the answer is written
		t.Errorf("one that got its answer is closed %v later, before its time", kept)
	}
	known.says("still here")
}
