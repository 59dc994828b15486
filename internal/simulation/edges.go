package simulation

import (
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/edge/retrybudget"
)

// edge is an edge process and its state.
type edge struct {
	number, incarnation int
	controller          int
	pendingClaims       map[idempotency.Token]*claim
	revocations         []revocation
	unconfirmed         *idempotency.Unconfirmed

	frozenUntil, partitionUntil time.Duration
	stableSince                 time.Duration // from when it counts as stable: stabilizationTime after its last fault
	nextSearch                  time.Duration
	inContact                   bool
	version                     uint64
	registry                    *registry.Registry
	picker                      *picker.Picker
	budgets                     map[string]*retrybudget.Budget
	contacted                   map[string]bool
	zoneCount                   int
	roundRobinNext              map[string]int // by service: next index of the round robin policy
	serviceRequests             map[string]int // by service: requests since the last report
	nextReport                  time.Duration  // when the next report is due
	attachedAt                  time.Duration  // to its current controller
	reservations                edgeReservations
	withoutTableSince           map[string]time.Duration // by service: since when no weight table was received
}

type claim struct {
	record      idempotency.Record
	startedAt   time.Duration
	stable      bool // the edge and the controllers were stable at startedAt
	outstanding int
	hedged      bool
}

type revocation struct {
	record    idempotency.Record
	revokedAt time.Duration
	sentAt    time.Duration
}

// restartEdge starts a new incarnation of an edge, without state.
func (w *cluster) restartEdge(e *edge) {
	e.incarnation++
	e.pendingClaims, e.revocations = map[idempotency.Token]*claim{}, nil
	e.unconfirmed = idempotency.NewUnconfirmed(keyWindow, maxUnconfirmedBytes)
	e.registry, e.serviceRequests, e.withoutTableSince = registry.New(90*time.Second), map[string]int{},
		map[string]time.Duration{}
	e.reservations = edgeReservations{leases: reservation.LeaseHolder{Incarnation: uint64(e.incarnation)},
		gate: reservation.NewAdmissionGate(), wanted: map[string]int{}}
	e.attachedAt = w.now // the new incarnation holds no weight table yet
	e.picker = picker.New(zoneName(e.zone()), w.rng.Float64)
	e.budgets, e.contacted, e.version = map[string]*retrybudget.Budget{}, map[string]bool{}, 0
}
