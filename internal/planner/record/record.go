// Package record stores the updates that were sent to proxies in an embedded database, limited in number and age. Each entry
// is linked to the one before by a digest, so that a modified or truncated record is detected when it is opened.
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

// Entry is one update that was sent, or a gap that stands for entries that couldn't be written.
type Entry struct {
	Seq    uint64
	At     time.Time
	Cause  string
	Update []byte // encoded with its checksum, for tables.Decode
	Gap    uint64 // number of missing entries; 0 if the entry is an update
}

// Retention limits the entries of a record. 0 is no limit.
type Retention struct {
	MaxEntries uint64
	MaxAge     time.Duration
}

// The errors of a record that can't be used. Such a file is never overwritten or repaired.
var (
	ErrLocked    = errors.New("the record is in use by another process")
	ErrNotRecord = errors.New("the file is not a record")
	ErrCorrupt   = errors.New("the record was modified or truncated")
)

var (
	entriesBucket = []byte("entries")
	metaBucket    = []byte("meta")
	headKey       = []byte("head")
	formatKey     = []byte("form")
	formatVersion = []byte("mulleinwood record 1")
	lockTimeout   = 200 * time.Millisecond
)

// chainDigest is the digest of an entry and all entries before it.
type chainDigest [16]byte

// bounds contains the first and the last entry of a record. It is stored with a checksum, so that removed entries are detected
// at either end.
type bounds struct {
	first      uint64      // sequence number of the first retained entry
	baseDigest chainDigest // digest of the entry before the first
	last       uint64      // sequence number of the last entry; first-1 if there is none
	lastDigest chainDigest // digest of the last entry
}

// Record is an open record. It isn't safe for concurrent use.
type Record struct {
	db     *bolt.DB
	key    []byte
	bounds bounds
}

// digest returns a keyed BLAKE3 hash of the parts, or a plain XXH3 hash if the key is empty.
func digest(key []byte, parts ...[]byte) (c chainDigest) {
	if len(key) > 0 {
		derived := make([]byte, 32)
		blake3.DeriveKey(derived, "mulleinwood record chain v1", key)
		h := blake3.New(len(c), derived)
		for _, p := range parts {
			_, _ = h.Write(p) // a hash never returns an error
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

func (b bounds) encode(key []byte) []byte {
	out := binary.BigEndian.AppendUint64(nil, b.first)
	out = append(out, b.baseDigest[:]...)
	out = binary.BigEndian.AppendUint64(out, b.last)
	out = append(out, b.lastDigest[:]...)
	checksum := digest(key, out)
	return append(out, checksum[:]...)
}

func decodeBounds(data, key []byte) (b bounds, err error) {
	const size = 8 + 16 + 8 + 16
	if len(data) != size+16 {
		return bounds{}, ErrNotRecord
	}
	if digest(key, data[:size]) != chainDigest(data[size:]) {
		return bounds{}, fmt.Errorf("%w: checksum mismatch of its bounds, or wrong key", ErrCorrupt)
	}
	return bounds{binary.BigEndian.Uint64(data), chainDigest(data[8:24]),
		binary.BigEndian.Uint64(data[24:]), chainDigest(data[32:48])}, nil
}

// Field numbers of an entry on disk, in the Protocol Buffers wire format.
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

func decodeEntry(seq uint64, data []byte) (Entry, error) {
	e := Entry{Seq: seq}
	for len(data) > 0 {
		n, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return Entry{}, ErrCorrupt
		}
		data = data[size:]
		switch kind {
		case protowire.VarintType:
			x, size := protowire.ConsumeVarint(data)
			if size < 0 {
				return Entry{}, ErrCorrupt
			}
			if data = data[size:]; n == fieldAt {
				e.At = time.UnixMilli(int64(x))
			} else if n == fieldGap {
				e.Gap = x
			}
		case protowire.BytesType:
			b, size := protowire.ConsumeBytes(data)
			if size < 0 {
				return Entry{}, ErrCorrupt
			}
			if data = data[size:]; n == fieldCause {
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

// Open opens a record, or creates it unless readOnly is set, and verifies all its entries. A file that can't be used isn't
// changed.
func Open(file string, key []byte, readOnly bool) (r *Record, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a truncated file lacks mapped pages
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

// closeDamaged closes the database of a record that Open rejects.
func closeDamaged(db *bolt.DB) {
	defer func() { _ = recover() }() // bbolt may panic on corrupt pages
	_ = db.Close()                   // Open reports the corruption instead
}

// initialize creates the buckets of a new record. It returns ErrNotRecord if the database contains other buckets.
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

// verify checks the digests and sequence numbers of all entries, and loads the bounds.
func (r *Record) verify() error {
	return r.db.View(func(tx *bolt.Tx) error {
		b, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
		if b == nil || entries == nil || string(b.Get(formatKey)) != string(formatVersion) {
			return ErrNotRecord
		}
		stored, err := decodeBounds(b.Get(headKey), r.key)
		if err != nil {
			return err
		}
		seq, previous := stored.first, stored.baseDigest
		err = entries.ForEach(func(k, v []byte) error {
			if len(k) != 8 || binary.BigEndian.Uint64(k) != seq || seq > stored.last {
				return fmt.Errorf("%w: entry %d is missing or out of sequence", ErrCorrupt, seq)
			}
			if len(v) < len(previous) || digest(r.key, previous[:], v[len(previous):]) != chainDigest(v[:len(previous)]) {
				return fmt.Errorf("%w: entry %d", ErrCorrupt, seq)
			}
			previous, seq = chainDigest(v[:len(previous)]), seq+1
			return nil
		})
		if err != nil {
			return err
		}
		if seq != stored.last+1 || previous != stored.lastDigest {
			return fmt.Errorf("%w: it ends at entry %d instead of %d", ErrCorrupt, seq-1, stored.last)
		}
		r.bounds = stored
		return nil
	})
}

// Append writes entries in one transaction, all or none, and deletes the entries that exceed the retention limits.
func (r *Record) Append(now time.Time, retention Retention, entries ...Entry) error {
	bounds := r.bounds
	err := r.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(entriesBucket)
		for _, e := range entries {
			encoded := e.encode()
			bounds.lastDigest = digest(r.key, bounds.lastDigest[:], encoded)
			bounds.last++
			if err := b.Put(seqKey(bounds.last), append(bounds.lastDigest[:], encoded...)); err != nil {
				return err
			}
		}
		c := b.Cursor()
		for k, v := c.First(); k != nil; k, v = c.First() {
			e, err := decodeEntry(bounds.first, v[len(bounds.baseDigest):])
			if err != nil {
				return err
			}
			if !retention.exceeded(e, bounds.last, now) {
				break
			}
			bounds.baseDigest = chainDigest(v[:len(bounds.baseDigest)])
			bounds.first++
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(headKey, bounds.encode(r.key))
	})
	if err == nil {
		r.bounds = bounds
	}
	return err
}

// exceeded reports whether an entry exceeds the limits in a record that ends with sequence number last.
func (r Retention) exceeded(e Entry, last uint64, now time.Time) bool {
	return r.MaxEntries > 0 && last-e.Seq >= r.MaxEntries || r.MaxAge > 0 && now.Sub(e.At) > r.MaxAge
}

// Each calls visit for the entries in order until it returns false.
func (r *Record) Each(visit func(Entry) bool) error {
	return r.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(entriesBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			e, err := decodeEntry(binary.BigEndian.Uint64(k), v[len(chainDigest{}):])
			if err != nil || !visit(e) {
				return err
			}
		}
		return nil
	})
}

// Len returns the number of entries.
func (r *Record) Len() uint64 { return r.bounds.last + 1 - r.bounds.first }

// Close closes the database.
func (r *Record) Close() error { return r.db.Close() }
