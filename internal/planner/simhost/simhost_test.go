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

// recorder is a Stepper that records its events. It panics on a tick with token 13.
type recorder struct {
	steps [][]rules.Event
}

func (r *recorder) Step(_ float64, events []rules.Event) []rules.Action {
	r.steps = append(r.steps, events)
	for _, e := range events {
		if tick, ok := e.(rules.Tick); ok && tick.Token == 13 {
			var none []int
			_ = none[tick.Token]
		}
	}
	return []rules.Action{rules.Timer{Delay: 1, Token: uint32(len(r.steps))}}
}

func newTestHost() (*Host, *[]*recorder) {
	var all []*recorder
	return New(func(rules.Settings, uint64) Stepper {
		all = append(all, &recorder{})
		return all[len(all)-1]
	}), &all
}

func startRecord(i uint16) wire.Record { return wire.Record{Instance: i, Start: &wire.Start{}} }
func tickRecord(i uint16, token uint32) wire.Record {
	return wire.Record{Instance: i, Event: rules.Tick{Token: token}}
}

func respond(t *testing.T, h *Host, records ...wire.Record) []byte {
	t.Helper()
	frame, err := h.Respond(wire.Batch{Records: records})
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestInstancesShareNothing(t *testing.T) {
	h, all := newTestHost()
	respond(t, h, startRecord(1), startRecord(2), tickRecord(1, 5), tickRecord(2, 6), tickRecord(1, 7))
	one, two := (*all)[0], (*all)[1]
	if len(one.steps) != 1 || len(one.steps[0]) != 2 || len(two.steps) != 1 || len(two.steps[0]) != 1 {
		t.Fatalf("steps %v and %v, want one each with the instance's own events", one.steps, two.steps)
	}
}

func TestStopAndStartInOneBatch(t *testing.T) {
	h, all := newTestHost()
	respond(t, h, startRecord(1), tickRecord(1, 1))
	respond(t, h, tickRecord(1, 2), wire.Record{Instance: 1, Stop: true}, startRecord(1), tickRecord(1, 3))
	if len(*all) != 2 {
		t.Fatalf("%d instances were started, want 2", len(*all))
	}
	if steps := (*all)[1].steps; len(steps) != 1 || len(steps[0]) != 1 || steps[0][0] != (rules.Tick{Token: 3}) {
		t.Fatalf("the new instance got %v, want only the events after its start", steps)
	}
	if got := len((*all)[0].steps); got != 1 {
		t.Fatalf("the stopped instance had %d steps, want 1", got)
	}
	respond(t, h, wire.Record{Instance: 1, Stop: true})
	if frame := respond(t, h, tickRecord(1, 4)); !bytes.Equal(frame, make([]byte, 8)) {
		t.Fatalf("a stopped instance returned actions: %x", frame)
	}
}

func TestPanicBecomesTheFailureRecord(t *testing.T) {
	h, _ := newTestHost()
	frame := respond(t, h, startRecord(1), tickRecord(1, 13))
	if !bytes.Contains(frame, []byte("index out of range")) || frame[8+16] != 5 {
		t.Fatalf("reply %x contains no failure record with the panic's text", frame)
	}
}

func encodeBatch(now float64, records ...[]byte) []byte {
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
	in := append(encodeBatch(1), encodeBatch(2, []byte{15, 1, 0}, []byte{3, 1, 0, 0, 0})...)
	if err := Serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.Len(); got != 16 {
		t.Fatalf("%d bytes of replies, want two empty ones", got)
	}
}

func TestServeReportsInvalidInput(t *testing.T) {
	good := encodeBatch(1, []byte{15, 1, 0})
	for _, tc := range []struct {
		in   []byte
		want string
	}{
		{good[:20], "read: frame body: 20 of 64 bytes"},
		{good[:3], "read: frame header: 3 of 16 bytes"},
		{encodeBatch(1, []byte{3, 1, 0, 0, 0}), "decode: record 0: no instance"},
		{encodeBatch(1, []byte{15, 1, 0}, []byte{77}), "decode: record 1: unknown event code 77"},
	} {
		err := Serve(bytes.NewReader(tc.in), io.Discard)
		if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want one line that contains %q", err, tc.want)
		}
	}
}

// flushChecker records the number of bytes written before each read, to check that every reply is flushed before the next
// frame is read.
type flushChecker struct {
	frames        [][]byte
	written       int
	writtenAtRead []int
}

func (f *flushChecker) Write(p []byte) (int, error) { f.written += len(p); return len(p), nil }
func (f *flushChecker) Read(p []byte) (int, error) {
	f.writtenAtRead = append(f.writtenAtRead, f.written)
	if len(f.frames) == 0 {
		return 0, io.EOF
	}
	n := copy(p, f.frames[0])
	f.frames = f.frames[1:]
	return n, nil
}

func TestEveryReplyIsFlushed(t *testing.T) {
	f := &flushChecker{frames: [][]byte{encodeBatch(1), encodeBatch(2)}}
	if err := Serve(f, f); err != nil {
		t.Fatal(err)
	}
	if len(f.writtenAtRead) != 3 || f.writtenAtRead[1] != 8 || f.writtenAtRead[2] != 16 {
		t.Fatalf("bytes written before each read: %v, want 0, 8, 16", f.writtenAtRead)
	}
}
