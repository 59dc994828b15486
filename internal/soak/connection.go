package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	tenant         = "soak.example"
	connectTimeout = time.Second
	// lateResponseTimeout is how long after its deadline a client still reads, to distinguish a late response from a connection
	// that is closed without one.
	lateResponseTimeout = 300 * time.Millisecond
	uploadBytes         = 400 << 10 // exceeds the edge's buffer
	uploadParts         = 16
	uploadInterval      = 25 * time.Millisecond
)

// connection is a client's connection to an edge. It carries one request at a time.
type connection struct {
	net.Conn
	edge   string
	reader *bufio.Reader
	used   int // number of requests sent
}

func connect(edge *supervisor, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, edge: edge.spec.Name, reader: bufio.NewReader(conn)}, nil
}

// close closes the connection and ignores errors.
func (c *connection) close() { _ = c.Close() }

// abort closes the connection while a request is in flight: by a close, a reset, or a half-close followed by a close.
func (c *connection) abort(how uint64) {
	tcp, ok := c.Conn.(*net.TCPConn)
	switch {
	case ok && how%3 == 1:
		_ = tcp.SetLinger(0) // the close below sends a reset
	case ok && how%3 == 2:
		_ = tcp.CloseWrite() // the delay lets the edge notice the half-close before the close below
		time.Sleep(pollInterval)
	}
	c.close()
}

// requestText returns the header of a request, with the body of notes and posts.
func requestText(request *Request, deadline time.Duration) string {
	var text strings.Builder
	method := http.MethodGet
	switch request.Kind {
	case Note, Upload:
		method = http.MethodPost
	case Post:
		method = http.MethodPut
	}
	fmt.Fprintf(&text, "%s /%s/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, request.Kind, tenant,
		request.ID, deadline.Milliseconds())
	if request.Key != "" {
		fmt.Fprintf(&text, "X-Operation-Key: %s\r\n", request.Key)
	}
	switch request.Kind {
	case Upload:
		fmt.Fprintf(&text, "Content-Length: %d\r\n", uploadBytes)
	case Note, Post:
		text.WriteString("Content-Length: 5\r\n")
	}
	text.WriteString("\r\n")
	if request.Kind == Note || request.Kind == Post {
		text.WriteString("entry")
	}
	return text.String()
}

// send writes a request. It fails if the connection ends before everything is written.
func (c *connection) send(r *recorder, request *Request, deadline time.Duration) error {
	request.Kept = c.used > 0
	c.used++
	if _, err := io.WriteString(c, requestText(request, deadline)); err != nil {
		return err
	}
	if request.Kind == Upload {
		part := make([]byte, uploadBytes/uploadParts)
		for range uploadParts {
			if _, err := c.Write(part); err != nil {
				return err
			}
			time.Sleep(uploadInterval)
		}
	}
	request.SentAt = r.now()
	return nil
}

// receive reads the response and reports whether the connection can be reused.
func (c *connection) receive(r *recorder, request *Request) (reusable bool) {
	if err := c.SetReadDeadline(r.startedAt.Add(request.DeadlineAt + lateResponseTimeout)); err != nil {
		request.Failure = err.Error()
		return false
	}
	response, err := http.ReadResponse(c.reader, nil)
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(c.reader, nil)
	}
	if err != nil {
		request.Failure = failureText(err)
		return false
	}
	request.Status, request.Seal = response.StatusCode, response.Header.Get("X-Server-Seal")
	body, err := io.ReadAll(response.Body)
	if err != nil {
		request.Failure = failureText(err)
		return false
	}
	request.Complete, request.Digest = true, xxh3.Hash(body)
	return !response.Close
}

// failureTimedOut is the failure of a request whose client stopped waiting.
const failureTimedOut = "the client's deadline passes"

func failureText(err error) string {
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		return failureTimedOut
	}
	return err.Error()
}
