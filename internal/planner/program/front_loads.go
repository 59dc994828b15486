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
	conn, from, err := f.caller(s.Context())
	if err != nil {
		return err
	}
	stream := &loadStream{frontend: f, conn: conn, from: from, machine: xds.NewLoadStream(f.facts),
		peer: &mutePeer{id: transport.NextID()}}
	defer stream.end()
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
			f.peers.count("gRPC stream ended", conn.Remote(), err)
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
		stream.post(update)
	}
}

// loadStream is a stream of load reports.
type loadStream struct {
	frontend *frontend
	conn     *transport.Conn
	from     *peer.Peer
	machine  *xds.LoadStream
	peer     *mutePeer
	known    bool // the peer has named itself and is admitted
}

// end tells the router that the peer is gone.
func (s *loadStream) end() {
	if s.known {
		s.frontend.post(routing.Disconnected{Peer: s.peer})
	}
}

// admit looks at the peer's name once, and keeps a collector's connection.
func (s *loadStream) admit() error {
	if s.known {
		return nil
	}
	who, _ := s.machine.Identity()
	if err := s.frontend.may(s.from, who); err != nil {
		return err
	}
	s.known = true
	if who.Role == xds.Collector {
		s.conn.Promote(transport.Identified)
	}
	return nil
}

// post hands what a message said to the router.
func (s *loadStream) post(update xds.LoadUpdate) {
	f := s.frontend
	for _, invalid := range update.Invalid {
		f.peers.count("line not used", s.conn.Remote(), invalid)
	}
	who, _ := s.machine.Identity()
	if who.Role == xds.Proxy && len(update.Messages) > 0 && !f.holding(s.conn, who.Proxy) {
		// Guards against the load of a stream that has been replaced, and of one proxy in another's name.
		f.peers.count("line not used", s.conn.Remote(),
			fmt.Errorf("load of proxy %d, which has no assignments here: %w", who.Proxy, errRole))
		return
	}
	for _, message := range update.Messages {
		f.post(routing.MessageReceived{Peer: s.peer, Message: message})
	}
}

// mutePeer is a peer that nothing is written to.
type mutePeer struct{ id uint64 }

// ID implements routing.Peer.
func (p *mutePeer) ID() uint64 { return p.id }

// Assign implements routing.Peer.
func (p *mutePeer) Assign(protocol.Assignment) error { return errRole }

// AnswerHeartbeat implements routing.Peer.
func (p *mutePeer) AnswerHeartbeat() error { return nil }

// DeferHeartbeat implements routing.Peer.
func (p *mutePeer) DeferHeartbeat() {}

// Close implements routing.Peer.
func (p *mutePeer) Close(error) {}
