package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/platform/peer"
)

func TestVoteBeforeTheFirstMembersAreKnownIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		h := start(t, ipD, dir, true)
		a := h.meets(ipA, &peer.Hello{Node: "a", IP: ipA, Zone: "x", Life: 5, Counted: true})
		a.says(&peer.Frame{Standing: &peer.Standing{Identity: ipA}})
		a.agrees(consensus.Message{Kind: consensus.VoteRequest, Term: 1})
		a.says(&peer.Frame{Hello: &peer.Hello{Members: []string{ipA, ipB, ipD}}})
		h.stop()
		g.Expect(held(t, dir).Hard).To(Equal(consensus.HardState{Term: 1, Vote: ipA}))
	})
}
