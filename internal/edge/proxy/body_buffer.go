package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"mulleinwood/internal/platform/apierror"
)

// Bounds of what is buffered of a body. What is longer, or finds the budget spent, is forwarded as it comes.
const (
	uncountedBytes           = 4 << 10   // of each body, that the budget doesn't count: the number of connections bounds them
	maxBufferedRequestBytes  = 256 << 10 // bytes of a request, so that a retry can send them again
	maxBufferedResponseBytes = 256 << 10 // bytes of a response, so that one that breaks off early can be asked for elsewhere
	maxStoredResponseBytes   = 1 << 20   // bytes of a keyed operation's response: a longer one is not kept for repeats
	bodyMemoryShare          = 0.25      // of the machine's memory, for all bodies together
	maxInitialBufferBytes    = 32 << 10  // bytes that are allocated on the word of a Content-Length alone
	defaultMaxBodyBytes      = 64 << 20  // bytes of a request, where the configuration doesn't say
	copyChunkBytes           = 16 << 10
)

// memoryBudget bounds the bytes of all bodies that an edge buffers together, against many large ones at once, each of which
// is allowed.
type memoryBudget struct{ available atomic.Int64 }

func newMemoryBudget(bytes int64) *memoryBudget {
	b := &memoryBudget{}
	b.available.Store(bytes)
	return b
}

func (b *memoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

func (b *memoryBudget) release(n int64) { b.available.Add(n) }

// buffered is what was read of a body.
type buffered struct {
	data     []byte
	complete bool  // the body ended; else the rest is still to be read
	reserved int64 // bytes of the budget, to be released
}

// buffer reads up to limit bytes of a body, while the budget lasts. Length is its Content-Length; below 0: not known. What
// is reserved has to be released also after an error.
func (b *memoryBudget) buffer(source io.Reader, length, limit int64) (buffered, error) {
	var out buffered
	capacity := int64(uncountedBytes)
	if length >= 0 && length < maxInitialBufferBytes {
		capacity = max(length, 1)
	}
	if counted := capacity - uncountedBytes; counted > 0 {
		if b.reserve(counted) {
			out.reserved = counted
		} else {
			capacity = uncountedBytes
		}
	}
	out.data = make([]byte, 0, capacity)
	for {
		if int64(len(out.data)) == capacity {
			grown := min(2*capacity, limit)
			if grown <= capacity || !b.reserve(grown-capacity) {
				return out, nil
			}
			out.reserved += grown - capacity
			capacity = grown
			out.data = append(make([]byte, 0, capacity), out.data...)
		}
		n, err := source.Read(out.data[len(out.data):capacity])
		out.data = out.data[:len(out.data)+n]
		if err == io.EOF {
			out.complete = true
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
}

// bufferBody reads a request's body: all of it if it is short, so that it can be sent again. Of a longer one the beginning
// is buffered and the rest is forwarded as it comes, to one server. The client has to send it by the request's deadline:
// one that sends slowly holds a connection and what it sent, no longer than that.
func (p *Proxy) bufferBody(w http.ResponseWriter, req *clientRequest, limit int64) error {
	r := req.http
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return apierror.TooLarge.New("body of %d bytes", r.ContentLength)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(req.deadline - p.Now())) // unsupported: the connection's own limits hold
	source := http.MaxBytesReader(w, r.Body, limit)
	body, err := p.bodyMemory.buffer(source, r.ContentLength, maxBufferedRequestBytes)
	req.body, req.bodyBytes, req.length = body.data, req.bodyBytes+body.reserved, r.ContentLength
	if err != nil {
		return bodyError(err, limit)
	}
	if !body.complete {
		req.bodyTail = &bodyTail{source: source}
		return nil
	}
	req.length = int64(len(body.data))
	_ = control.SetReadDeadline(time.Time{}) // as above
	return nil
}

func bodyError(err error, limit int64) error {
	if large := new(http.MaxBytesError); errors.As(err, &large) {
		return apierror.TooLarge.New("body of more than %d bytes", limit)
	}
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		return apierror.SlowBody.Wrap(err, "body")
	}
	return apierror.Malformed.Wrap(err, "body")
}

// bodyTail is the part of a request's body that isn't buffered. Once any of it was read it can't be sent again.
type bodyTail struct {
	source  io.Reader
	started atomic.Bool
	err     atomic.Pointer[error]
}

// resendable reports whether nothing of the tail was read yet. A nil tail is a body that is buffered completely.
func (t *bodyTail) resendable() bool { return t == nil || !t.started.Load() }

// failure is why the tail couldn't be read from the client; nil: it could, or there is none.
func (t *bodyTail) failure() error {
	if t == nil {
		return nil
	}
	if err := t.err.Load(); err != nil {
		return *err
	}
	return nil
}

// Read implements io.Reader for the transport.
func (t *bodyTail) Read(p []byte) (int, error) {
	t.started.Store(true)
	n, err := t.source.Read(p)
	if err != nil && err != io.EOF {
		t.err.Store(&err)
	}
	return n, err
}

// copyBody forwards the rest of a response. It is complete only if the server ended it and the client took it all.
func copyBody(w http.ResponseWriter, source io.Reader) (fromServer, toClient error) {
	chunk := make([]byte, copyChunkBytes)
	for {
		n, err := source.Read(chunk)
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
