package booking_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/booking"
	"mulleinwood/internal/tone"
)

func room(id string, start, end, slots float64) booking.Booking {
	return booking.Booking{ID: id, Tenant: "toll.example", Service: "ledger", Start: start, End: end, Slots: slots, Owner: "hall"}
}

func put(b booking.Booking, base uint64, now float64) booking.Op {
	return booking.Op{Call: fmt.Sprint(b.ID, base), Base: base, Put: &b, Now: now}
}

func TestBook(t *testing.T) {
	g := NewWithT(t)
	k := booking.NewBook()
	first := put(room("a", 100, 200, 10), 0, 0)
	g.Expect(k.Apply(first)).To(Succeed())
	g.Expect(k.Apply(first)).To(Succeed(), "the same call again")
	g.Expect(k.Version).To(BeEquivalentTo(1))
	g.Expect(tone.For(k.Apply(put(room("b", 100, 200, 10), 0, 0))).Status).To(Equal(412), "two on one version: one wins")
	for _, bad := range []booking.Booking{room("", 1, 2, 3), room("x", 2, 2, 3), room("x", 1, 2, 0), room("x", 1, math.NaN(), 3), room("x", 1, 2, math.Inf(1)), room("x", 1, 2, 1)} {
		g.Expect(tone.For(k.Apply(put(bad, 1, 5))).Status).To(Equal(400), "%+v", bad)
	}
	g.Expect(k.Apply(booking.Op{Call: "c", Base: 1, Cancel: "a", Now: 150})).To(Succeed(), "in the middle of its hour")
	g.Expect(k.All).To(BeEmpty())
	g.Expect(k.Gone[0].How).To(Equal(booking.Cancelled))
	g.Expect(k.Apply(put(room("d", 100, 200, 1), 2, 150))).To(Succeed())
	g.Expect(k.Apply(put(room("e", 300, 400, 1), 3, 250))).To(Succeed())
	g.Expect(k.Gone[1].How).To(Equal(booking.Expired))
}

// Two bookings that fit alone, the loss of a zone, and five hundred of them: what is said to be possible is, and no more.
func TestWhatCouldBeKept(t *testing.T) {
	g := NewWithT(t)
	carry := booking.Carry{"x": 10, "y": 12, "z": 8}
	g.Expect(carry.Least("")).To(Equal(18.0), "whatever zone is lost")
	k := booking.NewBook()
	g.Expect(k.Apply(put(room("a", 100, 200, 12), 0, 0))).To(Succeed())
	g.Expect(k.Could(room("b", 150, 250, 12), carry)).To(BeNumerically("~", 6, 1e-6), "both fit alone")
	g.Expect(k.Could(room("b", 200, 250, 12), carry)).To(BeNumerically("~", 18, 1e-6))
	g.Expect(k.Could(room("a", 100, 200, 1), carry)).To(BeNumerically("~", 18, 1e-6), "a change of itself")
	rng := rand.New(rand.NewPCG(5, 5))
	for n := range 500 {
		b := room(fmt.Sprint("n-", n), 1000+rng.Float64()*5000, 0, 1)
		b.End, b.Ramp = b.Start+10+rng.Float64()*500, rng.Float64()*60
		could := k.Could(b, carry)
		if b.Slots = could * rng.Float64() * 0.3; b.Slots > 0.01 {
			g.Expect(k.Apply(put(b, k.Version, 0))).To(Succeed())
		}
	}
	for at := 900.0; at < 7000; at += 3 {
		g.Expect(k.Endangered("ledger", carry, at)).To(BeEmpty())
	}
	g.Expect(len(k.All)).To(BeNumerically(">", 400))
	short := k.Endangered("ledger", booking.Carry{"x": 1, "y": 1}, 150)
	g.Expect(short).To(HaveKeyWithValue("a", 11.0))
}

func TestWhoGivesWayIsDecidedByRank(t *testing.T) {
	g := NewWithT(t)
	k := booking.NewBook()
	for i, id := range []string{"later", "first", "low"} {
		b := room(id, 100-float64(i), 200, 10)
		b.Rank = i / 2
		g.Expect(k.Apply(put(b, uint64(i), 0))).To(Succeed())
	}
	short := k.Endangered("ledger", booking.Carry{"x": 8, "y": 7, "z": 8}, 150)
	g.Expect(short).To(Equal(map[string]float64{"later": 5, "low": 10}))
}

// edge is a process with a clock of its own.
type edge struct {
	held   booking.Held
	offset time.Duration
	frozen time.Duration
	load   int
}

// Parts sum to no more than the whole at every moment, whatever is lost, late, cut, frozen or started anew, and whatever
// the edges' clocks say; and once all is quiet they are where the traffic is.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 3))
		whole := 1 + rng.IntN(40)
		d := booking.NewDealer(whole)
		edges := make([]*edge, 2+rng.IntN(8))
		for i := range edges {
			edges[i] = &edge{held: booking.Held{Life: uint64(i + 1)}, offset: time.Duration(rng.IntN(7200)) * time.Second, load: rng.IntN(8)}
		}
		type letter struct {
			at time.Duration
			to int
			do func()
		}
		var mail []letter
		const quiet = 20 * time.Second
		for now := time.Duration(0); now < quiet+8*time.Second; now += 50 * time.Millisecond {
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
			for i, e := range edges {
				if e.frozen > now {
					continue
				}
				if !calm {
					switch rng.IntN(200) {
					case 0:
						e.frozen = now + time.Duration(rng.IntN(5000))*time.Millisecond
						continue
					case 1:
						e.held, e.offset = booking.Held{Life: e.held.Life + 100}, time.Duration(rng.IntN(7200))*time.Second
					case 2:
						e.load = rng.IntN(60)
					}
				}
				if now%(250*time.Millisecond) == 0 && (calm || rng.IntN(4) > 0) {
					word := booking.Demand{Life: e.held.Life, Stamp: now + e.offset, Requests: e.load}
					at := now + delay()
					mail = append(mail, letter{at, -1, func() { d.Heard(fmt.Sprint(i), word, at) }})
				}
			}
			if now%(250*time.Millisecond) == 0 {
				for name, lease := range d.Deal(now) {
					var i int
					_, _ = fmt.Sscan(name, &i) // as named above
					if calm || rng.IntN(4) > 0 {
						mail = append(mail, letter{now + delay(), i, func() { edges[i].held.Take(lease) }})
					}
				}
			}
			sum := 0
			for _, e := range edges {
				sum += e.held.Slots(now + e.offset)
			}
			g.Expect(sum).To(BeNumerically("<=", whole), "seed %d at %s", seed, now)
		}
		load, used, sum := 0, 0, 0
		for _, e := range edges {
			part := e.held.Slots(quiet + 8*time.Second + e.offset - 50*time.Millisecond)
			load, used, sum = load+e.load, used+min(e.load, part), sum+part
		}
		g.Expect(used).To(Equal(min(load, whole)), "seed %d: all that is wanted is where it is wanted", seed)
		g.Expect(sum).To(Equal(whole), "seed %d: nothing lies idle", seed)
	}
}

// Lent room comes back in time: others fill an edge ten times over while the booking is idle, and then its traffic comes.
func TestLentRoomComesBackInTime(t *testing.T) {
	g := NewWithT(t)
	for _, work := range []float64{0.08, 0.2, 0.3, 0.8} {
		refused, asked, lent := 0, 0, 0
		for seed := range uint64(25) {
			rng := rand.New(rand.NewPCG(seed, 9))
			gate := booking.NewGate(40)
			gate.Part("b", 20)
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
						gate.Done(r.under, r.took)
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
				if now > 10*time.Second+500*time.Millisecond && now%(100*time.Millisecond) == 0 { // half a second after it began to come
					asked++
					if !start("b", now) {
						refused++
					}
				} else if now >= 10*time.Second && now <= 10*time.Second+500*time.Millisecond {
					start("b", now)
				}
				g.Expect(len(out)).To(BeNumerically("<=", 40))
			}
		}
		g.Expect(float64(lent)/25).To(BeNumerically(">", 20), "idle room is lent, work %g", work)
		g.Expect(float64(refused)/float64(asked)).To(BeNumerically("<", 0.02), "half a second after it comes, a booking has its room, work %g", work)
		t.Logf("work %g s: %.1f in work while the booking is idle, %.3f of booked requests refused", work, float64(lent)/25, float64(refused)/float64(asked))
	}
}
