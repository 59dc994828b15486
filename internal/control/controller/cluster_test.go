package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/peer"
)

// A controller that reports another cluster only after the handshake must not be sent the log: it would adopt it as its own.
func TestClusterThatIsLearntLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		s := h.link("10.0.0.8", &peer.Handshake{Node: "other", IP: "10.0.0.8", Zone: "x", Incarnation: 6, Counted: true}) // its cluster has no number yet
		s.send(&peer.Frame{ReplicaStatus: &peer.ReplicaStatus{Identity: "10.0.0.8", Cluster: cluster + 1, Epoch: 2, Ready: true}})
		h.advance(tickInterval)
		g.Expect(h.learners()).NotTo(ContainElement("10.0.0.8"))
		for _, f := range s.received() {
			g.Expect(f.Consensus).To(BeEmpty(), "it would adopt this log as its own")
		}
		h.stop()
	})
}

func TestRejectedPeerIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := startVoter(t)
		for range 20 {
			h.link("10.0.0.8", &peer.Handshake{Node: "other", IP: "10.0.0.8", Zone: "x", Incarnation: 6, Counted: true, Cluster: cluster + 1})
			h.advance(redialInterval)
		}
		g.Expect(h.log.containing("peer rejected")).To(HaveLen(1))
		h.stop()
	})
}
