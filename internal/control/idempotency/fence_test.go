package idempotency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
)

// fenced is a host of a store, as a controller is one: it knows the epoch of the newest membership that it applied durably.
type fenced struct {
	*idempotency.Store
	epoch uint64
	open  bool // planted: whatever the epoch is, the store is asked
}

func (f *fenced) judge(r idempotency.Record, epoch uint64) idempotency.GrantReply {
	if epoch < f.epoch && !f.open {
		return idempotency.ReplyStaleEpoch
	}
	return put(f.Store, r, 0)
}

// change replaces voter c of a, b and c by d. Claim 1 is put by a coordinator that was cut off and knows the former voters
// only, claim 2 by one that knows the new ones.
type change struct {
	stores  map[string]*fenced
	former  *idempotency.Coordinator
	present *idempotency.Coordinator
	key     idempotency.Key
}

const formerEpoch, jointEpoch, finalEpoch = 2, 3, 4

func newChange(open bool) *change {
	w := &change{stores: map[string]*fenced{}, key: idempotency.KeyOf("t", "k"),
		former: idempotency.NewCoordinator([]string{"c", "a", "b"}, time.Second, time.Minute), present: idempotency.NewCoordinator([]string{"d", "b", "a"}, time.Second, time.Minute)}
	for _, id := range []string{"a", "b", "c", "d"} {
		w.stores[id] = &fenced{Store: idempotency.NewStore(window, id == "d"), epoch: formerEpoch, open: open}
	}
	return w
}

func (w *change) applies(epoch uint64, ids ...string) {
	for _, id := range ids {
		w.stores[id].epoch = epoch
	}
}

func (w *change) copies(from string) {
	w.stores[from].EachClaim(func(r idempotency.Record) { w.stores["d"].Import(r, 0) })
}

// stands puts a claim to the stores that its coordinator asks, and tells whether it stands.
func (w *change) stands(c *idempotency.Coordinator, n, epoch uint64) bool {
	asks := c.Start(idempotency.Record{Key: w.key, Token: token(n)}, 0)
	for len(asks) > 0 {
		ask := asks[0]
		more, done := c.HandleReply(ask.To, ask.Record.Token, w.stores[ask.To].judge(ask.Record, epoch), idempotency.Record{Token: token(99)})
		if done != nil {
			return done.Outcome == idempotency.OutcomeGranted
		}
		asks = append(asks[1:], more...)
	}
	return false
}

// afterwards has d copy, the change end, and both claims put, the one under the new membership first.
func afterwards(open bool) (former, present bool) {
	w := newChange(open)
	w.applies(jointEpoch, "a", "b", "d")
	w.copies("a")
	w.copies("b")
	w.stores["d"].FinishRecovery()
	w.applies(finalEpoch, "a", "b", "d")
	present = w.stands(w.present, 2, finalEpoch)
	return w.stands(w.former, 1, formerEpoch), present
}

// meanwhile has a claim under the former membership put right after d copied from a.
func meanwhile(appliedFirst bool) (former, present bool) {
	w := newChange(false)
	if appliedFirst {
		w.applies(jointEpoch, "a")
	}
	w.copies("a")
	former = w.stands(w.former, 1, formerEpoch)
	w.applies(jointEpoch, "a", "b", "d")
	w.copies("b")
	w.stores["d"].FinishRecovery()
	w.applies(finalEpoch, "a", "b", "d")
	return former, w.stands(w.present, 2, finalEpoch)
}

var _ = Describe("a change of the stores that count", func() {
	It("lets no claim under the former membership stand beside one under the new", func() {
		former, present := afterwards(false)
		Expect(present).To(BeTrue())
		Expect(former).To(BeFalse())
	})
	It("would let both stand without the fence of epochs: the fault is seen", func() {
		former, present := afterwards(true)
		Expect(former && present).To(BeTrue())
	})
	It("lets one claim stand that is put while an entrant copies from stores that applied the change", func() {
		former, present := meanwhile(true)
		Expect(former && present).To(BeFalse())
		Expect(former || present).To(BeTrue())
	})
	It("would let both stand if a copy were sent before its source applied the change: the fault is seen", func() {
		former, present := meanwhile(false)
		Expect(former && present).To(BeTrue())
	})
})
