package program

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/internal/planner/xds"
)

// TestUnreadStreamEndsAlone checks that a stream with too much unread data is closed while the other streams of its connection
// continue.
func TestUnreadStreamEndsAlone(t *testing.T) {
	f := startWithGRPC(t, 1, nil)
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
		if err := s.Send(&discovery.DiscoveryRequest{Node: standin.ProxyNode(number, "north", 20),
			TypeUrl: xds.EndpointsTypeURL}); err != nil {
			t.Fatal(err)
		}
		return s
	}
	good := open(0)
	if _, err := good.Recv(); err != nil {
		t.Fatal(err)
	}
	peer := &xdsPeer{cancel: func() {}, wake: make(chan struct{}, 1), now: clock(), machine: newJoinedMachine(t)}
	for i := 0; peer.reasonClosed() == nil; i++ {
		peer.Assign(protocol.Assignment{Rows: []protocol.Row{{Server: strings.Repeat("s", 1000) + string(rune('a'+i%26)),
			Weight: 1, Zone: "north"}}})
		if i > 10000 {
			t.Fatal("the unread data is not limited")
		}
	}
	if err := peer.Assign(protocol.Assignment{Replace: true}); err == nil {
		t.Error("a closed stream accepts assignments")
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

func newJoinedMachine(t *testing.T) *xds.AssignmentStream {
	m := xds.NewAssignmentStream(xds.Config{Classes: classNames, Zones: []string{"north"},
		Bounds: protocol.Bounds{Proxies: 4}}, false)
	if _, _, err := m.HandleRequest(0, &discovery.DiscoveryRequest{Node: standin.ProxyNode(0, "north", 1),
		TypeUrl: xds.EndpointsTypeURL}); err != nil {
		t.Fatal(err)
	}
	return m
}

// TestStalledProxyDoesNotBlockOthers checks that a proxy that stops reading keeps its stream, since it may only be slow, that
// other proxies are served meanwhile, and that it receives all missed changes once it reads again.
func TestStalledProxyDoesNotBlockOthers(t *testing.T) {
	f := startWithGRPC(t, 1, nil)
	defer f.stop()
	stalled, other := f.grpcProxy(0, "north", nil), f.grpcProxy(1, "north", nil)
	for _, p := range []proxyReader{stalled, other} {
		f.await("a table", p, hasServers("s-0"))
	}
	stalled.Stall(true)
	f.phase("s-1", "draining")
	f.phase("s-2", "draining")
	f.await("the other is served", other, func(s standin.State) bool { return s.Table["s-1"] == 0 && s.Table["s-2"] == 0 })
	stalled.Stall(false)
	f.await("the missed changes", stalled, func(s standin.State) bool {
		return s.Table["s-1"] == 0 && s.Table["s-2"] == 0 &&
			len(s.Table) > 0
	})
}

// TestLimitsOfTheFront checks that exceeding a limit ends only the stream or connection that exceeds it.
func TestLimitsOfTheFront(t *testing.T) {
	f := startWithGRPC(t, 1, nil)
	defer f.stop()
	good := f.grpcProxy(0, "north", nil)
	f.await("a table", good, hasServers("s-0"))
	client, err := standin.Dial(f.planner, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	api := discovery.NewAggregatedDiscoveryServiceClient(client)
	open := func(ctx context.Context, number int,
		names ...string) (discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient, error) {
		s, err := api.StreamAggregatedResources(ctx)
		if err != nil {
			return nil, err
		}
		err = s.Send(&discovery.DiscoveryRequest{Node: standin.ProxyNode(number, "north", 1), TypeUrl: xds.EndpointsTypeURL,
			ResourceNames: names})
		if err == nil {
			_, err = s.Recv()
		}
		return s, err
	}
	stays, err := open(context.Background(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := open(context.Background(), 2, strings.Repeat("x",
		protocol.MaxLineBytes)); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("a message over 1 MiB: %v", err)
	}
	if _, err := open(metadata.AppendToOutgoingContext(context.Background(), "a", strings.Repeat("x", 2*maxHeaderBytes)),
		2); err == nil {
		t.Error("headers over their limit are accepted")
	}
	ctx, cancel := context.WithCancel(context.Background())
	for n := 0; n < maxStreamsPerConn-1; n++ { // one stays open already
		if _, err := api.StreamAggregatedResources(ctx); err != nil {
			t.Fatal(err)
		}
	}
	late, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	if _, err := open(late, 3); status.Code(err) != codes.DeadlineExceeded {
		t.Errorf("a stream over the connection's limit: %v", err)
	}
	stop()
	cancel()
	if _, err := open(context.Background(), 4); err != nil {
		t.Errorf("after the others have ended: %v", err)
	}
	if err := stays.Send(&discovery.DiscoveryRequest{TypeUrl: xds.EndpointsTypeURL}); err != nil {
		t.Errorf("the stream that stayed: %v", err)
	}

	nc, err := net.Dial("tcp", f.planner) // sends pings without a pause
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testTimeout))
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
			break // closing without GOAWAY is accepted too
		}
		if away, is := frame.(*http2.GoAwayFrame); is {
			calm = away.ErrCode == http2.ErrCodeEnhanceYourCalm
		}
	}
	f.phase("s-1", "draining")
	f.await("service continues", good, lacksServer("s-1"))
}
