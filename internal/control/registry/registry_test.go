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

const heartbeatInterval = 1500 * time.Millisecond

func alwaysReachable(string) bool { return false }

func entry(seq uint64, state registry.State) registry.Entry {
	return registry.Entry{ID: "i-1", Service: "ledger", Address: "10.0.0.9:80", Capacity: 2, Seq: seq, State: state, Owner: "x"}
}

var _ = Describe("a registry", func() {
	It("keeps a server draining when a delayed heartbeat reports it as ready", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Draining), 0)
		current, updated := r.Apply(entry(4, registry.Ready), 1)
		Expect(current.State).To(Equal(registry.Draining))
		Expect(updated).To(BeFalse())
		current, _ = r.Apply(entry(6, registry.Ready), 2)
		Expect(current.State).To(Equal(registry.Draining))
	})
	It("keeps an incarnation removed when an outdated snapshot arrives", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Removed), 0)
		current, updated := r.Apply(entry(9, registry.Ready), 1)
		Expect(current.State).To(Equal(registry.Removed))
		Expect(updated).To(BeFalse())
	})
	It("treats an address that is reused by another service as another incarnation", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Removed), 0)
		next := registry.Entry{ID: "i-2", Service: "tags", Address: "10.0.0.9:80", Capacity: 2, Seq: 1}
		current, updated := r.Apply(next, 1)
		Expect(updated).To(BeTrue())
		Expect(current.Service).To(Equal("tags"))
		old, _ := r.Get("i-1")
		Expect(old.State).To(Equal(registry.Removed))
	})
	It("marks a server as timed out without heartbeats, and reverts that with the next heartbeat", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Ready), 0)
		Expect(r.MarkTimedOut("x", alwaysReachable, 3*heartbeatInterval, 3*heartbeatInterval)).To(BeEmpty())
		Expect(r.MarkTimedOut("x", alwaysReachable, 3*heartbeatInterval, 3*heartbeatInterval+1)).To(HaveLen(1))
		current, updated := r.Apply(entry(6, registry.Ready), 4*heartbeatInterval)
		Expect(current.TimedOut).To(BeFalse())
		Expect(updated).To(BeTrue())
	})
	It("marks the servers of another controller only while that is unreachable", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Ready), 0)
		Expect(r.MarkTimedOut("y", alwaysReachable, 3*heartbeatInterval, 9*heartbeatInterval)).To(BeEmpty())
		Expect(r.MarkTimedOut("y", func(string) bool { return true }, 3*heartbeatInterval, 9*heartbeatInterval)).To(HaveLen(1))
	})
	It("merges entries to the same result in any order", func() {
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
	It("has equal digests for equal entries, and different digests for the zones that differ", func() {
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
			Expect(one.Digest()).To(Equal(two.Digest()), "removed incarnations are pruned at different times")
		}
	})
	It("restores a server that kept sending heartbeats during a long partition between two controllers", func() {
		for _, partition := range []time.Duration{30 * time.Second, 100 * time.Second, 170 * time.Second, time.Hour} {
			near, far := registry.New(90*time.Second), registry.New(90*time.Second)
			seq, healed := uint64(1), false
			near.Apply(entry(seq, registry.Ready), 0)
			far.Apply(entry(seq, registry.Ready), 0)
			unreachable := func(string) bool { return !healed }
			for now := time.Duration(0); now < partition+10*time.Minute; now += heartbeatInterval {
				seq++
				current, updated := near.Apply(entry(seq, registry.Ready), now)
				if now > partition {
					if updated || !healed {
						far.Apply(current, now)
					}
					if !healed {
						for _, e := range far.All(now) {
							near.Apply(e, now)
						}
					}
					healed = true
				}
				near.MarkTimedOut("x", alwaysReachable, 3*heartbeatInterval, now)
				far.MarkTimedOut("y", unreachable, 3*heartbeatInterval, now)
			}
			for _, r := range []*registry.Registry{near, far} {
				e, known := r.Get("i-1")
				Expect(known).To(BeTrue(), "partition of %s", partition)
				Expect(e.Ended()).To(BeFalse(), "partition of %s", partition)
			}
		}
	})
	It("removes a draining server whose heartbeats stop, despite a delayed heartbeat", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Draining), 0)
		r.MarkTimedOut("x", alwaysReachable, heartbeatInterval, heartbeatInterval+1)
		Expect(r.MarkTimedOut("x", alwaysReachable, heartbeatInterval, heartbeatInterval+2+time.Minute)).To(HaveLen(1))
		current, _ := r.Apply(entry(6, registry.Ready), 2*time.Minute)
		Expect(current.State).To(Equal(registry.Removed))
	})
	It("prunes a removed incarnation after the retention", func() {
		r := registry.New(time.Minute)
		r.Apply(entry(5, registry.Removed), 0)
		r.Prune(time.Minute)
		Expect(r.All(0)).To(HaveLen(1))
		r.Prune(time.Minute + 1)
		Expect(r.All(0)).To(BeEmpty())
	})
})
