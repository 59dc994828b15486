package proxy

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
)

// demandInterval is how often an edge sends its demand while a reservation is in force.
const demandInterval = 250 * time.Millisecond

// reservationGates contains an admission gate for each service at which a reservation is in force, with this edge's shares
// of the reserved capacity. Without reservations, a request costs one atomic load. It is safe for concurrent use.
type reservationGates struct {
	*node.Env
	queue      *requestQueue
	fleetEdges *atomic.Int32
	send       func(peer.Message) bool // sends a message to the controller
	active     atomic.Bool             // a reservation is in force, or requests admitted by a gate are in progress
	wake       chan struct{}

	mu           sync.Mutex
	announced    []reservation.Reservation // reservations in force, as last reported by the controller
	lease        reservation.LeaseHolder
	gates        map[string]*reservation.AdmissionGate // by service
	demandCounts map[string]int                        // by reservation: number of running and waiting requests
}

// admission is a request's place at a gate. It is nil if the service has no reservations.
type admission struct {
	gate        *reservation.AdmissionGate
	reservation string // ID of the reservation that the request may use
	admittedAs  string // ID of the reservation whose slot it uses; empty if it uses an unreserved slot
	admittedAt  time.Duration
	admitted    bool
}

func newReservationGates(env *node.Env, queue *requestQueue, fleetEdges *atomic.Int32,
	send func(peer.Message) bool) *reservationGates {
	return &reservationGates{
		Env:          env,
		queue:        queue,
		fleetEdges:   fleetEdges,
		send:         send,
		wake:         make(chan struct{}, 1),
		lease:        reservation.LeaseHolder{Incarnation: env.Incarnation},
		gates:        map[string]*reservation.AdmissionGate{},
		demandCounts: map[string]int{},
	}
}

// handleReservations replaces the reservations in force by the controller's list.
func (g *reservationGates) handleReservations(m *peer.Reservations) {
	g.mu.Lock()
	g.lease.AdvanceTerm(m.Term)
	g.announced = m.List
	g.updateGates()
	g.mu.Unlock()
	g.LogEvent("reservations changed", "count", len(m.List), "term", m.Term)
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// handleLease applies a lease on shares of the reservations, unless it is outdated.
func (g *reservationGates) handleLease(l reservation.Lease) {
	if g.acceptLease(l) {
		g.queue.wakeAll()
	}
}

func (g *reservationGates) acceptLease(l reservation.Lease) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lease.Accept(l) {
		return false
	}
	g.updateGates()
	return true
}

// updateGates updates the gates to the current shares. Without a valid lease, as after a long partition, unreserved requests
// are limited to an even share among the edges, and reserved ones continue to use free slots. The caller must hold mu.
func (g *reservationGates) updateGates() {
	services := map[string]bool{}
	for _, r := range g.announced {
		services[r.Service] = true
		g.setShare(r)
	}
	for service, gate := range g.gates {
		gate.Retain(func(id string) bool {
			return slices.ContainsFunc(g.announced, func(r reservation.Reservation) bool {
				return r.ID == id &&
					r.Service == service
			})
		})
		if !services[service] {
			if gate.ClearUnreservedLimit(); gate.Idle() {
				delete(g.gates, service)
			}
		}
	}
	g.active.Store(len(g.announced)+len(g.gates) > 0)
}

func (g *reservationGates) setShare(r reservation.Reservation) {
	gate := g.gates[r.Service]
	if gate == nil {
		gate = reservation.NewAdmissionGate()
		g.gates[r.Service] = gate
	}
	share, exhausted, known := g.lease.Share(r.ID, g.Now())
	switch {
	case r.ID != reservation.UnreservedID(r.Service):
		gate.SetShare(r.ID, share, r.Slots, exhausted)
	case known:
		gate.LimitUnreserved(share, r.Slots, exhausted)
	default:
		edges := max(1, int(g.fleetEdges.Load()))
		gate.LimitUnreserved((r.Slots+edges-1)/edges, r.Slots, true)
	}
}

// reservationFor returns the ID of the reservation that a request may use: one of its tenant at its service, preferably one
// with capacity, or the unreserved part. The caller must hold mu.
func (g *reservationGates) reservationFor(route *config.Route, service string) string {
	found := reservation.UnreservedID(service)
	for _, r := range g.announced {
		if r.Service != service || !g.mayUse(route, r) {
			continue
		}
		if found = r.ID; g.gates[service].HasCapacity(found) {
			break
		}
	}
	return found
}

// mayUse reports whether a route's requests may use a reservation.
func (g *reservationGates) mayUse(route *config.Route, r reservation.Reservation) bool {
	tenant, err := config.TenantOf(r.Tenant)
	if err != nil || tenant != route.Tenant {
		return false
	}
	return (r.Route == "" || r.Route == route.Name) && (r.Zone == "" || r.Zone == g.Settings.Zone)
}

// enter counts the demand of a request. It returns nil if no reservation is in force at the service.
func (g *reservationGates) enter(route *config.Route, service string) *admission {
	if !g.active.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.gates[service]
	if gate == nil {
		return nil
	}
	a := &admission{gate: gate, reservation: g.reservationFor(route, service)}
	g.demandCounts[a.reservation]++
	return a
}

// admit reports whether a request may use a slot now. A request is admitted once and then stays admitted.
func (g *reservationGates) admit(a *admission) bool {
	if a == nil || a.admitted {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.admittedAs, a.admitted = a.gate.Admit(a.reservation)
	a.admittedAt = g.Now()
	return a.admitted
}

// undoAdmit reverts an admission after which no server had a free slot.
func (g *reservationGates) undoAdmit(a *admission) {
	if a == nil || !a.admitted {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.gate.Release(a.admittedAs, 0)
	a.admitted = false
}

// leave ends a request's demand and releases its admission.
func (g *reservationGates) leave(a *admission, service string) {
	if a == nil {
		return
	}
	g.release(a)
	g.queue.wake(service)
}

func (g *reservationGates) release(a *admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.demandCounts[a.reservation]--; g.demandCounts[a.reservation] == 0 {
		delete(g.demandCounts, a.reservation)
	}
	if a.admitted {
		a.gate.Release(a.admittedAs, max(1, g.Now()-a.admittedAt)) // a duration of 0 would mean that no server had a free slot
	}
}

// hasPriority reports whether a request is queued ahead of all unreserved ones.
func (g *reservationGates) hasPriority(a *admission) bool {
	if a == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return a.gate.HasCapacity(a.reservation)
}

// run sends the edge's demand at each demandInterval while a reservation is in force, until ctx is done.
func (g *reservationGates) run(ctx context.Context) {
	for {
		if !g.active.Load() {
			select {
			case <-ctx.Done():
				return
			case <-g.wake:
			}
		}
		g.sendDemand()
		select {
		case <-ctx.Done():
			return
		case <-time.After(demandInterval):
		}
	}
}

func (g *reservationGates) sendDemand() {
	if demand, inForce := g.demand(); inForce {
		g.send(peer.Demands{{Demand: demand}})
	}
}

// demand returns this edge's current demand, and whether a reservation is in force.
func (g *reservationGates) demand() (demand reservation.Demand, inForce bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateGates()
	demand = g.lease.Demand(maps.Clone(g.demandCounts), g.Now())
	demand.Zone = g.Settings.Zone
	return demand, len(g.announced) > 0
}
