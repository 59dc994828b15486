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
	// lateResponseTimeout is how much longer than its deadline a client reads on: to tell an edge that answers late from one
	// that closes without an answer.
	lateResponseTimeout = 300 * time.Millisecond
	uploadBytes         = 400 << 10 // more than an edge buffers
	uploadParts         = 16
	uploadInterval      = 25 * time.Millisecond
)

// connection is a client's connection to an edge. It carries one request at a time.
type connection struct {
	net.Conn
	edge   string
	reader *bufio.Reader
	used   int // requests that it carried
}

func connect(edge *supervisor, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, edge: edge.spec.Name, reader: bufio.NewReader(conn)}, nil
}

// close ends the connection. Nothing is expected of it any more.
func (c *connection) close() { _ = c.Close() }

// abort ends the connection while a request is under way: by a close, a reset, or a close of the sending side alone.
func (c *connection) abort(how uint64) {
	tcp, ok := c.Conn.(*net.TCPConn)
	switch {
	case ok && how%3 == 1:
		_ = tcp.SetLinger(0) // a reset, if it can be had
	case ok && how%3 == 2:
		_ = tcp.CloseWrite() // followed by the close below, once the edge may have noticed
		time.Sleep(pollInterval)
	}
	c.close()
}

// requestText is the head of a request.
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

// send writes a request. It fails where the connection ends before all is written.
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

// receive reads the response. It reports whether the connection may carry another request.
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
