// Package registry is the service registry: it holds the state that servers report in their heartbeats, merged so that the
// order in which controllers receive updates doesn't matter. It does no I/O and reads no clock, and isn't safe for concurrent
// use.
//
// An id identifies one incarnation of a server; a restarted server has a new id. The state of an incarnation only advances,
// from ready to draining to removed. Merge joins two versions of an entry and is commutative, associative and idempotent, so
// that a delayed heartbeat, a controller that lags behind or an old snapshot can't undo a drain. Missing heartbeats don't end
// an incarnation at once: it is marked as timed out first, and expires after the retention. A later heartbeat reverts both,
// because a partition may have caused the absence.
//
// For anti-entropy there is a digest of the entries of each zone, over the fields that peers need. Two processes compare
// digests at the cost of a few bytes, and exchange the entries of the zones that differ.
package registry

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// State is the state of a server's incarnation. It only increases. The values are part of the wire format.
type State uint8

// The states of an incarnation, in the order in which it passes through them.
const (
	Ready State = iota
	Draining
	Removed
)

// String returns the state's name as used in digests and in the control API. The names are those of the first version.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[min(s, Removed)] }

// Entry is the state of one incarnation of a server. The encoding is part of the wire format and of stored data.
type Entry struct {
	ID         string  `cbor:"1,keyasint"`
	Service    string  `cbor:"2,keyasint,omitempty"`
	Address    string  `cbor:"3,keyasint,omitempty"` // host and port
	Zone       string  `cbor:"4,keyasint,omitempty"`
	Version    string  `cbor:"5,keyasint,omitempty"` // of the server's software
	Capacity   int     `cbor:"6,keyasint,omitempty"` // concurrent requests
	WarmupLeft float64 `cbor:"7,keyasint,omitempty"` // remaining warm-up in seconds when the heartbeat was received
	Seq        uint64  `cbor:"8,keyasint,omitempty"` // sequence number of the last heartbeat
	State      State   `cbor:"9,keyasint,omitempty"`
	TimedOut   bool    `cbor:"10,keyasint,omitempty"` // heartbeats are missing
	Owner      string  `cbor:"11,keyasint,omitempty"` // IP of the controller that receives its heartbeats
	// Expired is set when the incarnation has been timed out for the retention. It counts as ended, but a later heartbeat
	// reverts it, unlike the state Removed, which is set for a server that has announced its removal or its draining.
	Expired bool `cbor:"12,keyasint,omitempty"`
}

// Ended reports whether no more requests may be sent to this incarnation, because it was removed or has expired.
func (e Entry) Ended() bool { return e.State == Removed || e.Expired }

// Merge joins two versions of the entry of one incarnation. It is commutative, associative and idempotent.
func Merge(a, b Entry) Entry {
	newer, older := a, b
	if newerThan(b, a) {
		newer, older = b, a
	}
	if newer.Address == "" { // a DELETE that arrived before any heartbeat
		state, seq := newer.State, newer.Seq
		newer = older
		newer.State, newer.Seq = state, seq
	}
	newer.State = max(a.State, b.State)
	return newer
}

// newerThan reports whether b is a newer version of an entry than a. The higher heartbeat sequence number is newer; if equal,
// an expired entry is newer than a timed-out one, and that newer than a live one; if equal, the greater owner decides.
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

// Registry holds the entries of all known incarnations, including tombstones of those that have ended.
type Registry struct {
	records map[string]*record // by id
	// digests holds the digest of each zone. Incarnations that have ended are left out, because processes prune them at
	// different times.
	digests   map[string]uint64
	retention time.Duration // how long an ended incarnation is kept
}

type record struct {
	Entry
	updatedAt  time.Duration // when a heartbeat was last received here, or the entry last changed
	warmAt     time.Duration // end of the warm-up
	digest     uint64        // as included in the digest of digestZone
	digestZone string
}

// New returns an empty registry. Incarnations that have ended are kept as tombstones for the retention; one that has been
// timed out for as long expires.
func New(retention time.Duration) *Registry {
	return &Registry{records: map[string]*record{}, digests: map[string]uint64{}, retention: retention}
}

// Apply merges an entry received now. It returns the merged entry, and reports whether a field changed that peers need.
func (r *Registry) Apply(e Entry, now time.Duration) (current Entry, updated bool) {
	rec := r.records[e.ID]
	if rec == nil {
		if e.Expired {
			return e, false // already pruned here, or never known
		}
		return r.add(e, now), true
	}
	merged := Merge(rec.Entry, e)
	updated = replicatedFieldsDiffer(merged, rec.Entry)
	if merged.Seq > rec.Seq || updated {
		rec.updatedAt = now
		if merged.WarmupLeft > 0 {
			rec.warmAt = warmAt(merged, now)
		}
	}
	rec.Entry = merged
	if updated {
		r.updateDigest(rec)
	}
	return rec.Entry, updated
}

func (r *Registry) add(e Entry, now time.Duration) Entry {
	if e.State == Removed && e.Address == "" && e.Service == "" && e.Seq == 0 {
		e.Seq = 1 // so that it is newer than an entry of an old snapshot
	}
	rec := &record{Entry: e, updatedAt: now, warmAt: warmAt(e, now)}
	r.records[e.ID] = rec
	r.updateDigest(rec)
	return rec.Entry
}

func warmAt(e Entry, now time.Duration) time.Duration {
	return now + time.Duration(e.WarmupLeft*float64(time.Second))
}

// replicatedFieldsDiffer compares the fields that peers need.
func replicatedFieldsDiffer(a, b Entry) bool {
	return a.State != b.State || a.TimedOut != b.TimedOut || a.Expired != b.Expired || a.Address != b.Address ||
		a.Owner != b.Owner || a.Capacity != b.Capacity || a.Service != b.Service
}

// updateDigest updates the digest of a record's zone. Its input must not change, because digests are compared between
// processes of different versions.
func (r *Registry) updateDigest(rec *record) {
	r.digests[rec.digestZone] ^= rec.digest
	rec.digestZone, rec.digest = rec.Zone, 0
	if !rec.Ended() {
		rec.digest = xxh3.HashString(fmt.Sprint(rec.ID, "\x00", rec.Service, "\x00", rec.Address, "\x00", rec.Owner, "\x00",
			rec.State, rec.TimedOut, rec.Capacity))
	}
	r.digests[rec.digestZone] ^= rec.digest
}

// Digest returns a digest over all zones.
func (r *Registry) Digest() (combined uint64) {
	for zone, digest := range r.digests {
		if digest != 0 {
			combined ^= xxh3.HashStringSeed(zone, digest)
		}
	}
	return combined
}

// ZoneDigests returns the digest of each zone.
func (r *Registry) ZoneDigests() map[string]uint64 { return maps.Clone(r.digests) }

// InZones returns the entries of the given zones, sorted by id, with the remaining warm-up.
func (r *Registry) InZones(zones map[string]bool, now time.Duration) []Entry {
	return slices.DeleteFunc(r.All(now), func(e Entry) bool { return !zones[e.Zone] })
}

// Get returns the entry of an incarnation, if it is known.
func (r *Registry) Get(id string) (Entry, bool) {
	if rec := r.records[id]; rec != nil {
		return rec.Entry, true
	}
	return Entry{}, false
}

// MarkTimedOut marks the incarnations as timed out that sent no heartbeat for longer than the timeout, if owner or an
// unreachable controller owns them. Incarnations that have been timed out for longer than the retention expire. It returns
// the entries that changed, sorted by id, and prunes.
func (r *Registry) MarkTimedOut(owner string, ownerUnreachable func(owner string) bool, timeout,
	now time.Duration) (changed []Entry) {
	r.Prune(now)
	for _, rec := range r.records {
		sinceUpdate := now - rec.updatedAt
		switch {
		case rec.Ended():
			continue
		case !rec.TimedOut && sinceUpdate > timeout && (rec.Owner == owner || ownerUnreachable(rec.Owner)):
			rec.TimedOut = true
		case rec.TimedOut && sinceUpdate > r.retention:
			rec.expire()
		default:
			continue
		}
		rec.updatedAt = now
		r.updateDigest(rec)
		changed = append(changed, rec.Entry)
	}
	slices.SortFunc(changed, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// expire ends an incarnation that has been timed out for the retention. One that was draining is removed for good; any other
// can return with a later heartbeat.
func (rec *record) expire() {
	if rec.State == Draining {
		rec.State = Removed
	} else {
		rec.Expired = true
	}
}

// Prune deletes incarnations that ended longer than the retention ago.
func (r *Registry) Prune(now time.Duration) {
	for id, rec := range r.records {
		if rec.Ended() && now-rec.updatedAt > r.retention {
			delete(r.records, id)
		}
	}
}

// All returns the entries of all known incarnations, sorted by id, with the remaining warm-up at now.
func (r *Registry) All(now time.Duration) []Entry {
	entries := make([]Entry, 0, len(r.records))
	for _, rec := range r.records {
		e := rec.Entry
		e.WarmupLeft = max(0, (rec.warmAt - now).Seconds())
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}
