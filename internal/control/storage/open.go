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
	fileMode        = 0o600
	initialMmapSize = 64 << 20 // bytes; growing the map later would wait for readers
	checksumBytes   = 8
	lockTimeout     = time.Second // for another process that has the file open
	// maxFailedStarts is how many starts in a row may end while the file is opened, until it is not opened any more.
	maxFailedStarts = 5
)

// The errors of what is read.
var (
	errChecksum = errors.New("a value and its checksum differ")
	errFormat   = errors.New("the file has another format") // written by another version: it is left alone
	errBucket   = errors.New("a bucket is missing")
)

// seal adds a checksum over a key and its value: a bit that flips in a page, or a value that turns up under another key,
// is noticed when it is read.
func seal(key, body []byte) []byte {
	return binary.BigEndian.AppendUint64(body, checksum(key, body))
}

func checksum(key, body []byte) uint64 { return xxh3.HashSeed(body, xxh3.Hash(key)) }

// unseal gives the value under a key, if it is what was put there.
func unseal(key, sealed []byte) ([]byte, error) {
	n := len(sealed) - checksumBytes
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

// Open reads the file in a data directory, or makes it. Claims are kept for the window at least; the bodies of their
// responses take at most maxResponseBytes.
//
// A file that can't be trusted is worth as much as an empty disk, and no more: it is moved aside to CorruptFileName, and
// State.Corrupt says why. It is read through once before it is opened for writing, since a torn or corrupt page makes
// bbolt panic, some of it where nobody can recover. A file that can't be read now, or that another version wrote, is left
// alone, and an error is returned.
func Open(dir string, window time.Duration, maxResponseBytes int64) (*Storage, *State, error) {
	path := filepath.Join(dir, fileName)
	startsPath := path + startsSuffix
	corrupt := countStart(startsPath)
	if corrupt == nil {
		corrupt = verifyFile(path)
	}
	if mayBeSound(corrupt) {
		return nil, nil, fmt.Errorf("read %s: %w", path, corrupt)
	}
	db, corrupt, err := openOrReplace(path, corrupt)
	if err != nil {
		return nil, nil, err
	}
	st := &Storage{db: db, spanLength: window / spansPerWindow, maxResponseBytes: maxResponseBytes,
		spans: spans{startedAt: time.Now()}}
	state, err := st.load()
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("read %s: %w", path, err), db.Close())
	}
	state.Corrupt = corrupt
	_ = os.Remove(startsPath) // one that stays is counted from the next time on
	return st, state, nil
}

// mayBeSound reports whether a file that could not be read may still be sound.
func mayBeSound(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, errFormat) || errors.As(err, &errno) || errors.Is(err, bolterrors.ErrTimeout)
}

// openOrReplace opens a file for writing. One that is corrupt, as was found before or shows now, is moved aside, and a new
// one takes its place.
func openOrReplace(path string, known error) (db *bolt.DB, corrupt, err error) {
	corrupt = known
	if corrupt == nil {
		db, corrupt, err = openDB(path)
	}
	if corrupt != nil {
		if err := os.Rename(path, path+corruptSuffix); err != nil {
			return nil, nil, fmt.Errorf("move %s aside: %w", path, err)
		}
		db, _, err = openDB(path)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("open %s: %w", path, err)
	}
	return db, corrupt, nil
}

// openDB opens a file for writing. bbolt looks for free pages then, and panics where pages contradict each other.
func openDB(path string) (db *bolt.DB, corrupt, err error) {
	defer func() {
		if r := recover(); r != nil {
			corrupt = fmt.Errorf("pages contradict each other: %v", r)
		}
	}()
	db, err = bolt.Open(path, fileMode, &bolt.Options{
		Timeout:         lockTimeout,
		NoFreelistSync:  true,
		FreelistType:    bolt.FreelistMapType,
		InitialMmapSize: initialMmapSize,
	})
	return db, nil, err
}

// countStart counts the starts that ended while the file was opened, by the bytes of a file beside it. What is corrupt in a
// way that reading doesn't show may end the process each time, and would keep a machine from ever coming back.
func countStart(path string) error {
	text, _ := os.ReadFile(path) // none: the last start went well
	if len(text) >= maxFailedStarts {
		_ = os.Remove(path) // one that stays is counted again
		return fmt.Errorf("%d starts in a row ended while it was opened", len(text))
	}
	_ = os.WriteFile(path, append(text, '.'), fileMode) // a full disk: the data file itself may still be sound
	return nil
}

// verifyFile reads a file through, without changing it, and says why it can't be trusted.
func verifyFile(path string) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil
	}
	panics := debug.SetPanicOnFault(true) // a page beyond the end of a file that was cut short
	defer debug.SetPanicOnFault(panics)
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("a page can't be read: %v", r)
		}
	}()
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout, ReadOnly: true, InitialMmapSize: initialMmapSize})
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }() // it was only read
	_, err = (&Storage{db: db}).load()
	return err
}

// load reads all that the file holds, and makes the buckets of a new one.
func (st *Storage) load() (*State, error) {
	s := &State{}
	if err := st.db.View(func(tx *bolt.Tx) error { return st.read(tx, s) }); err != nil {
		return nil, err
	}
	if !s.New || st.db.IsReadOnly() {
		return s, nil
	}
	return s, st.db.Update(createBuckets)
}

func createBuckets(tx *bolt.Tx) error {
	for _, name := range [][]byte{metaBucket, logBucket, claimsBucket, serversBucket} {
		if _, err := tx.CreateBucket(name); err != nil {
			return err
		}
	}
	return tx.Bucket(metaBucket).Put(formatKey, seal(formatKey, []byte{Format}))
}

func (st *Storage) read(tx *bolt.Tx, s *State) error {
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
	if err := s.readServers(tx.Bucket(serversBucket)); err != nil {
		return err
	}
	return st.readClaims(tx.Bucket(claimsBucket), s)
}

func forEach(b *bolt.Bucket, do func(key, value []byte) error) error {
	if b == nil {
		return errBucket
	}
	return b.ForEach(do)
}

func (s *State) readMeta(meta *bolt.Bucket) error {
	if err := checkFormat(meta.Get(formatKey)); err != nil {
		return err
	}
	for _, one := range []struct {
		key  []byte
		into any
	}{
		{hardKey, &s.Hard},
		{snapshotKey, &s.Snapshot},
		{bootstrapVotersKey, &s.BootstrapVoters},
		{identityKey, &s.Identity},
		{membershipKey, &s.Membership},
	} {
		sealed := meta.Get(one.key)
		if sealed == nil {
			continue
		}
		if err := decodeSealed(one.key, sealed, one.into); err != nil {
			return fmt.Errorf("%s: %w", one.key, err)
		}
	}
	if len(s.BootstrapVoters) > 0 && meta.Get(hardKey) == nil {
		return errors.New("there are voters and no votes")
	}
	for _, m := range []consensus.Membership{s.Membership, s.Snapshot.Membership} {
		if err := m.Validate(); err != nil {
			return err
		}
	}
	sealed := meta.Get(recoveringKey)
	if sealed == nil {
		return nil
	}
	flag, err := unseal(recoveringKey, sealed)
	if err != nil {
		return fmt.Errorf("%s: %w", recoveringKey, err)
	}
	s.Recovering = len(flag) > 0
	return nil
}

func checkFormat(sealed []byte) error {
	if len(sealed) == 1 { // the first format had no checksums
		return fmt.Errorf("%w: %d, not %d", errFormat, sealed[0], Format)
	}
	format, err := unseal(formatKey, sealed)
	if err != nil {
		return fmt.Errorf("format: %w", err)
	}
	if len(format) != 1 || format[0] != Format {
		return fmt.Errorf("%w: %v, not %d", errFormat, format, Format)
	}
	return nil
}

// readLog reads the entries after the snapshot, of which none may be missing.
func (s *State) readLog(log *bolt.Bucket) error {
	next := s.Snapshot.Index + 1
	return forEach(log, func(key, value []byte) error {
		var e consensus.Entry
		if err := decodeSealed(key, value, &e); err != nil {
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

func (s *State) readServers(servers *bolt.Bucket) error {
	return forEach(servers, func(key, value []byte) error {
		var e registry.Entry
		if err := decodeSealed(key, value, &e); err != nil {
			return fmt.Errorf("servers: %w", err)
		}
		s.Servers = append(s.Servers, e)
		return nil
	})
}

// readClaims reads the spans of the claim store, whose records are numbered without a gap.
func (st *Storage) readClaims(claims *bolt.Bucket, s *State) error {
	if claims == nil {
		return errBucket
	}
	return claims.ForEachBucket(func(name []byte) error {
		st.ids, st.sizes = append(st.ids, binary.BigEndian.Uint64(name)), append(st.sizes, 0)
		return claims.Bucket(name).ForEach(func(key, value []byte) error { return st.readClaim(key, value, s) })
	})
}

func (st *Storage) readClaim(key, value []byte, s *State) error {
	var r idempotency.Record
	if err := decodeSealed(key, value, &r); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	sequence := binary.BigEndian.Uint64(key)
	if st.sequence != 0 && sequence != st.sequence+1 {
		return fmt.Errorf("ledger: record %d after record %d", sequence, st.sequence)
	}
	st.sequence = sequence
	if r.Response != nil {
		st.sizes[len(st.sizes)-1] += int64(len(r.Response.Body))
	}
	s.Claims = append(s.Claims, r)
	return nil
}
