package config

import "strings"

// Tree finds the route of a request: by host, then by the longest prefix, a segment a step. It is not changed once it
// is made.
type Tree struct {
	Config *Config
	hosts  map[string]*node
}

type node struct {
	next  map[string]*node
	route *Route
}

// NewTree makes the matchers of a configuration.
func NewTree(c *Config) *Tree {
	t := &Tree{Config: c, hosts: map[string]*node{}}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		n := t.hosts[host]
		if n == nil {
			n = &node{}
			t.hosts[host] = n
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

// segments are the parts of a prefix, each of which a slash ends.
func segments(prefix string) []string {
	prefix = strings.TrimPrefix(prefix, "/")
	if prefix == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(prefix, "/"), "/")
}

// Find gives the route with the longest prefix, or nil. The host may carry a port.
func (t *Tree) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	n := t.hosts[strings.ToLower(host)]
	if n == nil || !strings.HasPrefix(path, "/") {
		return nil
	}
	best, rest := n.route, path[1:]
	for {
		i := strings.IndexByte(rest, '/')
		if i < 0 {
			return best // the last segment has no slash after it: no prefix ends in it
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

// Service finds what the configuration says of a service.
func (t *Tree) Service(name string) *Service {
	for _, s := range t.Config.Services {
		if s.Name == name {
			return s
		}
	}
	return nil
}
