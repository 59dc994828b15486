package statemachine

import (
	"encoding/json"
	"fmt"
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
		add := Change{Book: &reservation.Op{Call: "c1", Base: 0, Puts: []reservation.Booking{one}, Now: 50}}
		for range 2 {
			applied, err := f.apply(add)
			Expect(err).NotTo(HaveOccurred())
			Expect(applied).To(BeFalse(), "the configuration is as it was")
		}
		_, err := f.apply(Change{Book: &reservation.Op{Call: "c2", Base: 0, Cancel: "flyer", Now: 60}})
		Expect(apierror.For(err).Status).To(Equal(412), "two on one version: one wins")
		saved, err := f.h.Save()
		Expect(err).NotTo(HaveOccurred())
		other := New()
		Expect(other.Restore(consensus.Snapshot{Index: f.index, Data: saved})).To(Succeed())
		Expect(other.Book).To(Equal(f.h.Book))
		Expect(other.Version()).To(Equal(uint64(3)))
		_, err = f.apply(Change{Book: &reservation.Op{Call: "c3", Base: 1, Cancel: "flyer", Now: 150}})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.h.Book.Gone[0].How).To(Equal(reservation.Cancelled))
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
		Expect(other.h.Taken).To(Equal(f.h.Taken))
	})
})
