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

// controller is a controller's machine, with the process that runs on it.
type controller struct {
	number        int // its number
	name          string
	zone          int
	incarnation   int
	disk          disk
	pendingWrites []write // that the disk has not done

	controllerFaults
	consensusState
	claimState
	serverState
	reservations controllerReservations
	shuttingDown bool
	shutdown     shutdown
	nextSummary  time.Duration
	summaries    int
}

// controllerFaults is what a machine suffers, and until when.
type controllerFaults struct {
	downUntil        time.Duration
	removed          bool          // for good, or until it comes back although it was replaced
	outboundCutUntil time.Duration // nothing of it reaches other controllers
	inboundCutUntil  time.Duration // and nothing of theirs it
	frozenUntil      time.Duration
	slowDiskUntil    time.Duration
	fullDiskUntil    time.Duration
	clockOffset      time.Duration // of its time of day
}

// consensusState is the replica with its state, and who votes.
type consensusState struct {
	identity         string
	bootstrapVoters  []string // as on the disk
	replica          *consensus.Replica
	membership       consensus.Membership // the newest that was applied
	epoch            uint64               // of the newest that was applied durably
	manager          membership.Manager
	seenReplicas     map[string]membership.Controller // that were linked at some time
	replicaStatuses  map[int]replicaStatus            // of the controllers that are linked
	retired          bool                             // voted out since the process started
	state            *statemachine.StateMachine
	proposals        map[uint64]pendingProposal
	reads            []read
	unreadCalls      []func()      // calls that came while the process stood still
	leaseUntil       time.Duration // for a planted fault
	previousSnapshot []byte        // the last snapshot but one, for a planted fault
}

// claimState is the claim store and the coordinator.
type claimState struct {
	claimStore  *idempotency.Store
	coordinator *idempotency.Coordinator
	claims      map[idempotency.Token]func(idempotency.Outcome)
	copiedFrom  map[string]bool // replicas whose claims were copied for the change under way
	nextCopy    time.Duration
}

// serverState is the register of servers and the weight tables.
type serverState struct {
	tables           *weights.Tables
	peerTraffic      map[int]weights.PeerTraffic // what other controllers' edges bring, as last told
	registry         *registry.Registry
	broadcaster      *broadcast.Broadcaster
	calls            map[uint64]func()
	nextCall         uint64
	unreachableSince map[int]time.Duration // controllers
}

var timing = consensus.Timing{Heartbeat: 50 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond}

// newController adds a machine with an empty disk. Wires to it are laid by the caller.
func (w *cluster) newController(zone int) *controller {
	n := &controller{number: len(w.controllers), name: fmt.Sprint("c", len(w.controllers)), zone: zone, disk: emptyDisk()}
	w.controllers, w.controllerNames = append(w.controllers, n), append(w.controllerNames, n.name)
	return n
}

// stopController ends a controller's process for a while.
func (w *cluster) stopController(n *controller, down time.Duration) {
	w.endController(n, down)
	w.startController(n)
}

// wipeController ends a controller's process for a while, and its disk is lost.
func (w *cluster) wipeController(n *controller, down time.Duration) {
	w.endController(n, down)
	w.loseDisk(n)
	w.startController(n)
}

func (w *cluster) endController(n *controller, down time.Duration) {
	w.losePower(n)
	n.incarnation++
	n.downUntil = w.now + down
}

func (w *cluster) loseDisk(n *controller) {
	previous := n.disk
	n.disk = emptyDisk()
	switch w.scenario.PlantedFault {
	case "votes with an empty disk":
		n.disk.identity, n.disk.bootstrapVoters, n.disk.recovering = previous.identity, previous.bootstrapVoters, true
	case "an identity is used again":
		n.disk.identity, n.disk.bootstrapVoters = previous.identity, previous.bootstrapVoters
	case "grants with an empty disk":
		w.ensureIdentity(n)
		n.disk.recovering = false
	}
}

// startController gives a controller's process what its disk held.
func (w *cluster) startController(n *controller) {
	w.ensureIdentity(n)
	w.startReplica(n)
	n.claimStore = idempotency.NewStore(keyWindow, n.disk.recovering)
	for _, r := range n.disk.records {
		n.claimStore.Load(r, w.now)
	}
	n.coordinator = idempotency.NewCoordinator(nil, hedgeDelay, claimTimeout)
	n.state, n.proposals, n.claims = statemachine.New(), map[uint64]pendingProposal{},
		map[idempotency.Token]func(idempotency.Outcome){}
	n.shuttingDown, n.retired, n.reads, n.unreadCalls, n.leaseUntil = false, false, nil, nil, 0
	w.setStores(n)
	n.registry = registry.New(90 * time.Second)
	n.broadcaster, n.calls = broadcast.New(n.registry), map[uint64]func(){}
	n.unreachableSince, n.frozenUntil = map[int]time.Duration{}, 0
	for _, id := range slices.Sorted(maps.Keys(n.disk.servers)) {
		e := n.disk.servers[id]
		e.Owner = n.name
		n.registry.Apply(e, w.now)
	}
	w.newTables(n)
	w.newReservations(n)
}

// tickController does what a controller does by the clock.
func (w *cluster) tickController(n *controller) {
	w.writeDue(n)
	n.replica.Tick(w.now)
	w.expireProposals(n)
	w.chooseBootstrapVoters(n)
	w.manageMembership(n)
	w.processOutput(n)
	w.completeReads(n)
	w.auditLeader(n)
	requests, done := n.coordinator.Tick(w.now)
	w.sendGrantRequests(n, requests)
	for _, o := range done {
		w.finishClaim(n, o)
	}
	w.requestCopies(n)
	n.broadcaster.Tick(w.now)
	lost := func(owner string) bool {
		since, gone := n.unreachableSince[slices.Index(w.controllerNames, owner)]
		return gone && w.now-since > 2500*time.Millisecond
	}
	if changed := n.registry.MarkTimedOut(n.name, lost, 5*heartbeatInterval/2, w.now); len(changed) > 0 {
		n.broadcaster.Publish(changed)
	}
	w.publishUpdates(n)
	w.pushWeights(n)
	w.allocateReservations(n)
	if w.now >= n.nextSummary {
		n.nextSummary = w.now + summaryInterval
		w.summarize(n)
	}
	w.continueShutdown(n)
}
