// Package protocol turns bytes into messages and orders into bytes. It knows no socket and no clock.
package protocol

import (
	"fmt"

	"mulleinwood/internal/transport/ring"
)

// LineMost is the most that one line may hold, its LF included.
const LineMost = 1 << 20

// Lines is the machine of a connection at the planner's address: one JSON object a line.
//
// Take is given each message. Bad is given each line that can't be used; an error that it returns ends the
// connection, nil skips the line.
type Lines struct {
	Take func(Message)
	Bad  func(error) error

	searched int  // bytes of the buffer that hold no LF
	skipping bool // within a line that is too long
}

// Feed takes all complete lines from the buffer.
func (l *Lines) Feed(in *ring.Buffer) error {
	for {
		end := in.Index('\n', l.searched)
		if end < 0 {
			if l.searched = in.Len(); l.searched > LineMost || l.skipping {
				if !l.skipping {
					l.skipping = true
					if err := l.Bad(&LineError{Err: errTooLong}); err != nil {
						return err
					}
				}
				in.Discard(in.Len())
				l.searched = 0
			}
			return nil
		}
		var err error
		switch {
		case l.skipping:
			l.skipping = false
		case end >= LineMost:
			err = l.Bad(&LineError{Err: errTooLong})
		default:
			err = l.line(in.Front(end))
		}
		if err != nil {
			return err
		}
		in.Discard(end + 1)
		l.searched = 0
	}
}

func (l *Lines) line(text []byte) error {
	m, err := Decode(text)
	if err != nil {
		return l.Bad(err)
	}
	l.Take(m)
	return nil
}

// LineError says why a line can't be used.
type LineError struct {
	Kind string // of the message, as far as known
	Err  error
}

func (e *LineError) Error() string {
	if e.Kind == "" {
		return fmt.Sprintf("line: %v", e.Err)
	}
	return fmt.Sprintf("line %q: %v", e.Kind, e.Err)
}

func (e *LineError) Unwrap() error { return e.Err }
