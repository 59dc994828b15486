// Package storage persists a controller's state in one bbolt file: its consensus state, its claim store, and its registry
// entries. All batches of one Commit become durable atomically.
//
// The file has four buckets. meta holds single values; log holds the consensus log by index; servers holds registry entries
// by id; ledger holds the claim store, with a bucket for each span of time, so that expired claims are deleted a span at a
// time. Every value is stored with a checksum over its key and body. docs/state.md describes the format.
package storage

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
)

// Format is the version of the file format. A file of another version is not read, and is left unchanged.
const Format = 2

// Names on disk. They differ from the names in the code so that files of earlier versions can be read.
var (
	metaBucket    = []byte("meta")
	logBucket     = []byte("log")
	serversBucket = []byte("servers")
	claimsBucket  = []byte("ledger")

	formatKey          = []byte("format")
	hardKey            = []byte("hard")
	snapshotKey        = []byte("snapshot")
	recoveringKey      = []byte("ledger blank")
	bootstrapVotersKey = []byte("members")
	identityKey        = []byte("identity")
	membershipKey      = []byte("membership")
)

// State is the content of the file when it was opened.
type State struct {
	New bool // there was no file, or an empty one, or it was corrupt
	// Corrupt is the reason why the file was found corrupt and moved aside, or nil. In that case the replica has lost votes
	// and grants that it gave before.
	Corrupt         error
	BootstrapVoters []string // voters that the cluster started with, if stored
	Identity        string   // of the replica; empty: not assigned yet
	Membership      consensus.Membership
	Hard            consensus.HardState
	Snapshot        consensus.Snapshot
	Entries         []consensus.Entry    // after Snapshot
	Claims          []idempotency.Record // in the order of writing
	Servers         []registry.Entry
	Recovering      bool // the claim store is not complete
}

// Batch is a set of changes that become durable atomically. Zero fields leave the stored values unchanged.
type Batch struct {
	BootstrapVoters []string
	Identity        string
	Membership      *consensus.Membership
	Hard            *consensus.HardState
	Snapshot        *consensus.Snapshot // replaces snapshot and log
	Truncate        uint64              // entries from this index on are deleted, after Snapshot is applied; 0: none
	Entries         []consensus.Entry   // added after Truncate is applied
	Claims          []idempotency.Record
	Servers         []registry.Entry // entries that have ended are deleted, others are stored
	Recovering      *bool
	// Omitted is set by Commit: the claims whose responses were left out, since they would exceed the limit of the file.
	Omitted []idempotency.Token
}

// Storage is an open data file. It is not safe for concurrent use.
type Storage struct {
	db               *bolt.DB
	spanLength       time.Duration
	maxResponseBytes int64
	loadClaim        func(idempotency.Record) // gets the records of claims when the file is read
	spans
}

// spans are the buckets of the claim store: each holds the claims that were written in one span of time.
type spans struct {
	ids       []uint64  // oldest first
	sizes     []int64   // bytes of response bodies in each
	startedAt time.Time // of the newest span
	sequence  uint64    // of the last claim record
}

// A span lasts a sixth of the window, and maxSpans spans are kept. When a span is dropped, its claims are therefore older than
// the window, even if the newest span has just begun.
const (
	maxSpans       = 8
	spansPerWindow = 6
)

func (s *spans) clone() spans {
	return spans{ids: slices.Clone(s.ids), sizes: slices.Clone(s.sizes), startedAt: s.startedAt, sequence: s.sequence}
}

func (s *spans) responseBytes() (total int64) {
	for _, n := range s.sizes {
		total += n
	}
	return total
}

// Close closes the file. Committed batches are durable already.
func (st *Storage) Close() error { return st.db.Close() }

func numberKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func putWithChecksum(b *bolt.Bucket, key []byte, value any) error {
	body, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return b.Put(key, appendChecksum(key, body))
}

// Commit writes the batches in order, in one transaction, and blocks until they are durable. If it fails, none is written.
func (st *Storage) Commit(batches []*Batch) error {
	next := st.clone()
	err := st.db.Update(func(tx *bolt.Tx) error {
		for _, b := range batches {
			if err := st.writeBatch(tx, b, &next); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		st.spans = next
	}
	return err
}

func (st *Storage) writeBatch(tx *bolt.Tx, b *Batch, s *spans) error {
	if err := b.writeMeta(tx.Bucket(metaBucket)); err != nil {
		return err
	}
	if err := b.writeLog(tx); err != nil {
		return err
	}
	omitted, err := st.writeClaims(tx.Bucket(claimsBucket), b.Claims, s)
	if err != nil {
		return err
	}
	b.Omitted = omitted
	return b.writeServers(tx.Bucket(serversBucket))
}

// writeMeta writes the single values that the batch sets.
func (b *Batch) writeMeta(meta *bolt.Bucket) error {
	type value struct {
		key []byte
		set bool
		v   any
	}
	for _, field := range []value{
		{hardKey, b.Hard != nil, b.Hard},
		{bootstrapVotersKey, b.BootstrapVoters != nil, b.BootstrapVoters},
		{identityKey, b.Identity != "", b.Identity},
		{membershipKey, b.Membership != nil, b.Membership},
		{snapshotKey, b.Snapshot != nil, b.Snapshot},
	} {
		if !field.set {
			continue
		}
		if err := putWithChecksum(meta, field.key, field.v); err != nil {
			return err
		}
	}
	if b.Recovering == nil {
		return nil
	}
	flag := []byte{}
	if *b.Recovering {
		flag = []byte{1}
	}
	return meta.Put(recoveringKey, appendChecksum(recoveringKey, flag))
}

// writeLog applies the batch's changes of the consensus log.
func (b *Batch) writeLog(tx *bolt.Tx) error {
	log := tx.Bucket(logBucket)
	if b.Snapshot != nil {
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		var err error
		if log, err = tx.CreateBucket(logBucket); err != nil {
			return err
		}
	}
	if b.Truncate > 0 {
		if err := truncate(log, b.Truncate); err != nil {
			return err
		}
	}
	for _, e := range b.Entries {
		if err := putWithChecksum(log, numberKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

// truncate deletes the entries from an index on.
func truncate(log *bolt.Bucket, from uint64) error {
	first := numberKey(from)
	c := log.Cursor()
	for k, _ := c.Seek(first); k != nil; k, _ = c.Seek(first) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// writeServers stores the batch's registry entries, and deletes those that have ended.
func (b *Batch) writeServers(bucket *bolt.Bucket) error {
	for _, e := range b.Servers {
		var err error
		if e.Ended() {
			err = bucket.Delete([]byte(e.ID))
		} else {
			err = putWithChecksum(bucket, []byte(e.ID), e)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// writeClaims appends records to the newest span, and starts a span if none is current. A record whose response would exceed
// maxResponseBytes is left out, which bounds the file: later requests for its operation are answered as if it were still in
// progress. It returns the tokens of these records.
func (st *Storage) writeClaims(bucket *bolt.Bucket, claims []idempotency.Record, s *spans) (omitted []idempotency.Token,
	err error) {
	if len(claims) == 0 {
		return nil, nil
	}
	if len(s.ids) == 0 || time.Since(s.startedAt) > st.spanLength {
		if err := s.startSpan(bucket); err != nil {
			return nil, err
		}
	}
	newest := len(s.ids) - 1
	span := bucket.Bucket(numberKey(s.ids[newest]))
	span.FillPercent = 1 // records are only ever appended
	for _, r := range claims {
		if r.Response != nil {
			size := int64(len(r.Response.Body))
			if s.responseBytes()+size > st.maxResponseBytes {
				omitted = append(omitted, r.Token)
				continue
			}
			s.sizes[newest] += size
		}
		s.sequence++
		if err := putWithChecksum(span, numberKey(s.sequence), r); err != nil {
			return nil, err
		}
	}
	return omitted, nil
}

// startSpan starts a new span, and deletes the oldest ones, whose claims are older than the window.
func (s *spans) startSpan(bucket *bolt.Bucket) error {
	id := uint64(1)
	if n := len(s.ids); n > 0 {
		id = s.ids[n-1] + 1
	}
	if _, err := bucket.CreateBucketIfNotExists(numberKey(id)); err != nil {
		return err
	}
	s.ids, s.sizes, s.startedAt = append(s.ids, id), append(s.sizes, 0), time.Now()
	for len(s.ids) > maxSpans {
		if err := bucket.DeleteBucket(numberKey(s.ids[0])); err != nil {
			return err
		}
		s.ids, s.sizes = s.ids[1:], s.sizes[1:]
	}
	return nil
}
