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

// TestMain lets the test binary stand in for a writer that is killed.
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

// writeRecord makes a record of so many entries.
func writeRecord(t *testing.T, n int) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "record.db")
	r, err := Open(file, testKey, false)
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		if err := r.Append(time.UnixMilli(0), Retention{}, testEntry(uint64(i+1))); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	return file
}

// checkContents opens a record and checks that it holds a run of entries as they were written.
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

// TestKilledWriter: a writer is killed again and again in the midst of its writing. The record opens each time and ends with
// what was written, or the one entry more that was under way.
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
		cmd.Process.Kill() // wherever it is
		for {
			var n uint64
			if _, err := fmt.Fscan(out, &n); err != nil {
				break
			}
			written = n
		}
		cmd.Wait()
		first, last := checkContents(t, file)
		if last < written || last > written+1 || last-first >= 50 {
			t.Fatalf("round %d: %d to %d are kept, %d was written", round, first, last, written)
		}
	}
}

// TestDamagedFiles: a record that was cut at any page, or of which any page was changed, is noticed or is as it was; it is
// never read as something else, never written over, and never ends the process.
func TestDamagedFiles(t *testing.T) {
	good, err := os.ReadFile(writeRecord(t, 40))
	if err != nil {
		t.Fatal(err)
	}
	page := os.Getpagesize()
	noticed, fine := 0, 0
	try := func(what string, text []byte) {
		t.Helper()
		file := filepath.Join(t.TempDir(), "record.db")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := Open(file, testKey, true)
		if err != nil {
			noticed++
			return
		}
		defer r.Close()
		n := uint64(0)
		r.Each(func(e Entry) bool {
			if n++; e.Seq != n || string(e.Update) != string(testEntry(n).Update) {
				t.Fatalf("%s: entry %d is read as %+v", what, n, e)
			}
			return true
		})
		fine++ // in a page that isn't in use, or by the other of the store's two heads
	}
	for at := 0; at < len(good); at += page {
		try(fmt.Sprint("cut at ", at), good[:at])
		for _, offset := range []int{3, 20, 100, 700, page - 5} {
			text := append([]byte{}, good...)
			text[at+offset] ^= 0x10
			try(fmt.Sprint("changed at ", at+offset), text)
		}
	}
	if noticed < 10 {
		t.Errorf("%d noticed, %d fine", noticed, fine)
	}
	t.Logf("%d noticed, %d as they were", noticed, fine)
}

// TestTampering: whoever changes entries, cuts them off at either end or takes another key is found out, although the store
// itself is sound.
func TestTampering(t *testing.T) {
	for what, change := range map[string]func(tx *bolt.Tx) error{
		"an entry changed": func(tx *bolt.Tx) error {
			v := append([]byte{}, tx.Bucket(entriesBucket).Get(seqKey(7))...)
			v[len(v)-1] ^= 1
			return tx.Bucket(entriesBucket).Put(seqKey(7), v)
		},
		"an entry taken out":  func(tx *bolt.Tx) error { return tx.Bucket(entriesBucket).Delete(seqKey(7)) },
		"the first taken out": func(tx *bolt.Tx) error { return tx.Bucket(entriesBucket).Delete(seqKey(1)) },
		"the last taken out":  func(tx *bolt.Tx) error { return tx.Bucket(entriesBucket).Delete(seqKey(20)) },
		"one added": func(tx *bolt.Tx) error {
			return tx.Bucket(entriesBucket).Put(seqKey(21), tx.Bucket(entriesBucket).Get(seqKey(20)))
		},
		"another head": func(tx *bolt.Tx) error {
			return tx.Bucket(metaBucket).Put(headKey, bounds{first: 1, last: 0}.encode([]byte("guess")))
		},
		"another form": func(tx *bolt.Tx) error { return tx.Bucket(metaBucket).Put(formatKey, []byte("x")) },
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
			t.Errorf("%s: %v", what, err)
		}
	}
	if _, err := Open(writeRecord(t, 3), []byte("another key"), false); !errors.Is(err, ErrCorrupt) {
		t.Errorf("another key: %v", err)
	}
	foreign := filepath.Join(t.TempDir(), "f")
	os.WriteFile(foreign, make([]byte, 64<<10), 0o600)
	if _, err := Open(foreign, testKey, false); !errors.Is(err, ErrNotRecord) {
		t.Errorf("a foreign file: %v", err)
	}
	file := writeRecord(t, 3)
	r, err := Open(file, testKey, false)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if _, err := Open(file, testKey, false); !errors.Is(err, ErrLocked) {
		t.Errorf("a locked file: %v", err)
	}
}

// TestRetention: old entries go, by number and by age, and what is left still proves itself.
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
		t.Errorf("%d to %d are kept", first, last)
	}
}

// TestFullDisk: a disk that takes nothing for a while is told of once, holds nobody up, and leaves a gap that says how much is
// missing.
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
	for n := range uint64(maxQueuedEntries + 100) { // 100 don't even fit the queue
		w.Add(testEntry(n + 1))
	}
	for range 3 {
		w.write([]Entry{<-w.queue})
	}
	diskFull = false
	w.write([]Entry{testEntry(9)})
	if failures != 1 || len(written) != 2 || written[0].Gap != 103 || written[0].Cause != "gap" || string(written[1].Update) != "update 9" {
		t.Errorf("told %d times, written %+v", failures, written)
	}
	diskFull = true
	w.write([]Entry{testEntry(10)})
	if failures != 2 {
		t.Errorf("a second series is told %d times in all", failures)
	}
}
