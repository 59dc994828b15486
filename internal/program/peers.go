package program

import (
	"errors"
	"io"
	"net"

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
}

// Accepted implements transport.Handler.
func (p *peers) Accepted(c *transport.Conn) transport.Machine {
	known := false
	return &protocol.Lines{
		Take: func(m protocol.Message) {
			if known = known || p.names(m); known {
				c.Rise(transport.Known)
			} else {
				c.Rise(transport.Stranger)
			}
			p.post(routing.Said{Peer: c, Message: m})
		},
		Bad: func(err error) error {
			if !known { // a stranger that doesn't speak the protocol has nothing to say here
				return err
			}
			p.log.Warn().Err(err).Str("peer", c.Remote()).Msg("line skipped")
			return nil
		},
	}
}

// names says whether a message shows its sender to be a proxy or a collector of this deployment.
func (p *peers) names(m protocol.Message) bool {
	zone := ""
	switch m := m.(type) {
	case protocol.Attach:
		if m.Proxy >= p.set.Rules.Proxies {
			return false
		}
		zone = m.Zone
	case protocol.Collector:
		zone = m.Zone
	default:
		return false
	}
	for _, name := range p.set.ZoneNames {
		if name == zone {
			return true
		}
	}
	return false
}

// Ended implements transport.Handler.
func (p *peers) Ended(c *transport.Conn, reason error) {
	p.post(routing.Ended{Peer: c})
	if !errors.Is(reason, io.EOF) && !errors.Is(reason, net.ErrClosed) {
		p.log.Warn().Err(reason).Str("peer", c.Remote()).Msg("connection ended")
	}
}
