// Package dialect selects the protocol by which a server is probed for its health and load. A server may change its protocol
// between two probes. The package does no I/O and reads no clock: it is given the result of each attempt.
package dialect

// Protocol is a protocol for probes.
type Protocol int

// The protocols.
const (
	HTTP Protocol = iota // HTTP/1.1: GET /health, GET /status/load
	GRPC                 // grpc.health.v1 and ORCA
)

// String implements fmt.Stringer.
func (p Protocol) String() string {
	if p == GRPC {
		return "grpc"
	}
	return "http"
}

// Result is the result of an attempt, as far as it concerns the protocol.
type Result int

// The results.
const (
	Answered      Result = iota // the server responded in the protocol, with any status
	WrongProtocol               // the response was of another protocol
	NoAnswer                    // no response: connection refused or reset, or timeout
)

// maxAddresses limits the number of cached addresses.
const maxAddresses = 4096

// ProtocolCache caches by address the protocol that a server last responded in. An address that isn't cached is probed by HTTP
// first. The zero value is an empty cache.
type ProtocolCache struct{ protocols map[string]Protocol }

// Preferred returns the protocol of the first attempt.
func (c *ProtocolCache) Preferred(address string) Protocol { return c.protocols[address] }

// Next records the result of an attempt and reports whether to retry the probe, at most once, by the other protocol. A server
// that gave no response isn't probed by the other protocol: that would double the connections to a server that is down, and
// would leave a slow server no time to be found healthy.
func (c *ProtocolCache) Next(address string, tried Protocol, attempt int, v Result) (other Protocol, again bool) {
	switch {
	case v == Answered:
		c.store(address, tried)
	case v == WrongProtocol && attempt == 1:
		return HTTP + GRPC - tried, true
	}
	return tried, false
}

func (c *ProtocolCache) store(address string, p Protocol) {
	if p == HTTP {
		delete(c.protocols, address) // HTTP is the default
		return
	}
	if c.protocols == nil || len(c.protocols) >= maxAddresses {
		c.protocols = map[string]Protocol{}
	}
	c.protocols[address] = p
}

// Len returns the number of cached addresses, all of servers that use gRPC.
func (c *ProtocolCache) Len() int { return len(c.protocols) }
