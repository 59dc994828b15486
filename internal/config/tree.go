package config

import "strings"

// Tree finds the route of a request by host, then by the longest prefix, one path segment per level. It is immutable.
type Tree struct {
	Config  *Config
	tenants map[string]*node
}

type node struct {
	next  map[string]*node
	route *Route
}

// NewTree returns the route tree of a configuration.
func NewTree(c *Config) *Tree {
	t := &Tree{Config: c, tenants: map[string]*node{}}
	for _, r := range c.Routes {
		n := t.tenants[r.Tenant]
		if n == nil {
			n = &node{}
			t.tenants[r.Tenant] = n
		}
		for _, segment := range segments(r.Prefix) {
			if n.next == nil {
				n.next = map[string]*node{}
			}
			child := n.next[segment]
			if child == nil {
				child = &node{}
				n.next[segment] = child
			}
			n = child
		}
		n.route = r
	}
	return t
}

// segments returns the path segments of a prefix, each of which a slash ends.
func segments(prefix string) []string {
	prefix = strings.TrimPrefix(prefix, "/")
	if prefix == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(prefix, "/"), "/")
}

// Find returns the route of a host's tenant with the longest prefix that matches, or nil.
func (t *Tree) Find(host, path string) *Route {
	tenant, err := TenantOf(host)
	if err != nil {
		return nil
	}
	return t.FindTenant(tenant, path)
}

// FindTenant returns the route of a tenant, as TenantOf names it, with the longest prefix that matches, or nil.
func (t *Tree) FindTenant(tenant, path string) *Route {
	n := t.tenants[tenant]
	if n == nil || !strings.HasPrefix(path, "/") {
		return nil
	}
	best, rest := n.route, path[1:]
	for {
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			return best // the last segment isn't followed by a slash, so no prefix ends with it
		}
		if n = n.next[rest[:i]]; n == nil {
			return best
		}
		if n.route != nil {
			best = n.route
		}
		rest = rest[i+1:]
	}
}

// Service returns the settings of a service, or nil if the configuration doesn't contain it.
func (t *Tree) Service(name string) *Service {
	for _, s := range t.Config.Services {
		if s.Name == name {
			return s
		}
	}
	return nil
}
