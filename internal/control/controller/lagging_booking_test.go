package controller

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/control/statemachine"
)

// A new leader may not have applied a booking that the previous leader acknowledged. A change based on it must be decided by
// the log, as for a configuration, and not rejected by the leader's local state.
func TestBookingAtALaggingLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		c := h.linkReplica(ipC)
		op := reservation.Op{Call: "x", Puts: []reservation.Booking{{ID: "x", Tenant: "t.example", Service: "s", Start: 3e9, End: 4e9, Slots: 1, Owner: "o"}}}
		data, err := cbor.Marshal(statemachine.Change{Bookings: &op})
		g.Expect(err).NotTo(HaveOccurred())
		h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4, Entries: []consensus.Entry{{Term: 5, Index: 2, Data: data}}}) // b acknowledges it and fails
		h.advance(2 * electionTimeout)
		term := h.consensus.replica.Term() + 1
		c.sendConsensus(consensus.Message{Kind: consensus.PreVoteReply, Term: term, OK: true})
		c.sendConsensus(consensus.Message{Kind: consensus.VoteReply, Term: term, OK: true})
		g.Expect(h.consensus.leads()).To(BeTrue())
		next := h.startCall(http.MethodDelete, "/bookings/x", "b1", "")
		g.Expect(next.status()).NotTo(Equal(http.StatusPreconditionFailed))
		h.confirmReads(c)
		g.Expect(next.status()).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
		h.stop()
	})
}
