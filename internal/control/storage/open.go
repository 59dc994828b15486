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

// Names of the files in the data directory. They are unchanged since the first version, whose data can still be read.
const (
	fileName            = "exchange.db"
	corruptSuffix       = ".spoilt"
	startAttemptsSuffix = ".opening"

	// CorruptFileName is the name that a corrupt file is moved to.
	CorruptFileName = fileName + corruptSuffix
)

const (
	fileMode        = 0o600
	initialMmapSize = 64 << 20 // bytes; growing the map later has to wait for readers
	checksumBytes   = 8
	lockTimeout     = time.Second // maximum wait for another process that has the file open
	// maxFailedStarts is the number of consecutive starts that may fail while the file is being opened. After that the file
	// counts as corrupt.
	maxFailedStarts = 5
)

// Errors of reading the file.
var (
	errChecksum      = errors.New("checksum mismatch")
	errFormat        = errors.New("unsupported file format") // written by another version, the file is left unchanged
	errMissingBucket = errors.New("missing bucket")
)

// appendChecksum appends a checksum over the key and the body, which detects flipped bits and values stored under a wrong key
// when they are read.
func appendChecksum(key, body []byte) []byte {
	return binary.BigEndian.AppendUint64(body, checksum(key, body))
}

func checksum(key, body []byte) uint64 { return xxh3.HashSeed(body, xxh3.Hash(key)) }

// verifyChecksum returns the body of a stored value, or errChecksum if the checksum doesn't match the key and the body.
func verifyChecksum(key, stored []byte) ([]byte, error) {
	n := len(stored) - checksumBytes
	if n < 0 || binary.BigEndian.Uint64(stored[n:]) != checksum(key, stored[:n]) {
		return nil, fmt.Errorf("%w: %q", errChecksum, key)
	}
	return stored[:n], nil
}

func decodeVerified(key, stored []byte, target any) error {
	body, err := verifyChecksum(key, stored)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(body, target)
}

// Open opens the file in a data directory, or creates it, and returns its content. Claims are kept at least for the window;
// the stored bodies of their responses take at most maxResponseBytes.
//
// A corrupt file is moved aside to CorruptFileName and replaced by an empty one, and State.Corrupt is the reason. The file is
// read completely before it is opened for writing, since a torn or corrupt page makes bbolt panic, in part where the panic
// can't be recovered. A file that can't be read at the moment, or that another version wrote, is left unchanged, and Open
// returns an error.
func Open(dir string, window time.Duration, maxResponseBytes int64) (*Storage, *State, error) {
	var claims []idempotency.Record
	st, state, err := OpenWith(dir, window, maxResponseBytes, func(r idempotency.Record) { claims = append(claims, r) })
	if err == nil {
		state.Claims = claims
	}
	return st, state, err
}

// OpenWith opens the file like Open, and passes the records of claims to load, in the order in which they were written, instead
// of returning all of them: together they may take more memory than a machine has.
func OpenWith(dir string, window time.Duration, maxResponseBytes int64, load func(idempotency.Record)) (*Storage, *State, error) {
	path := filepath.Join(dir, fileName)
	attemptsPath := path + startAttemptsSuffix
	corrupt := recordStartAttempt(attemptsPath)
	if corrupt == nil {
		corrupt = verifyFile(path)
	}
	if mayBeIntact(corrupt) {
		return nil, nil, fmt.Errorf("read %s: %w", path, corrupt)
	}
	db, corrupt, err := openOrReplace(path, corrupt)
	if err != nil {
		return nil, nil, err
	}
	st := &Storage{db: db, spanLength: window / spansPerWindow, maxResponseBytes: maxResponseBytes, loadClaim: load,
		spans: spans{startedAt: time.Now()}}
	state, err := st.load()
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("read %s: %w", path, err), db.Close())
	}
	state.Corrupt = corrupt
	_ = os.Remove(attemptsPath) // if it can't be removed, the next start counts on from it
	return st, state, nil
}

// mayBeIntact reports whether a file that can't be read may still be intact: another version wrote it, the operating system
// returned an error, or another process has it locked.
func mayBeIntact(err error) bool {
	var errno syscall.Errno
	return errors.Is(err, errFormat) || errors.As(err, &errno) || errors.Is(err, bolterrors.ErrTimeout)
}

// openOrReplace opens a file for writing. A corrupt file is moved aside and replaced by a new one; known is the reason if it
// was found corrupt before.
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

// openDB opens a file for writing. bbolt then searches for free pages, and panics if pages are inconsistent.
func openDB(path string) (db *bolt.DB, corrupt, err error) {
	defer func() {
		if r := recover(); r != nil {
			corrupt = fmt.Errorf("inconsistent pages: %v", r)
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

// recordStartAttempt counts consecutive starts that failed while the file was being opened, as the length of a file next to it. A
// fault that verifyFile doesn't detect may crash the process at each start, which would keep the controller down forever.
func recordStartAttempt(path string) error {
	attempts, _ := os.ReadFile(path) // there is no file if the last start succeeded
	if len(attempts) >= maxFailedStarts {
		_ = os.Remove(path) // if it can't be removed, the next start counts it again
		return fmt.Errorf("%d starts in a row failed while the file was being opened", len(attempts))
	}
	_ = os.WriteFile(path, append(attempts, '.'), fileMode) // the disk may be full, which doesn't make the data file corrupt
	return nil
}

// verifyFile reads the whole file without changing it, and returns an error if it can't be read or is corrupt.
func verifyFile(path string) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil
	}
	previous := debug.SetPanicOnFault(true) // a page may be beyond the end of a truncated file
	defer debug.SetPanicOnFault(previous)
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("unreadable page: %v", r)
		}
	}()
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout, ReadOnly: true, InitialMmapSize: initialMmapSize})
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }() // the file was only read
	_, err = (&Storage{db: db, loadClaim: func(idempotency.Record) {}}).load()
	return err
}

// load reads the content of the file, and creates the buckets of a new one.
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
	return tx.Bucket(metaBucket).Put(formatKey, appendChecksum(formatKey, []byte{Format}))
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
	return st.readClaims(tx.Bucket(claimsBucket))
}

func forEach(b *bolt.Bucket, do func(key, value []byte) error) error {
	if b == nil {
		return errMissingBucket
	}
	return b.ForEach(do)
}

func (s *State) readMeta(meta *bolt.Bucket) error {
	if err := checkFormat(meta.Get(formatKey)); err != nil {
		return err
	}
	for _, field := range []struct {
		key  []byte
		into any
	}{
		{hardKey, &s.Hard},
		{snapshotKey, &s.Snapshot},
		{bootstrapVotersKey, &s.BootstrapVoters},
		{identityKey, &s.Identity},
		{membershipKey, &s.Membership},
	} {
		stored := meta.Get(field.key)
		if stored == nil {
			continue
		}
		if err := decodeVerified(field.key, stored, field.into); err != nil {
			return fmt.Errorf("%s: %w", field.key, err)
		}
	}
	if len(s.BootstrapVoters) > 0 && meta.Get(hardKey) == nil {
		return errors.New("bootstrap voters are stored without a hard state")
	}
	for _, m := range []consensus.Membership{s.Membership, s.Snapshot.Membership} {
		if err := m.Validate(); err != nil {
			return err
		}
	}
	stored := meta.Get(recoveringKey)
	if stored == nil {
		return nil
	}
	flag, err := verifyChecksum(recoveringKey, stored)
	if err != nil {
		return fmt.Errorf("%s: %w", recoveringKey, err)
	}
	s.Recovering = len(flag) > 0
	return nil
}

func checkFormat(stored []byte) error {
	if len(stored) == 1 { // the first format had no checksums
		return fmt.Errorf("%w: %d, not %d", errFormat, stored[0], Format)
	}
	format, err := verifyChecksum(formatKey, stored)
	if err != nil {
		return fmt.Errorf("format: %w", err)
	}
	if len(format) != 1 || format[0] != Format {
		return fmt.Errorf("%w: %v, not %d", errFormat, format, Format)
	}
	return nil
}

// readLog reads the log entries after the snapshot. Their indexes must be consecutive.
func (s *State) readLog(log *bolt.Bucket) error {
	next := s.Snapshot.Index + 1
	return forEach(log, func(key, value []byte) error {
		var e consensus.Entry
		if err := decodeVerified(key, value, &e); err != nil {
			return fmt.Errorf("log: %w", err)
		}
		if err := e.Validate(); err != nil {
			return fmt.Errorf("log: %w", err)
		}
		if e.Index != next {
			return fmt.Errorf("log: entry has index %d, want %d", e.Index, next)
		}
		next++
		s.Entries = append(s.Entries, e)
		return nil
	})
}

func (s *State) readServers(servers *bolt.Bucket) error {
	return forEach(servers, func(key, value []byte) error {
		var e registry.Entry
		if err := decodeVerified(key, value, &e); err != nil {
			return fmt.Errorf("servers: %w", err)
		}
		s.Servers = append(s.Servers, e)
		return nil
	})
}

// readClaims reads the spans of the claim store. The sequence numbers of their records must be consecutive.
func (st *Storage) readClaims(claims *bolt.Bucket) error {
	if claims == nil {
		return errMissingBucket
	}
	return claims.ForEachBucket(func(name []byte) error {
		st.ids, st.sizes = append(st.ids, binary.BigEndian.Uint64(name)), append(st.sizes, 0)
		return claims.Bucket(name).ForEach(func(key, value []byte) error { return st.readClaim(key, value) })
	})
}

func (st *Storage) readClaim(key, value []byte) error {
	var r idempotency.Record
	if err := decodeVerified(key, value, &r); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	sequence := binary.BigEndian.Uint64(key)
	if st.sequence != 0 && sequence != st.sequence+1 {
		return fmt.Errorf("ledger: record %d follows record %d", sequence, st.sequence)
	}
	st.sequence = sequence
	if r.Response != nil {
		st.sizes[len(st.sizes)-1] += int64(len(r.Response.Body))
	}
	st.loadClaim(r)
	return nil
}
