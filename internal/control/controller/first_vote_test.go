package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/peer"
)

func TestVoteBeforeTheFirstMembersAreKnownIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		h := start(t, ipD, dir, true)
		a := h.meets(ipA, &peer.Handshake{Node: "a", IP: ipA, Zone: "x", Incarnation: 5, Counted: true})
		a.says(&peer.Frame{ReplicaStatus: &peer.ReplicaStatus{Identity: ipA}})
		a.agrees(consensus.Message{Kind: consensus.VoteRequest, Term: 1})
		a.says(&peer.Frame{Handshake: &peer.Handshake{BootstrapVoters: []string{ipA, ipB, ipD}}})
		h.stop()
		g.Expect(held(t, dir).Hard).To(Equal(consensus.HardState{Term: 1, Vote: ipA}))
	})
}
