// Package xds contains the state machines of the planner's gRPC front: endpoint assignments by the aggregated discovery
// service (v3, state-of-the-world and incremental) and load reports by the load reporting service (v3). They process
// messages and open no sockets and read no clock. As with the line protocol, their output and input are the typed messages
// and orders of package protocol.
package xds

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"mulleinwood/internal/planner/protocol"
)

// Config is the configuration of the planner as far as the streams need it.
type Config struct {
	Classes      []string        // names of the request classes
	Zones        []string        // names of the zones
	RateLevels   bool            // admission levels are requests per second, not shares
	ReportPeriod float64         // load reporting interval, in milliseconds
	Bounds       protocol.Bounds // limits of valid reports
}

// Role is the role of a peer.
type Role int

// The roles.
const (
	Proxy Role = iota
	Collector
)

// Identity is the identity that a node claims.
type Identity struct {
	Role  Role
	Proxy int // number of the proxy; 0 for a collector
	Zone  string
	Rate  float64 // typical requests per second of the proxy; 0 if not stated
	Fresh bool    // the proxy holds no table that the planner sent
}

// The prefixes of node IDs, and the keys of node metadata.
const (
	proxyPrefix     = "proxy/"
	collectorPrefix = "collector/"
	rateKey         = "requests_per_second"
	freshKey        = "fresh"
)

// The exported errors end a stream. The others, and further invalid parts of a message, are reported as InvalidPartError.
var (
	ErrMissingNode     = errors.New("the first message names no node")
	ErrNodeChanged     = errors.New("another node than the stream began with")
	ErrUnknownNode     = errors.New("a node of nobody here")
	ErrUnsupportedType = errors.New("a type that is not served")
	ErrTooManyNames    = errors.New("more resources than there are classes")
	ErrNotProxy        = errors.New("assignments are for proxies")
	errBadInterval     = errors.New("an interval that can't be")
	errNoEndpoint      = errors.New("an endpoint without an id and an address")
	errLatency         = errors.New("a latency that can't be")
)

// InvalidPartError reports an invalid part of a message. The part is ignored and the stream continues.
type InvalidPartError struct {
	Part string
	Err  error
}

// Error implements error.
func (v InvalidPartError) Error() string { return fmt.Sprintf("%s: %v", v.Part, v.Err) }

// Unwrap returns the cause, for errors.Is and errors.As.
func (v InvalidPartError) Unwrap() error { return v.Err }

// Identify returns the identity of a node. The node's ID is "proxy/" and the proxy's number, or "collector/" and its zone.
// A proxy's zone is in locality.zone; its metadata may contain its typical rate, and whether it holds no table that the
// planner sent, which is the default.
func Identify(node *core.Node, config Config) (Identity, error) {
	if node == nil {
		return Identity{}, ErrMissingNode
	}
	var identity Identity
	if zone, isCollector := strings.CutPrefix(node.GetId(), collectorPrefix); isCollector {
		identity = Identity{Role: Collector, Zone: zone}
	} else {
		var err error
		if identity, err = identifyProxy(node, config); err != nil {
			return Identity{}, err
		}
	}
	if !slices.Contains(config.Zones, identity.Zone) {
		return Identity{}, fmt.Errorf("%w: zone %.40q", ErrUnknownNode, identity.Zone)
	}
	return identity, nil
}

// identifyProxy returns the identity of a proxy's node.
func identifyProxy(node *core.Node, config Config) (Identity, error) {
	number, found := strings.CutPrefix(node.GetId(), proxyPrefix)
	proxy, err := strconv.Atoi(number)
	if !found || err != nil || proxy < 0 || proxy >= config.Bounds.Proxies || strconv.Itoa(proxy) != number {
		return Identity{}, fmt.Errorf("%w: id %.40q", ErrUnknownNode, node.GetId())
	}
	identity := Identity{Proxy: proxy, Zone: node.GetLocality().GetZone(), Fresh: true}
	fields := node.GetMetadata().GetFields()
	if rate, stated := fields[rateKey]; stated {
		if identity.Rate = rate.GetNumberValue(); !(identity.Rate >= 0 && identity.Rate <= protocol.MaxRate) {
			return Identity{}, fmt.Errorf("%w: %s is %v", ErrUnknownNode, rateKey, identity.Rate)
		}
	}
	if fresh, stated := fields[freshKey]; stated {
		identity.Fresh = fresh.GetBoolValue()
	}
	return identity, nil
}

// sameNode reports whether a later message of a stream has the same node as the first one, or no node.
func sameNode(node *core.Node, identity Identity, config Config) bool {
	if node == nil || node.GetId() == "" {
		return true
	}
	other, err := Identify(node, config)
	return err == nil && other.Role == identity.Role && other.Proxy == identity.Proxy && other.Zone == identity.Zone
}

// finiteNonNegative reports whether x is neither negative, infinite nor NaN.
func finiteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }
