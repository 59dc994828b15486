package program

import (
	"errors"
	"sync"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
)

// errRevoked is what a core gets that orders on a stream which another has by now.
var errRevoked = errors.New("the proxy is another core's by now")

// tagShift is where in a mark on the wire the lease's tag begins: the module's marks have 16 bits.
const tagShift = 16

// lease is a core's right to order on a proxy's stream. It is taken from outside, whatever the core is doing: once revoke
// has returned, no order of that core can follow on the stream.
type lease struct {
	routing.Peer
	proxy int
	core  *coreRun
	tag   uint16 // of the stream's leases, in order: an answer to a former one's mark is told by it

	mu       sync.Mutex
	revoked  bool
	excluded map[string]bool // servers that the proxy was told to shut out
}

// Assign implements routing.Peer. The mark carries the tag.
func (l *lease) Assign(o protocol.Assignment) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revoked {
		return errRevoked
	}
	for _, name := range o.Exclude {
		l.excluded[name] = true
	}
	for _, name := range o.Include {
		delete(l.excluded, name)
	}
	if o.Token != nil {
		token := *o.Token | uint32(l.tag)<<tagShift
		o.Token = &token
	}
	return l.Peer.Assign(o)
}

// revoke ends the lease.
func (l *lease) revoke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked = true
}

// next returns a lease of the same proxy for another core or stream, which must be revoked first.
func (l *lease) next(peer routing.Peer, proxy int, to *coreRun) *lease {
	if l == nil {
		return &lease{Peer: peer, proxy: proxy, core: to, excluded: map[string]bool{}}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &lease{Peer: peer, proxy: proxy, core: to, tag: l.tag + 1, excluded: l.excluded}
}

// coreToken returns a mark as the core knows it, if it is one of this lease.
func (l *lease) coreToken(token uint32) (uint32, bool) {
	return token & (1<<tagShift - 1), uint16(token>>tagShift) == l.tag
}
