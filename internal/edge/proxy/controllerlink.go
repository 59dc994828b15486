package proxy

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"mulleinwood/internal/config"
	"mulleinwood/internal/peer"
)

// controllerSession is the link to the controller that an edge belongs to: of its zone, if one there hears the rest of the core.
type controllerSession struct {
	mu        sync.Mutex
	link      *peer.Link
	ip        string
	zoneByIP  map[string]string // of controllers, by IP
	known     map[string]bool
	secondary *peer.Link    // at another controller, for claims that its own doesn't rule on
	dialing   chan struct{} // held by who dials for it
}

const secondaryIdleTimeout = 3 * time.Second // without a claim, after which the edge leaves that other controller

const (
	controllerDialTimeout = 400 * time.Millisecond
	zoneSearchInterval    = 3 * time.Second // for a controller of the own zone, while the edge's is elsewhere
	searchInterval        = 50 * time.Millisecond
	searchesBeforeReload  = 20                    // before the settings file is read again
	searchGrace           = 60 * time.Millisecond // for further answers after the first
)

// controllerInfo is a controller that answered.
type controllerInfo struct {
	ip       string
	zone     string
	attached bool
}

// run keeps a controller, for as long as the process lives.
func (s *controllerSession) run(c *Proxy) {
	for failed := 0; ; time.Sleep(searchInterval) {
		best, ok := s.findController(c)
		if ok {
			failed = 0
			s.attach(c, best)
		} else if failed++; failed%searchesBeforeReload == 0 { // the file may have changed without a signal
			c.reload()
		}
	}
}

// addKnown adds controllers that may be asked.
func (s *controllerSession) addKnown(ips []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ip := range ips {
		s.known[ip] = true
	}
}

// findController asks all controllers that are known how they see the core, and takes the best: one that hears more than half of
// it, then one of the own zone, then the one that rendezvous hashing names.
func (s *controllerSession) findController(c *Proxy) (best controllerInfo, ok bool) {
	s.mu.Lock()
	ips := make([]string, 0, len(s.known))
	for ip := range s.known {
		ips = append(ips, ip)
	}
	s.mu.Unlock()
	answers := make(chan *controllerInfo, len(ips))
	for _, ip := range ips {
		go func() { answers <- c.probeController(ip) }()
	}
	score := func(f controllerInfo) uint64 {
		s := xxh3.HashString(c.settings.Node+"\x00"+f.ip) >> 2
		if f.zone == c.settings.Zone {
			s |= 1 << 62
		}
		if f.attached {
			s |= 1 << 63
		}
		return s
	}
	var enough <-chan time.Time
	for range ips {
		select {
		case f := <-answers:
			if f == nil {
				continue
			}
			s.mu.Lock()
			s.zoneByIP[f.ip] = f.zone
			s.mu.Unlock()
			if !ok || score(*f) > score(best) {
				best, ok = *f, true
			}
			if enough == nil { // one that is down or cut off doesn't hold up the others
				enough = time.After(searchGrace)
			}
		case <-enough:
			return best, ok
		}
	}
	return best, ok
}

// probeController asks one controller how it is.
func (p *Proxy) probeController(ip string) (f *controllerInfo) {
	conn, err := p.security.Dial(p.settings.InnerAddress(ip), controllerDialTimeout)
	if err != nil {
		return nil
	}
	link := peer.NewLink(conn)
	link.Send(&peer.Frame{Handshake: &peer.Handshake{Node: p.settings.Node, IP: p.settings.IP, Zone: p.settings.Zone, Edge: true, Incarnation: p.incarnation, ProbeOnly: true}})
	_ = link.Read(func(got *peer.Frame) { // no answer is an answer
		if got.Handshake != nil && got.Summary != nil {
			f = &controllerInfo{ip: ip, zone: got.Handshake.Zone, attached: got.Summary.Attached}
		}
		link.Close()
	})
	return f
}

// attach is at its controller until the link ends, or the controller is cut off from the core, or one of the own zone is back.
func (s *controllerSession) attach(c *Proxy, at controllerInfo) {
	conn, err := c.security.Dial(c.settings.InnerAddress(at.ip), controllerDialTimeout)
	if err != nil {
		return
	}
	link := peer.NewLink(conn)
	hello := &peer.Handshake{Node: c.settings.Node, IP: c.settings.IP, Zone: c.settings.Zone, Edge: true, Incarnation: c.incarnation}
	if tree := c.tree.Load(); tree != nil {
		hello.Version = uint64(tree.Config.Version)
	}
	link.Send(&peer.Frame{Handshake: hello})
	c.mu.Lock()
	entries := c.registry.All(c.now())
	c.mu.Unlock()
	if len(entries) > 0 { // a controller that starts anew knows no server
		link.Send(&peer.Frame{Entries: entries})
	}
	s.mu.Lock()
	s.link, s.ip = link, at.ip
	s.mu.Unlock()
	c.claims.resendPending(c)
	_ = c.logger.Log("event", "home", "controller", at.ip, "zone", at.zone, "attached", at.attached)
	var looked time.Duration
	var cells peer.DigestComparison
	detached := time.Duration(0)
	_ = link.Read(func(f *peer.Frame) { // its end is logged below
		if p := f.Summary; p != nil {
			c.fleetEdges.Store(int32(p.Fleet))
			s.addKnown(p.Controllers)
			if p.ZoneEdges != nil {
				c.upstreams.mu.Lock()
				c.upstreams.AssignSlots(p.ZoneEdges, peer.EdgeHash(c.settings.Node))
				c.upstreams.mu.Unlock()
			}
			link.Send(&peer.Frame{Summary: &peer.Summary{}})
			now := c.now()
			if p.Full {
				c.mu.Lock()
				if cells.Due(p.RegistryDigest, c.registry.Digest(), now) {
					link.Send(&peer.Frame{Digests: &peer.Digests{ByZone: c.registry.ZoneDigests()}})
				}
				c.mu.Unlock()
			}
			if !p.Attached {
				if detached == 0 {
					detached = now
				}
				if now-looked > 2*searchInterval && now-detached > searchInterval {
					looked = now
					if best, ok := s.findController(c); ok && best.attached && best.ip != at.ip {
						link.Close()
					}
				}
			} else {
				detached = 0
				if at.zone != c.settings.Zone && now-looked > zoneSearchInterval && s.zoneMayHaveController(c) {
					looked = now
					if best, ok := s.findController(c); ok && best.attached && best.zone == c.settings.Zone {
						link.Close()
					}
				}
			}
		}
		c.handleFrame(link, f)
	})
	s.mu.Lock()
	s.link = nil
	s.mu.Unlock()
	_ = c.logger.Log("event", "home lost", "controller", at.ip)
}

// zoneMayHaveController tells whether any controller of the own zone was ever seen.
func (s *controllerSession) zoneMayHaveController(c *Proxy) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	zones := []string{}
	for _, z := range s.zoneByIP {
		zones = append(zones, z)
	}
	return len(s.zoneByIP) < len(s.known) || slices.Contains(zones, c.settings.Zone)
}

// send hands a frame to the controller, if there is one.
func (s *controllerSession) send(f *peer.Frame) bool {
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link == nil {
		return false
	}
	link.Send(f)
	return true
}

// sendBoth hands a frame to the controller and to the other one that claims went to, if there is one: the own may have died without
// a sign, and what is sent to it until its silence is heard is lost.
func (s *controllerSession) sendBoth(f *peer.Frame) {
	s.send(f)
	s.mu.Lock()
	guest := s.secondary
	s.mu.Unlock()
	if guest != nil {
		guest.Send(f)
	}
}

// connected tells whether any controller can be asked now.
func (s *controllerSession) connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link != nil || s.secondary != nil
}

// sendSecondary hands a frame to a controller that is not its own.
func (s *controllerSession) sendSecondary(c *Proxy) func(*peer.Frame) bool {
	return func(f *peer.Frame) bool {
		s.dialing <- struct{}{}
		defer func() { <-s.dialing }()
		s.mu.Lock()
		link, own := s.secondary, s.ip
		if s.link == nil {
			own = ""
		}
		ips := make([]string, 0, len(s.known))
		for ip := range s.known {
			if ip != own {
				ips = append(ips, ip)
			}
		}
		s.mu.Unlock()
		if link == nil {
			if link = c.linkSecondary(ips); link == nil {
				return false
			}
			s.mu.Lock()
			s.secondary = link
			s.mu.Unlock()
		}
		link.Send(f)
		return true
	}
}

// linkSecondary links to the first of these controllers that answers.
func (p *Proxy) linkSecondary(ips []string) *peer.Link {
	slices.SortFunc(ips, func(a, b string) int {
		return cmp.Compare(xxh3.HashString(p.settings.Node+"\x00"+a), xxh3.HashString(p.settings.Node+"\x00"+b))
	})
	conns := make(chan net.Conn, len(ips))
	for _, ip := range ips {
		go func() {
			conn, err := p.security.Dial(p.settings.InnerAddress(ip), controllerDialTimeout)
			if err != nil {
				conn = nil
			}
			conns <- conn
		}()
	}
	var first net.Conn
	for n := range ips {
		if first = <-conns; first != nil {
			go func() { // the others are not needed
				for range len(ips) - n - 1 {
					if conn := <-conns; conn != nil {
						conn.Close()
					}
				}
			}()
			break
		}
	}
	if first == nil {
		return nil
	}
	link := peer.NewLink(first)
	link.Send(&peer.Frame{Handshake: &peer.Handshake{Node: p.settings.Node, IP: p.settings.IP, Zone: p.settings.Zone, Edge: true, Incarnation: p.incarnation, ProbeOnly: true}})
	go func() {
		last := p.now()
		_ = link.Read(func(f *peer.Frame) { // whoever needs it again visits again
			if len(f.Outcomes) > 0 {
				last = p.now()
				for _, r := range f.Outcomes {
					p.claims.handleOutcome(r)
				}
			}
			if f.Summary != nil {
				link.Send(&peer.Frame{Summary: &peer.Summary{}})
			}
			if p.now()-last > secondaryIdleTimeout {
				link.Close()
			}
		})
		p.session.mu.Lock()
		if p.session.secondary == link {
			p.session.secondary = nil
		}
		p.session.mu.Unlock()
	}()
	return link
}

// handleFrame takes what the controller sends.
func (p *Proxy) handleFrame(link *peer.Link, f *peer.Frame) {
	if len(f.Entries) > 0 {
		p.updateServers(f.Entries)
	}
	if f.Digests != nil {
		p.mu.Lock()
		answer := f.Digests.Compare(p.registry, p.now())
		p.mu.Unlock()
		if answer != nil {
			link.Send(answer)
		}
	}
	if f.Handshake != nil && f.Handshake.Recovering {
		p.claims.sendKept(link)
	}
	if f.AckID != 0 {
		link.Send(&peer.Frame{Acked: f.AckID})
	}
	if f.Config != nil && !p.applyConfig(f.Config) {
		link.Send(&peer.Frame{SnapshotRequest: true})
	}
	if f.Weights != nil {
		p.updateWeights(f.Weights)
		if len(f.Weights.Tokens) > 0 {
			link.Send(&peer.Frame{Report: &peer.Report{Applied: f.Weights.Tokens}})
		}
	}
	for _, r := range f.Outcomes {
		p.claims.handleOutcome(r)
	}
	if f.Reservations != nil {
		p.reservations.handleAnnouncement(p, f.Reservations)
	}
	for _, l := range f.Leases {
		p.reservations.handleLease(p, l.Lease)
	}
}

// applyConfig takes a configuration over, unless it is older than the one in force: within a life nothing goes back.
func (p *Proxy) applyConfig(f *peer.Config) (ok bool) {
	tree := p.tree.Load()
	if tree != nil && f.Version <= uint64(tree.Config.Version) {
		return true
	}
	var next *config.Config
	var err error
	switch {
	case f.Snapshot != nil:
		next, err = config.Parse(f.Snapshot)
	case tree != nil && f.Base == uint64(tree.Config.Version):
		next, err = tree.Config.Patch(f.Delta)
	default:
		return false
	}
	if err != nil {
		_ = p.logger.Log("event", "configuration can't be read", "version", f.Version, "cause", err)
		return f.Snapshot != nil
	}
	p.tree.Store(config.NewTree(next))
	p.clients.setLimits(next.Limits)
	_ = p.logger.Log("event", "configuration", "version", next.Version, "routes", len(next.Routes))
	return true
}
