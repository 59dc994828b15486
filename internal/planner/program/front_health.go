package program

import (
	"context"

	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/transport"
)

// Check implements the health service: the planner serves once it can make orders, as a heartbeat is answered then.
func (f *frontend) Check(ctx context.Context, _ *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	p := &heartbeatPeer{readOnlyPeer: readOnlyPeer{id: transport.NextID()}, answers: make(chan bool, 1)}
	f.post(routing.MessageReceived{Peer: p, Message: protocol.Heartbeat{}})
	defer f.post(routing.Disconnected{Peer: p})
	select {
	case serving := <-p.answers:
		if serving {
			return &healthpb.HealthCheckResponse{Status: healthpb.HealthCheckResponse_SERVING}, nil
		}
		return &healthpb.HealthCheckResponse{Status: healthpb.HealthCheckResponse_NOT_SERVING}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// heartbeatPeer asks once whether orders can be made.
type heartbeatPeer struct {
	readOnlyPeer
	answers chan bool
}

// AnswerHeartbeat implements routing.Peer.
func (p *heartbeatPeer) AnswerHeartbeat() error {
	p.reply(true)
	return nil
}

// DeferHeartbeat implements routing.Peer.
func (p *heartbeatPeer) DeferHeartbeat() { p.reply(false) }

// reply hands on the first answer; later ones are dropped.
func (p *heartbeatPeer) reply(serving bool) {
	select {
	case p.answers <- serving:
	default:
	}
}
