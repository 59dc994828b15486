package storage_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	bolt "go.etcd.io/bbolt"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/storage"
)

func TestStorage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storage")
}

const window = time.Minute

func open(dir string) (*storage.Storage, *storage.State) {
	st, s, err := storage.Open(dir, window, 64<<20)
	Expect(err).NotTo(HaveOccurred())
	return st, s
}

func record(n uint64) idempotency.Record {
	return idempotency.Record{Key: idempotency.Key{byte(n)}, Token: idempotency.Token{Incarnation: 1, Sequence: n}}
}

var _ = Describe("a storage file", func() {
	It("distinguishes a new data directory from a used one", func() {
		dir := GinkgoT().TempDir()
		st, s := open(dir)
		Expect(s.New).To(BeTrue())
		Expect(st.Close()).To(Succeed())
		st, s = open(dir)
		Expect(s.New).To(BeFalse())
		Expect(st.Close()).To(Succeed())
	})
	It("restores committed batches in order", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		hard := consensus.HardState{Term: 4, Vote: "b", Commit: 2}
		Expect(st.Commit([]*storage.Batch{
			{BootstrapVoters: []string{"a", "b", "c"}, Hard: &hard, Entries: []consensus.Entry{{Term: 3, Index: 1}, {Term: 3, Index: 2}, {Term: 3, Index: 3}}},
			{Truncate: 3, Entries: []consensus.Entry{{Term: 4, Index: 3, Data: []byte("x")}}},
			{Claims: []idempotency.Record{record(1), record(2)}},
		})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		st, s := open(dir)
		Expect(s.Hard).To(Equal(hard))
		Expect(s.BootstrapVoters).To(Equal([]string{"a", "b", "c"}))
		Expect(s.Entries).To(HaveLen(3))
		Expect(s.Entries[2]).To(Equal(consensus.Entry{Term: 4, Index: 3, Data: []byte("x")}))
		Expect(s.Claims).To(Equal([]idempotency.Record{record(1), record(2)}))
		Expect(st.Commit([]*storage.Batch{{Snapshot: &consensus.Snapshot{Term: 4, Index: 3, Data: []byte("s")}}, {Claims: []idempotency.Record{record(3)}}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		st, s = open(dir)
		Expect(s.Entries).To(BeEmpty())
		Expect(s.Snapshot.Data).To(Equal([]byte("s")))
		Expect(s.Claims).To(HaveLen(3))
		Expect(st.Close()).To(Succeed())
	})
	It("stores servers until they are removed", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		one, two := registry.Entry{ID: "i-1", Service: "tags", Address: "x:1", Seq: 3}, registry.Entry{ID: "i-2", Service: "tags", Address: "x:2", Seq: 4}
		Expect(st.Commit([]*storage.Batch{{Servers: []registry.Entry{one, two}}})).To(Succeed())
		one.State = registry.Draining
		two.State = registry.Removed
		Expect(st.Commit([]*storage.Batch{{Servers: []registry.Entry{one, two}}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		st, s := open(dir)
		Expect(s.Servers).To(Equal([]registry.Entry{one}))
		Expect(st.Close()).To(Succeed())
	})
	It("moves a file aside that is not a database, and creates a new one", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "exchange.db"), []byte("this is no database, whatever it says"), 0o600)).To(Succeed())
		st, s := open(dir)
		Expect(s.New).To(BeTrue())
		Expect(filepath.Join(dir, "exchange.db.spoilt")).To(BeAnExistingFile())
		Expect(st.Close()).To(Succeed())
	})
	It("restores the last commit or the one before if a meta page is torn", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		for n := range uint64(20) {
			Expect(st.Commit([]*storage.Batch{{Hard: &consensus.HardState{Term: n + 1}, Claims: []idempotency.Record{record(n)}}})).To(Succeed())
		}
		Expect(st.Close()).To(Succeed())
		intact, err := os.ReadFile(filepath.Join(dir, "exchange.db"))
		Expect(err).NotTo(HaveOccurred())
		rng := rand.New(rand.NewPCG(1, 1))
		for range 40 {
			damagedDir := GinkgoT().TempDir()
			page := 4096 * rng.IntN(2) // one of the two meta pages is torn, as after a power loss
			content := append([]byte{}, intact...)
			for i := page + rng.IntN(64); i < page+128; i++ {
				content[i] ^= byte(1 + rng.IntN(255))
			}
			Expect(os.WriteFile(filepath.Join(damagedDir, "exchange.db"), content, 0o600)).To(Succeed())
			other, s, err := storage.Open(damagedDir, window, 64<<20)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Hard.Term).To(BeElementOf(uint64(19), uint64(20)))
			Expect(len(s.Claims)).To(BeElementOf(19, 20))
			Expect(other.Close()).To(Succeed())
		}
	})
	It("restores either everything or nothing of a file that was truncated or has a flipped bit", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		for n := range uint64(60) {
			Expect(st.Commit([]*storage.Batch{{BootstrapVoters: []string{"a", "b", "c"}, Hard: &consensus.HardState{Term: n + 1},
				Entries: []consensus.Entry{{Term: n + 1, Index: n + 1, Data: []byte("change")}}, Servers: []registry.Entry{{ID: fmt.Sprint("i-", n%9), Service: "tags", Address: "x:1", Seq: n}},
				Claims: []idempotency.Record{record(n), {Key: idempotency.Key{byte(n)}, Token: idempotency.Token{Incarnation: 1, Sequence: n}, Response: &idempotency.Response{Status: 200, Body: make([]byte, 300)}}}}})).To(Succeed())
		}
		Expect(st.Close()).To(Succeed())
		intact, err := os.ReadFile(filepath.Join(dir, "exchange.db"))
		Expect(err).NotTo(HaveOccurred())
		used := len(bytes.TrimRight(intact, "\x00")) // bbolt allocates more than it uses
		st, good := open(dir)
		Expect(st.Close()).To(Succeed())
		Expect(good.Claims).To(HaveLen(120))
		rng := rand.New(rand.NewPCG(2, 2))
		corrupt, unchanged := 0, 0
		for round := range 200 {
			content := append([]byte{}, intact...)
			damage := ""
			if round%10 == 0 {
				content = content[:rng.IntN(used)]
				damage = fmt.Sprintf("truncated to %d bytes", len(content))
			} else {
				at := 2*4096 + rng.IntN(used-2*4096) // torn meta pages are covered by another test
				content[at] ^= 1 << rng.IntN(8)
				damage = fmt.Sprintf("byte %d", at)
			}
			damagedDir := GinkgoT().TempDir()
			Expect(os.WriteFile(filepath.Join(damagedDir, "exchange.db"), content, 0o600)).To(Succeed())
			other, s, err := storage.Open(damagedDir, window, 64<<20)
			Expect(err).NotTo(HaveOccurred(), damage)
			if s.Corrupt != nil || s.New {
				corrupt++
				Expect(s.New).To(BeTrue(), damage)
				Expect(s.BootstrapVoters).To(BeEmpty(), damage)
			} else {
				unchanged++
				Expect(s).To(Equal(good), damage)
			}
			Expect(other.Commit([]*storage.Batch{{Claims: []idempotency.Record{record(1)}}})).To(Succeed(), damage)
			Expect(other.Close()).To(Succeed())
		}
		Expect(corrupt).To(BeNumerically(">", 30))
		Expect(unchanged).To(BeNumerically(">", 30), "a flipped bit in a free page doesn't matter")
	})
	It("is moved aside after repeated starts that failed while it was being opened", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		Expect(st.Commit([]*storage.Batch{{BootstrapVoters: []string{"a"}, Hard: &consensus.HardState{Term: 7}}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		attemptsPath := filepath.Join(dir, "exchange.db.opening")
		Expect(os.WriteFile(attemptsPath, []byte("...."), 0o600)).To(Succeed())
		st, s := open(dir)
		Expect(s.Hard.Term).To(BeEquivalentTo(7), "four failed starts are tolerated")
		Expect(attemptsPath).NotTo(BeAnExistingFile())
		Expect(st.Close()).To(Succeed())
		Expect(os.WriteFile(attemptsPath, []byte("....."), 0o600)).To(Succeed())
		st, s = open(dir)
		Expect(s.New).To(BeTrue())
		Expect(s.Corrupt).To(MatchError(ContainSubstring("5 starts in a row")))
		Expect(st.Close()).To(Succeed())
	})
	It("leaves a file of another format unchanged", func() {
		dir := GinkgoT().TempDir()
		db, err := bolt.Open(filepath.Join(dir, "exchange.db"), 0o600, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(db.Update(func(tx *bolt.Tx) error {
			meta, err := tx.CreateBucket([]byte("meta"))
			Expect(err).NotTo(HaveOccurred())
			return meta.Put([]byte("format"), []byte{1})
		})).To(Succeed())
		Expect(db.Close()).To(Succeed())
		_, _, err = storage.Open(dir, window, 64<<20)
		Expect(err).To(MatchError(ContainSubstring("unsupported file format: 1, not 2")))
		Expect(filepath.Join(dir, "exchange.db.spoilt")).NotTo(BeAnExistingFile())
	})
	It("limits the size of stored responses", func() {
		dir := GinkgoT().TempDir()
		st, _, err := storage.Open(dir, window, 1000)
		Expect(err).NotTo(HaveOccurred())
		for n := range uint64(9) {
			r := record(n)
			r.Response = &idempotency.Response{Status: 200, Body: make([]byte, 300)}
			Expect(st.Commit([]*storage.Batch{{Claims: []idempotency.Record{record(n), r}}})).To(Succeed())
		}
		Expect(st.Close()).To(Succeed())
		st, s := open(dir)
		Expect(s.Claims).To(HaveLen(9+3), "all claims, and responses up to the limit")
		Expect(st.Close()).To(Succeed())
	})
})
