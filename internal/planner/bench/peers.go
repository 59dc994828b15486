package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"mulleinwood/internal/planner/audit"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/internal/planner/xds"
	"mulleinwood/rules"
)

// Frontend selects the protocol of a fleet's peers.
type Frontend string

// Frontends that can be measured.
const (
	Lines Frontend = "lines"
	GRPC  Frontend = "grpc"
	Half  Frontend = "half" // every second peer of a zone uses gRPC, the others lines
)

// Frontends lists all frontends.
var Frontends = []Frontend{Lines, GRPC, Half}

// usesGRPC reports whether the nth peer uses gRPC.
func (f Frontend) usesGRPC(n int) bool { return f == GRPC || f == Half && n/len(zones)%2 == 1 }

// proxyPeer is a simulated proxy of either protocol.
type proxyPeer interface {
	State() standin.State
	sendBatch() (reports int, err error) // writes one batch of reports
	requestSync() error                  // requests a confirmation that all earlier reports were handled
	awaitSync() error                    // waits for that confirmation
	Close()
}

// lineProxy is a proxy that uses the line protocol.
type lineProxy struct {
	*standin.Proxy
	batch            []byte
	heartbeatReplies int
}

func (p *lineProxy) sendBatch() (int, error) { return batchLines, p.Write(p.batch) }

func (p *lineProxy) requestSync() error {
	p.heartbeatReplies = p.State().HeartbeatReplies
	return p.WriteLine(`{"t":"hb"}`)
}

func (p *lineProxy) awaitSync() error {
	return p.Wait(func(s standin.State) bool { return s.HeartbeatReplies > p.heartbeatReplies }).Closed
}

// grpcProxy is a proxy that uses gRPC. One load report contains all classes.
type grpcProxy struct {
	*standin.GRPCProxy
	batch *load.LoadStatsRequest
}

func (p *grpcProxy) sendBatch() (int, error) {
	for range batchLines / len(classes) {
		if err := p.SendLoad(p.batch); err != nil {
			return 0, err
		}
	}
	return batchLines, nil
}

// requestSync closes the stream of reports. The planner closes its side once it has handled all of them. The next batch
// opens a new stream.
func (p *grpcProxy) requestSync() error { return p.EndLoad() }
func (p *grpcProxy) awaitSync() error   { return p.AwaitLoad() }

// joinProxy connects proxy i to the planner.
func (lg *loadGenerator) joinProxy(planner string, i int, rng *rand.Rand) (proxyPeer, error) {
	attempts := make([]int, batchLines)
	for line := range attempts {
		attempts[line] = 3 + rng.IntN(9)
	}
	if lg.frontend.usesGRPC(i) {
		batch := &load.LoadStatsRequest{}
		for k, class := range classes {
			batch.ClusterStats = append(batch.ClusterStats,
				&endpoint.ClusterStats{ClusterName: class, LoadReportInterval: durationpb.New(time.Second),
					UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{TotalIssuedRequests: uint64(attempts[k])}}})
		}
		p, err := standin.JoinGRPC(planner, i, zoneOf(i), proxyRate, classes, nil,
			func(r *discovery.DiscoveryResponse) { lg.recordGRPCMessage(i, r) })
		return &grpcProxy{p, batch}, err
	}
	var batch []byte
	for line, n := range attempts {
		batch = fmt.Appendf(batch, `{"t":"client_stats","proxy":%d,"class":%q,"tries":%d,"failed":0,"span_ms":1000}`+"\n", i,
			classes[line%len(classes)], n)
	}
	p, err := standin.Join(planner, i, zoneOf(i), proxyRate, func(parts []standin.Order) { lg.recordLineMessage(i, parts) })
	return &lineProxy{Proxy: p, batch: batch}, err
}

// collectorPeer is a simulated collector of either protocol.
type collectorPeer interface {
	sendReports(limit int) (reports int, err error)
	Close()
}

// lineCollector uses the line protocol. It sends the lines of its text repeatedly.
type lineCollector struct {
	*standin.Collector
	text   []byte
	offset int
}

func (c *lineCollector) sendReports(limit int) (int, error) {
	lines := nextLines(c.text, &c.offset, limit)
	return lines.count, c.Write(lines.text)
}

// grpcCollector uses gRPC, with up to maxServersPerReport servers in a report.
type grpcCollector struct {
	*standin.GRPCCollector
	endpointStats []*endpoint.UpstreamEndpointStats
	offset        int
}

const maxServersPerReport = 100

func (c *grpcCollector) sendReports(limit int) (int, error) {
	n := min(limit, maxServersPerReport, len(c.endpointStats)-c.offset)
	err := c.Send(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: "all",
		LoadReportInterval: durationpb.New(time.Second),
		UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{
			{UpstreamEndpointStats: c.endpointStats[c.offset : c.offset+n]}}}}})
	c.offset = (c.offset + n) % len(c.endpointStats)
	return n, err
}

// joinCollector connects collector w to the planner.
func (lg *loadGenerator) joinCollector(planner string, w int, rng *rand.Rand) (collectorPeer, error) {
	zone := zones[w%len(zones)]
	if lg.frontend.usesGRPC(w) {
		c, err := standin.NewGRPCCollector(planner, zone, nil)
		g := &grpcCollector{GRPCCollector: c}
		for i := range lg.fleet.Servers {
			g.endpointStats = append(g.endpointStats, standin.EndpointStats(fmt.Sprint("s-", i), 5+rng.IntN(10), 0,
				80+40*rng.Float64()))
		}
		return g, err
	}
	c, err := standin.NewCollector(planner, zone)
	l := &lineCollector{Collector: c}
	for i := range lg.fleet.Servers {
		l.text = fmt.Appendf(l.text,
			`{"t":"upstream_stats","zone":%q,"server":"s-%d","tries":%d,"failed":0,"mean_ms":%.1f,"span_ms":1000}`+"\n",
			zone, i, 5+rng.IntN(10), 80+40*rng.Float64())
	}
	return l, err
}

// recordGRPCMessage records a message that a proxy has read over gRPC. Such a message contains complete assignments; the
// auditor receives the difference from the previous ones and counts the lines of that difference.
func (lg *loadGenerator) recordGRPCMessage(proxy int, r *discovery.DiscoveryResponse) {
	at := time.Now()
	o := audit.Order{Rows: map[string]float64{}, Retries: map[int]rules.Retry{}, Lines: messageHeaderLines + 1}
	for i, packed := range r.GetResources() {
		var a endpoint.ClusterLoadAssignment
		if packed.UnmarshalTo(&a) != nil {
			return
		}
		rows, _, gate := xds.ParseAssignment(&a, false)
		if gate != nil {
			for k, class := range classes {
				if class == a.GetClusterName() {
					o.Retries[k] = rules.Retry(gate.Retry)
				}
			}
		}
		if i > 0 {
			continue
		}
		for _, row := range rows {
			o.Rows[row.Server] = row.Weight
		}
		lg.mu.Lock()
		for name, holders := range lg.holders {
			if _, still := o.Rows[name]; holders[proxy] && !still {
				o.Rows[name] = 0
				o.Lines++
			}
		}
		for name, weight := range o.Rows {
			if weight > 0 && !lg.holders[name][proxy] {
				o.Lines++
			}
		}
		lg.mu.Unlock()
	}
	lg.recordMessage(at, proxy, o)
}
