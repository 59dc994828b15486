package simhost

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"testing"

	"mulleinwood/internal/planner/wire"
	"mulleinwood/rules"
)

// recorder is a Stepper that keeps what it was given; it panics on a timer with token 13.
type recorder struct {
	turns [][]rules.Event
}

func (r *recorder) Step(_ float64, events []rules.Event) []rules.Action {
	r.turns = append(r.turns, events)
	for _, e := range events {
		if tick, ok := e.(rules.Tick); ok && tick.Token == 13 {
			var none []int
			_ = none[tick.Token]
		}
	}
	return []rules.Action{rules.Timer{Delay: 1, Token: uint32(len(r.turns))}}
}

func host() (*Host, *[]*recorder) {
	var all []*recorder
	return New(func(rules.Settings, uint64) Stepper {
		all = append(all, &recorder{})
		return all[len(all)-1]
	}), &all
}

func born(i uint16) wire.Record { return wire.Record{Instance: i, Start: &wire.Start{}} }
func tick(i uint16, token uint32) wire.Record {
	return wire.Record{Instance: i, Event: rules.Tick{Token: token}}
}

func answer(t *testing.T, h *Host, records ...wire.Record) []byte {
	t.Helper()
	frame, err := h.Respond(wire.Batch{Records: records})
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestInstancesShareNothing(t *testing.T) {
	h, all := host()
	answer(t, h, born(1), born(2), tick(1, 5), tick(2, 6), tick(1, 7))
	one, two := (*all)[0], (*all)[1]
	if len(one.turns) != 1 || len(one.turns[0]) != 2 || len(two.turns) != 1 || len(two.turns[0]) != 1 {
		t.Fatalf("turns %v and %v, want one each with the instance's own events", one.turns, two.turns)
	}
}

func TestStopAndStartInOneBatch(t *testing.T) {
	h, all := host()
	answer(t, h, born(1), tick(1, 1))
	answer(t, h, tick(1, 2), wire.Record{Instance: 1, Stop: true}, born(1), tick(1, 3))
	if len(*all) != 2 {
		t.Fatalf("%d instances were started, want 2", len(*all))
	}
	if turns := (*all)[1].turns; len(turns) != 1 || len(turns[0]) != 1 || turns[0][0] != (rules.Tick{Token: 3}) {
		t.Fatalf("the new instance saw %v, want only what came after its start", turns)
	}
	if got := len((*all)[0].turns); got != 1 {
		t.Fatalf("the stopped instance had %d turns, want 1", got)
	}
	answer(t, h, wire.Record{Instance: 1, Stop: true})
	if frame := answer(t, h, tick(1, 4)); !bytes.Equal(frame, make([]byte, 8)) {
		t.Fatalf("a stopped instance acted: %x", frame)
	}
}

func TestPanicBecomesTheFailureRecord(t *testing.T) {
	h, _ := host()
	frame := answer(t, h, born(1), tick(1, 13))
	if !bytes.Contains(frame, []byte("index out of range")) || frame[8+16] != 5 {
		t.Fatalf("reply %x holds no failure record with the panic's text", frame)
	}
}

func batch(now float64, records ...[]byte) []byte {
	out := binary.LittleEndian.AppendUint32(nil, uint32(48*len(records)))
	out = binary.LittleEndian.AppendUint64(out, math.Float64bits(now))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(records)))
	for _, r := range records {
		out = append(out, append(r, make([]byte, 48-len(r))...)...)
	}
	return out
}

func TestServeAnswersEveryFrameAndEndsCleanly(t *testing.T) {
	var out bytes.Buffer
	in := append(batch(1), batch(2, []byte{15, 1, 0}, []byte{3, 1, 0, 0, 0})...)
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.Len(); got != 16 {
		t.Fatalf("%d bytes of replies, want two empty ones", got)
	}
}

func TestServeNamesWhatIsWrong(t *testing.T) {
	good := batch(1, []byte{15, 1, 0})
	for _, tc := range []struct {
		in   []byte
		says string
	}{
		{good[:20], "read: frame body: 20 of 64 bytes"},
		{good[:3], "read: frame header: 3 of 16 bytes"},
		{batch(1, []byte{3, 1, 0, 0, 0}), "decode: record 0: no instance"},
		{batch(1, []byte{15, 1, 0}, []byte{77}), "decode: record 1: unknown event code 77"},
	} {
		err := Serve(bytes.NewReader(tc.in), io.Discard)
		if err == nil || !strings.Contains(err.Error(), tc.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line that says %q", err, tc.says)
		}
	}
}

// flushes counts what the writer got between reads: every reply goes out before the next frame is read.
type flushes struct {
	frames  [][]byte
	written int
	seen    []int
}

func (f *flushes) Write(p []byte) (int, error) { f.written += len(p); return len(p), nil }
func (f *flushes) Read(p []byte) (int, error) {
	f.seen = append(f.seen, f.written)
	if len(f.frames) == 0 {
		return 0, io.EOF
	}
	n := copy(p, f.frames[0])
	f.frames = f.frames[1:]
	return n, nil
}

func TestEveryReplyIsFlushed(t *testing.T) {
	f := &flushes{frames: [][]byte{batch(1), batch(2)}}
	if err := Serve(f, f); err != nil {
		t.Fatal(err)
	}
	if len(f.seen) != 3 || f.seen[1] != 8 || f.seen[2] != 16 {
		t.Fatalf("bytes written before each read: %v, want 0, 8, 16", f.seen)
	}
}
