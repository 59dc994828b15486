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

// Frontend is what a fleet's peers speak.
type Frontend string

// The fronts.
const (
	Lines Frontend = "lines"
	GRPC  Frontend = "grpc"
	Half  Frontend = "half" // every second peer by gRPC
)

// Frontends are all of them.
var Frontends = []Frontend{Lines, GRPC, Half}

// grpc says whether the nth peer speaks gRPC.
func (f Frontend) grpc(n int) bool { return f == GRPC || f == Half && n/len(zones)%2 == 1 }

// proxyPeer is a proxy of either protocol.
type proxyPeer interface {
	State() standin.State
	flood() (reports int, err error) // writes one batch of reports
	ask() error                      // for a sign that all so far was taken
	await() error                    // that sign
	Close()
}

// lineProxy speaks lines.
type lineProxy struct {
	*standin.Proxy
	batch []byte
	beats int
}

func (p *lineProxy) flood() (int, error) { return batchLines, p.Write(p.batch) }

func (p *lineProxy) ask() error {
	p.beats = p.State().HeartbeatReplies
	return p.WriteLine(`{"t":"hb"}`)
}

func (p *lineProxy) await() error {
	return p.Wait(func(s standin.State) bool { return s.HeartbeatReplies > p.beats }).Closed
}

// grpcProxy speaks gRPC. One load report tells of all classes.
type grpcProxy struct {
	*standin.GRPCProxy
	batch *load.LoadStatsRequest
}

func (p *grpcProxy) flood() (int, error) {
	for range batchLines / len(classes) {
		if err := p.SendLoad(p.batch); err != nil {
			return 0, err
		}
	}
	return batchLines, nil
}

// ask ends the stream of reports: its end comes back once all of them were taken. A new one begins at the next flood.
func (p *grpcProxy) ask() error   { return p.EndLoad() }
func (p *grpcProxy) await() error { return p.AwaitLoad() }

// proxy lets one join.
func (s *loadGenerator) proxy(planner string, i int, rng *rand.Rand) (proxyPeer, error) {
	tries := make([]int, batchLines)
	for line := range tries {
		tries[line] = 3 + rng.IntN(9)
	}
	if s.front.grpc(i) {
		batch := &load.LoadStatsRequest{}
		for k, class := range classes {
			batch.ClusterStats = append(batch.ClusterStats,
				&endpoint.ClusterStats{ClusterName: class, LoadReportInterval: durationpb.New(time.Second),
					UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{TotalIssuedRequests: uint64(tries[k])}}})
		}
		p, err := standin.JoinGRPC(planner, i, zoneOf(i), proxyRate, classes, nil,
			func(r *discovery.DiscoveryResponse) { s.tookGRPC(i, r) })
		return &grpcProxy{p, batch}, err
	}
	var batch []byte
	for line, n := range tries {
		batch = fmt.Appendf(batch, `{"t":"client_stats","proxy":%d,"class":%q,"tries":%d,"failed":0,"span_ms":1000}`+"\n", i,
			classes[line%len(classes)], n)
	}
	p, err := standin.Join(planner, i, zoneOf(i), proxyRate, func(parts []standin.Order) { s.took(i, parts) })
	return &lineProxy{Proxy: p, batch: batch}, err
}

// teller is a collector of either protocol.
type teller interface {
	tell(most int) (reports int, err error)
	Close()
}

// lineTeller speaks lines, from a text that goes round and round.
type lineTeller struct {
	*standin.Collector
	text []byte
	at   int
}

func (c *lineTeller) tell(most int) (int, error) {
	lines := nthLines(c.text, &c.at, most)
	return lines.count, c.Write(lines.text)
}

// grpcTeller speaks gRPC: up to a hundred servers a report.
type grpcTeller struct {
	*standin.GRPCCollector
	met []*endpoint.UpstreamEndpointStats
	at  int
}

const serversAReport = 100

func (c *grpcTeller) tell(most int) (int, error) {
	n := min(most, serversAReport, len(c.met)-c.at)
	err := c.Send(&load.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{{ClusterName: "all",
		LoadReportInterval:    durationpb.New(time.Second),
		UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{UpstreamEndpointStats: c.met[c.at : c.at+n]}}}}})
	c.at = (c.at + n) % len(c.met)
	return n, err
}

// collector lets one join.
func (s *loadGenerator) collector(planner string, w int, rng *rand.Rand) (teller, error) {
	zone := zones[w%len(zones)]
	if s.front.grpc(w) {
		c, err := standin.NewGRPCCollector(planner, zone, nil)
		g := &grpcTeller{GRPCCollector: c}
		for i := range s.fleet.Servers {
			g.met = append(g.met, standin.EndpointStats(fmt.Sprint("s-", i), 5+rng.IntN(10), 0, 80+40*rng.Float64()))
		}
		return g, err
	}
	c, err := standin.NewCollector(planner, zone)
	l := &lineTeller{Collector: c}
	for i := range s.fleet.Servers {
		l.text = fmt.Appendf(l.text,
			`{"t":"upstream_stats","zone":%q,"server":"s-%d","tries":%d,"failed":0,"mean_ms":%.1f,"span_ms":1000}`+"\n",
			zone, i, 5+rng.IntN(10), 80+40*rng.Float64())
	}
	return l, err
}

// tookGRPC is a message that a proxy has read by gRPC: whole assignments. What changed is told to the auditor, whose count
// of lines is by that.
func (s *loadGenerator) tookGRPC(proxy int, r *discovery.DiscoveryResponse) {
	at := time.Now()
	o := audit.Order{Rows: map[string]float64{}, Retries: map[int]rules.Retry{}, Lines: headOfMessage + 1}
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
		s.mu.Lock()
		for name, holders := range s.holders {
			if _, still := o.Rows[name]; holders[proxy] && !still {
				o.Rows[name] = 0
				o.Lines++
			}
		}
		for name, weight := range o.Rows {
			if weight > 0 && !s.holders[name][proxy] {
				o.Lines++
			}
		}
		s.mu.Unlock()
	}
	s.read(at, proxy, o)
}
