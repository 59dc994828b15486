package simulation

import (
	"fmt"
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

// Busy is a busy day that was known beforehand: one tenant's traffic at the first service, and that of all others, which
// for a while come at many times their usual rate and repeat at once what is refused.
type Busy struct {
	Rate   float64 // requests a second and edge of the tenant, and of the others
	Crowd  float64 // times the usual that others come at
	Booked float64 // share of the service's slots that the tenant books; 0: nothing
	OneIn  bool    // all of the tenant's clients come in at one edge
}

// Tenant is what one side of a busy day met, from when the crowd is there.
type Tenant struct {
	Asked, Served, Late, Refused int
	Took                         []time.Duration
}

const (
	bookedFrom       = 10 * time.Second // its room opens five seconds before
	herdFrom         = 8 * time.Second
	herdTo           = 20 * time.Second
	measured         = 9 * time.Second // from a second after the crowd came
	maxRetries       = 3               // times that others repeat
	allocateInterval = 250 * time.Millisecond
	aheadBy          = 2 * time.Hour // of the first controller's clock
)

// NewBookingScenario draws a busy day on which processes end, servers leave and crash, and edges are cut off now and then.
func NewBookingScenario(seed uint64, members, lost int, busy Busy) Scenario {
	rng := rand.New(rand.NewPCG(seed, 14))
	d := Scenario{Seed: seed, Members: members, MaxLostDisks: lost, Edges: 4, Services: 2, Servers: 12, Rate: 2, Every: 300,
		Length: 22 * time.Second, Busy: busy, Latency: true}
	kinds := []string{Kill, KillEdge, PartitionEdge, Drain, Drain, Crash, SlowDisk, Freeze, PowerAll}
	for at := 2 * time.Second; at < d.Length-2*time.Second; at += time.Duration(1000+rng.IntN(3000)) * time.Millisecond {
		d.Faults = append(d.Faults, Fault{At: at, Kind: kinds[rng.IntN(len(kinds))], Node: rng.IntN(1000),
			For: time.Duration(200+rng.IntN(1200)) * time.Millisecond})
	}
	return d
}

// nodeReservations is a controller's part of booked slots.
type nodeReservations struct {
	clock  *reservation.Clock
	dealer *reservation.Allocator
	round  uint64
	asked  time.Duration
	proven time.Duration
	next   time.Duration
	told   []reservation.Reservation
	term   uint64
	from   int
}

// edgeReservations is an edge's.
type edgeReservations struct {
	held  reservation.LeaseHolder
	told  []reservation.Reservation
	gate  *reservation.AdmissionGate
	wants map[string]int
	next  time.Duration
}

// pass is what a request holds of a gate.
type pass struct {
	gate               *reservation.AdmissionGate
	reservation, under string
	at                 time.Duration
	in                 bool
}

func (w *cluster) newReservations(n *controller) {
	n.reservations = nodeReservations{clock: reservation.NewClock(), from: n.n}
}

// wallOf is a controller's time of day: the first's is hours off.
func (w *cluster) wallOf(n *controller) float64 {
	wall := w.now + n.clockOffset
	if n.n == 0 {
		wall += aheadBy
	}
	return wall.Seconds() + 1e6
}

// manageBooking has an operator book the tenant's slots, until it is acknowledged.
func (w *cluster) manageBooking() {
	busy := w.scenario.Busy
	if busy.Booked == 0 || w.now < time.Second || w.bookingAcked || w.now%(200*time.Millisecond) != 0 {
		return
	}
	n := w.controllers[w.anyController()]
	if !w.running(n.n) || n.replica.Role() != consensus.Leader {
		return
	}
	whole := 0.0
	for _, s := range w.servers {
		if s.service == w.services[0] && !s.ended {
			whole += float64(s.capacity)
		}
	}
	b := reservation.Booking{ID: "busy", Tenant: "tenant", Service: w.services[0], Start: 1e6 + bookedFrom.Seconds(),
		End: 2e6, Slots: float64(int(whole * busy.Booked)), Owner: "hall"}
	data, err := cbor.Marshal(statemachine.Change{Bookings: &reservation.Op{Call: "busy", Base: n.state.Bookings.Version,
		Puts: []reservation.Booking{b}, Now: n.reservations.clock.Now(w.now)}})
	if err != nil {
		panic(err) // plain values
	}
	index, term, _ := n.replica.Propose(data, w.now)
	n.proposals[index] = waiter{term, w.now + callOver, func(err error) {
		if err == nil {
			w.bookingAcked = true
		} else if apierror.For(err).Status < 500 {
			w.fail("FAULT: a booking is refused: %v", err)
		}
	}}
	w.processOutput(n)
}

// allocateReservations is what a controller does for booked slots: as the program does.
func (w *cluster) allocateReservations(n *controller) {
	r := &n.reservations
	if w.now < r.next || n.replica.Role() != consensus.Leader || n.state.Bookings.Version == 0 {
		return
	}
	r.next = w.now + allocateInterval
	if r.dealer == nil || r.dealer.Term() != n.replica.Term() {
		r.dealer, r.round, r.proven = reservation.NewAllocator(n.replica.Term(), w.now), 0, 0
		if w.scenario.PlantedFault == "a new dealer deals at once" {
			r.dealer = reservation.NewAllocator(n.replica.Term(), -time.Hour)
		}
	}
	if r.round > 0 && n.replica.ReadConfirmed(r.round) {
		r.proven = r.asked
	}
	r.round, r.asked = n.replica.ReadIndex(w.now), w.now
	w.processOutput(n)
	if r.proven == 0 || w.now-r.proven > reservation.LeaderProofTTL {
		return
	}
	carry := map[string]reservation.Capacity{}
	for _, e := range n.registry.All(w.now) {
		if e.State == registry.Ready && !e.TimedOut {
			if carry[e.Service] == nil {
				carry[e.Service] = reservation.Capacity{}
			}
			carry[e.Service][e.Zone] += float64(e.Capacity)
		}
	}
	r.told, r.term, r.from = n.state.Bookings.ReservationsAt(carry, r.clock.Now(w.now)), n.replica.Term(), n.n
	told, term := r.told, r.term
	for _, o := range w.controllers {
		if k := w.linkBetween(n.n, o.n); o != n && k != nil {
			w.sendOnLink(k, n.n, func() {
				if term >= o.reservations.term {
					o.reservations.told, o.reservations.term, o.reservations.from = told, term, n.n
				}
			})
		}
	}
	if len(told) == 0 {
		return
	}
	r.dealer.Plan(told, w.now)
	leases := r.dealer.Allocate(w.now)
	for i := range w.edges {
		lease, ok := leases[linkName(-1-i)]
		if !ok {
			continue
		}
		w.relay(n.n, w.edges[i].controller, i, func(e *edge) { e.reservations.held.Accept(lease) })
	}
}

// relay brings something from a controller to an edge, by the edge's home.
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

// sendDemand has an edge take its controller's word on reservations, and say what it wants.
func (w *cluster) sendDemand(e *edge) {
	r := &e.reservations
	if w.scenario.Busy.Booked == 0 || w.now < r.next || e.frozenUntil > w.now {
		return
	}
	r.next = w.now + allocateInterval
	if k := w.linkBetween(e.controller, -1-e.n); e.controller != nowhere && k != nil {
		controller := w.controllers[e.controller]
		if controller.reservations.term > 0 {
			r.told = controller.reservations.told
			r.held.FollowTerm(controller.reservations.term)
		}
		if len(r.told) > 0 {
			wants := map[string]int{}
			for room, n := range r.wants {
				wants[room] = n
			}
			demand := r.held.Demand(wants, w.now)
			w.sendOnLink(k, -1-e.n, func() {
				hand := func() {
					if d := w.controllers[controller.reservations.from].reservations.dealer; d != nil {
						d.HandleDemand(linkName(-1-e.n), demand, w.now)
					}
				}
				if controller.reservations.from == controller.n {
					hand()
				} else if k := w.linkBetween(controller.n, controller.reservations.from); k != nil {
					w.sendOnLink(k, controller.n, hand)
				}
			})
		}
	}
	r.gate.Retain(func(id string) bool {
		return slices.ContainsFunc(r.told, func(o reservation.Reservation) bool { return o.ID == id })
	})
	if len(r.told) == 0 {
		r.gate.UnlimitOthers()
	}
	for _, one := range r.told {
		part, full, known := r.held.Share(one.ID, w.now)
		switch {
		case one.ID != reservation.OthersID(one.Service):
			r.gate.SetShare(one.ID, part, one.Slots, full)
		case known:
			r.gate.LimitOthers(part, one.Slots, full)
		default:
			r.gate.LimitOthers((one.Slots+len(w.edges)-1)/len(w.edges), one.Slots, true)
		}
	}
}

// auditReservations holds the parts of a reservation at all edges against the most that was dealt while their leases may last.
func (w *cluster) auditReservations() {
	if w.scenario.Busy.Booked == 0 || w.now%allocateInterval != 0 {
		return
	}
	whole, sum := 0, 0
	for _, n := range w.controllers {
		if n.replica.Role() == consensus.Leader && n.reservations.proven > 0 &&
			w.now-n.reservations.proven <= reservation.LeaderProofTTL {
			for _, one := range n.reservations.told {
				if one.ID == "busy" {
					whole = one.Slots
				}
			}
		}
	}
	w.admittedShares = append(w.admittedShares, whole)
	const lasts = 44 // of these looks: a lease and the time that a proof is good for
	most := slices.Max(w.admittedShares[max(0, len(w.admittedShares)-lasts):])
	for _, e := range w.edges {
		part, _, _ := e.reservations.held.Share("busy", w.now)
		sum += part
	}
	if sum > most {
		w.fail("ROOM: edges hold %d slots of a booking of %d", sum, most)
	}
}

// sendHerd lets the tenant's and the others' clients ask at an edge.
func (w *cluster) sendHerd(e *edge) {
	busy := w.scenario.Busy
	if busy.Rate == 0 || e.frozenUntil > w.now {
		return
	}
	tenant, others := busy.Rate, busy.Rate
	if busy.OneIn {
		tenant = 0
		if e.n == 0 {
			tenant = busy.Rate * float64(len(w.edges))
		}
	}
	if w.now >= herdFrom && w.now < herdTo {
		others *= max(1, busy.Crowd)
	}
	for i, rate := range []float64{tenant, others} {
		for expected := rate * tickLength.Seconds(); expected > 0; expected-- {
			if w.rng.Float64() < expected {
				w.startBookedRequest(e, i == 0, 0)
			}
		}
	}
}

// startBookedRequest is one request of a busy day's clients.
func (w *cluster) startBookedRequest(e *edge, tenant bool, again int) {
	w.nextKey++
	q := &request{id: w.nextKey, safe: true, service: w.services[0], edge: e, life: e.incarnation, began: w.now,
		calm: w.isCalm() && e.calmSince <= w.now, side: &w.result.Others, again: again}
	if tenant {
		q.side = &w.result.Tenant
	}
	q.counts = w.now >= measured && w.now < herdTo
	if q.counts {
		q.side.Asked++
	}
	q.way = attempt.Retries{Safe: true, MaxSent: maxAttempts}
	w.result.Requests++
	w.requestTimes[q.service] = append(w.requestTimes[q.service], w.now)
	e.serviceRequests[q.service]++
	e.budget(q.service, len(w.edges)).Earn()
	if len(e.reservations.told) > 0 {
		q.pass = &pass{gate: e.reservations.gate, reservation: reservation.OthersID(q.service)}
		if tenant {
			q.pass.reservation = "busy"
		}
		e.reservations.wants[q.pass.reservation]++
	}
	w.startAttempt(q)
}

// pickForBooking picks a server, if the request may have room.
func (w *cluster) pickForBooking(e *edge, q *request) (u *picker.Upstream) {
	if p := q.pass; p != nil && !p.in {
		if p.under, p.in = p.gate.Admit(p.reservation); !p.in {
			return nil
		}
		p.at = w.now
	}
	if u = w.pick(e, q); u == nil && q.pass != nil && q.way.Sent == 0 {
		q.pass.gate.Release(q.pass.under, 0)
		q.pass.in = false
	}
	return u
}

// finishBookedRequest ends a busy day's request.
func (w *cluster) finishBookedRequest(q *request, served, refused bool) {
	if p := q.pass; p != nil {
		if q.edge.reservations.wants[p.reservation]--; p.in {
			p.gate.Release(p.under, max(1, w.now-p.at))
		}
	}
	if q.side == nil {
		return
	}
	if refused && q.side == &w.result.Others && q.again < maxRetries {
		e := w.edges[w.rng.IntN(len(w.edges))]
		w.scheduleMillis(1+w.rng.IntN(20), func() {
			if e.frozenUntil <= w.now {
				w.startBookedRequest(e, false, q.again+1)
			}
		})
	}
	if !q.counts {
		return
	}
	switch took := w.now - q.began; {
	case served:
		q.side.Served++
		q.side.Took = append(q.side.Took, took)
		if took > latencyTarget {
			q.side.Late++
		}
	case refused:
		q.side.Refused++
	}
}

func (t *Tenant) add(o Tenant) {
	t.Asked, t.Served, t.Late, t.Refused = t.Asked+o.Asked, t.Served+o.Served, t.Late+o.Late, t.Refused+o.Refused
	t.Took = append(t.Took, o.Took...)
}

func (t Tenant) String() string {
	took := slices.Clone(t.Took)
	slices.Sort(took)
	at := func(share float64) time.Duration {
		if len(took) == 0 {
			return 0
		}
		return took[min(len(took)-1, int(share*float64(len(took))))]
	}
	return fmt.Sprintf("%d asked, %.4f served, %.4f late, %.4f refused; p50 %s, p99 %s, p99.9 %s", t.Asked,
		float64(t.Served)/float64(max(1, t.Asked)),
		float64(t.Late)/float64(max(1, t.Asked)), float64(t.Refused)/float64(max(1, t.Asked)), at(0.5), at(0.99), at(0.999))
}
