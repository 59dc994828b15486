package storage_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/storage"
)

var _ = Describe("a replica's stored identity and membership", func() {
	yes, no := true, false
	former := consensus.Membership{Epoch: 4, Cluster: 9, Voters: []string{"a", "b", "c"}}
	final := consensus.Membership{Epoch: 6, Cluster: 9, Voters: []string{"a", "b", "d"}}

	It("are restored, and unchanged by batches that don't set them", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		joint := consensus.Membership{Epoch: 5, Cluster: 9, Voters: former.Voters, Next: final.Voters}
		Expect(st.Commit([]*storage.Batch{{Identity: "c", Recovering: &yes}, {Membership: &joint}})).To(Succeed())
		Expect(st.Commit([]*storage.Batch{{Claims: []idempotency.Record{record(1)}, Hard: &consensus.HardState{Term: 3}}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		st, s := open(dir)
		Expect(s.Identity).To(Equal("c"))
		Expect(s.Membership).To(Equal(joint))
		Expect(s.Recovering).To(BeTrue())
		Expect(st.Commit([]*storage.Batch{{Recovering: &no}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		st, s = open(dir)
		Expect(s.Recovering).To(BeFalse())
		Expect(s.Membership).To(Equal(joint))
		Expect(st.Close()).To(Succeed())
	})
	It("are stored with entries and snapshots", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		snapshot := consensus.Snapshot{Term: 3, Index: 7, Data: []byte("s"), Membership: former}
		entries := []consensus.Entry{{Term: 3, Index: 8, Membership: &final}}
		Expect(st.Commit([]*storage.Batch{{Hard: &consensus.HardState{Term: 3}, Snapshot: &snapshot, Entries: entries}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		st, s := open(dir)
		Expect(s.Snapshot).To(Equal(snapshot))
		Expect(s.Entries).To(Equal(entries))
		Expect(st.Close()).To(Succeed())
	})
	// A file of the version before identities lacks these values; that must not make it corrupt.
	It("are empty in a file that was written without them", func() {
		for _, flag := range []*bool{nil, &no, &yes} {
			dir := GinkgoT().TempDir()
			st, _ := open(dir)
			hard := consensus.HardState{Term: 5, Vote: "b", DiskLost: flag == &yes}
			Expect(st.Commit([]*storage.Batch{{BootstrapVoters: former.Voters, Hard: &hard, Recovering: flag, Claims: []idempotency.Record{record(1)}}})).To(Succeed())
			Expect(st.Close()).To(Succeed())
			st, s := open(dir)
			Expect(s.Corrupt).NotTo(HaveOccurred())
			Expect(s.New).To(BeFalse())
			Expect(s.Identity).To(BeEmpty())
			Expect(s.Membership).To(BeZero())
			Expect(s.BootstrapVoters).To(Equal(former.Voters))
			Expect(s.Hard).To(Equal(hard))
			Expect(s.Recovering).To(Equal(flag == &yes))
			Expect(s.Claims).To(HaveLen(1))
			Expect(st.Close()).To(Succeed())
		}
	})
	DescribeTable("make the whole file corrupt if they are invalid", func(b *storage.Batch, cause string) {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		Expect(st.Commit([]*storage.Batch{{BootstrapVoters: former.Voters, Identity: "c", Hard: &consensus.HardState{Term: 3}, Claims: []idempotency.Record{record(1)}}, b})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		before, err := os.ReadFile(filepath.Join(dir, "exchange.db"))
		Expect(err).NotTo(HaveOccurred())
		st, s := open(dir)
		Expect(s.Corrupt).To(MatchError(ContainSubstring(cause)))
		Expect(s.New).To(BeTrue())
		Expect([]any{s.BootstrapVoters, s.Claims, s.Entries}).To(HaveEach(BeEmpty()))
		Expect(s.Identity).To(BeEmpty())
		Expect(os.ReadFile(filepath.Join(dir, "exchange.db.spoilt"))).To(Equal(before), "the corrupt file is kept for analysis")
		Expect(st.Close()).To(Succeed())
	},
		Entry("a voter twice", &storage.Batch{Membership: &consensus.Membership{Epoch: 4, Voters: []string{"a", "b", "b"}}}, "names a voter twice"),
		Entry("no voters", &storage.Batch{Membership: &consensus.Membership{Epoch: 4}}, "membership 4 has no voters"),
		Entry("a next voter twice", &storage.Batch{Membership: &consensus.Membership{Epoch: 4, Voters: []string{"a"}, Next: []string{"b", "b"}}}, "names a voter twice"),
		Entry("a voter without a name", &storage.Batch{Membership: &consensus.Membership{Epoch: 4, Voters: []string{"a", ""}}}, "without a name"),
		Entry("no voters in a snapshot", &storage.Batch{Snapshot: &consensus.Snapshot{Term: 1, Index: 3, Membership: consensus.Membership{Epoch: 4}}}, "membership 4 has no voters"),
	)
	It("change atomically when a replica is voted out, at any power loss", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		Expect(st.Commit([]*storage.Batch{{Identity: "c", Membership: &former, Recovering: &no, BootstrapVoters: former.Voters, Hard: &consensus.HardState{Term: 3}}})).To(Succeed())
		Expect(st.Commit([]*storage.Batch{{Claims: []idempotency.Record{record(1)}}})).To(Succeed())
		Expect(st.Commit([]*storage.Batch{{Identity: "c#1", Membership: &final, Recovering: &yes}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		intact, err := os.ReadFile(filepath.Join(dir, "exchange.db"))
		Expect(err).NotTo(HaveOccurred())
		rng := rand.New(rand.NewPCG(4, 4))
		seen := map[string]bool{}
		for range 60 {
			damagedDir := GinkgoT().TempDir()
			page := 4096 * rng.IntN(2) // one of the two meta pages is torn, as after a power loss
			content := append([]byte{}, intact...)
			for i := page + rng.IntN(64); i < page+128; i++ {
				content[i] ^= byte(1 + rng.IntN(255))
			}
			Expect(os.WriteFile(filepath.Join(damagedDir, "exchange.db"), content, 0o600)).To(Succeed())
			other, s := open(damagedDir)
			Expect(s.Corrupt).NotTo(HaveOccurred())
			seen[s.Identity] = true
			switch s.Identity {
			case "c":
				Expect(s.Membership).To(Equal(former))
				Expect(s.Recovering).To(BeFalse())
			case "c#1":
				Expect(s.Membership).To(Equal(final))
				Expect(s.Recovering).To(BeTrue())
			}
			Expect(s.Claims).To(HaveLen(1))
			Expect(other.Close()).To(Succeed())
		}
		Expect(seen).To(HaveLen(2), "both the state before and the state after the last commit")
	})
	It("are stored completely or not at all if the power is lost during the first commit", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		Expect(st.Commit([]*storage.Batch{{Identity: "c", Recovering: &no, BootstrapVoters: former.Voters, Hard: &consensus.HardState{}}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		intact, err := os.ReadFile(filepath.Join(dir, "exchange.db"))
		Expect(err).NotTo(HaveOccurred())
		for page := range 2 {
			damagedDir := GinkgoT().TempDir()
			content := append([]byte{}, intact...)
			for i := range 128 {
				content[4096*page+i] ^= 0x5a
			}
			Expect(os.WriteFile(filepath.Join(damagedDir, "exchange.db"), content, 0o600)).To(Succeed())
			other, s := open(damagedDir)
			Expect(s.Corrupt).NotTo(HaveOccurred())
			if s.Identity == "" {
				Expect(s.BootstrapVoters).To(BeEmpty())
			} else {
				Expect(s.BootstrapVoters).To(Equal(former.Voters))
			}
			Expect(other.Close()).To(Succeed())
		}
	})
})
