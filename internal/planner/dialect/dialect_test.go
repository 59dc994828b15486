package dialect

import (
	"fmt"
	"testing"
)

// TestChangeOfProtocol covers the changes of servers between two probes. It guards against more than one change of protocol
// per probe, a second attempt at a server that doesn't respond, and a protocol cached for the wrong address.
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
	responder := func(p Protocol) func(Protocol) Result {
		return func(protocol Protocol) Result {
			if protocol == p {
				return Answered
			}
			return WrongProtocol
		}
	}
	silent := func(Protocol) Result { return NoAnswer }
	unknown := func(Protocol) Result { return WrongProtocol } // uses neither protocol
	for i, step := range []struct {
		address string
		server  func(Protocol) Result
		want    string
	}{
		{"a", responder(HTTP), "[http]"},
		{"a", responder(GRPC), "[http grpc]"},
		{"a", responder(GRPC), "[grpc]"},
		{"a", silent, "[grpc]"}, // it may be down; its protocol stays cached
		{"b", responder(HTTP), "[http]"},
		{"b", silent, "[http]"},
		{"a", unknown, "[grpc http]"},
		{"a", responder(GRPC), "[grpc]"},
		{"a", responder(HTTP), "[grpc http]"},
		{"a", responder(HTTP), "[http]"},
	} {
		if got := fmt.Sprint(probe(step.address, step.server)); got != step.want {
			t.Errorf("probe %d of %s: attempts by %s, want %s", i, step.address, got, step.want)
		}
	}
	for i := range 3 * maxAddresses {
		probe(fmt.Sprint(i), responder(GRPC))
	}
	if cache.Len() > maxAddresses {
		t.Errorf("%d addresses are cached", cache.Len())
	}
}
