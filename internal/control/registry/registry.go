// Package registry is the register of servers: what their beats say, merged so that the order in which controllers hear
// of it doesn't matter. A life (an id) only ever goes from ready to draining to gone; a late beat, a late controller or an
// old snapshot can't undo that. It does no I/O and has no clock.
//
// Lives are kept in cells, one a zone. A cell has a sum over what others have to know of its lives, so that two controllers
// can tell at the cost of a few bytes whether they hold the same, and which cells to compare where they don't.
package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// State of a server's life. It only grows.
type State uint8

// The states.
const (
	Ready State = iota
	Draining
	Removed
)

func (s State) String() string { return [...]string{"ready", "draining", "gone"}[min(s, Removed)] }

// Entry is what is known of one life of a server.
type Entry struct {
	ID         string  `cbor:"1,keyasint"`
	Service    string  `cbor:"2,keyasint,omitempty"`
	Address    string  `cbor:"3,keyasint,omitempty"`
	Zone       string  `cbor:"4,keyasint,omitempty"`
	Version    string  `cbor:"5,keyasint,omitempty"`
	Capacity   int     `cbor:"6,keyasint,omitempty"`
	WarmupLeft float64 `cbor:"7,keyasint,omitempty"` // seconds that it is still slow, when heard
	Seq        uint64  `cbor:"8,keyasint,omitempty"`
	State      State   `cbor:"9,keyasint,omitempty"`
	TimedOut   bool    `cbor:"10,keyasint,omitempty"` // its beats stopped
	Owner      string  `cbor:"11,keyasint,omitempty"` // the planner that takes its beats
	// Lapsed: it was silent for so long that it is taken for gone. Unlike State Gone, which only the server's own word
	// brings, a later beat takes this back: the silence may have been a cut.
	Expired bool `cbor:"12,keyasint,omitempty"`
}

// Ended tells whether nothing is to be sent to this life any more, by its own word or by its long silence.
func (e Entry) Ended() bool { return e.State == Removed || e.Expired }

// Merge joins two accounts of a life. It is commutative, associative and idempotent.
func Merge(a, b Entry) Entry {
	newer, older := a, b
	if newerThan(b, a) {
		newer, older = b, a
	}
	if newer.Address == "" { // a DELETE that overtook all beats
		state, seq := newer.State, newer.Seq
		newer = older
		newer.State, newer.Seq = state, seq
	}
	newer.State = max(a.State, b.State)
	return newer
}

// newerThan orders accounts of one life: by beats, then by how far its silence was noted, then by owner.
func newerThan(b, a Entry) bool {
	switch {
	case b.Seq != a.Seq:
		return b.Seq > a.Seq
	case b.Expired != a.Expired:
		return b.Expired
	case b.TimedOut != a.TimedOut:
		return b.TimedOut
	}
	return b.Owner > a.Owner
}

// Registry holds all lives that are known, tombstones included.
type Registry struct {
	entries   map[string]*record
	digests   map[string]uint64 // sums by zone, without lives that are gone: those are forgotten at different times
	retention time.Duration     // how long a life that is gone is remembered
}

type record struct {
	Entry
	heardAt    time.Duration // when a beat last came here, or the entry last changed
	warmAt     time.Duration // when it will be warm
	digest     uint64        // as counted in its cell
	digestZone string
}

// New makes an empty registry that remembers lives that are gone for a time.
func New(retention time.Duration) *Registry {
	return &Registry{entries: map[string]*record{}, digests: map[string]uint64{}, retention: retention}
}

// Apply merges an account heard at now and tells whether anything changed that others have to know.
func (r *Registry) Apply(e Entry, now time.Duration) (current Entry, updated bool) {
	h := r.entries[e.ID]
	if h == nil && e.Expired {
		return e, false // forgotten here already, or never known
	}
	if h == nil {
		if e.State == Removed && e.Address == "" && e.Service == "" && e.Seq == 0 {
			e.Seq = 1
		}
		h = &record{Entry: e, heardAt: now, warmAt: now + time.Duration(e.WarmupLeft*float64(time.Second))}
		r.entries[e.ID] = h
		r.updateDigest(h)
		return h.Entry, true
	}
	merged := Merge(h.Entry, e)
	updated = merged.State != h.State || merged.TimedOut != h.TimedOut || merged.Expired != h.Expired || merged.Address != h.Address ||
		merged.Owner != h.Owner || merged.Capacity != h.Capacity || merged.Service != h.Service
	if merged.Seq > h.Seq || updated {
		h.heardAt = now
		if merged.WarmupLeft > 0 {
			h.warmAt = now + time.Duration(merged.WarmupLeft*float64(time.Second))
		}
	}
	h.Entry = merged
	if updated {
		r.updateDigest(h)
	}
	return h.Entry, updated
}

// updateDigest brings the sum of a life's cell up to date.
func (r *Registry) updateDigest(h *record) {
	r.digests[h.digestZone] ^= h.digest
	h.digestZone, h.digest = h.Zone, 0
	if !h.Ended() {
		h.digest = xxh3.HashString(fmt.Sprint(h.ID, "\x00", h.Service, "\x00", h.Address, "\x00", h.Owner, "\x00", h.State, h.TimedOut, h.Capacity))
	}
	r.digests[h.digestZone] ^= h.digest
}

// Digest is that of all cells.
func (r *Registry) Digest() (all uint64) {
	for zone, digest := range r.digests {
		if digest != 0 {
			all ^= xxh3.HashStringSeed(zone, digest)
		}
	}
	return all
}

// ZoneDigests are those of the cells, by zone.
func (r *Registry) ZoneDigests() map[string]uint64 { return maps.Clone(r.digests) }

// InZones gives the lives of some cells.
func (r *Registry) InZones(zones map[string]bool, now time.Duration) []Entry {
	return slices.DeleteFunc(r.All(now), func(e Entry) bool { return !zones[e.Zone] })
}

// Get finds a life.
func (r *Registry) Get(id string) (Entry, bool) {
	if h := r.entries[id]; h != nil {
		return h.Entry, true
	}
	return Entry{}, false
}

// MarkTimedOut marks the lives whose beats stopped: those of this owner, and of owners that are lost. It also forgets lives
// that are long gone. It returns what others have to know.
func (r *Registry) MarkTimedOut(owner string, ownerLost func(owner string) bool, timeout, now time.Duration) (changed []Entry) {
	r.Prune(now)
	for _, h := range r.entries {
		if h.Ended() {
			continue
		}
		if !h.TimedOut && now-h.heardAt > timeout && (h.Owner == owner || ownerLost(h.Owner)) {
			h.TimedOut, h.heardAt = true, now
			r.updateDigest(h)
			changed = append(changed, h.Entry)
		} else if h.TimedOut && now-h.heardAt > r.retention {
			r.expire(h, now)
			changed = append(changed, h.Entry)
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// expire takes a life that was silent for long for gone. One that had said that it leaves has left.
func (r *Registry) expire(h *record, now time.Duration) {
	if h.heardAt = now; h.State == Draining {
		h.State = Removed
	} else {
		h.Expired = true
	}
	r.updateDigest(h)
}

// Prune drops lives that are long gone.
func (r *Registry) Prune(now time.Duration) {
	for id, h := range r.entries {
		if h.Ended() && now-h.heardAt > r.retention {
			delete(r.entries, id)
		}
	}
}

// All gives every life that is known, in order, with the warm-up that is left now.
func (r *Registry) All(now time.Duration) []Entry {
	all := make([]Entry, 0, len(r.entries))
	for _, h := range r.entries {
		e := h.Entry
		e.WarmupLeft = max(0, (h.warmAt - now).Seconds())
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
