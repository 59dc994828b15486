package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
)

// Names of the files in the data directory. They are those of the first version, whose data is still read.
const (
	fileName      = "exchange.db"
	corruptSuffix = ".spoilt"
	startsSuffix  = ".opening"

	// CorruptFileName is where a file that can't be trusted is moved to.
	CorruptFileName = fileName + corruptSuffix
)

const (
	initialMmapSize = 64 << 20
	checksumSize    = 8
	maxFailedStarts = 5 // starts in a row that end while the file is opened, after which it is not opened again
)

// seal adds a sum over a key and its value: a bit that flips in a page, or a value that turns up under another key, is
// seen when it is read.
func seal(key, body []byte) []byte {
	return binary.BigEndian.AppendUint64(body, checksum(key, body))
}

func checksum(key, body []byte) uint64 { return xxh3.HashSeed(body, xxh3.Hash(key)) }

var errChecksum = errors.New("a value and its sum differ")

// unseal gives the value under a key, if it is what was put there.
func unseal(key, sealed []byte) ([]byte, error) {
	n := len(sealed) - checksumSize
	if n < 0 || binary.BigEndian.Uint64(sealed[n:]) != checksum(key, sealed[:n]) {
		return nil, fmt.Errorf("%w: %q", errChecksum, key)
	}
	return sealed[:n], nil
}

func decodeSealed(key, sealed []byte, into any) error {
	body, err := unseal(key, sealed)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(body, into)
}

// errFormat is a file that another version of the program wrote: it is left alone.
var errFormat = errors.New("the file has another format")

// Open reads the file under dir, or makes it. Claims are kept for the window, in spans of a sixth of it; their answers
// take so many bytes at most.
//
// A file that can't be believed is worth as much as an empty disk, and no more: it is put aside, and State.Spoilt says
// why. It is read through once before it is opened for writing, since a torn or spoilt page makes bbolt panic, some of it
// where nobody can recover.
func Open(dir string, window time.Duration, maxResponseBytes int64) (*Storage, *State, error) {
	path := filepath.Join(dir, fileName)
	startsPath := path + startsSuffix
	corrupt := countFailedStarts(startsPath)
	if corrupt == nil {
		corrupt = verifyFile(path)
	}
	if errno := syscall.Errno(0); errors.Is(corrupt, errFormat) || errors.As(corrupt, &errno) || errors.Is(corrupt, bolterrors.ErrTimeout) {
		return nil, nil, fmt.Errorf("read %s: %w", path, corrupt) // what can't be read now may be sound
	}
	var db *bolt.DB
	var err error
	if corrupt == nil {
		db, corrupt, err = openDB(path)
	}
	if corrupt != nil {
		if err := os.Rename(path, path+corruptSuffix); err != nil {
			return nil, nil, fmt.Errorf("put %s aside: %w", path, err)
		}
		db, _, err = openDB(path) // a new one
	}
	if err != nil {
		return nil, nil, fmt.Errorf("open %s: %w", path, err)
	}
	st := &Storage{db: db, spanLength: window / 6, maxResponseBytes: maxResponseBytes, spans: spans{startedAt: time.Now()}}
	s, err := st.load()
	if err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("read %s: %w", path, err)
	}
	s.Corrupt = corrupt
	_ = os.Remove(startsPath) // one that stays is counted from the next time on
	return st, s, nil
}

// openDB opens a file for writing. bbolt looks for free pages then, and panics where pages contradict each other.
func openDB(path string) (db *bolt.DB, corrupt, err error) {
	defer func() {
		if r := recover(); r != nil {
			corrupt = fmt.Errorf("pages contradict each other: %v", r)
		}
	}()
	db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bolt.FreelistMapType, InitialMmapSize: initialMmapSize})
	return db, nil, err
}

// countFailedStarts counts starts that ended while the file was opened. What is spoilt in a way that reading doesn't show may end
// the process each time; it guards against a machine that never comes back for it.
func countFailedStarts(path string) error {
	text, _ := os.ReadFile(path) // none: the last start went well
	if len(text) >= maxFailedStarts {
		_ = os.Remove(path)
		return fmt.Errorf("%d starts in a row ended while it was opened", len(text))
	}
	if err := os.WriteFile(path, append(text, '.'), 0o600); err != nil {
		return nil // a full disk: the file itself may still be sound
	}
	return nil
}

// verifyFile reads a file through, without changing it, and says why it can't be believed.
func verifyFile(path string) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil
	}
	was := debug.SetPanicOnFault(true) // a page beyond the end of a file that was cut short
	defer debug.SetPanicOnFault(was)
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("a page can't be read: %v", r)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, ReadOnly: true, InitialMmapSize: initialMmapSize})
	if err != nil {
		return err
	}
	defer db.Close()
	_, err = (&Storage{db: db}).load()
	return err
}

// load reads all that the file holds, and makes what a new one lacks.
func (st *Storage) load() (*State, error) {
	s := &State{}
	err := st.db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil {
			s.New = true
			return nil
		}
		if err := s.readMeta(meta); err != nil {
			return err
		}
		if err := s.readLog(tx.Bucket(logBucket)); err != nil {
			return err
		}
		if err := each(tx.Bucket(serversBucket), func(k, v []byte) error {
			var e registry.Entry
			if err := decodeSealed(k, v, &e); err != nil {
				return fmt.Errorf("servers: %w", err)
			}
			s.Servers = append(s.Servers, e)
			return nil
		}); err != nil {
			return err
		}
		return st.readClaims(tx.Bucket(claimsBucket), s)
	})
	if err != nil || !s.New || st.db.IsReadOnly() {
		return s, err
	}
	return s, st.db.Update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{metaBucket, logBucket, claimsBucket, serversBucket} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(formatKey, seal(formatKey, []byte{Format}))
	})
}

var errBucket = errors.New("a bucket is missing")

func each(b *bolt.Bucket, do func(k, v []byte) error) error {
	if b == nil {
		return errBucket
	}
	return b.ForEach(do)
}

func (s *State) readMeta(meta *bolt.Bucket) error {
	sealed := meta.Get(formatKey)
	if len(sealed) == 1 { // the first format had no sums
		return fmt.Errorf("%w: %d, not %d", errFormat, sealed[0], Format)
	}
	f, err := unseal(formatKey, sealed)
	if err != nil {
		return fmt.Errorf("format: %w", err)
	}
	if len(f) != 1 || f[0] != Format {
		return fmt.Errorf("%w: %v, not %d", errFormat, f, Format)
	}
	for _, one := range []struct {
		key  []byte
		into any
	}{{hardKey, &s.Hard}, {snapshotKey, &s.Snapshot}, {bootstrapVotersKey, &s.BootstrapVoters}, {identityKey, &s.Identity}, {membershipKey, &s.Membership}} {
		if b := meta.Get(one.key); b != nil {
			if err := decodeSealed(one.key, b, one.into); err != nil {
				return fmt.Errorf("%s: %w", one.key, err)
			}
		}
	}
	if len(s.BootstrapVoters) > 0 && meta.Get(hardKey) == nil {
		return errors.New("there are members and no votes")
	}
	for _, m := range []consensus.Membership{s.Membership, s.Snapshot.Membership} {
		if err := m.Validate(); err != nil {
			return err
		}
	}
	if b := meta.Get(recoveringKey); b != nil {
		flag, err := unseal(recoveringKey, b)
		if err != nil {
			return fmt.Errorf("%s: %w", recoveringKey, err)
		}
		s.Recovering = len(flag) > 0
	}
	return nil
}

func (s *State) readLog(log *bolt.Bucket) error {
	next := s.Snapshot.Index + 1
	return each(log, func(k, v []byte) error {
		var e consensus.Entry
		if err := decodeSealed(k, v, &e); err != nil {
			return fmt.Errorf("log: %w", err)
		}
		if err := e.Validate(); err != nil {
			return fmt.Errorf("log: %w", err)
		}
		if e.Index != next {
			return fmt.Errorf("log: entry %d where %d belongs", e.Index, next)
		}
		next++
		s.Entries = append(s.Entries, e)
		return nil
	})
}

func (st *Storage) readClaims(ledger *bolt.Bucket, s *State) error {
	if ledger == nil {
		return errBucket
	}
	return ledger.ForEachBucket(func(name []byte) error {
		st.ids, st.sizes = append(st.ids, binary.BigEndian.Uint64(name)), append(st.sizes, 0)
		return ledger.Bucket(name).ForEach(func(k, v []byte) error {
			var r idempotency.Record
			if err := decodeSealed(k, v, &r); err != nil {
				return fmt.Errorf("ledger: %w", err)
			}
			n := binary.BigEndian.Uint64(k)
			if st.seq != 0 && n != st.seq+1 {
				return fmt.Errorf("ledger: line %d after line %d", n, st.seq)
			}
			st.seq = n
			if r.Response != nil {
				st.sizes[len(st.sizes)-1] += int64(len(r.Response.Body))
			}
			s.Claims = append(s.Claims, r)
			return nil
		})
	})
}
