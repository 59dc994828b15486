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

// Stage says how far a call came.
type Stage string

// The stages of a call.
const (
	Connecting Stage = "connecting"
	Sending    Stage = "sending"
	Receiving  Stage = "receiving"
	Reading    Stage = "reading the answer"
)

// CallError says how far a call to another party came before it failed.
type CallError struct {
	Address  string
	Stage    Stage
	Received int // bytes of the answer
	Err      error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call to %s failed while %s, after %d bytes: %v", e.Address, e.Stage, e.Received, e.Err)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *CallError) Unwrap() error { return e.Err }

// Response is a machine that reads one answer.
type Response interface {
	Machine
	Done() bool   // the answer is complete
	Close() error // the peer has ended the connection: was the answer complete?
}

// Call is a request to another party.
type Call struct {
	Address string
	Connect time.Duration // for the connection to come up
	Silence time.Duration // longest time without a byte of the answer
	Whole   time.Duration // for the whole call; 0: without end
	Request []byte
	InMost  int // most bytes that may wait to be understood
}

// Do makes the call and feeds the answer to m until it is complete. A panic of the machine ends this call alone.
func (call Call) Do(ctx context.Context, m Response) (err error) {
	failed := &CallError{Address: call.Address, Stage: Connecting}
	defer func() {
		if p := recover(); p != nil {
			failed.Err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
			err = failed
		}
	}()
	begun := time.Now()
	dialer := net.Dialer{Timeout: call.Connect}
	nc, err := dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		failed.Err = err
		return failed
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	failed.Stage = Sending
	nc.SetWriteDeadline(time.Now().Add(call.Silence))
	if _, err := nc.Write(call.Request); err != nil {
		failed.Err = err
		return failed
	}
	failed.Stage = Receiving
	in := ring.New(startSize, call.InMost, nil)
	for !m.Done() {
		space, err := in.Space()
		if err != nil {
			failed.Err = err
			return failed
		}
		end := time.Now().Add(call.Silence)
		if last := begun.Add(call.Whole); call.Whole > 0 && last.Before(end) {
			end = last
		}
		n, err := read(nc, space, end)
		in.Commit(n)
		failed.Received += n
		if n > 0 {
			if err := m.Feed(in); err != nil {
				failed.Stage, failed.Err = Reading, err
				return failed
			}
		}
		if err != nil && !m.Done() {
			if closed := m.Close(); closed != nil || !errors.Is(err, io.EOF) {
				failed.Err = err
				if closed != nil {
					failed.Err = fmt.Errorf("%w (%w)", err, closed)
				}
				return failed
			}
			return nil
		}
	}
	return nil
}

// read reads until end. A deadline that passed may be the fault of this process, which stood still while the
// bytes came; so what is already there is still read.
func read(nc net.Conn, p []byte, end time.Time) (int, error) {
	nc.SetReadDeadline(end)
	n, err := nc.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		nc.SetReadDeadline(time.Now().Add(lastPoll))
		n, err = nc.Read(p)
	}
	return n, err
}

// lastPoll is how long bytes that have already come may take to be read.
const lastPoll = 5 * time.Millisecond
