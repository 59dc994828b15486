package simulation

import (
	"fmt"
	"math"
	"time"

	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/edge/picker"
)

const (
	beatOf     = 1500 * time.Millisecond
	callWait   = time.Second
	drainOf    = 2 * time.Second // that a server serves on after its leaving is acknowledged, and the rule's bound
	drainMost  = 5 * time.Second // after which one that nobody acknowledges ends anyway
	reuseAfter = 2 * time.Second
	queueOf    = 2 // waiting requests a slot
)

// server is one life of a server, on an address that others had before it and will have after it.
type server struct {
	id, service, address string
	zone                 int
	capacity             int
	speed                float64 // times as long as usual
	seq                  uint64
	next                 time.Duration // beat
	target               int
	leaving              bool
	calling              bool
	asked                time.Duration // when it began to leave
	acked                time.Duration // when that was acknowledged
	ackedCalm            bool          // by a controller in touch
	ended                bool          // its process is gone
	silent               bool          // and its machine says nothing
	losing, garbling     time.Duration
	sick                 time.Duration // until when most of what it runs breaks off
	running, queue       []*try
}

// try is a request at a server.
type try struct {
	q      *request
	l      *picker.Upstream
	expect string
	sent   time.Duration
	answer func(attempt.Response, int, [2]float64)
	brings uint64 // the request that the answer belongs to
	over   bool   // the edge has stopped listening
}

func (w *world) newServer(service, address string, zone int) *server {
	w.lives++
	s := &server{id: fmt.Sprint("i-", w.lives), service: service, address: address, zone: zone, capacity: 2 + w.rng.IntN(3),
		speed: 0.6 + w.rng.Float64(), target: w.some(), next: w.now}
	w.at[address] = s
	w.servers = append(w.servers, s)
	return s
}

// serve does what a server does by the clock.
func (w *world) serve(s *server) {
	if s.ended {
		return
	}
	if s.leaving && (s.acked > 0 && w.now > s.acked+drainOf+100*time.Millisecond || w.now > s.asked+drainMost) {
		w.call(s, registry.Removed)
		w.end(s, false)
		return
	}
	if w.now >= s.next && !s.calling {
		s.next = w.now + beatOf
		state := registry.Ready
		if s.leaving {
			state = registry.Draining
		}
		w.call(s, state)
	}
}

// call tells a controller, and another one if that doesn't answer.
func (w *world) call(s *server, state registry.State) {
	s.seq++
	s.calling = true
	e := registry.Entry{ID: s.id, Service: s.service, Address: s.address, Zone: fmt.Sprint("z", s.zone), Capacity: s.capacity, Seq: s.seq, State: state}
	if state == registry.Removed {
		e = registry.Entry{ID: s.id, State: registry.Removed}
	}
	n := w.nodes[s.target]
	answered := false
	way := 1 + w.rng.IntN(5)
	if state == registry.Ready && w.rng.IntN(8) == 0 {
		way += w.rng.IntN(3000) // a late one: the connection was slow
	}
	w.after(way, func() {
		if w.day.Fault == "a late beat undoes a drain" && state == registry.Ready {
			w.undo(n, e.ID)
		}
		if !w.running(n.n) || state > registry.Ready && !n.member.HasQuorumContact(w.now) {
			return
		}
		e.Owner = n.name
		n.nextCall++
		life := n.life
		n.calls[n.nextCall] = func() {
			calm := w.calm()
			w.after(1+w.rng.IntN(5), func() {
				if n.life != life || answered {
					return
				}
				answered, s.calling = true, false
				if state == registry.Draining && s.acked == 0 {
					s.acked, s.ackedCalm = w.now, calm
				}
			})
		}
		if w.day.Fault == "a drain is acknowledged before it is told" && state == registry.Draining {
			n.calls[n.nextCall]()
			delete(n.calls, n.nextCall)
			return
		}
		n.broadcaster.HandleServerCall(e, n.nextCall, w.now)
		w.flush(n)
	})
	w.after(int(callWait/time.Millisecond), func() {
		if !answered {
			answered, s.calling = true, false
			s.target, s.next = w.following(s.target), w.now
		}
	})
}

// undo has a controller forget that a server leaves.
func (w *world) undo(n *node, id string) {
	if e, known := n.registry.Get(id); !known || e.State != registry.Draining {
		return
	}
	all := n.registry.All(w.now)
	n.registry = registry.New(90 * time.Second)
	n.broadcaster, n.calls = broadcast.New(n.registry), map[uint64]func(){}
	for _, e := range all {
		if e.ID != id {
			n.registry.Apply(e, w.now)
		}
	}
	for _, k := range w.wires {
		if k.up && (k.a == n.n || k.b == n.n) {
			other := k.a + k.b - n.n
			n.broadcaster.AddPeer(linkName(other), other < 0)
		}
	}
}

// leave begins a planned end.
func (w *world) leave(s *server) {
	if !s.leaving && !s.ended {
		s.leaving, s.asked, s.next = true, w.now, w.now
	}
}

// end is the end of a server's process. Its address goes to a server of another service.
func (w *world) end(s *server, silent bool) {
	s.ended, s.silent = true, silent
	for _, t := range append(s.running, s.queue...) {
		w.after(1, func() { t.answer(attempt.Response{}, 0, [2]float64{}) }) // the connection breaks
	}
	s.running, s.queue = nil, nil
	service := w.services[w.rng.IntN(len(w.services))]
	w.after(int(reuseAfter/time.Millisecond), func() {
		if w.at[s.address] == s {
			w.newServer(service, s.address, s.zone)
		}
		if service != s.service { // and a new one takes its place
			w.addresses++
			w.newServer(s.service, fmt.Sprint("a-", w.addresses), s.zone)
		}
	})
}

// arrive is a request that comes to an address.
func (w *world) arrive(t *try, address string) {
	s := w.at[address]
	load := func() [2]float64 { return [2]float64{float64(len(s.running)), float64(len(s.queue))} }
	if s == nil || s.ended {
		if s == nil || !s.silent {
			t.answer(attempt.Response{}, 0, [2]float64{})
		}
		return
	}
	if s.id != t.expect && w.day.Fault != "connections belong to an address" {
		t.answer(attempt.Response{Received: true, OwnID: true, Delimited: true, Complete: true, NotRun: true}, 421, load())
		return
	}
	w.arrived(t, s)
	switch {
	case len(s.running) < s.capacity:
		w.begin(s, t)
	case len(s.queue) < queueOf*s.capacity:
		s.queue = append(s.queue, t)
	default:
		t.answer(attempt.Response{Received: true, OwnID: true, Delimited: true, Complete: true, NotRun: true}, 503, load())
	}
}

// begin runs a request.
func (w *world) begin(s *server, t *try) {
	s.running = append(s.running, t)
	w.ran(t, s)
	work := 0.04 * math.Exp(0.5*w.rng.NormFloat64()) * s.speed * w.slowness(s)
	w.after(int(work*1000), func() {
		for i, r := range s.running {
			if r == t {
				s.running = append(s.running[:i], s.running[i+1:]...)
				break
			}
		}
		if s.ended {
			return
		}
		for len(s.queue) > 0 && len(s.running) < s.capacity {
			next := s.queue[0]
			s.queue = s.queue[1:]
			if !next.over { // its connection was closed
				w.begin(s, next)
			}
		}
		load := [2]float64{float64(len(s.running)), float64(len(s.queue))}
		a := attempt.Response{Received: true, OwnID: true, Delimited: true, Complete: true, Success: true, Sealed: true}
		t.brings = t.q.id
		switch {
		case s.garbling > w.now && w.rng.IntN(8) == 0:
			if a.OwnID = w.rng.IntN(2) == 0; a.OwnID {
				a.Complete = false
			} else {
				t.brings-- // one that came late, in this one's place
			}
		case s.sick > w.now && w.rng.IntN(5) > 0:
			a.Complete = false
		}
		if s.losing > w.now && w.rng.IntN(8) == 0 {
			return
		}
		w.after(1+w.rng.IntN(4), func() { t.answer(a, 200, load) })
	})
}

// slowness is how much slower than usual a server is now.
func (w *world) slowness(s *server) float64 {
	if until, ok := w.slowed[s]; ok && w.now < until {
		return 8
	}
	return 1
}
