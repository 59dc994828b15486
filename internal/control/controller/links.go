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
	// controllerUnreachableAfter is how long a controller must be unreachable before others monitor its servers' heartbeats.
	// It is longer than servers need to find another controller.
	controllerUnreachableAfter = 2500 * time.Millisecond
	// forgetAfter is how long a controller without a vote may be unreachable before its address is no longer dialled.
	forgetAfter = 2 * time.Minute
)

// remote is the process at the other end of a link, with the state that it last reported.
type remote struct {
	link        *peer.Link
	node        string
	ip          string
	zone        string
	incarnation uint64
	edge        bool // false: a controller
	counted     bool // a controller that the platform counts as a member; it may become a voter
	// dialledByLower is set if the controller with the lower address dialled. If both dial, that link is kept.
	dialledByLower bool
	// secondary is set for an edge that belongs to another controller. It only probes this controller, or sends claims that
	// its own controller didn't decide.
	secondary bool

	summary   remoteSummary
	digests   peer.DigestComparison
	status    peer.ReplicaStatus // set for a controller
	zoneEdges []uint32           // ZoneEdges last sent to an edge
}

// remoteSummary is the last state from a peer's summaries.
type remoteSummary struct {
	inContact     bool // with a majority of the voters
	edges         int
	edgesByZone   map[string][]uint32
	trafficByZone []peer.ZoneTraffic
}

// Kinds in the broadcaster's peer names. A name consists of a kind, a space and an IP address.
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
	unreachable map[string]time.Duration // since when a controller is unreachable, by IP
	rejected    map[string]uint64        // cluster of a rejected controller, by IP
}

func newLinkTable(env *node.Env) *linkTable {
	return &linkTable{Env: env, controllers: map[string]*remote{}, edges: map[string]*remote{}, secondary: map[*remote]bool{},
		known: map[string]bool{}, unreachable: map[string]time.Duration{}, rejected: map[string]uint64{}}
}

// current reports whether the link is in use; a newer link of the same process may have replaced it.
func (t *linkTable) current(p *remote) bool {
	return t.secondary[p] || t.edges[p.ip] == p || t.controllers[p.ip] == p
}

// byPeerName returns the peer with a broadcaster name, or nil if its link has ended.
func (t *linkTable) byPeerName(name string) *remote {
	kind, ip, _ := strings.Cut(name, " ")
	if kind == edgeKind {
		return t.edges[ip]
	}
	return t.controllers[ip]
}

// replica returns the link to a replica, or nil if there is no link to its address or another identity is in use there.
func (t *linkTable) replica(identity string) *remote {
	if p := t.controllers[membership.Address(identity)]; p != nil && p.status.Identity == identity {
		return p
	}
	return nil
}

// identities returns the sorted identities of the linked replicas.
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

// addEdge adds the link to an edge and closes the previous one.
func (t *linkTable) addEdge(p *remote) {
	if previous := t.edges[p.ip]; previous != nil {
		previous.link.Close()
	}
	t.edges[p.ip] = p
}

// addController adds the link to a controller and closes the previous one. If both ends dialled, it keeps the link dialled by
// the controller with the lower address and reports whether p was added.
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

// remove removes a link and reports whether it was in use as its process's main link.
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

// reject closes the link to a controller of another cluster. It logs the first rejection only, since the controller keeps
// dialling.
func (t *linkTable) reject(p *remote, cluster uint64) {
	if t.rejected[p.ip] != cluster {
		t.rejected[p.ip] = cluster
		t.LogEvent("peer rejected", "node", p.node, "ip", p.ip, "cause", "peer belongs to another cluster", "cluster", cluster)
	}
	p.link.Close()
}

// controllerUnreachable reports whether a controller has been unreachable for longer than controllerUnreachableAfter.
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

// zoneEdgeHashes returns the sorted hashes of all edges in a zone, of all controllers.
func (t *linkTable) zoneEdgeHashes(zone string) []uint32 {
	var hashes []uint32
	for _, e := range t.edges {
		if e.zone == zone {
			hashes = append(hashes, peer.EdgeHash(e.node))
		}
	}
	for _, p := range t.controllers {
		hashes = append(hashes, p.summary.edgesByZone[zone]...)
	}
	slices.Sort(hashes)
	return slices.Compact(hashes)
}

// dialState is the dialling state of a controller's address.
type dialState uint8

const (
	dialWanted    dialState = iota // to be dialled
	dialLinked                     // linked, not to be dialled
	dialForgotten                  // no longer dialled, until a peer or the settings name the address again
)

// dialState returns the dialling state of an address that has been unreachable for the given time. An address that belongs to
// no voter and no seed, and has been unreachable for forgetAfter, was that of a replaced controller and is forgotten.
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

// drain waits until all queued frames are written, for at most limit.
func (t *linkTable) drain(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, p := range t.controllers {
		p.link.Drain(deadline)
	}
	for _, e := range t.edges {
		e.link.Drain(deadline)
	}
}
