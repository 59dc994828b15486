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

// Loads is the machine of one stream that reports load.
type Loads struct {
	facts Facts
	known bool
	who   Identity
}

// NewLoads returns the machine of a stream.
func NewLoads(f Facts) *Loads { return &Loads{facts: f} }

// Who is the peer, once it has named itself.
func (l *Loads) Who() (Identity, bool) { return l.who, l.known }

// Request takes a message. The first is answered by how often to report. A proxy reports by class what came to it, a
// collector by endpoint what its zone's proxies met there.
func (l *Loads) Request(r *load.LoadStatsRequest) (said []protocol.Message, voids []Void, answer *load.LoadStatsResponse,
	err error) {
	if !l.known {
		if l.who, err = Identify(r.GetNode(), l.facts); err != nil {
			return nil, nil, nil, err
		}
		l.known = true
		answer = &load.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: l.who.Role == Collector,
			LoadReportingInterval: durationpb.New(time.Duration(l.facts.Period * float64(time.Millisecond)))}
		if l.who.Role == Collector {
			said = append(said, protocol.Collector{Zone: l.who.Zone})
		}
	} else if !same(r.GetNode(), l.who, l.facts) {
		return nil, nil, nil, ErrOtherNode
	}
	for _, c := range r.GetClusterStats() {
		span := float64(c.GetLoadReportInterval().AsDuration()) / float64(time.Millisecond)
		if c.GetLoadReportInterval() == nil || !(span > 0) {
			voids = append(voids, Void{"report of " + clip(c.GetClusterName()), errBadInterval})
			continue
		}
		if l.who.Role == Proxy {
			m := usage(l.who.Proxy, c, span)
			if err := m.Check(l.facts.Within); err != nil {
				voids = append(voids, Void{"report of " + clip(c.GetClusterName()), err})
				continue
			}
			said = append(said, m)
			continue
		}
		for _, locality := range c.GetUpstreamLocalityStats() {
			for _, e := range locality.GetUpstreamEndpointStats() {
				m, err := l.met(e, span)
				if err == nil {
					err = m.Check(l.facts.Within)
				}
				if err != nil {
					voids = append(voids, Void{"report of " + clip(m.Server+m.Address), err})
					continue
				}
				said = append(said, m)
			}
		}
	}
	return said, voids, answer, nil
}

// usage is what came to a proxy of a class: what it issued and what it refused. What it let in and could not serve is
// its errors.
func usage(proxy int, c *endpoint.ClusterStats, span float64) protocol.UsageReport {
	m := protocol.UsageReport{Proxy: proxy, Class: c.GetClusterName(), Tries: float64(c.GetTotalDroppedRequests()), Span: span}
	for _, locality := range c.GetUpstreamLocalityStats() {
		m.Tries += float64(locality.GetTotalIssuedRequests())
		m.Failed += float64(locality.GetTotalErrorRequests())
	}
	return m
}

// met is what a zone's proxies met at a server.
func (l *Loads) met(e *endpoint.UpstreamEndpointStats, span float64) (protocol.ServerReport, error) {
	m := protocol.ServerReport{Zone: l.who.Zone, Server: e.GetMetadata().GetFields()[idKey].GetStringValue(),
		Address: hostPort(e.GetAddress()),
		Tries:   float64(e.GetTotalIssuedRequests()), Failed: float64(e.GetTotalErrorRequests()), Span: span}
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
			m.Mean = total / n
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
