package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Spans of a link. Both ends send summaries; a peer that is silent for longer than Silence is taken to be cut off.
const (
	SummaryInterval = 250 * time.Millisecond
	LinkTimeout     = 800 * time.Millisecond
	maxFrameBytes   = 16 << 20
	maxQueueBytes   = 64 << 20
)

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Link is a connection to another process. Send never waits; a peer that doesn't read is cut off.
type Link struct {
	conn        net.Conn
	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	wake        chan struct{}
	writing     bool // what was taken from queue is not written yet
	closed      chan struct{}
	closeOnce   sync.Once
}

// NewLink takes over a connection and starts its writer.
func NewLink(conn net.Conn) *Link {
	l := &Link{conn: conn, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	go l.write()
	return l
}

// Send queues a frame.
func (l *Link) Send(f *Frame) {
	body, err := cbor.Marshal(f)
	if err != nil {
		l.Close()
		return
	}
	packet := make([]byte, 4+len(body))
	binary.BigEndian.PutUint32(packet, uint32(len(body)))
	copy(packet[4:], body)
	l.mu.Lock()
	l.queue = append(l.queue, packet)
	l.queuedBytes += len(packet)
	full := l.queuedBytes > maxQueueBytes
	l.mu.Unlock()
	if full { // guards memory against a peer that doesn't read
		l.Close()
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}

// drainPollInterval is how often a process that ends looks whether a link's queue is written.
const drainPollInterval = 2 * time.Millisecond

// Drain waits until all that was sent is written, the link has ended or the limit is reached.
func (l *Link) Drain(limit time.Time) {
	for time.Now().Before(limit) {
		l.mu.Lock()
		idle := len(l.queue) == 0 && !l.writing
		l.mu.Unlock()
		if idle {
			return
		}
		select {
		case <-l.closed:
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// Closed is closed when the link has ended.
func (l *Link) Closed() <-chan struct{} { return l.closed }

func (l *Link) write() {
	defer l.Close()
	for {
		select {
		case <-l.closed:
			return
		case <-l.wake:
		}
		l.mu.Lock()
		packets := net.Buffers(l.queue)
		l.queue, l.queuedBytes, l.writing = nil, 0, len(packets) > 0
		l.mu.Unlock()
		if len(packets) == 0 {
			continue
		}
		if err := l.conn.SetWriteDeadline(time.Now().Add(2 * time.Second)); err != nil {
			return
		}
		if len(packets) > 1 { // one call for all that is waiting
			var all []byte
			for _, p := range packets {
				all = append(all, p...)
			}
			packets = net.Buffers{all}
		}
		if _, err := l.conn.Write(packets[0]); err != nil {
			return
		}
		l.mu.Lock()
		l.writing = false
		l.mu.Unlock()
	}
}

var errFrameTooLong = errors.New("a frame is longer than any that is sent")

// Read hands each frame to do until the link ends, the peer is silent for too long or sends what can't be read.
func (l *Link) Read(handle func(*Frame)) error {
	defer l.Close()
	in := bufio.NewReaderSize(l.conn, 16<<10)
	var head [4]byte
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(LinkTimeout)); err != nil {
			return err
		}
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return err
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > maxFrameBytes {
			return errFrameTooLong
		}
		if n > 64<<10 { // large ones may take longer than a summary
			if err := l.conn.SetReadDeadline(time.Now().Add(4 * LinkTimeout)); err != nil {
				return err
			}
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(in, body); err != nil {
			return err
		}
		f := &Frame{}
		if err := decMode.Unmarshal(body, f); err != nil {
			return err
		}
		handle(f)
	}
}
