// Package storage keeps a controller's lasting state on disk: its part of the consensus, its claim store, and the servers
// that it knows, in one bbolt file. What is handed over in one Commit becomes durable together or not at all.
//
// The file has four buckets. meta holds single values; log holds the consensus log by index; servers holds registry
// entries by id; ledger holds the claim store in a bucket for each span of time, so that claims whose window is over are
// dropped a span at a time. Every value carries a checksum over its key and itself. docs/state.md has the format.
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

// Format is the version of the file's format. A file of another one is not read, and left as it is.
const Format = 2

// Names on disk. They don't follow the names in the code, so that files of earlier versions are read.
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

// State is what the disk held when it was opened.
type State struct {
	New bool // nothing was there
	// Corrupt says why what was there could not be trusted and was moved aside; nil: it could. Such a disk has voted and
	// granted what it doesn't know any more.
	Corrupt         error
	BootstrapVoters []string // voters that the cluster started with, where this disk knows them
	Identity        string   // of the replica; empty: none was drawn yet
	Membership      consensus.Membership
	Hard            consensus.HardState
	Snapshot        consensus.Snapshot
	Entries         []consensus.Entry    // after Snapshot
	Claims          []idempotency.Record // in the order in which they were written
	Servers         []registry.Entry
	Recovering      bool // the claim store is not complete
}

// Batch is what becomes durable together. Zero fields leave what is stored as it is.
type Batch struct {
	BootstrapVoters []string
	Identity        string
	Membership      *consensus.Membership
	Hard            *consensus.HardState
	Snapshot        *consensus.Snapshot // replaces snapshot and log
	Truncate        uint64              // entries from this index on are dropped, after Snapshot; 0: none
	Entries         []consensus.Entry   // are added, after Truncate
	Claims          []idempotency.Record
	Servers         []registry.Entry // those that have ended are removed
	Recovering      *bool
}

// Storage is an open file. It is for one goroutine at a time.
type Storage struct {
	db               *bolt.DB
	spanLength       time.Duration
	maxResponseBytes int64
	spans
}

// spans are the buckets of the claim store: each holds the claims that were written in one span of time.
type spans struct {
	ids       []uint64 // oldest first
	sizes     []int64  // bytes of the responses in each
	startedAt time.Time
	sequence  uint64 // of the last record
}

// maxSpans is how many spans, of a sixth of the window each, are kept: the oldest is out of its window however full the
// newest is.
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

// Close closes the file. What was committed is durable already.
func (st *Storage) Close() error { return st.db.Close() }

func numberKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func putSealed(b *bolt.Bucket, key []byte, value any) error {
	body, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return b.Put(key, seal(key, body))
}

// Commit makes batches durable, in order, or nothing of them. It blocks until they are.
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
	if err := st.writeClaims(tx.Bucket(claimsBucket), b.Claims, s); err != nil {
		return err
	}
	return b.writeServers(tx.Bucket(serversBucket))
}

// writeMeta writes the single values that the batch sets.
func (b *Batch) writeMeta(meta *bolt.Bucket) error {
	type value struct {
		key []byte
		set bool
		v   any
	}
	for _, one := range []value{
		{hardKey, b.Hard != nil, b.Hard},
		{bootstrapVotersKey, b.BootstrapVoters != nil, b.BootstrapVoters},
		{identityKey, b.Identity != "", b.Identity},
		{membershipKey, b.Membership != nil, b.Membership},
		{snapshotKey, b.Snapshot != nil, b.Snapshot},
	} {
		if !one.set {
			continue
		}
		if err := putSealed(meta, one.key, one.v); err != nil {
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
	return meta.Put(recoveringKey, seal(recoveringKey, flag))
}

// writeLog writes the batch's part of the consensus log.
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
		if err := putSealed(log, numberKey(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

// truncate drops the entries from an index on.
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

// writeServers writes what is known of servers.
func (b *Batch) writeServers(bucket *bolt.Bucket) error {
	for _, e := range b.Servers {
		var err error
		if e.Ended() {
			err = bucket.Delete([]byte(e.ID))
		} else {
			err = putSealed(bucket, []byte(e.ID), e)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// writeClaims adds records to the newest span. A response that would take more than the bound is left out, which bounds
// the file: repeats of its operation are told that it is in progress.
func (st *Storage) writeClaims(bucket *bolt.Bucket, claims []idempotency.Record, s *spans) error {
	if len(claims) == 0 {
		return nil
	}
	if len(s.ids) == 0 || time.Since(s.startedAt) > st.spanLength {
		if err := s.begin(bucket); err != nil {
			return err
		}
	}
	newest := len(s.ids) - 1
	span := bucket.Bucket(numberKey(s.ids[newest]))
	span.FillPercent = 1 // records are only ever appended
	for _, r := range claims {
		if r.Response != nil {
			size := int64(len(r.Response.Body))
			if s.responseBytes()+size > st.maxResponseBytes {
				continue
			}
			s.sizes[newest] += size
		}
		s.sequence++
		if err := putSealed(span, numberKey(s.sequence), r); err != nil {
			return err
		}
	}
	return nil
}

// begin starts a span, and drops those whose claims are all out of their window.
func (s *spans) begin(bucket *bolt.Bucket) error {
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
