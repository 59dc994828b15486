package controller

import (
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

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
		for range 20 { // its peer would elect it at any time
			h.advance(electionTimeout)
			for _, kind := range []consensus.Kind{consensus.PreVoteReply, consensus.VoteReply} {
				b.sendConsensus(consensus.Message{Kind: kind, Term: h.consensus.replica.Term() + 1, OK: true})
			}
			g.Expect(h.consensus.leads()).To(BeFalse())
			g.Expect(h.consensus.inContact()).To(BeFalse(), "edges and servers go elsewhere")
		}
		read := h.startCall(http.MethodGet, "/config", "", "")
		h.advance(2 * callTimeout)
		g.Expect(read.status()).NotTo(Equal(http.StatusOK), read.w.Body.String())
		h.stop()
	})
}
