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

// TestVersionsOverABadChannel loses, duplicates, reorders, truncates and corrupts updates to many proxies at random while servers
// drain and return. No proxy may hold a table that was not sent under its version, and all must converge once the channel is
// reliable. Proxies that don't ask for versions get plain lines.
func TestVersionsOverABadChannel(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("a key of the group\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	sent, newest := map[tables.Version]tables.Digest{}, map[uint32]tables.Version{}
	secret := tables.Key("a key of the group")
	f := start(t, func(f *fleet, c *Config) {
		c.Options.Versions = options.Versions{Enabled: true, KeyFile: key}
		c.Settings.Rules.Proxies = 16
		c.onSent = func(u tables.Update) {
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
	bad, delivered, corrupted := true, 0, 0
	corrupt := func(kept *[]byte) func([]byte) [][]byte {
		return func(update []byte) [][]byte {
			mu.Lock()
			defer mu.Unlock()
			if delivered++; !bad {
				return [][]byte{update}
			}
			text := append([]byte{}, update...)
			corrupted++
			switch rng.IntN(7) {
			case 0:
				return nil
			case 1:
				return [][]byte{text, text}
			case 2: // delayed until the next such update
				last := *kept
				*kept = text
				return [][]byte{last}
			case 3:
				return [][]byte{text[:rng.IntN(len(text))]}
			case 4:
				text[rng.IntN(len(text))] ^= 1 << rng.IntN(8)
				return [][]byte{text}
			}
			corrupted--
			return [][]byte{text}
		}
	}
	var proxies []*standin.Versioned
	for i := range 12 {
		p, err := standin.JoinVersioned(f.planner, i, []string{"north", "south"}[i%2], 20, secret, corrupt(new([]byte)),
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
	f.wait("plain lines", plain, hasServers("s-0"))
	for round := range 20 {
		id := []string{"s-0", "s-1", "s-2", "s-3"}[round/2%4]
		f.phase(id, []string{"draining", "up"}[round%2])
		time.Sleep(150 * time.Millisecond) // spreads the changes; not needed for correctness
	}
	mu.Lock()
	bad = false
	mu.Unlock()
	f.phase("s-2", "draining")
	for _, p := range proxies {
		f.await("a table without the draining server", p,
			func(s standin.State) bool { return len(s.Table) > 0 && s.Table["s-2"] == 0 })
		f.until("the newest version", func() bool {
			in, at := p.UpToDate()
			mu.Lock()
			defer mu.Unlock()
			return in && at == newest[uint32(p.Number)]
		})
	}
	f.wait("plain lines", plain, lacksServer("s-2"))
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d updates, %d of them disturbed", delivered, corrupted)
	if corrupted < 20 {
		t.Errorf("only %d updates were disturbed: too few for a valid test", corrupted)
	}
}

// TestRecordOfSentVersions checks that the record has every version sent over the line protocol, including those to proxies that
// don't ask for versions, and that an unusable record doesn't stop the planner.
func TestRecordOfSentVersions(t *testing.T) {
	file := filepath.Join(t.TempDir(), "record.db")
	run := func(file string) {
		f := start(t, func(f *fleet, c *Config) {
			c.Options.Versions = options.Versions{Enabled: true, Record: options.Record{File: file, Entries: 1000, AgeHours: 1}}
		}, nil)
		defer f.stop()
		p := f.proxy(1, "north")
		f.wait("a table", p, hasServers("s-0"))
		f.phase("s-1", "draining")
		f.wait("a table without the draining server", p, lacksServer("s-1"))
	}
	run(file)
	run(file) // another incarnation appends to the same record
	r, err := record.Open(file, nil, true)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	causes, incarnations := map[string]int{}, map[uint64]bool{}
	r.Each(func(e record.Entry) bool {
		u, err := tables.Decode(e.Update, nil)
		if err != nil || u.Proxy != 1 {
			t.Errorf("%+v: %v", u, err)
		}
		causes[e.Cause]++
		incarnations[u.Incarnation] = true
		return true
	})
	if causes["join"] != 2 || causes["removal"] < 2 || len(incarnations) != 2 {
		t.Errorf("recorded %v in %d incarnations", causes, len(incarnations))
	}
	corruptFile := filepath.Join(t.TempDir(), "spoilt.db")
	if err := os.WriteFile(corruptFile, []byte("no record"), 0o600); err != nil {
		t.Fatal(err)
	}
	run(corruptFile)
	if text, _ := os.ReadFile(corruptFile); string(text) != "no record" {
		t.Error("the unusable file was overwritten")
	}
}

func TestVersionsKeyFile(t *testing.T) {
	short := filepath.Join(t.TempDir(), "key")
	os.WriteFile(short, []byte("short"), 0o600)
	for _, file := range []string{short, "no/such/file"} {
		if _, err := newVersionTracker("n0", options.Versions{Enabled: true, KeyFile: file}, nil); err == nil {
			t.Errorf("%s: no error", file)
		}
	}
	if v, err := newVersionTracker("n0", options.Versions{}, nil); v != nil || err != nil {
		t.Errorf("off: %v %v", v, err)
	}
}
