package program

import (
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"mulleinwood/internal/protocol"
	"mulleinwood/internal/routing"
	"mulleinwood/internal/settings"
	"mulleinwood/internal/transport"
)

// peers makes the machines of accepted connections and tells routing what they say.
type peers struct {
	set  settings.Settings
	post func(routing.Event)
	log  zerolog.Logger // bounded

	mu         sync.Mutex
	collectors map[string]*transport.Conn // the newest of each zone
}

// linePeer is a peer that is written to in lines.
type linePeer struct{ *transport.Conn }

// Order implements routing.Peer.
func (p linePeer) Order(o protocol.Orders) error {
	text, err := o.Append(nil)
	if err != nil {
		return err
	}
	return p.Send(text)
}

// Beat implements routing.Peer.
func (p linePeer) Beat() error { return p.Send(protocol.HeartbeatAnswer()) }

// Accepted implements transport.Handler.
func (p *peers) Accepted(c *transport.Conn) transport.Machine {
	shown := transport.Silent
	return &protocol.Lines{
		Take: func(m protocol.Message) {
			shown = max(shown, p.standing(m))
			c.Rise(shown)
			if m, ok := m.(protocol.Collector); ok && shown == transport.Known {
				p.collects(c, m.Zone)
			}
			p.post(routing.Said{Peer: linePeer{c}, Message: m})
		},
		Bad: func(err error) error {
			if shown < transport.Known { // a stranger that doesn't speak the protocol has nothing to say here
				return err
			}
			p.log.Warn().Err(err).Str("peer", c.Remote()).Msg("line skipped")
			return nil
		},
	}
}

// standing is what a message shows of its sender: whether it is a proxy or a collector of this deployment.
func (p *peers) standing(m protocol.Message) transport.Standing {
	switch m := m.(type) {
	case protocol.Attach:
		if m.Proxy < p.set.Rules.Proxies && slices.Contains(p.set.ZoneNames, m.Zone) {
			return transport.Known
		}
	case protocol.Collector:
		if slices.Contains(p.set.ZoneNames, m.Zone) {
			return transport.Known
		}
	}
	return transport.Stranger
}

// collects notes the newest collector of a zone. Guards against collectors whose machines vanish and come back:
// the connections they leave behind would use up the descriptors for good.
func (p *peers) collects(c *transport.Conn, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.collectors[zone]; old != nil && old != c {
		old.Fall()
	}
	p.collectors[zone] = c
}

// Refused implements transport.Handler.
func (p *peers) Refused(peer string) {
	p.log.Warn().Str("peer", peer).Msg("connection refused: descriptors are used up by known peers")
}

// Ended implements transport.Handler.
func (p *peers) Ended(c *transport.Conn, reason error) {
	p.mu.Lock()
	maps.DeleteFunc(p.collectors, func(_ string, newest *transport.Conn) bool { return newest == c })
	p.mu.Unlock()
	p.post(routing.Ended{Peer: linePeer{c}})
	if !errors.Is(reason, io.EOF) && !errors.Is(reason, net.ErrClosed) {
		p.log.Warn().Err(reason).Str("peer", c.Remote()).Msg("connection ended")
	}
}
