package program

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	xdsorca "github.com/cncf/xds/go/xds/data/orca/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/internal/planner/xds"
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
		if got := south.Answer.GetLoadReportingInterval().AsDuration(); got != time.Second || !south.Answer.GetReportEndpointGranularity() {
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
		if s := f.await("the end of the older one", all[3], func(s standin.State) bool { return s.Closed != nil }); status.Code(s.Closed) != codes.Aborted {
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
	p.Refuse("cannot use it")
	f.phase("s-1", "draining")
	f.await("a refusal", p, func(s standin.State) bool { return s.Refused > 0 })
	refused := time.Now()
	p.Refuse("")
	f.await("the table again", p, lacks("s-1"))
	if took := time.Since(refused); took < 500*time.Millisecond {
		t.Errorf("the refusal was answered after %v", took)
	}
	if n := p.State().Refused; n > 2 {
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
	if ask("gRPC at once", true, false); a.book.Known() != 1 || byGRPC.Probed() != 2 {
		t.Errorf("%d remembered, probed %d", a.book.Known(), byGRPC.Probed())
	}
	byGRPC.Set(healthpb.HealthCheckResponse_NOT_SERVING, nil)
	ask("turned away", false, true)
	byGRPC.Set(healthpb.HealthCheckResponse_SERVING, nil)
	a.connect = 300 * time.Millisecond
	if load := ask("a stream of reports that stalls", true, false); load != nil {
		t.Errorf("load %v", load)
	}
	byGRPC.Set(healthpb.HealthCheckResponse_SERVING, &xdsorca.OrcaLoadReport{NamedMetrics: map[string]float64{"bad": -1, "inflight": 3}})
	if load := ask("a figure that can't be", true, false); load["inflight"] != 3 || len(load) != 2 {
		t.Errorf("load %v", load)
	}
	byGRPC.Close()
	if byHTTP, err = standin.NewServer(address); err != nil {
		t.Fatal(err)
	}
	defer byHTTP.Close()
	if ask("HTTP again", true, false); a.book.Known() != 0 {
		t.Error("the former protocol is remembered")
	}
}

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	next atomic.Int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	a.key = key
	a.cert, _ = x509.ParseCertificate(der)
	return a
}

// sign writes a certificate and its key, and returns both as a pair.
func (a *authority) sign(folder, file, name string, until time.Time) tls.Certificate {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: big.NewInt(2 + a.next.Add(1)), DNSNames: []string{name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until}, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	text, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	write := func(name, kind string, der []byte) {
		if err := os.WriteFile(filepath.Join(folder, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	write(file+".pem", "CERTIFICATE", der)
	write(file+".key", "PRIVATE KEY", text)
	write("ca.pem", "CERTIFICATE", a.cert.Raw)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func (a *authority) client(pair tls.Certificate) credentials.TransportCredentials {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return credentials.NewTLS(&tls.Config{RootCAs: pool, ServerName: "planner.test", Certificates: []tls.Certificate{pair}})
}

// TestKeys: clients take the roles that their names may have and no others; keys are read again on SIGHUP without a stream
// lost; a file that is bad or out of date is named and changes nothing.
func TestKeys(t *testing.T) {
	folder, ca := t.TempDir(), newAuthority(t)
	hour := time.Now().Add(time.Hour)
	ca.sign(folder, "server", "planner.test", hour)
	lane, other := ca.sign(folder, "lane", "lane-7.lanes.test", hour), ca.sign(folder, "other", "lanes.test", hour)
	f := withFront(t, 1, func(_ *fleet, c *Config) {
		c.Own.GRPC.TLS = options.TLS{Certificate: filepath.Join(folder, "server.pem"), Key: filepath.Join(folder, "server.key"), ClientCA: filepath.Join(folder, "ca.pem"),
			Roles: []options.Role{{Name: "*.lanes.test", Role: "proxy"}, {Name: "collector.test", Role: "collector"}}}
	})
	defer f.stop()
	p := f.grpcProxy(0, "north", ca.client(lane))
	f.await("a table", p, holds("s-0"))
	byLines := f.proxy(1, "north") // lines stay as they are
	f.wait("a table", byLines, holds("s-0"))
	denied := f.grpcProxy(2, "north", ca.client(other))
	if s := f.await("an end", denied, func(s standin.State) bool { return s.Closed != nil }); status.Code(s.Closed) != codes.PermissionDenied {
		t.Errorf("a name without the role: %v", s.Closed)
	}
	if _, err := standin.NewGRPCCollector(f.planner, "north", ca.client(lane)); status.Code(err) != codes.PermissionDenied {
		t.Errorf("a proxy's name as a collector: %v", err)
	}
	for name, creds := range map[string]credentials.TransportCredentials{"no certificate": ca.client(tls.Certificate{}), "no TLS": nil} {
		if c, err := standin.NewGRPCCollector(f.planner, "north", creds); err == nil {
			t.Errorf("%s: served", name)
			c.Close()
		}
	}
	k, err := loadKeys(options.TLS{Certificate: filepath.Join(folder, "server.pem"), Key: filepath.Join(folder, "server.key")})
	if err != nil {
		t.Fatal(err)
	}
	before := k.now.Load()
	ca.sign(folder, "server", "planner.test", time.Now().Add(-time.Hour))
	if err := k.reload(time.Now()); err == nil || !strings.Contains(err.Error(), "server.pem") || k.now.Load() != before {
		t.Errorf("an expired certificate: %v", err)
	}
	f.reloads <- syscall.SIGHUP
	os.WriteFile(filepath.Join(folder, "server.key"), []byte("half"), 0o600)
	if err := k.reload(time.Now()); err == nil || k.now.Load() != before {
		t.Errorf("a spoilt key: %v", err)
	}
	ca.sign(folder, "server", "planner.test", hour)
	if err := k.reload(time.Now()); err != nil || k.now.Load() == before {
		t.Errorf("good files: %v", err)
	}
	f.reloads <- syscall.SIGHUP
	f.phase("s-1", "draining")
	f.await("the stream goes on", p, lacks("s-1"))
	for _, bad := range []options.TLS{{Certificate: "none.pem", Key: "none.key"}, {ClientCA: "x"}, {Roles: []options.Role{{Name: "a", Role: "proxy"}}},
		{Certificate: filepath.Join(folder, "server.pem"), Key: filepath.Join(folder, "server.key"), ClientCA: filepath.Join(folder, "server.key")}} {
		if _, err := loadKeys(bad); err == nil {
			t.Errorf("%+v: no error", bad)
		}
	}
}

// TestUnreadStreamEndsAlone: a stream that leaves too much unread ends by the rule that exists; the other streams of its
// connection go on.
func TestUnreadStreamEndsAlone(t *testing.T) {
	f := withFront(t, 1, nil)
	defer f.stop()
	client, err := standin.Dial(f.planner, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	api := discovery.NewAggregatedDiscoveryServiceClient(client)
	open := func(number int) discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient {
		s, err := api.StreamAggregatedResources(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Send(&discovery.DiscoveryRequest{Node: standin.ProxyNode(number, "north", 20), TypeUrl: xds.TypeEndpoints}); err != nil {
			t.Fatal(err)
		}
		return s
	}
	good := open(0)
	if _, err := good.Recv(); err != nil {
		t.Fatal(err)
	}
	peer := &xdsPeer{cancel: func() {}, wake: make(chan struct{}, 1), now: clock(), machine: newJoinedMachine(t)}
	for i := 0; peer.reason() == nil; i++ {
		peer.Order(protocol.Orders{Rows: []protocol.Row{{Server: strings.Repeat("s", 1000) + string(rune('a'+i%26)), Weight: 1, Zone: "north"}}})
		if i > 10000 {
			t.Fatal("what is unread has no end")
		}
	}
	if err := peer.Order(protocol.Orders{Replace: true}); err == nil {
		t.Error("an ended stream takes orders")
	}
	f.phase("s-1", "draining")
	for {
		r, err := good.Recv()
		if err != nil {
			t.Fatal(err)
		}
		var s standin.State
		s.Levels = map[string]float64{}
		if err := standin.Apply(&s, r); err != nil {
			t.Fatal(err)
		}
		if len(s.Table) > 0 && s.Table["s-1"] == 0 {
			return
		}
	}
}

func newJoinedMachine(t *testing.T) *xds.Assignments {
	m := xds.NewAssignments(xds.Facts{Classes: classNames, Zones: []string{"north"}, Within: protocol.Bounds{Proxies: 4}}, false)
	if _, _, err := m.Request(0, &discovery.DiscoveryRequest{Node: standin.ProxyNode(0, "north", 1), TypeUrl: xds.TypeEndpoints}); err != nil {
		t.Fatal(err)
	}
	return m
}

// TestStalledProxyHoldsNobodyUp: a proxy that reads nothing keeps its stream, since it may only be slow; others are served,
// and it has all that it missed once it reads on.
func TestStalledProxyHoldsNobodyUp(t *testing.T) {
	f := withFront(t, 1, nil)
	defer f.stop()
	still, other := f.grpcProxy(0, "north", nil), f.grpcProxy(1, "north", nil)
	for _, p := range []reader{still, other} {
		f.await("a table", p, holds("s-0"))
	}
	still.Stall(true)
	f.phase("s-1", "draining")
	f.phase("s-2", "draining")
	f.await("the other is served", other, func(s standin.State) bool { return s.Table["s-1"] == 0 && s.Table["s-2"] == 0 })
	still.Stall(false)
	f.await("what it missed", still, func(s standin.State) bool { return s.Table["s-1"] == 0 && s.Table["s-2"] == 0 && len(s.Table) > 0 })
}

// TestLimitsOfTheFront: what goes over a bound ends that stream, or that connection, and no other's.
func TestLimitsOfTheFront(t *testing.T) {
	f := withFront(t, 1, nil)
	defer f.stop()
	good := f.grpcProxy(0, "north", nil)
	f.await("a table", good, holds("s-0"))
	client, err := standin.Dial(f.planner, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	api := discovery.NewAggregatedDiscoveryServiceClient(client)
	open := func(ctx context.Context, number int, names ...string) (discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient, error) {
		s, err := api.StreamAggregatedResources(ctx)
		if err != nil {
			return nil, err
		}
		err = s.Send(&discovery.DiscoveryRequest{Node: standin.ProxyNode(number, "north", 1), TypeUrl: xds.TypeEndpoints, ResourceNames: names})
		if err == nil {
			_, err = s.Recv()
		}
		return s, err
	}
	stays, err := open(context.Background(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := open(context.Background(), 2, strings.Repeat("x", protocol.LineMost)); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("a message over 1 MiB: %v", err)
	}
	if _, err := open(metadata.AppendToOutgoingContext(context.Background(), "a", strings.Repeat("x", 2*headersMost)), 2); err == nil {
		t.Error("headers over their bound are taken")
	}
	ctx, cancel := context.WithCancel(context.Background())
	for n := 0; n < streamsMost-1; n++ { // one stays open already
		if _, err := api.StreamAggregatedResources(ctx); err != nil {
			t.Fatal(err)
		}
	}
	late, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	if _, err := open(late, 3); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("a stream more than a connection may have: %v", err)
	}
	stop()
	cancel()
	if _, err := open(context.Background(), 4); err != nil {
		t.Errorf("after the others have ended: %v", err)
	}
	if err := stays.Send(&discovery.DiscoveryRequest{TypeUrl: xds.TypeEndpoints}); err != nil {
		t.Errorf("the stream that stayed: %v", err)
	}

	nc, err := net.Dial("tcp", f.planner) // pings without a pause
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(patience))
	io.WriteString(nc, http2.ClientPreface)
	framer := http2.NewFramer(nc, nc)
	framer.WriteSettings()
	go func() {
		for framer.WritePing(false, [8]byte{}) == nil {
		}
	}()
	for calm := false; !calm; {
		frame, err := framer.ReadFrame()
		if err != nil {
			break // closed without a word is as good
		}
		if away, is := frame.(*http2.GoAwayFrame); is {
			calm = away.ErrCode == http2.ErrCodeEnhanceYourCalm
		}
	}
	f.phase("s-1", "draining")
	f.await("service goes on", good, lacks("s-1"))
}
