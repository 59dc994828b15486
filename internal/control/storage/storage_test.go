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
	It("tells a new disk from one that was used", func() {
		dir := GinkgoT().TempDir()
		st, s := open(dir)
		Expect(s.New).To(BeTrue())
		Expect(st.Close()).To(Succeed())
		st, s = open(dir)
		Expect(s.New).To(BeFalse())
		Expect(st.Close()).To(Succeed())
	})
	It("gives back what was made durable, in order", func() {
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
	It("keeps servers until they are gone", func() {
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
	It("puts a file aside that is none, and starts new", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "exchange.db"), []byte("this is no database, whatever it says"), 0o600)).To(Succeed())
		st, s := open(dir)
		Expect(s.New).To(BeTrue())
		Expect(filepath.Join(dir, "exchange.db.spoilt")).To(BeAnExistingFile())
		Expect(st.Close()).To(Succeed())
	})
	It("gives the last whole write or the one before when a head is torn", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		for n := range uint64(20) {
			Expect(st.Commit([]*storage.Batch{{Hard: &consensus.HardState{Term: n + 1}, Claims: []idempotency.Record{record(n)}}})).To(Succeed())
		}
		Expect(st.Close()).To(Succeed())
		whole, err := os.ReadFile(filepath.Join(dir, "exchange.db"))
		Expect(err).NotTo(HaveOccurred())
		rng := rand.New(rand.NewPCG(1, 1))
		for range 40 {
			cut := GinkgoT().TempDir()
			page := 4096 * rng.IntN(2) // one of the two heads is torn, as a loss of power leaves it
			text := append([]byte{}, whole...)
			for i := page + rng.IntN(64); i < page+128; i++ {
				text[i] ^= byte(1 + rng.IntN(255))
			}
			Expect(os.WriteFile(filepath.Join(cut, "exchange.db"), text, 0o600)).To(Succeed())
			other, s, err := storage.Open(cut, window, 64<<20)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Hard.Term).To(BeElementOf(uint64(19), uint64(20)))
			Expect(len(s.Claims)).To(BeElementOf(19, 20))
			Expect(other.Close()).To(Succeed())
		}
	})
	It("believes nothing of a file that was cut or in which a bit flipped, or all of it", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		for n := range uint64(60) {
			Expect(st.Commit([]*storage.Batch{{BootstrapVoters: []string{"a", "b", "c"}, Hard: &consensus.HardState{Term: n + 1},
				Entries: []consensus.Entry{{Term: n + 1, Index: n + 1, Data: []byte("change")}}, Servers: []registry.Entry{{ID: fmt.Sprint("i-", n%9), Service: "tags", Address: "x:1", Seq: n}},
				Claims: []idempotency.Record{record(n), {Key: idempotency.Key{byte(n)}, Token: idempotency.Token{Incarnation: 1, Sequence: n}, Response: &idempotency.Response{Status: 200, Body: make([]byte, 300)}}}}})).To(Succeed())
		}
		Expect(st.Close()).To(Succeed())
		whole, err := os.ReadFile(filepath.Join(dir, "exchange.db"))
		Expect(err).NotTo(HaveOccurred())
		used := len(bytes.TrimRight(whole, "\x00")) // the file is made longer than what is in it
		st, good := open(dir)
		Expect(st.Close()).To(Succeed())
		Expect(good.Claims).To(HaveLen(120))
		rng := rand.New(rand.NewPCG(2, 2))
		spoilt, same := 0, 0
		for round := range 200 {
			text := append([]byte{}, whole...)
			what := ""
			if round%10 == 0 {
				text = text[:rng.IntN(used)]
				what = fmt.Sprintf("cut to %d bytes", len(text))
			} else {
				at := 2*4096 + rng.IntN(used-2*4096) // a head that isn't whole is a torn write, which another test plays
				text[at] ^= 1 << rng.IntN(8)
				what = fmt.Sprintf("byte %d", at)
			}
			touched := GinkgoT().TempDir()
			Expect(os.WriteFile(filepath.Join(touched, "exchange.db"), text, 0o600)).To(Succeed())
			other, s, err := storage.Open(touched, window, 64<<20)
			Expect(err).NotTo(HaveOccurred(), what)
			if s.Corrupt != nil || s.New {
				spoilt++
				Expect(s.New).To(BeTrue(), what)
				Expect(s.BootstrapVoters).To(BeEmpty(), what)
			} else {
				same++
				Expect(s).To(Equal(good), what)
			}
			Expect(other.Commit([]*storage.Batch{{Claims: []idempotency.Record{record(1)}}})).To(Succeed(), what)
			Expect(other.Close()).To(Succeed())
		}
		Expect(spoilt).To(BeNumerically(">", 30))
		Expect(same).To(BeNumerically(">", 30), "free pages are spoilt, too, and don't matter")
	})
	It("is put aside when its opening ends the process again and again", func() {
		dir := GinkgoT().TempDir()
		st, _ := open(dir)
		Expect(st.Commit([]*storage.Batch{{BootstrapVoters: []string{"a"}, Hard: &consensus.HardState{Term: 7}}})).To(Succeed())
		Expect(st.Close()).To(Succeed())
		tries := filepath.Join(dir, "exchange.db.opening")
		Expect(os.WriteFile(tries, []byte("...."), 0o600)).To(Succeed())
		st, s := open(dir)
		Expect(s.Hard.Term).To(BeEquivalentTo(7), "four may be chance")
		Expect(tries).NotTo(BeAnExistingFile())
		Expect(st.Close()).To(Succeed())
		Expect(os.WriteFile(tries, []byte("....."), 0o600)).To(Succeed())
		st, s = open(dir)
		Expect(s.New).To(BeTrue())
		Expect(s.Corrupt).To(MatchError(ContainSubstring("5 starts in a row")))
		Expect(st.Close()).To(Succeed())
	})
	It("leaves a file of another format alone", func() {
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
		Expect(err).To(MatchError(ContainSubstring("another format: 1, not 2")))
		Expect(filepath.Join(dir, "exchange.db.spoilt")).NotTo(BeAnExistingFile())
	})
	It("bounds what answers take", func() {
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
		Expect(s.Claims).To(HaveLen(9+3), "all claims, and as many answers as there is room for")
		Expect(st.Close()).To(Succeed())
	})
})
