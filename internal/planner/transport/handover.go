package transport

import (
	"io"
	"net"
	"sync"
	"time"

	"mulleinwood/internal/planner/transport/ring"
)

// The first bytes of what is no line of JSON: HTTP/2's preface begins with the one, a TLS handshake with the other.
const (
	prefaceByte   = 'P'
	handshakeByte = 0x16
)

// foreign says whether the first byte of a connection is of another protocol.
func foreign(in *ring.Buffer) bool {
	first, _ := in.Peek()
	return len(first) > 0 && (first[0] == prefaceByte || first[0] == handshakeByte)
}

// handed is a connection that another protocol's driver has taken over, with the bytes that had been read.
type handed struct {
	net.Conn
	head   []byte // the reader's own
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (h *handed) Read(p []byte) (int, error) {
	if len(h.head) > 0 {
		n := copy(p, h.head)
		h.head = h.head[n:]
		return n, nil
	}
	return h.Conn.Read(p)
}

// Close implements net.Conn.
func (h *handed) Close() error {
	err := h.Conn.Close()
	h.once.Do(func() { close(h.closed) })
	return err
}

// handOver gives the connection to the other protocol's driver and waits until that has closed it. The connection counts
// as all others do, and must show who it is in the same time.
func (c *Conn) handOver() {
	first, second := c.in.Peek()
	h := &handed{Conn: c.nc, head: append(append([]byte{}, first...), second...), closed: make(chan struct{})}
	_ = c.nc.SetReadDeadline(time.Time{}) // it fails on a closed connection only, which the other driver notices
	if !c.joinBy.IsZero() {
		late := time.AfterFunc(time.Until(c.joinBy), func() {
			if !c.Joined() {
				c.Close(ErrJoinTimeout)
			}
		})
		defer late.Stop()
	}
	c.foreign(c, h)
	<-h.closed
	c.Close(io.EOF)
}
