// Package tables gives tables versions and lets them travel as deltas that can't be misassembled: a receiver holds a table
// that a planner has sent, or knows that it doesn't. It is free of I/O and clocks: its machines are fed messages and times, in
// milliseconds, and return what to send.
package tables

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
	"lukechampine.com/blake3"
)

// Origin says whose versions they are: those of one life of one planner. Versions of different origins are never mixed.
type Origin struct {
	Instance    string
	Incarnation uint64 // drawn at each start
}

// Version names a table: the nth that an origin has sent to a proxy. Numbers begin with 1; 0 is no table.
type Version struct {
	Origin
	Proxy  uint32
	Number uint64
}

// Gate is a class's level and manner of trying again.
type Gate struct {
	Level float32
	Again uint8
}

// Table is what a proxy holds.
type Table struct {
	Weights  map[string]float32 // by server; none is 0
	Excluded map[string]bool
	Gates    map[string]Gate // by class
}

// New returns a table that holds nothing.
func New() Table {
	return Table{Weights: map[string]float32{}, Excluded: map[string]bool{}, Gates: map[string]Gate{}}
}

// Clone is a copy that shares nothing.
func (t Table) Clone() Table {
	return Table{Weights: maps.Clone(t.Weights), Excluded: maps.Clone(t.Excluded), Gates: maps.Clone(t.Gates)}
}

// Digest tells tables of versions apart. It covers the version, so that the same table under another number, of another
// proxy or origin, has another digest.
type Digest [16]byte

// Key makes digests authentic: who doesn't have it can't make one. The empty key stands for plain digests, which notice
// accidents and no more.
type Key []byte

// canonical is the one form of a table: every part sorted, every text with its length, so that no two tables share it.
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

// Digest is that of the table as a version.
func (t Table) Digest(v Version, key Key) Digest { return digestOf(t.canonical(v), key) }

// digestOf is the keyed or the plain digest of bytes.
func digestOf(text []byte, key Key) (d Digest) {
	if len(key) > 0 {
		h := blake3.New(len(d), deriveKey(key))
		_, _ = h.Write(text) // a hash takes all bytes
		copy(d[:], h.Sum(nil))
		return d
	}
	return xxh3.Hash128(text).Bytes()
}

// deriveKey is a key of the length that the hash wants.
func deriveKey(key Key) []byte {
	out := make([]byte, 32)
	blake3.DeriveKey(out, "mulleinwood tables digest v1", key)
	return out
}

// Equal says whether two tables are the same.
func (t Table) Equal(other Table) bool {
	return maps.Equal(t.Weights, other.Weights) && maps.Equal(t.Excluded, other.Excluded) && maps.Equal(t.Gates, other.Gates)
}
