package xds

import (
	"maps"
	"math"
	"net"
	"slices"
	"strconv"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"mulleinwood/internal/planner/protocol"
)

const (
	// MaxWeight is the integer that the largest weight of a table is scaled to. Rounding changes a weight by half a unit at
	// most, up or down, and a server's share of the traffic by less than a millionth of the largest server's share.
	MaxWeight = 1_000_000

	// MetadataNamespace is the metadata namespace of data that the standard messages have no field for.
	MetadataNamespace = "mulleinwood"
	idKey             = "id"
	retryKey          = "again"
	rateLevelKey      = "requests_per_second"
	dropCategory      = "mulleinwood"
	perMillion        = 1_000_000
)

// table is the state that a proxy holds once it has applied all orders sent to it.
type table struct {
	rows     map[string]protocol.Row  // by server
	draining map[string]bool          // by server
	gates    map[string]protocol.Gate // by class
}

func newTable() table {
	return table{rows: map[string]protocol.Row{}, draining: map[string]bool{}, gates: map[string]protocol.Gate{}}
}

// apply applies orders to the table and returns the classes whose assignments change.
func (t *table) apply(orders protocol.Assignment, classes []string) (changed []string) {
	if orders.Replace {
		clear(t.rows)
		clear(t.gates)
	}
	for _, r := range orders.Rows {
		if r.Weight > 0 {
			t.rows[r.Server] = r
		} else {
			delete(t.rows, r.Server)
		}
	}
	for _, name := range orders.Exclude {
		t.draining[name] = true
	}
	for _, name := range orders.Include {
		delete(t.draining, name)
	}
	gateChanged := map[string]bool{}
	for _, g := range orders.Gates {
		names := g.Classes
		if len(names) == 0 {
			names = classes
		}
		for _, class := range names {
			t.gates[class], gateChanged[class] = g, true
		}
	}
	if orders.Replace || len(orders.Rows)+len(orders.Exclude)+len(orders.Include) > 0 {
		return classes
	}
	for _, class := range classes {
		if gateChanged[class] {
			changed = append(changed, class)
		}
	}
	return changed
}

// assignment returns the table of a class as a ClusterLoadAssignment. The endpoints of each zone form one locality, whose weight
// is the sum of its endpoints' weights. A client that picks by locality first therefore gets the same distribution as one
// that doesn't.
func (t *table) assignment(class string, rateLevels bool) *endpoint.ClusterLoadAssignment {
	largest := 0.0
	for _, r := range t.rows {
		largest = max(largest, r.Weight)
	}
	gate, gated := t.gates[class]
	localities := map[string]*endpoint.LocalityLbEndpoints{}
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[name]
		locality := localities[r.Zone]
		if locality == nil {
			locality = &endpoint.LocalityLbEndpoints{Locality: &core.Locality{Zone: r.Zone},
				LoadBalancingWeight: &wrapperspb.UInt32Value{}}
			if gated {
				locality.Metadata = gateMetadata(gate, rateLevels)
			}
			localities[r.Zone] = locality
		}
		weight := uint32(max(1, math.Round(r.Weight/largest*MaxWeight)))
		locality.LoadBalancingWeight.Value += weight
		health := core.HealthStatus_HEALTHY
		if t.draining[name] {
			health = core.HealthStatus_DRAINING
		}
		locality.LbEndpoints = append(locality.LbEndpoints, &endpoint.LbEndpoint{
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: address(r.Address),
				Hostname: name}},
			HealthStatus:        health,
			LoadBalancingWeight: wrapperspb.UInt32(weight),
			Metadata:            metadata(map[string]*structpb.Value{idKey: structpb.NewStringValue(name)}),
		})
	}
	assignment := &endpoint.ClusterLoadAssignment{ClusterName: class}
	for _, zone := range slices.Sorted(maps.Keys(localities)) {
		assignment.Endpoints = append(assignment.Endpoints, localities[zone])
	}
	if gated && !rateLevels && gate.Level < 1 {
		assignment.Policy = &endpoint.ClusterLoadAssignment_Policy{
			DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{
				Category: dropCategory,
				DropPercentage: &typev3.FractionalPercent{Numerator: uint32(math.Round((1 - gate.Level) * perMillion)),
					Denominator: typev3.FractionalPercent_MILLION}}}}
	}
	return assignment
}

// metadata returns the fields under MetadataNamespace.
func metadata(fields map[string]*structpb.Value) *core.Metadata {
	return &core.Metadata{FilterMetadata: map[string]*structpb.Struct{MetadataNamespace: {Fields: fields}}}
}

// gateMetadata returns the metadata with the retry mode and, if levels are rates, the admission level. The standard message has
// no fields for them.
func gateMetadata(gate protocol.Gate, rateLevels bool) *core.Metadata {
	fields := map[string]*structpb.Value{retryKey: structpb.NewNumberValue(float64(gate.Retry))}
	if rateLevels {
		fields[rateLevelKey] = structpb.NewNumberValue(gate.Level)
	}
	return metadata(fields)
}

// address returns the socket address of a text in host:port form, or nil if the text is invalid.
func address(text string) *core.Address {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return nil
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil
	}
	return &core.Address{Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: host,
		PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(n)}}}}
}

// ParseAssignment returns the rows, the draining servers and the gate that a proxy reads from an assignment. Admission levels
// are rates if rateLevels is true, otherwise shares. The gate is nil if the assignment has none.
func ParseAssignment(assignment *endpoint.ClusterLoadAssignment, rateLevels bool) (
	rows []protocol.Row, draining []string, gate *protocol.Gate) {
	for _, locality := range assignment.GetEndpoints() {
		for _, e := range locality.GetLbEndpoints() {
			socket := e.GetEndpoint().GetAddress().GetSocketAddress()
			row := protocol.Row{Server: e.GetEndpoint().GetHostname(), Weight: float64(e.GetLoadBalancingWeight().GetValue()),
				Zone: locality.GetLocality().GetZone()}
			if socket != nil {
				row.Address = net.JoinHostPort(socket.GetAddress(), strconv.Itoa(int(socket.GetPortValue())))
			}
			if rows = append(rows, row); e.GetHealthStatus() == core.HealthStatus_DRAINING {
				draining = append(draining, row.Server)
			}
		}
		if fields := locality.GetMetadata().GetFilterMetadata()[MetadataNamespace].GetFields(); fields[retryKey] != nil {
			gate = &protocol.Gate{Classes: []string{assignment.GetClusterName()}, Level: 1,
				Retry: int(fields[retryKey].GetNumberValue())}
			if rateLevels {
				gate.Level = fields[rateLevelKey].GetNumberValue()
			}
		}
	}
	for _, drop := range assignment.GetPolicy().GetDropOverloads() {
		if gate == nil {
			gate = &protocol.Gate{Classes: []string{assignment.GetClusterName()}}
		}
		gate.Level = 1 - float64(drop.GetDropPercentage().GetNumerator())/perMillion
	}
	return rows, draining, gate
}
