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
		v := voter(ipA)
		v.Snapshot = &consensus.Snapshot{Term: 4, Index: 64, Data: []byte("no state"), Membership: three}
		v.Entries = nil
		v.Hard.Commit = 64
		prepared(t, dir, v)
		h := start(t, ipA, dir, false)
		b := h.linked(ipB)
		h.turn()
		h.pass(2 * electionTimeout)
		for range 20 { // its peer would elect it at any time
			h.pass(electionTimeout)
			for _, kind := range []consensus.Kind{consensus.PreVoteReply, consensus.VoteReply} {
				b.agrees(consensus.Message{Kind: kind, Term: h.consensus.replica.Term() + 1, OK: true})
			}
			g.Expect(h.consensus.leads()).To(BeFalse())
			g.Expect(h.consensus.inContact()).To(BeFalse(), "edges and servers go elsewhere")
		}
		read := h.begins(http.MethodGet, "/config", "", "")
		h.pass(2 * callTimeout)
		g.Expect(read.status()).NotTo(Equal(http.StatusOK), read.w.Body.String())
		h.stop()
	})
}
