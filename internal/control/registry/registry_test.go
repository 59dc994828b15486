package registry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/registry"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}

const beat = 1500 * time.Millisecond

func never(string) bool { return false }

func entry(seq uint64, state registry.State) registry.Entry {
	return registry.Entry{ID: "i-1", Service: "ledger", Address: "10.0.0.9:80", Capacity: 2, Seq: seq, State: state, Owner: "x"}
}

var _ = Describe("a registry", func() {
	It("keeps a server draining when a late beat says ready", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Draining), 0)
		now, news := r.Apply(entry(4, registry.Ready), 1)
		Expect(now.State).To(Equal(registry.Draining))
		Expect(news).To(BeFalse())
		now, _ = r.Apply(entry(6, registry.Ready), 2)
		Expect(now.State).To(Equal(registry.Draining))
	})
	It("keeps a life gone when a snapshot of one who missed that comes", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Removed), 0)
		now, news := r.Apply(entry(9, registry.Ready), 1)
		Expect(now.State).To(Equal(registry.Removed))
		Expect(news).To(BeFalse())
	})
	It("takes an address given to another service for another life", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Removed), 0)
		next := registry.Entry{ID: "i-2", Service: "tags", Address: "10.0.0.9:80", Capacity: 2, Seq: 1}
		now, news := r.Apply(next, 1)
		Expect(news).To(BeTrue())
		Expect(now.Service).To(Equal("tags"))
		old, _ := r.Get("i-1")
		Expect(old.State).To(Equal(registry.Removed))
	})
	It("marks silent whose beats stop, and takes the next beat back", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Ready), 0)
		Expect(r.MarkTimedOut("x", never, 3*beat, 3*beat)).To(BeEmpty())
		Expect(r.MarkTimedOut("x", never, 3*beat, 3*beat+1)).To(HaveLen(1))
		now, news := r.Apply(entry(6, registry.Ready), 4*beat)
		Expect(now.TimedOut).To(BeFalse())
		Expect(news).To(BeTrue())
	})
	It("leaves the beats of others alone, while those are heard", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Ready), 0)
		Expect(r.MarkTimedOut("y", never, 3*beat, 9*beat)).To(BeEmpty())
		Expect(r.MarkTimedOut("y", func(string) bool { return true }, 3*beat, 9*beat)).To(HaveLen(1))
	})
	It("comes to the same, whatever the order of what it hears", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for range 2000 {
			var all []registry.Entry
			for range 5 {
				e := entry(rng.Uint64N(4), registry.State(rng.IntN(3)))
				e.TimedOut, e.Owner = rng.IntN(3) == 0, string(rune('x'+rng.IntN(2)))
				e.Expired = e.TimedOut && rng.IntN(2) == 0
				all = append(all, e)
			}
			want := registry.Entry{}
			for round := range 4 {
				got := all[0]
				for _, e := range all[1:] {
					got = registry.Merge(got, e)
				}
				got = registry.Merge(got, got)
				if round == 0 {
					want = got
				}
				Expect(got).To(Equal(want))
				rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			}
		}
	})
	It("has the same sums as another that holds the same, and others in the cells that differ", func() {
		rng := rand.New(rand.NewPCG(4, 4))
		zones := []string{"a", "b", "c"}
		for range 300 {
			one, two := registry.New(time.Minute), registry.New(time.Minute)
			var all []registry.Entry
			for i := range 12 {
				e := entry(uint64(1+rng.IntN(3)), registry.State(rng.IntN(3)))
				e.ID, e.Zone, e.TimedOut = fmt.Sprint(i%6), zones[i%3], rng.IntN(3) == 0
				all = append(all, e)
			}
			for _, e := range all {
				one.Apply(e, 0)
			}
			rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			for _, e := range all {
				two.Apply(e, 0)
			}
			Expect(one.Digest()).To(Equal(two.Digest()))
			extra := entry(9, registry.Ready)
			extra.ID, extra.Zone = "new", zones[rng.IntN(3)]
			two.Apply(extra, 0)
			Expect(one.Digest()).NotTo(Equal(two.Digest()))
			for _, z := range zones {
				Expect(one.ZoneDigests()[z] == two.ZoneDigests()[z]).To(Equal(z != extra.Zone))
			}
			extra.State = registry.Removed
			two.Apply(extra, 0)
			Expect(one.Digest()).To(Equal(two.Digest()), "what is gone doesn't count: it is forgotten at different times")
		}
	})
	It("has a server back that beat on while two controllers were cut off from each other for long", func() {
		for _, cut := range []time.Duration{30 * time.Second, 100 * time.Second, 170 * time.Second, time.Hour} {
			near, far := registry.New(90*time.Second), registry.New(90*time.Second)
			seq, healed := uint64(1), false
			near.Apply(entry(seq, registry.Ready), 0)
			far.Apply(entry(seq, registry.Ready), 0)
			lost := func(string) bool { return !healed }
			for now := time.Duration(0); now < cut+10*time.Minute; now += beat {
				seq++
				changed, news := near.Apply(entry(seq, registry.Ready), now)
				if now > cut {
					if news || !healed {
						far.Apply(changed, now)
					}
					if !healed {
						for _, e := range far.All(now) {
							near.Apply(e, now)
						}
					}
					healed = true
				}
				near.MarkTimedOut("x", never, 3*beat, now)
				far.MarkTimedOut("y", lost, 3*beat, now)
			}
			for _, r := range []*registry.Registry{near, far} {
				e, known := r.Get("i-1")
				Expect(known).To(BeTrue(), "cut for %s", cut)
				Expect(e.Ended()).To(BeFalse(), "cut for %s", cut)
			}
		}
	})
	It("takes one that falls silent while it leaves for gone, whatever comes late", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Draining), 0)
		r.MarkTimedOut("x", never, beat, beat+1)
		Expect(r.MarkTimedOut("x", never, beat, beat+2+time.Minute)).To(HaveLen(1))
		now, _ := r.Apply(entry(6, registry.Ready), 2*time.Minute)
		Expect(now.State).To(Equal(registry.Removed))
	})
	It("forgets what is long gone", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Removed), 0)
		r.Prune(time.Minute)
		Expect(r.All(0)).To(HaveLen(1))
		r.Prune(time.Minute + 1)
		Expect(r.All(0)).To(BeEmpty())
	})
})
