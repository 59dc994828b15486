package program

import (
	"errors"
	"sync"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
)

// errRevoked is returned to a core that sends on a stream which has been assigned to another core.
var errRevoked = errors.New("the proxy is another core's by now")

// tagShift is the bit position of the lease's tag in a token on the wire. The module's own tokens have 16 bits.
const tagShift = 16

// lease is a core's permission to send assignments on a proxy's stream. It can be revoked from another goroutine at any time:
// once revoke has returned, the core can send nothing more on the stream.
type lease struct {
	routing.Peer
	proxy int
	core  *coreRun
	tag   uint16 // incremented with each lease of the proxy; identifies acks of an earlier lease's tokens

	mu       sync.Mutex
	revoked  bool
	excluded map[string]bool // names of the servers that the proxy was told to exclude
}

// Assign implements routing.Peer. It adds the lease's tag to the token.
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

// revoke ends the lease. It waits for an assignment that is being sent.
func (l *lease) revoke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked = true
}

// next returns a lease of the same proxy for another core or stream. l must be revoked first; it is nil for the first lease.
func (l *lease) next(peer routing.Peer, proxy int, to *coreRun) *lease {
	if l == nil {
		return &lease{Peer: peer, proxy: proxy, core: to, excluded: map[string]bool{}}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &lease{Peer: peer, proxy: proxy, core: to, tag: l.tag + 1, excluded: l.excluded}
}

// coreToken returns a token without its tag, and reports whether the token belongs to this lease.
func (l *lease) coreToken(token uint32) (uint32, bool) {
	return token & (1<<tagShift - 1), uint16(token>>tagShift) == l.tag
}
