package proxy

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"mulleinwood/internal/config"
	"mulleinwood/internal/platform/peer"
)

// controllerLink is the link to the controller that an edge belongs to: of its zone, if one there hears the rest of the core.
type controllerLink struct {
	mu    sync.Mutex
	link  *peer.Link
	ip    string
	zones map[string]string // of controllers, by IP
	known map[string]bool
	guest *peer.Link    // at another controller, for claims that its own doesn't rule on
	calls chan struct{} // held by who dials for it
}

const guestQuiet = 3 * time.Second // without a claim, after which the edge leaves that other controller

const (
	controllerDial = 400 * time.Millisecond
	lookAgain      = 3 * time.Second // for a controller of the own zone, while the edge's is elsewhere
	lookPause      = 50 * time.Millisecond
	looksInVain    = 20                    // before the settings file is read again
	lookMore       = 60 * time.Millisecond // for further answers after the first
)

// found is a controller that answered.
type found struct {
	ip       string
	zone     string
	attached bool
}

// run keeps a controller, for as long as the process lives.
func (l *controllerLink) run(c *Proxy) {
	for failed := 0; ; time.Sleep(lookPause) {
		best, ok := l.look(c)
		if ok {
			failed = 0
			l.stay(c, best)
		} else if failed++; failed%looksInVain == 0 { // the file may have changed without a signal
			c.reload()
		}
	}
}

// learn adds controllers that may be asked.
func (l *controllerLink) learn(ips []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ip := range ips {
		l.known[ip] = true
	}
}

// look asks all controllers that are known how they see the core, and takes the best: one that hears more than half of
// it, then one of the own zone, then the one that rendezvous hashing names.
func (l *controllerLink) look(c *Proxy) (best found, ok bool) {
	l.mu.Lock()
	ips := make([]string, 0, len(l.known))
	for ip := range l.known {
		ips = append(ips, ip)
	}
	l.mu.Unlock()
	answers := make(chan *found, len(ips))
	for _, ip := range ips {
		go func() { answers <- c.glance(ip) }()
	}
	score := func(f found) uint64 {
		s := xxh3.HashString(c.set.Node+"\x00"+f.ip) >> 2
		if f.zone == c.set.Zone {
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
			l.mu.Lock()
			l.zones[f.ip] = f.zone
			l.mu.Unlock()
			if !ok || score(*f) > score(best) {
				best, ok = *f, true
			}
			if enough == nil { // one that is down or cut off doesn't hold up the others
				enough = time.After(lookMore)
			}
		case <-enough:
			return best, ok
		}
	}
	return best, ok
}

// glance asks one controller how it is.
func (c *Proxy) glance(ip string) (f *found) {
	conn, err := c.security.Dial(c.set.Inner(ip), controllerDial)
	if err != nil {
		return nil
	}
	link := peer.NewLink(conn)
	link.Send(&peer.Frame{Hello: &peer.Hello{Node: c.set.Node, IP: c.set.IP, Zone: c.set.Zone, Edge: true, Life: c.life, Look: true}})
	_ = link.Read(func(got *peer.Frame) { // no answer is an answer
		if got.Hello != nil && got.Summary != nil {
			f = &found{ip: ip, zone: got.Hello.Zone, attached: got.Summary.Attached}
		}
		link.Close()
	})
	return f
}

// stay is at its controller until the link ends, or the controller is cut off from the core, or one of the own zone is back.
func (l *controllerLink) stay(c *Proxy, at found) {
	conn, err := c.security.Dial(c.set.Inner(at.ip), controllerDial)
	if err != nil {
		return
	}
	link := peer.NewLink(conn)
	hello := &peer.Hello{Node: c.set.Node, IP: c.set.IP, Zone: c.set.Zone, Edge: true, Life: c.life}
	if tree := c.tree.Load(); tree != nil {
		hello.Version = uint64(tree.Config.Version)
	}
	link.Send(&peer.Frame{Hello: hello})
	c.mu.Lock()
	entries := c.registry.All(c.now())
	c.mu.Unlock()
	if len(entries) > 0 { // a controller that starts anew knows no server
		link.Send(&peer.Frame{Entries: entries})
	}
	l.mu.Lock()
	l.link, l.ip = link, at.ip
	l.mu.Unlock()
	c.claims.again(c)
	_ = c.logger.Log("event", "home", "controller", at.ip, "zone", at.zone, "attached", at.attached)
	var looked time.Duration
	var cells peer.Comparing
	detached := time.Duration(0)
	_ = link.Read(func(f *peer.Frame) { // its end is logged below
		if p := f.Summary; p != nil {
			c.edges.Store(int32(p.Fleet))
			l.learn(p.Controllers)
			if p.Roster != nil {
				c.upstreams.mu.Lock()
				c.upstreams.Deal(p.Roster, peer.Badge(c.set.Node))
				c.upstreams.mu.Unlock()
			}
			link.Send(&peer.Frame{Summary: &peer.Summary{}})
			now := c.now()
			if p.Full {
				c.mu.Lock()
				if cells.Due(p.Sum, c.registry.Sum(), now) {
					link.Send(&peer.Frame{Cells: &peer.Cells{Sums: c.registry.Sums()}})
				}
				c.mu.Unlock()
			}
			if !p.Attached {
				if detached == 0 {
					detached = now
				}
				if now-looked > 2*lookPause && now-detached > lookPause {
					looked = now
					if best, ok := l.look(c); ok && best.attached && best.ip != at.ip {
						link.Close()
					}
				}
			} else {
				detached = 0
				if at.zone != c.set.Zone && now-looked > lookAgain && l.localExists(c) {
					looked = now
					if best, ok := l.look(c); ok && best.attached && best.zone == c.set.Zone {
						link.Close()
					}
				}
			}
		}
		c.frame(link, f)
	})
	l.mu.Lock()
	l.link = nil
	l.mu.Unlock()
	_ = c.logger.Log("event", "home lost", "controller", at.ip)
}

// localExists tells whether any controller of the own zone was ever seen.
func (l *controllerLink) localExists(c *Proxy) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	zones := []string{}
	for _, z := range l.zones {
		zones = append(zones, z)
	}
	return len(l.zones) < len(l.known) || slices.Contains(zones, c.set.Zone)
}

// send hands a frame to the controller, if there is one.
func (l *controllerLink) send(f *peer.Frame) bool {
	l.mu.Lock()
	link := l.link
	l.mu.Unlock()
	if link == nil {
		return false
	}
	link.Send(f)
	return true
}

// sendBoth hands a frame to the controller and to the other one that claims went to, if there is one: the own may have died without
// a sign, and what is sent to it until its silence is heard is lost.
func (l *controllerLink) sendBoth(f *peer.Frame) {
	l.send(f)
	l.mu.Lock()
	guest := l.guest
	l.mu.Unlock()
	if guest != nil {
		guest.Send(f)
	}
}

// reaches tells whether any controller can be asked now.
func (l *controllerLink) reaches() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.link != nil || l.guest != nil
}

// sendElsewhere hands a frame to a controller that is not its own.
func (l *controllerLink) sendElsewhere(c *Proxy) func(*peer.Frame) bool {
	return func(f *peer.Frame) bool {
		l.calls <- struct{}{}
		defer func() { <-l.calls }()
		l.mu.Lock()
		link, own := l.guest, l.ip
		if l.link == nil {
			own = ""
		}
		ips := make([]string, 0, len(l.known))
		for ip := range l.known {
			if ip != own {
				ips = append(ips, ip)
			}
		}
		l.mu.Unlock()
		if link == nil {
			if link = c.visit(ips); link == nil {
				return false
			}
			l.mu.Lock()
			l.guest = link
			l.mu.Unlock()
		}
		link.Send(f)
		return true
	}
}

// visit links to the first of these controllers that answers.
func (c *Proxy) visit(ips []string) *peer.Link {
	slices.SortFunc(ips, func(a, b string) int {
		return cmp.Compare(xxh3.HashString(c.set.Node+"\x00"+a), xxh3.HashString(c.set.Node+"\x00"+b))
	})
	conns := make(chan net.Conn, len(ips))
	for _, ip := range ips {
		go func() {
			conn, err := c.security.Dial(c.set.Inner(ip), controllerDial)
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
	link.Send(&peer.Frame{Hello: &peer.Hello{Node: c.set.Node, IP: c.set.IP, Zone: c.set.Zone, Edge: true, Life: c.life, Look: true}})
	go func() {
		last := c.now()
		_ = link.Read(func(f *peer.Frame) { // whoever needs it again visits again
			if len(f.Rulings) > 0 {
				last = c.now()
				for _, r := range f.Rulings {
					c.claims.ruled(r)
				}
			}
			if f.Summary != nil {
				link.Send(&peer.Frame{Summary: &peer.Summary{}})
			}
			if c.now()-last > guestQuiet {
				link.Close()
			}
		})
		c.controller.mu.Lock()
		if c.controller.guest == link {
			c.controller.guest = nil
		}
		c.controller.mu.Unlock()
	}()
	return link
}

// frame takes what the controller sends.
func (c *Proxy) frame(link *peer.Link, f *peer.Frame) {
	if len(f.Entries) > 0 {
		c.heard(f.Entries)
	}
	if f.Cells != nil {
		c.mu.Lock()
		answer := f.Cells.Compare(c.registry, c.now())
		c.mu.Unlock()
		if answer != nil {
			link.Send(answer)
		}
	}
	if f.Hello != nil && f.Hello.Blank {
		c.claims.restore(link)
	}
	if f.Receipt != 0 {
		link.Send(&peer.Frame{Received: f.Receipt})
	}
	if f.Config != nil && !c.configure(f.Config) {
		link.Send(&peer.Frame{NeedAll: true})
	}
	if f.Weights != nil {
		c.weigh(f.Weights)
		if len(f.Weights.Marks) > 0 {
			link.Send(&peer.Frame{Report: &peer.Report{Applied: f.Weights.Marks}})
		}
	}
	for _, r := range f.Rulings {
		c.claims.ruled(r)
	}
	if f.Reservations != nil {
		c.reservations.take(c, f.Reservations)
	}
	for _, l := range f.Leases {
		c.reservations.lease(c, l.Lease)
	}
}

// configure takes a configuration over, unless it is older than the one in force: within a life nothing goes back.
func (c *Proxy) configure(f *peer.Config) (ok bool) {
	tree := c.tree.Load()
	if tree != nil && f.Version <= uint64(tree.Config.Version) {
		return true
	}
	var next *config.Config
	var err error
	switch {
	case f.Whole != nil:
		next, err = config.Parse(f.Whole)
	case tree != nil && f.Base == uint64(tree.Config.Version):
		next, err = tree.Config.Patch(f.Change)
	default:
		return false
	}
	if err != nil {
		_ = c.logger.Log("event", "configuration can't be read", "version", f.Version, "cause", err)
		return f.Whole != nil
	}
	c.tree.Store(config.NewTree(next))
	c.door.limit(next.Limits)
	_ = c.logger.Log("event", "configuration", "version", next.Version, "routes", len(next.Routes))
	return true
}
