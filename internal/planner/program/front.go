package program

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/internal/planner/transport"
	"mulleinwood/internal/planner/xds"
)

// Bounds of the gRPC front. They bound memory and descriptors as those of lines do.
const (
	streamsMost  = 16       // of one connection
	headersMost  = 16 << 10 // bytes of a stream's headers
	pingsApart   = 5 * time.Second
	unreadMost   = 2 << 20 // bytes that may wait for a stream that doesn't read
	windowSize   = 64 << 10
	readBuffer   = 4 << 10
	foreverPings = time.Duration(math.MaxInt64) // a silent peer keeps its stream: it is not asked whether it lives
)

// front serves proxies and collectors by gRPC. It reads and writes messages; what they mean is xds's affair.
type front struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	load.UnimplementedLoadReportingServiceServer
	healthpb.UnimplementedHealthServer

	facts  xds.Facts
	roles  []options.Role
	peers  *peers
	post   func(routing.Event)
	now    func() float64
	server *grpc.Server
	handed handedConns

	mu    sync.Mutex
	conns map[string]*transport.Conn // by the peer's address
	holds map[held]int               // assignment streams under way
}

// held is a proxy on a connection.
type held struct {
	conn  *transport.Conn
	proxy int
}

// handedConns is the listener that the gRPC server accepts from: what the one listener has handed over.
type handedConns struct {
	addr  net.Addr
	conns chan net.Conn
	ctx   context.Context
}

// Accept implements net.Listener.
func (h handedConns) Accept() (net.Conn, error) {
	select {
	case nc := <-h.conns:
		return nc, nil
	case <-h.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h handedConns) Close() error { return nil }

// Addr implements net.Listener.
func (h handedConns) Addr() net.Addr { return h.addr }

// newFront returns a front that serves once serve is called.
func newFront(ctx context.Context, set settings.Settings, own options.GRPC, p *peers, addr net.Addr, keys *keys) *front {
	f := &front{roles: own.TLS.Roles, peers: p, post: p.post, now: clock(), conns: map[string]*transport.Conn{}, holds: map[held]int{},
		facts:  xdsFacts(set),
		handed: handedConns{addr: addr, conns: make(chan net.Conn), ctx: ctx}}
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(protocol.LineMost), grpc.MaxConcurrentStreams(streamsMost), grpc.MaxHeaderListSize(headersMost),
		grpc.ConnectionTimeout(joinWithin), grpc.StaticStreamWindowSize(windowSize), grpc.ReadBufferSize(readBuffer),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingsApart, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: foreverPings})}
	if keys != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(keys.server())))
	}
	f.server = grpc.NewServer(opts...)
	discovery.RegisterAggregatedDiscoveryServiceServer(f.server, f)
	load.RegisterLoadReportingServiceServer(f.server, f)
	healthpb.RegisterHealthServer(f.server, f)
	return f
}

// xdsFacts are the facts that the machines of the gRPC front are given.
func xdsFacts(set settings.Settings) xds.Facts {
	f := xds.Facts{Zones: set.ZoneNames, Rates: set.Rates(), Period: set.Rules.ReportPeriod, Within: bounds(set)}
	for _, class := range set.Rules.Classes {
		f.Classes = append(f.Classes, class.Name)
	}
	return f
}

// take is handed a connection by the listener.
func (f *front) take(c *transport.Conn, nc net.Conn) {
	f.mu.Lock()
	f.conns[c.Remote()] = c
	f.mu.Unlock()
	select {
	case f.handed.conns <- nc:
	case <-f.handed.ctx.Done():
		nc.Close()
	}
}

// gone forgets a connection.
func (f *front) gone(c *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns[c.Remote()] == c {
		delete(f.conns, c.Remote())
	}
}

// serve runs until the context ends.
func (f *front) serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, f.server.Stop)
	defer stop()
	f.server.Serve(f.handed) // its error says only that the listener is closed
}

// caller finds the connection of a call.
func (f *front) caller(ctx context.Context) (*transport.Conn, *peer.Peer, error) {
	p, _ := peer.FromContext(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if p == nil || f.conns[p.Addr.String()] == nil {
		return nil, nil, status.Error(codes.Unavailable, "the connection is gone")
	}
	return f.conns[p.Addr.String()], p, nil
}

// may says whether a client's certificate lets it be what its node says.
func (f *front) may(p *peer.Peer, who xds.Identity) error {
	if len(f.roles) == 0 {
		return nil
	}
	role := "proxy"
	if who.Role == xds.Collector {
		role = "collector"
	}
	if info, is := p.AuthInfo.(credentials.TLSInfo); is && len(info.State.PeerCertificates) > 0 {
		for _, r := range f.roles {
			if r.Role == role && named(info.State.PeerCertificates[0], r.Name) {
				return nil
			}
		}
	}
	return status.Errorf(codes.PermissionDenied, "no certificate that lets this client be a %s", role)
}

// named says whether a certificate has a DNS name, or one right below it where the pattern begins with "*.".
func named(c *x509.Certificate, pattern string) bool {
	return slices.ContainsFunc(c.DNSNames, func(name string) bool {
		if base, wild := strings.CutPrefix(pattern, "*"); wild {
			_, rest, found := strings.Cut(name, ".")
			return found && "."+rest == base
		}
		return name == pattern
	})
}

// fed is a message that was received, to be fed to the stream's machine.
type fed func() (said []protocol.Message, voids []xds.Void, err error)

// StreamAggregatedResources implements the discovery service: state of the world.
func (f *front) StreamAggregatedResources(s discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	machine := xds.NewAssignments(f.facts, false)
	return f.assign(s, machine, func() (fed, error) {
		r, err := s.Recv()
		return func() ([]protocol.Message, []xds.Void, error) { return machine.Request(f.now(), r) }, err
	})
}

// DeltaAggregatedResources implements the discovery service: incremental.
func (f *front) DeltaAggregatedResources(s discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	machine := xds.NewAssignments(f.facts, true)
	return f.assign(s, machine, func() (fed, error) {
		r, err := s.Recv()
		return func() ([]protocol.Message, []xds.Void, error) { return machine.DeltaRequest(f.now(), r) }, err
	})
}

// assign serves a stream of assignments. Beside it run one goroutine that receives and one that sends; both end with the
// stream, which the handler's return closes.
func (f *front) assign(s grpc.ServerStream, machine *xds.Assignments, receive func() (fed, error)) error {
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
		f.post(routing.Ended{Peer: p})
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
func (f *front) say(p routing.Peer, said []protocol.Message) {
	for _, m := range said {
		f.post(routing.Said{Peer: p, Message: m})
	}
}

// wakeEvery is how often a stream's waits are looked at.
const wakeEvery = 250 * time.Millisecond

// receive reads a stream of assignments until it ends.
func (f *front) receive(conn *transport.Conn, from *peer.Peer, p *xdsPeer, receive func() (fed, error)) error {
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
			who, _ := p.machine.Who()
			if err := f.may(from, who); err != nil {
				return err
			}
			conn.Rise(transport.Known)
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

func (f *front) hold(conn *transport.Conn, proxy, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := held{conn, proxy}
	if f.holds[key] += by; f.holds[key] <= 0 {
		delete(f.holds, key)
	}
}

func (f *front) holding(conn *transport.Conn, proxy int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds[held{conn, proxy}] > 0
}

// StreamLoadStats implements the load reporting service.
func (f *front) StreamLoadStats(s load.LoadReportingService_StreamLoadStatsServer) error {
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
			f.peers.count("line not used", conn.Remote(), fmt.Errorf("load of proxy %d, which has no assignments here: %w", who.Proxy, errRole))
			continue
		}
		for _, m := range said {
			f.post(routing.Said{Peer: p, Message: m})
		}
	}
}

// Check implements the health service: the planner serves once it can make orders, as a heartbeat is answered then.
func (f *front) Check(ctx context.Context, _ *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	p := &beatPeer{mutePeer: mutePeer{id: transport.NextID()}, said: make(chan bool, 1)}
	f.post(routing.Said{Peer: p, Message: protocol.Heartbeat{}})
	defer f.post(routing.Ended{Peer: p})
	select {
	case serving := <-p.said:
		if serving {
			return &healthpb.HealthCheckResponse{Status: healthpb.HealthCheckResponse_SERVING}, nil
		}
		return &healthpb.HealthCheckResponse{Status: healthpb.HealthCheckResponse_NOT_SERVING}, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
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

// beatPeer asks once whether orders can be made.
type beatPeer struct {
	mutePeer
	said chan bool
}

// Beat implements routing.Peer.
func (p *beatPeer) Beat() error {
	p.answer(true)
	return nil
}

// Await implements routing.Peer.
func (p *beatPeer) Await() { p.answer(false) }

func (p *beatPeer) answer(serving bool) {
	select {
	case p.said <- serving:
	default:
	}
}

// xdsPeer is a proxy's stream of assignments.
type xdsPeer struct {
	id     uint64
	now    func() float64
	cancel context.CancelFunc
	wake   chan struct{}

	mu      sync.Mutex
	machine *xds.Assignments
	queue   []proto.Message
	unread  int // bytes in the queue
	ended   error
	in      bool // it has joined
}

// ID implements routing.Peer.
func (p *xdsPeer) ID() uint64 { return p.id }

// Beat implements routing.Peer: this protocol has no heartbeat on a stream.
func (p *xdsPeer) Beat() error { return nil }

// Await implements routing.Peer.
func (p *xdsPeer) Await() {}

// Order implements routing.Peer. It never waits: a stream that leaves too much unread ends, and it alone.
func (p *xdsPeer) Order(o protocol.Orders) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended != nil {
		return p.ended
	}
	m, err := p.machine.Order(p.now(), o)
	if err != nil || m == nil {
		return err
	}
	if p.unread += proto.Size(m); p.unread > unreadMost {
		p.end(transport.ErrOverflow)
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
	p.end(reason)
}

func (p *xdsPeer) end(reason error) {
	if p.ended == nil {
		p.ended = reason
		p.cancel()
	}
}

// feed feeds the machine.
func (p *xdsPeer) feed(feed fed) ([]protocol.Message, []xds.Void, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return feed()
}

// wakes is what the machine says once a wait is over.
func (p *xdsPeer) wakes() []protocol.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Wake(p.now())
}

// reason is why the planner ended the stream; nil: it didn't.
func (p *xdsPeer) reason() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *xdsPeer) join() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.in = true
}

// joined is who the stream is of, once routing has been told.
func (p *xdsPeer) joined() (xds.Identity, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	who, _ := p.machine.Who()
	return who, p.in
}

// write sends what waits until the stream ends.
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
			p.queue, p.unread = p.queue[1:], p.unread-proto.Size(m)
			p.mu.Unlock()
		}
	}
}
