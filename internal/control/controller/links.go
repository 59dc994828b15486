package controller

import (
	"net"
	"slices"
	"strings"
	"time"

	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/peer"
)

// remote is a process at the other end of a link.
type remote struct {
	link     *peer.Link
	node     string
	ip       string
	zone     string
	counted  bool
	byLower  bool // of two controllers, the one with the lower address dialled
	life     uint64
	fleet    int // edges whose controller it is
	edge     bool
	look     bool // a guest: an edge of another controller, that looks or has claims that its controller doesn't rule on
	attached bool
	cells    peer.DigestComparison
	crew     map[string][]uint32 // a controller's edges, by zone
	roster   []uint32            // as an edge was last told
	usual    []peer.ZoneTraffic
	standing peer.ReplicaStatus // of a controller
}

// name is how the broadcaster knows a peer.
func (p *remote) name() string {
	if p.edge {
		return "edge " + p.ip
	}
	return controllerName(p.ip)
}

func controllerName(ip string) string { return "exchange " + ip }

// named finds the peer that the board means.
func (c *Controller) named(name string) *remote {
	kind, ip, _ := strings.Cut(name, " ")
	if kind == "edge" {
		return c.edges[ip]
	}
	return c.peers[ip]
}

// accept takes links in.
func (c *Controller) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

// serve runs one link: the first frame says who is there.
func (c *Controller) serve(conn net.Conn) {
	conn, err := c.security.Accept(conn)
	if err != nil {
		_ = c.logger.Log("event", "stranger", "cause", err)
		return
	}
	link := peer.NewLink(conn)
	var p *remote
	_ = link.Read(func(f *peer.Frame) { // how a link ends doesn't matter: it is made anew
		if p == nil {
			if f.Handshake == nil {
				link.Close()
				return
			}
			if err := c.security.VerifyAddress(conn, f.Handshake); err != nil {
				_ = c.logger.Log("event", "stranger", "cause", err)
				link.Close()
				return
			}
			p = &remote{link: link, node: f.Handshake.Node, ip: f.Handshake.IP, zone: f.Handshake.Zone, edge: f.Handshake.Edge, byLower: f.Handshake.IP < c.set.IP}
			c.do(func() { c.joined(p, f.Handshake) })
		}
		c.do(func() { c.frame(p, f) })
	})
	if p != nil {
		c.do(func() { c.left(p) })
	}
}

// dialing is what becomes of an address of a controller.
type dialing uint8

const (
	wanted    dialing = iota // it is dialled
	linked                   // a link is there
	forgotten                // it is not dialled any more, until a peer or the settings name it again
)

// dialing decides on an address that was out of reach for a time. One that no voter has, and that nobody answers at, was
// replaced: it is forgotten.
func (c *Controller) dialing(ip string, unreached time.Duration) dialing {
	switch {
	case c.peers[ip] != nil:
		return linked
	case unreached < forgetAfter || slices.Contains(membership.Addresses(c.membership.All()), ip) || slices.Contains(c.set.SeedIPs(), ip):
		return wanted
	}
	delete(c.known, ip)
	return forgotten
}

// dial keeps a link to another controller. Of two controllers the one with the lower address dials first; the other follows
// a little later if nobody came, since the first may not know it.
func (c *Controller) dial(ip string) {
	if c.set.IP > ip {
		time.Sleep(2 * redialEvery)
	}
	for reached := time.Now(); ; time.Sleep(redialEvery) {
		is := make(chan dialing, 1)
		c.do(func() { is <- c.dialing(ip, time.Since(reached)) })
		switch <-is {
		case linked:
			reached = time.Now()
			continue
		case forgotten:
			return
		}
		conn, err := c.security.Dial(c.set.InnerAddress(ip), dialLimit)
		if err != nil {
			continue
		}
		link := peer.NewLink(conn)
		link.Send(&peer.Frame{Handshake: c.hello()})
		var p *remote
		_ = link.Read(func(f *peer.Frame) { // how a link ends doesn't matter: it is made anew
			if p == nil {
				if f.Handshake == nil {
					link.Close()
					return
				}
				p = &remote{link: link, node: f.Handshake.Node, ip: ip, zone: f.Handshake.Zone, byLower: c.set.IP < ip}
				c.do(func() { c.joined(p, f.Handshake) })
			}
			c.do(func() { c.frame(p, f) })
		})
		if p != nil {
			c.do(func() { c.left(p) })
		}
	}
}

// hello is only what never changes: it is sent from outside the owner, too.
func (c *Controller) hello() *peer.Handshake {
	return &peer.Handshake{Node: c.set.Node, IP: c.set.IP, Zone: c.set.Zone, Incarnation: c.life, Counted: c.set.Counted, Cluster: c.cluster.Load()}
}

// joined takes a peer in and brings it up to date: a snapshot, then changes.
func (c *Controller) joined(p *remote, h *peer.Handshake) {
	if p.look = h.ProbeOnly; h.ProbeOnly {
		p.link.Send(&peer.Frame{Handshake: c.hello(), Summary: c.makeSummary(true)})
		c.guests[p] = true
		return
	}
	if mine := c.cluster.Load(); mine != 0 && h.Cluster != 0 && h.Cluster != mine {
		c.refuseStranger(p, h.Cluster)
		return
	}
	if p.edge {
		if old := c.edges[p.ip]; old != nil {
			old.link.Close()
		}
		c.edges[p.ip] = p
	} else {
		p.life = h.Incarnation
		if old := c.peers[p.ip]; old != nil {
			if old.life == p.life && old.byLower && !p.byLower {
				p.link.Close() // both dialled: both ends keep the same of the two
				return
			}
			old.link.Close()
		}
		c.peers[p.ip] = p
		p.counted = h.Counted
		delete(c.goneSince, p.ip)
		c.meet(p.ip)
	}
	c.tellReservations(p)
	c.broadcaster.AddPeer(p.name(), p.edge)
	_ = c.logger.Log("event", "link up", "node", p.node, "ip", p.ip, "edge", p.edge)
	answer := c.hello()
	answer.Recovering = c.claimStore.Recovering()
	answer.BootstrapVoters = c.members
	f := &peer.Frame{Handshake: answer, Entries: c.registry.All(c.now()), Summary: c.makeSummary(true)}
	if !p.edge {
		f.ReplicaStatus = c.standing()
	} else if h.Version < c.state.Version() {
		f.Config = c.whole()
	}
	p.link.Send(f)
	if p.edge {
		c.tables.Join(p.ip, p.zone)
	}
}

func (c *Controller) left(p *remote) {
	delete(c.guests, p)
	if c.edges[p.ip] != p && c.peers[p.ip] != p {
		return
	}
	if p.edge && c.edges[p.ip] == p {
		delete(c.edges, p.ip)
		c.tables.Leave(p.ip)
	} else if !p.edge && c.peers[p.ip] == p {
		delete(c.peers, p.ip)
		c.goneAt(p.ip)
	}
	c.broadcaster.RemovePeer(p.name())
	_ = c.logger.Log("event", "link down", "node", p.node, "ip", p.ip, "edge", p.edge)
}

// meet starts a link to a controller that is not known yet.
func (c *Controller) meet(ip string) {
	if ip == c.set.IP || c.known[ip] {
		return
	}
	c.known[ip] = true
	go c.dial(ip)
}

// frame takes what a peer sends.
func (c *Controller) frame(p *remote, f *peer.Frame) {
	if p.look {
		c.claimed(p, f)
		for _, r := range f.Revocations {
			c.void(r)
		}
		return
	}
	if p.edge && c.edges[p.ip] != p || !p.edge && c.peers[p.ip] != p {
		return // superseded
	}
	if f.Handshake != nil && len(f.Handshake.BootstrapVoters) > 0 {
		c.bootstrap(f.Handshake.BootstrapVoters)
	}
	if f.Summary != nil {
		p.attached, p.fleet = f.Summary.Attached, f.Summary.Edges
		if f.Summary.Full {
			hears := make([]string, 0, len(f.Summary.Controllers))
			for _, ip := range f.Summary.Controllers {
				hears = append(hears, controllerName(ip))
			}
			c.broadcaster.SetPeerLinks(p.name(), hears)
			p.usual, p.crew = f.Summary.TrafficByZone, f.Summary.EdgesByZone
			if f.Summary.Clock > 0 && !p.edge {
				c.reservations.clock.Observe(p.ip, f.Summary.Clock, c.now())
			}
			if p.cells.Due(f.Summary.RegistryDigest, c.registry.Digest(), c.now()) {
				_ = c.logger.Log("event", "cells compared", "with", p.node)
				p.link.Send(&peer.Frame{Digests: &peer.Digests{ByZone: c.registry.ZoneDigests()}})
			}
		}
		for _, ip := range f.Summary.Controllers {
			c.meet(ip)
		}
	}
	if f.ReplicaStatus != nil && !p.edge {
		c.heardStanding(p, f.ReplicaStatus)
	}
	for _, m := range f.Consensus {
		c.replica.Step(m, c.now())
	}
	if len(f.Entries) > 0 {
		c.broadcaster.HandleUpdate(p.name(), f.Entries, f.AckID, c.now())
	}
	if f.Digests != nil {
		if answer := f.Digests.Compare(c.registry, c.now()); answer != nil {
			p.link.Send(answer)
		}
	}
	if f.Acked != 0 {
		c.broadcaster.HandleAck(p.name(), f.Acked)
	}
	if f.SnapshotRequest {
		p.link.Send(&peer.Frame{Config: c.whole()})
	}
	if f.Report != nil {
		c.tables.HandleReport(p.ip, f.Report, func(server string) (string, bool) {
			e, known := c.registry.Get(server)
			return e.Service, known
		})
	}
	c.reservationFrame(p, f)
	c.keyFrame(p, f)
}

// tell does what the broadcaster wants told.
func (c *Controller) tell() {
	out := c.broadcaster.TakeOutput()
	if len(out.Updates) > 0 {
		c.store.server(out.Updates, c.now())
		c.tables.UpdateServers(out.Updates, c.now())
	}
	for _, s := range out.Messages {
		if p := c.named(s.To); p != nil {
			p.link.Send(&peer.Frame{Entries: s.Entries, AckID: s.AckID, Acked: s.Acked})
		}
	}
	for _, call := range out.AckedCalls {
		if done := c.calls[call]; done != nil {
			delete(c.calls, call)
			done()
		}
	}
}

// pushWeights sends the edges what the tables order.
func (c *Controller) pushWeights(now time.Duration) {
	orders := c.tables.Tick(now, func() (all []weights.PeerTraffic) {
		for _, p := range c.peers {
			all = append(all, weights.PeerTraffic{Edges: p.fleet, TrafficByZone: p.usual})
		}
		return all
	})
	for ip, w := range orders {
		if e := c.edges[ip]; e != nil {
			e.link.Send(&peer.Frame{Weights: w})
		}
	}
}

// makePulse says how this planner sees the system.
func (c *Controller) makeSummary(full bool) *peer.Summary {
	p := &peer.Summary{Attached: c.attached() && !c.leaving, Version: c.state.Version(), Edges: len(c.edges), Fleet: len(c.edges), Full: full}
	for _, other := range c.peers {
		p.Fleet += other.fleet
	}
	if !full {
		return p
	}
	for ip := range c.peers {
		p.Controllers = append(p.Controllers, ip)
	}
	slices.Sort(p.Controllers)
	p.RegistryDigest = c.registry.Digest()
	return p
}

// summarize lets all links know that this planner lives.
func (c *Controller) summarize(now time.Duration) {
	if now < c.nextSummary {
		return
	}
	if c.nextSummary == 0 {
		for ip := range c.known {
			go c.dial(ip)
		}
	}
	c.nextSummary = now + peer.SummaryInterval
	c.summaries++
	full := c.summaries%fullEvery == 0
	summary := c.makeSummary(full)
	f := &peer.Frame{Summary: summary}
	for _, e := range c.edges {
		if roster := c.roster(e.zone); full && !slices.Equal(roster, e.roster) {
			mine := *summary
			mine.ZoneEdges, e.roster = roster, roster
			e.link.Send(&peer.Frame{Summary: &mine})
			continue
		}
		e.link.Send(f)
	}
	for g := range c.guests {
		g.link.Send(f)
	}
	f = &peer.Frame{Summary: c.makeSummary(full)}
	if full {
		f.Summary.TrafficByZone, f.Summary.EdgesByZone, f.Summary.Clock = c.tables.OwnTraffic(), map[string][]uint32{}, wall()
		c.reservations.clock.Observe(c.set.IP, f.Summary.Clock, now)
		for _, e := range c.edges {
			f.Summary.EdgesByZone[e.zone] = append(f.Summary.EdgesByZone[e.zone], peer.EdgeHash(e.node))
		}
	}
	for _, p := range c.peers {
		p.link.Send(f)
	}
}

// roster is a zone's edges, whoever their controller is.
func (c *Controller) roster(zone string) []uint32 {
	var all []uint32
	for _, e := range c.edges {
		if e.zone == zone {
			all = append(all, peer.EdgeHash(e.node))
		}
	}
	for _, p := range c.peers {
		all = append(all, p.crew[zone]...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// lost tells whether a controller is out of reach for longer than its servers need to find another.
func (c *Controller) lost(ip string) bool {
	if ip == c.set.IP || c.peers[ip] != nil {
		return false
	}
	since, known := c.goneSince[ip]
	if !known {
		c.goneSince[ip] = c.now()
		return false
	}
	return c.now()-since > ownerLost
}

func (c *Controller) goneAt(ip string) { c.goneSince[ip] = c.now() }
