package transport

import (
	"io"
	"net"
	"sync"
	"time"

	"mulleinwood/internal/planner/transport/ring"
)

// The first bytes of protocols other than lines of JSON: the HTTP/2 connection preface and the TLS handshake.
const (
	http2PrefaceByte = 'P'
	tlsHandshakeByte = 0x16
)

// isForeign reports whether the first byte of a connection belongs to another protocol.
func isForeign(in *ring.Buffer) bool {
	first, _ := in.Peek()
	return len(first) > 0 && (first[0] == http2PrefaceByte || first[0] == tlsHandshakeByte)
}

// handedOffConn is a connection handed off to another protocol's handler. It returns the bytes that were already read first.
type handedOffConn struct {
	net.Conn
	buffered  []byte // accessed by the reader only
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

// handOff passes the connection to the other protocol's handler and waits until the handler has closed it. The connection
// still counts towards the listener's limit and is subject to the same join timeout.
func (c *Conn) handOff() {
	first, second := c.in.Peek()
	h := &handedOffConn{Conn: c.nc, buffered: append(append([]byte{}, first...), second...), closed: make(chan struct{})}
	_ = c.nc.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the handler detects
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
