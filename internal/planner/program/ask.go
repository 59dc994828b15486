package program

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	orca "github.com/cncf/xds/go/xds/service/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"mulleinwood/internal/planner/dialect"
	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/transport"
	"mulleinwood/internal/planner/transport/ring"
)

// serverProber probes the health and load of servers, each by the protocol that it uses.
type serverProber struct {
	connectTimeout time.Duration
	allowGRPC      bool // gRPC may be tried besides HTTP/1.1

	mu        sync.Mutex
	protocols dialect.ProtocolCache
}

// probe sends one probe, with two attempts at most. An attempt fails if its connection isn't established within connectTimeout,
// or the response doesn't arrive within twice connectTimeout in total.
func (p *serverProber) probe(ctx context.Context, address string, load bool) (result routing.Probed, cancelled bool) {
	p.mu.Lock()
	current := p.protocols.Preferred(address)
	p.mu.Unlock()
	for attempt := 1; ; attempt++ {
		var outcome dialect.Result
		started := time.Now()
		if current == dialect.GRPC {
			result, outcome = p.probeGRPC(ctx, address, load)
		} else {
			result, outcome = p.probeHTTP(ctx, address, load)
		}
		result.Elapsed = time.Since(started)
		if ctx.Err() != nil {
			return result, true
		}
		if !p.allowGRPC {
			return result, false
		}
		p.mu.Lock()
		next, retry := p.protocols.Next(address, current, attempt, outcome)
		p.mu.Unlock()
		if !retry {
			return result, false
		}
		current = next
	}
}

// headRecorder is an HTTP exchange that keeps the first bytes of the response.
type headRecorder struct {
	*protocol.HTTPExchange
	head []byte
}

// recordedHeadBytes is how many bytes of a response are kept to distinguish the protocols: HTTP/2 begins with a frame header
// of nine bytes.
const recordedHeadBytes = 9

// Feed implements transport.Machine.
func (p *headRecorder) Feed(in *ring.Buffer) error {
	if first, _ := in.Peek(); len(p.head) < recordedHeadBytes {
		p.head = append(p.head, first[:min(len(first), recordedHeadBytes-len(p.head))]...)
	}
	return p.HTTPExchange.Feed(in)
}

// isSettingsFrame reports whether head is the header of a SETTINGS frame on stream 0, which every HTTP/2 server sends first.
func isSettingsFrame(head []byte) bool {
	return len(head) == recordedHeadBytes && head[0] == 0 && head[3] == 4 && head[4] == 0 &&
		bytes.Equal(head[5:9], []byte{0, 0, 0, 0})
}

func (p *serverProber) probeHTTP(ctx context.Context, address string, load bool) (routing.Probed, dialect.Result) {
	var response protocol.ProbeResponse
	request, exchange := protocol.ProbeRequest(address, load, &response)
	recorder := &headRecorder{HTTPExchange: exchange}
	err := transport.Call{Address: address, ConnectTimeout: p.connectTimeout, IdleTimeout: p.connectTimeout,
		TotalTimeout: 2 * p.connectTimeout, Request: request, MaxBuffered: protocol.MaxHeadBytes}.Do(ctx, recorder)
	outcome := dialect.Answered
	switch {
	case isSettingsFrame(recorder.head):
		outcome = dialect.WrongProtocol
	case err != nil:
		outcome = dialect.NoAnswer
	}
	return routing.Probed{Load: response.Load, OK: err == nil && response.Status == http.StatusOK,
		Refused: err == nil && response.Status == http.StatusServiceUnavailable}, outcome
}

// recordingConn is a connection that keeps the first bytes read. It is safe for concurrent use.
type recordingConn struct {
	net.Conn
	mu   sync.Mutex
	head []byte
}

// Read implements net.Conn.
func (l *recordingConn) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	l.mu.Lock()
	if len(l.head) < recordedHeadBytes {
		l.head = append(l.head, p[:min(n, recordedHeadBytes-len(l.head))]...)
	}
	l.mu.Unlock()
	return n, err
}

func (l *recordingConn) recordedHead() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.head)
}

// maxORCABytes is the maximum size of a load report.
const maxORCABytes = 64 << 10

func (p *serverProber) probeGRPC(ctx context.Context, address string, load bool) (result routing.Probed, outcome dialect.Result) {
	ctx, cancel := context.WithTimeout(ctx, 2*p.connectTimeout)
	defer cancel()
	var mu sync.Mutex
	var recorder *recordingConn
	client, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxORCABytes)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			mu.Lock()
			connected := recorder != nil
			mu.Unlock()
			if connected { // a probe uses a single connection
				return nil, errors.New("a probe uses a single connection")
			}
			nc, err := (&net.Dialer{Timeout: p.connectTimeout}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			mu.Lock()
			defer mu.Unlock()
			recorder = &recordingConn{Conn: nc}
			return recorder, nil
		}))
	if err != nil {
		return result, dialect.NoAnswer
	}
	defer client.Close()
	response, err := healthpb.NewHealthClient(client).Check(ctx, &healthpb.HealthCheckRequest{})
	mu.Lock()
	conn := recorder
	mu.Unlock()
	switch {
	case err == nil:
		result.OK = response.GetStatus() == healthpb.HealthCheckResponse_SERVING
		result.Refused = response.GetStatus() == healthpb.HealthCheckResponse_NOT_SERVING
	case conn != nil && bytes.HasPrefix(conn.recordedHead(), []byte("HTTP/1.")):
		return result, dialect.WrongProtocol
	case status.Code(err) == codes.Unavailable || status.Code(err) == codes.DeadlineExceeded ||
		status.Code(err) == codes.Canceled:
		return result, dialect.NoAnswer
	}
	if load && err == nil {
		result.Load = firstLoadReport(ctx, client)
	}
	return result, dialect.Answered
}

// firstLoadReport returns the load in the first report of a server's out-of-band stream, or nil if the stream stalls or fails.
// Neither affects the result of the health check.
func firstLoadReport(ctx context.Context, client *grpc.ClientConn) map[string]float64 {
	s, err := orca.NewOpenRcaServiceClient(client).StreamCoreMetrics(ctx,
		&orca.OrcaLoadReportRequest{ReportInterval: durationpb.New(time.Second)})
	if err != nil {
		return nil
	}
	r, err := s.Recv()
	if err != nil {
		return nil
	}
	load := map[string]float64{}
	add := func(name string, value float64) {
		if value >= 0 && value <= protocol.MaxValue { // false for NaN
			load[name] = value
		}
	}
	if u := r.GetApplicationUtilization(); u > 0 {
		add("util", u)
	} else {
		add("util", r.GetCpuUtilization())
	}
	for _, named := range []map[string]float64{r.GetUtilization(), r.GetNamedMetrics()} {
		for name, value := range named {
			add(name, value)
		}
	}
	return load
}
