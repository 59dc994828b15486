package simulation

import (
	"fmt"
	"math"
	"slices"
	"time"

	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/edge/picker"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	drainDuration     = 2 * time.Second // time that a server continues to serve after its drain is acknowledged
	drainTimeout      = 5 * time.Second // after which a server whose drain isn't acknowledged stops anyway
	addressReuseDelay = 2 * time.Second
	queuePerSlot      = 2 // maximum waiting requests per slot
)

// server is one incarnation of a server. Its address is used by other servers before and after it.
type server struct {
	id, service, address            string
	zone                            int
	capacity                        int
	workFactor                      float64 // multiple of the usual duration of a request
	seq                             uint64
	nextHeartbeat                   time.Duration
	heartbeatTarget                 int
	draining                        bool
	heartbeatPending                bool
	drainRequestedAt                time.Duration // when it began to drain
	drainAckedAt                    time.Duration // when its drain was acknowledged
	ackedWhileStable                bool          // the controllers were stable at the acknowledgement
	stopped                         bool          // its process has ended
	unresponsive                    bool          // its machine doesn't respond either, not even with a connection reset
	losesRepliesUntil, garblesUntil time.Duration
	failsUntil                      time.Duration // until when most of its responses are truncated
	running, queue                  []*attemptState
}

// attemptState is one attempt of a request at a server.
type attemptState struct {
	request    *request
	upstream   *picker.Upstream
	expectedID string
	sentAt     time.Duration
	respond    func(attempt.Response, int, [2]float64)
	responseTo uint64 // ID of the request that the response belongs to
	abandoned  bool   // the edge no longer waits for the response
	pooled     bool   // sent on a reused connection
}

func (w *cluster) addServer(service, address string, zone int) {
	w.serverCount++
	s := &server{id: fmt.Sprint("i-", w.serverCount), service: service, address: address, zone: zone, capacity: 2 + w.rng.IntN(3),
		workFactor: 0.6 + w.rng.Float64(), heartbeatTarget: w.anyController(), nextHeartbeat: w.now}
	w.serverByAddress[address] = s
	w.servers = append(w.servers, s)
}

// tickServer runs the periodic work of a server.
func (w *cluster) tickServer(s *server) {
	if s.stopped {
		return
	}
	if s.draining && (s.drainAckedAt > 0 && w.now > s.drainAckedAt+drainDuration+100*time.Millisecond ||
		w.now > s.drainRequestedAt+drainTimeout) {
		w.sendHeartbeat(s, registry.Removed)
		w.endServer(s, false)
		return
	}
	if w.now >= s.nextHeartbeat && !s.heartbeatPending {
		s.nextHeartbeat = w.now + heartbeatInterval
		state := registry.Ready
		if s.draining {
			state = registry.Draining
		}
		w.sendHeartbeat(s, state)
	}
}

// sendHeartbeat sends a server's state to a controller. If it doesn't reply in time, the next heartbeat goes to another one
// at once.
func (w *cluster) sendHeartbeat(s *server, state registry.State) {
	s.seq++
	s.heartbeatPending = true
	entry := registry.Entry{ID: s.id, Service: s.service, Address: s.address, Zone: fmt.Sprint("z", s.zone),
		Capacity: s.capacity, Seq: s.seq, State: state}
	if state == registry.Removed {
		entry = registry.Entry{ID: s.id, State: registry.Removed}
	}
	n := w.controllers[s.heartbeatTarget]
	acked := false
	delay := 1 + w.rng.IntN(5)
	if state == registry.Ready && w.rng.IntN(8) == 0 {
		delay += w.rng.IntN(3000) // a late heartbeat on a slow connection
	}
	w.scheduleMillis(delay, func() { w.receiveHeartbeat(n, s, entry, &acked) })
	w.scheduleMillis(int(heartbeatTimeout/time.Millisecond), func() {
		if !acked {
			acked, s.heartbeatPending = true, false
			s.heartbeatTarget, s.nextHeartbeat = w.nextController(s.heartbeatTarget), w.now
		}
	})
}

// receiveHeartbeat handles a heartbeat at a controller. It sets acked once the server has received the acknowledgement.
func (w *cluster) receiveHeartbeat(n *controller, s *server, entry registry.Entry, acked *bool) {
	if w.scenario.PlantedFault == "a late beat undoes a drain" && entry.State == registry.Ready {
		w.undoDrain(n, entry.ID)
	}
	if !w.isRunning(n.number) || entry.State > registry.Ready && !n.replica.HasQuorumContact(w.now) {
		return
	}
	entry.Owner = n.name
	n.nextCall++
	incarnation := n.incarnation
	n.calls[n.nextCall] = func() {
		calm := w.isStable()
		w.scheduleMillis(1+w.rng.IntN(5), func() {
			if n.incarnation != incarnation || *acked {
				return
			}
			*acked, s.heartbeatPending = true, false
			if entry.State == registry.Draining && s.drainAckedAt == 0 {
				s.drainAckedAt, s.ackedWhileStable = w.now, calm
			}
		})
	}
	if w.scenario.PlantedFault == "a drain is acknowledged before it is told" && entry.State == registry.Draining {
		n.calls[n.nextCall]()
		delete(n.calls, n.nextCall)
		return
	}
	n.broadcaster.HandleServerCall(entry, n.nextCall, w.now)
	w.publishUpdates(n)
}

// undoDrain removes a draining server from a controller's registry, for a planted fault.
func (w *cluster) undoDrain(n *controller, id string) {
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
	for _, k := range w.links {
		if k.up && (k.a == n.number || k.b == n.number) {
			other := k.a + k.b - n.number
			n.broadcaster.AddPeer(linkName(other), other < 0)
		}
	}
}

// drainServer begins to drain a server.
func (w *cluster) drainServer(s *server) {
	if !s.draining && !s.stopped {
		s.draining, s.drainRequestedAt, s.nextHeartbeat = true, w.now, w.now
	}
}

// endServer ends a server's process. Its address goes to a new server of a random service.
func (w *cluster) endServer(s *server, unresponsive bool) {
	s.stopped, s.unresponsive = true, unresponsive
	for _, t := range append(s.running, s.queue...) {
		w.scheduleMillis(1, func() { t.respond(attempt.Response{}, 0, [2]float64{}) }) // the connection is closed
	}
	s.running, s.queue = nil, nil
	service := w.services[w.rng.IntN(len(w.services))]
	w.scheduleMillis(int(addressReuseDelay/time.Millisecond), func() {
		if w.serverByAddress[s.address] == s {
			w.addServer(service, s.address, s.zone)
		}
		if service != s.service { // a replacement of the original service starts at a new address
			w.addressCount++
			w.addServer(s.service, fmt.Sprint("a-", w.addressCount), s.zone)
		}
	})
}

// arriveAtServer handles a request that arrives at an address.
func (w *cluster) arriveAtServer(t *attemptState, address string) {
	s := w.serverByAddress[address]
	load := func() [2]float64 { return [2]float64{float64(len(s.running)), float64(len(s.queue))} }
	if s == nil || s.stopped {
		if s == nil || !s.unresponsive {
			t.respond(attempt.Response{}, 0, [2]float64{})
		}
		return
	}
	if s.id != t.expectedID && w.scenario.PlantedFault != "connections belong to an address" {
		t.respond(attempt.Response{Received: true, IDMatches: true, Delimited: true, Complete: true, NotRun: true}, 421, load())
		return
	}
	w.countArrival(t, s)
	switch {
	case len(s.running) < s.capacity:
		w.beginWork(s, t)
	case len(s.queue) < queuePerSlot*s.capacity:
		s.queue = append(s.queue, t)
	default:
		t.respond(attempt.Response{Received: true, IDMatches: true, Delimited: true, Complete: true, NotRun: true}, 503, load())
	}
}

// beginWork starts to run a request at a server.
func (w *cluster) beginWork(s *server, t *attemptState) {
	s.running = append(s.running, t)
	w.countRun(t, s)
	work := 0.04 * math.Exp(0.5*w.rng.NormFloat64()) * s.workFactor * w.slowFactor(s)
	w.scheduleMillis(int(work*1000), func() { w.endWork(s, t) })
}

// endWork responds to a request and starts waiting requests. The active faults of a server are drawn for each response.
func (w *cluster) endWork(s *server, t *attemptState) {
	if i := slices.Index(s.running, t); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
	if s.stopped {
		return
	}
	for len(s.queue) > 0 && len(s.running) < s.capacity {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.abandoned { // the edge has closed its connection
			w.beginWork(s, next)
		}
	}
	load := [2]float64{float64(len(s.running)), float64(len(s.queue))}
	response := attempt.Response{Received: true, IDMatches: true, Delimited: true, Complete: true, Success: true, Sealed: true}
	t.responseTo = t.request.id
	switch {
	case s.garblesUntil > w.now && w.rng.IntN(8) == 0:
		if response.IDMatches = w.rng.IntN(2) == 0; response.IDMatches {
			response.Complete = false
		} else {
			t.responseTo-- // a late response to another request
		}
	case s.failsUntil > w.now && w.rng.IntN(5) > 0:
		response.Complete = false
	}
	if s.losesRepliesUntil > w.now && w.rng.IntN(8) == 0 {
		return
	}
	w.scheduleMillis(1+w.rng.IntN(4), func() { t.respond(response, 200, load) })
}

// slowFactor returns the current slowdown of a server.
func (w *cluster) slowFactor(s *server) float64 {
	if until, ok := w.slowUntil[s]; ok && w.now < until {
		return 8
	}
	return 1
}
