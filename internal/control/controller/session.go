package controller

import (
	"context"
	"net"
	"time"

	"mulleinwood/internal/peer"
)

const (
	redialInterval = 300 * time.Millisecond
	dialTimeout    = 400 * time.Millisecond
)

// acceptLinks accepts links from other processes until the listener is closed.
func (c *Controller) acceptLinks(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go c.serveLink(ctx, conn)
	}
}

// serveLink runs one accepted link. The first frame must contain the handshake.
func (c *Controller) serveLink(ctx context.Context, accepted net.Conn) {
	conn, err := c.security.Accept(ctx, accepted)
	if err != nil {
		c.LogEvent("peer rejected", "cause", err)
		return
	}
	c.runLink(peer.NewLink(conn), func(link *peer.Link, h *peer.Handshake) *remote {
		if err := c.security.VerifyAddress(conn, h); err != nil {
			c.LogEvent("peer rejected", "cause", err)
			return nil
		}
		return &remote{link: link, node: h.Node, ip: h.IP, zone: h.Zone, edge: h.Edge, dialledByLower: h.IP < c.Settings.IP}
	})
}

// runLink reads a link until it ends and passes its messages to the owner. It calls identify with the first handshake; if
// identify returns nil, the link is rejected.
func (c *Controller) runLink(link *peer.Link, identify func(*peer.Link, *peer.Handshake) *remote) {
	var p *remote
	_ = link.Read(func(messages []peer.Message) { // the error is ignored, since the link is dialled again
		if p == nil {
			handshake := handshakeIn(messages)
			if handshake == nil {
				link.Close()
				return
			}
			if p = identify(link, handshake); p == nil {
				link.Close()
				return
			}
			c.runOnOwner(func() { c.handleJoin(p, handshake) })
		}
		c.runOnOwner(func() { c.handleMessages(p, messages) })
	})
	if p != nil {
		c.runOnOwner(func() { c.handleLinkDown(p) })
	}
}

func handshakeIn(messages []peer.Message) *peer.Handshake {
	for _, m := range messages {
		if h, ok := m.(*peer.Handshake); ok {
			return h
		}
	}
	return nil
}

// dialController maintains a link to another controller until its address is forgotten. Of two controllers, the one with
// the lower address dials first. The other one dials a little later if there is no link, since the first may not know its
// address.
func (c *Controller) dialController(ctx context.Context, ip string) {
	if c.Settings.IP > ip {
		time.Sleep(2 * redialInterval)
	}
	for reachedAt := time.Now(); ctx.Err() == nil; time.Sleep(redialInterval) {
		state := make(chan dialState, 1)
		c.runOnOwner(func() { state <- c.links.dialState(ip, time.Since(reachedAt), c.members.current.All()) })
		switch <-state {
		case dialLinked:
			reachedAt = time.Now()
			continue
		case dialForgotten:
			return
		}
		conn, err := c.security.Dial(ctx, c.Settings.InnerAddress(ip), dialTimeout)
		if err != nil {
			continue
		}
		link := peer.NewLink(conn)
		link.Send(c.members.handshake())
		c.runLink(link, func(link *peer.Link, h *peer.Handshake) *remote {
			return &remote{link: link, node: h.Node, ip: ip, zone: h.Zone, dialledByLower: c.Settings.IP < ip}
		})
	}
}

// addController starts dialling a controller that is not known yet.
func (c *Controller) addController(ip string) {
	if ip == c.Settings.IP || c.links.known[ip] {
		return
	}
	c.links.known[ip] = true
	go c.dialController(c.linkCtx, ip)
}

// handleJoin registers a new peer and sends it a snapshot of the state that it needs; changes follow.
func (c *Controller) handleJoin(p *remote, h *peer.Handshake) {
	if p.secondary = h.ProbeOnly; p.secondary {
		p.link.Send(c.members.handshake(), c.summaries.full(c))
		c.links.secondary[p] = true
		return
	}
	if c.members.otherCluster(h.Cluster) {
		c.links.reject(p, h.Cluster)
		return
	}
	p.incarnation, p.counted = h.Incarnation, h.Counted
	if p.edge {
		c.links.addEdge(p)
	} else {
		if !c.links.addController(p) {
			return
		}
		c.addController(p.ip)
	}
	c.reservations.announceTo(p)
	c.servers.broadcaster.AddPeer(p.peerName(), p.edge)
	c.LogEvent("link up", "node", p.node, "ip", p.ip, "edge", p.edge, "incarnation", p.incarnation)
	c.sendSnapshot(p, h.Version)
	if p.edge {
		c.weights.tables.Join(p.ip, p.zone)
	}
}

// sendSnapshot sends a new peer the state that it needs; version is the peer's configuration version.
func (c *Controller) sendSnapshot(p *remote, version uint64) {
	handshake := c.members.handshake()
	handshake.Recovering = c.claims.store.Recovering()
	handshake.BootstrapVoters = c.members.bootstrapVoters
	messages := []peer.Message{handshake, c.summaries.full(c), peer.RegistryUpdate{Entries: c.servers.registry.All(c.Now())}}
	if !p.edge {
		messages = append(messages, c.members.status())
	} else if version < c.consensus.state.Version() {
		messages = append(messages, c.consensus.configSnapshot())
	}
	p.link.Send(messages...)
}

// handleLinkDown removes a peer whose link ended, unless a newer link has replaced it.
func (c *Controller) handleLinkDown(p *remote) {
	if !c.links.remove(p) {
		return
	}
	if p.edge {
		c.weights.tables.Leave(p.ip)
	}
	c.servers.broadcaster.RemovePeer(p.peerName())
	c.LogEvent("link down", "node", p.node, "ip", p.ip, "edge", p.edge)
}

// handleMessages handles the messages of one frame.
func (c *Controller) handleMessages(p *remote, messages []peer.Message) {
	for _, m := range messages {
		switch {
		case p.secondary:
			c.handleFromSecondary(p, m)
		case c.links.current(p): // an earlier message of the frame may have closed the link
			c.handleMessage(p, m)
		}
	}
}

// handleFromSecondary handles a message of an edge that belongs to another controller. Messages other than claims are
// ignored.
func (c *Controller) handleFromSecondary(p *remote, m peer.Message) {
	switch m := m.(type) {
	case peer.ClaimRequests:
		c.claims.handleClaimRequests(p, m)
	case peer.Revocations:
		c.claims.handleRevocations(p, m)
	}
}

// handleMessage dispatches a message to the component that handles its type.
func (c *Controller) handleMessage(p *remote, m peer.Message) {
	switch m := m.(type) {
	case *peer.Handshake:
		c.members.handleBootstrapVoters(m.BootstrapVoters)
	case *peer.Summary:
		c.handleSummary(p, m)
	case *peer.ReplicaStatus:
		c.members.handleReplicaStatus(p, m)
	case peer.ConsensusMessages:
		for _, message := range m {
			c.consensus.replica.Step(message, c.Now())
		}
	case peer.ConfigRequest:
		p.link.Send(c.consensus.configSnapshot())
	case *peer.Report:
		c.weights.handleReport(p, m)
	case peer.RegistryUpdate, *peer.Digests, peer.RegistryAck:
		c.servers.handleMessage(p, m)
	case *peer.Reservations, peer.Demands, peer.Leases:
		c.reservations.handleMessage(p, m)
	default:
		c.claims.handleMessage(p, m)
	}
}

// handleSummary records a peer's summary and dials the controllers that it lists.
func (c *Controller) handleSummary(p *remote, s *peer.Summary) {
	p.summary.inContact, p.summary.edges = s.InContact, s.Edges
	if s.Full {
		c.handleFullSummary(p, s)
	}
	for _, ip := range s.Controllers {
		c.addController(ip)
	}
}

func (c *Controller) handleFullSummary(p *remote, s *peer.Summary) {
	peerLinks := make([]string, 0, len(s.Controllers))
	for _, ip := range s.Controllers {
		peerLinks = append(peerLinks, controllerName(ip))
	}
	c.servers.broadcaster.SetPeerLinks(p.peerName(), peerLinks)
	p.summary.trafficByZone, p.summary.edgesByZone = s.TrafficByZone, s.EdgesByZone
	if s.Clock > 0 && !p.edge {
		c.reservations.clock.Observe(p.ip, s.Clock, c.Now())
	}
	if p.digests.Due(s.RegistryDigest, c.servers.registry.Digest(), c.Now()) {
		c.LogEvent("digests compared", "with", p.node)
		p.link.Send(&peer.Digests{ByZone: c.servers.registry.ZoneDigests()})
	}
}
