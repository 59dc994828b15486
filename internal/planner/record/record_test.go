package record

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
)

// TestMain runs the test binary as a writer process for TestKilledWriter if RECORD_FILE is set.
func TestMain(m *testing.M) {
	if file := os.Getenv("RECORD_FILE"); file != "" {
		r, err := Open(file, testKey, false)
		if err != nil {
			panic(err)
		}
		for n := r.bounds.last; ; n++ {
			if err := r.Append(time.Now(), Retention{MaxEntries: 50}, testEntry(n+1)); err != nil {
				panic(err)
			}
			fmt.Println(n + 1) // written
		}
	}
	os.Exit(m.Run())
}

var testKey = []byte("a key of the group")

func testEntry(n uint64) Entry {
	return Entry{At: time.UnixMilli(int64(n) * 1000), Cause: "weights", Update: []byte("update " + strconv.FormatUint(n, 10))}
}

// writeRecord creates a record of n entries and returns its file.
func writeRecord(t *testing.T, count int) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "record.db")
	r, err := Open(file, testKey, false)
	if err != nil {
		t.Fatal(err)
	}
	for i := range count {
		if err := r.Append(time.UnixMilli(0), Retention{}, testEntry(uint64(i+1))); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	return file
}

// checkContents opens a record and checks that its entries are as they were written. It returns the first and last sequence
// numbers.
func checkContents(t *testing.T, file string) (first, last uint64) {
	t.Helper()
	r, err := Open(file, testKey, true)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	err = r.Each(func(e Entry) bool {
		if want := testEntry(e.Seq); string(e.Update) != string(want.Update) || e.Cause != want.Cause || !e.At.Equal(want.At) {
			t.Fatalf("entry %d is %+v", e.Seq, e)
		}
		if first == 0 {
			first = e.Seq
		}
		last = e.Seq
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	return first, last
}

// TestKilledWriter kills a writer process repeatedly while it writes. The record must open each time and end with the last
// entry that was reported as written, or with one more that was being written.
func TestKilledWriter(t *testing.T) {
	file := filepath.Join(t.TempDir(), "record.db")
	for round := range 12 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "RECORD_FILE="+file)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		var written uint64
		for range 5 + 7*round {
			if _, err := fmt.Fscan(out, &written); err != nil {
				t.Fatal(err)
			}
		}
		cmd.Process.Kill() // at any point
		for {
			var n uint64
			if _, err := fmt.Fscan(out, &n); err != nil {
				break
			}
			written = n
		}
		cmd.Wait()
		awaitUnlocked(t, file)
		first, last := checkContents(t, file)
		if last < written || last > written+1 || last-first >= 50 {
			t.Fatalf("round %d: entries %d to %d are retained, %d was written", round, first, last, written)
		}
	}
}

// awaitUnlocked waits until the lock of a killed process on a file is gone: the kernel may release it only after the process
// was reaped, when the mapped pages are freed.
func awaitUnlocked(t *testing.T, file string) {
	t.Helper()
	db, err := bolt.Open(file, 0o600, &bolt.Options{ReadOnly: true, Timeout: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestDamagedFiles truncates a record at each page and modifies bytes of each page. Open must detect the damage or the
// entries must be unaffected; a damaged file must not return other entries, be overwritten or crash the process.
func TestDamagedFiles(t *testing.T) {
	intact, err := os.ReadFile(writeRecord(t, 40))
	if err != nil {
		t.Fatal(err)
	}
	page := os.Getpagesize()
	detected, unaffected := 0, 0
	try := func(name string, data []byte) {
		t.Helper()
		file := filepath.Join(t.TempDir(), "record.db")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := Open(file, testKey, true)
		if err != nil {
			detected++
			return
		}
		defer r.Close()
		n := uint64(0)
		r.Each(func(e Entry) bool {
			if n++; e.Seq != n || string(e.Update) != string(testEntry(n).Update) {
				t.Fatalf("%s: entry %d is read as %+v", name, n, e)
			}
			return true
		})
		unaffected++ // the page is unused, or the database has fallen back to its other meta page
	}
	for at := 0; at < len(intact); at += page {
		try(fmt.Sprint("truncated at ", at), intact[:at])
		for _, offset := range []int{3, 20, 100, 700, page - 5} {
			data := append([]byte{}, intact...)
			data[at+offset] ^= 0x10
			try(fmt.Sprint("modified at ", at+offset), data)
		}
	}
	if detected < 10 {
		t.Errorf("%d detected, %d unaffected", detected, unaffected)
	}
	t.Logf("%d detected, %d unaffected", detected, unaffected)
}

// TestTampering checks that Open detects modified, removed and added entries and a wrong key in a file that is valid for the
// database. It also checks the errors of a file that isn't a record and of a locked one.
func TestTampering(t *testing.T) {
	for name, change := range map[string]func(tx *bolt.Tx) error{
		"entry modified": func(tx *bolt.Tx) error {
			v := append([]byte{}, tx.Bucket(entriesBucket).Get(seqKey(7))...)
			v[len(v)-1] ^= 1
			return tx.Bucket(entriesBucket).Put(seqKey(7), v)
		},
		"entry removed":       func(tx *bolt.Tx) error { return tx.Bucket(entriesBucket).Delete(seqKey(7)) },
		"first entry removed": func(tx *bolt.Tx) error { return tx.Bucket(entriesBucket).Delete(seqKey(1)) },
		"last entry removed":  func(tx *bolt.Tx) error { return tx.Bucket(entriesBucket).Delete(seqKey(20)) },
		"entry added": func(tx *bolt.Tx) error {
			return tx.Bucket(entriesBucket).Put(seqKey(21), tx.Bucket(entriesBucket).Get(seqKey(20)))
		},
		"bounds with another key": func(tx *bolt.Tx) error {
			return tx.Bucket(metaBucket).Put(headKey, bounds{first: 1, last: 0}.encode([]byte("guess")))
		},
		"other format": func(tx *bolt.Tx) error { return tx.Bucket(metaBucket).Put(formatKey, []byte("x")) },
	} {
		file := writeRecord(t, 20)
		db, err := bolt.Open(file, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := db.Update(change); err != nil {
			t.Fatal(err)
		}
		db.Close()
		if _, err := Open(file, testKey, false); !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrNotRecord) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Open(writeRecord(t, 3), []byte("another key"), false); !errors.Is(err, ErrCorrupt) {
		t.Errorf("wrong key: %v", err)
	}
	foreign := filepath.Join(t.TempDir(), "f")
	os.WriteFile(foreign, make([]byte, 64<<10), 0o600)
	if _, err := Open(foreign, testKey, false); !errors.Is(err, ErrNotRecord) {
		t.Errorf("not a record: %v", err)
	}
	file := writeRecord(t, 3)
	r, err := Open(file, testKey, false)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if _, err := Open(file, testKey, false); !errors.Is(err, ErrLocked) {
		t.Errorf("locked record: %v", err)
	}
}

// TestRetention checks that old entries are deleted by number and by age, and that the remaining record verifies.
func TestRetention(t *testing.T) {
	file := writeRecord(t, 30)
	r, err := Open(file, testKey, false)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Append(time.UnixMilli(31000), Retention{MaxEntries: 10}, testEntry(31)); err != nil || r.Len() != 10 {
		t.Errorf("%d entries, %v", r.Len(), err)
	}
	if err := r.Append(time.UnixMilli(32000), Retention{MaxAge: 4 * time.Second}, testEntry(32)); err != nil || r.Len() != 5 {
		t.Errorf("%d entries, %v", r.Len(), err)
	}
	r.Close()
	if first, last := checkContents(t, file); first != 28 || last != 32 {
		t.Errorf("entries %d to %d are retained", first, last)
	}
}

// TestFullDisk checks that a writer whose disk is full reports it once, doesn't block Add, and records a gap with the number
// of missing entries afterwards.
func TestFullDisk(t *testing.T) {
	var written []Entry
	diskFull, failures := true, 0
	w := newWriter(func(_ time.Time, list ...Entry) error {
		if diskFull {
			return errors.New("no space left")
		}
		written = append(written, list...)
		return nil
	}, func(error) { failures++ })
	for n := range uint64(maxQueuedEntries + 100) { // 100 exceed the queue
		w.Add(testEntry(n + 1))
	}
	for range 3 {
		w.write([]Entry{<-w.queue})
	}
	diskFull = false
	w.write([]Entry{testEntry(9)})
	if failures != 1 || len(written) != 2 ||
		written[0].Gap != 103 || written[0].Cause != "gap" || string(written[1].Update) != "update 9" {
		t.Errorf("%d failures reported, written %+v", failures, written)
	}
	diskFull = true
	w.write([]Entry{testEntry(10)})
	if failures != 2 {
		t.Errorf("%d failures reported in all after the second series, want 2", failures)
	}
}
