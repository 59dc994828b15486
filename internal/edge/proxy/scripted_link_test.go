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

// link is the network between clients and an edge: bytes and the end of a stream arrive in order after a delay.
type link struct {
	delay time.Duration
	// late is how long received bytes stay in the kernel before the edge can read them.
	readDelay time.Duration
}

// packet is a delivery at one time: data, or the end of the stream if data is nil.
type packet struct {
	at   time.Time
	data []byte
}

// linkedConn is the edge's end of a connection over a link. Like a socket, it reports unread bytes by Readable.
type linkedConn struct {
	net.Conn // delivers the bytes that the edge can read
	client   *linkedClient
	unread   atomic.Int64
	finSent  sync.Once
}

// linkedClient is the client's end of a connection. It closes when it sees the end of the edge's stream.
type linkedClient struct {
	link     *link
	edgeEnd  *linkedConn
	up, down chan packet
	ended    chan struct{} // closed when it has seen the end of the stream
	endedAt  time.Time     // valid once ended is closed
	received bytes.Buffer  // all received bytes, valid once ended is closed
}

// connect opens a connection that is not accepted yet.
func (l *link) connect() *linkedClient {
	near, far := net.Pipe()
	c := &linkedClient{link: l, up: make(chan packet, 100), down: make(chan packet, 100), ended: make(chan struct{})}
	c.edgeEnd = &linkedConn{Conn: near, client: c}
	go c.carryUp(far)
	go c.carryDown()
	return c
}

// carryUp delivers the client's packets to the edge.
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
		if err != nil { // the edge has closed the connection: a reset
			c.edgeEnd.sendFin()
			return
		}
	}
}

// carryDown delivers the edge's packets to the client.
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

// send sends text to the edge.
func (c *linkedClient) send(text string) {
	c.up <- packet{at: time.Now().Add(c.link.delay), data: []byte(text)}
}

// responses waits for the end of the connection and returns the complete responses received.
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

// CloseWrite ends the stream to the client. Bytes from the client can still be read.
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

// Readable reports whether there are unread bytes.
func (c *linkedConn) Readable() bool { return c.unread.Load() > 0 }

// linkedListener is a listener that accepts connections only after its gate channel is closed.
type linkedListener struct {
	queue  chan net.Conn
	gate   chan struct{} // closed while the process accepts
	closed chan struct{}
	once   sync.Once
}

func newLinkedListener() *linkedListener {
	l := &linkedListener{queue: make(chan net.Conn, 100), gate: make(chan struct{}), closed: make(chan struct{})}
	close(l.gate)
	return l
}

// arrive puts a connection into the backlog, as the kernel does.
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
