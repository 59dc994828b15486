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

func completeConfig(version int, services string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","services":[%s],"limits":{},"plants":[]}`, version, services)
}

func servicePatch(version int, name string) []byte {
	return fmt.Appendf(nil, `{"version":"r%d","upsert":{"services":[{"name":%q}]},"remove":{}}`, version, name)
}

// replicaLog applies entries to a state machine and numbers them as the consensus does.
type replicaLog struct {
	machine *StateMachine
	index   uint64
}

func (f *replicaLog) apply(c Change) (bool, error) {
	data, err := cbor.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	f.index++
	applied, err := f.machine.Apply(consensus.Entry{Term: 1, Index: f.index, Data: data})
	return applied != nil, err
}

var _ = Describe("the state machine", func() {
	var f *replicaLog
	BeforeEach(func() {
		f = &replicaLog{machine: New()}
		_, err := f.apply(Change{Base: 0, Body: completeConfig(3, `{"name":"a"}`)})
		Expect(err).NotTo(HaveOccurred())
	})
	It("accepts one of two changes based on the same version", func() {
		_, err := f.apply(Change{Base: 3, Patch: true, Body: servicePatch(5, "b")})
		Expect(err).NotTo(HaveOccurred())
		_, err = f.apply(Change{Base: 3, Patch: true, Body: servicePatch(6, "c")})
		Expect(apierror.For(err).Status).To(Equal(412))
		Expect(f.machine.Version()).To(Equal(uint64(5)))
	})
	It("accepts a repeated call without a change, also after other calls", func() {
		first := Change{Base: 3, Patch: true, Body: servicePatch(5, "b")}
		f.apply(first)
		f.apply(Change{Base: 5, Patch: true, Body: servicePatch(9, "c")})
		applied, err := f.apply(first)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied).To(BeFalse())
		Expect(f.machine.Version()).To(Equal(uint64(9)))
	})
	It("rejects a version that is not above the current one, and a malformed body", func() {
		for _, c := range []Change{
			{Base: 3, Body: completeConfig(3, `{"name":"b"}`)}, {Base: 3, Body: completeConfig(2, `{"name":"b"}`)},
			{Base: 3, Patch: true, Body: servicePatch(3, "b")}, {Base: 3, Patch: true, Body: servicePatch(7, "b")[:20]},
		} {
			applied, err := f.apply(c)
			Expect(applied).To(BeFalse())
			Expect(apierror.For(err).Status).To(Equal(400), "%s", c.Body)
		}
		Expect(f.machine.Version()).To(Equal(uint64(3)))
	})
	It("applies a change of bookings once, and includes bookings in the snapshot", func() {
		booking := reservation.Booking{ID: "flyer", Tenant: "a.example", Service: "a", Start: 100, End: 200, Slots: 3, Owner: "hall"}
		add := Change{Bookings: &reservation.Op{Call: "c1", Base: 0, Puts: []reservation.Booking{booking}, Now: 50}}
		for range 2 {
			applied, err := f.apply(add)
			Expect(err).NotTo(HaveOccurred())
			Expect(applied).To(BeFalse(), "the configuration is unchanged")
		}
		_, err := f.apply(Change{Bookings: &reservation.Op{Call: "c2", Base: 0, Cancel: "flyer", Now: 60}})
		Expect(apierror.For(err).Status).To(Equal(412), "only one of two changes based on the same version is accepted")
		saved, err := f.machine.Save()
		Expect(err).NotTo(HaveOccurred())
		other := New()
		Expect(other.Restore(consensus.Snapshot{Index: f.index, Data: saved})).To(Succeed())
		Expect(other.Bookings).To(Equal(f.machine.Bookings))
		Expect(other.Version()).To(Equal(uint64(3)))
		_, err = f.apply(Change{Bookings: &reservation.Op{Call: "c3", Base: 1, Cancel: "flyer", Now: 150}})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.machine.Bookings.Past[0].EndReason).To(Equal(reservation.Cancelled))
	})
	It("has the same state after a snapshot and the changes after it", func() {
		f.apply(Change{Base: 3, Patch: true, Body: servicePatch(5, "b")})
		saved, err := f.machine.Save()
		Expect(err).NotTo(HaveOccurred())
		other := &replicaLog{machine: New(), index: f.index}
		Expect(other.machine.Restore(consensus.Snapshot{Index: f.index, Data: saved})).To(Succeed())
		for _, c := range []Change{{Base: 5, Patch: true, Body: servicePatch(8, "c")}, {Base: 3, Patch: true, Body: servicePatch(5, "b")}, {Base: 5, Patch: true, Body: servicePatch(9, "d")}} {
			applied, err := f.apply(c)
			appliedThere, errThere := other.apply(c)
			Expect(appliedThere).To(Equal(applied))
			Expect(errThere == nil).To(Equal(err == nil))
		}
		a, err := json.Marshal(f.machine.Config)
		Expect(err).NotTo(HaveOccurred())
		b, err := json.Marshal(other.machine.Config)
		Expect(err).NotTo(HaveOccurred())
		Expect(b).To(MatchJSON(a))
		Expect(other.machine.AcceptedChanges).To(Equal(f.machine.AcceptedChanges))
	})

	// restoreFromSnapshot returns a replica that starts from a snapshot of f.
	restoreFromSnapshot := func() *replicaLog {
		other := &replicaLog{machine: New(), index: f.index}
		Expect(other.machine.Restore(consensus.Snapshot{Index: f.index, Data: must(f.machine.Save())})).To(Succeed())
		return other
	}
	// applyNextPatch applies a patch based on the current version.
	applyNextPatch := func(f *replicaLog) Change {
		version := f.machine.Version()
		c := Change{Base: version, Patch: true, Body: servicePatch(int(version)+1, fmt.Sprint("s-", version))}
		applied, err := f.apply(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied).To(BeTrue())
		return c
	}
	// expectRepeated expects that a repeated call is accepted without a change.
	expectRepeated := func(f *replicaLog, c Change) {
		GinkgoHelper()
		version := f.machine.Version()
		Expect(f.machine.HasAccepted(c)).To(BeTrue())
		applied, err := f.apply(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied).To(BeFalse())
		Expect(f.machine.Version()).To(Equal(version))
	}
	DescribeTable("recognizes a repeated call after 300 others and two snapshots", func(c Change) {
		applied, err := f.apply(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(applied).To(BeTrue())
		for range 150 {
			applyNextPatch(f)
		}
		f = restoreFromSnapshot()
		expectRepeated(f, c)
		for range 150 {
			applyNextPatch(f)
		}
		expectRepeated(f, c)
		f = restoreFromSnapshot()
		expectRepeated(f, c)
	},
		Entry("a complete configuration", Change{Base: 3, Body: completeConfig(5, `{"name":"b"}`)}),
		Entry("a patch", Change{Base: 3, Patch: true, Body: servicePatch(5, "b")}),
	)
	It("recognizes exactly the newest maxAccepted calls, also after it was restored", func() {
		var all []Change
		for range maxAccepted + 2 {
			all = append(all, applyNextPatch(f))
		}
		for _, replica := range []*replicaLog{f, restoreFromSnapshot()} {
			Expect(replica.machine.AcceptedChanges).To(HaveLen(maxAccepted))
			Expect(replica.machine.HasAccepted(all[1])).To(BeFalse())
			Expect(replica.machine.HasAccepted(all[2])).To(BeTrue())
			_, err := replica.apply(all[1])
			Expect(apierror.For(err).Status).To(Equal(412), "the call is no longer remembered, but based on an old version")
			expectRepeated(replica, all[2])
			expectRepeated(replica, all[len(all)-1])
			replica.machine.AcceptedChanges = nil
			Expect(replica.machine.HasAccepted(all[2])).To(BeFalse())
		}
	})
	DescribeTable("accepts exactly one of two calls to the same version based on different versions", func(version uint64, first, second Change) {
		if version == 4 {
			f.apply(Change{Base: 3, Patch: true, Body: servicePatch(4, "four")})
		}
		other := restoreFromSnapshot()
		var winners []Change
		for _, replica := range []*replicaLog{f, other} {
			var accepted []Change
			for _, c := range []Change{first, second, first, second} {
				if applied, err := replica.apply(c); applied {
					Expect(err).NotTo(HaveOccurred())
					accepted = append(accepted, c)
				}
			}
			Expect(accepted).To(HaveLen(1))
			Expect(accepted[0].Base).To(Equal(version))
			Expect(replica.machine.Version()).To(Equal(uint64(6)))
			expectRepeated(replica, accepted[0])
			rejected := first
			if accepted[0].Base == first.Base {
				rejected = second
			}
			Expect(replica.machine.HasAccepted(rejected)).To(BeFalse())
			_, err := replica.apply(rejected)
			Expect(apierror.For(err).Status).To(Equal(412))
			winners = append(winners, accepted[0])
		}
		Expect(winners[1]).To(Equal(winners[0]))
		Expect(must(other.machine.Save())).To(Equal(must(f.machine.Save())))
	},
		Entry("patches, the older base current", uint64(3), Change{Base: 3, Patch: true, Body: servicePatch(6, "b")}, Change{Base: 4, Patch: true, Body: servicePatch(6, "c")}),
		Entry("patches, the newer base current", uint64(4), Change{Base: 3, Patch: true, Body: servicePatch(6, "b")}, Change{Base: 4, Patch: true, Body: servicePatch(6, "c")}),
		Entry("the same patch on both bases", uint64(4), Change{Base: 3, Patch: true, Body: servicePatch(6, "b")}, Change{Base: 4, Patch: true, Body: servicePatch(6, "b")}),
		Entry("complete configurations", uint64(4), Change{Base: 4, Body: completeConfig(6, `{"name":"b"}`)}, Change{Base: 3, Body: completeConfig(6, `{"name":"b"}`)}),
		Entry("a complete configuration and a patch", uint64(4), Change{Base: 3, Body: completeConfig(6, `{"name":"b"}`)}, Change{Base: 4, Patch: true, Body: servicePatch(6, "b")}),
	)
	It("saves the same bytes after all entries as after a snapshot and the remaining entries", func() {
		rng := rand.New(rand.NewPCG(5, 6))
		for range 20 {
			f, others := &replicaLog{machine: New()}, []*replicaLog{}
			calls := []Change{}
			for range 60 {
				if rng.IntN(10) == 0 {
					saved := must(f.machine.Save())
					other := &replicaLog{machine: New(), index: f.index}
					Expect(other.machine.Restore(consensus.Snapshot{Index: f.index, Data: saved})).To(Succeed())
					Expect(must(other.machine.Save())).To(Equal(saved), "a restored state is saved unchanged")
					others = append(others, other)
				}
				c := randomChange(rng, f.machine.Version())
				if rng.IntN(4) == 0 {
					c = Change{Bookings: &reservation.Op{Call: fmt.Sprint("c", f.index), Base: f.machine.Bookings.Version, Now: 50, Puts: []reservation.Booking{
						{ID: fmt.Sprint("b-", rng.IntN(9)), Tenant: "a.example", Service: "a", Start: 100, End: 200, Slots: 3, Owner: "hall"}}}}
				}
				if len(calls) > 0 && rng.IntN(5) == 0 {
					c = calls[rng.IntN(len(calls))]
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
				Expect(other.machine.Index).To(Equal(f.machine.Index))
				Expect(must(other.machine.Save())).To(Equal(must(f.machine.Save())))
				Expect(other.machine.Config.Limits).To(Equal(f.machine.Config.Limits))
			}
		}
	})
})

// randomChange returns a random call: a complete configuration, or a patch that adds, moves and removes routes. Some of them
// are based on an old version.
func randomChange(rng *rand.Rand, version uint64) Change {
	c := Change{Base: version, Patch: version > 0 && rng.IntN(8) > 0}
	if version > 0 && rng.IntN(6) == 0 {
		c.Base--
	}
	limits := []string{`{}`, `{"idle_s":5}`, `{"max_body_bytes":9}`}[rng.IntN(3)]
	plants := ""
	for n := range 1 + rng.IntN(3) {
		if n > 0 {
			plants += ","
		}
		plants += fmt.Sprintf(`{"plant":"%c.example","channels":[{"name":"r-%d","path_prefix":"/","kind":"safe","deadline_s":1,"service":"a","tries":%d}]}`,
			'a'+rng.IntN(5), rng.IntN(8), 1+rng.IntN(5))
	}
	items := fmt.Sprintf(`"services":[{"name":"a"}],"limits":%s,"plants":[%s]`, limits, plants)
	if c.Body = fmt.Appendf(nil, `{"version":"r%d",%s}`, version+1, items); c.Patch {
		c.Body = fmt.Appendf(nil, `{"version":"r%d","upsert":{%s},"remove":{"routes":["r-%d"],"plants":["%c.example"]}}`, version+1, items, rng.IntN(8), 'a'+rng.IntN(9))
	}
	return c
}

func must[T any](out T, err error) T {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	return out
}
