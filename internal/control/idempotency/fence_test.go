package idempotency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
)

// fencedStore rejects requests with an epoch older than the newest membership that it has applied, as a controller does.
type fencedStore struct {
	*idempotency.Store
	epoch    uint64
	unfenced bool // injected fault: requests of any epoch are accepted
}

func (f *fencedStore) grant(r idempotency.Record, epoch uint64) idempotency.GrantReply {
	if epoch < f.epoch && !f.unfenced {
		return idempotency.ReplyStaleEpoch
	}
	return grantDurably(f.Store, r, 0)
}

// voterChange replaces voter c of a, b and c by d. Claim 1 is made by a partitioned coordinator that has only the former
// voters, claim 2 by one that has the new voters.
type voterChange struct {
	stores             map[string]*fencedStore
	formerCoordinator  *idempotency.Coordinator
	currentCoordinator *idempotency.Coordinator
	key                idempotency.Key
}

const formerEpoch, jointEpoch, finalEpoch = 2, 3, 4

func newVoterChange(unfenced bool) *voterChange {
	w := &voterChange{stores: map[string]*fencedStore{}, key: idempotency.KeyOf("t", "k"),
		formerCoordinator: idempotency.NewCoordinator([]string{"c", "a", "b"}, time.Second, time.Minute), currentCoordinator: idempotency.NewCoordinator([]string{"d", "b", "a"}, time.Second, time.Minute)}
	for _, id := range []string{"a", "b", "c", "d"} {
		w.stores[id] = &fencedStore{Store: idempotency.NewStore(window, id == "d"), epoch: formerEpoch, unfenced: unfenced}
	}
	return w
}

func (w *voterChange) applyEpoch(epoch uint64, ids ...string) {
	for _, id := range ids {
		w.stores[id].epoch = epoch
	}
}

func (w *voterChange) importFrom(from string) {
	w.stores[from].EachClaim(func(r idempotency.Record) { w.stores["d"].Import(r, 0) })
}

// isGranted delivers the requests of a claim to the stores, and reports whether the claim is granted.
func (w *voterChange) isGranted(c *idempotency.Coordinator, sequence, epoch uint64) bool {
	requests := c.Start(idempotency.Record{Key: w.key, Token: token(sequence)}, 0)
	for len(requests) > 0 {
		request := requests[0]
		more, result := c.HandleReply(request.To, request.Record.Token, w.stores[request.To].grant(request.Record, epoch), idempotency.Record{Token: token(99)})
		if result != nil {
			return result.Outcome == idempotency.OutcomeGranted
		}
		requests = append(requests[1:], more...)
	}
	return false
}

// claimAfterChange makes both claims after d imported and the change is finished; the claim under the new membership first.
func claimAfterChange(unfenced bool) (former, current bool) {
	w := newVoterChange(unfenced)
	w.applyEpoch(jointEpoch, "a", "b", "d")
	w.importFrom("a")
	w.importFrom("b")
	w.stores["d"].FinishRecovery()
	w.applyEpoch(finalEpoch, "a", "b", "d")
	current = w.isGranted(w.currentCoordinator, 2, finalEpoch)
	return w.isGranted(w.formerCoordinator, 1, formerEpoch), current
}

// claimDuringImport makes a claim under the former membership right after d imported the claims of a.
func claimDuringImport(appliedFirst bool) (former, current bool) {
	w := newVoterChange(false)
	if appliedFirst {
		w.applyEpoch(jointEpoch, "a")
	}
	w.importFrom("a")
	former = w.isGranted(w.formerCoordinator, 1, formerEpoch)
	w.applyEpoch(jointEpoch, "a", "b", "d")
	w.importFrom("b")
	w.stores["d"].FinishRecovery()
	w.applyEpoch(finalEpoch, "a", "b", "d")
	return former, w.isGranted(w.currentCoordinator, 2, finalEpoch)
}

var _ = Describe("a change of the voters", func() {
	It("grants no claim under the former membership beside one under the new membership", func() {
		former, current := claimAfterChange(false)
		Expect(current).To(BeTrue())
		Expect(former).To(BeFalse())
	})
	It("would grant both claims if requests of old epochs were accepted", func() {
		former, current := claimAfterChange(true)
		Expect(former && current).To(BeTrue())
	})
	It("grants one of two claims if one is made while a new voter imports from stores that applied the change", func() {
		former, current := claimDuringImport(true)
		Expect(former && current).To(BeFalse())
		Expect(former || current).To(BeTrue())
	})
	It("would grant both claims if a source exported its claims before it applied the change", func() {
		former, current := claimDuringImport(false)
		Expect(former && current).To(BeTrue())
	})
})
