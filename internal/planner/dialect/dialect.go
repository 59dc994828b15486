// Package dialect decides by which protocol a server is asked for its health and load. Servers may change theirs between
// one question and the next. It is a value that is told how asking went and knows no socket and no clock.
package dialect

// Protocol is a way to ask.
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

// Result is what an attempt says about the protocol.
type Result int

// The verdicts.
const (
	Answered      Result = iota // the server answered in the protocol, whatever it said
	WrongProtocol               // what came was of another protocol
	NoAnswer                    // nothing came that tells: refused, reset, silent
)

// maxAddresses bounds the addresses that are remembered.
const maxAddresses = 4096

// ProtocolCache remembers by address what a server spoke last. An address that is new, or taken by another server, is asked by
// HTTP first.
type ProtocolCache struct{ protocols map[string]Protocol }

// Preferred is the protocol of the first attempt.
func (c *ProtocolCache) Preferred(address string) Protocol { return c.protocols[address] }

// Next says what to do after an attempt: try the other protocol, which happens once a question at most, or be content. A
// server that nothing came from is not tried by the other: guards against twice the connections to one that is down, and
// against a sick server that is asked until it has no time left to be found well.
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
		delete(c.protocols, address) // as one not met
		return
	}
	if c.protocols == nil || len(c.protocols) >= maxAddresses {
		c.protocols = map[string]Protocol{}
	}
	c.protocols[address] = p
}

// Len is how many addresses are remembered to speak gRPC.
func (c *ProtocolCache) Len() int { return len(c.protocols) }
