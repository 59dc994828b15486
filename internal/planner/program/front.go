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

// Bounds of the gRPC front. They bound memory and descriptors as those of lines do.
const (
	maxStreamsPerConn = 16       // of one connection
	maxHeaderBytes    = 16 << 10 // bytes of a stream's headers
	minPingInterval   = 5 * time.Second
	maxUnreadBytes    = 2 << 20 // bytes that may wait for a stream that doesn't read
	streamWindowBytes = 64 << 10
	readBufferBytes   = 4 << 10
	noServerPings     = time.Duration(math.MaxInt64) // a silent peer keeps its stream: it is not asked whether it lives
)

// frontend serves proxies and collectors by gRPC. It reads and writes messages; what they mean is xds's affair.
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
	conns             map[string]*transport.Conn // by the peer's address
	assignmentStreams map[proxyConn]int          // assignment streams under way
}

// newFrontend returns a front that serves once serve is called.
func newFrontend(ctx context.Context, set settings.Settings, own options.GRPC, p *peers, addr net.Addr, keys *certificates) *frontend {
	f := &frontend{roles: own.TLS.Roles, peers: p, post: p.post, now: clock(), conns: map[string]*transport.Conn{},
		assignmentStreams: map[proxyConn]int{},
		xdsConfig:         newXDSConfig(set),
		handoffs:          handoffListener{addr: addr, conns: make(chan net.Conn), ctx: ctx}}
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(protocol.MaxLineBytes), grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ConnectionTimeout(joinTimeout), grpc.StaticStreamWindowSize(streamWindowBytes), grpc.ReadBufferSize(readBufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: noServerPings})}
	if keys != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(keys.serverConfig())))
	}
	f.server = grpc.NewServer(opts...)
	discovery.RegisterAggregatedDiscoveryServiceServer(f.server, f)
	load.RegisterLoadReportingServiceServer(f.server, f)
	healthpb.RegisterHealthServer(f.server, f)
	return f
}

// newXDSConfig are the facts that the machines of the gRPC front are given.
func newXDSConfig(set settings.Settings) xds.Config {
	f := xds.Config{Zones: set.ZoneNames, RateLevels: set.AdmitsByRate(), ReportPeriod: set.Rules.ReportPeriod, Bounds: messageBounds(set)}
	for _, class := range set.Rules.Classes {
		f.Classes = append(f.Classes, class.Name)
	}
	return f
}

// serve runs until the context ends.
func (f *frontend) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.server.Stop)
	defer stop()
	f.server.Serve(f.handoffs) // its error says only that the listener is closed
}
