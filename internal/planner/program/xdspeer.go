package program

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/transport"
	"mulleinwood/internal/planner/xds"
)

// xdsPeer is a proxy's stream of assignments.
type xdsPeer struct {
	id     uint64
	now    func() float64
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	machine *xds.AssignmentStream
	queue   []proto.Message
	unread  int // bytes in the queue
	ended   error
	in      bool // it has joined
}

// ID implements routing.Peer.
func (p *xdsPeer) ID() uint64 { return p.id }

// AnswerHeartbeat implements routing.Peer: this protocol has no heartbeat on a stream.
func (p *xdsPeer) AnswerHeartbeat() error { return nil }

// DeferHeartbeat implements routing.Peer.
func (p *xdsPeer) DeferHeartbeat() {}

// Assign implements routing.Peer. It never waits: a stream that leaves too much unread ends, and it alone.
func (p *xdsPeer) Assign(o protocol.Assignment) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil {
		return p.ended
	}
	m, err := p.machine.Encode(p.now(), o)
	if err != nil || m == nil {
		return err
	}
	if p.unread += proto.Size(m); p.unread > maxUnread {
		p.end(transport.ErrOverflow)
		return transport.ErrOverflow
	}
	p.queue = append(p.queue, m)
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return nil
}

// Close implements routing.Peer.
func (p *xdsPeer) Close(reason error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(reason)
}

// end ends the stream for the first reason given. The caller holds the lock.
func (p *xdsPeer) end(reason error) {
	if p.ended == nil {
		p.ended = reason
		p.cancel()
	}
}

// feed feeds the machine.
func (p *xdsPeer) feed(feed fed) ([]protocol.Message, []xds.InvalidPartError, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return feed()
}

// wakes is what the machine says once a wait is over.
func (p *xdsPeer) wakes() []protocol.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Wake(p.now())
}

// reason is why the planner ended the stream; nil: it didn't.
func (p *xdsPeer) reason() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// join notes that routing has been told who the stream is of.
func (p *xdsPeer) join() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.in = true
}

// joined is who the stream is of, once routing has been told.
func (p *xdsPeer) joined() (xds.Identity, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	who, _ := p.machine.Identity()
	return who, p.in
}

// write sends what waits until the stream ends.
func (p *xdsPeer) write(ctx context.Context, s grpc.ServerStream) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for {
			p.mu.Lock()
			if len(p.queue) == 0 {
				p.mu.Unlock()
				break
			}
			m := p.queue[0]
			p.mu.Unlock()
			if err := s.SendMsg(m); err != nil {
				p.Close(fmt.Errorf("write: %w", err))
				return
			}
			p.mu.Lock()
			p.queue, p.unread = p.queue[1:], p.unread-proto.Size(m)
			p.mu.Unlock()
		}
	}
}
