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

// LatencyMetric is the name of the endpoint metric that carries the response times: their sum in milliseconds and the number
// of responses. All other metrics make up the endpoint's load report.
const LatencyMetric = "latency_ms"

// LoadStream is the state machine of one load reporting stream. It is not safe for concurrent use.
type LoadStream struct {
	config     Config
	identified bool
	identity   Identity
}

// NewLoadStream returns the state machine of a new stream.
func NewLoadStream(config Config) *LoadStream { return &LoadStream{config: config} }

// Identity returns the identity of the peer, and whether its first request has been accepted.
func (l *LoadStream) Identity() (Identity, bool) { return l.identity, l.identified }

// LoadUpdate is the result of one request of a load reporting stream.
type LoadUpdate struct {
	Messages []protocol.Message      // messages for routing
	Invalid  []InvalidPartError      // parts of the request that were rejected
	Response *load.LoadStatsResponse // response to send; nil if there is none
}

// HandleRequest processes a load report. The response to the first one contains the reporting interval. A proxy reports its
// requests by class; a collector reports by endpoint the attempts of its zone's proxies. An error ends the stream.
func (l *LoadStream) HandleRequest(request *load.LoadStatsRequest) (update LoadUpdate, err error) {
	if !l.identified {
		if l.identity, err = Identify(request.GetNode(), l.config); err != nil {
			return LoadUpdate{}, err
		}
		l.identified = true
		l.setInitialResponse(&update)
	} else if !sameNode(request.GetNode(), l.identity, l.config) {
		return LoadUpdate{}, ErrNodeChanged
	}
	for _, cluster := range request.GetClusterStats() {
		l.handleCluster(cluster, &update)
	}
	return update, nil
}

// setInitialResponse sets the response to the first request, and announces a collector.
func (l *LoadStream) setInitialResponse(update *LoadUpdate) {
	update.Response = &load.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: l.identity.Role == Collector,
		LoadReportingInterval: durationpb.New(time.Duration(l.config.ReportPeriod * float64(time.Millisecond)))}
	if l.identity.Role == Collector {
		update.Messages = append(update.Messages, protocol.Collector{Zone: l.identity.Zone})
	}
}

// invalid adds a report that was rejected.
func (u *LoadUpdate) invalid(part string, err error) {
	u.Invalid = append(u.Invalid, InvalidPartError{"report of " + truncate(part), err})
}

// handleCluster processes the report of one cluster: a class of a proxy, or all endpoints of a collector's zone.
func (l *LoadStream) handleCluster(cluster *endpoint.ClusterStats, update *LoadUpdate) {
	interval := float64(cluster.GetLoadReportInterval().AsDuration()) / float64(time.Millisecond)
	if cluster.GetLoadReportInterval() == nil || !(interval > 0) {
		update.invalid(cluster.GetClusterName(), errBadInterval)
		return
	}
	if l.identity.Role == Proxy {
		report := usageReport(l.identity.Proxy, cluster, interval)
		if err := report.Check(l.config.Bounds); err != nil {
			update.invalid(cluster.GetClusterName(), err)
			return
		}
		update.Messages = append(update.Messages, report)
		return
	}
	for _, locality := range cluster.GetUpstreamLocalityStats() {
		for _, stats := range locality.GetUpstreamEndpointStats() {
			report, err := l.serverReport(stats, interval)
			if err == nil {
				err = report.Check(l.config.Bounds)
			}
			if err != nil {
				update.invalid(report.Server+report.Address, err)
				continue
			}
			update.Messages = append(update.Messages, report)
		}
	}
}

// usageReport returns the requests of one class at a proxy. Tries counts issued and dropped requests, Failed those that were
// issued and could not be served.
func usageReport(proxy int, cluster *endpoint.ClusterStats, interval float64) protocol.UsageReport {
	report := protocol.UsageReport{Proxy: proxy, Class: cluster.GetClusterName(),
		Requests: float64(cluster.GetTotalDroppedRequests()), Period: interval}
	for _, locality := range cluster.GetUpstreamLocalityStats() {
		report.Requests += float64(locality.GetTotalIssuedRequests())
		report.Unanswered += float64(locality.GetTotalErrorRequests())
	}
	return report
}

// serverReport returns the attempts of a zone's proxies at one server, with latency and load.
func (l *LoadStream) serverReport(stats *endpoint.UpstreamEndpointStats, interval float64) (protocol.ServerReport, error) {
	report := protocol.ServerReport{Zone: l.identity.Zone, Server: stats.GetMetadata().GetFields()[idKey].GetStringValue(),
		Address:  hostPort(stats.GetAddress()),
		Attempts: float64(stats.GetTotalIssuedRequests()), Failed: float64(stats.GetTotalErrorRequests()), Period: interval}
	if report.Server == "" && report.Address == "" {
		return report, errNoEndpoint
	}
	for _, metric := range stats.GetLoadMetricStats() {
		count, total := float64(metric.GetNumRequestsFinishedWithMetric()), metric.GetTotalMetricValue()
		if !finiteNonNegative(total) {
			return report, fmt.Errorf("%w: %s of %v", errLatency, truncate(metric.GetMetricName()), total)
		}
		switch {
		case count == 0:
		case metric.GetMetricName() == LatencyMetric:
			report.Latency = total / count
		default:
			if report.Load == nil {
				report.Load = map[string]float64{}
			}
			report.Load[metric.GetMetricName()] = total / count
		}
	}
	return report, nil
}

// hostPort returns the address in host:port form, or "" if it isn't a socket address.
func hostPort(a *core.Address) string {
	socket := a.GetSocketAddress()
	if socket == nil {
		return ""
	}
	return net.JoinHostPort(socket.GetAddress(), strconv.Itoa(int(socket.GetPortValue())))
}

// truncate shortens a name sent by a peer to at most 40 bytes, for messages.
func truncate(name string) string { return name[:min(len(name), 40)] }
