// Package protocol decodes messages of peers and encodes assignments to proxies, and decodes the HTTP responses of discovery
// and servers. It uses no sockets and no clock.
package protocol

import (
	"bytes"
	"errors"
	"fmt"

	"mulleinwood/internal/planner/transport/ring"
)

// MaxLineBytes limits the length of a line, its LF included.
const MaxLineBytes = 1 << 20

// LineDecoder decodes the input of a connection to the planner's address: one JSON object per line.
//
// HandleMessage is called with each message, HandleInvalid with a LineError for each line that is JSON but not a valid
// message. An error that either returns ends the connection. A line that is not JSON always ends it, since line boundaries
// can't be trusted any more.
type LineDecoder struct {
	Bounds        Bounds
	HandleMessage func(Message) error
	HandleInvalid func(error) error

	scanned int // bytes at the start of the buffer that are known to contain no LF
	decoder decoder
}

// Feed consumes all complete lines of the buffer.
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

// checkIncompleteLine returns an error if the beginning of a line can't be continued to a JSON line. It detects a peer that
// sends endless data without a line end. The first scanned bytes have been checked before.
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
	if text := bytes.TrimLeft(first, " \t\r"); scanned < len(first) && len(text) > 0 &&
		!bytes.ContainsRune(jsonStartBytes, rune(text[0])) {
		return &LineError{Fault: Unreadable, Err: errNotJSON}
	}
	return nil
}

// jsonStartBytes are the bytes that a JSON value may begin with.
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

// Fault tells whether the lines after a faulty one can be decoded.
type Fault int

// The faults of a line.
const (
	Invalid    Fault = iota // JSON, but not a valid message; the lines after it can be decoded
	Unreadable              // not JSON; the input after it can't be decoded either
)

// LineError is the reason for rejecting a line.
type LineError struct {
	Kind  string // kind of the message; empty if unknown
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
