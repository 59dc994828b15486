package controller

import (
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

// A replica with an unreadable snapshot must never lead, serve reads or report contact with the majority.
func TestSnapshotThatCantBeReadServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		v := voterDisk(ipA)
		v.Snapshot = &consensus.Snapshot{Term: 4, Index: 64, Data: []byte("no state"), Membership: threeVoters}
		v.Entries = nil
		v.Hard.Commit = 64
		writeDisk(t, dir, v)
		h := start(t, ipA, dir, false)
		b := h.linkReplica(ipB)
		h.settle()
		h.advance(2 * electionTimeout)
		for range 20 { // the peer always grants its vote
			h.advance(electionTimeout)
			for _, kind := range []consensus.Kind{consensus.PreVoteReply, consensus.VoteReply} {
				b.sendConsensus(consensus.Message{Kind: kind, Term: h.consensus.replica.Term() + 1, OK: true})
			}
			g.Expect(h.consensus.leads()).To(BeFalse())
			g.Expect(h.consensus.inContact()).To(BeFalse(), "edges and servers must use another controller")
		}
		read := h.startCall(http.MethodGet, "/config", "", "")
		h.advance(2 * callTimeout)
		g.Expect(read.status()).NotTo(Equal(http.StatusOK), read.w.Body.String())
		h.stop()
	})
}
