package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"mulleinwood/internal/platform/apierror"
)

// Sizes of what is held of a body. Whatever is longer, or finds the account empty, is passed on as it comes.
const (
	heldFree   = 4 << 10   // bytes of each body that the account doesn't count: connections bound them
	bodyHeld   = 256 << 10 // bytes of a request, so that a further try can send them again
	answerHeld = 256 << 10 // bytes of an answer, so that one that breaks off early can be asked for elsewhere
	answerKept = 1 << 20   // bytes of a keyed operation's answer: one that is longer is not kept for repeats
	heldShare  = 0.25      // of the machine's memory, for all bodies together
	bodyFirst  = 32 << 10  // bytes that are made room for on a length's word alone
)

// account bounds the bytes of all bodies that an edge holds together. It guards the process's memory against many
// large ones at once, each of which is allowed.
type account struct{ left atomic.Int64 }

func (a *account) take(n int64) bool {
	if a.left.Add(-n) < 0 {
		a.left.Add(n)
		return false
	}
	return true
}

func (a *account) give(n int64) { a.left.Add(n) }

// hold reads from a body as much as may be held: up to most bytes, while the account lasts. Whole tells that the body
// ended; else the rest is still to be read. Booked is what has to be given back.
func (a *account) hold(src io.Reader, length, most int64) (body []byte, whole bool, booked int64, err error) {
	room := int64(heldFree)
	if length >= 0 && length < bodyFirst {
		room = max(length, 1)
	}
	if n := room - heldFree; n > 0 {
		if a.take(n) {
			booked = n
		} else {
			room = heldFree
		}
	}
	body = make([]byte, 0, room)
	for {
		if int64(len(body)) == room {
			grown := min(2*room, most)
			if grown <= room || !a.take(grown-room) {
				return body, false, booked, nil
			}
			booked += grown - room
			room = grown
			larger := make([]byte, len(body), room)
			copy(larger, body)
			body = larger
		}
		n, err := src.Read(body[len(body):room])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, booked, nil
		}
		if err != nil {
			return body, false, booked, err
		}
	}
}

// takeBody reads a request's body: whole if it is short, so that it can be sent again. Of a longer one the beginning is
// held and the rest goes straight on, to one server. It has to come while the client still waits: one that sends slowly
// holds a connection and what it sent, no longer than that.
func (c *Proxy) takeBody(w http.ResponseWriter, t *task, limit int64) error {
	r := t.r
	if limit <= 0 {
		limit = 64 << 20
	}
	if r.ContentLength > limit {
		return apierror.TooLarge.New("body of %d bytes", r.ContentLength)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(t.until - c.now())) // a writer without one is a test's
	src := http.MaxBytesReader(w, r.Body, limit)
	body, whole, booked, err := c.held.hold(src, r.ContentLength, bodyHeld)
	t.body, t.booked, t.length = body, t.booked+booked, r.ContentLength
	if err != nil {
		return bodyError(err, limit)
	}
	if whole {
		t.length = int64(len(body))
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	t.rest = &rest{src: src}
	return nil
}

func bodyError(err error, limit int64) error {
	if large := new(http.MaxBytesError); errors.As(err, &large) {
		return apierror.TooLarge.New("body of more than %d bytes", limit)
	}
	if late := interface{ Timeout() bool }(nil); errors.As(err, &late) && late.Timeout() {
		return apierror.SlowBody.Wrap(err, "body")
	}
	return apierror.Malformed.Wrap(err, "body")
}

// rest is the part of a request's body that isn't held. Once any of it was read it can't be sent again.
type rest struct {
	src     io.Reader
	touched atomic.Bool
	failed  atomic.Pointer[error]
}

// failure is why the rest couldn't be read from the client; nil: it could, or there is none.
func (r *rest) failure() error {
	if r == nil {
		return nil
	}
	if err := r.failed.Load(); err != nil {
		return *err
	}
	return nil
}

func (r *rest) Read(p []byte) (int, error) {
	r.touched.Store(true)
	n, err := r.src.Read(p)
	if err != nil && err != io.EOF {
		r.failed.Store(&err)
	}
	return n, err
}

// stream passes the rest of an answer on. It is whole only if the server ended it and the client took it all.
func stream(w http.ResponseWriter, src io.Reader) (fromServer, toClient error) {
	chunk := make([]byte, 16<<10)
	for {
		n, err := src.Read(chunk)
		if n > 0 {
			if _, err := w.Write(chunk[:n]); err != nil {
				return nil, err
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
