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
	ledgerBucket  = []byte("ledger") // a bucket for each span of time, dropped whole

	formatKey  = []byte("format")
	hardKey    = []byte("hard")
	snapKey    = []byte("snapshot")
	blankKey   = []byte("ledger blank")
	membersKey = []byte("members")

	identityKey   = []byte("identity")
	membershipKey = []byte("membership")
)

// State is what the disk held.
type State struct {
	New         bool                 // nothing was there
	Spoilt      error                // what was there could not be believed, and was put aside: this disk has told what it doesn't know
	Members     []string             // the voters that the cluster started with, where this disk knows them
	Identity    string               // of the replica; empty: none was drawn yet
	Membership  consensus.Membership // the newest that was applied
	Hard        consensus.HardState
	Snapshot    consensus.Snapshot
	Entries     []consensus.Entry
	Records     []idempotency.Record // in the order they were written
	Servers     []registry.Entry
	LedgerBlank bool
}

// Batch is what becomes durable together.
type Batch struct {
	Members     []string
	Identity    string // empty: unchanged
	Membership  *consensus.Membership
	Hard        *consensus.HardState
	Snapshot    *consensus.Snapshot
	Truncate    uint64
	Entries     []consensus.Entry
	Records     []idempotency.Record
	Servers     []registry.Entry // those that are gone are removed
	LedgerBlank *bool
}

// Storage is an open file.
type Storage struct {
	db      *bolt.DB
	span    time.Duration
	answers int64 // bytes that answers may take
	spans
}

// spans are the buckets of the claim store: each holds the claims of one span of time and is dropped whole.
type spans struct {
	gens  []uint64 // oldest first
	bytes []int64  // of the answers in each
	from  time.Time
	seq   uint64
}

func (s *spans) clone() spans {
	return spans{gens: slices.Clone(s.gens), bytes: slices.Clone(s.bytes), from: s.from, seq: s.seq}
}

func (s *spans) answers() (sum int64) {
	for _, n := range s.bytes {
		sum += n
	}
	return sum
}

// spansKept, of a sixth of the window each: the oldest is out of its window however full the newest is.
const spansKept = 8

// Close closes the file.
func (st *Storage) Close() error { return st.db.Close() }

func key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func put(b *bolt.Bucket, k []byte, v any) error {
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
			if err := b.agree(tx); err != nil {
				return err
			}
			if err := st.claims(tx, b, &spans); err != nil {
				return err
			}
			if err := b.servers(tx); err != nil {
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

// agree writes the consensus's part of a batch.
func (b *Batch) agree(tx *bolt.Tx) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if b.Hard != nil {
		if err := put(meta, hardKey, b.Hard); err != nil {
			return err
		}
	}
	if b.Members != nil {
		if err := put(meta, membersKey, b.Members); err != nil {
			return err
		}
	}
	if b.Identity != "" {
		if err := put(meta, identityKey, b.Identity); err != nil {
			return err
		}
	}
	if b.Membership != nil {
		if err := put(meta, membershipKey, b.Membership); err != nil {
			return err
		}
	}
	if b.Snapshot != nil {
		if err := put(meta, snapKey, b.Snapshot); err != nil {
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
		if err := put(log, key(e.Index), e); err != nil {
			return err
		}
	}
	return nil
}

// servers writes what is known of servers.
func (b *Batch) servers(tx *bolt.Tx) error {
	bucket := tx.Bucket(serversBucket)
	for _, e := range b.Servers {
		if e.Ended() {
			if err := bucket.Delete([]byte(e.ID)); err != nil {
				return err
			}
		} else if err := put(bucket, []byte(e.ID), e); err != nil {
			return err
		}
	}
	return nil
}

// claims writes a batch's claims, and drops spans whose claims are all out of their window.
func (st *Storage) claims(tx *bolt.Tx, b *Batch, s *spans) error {
	if b.LedgerBlank != nil {
		flag := []byte{}
		if *b.LedgerBlank {
			flag = []byte{1}
		}
		if err := tx.Bucket(metaBucket).Put(blankKey, seal(blankKey, flag)); err != nil {
			return err
		}
	}
	if len(b.Records) == 0 {
		return nil
	}
	ledger := tx.Bucket(ledgerBucket)
	if len(s.gens) == 0 || time.Since(s.from) > st.span {
		gen := uint64(1)
		if len(s.gens) > 0 {
			gen = s.gens[len(s.gens)-1] + 1
		}
		if _, err := ledger.CreateBucketIfNotExists(key(gen)); err != nil {
			return err
		}
		s.gens, s.bytes, s.from = append(s.gens, gen), append(s.bytes, 0), time.Now()
		for len(s.gens) > spansKept {
			if err := ledger.DeleteBucket(key(s.gens[0])); err != nil {
				return err
			}
			s.gens, s.bytes = s.gens[1:], s.bytes[1:]
		}
	}
	span := ledger.Bucket(key(s.gens[len(s.gens)-1]))
	span.FillPercent = 1
	for _, r := range b.Records {
		if r.Answer != nil { // the disk's growth is bounded: repeats of an operation whose answer isn't here are told to wait
			if s.answers()+int64(len(r.Answer.Body)) > st.answers {
				continue
			}
			s.bytes[len(s.bytes)-1] += int64(len(r.Answer.Body))
		}
		s.seq++
		if err := put(span, key(s.seq), r); err != nil {
			return err
		}
	}
	return nil
}
