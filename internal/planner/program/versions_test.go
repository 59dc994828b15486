package program

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"mulleinwood/internal/planner/options"
	"mulleinwood/internal/planner/record"
	"mulleinwood/internal/planner/standin"
	"mulleinwood/tables"
)

// TestVersionsOverABadChannel: updates to many proxies are lost, doubled, reordered, cut and flipped at random while servers
// drain and come back. No proxy ever holds a table that was not sent under that version, and once the channel is good all come
// into step; proxies that don't ask see lines as ever.
func TestVersionsOverABadChannel(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("a key of the group\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	sent, newest := map[tables.Version]tables.Digest{}, map[uint32]tables.Version{}
	secret := tables.Key("a key of the group")
	f := start(t, func(f *fleet, c *Config) {
		c.Own.Versions = options.Versions{Enabled: true, KeyFile: key}
		c.Settings.Rules.Proxies = 16
		c.sent = func(u tables.Update) {
			mu.Lock()
			defer mu.Unlock()
			sent[u.Version] = u.ResultDigest
			if u.Number > newest[u.Proxy].Number {
				newest[u.Proxy] = u.Version
			}
		}
	}, nil)
	defer f.stop()
	rng := rand.New(rand.NewPCG(18, 18)) // shared under mu
	bad, delivered, touched := true, 0, 0
	spoil := func(kept *[]byte) func([]byte) [][]byte {
		return func(update []byte) [][]byte {
			mu.Lock()
			defer mu.Unlock()
			if delivered++; !bad {
				return [][]byte{update}
			}
			text := append([]byte{}, update...)
			touched++
			switch rng.IntN(7) {
			case 0:
				return nil
			case 1:
				return [][]byte{text, text}
			case 2: // held back until the next
				last := *kept
				*kept = text
				return [][]byte{last}
			case 3:
				return [][]byte{text[:rng.IntN(len(text))]}
			case 4:
				text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
				return [][]byte{text}
			}
			touched--
			return [][]byte{text}
		}
	}
	var proxies []*standin.Versioned
	for i := range 12 {
		p, err := standin.JoinVersioned(f.planner, i, []string{"north", "south"}[i%2], 20, secret, spoil(new([]byte)),
			func(table tables.Table, at tables.Version) {
				mu.Lock()
				defer mu.Unlock()
				if d, known := sent[at]; !known || d != table.Digest(at, secret) {
					t.Errorf("proxy %d holds %v as %v, which was not sent", i, table, at)
				}
			})
		if err != nil {
			t.Fatal(err)
		}
		f.close = append(f.close, p.Close)
		proxies = append(proxies, p)
	}
	plain := f.proxy(15, "north")
	f.wait("plain lines", plain, holds("s-0"))
	for round := range 20 {
		id := []string{"s-0", "s-1", "s-2", "s-3"}[round/2%4]
		f.phase(id, []string{"draining", "up"}[round%2])
		time.Sleep(150 * time.Millisecond) // a pace for the day, no proof
	}
	mu.Lock()
	bad = false
	mu.Unlock()
	f.phase("s-2", "draining")
	for _, p := range proxies {
		f.await("a table without the draining server", p,
			func(s standin.State) bool { return len(s.Table) > 0 && s.Table["s-2"] == 0 })
		f.until("in step", func() bool {
			in, at := p.UpToDate()
			mu.Lock()
			defer mu.Unlock()
			return in && at == newest[uint32(p.Number)]
		})
	}
	f.wait("plain lines", plain, lacks("s-2"))
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d updates, %d of them spoilt", delivered, touched)
	if touched < 20 {
		t.Errorf("only %d updates were spoilt: the day proves nothing", touched)
	}
}

// TestRecordOfWhatWasSent: every version sent to proxies that speak lines is in the record, of those that don't ask too; and a
// record that can't be used stops nothing.
func TestRecordOfWhatWasSent(t *testing.T) {
	file := filepath.Join(t.TempDir(), "record.db")
	run := func(file string) {
		f := start(t, func(f *fleet, c *Config) {
			c.Own.Versions = options.Versions{Enabled: true, Record: options.Record{File: file, Entries: 1000, AgeHours: 1}}
		}, nil)
		defer f.stop()
		p := f.proxy(1, "north")
		f.wait("a table", p, holds("s-0"))
		f.phase("s-1", "draining")
		f.wait("a table without the draining server", p, lacks("s-1"))
	}
	run(file)
	run(file) // another life goes on in the same record
	r, err := record.Open(file, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	causes, lives := map[string]int{}, map[uint64]bool{}
	r.Each(func(e record.Entry) bool {
		u, err := tables.Decode(e.Update, nil)
		if err != nil || u.Proxy != 1 {
			t.Errorf("%+v: %v", u, err)
		}
		causes[e.Cause]++
		lives[u.Incarnation] = true
		return true
	})
	if causes["join"] != 2 || causes["removal"] < 2 || len(lives) != 2 {
		t.Errorf("recorded %v in %d lives", causes, len(lives))
	}
	spoilt := filepath.Join(t.TempDir(), "spoilt.db")
	if err := os.WriteFile(spoilt, []byte("no record"), 0o600); err != nil {
		t.Fatal(err)
	}
	run(spoilt)
	if text, _ := os.ReadFile(spoilt); string(text) != "no record" {
		t.Error("the file that can't be used was written over")
	}
}

func TestVersionsKeyFile(t *testing.T) {
	short := filepath.Join(t.TempDir(), "key")
	os.WriteFile(short, []byte("short"), 0o600)
	for _, file := range []string{short, "no/such/file"} {
		if _, err := newVersions("n0", options.Versions{Enabled: true, KeyFile: file}, nil); err == nil {
			t.Errorf("%s: no error", file)
		}
	}
	if v, err := newVersions("n0", options.Versions{}, nil); v != nil || err != nil {
		t.Errorf("off: %v %v", v, err)
	}
}
