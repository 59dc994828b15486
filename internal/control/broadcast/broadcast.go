// Package broadcast propagates changes of the server registry. It decides which updates a controller sends to which peers,
// and when a server's call is acknowledged. A Broadcaster is driven by events and does no I/O; its output accumulates until
// DrainOutput.
//
// An update is sent to all linked edges and controllers. A controller forwards an update of another controller to its own
// edges, and to the controllers that the sender has no link to. Draining or removal of a server is acknowledged once every
// peer, including the edges of other controllers, has confirmed that the update is in force, or after a timeout: a peer that
// is unreachable for that long is disconnected, and the acknowledgement doesn't cover it.
package broadcast

import (
	"maps"
	"slices"
	"time"

	"mulleinwood/internal/control/registry"
)

const (
	// edgeAckTimeout is the maximum wait before an update of another controller is acknowledged, in which the local edges
	// should acknowledge it.
	edgeAckTimeout = 300 * time.Millisecond
	// serverCallAckTimeout is the maximum wait for acknowledgements before a server's call is acknowledged. It is twice
	// edgeAckTimeout, because other controllers wait for their edges first.
	serverCallAckTimeout = 600 * time.Millisecond
)

// Message is sent to one peer. It contains an update or an acknowledgement.
type Message struct {
	To      string
	Entries []registry.Entry
	AckID   uint64 // the peer sends it back once the entries are in force; 0: no acknowledgement
	Acked   uint64 // AckID of the peer's update that is now in force here; 0: none
}

// Output is the accumulated output of a Broadcaster.
type Output struct {
	Messages   []Message
	AckedCalls []uint64         // ids of server calls that can be acknowledged now
	Updates    []registry.Entry // entries that changed here, for the weight tables and for storage
}

// Broadcaster propagates the registry updates of one controller. It isn't safe for concurrent use.
type Broadcaster struct {
	registry *registry.Registry
	peers    map[string]*linkedPeer
	pending  map[uint64]*pendingAck
	lastID   uint64
	// ackedStates holds the last acknowledged state of draining servers, by id.
	ackedStates map[string]registry.State
	output      Output
}

type linkedPeer struct {
	edge     bool
	linkedTo []string // names of the controllers that the peer has links to
}

// pendingAck is an acknowledgement that is delayed until an update is in force at its recipients.
type pendingAck struct {
	waitingFor map[string]bool // recipients that have not acknowledged the update
	deadline   time.Duration
	done       func() // called when all have acknowledged, or after the deadline
}

// New returns a broadcaster without peers that applies updates to the registry.
func New(servers *registry.Registry) *Broadcaster {
	return &Broadcaster{registry: servers, peers: map[string]*linkedPeer{}, pending: map[uint64]*pendingAck{},
		ackedStates: map[string]registry.State{}}
}

// DrainOutput returns the accumulated output and clears it.
func (b *Broadcaster) DrainOutput() Output {
	output := b.output
	b.output = Output{}
	return output
}

// AddPeer adds a peer with a unique name. A new link of a known peer replaces the former link. The acknowledgements that the
// former link owed are no longer waited for, since a new link starts with a snapshot.
func (b *Broadcaster) AddPeer(name string, edge bool) {
	b.RemovePeer(name)
	b.peers[name] = &linkedPeer{edge: edge}
}

// RemovePeer removes a peer. Its acknowledgements are no longer waited for.
func (b *Broadcaster) RemovePeer(name string) {
	if b.peers[name] == nil {
		return
	}
	delete(b.peers, name)
	for _, ack := range b.pending {
		delete(ack.waitingFor, name)
	}
	b.completePending()
}

// SetPeerLinks records the controllers that a peer is linked to.
func (b *Broadcaster) SetPeerLinks(name string, controllers []string) {
	if p := b.peers[name]; p != nil {
		p.linkedTo = controllers
	}
}

// HandleAck records a peer's acknowledgement of the update with this AckID.
func (b *Broadcaster) HandleAck(name string, id uint64) {
	if ack := b.pending[id]; ack != nil {
		delete(ack.waitingFor, name)
		b.completePending()
	}
}

// HandleUpdate applies entries received from a peer and forwards those that changed. If ackID is not 0, the peer is sent an
// acknowledgement once the changes are in force at their recipients, or after edgeAckTimeout.
func (b *Broadcaster) HandleUpdate(from string, entries []registry.Entry, ackID uint64, now time.Duration) {
	var updates []registry.Entry
	for _, e := range entries {
		if current, updated := b.registry.Apply(e, now); updated {
			updates = append(updates, current)
		}
	}
	if ackID == 0 {
		b.send(updates, from, 0)
		return
	}
	acknowledge := func() { b.output.Messages = append(b.output.Messages, Message{To: from, Acked: ackID}) }
	b.sendAndWait(updates, from, now+edgeAckTimeout, acknowledge)
}

// Publish sends updates that originate at this controller.
func (b *Broadcaster) Publish(updates []registry.Entry) { b.send(updates, "", 0) }

// HandleServerCall applies an entry reported by the server itself: a heartbeat, or the start of draining or removal.
// Output.AckedCalls contains the call once it can be acknowledged. First reports whether the server was unknown or its state
// has changed.
func (b *Broadcaster) HandleServerCall(e registry.Entry, call uint64, now time.Duration) (current registry.Entry, first bool) {
	old, known := b.registry.Get(e.ID)
	if e.State == registry.Removed && known {
		e.Seq = old.Seq // a DELETE has no sequence number
	}
	current, updated := b.registry.Apply(e, now)
	first = !known || current.State != old.State
	switch {
	case e.State == registry.Ready:
		if updated {
			b.send([]registry.Entry{current}, "", 0)
		}
		b.output.AckedCalls = append(b.output.AckedCalls, call)
	case known && old.State >= current.State && !updated && b.ackedStates[e.ID] >= current.State:
		b.output.AckedCalls = append(b.output.AckedCalls, call) // already acknowledged
	default:
		b.sendAndWait([]registry.Entry{current}, "", now+serverCallAckTimeout, func() { b.acknowledgeCall(current, call) })
	}
	return current, first
}

func (b *Broadcaster) acknowledgeCall(e registry.Entry, call uint64) {
	if e.State == registry.Removed {
		delete(b.ackedStates, e.ID) // a removed server makes no further calls
	} else {
		b.ackedStates[e.ID] = e.State
	}
	b.output.AckedCalls = append(b.output.AckedCalls, call)
}

// Tick completes pending acknowledgements whose deadline is over.
func (b *Broadcaster) Tick(now time.Duration) {
	for _, id := range b.pendingIDs() {
		if ack := b.pending[id]; now > ack.deadline {
			delete(b.pending, id)
			ack.done()
		}
	}
}

// send queues messages with the updates and returns their recipients; from is the peer they were received from, or empty.
func (b *Broadcaster) send(updates []registry.Entry, from string, ackID uint64) (to map[string]bool) {
	if len(updates) == 0 {
		return nil
	}
	b.output.Updates = append(b.output.Updates, updates...)
	to = b.recipients(from)
	for _, name := range slices.Sorted(maps.Keys(to)) {
		b.output.Messages = append(b.output.Messages, Message{To: name, Entries: updates, AckID: ackID})
	}
	return to
}

// recipients returns the peers that an update of a peer is forwarded to: all edges, and the controllers without a link to it.
func (b *Broadcaster) recipients(from string) map[string]bool {
	source := b.peers[from]
	names := map[string]bool{}
	for name, p := range b.peers {
		alreadyNotified := source != nil && !source.edge && slices.Contains(source.linkedTo, name)
		if name != from && (p.edge || !alreadyNotified) {
			names[name] = true
		}
	}
	return names
}

// sendAndWait queues messages with the updates, and calls done once all recipients have acknowledged them or the deadline is
// over.
func (b *Broadcaster) sendAndWait(updates []registry.Entry, from string, deadline time.Duration, done func()) {
	b.lastID++
	id := b.lastID
	b.pending[id] = &pendingAck{waitingFor: b.send(updates, from, id), deadline: deadline, done: done}
	b.completePending()
}

// completePending completes the pending acknowledgements that wait for no recipient.
func (b *Broadcaster) completePending() {
	for _, id := range b.pendingIDs() {
		if ack := b.pending[id]; ack != nil && len(ack.waitingFor) == 0 {
			delete(b.pending, id)
			ack.done()
		}
	}
}

// pendingIDs returns the ids of pending acknowledgements, oldest first, which makes the order of their completion
// deterministic.
func (b *Broadcaster) pendingIDs() []uint64 { return slices.Sorted(maps.Keys(b.pending)) }
