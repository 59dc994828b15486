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

// asker asks servers for their health and load, by the protocol that each speaks.
type asker struct {
	connect time.Duration
	both    bool // gRPC may be tried

	mu   sync.Mutex
	book dialect.ProtocolCache
}

// ask makes one question, of two attempts at most. It has failed if a connection doesn't come up in the time that the
// settings give one, or the answer doesn't come within as long again.
func (a *asker) ask(ctx context.Context, address string, load bool) (result routing.Probed, cancelled bool) {
	a.mu.Lock()
	by := a.book.Preferred(address)
	a.mu.Unlock()
	for attempt := 1; ; attempt++ {
		var verdict dialect.Result
		begun := time.Now()
		if by == dialect.GRPC {
			result, verdict = a.grpc(ctx, address, load)
		} else {
			result, verdict = a.http(ctx, address, load)
		}
		result.Elapsed = time.Since(begun)
		if ctx.Err() != nil {
			return result, true
		}
		if !a.both {
			return result, false
		}
		a.mu.Lock()
		other, again := a.book.Next(address, by, attempt, verdict)
		a.mu.Unlock()
		if !again {
			return result, false
		}
		by = other
	}
}

// peeked is the machine of an answer that keeps the first bytes.
type peeked struct {
	*protocol.HTTPExchange
	head []byte
}

// headKept is enough of an answer to tell the protocols apart: HTTP/2 begins with a frame's head of nine bytes.
const headKept = 9

// Feed implements transport.Machine.
func (p *peeked) Feed(in *ring.Buffer) error {
	if first, _ := in.Peek(); len(p.head) < headKept {
		p.head = append(p.head, first[:min(len(first), headKept-len(p.head))]...)
	}
	return p.HTTPExchange.Feed(in)
}

// settingsFrame says whether bytes begin a SETTINGS frame on stream 0, with which every HTTP/2 server opens.
func settingsFrame(head []byte) bool {
	return len(head) == headKept && head[0] == 0 && head[3] == 4 && head[4] == 0 && bytes.Equal(head[5:9], []byte{0, 0, 0, 0})
}

func (a *asker) http(ctx context.Context, address string, load bool) (routing.Probed, dialect.Result) {
	var answer protocol.ProbeResponse
	request, machine := protocol.ProbeRequest(address, load, &answer)
	p := &peeked{HTTPExchange: machine}
	err := transport.Call{Address: address, ConnectTimeout: a.connect, IdleTimeout: a.connect, TotalTimeout: 2 * a.connect,
		Request: request, MaxBuffered: protocol.MaxHeadBytes}.Do(ctx, p)
	verdict := dialect.Answered
	switch {
	case settingsFrame(p.head):
		verdict = dialect.WrongProtocol
	case err != nil:
		verdict = dialect.NoAnswer
	}
	return routing.Probed{Load: answer.Load, OK: err == nil && answer.Status == http.StatusOK,
		Refused: err == nil && answer.Status == http.StatusServiceUnavailable}, verdict
}

// listening is a connection that keeps the first bytes read.
type listening struct {
	net.Conn
	mu   sync.Mutex
	head []byte
}

// Read implements net.Conn.
func (l *listening) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	l.mu.Lock()
	if len(l.head) < headKept {
		l.head = append(l.head, p[:min(n, headKept-len(l.head))]...)
	}
	l.mu.Unlock()
	return n, err
}

func (l *listening) first() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.head)
}

// maxORCABytes bounds a load report.
const maxORCABytes = 64 << 10

func (a *asker) grpc(ctx context.Context, address string, load bool) (result routing.Probed, verdict dialect.Result) {
	ctx, cancel := context.WithTimeout(ctx, 2*a.connect)
	defer cancel()
	var mu sync.Mutex
	var heard *listening
	client, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxORCABytes)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			mu.Lock()
			again := heard != nil
			mu.Unlock()
			if again { // a question is one connection
				return nil, errors.New("one connection a question")
			}
			nc, err := (&net.Dialer{Timeout: a.connect}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			mu.Lock()
			defer mu.Unlock()
			heard = &listening{Conn: nc}
			return heard, nil
		}))
	if err != nil {
		return result, dialect.NoAnswer
	}
	defer client.Close()
	answer, err := healthpb.NewHealthClient(client).Check(ctx, &healthpb.HealthCheckRequest{})
	mu.Lock()
	spoken := heard
	mu.Unlock()
	switch {
	case err == nil:
		result.OK = answer.GetStatus() == healthpb.HealthCheckResponse_SERVING
		result.Refused = answer.GetStatus() == healthpb.HealthCheckResponse_NOT_SERVING
	case spoken != nil && bytes.HasPrefix(spoken.first(), []byte("HTTP/1.")):
		return result, dialect.WrongProtocol
	case status.Code(err) == codes.Unavailable || status.Code(err) == codes.DeadlineExceeded ||
		status.Code(err) == codes.Canceled:
		return result, dialect.NoAnswer
	}
	if load && err == nil {
		result.Load = firstReport(ctx, client)
	}
	return result, dialect.Answered
}

// firstReport is a server's load as its out-of-band stream tells it first. A stream that stalls, or brings nothing that can
// be used, leaves the health as it is.
func firstReport(ctx context.Context, client *grpc.ClientConn) map[string]float64 {
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
	take := func(name string, value float64) {
		if value >= 0 && value <= protocol.MaxValue { // NaN is neither
			load[name] = value
		}
	}
	if u := r.GetApplicationUtilization(); u > 0 {
		take("util", u)
	} else {
		take("util", r.GetCpuUtilization())
	}
	for _, named := range []map[string]float64{r.GetUtilization(), r.GetNamedMetrics()} {
		for name, value := range named {
			take(name, value)
		}
	}
	return load
}
