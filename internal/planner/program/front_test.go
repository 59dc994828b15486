package program

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	xdsorca "github.com/cncf/xds/go/xds/data/orca/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/standin"
)

var classNames = []string{"lookup", "order"}

// startWithGRPC starts a planner with the gRPC frontend enabled.
func startWithGRPC(t *testing.T, cores int, change func(*fleet, *Config)) *fleet {
	return start(t, func(f *fleet, c *Config) {
		c.Options.GRPC = options.GRPC{Enabled: true, ProbeServers: true}
		c.Options.Cores = options.Cores{Count: cores, RestartDelayMS: 300}
		c.Limits.Cores = float64(cores)
		c.Settings.Rules.Proxies = 8 * cores
		if change != nil {
			change(f, c)
		}
	}, nil)
}

func (f *fleet) grpcProxy(number int, zone string, creds credentials.TransportCredentials) *standin.GRPCProxy {
	f.t.Helper()
	p, err := standin.JoinGRPC(f.planner, number, zone, 20, classNames, creds, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.close = append(f.close, p.Close)
	return p
}

// proxyReader is the state of a proxy that uses either protocol.
type proxyReader interface {
	Wait(func(standin.State) bool) standin.State
	State() standin.State
}

func (f *fleet) await(what string, p proxyReader, wanted func(standin.State) bool) standin.State {
	f.t.Helper()
	got := make(chan standin.State, 1)
	go func() { got <- p.Wait(wanted) }()
	select {
	case s := <-got:
		return s
	case <-time.After(testTimeout):
		f.t.Fatalf("%s: not within %v; held: %+v", what, testTimeout, p.State())
		return standin.State{}
	}
}

// TestBothProtocolsAtOneAddress checks, on one core and on two, that proxies on either protocol get tables and drains alike. A
// proxy that joins again by the other protocol is served only on its newer stream.
func TestBothProtocolsAtOneAddress(t *testing.T) {
	for _, cores := range []int{1, 2} {
		f := startWithGRPC(t, cores, nil)
		var all []proxyReader
		for i := range 4 {
			all = append(all, f.proxy(i, "north"), f.grpcProxy(4+i, "south", nil))
		}
		north := f.collector("north")
		south, err := standin.NewGRPCCollector(f.planner, "south", nil)
		if err != nil {
			t.Fatal(err)
		}
		f.close = append(f.close, south.Close)
		if got := south.Answer.GetLoadReportingInterval().AsDuration(); got != time.Second ||
			!south.Answer.GetReportEndpointGranularity() {
			t.Errorf("asked to report every %v: %v", got, south.Answer)
		}
		for _, id := range []string{"s-0", "s-1", "s-2", "s-3"} {
			north.Report(id, 20, 0, 50, 1000)
			if err := south.Report(id, 20, 0, 50, 1000); err != nil {
				t.Fatal(err)
			}
		}
		for _, p := range all {
			f.await("a table", p, func(s standin.State) bool { return s.Replaced > 0 && len(s.Table) > 0 })
		}
		f.phase("s-1", "draining")
		for _, p := range all {
			f.await("a table without the draining server", p, lacksServer("s-1"))
		}
		moved := f.grpcProxy(0, "north", nil)
		f.await("a table by the newer stream", moved, hasServers("s-0"))
		f.await("the end of the older one", all[0], func(s standin.State) bool { return s.Closed != nil })
		back := f.proxy(5, "south")
		f.await("a table by the newer stream", back, func(s standin.State) bool { return len(s.Table) > 0 })
		if s := f.await("the end of the older one", all[3],
			func(s standin.State) bool { return s.Closed != nil }); status.Code(s.Closed) != codes.Aborted {
			t.Errorf("the older stream ended with %v", s.Closed)
		}
		f.phase("s-3", "draining")
		f.await("drained there too", moved, lacksServer("s-3"))
		f.await("drained there too", back, lacksServer("s-3"))
		f.stop()
	}
}

// TestRefusedTableComesWhole checks that a rejected table is followed by a complete one, after a delay and not repeatedly.
func TestRefusedTableComesWhole(t *testing.T) {
	f := startWithGRPC(t, 1, nil)
	defer f.stop()
	p := f.grpcProxy(0, "north", nil)
	f.await("a table", p, hasServers("s-0"))
	p.Reject("cannot use it")
	f.phase("s-1", "draining")
	f.await("a refusal", p, func(s standin.State) bool { return s.Rejected > 0 })
	refused := time.Now()
	p.Reject("")
	f.await("the table again", p, lacksServer("s-1"))
	if took := time.Since(refused); took < 500*time.Millisecond {
		t.Errorf("the rejected table was sent again after %v", took)
	}
	if n := p.State().Rejected; n > 2 {
		t.Errorf("%d messages were refused", n)
	}
}

// TestUnidentifiedHTTP2Peers checks that each unidentified peer is disconnected within the join timeout, without effect on
// others.
func TestUnidentifiedHTTP2Peers(t *testing.T) {
	f := startWithGRPC(t, 1, nil)
	defer f.stop()
	p := f.grpcProxy(0, "north", nil)
	f.await("a table", p, hasServers("s-0"))
	const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	for name, data := range map[string]string{
		"nothing after the preface":  preface,
		"half a preface":             preface[:9],
		"garbage after the preface":  preface + strings.Repeat("garbage", 100),
		"HTTP/1.1 with a P":          "POST / HTTP/1.1\r\nHost: a\r\n\r\n",
		"HTTP/1.1":                   "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"a handshake without a cert": "\x16\x03\x01\x00\x05hello",
		"an endless frame":           preface + "\xff\xff\xff\x00\x00\x00\x00\x00\x01" + strings.Repeat("x", 1<<16),
	} {
		nc, err := net.Dial("tcp", f.planner)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(testTimeout))
		nc.Write([]byte(data))
		if _, err := io.Copy(io.Discard, nc); err != nil && os.IsTimeout(err) {
			t.Errorf("%s: not closed", name)
		}
		nc.Close()
	}
	// A client whose streams name an unknown proxy gets an error status.
	client, err := standin.Dial(f.planner, nil)
	if err != nil {
		t.Fatal(err)
	}
	for range 50 { // streams that are reset immediately
		ctx, cancel := context.WithCancel(context.Background())
		s, err := discovery.NewAggregatedDiscoveryServiceClient(client).StreamAggregatedResources(ctx)
		if err == nil {
			s.Send(&discovery.DiscoveryRequest{Node: standin.ProxyNode(99, "north", 1), TypeUrl: "x"})
		}
		cancel()
	}
	s, err := discovery.NewAggregatedDiscoveryServiceClient(client).StreamAggregatedResources(context.Background())
	if err == nil {
		if err = s.Send(&discovery.DiscoveryRequest{Node: standin.ProxyNode(99, "north", 1), TypeUrl: "x"}); err == nil {
			_, err = s.Recv()
		}
	}
	// The status is Unavailable if the join timeout was over.
	if code := status.Code(err); code != codes.InvalidArgument && code != codes.Unavailable {
		t.Errorf("an unknown proxy gets %v", err)
	}
	client.Close()
	f.phase("s-1", "draining")
	f.await("service goes on", p, lacksServer("s-1"))
}

// TestHealthOfThePlanner checks that the health service reports serving only once the planner has a list, like heartbeats.
func TestHealthOfThePlanner(t *testing.T) {
	f := startWithGRPC(t, 1, func(f *fleet, c *Config) { f.discovery.SetDown(true) })
	defer f.stop()
	client, err := standin.Dial(f.planner, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	check := func() healthpb.HealthCheckResponse_ServingStatus {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		r, err := healthpb.NewHealthClient(client).Check(ctx, &healthpb.HealthCheckRequest{})
		if err != nil {
			return healthpb.HealthCheckResponse_UNKNOWN // the join timeout was over: the client reconnects
		}
		return r.GetStatus()
	}
	f.until("not serving", func() bool { return check() == healthpb.HealthCheckResponse_NOT_SERVING })
	f.discovery.SetDown(false)
	f.until("serving", func() bool { return check() == healthpb.HealthCheckResponse_SERVING })
}

// TestServerChangesProtocol checks that a server that changes its protocol is probed by the new one within the same probe,
// isn't reported as unhealthy, and is probed by the new protocol first from then on.
func TestServerChangesProtocol(t *testing.T) {
	byHTTP, err := standin.NewServer("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := byHTTP.Addr()
	a := &serverProber{connectTimeout: 2 * time.Second, allowGRPC: true}
	ask := func(what string, ok, refused bool) map[string]float64 {
		t.Helper()
		r, _ := a.probe(context.Background(), address, true)
		if r.OK != ok || r.Refused != refused {
			t.Errorf("%s: %+v", what, r)
		}
		return r.Load
	}
	if load := ask("HTTP", true, false); load["util"] != 0.1 {
		t.Errorf("load %v", load)
	}
	byHTTP.Close()
	ask("no server", false, false)
	byGRPC, err := standin.NewGRPCServer(address)
	if err != nil {
		t.Fatal(err)
	}
	if load := ask("gRPC", true, false); load["util"] != 0.1 || byGRPC.Probed() != 1 {
		t.Errorf("load %v, probed %d", load, byGRPC.Probed())
	}
	if ask("gRPC at once", true, false); a.protocols.Len() != 1 || byGRPC.Probed() != 2 {
		t.Errorf("%d cached, probed %d", a.protocols.Len(), byGRPC.Probed())
	}
	byGRPC.Set(healthpb.HealthCheckResponse_NOT_SERVING, nil)
	ask("not serving", false, true)
	byGRPC.Set(healthpb.HealthCheckResponse_SERVING, nil)
	a.connectTimeout = 300 * time.Millisecond
	if load := ask("a stream of reports that stalls", true, false); load != nil {
		t.Errorf("load %v", load)
	}
	byGRPC.Set(healthpb.HealthCheckResponse_SERVING, &xdsorca.OrcaLoadReport{NamedMetrics: map[string]float64{"bad": -1,
		"inflight": 3}})
	if load := ask("an invalid value", true, false); load["inflight"] != 3 || len(load) != 2 {
		t.Errorf("load %v", load)
	}
	byGRPC.Close()
	if byHTTP, err = standin.NewServer(address); err != nil {
		t.Fatal(err)
	}
	defer byHTTP.Close()
	if ask("HTTP again", true, false); a.protocols.Len() != 0 {
		t.Error("the previous protocol is still cached")
	}
}
