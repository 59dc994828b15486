package exchange

import (
	"net"
	"slices"
	"time"

	"mulleinwood/internal/directory"
	"mulleinwood/internal/trunk"
)

// peer is a process at the other end of a link.
type peer struct {
	link     *trunk.Link
	node     string
	ip       string
	zone     string
	counted  bool
	byLower  bool // of two exchanges, the one with the lower address dialled
	life     uint64
	fleet    int // edges whose home it is
	edge     bool
	look     bool // a guest: an edge of another home, that looks or has claims that its home doesn't rule on
	attached bool
	hears    []string // exchanges that it has links to
	cells    trunk.Comparing
	usual    []trunk.Zoned
}

// receipt waits until others hold what was spread.
type receipt struct {
	need  map[*peer]bool
	until time.Duration
	done  func()
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
	link := trunk.NewLink(conn)
	var p *peer
	_ = link.Read(func(f *trunk.Frame) { // how a link ends doesn't matter: it is made anew
		if p == nil {
			if f.Hello == nil {
				link.Close()
				return
			}
			p = &peer{link: link, node: f.Hello.Node, ip: f.Hello.IP, zone: f.Hello.Zone, edge: f.Hello.Edge, byLower: f.Hello.IP < x.set.IP}
			x.do(func() { x.joined(p, f.Hello) })
		}
		x.do(func() { x.frame(p, f) })
	})
	if p != nil {
		x.do(func() { x.left(p) })
	}
}

// dial keeps a link to another exchange. Of two exchanges the one with the lower address dials first; the other follows
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
		conn, err := net.DialTimeout("tcp", x.set.Inner(ip), dialLimit)
		if err != nil {
			continue
		}
		link := trunk.NewLink(conn)
		link.Send(&trunk.Frame{Hello: x.hello()})
		var p *peer
		_ = link.Read(func(f *trunk.Frame) { // how a link ends doesn't matter: it is made anew
			if p == nil {
				if f.Hello == nil {
					link.Close()
					return
				}
				p = &peer{link: link, node: f.Hello.Node, ip: ip, zone: f.Hello.Zone, byLower: x.set.IP < ip}
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
func (x *Exchange) hello() *trunk.Hello {
	return &trunk.Hello{Node: x.set.Node, IP: x.set.IP, Zone: x.set.Zone, Life: x.life, Counted: x.set.Counted}
}

// joined takes a peer in and brings it up to date: a snapshot, then changes.
func (x *Exchange) joined(p *peer, h *trunk.Hello) {
	if p.look = h.Look; h.Look {
		p.link.Send(&trunk.Frame{Hello: x.hello(), Pulse: x.makePulse(true)})
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
	_ = x.logger.Log("event", "link up", "node", p.node, "ip", p.ip, "edge", p.edge)
	answer := x.hello()
	answer.Blank = x.ledger.Blank()
	answer.Members = x.members
	f := &trunk.Frame{Hello: answer, Entries: x.dir.All(x.now()), Pulse: x.makePulse(true)}
	if (p.edge || !slices.Contains(x.members, p.ip)) && h.Version < x.state.version() {
		f.Config = x.whole()
	}
	p.link.Send(f)
	if p.edge {
		x.tables.join(p)
	}
}

func (x *Exchange) left(p *peer) {
	delete(x.guests, p)
	if x.edges[p.ip] != p && x.peers[p.ip] != p {
		return
	}
	if p.edge && x.edges[p.ip] == p {
		delete(x.edges, p.ip)
		x.tables.leave(p)
	} else if !p.edge && x.peers[p.ip] == p {
		delete(x.peers, p.ip)
		x.goneAt(p.ip)
	}
	for _, r := range x.receipts {
		delete(r.need, p)
	}
	x.finishReceipts()
	_ = x.logger.Log("event", "link down", "node", p.node, "ip", p.ip, "edge", p.edge)
}

// meet starts a link to an exchange that is not known yet.
func (x *Exchange) meet(ip string) {
	if ip == x.set.IP || x.known[ip] {
		return
	}
	x.known[ip] = true
	go x.dial(ip)
}

// frame takes what a peer sends.
func (x *Exchange) frame(p *peer, f *trunk.Frame) {
	if p.look {
		x.claimed(p, f)
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
			p.hears, p.usual = f.Pulse.Exchanges, f.Pulse.Usual
			if p.cells.Due(f.Pulse.Sum, x.dir.Sum(), x.now()) {
				_ = x.logger.Log("event", "cells compared", "with", p.node)
				p.link.Send(&trunk.Frame{Cells: &trunk.Cells{Sums: x.dir.Sums()}})
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
		x.heardEntries(p, f.Entries, f.Receipt)
	}
	if f.Cells != nil {
		if answer := f.Cells.Compare(x.dir, x.now()); answer != nil {
			p.link.Send(answer)
		}
	}
	if f.Received != 0 {
		if r := x.receipts[f.Received]; r != nil {
			delete(r.need, p)
			x.finishReceipts()
		}
	}
	if f.Config != nil && !x.observed(f.Config) {
		p.link.Send(&trunk.Frame{NeedAll: true})
	}
	if f.NeedAll {
		p.link.Send(&trunk.Frame{Config: x.whole()})
	}
	if f.Report != nil {
		x.tables.report(p, f.Report)
	}
	x.keyFrame(p, f)
}

// heardEntries takes what another process knows of servers, and passes on what was news.
func (x *Exchange) heardEntries(p *peer, entries []directory.Entry, want uint64) {
	var news []directory.Entry
	for _, e := range entries {
		if changed, isNews := x.dir.Take(e, x.now()); isNews {
			news = append(news, changed)
		}
	}
	var done func()
	if want != 0 {
		done = func() { p.link.Send(&trunk.Frame{Received: want}) }
	}
	x.spread(news, p, receiptNear, done)
}

// spread tells edges and other exchanges of news; done hears when those that have to know hold it. What another
// exchange told goes on to exchanges that it has no link to itself.
func (x *Exchange) spread(news []directory.Entry, from *peer, limit time.Duration, done func()) {
	need := map[*peer]bool{}
	id := uint64(0)
	if done != nil {
		x.nextRcpt++
		id = x.nextRcpt
	}
	if len(news) > 0 {
		x.store.server(news, x.now())
		f := &trunk.Frame{Entries: news, Receipt: id}
		for _, e := range x.edges {
			if e != from {
				e.link.Send(f)
				need[e] = true
			}
		}
		for ip, p := range x.peers {
			if from == nil || from.edge || from != p && !slices.Contains(from.hears, ip) {
				p.link.Send(f)
				need[p] = true
			}
		}
		x.tables.changed(news)
	}
	if done == nil {
		return
	}
	x.receipts[id] = &receipt{need: need, until: x.now() + limit, done: done}
	x.finishReceipts()
}

func (x *Exchange) finishReceipts() {
	for id, r := range x.receipts {
		if len(r.need) == 0 {
			delete(x.receipts, id)
			r.done()
		}
	}
}

// makePulse says how this planner sees the system.
func (x *Exchange) makePulse(full bool) *trunk.Pulse {
	p := &trunk.Pulse{Attached: x.attached() && !x.draining, Version: x.state.version(), Edges: len(x.edges), Fleet: len(x.edges), Full: full}
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
	x.nextPulse = now + trunk.PulseEvery
	x.pulses++
	full := x.pulses%fullEvery == 0
	f := &trunk.Frame{Pulse: x.makePulse(full)}
	for _, e := range x.edges {
		e.link.Send(f)
	}
	for g := range x.guests {
		g.link.Send(f)
	}
	f = &trunk.Frame{Pulse: x.makePulse(full)}
	if full {
		f.Pulse.Usual = x.tables.mine()
	}
	for _, p := range x.peers {
		p.link.Send(f)
	}
}

// lost tells whether an exchange is out of reach for longer than its servers need to find another.
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
