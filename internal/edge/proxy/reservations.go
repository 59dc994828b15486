package proxy

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/peer"
)

const (
	demandInterval   = 250 * time.Millisecond
	bookedRankOffset = 1000 // above every priority, while the booking has room
)

// reservations holds an edge's part of booked slots: a gate for each service at which any is held. Without bookings it costs a
// look at one flag for each request.
type reservations struct {
	active    atomic.Bool // any reservation is told, or something runs under a gate
	mu        sync.Mutex
	announced []reservation.Reservation
	leases    reservation.LeaseHolder
	gates     map[string]*reservation.AdmissionGate
	wanted    map[string]int // by reservation, requests in work or waiting
	wake      chan struct{}
}

// admission is what a request holds of a gate.
type admission struct {
	gate        *reservation.AdmissionGate
	reservation string // whose traffic it is
	admittedAs  string // as what it was let in
	admittedAt  time.Duration
	admitted    bool
}

// handleAnnouncement takes the controller's word on which reservations are held.
func (r *reservations) handleAnnouncement(c *Proxy, f *peer.Reservations) {
	r.mu.Lock()
	r.leases.FollowTerm(f.Term)
	r.announced = f.List
	r.updateGates(c)
	r.mu.Unlock()
	_ = c.logger.Log("event", "rooms", "held", len(f.List), "term", f.Term)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// handleLease takes parts of reservations.
func (r *reservations) handleLease(c *Proxy, l reservation.Lease) {
	r.mu.Lock()
	taken := r.leases.Accept(l)
	if taken {
		r.updateGates(c)
	}
	r.mu.Unlock()
	if taken {
		c.queue.wakeAll()
	}
}

// updateGates sets the gates as the parts are now. Without a lease, which a cut from the core for long brings about, others are
// held to an even share, and what is booked goes on as room is found.
func (r *reservations) updateGates(c *Proxy) {
	now, fleet := c.now(), max(1, int(c.fleetEdges.Load()))
	services := map[string]bool{}
	for _, one := range r.announced {
		if services[one.Service] = true; r.gates[one.Service] == nil {
			r.gates[one.Service] = reservation.NewAdmissionGate()
		}
		gate := r.gates[one.Service]
		part, full, known := r.leases.Share(one.ID, now)
		switch {
		case one.ID != reservation.OthersID(one.Service):
			gate.SetShare(one.ID, part, one.Slots, full)
		case known:
			gate.LimitOthers(part, one.Slots, full)
		default:
			gate.LimitOthers((one.Slots+fleet-1)/fleet, one.Slots, true)
		}
	}
	for service, gate := range r.gates {
		gate.Retain(func(id string) bool {
			return slices.ContainsFunc(r.announced, func(one reservation.Reservation) bool { return one.ID == id && one.Service == service })
		})
		if !services[service] {
			if gate.UnlimitOthers(); gate.Idle() {
				delete(r.gates, service)
			}
		}
	}
	r.active.Store(len(r.announced)+len(r.gates) > 0)
}

// reservationFor finds the reservation that a request may use: that of its tenant at its service.
func (r *reservations) reservationFor(c *Proxy, route *config.Route, service string) string {
	tenant, found := strings.ToLower(route.Host), reservation.OthersID(service)
	for _, one := range r.announced {
		if one.Service == service && strings.ToLower(one.Tenant) == tenant && one.Tenant != "" && (one.Route == "" || one.Route == route.Name) && (one.Zone == "" || one.Zone == c.settings.Zone) {
			if found = one.ID; r.gates[service].HasCapacity(found) {
				break
			}
		}
	}
	return found
}

// enter counts a request that wants room. It gives nil where no reservation is held at its service.
func (r *reservations) enter(c *Proxy, t *clientRequest) *admission {
	if !r.active.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	gate := r.gates[t.service]
	if gate == nil {
		return nil
	}
	p := &admission{gate: gate, reservation: r.reservationFor(c, t.route, t.service)}
	r.wanted[p.reservation]++
	return p
}

// admit lets a request in, once.
func (r *reservations) admit(p *admission, now time.Duration) bool {
	if p == nil || p.admitted {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.admittedAs, p.admitted = p.gate.Admit(p.reservation)
	p.admittedAt = now
	return p.admitted
}

// undoAdmit undoes an admission that found no server.
func (r *reservations) undoAdmit(p *admission) {
	if p == nil || !p.admitted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.gate.Release(p.admittedAs, 0)
	p.admitted = false
}

// release ends a request.
func (r *reservations) release(c *Proxy, p *admission, service string) {
	if p == nil {
		return
	}
	r.mu.Lock()
	if r.wanted[p.reservation]--; r.wanted[p.reservation] == 0 {
		delete(r.wanted, p.reservation)
	}
	if p.admitted {
		p.gate.Release(p.admittedAs, max(1, c.now()-p.admittedAt))
	}
	r.mu.Unlock()
	c.queue.wake(service)
}

// hasPriority tells whether a request goes before all that booked nothing.
func (r *reservations) hasPriority(p *admission) bool {
	if p == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.gate.HasCapacity(p.reservation)
}

// run says four times a second what is wanted, while any reservation is held. Otherwise it sleeps.
func (r *reservations) run(ctx context.Context, c *Proxy) {
	for {
		if !r.active.Load() {
			select {
			case <-ctx.Done():
				return
			case <-r.wake:
			}
		}
		r.sendDemand(c)
		select {
		case <-ctx.Done():
			return
		case <-time.After(demandInterval):
		}
	}
}

func (r *reservations) sendDemand(c *Proxy) {
	r.mu.Lock()
	r.updateGates(c)
	wants := make(map[string]int, len(r.wanted))
	for id, n := range r.wanted {
		wants[id] = n
	}
	demand := r.leases.Demand(wants, c.now())
	demand.Zone = c.settings.Zone
	told := len(r.announced) > 0
	r.mu.Unlock()
	if told {
		c.session.send(&peer.Frame{Demands: []peer.EdgeDemand{{Demand: demand}}})
	}
}
