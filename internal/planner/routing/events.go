package routing

import (
	"time"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

// Stepper is the part of rules.Controller that a Router uses. Times are in milliseconds.
type Stepper interface {
	Step(now float64, events []rules.Event) []rules.Action
}

// Peer is a connection to the planner's address. Each implementation encodes assignments for its own protocol, so that
// peers of several protocols can be connected at the same time.
type Peer interface {
	ID() uint64 // increases with the order in which connections were accepted
	Assign(protocol.Assignment) error
	AnswerHeartbeat() error
	DeferHeartbeat() // notes that the heartbeat is answered later
	Close(reason error)
}

// Calls sends requests to discovery and to servers. No method blocks; the results arrive as events.
type Calls interface {
	Watch(call uint64, from int64) // results: WatchStarted, ListReceived, CallFailed
	Fetch(call uint64)             // results: ListReceived, CallFailed
	Cancel(call uint64)            // its results are no longer needed
	SetDiscovery(discovery string) // sets the address of all later calls to discovery
	Probe(server rules.ServerID, address string, load bool)
}

// Event is an input of Router.Handle.
type Event interface{ event() }

// The events that a Router or a Follower handles.
type (
	// MessageReceived is a decoded message from a peer.
	MessageReceived struct {
		Peer    Peer
		Message protocol.Message
	}
	// Disconnected reports that a peer's connection has ended.
	Disconnected struct{ Peer Peer }
	// WatchStarted reports that discovery has accepted a watch.
	WatchStarted struct{ Call uint64 }
	// ListReceived is a complete list from discovery, or changes to it.
	ListReceived struct {
		Call uint64
		List protocol.List
	}
	// CallFailed reports that a call to discovery, or a watch, has ended.
	CallFailed struct {
		Call uint64
		Err  error
	}
	// DiscoveryMoved reports that discovery has another address.
	DiscoveryMoved struct{ Discovery string }
	// ListUpdated is a complete list, or changes to it, from the host that follows discovery for several routers. Epoch
	// numbers these updates.
	ListUpdated struct {
		List  protocol.List
		Epoch uint64
	}
	// ProxyHandedOver assigns to this router a joined proxy whose stream another router had. Excluded names the servers
	// that the proxy was told to exclude.
	ProxyHandedOver struct {
		Peer     Peer
		Attach   protocol.Attach
		Excluded []string
	}
	// ShareAllocated sets the router's share of the planner's capacity, where several routers share one planner.
	ShareAllocated struct {
		Part   rules.Part
		Number uint64 // identifies the share of the outgoing channel
	}
	// Probed is the result of a probe.
	Probed struct {
		Server  rules.ServerID
		OK      bool
		Refused bool
		Elapsed time.Duration
		Load    map[string]float64
	}
)

func (MessageReceived) event() {}
func (Disconnected) event()    {}
func (WatchStarted) event()    {}
func (ListReceived) event()    {}
func (CallFailed) event()      {}
func (DiscoveryMoved) event()  {}
func (Probed) event()          {}
func (ListUpdated) event()     {}
func (ProxyHandedOver) event() {}
func (ShareAllocated) event()  {}
