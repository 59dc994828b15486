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
	"mulleinwood/internal/platform/peer"
)

const (
	demandEvery = 250 * time.Millisecond
	bookedRank  = 1000 // above every priority, while the booking has room
)

// reservations holds an edge's part of booked slots: a gate for each service at which any is held. Without bookings it costs a
// look at one flag for each request.
type reservations struct {
	on    atomic.Bool // any reservation is told, or something runs under a gate
	mu    sync.Mutex
	told  []reservation.Reservation
	held  reservation.Holding
	gates map[string]*reservation.Gate
	wants map[string]int // by reservation, requests in work or waiting
	kick  chan struct{}
}

// pass is what a request holds of a gate.
type pass struct {
	gate        *reservation.Gate
	reservation string // whose traffic it is
	under       string // as what it was let in
	at          time.Duration
	in          bool
}

// take takes the controller's word on which reservations are held.
func (r *reservations) take(c *Proxy, f *peer.Reservations) {
	r.mu.Lock()
	r.held.Follow(f.Term)
	r.told = f.List
	r.settle(c)
	r.mu.Unlock()
	_ = c.logger.Log("event", "rooms", "held", len(f.List), "term", f.Term)
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// lease takes parts of reservations.
func (r *reservations) lease(c *Proxy, l reservation.Lease) {
	r.mu.Lock()
	taken := r.held.Take(l)
	if taken {
		r.settle(c)
	}
	r.mu.Unlock()
	if taken {
		c.waiting.wakeAll()
	}
}

// settle sets the gates as the parts are now. Without a lease, which a cut from the core for long brings about, others are
// held to an even share, and what is booked goes on as room is found.
func (r *reservations) settle(c *Proxy) {
	now, fleet := c.now(), max(1, int(c.edges.Load()))
	services := map[string]bool{}
	for _, one := range r.told {
		if services[one.Service] = true; r.gates[one.Service] == nil {
			r.gates[one.Service] = reservation.NewGate()
		}
		gate := r.gates[one.Service]
		part, full, known := r.held.Part(one.ID, now)
		switch {
		case one.ID != reservation.Rest(one.Service):
			gate.Part(one.ID, part, one.Slots, full)
		case known:
			gate.Others(part, one.Slots, full)
		default:
			gate.Others((one.Slots+fleet-1)/fleet, one.Slots, true)
		}
	}
	for service, gate := range r.gates {
		gate.Keep(func(id string) bool {
			return slices.ContainsFunc(r.told, func(one reservation.Reservation) bool { return one.ID == id && one.Service == service })
		})
		if !services[service] {
			if gate.Free(); gate.Idle() {
				delete(r.gates, service)
			}
		}
	}
	r.on.Store(len(r.told)+len(r.gates) > 0)
}

// of finds the reservation that a request may use: that of its tenant at its service.
func (r *reservations) of(c *Proxy, route *config.Route, service string) string {
	tenant, found := strings.ToLower(route.Plant), reservation.Rest(service)
	for _, one := range r.told {
		if one.Service == service && strings.ToLower(one.Tenant) == tenant && one.Tenant != "" && (one.Route == "" || one.Route == route.Name) && (one.Zone == "" || one.Zone == c.set.Zone) {
			if found = one.ID; r.gates[service].Has(found) {
				break
			}
		}
	}
	return found
}

// enter counts a request that wants room. It gives nil where no reservation is held at its service.
func (r *reservations) enter(c *Proxy, t *task) *pass {
	if !r.on.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	gate := r.gates[t.service]
	if gate == nil {
		return nil
	}
	p := &pass{gate: gate, reservation: r.of(c, t.route, t.service)}
	r.wants[p.reservation]++
	return p
}

// admit lets a request in, once.
func (r *reservations) admit(p *pass, now time.Duration) bool {
	if p == nil || p.in {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.under, p.in = p.gate.Admit(p.reservation)
	p.at = now
	return p.in
}

// back undoes an admission that found no server.
func (r *reservations) back(p *pass) {
	if p == nil || !p.in {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.gate.Done(p.under, 0)
	p.in = false
}

// leave ends a request.
func (r *reservations) leave(c *Proxy, p *pass, service string) {
	if p == nil {
		return
	}
	r.mu.Lock()
	if r.wants[p.reservation]--; r.wants[p.reservation] == 0 {
		delete(r.wants, p.reservation)
	}
	if p.in {
		p.gate.Done(p.under, max(1, c.now()-p.at))
	}
	r.mu.Unlock()
	c.waiting.wake(service)
}

// first tells whether a request goes before all that booked nothing.
func (r *reservations) first(p *pass) bool {
	if p == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.gate.Has(p.reservation)
}

// run says four times a second what is wanted, while any reservation is held. Otherwise it sleeps.
func (r *reservations) run(ctx context.Context, c *Proxy) {
	for {
		if !r.on.Load() {
			select {
			case <-ctx.Done():
				return
			case <-r.kick:
			}
		}
		r.say(c)
		select {
		case <-ctx.Done():
			return
		case <-time.After(demandEvery):
		}
	}
}

func (r *reservations) say(c *Proxy) {
	r.mu.Lock()
	r.settle(c)
	wants := make(map[string]int, len(r.wants))
	for id, n := range r.wants {
		wants[id] = n
	}
	demand := r.held.Demand(wants, c.now())
	demand.Zone = c.set.Zone
	told := len(r.told) > 0
	r.mu.Unlock()
	if told {
		c.controller.send(&peer.Frame{Demands: []peer.EdgeDemand{{Demand: demand}}})
	}
}
