package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

var testTimeouts = Timeouts{Header: time.Second, Idle: time.Second}

// tcpPair is a tracked connection on a real socket, and its client's end.
func tcpPair(t *testing.T, tracker *Tracker) (conn *Conn, client *net.TCPConn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err = tracker.Accept(listener, func() Timeouts { return testTimeouts })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialled.Close()
		conn.abort()
	})
	return conn, dialled.(*net.TCPConn)
}

func mustWrite(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// A connection is closed only if nothing of a request has reached this machine, whether the process has read it or not.
func TestIdleCloseMeetsWhatIsUnread(t *testing.T) {
	tracker := NewTracker(10)
	conn, client := tcpPair(t, tracker)
	mustWrite(t, client, "GET")
	if got := conn.closeIfIdle(); got != unreadBytes {
		t.Errorf("with three bytes unread: %d", got)
	}
	if tracker.Busy() != 1 {
		t.Error("a connection with unread bytes is busy")
	}
	if n, err := conn.Read(make([]byte, 3)); n != 3 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if got := conn.closeIfIdle(); got != notIdle {
		t.Errorf("with a request started: %d", got)
	}
	tracker.SetState(conn, http.StateActive)
	tracker.SetState(conn, http.StateIdle)
	if got := conn.closeIfIdle(); got != notIdle {
		t.Errorf("net/http may hold a request that it has read: %d", got)
	}
	conn.awaitRequest()
	if got := conn.closeIfIdle(); got != idleClosed {
		t.Errorf("idle: %d", got)
	}
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the client sees %v", err)
	}
}

// A close and a request that cross each other, as often as the scheduler can be made to play them: either the request is read,
// and the connection stays, or nothing of it is read.
func TestCloseAndRequestExcludeEachOther(t *testing.T) {
	tracker := NewTracker(1000)
	read, closed := 0, 0
	for range 300 {
		conn, client := tcpPair(t, tracker)
		var both sync.WaitGroup
		var n int
		var err error
		var result idleCloseResult
		both.Go(func() { _, _ = io.WriteString(client, request); _ = client.CloseWrite() })
		both.Go(func() { n, err = conn.Read(make([]byte, 100)) })
		both.Go(func() { result = conn.closeIfIdle() })
		both.Wait()
		switch {
		case n > 0 && err == nil && result != idleClosed:
			read++
		case n == 0 && err != nil && result == idleClosed:
			closed++
		default:
			t.Fatalf("%d bytes read, %v, the close said %d", n, err, result)
		}
		client.Close()
		_ = conn.Close()
		tracker.forget(conn)
	}
	t.Logf("%d requests read, %d connections closed first", read, closed)
}

// A response is not taken back by a reset: its client goes on sending while the connection ends, and gets it completely.
func TestCloseLingersOverWhatTheClientStillSends(t *testing.T) {
	tracker := NewTracker(10)
	conn, client := tcpPair(t, tracker)
	mustWrite(t, client, request+request) // the second one is never read
	if _, err := io.ReadFull(conn, make([]byte, len(request))); err != nil {
		t.Fatal(err)
	}
	mustWrite(t, conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	ended := make(chan struct{})
	go func() {
		_ = conn.Close()
		close(ended)
	}()
	for range 50 {
		mustWrite(t, client, strings.Repeat("x", 1000))
	}
	response, err := io.ReadAll(client)
	if err != nil || !strings.HasSuffix(string(response), "ok") {
		t.Errorf("the client got %q, %v", response, err)
	}
	client.Close()
	<-ended
}

// serveOn runs a net/http server on a listener by a tracker until both ends are told.
func serveOn(t *testing.T, tracker *Tracker, handler http.HandlerFunc) (address string, listener net.Listener) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnState: tracker.SetState}
	go func() { _ = server.Serve(tracker.Listener(listener, testTimeouts)) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String(), listener
}

// Requests that are pipelined are answered, all of them, by a server that drains: a connection isn't idle while net/http
// holds the next request.
func TestPipelinedRequestsAreAnsweredWhileDraining(t *testing.T) {
	const requests = 20
	tracker := NewTracker(10)
	started, goOn := make(chan struct{}, requests), make(chan struct{})
	address, listener := serveOn(t, tracker, func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-goOn
	})
	client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	mustWrite(t, client, strings.Repeat(request, requests))
	<-started
	drain := NewDrain(listener, tracker)
	drained := make(chan struct{})
	go func() {
		for !drain.Step() {
			time.Sleep(time.Millisecond)
		}
		close(drained)
	}()
	close(goOn)
	answers := bufio.NewReader(client)
	for i := range requests {
		response, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		response.Body.Close()
	}
	if _, err := answers.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last response: %v", err)
	}
	client.Close()
	<-drained
}

// The end of a server loses none of the requests that clients sent before it, however they and its end are mixed: each is
// answered, or its connection was refused or ended before the request was sent.
func TestDrainAnswersAllThatArrived(t *testing.T) {
	for round := range 30 {
		tracker := NewTracker(1000)
		address, listener := serveOn(t, tracker, func(http.ResponseWriter, *http.Request) {})
		var sent []net.Conn
		for range 40 { // all are in the kernel when the drain begins: accepted or not, read or not
			client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			mustWrite(t, client, strings.Replace(request, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
			sent = append(sent, client)
		}
		ended := make(chan struct{})
		drain := NewDrain(listener, tracker)
		go func() {
			for !drain.Step() {
				time.Sleep(time.Millisecond)
			}
			close(ended)
		}()
		for i, client := range sent {
			if response, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("round %d, request %d: %v", round, i, err)
			}
			client.Close()
		}
		<-ended
	}
}

// A refusal reaches a client that is still sending a long body: no reset takes it back.
func TestRefusalOfALongBodyReachesItsClient(t *testing.T) {
	tracker := NewTracker(10)
	address, _ := serveOn(t, tracker, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	for range 5 {
		client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		const bytes = 8 << 20
		sent := make(chan struct{})
		go func() {
			_, _ = fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bytes)
			_, _ = client.Write(make([]byte, bytes))
			close(sent)
		}()
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
			t.Errorf("the client got %v, %v", response, err)
		}
		client.Close()
		<-sent
	}
}

// lateConn is a connection whose bytes have arrived when its time-out fires, but were not read.
type lateConn struct {
	net.Conn
	arrived string
	left    int // deadlines that fire before the bytes are read
}

func (c *lateConn) Readable() bool { return c.arrived != "" }

func (c *lateConn) SetReadDeadline(time.Time) error { return nil }

func (c *lateConn) Read(p []byte) (int, error) {
	if c.left > 0 {
		c.left--
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, c.arrived)
	c.arrived = c.arrived[n:]
	return n, nil
}

// A time-out that fires over bytes that have arrived is the process's own lateness: they are read. One that fires over
// nothing, or again and again, counts.
func TestTimeoutsThatFireOverUnreadBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name    string
			conn    *lateConn
			passes  time.Duration // since the first time-out
			wantErr error
		}{
			{"bytes had arrived", &lateConn{arrived: "GET", left: 1}, 0, nil},
			{"nothing had arrived", &lateConn{left: 1}, 0, os.ErrDeadlineExceeded},
			{"a client that sends for ever", &lateConn{arrived: "GET", left: 1}, 2 * testTimeouts.Header, os.ErrDeadlineExceeded},
		} {
			near, far := net.Pipe()
			c.conn.Conn = near
			conn := newConn(c.conn, NewTracker(1), testTimeouts)
			if c.passes > 0 {
				conn.overrunUntil = time.Now().Add(testTimeouts.Header)
				time.Sleep(c.passes)
			}
			if _, err := conn.Read(make([]byte, 3)); !errors.Is(err, c.wantErr) {
				t.Errorf("%s: %v", c.name, err)
			}
			near.Close()
			far.Close()
		}
	})
}

// slowEnd is a connection whose client ends its stream some time after it was told of ours.
type slowEnd struct {
	net.Conn
	takes time.Duration
	ended chan struct{}
}

func (c *slowEnd) CloseWrite() error {
	time.AfterFunc(c.takes, func() { close(c.ended) })
	return nil
}

func (c *slowEnd) Readable() bool { return false }

func (c *slowEnd) Read([]byte) (int, error) {
	<-c.ended
	return 0, io.EOF
}

func (c *slowEnd) SetReadDeadline(time.Time) error { return nil }

// The path to the clients is clear if the last close's news came back in time, and none is waited for longer.
func TestPathClearFollowsTheLastCloses(t *testing.T) {
	const bound = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker(10)
		closeOne := func(takes time.Duration) {
			near, _ := net.Pipe()
			conn := tracker.admit(&slowEnd{Conn: near, takes: takes, ended: make(chan struct{})}, testTimeouts)
			go func() {
				_ = conn.Close()
				tracker.SetState(conn, http.StateClosed)
			}()
			synctest.Wait()
		}
		expect := func(want bool, when string) {
			t.Helper()
			if tracker.RoundTripWithin(bound) != want {
				t.Errorf("%s: the path is clear: %t", when, !want)
			}
		}
		expect(true, "nothing was closed")
		closeOne(20 * time.Millisecond)
		time.Sleep(30 * time.Millisecond)
		expect(true, "the last close took 20 ms")
		closeOne(300 * time.Millisecond)
		expect(true, "a close has just started")
		time.Sleep(150 * time.Millisecond)
		expect(false, "a close is waited for")
		time.Sleep(200 * time.Millisecond)
		expect(false, "the last close took 300 ms")
		closeOne(10 * time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		expect(true, "the last close took 10 ms")
		closeOne(300 * time.Millisecond)
		time.Sleep(400 * time.Millisecond)
		expect(false, "the last close took 300 ms, a moment ago")
		time.Sleep(roundTripAge)
		expect(true, "that is long ago")
	})
}

// Where there are too many connections the longest idle one makes room, but not one on which something has arrived.
func TestEvictionSparesWhatIsUnread(t *testing.T) {
	tracker := NewTracker(2)
	oldest, oldestClient := tcpPair(t, tracker)
	mustWrite(t, oldestClient, request)
	_, secondClient := tcpPair(t, tracker)
	_, third := tcpPair(t, tracker)
	defer third.Close()
	if _, err := secondClient.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle one sees %v", err)
	}
	if n, err := oldest.Read(make([]byte, 100)); n != len(request) || err != nil {
		t.Errorf("the oldest one, whose request was unread: %d bytes, %v", n, err)
	}
}

// heldSocket is a socket whose client has reset it: its close waits for reads that are under way, as that of a descriptor does.
type heldSocket struct {
	net.Conn
	reading sync.Mutex
	begun   chan struct{} // closed when a read has begun
	woken   chan struct{} // closed when the reset wakes the reader
}

func (s *heldSocket) SyscallConn() (syscall.RawConn, error) { return s, nil }
func (s *heldSocket) Control(func(fd uintptr)) error        { return nil }
func (s *heldSocket) Write(func(fd uintptr) bool) error     { return nil }
func (s *heldSocket) Readable() bool                        { return false }

func (s *heldSocket) Read(f func(fd uintptr) bool) error {
	s.reading.Lock()
	defer s.reading.Unlock()
	close(s.begun)
	<-s.woken
	f(^uintptr(0)) // reads nothing
	return os.ErrDeadlineExceeded
}

func (s *heldSocket) CloseWrite() error {
	close(s.woken)
	return syscall.ENOTCONN
}

func (s *heldSocket) Close() error {
	s.reading.Lock()
	defer s.reading.Unlock()
	return nil
}

// socketOf hides the methods of a heldSocket that net.Conn has otherwise.
type socketOf struct {
	*heldSocket
	net.Conn
}

func (s socketOf) Close() error                { return s.heldSocket.Close() }
func (s socketOf) Read([]byte) (int, error)    { return 0, os.ErrDeadlineExceeded }
func (s socketOf) Write(p []byte) (int, error) { return s.Conn.Write(p) }

// A close that fails, since the client has just reset the connection, doesn't wait for a read that waits for the close.
func TestCloseAndAResetExcludeADeadlock(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	socket := socketOf{&heldSocket{woken: make(chan struct{}), begun: make(chan struct{})}, near}
	conn := newConn(socket, NewTracker(1), testTimeouts)
	ended := make(chan struct{}, 2)
	go func() {
		_, _ = conn.Read(make([]byte, 1))
		ended <- struct{}{}
	}()
	<-socket.begun
	go func() {
		conn.closeIfIdle()
		ended <- struct{}{}
	}()
	for range 2 {
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the read and the close wait for each other")
		}
	}
}

// failingListener fails before it has a connection.
type failingListener struct{ net.Listener }

func (failingListener) Accept() (net.Conn, error) {
	return nil, fmt.Errorf("accept: %w", net.ErrClosed)
}

// A listener that fails says so, and leaves nothing that an end would wait for.
func TestAcceptFails(t *testing.T) {
	tracker := NewTracker(1)
	if _, err := tracker.Accept(failingListener{}, func() Timeouts { return testTimeouts }); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	if tracker.accepting.Load() != 0 || tracker.Busy() != 0 {
		t.Error("something is waited for")
	}
}
