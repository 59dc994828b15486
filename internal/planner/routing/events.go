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
	Order(protocol.Orders) error
	Beat() error // answers a heartbeat
	Await()      // its heartbeat will be answered later
	Close(reason error)
}

// Calls are the questions that routing puts to others. Each is answered by an event; none waits.
type Calls interface {
	Watch(call uint64, from int64) // answers: WatchBegun, Listed, CallFailed
	Fetch(call uint64)             // answers: Listed, CallFailed
	Cancel(call uint64)            // its answers are of no use any more
	Move(discovery string)         // the address of all calls to discovery from now on
	Probe(server rules.ServerID, address string, load bool)
}

// Event is something that routing is told.
type Event interface{ event() }

// The events.
type (
	// Reported is a message of a peer.
	Reported struct {
		Peer    Peer
		Message protocol.Message
	}
	// Ended says that a peer's connection has ended.
	Ended struct{ Peer Peer }
	// WatchStarted says that discovery has taken a watch on.
	WatchStarted struct{ Call uint64 }
	// Listed is a list, or changes of it.
	Listed struct {
		Call uint64
		List protocol.List
	}
	// CallFailed says that a call to discovery, or a watch, has come to its end.
	CallFailed struct {
		Call uint64
		Err  error
	}
	// Moved says that discovery has another address.
	Moved struct{ Discovery string }
	// Notified is a list, or changes of it, from the host that follows discovery for several routers. Epochs count them.
	Notified struct {
		List  protocol.List
		Epoch uint64
	}
	// Handed is a joined proxy whose stream another router had. Shut are the servers that it was told to shut out.
	Handed struct {
		Peer   Peer
		Attach protocol.Attach
		Shut   []string
	}
	// Allocated says what of the planner is this router's, where several share one.
	Allocated struct {
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

func (Reported) event()     {}
func (Ended) event()        {}
func (WatchStarted) event() {}
func (Listed) event()       {}
func (CallFailed) event()   {}
func (Moved) event()        {}
func (Probed) event()       {}
func (Notified) event()     {}
func (Handed) event()       {}
func (Allocated) event()    {}
