package program

import (
	"context"
	"errors"
	"io"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/transport"
	"mulleinwood/internal/planner/xds"
)

// applyRequest applies a received message to the stream's state.
type applyRequest func() (messages []protocol.Message, invalid []xds.InvalidPartError, err error)

// StreamAggregatedResources implements the state-of-the-world variant of the aggregated discovery service.
func (f *frontend) StreamAggregatedResources(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	machine := xds.NewAssignmentStream(f.xdsConfig, false)
	return f.serveAssignments(s, machine, func() (applyRequest, error) {
		r, err := s.Recv()
		return func() ([]protocol.Message, []xds.InvalidPartError, error) { return machine.HandleRequest(f.now(), r) }, err
	})
}

// DeltaAggregatedResources implements the incremental variant of the aggregated discovery service.
func (f *frontend) DeltaAggregatedResources(s discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	machine := xds.NewAssignmentStream(f.xdsConfig, true)
	return f.serveAssignments(s, machine, func() (applyRequest, error) {
		r, err := s.Recv()
		return func() ([]protocol.Message, []xds.InvalidPartError, error) {
			return machine.HandleDeltaRequest(f.now(), r)
		}, err
	})
}

// serveAssignments serves an assignment stream. It starts one goroutine that receives and one that sends; both end with the
// stream, which is closed when the handler returns.
func (f *frontend) serveAssignments(s grpc.ServerStream, machine *xds.AssignmentStream,
	receive func() (applyRequest, error)) error {
	conn, from, err := f.callerConn(s.Context())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	p := &xdsPeer{id: transport.NextID(), machine: machine, now: f.now, cancel: cancel, wake: make(chan struct{}, 1)}
	go p.write(ctx, s)
	received := make(chan error, 1)
	go func() { received <- f.receive(conn, from, p, receive) }()
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	var reason error
	for ended := false; !ended; {
		select {
		case reason = <-received:
			ended = true
		case <-ctx.Done(): // closed by the planner, or the connection has ended
			ended = true
		case <-ticker.C:
			f.forward(p, p.dueMessages())
		}
	}
	closeReason := p.reasonClosed()
	p.Close(io.EOF) // later assignments are rejected
	if identity, joined := p.attachedIdentity(); joined {
		f.post(routing.Disconnected{Peer: p})
		f.countStream(conn, identity.Proxy, -1)
	}
	switch {
	case closeReason != nil:
		f.peers.countProblem("gRPC stream ended", conn.Remote(), closeReason)
		return status.Error(codes.Aborted, closeReason.Error())
	case reason == nil || errors.Is(reason, io.EOF) || status.Code(reason) == codes.Canceled:
		return nil
	}
	f.peers.countProblem("gRPC stream ended", conn.Remote(), reason)
	return reason
}

// forward posts a peer's messages to routing.
func (f *frontend) forward(p routing.Peer, messages []protocol.Message) {
	for _, m := range messages {
		f.post(routing.MessageReceived{Peer: p, Message: m})
	}
}

// wakeInterval is how often a stream's pending timeouts are checked.
const wakeInterval = 250 * time.Millisecond

// receive reads the requests of an assignment stream until it ends.
func (f *frontend) receive(conn *transport.Conn, from *peer.Peer, p *xdsPeer, receive func() (applyRequest, error)) error {
	for {
		apply, err := receive()
		if err != nil {
			return err
		}
		messages, invalid, requestErr := p.applyRequest(apply)
		for _, part := range invalid {
			f.peers.countProblem("line not used", conn.Remote(), part)
		}
		if requestErr != nil {
			return status.Error(codes.InvalidArgument, requestErr.Error())
		}
		if _, joins := firstOfType[protocol.Attach](messages); joins {
			identity, _ := p.machine.Identity()
			if err := f.authorize(from, identity); err != nil {
				return err
			}
			conn.Promote(transport.Identified)
			f.countStream(conn, identity.Proxy, 1)
			p.markAttached()
		}
		f.forward(p, messages)
	}
}

// firstOfType returns the first message of type M.
func firstOfType[M protocol.Message](messages []protocol.Message) (m M, found bool) {
	for _, candidate := range messages {
		if m, found = candidate.(M); found {
			return m, true
		}
	}
	return m, false
}
