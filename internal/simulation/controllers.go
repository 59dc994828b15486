package simulation

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/weights"
)

// node is a controller's machine, with the process that runs on it.
type node struct {
	n      int
	name   string // its address
	zone   int
	life   int
	up     time.Duration // down until
	gone   bool          // for good, or until it comes back although it was replaced
	cutOut time.Duration // until when nothing of it reaches other controllers
	cutIn  time.Duration // and nothing of theirs it
	frozen time.Duration
	slow   time.Duration
	full   time.Duration
	ahead  time.Duration // of its time of day
	disk   disk
	queue  []write

	identity    string
	founders    []string // as on the disk
	member      *consensus.Replica
	membership  consensus.Membership // the newest that was applied
	epoch       uint64               // of the newest that was applied durably
	manager     membership.Manager
	met         map[string]membership.Controller // replicas that were linked at some time
	standings   map[int]standing                 // of the controllers that are linked
	copied      map[string]bool                  // replicas whose claims were copied for the change under way
	nextCopy    time.Duration
	leaving     bool // told to end
	retired     bool // voted out since its start
	departure   departure
	reading     []read
	unread      []func()      // calls that came while it stood still
	leased      time.Duration // of a planted fault
	claimStore  *idempotency.Store
	coordinator *idempotency.Coordinator
	state       *statemachine.StateMachine
	saved       []byte // by the last snapshot but one, for a planted fault
	waiting     map[uint64]waiter
	claims      map[idempotency.Token]func(idempotency.Outcome)

	reservations nodeReservations
	tables       *weights.Tables
	others       map[int]weights.PeerTraffic // what other controllers' edges bring, as last told
	registry     *registry.Registry
	broadcaster  *broadcast.Broadcaster
	calls        map[uint64]func()
	nextCall     uint64
	goneSince    map[int]time.Duration // controllers out of reach
	summaries    int
	summarized   time.Duration
}

var timing = consensus.Timing{Heartbeat: 50 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond}

// newNode adds a machine with an empty disk. Wires to it are laid by the caller.
func (w *world) newNode(zone int) *node {
	n := &node{n: len(w.nodes), name: fmt.Sprint("c", len(w.nodes)), zone: zone, disk: emptyDisk()}
	w.nodes, w.names = append(w.nodes, n), append(w.names, n.name)
	return n
}

// fail ends a controller's process for a while, perhaps with its disk.
func (w *world) fail(n *node, down time.Duration, wipe bool) {
	w.losePower(n)
	n.life++
	n.up = w.now + down
	if wipe {
		w.loseDisk(n)
	}
	w.start(n)
}

func (w *world) loseDisk(n *node) {
	former := n.disk
	n.disk = emptyDisk()
	switch w.day.Fault {
	case "votes with an empty disk":
		n.disk.identity, n.disk.founders, n.disk.blank = former.identity, former.founders, true
	case "an identity is used again":
		n.disk.identity, n.disk.founders = former.identity, former.founders
	case "grants with an empty disk":
		w.identify(n)
		n.disk.blank = false
	}
}

// start gives a controller's process what its disk held.
func (w *world) start(n *node) {
	w.identify(n)
	w.join(n)
	n.claimStore = idempotency.NewStore(window, n.disk.blank)
	for _, r := range n.disk.records {
		n.claimStore.Load(r, w.now)
	}
	n.coordinator = idempotency.NewCoordinator(nil, hedge, limit)
	n.state, n.waiting, n.claims = statemachine.New(), map[uint64]waiter{}, map[idempotency.Token]func(idempotency.Outcome){}
	n.leaving, n.retired, n.reading, n.unread, n.leased = false, false, nil, nil, 0
	w.setStores(n)
	n.registry = registry.New(90 * time.Second)
	n.broadcaster, n.calls, n.goneSince, n.frozen = broadcast.New(n.registry), map[uint64]func(){}, map[int]time.Duration{}, 0
	for _, id := range slices.Sorted(maps.Keys(n.disk.servers)) {
		e := n.disk.servers[id]
		e.Owner = n.name
		n.registry.Apply(e, w.now)
	}
	w.newTables(n)
	w.newReservations(n)
}

// tick does what a controller does by the clock.
func (w *world) tick(n *node) {
	w.writeDue(n)
	n.member.Tick(w.now)
	w.overdue(n)
	w.nameVoters(n)
	w.manage(n)
	w.settle(n)
	w.answerReads(n)
	w.auditLeader(n)
	asks, done := n.coordinator.Tick(w.now)
	w.ask(n, asks)
	for _, o := range done {
		w.ruled(n, o)
	}
	w.askCopies(n)
	n.broadcaster.Tick(w.now)
	lost := func(owner string) bool {
		since, gone := n.goneSince[slices.Index(w.names, owner)]
		return gone && w.now-since > 2500*time.Millisecond
	}
	if changed := n.registry.MarkTimedOut(n.name, lost, 5*beatOf/2, w.now); len(changed) > 0 {
		n.broadcaster.Publish(changed)
	}
	w.flush(n)
	w.weigh(n)
	w.dealReservations(n)
	if w.now >= n.summarized {
		n.summarized = w.now + summaryOf
		w.summarize(n)
	}
	w.depart(n)
}
