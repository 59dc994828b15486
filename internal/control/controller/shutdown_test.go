package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/peer"
)

// One that is voted out while it leaves hands its answers on, and ends once they are durable elsewhere; if nobody says so,
// it ends all the same, within its grace.
func TestAnswersAreHandedOnBeforeTheEnd(t *testing.T) {
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			dir := t.TempDir()
			prepared(t, dir, voter(ipC))
			h := start(t, ipC, dir, false)
			b, d := h.linked(ipB), h.linked("10.0.0.4#d")
			r := record(1)
			r.Response = &idempotency.Response{Status: 200, Body: []byte("done")}
			b.says(&peer.Frame{Responses: []idempotency.Record{r}})
			h.follow(b, 5, consensus.Message{Index: 1, LogTerm: 4})
			h.pass(tickInterval)
			h.beginShutdown()
			h.pass(2 * minShutdown)
			g.Expect(h.shutdown.done).To(BeFalse(), "somebody stands by: it waits for its vote to go there")
			final := consensus.Membership{Epoch: 4, Cluster: cluster, Voters: []string{ipA, ipB, "10.0.0.4#d"}}
			b.hears()
			d.hears()
			h.follow(b, 5, consensus.Message{Index: 1, LogTerm: 4, Commit: 3, Entries: []consensus.Entry{{Term: 5, Index: 2, Membership: &joint}, {Term: 5, Index: 3, Membership: &final}}})
			h.pass(tickInterval)
			g.Expect(h.shutdown.done).To(BeFalse())
			got, sync := 0, uint64(0)
			var heir *script
			for _, s := range []*script{b, d} {
				for _, f := range s.hears() {
					if got += len(f.Responses); f.SyncRequest != 0 {
						sync, heir = f.SyncRequest, s
					}
				}
			}
			g.Expect(got).To(Equal(1))
			g.Expect(heir).NotTo(BeNil())
			if answered {
				heir.says(&peer.Frame{SyncReply: sync})
				h.pass(tickInterval)
				g.Expect(h.shutdown.done).To(BeTrue())
			} else {
				h.pass(handOverTimeout / 2)
				g.Expect(h.shutdown.done).To(BeFalse())
				h.pass(handOverTimeout)
				g.Expect(h.shutdown.done).To(BeTrue())
			}
			h.stop()
		})
	}
}

// A leader that is told to end passes leadership to a voter that holds its log, and takes part until that one leads.
func TestLeaderThatLeavesPassesLeadershipOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := voterAt(t)
		h.lead(b)
		h.pass(tickInterval)
		b.hears()
		h.beginShutdown()
		h.pass(2 * tickInterval)
		asked := false
		for _, f := range b.hears() {
			for _, m := range f.Consensus {
				asked = asked || m.Kind == consensus.TimeoutNow
			}
			g.Expect(f.Summary == nil || !f.Summary.InContact).To(BeTrue(), "edges look for another controller")
		}
		g.Expect(asked).To(BeTrue())
		g.Expect(h.shutdown.done).To(BeFalse())
		h.follow(b, h.consensus.replica.Term()+1, consensus.Message{Index: h.consensus.replica.Last(), LogTerm: h.consensus.replica.Term()})
		h.pass(tickInterval)
		g.Expect(h.shutdown.done).To(BeTrue(), "nobody stands by: it keeps its vote, and ends as for a restart")
		h.stop()
	})
}

// One that can hand on neither leadership nor vote ends in order all the same, before its grace is over.
func TestEndWithoutAnybody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := voterAt(t)
		h.linked("10.0.0.4#d") // stands by, but nobody leads who could vote it in
		h.pass(tickInterval)
		h.beginShutdown()
		h.pass(4 * time.Second)
		g.Expect(h.shutdown.done).To(BeFalse())
		h.pass(2 * time.Second)
		g.Expect(h.shutdown.done).To(BeTrue())
		g.Expect(h.log.with("shutdown deadline exceeded")).NotTo(BeEmpty())
		h.stop()
	})
}

// Reservations are told and dealt only by a leader that a majority confirmed at most half a second ago.
func TestReservationsNeedARound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := voterAt(t)
		h.lead(b)
		now := wallClock()
		op := reservation.Op{Call: "x", Now: now, Puts: []reservation.Booking{{ID: "x", Tenant: "t.example", Service: "s", Start: now, End: now + 3600, Slots: 1, Owner: "o"}}}
		data, err := cbor.Marshal(statemachine.Change{Bookings: &op})
		g.Expect(err).NotTo(HaveOccurred())
		h.consensus.replica.Propose(data, h.Now())
		h.turn()
		h.confirms(b)
		g.Expect(h.consensus.state.Bookings.Active).To(HaveLen(1))
		told := func() (times int) {
			for _, f := range b.hears() {
				if f.Reservations != nil {
					times++
				}
			}
			return times
		}
		told()
		h.pass(reservation.LeaderProofTTL)
		g.Expect(told()).To(BeZero(), "nobody has answered a round")
		h.pass(allocateInterval)
		h.confirms(b)
		h.pass(allocateInterval + tickInterval)
		g.Expect(told()).To(BeNumerically(">", 0))
		h.pass(reservation.LeaderProofTTL + allocateInterval)
		told()
		h.pass(announceInterval)
		g.Expect(told()).To(BeZero(), "the last proof is too old")
		h.stop()
	})
}
