// Package broadcast spreads what changes of servers: it decides which peers a controller tells what, and when a server's
// call is acknowledged. A Broadcaster is a value fed with events; what has to be sent and acknowledged gathers until
// TakeOutput.
//
// An update goes to all linked edges and controllers. A controller passes on what it heard from another one to its edges,
// and to controllers that the other one has no link to. That a server drains or is gone is acknowledged once every peer has
// said that the update is in force there, edges behind other controllers included, or after a time-out: a peer that is
// unreachable for that long is not in touch, and no acknowledgement binds it.
package broadcast

import (
	"maps"
	"slices"
	"time"

	"mulleinwood/internal/control/registry"
)

const (
	// edgesTimeout is how long acknowledgements are waited for before another controller is answered: its edges' time.
	edgesTimeout = 300 * time.Millisecond
	// fleetTimeout is how long they are waited for before a server is answered. It is twice as long, since other
	// controllers wait for their edges first.
	fleetTimeout = 600 * time.Millisecond
)

// Message is what one peer is sent: an update, or an acknowledgement.
type Message struct {
	To      string
	Entries []registry.Entry
	AckID   uint64 // to be sent back once the entries are in force; 0: no acknowledgement is wanted
	Acked   uint64 // the AckID of an update that is in force here; 0: none
}

// Output is what has gathered.
type Output struct {
	Messages   []Message
	AckedCalls []uint64         // calls of servers that are acknowledged now
	Updates    []registry.Entry // what changed here, for the weight tables and the disk
}

// Broadcaster is one controller's part.
type Broadcaster struct {
	registry *registry.Registry
	peers    map[string]*linkedPeer
	pending  map[uint64]*pendingAck
	lastID   uint64
	// ackedStates holds, for servers that drain, the state that was acknowledged here.
	ackedStates map[string]registry.State
	output      Output
}

type linkedPeer struct {
	edge     bool
	linkedTo []string // names of controllers that it has links to
}

// pendingAck waits until others have an update in force.
type pendingAck struct {
	waitingFor map[string]bool
	deadline   time.Duration
	done       func()
}

// New makes a broadcaster over a registry, which it changes.
func New(servers *registry.Registry) *Broadcaster {
	return &Broadcaster{registry: servers, peers: map[string]*linkedPeer{}, pending: map[uint64]*pendingAck{},
		ackedStates: map[string]registry.State{}}
}

// DrainOutput hands out what has gathered.
func (b *Broadcaster) DrainOutput() Output {
	output := b.output
	b.output = Output{}
	return output
}

// AddPeer adds a peer by a name that no other has. A new link of one that is there takes the place of the former, whose
// acknowledgements come with the snapshot that a new link begins with.
func (b *Broadcaster) AddPeer(name string, edge bool) {
	b.RemovePeer(name)
	b.peers[name] = &linkedPeer{edge: edge}
}

// RemovePeer drops a peer: its acknowledgements are not waited for any more.
func (b *Broadcaster) RemovePeer(name string) {
	if b.peers[name] == nil {
		return
	}
	delete(b.peers, name)
	for _, ack := range b.pending {
		delete(ack.waitingFor, name)
	}
	b.completeAcked()
}

// SetPeerLinks notes the controllers that a peer is linked to.
func (b *Broadcaster) SetPeerLinks(name string, controllers []string) {
	if p := b.peers[name]; p != nil {
		p.linkedTo = controllers
	}
}

// HandleAck takes a peer's acknowledgement.
func (b *Broadcaster) HandleAck(name string, id uint64) {
	if ack := b.pending[id]; ack != nil {
		delete(ack.waitingFor, name)
		b.completeAcked()
	}
}

// HandleUpdate takes what another process knows of servers, and passes on what is new. With an ackID other than 0 the
// process is answered once that is in force.
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
	b.sendAndWait(updates, from, now+edgesTimeout, acknowledge)
}

// Publish passes on what changed here by itself.
func (b *Broadcaster) Publish(updates []registry.Entry) { b.send(updates, "", 0) }

// HandleServerCall takes a server's own word: a heartbeat, or that it drains or is gone. Output.AckedCalls will hold the
// call once it is acknowledged. First reports whether the server was not known, or has another state than before.
func (b *Broadcaster) HandleServerCall(e registry.Entry, call uint64, now time.Duration) (current registry.Entry, first bool) {
	old, known := b.registry.Get(e.ID)
	if e.State == registry.Removed && known {
		e.Seq = old.Seq // a DELETE has no number of its own
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
		b.output.AckedCalls = append(b.output.AckedCalls, call) // it was acknowledged before
	default:
		b.sendAndWait([]registry.Entry{current}, "", now+fleetTimeout, func() { b.acknowledgeCall(current, call) })
	}
	return current, first
}

func (b *Broadcaster) acknowledgeCall(e registry.Entry, call uint64) {
	if e.State == registry.Removed {
		delete(b.ackedStates, e.ID) // it calls no more
	} else {
		b.ackedStates[e.ID] = e.State
	}
	b.output.AckedCalls = append(b.output.AckedCalls, call)
}

// Tick gives up on acknowledgements that don't come in time.
func (b *Broadcaster) Tick(now time.Duration) {
	for _, id := range b.pendingIDs() {
		if ack := b.pending[id]; now > ack.deadline {
			delete(b.pending, id)
			ack.done()
		}
	}
}

// send passes updates on and gives the peers that they go to.
func (b *Broadcaster) send(updates []registry.Entry, from string, ackID uint64) (to map[string]bool) {
	if len(updates) == 0 {
		return nil
	}
	b.output.Updates = append(b.output.Updates, updates...)
	to = b.receivers(from)
	for _, name := range slices.Sorted(maps.Keys(to)) {
		b.output.Messages = append(b.output.Messages, Message{To: name, Entries: updates, AckID: ackID})
	}
	return to
}

// receivers are the peers that need what a peer sent: all edges, and the controllers that it doesn't notify itself.
func (b *Broadcaster) receivers(from string) map[string]bool {
	source := b.peers[from]
	all := map[string]bool{}
	for name, p := range b.peers {
		informed := source != nil && !source.edge && slices.Contains(source.linkedTo, name)
		if name != from && (p.edge || !informed) {
			all[name] = true
		}
	}
	return all
}

// sendAndWait passes updates on, and calls done once all that they go to have acknowledged them or the deadline is over.
func (b *Broadcaster) sendAndWait(updates []registry.Entry, from string, deadline time.Duration, done func()) {
	b.lastID++
	id := b.lastID
	b.pending[id] = &pendingAck{waitingFor: b.send(updates, from, id), deadline: deadline, done: done}
	b.completeAcked()
}

// completeAcked ends what all have acknowledged.
func (b *Broadcaster) completeAcked() {
	for _, id := range b.pendingIDs() {
		if ack := b.pending[id]; ack != nil && len(ack.waitingFor) == 0 {
			delete(b.pending, id)
			ack.done()
		}
	}
}

// pendingIDs lists what is waited for, oldest first, so that the same events have the same outcome.
func (b *Broadcaster) pendingIDs() []uint64 { return slices.Sorted(maps.Keys(b.pending)) }
