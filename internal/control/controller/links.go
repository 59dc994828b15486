package controller

import (
	"net"
	"slices"
	"strings"
	"time"

	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/platform/peer"
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
	fleet    int // edges whose home it is
	edge     bool
	look     bool // a guest: an edge of another home, that looks or has claims that its home doesn't rule on
	attached bool
	cells    peer.Comparing
	crew     map[string][]uint32 // a controller's edges, by zone
	roster   []uint32            // as an edge was last told
	usual    []peer.Zoned
}

// name is how the broadcast board knows a peer.
func (p *remote) name() string {
	if p.edge {
		return "edge " + p.ip
	}
	return exchangeName(p.ip)
}

func exchangeName(ip string) string { return "exchange " + ip }

// named finds the peer that the board means.
func (x *Exchange) named(name string) *remote {
	kind, ip, _ := strings.Cut(name, " ")
	if kind == "edge" {
		return x.edges[ip]
	}
	return x.peers[ip]
}

// accept takes links in.
func (x *Exchange) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go x.serve(conn)
	}
}

// serve runs one link: the first frame says who is there.
func (x *Exchange) serve(conn net.Conn) {
	conn, err := x.security.Accept(conn)
	if err != nil {
		_ = x.logger.Log("event", "stranger", "cause", err)
		return
	}
	link := peer.NewLink(conn)
	var p *remote
	_ = link.Read(func(f *peer.Frame) { // how a link ends doesn't matter: it is made anew
		if p == nil {
			if f.Hello == nil {
				link.Close()
				return
			}
			if err := x.security.Believe(conn, f.Hello); err != nil {
				_ = x.logger.Log("event", "stranger", "cause", err)
				link.Close()
				return
			}
			p = &remote{link: link, node: f.Hello.Node, ip: f.Hello.IP, zone: f.Hello.Zone, edge: f.Hello.Edge, byLower: f.Hello.IP < x.set.IP}
			x.do(func() { x.joined(p, f.Hello) })
		}
		x.do(func() { x.frame(p, f) })
	})
	if p != nil {
		x.do(func() { x.left(p) })
	}
}

// dial keeps a link to another controller. Of two controllers the one with the lower address dials first; the other follows
// a little later if nobody came, since the first may not know it.
func (x *Exchange) dial(ip string) {
	if x.set.IP > ip {
		time.Sleep(2 * redialEvery)
	}
	for ; ; time.Sleep(redialEvery) {
		linked := make(chan bool, 1)
		x.do(func() { linked <- x.peers[ip] != nil })
		if <-linked {
			continue
		}
		conn, err := x.security.Dial(x.set.Inner(ip), dialLimit)
		if err != nil {
			continue
		}
		link := peer.NewLink(conn)
		link.Send(&peer.Frame{Hello: x.hello()})
		var p *remote
		_ = link.Read(func(f *peer.Frame) { // how a link ends doesn't matter: it is made anew
			if p == nil {
				if f.Hello == nil {
					link.Close()
					return
				}
				p = &remote{link: link, node: f.Hello.Node, ip: ip, zone: f.Hello.Zone, byLower: x.set.IP < ip}
				x.do(func() { x.joined(p, f.Hello) })
			}
			x.do(func() { x.frame(p, f) })
		})
		if p != nil {
			x.do(func() { x.left(p) })
		}
	}
}

// hello is only what never changes: it is sent from outside the owner, too.
func (x *Exchange) hello() *peer.Hello {
	return &peer.Hello{Node: x.set.Node, IP: x.set.IP, Zone: x.set.Zone, Life: x.life, Counted: x.set.Counted}
}

// joined takes a peer in and brings it up to date: a snapshot, then changes.
func (x *Exchange) joined(p *remote, h *peer.Hello) {
	if p.look = h.Look; h.Look {
		p.link.Send(&peer.Frame{Hello: x.hello(), Pulse: x.makePulse(true)})
		x.guests[p] = true
		return
	}
	if p.edge {
		if old := x.edges[p.ip]; old != nil {
			old.link.Close()
		}
		x.edges[p.ip] = p
	} else {
		p.life = h.Life
		if old := x.peers[p.ip]; old != nil {
			if old.life == p.life && old.byLower && !p.byLower {
				p.link.Close() // both dialled: both ends keep the same of the two
				return
			}
			old.link.Close()
		}
		x.peers[p.ip] = p
		p.counted = h.Counted
		if before, met := x.lives[p.ip]; met && before != h.Life && x.office != nil {
			for _, o := range x.office.Forget(p.ip) {
				x.ruled(o)
			}
		}
		x.lives[p.ip] = h.Life
		delete(x.goneSince, p.ip)
		x.meet(p.ip)
	}
	x.tellRooms(p)
	x.board.Join(p.name(), p.edge)
	_ = x.logger.Log("event", "link up", "node", p.node, "ip", p.ip, "edge", p.edge)
	answer := x.hello()
	answer.Blank = x.ledger.Blank()
	answer.Members = x.members
	f := &peer.Frame{Hello: answer, Entries: x.dir.All(x.now()), Pulse: x.makePulse(true)}
	if (p.edge || !slices.Contains(x.members, p.ip)) && h.Version < x.state.Version() {
		f.Config = x.whole()
	}
	p.link.Send(f)
	if p.edge {
		x.tables.Join(p.ip, p.zone)
	}
}

func (x *Exchange) left(p *remote) {
	delete(x.guests, p)
	if x.edges[p.ip] != p && x.peers[p.ip] != p {
		return
	}
	if p.edge && x.edges[p.ip] == p {
		delete(x.edges, p.ip)
		x.tables.Leave(p.ip)
	} else if !p.edge && x.peers[p.ip] == p {
		delete(x.peers, p.ip)
		x.goneAt(p.ip)
	}
	x.board.Left(p.name())
	_ = x.logger.Log("event", "link down", "node", p.node, "ip", p.ip, "edge", p.edge)
}

// meet starts a link to a controller that is not known yet.
func (x *Exchange) meet(ip string) {
	if ip == x.set.IP || x.known[ip] {
		return
	}
	x.known[ip] = true
	go x.dial(ip)
}

// frame takes what a peer sends.
func (x *Exchange) frame(p *remote, f *peer.Frame) {
	if p.look {
		x.claimed(p, f)
		for _, r := range f.Voids {
			x.void(r, x.members)
		}
		return
	}
	if p.edge && x.edges[p.ip] != p || !p.edge && x.peers[p.ip] != p {
		return // superseded
	}
	if f.Hello != nil && len(f.Hello.Members) > 0 {
		x.invited(f.Hello.Members)
	}
	if f.Pulse != nil {
		p.attached, p.fleet = f.Pulse.Attached, f.Pulse.Edges
		if f.Pulse.Full {
			hears := make([]string, 0, len(f.Pulse.Exchanges))
			for _, ip := range f.Pulse.Exchanges {
				hears = append(hears, exchangeName(ip))
			}
			x.board.Hears(p.name(), hears)
			p.usual, p.crew = f.Pulse.Usual, f.Pulse.Crew
			if f.Pulse.Clock > 0 && !p.edge {
				x.rooms.clock.Heard(p.ip, f.Pulse.Clock, x.now())
			}
			if p.cells.Due(f.Pulse.Sum, x.dir.Sum(), x.now()) {
				_ = x.logger.Log("event", "cells compared", "with", p.node)
				p.link.Send(&peer.Frame{Cells: &peer.Cells{Sums: x.dir.Sums()}})
			}
		}
		for _, ip := range f.Pulse.Exchanges {
			x.meet(ip)
		}
	}
	if x.member != nil {
		for _, m := range f.Agree {
			x.member.Step(m, x.now())
		}
	}
	if len(f.Entries) > 0 {
		x.board.Heard(p.name(), f.Entries, f.Receipt, x.now())
	}
	if f.Cells != nil {
		if answer := f.Cells.Compare(x.dir, x.now()); answer != nil {
			p.link.Send(answer)
		}
	}
	if f.Received != 0 {
		x.board.Received(p.name(), f.Received)
	}
	if f.Config != nil && !x.observed(f.Config) {
		p.link.Send(&peer.Frame{NeedAll: true})
	}
	if f.NeedAll {
		p.link.Send(&peer.Frame{Config: x.whole()})
	}
	if f.Report != nil {
		x.tables.Report(p.ip, f.Report, func(server string) (string, bool) {
			e, known := x.dir.Get(server)
			return e.Service, known
		})
	}
	x.roomFrame(p, f)
	x.keyFrame(p, f)
}

// tell does what the broadcast board wants told.
func (x *Exchange) tell() {
	out := x.board.Take()
	if len(out.News) > 0 {
		x.store.server(out.News, x.now())
		x.tables.Changed(out.News, x.now())
	}
	for _, s := range out.Sends {
		if p := x.named(s.To); p != nil {
			p.link.Send(&peer.Frame{Entries: s.Entries, Receipt: s.Receipt, Received: s.Received})
		}
	}
	for _, call := range out.Done {
		if done := x.calls[call]; done != nil {
			delete(x.calls, call)
			done()
		}
	}
}

// pushWeights sends the edges what the tables order.
func (x *Exchange) pushWeights(now time.Duration) {
	orders := x.tables.Tick(now, func() (all []weights.Others) {
		for _, p := range x.peers {
			all = append(all, weights.Others{Edges: p.fleet, Usual: p.usual})
		}
		return all
	})
	for ip, w := range orders {
		if e := x.edges[ip]; e != nil {
			e.link.Send(&peer.Frame{Weights: w})
		}
	}
}

// makePulse says how this planner sees the system.
func (x *Exchange) makePulse(full bool) *peer.Pulse {
	p := &peer.Pulse{Attached: x.attached() && !x.draining, Version: x.state.Version(), Edges: len(x.edges), Fleet: len(x.edges), Full: full}
	for _, other := range x.peers {
		p.Fleet += other.fleet
	}
	if !full {
		return p
	}
	for ip := range x.peers {
		p.Exchanges = append(p.Exchanges, ip)
	}
	slices.Sort(p.Exchanges)
	p.Sum = x.dir.Sum()
	return p
}

// pulse lets all links know that this planner lives.
func (x *Exchange) pulse(now time.Duration) {
	if now < x.nextPulse {
		return
	}
	if x.nextPulse == 0 {
		for ip := range x.known {
			go x.dial(ip)
		}
	}
	x.nextPulse = now + peer.PulseEvery
	x.pulses++
	full := x.pulses%fullEvery == 0
	pulse := x.makePulse(full)
	f := &peer.Frame{Pulse: pulse}
	for _, e := range x.edges {
		if roster := x.roster(e.zone); full && !slices.Equal(roster, e.roster) {
			mine := *pulse
			mine.Roster, e.roster = roster, roster
			e.link.Send(&peer.Frame{Pulse: &mine})
			continue
		}
		e.link.Send(f)
	}
	for g := range x.guests {
		g.link.Send(f)
	}
	f = &peer.Frame{Pulse: x.makePulse(full)}
	if full {
		f.Pulse.Usual, f.Pulse.Crew, f.Pulse.Clock = x.tables.Mine(), map[string][]uint32{}, wall()
		x.rooms.clock.Heard(x.set.IP, f.Pulse.Clock, now)
		for _, e := range x.edges {
			f.Pulse.Crew[e.zone] = append(f.Pulse.Crew[e.zone], peer.Badge(e.node))
		}
	}
	for _, p := range x.peers {
		p.link.Send(f)
	}
}

// roster is a zone's edges, whoever their home is.
func (x *Exchange) roster(zone string) []uint32 {
	var all []uint32
	for _, e := range x.edges {
		if e.zone == zone {
			all = append(all, peer.Badge(e.node))
		}
	}
	for _, p := range x.peers {
		all = append(all, p.crew[zone]...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// lost tells whether a controller is out of reach for longer than its servers need to find another.
func (x *Exchange) lost(ip string) bool {
	if ip == x.set.IP || x.peers[ip] != nil {
		return false
	}
	since, known := x.goneSince[ip]
	if !known {
		x.goneSince[ip] = x.now()
		return false
	}
	return x.now()-since > ownerLost
}

func (x *Exchange) goneAt(ip string) { x.goneSince[ip] = x.now() }
