package reservation_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/platform/apierror"
)

func booking(id string, start, end, slots float64) reservation.Booking {
	return reservation.Booking{ID: id, Tenant: "toll.example", Service: "ledger", Start: start, End: end, Slots: slots, Owner: "hall"}
}

func put(b reservation.Booking, base uint64, now float64) reservation.Op {
	return reservation.Op{Call: fmt.Sprint(b.ID, base), Base: base, Puts: []reservation.Booking{b}, Now: now}
}

func TestLedger(t *testing.T) {
	g := NewWithT(t)
	ledger := reservation.NewLedger()
	first := put(booking("a", 100, 200, 10), 0, 0)
	g.Expect(ledger.Apply(first)).To(Succeed())
	g.Expect(ledger.Apply(first)).To(Succeed(), "a repeated call is ignored")
	g.Expect(ledger.Version).To(BeEquivalentTo(1))
	g.Expect(apierror.For(ledger.Apply(put(booking("b", 100, 200, 10), 0, 0))).Status).To(Equal(412), "of two changes based on one version, only the first succeeds")
	for _, bad := range []reservation.Booking{booking("", 1, 2, 3), booking("x", 2, 2, 3), booking("x", 1, 2, 0), booking("x", 1, math.NaN(), 3), booking("x", 1, 2, math.Inf(1)), booking("x", 1, 2, 1)} {
		g.Expect(apierror.For(ledger.Apply(put(bad, 1, 5))).Status).To(Equal(400), "%+v", bad)
	}
	g.Expect(ledger.Apply(reservation.Op{Call: "c", Base: 1, Cancel: "a", Now: 150})).To(Succeed(), "a booking can be cancelled while it is in force")
	g.Expect(ledger.Active).To(BeEmpty())
	g.Expect(ledger.Past[0].EndReason).To(Equal(reservation.Cancelled))
	g.Expect(ledger.Apply(put(booking("d", 100, 200, 1), 2, 150))).To(Succeed())
	g.Expect(ledger.Apply(put(booking("e", 300, 400, 1), 3, 250))).To(Succeed())
	g.Expect(ledger.Past[1].EndReason).To(Equal(reservation.Expired))
}

// A booking may be promised more slots than there are if other bookings overlap it only in part, or if the loss of a zone
// isn't taken into account. Two overlapping bookings check the available slots; 500 random ones that each use a part of the
// available slots must never lack any.
func TestAvailableSlotsCanBeKept(t *testing.T) {
	g := NewWithT(t)
	capacity := reservation.Capacity{"x": 10, "y": 12, "z": 8}
	both := []reservation.Booking{booking("a", 100, 200, 12), booking("b", 150, 250, 12)}
	isShort, id, available := reservation.NewLedger().FirstShortfall(both, map[string]reservation.Capacity{"ledger": capacity})
	g.Expect(isShort).To(BeTrue(), "each fits without the other, but not both")
	g.Expect(id).To(Equal("b"))
	g.Expect(available).To(BeNumerically("~", 6, 1e-6))
	g.Expect(capacity.AfterZoneLoss()).To(Equal(18.0), "the largest zone is lost")
	ledger := reservation.NewLedger()
	g.Expect(ledger.Apply(put(booking("a", 100, 200, 12), 0, 0))).To(Succeed())
	g.Expect(ledger.AvailableFor(booking("b", 150, 250, 12), capacity)).To(BeNumerically("~", 6, 1e-6), "each fits without the other")
	g.Expect(ledger.AvailableFor(booking("b", 200, 250, 12), capacity)).To(BeNumerically("~", 18, 1e-6))
	g.Expect(ledger.AvailableFor(booking("a", 100, 200, 1), capacity)).To(BeNumerically("~", 18, 1e-6), "a booking of the same id is replaced")
	rng := rand.New(rand.NewPCG(5, 5))
	for n := range 500 {
		b := booking(fmt.Sprint("n-", n), 1000+rng.Float64()*5000, 0, 1)
		b.End, b.Ramp = b.Start+10+rng.Float64()*500, rng.Float64()*60
		available := ledger.AvailableFor(b, capacity)
		if b.Slots = available * rng.Float64() * 0.3; b.Slots > 0.01 {
			g.Expect(ledger.Apply(put(b, ledger.Version, 0))).To(Succeed())
		}
	}
	for at := 900.0; at < 7000; at += 3 {
		g.Expect(ledger.Shortfalls("ledger", capacity, at)).To(BeEmpty())
	}
	g.Expect(len(ledger.Active)).To(BeNumerically(">", 400))
	shortfalls := ledger.Shortfalls("ledger", reservation.Capacity{"x": 1, "y": 1}, 150)
	g.Expect(shortfalls).To(HaveKeyWithValue("a", 11.0))
}

func TestShortfallsFollowRank(t *testing.T) {
	g := NewWithT(t)
	ledger := reservation.NewLedger()
	for i, id := range []string{"later", "first", "low"} {
		b := booking(id, 100-float64(i), 200, 10)
		b.Rank = i / 2
		g.Expect(ledger.Apply(put(b, uint64(i), 0))).To(Succeed())
	}
	shortfalls := ledger.Shortfalls("ledger", reservation.Capacity{"x": 8, "y": 7, "z": 8}, 150)
	g.Expect(shortfalls).To(Equal(map[string]float64{"later": 5, "low": 10}))
}

// edge is an edge process with its own monotonic clock.
type edge struct {
	holder reservation.LeaseHolder
	offset time.Duration // of its clock
	frozen time.Duration // time until which the process is suspended
	dead   bool          // it never returns
	load   int           // requests in flight or queued
}

// leader is a leader's allocator. It grants leases until it is replaced, and for at most LeaderProofTTL after that.
type leader struct {
	*reservation.Allocator
	until time.Duration // last time at which it grants leases
}

// Overlapping leases may let edges use more than a reservation's slots together. The shares must never sum to more, with
// messages lost or delayed, edges suspended, restarted or dead, clocks that differ, and leader changes that overlap. Once the
// faults end, the slots must be where the traffic is, and none may stay unassigned.
func TestSharesNeverExceedTheTotal(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(120) {
		rng := rand.New(rand.NewPCG(seed, 3))
		total, unreserved := 1+rng.IntN(40), rng.IntN(30)
		reservations := []reservation.Reservation{{ID: "b", Service: "s", Slots: total}, {ID: reservation.UnreservedID("s"), Service: "s", Slots: unreserved}}
		leaders := []*leader{{reservation.NewAllocator(1, 0), 1 << 60}}
		leaders[0].SetReservations(reservations, 0)
		edges := make([]*edge, 2+rng.IntN(8))
		for i := range edges {
			edges[i] = &edge{holder: reservation.LeaseHolder{Incarnation: uint64(i + 1)}, offset: time.Duration(rng.IntN(7200)) * time.Second, load: rng.IntN(8)}
		}
		type message struct {
			at      time.Duration
			to      int
			deliver func()
		}
		var inFlight []message
		const faultsEnd, end = 25 * time.Second, 39 * time.Second
		for now := time.Duration(0); now < end; now += 50 * time.Millisecond {
			faultless := now > faultsEnd
			delay := func() time.Duration {
				if faultless || rng.IntN(5) > 0 {
					return time.Duration(rng.IntN(40)) * time.Millisecond
				}
				return time.Duration(rng.IntN(6000)) * time.Millisecond
			}
			remaining := inFlight[:0:0]
			for _, m := range inFlight {
				if m.at > now || m.to >= 0 && edges[m.to].frozen > now {
					remaining = append(remaining, m)
				} else {
					m.deliver()
				}
			}
			inFlight = remaining
			if !faultless && rng.IntN(60) == 0 {
				previous := leaders[len(leaders)-1]
				previous.until = now + time.Duration(rng.Int64N(int64(reservation.LeaderProofTTL)))
				next := &leader{reservation.NewAllocator(previous.Term()+1, now), 1 << 60}
				next.SetReservations(reservations, now)
				leaders = append(leaders, next)
			}
			for i, e := range edges {
				if e.frozen > now || e.dead {
					continue
				}
				if !faultless {
					switch rng.IntN(300) {
					case 0:
						e.frozen = now + time.Duration(rng.IntN(5000))*time.Millisecond
						continue
					case 1:
						e.holder, e.offset = reservation.LeaseHolder{Incarnation: e.holder.Incarnation + 100}, time.Duration(rng.IntN(7200))*time.Second
					case 2:
						e.load = rng.IntN(60)
					case 3:
						e.dead = i > 0 && rng.IntN(4) == 0
					}
				}
				if now%(250*time.Millisecond) == 0 && (faultless || rng.IntN(4) > 0) {
					term := leaders[max(0, len(leaders)-1-btoi(!faultless && rng.IntN(3) == 0))].Term() // as known to the edge's controller, which may lag behind
					e.holder.AdvanceTerm(term)
					demand := e.holder.Demand(map[string]int{"b": e.load, reservation.UnreservedID("s"): e.load / 2}, now+e.offset)
					for _, l := range leaders {
						at := now + delay()
						inFlight = append(inFlight, message{at, -1, func() { l.HandleDemand(fmt.Sprint(i), demand, at) }})
					}
				}
			}
			for _, l := range leaders {
				if now%(250*time.Millisecond) != 0 || now > l.until {
					continue
				}
				for name, lease := range l.Allocate(now) {
					var i int
					_, _ = fmt.Sscan(name, &i) // the name is the index of the edge
					if faultless || rng.IntN(4) > 0 {
						inFlight = append(inFlight, message{now + delay(), i, func() { edges[i].holder.Accept(lease) }})
					}
				}
			}
			for _, r := range reservations {
				sum := 0
				for _, e := range edges {
					share, _, _ := e.holder.Share(r.ID, now+e.offset)
					sum += share
				}
				g.Expect(sum).To(BeNumerically("<=", r.Slots), "seed %d at %s: %s", seed, now, r.ID)
			}
		}
		load, used, sum := 0, 0, 0
		for _, e := range edges {
			if !e.dead {
				share, _, _ := e.holder.Share("b", end+e.offset-50*time.Millisecond)
				load, used, sum = load+e.load, used+min(e.load, share), sum+share
			}
		}
		g.Expect(used).To(Equal(min(load, total)), "seed %d: requested slots are at the edges that request them", seed)
		g.Expect(sum).To(Equal(total), "seed %d: all slots are assigned", seed)
	}
}

func btoi(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// Shares that follow the traffic too slowly would reject booked requests when all clients of a tenant connect to one edge.
// The edge must have all slots 0.75 s after the load changed, which is half a second after the next demand, and until then
// must reject no request of the booking.
func TestSharesFollowTheTraffic(t *testing.T) {
	g := NewWithT(t)
	allocator := reservation.NewAllocator(1, -time.Minute)
	allocator.SetReservations([]reservation.Reservation{{ID: "b", Service: "s", Slots: 20}}, 0)
	edges := make([]reservation.LeaseHolder, 10)
	load := 2
	for now := time.Duration(0); now <= 5*time.Second; now += 250 * time.Millisecond {
		for i := range edges {
			edges[i].Incarnation = uint64(i + 1)
			edges[i].AdvanceTerm(1)
			requested := 0
			if i == 0 {
				requested = load
			}
			allocator.HandleDemand(fmt.Sprint(i), edges[i].Demand(map[string]int{"b": requested}, now), now)
		}
		for name, lease := range allocator.Allocate(now) {
			var i int
			_, _ = fmt.Sscan(name, &i) // the name is the index of the edge
			edges[i].Accept(lease)
		}
		share, exhausted, known := edges[0].Share("b", now)
		switch {
		case now == 2*time.Second:
			load = 20
			gate := reservation.NewAdmissionGate()
			gate.SetShare("b", share, 20, exhausted)
			for range load {
				_, ok := gate.Admit("b")
				g.Expect(ok).To(BeTrue(), "the booking isn't exhausted")
			}
		case now >= 2750*time.Millisecond:
			g.Expect(known).To(BeTrue())
			g.Expect(share).To(Equal(20))
		}
	}
}

// A new leader doesn't know its predecessor's leases. It must learn them from the edges, keep their shares, and be able to
// move them between edges at once. Slots of an edge that hasn't reported yet may only be granted after its lease has expired.
func TestNewAllocatorKeepsInheritedShares(t *testing.T) {
	g := NewWithT(t)
	reservations := []reservation.Reservation{{ID: "b", Service: "s", Slots: 20}}
	edges := make([]reservation.LeaseHolder, 4)
	requested := []int{5, 5, 5, 5}
	exchange := func(allocator *reservation.Allocator, now time.Duration, reachable int) (shares []int) {
		for i := range edges[:reachable] {
			edges[i].Incarnation = uint64(i + 1)
			edges[i].AdvanceTerm(allocator.Term())
			allocator.HandleDemand(fmt.Sprint(i), edges[i].Demand(map[string]int{"b": requested[i]}, now), now)
		}
		for name, lease := range allocator.Allocate(now) {
			var i int
			_, _ = fmt.Sscan(name, &i) // the name is the index of the edge
			edges[i].Accept(lease)
		}
		for i := range edges {
			share, _, _ := edges[i].Share("b", now)
			shares = append(shares, share)
		}
		return shares
	}
	first := reservation.NewAllocator(1, -time.Minute)
	first.SetReservations(reservations, 0)
	g.Expect(exchange(first, 0, 4)).To(Equal([]int{5, 5, 5, 5}))
	second := reservation.NewAllocator(2, time.Second)
	second.SetReservations(reservations, time.Second)
	requested = []int{15, 0, 0, 0}
	g.Expect(exchange(second, time.Second, 3)).To(Equal([]int{5, 0, 0, 5}), "edges 1 and 2 give their slots up")
	g.Expect(exchange(second, 1250*time.Millisecond, 3)).To(Equal([]int{15, 0, 0, 5}), "edge 0 has the freed slots; edge 3 is not reachable and keeps its own")
	g.Expect(exchange(second, 8*time.Second, 3)).To(Equal([]int{15, 0, 0, 5}))
	shares := exchange(second, 11600*time.Millisecond, 3)
	g.Expect(shares[0]+shares[1]+shares[2]).To(Equal(20), "the lease of the unreachable edge has expired")
}

// One controller's clock is two hours ahead. It must not shift the common time.
func TestClockIsMedianOfControllers(t *testing.T) {
	g := NewWithT(t)
	clock := reservation.NewClock()
	clock.Observe("a", 1000, 10*time.Second)
	clock.Observe("b", 1001, 10*time.Second)
	clock.Observe("c", 8200, 10*time.Second)
	g.Expect(clock.Now(10 * time.Second)).To(Equal(1001.0))
	g.Expect(clock.Now(15 * time.Second)).To(Equal(1006.0))
	clock.Observe("d", 1005, 15*time.Second)
	g.Expect(clock.Now(15*time.Second)).To(Equal(1005.5), "mean of the two in the middle")
}

// Reservations begin leadTime early, hold whole slots, and never exceed the capacity; bookings of lower priority get less.
func TestReservationsAt(t *testing.T) {
	g := NewWithT(t)
	ledger := reservation.NewLedger()
	low := booking("low", 100, 200, 12)
	low.Rank = 1
	g.Expect(ledger.Apply(put(low, 0, 0))).To(Succeed())
	g.Expect(ledger.Apply(put(booking("high", 100, 200, 12), 1, 0))).To(Succeed())
	capacities := map[string]reservation.Capacity{"ledger": {"x": 10, "y": 8}}
	g.Expect(ledger.ReservationsAt(capacities, 94)).To(BeEmpty())
	slots := map[string]int{}
	for _, r := range ledger.ReservationsAt(capacities, 96) {
		slots[r.ID] = r.Slots
	}
	g.Expect(slots).To(Equal(map[string]int{"high": 12, "low": 6, reservation.UnreservedID("ledger"): 0}))
	g.Expect(ledger.ReservationsAt(capacities, 201)).To(BeEmpty())
}

// Lent slots that are held for too long would leave a booking without its capacity. Unreserved requests keep an edge
// overloaded while the booking is idle, then the booking's traffic begins: its slots must be free again within half a second.
func TestLentSlotsAreReturned(t *testing.T) {
	g := NewWithT(t)
	for _, meanDuration := range []float64{0.08, 0.2, 0.3, 0.8} {
		overfull, samples, usedWhileIdle := 0, 0, 0
		for seed := range uint64(25) {
			rng := rand.New(rand.NewPCG(seed, 9))
			gate := reservation.NewAdmissionGate() // 40 slots, of which 20 are booked
			gate.SetShare("b", 20, 20, true)
			gate.LimitUnreserved(20, 20, true)
			type request struct {
				admittedAs string
				endsAt     time.Duration
				duration   time.Duration
			}
			var inFlight []request
			start := func(id string, now time.Duration) bool {
				admittedAs, ok := gate.Admit(id)
				if ok {
					duration := time.Duration(rng.ExpFloat64() * meanDuration * float64(time.Second))
					inFlight = append(inFlight, request{admittedAs, now + duration, duration})
				}
				return ok
			}
			for now := time.Duration(0); now < 12*time.Second; now += 5 * time.Millisecond {
				remaining := inFlight[:0:0]
				for _, r := range inFlight {
					if r.endsAt <= now {
						gate.Release(r.admittedAs, r.duration)
					} else {
						remaining = append(remaining, r)
					}
				}
				inFlight = remaining
				for range 4 { // unreserved requests, about ten times what the slots serve
					start("", now)
				}
				if now == 9*time.Second {
					usedWhileIdle += len(inFlight)
				}
				if now > 10*time.Second+500*time.Millisecond { // half a second after the booking's traffic began
					samples++
					if len(inFlight) > 40 {
						overfull++
					}
					start("b", now)
				} else if now >= 10*time.Second {
					start("b", now)
				}
				g.Expect(len(inFlight)).To(BeNumerically("<=", 40+20), "a gate of 40 slots admits at most 20 requests more")
			}
		}
		g.Expect(float64(usedWhileIdle)/25).To(BeNumerically(">", 20), "idle slots are lent, mean duration %g s", meanDuration)
		g.Expect(float64(overfull)/float64(samples)).To(BeNumerically("<", 0.1), "half a second after its traffic began, the booking has its slots, mean duration %g s", meanDuration)
		t.Logf("mean duration %g s: %.1f requests in flight while the booking is idle, more than 40 for %.3f of the time from 0.5 s on", meanDuration, float64(usedWhileIdle)/25, float64(overfull)/float64(samples))
	}
}
