package routing

import (
	"time"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

// Stepper is the part of a rules.Controller that is driven here.
type Stepper interface {
	Step(now float64, events []rules.Event) []rules.Action
}

// Peer is a connection at the planner's address, as far as routing uses it. How an order is written is the
// peer's affair, so that peers of another protocol can stand beside those of this one.
type Peer interface {
	ID() uint64 // larger for connections accepted later
	Assign(protocol.Assignment) error
	AnswerHeartbeat() error // answers a heartbeat
	DeferHeartbeat()        // its heartbeat will be answered later
	Close(reason error)
}

// Calls are the questions that routing puts to others. Each is answered by an event; none waits.
type Calls interface {
	Watch(call uint64, from int64) // answers: WatchBegun, Listed, CallFailed
	Fetch(call uint64)             // answers: Listed, CallFailed
	Cancel(call uint64)            // its answers are of no use any more
	SetDiscovery(discovery string) // the address of all calls to discovery from now on
	Probe(server rules.ServerID, address string, load bool)
}

// Event is something that routing is told.
type Event interface{ event() }

// The events.
type (
	// MessageReceived is a message of a peer.
	MessageReceived struct {
		Peer    Peer
		Message protocol.Message
	}
	// Disconnected says that a peer's connection has ended.
	Disconnected struct{ Peer Peer }
	// WatchStarted says that discovery has taken a watch on.
	WatchStarted struct{ Call uint64 }
	// ListReceived is a list, or changes of it.
	ListReceived struct {
		Call uint64
		List protocol.List
	}
	// CallFailed says that a call to discovery, or a watch, has come to its end.
	CallFailed struct {
		Call uint64
		Err  error
	}
	// DiscoveryMoved says that discovery has another address.
	DiscoveryMoved struct{ Discovery string }
	// ListUpdated is a list, or changes of it, from the host that follows discovery for several routers. Epochs count them.
	ListUpdated struct {
		List  protocol.List
		Epoch uint64
	}
	// ProxyHandedOver is a joined proxy whose stream another router had. Shut are the servers that it was told to shut out.
	ProxyHandedOver struct {
		Peer     Peer
		Attach   protocol.Attach
		Excluded []string
	}
	// ShareAllocated says what of the planner is this router's, where several share one.
	ShareAllocated struct {
		Part   rules.Part
		Number uint64 // of its share of the channel
	}
	// Probed is the end of a probe.
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
