package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/peer"
)

func TestLinkOfAnotherClusterThatShowsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := voterAt(t)
		h.lead(b)
		s := h.meets("10.0.0.8", &peer.Handshake{Node: "other", IP: "10.0.0.8", Zone: "x", Incarnation: 6, Counted: true}) // its cluster has no number yet
		s.says(&peer.Frame{ReplicaStatus: &peer.ReplicaStatus{Identity: "10.0.0.8", Cluster: cluster + 1, Epoch: 2, Ready: true}})
		h.pass(tickInterval)
		g.Expect(h.learners()).NotTo(ContainElement("10.0.0.8"))
		for _, f := range s.hears() {
			g.Expect(f.Consensus).To(BeEmpty(), "it would take this log for its own")
		}
		h.stop()
	})
}

func TestStrangerThatCallsAgainIsNamedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := voterAt(t)
		for range 20 {
			h.meets("10.0.0.8", &peer.Handshake{Node: "other", IP: "10.0.0.8", Zone: "x", Incarnation: 6, Counted: true, Cluster: cluster + 1})
			h.pass(redialInterval)
		}
		g.Expect(h.log.with("peer rejected")).To(HaveLen(1))
		h.stop()
	})
}
