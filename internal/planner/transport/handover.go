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
	http2PrefaceByte = 'P'
	tlsHandshakeByte = 0x16
)

// isForeign says whether the first byte of a connection is of another protocol.
func isForeign(in *ring.Buffer) bool {
	first, _ := in.Peek()
	return len(first) > 0 && (first[0] == http2PrefaceByte || first[0] == tlsHandshakeByte)
}

// handedOffConn is a connection that another protocol's driver has taken over, with the bytes that had been read.
type handedOffConn struct {
	net.Conn
	buffered  []byte // the reader's own
	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements net.Conn.
func (h *handedOffConn) Read(p []byte) (int, error) {
	if len(h.buffered) > 0 {
		n := copy(p, h.buffered)
		h.buffered = h.buffered[n:]
		return n, nil
	}
	return h.Conn.Read(p)
}

// Close implements net.Conn.
func (h *handedOffConn) Close() error {
	err := h.Conn.Close()
	h.closeOnce.Do(func() { close(h.closed) })
	return err
}

// handOff gives the connection to the other protocol's driver and waits until that has closed it. The connection counts
// as all others do, and must show who it is in the same time.
func (c *Conn) handOff() {
	first, second := c.in.Peek()
	h := &handedOffConn{Conn: c.nc, buffered: append(append([]byte{}, first...), second...), closed: make(chan struct{})}
	_ = c.nc.SetReadDeadline(time.Time{}) // it fails on a closed connection only, which the other driver notices
	if !c.joinDeadline.IsZero() {
		timer := time.AfterFunc(time.Until(c.joinDeadline), func() {
			if !c.Joined() {
				c.Close(ErrJoinTimeout)
			}
		})
		defer timer.Stop()
	}
	c.handoff(c, h)
	<-h.closed
	c.Close(io.EOF)
}
