package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// settingsText is what the tests of package settings read too.
var settingsText = func() string {
	text, err := os.ReadFile("../settings/testdata/settings.json")
	if err != nil {
		panic(err)
	}
	return string(text)
}()

func unhex(t testing.TB, parts ...string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(strings.Join(parts, ""), " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func zeros(n int) string { return strings.Repeat("00", n) }

// frame builds a batch frame of records and a tail.
func frame(now float64, tail []byte, records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, r...)
	}
	body = append(body, tail...)
	out := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(now))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	return append(out, body...)
}

// event builds one event record: its code and fields as a little-endian sequence, padded to its size.
func event(code byte, values ...any) []byte {
	var b bytes.Buffer
	b.WriteByte(code)
	for _, v := range values {
		if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return append(b.Bytes(), make([]byte, eventSize-b.Len())...)
}

func row(weight float32, kind uint16, zone, state byte, started float64, cell uint16, id uint32) []byte {
	var b bytes.Buffer
	for _, v := range []any{weight, kind, zone, state, started, cell, id} {
		if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func TestEmptyBatchOfTheWirePage(t *testing.T) {
	in := unhex(t, "00000000", "00000000206ec040", "00000000")
	body, err := ReadFrame(bytes.NewReader(in))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 8412.25 || len(b.Records) != 0 {
		t.Fatalf("batch %+v, want an empty one at 8412.25", b)
	}
	var r Reply
	if got, want := r.Frame(), unhex(t, "00000000", "00000000"); !bytes.Equal(got, want) {
		t.Fatalf("empty reply %x, want %x", got, want)
	}
}

func TestBatchOfTheWirePage(t *testing.T) {
	in := unhex(t, "f0000000", "00000000206ec040", "05000000",
		"0f0300", zeros(45),
		"0a 00 0e000000 0000000000204840 01000000 0000000000408f40 074a1203 03 52b81e3f 0000e040 00006841 00000000 00",
		"03 4d000000", zeros(43),
		"0f 0500", zeros(45),
		"08 2900", zeros(45))
	b, err := Decode(in)
	if err != nil {
		t.Fatal(err)
	}
	want := []Record{
		{Instance: 3, Event: rules.Heard{Zone: 0, Attempts: 14, Latency: 48.25, Failed: 1, Period: 1000, Server: 0x03124a07,
			Load: []float64{float64(float32(0.62)), 7, 14.5}}},
		{Instance: 3, Event: rules.Tick{Token: 77}},
		{Instance: 5, Event: rules.Left{Proxy: 41}},
	}
	if !reflect.DeepEqual(b.Records, want) {
		t.Fatalf("records %+v, want %+v", b.Records, want)
	}
}

func TestReplyOfTheWirePage(t *testing.T) {
	var r Reply
	r.SelectInstance(3)
	for _, a := range []rules.Action{rules.SetWeight{Table: 117, Server: 0x2c9011f2, Weight: 0.5},
		rules.Timer{Delay: 500, Token: 77}} {
		if err := r.Add(a); err != nil {
			t.Fatal(err)
		}
	}
	r.SelectInstance(5)
	if err := r.Add(rules.Log{Text: "two servers known"}); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, "61000000", "05000000", "0e 0300", zeros(13),
		"08 7500 f211902c 0000003f", zeros(5),
		"01 0000000000407f40 4d000000", zeros(3),
		"0e 0500", zeros(13),
		"04 00000000 11000000", zeros(7),
		"74776f2073657276657273206b6e6f776e")
	if got := r.Frame(); !bytes.Equal(got, want) {
		t.Fatalf("reply\n%x, want\n%x", got, want)
	}
}

func TestActionExamplesOfTheWirePage(t *testing.T) {
	for _, tc := range []struct {
		action rules.Action
		want   string
	}{
		{rules.Probe{Server: 0x2c9011f2}, "02 f211902c" + zeros(11)},
		{rules.Watch{}, "06 01" + zeros(14)},
		{rules.Fetch{}, "07" + zeros(15)},
		{rules.Bind{Proxy: 41, Table: 117}, "0b 2900 7500 0000" + zeros(9)},
		{rules.Withdraw{Server: 0x2c9011f2, Excluded: true}, "0a f211902c 01" + zeros(10)},
		{rules.Withdraw{Server: 0x2c9011f2}, "0a f211902c 00" + zeros(10)},
		{rules.Admit{Table: 117, Mask: 2, Level: 0.75, Retry: rules.RetryIfNotRun}, "0c 7500 0200 0000403f 01" + zeros(6)},
		{rules.Mark{Token: 12}, "0d 00 0c000000" + zeros(10)},
		{rules.Timer{Delay: 500, Token: 77}, "01 0000000000407f40 4d000000" + zeros(3)},
		{rules.SetWeight{Table: 117, Server: 0x2c9011f2, Weight: 0.5}, "08 7500 f211902c 0000003f" + zeros(5)},
	} {
		var r Reply
		if err := r.Add(tc.action); err != nil {
			t.Fatal(err)
		}
		if got, want := r.Frame()[8:], unhex(t, tc.want); !bytes.Equal(got, want) {
			t.Errorf("%T: %x, want %x", tc.action, got, want)
		}
	}
	var r Reply
	r.AddFailure("index out of range")
	want := unhex(t, "05 00000000 12000000", zeros(7), hex.EncodeToString([]byte("index out of range")))
	if got := r.Frame()[8:]; !bytes.Equal(got, want) {
		t.Errorf("failure record %x, want %x", got, want)
	}
	if err := r.Add(nil); err == nil {
		t.Error("an unknown action was encoded")
	}
}

func TestEveryEventRecord(t *testing.T) {
	rows := append(row(1, 0, 0, 1, 0, 0, 0x03124a07), row(1.5, 2, 1, 2, 5332, 9, 0x2c9011f2)...)
	rows = append(rows, row(0, 0, 0, 0, 0, 0, 7)...)
	tail := append([]byte(settingsText), rows...)
	n := uint32(len(settingsText))
	records := [][]byte{
		event(evSwitchTo, uint16(3)),
		event(evBorn, uint64(99), uint32(0), n),
		event(evEndpoints, byte(0), uint32(41), n, uint32(3)),
		event(evEndpoints, byte(3), uint32(41), uint32(0), uint32(0)),
		event(evTickDue, uint32(77)),
		event(evEcho, uint32(8), uint16(100), 22.2, byte(2), float32(0.5), float32(7)),
		event(evEcho, uint32(8), uint16(302), 1.0),
		event(evEcho, uint32(8), uint16(303), 250.0),
		event(evPeerData, uint32(2), uint32(0), uint32(4)),
		event(evHalt),
		event(evStreamUp, uint16(41), byte(1), float32(6.5), byte(1)),
		event(evStreamDown, uint16(41)),
		event(evInForce, uint16(12), uint32(41), 404.5),
		event(evRoundup, byte(1), uint32(14), 48.25, uint32(1), 1000.0, uint32(8), byte(0)),
		event(evIngress, uint16(41), uint16(2), uint32(9), uint32(1), 1000.0),
		event(evPressure, uint32(23), uint16(0), uint16(117), 1000.0, uint32(2)),
		event(evAssignedToMe, byte(1), uint16(117)),
		event(evInStore, uint16(117), uint32(8), float32(1)),
	}
	b, err := Decode(frame(8412.25, tail, records...))
	if err != nil {
		t.Fatal(err)
	}
	set, err := settings.Parse([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	list := rules.List{Kind: rules.ListChanges, Servers: []rules.Server{
		{ID: 0x03124a07, Weight: 1, State: rules.Ready},
		{ID: 0x2c9011f2, Weight: 1.5, Kind: 2, Zone: 1, State: rules.Draining, StartedAt: 5332, Cell: 9},
		{ID: 7, State: rules.Removed}}}
	want := []Record{
		{Instance: 3, Start: &Start{Seed: 99, Settings: set.Rules}},
		{Instance: 3, Event: list},
		{Instance: 3, Event: rules.List{Kind: rules.ListFailed}},
		{Instance: 3, Event: rules.Tick{Token: 77}},
		{Instance: 3, Event: rules.Probed{Server: 8, OK: true, Elapsed: 22.2, Load: []float64{0.5, 7}}},
		{Instance: 3, Event: rules.Probed{Server: 8, Refused: true, Elapsed: 1}},
		{Instance: 3, Event: rules.Probed{Server: 8, Elapsed: 250}},
		{Instance: 3},
		{Instance: 3, Stop: true},
		{Instance: 3, Event: rules.Joined{Proxy: 41, Zone: 1, Rate: 6.5, Fresh: true}},
		{Instance: 3, Event: rules.Left{Proxy: 41}},
		{Instance: 3, Event: rules.Ack{Proxy: 12, Token: 41, Elapsed: 404.5}},
		{Instance: 3, Event: rules.Heard{Zone: 1, Attempts: 14, Latency: 48.25, Failed: 1, Period: 1000, Server: 8}},
		{Instance: 3, Event: rules.Demand{Proxy: 41, Class: 2, Requests: 9, Unanswered: 1, Period: 1000}},
		{Instance: 3}, {Instance: 3}, {Instance: 3},
	}
	if !reflect.DeepEqual(b.Records, want) {
		for i := range want {
			if !reflect.DeepEqual(b.Records[i], want[i]) {
				t.Errorf("record %d: %+v, want %+v", i, b.Records[i], want[i])
			}
		}
		t.FailNow()
	}
}

func TestBadBatches(t *testing.T) {
	good := frame(5, nil, event(evSwitchTo, uint16(1)), event(evTickDue, uint32(1)))
	count := append([]byte(nil), good...)
	count[12] = 200
	length := append([]byte(nil), good...)
	length[0]++
	clock := append([]byte(nil), good...)
	binary.LittleEndian.PutUint64(clock[4:], math.Float64bits(math.NaN()))
	sel := event(evSwitchTo, uint16(1))
	for name, tc := range map[string]struct {
		in   []byte
		says string
	}{
		"short":         {good[:9], "no header"},
		"count":         {count, "200 records"},
		"length":        {length, "after its header"},
		"clock":         {clock, "clock"},
		"no instance":   {frame(5, nil, event(evTickDue, uint32(1))), "record 0: no instance"},
		"unknown code":  {frame(5, nil, sel, event(99)), "record 1: unknown event code 99"},
		"list kind":     {frame(5, nil, sel, event(evEndpoints, byte(9))), "list kind 9"},
		"tail":          {frame(5, nil, sel, event(evEndpoints, byte(0), uint32(1), uint32(4), uint32(1))), "tail"},
		"tail overflow": {frame(5, nil, sel, event(evEndpoints, byte(0), uint32(1), ^uint32(0), ^uint32(0))), "tail"},
		"peer tail":     {frame(5, nil, sel, event(evPeerData, uint32(1), uint32(0), uint32(9))), "tail"},
		"born tail":     {frame(5, nil, sel, event(evBorn, uint64(1), uint32(0), uint32(9))), "tail"},
		"settings":      {frame(5, []byte("{]"), sel, event(evBorn, uint64(1), uint32(0), uint32(2))), "settings"},
		"readiness": {frame(5, row(1, 0, 0, 7, 0, 0, 1), sel, event(evEndpoints, byte(0), uint32(1), uint32(0), uint32(1))),
			"readiness 7"},
		"load": {frame(5, nil, sel, event(evEcho, uint32(1), uint16(100), 1.0, byte(9))), "load report with 9"},
	} {
		if _, err := Decode(tc.in); err == nil || !strings.Contains(err.Error(), tc.says) {
			t.Errorf("%s: error %v, want one that says %q", name, err, tc.says)
		}
	}
}

func TestReadFrame(t *testing.T) {
	good := frame(5, nil, event(evSwitchTo, uint16(1)), event(evTickDue, uint32(1)))
	big := frame(5, make([]byte, 200<<10))
	r := bytes.NewReader(append(append([]byte(nil), good...), big...))
	for _, want := range [][]byte{good, big} {
		if got, err := ReadFrame(r); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("frame of %d bytes, error %v; want %d bytes", len(got), err, len(want))
		}
	}
	if _, err := ReadFrame(r); err != io.EOF {
		t.Fatalf("error %v at the end, want io.EOF", err)
	}
	for _, cut := range []int{1, 4, 15, 16, 40, len(good) - 1} {
		if _, err := ReadFrame(bytes.NewReader(good[:cut])); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut at %d: error %v, want an unexpected end", cut, err)
		}
	}
	huge := append([]byte(nil), good...)
	binary.LittleEndian.PutUint32(huge, 1<<31)
	if _, err := ReadFrame(bytes.NewReader(huge)); err == nil || !strings.Contains(err.Error(), "limit") {
		t.Errorf("error %v on a huge length", err)
	}
	// A stated length allocates nothing by itself.
	binary.LittleEndian.PutUint32(huge, 1<<30)
	if n := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			if _, err := ReadFrame(bytes.NewReader(huge)); err == nil {
				b.Fatal("a cut frame was read")
			}
		}
	}).AllocedBytesPerOp(); n > 1<<20 {
		t.Errorf("%d bytes allocated for a cut frame of stated 1 GiB", n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(frame(5, nil))
	f.Add(frame(5, nil, event(evSwitchTo, uint16(1)), event(evTickDue, uint32(1))))
	f.Add(frame(5, row(1, 0, 0, 1, 0, 0, 1), event(evSwitchTo, uint16(1)),
		event(evEndpoints, byte(1), uint32(1), uint32(0), uint32(1))))
	f.Add(frame(5, []byte(settingsText), event(evSwitchTo, uint16(1)),
		event(evBorn, uint64(1), uint32(0), uint32(len(settingsText)))))
	f.Add(frame(5, nil, event(evSwitchTo, uint16(1)), event(evEcho, uint32(1), uint16(100), 1.0, byte(4))))
	f.Fuzz(func(t *testing.T, in []byte) {
		b, err := Decode(in)
		if err != nil {
			return
		}
		if len(b.Records)*eventSize > len(in) {
			t.Fatalf("%d records from %d bytes", len(b.Records), len(in))
		}
		for i, r := range b.Records {
			if r.Start != nil && (r.Stop || r.Event != nil) || r.Stop && r.Event != nil {
				t.Fatalf("record %d says several things: %+v", i, r)
			}
		}
	})
}
