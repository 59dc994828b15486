package xds

import (
	"fmt"
	"net"
	"strconv"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	load "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"mulleinwood/internal/planner/protocol"
)

// LatencyMetric is the named metric of an endpoint that tells how long its answers took: the sum in milliseconds, and how
// many they were. Other metrics make up its load report.
const LatencyMetric = "latency_ms"

// LoadStream is the machine of one stream that reports load.
type LoadStream struct {
	facts Config
	known bool
	who   Identity
}

// NewLoadStream returns the machine of a stream.
func NewLoadStream(f Config) *LoadStream { return &LoadStream{facts: f} }

// Identity is the peer, once it has named itself.
func (l *LoadStream) Identity() (Identity, bool) { return l.who, l.known }

// LoadUpdate is what a message of a stream said.
type LoadUpdate struct {
	Messages []protocol.Message
	Invalid  []InvalidPartError      // parts that are of no use
	Response *load.LoadStatsResponse // to be sent back; nil: nothing
}

// HandleRequest takes a message. The first is answered by how often to report. A proxy reports by class what came to it, a
// collector by endpoint what its zone's proxies met there.
func (l *LoadStream) HandleRequest(r *load.LoadStatsRequest) (update LoadUpdate, err error) {
	if !l.known {
		if l.who, err = Identify(r.GetNode(), l.facts); err != nil {
			return LoadUpdate{}, err
		}
		l.known = true
		l.greet(&update)
	} else if !same(r.GetNode(), l.who, l.facts) {
		return LoadUpdate{}, ErrNodeChanged
	}
	for _, cluster := range r.GetClusterStats() {
		l.takeCluster(cluster, &update)
	}
	return update, nil
}

// greet answers the first message.
func (l *LoadStream) greet(update *LoadUpdate) {
	update.Response = &load.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: l.who.Role == Collector,
		LoadReportingInterval: durationpb.New(time.Duration(l.facts.ReportPeriod * float64(time.Millisecond)))}
	if l.who.Role == Collector {
		update.Messages = append(update.Messages, protocol.Collector{Zone: l.who.Zone})
	}
}

func (u *LoadUpdate) invalid(part string, err error) {
	u.Invalid = append(u.Invalid, InvalidPartError{"report of " + clip(part), err})
}

// takeCluster takes the report of a class.
func (l *LoadStream) takeCluster(cluster *endpoint.ClusterStats, update *LoadUpdate) {
	span := float64(cluster.GetLoadReportInterval().AsDuration()) / float64(time.Millisecond)
	if cluster.GetLoadReportInterval() == nil || !(span > 0) {
		update.invalid(cluster.GetClusterName(), errBadInterval)
		return
	}
	if l.who.Role == Proxy {
		report := usage(l.who.Proxy, cluster, span)
		if err := report.Check(l.facts.Bounds); err != nil {
			update.invalid(cluster.GetClusterName(), err)
			return
		}
		update.Messages = append(update.Messages, report)
		return
	}
	for _, locality := range cluster.GetUpstreamLocalityStats() {
		for _, stats := range locality.GetUpstreamEndpointStats() {
			report, err := l.met(stats, span)
			if err == nil {
				err = report.Check(l.facts.Bounds)
			}
			if err != nil {
				update.invalid(report.Server+report.Address, err)
				continue
			}
			update.Messages = append(update.Messages, report)
		}
	}
}

// usage is what came to a proxy of a class: what it issued and what it refused. What it let in and could not serve is
// its errors.
func usage(proxy int, c *endpoint.ClusterStats, span float64) protocol.UsageReport {
	m := protocol.UsageReport{Proxy: proxy, Class: c.GetClusterName(),
		Requests: float64(c.GetTotalDroppedRequests()), Period: span}
	for _, locality := range c.GetUpstreamLocalityStats() {
		m.Requests += float64(locality.GetTotalIssuedRequests())
		m.Unanswered += float64(locality.GetTotalErrorRequests())
	}
	return m
}

// met is what a zone's proxies met at a server.
func (l *LoadStream) met(e *endpoint.UpstreamEndpointStats, span float64) (protocol.ServerReport, error) {
	m := protocol.ServerReport{Zone: l.who.Zone, Server: e.GetMetadata().GetFields()[idKey].GetStringValue(),
		Address:  hostPort(e.GetAddress()),
		Attempts: float64(e.GetTotalIssuedRequests()), Failed: float64(e.GetTotalErrorRequests()), Period: span}
	if m.Server == "" && m.Address == "" {
		return m, errNoEndpoint
	}
	for _, metric := range e.GetLoadMetricStats() {
		n, total := float64(metric.GetNumRequestsFinishedWithMetric()), metric.GetTotalMetricValue()
		if !finite(total) {
			return m, fmt.Errorf("%w: %s of %v", errLatency, clip(metric.GetMetricName()), total)
		}
		switch {
		case n == 0:
		case metric.GetMetricName() == LatencyMetric:
			m.Latency = total / n
		default:
			if m.Load == nil {
				m.Load = map[string]float64{}
			}
			m.Load[metric.GetMetricName()] = total / n
		}
	}
	return m, nil
}

func hostPort(a *core.Address) string {
	socket := a.GetSocketAddress()
	if socket == nil {
		return ""
	}
	return net.JoinHostPort(socket.GetAddress(), strconv.Itoa(int(socket.GetPortValue())))
}

// clip is as much of a name from outside as goes into a line.
func clip(name string) string { return name[:min(len(name), 40)] }
