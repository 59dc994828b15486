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
	// searchGrace is how long a search waits for further responses after the first one.
	searchGrace = 60 * time.Millisecond
	// searchesBeforeReload is the number of failed searches after which the settings file is read again: it may have
	// changed without a signal.
	searchesBeforeReload = 20
	// zoneSearchInterval is how often an edge whose controller is in another zone searches for one of its own zone.
	zoneSearchInterval = 3 * time.Second
	// secondaryIdleTimeout is how long the link to another controller stays open without an outcome of a claim.
	secondaryIdleTimeout = 3 * time.Second
)

// sessionHandler handles the events of a controllerSession. Its methods are called by the goroutines that read links.
type sessionHandler interface {
	// current returns the state that a new controller receives: the version of the configuration and the registry entries.
	current() (configVersion uint64, servers []registry.Entry)
	handleControllerAttached()
	handleSummary(s *peer.Summary)
	handleMessage(link *peer.Link, m peer.Message)
	handleOutcomes(outcomes peer.ClaimOutcomes)
	// registryDigests returns the edge's digests, to be compared with the controller's.
	registryDigests() (all uint64, byZone map[string]uint64)
	reload()
}

// controllerSession maintains the link to the controller that this edge is attached to: one that is in contact with a
// majority of the voters, preferably in the edge's zone. A secondary link to another controller exists while claims need it.
type controllerSession struct {
	*node.Env
	security *peer.Security
	handler  sessionHandler
	dialing  chan struct{} // semaphore, held while the secondary link is dialled or used to send

	mu        sync.Mutex
	link      *peer.Link // to the edge's controller; nil if not attached
	ip        string     // of the edge's controller, or the previous one while not attached
	zoneByIP  map[string]string
	known     map[string]bool // IPs of all known controllers
	secondary *peer.Link      // to another controller; nil if there is none
}

// controllerInfo is a controller's response to a probe.
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

// run keeps this edge attached to a controller until ctx is done.
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

// addKnown adds IPs of controllers to the known ones.
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

// findController probes all known controllers and returns the best one that responds: contact with a majority of the voters
// counts first, then the edge's zone, then rendezvous hashing. Controllers that are down or partitioned don't delay the
// result by more than searchGrace after the first response.
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

// score ranks controllers: contact with the majority counts most, then the zone, then a hash that spreads the edges.
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

// probe asks one controller for its zone and contact. It returns nil if the controller doesn't respond.
func (s *controllerSession) probe(ctx context.Context, ip string) (info *controllerInfo) {
	conn, err := s.security.Dial(ctx, s.Settings.InnerAddress(ip), controllerDialTimeout)
	if err != nil {
		return nil
	}
	link := peer.NewLink(conn)
	link.Send(s.probeHandshake())
	_ = link.Read(func(messages []peer.Message) { // an error means no response
		got := peer.FrameOf(messages...)
		if got.Handshake != nil && got.Summary != nil {
			info = &controllerInfo{ip: ip, zone: got.Handshake.Zone, inContact: got.Summary.InContact}
		}
		link.Close()
	})
	return info
}

// attachment is the state of an attachment to a controller. It is used only by the goroutine that reads the link.
type attachment struct {
	*controllerSession
	ctx           context.Context
	link          *peer.Link
	controller    controllerInfo
	digests       peer.DigestComparison
	searchedAt    time.Duration // time of the last search for a better controller
	contactLostAt time.Duration // when the controller lost contact with the majority; 0 while it has contact
}

// attach attaches this edge to a controller until the link ends. The edge closes the link when the controller has lost
// contact with the majority and another one has it, or when a controller of the edge's zone becomes available.
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
	if len(servers) > 0 { // a controller that has just started has no registry entries
		a.link.Send(peer.RegistryUpdate{Entries: servers})
	}
	s.setLink(a.link, c.ip)
	s.handler.handleControllerAttached()
	s.LogEvent("controller attached", "controller", c.ip, "zone", c.zone, "in_contact", c.inContact)
	_ = a.link.Read(a.handleMessages) // the end of the link is logged below
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

// searchMajorityContact searches for a controller in contact with the majority while this one has no contact. If there is
// one, it closes the link.
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

// searchOwnZone searches for a controller of the edge's zone if this one is in another zone. If there is one in contact with
// the majority, it closes the link.
func (a *attachment) searchOwnZone(now time.Duration) {
	if a.controller.zone == a.Settings.Zone || now-a.searchedAt <= zoneSearchInterval || !a.zoneMayHaveController() {
		return
	}
	a.searchedAt = now
	if best, ok := a.findController(a.ctx); ok && best.inContact && best.zone == a.Settings.Zone {
		a.link.Close()
	}
}

// zoneMayHaveController reports whether a controller of the edge's zone is known, or the zone of some controller is unknown.
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

// send implements claimSender.
func (s *controllerSession) send(m peer.Message) bool {
	link, _ := s.links()
	if link == nil {
		return false
	}
	link.Send(m)
	return true
}

// sendBoth implements claimSender. The edge's controller may have crashed unnoticed, and messages sent to it until that is
// detected are lost, so they are also sent over the secondary link.
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

// connected implements claimSender.
func (s *controllerSession) connected() bool { return len(s.allLinks()) > 0 }

// sendSecondary implements claimSender. It dials another controller if there is no secondary link.
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

// otherIPs returns the IPs of the known controllers except the edge's own, in the order of rendezvous hashing.
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

// dialSecondary opens the secondary link to the first of the other controllers that accepts a connection. It returns nil if
// none does.
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

// dialFirst dials several controllers concurrently and returns the first connection, or nil if all fail.
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

// closeConns closes the surplus connections of dialFirst, count of which are still being dialled.
func closeConns(conns <-chan net.Conn, count int) {
	for range count {
		if conn := <-conns; conn != nil {
			closeConn(conn)
		}
	}
}

// readSecondary reads the secondary link until it ends or received no outcome of a claim for secondaryIdleTimeout.
func (s *controllerSession) readSecondary(link *peer.Link) {
	usedAt := s.Now()
	_ = link.Read(func(messages []peer.Message) { // sendSecondary dials again if needed
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
