package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"
)

// link is the way between clients and an edge: bytes, and the end of a stream, arrive in order after its delay.
type link struct {
	delay time.Duration
	// late is how long bytes that have arrived lie in the edge's kernel before the edge gets to read them.
	readDelay time.Duration
}

// packet is what arrives at one time: data, or the end of the stream.
type packet struct {
	at   time.Time
	data []byte
}

// linkedConn is the edge's end of a connection over a link. What arrived and was not read is Readable, as the kernel tells it of a
// socket.
type linkedConn struct {
	net.Conn // the process reads from it what it gets to see
	client   *linkedClient
	unread   atomic.Int64
	finSent  sync.Once
}

// linkedClient is the client's end. Like any sane client it closes when it sees the edge's end of the stream.
type linkedClient struct {
	link     *link
	edgeEnd  *linkedConn
	up, down chan packet
	ended    chan struct{} // closed when it has seen the end of the stream
	endedAt  time.Time     // valid from then on
	received bytes.Buffer  // the same: all that the connection brought
}

// connect opens a connection that waits to be accepted.
func (l *link) connect() *linkedClient {
	near, far := net.Pipe()
	c := &linkedClient{link: l, up: make(chan packet, 100), down: make(chan packet, 100), ended: make(chan struct{})}
	c.edgeEnd = &linkedConn{Conn: near, client: c}
	go c.carryUp(far)
	go c.carryDown()
	return c
}

// carryUp takes to the edge what the client sends.
func (c *linkedClient) carryUp(far net.Conn) {
	defer far.Close()
	for p := range c.up {
		time.Sleep(time.Until(p.at))
		if p.data == nil {
			return
		}
		c.edgeEnd.unread.Add(int64(len(p.data)))
		time.Sleep(c.link.readDelay)
		_, err := far.Write(p.data)
		c.edgeEnd.unread.Add(-int64(len(p.data)))
		if err != nil { // the edge has closed: a reset
			c.edgeEnd.sendFin()
			return
		}
	}
}

// carryDown takes to the client what the edge writes.
func (c *linkedClient) carryDown() {
	for p := range c.down {
		time.Sleep(time.Until(p.at))
		if p.data == nil {
			break
		}
		c.received.Write(p.data)
	}
	c.endedAt = time.Now()
	close(c.ended)
	c.up <- packet{at: time.Now().Add(c.link.delay)}
}

// send writes to the connection.
func (c *linkedClient) send(text string) {
	c.up <- packet{at: time.Now().Add(c.link.delay), data: []byte(text)}
}

// responses waits for the connection's end and gives the complete responses that it brought.
func (c *linkedClient) responses() (all []*http.Response) {
	<-c.ended
	in := bufio.NewReader(&c.received)
	for {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return all
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return all
		}
		all = append(all, response)
	}
}

// Write sends to the client.
func (c *linkedConn) Write(p []byte) (int, error) {
	c.client.down <- packet{at: time.Now().Add(c.client.link.delay), data: bytes.Clone(p)}
	return len(p), nil
}

// CloseWrite ends the stream to the client. What the client sends is still read.
func (c *linkedConn) CloseWrite() error {
	c.sendFin()
	return nil
}

// Close ends the connection.
func (c *linkedConn) Close() error {
	c.sendFin()
	return c.Conn.Close()
}

func (c *linkedConn) sendFin() {
	c.finSent.Do(func() { c.client.down <- packet{at: time.Now().Add(c.client.link.delay)} })
}

// Readable reports whether something has arrived that was not read.
func (c *linkedConn) Readable() bool { return c.unread.Load() > 0 }

// linkedListener is a listener whose connections wait to be accepted until its gate is open.
type linkedListener struct {
	queue  chan net.Conn
	gate   chan struct{} // closed: the process accepts
	closed chan struct{}
	once   sync.Once
}

func newLinkedListener() *linkedListener {
	l := &linkedListener{queue: make(chan net.Conn, 100), gate: make(chan struct{}), closed: make(chan struct{})}
	close(l.gate)
	return l
}

// arrive puts a connection into the queue, as the kernel does.
func (l *linkedListener) arrive(c *linkedClient) *linkedClient {
	select {
	case <-l.closed:
		c.edgeEnd.Close()
	default:
		l.queue <- c.edgeEnd
	}
	synctest.Wait()
	return c
}

// Accept implements net.Listener.
func (l *linkedListener) Accept() (net.Conn, error) {
	select {
	case <-l.gate:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	select {
	case conn := <-l.queue:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It resets the connections that were not accepted, as the kernel does.
func (l *linkedListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		for {
			select {
			case conn := <-l.queue:
				conn.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *linkedListener) Addr() net.Addr { return &net.TCPAddr{} }

// Readable reports whether a connection waits to be accepted.
func (l *linkedListener) Readable() bool { return len(l.queue) > 0 }
