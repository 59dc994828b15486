package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
)

const (
	tickInterval        = 5 * time.Millisecond
	keyWindow           = time.Minute
	hedgeDelay          = 20 * time.Millisecond
	claimTimeout        = 900 * time.Millisecond
	edgeHedgeDelay      = 60 * time.Millisecond // after which an edge asks a second controller
	edgeClaimTimeout    = 400 * time.Millisecond
	revocationRetention = 4 * time.Second
	lateRepeatTicks     = 20 // mean number of ticks between two repeats of answered operations at an edge
)

// cluster holds the state of one simulated scenario. A single goroutine advances it, and every random value comes from rng.
type cluster struct {
	scenario Scenario
	rng      *rand.Rand
	now      time.Duration
	result   Result

	clusterProcesses
	clusterNetwork
	operatorAudit
	keyAudit
	responseAudit
	trafficAudit
	bookingAudit
	membershipAudit membershipAudit
}

// clusterProcesses holds the simulated processes: controllers, edges and servers.
type clusterProcesses struct {
	positions       []*controller // the controller that currently occupies each position of the cluster
	controllerNames []string      // controller addresses, by controller number
	controllers     []*controller
	edges           []*edge
	services        []string
	servers         []*server
	serverByAddress map[string]*server // the server that currently runs at each address
	slowUntil       map[*server]time.Duration
	serverCount     int
	addressCount    int
	stableSince     time.Duration // from when the controllers count as stable: stabilizationTime after the last fault
}

// clusterNetwork holds the messages in flight and the links.
type clusterNetwork struct {
	messages   []message
	links      []*link
	linkByEnds map[[2]int]*link
}

// operatorAudit holds the simulated operators and the auditor's record of their changes.
type operatorAudit struct {
	history          []consensus.Entry
	operators        []*operatorState
	acknowledgements []acknowledgement
	committedChanges map[string]committedChange // by encoded change
	versionAt        []uint64                   // the active version after each entry of the history
	currentVersion   uint64                     // the active version after the last entry
	acknowledgedBase map[uint64]string          // by base version: the encoded change that was acknowledged
	rejectedChanges  map[string]bool            // by encoded change
}

// keyAudit counts the runs of idempotent (keyed) operations.
type keyAudit struct {
	runs      map[idempotency.Key]int
	attempted map[idempotency.Key]bool
	nextKey   uint64
}

// trafficAudit records the requests that arrive at and run on servers.
type trafficAudit struct {
	arrivalCounts   map[uint64]int // by request ID
	runsByRequest   map[uint64]int
	rejected        map[uint64]bool
	attemptsReached map[*attemptState]bool
	requestTimes    map[string][]time.Duration // by service
	retryTimes      map[string][]time.Duration
	appliedVersions map[[2]int]uint64 // by edge number and incarnation: the last version that it applied
}

// bookingAudit records the capacity that was booked and granted.
type bookingAudit struct {
	bookingAcked   bool
	admittedShares []int // slots of the booking, one sample per audit
}

type acknowledgement struct {
	version uint64
	ackedAt time.Duration
}

func newCluster(scenario Scenario) *cluster {
	w := &cluster{scenario: scenario, rng: rand.New(rand.NewPCG(scenario.Seed, 13))}
	w.serverByAddress, w.slowUntil, w.linkByEnds = map[string]*server{}, map[*server]time.Duration{}, map[[2]int]*link{}
	w.committedChanges, w.acknowledgedBase, w.rejectedChanges = map[string]committedChange{},
		map[uint64]string{}, map[string]bool{}
	w.runs, w.attempted = map[idempotency.Key]int{}, map[idempotency.Key]bool{}
	w.answerByKey, w.answerByToken = map[idempotency.Key]*answer{}, map[idempotency.Token]*answer{}
	w.trafficAudit = trafficAudit{arrivalCounts: map[uint64]int{}, runsByRequest: map[uint64]int{}, rejected: map[uint64]bool{},
		attemptsReached: map[*attemptState]bool{}, requestTimes: map[string][]time.Duration{},
		retryTimes: map[string][]time.Duration{}, appliedVersions: map[[2]int]uint64{}}
	w.membershipAudit = membershipAudit{removed: map[string]uint64{}, leaders: map[uint64]string{},
		recoveryDeadline: recoveryTimeout}
	return w
}

// Run simulates a scenario and returns its result. A panic in a component ends the run and is reported as a FAULT violation,
// because it would end the real process.
func Run(scenario Scenario) (result Result) {
	w := newCluster(scenario)
	defer func() {
		if r := recover(); r != nil {
			w.fail("FAULT: a component panicked: %v", r)
			result = w.result
		}
	}()
	w.initialize()
	faults := slices.Clone(scenario.Faults)
	for n := 0; w.now < scenario.Length && w.result.Violation == ""; n, w.now = n+1, w.now+tickInterval {
		for len(faults) > 0 && faults[0].At <= w.now {
			w.applyFault(faults[0])
			faults = faults[1:]
		}
		w.resumeFrozen()
		w.deliverMessages()
		if n%4 == 0 {
			w.maintainLinks()
		}
		w.tick()
	}
	w.auditBudget()
	w.auditFinalState()
	w.auditEnd()
	w.auditKeptResponses()
	w.summarizeResult()
	return w.result
}

// initialize creates the controllers, edges, operators, links and servers with which the scenario starts.
func (w *cluster) initialize() {
	scenario := w.scenario
	if scenario.MeasureLatency {
		w.result.Latencies = []time.Duration{}
	}
	for i := range scenario.Members {
		w.newController(i)
	}
	for _, n := range w.controllers {
		w.positions = append(w.positions, n)
		if scenario.Seeds == 0 {
			n.bootstrap(slices.Clone(w.controllerNames))
		} else {
			n.awaitBootstrap()
		}
		w.startController(n)
	}
	for i := range scenario.Edges {
		w.edges = append(w.edges, &edge{number: i, controller: i % scenario.Members, zoneCount: scenario.Members,
			roundRobinNext: map[string]int{}})
		w.restartEdge(w.edges[i])
	}
	for i := range scenario.operatorCount() {
		w.operators = append(w.operators, &operatorState{number: i})
	}
	w.connectAll()
	for i := range scenario.Services {
		w.services = append(w.services, fmt.Sprint("service-", i))
	}
	for i := range scenario.Servers {
		if len(w.services) > 0 {
			w.addressCount++
			w.addServer(w.services[i%len(w.services)], fmt.Sprint("a-", w.addressCount), i%scenario.Members)
		}
	}
}

// tick advances every process by one tick interval.
func (w *cluster) tick() {
	for _, n := range w.controllers {
		if w.isRunning(n.number) {
			w.tickController(n)
		}
	}
	for _, s := range w.servers {
		w.tickServer(s)
	}
	for _, e := range w.edges {
		if e.controller == nowhere && w.now >= e.nextSearch && e.frozenUntil <= w.now {
			e.controller, e.nextSearch = w.bestController(e), w.now+searchInterval
		}
		w.serveClients(e)
		if len(w.services) > 0 {
			w.generateRequest(e)
			w.sendReport(e)
			w.updateGate(e)
			w.generateBookedTraffic(e)
		}
	}
	for _, o := range w.operators {
		w.tickOperator(o)
	}
	w.manageBooking()
	w.auditReservations()
	if w.scenario.MustRecover {
		w.startReads()
	}
	w.auditRecovery()
	w.auditStrength()
	if w.scenario.MeasureLatency {
		w.recordAvoidableWait()
	}
}

func (w *cluster) summarizeResult() {
	for _, extra := range w.retryTimes {
		w.result.RetriedRequests += len(extra)
	}
	for _, s := range w.servers {
		w.result.Drains += oneIf[s.drainAckedAt > 0]
	}
}

func (w *cluster) fail(format string, args ...any) {
	if w.result.Violation == "" {
		w.result.Violation = fmt.Sprintf(format, args...)
	}
}

func zoneName(zone int) string { return fmt.Sprint("z", zone) }
