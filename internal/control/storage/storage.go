// Package storage keeps a controller's lasting state on disk: its part of the consensus and its claim store, in one
// bbolt file. What is handed over together becomes durable together.
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

// Format of the file. Another one is not read.
const Format = 2

var (
	metaBucket    = []byte("meta")
	logBucket     = []byte("log")
	serversBucket = []byte("servers")
	claimsBucket  = []byte("ledger") // a bucket for each span of time, dropped whole

	formatKey          = []byte("format")
	hardKey            = []byte("hard")
	snapshotKey        = []byte("snapshot")
	recoveringKey      = []byte("ledger blank")
	bootstrapVotersKey = []byte("members")

	identityKey   = []byte("identity")
	membershipKey = []byte("membership")
)

// State is what the disk held.
type State struct {
	New             bool                 // nothing was there
	Corrupt         error                // what was there could not be believed, and was put aside: this disk has told what it doesn't know
	BootstrapVoters []string             // the voters that the cluster started with, where this disk knows them
	Identity        string               // of the replica; empty: none was drawn yet
	Membership      consensus.Membership // the newest that was applied
	Hard            consensus.HardState
	Snapshot        consensus.Snapshot
	Entries         []consensus.Entry
	Claims          []idempotency.Record // in the order they were written
	Servers         []registry.Entry
	Recovering      bool
}

// Batch is what becomes durable together.
type Batch struct {
	BootstrapVoters []string
	Identity        string // empty: unchanged
	Membership      *consensus.Membership
	Hard            *consensus.HardState
	Snapshot        *consensus.Snapshot
	Truncate        uint64
	Entries         []consensus.Entry
	Claims          []idempotency.Record
	Servers         []registry.Entry // those that are gone are removed
	Recovering      *bool
}

// Storage is an open file.
type Storage struct {
	db               *bolt.DB
	spanLength       time.Duration
	maxResponseBytes int64 // bytes that answers may take
	spans
}

// spans are the buckets of the claim store: each holds the claims of one span of time and is dropped whole.
type spans struct {
	ids       []uint64 // oldest first
	sizes     []int64  // of the answers in each
	startedAt time.Time
	seq       uint64
}

func (s *spans) clone() spans {
	return spans{ids: slices.Clone(s.ids), sizes: slices.Clone(s.sizes), startedAt: s.startedAt, seq: s.seq}
}

func (s *spans) responseBytes() (total int64) {
	for _, n := range s.sizes {
		total += n
	}
	return total
}

// maxSpans, of a sixth of the window each: the oldest is out of its window however full the newest is.
const maxSpans = 8

// Close closes the file.
func (st *Storage) Close() error { return st.db.Close() }

func key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func putSealed(b *bolt.Bucket, k []byte, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(k, seal(k, body))
}

// Commit makes batches durable, in order, or nothing of them.
func (st *Storage) Commit(batches []*Batch) error {
	spans := st.clone()
	err := st.db.Update(func(tx *bolt.Tx) error {
		for _, b := range batches {
			if err := b.writeConsensus(tx); err != nil {
				return err
			}
			if err := st.writeClaims(tx, b, &spans); err != nil {
				return err
			}
			if err := b.writeServers(tx); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		st.spans = spans
	}
	return err
}

// writeConsensus writes the consensus's part of a batch.
func (b *Batch) writeConsensus(tx *bolt.Tx) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if b.Hard != nil {
		if err := putSealed(meta, hardKey, b.Hard); err != nil {
			return err
		}
	}
	if b.BootstrapVoters != nil {
		if err := putSealed(meta, bootstrapVotersKey, b.BootstrapVoters); err != nil {
			return err
		}
	}
	if b.Identity != "" {
		if err := putSealed(meta, identityKey, b.Identity); err != nil {
			return err
		}
	}
	if b.Membership != nil {
		if err := putSealed(meta, membershipKey, b.Membership); err != nil {
			return err
		}
	}
	if b.Snapshot != nil {
		if err := putSealed(meta, snapshotKey, b.Snapshot); err != nil {
			return err
		}
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		var err error
		if log, err = tx.CreateBucket(logBucket); err != nil {
			return err
		}
	}
	if b.Truncate > 0 {
		c := log.Cursor()
		for k, _ := c.Seek(key(b.Truncate)); k != nil; k, _ = c.Seek(key(b.Truncate)) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	for _, e := range b.Entries {
		if err := putSealed(log, key(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

// writeServers writes what is known of servers.
func (b *Batch) writeServers(tx *bolt.Tx) error {
	bucket := tx.Bucket(serversBucket)
	for _, e := range b.Servers {
		if e.Ended() {
			if err := bucket.Delete([]byte(e.ID)); err != nil {
				return err
			}
		} else if err := putSealed(bucket, []byte(e.ID), e); err != nil {
			return err
		}
	}
	return nil
}

// writeClaims writes a batch's claims, and drops spans whose claims are all out of their window.
func (st *Storage) writeClaims(tx *bolt.Tx, b *Batch, s *spans) error {
	if b.Recovering != nil {
		flag := []byte{}
		if *b.Recovering {
			flag = []byte{1}
		}
		if err := tx.Bucket(metaBucket).Put(recoveringKey, seal(recoveringKey, flag)); err != nil {
			return err
		}
	}
	if len(b.Claims) == 0 {
		return nil
	}
	ledger := tx.Bucket(claimsBucket)
	if len(s.ids) == 0 || time.Since(s.startedAt) > st.spanLength {
		gen := uint64(1)
		if len(s.ids) > 0 {
			gen = s.ids[len(s.ids)-1] + 1
		}
		if _, err := ledger.CreateBucketIfNotExists(key(gen)); err != nil {
			return err
		}
		s.ids, s.sizes, s.startedAt = append(s.ids, gen), append(s.sizes, 0), time.Now()
		for len(s.ids) > maxSpans {
			if err := ledger.DeleteBucket(key(s.ids[0])); err != nil {
				return err
			}
			s.ids, s.sizes = s.ids[1:], s.sizes[1:]
		}
	}
	span := ledger.Bucket(key(s.ids[len(s.ids)-1]))
	span.FillPercent = 1
	for _, r := range b.Claims {
		if r.Response != nil { // the disk's growth is bounded: repeats of an operation whose answer isn't here are told to wait
			if s.responseBytes()+int64(len(r.Response.Body)) > st.maxResponseBytes {
				continue
			}
			s.sizes[len(s.sizes)-1] += int64(len(r.Response.Body))
		}
		s.seq++
		if err := putSealed(span, key(s.seq), r); err != nil {
			return err
		}
	}
	return nil
}
