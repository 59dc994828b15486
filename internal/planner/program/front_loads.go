package program

import (
	"errors"
	"fmt"
	"io"

	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/transport"
	"mulleinwood/internal/planner/xds"
)

// StreamLoadStats implements the load reporting service.
func (f *frontend) StreamLoadStats(s load.LoadReportingService_StreamLoadStatsServer) error {
	conn, from, err := f.callerConn(s.Context())
	if err != nil {
		return err
	}
	stream := &loadStream{frontend: f, conn: conn, from: from, machine: xds.NewLoadStream(f.xdsConfig),
		peer: &readOnlyPeer{id: transport.NextID()}}
	defer stream.disconnect()
	for {
		request, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		update, err := stream.machine.HandleRequest(request)
		if err != nil {
			f.peers.countProblem("gRPC stream ended", conn.Remote(), err)
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if err := stream.admit(); err != nil {
			return err
		}
		if update.Response != nil {
			if err := s.Send(update.Response); err != nil {
				return err
			}
		}
		stream.forward(update)
	}
}

// loadStream is a stream of load reports.
type loadStream struct {
	frontend *frontend
	conn     *transport.Conn
	from     *peer.Peer
	machine  *xds.LoadStream
	peer     *readOnlyPeer
	admitted bool // the peer has identified itself and is authorized
}

// disconnect reports the stream's end to routing.
func (s *loadStream) disconnect() {
	if s.admitted {
		s.frontend.post(routing.Disconnected{Peer: s.peer})
	}
}

// admit authorizes the peer once, and marks a collector's connection as identified.
func (s *loadStream) admit() error {
	if s.admitted {
		return nil
	}
	identity, _ := s.machine.Identity()
	if err := s.frontend.authorize(s.from, identity); err != nil {
		return err
	}
	s.admitted = true
	if identity.Role == xds.Collector {
		s.conn.Promote(transport.Identified)
	}
	return nil
}

// forward posts the contents of a message to routing.
func (s *loadStream) forward(update xds.LoadUpdate) {
	f := s.frontend
	for _, invalid := range update.Invalid {
		f.peers.countProblem("line not used", s.conn.Remote(), invalid)
	}
	identity, _ := s.machine.Identity()
	if identity.Role == xds.Proxy && len(update.Messages) > 0 && !f.hasAssignmentStream(s.conn, identity.Proxy) {
		// Rejects load reports from a superseded stream, and those that a proxy sends for another one.
		f.peers.countProblem("line not used", s.conn.Remote(),
			fmt.Errorf("load of proxy %d, which has no assignments here: %w", identity.Proxy, errNotPermitted))
		return
	}
	for _, message := range update.Messages {
		f.post(routing.MessageReceived{Peer: s.peer, Message: message})
	}
}

// readOnlyPeer is a peer that only sends and receives no assignments.
type readOnlyPeer struct{ id uint64 }

// ID implements routing.Peer.
func (p *readOnlyPeer) ID() uint64 { return p.id }

// Assign implements routing.Peer.
func (p *readOnlyPeer) Assign(protocol.Assignment) error { return errNotPermitted }

// AnswerHeartbeat implements routing.Peer.
func (p *readOnlyPeer) AnswerHeartbeat() error { return nil }

// DeferHeartbeat implements routing.Peer.
func (p *readOnlyPeer) DeferHeartbeat() {}

// Close implements routing.Peer.
func (p *readOnlyPeer) Close(error) {}
