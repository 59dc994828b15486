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

// controller is a controller's machine and the process that runs on it.
type controller struct {
	number        int // index in cluster.controllers
	name          string
	zone          int
	incarnation   int
	disk          disk
	pendingWrites []write // writes that the disk has not completed, in order

	controllerFaults
	consensusState
	claimState
	responseState
	serverState
	reservations controllerReservations
	shuttingDown bool
	shutdown     shutdown
	nextSummary  time.Duration
	summaries    int
}

// controllerFaults holds the active faults of a controller and their end times.
type controllerFaults struct {
	downUntil              time.Duration
	removed                bool          // permanently, or until it returns after it was replaced
	outboundPartitionUntil time.Duration // its messages don't reach other controllers
	inboundPartitionUntil  time.Duration // messages of other controllers don't reach it
	frozenUntil            time.Duration
	slowDiskUntil          time.Duration
	fullDiskUntil          time.Duration
	clockOffset            time.Duration // of its wall clock
}

// consensusState holds the consensus replica, its state machine and its view of the membership.
type consensusState struct {
	identity         string
	bootstrapVoters  []string // as stored on the disk
	replica          *consensus.Replica
	membership       consensus.Membership // the newest applied membership
	epoch            uint64               // of the newest membership that was applied durably
	manager          membership.Manager
	seenReplicas     map[string]membership.Controller // by identity: replicas that were linked at any time
	replicaStatuses  map[int]replicaStatus            // by controller number: status of linked controllers
	retired          bool                             // removed from the voters since the process started
	state            *statemachine.StateMachine
	proposals        map[uint64]pendingProposal
	reads            []read
	unreadCalls      []func()      // calls that arrived while the process was suspended
	leaseUntil       time.Duration // only used by a planted fault
	previousSnapshot []byte        // the snapshot before the last; only used by a planted fault
}

// claimState holds the claim store and the coordinator.
type claimState struct {
	claimStore  *idempotency.Store
	coordinator *idempotency.Coordinator
	claims      map[idempotency.Token]func(idempotency.Outcome, *idempotency.Response)
	copiedFrom  map[string]bool // replicas whose claims were copied for the current membership change
	nextCopy    time.Duration
}

// serverState holds the server registry and the weight tables.
type serverState struct {
	tables           *weights.Tables
	peerTraffic      map[int]weights.PeerTraffic // by controller number: traffic of its edges, as last reported
	registry         *registry.Registry
	broadcaster      *broadcast.Broadcaster
	calls            map[uint64]func()
	nextCall         uint64
	unreachableSince map[int]time.Duration // by number: controllers whose link is down, and since when
}

var timing = consensus.Timing{Heartbeat: 50 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond}

// newController adds a controller with an empty disk. The caller adds its links.
func (w *cluster) newController(zone int) *controller {
	n := &controller{number: len(w.controllers), name: fmt.Sprint("c", len(w.controllers)), zone: zone, disk: emptyDisk()}
	w.controllers, w.controllerNames = append(w.controllers, n), append(w.controllerNames, n.name)
	return n
}

// stopController ends a controller's process for the given time, then starts it with its disk.
func (w *cluster) stopController(n *controller, down time.Duration) {
	w.endController(n, down)
	w.startController(n)
}

// wipeController ends a controller's process for the given time, then starts it with an empty disk.
func (w *cluster) wipeController(n *controller, down time.Duration) {
	w.auditWipe()
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

// startController starts a controller's process with the contents of its disk.
func (w *cluster) startController(n *controller) {
	w.ensureIdentity(n)
	w.startReplica(n)
	n.claimStore = idempotency.NewStore(keyWindow, n.disk.recovering)
	for _, r := range n.disk.records {
		n.claimStore.Load(r, w.now)
	}
	n.coordinator = idempotency.NewCoordinator(nil, hedgeDelay, claimTimeout)
	n.state, n.proposals, n.claims = statemachine.New(), map[uint64]pendingProposal{},
		map[idempotency.Token]func(idempotency.Outcome, *idempotency.Response){}
	w.startResponses(n)
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

// tickController runs the periodic work of a controller.
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
	w.tickResponses(n)
	w.requestCopies(n)
	n.broadcaster.Tick(w.now)
	isLost := func(owner string) bool {
		since, unreachable := n.unreachableSince[slices.Index(w.controllerNames, owner)]
		return unreachable && w.now-since > 2500*time.Millisecond
	}
	if changed := n.registry.MarkTimedOut(n.name, isLost, 5*heartbeatInterval/2, w.now); len(changed) > 0 {
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
