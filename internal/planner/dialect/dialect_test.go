package dialect

import (
	"fmt"
	"testing"
)

// TestChangeOfProtocol goes through what a server may do between two questions. It guards against more than one change a
// question, against a silent server that is asked twice, and against a protocol remembered for another address.
func TestChangeOfProtocol(t *testing.T) {
	var cache ProtocolCache
	probe := func(address string, server func(Protocol) Result) (tried []Protocol) {
		protocol := cache.Preferred(address)
		for attempt := 1; ; attempt++ {
			tried = append(tried, protocol)
			other, again := cache.Next(address, protocol, attempt, server(protocol))
			if !again {
				return tried
			}
			protocol = other
		}
	}
	speaks := func(p Protocol) func(Protocol) Result {
		return func(protocol Protocol) Result {
			if protocol == p {
				return Answered
			}
			return WrongProtocol
		}
	}
	silent := func(Protocol) Result { return NoAnswer }
	unknown := func(Protocol) Result { return WrongProtocol } // speaks neither
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
		{"a", unknown, "[grpc http]"},
		{"a", speaks(GRPC), "[grpc]"},
		{"a", speaks(HTTP), "[grpc http]"},
		{"a", speaks(HTTP), "[http]"},
	} {
		if got := fmt.Sprint(probe(step.address, step.server)); got != step.want {
			t.Errorf("question %d to %s: asked by %s, want %s", i, step.address, got, step.want)
		}
	}
	for i := range 3 * maxAddresses {
		probe(fmt.Sprint(i), speaks(GRPC))
	}
	if cache.Len() > maxAddresses {
		t.Errorf("%d addresses are remembered", cache.Len())
	}
}
