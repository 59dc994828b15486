// Package config implements the gateway's configuration: its JSON encoding, its validation, how changes are applied to it, and
// the tree that finds a request's route. It does no I/O.
//
// The JSON encoding has plant for a host, channel for a route, setpoint for a latency target, gain for a weight and tries for
// the number of servers that a request may reach. A configuration keeps the original bytes of its items and is returned as it
// was put, including unknown fields.
package config

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"mulleinwood/internal/platform/apierror"
)

// Version is the number of a configuration, encoded as r12, for example. 0 means no version.
type Version uint64

// ParseVersion parses a version, which may be quoted, and reports whether it is valid. "0" and an empty text mean no version.
func ParseVersion(text string) (Version, bool) {
	text = strings.Trim(strings.TrimSpace(text), `"`)
	if text == "" || text == "0" {
		return 0, true
	}
	n, err := strconv.ParseUint(strings.TrimPrefix(text, "r"), 10, 63)
	return Version(n), err == nil && strings.HasPrefix(text, "r")
}

// String implements fmt.Stringer.
func (v Version) String() string { return "r" + strconv.FormatUint(uint64(v), 10) }

// UnmarshalJSON implements json.Unmarshaler. No version is an error.
func (v *Version) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	n, ok := ParseVersion(text)
	if !ok || n == 0 {
		return apierror.Invalid.New("version %q is not r and a number", text)
	}
	*v = n
	return nil
}

// MarshalJSON implements json.Marshaler.
func (v Version) MarshalJSON() ([]byte, error) { return json.Marshal(v.String()) }

// Kind states whether a route's requests may run more than once.
type Kind string

// The kinds of a route.
const (
	Safe   Kind = "safe"   // may run more than once
	Unsafe Kind = "unsafe" // may run only once
	Keyed  Kind = "keyed"  // run only once for each key; repeats receive the response of the first run
)

// Share is the share of a split route's requests that a service receives, in proportion to its weight.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"gain"`
}

// Route maps the requests for a path prefix to services. It is immutable.
type Route struct {
	Name          string  `json:"name"` // unique in a configuration
	Prefix        string  `json:"path_prefix"`
	Kind          Kind    `json:"kind"`
	Deadline      float64 `json:"deadline_s"` // seconds that a request may take
	LatencyTarget float64 `json:"setpoint_s"` // seconds within which a request should be answered
	Priority      int     `json:"priority"`   // requests with the lowest value are served first
	Service       string  `json:"service"`    // unused if Split is set
	Split         []Share `json:"split"`
	MaxServers    int     `json:"tries"` // number of servers that a request may reach

	Host   string          `json:"-"`
	Tenant string          `json:"-"` // of Host, as TenantOf names it
	raw    json.RawMessage // original bytes
}

// Shares returns the services that receive a route's requests: Split, or Service with weight 1.
func (r *Route) Shares() []Share {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []Share{{r.Service, 1}}
}

// Service contains the settings of a service.
type Service struct {
	Name        string `json:"name"`
	HealthPath  string `json:"health_path"`
	ConnLimit   int    `json:"conn_limit"`
	SelfDedupes bool   `json:"self_dedupes"` // the service's servers deduplicate keyed operations themselves

	raw json.RawMessage // original bytes
}

// Limits limits the size and duration of clients' requests. With 0 the edge's default applies.
type Limits struct {
	MaxHeaderBytes int     `json:"max_header_bytes"`
	MaxBodyBytes   int64   `json:"max_body_bytes"`
	HeaderTimeout  float64 `json:"header_wait_s"` // seconds for a request header, from its first byte
	IdleTimeout    float64 `json:"idle_s"`        // seconds that a connection may be idle
}

// Config is one complete configuration. It is immutable.
type Config struct {
	Version  Version
	Hosts    []string // hosts with routes, in the order in which they were added
	Routes   []*Route // in the order of their hosts, then in the order of the input
	Services []*Service
	Limits   Limits

	limits json.RawMessage            // original bytes of the limits
	other  map[string]json.RawMessage // unknown fields
}

type wireHost struct {
	Host   string            `json:"plant"`
	Routes []json.RawMessage `json:"channels"`
}

type wireItems struct {
	Services []json.RawMessage `json:"services"`
	Limits   json.RawMessage   `json:"limits"`
	Hosts    []wireHost        `json:"plants"`
}

// Parse decodes and validates a complete configuration.
func Parse(body []byte) (*Config, error) {
	var document struct {
		Version Version `json:"version"`
		wireItems
	}
	if err := unmarshal(body, &document); err != nil {
		return nil, err
	}
	if document.Version == 0 {
		return nil, apierror.Invalid.New("version is missing")
	}
	c := &Config{Version: document.Version, other: map[string]json.RawMessage{}}
	if err := json.Unmarshal(body, &c.other); err != nil {
		return nil, apierror.Invalid.New("%s", err)
	}
	for _, known := range []string{"version", "services", "limits", "plants"} {
		delete(c.other, known)
	}
	if err := c.upsert(document.wireItems); err != nil {
		return nil, err
	}
	c.groupRoutes()
	return c, c.check()
}

// unmarshal decodes a body that is exactly one JSON value.
func unmarshal(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return apierror.Invalid.New("body can't be read: %s", err)
	}
	return nil
}

// Patch returns the configuration that results from applying a change of named items. It doesn't modify c. The change's
// version must be above c's.
func (c *Config) Patch(body []byte) (*Config, error) {
	var change struct {
		Version Version   `json:"version"`
		Upsert  wireItems `json:"upsert"`
		Remove  struct {
			Routes   []string `json:"routes"`
			Services []string `json:"services"`
			Hosts    []string `json:"plants"`
		} `json:"remove"`
	}
	if err := unmarshal(body, &change); err != nil {
		return nil, err
	}
	if change.Version <= c.Version {
		return nil, apierror.Invalid.New("version %s is not above %s", change.Version, c.Version)
	}
	next := *c
	next.Version = change.Version
	next.Hosts, next.Routes, next.Services = slices.Clone(c.Hosts), slices.Clone(c.Routes), slices.Clone(c.Services)
	routes, hosts, services := nameSet(change.Remove.Routes), nameSet(change.Remove.Hosts), nameSet(change.Remove.Services)
	next.Routes = slices.DeleteFunc(next.Routes, func(r *Route) bool { return routes[r.Name] || hosts[r.Host] })
	next.Services = slices.DeleteFunc(next.Services, func(s *Service) bool { return services[s.Name] })
	if err := next.upsert(change.Upsert); err != nil {
		return nil, err
	}
	next.groupRoutes()
	return &next, next.check()
}

func nameSet(names []string) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, name := range names {
		s[name] = true
	}
	return s
}

// groupRoutes drops hosts without routes and groups routes by host. A configuration that was read from a snapshot is then
// identical to one that resulted from changes, and the same further changes keep them identical.
func (c *Config) groupRoutes() {
	if hosts, ok := c.hostOrder(); ok {
		c.Hosts = slices.Clone(hosts) // clone, to free the memory of hosts without routes
		return
	}
	groups := c.groups()
	hosts, routes := make([]string, 0, len(groups)), make([]*Route, 0, len(c.Routes))
	for _, host := range c.Hosts {
		if group := groups[host]; len(group) > 0 {
			hosts, routes = append(hosts, host), append(routes, group...)
		}
	}
	c.Hosts, c.Routes = hosts, routes
}

// hostOrder reports whether the routes are grouped in the order of their hosts, and returns the hosts that have routes.
func (c *Config) hostOrder() (hosts []string, ok bool) {
	rest := c.Hosts
	hosts = make([]string, 0, len(rest))
	for _, r := range c.Routes {
		if len(hosts) > 0 && r.Host == hosts[len(hosts)-1] {
			continue
		}
		for len(rest) > 0 && rest[0] != r.Host {
			rest = rest[1:]
		}
		if len(rest) == 0 {
			return nil, false
		}
		hosts, rest = append(hosts, rest[0]), rest[1:]
	}
	return hosts, true
}

// groups returns the routes of each host, in order.
func (c *Config) groups() map[string][]*Route {
	groups := make(map[string][]*Route, len(c.Hosts))
	for _, r := range c.Routes {
		groups[r.Host] = append(groups[r.Host], r)
	}
	return groups
}

// upsert adds items and replaces those with the same name.
func (c *Config) upsert(items wireItems) error {
	if err := c.replaceLimits(items.Limits); err != nil {
		return err
	}
	if err := c.upsertServices(items.Services); err != nil {
		return err
	}
	c.addHosts(items.Hosts)
	return c.upsertRoutes(items.Hosts)
}

// replaceLimits replaces all limits, which are one item, and keeps their original bytes. Without raw bytes nothing changes.
func (c *Config) replaceLimits(raw json.RawMessage) error {
	if len(raw) == 0 {
		return nil
	}
	c.Limits = Limits{}
	if err := json.Unmarshal(raw, &c.Limits); err != nil {
		return apierror.Invalid.New("limits: %s", err)
	}
	c.limits = raw
	return nil
}

func (c *Config) upsertServices(items []json.RawMessage) error {
	indexes := make(map[string]int, len(c.Services))
	for i, s := range c.Services {
		indexes[s.Name] = i
	}
	for _, raw := range items {
		s := &Service{raw: raw}
		if err := json.Unmarshal(raw, s); err != nil {
			return apierror.Invalid.New("service: %s", err)
		}
		if i, known := indexes[s.Name]; known {
			c.Services[i] = s
			continue
		}
		indexes[s.Name] = len(c.Services)
		c.Services = append(c.Services, s)
	}
	return nil
}

// addHosts adds new hosts. Only the hosts of the change are put into a map, since most changes are small.
func (c *Config) addHosts(hosts []wireHost) {
	absent := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		absent[h.Host] = true
	}
	for _, host := range c.Hosts {
		delete(absent, host)
	}
	for _, h := range hosts {
		if absent[h.Host] {
			delete(absent, h.Host)
			c.Hosts = append(c.Hosts, h.Host)
		}
	}
}

func (c *Config) upsertRoutes(hosts []wireHost) error {
	indexes := make(map[string]int, len(c.Routes))
	for i, r := range c.Routes {
		indexes[r.Name] = i
	}
	for _, h := range hosts {
		for _, raw := range h.Routes {
			r := &Route{raw: raw, Host: h.Host, Tenant: tenantOrText(h.Host)}
			if err := json.Unmarshal(raw, r); err != nil {
				return apierror.Invalid.New("route: %s", err)
			}
			if i, known := indexes[r.Name]; known {
				c.Routes[i] = r
				continue
			}
			indexes[r.Name] = len(c.Routes)
			c.Routes = append(c.Routes, r)
		}
	}
	return nil
}

// check returns an error if the configuration is invalid.
func (c *Config) check() error {
	known := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			return apierror.Invalid.New("a service has no name")
		}
		known[s.Name] = true
	}
	for _, r := range c.Routes {
		sum := 0.0
		for _, share := range r.Shares() {
			if !known[share.Service] {
				return apierror.Invalid.New("route %s: service %q is not known", r.Name, share.Service)
			}
			if share.Weight < 0 {
				return apierror.Invalid.New("route %s: a weight is negative", r.Name)
			}
			sum += share.Weight
		}
		switch {
		case r.Name == "":
			return apierror.Invalid.New("a route of %s has no name", r.Host)
		case r.Host == "":
			return apierror.Invalid.New("route %s has no host", r.Name)
		case sum <= 0:
			return apierror.Invalid.New("route %s: the weights sum to 0", r.Name)
		case r.Deadline <= 0:
			return apierror.Invalid.New("route %s: deadline_s is not above 0", r.Name)
		case r.MaxServers <= 0:
			return apierror.Invalid.New("route %s: tries is not above 0", r.Name)
		case !strings.HasPrefix(r.Prefix, "/"):
			return apierror.Invalid.New("route %s: path_prefix %q does not start with a slash", r.Name, r.Prefix)
		case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Keyed:
			return apierror.Invalid.New("route %s: kind %q is not known", r.Name, r.Kind)
		}
	}
	return nil
}

// MarshalJSON encodes the complete configuration in the form that Parse accepts.
func (c *Config) MarshalJSON() ([]byte, error) {
	out := map[string]any{"version": c.Version}
	for name, raw := range c.other {
		out[name] = raw
	}
	services := []json.RawMessage{}
	for _, s := range c.Services {
		services = append(services, s.raw)
	}
	hosts, groups := make([]wireHost, 0, len(c.Hosts)), c.groups()
	for _, name := range c.Hosts {
		p := wireHost{Host: name}
		for _, r := range groups[name] {
			p.Routes = append(p.Routes, r.raw)
		}
		if len(p.Routes) > 0 {
			hosts = append(hosts, p)
		}
	}
	out["services"], out["plants"] = services, hosts
	if len(c.limits) > 0 {
		out["limits"] = c.limits
	}
	return json.Marshal(out)
}
