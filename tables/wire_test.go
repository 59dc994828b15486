package tables

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

var testVersion = Version{Origin: Origin{"n3", 77}, Proxy: 9, Number: 5}

// tableOfSize returns a table of n servers.
func tableOfSize(n int) Table {
	t := New()
	for i := range n {
		t.Weights[fmt.Sprintf("s-%06d", i)] = 1 + float32(i%7)/10
	}
	t.Gates["view"] = Gate{0.5, 1}
	return t
}

// TestFlippedBits checks that Decode rejects a small update with any one bit flipped or truncated at any byte, and a large
// update with random bits flipped, with a key and without.
func TestFlippedBits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 18))
	for _, key := range []Key{nil, Key("a group's key")} {
		small := Delta(tableOfSize(3), tableOfSize(4), testVersion, key).Append(nil, key)
		for bit := range 8 * len(small) {
			small[bit/8] ^= 1 << (bit % 8)
			if u, err := Decode(small, key); err == nil {
				t.Fatalf("bit %d of %d flipped: decoded as %+v", bit, 8*len(small), u)
			}
			small[bit/8] ^= 1 << (bit % 8)
		}
		for cut := range small {
			if _, err := Decode(small[:cut], key); err == nil {
				t.Fatalf("truncated at %d of %d: decoded", cut, len(small))
			}
		}
		big := Snapshot(tableOfSize(2000), testVersion, key).Append(nil, key)
		for range 300 {
			bit := rng.IntN(8 * len(big))
			big[bit/8] ^= 1 << (bit % 8)
			if _, err := Decode(big, key); err == nil {
				t.Fatalf("bit %d of a large update flipped: decoded", bit)
			}
			big[bit/8] ^= 1 << (bit % 8)
		}
		if _, err := Decode(big, key); err != nil {
			t.Fatal(err)
		}
	}
}

// TestForgedUpdates checks that a receiver with a key rejects updates with a plain checksum or another key. Without a key,
// anyone can compute a valid checksum.
func TestForgedUpdates(t *testing.T) {
	forged := Snapshot(tableOf(map[string]float32{"evil": 1}), testVersion, nil).Append(nil, nil)
	if _, err := Decode(forged, nil); err != nil {
		t.Errorf("update with a valid plain checksum: %v", err)
	}
	for _, encoded := range [][]byte{forged,
		Snapshot(tableOf(map[string]float32{"evil": 1}), testVersion, Key("guess")).Append(nil, Key("guess"))} {
		if _, err := Decode(encoded, Key("secret")); !errors.Is(err, ErrChecksum) {
			t.Errorf("%v; want ErrSealed", err)
		}
	}
}

// TestUpdatesSurviveTheWire checks that a receiver follows random tables over a channel that loses and corrupts encoded
// updates, and catches up in the end.
func TestUpdatesSurviveTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := Key(rapid.SampledFrom([]string{"", "k"}).Draw(t, "key"))
		o := Origin{rapid.String().Draw(t, "instance"), rapid.Uint64().Draw(t, "life")}
		if o == (Origin{}) {
			return // the zero origin is no planner's
		}
		s, r, now := NewSender(o, 3, key), NewReceiver(3, key), 0.0
		r.StreamStarted(now, o)
		for range rapid.IntRange(1, 12).Draw(t, "tables") {
			next := New()
			for range rapid.IntRange(0, 5).Draw(t, "servers") {
				next.Weights[rapid.StringN(0, 5, -1).Draw(t, "server")] = float32(rapid.Float64Range(1e-9, 1e6).Draw(t, "weight"))
			}
			for range rapid.IntRange(0, 2).Draw(t, "shut") {
				next.Excluded[rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")] = true
			}
			if rapid.Bool().Draw(t, "gated") {
				next.Gates["view"] = Gate{float32(rapid.Float64Range(0, 1).Draw(t, "level")), 1}
			}
			u, err := s.Next(next, rapid.IntRange(0, 4).Draw(t, "whole") == 0)
			if err != nil {
				t.Fatal(err)
			}
			encoded := u.Append(nil, key)
			switch rapid.IntRange(0, 3).Draw(t, "channel") {
			case 0: // lost
				continue
			case 1: // corrupted
				encoded[rapid.IntRange(0, len(encoded)-1).Draw(t, "at")] ^= 0x40
				if r.ApplyEncoded(now, encoded) == nil {
					t.Fatal("a corrupted update was applied")
				}
				continue
			}
			before, at := r.Table()
			if err := r.ApplyEncoded(now, encoded); err != nil {
				if after, still := r.Table(); still != at || !after.Equal(before) {
					t.Fatalf("a rejected update (%v) changed the table", err)
				}
			}
		}
		r.HandleNotice(now, s.version, s.Digest())
		for range 4 {
			now = max(now, r.NextResendAt())
			if a, asks := r.NextResendRequest(now); asks {
				for _, u := range s.Resend(a) {
					r.ApplyEncoded(now, u.Append(nil, key))
				}
			}
		}
		if held, at := r.Table(); at != s.version || !held.Equal(s.table) || !r.UpToDate() {
			t.Fatalf("holds %+v as %v, sent %+v as %v", held, at, s.table, s.version)
		}
	})
}

// TestResendBackoff guards against a receiver that floods a planner which can't answer, and against one that stops asking.
func TestResendBackoff(t *testing.T) {
	r := NewReceiver(1, nil)
	r.StreamStarted(0, originOf(0))
	r.version.Number, r.missing, r.needSnapshot = 4, false, false
	r.requestResend(0, false)
	var at []float64
	snapshots := 0
	for now := 0.0; now < 600000; now += 50 {
		if a, asks := r.NextResendRequest(now); asks {
			if at = append(at, now); a.Snapshot {
				snapshots++
			}
		}
	}
	if len(at) < 15 || len(at) > 40 || snapshots != len(at)-maxDeltaAttempts {
		t.Errorf("%d resend requests in ten minutes, %d for a snapshot", len(at), snapshots)
	}
	if gap := at[len(at)-1] - at[len(at)-2]; gap < maxResendDelayMS || gap > 2*maxResendDelayMS {
		t.Errorf("the last two requests are %v ms apart", gap)
	}
}

func TestVersionNumbersExhausted(t *testing.T) {
	s := NewSender(originOf(0), 1, nil)
	s.version.Number = math.MaxUint64 - 1
	if _, err := s.Next(New(), true); err != nil {
		t.Error(err)
	}
	if _, err := s.Next(New(), false); !errors.Is(err, ErrExhausted) {
		t.Errorf("after the last number: %v", err)
	}
}

// TestResend checks that a sender resends missing updates if they are retained and smaller than a snapshot, else a snapshot,
// and nothing to another proxy.
func TestResend(t *testing.T) {
	s := NewSender(originOf(0), 1, nil)
	if got := s.Resend(ResendRequest{Origin: originOf(0), Proxy: 1}); got != nil {
		t.Errorf("before any version: %v", got)
	}
	for i := range 40 {
		table := tableOfSize(50)
		table.Weights["s-000000"] = float32(i + 1)
		s.Next(table, false)
	}
	for name, tc := range map[string]struct {
		request  ResendRequest
		n        int
		snapshot bool
	}{
		"three missing":          {ResendRequest{Origin: originOf(0), Proxy: 1, After: 37}, 3, false},
		"no longer retained":     {ResendRequest{Origin: originOf(0), Proxy: 1, After: 3}, 1, true},
		"none missing":           {ResendRequest{Origin: originOf(0), Proxy: 1, After: 40}, 0, false},
		"never sent":             {ResendRequest{Origin: originOf(0), Proxy: 1, After: 99}, 1, true},
		"of another incarnation": {ResendRequest{Origin: originOf(1), Proxy: 1, After: 39}, 1, true},
		"snapshot requested":     {ResendRequest{Origin: originOf(0), Proxy: 1, After: 39, Snapshot: true}, 1, true},
		"larger than a snapshot": {ResendRequest{Origin: originOf(0), Proxy: 1, After: 10}, 1, true},
		"of another proxy":       {ResendRequest{Origin: originOf(0), Proxy: 2, After: 39}, 0, false},
	} {
		got := s.Resend(tc.request)
		if len(got) != tc.n || len(got) > 0 && got[0].Snapshot != tc.snapshot {
			t.Errorf("%s: %d updates, want %d, snapshot %t", name, len(got), tc.n, tc.snapshot)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Snapshot(tableOfSize(3), testVersion, nil).Append(nil, nil))
	f.Add(Delta(tableOfSize(3), tableOfSize(5), testVersion, nil).Append(nil, nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		u, err := Decode(data, nil)
		if err != nil {
			return
		}
		r := NewReceiver(u.Proxy, nil)
		r.StreamStarted(0, u.Origin)
		r.Apply(0, u)
	})
}

// BenchmarkChange measures a change of one weight in a table of 30 servers: building, encoding, decoding and applying it.
func BenchmarkChange(b *testing.B) {
	for _, key := range []Key{nil, Key("a group's key")} {
		b.Run(map[bool]string{true: "keyed", false: "plain"}[len(key) > 0], func(b *testing.B) {
			s, r := NewSender(originOf(0), 1, key), NewReceiver(1, key)
			r.StreamStarted(0, originOf(0))
			table, bytes := tableOfSize(30), 0
			for i := 0; b.Loop(); i++ {
				table.Weights["s-000003"] = float32(i%100 + 1)
				u, err := s.Next(table, false)
				if err != nil {
					b.Fatal(err)
				}
				encoded := u.Append(nil, key)
				if bytes += len(encoded); r.ApplyEncoded(0, encoded) != nil {
					b.Fatal("update rejected")
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/change")
			b.ReportMetric(float64(len(Snapshot(table, s.version, key).Append(nil, key))), "bytes/whole")
		})
	}
}
