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

// A controller that is voted out during its shutdown must hand over its stored responses and exit once they are durable at
// the receiver. Without an acknowledgement it must still exit within its grace period.
func TestResponsesAreHandedOverBeforeExit(t *testing.T) {
	for _, answered := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			dir := t.TempDir()
			writeDisk(t, dir, voterDisk(ipC))
			h := start(t, ipC, dir, false)
			b, d := h.linkReplica(ipB), h.linkReplica("10.0.0.4#d")
			r := claimRecord(1)
			r.Response = &idempotency.Response{Status: 200, Body: []byte("done")}
			b.send(&peer.Frame{Responses: []idempotency.Record{r}})
			h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4})
			h.advance(tickInterval)
			h.beginShutdown()
			h.advance(2 * minShutdown)
			g.Expect(h.shutdown.done).To(BeFalse(), "a standby is linked: it waits until the standby has its vote")
			final := consensus.Membership{Epoch: 4, Cluster: cluster, Voters: []string{ipA, ipB, "10.0.0.4#d"}}
			b.received()
			d.received()
			h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4, Commit: 3, Entries: []consensus.Entry{{Term: 5, Index: 2, Membership: &jointMembership}, {Term: 5, Index: 3, Membership: &final}}})
			h.advance(tickInterval)
			g.Expect(h.shutdown.done).To(BeFalse())
			responseCount, sync := 0, uint64(0)
			var receiver *scriptedPeer
			for _, s := range []*scriptedPeer{b, d} {
				for _, f := range s.received() {
					if responseCount += len(f.Responses); f.SyncRequest != 0 {
						sync, receiver = f.SyncRequest, s
					}
				}
			}
			g.Expect(responseCount).To(Equal(1))
			g.Expect(receiver).NotTo(BeNil())
			if answered {
				receiver.send(&peer.Frame{SyncReply: sync})
				h.advance(tickInterval)
				g.Expect(h.shutdown.done).To(BeTrue())
			} else {
				h.advance(handOverTimeout / 2)
				g.Expect(h.shutdown.done).To(BeFalse())
				h.advance(handOverTimeout)
				g.Expect(h.shutdown.done).To(BeTrue())
			}
			h.stop()
		})
	}
}

// A leader that shuts down must transfer leadership to a voter with the complete log, and run until that voter leads.
func TestLeaderThatShutsDownTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		h.advance(tickInterval)
		b.received()
		h.beginShutdown()
		h.advance(2 * tickInterval)
		transferred := false
		for _, f := range b.received() {
			for _, m := range f.Consensus {
				transferred = transferred || m.Kind == consensus.TimeoutNow
			}
			g.Expect(f.Summary == nil || !f.Summary.InContact).To(BeTrue(), "edges look for another controller")
		}
		g.Expect(transferred).To(BeTrue())
		g.Expect(h.shutdown.done).To(BeFalse())
		h.followLeader(b, h.consensus.replica.Term()+1, consensus.Message{Index: h.consensus.replica.LastIndex(), LogTerm: h.consensus.replica.Term()})
		h.advance(tickInterval)
		g.Expect(h.shutdown.done).To(BeTrue(), "there is no standby: it keeps its vote and exits as for a restart")
		h.stop()
	})
}

// A controller that can transfer neither leadership nor its vote must still exit gracefully within its grace period.
func TestShutdownWithoutSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := startVoter(t)
		h.linkReplica("10.0.0.4#d") // a standby, but there is no leader to make it a voter
		h.advance(tickInterval)
		h.beginShutdown()
		h.advance(4 * time.Second)
		g.Expect(h.shutdown.done).To(BeFalse())
		h.advance(2 * time.Second)
		g.Expect(h.shutdown.done).To(BeTrue())
		g.Expect(h.log.containing("shutdown deadline exceeded")).NotTo(BeEmpty())
		h.stop()
	})
}

// Only a leader that a majority confirmed within the last half second (reservation.LeaderProofTTL) may announce and allocate
// reservations.
func TestReservationsNeedALeaderProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		now := wallClock()
		op := reservation.Op{Call: "x", Now: now, Puts: []reservation.Booking{{ID: "x", Tenant: "t.example", Service: "s", Start: now, End: now + 3600, Slots: 1, Owner: "o"}}}
		data, err := cbor.Marshal(statemachine.Change{Bookings: &op})
		g.Expect(err).NotTo(HaveOccurred())
		h.consensus.replica.Propose(data, h.Now())
		h.settle()
		h.confirmReads(b)
		g.Expect(h.consensus.state.Bookings.Active).To(HaveLen(1))
		countAnnouncements := func() (count int) {
			for _, f := range b.received() {
				if f.Reservations != nil {
					count++
				}
			}
			return count
		}
		countAnnouncements()
		h.advance(reservation.LeaderProofTTL)
		g.Expect(countAnnouncements()).To(BeZero(), "no replica has confirmed a read index")
		h.advance(allocateInterval)
		h.confirmReads(b)
		h.advance(allocateInterval + tickInterval)
		g.Expect(countAnnouncements()).To(BeNumerically(">", 0))
		h.advance(reservation.LeaderProofTTL + allocateInterval)
		countAnnouncements()
		h.advance(announceInterval)
		g.Expect(countAnnouncements()).To(BeZero(), "the last proof is too old")
		h.stop()
	})
}
