package protocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"mulleinwood/internal/planner/transport/ring"
)

// Limits of an HTTP response, in bytes.
const (
	MaxHeadBytes      = 16 << 10 // of the head
	maxChunkLineBytes = 256      // of the line before a chunk, and of a line of the trailer
)

var (
	errHeadTooLong = errors.New("response head exceeds 16 KiB")
	errBodyTooLong = errors.New("response body exceeds its limit")
	errChunk       = errors.New("malformed chunk")
	errTruncated   = errors.New("connection closed within the response")
)

// stage is the part of a response that an exchange reads next.
type stage int

const (
	inHead stage = iota
	inLength
	inUntilClose // the body extends until the peer closes the connection
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	complete
)

// HTTPExchange decodes one HTTP/1.1 response from bytes that arrive in any pieces.
type HTTPExchange struct {
	Method string // method of the request; GET if empty
	// HandleHead is called with the head of the response, without a body. An error ends the exchange.
	HandleHead func(*http.Response) error
	// HandleBody is called with each piece of the body as it arrives. An error ends the exchange.
	HandleBody func([]byte) error
	// MaxBodyBytes limits the body; 0: no limit, for responses that last as long as their connection.
	MaxBodyBytes int64

	onComplete func() error // called once the response is complete; may be nil
	stage      stage
	scanned    int   // bytes of the head that have been searched for its end
	remaining  int64 // bytes left of the body, or of the chunk
	received   int64 // bytes of the body so far
}

// Done reports whether the response is complete.
func (x *HTTPExchange) Done() bool { return x.stage == complete }

// Close handles the end of the connection. It returns an error if the response is incomplete.
func (x *HTTPExchange) Close() error {
	if x.stage == inUntilClose {
		return x.finish()
	}
	if x.stage != complete {
		return errTruncated
	}
	return nil
}

func (x *HTTPExchange) finish() error {
	if x.stage = complete; x.onComplete != nil {
		return x.onComplete()
	}
	return nil
}

// Feed consumes the part of the buffer that can be decoded.
func (x *HTTPExchange) Feed(in *ring.Buffer) error {
	for x.stage != complete {
		var progressed bool
		var err error
		switch x.stage {
		case inHead:
			progressed, err = x.head(in)
		case inLength, inChunk, inUntilClose:
			progressed, err = x.body(in)
		default:
			progressed, err = x.chunkLine(in)
		}
		if err != nil || !progressed {
			return err
		}
	}
	return nil
}

// head decodes the head once it is complete.
func (x *HTTPExchange) head(in *ring.Buffer) (bool, error) {
	for {
		end := in.Index('\n', x.scanned)
		if end < 0 || end >= MaxHeadBytes {
			if in.Len() >= MaxHeadBytes {
				return false, errHeadTooLong
			}
			x.scanned = in.Len()
			return false, nil
		}
		text := in.Front(end + 1)
		if x.scanned = end + 1; !bytes.HasSuffix(text, []byte("\n\r\n")) && !bytes.HasSuffix(text, []byte("\n\n")) {
			continue
		}
		method := x.Method
		if method == "" {
			method = http.MethodGet
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), &http.Request{Method: method})
		if err != nil {
			return false, fmt.Errorf("head: %w", err)
		}
		in.Discard(end + 1)
		if response.StatusCode >= 100 && response.StatusCode < 200 { // an interim response; the final one follows
			x.scanned = 0
			continue
		}
		return x.beginBody(response)
	}
}

// beginBody passes on the head and determines how the body is delimited.
func (x *HTTPExchange) beginBody(response *http.Response) (bool, error) {
	switch {
	case len(response.TransferEncoding) > 0:
		x.stage = inChunkSize
	case response.ContentLength >= 0:
		x.stage, x.remaining = inLength, response.ContentLength
		if x.MaxBodyBytes > 0 && x.remaining > x.MaxBodyBytes {
			return false, errBodyTooLong
		}
	default:
		x.stage = inUntilClose
	}
	response.Body = http.NoBody
	if err := x.HandleHead(response); err != nil {
		return false, err
	}
	if x.stage == inLength && x.remaining == 0 {
		return true, x.finish()
	}
	return true, nil
}

// body passes on the buffered bytes of the body, or of one chunk.
func (x *HTTPExchange) body(in *ring.Buffer) (bool, error) {
	piece, _ := in.Peek()
	if x.stage != inUntilClose && int64(len(piece)) > x.remaining {
		piece = piece[:x.remaining]
	}
	if len(piece) == 0 {
		return false, nil
	}
	if x.received += int64(len(piece)); x.MaxBodyBytes > 0 && x.received > x.MaxBodyBytes {
		return false, errBodyTooLong
	}
	if err := x.HandleBody(piece); err != nil {
		return false, err
	}
	in.Discard(len(piece))
	if x.stage == inUntilClose {
		return true, nil
	}
	if x.remaining -= int64(len(piece)); x.remaining == 0 {
		if x.stage == inLength {
			return true, x.finish()
		}
		x.stage = inChunkEnd
	}
	return true, nil
}

// chunkLine reads a line with a chunk's size, the line end after a chunk, or a line of the trailer.
func (x *HTTPExchange) chunkLine(in *ring.Buffer) (bool, error) {
	end := in.Index('\n', 0)
	if end > maxChunkLineBytes || end < 0 && in.Len() > maxChunkLineBytes {
		return false, errChunk
	}
	if end < 0 {
		return false, nil
	}
	text := strings.TrimRight(string(in.Front(end)), "\r")
	in.Discard(end + 1)
	switch x.stage {
	case inChunkSize:
		digits, _, _ := strings.Cut(text, ";")
		size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return false, fmt.Errorf("%w: size %.20q", errChunk, text)
		}
		if x.stage, x.remaining = inChunk, int64(size); size == 0 {
			x.stage = inTrailer
		}
	case inChunkEnd:
		if text != "" {
			return false, fmt.Errorf("%w: %.20q after its data", errChunk, text)
		}
		x.stage = inChunkSize
	case inTrailer:
		if text == "" {
			return true, x.finish()
		}
	}
	return true, nil
}

// Request returns a GET request for a path at a host.
func Request(host, path string) []byte {
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: */*\r\n\r\n")
}
