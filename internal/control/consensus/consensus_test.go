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

var _ = Describe("a simulated cluster", func() {
	It("loses no acknowledged entry, applies the same entries everywhere, and accepts changes after all faults", func() {
		acknowledged, changes, reads := 0, 0, 0
		for seed := range uint64(120) {
			for _, w := range []*cluster{newCluster(seed, 3, 0, 1, ""), newCluster(seed, 3, 2, 1, ""), newCluster(seed, 5, 1, 2, "")} {
				Expect(w.run(12*time.Second)).To(BeEmpty(), "seed %d, %d machines", seed, len(w.machines))
				Expect(w.heal(10*time.Second)).To(BeTrue(), "seed %d, %d machines: no change is accepted after the faults ended %s", seed, len(w.machines), w.violation)
				acknowledged, changes, reads = acknowledged+len(w.acknowledged), changes+w.changeCount, reads+w.readCount
			}
		}
		Expect(acknowledged).To(BeNumerically(">", 1500), "too few acknowledged entries for a meaningful test")
		Expect(changes).To(BeNumerically(">", 500), "too few membership changes for a meaningful test")
		Expect(reads).To(BeNumerically(">", 1000), "too few reads for a meaningful test")
	})
	for _, fault := range []string{"acknowledges entries before they are durable", "votes under its old identity after losing its disk", "switches voters without a joint membership",
		"changes the membership before the last change is committed", "stores a snapshot without its membership", "serves reads without a round of messages"} {
		It("violates an invariant if a replica "+fault, func() {
			for seed := range uint64(600) {
				w := newCluster(seed, 3, 2, 1, fault)
				if w.run(12*time.Second) != "" || !w.heal(10*time.Second) {
					return
				}
			}
			Fail("the injected fault was not detected")
		})
	}
})
