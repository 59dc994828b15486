package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"time"

	"mulleinwood/internal/planner/transport/ring"
)

// Stage is the stage of a call, for error messages.
type Stage string

// The stages of a call.
const (
	Connecting Stage = "connecting"
	Sending    Stage = "sending"
	Receiving  Stage = "receiving"
	Parsing    Stage = "reading the answer"
)

// CallError describes the stage at which a call failed.
type CallError struct {
	Address  string
	Stage    Stage
	Received int // bytes of the response
	Err      error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call to %s failed while %s, after %d bytes: %v", e.Address, e.Stage, e.Received, e.Err)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *CallError) Unwrap() error { return e.Err }

// ResponseMachine is a Machine that parses one response.
type ResponseMachine interface {
	Machine
	Done() bool   // reports whether the response is complete
	Close() error // is called when the peer closes the connection; an error if the response is incomplete
}

// Call is a request to another process.
type Call struct {
	Address        string
	ConnectTimeout time.Duration // to establish the connection
	IdleTimeout    time.Duration // longest time without a byte of the response
	TotalTimeout   time.Duration // for the whole call; 0 is no limit
	Request        []byte
	MaxBuffered    int // limit of received bytes that aren't parsed yet
}

// Do makes the call and feeds the response to machine until it is complete. A panic of the machine fails only this call.
func (call Call) Do(ctx context.Context, machine ResponseMachine) (err error) {
	run := &activeCall{call: call, machine: machine, startedAt: time.Now(),
		failure: CallError{Address: call.Address, Stage: Connecting}}
	defer func() {
		if p := recover(); p != nil {
			err = run.fail(fmt.Errorf("panic: %v\n%s", p, debug.Stack()))
		}
	}()
	dialer := net.Dialer{Timeout: call.ConnectTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return run.fail(err)
	}
	defer closeConn(nc)
	defer context.AfterFunc(ctx, func() { closeConn(nc) })()
	run.failure.Stage = Sending
	if err := nc.SetWriteDeadline(time.Now().Add(call.IdleTimeout)); err != nil {
		return run.fail(err)
	}
	if _, err := nc.Write(call.Request); err != nil {
		return run.fail(err)
	}
	run.failure.Stage = Receiving
	in := ring.New(initialBufferSize, call.MaxBuffered, nil)
	for !machine.Done() {
		if over, err := run.receive(nc, in); over || err != nil {
			return err
		}
	}
	return nil
}

// activeCall is the state of a call in progress.
type activeCall struct {
	call      Call
	machine   ResponseMachine
	startedAt time.Time
	failure   CallError
}

// fail returns the call's error with the given cause.
func (r *activeCall) fail(cause error) error {
	r.failure.Err = cause
	return &r.failure
}

// deadline returns the deadline of the next read.
func (r *activeCall) deadline() time.Time {
	silence := time.Now().Add(r.call.IdleTimeout)
	if last := r.startedAt.Add(r.call.TotalTimeout); r.call.TotalTimeout > 0 && last.Before(silence) {
		return last
	}
	return silence
}

// receive reads once and feeds the machine. It reports whether the peer closed the connection after a complete response.
func (r *activeCall) receive(nc net.Conn, in *ring.Buffer) (ended bool, err error) {
	space, err := in.Space()
	if err != nil {
		return false, r.fail(err)
	}
	n, readErr := read(nc, space, r.deadline())
	in.Commit(n)
	r.failure.Received += n
	if n > 0 {
		if err := r.machine.Feed(in); err != nil {
			r.failure.Stage = Parsing
			return false, r.fail(err)
		}
	}
	if readErr == nil || r.machine.Done() {
		return false, nil
	}
	closeErr := r.machine.Close()
	switch {
	case closeErr != nil:
		return false, r.fail(fmt.Errorf("%w (%w)", readErr, closeErr))
	case !errors.Is(readErr, io.EOF):
		return false, r.fail(readErr)
	}
	return true, nil
}

// closeConn closes a connection and ignores the error, since nothing more is expected from it.
func closeConn(nc net.Conn) { _ = nc.Close() }

// drainReadTimeout limits the read of bytes that were received before the deadline.
const drainReadTimeout = 5 * time.Millisecond

// read reads once, until deadline. After the deadline it still reads the bytes that have already arrived, because the
// deadline may have passed while this process was paused.
func read(nc net.Conn, space []byte, deadline time.Time) (int, error) {
	if err := nc.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := nc.Read(space)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if err := nc.SetReadDeadline(time.Now().Add(drainReadTimeout)); err != nil {
		return 0, err
	}
	return nc.Read(space)
}
