package consensus_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConsensus(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "consensus")
}

var _ = Describe("whole clusters", func() {
	It("lose nothing that was acknowledged, never differ, and take changes again after all", func() {
		acknowledged, changes, reads := 0, 0, 0
		for seed := range uint64(120) {
			for _, w := range []*cluster{newCluster(seed, 3, 0, 1, ""), newCluster(seed, 3, 2, 1, ""), newCluster(seed, 5, 1, 2, "")} {
				Expect(w.play(12*time.Second)).To(BeEmpty(), "seed %d, %d machines", seed, len(w.machines))
				Expect(w.heal(10*time.Second)).To(BeTrue(), "seed %d, %d machines: no change is taken after all troubles %s", seed, len(w.machines), w.wrong)
				acknowledged, changes, reads = acknowledged+len(w.acked), changes+w.changes, reads+w.reads
			}
		}
		Expect(acknowledged).To(BeNumerically(">", 1500), "hardly anything was agreed: the test shows nothing")
		Expect(changes).To(BeNumerically(">", 500), "hardly any membership changed: the test shows nothing")
		Expect(reads).To(BeNumerically(">", 1000), "hardly anything was read: the test shows nothing")
	})
	for _, fault := range []string{"acknowledges before storing", "votes with an empty disk", "switches voters without a joint membership",
		"changes the membership before the last change is committed", "keeps a snapshot without its membership", "reads without a round"} {
		It("are seen to go wrong when a replica "+fault, func() {
			for seed := range uint64(600) {
				w := newCluster(seed, 3, 2, 1, fault)
				if w.play(12*time.Second) != "" || !w.heal(10*time.Second) {
					return
				}
			}
			Fail("the planted fault was not seen")
		})
	}
})
