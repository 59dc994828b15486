package archive_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/agreement"
	"mulleinwood/internal/archive"
	"mulleinwood/internal/directory"
	"mulleinwood/internal/ticket"
)

func TestArchive(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "archive")
}

const window = time.Minute

func open(dir string) (*archive.Archive, *archive.State) {
	a, s, err := archive.Open(dir, window)
	Expect(err).NotTo(HaveOccurred())
	return a, s
}

func record(n uint64) ticket.Record {
	return ticket.Record{Key: ticket.Key{byte(n)}, Token: ticket.Token{Life: 1, N: n}}
}

var _ = Describe("an archive", func() {
	It("tells a new disk from one that was used", func() {
		dir := GinkgoT().TempDir()
		a, s := open(dir)
		Expect(s.New).To(BeTrue())
		Expect(a.Close()).To(Succeed())
		a, s = open(dir)
		Expect(s.New).To(BeFalse())
		Expect(a.Close()).To(Succeed())
	})
	It("gives back what was made durable, in order", func() {
		dir := GinkgoT().TempDir()
		a, _ := open(dir)
		hard := agreement.Hard{Term: 4, Vote: "b", Commit: 2}
		Expect(a.Commit([]*archive.Batch{
			{Members: []string{"a", "b", "c"}, Hard: &hard, Entries: []agreement.Entry{{Term: 3, Index: 1}, {Term: 3, Index: 2}, {Term: 3, Index: 3}}},
			{Truncate: 3, Entries: []agreement.Entry{{Term: 4, Index: 3, Data: []byte("x")}}},
			{Records: []ticket.Record{record(1), record(2)}},
		})).To(Succeed())
		Expect(a.Close()).To(Succeed())
		a, s := open(dir)
		Expect(s.Hard).To(Equal(hard))
		Expect(s.Members).To(Equal([]string{"a", "b", "c"}))
		Expect(s.Entries).To(HaveLen(3))
		Expect(s.Entries[2]).To(Equal(agreement.Entry{Term: 4, Index: 3, Data: []byte("x")}))
		Expect(s.Records).To(Equal([]ticket.Record{record(1), record(2)}))
		Expect(a.Commit([]*archive.Batch{{Snapshot: &agreement.Snapshot{Term: 4, Index: 3, Data: []byte("s")}}, {Records: []ticket.Record{record(3)}}})).To(Succeed())
		Expect(a.Close()).To(Succeed())
		a, s = open(dir)
		Expect(s.Entries).To(BeEmpty())
		Expect(s.Snapshot.Data).To(Equal([]byte("s")))
		Expect(s.Records).To(HaveLen(3))
		Expect(a.Close()).To(Succeed())
	})
	It("keeps servers until they are gone", func() {
		dir := GinkgoT().TempDir()
		a, _ := open(dir)
		one, two := directory.Entry{ID: "i-1", Service: "tags", Address: "x:1", Seq: 3}, directory.Entry{ID: "i-2", Service: "tags", Address: "x:2", Seq: 4}
		Expect(a.Commit([]*archive.Batch{{Servers: []directory.Entry{one, two}}})).To(Succeed())
		one.State = directory.Draining
		two.State = directory.Gone
		Expect(a.Commit([]*archive.Batch{{Servers: []directory.Entry{one, two}}})).To(Succeed())
		Expect(a.Close()).To(Succeed())
		a, s := open(dir)
		Expect(s.Servers).To(Equal([]directory.Entry{one}))
		Expect(a.Close()).To(Succeed())
	})
	It("puts a file aside that is none, and starts new", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "exchange.db"), []byte("this is no database, whatever it says"), 0o600)).To(Succeed())
		a, s := open(dir)
		Expect(s.New).To(BeTrue())
		Expect(filepath.Join(dir, "exchange.db.spoilt")).To(BeAnExistingFile())
		Expect(a.Close()).To(Succeed())
	})
	It("gives the last whole write or the one before when a head is torn", func() {
		dir := GinkgoT().TempDir()
		a, _ := open(dir)
		for n := range uint64(20) {
			Expect(a.Commit([]*archive.Batch{{Hard: &agreement.Hard{Term: n + 1}, Records: []ticket.Record{record(n)}}})).To(Succeed())
		}
		Expect(a.Close()).To(Succeed())
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
			b, s, err := archive.Open(cut, window)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Hard.Term).To(BeElementOf(uint64(19), uint64(20)))
			Expect(len(s.Records)).To(BeElementOf(19, 20))
			Expect(b.Close()).To(Succeed())
		}
	})
})
