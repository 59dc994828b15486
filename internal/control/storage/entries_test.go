package storage_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/storage"
)

var _ = Describe("a stored log entry", func() {
	It("with an invalid membership makes the file corrupt, as in a snapshot", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		Expect(st.Commit([]*storage.Batch{{Hard: &consensus.HardState{Term: 1},
			Entries: []consensus.Entry{{Term: 1, Index: 1, Membership: &consensus.Membership{Epoch: 3, Voters: []string{"a", "a", "b"}}}}}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		st, s := open(dir)
		Expect(s.Corrupt).To(MatchError(ContainSubstring("names a voter twice")))
		Expect(st.Close()).To(Succeed())
	})
})
