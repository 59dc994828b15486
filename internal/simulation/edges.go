package simulation

import (
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/edge/retrybudget"
)

// edge is one edge: its process's life and what that knows.
type edge struct {
	n, life    int
	controller int
	open       map[idempotency.Token]*claim
	voids      []void

	frozen, cut  time.Duration
	calm         time.Duration // from when it has been without trouble for long enough
	look         time.Duration
	attached     bool
	version      uint64
	registry     *registry.Registry
	picker       *picker.Picker
	budgets      map[string]*retrybudget.Budget
	met          map[string]bool
	zones        int
	turn         map[string]int // of a policy that goes round
	asked        map[string]int // requests for a service since the last report
	reports      time.Duration  // when the next one is due
	arrived      time.Duration  // at its controller
	reservations edgeReservations
	bare         map[string]time.Duration // services without a table, since when
}

type claim struct {
	record idempotency.Record
	since  time.Duration
	asked  int
	second bool
}

type void struct {
	record idempotency.Record
	at     time.Duration
	said   time.Duration
}

// restart gives an edge's process a new life.
func (w *world) restart(e *edge) {
	e.life++
	e.open, e.voids = map[idempotency.Token]*claim{}, nil
	e.registry, e.asked, e.bare = registry.New(90*time.Second), map[string]int{}, map[string]time.Duration{}
	e.reservations = edgeReservations{held: reservation.LeaseHolder{Incarnation: uint64(e.life)}, gate: reservation.NewAdmissionGate(), wants: map[string]int{}}
	e.arrived = w.now // as a new life, which holds nothing
	e.picker = picker.New(zoneName(e.zone()), w.rng.Float64)
	e.budgets, e.met, e.version = map[string]*retrybudget.Budget{}, map[string]bool{}, 0
}
