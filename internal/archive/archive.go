// Package archive keeps a planner's lasting state on disk: its part of the agreement and its ledger of claims, in one
// bbolt file. What is handed over together becomes durable together.
package archive

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"mulleinwood/internal/agreement"
	"mulleinwood/internal/directory"
	"mulleinwood/internal/ticket"
)

// Format of the file. Another one is not read.
const Format = 1

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
)

// State is what the disk held.
type State struct {
	New         bool     // nothing was there
	Members     []string // of the agreement
	Hard        agreement.Hard
	Snapshot    agreement.Snapshot
	Entries     []agreement.Entry
	Records     []ticket.Record // in the order they were written
	Servers     []directory.Entry
	LedgerBlank bool
}

// Batch is what becomes durable together.
type Batch struct {
	Members     []string
	Hard        *agreement.Hard
	Snapshot    *agreement.Snapshot
	Truncate    uint64
	Entries     []agreement.Entry
	Records     []ticket.Record
	Servers     []directory.Entry // those that are gone are removed
	LedgerBlank *bool
}

// Archive is an open file.
type Archive struct {
	db   *bolt.DB
	span time.Duration
	spans
}

// spans are the buckets of the ledger: each holds the claims of one span of time and is dropped whole.
type spans struct {
	gens []uint64 // oldest first
	from time.Time
	seq  uint64
}

// spansKept, of a sixth of the window each: the oldest is out of its window however full the newest is.
const spansKept = 8

// Open reads the file under dir, or makes it. Claims are kept for the window, in spans of a sixth of it.
func Open(dir string, window time.Duration) (*Archive, *State, error) {
	path := filepath.Join(dir, "exchange.db")
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bolt.FreelistMapType, InitialMmapSize: 64 << 20})
	if err != nil && isSpoilt(err) {
		// A file that can't be read is worth as much as an empty disk: it is put aside, and the planner starts blank.
		if err := os.Rename(path, path+".spoilt"); err != nil {
			return nil, nil, fmt.Errorf("put %s aside: %w", path, err)
		}
		db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bolt.FreelistMapType, InitialMmapSize: 64 << 20})
	}
	if err != nil {
		return nil, nil, fmt.Errorf("open %s: %w", path, err)
	}
	a := &Archive{db: db, span: window / 6, spans: spans{from: time.Now()}}
	s, err := a.load()
	if err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("read %s: %w", path, err)
	}
	return a, s, nil
}

func isSpoilt(err error) bool {
	return err == bolterrors.ErrInvalid || err == bolterrors.ErrChecksum || err == bolterrors.ErrVersionMismatch
}

// Close closes the file.
func (a *Archive) Close() error { return a.db.Close() }

func (a *Archive) load() (*State, error) {
	s := &State{}
	err := a.db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			s.New = true
			return nil
		}
		if f := meta.Get(formatKey); len(f) != 1 || f[0] != Format {
			return fmt.Errorf("format %v is not %d", f, Format)
		}
		if b := meta.Get(hardKey); b != nil {
			if err := cbor.Unmarshal(b, &s.Hard); err != nil {
				return fmt.Errorf("votes: %w", err)
			}
		}
		if b := meta.Get(snapKey); b != nil {
			if err := cbor.Unmarshal(b, &s.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		if b := meta.Get(membersKey); b != nil {
			if err := cbor.Unmarshal(b, &s.Members); err != nil {
				return fmt.Errorf("members: %w", err)
			}
		}
		s.LedgerBlank = len(meta.Get(blankKey)) > 0
		if err := tx.Bucket(logBucket).ForEach(func(_, v []byte) error {
			var e agreement.Entry
			if err := cbor.Unmarshal(v, &e); err != nil {
				return fmt.Errorf("log: %w", err)
			}
			s.Entries = append(s.Entries, e)
			return nil
		}); err != nil {
			return err
		}
		if err := tx.Bucket(serversBucket).ForEach(func(_, v []byte) error {
			var e directory.Entry
			if err := cbor.Unmarshal(v, &e); err != nil {
				return fmt.Errorf("servers: %w", err)
			}
			s.Servers = append(s.Servers, e)
			return nil
		}); err != nil {
			return err
		}
		ledger := tx.Bucket(ledgerBucket)
		return ledger.ForEachBucket(func(name []byte) error {
			a.gens = append(a.gens, binary.BigEndian.Uint64(name))
			return ledger.Bucket(name).ForEach(func(k, v []byte) error {
				var r ticket.Record
				if err := cbor.Unmarshal(v, &r); err != nil {
					return fmt.Errorf("ledger: %w", err)
				}
				s.Records = append(s.Records, r)
				a.seq = max(a.seq, binary.BigEndian.Uint64(k))
				return nil
			})
		})
	})
	if err != nil || !s.New {
		return s, err
	}
	return s, a.db.Update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{metaBucket, logBucket, ledgerBucket, serversBucket} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(formatKey, []byte{Format})
	})
}

func key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func put(b *bolt.Bucket, k []byte, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(k, body)
}

// Commit makes batches durable, in order, or nothing of them.
func (a *Archive) Commit(batches []*Batch) error {
	spans := spans{gens: slices.Clone(a.gens), from: a.from, seq: a.seq}
	err := a.db.Update(func(tx *bolt.Tx) error {
		for _, b := range batches {
			if err := b.agree(tx); err != nil {
				return err
			}
			if err := a.claims(tx, b, &spans); err != nil {
				return err
			}
			if err := b.servers(tx); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		a.spans = spans
	}
	return err
}

// agree writes the agreement's part of a batch.
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
		if e.State == directory.Gone {
			if err := bucket.Delete([]byte(e.ID)); err != nil {
				return err
			}
		} else if err := put(bucket, []byte(e.ID), e); err != nil {
			return err
		}
	}
	return nil
}

// claims writes a batch's lines of the ledger, and drops spans whose claims are all out of their window.
func (a *Archive) claims(tx *bolt.Tx, b *Batch, s *spans) error {
	if b.LedgerBlank != nil {
		flag := []byte{}
		if *b.LedgerBlank {
			flag = []byte{1}
		}
		if err := tx.Bucket(metaBucket).Put(blankKey, flag); err != nil {
			return err
		}
	}
	if len(b.Records) == 0 {
		return nil
	}
	ledger := tx.Bucket(ledgerBucket)
	if len(s.gens) == 0 || time.Since(s.from) > a.span {
		gen := uint64(1)
		if len(s.gens) > 0 {
			gen = s.gens[len(s.gens)-1] + 1
		}
		if _, err := ledger.CreateBucketIfNotExists(key(gen)); err != nil {
			return err
		}
		s.gens, s.from = append(s.gens, gen), time.Now()
		for len(s.gens) > spansKept {
			if err := ledger.DeleteBucket(key(s.gens[0])); err != nil {
				return err
			}
			s.gens = s.gens[1:]
		}
	}
	span := ledger.Bucket(key(s.gens[len(s.gens)-1]))
	span.FillPercent = 1
	for _, r := range b.Records {
		s.seq++
		if err := put(span, key(s.seq), r); err != nil {
			return err
		}
	}
	return nil
}
