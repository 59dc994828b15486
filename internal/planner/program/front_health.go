package program

import (
	"context"

	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/transport"
)

// Check implements the health service. The planner is serving once it can make assignments; heartbeats are answered from then
// on.
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

// heartbeatPeer is the sender of a single heartbeat, which routing answers if it can make assignments.
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

// reply passes on the first answer and drops later ones.
func (p *heartbeatPeer) reply(serving bool) {
	select {
	case p.answers <- serving:
	default:
	}
}
