package program

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/internal/planner/transport"
)

// spanPeriods is how many of the settings' reporting periods a report may cover. A proxy of little traffic reports after
// some periods, and what waited while a connection was broken covers more.
const spanPeriods = 60

// peers makes the machines of accepted connections, holds each to its role and tells routing what they say.
type peers struct {
	set  settings.Settings
	post func(routing.Event)
	log  zerolog.Logger // bounded

	mu         sync.Mutex
	collectors map[string]*transport.Conn // the newest of each zone
	counts     map[string]int             // lines and connections that are of no use, by what is wrong
	front      *frontend                  // nil: no gRPC
	versions   *versions                  // nil: none
}

// linePeer is a peer that is written to in lines.
type linePeer struct {
	*transport.Conn
	versioned *versioned // what it was sent; nil: nobody wants to know
	asked     bool       // it asked for versions
}

// Assign implements routing.Peer.
func (p linePeer) Assign(o protocol.Assignment) error {
	if p.versioned != nil {
		return p.versioned.order(p.Conn, o, p.asked)
	}
	text, err := o.Append(nil)
	if err != nil {
		return err
	}
	return p.Send(text)
}

// AnswerHeartbeat implements routing.Peer.
func (p linePeer) AnswerHeartbeat() error {
	defer p.SetReplyPending(false)
	return p.Send(protocol.HeartbeatReply())
}

// DeferHeartbeat implements routing.Peer.
func (p linePeer) DeferHeartbeat() { p.SetReplyPending(true) }

// role is what a connection has shown itself to be.
type role int

// The roles. A connection has one for good: its first joining gives it.
const (
	unjoined role = iota
	collector
	proxy
)

// errRole says that a message is not believed from who sent it.
var errRole = errors.New("not for this peer to say")

// speaker is one connection's role and the messages that it may send in it.
type speaker struct {
	role  role
	zone  string // of a collector
	proxy int    // of a proxy
}

// may says whether the speaker may send a message. Guards against reports of strangers, of a zone through another
// one's collector, and of one proxy in the name of another: what the module believes must come from who knows it.
func (s *speaker) may(m protocol.Message) bool {
	switch m := m.(type) {
	case protocol.Heartbeat:
		return true
	case protocol.Collector, protocol.Attach: // a joining costs a whole table; so a connection has one
		return s.role == unjoined
	case protocol.ServerReport:
		return s.role == collector && m.Zone == s.zone
	case protocol.UsageReport:
		return s.role == collector || s.role == proxy && m.Proxy == s.proxy
	case protocol.ResyncRequest:
		return s.role == proxy && m.Proxy == s.proxy
	case protocol.Ack:
		return s.role == proxy && m.Proxy == s.proxy
	}
	return false
}

// bounds are what the figures of this deployment's messages keep within.
func bounds(set settings.Settings) protocol.Bounds {
	return protocol.Bounds{Proxies: set.Rules.Proxies, MaxLatency: set.LongestDeadline(),
		MaxPeriod: spanPeriods * set.Rules.ReportPeriod}
}

// Accepted implements transport.Handler.
func (p *peers) Accepted(c *transport.Conn) transport.Machine {
	var s speaker
	self := linePeer{Conn: c}
	bad := func(err error) error {
		if s.role == unjoined { // who has not joined and speaks no protocol has nothing to say here
			return err
		}
		p.count("line not used", c.Remote(), err)
		return nil
	}
	return &protocol.LineDecoder{
		Bounds: bounds(p.set),
		HandleMessage: func(m protocol.Message) error {
			if !s.may(m) {
				return bad(fmt.Errorf("%T: %w", m, errRole))
			}
			if s.role != unjoined {
				c.Promote(transport.Identified) // one thought replaced still speaks
			} else if err := p.join(c, &s, m); err != nil {
				return err
			}
			switch m := m.(type) {
			case protocol.Attach:
				if p.versions != nil && (m.Versions || p.versions.recorded) {
					self.versioned, self.asked = p.versions.of(m.Proxy), m.Versions
				}
			case protocol.ResyncRequest:
				if !self.asked {
					return bad(fmt.Errorf("%T without versions: %w", m, errRole))
				}
				if self.versioned.again(c, m) {
					return nil
				}
				p.post(routing.MessageReceived{Peer: self, Message: protocol.Nack{Proxy: m.Proxy}})
				return nil
			}
			p.post(routing.MessageReceived{Peer: self, Message: m})
			return nil
		},
		HandleInvalid: bad,
	}
}

// join gives a connection its role. A joining that this deployment has no place for is an error.
func (p *peers) join(c *transport.Conn, s *speaker, m protocol.Message) error {
	var zone string
	switch m := m.(type) {
	case protocol.Collector:
		s.role, s.zone, zone = collector, m.Zone, m.Zone
	case protocol.Attach: // its number has been checked with the line
		s.role, s.proxy, zone = proxy, m.Proxy, m.Zone
	default:
		c.Promote(transport.Unidentified)
		return nil
	}
	if !slices.Contains(p.set.ZoneNames, zone) {
		return fmt.Errorf("joins from the unknown zone %.40q", zone)
	}
	c.Promote(transport.Identified)
	if s.role == collector {
		p.collects(c, zone)
	}
	return nil
}

// collects notes the newest collector of a zone. Guards against collectors whose machines vanish and come back:
// the connections they leave behind would use up the descriptors for good.
func (p *peers) collects(c *transport.Conn, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.collectors[zone]; old != nil && old != c {
		old.MarkSuperseded()
	}
	p.collectors[zone] = c
}

// count counts what is of no use, and tells of the first, the tenth, the hundredth and so on.
func (p *peers) count(what, peer string, err error) {
	p.mu.Lock()
	p.counts[what]++
	n := p.counts[what]
	p.mu.Unlock()
	if routing.ShouldLog(n) {
		p.log.Warn().Err(err).Str("peer", peer).Int("count", n).Msg(what)
	}
}

// Rejected implements transport.Handler.
func (p *peers) Rejected(peer string) {
	p.count("connection refused: descriptors are used up by known peers", peer, nil)
}

// Closed implements transport.Handler. Strangers come in any number; they are counted, not told of one by one.
func (p *peers) Closed(c *transport.Conn, reason error) {
	p.mu.Lock()
	maps.DeleteFunc(p.collectors, func(_ string, newest *transport.Conn) bool { return newest == c })
	p.mu.Unlock()
	p.post(routing.Disconnected{Peer: linePeer{Conn: c}})
	if p.front != nil {
		p.front.gone(c)
	}
	switch {
	case errors.Is(reason, io.EOF), errors.Is(reason, net.ErrClosed):
	case c.Joined():
		p.log.Warn().Err(reason).Str("peer", c.Remote()).Msg("connection ended")
	default:
		p.count("stranger turned away", c.Remote(), reason)
	}
}
