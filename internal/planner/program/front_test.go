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

// withFront is a planner whose gRPC front is on.
func withFront(t *testing.T, cores int, change func(*fleet, *Config)) *fleet {
	return start(t, func(f *fleet, c *Config) {
		c.Own.GRPC = options.GRPC{Enabled: true, ProbeServers: true}
		c.Own.Cores = options.Cores{Count: cores, RestMS: 300}
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

// reader is a proxy of either protocol, as far as tests wait for it.
type reader interface {
	Wait(func(standin.State) bool) standin.State
	State() standin.State
}

func (f *fleet) await(what string, p reader, wanted func(standin.State) bool) standin.State {
	f.t.Helper()
	got := make(chan standin.State, 1)
	go func() { got <- p.Wait(wanted) }()
	select {
	case s := <-got:
		return s
	case <-time.After(patience):
		f.t.Fatalf("%s: not within %v; held: %+v", what, patience, p.State())
		return standin.State{}
	}
}

// TestBothProtocolsAtOneAddress: half of the proxies and a collector on each protocol get tables and drains alike, on one
// core and on two. A proxy that leaves by one protocol and joins by the other is served by its newer stream alone.
func TestBothProtocolsAtOneAddress(t *testing.T) {
	for _, cores := range []int{1, 2} {
		f := withFront(t, cores, nil)
		var all []reader
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
			f.await("a table without the draining server", p, lacks("s-1"))
		}
		moved := f.grpcProxy(0, "north", nil)
		f.await("a table by the newer stream", moved, holds("s-0"))
		f.await("the end of the older one", all[0], func(s standin.State) bool { return s.Closed != nil })
		back := f.proxy(5, "south")
		f.await("a table by the newer stream", back, func(s standin.State) bool { return len(s.Table) > 0 })
		if s := f.await("the end of the older one", all[3],
			func(s standin.State) bool { return s.Closed != nil }); status.Code(s.Closed) != codes.Aborted {
			t.Errorf("the older stream ended with %v", s.Closed)
		}
		f.phase("s-3", "draining")
		f.await("drained there too", moved, lacks("s-3"))
		f.await("drained there too", back, lacks("s-3"))
		f.stop()
	}
}

// TestRefusedTableComesWhole: a refusal is answered by a whole table, not at once and not for ever.
func TestRefusedTableComesWhole(t *testing.T) {
	f := withFront(t, 1, nil)
	defer f.stop()
	p := f.grpcProxy(0, "north", nil)
	f.await("a table", p, holds("s-0"))
	p.Reject("cannot use it")
	f.phase("s-1", "draining")
	f.await("a refusal", p, func(s standin.State) bool { return s.Rejected > 0 })
	refused := time.Now()
	p.Reject("")
	f.await("the table again", p, lacks("s-1"))
	if took := time.Since(refused); took < 500*time.Millisecond {
		t.Errorf("the refusal was answered after %v", took)
	}
	if n := p.State().Rejected; n > 2 {
		t.Errorf("%d messages were refused", n)
	}
}

// TestStrangersByHTTP2: each is closed in the time that strangers have, and costs nobody else anything.
func TestStrangersByHTTP2(t *testing.T) {
	f := withFront(t, 1, nil)
	defer f.stop()
	p := f.grpcProxy(0, "north", nil)
	f.await("a table", p, holds("s-0"))
	const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	for name, says := range map[string]string{
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
		nc.SetDeadline(time.Now().Add(patience))
		nc.Write([]byte(says))
		if _, err := io.Copy(io.Discard, nc); err != nil && os.IsTimeout(err) {
			t.Errorf("%s: not closed", name)
		}
		nc.Close()
	}
	// A client that opens streams of no proxy is told why, and one that joins and goes is gone.
	client, err := standin.Dial(f.planner, nil)
	if err != nil {
		t.Fatal(err)
	}
	for range 50 { // a storm of streams that are reset at once
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
	if code := status.Code(err); code != codes.InvalidArgument && code != codes.Unavailable { // or its second was over
		t.Errorf("an unknown proxy gets %v", err)
	}
	client.Close()
	f.phase("s-1", "draining")
	f.await("service goes on", p, lacks("s-1"))
}

// TestHealthOfThePlanner: it serves once it can make orders, as a heartbeat is answered then.
func TestHealthOfThePlanner(t *testing.T) {
	f := withFront(t, 1, func(f *fleet, c *Config) { f.discovery.SetDown(true) })
	defer f.stop()
	client, err := standin.Dial(f.planner, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	check := func() healthpb.HealthCheckResponse_ServingStatus {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		r, err := healthpb.NewHealthClient(client).Check(ctx, &healthpb.HealthCheckRequest{})
		if err != nil {
			return healthpb.HealthCheckResponse_UNKNOWN // the connection's second was over: the client dials again
		}
		return r.GetStatus()
	}
	f.until("not serving", func() bool { return check() == healthpb.HealthCheckResponse_NOT_SERVING })
	f.discovery.SetDown(false)
	f.until("serving", func() bool { return check() == healthpb.HealthCheckResponse_SERVING })
}

// TestServerChangesProtocol: a server that speaks another protocol than before is asked by that within the same question,
// isn't taken for sick, and is asked by it first from then on.
func TestServerChangesProtocol(t *testing.T) {
	byHTTP, err := standin.NewServer("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := byHTTP.Addr()
	a := &asker{connect: 2 * time.Second, both: true}
	ask := func(what string, ok, refused bool) map[string]float64 {
		t.Helper()
		r, _ := a.ask(context.Background(), address, true)
		if r.OK != ok || r.Refused != refused {
			t.Errorf("%s: %+v", what, r)
		}
		return r.Load
	}
	if load := ask("HTTP", true, false); load["util"] != 0.1 {
		t.Errorf("load %v", load)
	}
	byHTTP.Close()
	ask("nobody there", false, false)
	byGRPC, err := standin.NewGRPCServer(address)
	if err != nil {
		t.Fatal(err)
	}
	if load := ask("gRPC", true, false); load["util"] != 0.1 || byGRPC.Probed() != 1 {
		t.Errorf("load %v, probed %d", load, byGRPC.Probed())
	}
	if ask("gRPC at once", true, false); a.book.Len() != 1 || byGRPC.Probed() != 2 {
		t.Errorf("%d remembered, probed %d", a.book.Len(), byGRPC.Probed())
	}
	byGRPC.Set(healthpb.HealthCheckResponse_NOT_SERVING, nil)
	ask("turned away", false, true)
	byGRPC.Set(healthpb.HealthCheckResponse_SERVING, nil)
	a.connect = 300 * time.Millisecond
	if load := ask("a stream of reports that stalls", true, false); load != nil {
		t.Errorf("load %v", load)
	}
	byGRPC.Set(healthpb.HealthCheckResponse_SERVING, &xdsorca.OrcaLoadReport{NamedMetrics: map[string]float64{"bad": -1,
		"inflight": 3}})
	if load := ask("a figure that can't be", true, false); load["inflight"] != 3 || len(load) != 2 {
		t.Errorf("load %v", load)
	}
	byGRPC.Close()
	if byHTTP, err = standin.NewServer(address); err != nil {
		t.Fatal(err)
	}
	defer byHTTP.Close()
	if ask("HTTP again", true, false); a.book.Len() != 0 {
		t.Error("the former protocol is remembered")
	}
}
