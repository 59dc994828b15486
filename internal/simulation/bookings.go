package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/platform/apierror"
)

// BookingLoad is the traffic of one tenant and of all other clients to the first service. For a while the others send a
// multiple of their usual rate and immediately repeat rejected requests. The surge is known beforehand, so that the tenant
// can book capacity for it.
type BookingLoad struct {
	Rate        float64 // requests per second and edge, for the tenant and for the others each
	SurgeFactor float64 // multiple of the usual rate that the others send during the surge
	BookedShare float64 // share of the service's slots that the tenant books; 0: no booking
	SingleEdge  bool    // whether all clients of the tenant use one edge
}

// TrafficStats counts the requests of the tenant or of the others during the measurement.
type TrafficStats struct {
	Requests, Served, Late, Rejected int
	Latencies                        []time.Duration
}

const (
	bookingStart     = 10 * time.Second // start of the booking; its slots are reserved from five seconds before
	surgeStart       = 8 * time.Second
	surgeEnd         = 20 * time.Second
	measurementStart = 9 * time.Second // one second after the surge starts
	maxResends       = 3               // repetitions of a rejected request by the others
	allocateInterval = 250 * time.Millisecond
	clockSkew        = 2 * time.Hour // offset of the first controller's wall clock
)

// NewBookingScenario generates a scenario with the given load in which processes end, servers drain and crash, and edges are
// partitioned occasionally.
func NewBookingScenario(seed uint64, members, maxLostDisks int, busy BookingLoad) Scenario {
	rng := rand.New(rand.NewPCG(seed, 14))
	scenario := Scenario{Seed: seed, Members: members, MaxLostDisks: maxLostDisks, Edges: 4, Services: 2, Servers: 12, Rate: 2,
		ChangeIntervalTicks: 300, Length: 22 * time.Second, BookingLoad: busy, MeasureLatency: true}
	kinds := []string{Kill, KillEdge, PartitionEdge, Drain, Drain, Crash, SlowDisk, Freeze, PowerAll}
	for at := 2 * time.Second; at < scenario.Length-2*time.Second; at += time.Duration(1000+rng.IntN(3000)) * time.Millisecond {
		scenario.Faults = append(scenario.Faults, Fault{At: at, Kind: kinds[rng.IntN(len(kinds))], Node: rng.IntN(1000),
			Duration: time.Duration(200+rng.IntN(1200)) * time.Millisecond})
	}
	return scenario
}

// controllerReservations is the reservation state of a controller.
type controllerReservations struct {
	clock          *reservation.Clock
	allocator      *reservation.Allocator
	readIndex      uint64
	readStarted    time.Duration
	leaderProvenAt time.Duration
	nextAllocation time.Duration
	announced      []reservation.Reservation
	term           uint64
	announcer      int
}

// edgeReservations is the reservation state of an edge.
type edgeReservations struct {
	leases     reservation.LeaseHolder
	announced  []reservation.Reservation
	gate       *reservation.AdmissionGate
	wanted     map[string]int
	nextDemand time.Duration
}

// admission is a request's use of an admission gate.
type admission struct {
	gate                    *reservation.AdmissionGate
	reservation, admittedAs string
	at                      time.Duration
	admitted                bool
}

func (w *cluster) newReservations(n *controller) {
	n.reservations = controllerReservations{clock: reservation.NewClock(), announcer: n.number}
}

// wallClock returns a controller's wall clock in seconds. The first controller's is off by clockSkew.
func (w *cluster) wallClock(n *controller) float64 {
	wall := w.now + n.clockOffset
	if n.number == 0 {
		wall += clockSkew
	}
	return wall.Seconds() + 1e6
}

// manageBooking makes an operator book the tenant's slots until the booking is acknowledged.
func (w *cluster) manageBooking() {
	busy := w.scenario.BookingLoad
	if busy.BookedShare == 0 || w.now < time.Second || w.bookingAcked || w.now%(200*time.Millisecond) != 0 {
		return
	}
	n := w.controllers[w.anyController()]
	if !w.isRunning(n.number) || n.replica.Role() != consensus.Leader {
		return
	}
	capacity := 0.0
	for _, s := range w.servers {
		if s.service == w.services[0] && !s.stopped {
			capacity += float64(s.capacity)
		}
	}
	b := reservation.Booking{ID: "busy", Tenant: "tenant", Service: w.services[0], Start: 1e6 + bookingStart.Seconds(),
		End: 2e6, Slots: float64(int(capacity * busy.BookedShare)), Owner: "hall"}
	data, err := cbor.Marshal(statemachine.Change{Bookings: &reservation.Op{Call: "busy", Base: n.state.Bookings.Version,
		Puts: []reservation.Booking{b}, Now: n.reservations.clock.Now(w.now)}})
	if err != nil {
		panic(err) // can't fail: plain values only
	}
	index, term, _ := n.replica.Propose(data, w.now)
	n.proposals[index] = pendingProposal{term, w.now + callTimeout, func(err error) {
		if err == nil {
			w.bookingAcked = true
		} else if apierror.For(err).Status < 500 {
			w.fail("FAULT: a booking was rejected: %v", err)
		}
	}}
	w.processOutput(n)
}

// allocateReservations runs the leader's part of reservations, as the program does: it confirms its leadership, announces
// the active reservations and gives the edges their leases.
func (w *cluster) allocateReservations(n *controller) {
	reservations := &n.reservations
	if w.now < reservations.nextAllocation || n.replica.Role() != consensus.Leader || n.state.Bookings.Version == 0 {
		return
	}
	reservations.nextAllocation = w.now + allocateInterval
	if reservations.allocator == nil || reservations.allocator.Term() != n.replica.Term() {
		w.newAllocator(n)
	}
	if reservations.readIndex > 0 && n.replica.ReadConfirmed(reservations.readIndex) {
		reservations.leaderProvenAt = reservations.readStarted
	}
	reservations.readIndex, reservations.readStarted = n.replica.ReadIndex(w.now), w.now
	w.processOutput(n)
	if reservations.leaderProvenAt == 0 || w.now-reservations.leaderProvenAt > reservation.LeaderProofTTL {
		return
	}
	w.announceReservations(n)
	if len(reservations.announced) == 0 {
		return
	}
	reservations.allocator.SetReservations(reservations.announced, w.now)
	leases := reservations.allocator.Allocate(w.now)
	for i := range w.edges {
		if lease, ok := leases[linkName(-1-i)]; ok {
			w.relay(n.number, w.edges[i].controller, i, func(e *edge) { e.reservations.leases.Accept(lease) })
		}
	}
}

// newAllocator creates the allocator of a term. The leases of the previous leader have to expire before their slots are
// allocated again.
func (w *cluster) newAllocator(n *controller) {
	startedAt := w.now
	if w.scenario.PlantedFault == "a new dealer deals at once" {
		startedAt = -time.Hour
	}
	reservations := &n.reservations
	reservations.allocator, reservations.readIndex, reservations.leaderProvenAt =
		reservation.NewAllocator(n.replica.Term(), startedAt), 0, 0
}

// announceReservations sends the active reservations to all controllers.
func (w *cluster) announceReservations(n *controller) {
	reservations := &n.reservations
	reservations.announced = n.state.Bookings.ReservationsAt(w.readyCapacity(n), reservations.clock.Now(w.now))
	reservations.term, reservations.announcer = n.replica.Term(), n.number
	announced, term := reservations.announced, reservations.term
	for _, o := range w.controllers {
		if k := w.linkBetween(n.number, o.number); o != n && k != nil {
			w.sendOnLink(k, n.number, func() {
				if term >= o.reservations.term {
					o.reservations.announced, o.reservations.term, o.reservations.announcer = announced, term, n.number
				}
			})
		}
	}
}

// readyCapacity returns the slots of the ready servers that a controller knows, by service and zone.
func (w *cluster) readyCapacity(n *controller) map[string]reservation.Capacity {
	capacity := map[string]reservation.Capacity{}
	for _, e := range n.registry.All(w.now) {
		if e.State != registry.Ready || e.TimedOut {
			continue
		}
		if capacity[e.Service] == nil {
			capacity[e.Service] = reservation.Capacity{}
		}
		capacity[e.Service][e.Zone] += float64(e.Capacity)
	}
	return capacity
}

// relay delivers do from a controller to an edge through the edge's controller.
func (w *cluster) relay(from, controller, edge int, do func(*edge)) {
	last := func() {
		if k := w.linkBetween(controller, -1-edge); k != nil {
			w.sendOnLink(k, controller, func() { do(w.edges[edge]) })
		}
	}
	if from == controller {
		last()
	} else if k := w.linkBetween(from, controller); controller != nowhere && k != nil {
		w.sendOnLink(k, from, last)
	}
}

// updateGate makes an edge take over its controller's reservations, report its demand and set its admission gate to the
// shares of its leases.
func (w *cluster) updateGate(e *edge) {
	reservations := &e.reservations
	if w.scenario.BookingLoad.BookedShare == 0 || w.now < reservations.nextDemand || e.frozenUntil > w.now {
		return
	}
	reservations.nextDemand = w.now + allocateInterval
	if k := w.linkBetween(e.controller, -1-e.number); e.controller != nowhere && k != nil {
		controller := w.controllers[e.controller]
		if controller.reservations.term > 0 {
			reservations.announced = controller.reservations.announced
			reservations.leases.AdvanceTerm(controller.reservations.term)
		}
		if len(reservations.announced) > 0 {
			w.sendDemand(e, controller, k)
		}
	}
	reservations.gate.Retain(func(id string) bool {
		return slices.ContainsFunc(reservations.announced, func(o reservation.Reservation) bool { return o.ID == id })
	})
	if len(reservations.announced) == 0 {
		reservations.gate.ClearUnreservedLimit()
	}
	for _, held := range reservations.announced {
		share, full, known := reservations.leases.Share(held.ID, w.now)
		switch {
		case held.ID != reservation.UnreservedID(held.Service):
			reservations.gate.SetShare(held.ID, share, held.Slots, full)
		case known:
			reservations.gate.LimitUnreserved(share, held.Slots, full)
		default: // no lease: an equal share
			reservations.gate.LimitUnreserved((held.Slots+len(w.edges)-1)/len(w.edges), held.Slots, true)
		}
	}
}

// sendDemand sends an edge's demand to the leader through the edge's controller.
func (w *cluster) sendDemand(e *edge, controller *controller, k *link) {
	demand := e.reservations.leases.Demand(maps.Clone(e.reservations.wanted), w.now)
	w.sendOnLink(k, -1-e.number, func() {
		leader := controller.reservations.announcer
		deliver := func() {
			if a := w.controllers[controller.reservations.announcer].reservations.allocator; a != nil {
				a.HandleDemand(linkName(-1-e.number), demand, w.now)
			}
		}
		if leader == controller.number {
			deliver()
		} else if k := w.linkBetween(controller.number, leader); k != nil {
			w.sendOnLink(k, controller.number, deliver)
		}
	})
}

// auditReservations checks that the shares of the booking at all edges don't exceed the largest capacity that was reserved
// for it while their leases may still be valid.
func (w *cluster) auditReservations() {
	if w.scenario.BookingLoad.BookedShare == 0 || w.now%allocateInterval != 0 {
		return
	}
	capacity, total := 0, 0
	for _, n := range w.controllers {
		if n.replica.Role() == consensus.Leader && n.reservations.leaderProvenAt > 0 &&
			w.now-n.reservations.leaderProvenAt <= reservation.LeaderProofTTL {
			for _, one := range n.reservations.announced {
				if one.ID == "busy" {
					capacity = one.Slots
				}
			}
		}
	}
	w.admittedShares = append(w.admittedShares, capacity)
	const leaseSamples = 44 // number of audits that cover the lifetime of a lease and of a proof of leadership
	limit := slices.Max(w.admittedShares[max(0, len(w.admittedShares)-leaseSamples):])
	for _, e := range w.edges {
		share, _, _ := e.reservations.leases.Share("busy", w.now)
		total += share
	}
	if total > limit {
		w.fail("ROOM: edges hold %d slots of a booking of %d", total, limit)
	}
}

// generateBookedTraffic starts the requests of the tenant's and the others' clients at an edge.
func (w *cluster) generateBookedTraffic(e *edge) {
	busy := w.scenario.BookingLoad
	if busy.Rate == 0 || e.frozenUntil > w.now {
		return
	}
	tenant, others := busy.Rate, busy.Rate
	if busy.SingleEdge {
		tenant = 0
		if e.number == 0 {
			tenant = busy.Rate * float64(len(w.edges))
		}
	}
	if w.now >= surgeStart && w.now < surgeEnd {
		others *= max(1, busy.SurgeFactor)
	}
	for i, rate := range []float64{tenant, others} {
		for expected := rate * tickInterval.Seconds(); expected > 0; expected-- {
			if w.rng.Float64() < expected {
				stats := &w.result.Others
				if i == 0 {
					stats = &w.result.Tenant
				}
				w.startBookedRequest(e, stats, 0)
			}
		}
	}
}

// startBookedRequest starts a request of the tenant or of the others.
func (w *cluster) startBookedRequest(e *edge, stats *TrafficStats, resends int) {
	w.nextKey++
	q := &request{id: w.nextKey, safe: true, service: w.services[0], edge: e, incarnation: e.incarnation, startedAt: w.now,
		stable: w.isStable() && e.stableSince <= w.now, trafficStats: stats, resends: resends}
	q.measured = w.now >= measurementStart && w.now < surgeEnd
	if q.measured {
		q.trafficStats.Requests++
	}
	q.retries = attempt.Retries{Safe: true, MaxServers: maxAttempts}
	w.result.Requests++
	w.requestTimes[q.service] = append(w.requestTimes[q.service], w.now)
	e.serviceRequests[q.service]++
	e.budget(q.service, len(w.edges)).Earn()
	if len(e.reservations.announced) > 0 {
		q.admission = &admission{gate: e.reservations.gate, reservation: reservation.UnreservedID(q.service)}
		if stats == &w.result.Tenant {
			q.admission.reservation = "busy"
		}
		e.reservations.wanted[q.admission.reservation]++
	}
	w.startAttempt(q)
}

// pickForBooking picks a server if the admission gate admits the request.
func (w *cluster) pickForBooking(e *edge, q *request) (u *picker.Upstream) {
	if admission := q.admission; admission != nil && !admission.admitted {
		if admission.admittedAs, admission.admitted = admission.gate.Admit(admission.reservation); !admission.admitted {
			return nil
		}
		admission.at = w.now
	}
	if u = w.pickServer(e, q); u == nil && q.admission != nil && q.retries.SentAttempts == 0 {
		q.admission.gate.Release(q.admission.admittedAs, 0)
		q.admission.admitted = false
	}
	return u
}

// bookedResult is the result of a request of the tenant or of the others.
type bookedResult uint8

const (
	bookedFailed bookedResult = iota
	bookedServed
	bookedRefused
)

// bookedResultOf returns the result for the outcome of the last attempt and its status.
func bookedResultOf(outcome attempt.Outcome, status int) bookedResult {
	switch {
	case outcome == attempt.Ran && status < 500:
		return bookedServed
	case outcome == attempt.NotSent || outcome == attempt.NotRun:
		return bookedRefused
	}
	return bookedFailed
}

// finishBookedRequest releases the admission of a request, counts its result and repeats rejected requests of the others.
func (w *cluster) finishBookedRequest(q *request, result bookedResult) {
	if admission := q.admission; admission != nil {
		if q.edge.reservations.wanted[admission.reservation]--; admission.admitted {
			admission.gate.Release(admission.admittedAs, max(1, w.now-admission.at))
		}
	}
	if q.trafficStats == nil {
		return
	}
	if result == bookedRefused && q.trafficStats == &w.result.Others && q.resends < maxResends {
		e := w.edges[w.rng.IntN(len(w.edges))]
		w.scheduleMillis(1+w.rng.IntN(20), func() {
			if e.frozenUntil <= w.now {
				w.startBookedRequest(e, &w.result.Others, q.resends+1)
			}
		})
	}
	if !q.measured {
		return
	}
	switch took := w.now - q.startedAt; result {
	case bookedServed:
		q.trafficStats.Served++
		q.trafficStats.Latencies = append(q.trafficStats.Latencies, took)
		if took > latencyTarget {
			q.trafficStats.Late++
		}
	case bookedRefused:
		q.trafficStats.Rejected++
	}
}

func (t *TrafficStats) add(o TrafficStats) {
	t.Requests, t.Served, t.Late, t.Rejected = t.Requests+o.Requests, t.Served+o.Served, t.Late+o.Late, t.Rejected+o.Rejected
	t.Latencies = append(t.Latencies, o.Latencies...)
}

// String returns the counts as shares of the requests, and percentiles of the latency.
func (t TrafficStats) String() string {
	took := slices.Clone(t.Latencies)
	slices.Sort(took)
	at := func(share float64) time.Duration {
		if len(took) == 0 {
			return 0
		}
		return took[min(len(took)-1, int(share*float64(len(took))))]
	}
	return fmt.Sprintf("%d asked, %.4f served, %.4f late, %.4f refused; p50 %s, p99 %s, p99.9 %s", t.Requests,
		float64(t.Served)/float64(max(1, t.Requests)),
		float64(t.Late)/float64(max(1, t.Requests)), float64(t.Rejected)/float64(max(1, t.Requests)),
		at(0.5), at(0.99), at(0.999))
}
