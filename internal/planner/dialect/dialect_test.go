package dialect

import (
	"fmt"
	"testing"
)

// TestChangeOfProtocol goes through what a server may do between two questions. It guards against more than one change a
// question, against a silent server that is asked twice, and against a protocol remembered for another address.
func TestChangeOfProtocol(t *testing.T) {
	var b ProtocolCache
	question := func(address string, server func(Protocol) Result) (asked []Protocol) {
		by := b.Preferred(address)
		for attempt := 1; ; attempt++ {
			asked = append(asked, by)
			other, again := b.Next(address, by, attempt, server(by))
			if !again {
				return asked
			}
			by = other
		}
	}
	speaks := func(p Protocol) func(Protocol) Result {
		return func(by Protocol) Result {
			if by == p {
				return Answered
			}
			return WrongProtocol
		}
	}
	silent := func(Protocol) Result { return NoAnswer }
	odd := func(Protocol) Result { return WrongProtocol } // speaks neither
	for i, step := range []struct {
		address string
		server  func(Protocol) Result
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
	if b.Len() > maxKept {
		t.Errorf("%d addresses are remembered", b.Len())
	}
}
