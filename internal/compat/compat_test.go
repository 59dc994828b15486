package compat

import (
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/planner/record"
)

var update = flag.Bool("update", false, "write the files under testdata again")

// filler sets every field of a value to something that no other field has, so that a field that moves changes the bytes.
type filler struct{ n uint64 }

func (f *filler) next() uint64 { f.n++; return f.n }

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type())) // one entry: the order of several is not fixed
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprint("s", f.next()))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.25)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint64:
		v.SetUint(f.next() + 1<<40)
	case reflect.Uint32:
		v.SetUint(f.next() + 1<<20)
	case reflect.Uint8:
		v.SetUint(f.next() % 251)
	default:
		panic("the filler has no value for " + v.Type().String())
	}
}

func filled(v any) any {
	(&filler{}).fill(reflect.ValueOf(v).Elem())
	return v
}

type sample struct {
	name  string
	value any // pointer to a value
}

// frames gives one frame for each field, named by the field's number on the wire, and one with all of them.
func frames() []sample {
	all := []sample{{"frame all", filled(&peer.Frame{})}}
	t := reflect.TypeFor[peer.Frame]()
	for i := range t.NumField() {
		f := &peer.Frame{}
		(&filler{}).fill(reflect.ValueOf(f).Elem().Field(i))
		number, _, _ := strings.Cut(t.Field(i).Tag.Get("cbor"), ",")
		all = append(all, sample{"frame " + number, f})
	}
	return all
}

func records() []sample {
	return []sample{
		{"stored consensus entry", filled(&consensus.Entry{})},
		{"stored hard state", filled(&consensus.HardState{})},
		{"stored snapshot", filled(&consensus.Snapshot{})},
		{"stored membership", filled(&consensus.Membership{})},
		{"stored claim", filled(&idempotency.Record{})},
		{"stored server", filled(&registry.Entry{})},
		{"log entry data", filled(&statemachine.Change{})},
		{"bookings", filled(&reservation.Ledger{})},
	}
}

func golden(t *testing.T, name string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	all := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if all[name], err = hex.DecodeString(digits); err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// Every frame between processes and every stored record is written as the bytes that the earlier version wrote, and read
// back without a loss.
func TestEncodingsKeepTheirBytes(t *testing.T) {
	samples := slices.Concat(frames(), records())
	const file = "encodings.txt"
	if *update {
		var text strings.Builder
		for _, s := range samples {
			b, err := cbor.Marshal(s.value)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "%s: %x\n", s.name, b)
		}
		if err := os.WriteFile(filepath.Join("testdata", file), []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want := golden(t, file)
	if len(want) != len(samples) {
		t.Errorf("%d encodings are known, %d are written", len(want), len(samples))
	}
	for _, s := range samples {
		t.Run(s.name, func(t *testing.T) {
			got, err := cbor.Marshal(s.value)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want[s.name]) {
				t.Errorf("written as\n%x, not\n%x", got, want[s.name])
			}
			back := reflect.New(reflect.TypeOf(s.value).Elem()).Interface()
			if err := cbor.Unmarshal(want[s.name], back); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(back, s.value) {
				t.Errorf("read as\n%+v, not\n%+v", back, s.value)
			}
			again, err := cbor.Marshal(back)
			if err != nil || !bytes.Equal(again, want[s.name]) {
				t.Errorf("written again as\n%x (%v), not\n%x", again, err, want[s.name])
			}
		})
	}
}

// What the disk of a controller held when the earlier version ended.
const (
	configOne = `{"version":"r1","services":[{"name":"tags"}],"limits":{"max_body_bytes":65536},"plants":[{"plant":"a.example","channels":[` +
		`{"name":"s","path_prefix":"/s/","kind":"safe","deadline_s":2,"setpoint_s":0.4,"service":"tags","tries":2}]}]}`
	changeTwo = `{"version":"r2","upsert":{"services":[{"name":"fares"}]}}`
	changeBad = `{"version":"r9","upsert":{"services":[{"name":""}]}}`
)

var (
	ips        = []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	membership = consensus.Membership{Epoch: 2, Cluster: 7, Voters: ips}
	booking    = reservation.Booking{ID: "fair", Tenant: "a.example", Service: "tags", Start: 3e9, End: 4e9, Slots: 3, Owner: "ops"}
)

func change(t *testing.T, c statemachine.Change) []byte {
	t.Helper()
	b, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func claim(n byte) idempotency.Record {
	return idempotency.Record{Key: idempotency.Key{n}, Token: idempotency.Token{Incarnation: 5, Sequence: uint64(n)}, ResponseHolder: ips[0]}
}

func claims() []idempotency.Record {
	answered, answer, void, copied, contested := claim(1), claim(1), claim(3), claim(4), claim(5)
	answer.Response = &idempotency.Response{Status: 201, Headers: map[string]string{"X-Server-Seal": "seal"}, Body: []byte("paid")}
	void.Revoked, copied.Imported, contested.Imported, contested.Contested = true, true, true, true
	return []idempotency.Record{answered, answer, claim(2), claim(3), void, copied, contested}
}

func servers() []registry.Entry {
	ready := registry.Entry{ID: "i-1", Service: "tags", Address: "10.0.1.1:80", Zone: "x", Version: "v1", Capacity: 4, Seq: 3, Owner: ips[0]}
	draining, silent := ready, ready
	draining.ID, draining.State = "i-2", registry.Draining
	silent.ID, silent.TimedOut = "i-3", true
	return []registry.Entry{ready, draining, silent}
}

// batches are what a controller hands its disk: a snapshot with a configuration and a booking, entries after it, claims of
// every form, servers of every state.
func batches(t *testing.T) []*storage.Batch {
	t.Helper()
	no, hard := false, consensus.HardState{Term: 5, Vote: ips[1], Commit: 6}
	state := statemachine.New()
	for i, c := range []statemachine.Change{{Body: []byte(configOne)}, {Bookings: &reservation.Op{Call: "call-1", Puts: []reservation.Booking{booking}, Now: 2e9}}} {
		if _, err := state.Apply(consensus.Entry{Term: 4, Index: uint64(i + 2), Data: change(t, c)}); err != nil {
			t.Fatal(err)
		}
	}
	data, err := state.Save()
	if err != nil {
		t.Fatal(err)
	}
	return []*storage.Batch{
		{Identity: ips[0], BootstrapVoters: ips, Hard: &hard, Recovering: &no, Membership: &membership},
		{Snapshot: &consensus.Snapshot{Term: 4, Index: 3, Data: data, Membership: membership}},
		{Entries: []consensus.Entry{{Term: 4, Index: 4, Data: change(t, statemachine.Change{Base: 1, Patch: true, Body: []byte(changeTwo)})},
			{Term: 5, Index: 5, Membership: &membership}, {Term: 5, Index: 6, Data: change(t, statemachine.Change{Base: 2, Patch: true, Body: []byte(changeBad)})}}},
		{Claims: claims(), Servers: servers()},
	}
}

// writeDataDirectory writes the packed file of a controller: the file itself is mostly empty pages.
func writeDataDirectory(t *testing.T, packed string) {
	t.Helper()
	dir := t.TempDir()
	st, _, err := storage.Open(dir, time.Minute, 1<<20)
	if err == nil {
		err = st.Commit(batches(t))
	}
	if err == nil {
		err = st.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "exchange.db"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err = w.Write(text); err == nil {
		err = w.Close()
	}
	if err == nil {
		err = os.WriteFile(packed, out.Bytes(), 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func unpack(t *testing.T, packed, path string) {
	t.Helper()
	in, err := os.Open(packed)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	r, err := gzip.NewReader(in)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(r)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// A data directory that the earlier version wrote is read with everything in it.
func TestControllerDataDirectory(t *testing.T) {
	kept := filepath.Join("testdata", "exchange.db.gz")
	if *update {
		writeDataDirectory(t, kept)
	}
	dir := t.TempDir()
	unpack(t, kept, filepath.Join(dir, "exchange.db"))
	st, got, err := storage.Open(dir, time.Minute, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	wrote := batches(t)
	equal := func(what string, got, want any) {
		t.Helper()
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, not %+v", what, got, want)
		}
	}
	equal("new", got.New, false)
	equal("fault", got.Corrupt, nil)
	equal("identity", got.Identity, ips[0])
	equal("first voters", got.BootstrapVoters, ips)
	equal("membership", got.Membership, membership)
	equal("hard state", got.Hard, *wrote[0].Hard)
	equal("snapshot", got.Snapshot, *wrote[1].Snapshot)
	equal("log", got.Entries, wrote[2].Entries)
	equal("claims", got.Claims, claims())
	equal("servers", got.Servers, servers())
	equal("store of claims is empty", got.Recovering, false)

	state := statemachine.New()
	if err := state.Restore(got.Snapshot); err != nil {
		t.Fatal(err)
	}
	equal("version in the snapshot", config.Version(state.Version()).String(), "r1")
	equal("bookings", state.Bookings.Active, map[string]reservation.Booking{"fair": booking})
	equal("known call", state.Bookings.HasApplied("call-1"), true)
	var refused []uint64
	for _, e := range got.Entries {
		if _, err := state.Apply(e); err != nil {
			refused = append(refused, e.Index)
		}
	}
	equal("refused entries", refused, []uint64{6})
	equal("version after the log", config.Version(state.Version()).String(), "r2")
}

// A record of the planner that the earlier version wrote is read, and its chain holds.
func TestPlannerRecord(t *testing.T) {
	kept := filepath.Join("testdata", "record.db")
	key, at := []byte("key"), time.UnixMilli(1700000000123)
	want := []record.Entry{{Seq: 1, At: at, Cause: "join", Update: []byte("first")}, {Seq: 2, At: at.Add(time.Second), Cause: "gap", Gap: 3},
		{Seq: 3, At: at.Add(2 * time.Second), Cause: "look", Update: []byte("third")}}
	if *update {
		_ = os.Remove(kept) // there may be none
		r, err := record.Open(kept, key, false)
		if err == nil {
			err = r.Append(at, record.Retention{}, want...)
		}
		if err == nil {
			err = r.Close()
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	r, err := record.Open(kept, key, true)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var got []record.Entry
	if err := r.Each(func(e record.Entry) bool { got = append(got, e); return true }); err != nil {
		t.Fatal(err)
	}
	if len(got) != len(want) {
		t.Fatalf("%d entries, not %d", len(got), len(want))
	}
	for i := range want {
		if !got[i].At.Equal(want[i].At) || got[i].Seq != want[i].Seq || got[i].Cause != want[i].Cause || !bytes.Equal(got[i].Update, want[i].Update) || got[i].Gap != want[i].Gap {
			t.Errorf("entry %d: %+v, not %+v", i, got[i], want[i])
		}
	}
}
