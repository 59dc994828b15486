// Package tables versions routing tables and transfers them as snapshots and deltas. A receiver holds exactly a table that a
// planner has sent, or detects that it doesn't. The package does no I/O and reads no clock: its state machines take messages
// and times, in milliseconds, and return the messages to send.
package tables

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
	"lukechampine.com/blake3"
)

// Origin identifies one incarnation of one planner. Versions of different origins are never mixed.
type Origin struct {
	Instance    string
	Incarnation uint64 // random, drawn at each start of the planner
}

// Version identifies a table by its origin, its proxy and its number among the tables that the origin has sent to the proxy.
// Numbers begin with 1; 0 means that there is no table.
type Version struct {
	Origin
	Proxy  uint32
	Number uint64
}

// Gate is a request class's admission level and retry mode.
type Gate struct {
	Level float32
	Again uint8
}

// Table is the routing table of a proxy.
type Table struct {
	Weights  map[string]float32 // by server, never 0
	Excluded map[string]bool    // servers that get no requests
	Gates    map[string]Gate    // by class
}

// New returns an empty table.
func New() Table {
	return Table{Weights: map[string]float32{}, Excluded: map[string]bool{}, Gates: map[string]Gate{}}
}

// Clone returns a deep copy.
func (t Table) Clone() Table {
	return Table{Weights: maps.Clone(t.Weights), Excluded: maps.Clone(t.Excluded), Gates: maps.Clone(t.Gates)}
}

// Digest is a hash of a table and its version. The same table with another number, proxy or origin has another digest.
type Digest [16]byte

// Key authenticates digests: only holders of the key can compute them. With an empty key, digests are plain hashes that
// detect accidental corruption but not forgery.
type Key []byte

// canonical returns the canonical encoding of a table and its version. Map keys are sorted and strings are prefixed with
// their length, so that no two tables have the same encoding.
func (t Table) canonical(v Version) []byte {
	out := appendString(nil, v.Instance)
	out = binary.BigEndian.AppendUint64(out, v.Incarnation)
	out = binary.BigEndian.AppendUint32(out, v.Proxy)
	out = binary.BigEndian.AppendUint64(out, v.Number)
	out = binary.BigEndian.AppendUint32(out, uint32(len(t.Weights)))
	for _, name := range slices.Sorted(maps.Keys(t.Weights)) {
		out = binary.BigEndian.AppendUint32(appendString(out, name), math.Float32bits(t.Weights[name]))
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(t.Excluded)))
	for _, name := range slices.Sorted(maps.Keys(t.Excluded)) {
		out = appendString(out, name)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(t.Gates)))
	for _, class := range slices.Sorted(maps.Keys(t.Gates)) {
		g := t.Gates[class]
		out = append(binary.BigEndian.AppendUint32(appendString(out, class), math.Float32bits(g.Level)), g.Again)
	}
	return out
}

func appendString(out []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(s))), s...)
}

// Digest returns the digest of the table as version v.
func (t Table) Digest(v Version, key Key) Digest { return digestOf(t.canonical(v), key) }

// digestOf returns the digest of text: a keyed BLAKE3 hash, or a plain XXH3 hash if the key is empty.
func digestOf(data []byte, key Key) (d Digest) {
	if len(key) > 0 {
		h := blake3.New(len(d), deriveKey(key))
		_, _ = h.Write(data) // a hash never returns an error
		copy(d[:], h.Sum(nil))
		return d
	}
	return xxh3.Hash128(data).Bytes()
}

// deriveKey derives a key of the 32 bytes that BLAKE3 requires.
func deriveKey(key Key) []byte {
	out := make([]byte, 32)
	blake3.DeriveKey(out, "mulleinwood tables digest v1", key)
	return out
}

// Equal reports whether two tables have the same contents.
func (t Table) Equal(other Table) bool {
	return maps.Equal(t.Weights, other.Weights) && maps.Equal(t.Excluded, other.Excluded) && maps.Equal(t.Gates, other.Gates)
}
