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

// tcpPair returns a tracked connection on a TCP socket, and its client's end.
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

// An idle connection is closed only if no byte of a request has arrived at this machine, read by the process or not.
func TestIdleCloseSkipsConnectionsWithUnreadBytes(t *testing.T) {
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

// A close races with a request: either the request is read and the connection stays open, or no byte of it is read.
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
			t.Fatalf("%d bytes read, %v, the close returned %d", n, err, result)
		}
		client.Close()
		_ = conn.Close()
		tracker.forget(conn)
	}
	t.Logf("%d requests read, %d connections closed first", read, closed)
}

// A client that continues to send while the connection is closed receives the complete response: no reset discards it.
func TestCloseLingersWhileTheClientSends(t *testing.T) {
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

// serve runs a net/http server with tracked connections until the end of the test.
func serve(t *testing.T, tracker *Tracker, handler http.HandlerFunc) (address string, listener net.Listener) {
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

// A draining server answers all pipelined requests: a connection isn't idle while net/http has buffered the next request.
func TestPipelinedRequestsAreAnsweredWhileDraining(t *testing.T) {
	const requests = 20
	tracker := NewTracker(10)
	started, goOn := make(chan struct{}, requests), make(chan struct{})
	address, listener := serve(t, tracker, func(http.ResponseWriter, *http.Request) {
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

// A drain loses none of the requests that clients sent before it: each is answered, accepted or not and read or not when the
// drain begins.
func TestDrainAnswersAllThatArrived(t *testing.T) {
	for round := range 30 {
		tracker := NewTracker(1000)
		address, listener := serve(t, tracker, func(http.ResponseWriter, *http.Request) {})
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

// A rejection reaches a client that is still sending a long body: no reset discards it.
func TestRefusalOfALongBodyReachesItsClient(t *testing.T) {
	tracker := NewTracker(10)
	address, _ := serve(t, tracker, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
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

// lateTimeoutConn is a connection with unread bytes when its timeout fires.
type lateTimeoutConn struct {
	net.Conn
	arrived string
	left    int // deadlines that fire before the bytes are read
}

func (c *lateTimeoutConn) Readable() bool { return c.arrived != "" }

func (c *lateTimeoutConn) SetReadDeadline(time.Time) error { return nil }

func (c *lateTimeoutConn) Read(p []byte) (int, error) {
	if c.left > 0 {
		c.left--
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, c.arrived)
	c.arrived = c.arrived[n:]
	return n, nil
}

// A timeout that fires although bytes have arrived is caused by a delay of the process, so the bytes are read. A timeout
// without received bytes, or beyond one more header timeout, closes the connection.
func TestTimeoutsThatFireOverUnreadBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name    string
			conn    *lateTimeoutConn
			passes  time.Duration // since the first timeout
			wantErr error
		}{
			{"bytes had arrived", &lateTimeoutConn{arrived: "GET", left: 1}, 0, nil},
			{"nothing had arrived", &lateTimeoutConn{left: 1}, 0, os.ErrDeadlineExceeded},
			{"a client that sends for ever", &lateTimeoutConn{arrived: "GET", left: 1}, 2 * testTimeouts.Header, os.ErrDeadlineExceeded},
		} {
			near, far := net.Pipe()
			c.conn.Conn = near
			conn := newConn(c.conn, NewTracker(1), testTimeouts)
			if c.passes > 0 {
				conn.lateTimeoutUntil = time.Now().Add(testTimeouts.Header)
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

// slowCloseConn is a connection whose client closes its side some time after ours.
type slowCloseConn struct {
	net.Conn
	closeDelay time.Duration
	ended      chan struct{}
}

func (c *slowCloseConn) CloseWrite() error {
	time.AfterFunc(c.closeDelay, func() { close(c.ended) })
	return nil
}

func (c *slowCloseConn) Readable() bool { return false }

func (c *slowCloseConn) Read([]byte) (int, error) {
	<-c.ended
	return 0, io.EOF
}

func (c *slowCloseConn) SetReadDeadline(time.Time) error { return nil }

// RoundTripWithin reports true if the last close was confirmed within the bound, and no pending one exceeds it.
func TestRoundTripWithinFollowsTheLastCloses(t *testing.T) {
	const bound = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker(10)
		closeOne := func(takes time.Duration) {
			near, _ := net.Pipe()
			conn := tracker.admit(&slowCloseConn{Conn: near, closeDelay: takes, ended: make(chan struct{})}, testTimeouts)
			go func() {
				_ = conn.Close()
				tracker.SetState(conn, http.StateClosed)
			}()
			synctest.Wait()
		}
		expect := func(want bool, when string) {
			t.Helper()
			if tracker.RoundTripWithin(bound) != want {
				t.Errorf("%s: round trip within the bound: %t", when, !want)
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
		time.Sleep(maxRoundTripAge)
		expect(true, "the last measurement has expired")
	})
}

// At the limit, the longest idle connection is evicted, but none with unread bytes.
func TestEvictionSkipsConnectionsWithUnreadBytes(t *testing.T) {
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

// heldSocket is a socket that its client has reset. Its close waits for pending reads, as that of a file descriptor does.
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

// socketOf combines a heldSocket with the remaining methods of net.Conn.
type socketOf struct {
	*heldSocket
	net.Conn
}

func (s socketOf) Close() error                { return s.heldSocket.Close() }
func (s socketOf) Read([]byte) (int, error)    { return 0, os.ErrDeadlineExceeded }
func (s socketOf) Write(p []byte) (int, error) { return s.Conn.Write(p) }

// A close that fails because the client has just reset the connection must not deadlock with a pending read.
func TestCloseDuringAResetDoesNotDeadlock(t *testing.T) {
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

// failingListener fails without accepting a connection.
type failingListener struct{ net.Listener }

func (failingListener) Accept() (net.Conn, error) {
	return nil, fmt.Errorf("accept: %w", net.ErrClosed)
}

// An accept error is returned, and leaves no state that a drain would wait for.
func TestAcceptFails(t *testing.T) {
	tracker := NewTracker(1)
	if _, err := tracker.Accept(failingListener{}, func() Timeouts { return testTimeouts }); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	if tracker.accepting.Load() != 0 || tracker.Busy() != 0 {
		t.Error("a failed accept is still counted")
	}
}
