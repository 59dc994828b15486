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

// xdsPeer is a proxy's assignment stream over gRPC. It is safe for concurrent use.
type xdsPeer struct {
	id     uint64
	now    func() float64
	cancel context.CancelFunc
	wake   chan struct{}

	mu          sync.Mutex
	machine     *xds.AssignmentStream
	queue       []proto.Message
	queuedBytes int // encoded size of the queue
	closeReason error
	attached    bool // the proxy's Attach goes to routing
}

// ID implements routing.Peer.
func (p *xdsPeer) ID() uint64 { return p.id }

// AnswerHeartbeat implements routing.Peer. This protocol has no heartbeats on a stream.
func (p *xdsPeer) AnswerHeartbeat() error { return nil }

// DeferHeartbeat implements routing.Peer.
func (p *xdsPeer) DeferHeartbeat() {}

// Assign implements routing.Peer. It never blocks: a stream with more than maxUnreadBytes queued is closed, without effect on
// other streams.
func (p *xdsPeer) Assign(o protocol.Assignment) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeReason != nil {
		return p.closeReason
	}
	m, err := p.machine.Encode(p.now(), o)
	if err != nil || m == nil {
		return err
	}
	if p.queuedBytes += proto.Size(m); p.queuedBytes > maxUnreadBytes {
		p.closeLocked(transport.ErrOverflow)
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
	p.closeLocked(reason)
}

// closeLocked closes the stream and keeps the first reason given. The caller must hold mu.
func (p *xdsPeer) closeLocked(reason error) {
	if p.closeReason == nil {
		p.closeReason = reason
		p.cancel()
	}
}

// applyRequest applies a received message while holding mu.
func (p *xdsPeer) applyRequest(apply applyRequest) ([]protocol.Message, []xds.InvalidPartError, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return apply()
}

// dueMessages returns the messages whose delay has passed.
func (p *xdsPeer) dueMessages() []protocol.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Wake(p.now())
}

// reasonClosed returns why the planner closed the stream, or nil if it didn't.
func (p *xdsPeer) reasonClosed() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closeReason
}

// markAttached records that routing is about to receive the proxy's Attach.
func (p *xdsPeer) markAttached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attached = true
}

// attachedIdentity returns the identity of the stream's proxy, and reports whether markAttached was called.
func (p *xdsPeer) attachedIdentity() (xds.Identity, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	identity, _ := p.machine.Identity()
	return identity, p.attached
}

// write sends queued messages until the stream ends.
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
			p.queue, p.queuedBytes = p.queue[1:], p.queuedBytes-proto.Size(m)
			p.mu.Unlock()
		}
	}
}
