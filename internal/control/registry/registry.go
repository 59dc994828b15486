// Package registry is the register of servers: what their heartbeats say, merged so that the order in which controllers hear
// of it doesn't matter. It does no I/O and reads no clock.
//
// A server's incarnation is named by its id; a restarted server has another one. The state of an incarnation only ever goes
// from ready to draining to removed: Merge joins two accounts of it and is commutative, associative and idempotent, so that
// a late heartbeat, a late controller or an old snapshot can't undo a drain. Heartbeats that stop don't end an incarnation
// at once: it is marked as timed out first, and expires after the retention; a later heartbeat takes both back, since the
// silence may have been a partition.
//
// For anti-entropy there is a digest over the entries of each zone, made of what others have to know of them. Two
// processes compare it at the cost of a few bytes, and exchange the entries of the zones that differ.
package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// State of a server's incarnation. It only grows. The numbers are sent between processes.
type State uint8

// The states.
const (
	Ready State = iota
	Draining
	Removed
)

// String is the state's name, as in digests and in what operators read. The names are those of the first version.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[min(s, Removed)] }

// Entry is what is known of one incarnation of a server.
type Entry struct {
	ID         string  `cbor:"1,keyasint"`
	Service    string  `cbor:"2,keyasint,omitempty"`
	Address    string  `cbor:"3,keyasint,omitempty"` // host and port
	Zone       string  `cbor:"4,keyasint,omitempty"`
	Version    string  `cbor:"5,keyasint,omitempty"` // of its software
	Capacity   int     `cbor:"6,keyasint,omitempty"` // slots: requests at once
	WarmupLeft float64 `cbor:"7,keyasint,omitempty"` // seconds that it is still slow, when it was heard
	Seq        uint64  `cbor:"8,keyasint,omitempty"` // of its last heartbeat
	State      State   `cbor:"9,keyasint,omitempty"`
	TimedOut   bool    `cbor:"10,keyasint,omitempty"` // its heartbeats stopped
	Owner      string  `cbor:"11,keyasint,omitempty"` // IP of the controller that takes its heartbeats
	// Expired: it was timed out for so long that it is taken for gone. Unlike State Removed, which only the server's own
	// word brings, a later heartbeat takes this back.
	Expired bool `cbor:"12,keyasint,omitempty"`
}

// Ended reports whether nothing is to be sent to this incarnation any more, by its own word or by its long silence.
func (e Entry) Ended() bool { return e.State == Removed || e.Expired }

// Merge joins two accounts of an incarnation. It is commutative, associative and idempotent.
func Merge(a, b Entry) Entry {
	newer, older := a, b
	if newerThan(b, a) {
		newer, older = b, a
	}
	if newer.Address == "" { // a DELETE that overtook all heartbeats
		state, seq := newer.State, newer.Seq
		newer = older
		newer.State, newer.Seq = state, seq
	}
	newer.State = max(a.State, b.State)
	return newer
}

// newerThan orders accounts of one incarnation: by heartbeats, then by how far their absence was noted, then by owner.
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

// Registry holds all incarnations that are known, tombstones included.
type Registry struct {
	records map[string]*record // by id
	// digests are those of the zones. Incarnations that have ended are left out: they are forgotten at different times.
	digests   map[string]uint64
	retention time.Duration // how long an incarnation that has ended is remembered
}

type record struct {
	Entry
	heardAt    time.Duration // when a heartbeat last came here, or the entry last changed
	warmAt     time.Duration // when it will be warm
	digest     uint64        // as contained in that of digestZone
	digestZone string
}

// New makes an empty registry that remembers incarnations that have ended for the retention.
func New(retention time.Duration) *Registry {
	return &Registry{records: map[string]*record{}, digests: map[string]uint64{}, retention: retention}
}

// Apply merges an account that was heard now, and reports whether anything changed that others have to know.
func (r *Registry) Apply(e Entry, now time.Duration) (current Entry, updated bool) {
	one := r.records[e.ID]
	if one == nil {
		if e.Expired {
			return e, false // it was forgotten here already, or never known
		}
		return r.add(e, now), true
	}
	merged := Merge(one.Entry, e)
	updated = relevantlyDifferent(merged, one.Entry)
	if merged.Seq > one.Seq || updated {
		one.heardAt = now
		if merged.WarmupLeft > 0 {
			one.warmAt = warmAt(merged, now)
		}
	}
	one.Entry = merged
	if updated {
		r.updateDigest(one)
	}
	return one.Entry, updated
}

func (r *Registry) add(e Entry, now time.Duration) Entry {
	if e.State == Removed && e.Address == "" && e.Service == "" && e.Seq == 0 {
		e.Seq = 1 // so that it is newer than what an old snapshot may say
	}
	one := &record{Entry: e, heardAt: now, warmAt: warmAt(e, now)}
	r.records[e.ID] = one
	r.updateDigest(one)
	return one.Entry
}

func warmAt(e Entry, now time.Duration) time.Duration {
	return now + time.Duration(e.WarmupLeft*float64(time.Second))
}

// relevantlyDifferent compares what others have to know.
func relevantlyDifferent(a, b Entry) bool {
	return a.State != b.State || a.TimedOut != b.TimedOut || a.Expired != b.Expired || a.Address != b.Address ||
		a.Owner != b.Owner || a.Capacity != b.Capacity || a.Service != b.Service
}

// updateDigest brings the digest of a record's zone up to date. What goes into it is compared with other processes, so that
// it must stay as it is.
func (r *Registry) updateDigest(one *record) {
	r.digests[one.digestZone] ^= one.digest
	one.digestZone, one.digest = one.Zone, 0
	if !one.Ended() {
		one.digest = xxh3.HashString(fmt.Sprint(one.ID, "\x00", one.Service, "\x00", one.Address, "\x00", one.Owner, "\x00",
			one.State, one.TimedOut, one.Capacity))
	}
	r.digests[one.digestZone] ^= one.digest
}

// Digest is that of all zones.
func (r *Registry) Digest() (all uint64) {
	for zone, digest := range r.digests {
		if digest != 0 {
			all ^= xxh3.HashStringSeed(zone, digest)
		}
	}
	return all
}

// ZoneDigests are those of the zones.
func (r *Registry) ZoneDigests() map[string]uint64 { return maps.Clone(r.digests) }

// InZones gives the entries of some zones, sorted by id.
func (r *Registry) InZones(zones map[string]bool, now time.Duration) []Entry {
	return slices.DeleteFunc(r.All(now), func(e Entry) bool { return !zones[e.Zone] })
}

// Get finds an incarnation.
func (r *Registry) Get(id string) (Entry, bool) {
	if one := r.records[id]; one != nil {
		return one.Entry, true
	}
	return Entry{}, false
}

// MarkTimedOut marks the incarnations that were not heard for the timeout: those of this owner, and of owners that are lost.
// Those that were timed out for the retention expire. It gives what others have to know, sorted by id.
func (r *Registry) MarkTimedOut(owner string, ownerUnreachable func(owner string) bool, timeout,
	now time.Duration) (changed []Entry) {
	r.Prune(now)
	for _, one := range r.records {
		sinceHeard := now - one.heardAt
		switch {
		case one.Ended():
			continue
		case !one.TimedOut && sinceHeard > timeout && (one.Owner == owner || ownerUnreachable(one.Owner)):
			one.TimedOut = true
		case one.TimedOut && sinceHeard > r.retention:
			one.expire()
		default:
			continue
		}
		one.heardAt = now
		r.updateDigest(one)
		changed = append(changed, one.Entry)
	}
	slices.SortFunc(changed, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// expire takes an incarnation that was timed out for long for gone. One that had said that it drains has ended.
func (one *record) expire() {
	if one.State == Draining {
		one.State = Removed
	} else {
		one.Expired = true
	}
}

// Prune forgets incarnations that ended long ago.
func (r *Registry) Prune(now time.Duration) {
	for id, one := range r.records {
		if one.Ended() && now-one.heardAt > r.retention {
			delete(r.records, id)
		}
	}
}

// All gives every incarnation that is known, sorted by id, with the warm-up that is left now.
func (r *Registry) All(now time.Duration) []Entry {
	all := make([]Entry, 0, len(r.records))
	for _, one := range r.records {
		e := one.Entry
		e.WarmupLeft = max(0, (one.warmAt - now).Seconds())
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
