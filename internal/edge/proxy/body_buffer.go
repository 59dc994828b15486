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

// Limits of buffering bodies. The rest of a body that is longer, or that finds the budget exhausted, is streamed.
const (
	uncountedBytes           = 4 << 10   // of each body not counted by the budget: the number of connections limits them
	maxBufferedRequestBytes  = 256 << 10 // bytes of a request, buffered so that a retry can send them again
	maxBufferedResponseBytes = 256 << 10 // bytes of a response, buffered so that a truncated one can be retried at another server
	maxStoredResponseBytes   = 1 << 20   // bytes of a keyed operation's response; longer ones are not stored for repeats
	bodyMemoryShare          = 0.25      // fraction of the machine's memory for all buffered bodies
	maxInitialBufferBytes    = 32 << 10  // largest allocation based on an unverified Content-Length
	defaultMaxBodyBytes      = 64 << 20  // bytes of a request, if the configuration sets no limit
	copyChunkBytes           = 16 << 10
)

// memoryBudget limits the total bytes of the bodies that an edge buffers, since many bodies below their individual limits
// could exhaust the memory. It is safe for concurrent use.
type memoryBudget struct{ available atomic.Int64 }

func newMemoryBudget(bytes int64) *memoryBudget {
	b := &memoryBudget{}
	b.available.Store(bytes)
	return b
}

// reserve reserves n bytes, and reports false if they aren't available.
func (b *memoryBudget) reserve(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

// release releases n reserved bytes.
func (b *memoryBudget) release(n int64) { b.available.Add(n) }

// buffered is the part of a body that was read.
type buffered struct {
	data     []byte
	complete bool  // the body was read to its end
	reserved int64 // bytes of the budget that have to be released
}

// buffer reads up to limit bytes of a body, or less if the budget is exhausted. length is its Content-Length, negative if
// unknown. The caller must release the reserved bytes, also after an error.
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

// bufferBody reads a request's body: completely if it is short, so that it can be sent again. The beginning of a longer one
// is buffered, and the rest is streamed to a single server. The client must send the body by the request's deadline, which
// limits how long a slow client occupies a connection and memory.
func (p *Proxy) bufferBody(w http.ResponseWriter, req *clientRequest, limit int64) error {
	r := req.http
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return apierror.TooLarge.New("body of %d bytes", r.ContentLength)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(req.deadline - p.Now())) // if unsupported, the connection's own limits apply
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

// bodyError converts an error of reading a request's body to the error sent to the client.
func bodyError(err error, limit int64) error {
	if large := new(http.MaxBytesError); errors.As(err, &large) {
		return apierror.TooLarge.New("body of more than %d bytes", limit)
	}
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		return apierror.SlowBody.Wrap(err, "body")
	}
	return apierror.Malformed.Wrap(err, "body")
}

// bodyTail is the unbuffered rest of a request's body. Once reading it has started, the request can't be sent again.
type bodyTail struct {
	source  io.Reader
	started atomic.Bool
	err     atomic.Pointer[error]
}

// resendable reports whether the body can be sent again: it is buffered completely (t is nil), or reading the tail has not
// started.
func (t *bodyTail) resendable() bool { return t == nil || !t.started.Load() }

// failure returns the error of reading the tail from the client, nil if there is none or t is nil.
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

// copyBody copies the rest of a response to the client until its end or an error. Both errors are nil if it is complete.
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
