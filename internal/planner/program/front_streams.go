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

// fed is a message that was received, to be fed to the stream's machine.
type fed func() (said []protocol.Message, voids []xds.InvalidPartError, err error)

// StreamAggregatedResources implements the discovery service: state of the world.
func (f *frontend) StreamAggregatedResources(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	machine := xds.NewAssignmentStream(f.facts, false)
	return f.assign(s, machine, func() (fed, error) {
		r, err := s.Recv()
		return func() ([]protocol.Message, []xds.InvalidPartError, error) { return machine.HandleRequest(f.now(), r) }, err
	})
}

// DeltaAggregatedResources implements the discovery service: incremental.
func (f *frontend) DeltaAggregatedResources(s discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	machine := xds.NewAssignmentStream(f.facts, true)
	return f.assign(s, machine, func() (fed, error) {
		r, err := s.Recv()
		return func() ([]protocol.Message, []xds.InvalidPartError, error) {
			return machine.HandleDeltaRequest(f.now(), r)
		}, err
	})
}

// assign serves a stream of assignments. Beside it run one goroutine that receives and one that sends; both end with the
// stream, which the handler's return closes.
func (f *frontend) assign(s grpc.ServerStream, machine *xds.AssignmentStream, receive func() (fed, error)) error {
	conn, from, err := f.caller(s.Context())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	p := &xdsPeer{id: transport.NextID(), machine: machine, now: f.now, cancel: cancel, wake: make(chan struct{}, 1)}
	go p.write(ctx, s)
	received := make(chan error, 1)
	go func() { received <- f.receive(conn, from, p, receive) }()
	alarm := time.NewTicker(wakeEvery)
	defer alarm.Stop()
	var reason error
	for ended := false; !ended; {
		select {
		case reason = <-received:
			ended = true
		case <-ctx.Done(): // by the planner, or with the connection
			ended = true
		case <-alarm.C:
			f.say(p, p.wakes())
		}
	}
	own := p.reason()
	p.Close(io.EOF) // orders that come now reach nobody
	if who, joined := p.joined(); joined {
		f.post(routing.Disconnected{Peer: p})
		f.hold(conn, who.Proxy, -1)
	}
	switch {
	case own != nil:
		f.peers.count("gRPC stream ended", conn.Remote(), own)
		return status.Error(codes.Aborted, own.Error())
	case reason == nil || errors.Is(reason, io.EOF) || status.Code(reason) == codes.Canceled:
		return nil
	}
	f.peers.count("gRPC stream ended", conn.Remote(), reason)
	return reason
}

// say tells routing what a peer says.
func (f *frontend) say(p routing.Peer, said []protocol.Message) {
	for _, m := range said {
		f.post(routing.MessageReceived{Peer: p, Message: m})
	}
}

// wakeEvery is how often a stream's waits are looked at.
const wakeEvery = 250 * time.Millisecond

// receive reads a stream of assignments until it ends.
func (f *frontend) receive(conn *transport.Conn, from *peer.Peer, p *xdsPeer, receive func() (fed, error)) error {
	for {
		feed, err := receive()
		if err != nil {
			return err
		}
		said, voids, bad := p.feed(feed)
		for _, v := range voids {
			f.peers.count("line not used", conn.Remote(), v)
		}
		if bad != nil {
			return status.Error(codes.InvalidArgument, bad.Error())
		}
		if _, joins := first[protocol.Attach](said); joins {
			who, _ := p.machine.Identity()
			if err := f.may(from, who); err != nil {
				return err
			}
			conn.Promote(transport.Identified)
			f.hold(conn, who.Proxy, 1)
			p.join()
		}
		f.say(p, said)
	}
}

// first finds a message of a type.
func first[M protocol.Message](said []protocol.Message) (m M, found bool) {
	for _, one := range said {
		if m, found = one.(M); found {
			return m, true
		}
	}
	return m, false
}
