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
	uncountedBytes      = 4 << 10   // bytes of each body that the account doesn't count: connections bound them
	maxBufferedRequest  = 256 << 10 // bytes of a request, so that a further try can send them again
	maxBufferedResponse = 256 << 10 // bytes of an answer, so that one that breaks off early can be asked for elsewhere
	maxKeptResponse     = 1 << 20   // bytes of a keyed operation's answer: one that is longer is not kept for repeats
	bodyMemoryShare     = 0.25      // of the machine's memory, for all bodies together
	maxInitialBuffer    = 32 << 10  // bytes that are made room for on a length's word alone
)

// memoryBudget bounds the bytes of all bodies that an edge holds together. It guards the process's memory against many
// large ones at once, each of which is allowed.
type memoryBudget struct{ available atomic.Int64 }

func (b *memoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

func (b *memoryBudget) release(n int64) { b.available.Add(n) }

// buffer reads from a body as much as may be held: up to most bytes, while the account lasts. Whole tells that the body
// ended; else the rest is still to be read. Booked is what has to be given back.
func (b *memoryBudget) buffer(src io.Reader, length, limit int64) (body []byte, complete bool, reserved int64, err error) {
	capacity := int64(uncountedBytes)
	if length >= 0 && length < maxInitialBuffer {
		capacity = max(length, 1)
	}
	if n := capacity - uncountedBytes; n > 0 {
		if b.reserve(n) {
			reserved = n
		} else {
			capacity = uncountedBytes
		}
	}
	body = make([]byte, 0, capacity)
	for {
		if int64(len(body)) == capacity {
			grown := min(2*capacity, limit)
			if grown <= capacity || !b.reserve(grown-capacity) {
				return body, false, reserved, nil
			}
			reserved += grown - capacity
			capacity = grown
			larger := make([]byte, len(body), capacity)
			copy(larger, body)
			body = larger
		}
		n, err := src.Read(body[len(body):capacity])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, reserved, nil
		}
		if err != nil {
			return body, false, reserved, err
		}
	}
}

// bufferBody reads a request's body: whole if it is short, so that it can be sent again. Of a longer one the beginning is
// held and the rest goes straight on, to one server. It has to come while the client still waits: one that sends slowly
// holds a connection and what it sent, no longer than that.
func (p *Proxy) bufferBody(w http.ResponseWriter, t *clientRequest, limit int64) error {
	r := t.r
	if limit <= 0 {
		limit = 64 << 20
	}
	if r.ContentLength > limit {
		return apierror.TooLarge.New("body of %d bytes", r.ContentLength)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(t.deadline - p.now())) // a writer without one is a test's
	src := http.MaxBytesReader(w, r.Body, limit)
	body, complete, reserved, err := p.bodyMemory.buffer(src, r.ContentLength, maxBufferedRequest)
	t.body, t.bodyBytes, t.length = body, t.bodyBytes+reserved, r.ContentLength
	if err != nil {
		return bodyError(err, limit)
	}
	if complete {
		t.length = int64(len(body))
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	t.bodyTail = &bodyTail{source: src}
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

// bodyTail is the part of a request's body that isn't held. Once any of it was read it can't be sent again.
type bodyTail struct {
	source  io.Reader
	started atomic.Bool
	err     atomic.Pointer[error]
}

// failure is why the rest couldn't be read from the client; nil: it could, or there is none.
func (t *bodyTail) failure() error {
	if t == nil {
		return nil
	}
	if err := t.err.Load(); err != nil {
		return *err
	}
	return nil
}

func (t *bodyTail) Read(p []byte) (int, error) {
	t.started.Store(true)
	n, err := t.source.Read(p)
	if err != nil && err != io.EOF {
		t.err.Store(&err)
	}
	return n, err
}

// copyBody passes the rest of an answer on. It is whole only if the server ended it and the client took it all.
func copyBody(w http.ResponseWriter, src io.Reader) (fromServer, toClient error) {
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
