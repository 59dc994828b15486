// Package protocol turns bytes into messages and orders into bytes. It knows no socket and no clock.
package protocol

import (
	"bytes"
	"errors"
	"fmt"

	"mulleinwood/internal/planner/transport/ring"
)

// MaxLineBytes is the most that one line may hold, its LF included.
const MaxLineBytes = 1 << 20

// LineDecoder is the machine of a connection at the planner's address: one JSON object a line.
//
// Take is given each message. Bad is given each line that is JSON but can't be used. An error that either returns
// ends the connection; nil goes on. What is no JSON line ends it in any case: where one line ends and the next
// begins can't be known any more.
type LineDecoder struct {
	Bounds        Bounds
	HandleMessage func(Message) error
	HandleInvalid func(error) error

	scanned int // bytes of the buffer that hold no LF
	decoder decoder
}

// Feed takes all complete lines from the buffer.
func (l *LineDecoder) Feed(in *ring.Buffer) error {
	for {
		end := in.Index('\n', l.scanned)
		if end < 0 {
			err := checkIncompleteLine(in, l.scanned)
			l.scanned = in.Len()
			return err
		}
		if end >= MaxLineBytes {
			return &LineError{Fault: Unreadable, Err: errLineTooLong}
		}
		if err := l.line(in.Front(end)); err != nil {
			return err
		}
		in.Discard(end + 1)
		l.scanned = 0
	}
}

// checkIncompleteLine says whether the beginning of a line can become no JSON object however it goes on. It guards against
// a peer that sends without an end what holds no line: bytes up to from have been looked at before.
func checkIncompleteLine(in *ring.Buffer, scanned int) error {
	if in.Len() > MaxLineBytes {
		return &LineError{Fault: Unreadable, Err: errLineTooLong}
	}
	first, second := in.Peek()
	for _, piece := range [][]byte{first[min(scanned, len(first)):], second[max(0, min(scanned-len(first), len(second))):]} {
		for _, c := range piece {
			if c < ' ' && c != '\t' && c != '\r' { // JSON has no other control characters
				return &LineError{Fault: Unreadable, Err: errNotJSON}
			}
		}
	}
	if text := bytes.TrimLeft(first, " \t\r"); scanned < len(first) && len(text) > 0 && !bytes.ContainsRune(jsonStartBytes, rune(text[0])) {
		return &LineError{Fault: Unreadable, Err: errNotJSON}
	}
	return nil
}

// jsonStartBytes holds the bytes that a JSON value begins with.
var jsonStartBytes = []byte(`{["-0123456789tfn`)

func (l *LineDecoder) line(text []byte) error {
	m, err := l.decoder.decode(text, l.Bounds)
	var bad *LineError
	switch {
	case err == nil:
		return l.HandleMessage(m)
	case errors.As(err, &bad) && bad.Fault == Unreadable:
		return err
	default:
		return l.HandleInvalid(err)
	}
}

// Fault is how much a line that can't be used says of what follows it.
type Fault int

// The faults.
const (
	Invalid    Fault = iota // JSON; the lines after it may be good
	Unreadable              // no JSON line; neither is what follows
)

// LineError says why a line can't be used.
type LineError struct {
	Kind  string // of the message, as far as known
	Fault Fault
	Err   error
}

// Error implements error.
func (e *LineError) Error() string {
	if e.Kind == "" {
		return fmt.Sprintf("line: %v", e.Err)
	}
	return fmt.Sprintf("line %.40q: %v", e.Kind, e.Err)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *LineError) Unwrap() error { return e.Err }
