package controller

import (
	"slices"
	"strings"
	"time"

	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

const (
	// controllerUnreachableAfter is how long a controller has to be unreachable before others watch over its servers: longer than
	// servers need to find another controller.
	controllerUnreachableAfter = 2500 * time.Millisecond
	// forgetAfter is how long a controller without a vote may be unreachable before its address is not dialled any more.
	forgetAfter = 2 * time.Minute
)

// remote is a process at the other end of a link, with what it said last.
type remote struct {
	link        *peer.Link
	node        string
	ip          string
	zone        string
	incarnation uint64
	edge        bool // false: a controller
	counted     bool // a controller that the platform counts, and that may vote
	// dialledByLower: of the two controllers, the one with the lower address dialled. If both dial, that link is kept.
	dialledByLower bool
	// secondary: an edge that belongs to another controller. It probes, or sends claims that its own didn't decide.
	secondary bool

	summary   remoteSummary
	digests   peer.DigestComparison
	status    peer.ReplicaStatus // of a controller
	zoneEdges []uint32           // as last sent to an edge
}

// remoteSummary is what is kept of a peer's summaries.
type remoteSummary struct {
	inContact     bool // with a majority of the voters
	edges         int
	edgesByZone   map[string][]uint32
	trafficByZone []peer.ZoneTraffic
}

// Names by which the broadcaster knows peers: a kind and an IP address.
const (
	edgeKind       = "edge"
	controllerKind = "controller"
)

func (p *remote) peerName() string {
	if p.edge {
		return edgeKind + " " + p.ip
	}
	return controllerName(p.ip)
}

func controllerName(ip string) string { return controllerKind + " " + ip }

// linkTable holds the links to other processes and the addresses of controllers.
type linkTable struct {
	*node.Env
	controllers map[string]*remote // by IP
	edges       map[string]*remote // by IP
	secondary   map[*remote]bool
	known       map[string]bool          // IPs of controllers that are dialled
	unreachable map[string]time.Duration // controllers by IP, and since when
	rejected    map[string]uint64        // clusters of controllers that were rejected, by IP
}

func newLinkTable(env *node.Env) *linkTable {
	return &linkTable{Env: env, controllers: map[string]*remote{}, edges: map[string]*remote{}, secondary: map[*remote]bool{},
		known: map[string]bool{}, unreachable: map[string]time.Duration{}, rejected: map[string]uint64{}}
}

// current reports whether the link is the one in use for its process: a newer one may have superseded it.
func (t *linkTable) current(p *remote) bool {
	return t.secondary[p] || t.edges[p.ip] == p || t.controllers[p.ip] == p
}

// byPeerName finds the peer that the broadcaster means; nil: it has gone.
func (t *linkTable) byPeerName(name string) *remote {
	kind, ip, _ := strings.Cut(name, " ")
	if kind == edgeKind {
		return t.edges[ip]
	}
	return t.controllers[ip]
}

// replica finds the link to a replica; nil while another replica, or none, runs at its address.
func (t *linkTable) replica(identity string) *remote {
	if p := t.controllers[membership.Address(identity)]; p != nil && p.status.Identity == identity {
		return p
	}
	return nil
}

// identities are those of the linked replicas, sorted.
func (t *linkTable) identities() []string {
	var linked []string
	for _, p := range t.controllers {
		if p.status.Identity != "" {
			linked = append(linked, p.status.Identity)
		}
	}
	slices.Sort(linked)
	return linked
}

// sendToControllers sends the same messages to all linked controllers.
func (t *linkTable) sendToControllers(messages ...peer.Message) {
	for _, p := range t.controllers {
		p.link.Send(messages...)
	}
}

// sendToEdges sends the same messages to all attached edges.
func (t *linkTable) sendToEdges(messages ...peer.Message) {
	for _, e := range t.edges {
		e.link.Send(messages...)
	}
}

// addEdge makes a link the one to its edge.
func (t *linkTable) addEdge(p *remote) {
	if previous := t.edges[p.ip]; previous != nil {
		previous.link.Close()
	}
	t.edges[p.ip] = p
}

// addController makes a link the one to its controller, unless both ends dialled and the other link is to stay.
func (t *linkTable) addController(p *remote) (added bool) {
	if previous := t.controllers[p.ip]; previous != nil {
		if previous.incarnation == p.incarnation && previous.dialledByLower && !p.dialledByLower {
			p.link.Close()
			return false
		}
		previous.link.Close()
	}
	t.controllers[p.ip] = p
	delete(t.unreachable, p.ip)
	return true
}

// remove takes a link out and reports whether it was the one in use.
func (t *linkTable) remove(p *remote) bool {
	delete(t.secondary, p)
	switch {
	case p.edge && t.edges[p.ip] == p:
		delete(t.edges, p.ip)
	case !p.edge && t.controllers[p.ip] == p:
		delete(t.controllers, p.ip)
		t.unreachable[p.ip] = t.Now()
	default:
		return false
	}
	return true
}

// reject ends the link to a controller of another cluster, with one line of log for as long as it keeps dialling.
func (t *linkTable) reject(p *remote, cluster uint64) {
	if t.rejected[p.ip] != cluster {
		t.rejected[p.ip] = cluster
		t.LogEvent("peer rejected", "node", p.node, "ip", p.ip, "cause", "it belongs to another cluster", "cluster", cluster)
	}
	p.link.Close()
}

// controllerUnreachable reports whether a controller has been unreachable for longer than its servers need to find another.
func (t *linkTable) controllerUnreachable(ip string) bool {
	if ip == t.Settings.IP || t.controllers[ip] != nil {
		return false
	}
	since, known := t.unreachable[ip]
	if !known {
		t.unreachable[ip] = t.Now()
		return false
	}
	return t.Now()-since > controllerUnreachableAfter
}

// zoneEdgeHashes lists a zone's edges, whichever controller they are attached to.
func (t *linkTable) zoneEdgeHashes(zone string) []uint32 {
	var all []uint32
	for _, e := range t.edges {
		if e.zone == zone {
			all = append(all, peer.EdgeHash(e.node))
		}
	}
	for _, p := range t.controllers {
		all = append(all, p.summary.edgesByZone[zone]...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// dialState is what becomes of a controller's address.
type dialState uint8

const (
	dialWanted    dialState = iota // it is dialled
	dialLinked                     // there is a link
	dialForgotten                  // it is not dialled any more, until a peer or the settings name it again
)

// dialState decides on an address that has been unreachable for a time. One that no voter has, and that nobody answers at,
// belonged to a controller that was replaced: it is forgotten.
func (t *linkTable) dialState(ip string, unreachable time.Duration, voters []string) dialState {
	switch {
	case t.controllers[ip] != nil:
		return dialLinked
	case unreachable < forgetAfter || slices.Contains(membership.Addresses(voters), ip) ||
		slices.Contains(t.Settings.SeedIPs(), ip):
		return dialWanted
	}
	delete(t.known, ip)
	return dialForgotten
}

// drain lets what is queued for peers leave before the process ends.
func (t *linkTable) drain(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, p := range t.controllers {
		p.link.Drain(deadline)
	}
	for _, e := range t.edges {
		e.link.Drain(deadline)
	}
}
