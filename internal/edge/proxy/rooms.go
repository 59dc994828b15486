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
	wordEvery  = 250 * time.Millisecond
	bookedRank = 1000 // above every priority, while the booking has room
)

// rooms holds an edge's part of booked room: a gate for each service at which any is held. Without bookings it costs a
// look at one flag for each request.
type rooms struct {
	on    atomic.Bool // any room is told, or something runs under a gate
	mu    sync.Mutex
	told  []reservation.Room
	held  reservation.Held
	gates map[string]*reservation.Gate
	wants map[string]int // by room, requests in work or waiting
	kick  chan struct{}
}

// pass is what a request holds of a gate.
type pass struct {
	gate  *reservation.Gate
	room  string // whose traffic it is
	under string // as what it was let in
	at    time.Duration
	in    bool
}

// take takes the home controller's word on which rooms are held.
func (r *rooms) take(c *Crossbar, f *peer.Rooms) {
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

// lease takes parts of rooms.
func (r *rooms) lease(c *Crossbar, l reservation.Lease) {
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
func (r *rooms) settle(c *Crossbar) {
	now, fleet := c.now(), max(1, int(c.edges.Load()))
	services := map[string]bool{}
	for _, room := range r.told {
		if services[room.Service] = true; r.gates[room.Service] == nil {
			r.gates[room.Service] = reservation.NewGate()
		}
		gate := r.gates[room.Service]
		part, full, known := r.held.Part(room.ID, now)
		switch {
		case room.ID != reservation.Rest(room.Service):
			gate.Part(room.ID, part, room.Slots, full)
		case known:
			gate.Others(part, room.Slots, full)
		default:
			gate.Others((room.Slots+fleet-1)/fleet, room.Slots, true)
		}
	}
	for service, gate := range r.gates {
		gate.Keep(func(id string) bool {
			return slices.ContainsFunc(r.told, func(room reservation.Room) bool { return room.ID == id && room.Service == service })
		})
		if !services[service] {
			if gate.Free(); gate.Idle() {
				delete(r.gates, service)
			}
		}
	}
	r.on.Store(len(r.told)+len(r.gates) > 0)
}

// of finds the room that a request may use: that of its tenant at its service.
func (r *rooms) of(c *Crossbar, route *config.Route, service string) string {
	tenant, found := strings.ToLower(route.Plant), reservation.Rest(service)
	for _, room := range r.told {
		if room.Service == service && strings.ToLower(room.Tenant) == tenant && room.Tenant != "" && (room.Route == "" || room.Route == route.Name) && (room.Zone == "" || room.Zone == c.set.Zone) {
			if found = room.ID; r.gates[service].Has(found) {
				break
			}
		}
	}
	return found
}

// enter counts a request that wants room. It gives nil where no room is held at its service.
func (r *rooms) enter(c *Crossbar, t *task) *pass {
	if !r.on.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	gate := r.gates[t.service]
	if gate == nil {
		return nil
	}
	p := &pass{gate: gate, room: r.of(c, t.route, t.service)}
	r.wants[p.room]++
	return p
}

// admit lets a request in, once.
func (r *rooms) admit(p *pass, now time.Duration) bool {
	if p == nil || p.in {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.under, p.in = p.gate.Admit(p.room)
	p.at = now
	return p.in
}

// back undoes an admission that found no server.
func (r *rooms) back(p *pass) {
	if p == nil || !p.in {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.gate.Done(p.under, 0)
	p.in = false
}

// leave ends a request.
func (r *rooms) leave(c *Crossbar, p *pass, service string) {
	if p == nil {
		return
	}
	r.mu.Lock()
	if r.wants[p.room]--; r.wants[p.room] == 0 {
		delete(r.wants, p.room)
	}
	if p.in {
		p.gate.Done(p.under, max(1, c.now()-p.at))
	}
	r.mu.Unlock()
	c.waiting.wake(service)
}

// first tells whether a request goes before all that booked nothing.
func (r *rooms) first(p *pass) bool {
	if p == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.gate.Has(p.room)
}

// run says four times a second what is wanted, while any room is held. Otherwise it sleeps.
func (r *rooms) run(ctx context.Context, c *Crossbar) {
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
		case <-time.After(wordEvery):
		}
	}
}

func (r *rooms) say(c *Crossbar) {
	r.mu.Lock()
	r.settle(c)
	wants := make(map[string]int, len(r.wants))
	for room, n := range r.wants {
		wants[room] = n
	}
	word := r.held.Word(wants, c.now())
	word.Zone = c.set.Zone
	told := len(r.told) > 0
	r.mu.Unlock()
	if told {
		c.home.send(&peer.Frame{Words: []peer.Worded{{Word: word}}})
	}
}
