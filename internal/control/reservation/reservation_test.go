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

func room(id string, start, end, slots float64) reservation.Booking {
	return reservation.Booking{ID: id, Tenant: "toll.example", Service: "ledger", Start: start, End: end, Slots: slots, Owner: "hall"}
}

func put(b reservation.Booking, base uint64, now float64) reservation.Op {
	return reservation.Op{Call: fmt.Sprint(b.ID, base), Base: base, Puts: []reservation.Booking{b}, Now: now}
}

func TestLedger(t *testing.T) {
	g := NewWithT(t)
	k := reservation.NewLedger()
	first := put(room("a", 100, 200, 10), 0, 0)
	g.Expect(k.Apply(first)).To(Succeed())
	g.Expect(k.Apply(first)).To(Succeed(), "the same call again")
	g.Expect(k.Version).To(BeEquivalentTo(1))
	g.Expect(apierror.For(k.Apply(put(room("b", 100, 200, 10), 0, 0))).Status).To(Equal(412), "two on one version: one wins")
	for _, bad := range []reservation.Booking{room("", 1, 2, 3), room("x", 2, 2, 3), room("x", 1, 2, 0), room("x", 1, math.NaN(), 3), room("x", 1, 2, math.Inf(1)), room("x", 1, 2, 1)} {
		g.Expect(apierror.For(k.Apply(put(bad, 1, 5))).Status).To(Equal(400), "%+v", bad)
	}
	g.Expect(k.Apply(reservation.Op{Call: "c", Base: 1, Cancel: "a", Now: 150})).To(Succeed(), "in the middle of its hour")
	g.Expect(k.Active).To(BeEmpty())
	g.Expect(k.Past[0].EndReason).To(Equal(reservation.Cancelled))
	g.Expect(k.Apply(put(room("d", 100, 200, 1), 2, 150))).To(Succeed())
	g.Expect(k.Apply(put(room("e", 300, 400, 1), 3, 250))).To(Succeed())
	g.Expect(k.Past[1].EndReason).To(Equal(reservation.Expired))
}

// Two bookings that fit alone, the loss of a zone, and five hundred of them: what is said to be possible is, and no more.
func TestWhatCouldBeKept(t *testing.T) {
	g := NewWithT(t)
	carry := reservation.Capacity{"x": 10, "y": 12, "z": 8}
	both := []reservation.Booking{room("a", 100, 200, 12), room("b", 150, 250, 12)}
	isShort, id, could := reservation.NewLedger().FirstShortfall(both, map[string]reservation.Capacity{"ledger": carry})
	g.Expect(isShort).To(BeTrue(), "each fits alone")
	g.Expect(id).To(Equal("b"))
	g.Expect(could).To(BeNumerically("~", 6, 1e-6))
	g.Expect(carry.AfterZoneLoss()).To(Equal(18.0), "whatever zone is lost")
	k := reservation.NewLedger()
	g.Expect(k.Apply(put(room("a", 100, 200, 12), 0, 0))).To(Succeed())
	g.Expect(k.AvailableFor(room("b", 150, 250, 12), carry)).To(BeNumerically("~", 6, 1e-6), "both fit alone")
	g.Expect(k.AvailableFor(room("b", 200, 250, 12), carry)).To(BeNumerically("~", 18, 1e-6))
	g.Expect(k.AvailableFor(room("a", 100, 200, 1), carry)).To(BeNumerically("~", 18, 1e-6), "a change of itself")
	rng := rand.New(rand.NewPCG(5, 5))
	for n := range 500 {
		b := room(fmt.Sprint("n-", n), 1000+rng.Float64()*5000, 0, 1)
		b.End, b.Ramp = b.Start+10+rng.Float64()*500, rng.Float64()*60
		could := k.AvailableFor(b, carry)
		if b.Slots = could * rng.Float64() * 0.3; b.Slots > 0.01 {
			g.Expect(k.Apply(put(b, k.Version, 0))).To(Succeed())
		}
	}
	for at := 900.0; at < 7000; at += 3 {
		g.Expect(k.Shortfalls("ledger", carry, at)).To(BeEmpty())
	}
	g.Expect(len(k.Active)).To(BeNumerically(">", 400))
	short := k.Shortfalls("ledger", reservation.Capacity{"x": 1, "y": 1}, 150)
	g.Expect(short).To(HaveKeyWithValue("a", 11.0))
}

func TestWhoGivesWayIsDecidedByRank(t *testing.T) {
	g := NewWithT(t)
	k := reservation.NewLedger()
	for i, id := range []string{"later", "first", "low"} {
		b := room(id, 100-float64(i), 200, 10)
		b.Rank = i / 2
		g.Expect(k.Apply(put(b, uint64(i), 0))).To(Succeed())
	}
	short := k.Shortfalls("ledger", reservation.Capacity{"x": 8, "y": 7, "z": 8}, 150)
	g.Expect(short).To(Equal(map[string]float64{"later": 5, "low": 10}))
}

// edge is a process with a clock of its own.
type edge struct {
	held   reservation.LeaseHolder
	offset time.Duration
	frozen time.Duration
	dead   bool // and never comes back
	load   int
}

// leader deals under a term until another one leads, and at most for as long after that as a proof that it leads is good.
type leader struct {
	*reservation.Allocator
	until time.Duration
}

// Parts sum to no more than the whole at every moment, whatever is lost, late, cut, frozen or started anew, whatever the
// edges' clocks say, and while one dealer follows another; and once all is quiet they are where the traffic is.
func TestSharesNeverExceedTheTotal(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(120) {
		rng := rand.New(rand.NewPCG(seed, 3))
		whole, rest := 1+rng.IntN(40), rng.IntN(30)
		reservations := []reservation.Reservation{{ID: "b", Service: "s", Slots: whole}, {ID: reservation.UnreservedID("s"), Service: "s", Slots: rest}}
		leaders := []*leader{{reservation.NewAllocator(1, 0), 1 << 60}}
		leaders[0].SetReservations(reservations, 0)
		edges := make([]*edge, 2+rng.IntN(8))
		for i := range edges {
			edges[i] = &edge{held: reservation.LeaseHolder{Incarnation: uint64(i + 1)}, offset: time.Duration(rng.IntN(7200)) * time.Second, load: rng.IntN(8)}
		}
		type letter struct {
			at time.Duration
			to int
			do func()
		}
		var mail []letter
		const quiet, end = 25 * time.Second, 39 * time.Second
		for now := time.Duration(0); now < end; now += 50 * time.Millisecond {
			calm := now > quiet
			delay := func() time.Duration {
				if calm || rng.IntN(5) > 0 {
					return time.Duration(rng.IntN(40)) * time.Millisecond
				}
				return time.Duration(rng.IntN(6000)) * time.Millisecond
			}
			rest := mail[:0:0]
			for _, l := range mail {
				if l.at > now || l.to >= 0 && edges[l.to].frozen > now {
					rest = append(rest, l)
				} else {
					l.do()
				}
			}
			mail = rest
			if !calm && rng.IntN(60) == 0 {
				last := leaders[len(leaders)-1]
				last.until = now + time.Duration(rng.Int64N(int64(reservation.LeaderProofTTL)))
				next := &leader{reservation.NewAllocator(last.Term()+1, now), 1 << 60}
				next.SetReservations(reservations, now)
				leaders = append(leaders, next)
			}
			for i, e := range edges {
				if e.frozen > now || e.dead {
					continue
				}
				if !calm {
					switch rng.IntN(300) {
					case 0:
						e.frozen = now + time.Duration(rng.IntN(5000))*time.Millisecond
						continue
					case 1:
						e.held, e.offset = reservation.LeaseHolder{Incarnation: e.held.Incarnation + 100}, time.Duration(rng.IntN(7200))*time.Second
					case 2:
						e.load = rng.IntN(60)
					case 3:
						e.dead = i > 0 && rng.IntN(4) == 0
					}
				}
				if now%(250*time.Millisecond) == 0 && (calm || rng.IntN(4) > 0) {
					term := leaders[max(0, len(leaders)-1-btoi(!calm && rng.IntN(3) == 0))].Term() // as its controller knows it
					e.held.AdvanceTerm(term)
					demand := e.held.Demand(map[string]int{"b": e.load, reservation.UnreservedID("s"): e.load / 2}, now+e.offset)
					for _, d := range leaders {
						at := now + delay()
						mail = append(mail, letter{at, -1, func() { d.HandleDemand(fmt.Sprint(i), demand, at) }})
					}
				}
			}
			for _, d := range leaders {
				if now%(250*time.Millisecond) != 0 || now > d.until {
					continue
				}
				for name, lease := range d.Allocate(now) {
					var i int
					_, _ = fmt.Sscan(name, &i) // as named above
					if calm || rng.IntN(4) > 0 {
						mail = append(mail, letter{now + delay(), i, func() { edges[i].held.Accept(lease) }})
					}
				}
			}
			for _, one := range reservations {
				sum := 0
				for _, e := range edges {
					part, _, _ := e.held.Share(one.ID, now+e.offset)
					sum += part
				}
				g.Expect(sum).To(BeNumerically("<=", one.Slots), "seed %d at %s: %s", seed, now, one.ID)
			}
		}
		load, used, sum := 0, 0, 0
		for _, e := range edges {
			if !e.dead {
				part, _, _ := e.held.Share("b", end+e.offset-50*time.Millisecond)
				load, used, sum = load+e.load, used+min(e.load, part), sum+part
			}
		}
		g.Expect(used).To(Equal(min(load, whole)), "seed %d: all that is wanted is where it is wanted", seed)
		g.Expect(sum).To(Equal(whole), "seed %d: nothing lies idle", seed)
	}
}

func btoi(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// All clients of the booked tenant come to one edge: its part is there within half a second, and until then it sends
// none of them away.
func TestSharesFollowTheTraffic(t *testing.T) {
	g := NewWithT(t)
	d := reservation.NewAllocator(1, -time.Minute)
	d.SetReservations([]reservation.Reservation{{ID: "b", Service: "s", Slots: 20}}, 0)
	edges := make([]reservation.LeaseHolder, 10)
	load := 2
	for now := time.Duration(0); now <= 5*time.Second; now += 250 * time.Millisecond {
		for i := range edges {
			edges[i].Incarnation = uint64(i + 1)
			edges[i].AdvanceTerm(1)
			want := 0
			if i == 0 {
				want = load
			}
			d.HandleDemand(fmt.Sprint(i), edges[i].Demand(map[string]int{"b": want}, now), now)
		}
		for name, lease := range d.Allocate(now) {
			var i int
			_, _ = fmt.Sscan(name, &i) // as named above
			edges[i].Accept(lease)
		}
		part, full, known := edges[0].Share("b", now)
		switch {
		case now == 2*time.Second:
			load = 20
			gate := reservation.NewAdmissionGate()
			gate.SetShare("b", part, 20, full)
			for range load {
				_, ok := gate.Admit("b")
				g.Expect(ok).To(BeTrue(), "the booking isn't used up")
			}
		case now >= 2750*time.Millisecond:
			g.Expect(known).To(BeTrue())
			g.Expect(part).To(Equal(20))
		}
	}
}

// A new leader knows nothing of what the former dealt: edges bring it along, keep it, and it moves among them at once; what
// an edge holds that was not heard yet isn't dealt again.
func TestNewAllocatorTakesNothingAway(t *testing.T) {
	g := NewWithT(t)
	reservations := []reservation.Reservation{{ID: "b", Service: "s", Slots: 20}}
	edges := make([]reservation.LeaseHolder, 4)
	wants := []int{5, 5, 5, 5}
	turn := func(d *reservation.Allocator, now time.Duration, heard int) (parts []int) {
		for i := range edges[:heard] {
			edges[i].Incarnation = uint64(i + 1)
			edges[i].AdvanceTerm(d.Term())
			d.HandleDemand(fmt.Sprint(i), edges[i].Demand(map[string]int{"b": wants[i]}, now), now)
		}
		for name, lease := range d.Allocate(now) {
			var i int
			_, _ = fmt.Sscan(name, &i) // as named above
			edges[i].Accept(lease)
		}
		for i := range edges {
			part, _, _ := edges[i].Share("b", now)
			parts = append(parts, part)
		}
		return parts
	}
	first := reservation.NewAllocator(1, -time.Minute)
	first.SetReservations(reservations, 0)
	g.Expect(turn(first, 0, 4)).To(Equal([]int{5, 5, 5, 5}))
	second := reservation.NewAllocator(2, time.Second)
	second.SetReservations(reservations, time.Second)
	wants = []int{15, 0, 0, 0}
	g.Expect(turn(second, time.Second, 3)).To(Equal([]int{5, 0, 0, 5}), "two give theirs up")
	g.Expect(turn(second, 1250*time.Millisecond, 3)).To(Equal([]int{15, 0, 0, 5}), "and one has it; the fourth was not heard")
	g.Expect(turn(second, 8*time.Second, 3)).To(Equal([]int{15, 0, 0, 5}))
	parts := turn(second, 11600*time.Millisecond, 3)
	g.Expect(parts[0]+parts[1]+parts[2]).To(Equal(20), "its lease is over")
}

// One planner's clock is two hours ahead: the core's time is as the others say.
func TestOneClockDecidesNothing(t *testing.T) {
	g := NewWithT(t)
	c := reservation.NewClock()
	c.Observe("a", 1000, 10*time.Second)
	c.Observe("b", 1001, 10*time.Second)
	c.Observe("c", 8200, 10*time.Second)
	g.Expect(c.Now(10 * time.Second)).To(Equal(1001.0))
	g.Expect(c.Now(15 * time.Second)).To(Equal(1006.0))
	c.Observe("d", 1005, 15*time.Second)
	g.Expect(c.Now(15*time.Second)).To(Equal(1005.5), "between the two in the middle")
}

// Reservations open ahead of their time, in whole slots, and never hold more than there is; what gives way is decided by rank.
func TestReservationsAsTheyAreHeld(t *testing.T) {
	g := NewWithT(t)
	k := reservation.NewLedger()
	low := room("low", 100, 200, 12)
	low.Rank = 1
	g.Expect(k.Apply(put(low, 0, 0))).To(Succeed())
	g.Expect(k.Apply(put(room("high", 100, 200, 12), 1, 0))).To(Succeed())
	carry := map[string]reservation.Capacity{"ledger": {"x": 10, "y": 8}}
	g.Expect(k.ReservationsAt(carry, 94)).To(BeEmpty())
	slots := map[string]int{}
	for _, r := range k.ReservationsAt(carry, 96) {
		slots[r.ID] = r.Slots
	}
	g.Expect(slots).To(Equal(map[string]int{"high": 12, "low": 6, reservation.UnreservedID("ledger"): 0}))
	g.Expect(k.ReservationsAt(carry, 201)).To(BeEmpty())
}

// Lent room comes back in time: others fill an edge ten times over while the booking is idle, and then its traffic comes.
func TestLentReservationComesBackInTime(t *testing.T) {
	g := NewWithT(t)
	for _, work := range []float64{0.08, 0.2, 0.3, 0.8} {
		over, asked, lent := 0, 0, 0
		for seed := range uint64(25) {
			rng := rand.New(rand.NewPCG(seed, 9))
			gate := reservation.NewAdmissionGate() // room for 40, of which 20 are booked
			gate.SetShare("b", 20, 20, true)
			gate.LimitUnreserved(20, 20, true)
			type running struct {
				under string
				ends  time.Duration
				took  time.Duration
			}
			var out []running
			start := func(id string, now time.Duration) bool {
				under, ok := gate.Admit(id)
				if ok {
					took := time.Duration(rng.ExpFloat64() * work * float64(time.Second))
					out = append(out, running{under, now + took, took})
				}
				return ok
			}
			for now := time.Duration(0); now < 12*time.Second; now += 5 * time.Millisecond {
				rest := out[:0:0]
				for _, r := range out {
					if r.ends <= now {
						gate.Release(r.under, r.took)
					} else {
						rest = append(rest, r)
					}
				}
				out = rest
				for range 4 { // ten times what fits
					start("", now)
				}
				if now == 9*time.Second {
					lent += len(out)
				}
				if now > 10*time.Second+500*time.Millisecond { // half a second after it began to come
					asked++
					if len(out) > 40 {
						over++
					}
					start("b", now)
				} else if now >= 10*time.Second {
					start("b", now)
				}
				g.Expect(len(out)).To(BeNumerically("<=", 40+20), "what is lent comes back by itself")
			}
		}
		g.Expect(float64(lent)/25).To(BeNumerically(">", 20), "idle room is lent, work %g", work)
		g.Expect(float64(over)/float64(asked)).To(BeNumerically("<", 0.1), "half a second after it comes, a booking has its room, work %g", work)
		t.Logf("work %g s: %.1f in work while the booking is idle, more than the room for %.3f of the time from 0.5 s on", work, float64(lent)/25, float64(over)/float64(asked))
	}
}
