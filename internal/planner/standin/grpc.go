package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	xdsorca "github.com/cncf/xds/go/xds/data/orca/v3"
	orca "github.com/cncf/xds/go/xds/service/orca/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"

	"mulleinwood/internal/planner/xds"
)

// Dial opens a gRPC connection to a planner; nil credentials stand for none.
func Dial(planner string, creds credentials.TransportCredentials) (*grpc.ClientConn, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+planner, grpc.WithTransportCredentials(creds))
}

// ProxyNode is the node of a proxy.
func ProxyNode(number int, zone string, rate float64) *core.Node {
	fields, _ := structpb.NewStruct(map[string]any{"requests_per_second": rate, "fresh": true}) // of kinds that always fit
	return &core.Node{Id: fmt.Sprintf("proxy/%d", number), Locality: &core.Locality{Zone: zone}, Metadata: fields}
}

// CollectorNode is the node of a zone's collector.
func CollectorNode(zone string) *core.Node { return &core.Node{Id: "collector/" + zone} }

// GRPCProxy takes its assignments by gRPC, and answers them.
type GRPCProxy struct {
	Number int
	stateMonitor
	client    *grpc.ClientConn
	stream    discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	loads     load.LoadReportingService_StreamLoadStatsClient
	ctx       context.Context // of its streams
	cancel    context.CancelFunc
	node      *core.Node
	classes   []string
	onMessage func(*discovery.DiscoveryResponse)
	stalled   bool   // it reads nothing
	rejection string // answer with this error, while it is set
	done      chan struct{}
}

// JoinGRPC dials a planner and joins it for all classes. Heed is given each message once that is in force; nil: nobody is.
func JoinGRPC(planner string, number int, zone string, rate float64, classes []string, creds credentials.TransportCredentials,
	onMessage func(*discovery.DiscoveryResponse)) (*GRPCProxy, error) {
	client, err := Dial(planner, creds)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &GRPCProxy{Number: number, stateMonitor: newStateMonitor(), client: client, ctx: ctx, cancel: cancel,
		node: ProxyNode(number, zone, rate), classes: classes,
		onMessage: onMessage, done: make(chan struct{})}
	if p.stream, err = discovery.NewAggregatedDiscoveryServiceClient(client).StreamAggregatedResources(ctx); err == nil {
		err = p.stream.Send(&discovery.DiscoveryRequest{Node: p.node, TypeUrl: xds.EndpointsTypeURL, ResourceNames: classes})
	}
	if err != nil {
		cancel()
		client.Close()
		return nil, err
	}
	go p.readLoop()
	return p, nil
}

// Reject makes the proxy answer what it is sent with an error, until it is told the empty one.
func (p *GRPCProxy) Reject(message string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejection = message
}

// Stall makes the proxy read nothing more until it is told to go on, as if its process stood still.
func (p *GRPCProxy) Stall(stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = stalled
	p.changed.Broadcast()
}

// Close leaves the planner and waits for the reader.
func (p *GRPCProxy) Close() {
	p.Stall(false)
	p.cancel()
	p.client.Close()
	<-p.done
}

// Send writes a request on the stream of assignments. It is for tests of what a proxy should not say.
func (p *GRPCProxy) Send(r *discovery.DiscoveryRequest) error { return p.stream.Send(r) }

func (p *GRPCProxy) readLoop() {
	defer close(p.done)
	for {
		p.mu.Lock()
		for p.stalled {
			p.changed.Wait()
		}
		p.mu.Unlock()
		r, err := p.stream.Recv()
		if err != nil {
			p.update(func(s *State) { s.Closed = err })
			return
		}
		p.mu.Lock()
		rejection := p.rejection
		p.mu.Unlock()
		response := &discovery.DiscoveryRequest{TypeUrl: r.GetTypeUrl(), ResourceNames: p.classes,
			VersionInfo: r.GetVersionInfo(), ResponseNonce: r.GetNonce()}
		if rejection == "" {
			p.update(func(s *State) { err = Apply(s, r) })
		}
		if rejection != "" || err != nil {
			response.ErrorDetail = &statuspb.Status{Code: 3, Message: rejection}
			p.update(func(s *State) { s.Rejected++ })
		}
		if p.onMessage != nil {
			p.onMessage(r)
		}
		p.stream.Send(response) // of a stream that has ended meanwhile, whose end the next Recv tells
	}
}

// Apply takes a message into what a proxy holds. The table is that of the first class in it; all have the same servers.
func Apply(s *State, r *discovery.DiscoveryResponse) error {
	for i, resource := range r.GetResources() {
		var a endpoint.ClusterLoadAssignment
		if err := resource.UnmarshalTo(&a); err != nil {
			return err
		}
		rows, excluded, gate := xds.ParseAssignment(&a, false)
		if i == 0 {
			s.Table, s.Excluded = map[string]float64{}, map[string]bool{}
			for _, row := range rows {
				s.Table[row.Server] = row.Weight / xds.MaxWeight
			}
			for _, name := range excluded {
				s.Excluded[name] = true
			}
			s.Replaced++
		}
		if gate != nil {
			s.Levels[a.GetClusterName()] = gate.Level
		}
	}
	s.Messages++
	return nil
}

// SendLoad writes a report of load as it is. The first on a stream names the node.
func (p *GRPCProxy) SendLoad(r *load.LoadStatsRequest) error {
	if p.loads == nil {
		s, err := load.NewLoadReportingServiceClient(p.client).StreamLoadStats(p.ctx)
		if err != nil {
			return err
		}
		if err := s.Send(&load.LoadStatsRequest{Node: p.node}); err != nil {
			return err
		}
		p.loads = s
	}
	return p.loads.Send(r)
}

// EndLoad ends the stream of reports; the next report begins another.
func (p *GRPCProxy) EndLoad() error {
	if p.loads == nil {
		return nil
	}
	return p.loads.CloseSend()
}

// AwaitLoad waits until the planner has taken all reports of a stream that was ended.
func (p *GRPCProxy) AwaitLoad() error {
	if p.loads == nil {
		return nil
	}
	for {
		if _, err := p.loads.Recv(); errors.Is(err, io.EOF) {
			p.loads = nil
			return nil
		} else if err != nil {
			return err
		}
	}
}

// ReportUsage reports what came to the proxy of a class.
func (p *GRPCProxy) ReportUsage(class string, tries, failed uint64, span time.Duration) error {
	return p.SendLoad(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: class,
		LoadReportInterval: durationpb.New(span), UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{
			{TotalIssuedRequests: tries, TotalErrorRequests: failed, TotalSuccessfulRequests: tries - min(tries, failed)}}}}})
}

// GRPCCollector reports what a zone's proxies meet at servers.
type GRPCCollector struct {
	client *grpc.ClientConn
	stream load.LoadReportingService_StreamLoadStatsClient
	cancel context.CancelFunc
	node   *core.Node
	Answer *load.LoadStatsResponse // the planner's first
}

// NewGRPCCollector dials a planner, states its zone and waits for the planner's answer.
func NewGRPCCollector(planner, zone string, creds credentials.TransportCredentials) (*GRPCCollector, error) {
	client, err := Dial(planner, creds)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &GRPCCollector{client: client, cancel: cancel, node: CollectorNode(zone)}
	if c.stream, err = load.NewLoadReportingServiceClient(client).StreamLoadStats(ctx); err == nil {
		err = c.stream.Send(&load.LoadStatsRequest{Node: c.node})
	}
	if err == nil {
		c.Answer, err = c.stream.Recv()
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Send writes a report as it is.
func (c *GRPCCollector) Send(r *load.LoadStatsRequest) error { return c.stream.Send(r) }

// Report tells what the zone's proxies met at a server.
func (c *GRPCCollector) Report(server string, tries, failed int, mean, span float64) error {
	return c.stream.Send(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: "all",
		LoadReportInterval: durationpb.New(time.Duration(span * float64(time.Millisecond))), UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{
			{UpstreamEndpointStats: []*endpoint.UpstreamEndpointStats{EndpointStats(server, tries, failed, mean)}}}}}})
}

// EndpointStats is what was met at one server.
func EndpointStats(server string, tries, failed int, mean float64) *endpoint.UpstreamEndpointStats {
	answered := uint64(max(0, tries-failed))
	return &endpoint.UpstreamEndpointStats{Metadata: &structpb.Struct{Fields: map[string]*structpb.Value{"id": structpb.NewStringValue(server)}},
		TotalIssuedRequests: uint64(tries), TotalErrorRequests: uint64(failed), TotalSuccessfulRequests: answered,
		LoadMetricStats: []*endpoint.EndpointLoadMetricStats{{MetricName: xds.LatencyMetric,
			NumRequestsFinishedWithMetric: answered,
			TotalMetricValue:              mean * float64(answered)}}}
}

// Close ends the connection.
func (c *GRPCCollector) Close() {
	c.cancel()
	c.client.Close()
}

// GRPCServer answers probes by grpc.health.v1 and ORCA.
type GRPCServer struct {
	healthpb.UnimplementedHealthServer
	orca.UnimplementedOpenRcaServiceServer
	ln     net.Listener
	server *grpc.Server
	mu     sync.Mutex
	status healthpb.HealthCheckResponse_ServingStatus
	report *xdsorca.OrcaLoadReport // nil: the stream stalls
	probes int
}

// NewGRPCServer starts one on the address. It serves, and reports a load.
func NewGRPCServer(address string) (*GRPCServer, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &GRPCServer{ln: ln, server: grpc.NewServer(), status: healthpb.HealthCheckResponse_SERVING,
		report: &xdsorca.OrcaLoadReport{ApplicationUtilization: 0.1, NamedMetrics: map[string]float64{"inflight": 0}}}
	healthpb.RegisterHealthServer(s.server, s)
	orca.RegisterOpenRcaServiceServer(s.server, s)
	go s.server.Serve(ln)
	return s, nil
}

// Addr is the address that it listens on.
func (s *GRPCServer) Addr() string { return s.ln.Addr().String() }

// Set says how probes are answered from now on; a report of nil lets the stream of reports stall.
func (s *GRPCServer) Set(status healthpb.HealthCheckResponse_ServingStatus, report *xdsorca.OrcaLoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.report = status, report
}

// Probed is how many probes have come.
func (s *GRPCServer) Probed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// Check implements the health service.
func (s *GRPCServer) Check(context.Context, *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes++
	return &healthpb.HealthCheckResponse{Status: s.status}, nil
}

// StreamCoreMetrics implements ORCA's service for reports out of band.
func (s *GRPCServer) StreamCoreMetrics(r *orca.OrcaLoadReportRequest, out orca.OpenRcaService_StreamCoreMetricsServer) error {
	if r.GetReportInterval().AsDuration() <= 0 {
		return errors.New("no interval")
	}
	s.mu.Lock()
	report := s.report
	s.mu.Unlock()
	if report == nil {
		<-out.Context().Done()
		return nil
	}
	return out.Send(report)
}

// Close ends it at once.
func (s *GRPCServer) Close() { s.server.Stop() }
