package proxy

import (
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

const (
	controllerDialTimeout = 400 * time.Millisecond
	// searchInterval is the pause between two searches for a controller.
	searchInterval = 50 * time.Millisecond
	// searchGrace is how long further answers are waited for after the first one.
	searchGrace = 60 * time.Millisecond
	// searchesBeforeReload is how many searches may fail before the settings file is read again: it may have changed
	// without a signal.
	searchesBeforeReload = 20
	// zoneSearchInterval is how often an edge whose controller is in another zone searches for one of its own zone.
	zoneSearchInterval = 3 * time.Second
	// secondaryIdleTimeout is how long a link to another controller stays without a claim.
	secondaryIdleTimeout = 3 * time.Second
)

// sessionHandler is what a session tells its edge. Its methods are called by the goroutines that read links.
type sessionHandler interface {
	// current is what a new controller receives: the version of the configuration and the known servers.
	current() (configVersion uint64, servers []registry.Entry)
	handleControllerAttached()
	handleSummary(s *peer.Summary)
	handleMessage(link *peer.Link, m peer.Message)
	handleOutcomes(outcomes peer.ClaimOutcomes)
	// registryDigests are those that are compared with the controller's.
	registryDigests() (all uint64, byZone map[string]uint64)
	reload()
}

// controllerSession keeps the link to the controller that this edge is attached to: one that is in contact with a majority
// of the voters, if possible of the own zone. A second link goes to another controller while claims need it.
type controllerSession struct {
	*node.Env
	security *peer.Security
	handler  sessionHandler
	dialing  chan struct{} // holds a value while the secondary link is dialled or used to send

	mu        sync.Mutex
	link      *peer.Link // to the own controller; nil: not attached
	ip        string     // of the own controller, or the last one
	zoneByIP  map[string]string
	known     map[string]bool // IPs of controllers
	secondary *peer.Link      // to another controller; nil: none
}

// controllerInfo is what a controller answered to a probe.
type controllerInfo struct {
	ip        string
	zone      string
	inContact bool // with a majority of the voters
}

func newControllerSession(env *node.Env, security *peer.Security, handler sessionHandler) *controllerSession {
	s := &controllerSession{Env: env, security: security, handler: handler, dialing: make(chan struct{}, 1),
		zoneByIP: map[string]string{}, known: map[string]bool{}}
	s.addKnown(env.Settings.SeedIPs())
	return s
}

// run keeps this edge attached to a controller, until ctx ends.
func (s *controllerSession) run(ctx context.Context) {
	for failed := 0; ctx.Err() == nil; time.Sleep(searchInterval) {
		if best, ok := s.findController(ctx); ok {
			failed = 0
			s.attach(ctx, best)
			continue
		}
		if failed++; failed%searchesBeforeReload == 0 {
			s.handler.reload()
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

func (s *controllerSession) knownIPs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.known))
}

// findController probes all known controllers and gives the best that answer: one in contact with a majority of the voters
// first, then one of the own zone, then the one that rendezvous hashing names. One that is down or cut off doesn't hold up
// the others.
func (s *controllerSession) findController(ctx context.Context) (best controllerInfo, ok bool) {
	ips := s.knownIPs()
	infos := make(chan *controllerInfo, len(ips))
	for _, ip := range ips {
		go func() { infos <- s.probe(ctx, ip) }()
	}
	var graceOver <-chan time.Time
	for range ips {
		select {
		case info := <-infos:
			if info == nil {
				continue
			}
			s.recordZone(info)
			if !ok || s.score(*info) > s.score(best) {
				best, ok = *info, true
			}
			if graceOver == nil {
				graceOver = time.After(searchGrace)
			}
		case <-graceOver:
			return best, ok
		}
	}
	return best, ok
}

func (s *controllerSession) recordZone(c *controllerInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zoneByIP[c.ip] = c.zone
}

// score orders controllers: contact counts most, then the zone, then a hash that spreads the edges.
func (s *controllerSession) score(c controllerInfo) uint64 {
	const inContact, ownZone = 1 << 63, 1 << 62
	score := xxh3.HashString(s.Settings.Node+"\x00"+c.ip) >> 2
	if c.zone == s.Settings.Zone {
		score |= ownZone
	}
	if c.inContact {
		score |= inContact
	}
	return score
}

func (s *controllerSession) handshake() *peer.Handshake {
	return &peer.Handshake{Node: s.Settings.Node, IP: s.Settings.IP, Zone: s.Settings.Zone, Edge: true,
		Incarnation: s.Incarnation}
}

func (s *controllerSession) probeHandshake() *peer.Handshake {
	h := s.handshake()
	h.ProbeOnly = true
	return h
}

// probe asks one controller how it is; nil: it didn't answer.
func (s *controllerSession) probe(ctx context.Context, ip string) (info *controllerInfo) {
	conn, err := s.security.Dial(ctx, s.Settings.InnerAddress(ip), controllerDialTimeout)
	if err != nil {
		return nil
	}
	link := peer.NewLink(conn)
	link.Send(s.probeHandshake())
	_ = link.Read(func(messages []peer.Message) { // no answer is an answer
		got := peer.FrameOf(messages...)
		if got.Handshake != nil && got.Summary != nil {
			info = &controllerInfo{ip: ip, zone: got.Handshake.Zone, inContact: got.Summary.InContact}
		}
		link.Close()
	})
	return info
}

// attachment is the link to the own controller while it lasts. It belongs to the goroutine that reads the link.
type attachment struct {
	*controllerSession
	ctx           context.Context
	link          *peer.Link
	controller    controllerInfo
	digests       peer.DigestComparison
	searchedAt    time.Duration // when a better controller was last searched for
	contactLostAt time.Duration // since when the controller has been out of contact with the majority; 0: it is not
}

// attach attaches this edge to a controller until the link ends. The edge closes it when the controller loses contact with
// the majority and another one has it, or when one of the own zone is back.
func (s *controllerSession) attach(ctx context.Context, c controllerInfo) {
	conn, err := s.security.Dial(ctx, s.Settings.InnerAddress(c.ip), controllerDialTimeout)
	if err != nil {
		return
	}
	a := &attachment{controllerSession: s, ctx: ctx, link: peer.NewLink(conn), controller: c}
	handshake := s.handshake()
	version, servers := s.handler.current()
	handshake.Version = version
	a.link.Send(handshake)
	if len(servers) > 0 { // a controller that has just started knows no server
		a.link.Send(peer.RegistryUpdate{Entries: servers})
	}
	s.setLink(a.link, c.ip)
	s.handler.handleControllerAttached()
	s.LogEvent("controller attached", "controller", c.ip, "zone", c.zone, "in_contact", c.inContact)
	_ = a.link.Read(a.handleMessages) // that it ended is logged below; why doesn't matter
	s.clearLink()
	s.LogEvent("controller detached", "controller", c.ip)
}

func (s *controllerSession) setLink(link *peer.Link, ip string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link, s.ip = link, ip
}

func (s *controllerSession) clearLink() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link = nil
}

func (a *attachment) handleMessages(messages []peer.Message) {
	for _, m := range messages {
		if summary, ok := m.(*peer.Summary); ok {
			a.handleSummary(summary)
		}
	}
	for _, m := range messages {
		a.handler.handleMessage(a.link, m)
	}
}

func (a *attachment) handleSummary(summary *peer.Summary) {
	a.handler.handleSummary(summary)
	a.addKnown(summary.Controllers)
	a.link.Send(&peer.Summary{})
	now := a.Now()
	if summary.Full {
		if own, byZone := a.handler.registryDigests(); a.digests.Due(summary.RegistryDigest, own, now) {
			a.link.Send(&peer.Digests{ByZone: byZone})
		}
	}
	if summary.InContact {
		a.contactLostAt = 0
		a.searchOwnZone(now)
	} else {
		a.searchMajorityContact(now)
	}
}

// searchMajorityContact looks for a controller that is in contact with the majority, since this one isn't.
func (a *attachment) searchMajorityContact(now time.Duration) {
	if a.contactLostAt == 0 {
		a.contactLostAt = now
	}
	if now-a.searchedAt <= 2*searchInterval || now-a.contactLostAt <= searchInterval {
		return
	}
	a.searchedAt = now
	if best, ok := a.findController(a.ctx); ok && best.inContact && best.ip != a.controller.ip {
		a.link.Close()
	}
}

// searchOwnZone looks for a controller of the own zone, if this one is of another.
func (a *attachment) searchOwnZone(now time.Duration) {
	if a.controller.zone == a.Settings.Zone || now-a.searchedAt <= zoneSearchInterval || !a.zoneMayHaveController() {
		return
	}
	a.searchedAt = now
	if best, ok := a.findController(a.ctx); ok && best.inContact && best.zone == a.Settings.Zone {
		a.link.Close()
	}
}

// zoneMayHaveController reports whether a controller of the own zone was ever seen, or some controller's zone is not known.
func (s *controllerSession) zoneMayHaveController() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.zoneByIP) < len(s.known) {
		return true
	}
	for _, zone := range s.zoneByIP {
		if zone == s.Settings.Zone {
			return true
		}
	}
	return false
}

// send hands a message to the own controller, and reports whether there is one.
func (s *controllerSession) send(m peer.Message) bool {
	link, _ := s.links()
	if link == nil {
		return false
	}
	link.Send(m)
	return true
}

// sendBoth hands a message to the own controller and over the secondary link: the own controller may have died without a
// sign, and what is sent to it until that is noticed is lost.
func (s *controllerSession) sendBoth(m peer.Message) {
	for _, link := range s.allLinks() {
		link.Send(m)
	}
}

func (s *controllerSession) links() (own, secondary *peer.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link, s.secondary
}

func (s *controllerSession) allLinks() (all []*peer.Link) {
	own, secondary := s.links()
	if own != nil {
		all = append(all, own)
	}
	if secondary != nil {
		all = append(all, secondary)
	}
	return all
}

// connected reports whether any controller can be asked now.
func (s *controllerSession) connected() bool { return len(s.allLinks()) > 0 }

// sendSecondary hands a message to a controller that is not the own one, and reports whether one could be reached.
func (s *controllerSession) sendSecondary(m peer.Message) bool {
	s.dialing <- struct{}{}
	defer func() { <-s.dialing }()
	_, link := s.links()
	if link == nil {
		if link = s.dialSecondary(); link == nil {
			return false
		}
	}
	link.Send(m)
	return true
}

// otherIPs are the known controllers but the own one, in the order of rendezvous hashing.
func (s *controllerSession) otherIPs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ips []string
	for ip := range s.known {
		if s.link == nil || ip != s.ip {
			ips = append(ips, ip)
		}
	}
	slices.SortFunc(ips, func(a, b string) int {
		return cmp.Compare(xxh3.HashString(s.Settings.Node+"\x00"+a), xxh3.HashString(s.Settings.Node+"\x00"+b))
	})
	return ips
}

// dialSecondary links to the first of the other controllers that answers; nil: none does.
func (s *controllerSession) dialSecondary() *peer.Link {
	conn := s.dialFirst(s.otherIPs())
	if conn == nil {
		return nil
	}
	link := peer.NewLink(conn)
	link.Send(s.probeHandshake())
	go s.readSecondary(link)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secondary = link
	return link
}

// dialFirst dials several controllers at once and gives the first connection that comes about; nil: none does.
func (s *controllerSession) dialFirst(ips []string) net.Conn {
	conns := make(chan net.Conn, len(ips))
	for _, ip := range ips {
		go func() {
			conn, err := s.security.Dial(context.Background(), s.Settings.InnerAddress(ip), controllerDialTimeout)
			if err != nil {
				conn = nil
			}
			conns <- conn
		}()
	}
	for answered := 1; answered <= len(ips); answered++ {
		if first := <-conns; first != nil {
			go closeConns(conns, len(ips)-answered)
			return first
		}
	}
	return nil
}

// closeConns closes the connections that are not needed; count of them are still being dialled.
func closeConns(conns <-chan net.Conn, count int) {
	for range count {
		if conn := <-conns; conn != nil {
			closeConn(conn)
		}
	}
}

// readSecondary reads the secondary link until it ends, or no claim needed it for a while.
func (s *controllerSession) readSecondary(link *peer.Link) {
	usedAt := s.Now()
	_ = link.Read(func(messages []peer.Message) { // whoever needs it again dials again
		for _, m := range messages {
			switch m := m.(type) {
			case peer.ClaimOutcomes:
				usedAt = s.Now()
				s.handler.handleOutcomes(m)
			case *peer.Summary:
				link.Send(&peer.Summary{})
			}
		}
		if s.Now()-usedAt > secondaryIdleTimeout {
			link.Close()
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.secondary == link {
		s.secondary = nil
	}
}
