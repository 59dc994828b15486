package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Timing and limits of a link. Both ends send summaries; a peer that sends nothing for LinkTimeout counts as unreachable.
const (
	// SummaryInterval is how often each end sends a Summary.
	SummaryInterval = 250 * time.Millisecond
	// LinkTimeout is how long nothing may be read from a link before its peer counts as unreachable. It is a little more than
	// three summary intervals.
	LinkTimeout = 800 * time.Millisecond

	writeTimeout       = 2 * time.Second
	maxFrameBytes      = 16 << 20
	maxQueueBytes      = 64 << 20 // queued bytes above which a peer that doesn't read is disconnected
	largeFrameBytes    = 64 << 10 // above which reading a frame may take up to largeFrameTimeout
	largeFrameTimeout  = 4 * LinkTimeout
	readBufferBytes    = 16 << 10
	lengthBytes        = 4
	maxDecodedElements = 1 << 20 // per array or map
)

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxDecodedElements, MaxMapPairs: maxDecodedElements}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Link is a connection to another process. Its methods are safe for concurrent use, but only one goroutine may call Read.
type Link struct {
	conn        net.Conn
	mu          sync.Mutex
	queue       [][]byte // frames not written yet
	queuedBytes int
	wake        chan struct{}
	writing     bool // frames taken from queue are not written yet
	closed      chan struct{}
	closeOnce   sync.Once
}

// NewLink returns a link that owns conn, and starts its writer.
func NewLink(conn net.Conn) *Link {
	l := &Link{conn: conn, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true) // on by default; a failed connection returns an error when it is read
	}
	go l.write()
	return l
}

// Send queues messages as one frame. It never blocks: a peer that doesn't read is disconnected once more than maxQueueBytes
// are queued.
func (l *Link) Send(messages ...Message) {
	body, err := cbor.Marshal(FrameOf(messages...))
	if err != nil {
		l.Close()
		return
	}
	packet := make([]byte, lengthBytes+len(body))
	binary.BigEndian.PutUint32(packet, uint32(len(body)))
	copy(packet[lengthBytes:], body)
	if l.enqueue(packet) > maxQueueBytes {
		l.Close()
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// enqueue appends a frame to the queue and returns the number of queued bytes.
func (l *Link) enqueue(packet []byte) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, packet)
	l.queuedBytes += len(packet)
	return l.queuedBytes
}

// Close closes the link. It may be called more than once.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.conn.Close() // the link has ended whether or not this fails
	})
}

// drainPollInterval is how often Drain checks whether the queue is written.
const drainPollInterval = 2 * time.Millisecond

// Drain waits until all queued frames are written, the link has ended or the deadline has passed.
func (l *Link) Drain(deadline time.Time) {
	for time.Now().Before(deadline) && !l.idle() {
		select {
		case <-l.closed:
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// idle reports whether all queued frames are written.
func (l *Link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && !l.writing
}

// Closed returns a channel that is closed when the link has ended.
func (l *Link) Closed() <-chan struct{} { return l.closed }

// write writes queued frames until the link has ended.
func (l *Link) write() {
	defer l.Close()
	for {
		select {
		case <-l.closed:
			return
		case <-l.wake:
		}
		packets := l.drainQueue()
		if len(packets) == 0 {
			continue
		}
		if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return
		}
		if _, err := l.conn.Write(joined(packets)); err != nil {
			return
		}
		l.mu.Lock()
		l.writing = false
		l.mu.Unlock()
	}
}

func (l *Link) drainQueue() [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	packets := l.queue
	l.queue, l.queuedBytes, l.writing = nil, 0, len(packets) > 0
	return packets
}

// joined concatenates frames, so that one system call writes them.
func joined(packets [][]byte) []byte {
	if len(packets) == 1 {
		return packets[0]
	}
	return slices.Concat(packets...)
}

var errFrameTooLong = errors.New("frame exceeds the maximum length")

// Read calls handle with the messages of each frame until the link ends, nothing is read for LinkTimeout or a frame can't be
// decoded. It then closes the link and returns the reason, which is never nil.
func (l *Link) Read(handle func(messages []Message)) error {
	defer l.Close()
	in := bufio.NewReaderSize(l.conn, readBufferBytes)
	for {
		f, err := l.readFrame(in)
		if err != nil {
			return err
		}
		handle(f.Messages())
	}
}

func (l *Link) readFrame(in io.Reader) (*Frame, error) {
	var head [lengthBytes]byte
	if err := l.conn.SetReadDeadline(time.Now().Add(LinkTimeout)); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > maxFrameBytes {
		return nil, errFrameTooLong
	}
	if length > largeFrameBytes {
		if err := l.conn.SetReadDeadline(time.Now().Add(largeFrameTimeout)); err != nil {
			return nil, err
		}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, err
	}
	f := &Frame{}
	return f, decMode.Unmarshal(body, f)
}
