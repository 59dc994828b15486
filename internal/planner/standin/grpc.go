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

// Dial opens a gRPC connection to a planner. With nil credentials the connection is unencrypted.
func Dial(planner string, creds credentials.TransportCredentials) (*grpc.ClientConn, error) {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+planner, grpc.WithTransportCredentials(creds))
}

// ProxyNode returns the xDS node of a proxy. The rate is in requests per second.
func ProxyNode(number int, zone string, rate float64) *core.Node {
	// The error is always nil: both values have types that a Struct can hold.
	fields, _ := structpb.NewStruct(map[string]any{"requests_per_second": rate, "fresh": true})
	return &core.Node{Id: fmt.Sprintf("proxy/%d", number), Locality: &core.Locality{Zone: zone}, Metadata: fields}
}

// CollectorNode returns the xDS node of a zone's collector.
func CollectorNode(zone string) *core.Node { return &core.Node{Id: "collector/" + zone} }

// GRPCProxy is a proxy that receives its assignments over gRPC and acknowledges or rejects them.
type GRPCProxy struct {
	Number int
	stateMonitor
	client    *grpc.ClientConn
	stream    discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	loads     load.LoadReportingService_StreamLoadStatsClient
	ctx       context.Context // context of the streams
	cancel    context.CancelFunc
	node      *core.Node
	classes   []string
	onMessage func(*discovery.DiscoveryResponse)
	stalled   bool   // the reader is paused
	rejection string // error message that rejects assignments; empty: none are rejected
	done      chan struct{}
}

// JoinGRPC dials a planner and subscribes to all classes. If onMessage is not nil, it is called with each message once the
// message was applied or rejected.
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

// Reject makes the proxy reject assignments with the error message. An empty message ends this.
func (p *GRPCProxy) Reject(message string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejection = message
}

// Stall pauses or resumes the proxy's reader. A paused proxy behaves like a suspended process.
func (p *GRPCProxy) Stall(stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = stalled
	p.changed.Broadcast()
}

// Close closes the connection and waits for the reader to end.
func (p *GRPCProxy) Close() {
	p.Stall(false)
	p.cancel()
	p.client.Close()
	<-p.done
}

// Send sends a request on the assignment stream. Tests use it for requests that a correct proxy never sends.
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
		p.stream.Send(response) // an error is ignored: the next Recv returns the stream's error
	}
}

// Apply applies a message to the state of a proxy. The table is taken from the first class in the message, since all classes
// have the same servers.
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

// SendLoad sends a load report unchanged. The first report on a stream is preceded by the node.
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

// EndLoad closes the sending side of the load report stream. AwaitLoad must follow before the next report.
func (p *GRPCProxy) EndLoad() error {
	if p.loads == nil {
		return nil
	}
	return p.loads.CloseSend()
}

// AwaitLoad waits until the planner has handled all reports of a stream closed by EndLoad. The next report opens a new stream.
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

// ReportUsage reports the proxy's attempts and failures in a class during the time span.
func (p *GRPCProxy) ReportUsage(class string, tries, failed uint64, span time.Duration) error {
	return p.SendLoad(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: class,
		LoadReportInterval: durationpb.New(span), UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{
			{TotalIssuedRequests: tries, TotalErrorRequests: failed, TotalSuccessfulRequests: tries - min(tries, failed)}}}}})
}

// GRPCCollector reports over gRPC how servers responded to a zone's proxies.
type GRPCCollector struct {
	client *grpc.ClientConn
	stream load.LoadReportingService_StreamLoadStatsClient
	cancel context.CancelFunc
	node   *core.Node
	Answer *load.LoadStatsResponse // the planner's first response
}

// NewGRPCCollector dials a planner, sends the zone's node and waits for the planner's first response.
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

// Send sends a report unchanged.
func (c *GRPCCollector) Send(r *load.LoadStatsRequest) error { return c.stream.Send(r) }

// Report sends the zone's statistics of one server: attempts, failures, and the mean latency and time span in milliseconds.
func (c *GRPCCollector) Report(server string, tries, failed int, mean, span float64) error {
	return c.stream.Send(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: "all",
		LoadReportInterval: durationpb.New(time.Duration(span * float64(time.Millisecond))),
		UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{
			{UpstreamEndpointStats: []*endpoint.UpstreamEndpointStats{EndpointStats(server, tries, failed, mean)}}}}}})
}

// EndpointStats returns the statistics of one server. The mean latency is in milliseconds.
func EndpointStats(server string, tries, failed int, mean float64) *endpoint.UpstreamEndpointStats {
	answered := uint64(max(0, tries-failed))
	return &endpoint.UpstreamEndpointStats{
		Metadata:            &structpb.Struct{Fields: map[string]*structpb.Value{"id": structpb.NewStringValue(server)}},
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

// GRPCServer is a server that answers probes of grpc.health.v1 and ORCA.
type GRPCServer struct {
	healthpb.UnimplementedHealthServer
	orca.UnimplementedOpenRcaServiceServer
	ln     net.Listener
	server *grpc.Server
	mu     sync.Mutex
	status healthpb.HealthCheckResponse_ServingStatus
	report *xdsorca.OrcaLoadReport // nil: report streams stay open without a report
	probes int
}

// NewGRPCServer starts a server on the address. Its status is SERVING, and it reports a utilization of 0.1.
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

// Addr returns the address on which the server listens.
func (s *GRPCServer) Addr() string { return s.ln.Addr().String() }

// Set sets the status and the load report that answer later probes. With a nil report, report streams stay open without one.
func (s *GRPCServer) Set(status healthpb.HealthCheckResponse_ServingStatus, report *xdsorca.OrcaLoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.report = status, report
}

// Probed returns the number of health checks received.
func (s *GRPCServer) Probed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// Check implements healthpb.HealthServer.
func (s *GRPCServer) Check(context.Context, *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes++
	return &healthpb.HealthCheckResponse{Status: s.status}, nil
}

// StreamCoreMetrics implements ORCA's service for out-of-band load reports. It sends one report.
func (s *GRPCServer) StreamCoreMetrics(r *orca.OrcaLoadReportRequest, out orca.OpenRcaService_StreamCoreMetricsServer) error {
	if r.GetReportInterval().AsDuration() <= 0 {
		return errors.New("report interval is not positive")
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

// Close stops the server immediately.
func (s *GRPCServer) Close() { s.server.Stop() }
