package statemachine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/platform/apierror"
)

func TestStateMachine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "statemachine")
}

func body(version int, services string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","services":[%s],"limits":{},"plants":[]}`, version, services)
}

func patch(version int, name string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","upsert":{"services":[{"name":%q}]},"remove":{}}`, version, name)
}

// feeder numbers entries as the consensus does.
type feeder struct {
	h     *StateMachine
	index uint64
}

func (f *feeder) apply(c Change) (bool, error) {
	data, err := cbor.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	f.index++
	applied, err := f.h.Apply(consensus.Entry{Term: 1, Index: f.index, Data: data})
	return applied != nil, err
}

var _ = Describe("the state machine", func() {
	var f *feeder
	BeforeEach(func() {
		f = &feeder{h: New()}
		_, err := f.apply(Change{Base: 0, Body: body(3, `{"name":"a"}`)})
		Expect(err).NotTo(HaveOccurred())
	})
	It("lets one of two changes on the same version win", func() {
		_, err := f.apply(Change{Base: 3, Patch: true, Body: patch(5, "b")})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.apply(Change{Base: 3, Patch: true, Body: patch(6, "c")})
		Expect(apierror.For(err).Status).To(Equal(412))
		Expect(f.h.Version()).To(Equal(uint64(5)))
	})
	It("answers the same call again as taken, also after others, and changes nothing by it", func() {
		first := Change{Base: 3, Patch: true, Body: patch(5, "b")}
		f.apply(first)
		f.apply(Change{Base: 5, Patch: true, Body: patch(9, "c")})
		applied, err := f.apply(first)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied).To(BeFalse())
		Expect(f.h.Version()).To(Equal(uint64(9)))
	})
	It("takes no version that isn't above the current one, and nothing that can't be read", func() {
		for _, c := range []Change{
			{Base: 3, Body: body(3, `{"name":"b"}`)}, {Base: 3, Body: body(2, `{"name":"b"}`)},
			{Base: 3, Patch: true, Body: patch(3, "b")}, {Base: 3, Patch: true, Body: patch(7, "b")[:20]},
		} {
			applied, err := f.apply(c)
			Expect(applied).To(BeFalse())
			Expect(apierror.For(err).Status).To(Equal(400), "%s", c.Body)
		}
		Expect(f.h.Version()).To(Equal(uint64(3)))
	})
	It("takes bookings beside configurations, once, and keeps them in the snapshot", func() {
		one := reservation.Booking{ID: "flyer", Tenant: "a.example", Service: "a", Start: 100, End: 200, Slots: 3, Owner: "hall"}
		add := Change{Bookings: &reservation.Op{Call: "c1", Base: 0, Puts: []reservation.Booking{one}, Now: 50}}
		for range 2 {
			applied, err := f.apply(add)
			Expect(err).NotTo(HaveOccurred())
			Expect(applied).To(BeFalse(), "the configuration is as it was")
		}
		_, err := f.apply(Change{Bookings: &reservation.Op{Call: "c2", Base: 0, Cancel: "flyer", Now: 60}})
		Expect(apierror.For(err).Status).To(Equal(412), "two on one version: one wins")
		saved, err := f.h.Save()
		Expect(err).NotTo(HaveOccurred())
		other := New()
		Expect(other.Restore(consensus.Snapshot{Index: f.index, Data: saved})).To(Succeed())
		Expect(other.Bookings).To(Equal(f.h.Bookings))
		Expect(other.Version()).To(Equal(uint64(3)))
		_, err = f.apply(Change{Bookings: &reservation.Op{Call: "c3", Base: 1, Cancel: "flyer", Now: 150}})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.h.Bookings.Past[0].EndReason).To(Equal(reservation.Cancelled))
	})
	It("comes to the same from a snapshot and the changes after it", func() {
		f.apply(Change{Base: 3, Patch: true, Body: patch(5, "b")})
		saved, err := f.h.Save()
		Expect(err).NotTo(HaveOccurred())
		other := &feeder{h: New(), index: f.index}
		Expect(other.h.Restore(consensus.Snapshot{Index: f.index, Data: saved})).To(Succeed())
		for _, c := range []Change{{Base: 5, Patch: true, Body: patch(8, "c")}, {Base: 3, Patch: true, Body: patch(5, "b")}, {Base: 5, Patch: true, Body: patch(9, "d")}} {
			one, errOne := f.apply(c)
			two, errTwo := other.apply(c)
			Expect(two).To(Equal(one))
			Expect(errTwo == nil).To(Equal(errOne == nil))
		}
		a, err := json.Marshal(f.h.Config)
		Expect(err).NotTo(HaveOccurred())
		b, err := json.Marshal(other.h.Config)
		Expect(err).NotTo(HaveOccurred())
		Expect(b).To(MatchJSON(a))
		Expect(other.h.AcceptedChanges).To(Equal(f.h.AcceptedChanges))
	})

	// restored is a replica that starts from this one's snapshot.
	restored := func() *feeder {
		other := &feeder{h: New(), index: f.index}
		Expect(other.h.Restore(consensus.Snapshot{Index: f.index, Data: must(f.h.Save())})).To(Succeed())
		return other
	}
	// change applies the next numbered change on the newest version.
	change := func(f *feeder) Change {
		at := f.h.Version()
		c := Change{Base: at, Patch: true, Body: patch(int(at)+1, fmt.Sprint("s-", at))}
		applied, err := f.apply(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied).To(BeTrue())
		return c
	}
	again := func(f *feeder, c Change) {
		GinkgoHelper()
		at := f.h.Version()
		Expect(f.h.HasAccepted(c)).To(BeTrue())
		applied, err := f.apply(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied).To(BeFalse())
		Expect(f.h.Version()).To(Equal(at))
	}
	DescribeTable("knows a call again after 300 others and two snapshots", func(c Change) {
		applied, err := f.apply(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied).To(BeTrue())
		for range 150 {
			change(f)
		}
		f = restored()
		again(f, c)
		for range 150 {
			change(f)
		}
		again(f, c)
		f = restored()
		again(f, c)
	},
		Entry("a whole configuration", Change{Base: 3, Body: body(5, `{"name":"b"}`)}),
		Entry("a change", Change{Base: 3, Patch: true, Body: patch(5, "b")}),
	)
	It("knows exactly the newest calls of those that it keeps, also when it was restored", func() {
		var all []Change
		for range maxAccepted + 2 {
			all = append(all, change(f))
		}
		for _, one := range []*feeder{f, restored()} {
			Expect(one.h.AcceptedChanges).To(HaveLen(maxAccepted))
			Expect(one.h.HasAccepted(all[1])).To(BeFalse())
			Expect(one.h.HasAccepted(all[2])).To(BeTrue())
			_, err := one.apply(all[1])
			Expect(apierror.For(err).Status).To(Equal(412), "forgotten, but on a version that is past")
			again(one, all[2])
			again(one, all[len(all)-1])
			one.h.AcceptedChanges = nil
			Expect(one.h.HasAccepted(all[2])).To(BeFalse())
		}
	})
	DescribeTable("takes exactly one of two calls for one version on different bases", func(at uint64, first, second Change) {
		if at == 4 {
			f.apply(Change{Base: 3, Patch: true, Body: patch(4, "four")})
		}
		other := restored()
		var wins []Change
		for _, one := range []*feeder{f, other} {
			var taken []Change
			for _, c := range []Change{first, second, first, second} {
				if applied, err := one.apply(c); applied {
					Expect(err).NotTo(HaveOccurred())
					taken = append(taken, c)
				}
			}
			Expect(taken).To(HaveLen(1))
			Expect(taken[0].Base).To(Equal(at))
			Expect(one.h.Version()).To(Equal(uint64(6)))
			again(one, taken[0])
			lost := first
			if taken[0].Base == first.Base {
				lost = second
			}
			Expect(one.h.HasAccepted(lost)).To(BeFalse())
			_, err := one.apply(lost)
			Expect(apierror.For(err).Status).To(Equal(412))
			wins = append(wins, taken[0])
		}
		Expect(wins[1]).To(Equal(wins[0]))
		Expect(must(other.h.Save())).To(Equal(must(f.h.Save())))
	},
		Entry("changes on the older", uint64(3), Change{Base: 3, Patch: true, Body: patch(6, "b")}, Change{Base: 4, Patch: true, Body: patch(6, "c")}),
		Entry("changes on the newer", uint64(4), Change{Base: 3, Patch: true, Body: patch(6, "b")}, Change{Base: 4, Patch: true, Body: patch(6, "c")}),
		Entry("the same change on both", uint64(4), Change{Base: 3, Patch: true, Body: patch(6, "b")}, Change{Base: 4, Patch: true, Body: patch(6, "b")}),
		Entry("whole ones", uint64(4), Change{Base: 4, Body: body(6, `{"name":"b"}`)}, Change{Base: 3, Body: body(6, `{"name":"b"}`)}),
		Entry("a whole one and a change", uint64(4), Change{Base: 3, Body: body(6, `{"name":"b"}`)}, Change{Base: 4, Patch: true, Body: patch(6, "b")}),
	)
	It("saves the same bytes where all was applied and where a snapshot and the rest were", func() {
		d := rand.New(rand.NewPCG(5, 6))
		for range 20 {
			f, others := &feeder{h: New()}, []*feeder{}
			calls := []Change{}
			for range 60 {
				if d.IntN(10) == 0 {
					saved := must(f.h.Save())
					other := &feeder{h: New(), index: f.index}
					Expect(other.h.Restore(consensus.Snapshot{Index: f.index, Data: saved})).To(Succeed())
					Expect(must(other.h.Save())).To(Equal(saved), "what is restored is saved as it was")
					others = append(others, other)
				}
				c := drawn(d, f.h.Version())
				if d.IntN(4) == 0 {
					c = Change{Bookings: &reservation.Op{Call: fmt.Sprint("c", f.index), Base: f.h.Bookings.Version, Now: 50, Puts: []reservation.Booking{
						{ID: fmt.Sprint("b-", d.IntN(9)), Tenant: "a.example", Service: "a", Start: 100, End: 200, Slots: 3, Owner: "hall"}}}}
				}
				if len(calls) > 0 && d.IntN(5) == 0 {
					c = calls[d.IntN(len(calls))]
				}
				calls = append(calls, c)
				applied, err := f.apply(c)
				for _, other := range others {
					appliedThere, errThere := other.apply(c)
					Expect(appliedThere).To(Equal(applied))
					Expect(fmt.Sprint(errThere)).To(Equal(fmt.Sprint(err)))
				}
			}
			for _, other := range others {
				Expect(other.h.Index).To(Equal(f.h.Index))
				Expect(must(other.h.Save())).To(Equal(must(f.h.Save())))
				Expect(other.h.Config.Limits).To(Equal(f.h.Config.Limits))
			}
		}
	})
})

// drawn is a random call: a whole configuration, or a change that adds, moves and removes routes; at times a stale one.
func drawn(d *rand.Rand, at uint64) Change {
	c := Change{Base: at, Patch: at > 0 && d.IntN(8) > 0}
	if at > 0 && d.IntN(6) == 0 {
		c.Base--
	}
	limits := []string{`{}`, `{"idle_s":5}`, `{"max_body_bytes":9}`}[d.IntN(3)]
	plants := ""
	for n := range 1 + d.IntN(3) {
		if n > 0 {
			plants += ","
		}
		plants += fmt.Sprintf(`{"plant":"%c.example","channels":[{"name":"r-%d","path_prefix":"/","kind":"safe","deadline_s":1,"service":"a","tries":%d}]}`,
			'a'+d.IntN(5), d.IntN(8), 1+d.IntN(5))
	}
	items := fmt.Sprintf(`"services":[{"name":"a"}],"limits":%s,"plants":[%s]`, limits, plants)
	if c.Body = fmt.Appendf(nil, `{"version":"r%d",%s}`, at+1, items); c.Patch {
		c.Body = fmt.Appendf(nil, `{"version":"r%d","upsert":{%s},"remove":{"routes":["r-%d"],"plants":["%c.example"]}}`, at+1, items, d.IntN(8), 'a'+d.IntN(9))
	}
	return c
}

func must[T any](out T, err error) T {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	return out
}
