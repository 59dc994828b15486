package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/peer"
)

func TestVoteBeforeBootstrapIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		h := start(t, ipD, dir, true)
		a := h.link(ipA, &peer.Handshake{Node: "a", IP: ipA, Zone: "x", Incarnation: 5, Counted: true})
		a.send(&peer.Frame{ReplicaStatus: &peer.ReplicaStatus{Identity: ipA}})
		a.sendConsensus(consensus.Message{Kind: consensus.VoteRequest, Term: 1})
		a.send(&peer.Frame{Handshake: &peer.Handshake{BootstrapVoters: []string{ipA, ipB, ipD}}})
		h.stop()
		g.Expect(readDisk(t, dir).Hard).To(Equal(consensus.HardState{Term: 1, Vote: ipA}))
	})
}
