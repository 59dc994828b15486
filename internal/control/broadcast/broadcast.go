// Package broadcast spreads news of servers: it decides what a controller tells whom, and when a server's call is
// acknowledged. News goes to all edges and controllers that are linked; that a server leaves is acknowledged once all of
// them say that they hold it, or after a time: who is out of reach for that long is not in touch. It is a value fed with
// events; what has to be sent and answered gathers until Take.
package broadcast

import (
	"slices"
	"time"

	"mulleinwood/internal/control/registry"
)

// Waits for receipts.
const (
	edgesTimeout = 300 * time.Millisecond // for another controller's edges to say that they hold an entry
	fleetTimeout = 600 * time.Millisecond // and for other controllers, theirs included
)

// Message is what one link is sent.
type Message struct {
	To      string
	Entries []registry.Entry
	AckID   uint64 // to be sent back once the entries are in force
	Acked   uint64
}

// Output is what has gathered.
type Output struct {
	Messages   []Message
	AckedCalls []uint64         // calls that are acknowledged now
	Updates    []registry.Entry // what changed here, for the tables and the disk
}

// Broadcaster is one controller's part.
type Broadcaster struct {
	registry    *registry.Registry
	links       map[string]*link
	pending     map[uint64]*pendingAck
	lastID      uint64
	ackedStates map[string]registry.State // of servers that are leaving, what was acknowledged here
	out         Output
}

type link struct {
	edge     bool
	linkedTo []string // controllers that it has links to
}

// pendingAck waits until others hold what was spread.
type pendingAck struct {
	waitingFor map[string]bool
	deadline   time.Duration
	done       func()
}

// New makes a broadcaster over a registry.
func New(servers *registry.Registry) *Broadcaster {
	return &Broadcaster{registry: servers, links: map[string]*link{}, pending: map[uint64]*pendingAck{}, ackedStates: map[string]registry.State{}}
}

// TakeOutput hands out what has gathered.
func (b *Broadcaster) TakeOutput() Output {
	out := b.out
	b.out = Output{}
	return out
}

// AddPeer takes a link in, by a name that no other has. A new link of one that is there takes its place: what the former was
// to answer comes with the snapshot that a new link begins with.
func (b *Broadcaster) AddPeer(name string, edge bool) {
	b.RemovePeer(name)
	b.links[name] = &link{edge: edge}
}

// RemovePeer takes a link out: nobody waits for it.
func (b *Broadcaster) RemovePeer(name string) {
	if b.links[name] == nil {
		return
	}
	delete(b.links, name)
	for _, r := range b.pending {
		delete(r.waitingFor, name)
	}
	b.completeAcked()
}

// SetPeerLinks notes which controllers another one is linked to.
func (b *Broadcaster) SetPeerLinks(name string, controllers []string) {
	if l := b.links[name]; l != nil {
		l.linkedTo = controllers
	}
}

// HandleAck takes a receipt.
func (b *Broadcaster) HandleAck(name string, id uint64) {
	if r := b.pending[id]; r != nil {
		delete(r.waitingFor, name)
		b.completeAcked()
	}
}

// HandleUpdate takes what another process knows of servers, and passes on what is news. Want is the receipt that it asks for.
func (b *Broadcaster) HandleUpdate(from string, entries []registry.Entry, ackID uint64, now time.Duration) {
	var updates []registry.Entry
	for _, e := range entries {
		if changed, updated := b.registry.Apply(e, now); updated {
			updates = append(updates, changed)
		}
	}
	var done func()
	if ackID != 0 {
		done = func() { b.out.Messages = append(b.out.Messages, Message{To: from, Acked: ackID}) }
	}
	b.distribute(updates, from, edgesTimeout, now, done)
}

// Publish passes on what changed here by itself.
func (b *Broadcaster) Publish(updates []registry.Entry, now time.Duration) {
	b.distribute(updates, "", edgesTimeout, now, nil)
}

// HandleServerCall takes a server's own word: a beat, or that it leaves or is gone. Call is what Done will hold once it is
// acknowledged.
func (b *Broadcaster) HandleServerCall(e registry.Entry, call uint64, now time.Duration) (changed registry.Entry, first bool) {
	old, known := b.registry.Get(e.ID)
	if e.State == registry.Removed && known {
		e.Seq = old.Seq
	}
	changed, updated := b.registry.Apply(e, now)
	draining := e.State > registry.Ready
	var updates []registry.Entry
	if updated || draining {
		updates = append(updates, changed)
	}
	switch {
	case !draining:
		b.distribute(updates, "", edgesTimeout, now, nil)
		b.out.AckedCalls = append(b.out.AckedCalls, call)
	case known && old.State >= changed.State && !updated && b.ackedStates[e.ID] >= changed.State:
		b.out.AckedCalls = append(b.out.AckedCalls, call) // said before, and known
	default:
		b.distribute(updates, "", fleetTimeout, now, func() {
			if changed.State == registry.Removed {
				delete(b.ackedStates, e.ID) // it calls no more
			} else {
				b.ackedStates[e.ID] = changed.State
			}
			b.out.AckedCalls = append(b.out.AckedCalls, call)
		})
	}
	return changed, !known || changed.State != old.State
}

// Tick gives up on receipts that don't come.
func (b *Broadcaster) Tick(now time.Duration) {
	for _, id := range b.pendingIDs() {
		if r := b.pending[id]; now > r.deadline {
			delete(b.pending, id)
			r.done()
		}
	}
}

// distribute tells edges and other controllers of news; done hears when those that have to know hold it. What another controller
// told goes on to controllers that it has no link to itself.
func (b *Broadcaster) distribute(updates []registry.Entry, from string, timeout, now time.Duration, done func()) {
	waitingFor, id := map[string]bool{}, uint64(0)
	if done != nil {
		b.lastID++
		id = b.lastID
	}
	if len(updates) > 0 {
		b.out.Updates = append(b.out.Updates, updates...)
		source := b.links[from]
		for name, l := range b.links {
			if name != from && (l.edge || source == nil || source.edge || !slices.Contains(source.linkedTo, name)) {
				waitingFor[name] = true
			}
		}
		for _, name := range sorted(waitingFor) {
			b.out.Messages = append(b.out.Messages, Message{To: name, Entries: updates, AckID: id})
		}
	}
	if done != nil {
		b.pending[id] = &pendingAck{waitingFor: waitingFor, deadline: now + timeout, done: done}
		b.completeAcked()
	}
}

// completeAcked ends the receipts that all have given.
func (b *Broadcaster) completeAcked() {
	for _, id := range b.pendingIDs() {
		if r := b.pending[id]; r != nil && len(r.waitingFor) == 0 {
			delete(b.pending, id)
			r.done()
		}
	}
}

// pendingIDs gives the receipts as they began, so that the same events have the same outcome.
func (b *Broadcaster) pendingIDs() []uint64 { return sorted(b.pending) }

func sorted[K uint64 | string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
