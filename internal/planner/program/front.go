package program

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/internal/planner/transport"
	"mulleinwood/internal/planner/xds"
)

// Limits of the gRPC frontend. They bound memory and descriptors, like the limits of the line protocol.
const (
	maxStreamsPerConn = 16
	maxHeaderBytes    = 16 << 10 // of one stream's headers
	minPingInterval   = 5 * time.Second
	maxUnreadBytes    = 2 << 20 // most bytes queued for a stream whose peer doesn't read
	streamWindowBytes = 64 << 10
	readBufferBytes   = 4 << 10
	noServerPings     = time.Duration(math.MaxInt64) // the server sends no keepalive pings, so an idle peer keeps its stream
)

// frontend serves proxies and collectors by gRPC. It reads and writes the messages; package xds interprets them.
type frontend struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	load.UnimplementedLoadReportingServiceServer
	healthpb.UnimplementedHealthServer

	xdsConfig xds.Config
	roles     []options.Role
	peers     *peers
	post      func(routing.Event)
	now       func() float64
	server    *grpc.Server
	handoffs  handoffListener

	mu                sync.Mutex
	conns             map[string]*transport.Conn // by remote address
	assignmentStreams map[proxyConn]int          // number of open assignment streams
}

// newFrontend returns a frontend that serves once serve is called.
func newFrontend(ctx context.Context, set settings.Settings, grpcOptions options.GRPC, p *peers, addr net.Addr,
	certs *certificates) *frontend {
	f := &frontend{roles: grpcOptions.TLS.Roles, peers: p, post: p.post, now: clock(), conns: map[string]*transport.Conn{},
		assignmentStreams: map[proxyConn]int{},
		xdsConfig:         newXDSConfig(set),
		handoffs:          handoffListener{addr: addr, conns: make(chan net.Conn), ctx: ctx}}
	serverOptions := []grpc.ServerOption{grpc.MaxRecvMsgSize(protocol.MaxLineBytes), grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ConnectionTimeout(joinTimeout), grpc.StaticStreamWindowSize(streamWindowBytes), grpc.ReadBufferSize(readBufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: noServerPings})}
	if certs != nil {
		serverOptions = append(serverOptions, grpc.Creds(credentials.NewTLS(certs.serverConfig())))
	}
	f.server = grpc.NewServer(serverOptions...)
	discovery.RegisterAggregatedDiscoveryServiceServer(f.server, f)
	load.RegisterLoadReportingServiceServer(f.server, f)
	healthpb.RegisterHealthServer(f.server, f)
	return f
}

// newXDSConfig returns the configuration of the xds streams.
func newXDSConfig(set settings.Settings) xds.Config {
	f := xds.Config{Zones: set.ZoneNames, RateLevels: set.AdmitsByRate(), ReportPeriod: set.Rules.ReportPeriod,
		Bounds: messageBounds(set)}
	for _, class := range set.Rules.Classes {
		f.Classes = append(f.Classes, class.Name)
	}
	return f
}

// serve serves gRPC until ctx is done.
func (f *frontend) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.server.Stop)
	defer stop()
	f.server.Serve(f.handoffs) // the error only reports that the listener is closed
}
