// Package record keeps what was sent to proxies, in an embedded store: bounded in size and age, each entry chained to the one
// before by a digest, so that a changed or cut record is noticed when it is opened.
package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/zeebo/xxh3"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"lukechampine.com/blake3"
)

// Entry is one update that was sent, or a gap: so many that could not be written.
type Entry struct {
	Seq    uint64
	At     time.Time
	Cause  string
	Update []byte // sealed, as tables.Decode reads it
	Gap    uint64
}

// Retention of a record. 0: none.
type Retention struct {
	MaxEntries uint64
	MaxAge     time.Duration
}

// The errors of a record that can't be used. None of them is repaired by writing over it.
var (
	ErrLocked    = errors.New("the record is in use by another process")
	ErrNotRecord = errors.New("the file is no record")
	ErrCorrupt   = errors.New("the record was changed or cut")
)

var (
	entriesBucket = []byte("entries")
	metaBucket    = []byte("meta")
	headKey       = []byte("head")
	formatKey     = []byte("form")
	formatVersion = []byte("mulleinwood record 1")
	lockTimeout   = 200 * time.Millisecond
)

// chain is the digest of an entry and all before it.
type chain [16]byte

// bounds says where a record begins and ends. It is sealed, so that entries can't be cut off at either end.
type bounds struct {
	first  uint64 // sequence number of the first entry kept
	before chain  // of the entry before the first
	last   uint64 // sequence number of the last; first-1: there is none
	end    chain
}

// Record is an open record. It is for one goroutine.
type Record struct {
	db     *bolt.DB
	key    []byte
	bounds bounds
}

// digest is keyed where there is a key.
func digest(key []byte, parts ...[]byte) (c chain) {
	if len(key) > 0 {
		derived := make([]byte, 32)
		blake3.DeriveKey(derived, "mulleinwood record chain v1", key)
		h := blake3.New(len(c), derived)
		for _, p := range parts {
			_, _ = h.Write(p) // a hash takes all bytes
		}
		copy(c[:], h.Sum(nil))
		return c
	}
	h := xxh3.New()
	for _, p := range parts {
		_, _ = h.Write(p)
	}
	return h.Sum128().Bytes()
}

func (h bounds) encode(key []byte) []byte {
	out := binary.BigEndian.AppendUint64(nil, h.first)
	out = append(out, h.before[:]...)
	out = binary.BigEndian.AppendUint64(out, h.last)
	out = append(out, h.end[:]...)
	seal := digest(key, out)
	return append(out, seal[:]...)
}

func decodeBounds(text, key []byte) (h bounds, err error) {
	const size = 8 + 16 + 8 + 16
	if len(text) != size+16 {
		return bounds{}, ErrNotRecord
	}
	if digest(key, text[:size]) != chain(text[size:]) {
		return bounds{}, fmt.Errorf("%w: its head's seal doesn't hold (or the key is another)", ErrCorrupt)
	}
	return bounds{binary.BigEndian.Uint64(text), chain(text[8:24]), binary.BigEndian.Uint64(text[24:]), chain(text[32:48])}, nil
}

// Fields of an entry on disk, in the protocol buffers' encoding.
const (
	fieldAt protowire.Number = iota + 1
	fieldCause
	fieldUpdate
	fieldGap
)

func (e Entry) encode() []byte {
	out := protowire.AppendVarint(protowire.AppendTag(nil, fieldAt, protowire.VarintType), uint64(e.At.UnixMilli()))
	out = protowire.AppendString(protowire.AppendTag(out, fieldCause, protowire.BytesType), e.Cause)
	out = protowire.AppendBytes(protowire.AppendTag(out, fieldUpdate, protowire.BytesType), e.Update)
	return protowire.AppendVarint(protowire.AppendTag(out, fieldGap, protowire.VarintType), e.Gap)
}

func decodeEntry(seq uint64, text []byte) (Entry, error) {
	e := Entry{Seq: seq}
	for len(text) > 0 {
		n, kind, size := protowire.ConsumeTag(text)
		if size < 0 {
			return Entry{}, ErrCorrupt
		}
		text = text[size:]
		switch kind {
		case protowire.VarintType:
			x, size := protowire.ConsumeVarint(text)
			if size < 0 {
				return Entry{}, ErrCorrupt
			}
			if text = text[size:]; n == fieldAt {
				e.At = time.UnixMilli(int64(x))
			} else if n == fieldGap {
				e.Gap = x
			}
		case protowire.BytesType:
			b, size := protowire.ConsumeBytes(text)
			if size < 0 {
				return Entry{}, ErrCorrupt
			}
			if text = text[size:]; n == fieldCause {
				e.Cause = string(b)
			} else if n == fieldUpdate {
				e.Update = append([]byte(nil), b...)
			}
		default:
			return Entry{}, ErrCorrupt
		}
	}
	return e, nil
}

func seqKey(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }

// Open opens or makes a record and looks through all of it. A file that can't be used is left as it is.
func Open(file string, key []byte, readOnly bool) (r *Record, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // pages that a cut file lacks
	var db *bolt.DB
	defer func() {
		if p := recover(); p != nil {
			r, err = nil, fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
		if err != nil && db != nil {
			closeDamaged(db)
		}
	}()
	db, err = bolt.Open(file, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bolt.FreelistMapType})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, ErrLocked
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrVersionMismatch), errors.Is(err,
		bolterrors.ErrChecksum):
		return nil, fmt.Errorf("%w: %w", ErrNotRecord, err)
	case err != nil:
		return nil, err
	}
	r = &Record{db: db, key: key}
	if !readOnly {
		if err := r.initialize(); err != nil {
			return nil, err
		}
	}
	if err := r.verify(); err != nil {
		return nil, err
	}
	return r, nil
}

func closeDamaged(db *bolt.DB) {
	defer func() { _ = recover() }() // of a file whose pages can't be trusted
	_ = db.Close()                   // the damage is what is reported
}

// initialize makes the buckets of a new record.
func (r *Record) initialize() error {
	return r.db.Update(func(tx *bolt.Tx) error {
		if tx.Bucket(metaBucket) != nil || tx.Bucket(entriesBucket) != nil {
			return nil
		}
		if name, _ := tx.Cursor().First(); name != nil {
			return ErrNotRecord
		}
		b, err := tx.CreateBucket(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(entriesBucket); err != nil {
			return err
		}
		if err := b.Put(formatKey, formatVersion); err != nil {
			return err
		}
		return b.Put(headKey, bounds{first: 1}.encode(r.key))
	})
}

// verify goes through the whole chain.
func (r *Record) verify() error {
	return r.db.View(func(tx *bolt.Tx) error {
		b, list := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
		if b == nil || list == nil || string(b.Get(formatKey)) != string(formatVersion) {
			return ErrNotRecord
		}
		h, err := decodeBounds(b.Get(headKey), r.key)
		if err != nil {
			return err
		}
		seq, link := h.first, h.before
		err = list.ForEach(func(k, v []byte) error {
			if len(k) != 8 || binary.BigEndian.Uint64(k) != seq || seq > h.last {
				return fmt.Errorf("%w: entry %d is missing or another stands there", ErrCorrupt, seq)
			}
			if len(v) < len(link) || digest(r.key, link[:], v[len(link):]) != chain(v[:len(link)]) {
				return fmt.Errorf("%w: entry %d", ErrCorrupt, seq)
			}
			link, seq = chain(v[:len(link)]), seq+1
			return nil
		})
		if err != nil {
			return err
		}
		if seq != h.last+1 || link != h.end {
			return fmt.Errorf("%w: it ends at entry %d and should at %d", ErrCorrupt, seq-1, h.last)
		}
		r.bounds = h
		return nil
	})
}

// Append writes entries in one transaction, all or none, and lets go of those over the bounds.
func (r *Record) Append(now time.Time, retention Retention, list ...Entry) error {
	h := r.bounds
	err := r.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(entriesBucket)
		for _, e := range list {
			text := e.encode()
			h.end = digest(r.key, h.end[:], text)
			h.last++
			if err := b.Put(seqKey(h.last), append(h.end[:], text...)); err != nil {
				return err
			}
		}
		c := b.Cursor()
		for k, v := c.First(); k != nil; k, v = c.First() {
			e, err := decodeEntry(h.first, v[len(h.before):])
			if err != nil {
				return err
			}
			if !retention.exceeded(e, h.last, now) {
				break
			}
			h.before = chain(v[:len(h.before)])
			h.first++
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(headKey, h.encode(r.key))
	})
	if err == nil {
		r.bounds = h
	}
	return err
}

// exceeded says whether an entry is over the bounds of a record that ends with the given one.
func (b Retention) exceeded(e Entry, last uint64, now time.Time) bool {
	return b.MaxEntries > 0 && last-e.Seq >= b.MaxEntries || b.MaxAge > 0 && now.Sub(e.At) > b.MaxAge
}

// Each goes through the entries from the first to the last until the function says no.
func (r *Record) Each(f func(Entry) bool) error {
	return r.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(entriesBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			e, err := decodeEntry(binary.BigEndian.Uint64(k), v[len(chain{}):])
			if err != nil || !f(e) {
				return err
			}
		}
		return nil
	})
}

// Len is how many entries there are.
func (r *Record) Len() uint64 { return r.bounds.last + 1 - r.bounds.first }

// Close closes the store.
func (r *Record) Close() error { return r.db.Close() }
