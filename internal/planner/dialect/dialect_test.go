package dialect

import (
	"fmt"
	"testing"
)

// TestChangeOfProtocol goes through what a server may do between two questions. It guards against more than one change a
// question, against a silent server that is asked twice, and against a protocol remembered for another address.
func TestChangeOfProtocol(t *testing.T) {
	var b ProtocolCache
	question := func(address string, server func(Protocol) Verdict) (asked []Protocol) {
		by := b.Begin(address)
		for attempt := 1; ; attempt++ {
			asked = append(asked, by)
			other, again := b.After(address, by, attempt, server(by))
			if !again {
				return asked
			}
			by = other
		}
	}
	speaks := func(p Protocol) func(Protocol) Verdict {
		return func(by Protocol) Verdict {
			if by == p {
				return Spoke
			}
			return Foreign
		}
	}
	silent := func(Protocol) Verdict { return Nothing }
	odd := func(Protocol) Verdict { return Foreign } // speaks neither
	for i, step := range []struct {
		address string
		server  func(Protocol) Verdict
		want    string
	}{
		{"a", speaks(HTTP), "[http]"},
		{"a", speaks(GRPC), "[http grpc]"},
		{"a", speaks(GRPC), "[grpc]"},
		{"a", silent, "[grpc]"}, // it may be down, and is remembered
		{"b", speaks(HTTP), "[http]"},
		{"b", silent, "[http]"},
		{"a", odd, "[grpc http]"},
		{"a", speaks(GRPC), "[grpc]"},
		{"a", speaks(HTTP), "[grpc http]"},
		{"a", speaks(HTTP), "[http]"},
	} {
		if got := fmt.Sprint(question(step.address, step.server)); got != step.want {
			t.Errorf("question %d to %s: asked by %s, want %s", i, step.address, got, step.want)
		}
	}
	for i := range 3 * maxKept {
		question(fmt.Sprint(i), speaks(GRPC))
	}
	if b.Known() > maxKept {
		t.Errorf("%d addresses are remembered", b.Known())
	}
}
