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

// maxReportPeriods is how many of the settings' reporting periods a report may cover. A proxy of little traffic reports after
// some periods, and what waited while a connection was broken covers more.
const maxReportPeriods = 60

// peers makes the machines of accepted connections, holds each to its role and tells routing what they say.
type peers struct {
	set  settings.Settings
	post func(routing.Event)
	log  zerolog.Logger // bounded

	mu             sync.Mutex
	collectors     map[string]*transport.Conn // the newest of each zone
	problemCounts  map[string]int             // lines and connections that are of no use, by what is wrong
	frontend       *frontend                  // nil: no gRPC
	updateVersions *versionTracker            // nil: none
}

// linePeer is a peer that is written to in lines.
type linePeer struct {
	*transport.Conn
	versions      *proxyVersions // what it was sent; nil: nobody wants to know
	wantsVersions bool           // it asked for versions
}

// Assign implements routing.Peer.
func (p linePeer) Assign(o protocol.Assignment) error {
	if p.versions != nil {
		return p.versions.assign(p.Conn, o, p.wantsVersions)
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
	roleNone role = iota
	roleCollector
	roleProxy
)

// errNotPermitted says that a message is not believed from who sent it.
var errNotPermitted = errors.New("not for this peer to say")

// sender is one connection's role and the messages that it may send in it.
type sender struct {
	role  role
	zone  string // of a collector
	proxy int    // of a proxy
}

// maySend says whether the speaker may send a message. Guards against reports of strangers, of a zone through another
// one's collector, and of one proxy in the name of another: what the module believes must come from who knows it.
func (s *sender) maySend(m protocol.Message) bool {
	switch m := m.(type) {
	case protocol.Heartbeat:
		return true
	case protocol.Collector, protocol.Attach: // a joining costs a whole table; so a connection has one
		return s.role == roleNone
	case protocol.ServerReport:
		return s.role == roleCollector && m.Zone == s.zone
	case protocol.UsageReport:
		return s.role == roleCollector || s.role == roleProxy && m.Proxy == s.proxy
	case protocol.ResyncRequest:
		return s.role == roleProxy && m.Proxy == s.proxy
	case protocol.Ack:
		return s.role == roleProxy && m.Proxy == s.proxy
	}
	return false
}

// messageBounds are what the figures of this deployment's messages keep within.
func messageBounds(set settings.Settings) protocol.Bounds {
	return protocol.Bounds{Proxies: set.Rules.Proxies, MaxLatency: set.LongestDeadline(),
		MaxPeriod: maxReportPeriods * set.Rules.ReportPeriod}
}

// Accepted implements transport.Handler.
func (p *peers) Accepted(c *transport.Conn) transport.Machine {
	var s sender
	peer := linePeer{Conn: c}
	rejectLine := func(err error) error {
		if s.role == roleNone { // who has not joined and speaks no protocol has nothing to say here
			return err
		}
		p.countProblem("line not used", c.Remote(), err)
		return nil
	}
	return &protocol.LineDecoder{
		Bounds: messageBounds(p.set),
		HandleMessage: func(m protocol.Message) error {
			if !s.maySend(m) {
				return rejectLine(fmt.Errorf("%T: %w", m, errNotPermitted))
			}
			if s.role != roleNone {
				c.Promote(transport.Identified) // one thought replaced still speaks
			} else if err := p.assignRole(c, &s, m); err != nil {
				return err
			}
			switch m := m.(type) {
			case protocol.Attach:
				if p.updateVersions != nil && (m.Versions || p.updateVersions.recorded) {
					peer.versions, peer.wantsVersions = p.updateVersions.forProxy(m.Proxy), m.Versions
				}
			case protocol.ResyncRequest:
				if !peer.wantsVersions {
					return rejectLine(fmt.Errorf("%T without versions: %w", m, errNotPermitted))
				}
				if peer.versions.resend(c, m) {
					return nil
				}
				p.post(routing.MessageReceived{Peer: peer, Message: protocol.Nack{Proxy: m.Proxy}})
				return nil
			}
			p.post(routing.MessageReceived{Peer: peer, Message: m})
			return nil
		},
		HandleInvalid: rejectLine,
	}
}

// assignRole gives a connection its role. A joining that this deployment has no place for is an error.
func (p *peers) assignRole(c *transport.Conn, s *sender, m protocol.Message) error {
	var zone string
	switch m := m.(type) {
	case protocol.Collector:
		s.role, s.zone, zone = roleCollector, m.Zone, m.Zone
	case protocol.Attach: // its number has been checked with the line
		s.role, s.proxy, zone = roleProxy, m.Proxy, m.Zone
	default:
		c.Promote(transport.Unidentified)
		return nil
	}
	if !slices.Contains(p.set.ZoneNames, zone) {
		return fmt.Errorf("joins from the unknown zone %.40q", zone)
	}
	c.Promote(transport.Identified)
	if s.role == roleCollector {
		p.trackCollector(c, zone)
	}
	return nil
}

// trackCollector notes the newest collector of a zone. Guards against collectors whose machines vanish and come back:
// the connections they leave behind would use up the descriptors for good.
func (p *peers) trackCollector(c *transport.Conn, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.collectors[zone]; old != nil && old != c {
		old.MarkSuperseded()
	}
	p.collectors[zone] = c
}

// countProblem counts what is of no use, and tells of the first, the tenth, the hundredth and so on.
func (p *peers) countProblem(problem, peer string, err error) {
	p.mu.Lock()
	p.problemCounts[problem]++
	n := p.problemCounts[problem]
	p.mu.Unlock()
	if routing.ShouldLog(n) {
		p.log.Warn().Err(err).Str("peer", peer).Int("count", n).Msg(problem)
	}
}

// Rejected implements transport.Handler.
func (p *peers) Rejected(peer string) {
	p.countProblem("connection refused: descriptors are used up by known peers", peer, nil)
}

// Closed implements transport.Handler. Strangers come in any number; they are counted, not told of one by one.
func (p *peers) Closed(c *transport.Conn, reason error) {
	p.mu.Lock()
	maps.DeleteFunc(p.collectors, func(_ string, newest *transport.Conn) bool { return newest == c })
	p.mu.Unlock()
	p.post(routing.Disconnected{Peer: linePeer{Conn: c}})
	if p.frontend != nil {
		p.frontend.removeConn(c)
	}
	switch {
	case errors.Is(reason, io.EOF), errors.Is(reason, net.ErrClosed):
	case c.Joined():
		p.log.Warn().Err(reason).Str("peer", c.Remote()).Msg("connection ended")
	default:
		p.countProblem("stranger turned away", c.Remote(), reason)
	}
}
