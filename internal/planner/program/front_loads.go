package program

import (
	"errors"
	"fmt"
	"io"

	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
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
	machine, p := xds.NewLoads(f.facts), &mutePeer{id: transport.NextID()}
	known := false
	defer func() {
		if known {
			f.post(routing.Ended{Peer: p})
		}
	}()
	for {
		r, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		said, voids, answer, bad := machine.Request(r)
		if bad != nil {
			f.peers.count("gRPC stream ended", conn.Remote(), bad)
			return status.Error(codes.InvalidArgument, bad.Error())
		}
		who, _ := machine.Who()
		if !known {
			if err := f.may(from, who); err != nil {
				return err
			}
			if known = true; who.Role == xds.Collector {
				conn.Rise(transport.Known)
			}
		}
		if answer != nil {
			if err := s.Send(answer); err != nil {
				return err
			}
		}
		for _, v := range voids {
			f.peers.count("line not used", conn.Remote(), v)
		}
		if who.Role == xds.Proxy && len(said) > 0 && !f.holding(conn, who.Proxy) {
			// Guards against the load of a stream that has been replaced, and of one proxy in another's name.
			f.peers.count("line not used", conn.Remote(),
				fmt.Errorf("load of proxy %d, which has no assignments here: %w", who.Proxy, errRole))
			continue
		}
		for _, m := range said {
			f.post(routing.Reported{Peer: p, Message: m})
		}
	}
}

// mutePeer is a peer that nothing is written to.
type mutePeer struct{ id uint64 }

// ID implements routing.Peer.
func (p *mutePeer) ID() uint64 { return p.id }

// Order implements routing.Peer.
func (p *mutePeer) Order(protocol.Orders) error { return errRole }

// Beat implements routing.Peer.
func (p *mutePeer) Beat() error { return nil }

// Await implements routing.Peer.
func (p *mutePeer) Await() {}

// Close implements routing.Peer.
func (p *mutePeer) Close(error) {}
