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
	// MaxWeight is the whole number that the largest weight of a table becomes. A weight is off by half a unit at
	// most, up or down alike: a server's part of the traffic by less than a millionth of the largest one's.
	MaxWeight = 1_000_000

	// MetadataNamespace is the namespace of what the published messages have no field for.
	MetadataNamespace = "mulleinwood"
	idKey             = "id"
	resendKey         = "again"
	levelKey          = "requests_per_second"
	dropCategory      = "mulleinwood"
	perMillion        = 1_000_000
)

// table is what a proxy holds once it has applied all that was sent.
type table struct {
	rows  map[string]protocol.Row // by server
	shut  map[string]bool
	gates map[string]protocol.Gate // by class
}

func newTable() table {
	return table{rows: map[string]protocol.Row{}, shut: map[string]bool{}, gates: map[string]protocol.Gate{}}
}

// apply takes an order in, and says which classes it changes.
func (t *table) apply(o protocol.Assignment, classes []string) (changed []string) {
	if o.Replace {
		clear(t.rows)
		clear(t.gates)
	}
	for _, r := range o.Rows {
		if r.Weight > 0 {
			t.rows[r.Server] = r
		} else {
			delete(t.rows, r.Server)
		}
	}
	for _, name := range o.Exclude {
		t.shut[name] = true
	}
	for _, name := range o.Include {
		delete(t.shut, name)
	}
	touched := map[string]bool{}
	for _, g := range o.Gates {
		names := g.Classes
		if len(names) == 0 {
			names = classes
		}
		for _, class := range names {
			t.gates[class], touched[class] = g, true
		}
	}
	if o.Replace || len(o.Rows)+len(o.Exclude)+len(o.Include) > 0 {
		return classes
	}
	for _, class := range classes {
		if touched[class] {
			changed = append(changed, class)
		}
	}
	return changed
}

// assignment is the table of a class as the published message has it: one group of endpoints a zone, whose weight is the
// sum of its endpoints', so that a client which weighs zones first gets the same parts as one which doesn't.
func (t *table) assignment(class string, rates bool) *endpoint.ClusterLoadAssignment {
	largest := 0.0
	for _, r := range t.rows {
		largest = max(largest, r.Weight)
	}
	gate, gated := t.gates[class]
	groups := map[string]*endpoint.LocalityLbEndpoints{}
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[name]
		group := groups[r.Zone]
		if group == nil {
			group = &endpoint.LocalityLbEndpoints{Locality: &core.Locality{Zone: r.Zone},
				LoadBalancingWeight: &wrapperspb.UInt32Value{}}
			if gated {
				group.Metadata = gateMetadata(gate, rates)
			}
			groups[r.Zone] = group
		}
		weight := uint32(max(1, math.Round(r.Weight/largest*MaxWeight)))
		group.LoadBalancingWeight.Value += weight
		health := core.HealthStatus_HEALTHY
		if t.shut[name] {
			health = core.HealthStatus_DRAINING
		}
		group.LbEndpoints = append(group.LbEndpoints, &endpoint.LbEndpoint{
			HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: address(r.Address),
				Hostname: name}},
			HealthStatus:        health,
			LoadBalancingWeight: wrapperspb.UInt32(weight),
			Metadata:            metadata(map[string]*structpb.Value{idKey: structpb.NewStringValue(name)}),
		})
	}
	a := &endpoint.ClusterLoadAssignment{ClusterName: class}
	for _, zone := range slices.Sorted(maps.Keys(groups)) {
		a.Endpoints = append(a.Endpoints, groups[zone])
	}
	if gated && !rates && gate.Level < 1 {
		a.Policy = &endpoint.ClusterLoadAssignment_Policy{DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{
			Category: dropCategory,
			DropPercentage: &typev3.FractionalPercent{Numerator: uint32(math.Round((1 - gate.Level) * perMillion)),
				Denominator: typev3.FractionalPercent_MILLION}}}}
	}
	return a
}

func metadata(fields map[string]*structpb.Value) *core.Metadata {
	return &core.Metadata{FilterMetadata: map[string]*structpb.Struct{MetadataNamespace: {Fields: fields}}}
}

// gateMetadata carries the manner of trying again, and a level that is a rate: the published message has no field for them.
func gateMetadata(g protocol.Gate, rates bool) *core.Metadata {
	fields := map[string]*structpb.Value{resendKey: structpb.NewNumberValue(float64(g.Retry))}
	if rates {
		fields[levelKey] = structpb.NewNumberValue(g.Level)
	}
	return metadata(fields)
}

// address is host and port as the published message has them; nil for one that has none.
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

// ParseAssignment is the reverse of an assignment: what a proxy makes of it. Levels are shares, or rates where rates is set; a class
// without a level gets none.
func ParseAssignment(a *endpoint.ClusterLoadAssignment, rates bool) (rows []protocol.Row, shut []string, gate *protocol.Gate) {
	for _, group := range a.GetEndpoints() {
		for _, e := range group.GetLbEndpoints() {
			socket := e.GetEndpoint().GetAddress().GetSocketAddress()
			row := protocol.Row{Server: e.GetEndpoint().GetHostname(), Weight: float64(e.GetLoadBalancingWeight().GetValue()),
				Zone: group.GetLocality().GetZone()}
			if socket != nil {
				row.Address = net.JoinHostPort(socket.GetAddress(), strconv.Itoa(int(socket.GetPortValue())))
			}
			if rows = append(rows, row); e.GetHealthStatus() == core.HealthStatus_DRAINING {
				shut = append(shut, row.Server)
			}
		}
		if fields := group.GetMetadata().GetFilterMetadata()[MetadataNamespace].GetFields(); fields[resendKey] != nil {
			gate = &protocol.Gate{Classes: []string{a.GetClusterName()}, Level: 1, Retry: int(fields[resendKey].GetNumberValue())}
			if rates {
				gate.Level = fields[levelKey].GetNumberValue()
			}
		}
	}
	for _, drop := range a.GetPolicy().GetDropOverloads() {
		if gate == nil {
			gate = &protocol.Gate{Classes: []string{a.GetClusterName()}}
		}
		gate.Level = 1 - float64(drop.GetDropPercentage().GetNumerator())/perMillion
	}
	return rows, shut, gate
}
