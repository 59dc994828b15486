package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"mulleinwood/internal/planner/transport/ring"
)

// textResponse is a response that is complete at its first full stop.
type textResponse struct {
	received bytes.Buffer
	panic    bool
}

func (x *textResponse) Feed(in *ring.Buffer) error {
	if x.panic {
		panic("requested panic")
	}
	x.received.Write(in.Front(in.Len()))
	in.Discard(in.Len())
	if strings.Contains(x.received.String(), "!") {
		return errors.New("parse error")
	}
	return nil
}
func (x *textResponse) Done() bool { return strings.Contains(x.received.String(), ".") }
func (x *textResponse) Close() error {
	if !x.Done() && x.received.String() != "to the end" {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// TestCall checks the stage that is reported for each kind of failure.
func TestCall(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	ln.Close()
	// The server writes the answer and closes the connection. After an answer that ends with ",,," it stays silent instead.
	for _, tc := range []struct {
		answer   string
		panic    bool
		stage    Stage
		received int
		want     error
	}{
		{answer: "all of it."},
		{answer: "to the end"},
		{answer: "a part", stage: Receiving, received: 6, want: io.ErrUnexpectedEOF},
		{answer: "a part,,,", stage: Receiving, received: 9, want: os.ErrDeadlineExceeded},
		{answer: ",,,", stage: Receiving, received: 3, want: os.ErrDeadlineExceeded},
		{answer: "nonsense!", stage: Parsing, received: 9},
		{answer: "x", panic: true, stage: Receiving, received: 1},
		{answer: "refused", stage: Connecting},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		release, over := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(over)
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			request := make([]byte, 5)
			if _, err := io.ReadFull(nc, request); err != nil || string(request) != "hello" {
				t.Errorf("request %q, %v", request, err)
			}
			io.WriteString(nc, tc.answer)
			if strings.HasSuffix(tc.answer, ",,,") {
				<-release
			}
		}()
		call := Call{Address: ln.Addr().String(), ConnectTimeout: time.Second, IdleTimeout: time.Minute,
			Request: []byte("hello"), MaxBuffered: 1 << 10}
		if strings.HasSuffix(tc.answer, ",,,") {
			call.IdleTimeout = 20 * time.Millisecond
		}
		if tc.answer == "refused" {
			call.Address = closed
		}
		x := &textResponse{panic: tc.panic}
		err = call.Do(context.Background(), x)
		close(release)
		ln.Close()
		<-over
		var failed *CallError
		switch {
		case tc.stage == "" && (err != nil || x.received.String() != tc.answer):
			t.Errorf("%q: %v, read %q", tc.answer, err, x.received.String())
		case tc.stage == "":
		case !errors.As(err, &failed) || failed.Stage != tc.stage || failed.Received != tc.received ||
			tc.want != nil && !errors.Is(err, tc.want):
			t.Errorf("%q: %v, want stage %q, %d bytes, %v", tc.answer, err, tc.stage, tc.received, tc.want)
		}
	}
}

// lateConn is a connection whose bytes arrived while the process was paused: its first read fails with an exceeded deadline.
type lateConn struct {
	net.Conn
	failed   bool
	deadline time.Time
}

func (l *lateConn) SetReadDeadline(at time.Time) error { l.deadline = at; return nil }
func (l *lateConn) Read(p []byte) (int, error) {
	if !l.failed {
		l.failed = true
		return 0, os.ErrDeadlineExceeded
	}
	if !l.deadline.After(time.Now()) {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, "here"), nil
}

// TestReadAfterDeadline guards against a watch that is considered silent because this process was paused.
func TestReadAfterDeadline(t *testing.T) {
	p := make([]byte, 10)
	if n, err := read(&lateConn{}, p, time.Now().Add(-time.Second)); n != 4 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// TestCallCancelled guards against calls that outlive their context.
func TestCallCancelled(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if nc, err := ln.Accept(); err == nil {
			defer nc.Close()
			cancel()
			io.Copy(io.Discard, nc)
		}
	}()
	err = Call{Address: ln.Addr().String(), ConnectTimeout: time.Second, IdleTimeout: 20 * time.Second,
		MaxBuffered: 1 << 10}.Do(ctx, &textResponse{})
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a cancelled call ended with %v", err)
	}
}
