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

// maxReportPeriods is the most reporting periods that one report may cover. A proxy with little traffic reports only after
// several periods, and a report delayed by a broken connection covers more.
const maxReportPeriods = 60

// peers implements transport.Handler: it creates the decoders of accepted connections, checks each message against the
// sender's role and posts it to routing.
type peers struct {
	set  settings.Settings
	post func(routing.Event)
	log  zerolog.Logger // rate-limited

	mu             sync.Mutex
	collectors     map[string]*transport.Conn // the newest connection of each zone's collector
	problemCounts  map[string]int             // rejected lines and connections, by kind of problem
	frontend       *frontend                  // nil if gRPC is disabled
	updateVersions *versionTracker            // nil if versioned updates are disabled
}

// linePeer is a peer that uses the line protocol.
type linePeer struct {
	*transport.Conn
	versions      *proxyVersions // the updates sent to the proxy; nil if they are not tracked
	wantsVersions bool           // the proxy asked for versioned updates
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

// role is a connection's role.
type role int

// The roles. A connection's first join message fixes its role.
const (
	roleNone role = iota
	roleCollector
	roleProxy
)

// errNotPermitted reports that a sender's role doesn't permit a message.
var errNotPermitted = errors.New("not for this peer to say")

// sender is the role of one connection, which determines the messages that it may send.
type sender struct {
	role  role
	zone  string // the zone of a collector
	proxy int    // the number of a proxy
}

// maySend reports whether the sender may send a message. It rejects reports from unidentified peers, about a zone from another
// zone's collector, and about a proxy from another proxy: the module must only use data from the peer that measured it.
func (s *sender) maySend(m protocol.Message) bool {
	switch m := m.(type) {
	case protocol.Heartbeat:
		return true
	case protocol.Collector, protocol.Attach: // once per connection, since a join costs a complete table
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

// messageBounds returns the bounds of the values in this deployment's messages.
func messageBounds(set settings.Settings) protocol.Bounds {
	return protocol.Bounds{Proxies: set.Rules.Proxies, MaxLatency: set.LongestDeadline(),
		MaxPeriod: maxReportPeriods * set.Rules.ReportPeriod}
}

// Accepted implements transport.Handler.
func (p *peers) Accepted(c *transport.Conn) transport.Machine {
	var s sender
	peer := linePeer{Conn: c}
	rejectLine := func(err error) error {
		if s.role == roleNone { // a peer that has not joined must follow the protocol, or its connection ends
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
				c.Promote(transport.Identified) // a connection marked as superseded is still in use
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

// assignRole sets a connection's role. It returns an error for a join from a zone that this deployment doesn't have.
func (p *peers) assignRole(c *transport.Conn, s *sender, m protocol.Message) error {
	var zone string
	switch m := m.(type) {
	case protocol.Collector:
		s.role, s.zone, zone = roleCollector, m.Zone, m.Zone
	case protocol.Attach: // the decoder has checked the proxy's number
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

// trackCollector records the newest collector connection of a zone and marks the previous one as superseded. Otherwise the
// connections left behind by collectors whose machines vanish and come back would use up the descriptors for good.
func (p *peers) trackCollector(c *transport.Conn, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.collectors[zone]; old != nil && old != c {
		old.MarkSuperseded()
	}
	p.collectors[zone] = c
}

// countProblem counts a problem and logs its first, tenth, hundredth occurrence and so on.
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

// Closed implements transport.Handler. Unidentified peers are counted rather than logged one by one, since there may be many.
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
