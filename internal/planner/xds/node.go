// Package xds holds the machines of the planner's gRPC front: assignments by the published discovery protocol (v3, state of
// the world and incremental) and load by the load reporting service (v3). They are fed messages and know no socket and no
// clock; what they yield and take are the typed messages and orders of package protocol, as the line protocol's do.
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

// Config are what the machines must know of the deployment.
type Config struct {
	Classes      []string
	Zones        []string
	RateLevels   bool    // levels are requests a second, not shares
	ReportPeriod float64 // of reports, in milliseconds
	Bounds       protocol.Bounds
}

// Role is what a peer is.
type Role int

// The roles.
const (
	Proxy Role = iota
	Collector
)

// Identity is who a node says that it is.
type Identity struct {
	Role  Role
	Proxy int
	Zone  string
	Rate  float64
	Fresh bool
}

// What a node's id begins with, and the keys of its metadata.
const (
	proxyPrefix     = "proxy/"
	collectorPrefix = "collector/"
	rateKey         = "requests_per_second"
	freshKey        = "fresh"
)

// The errors that end a stream. A part that is merely of no use is reported as an InvalidPartError.
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

// InvalidPartError says that part of a message is of no use. The stream goes on.
type InvalidPartError struct {
	Part string
	Err  error
}

// Error implements error.
func (v InvalidPartError) Error() string { return fmt.Sprintf("%s: %v", v.Part, v.Err) }

// Unwrap returns the cause, for errors.Is and errors.As.
func (v InvalidPartError) Unwrap() error { return v.Err }

// Identify reads a node: its id is "proxy/" and the proxy's number, or "collector/" and its zone; locality.zone is the
// proxy's zone; metadata may tell its usual rate and whether it holds no table that was ordered.
func Identify(n *core.Node, f Config) (Identity, error) {
	if n == nil {
		return Identity{}, ErrMissingNode
	}
	var who Identity
	if zone, is := strings.CutPrefix(n.GetId(), collectorPrefix); is {
		who = Identity{Role: Collector, Zone: zone}
	} else {
		var err error
		if who, err = identifyProxy(n, f); err != nil {
			return Identity{}, err
		}
	}
	if !slices.Contains(f.Zones, who.Zone) {
		return Identity{}, fmt.Errorf("%w: zone %.40q", ErrUnknownNode, who.Zone)
	}
	return who, nil
}

// identifyProxy reads a node whose id names a proxy.
func identifyProxy(n *core.Node, f Config) (Identity, error) {
	number, found := strings.CutPrefix(n.GetId(), proxyPrefix)
	proxy, err := strconv.Atoi(number)
	if !found || err != nil || proxy < 0 || proxy >= f.Bounds.Proxies || strconv.Itoa(proxy) != number {
		return Identity{}, fmt.Errorf("%w: id %.40q", ErrUnknownNode, n.GetId())
	}
	who := Identity{Proxy: proxy, Zone: n.GetLocality().GetZone(), Fresh: true}
	fields := n.GetMetadata().GetFields()
	if rate, stated := fields[rateKey]; stated {
		if who.Rate = rate.GetNumberValue(); !(who.Rate >= 0 && who.Rate <= protocol.MaxRate) {
			return Identity{}, fmt.Errorf("%w: %s is %v", ErrUnknownNode, rateKey, who.Rate)
		}
	}
	if fresh, stated := fields[freshKey]; stated {
		who.Fresh = fresh.GetBoolValue()
	}
	return who, nil
}

// same says whether a later message of a stream names the node that the first did, or none.
func same(n *core.Node, who Identity, f Config) bool {
	if n == nil || n.GetId() == "" {
		return true
	}
	other, err := Identify(n, f)
	return err == nil && other.Role == who.Role && other.Proxy == who.Proxy && other.Zone == who.Zone
}

// finite says whether a figure may be taken.
func finite(x float64) bool { return x >= 0 && !math.IsInf(x, 0) && !math.IsNaN(x) }
