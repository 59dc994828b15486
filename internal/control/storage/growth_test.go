package storage_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/storage"
)

// The file would grow without bound if expired claims, compacted entries or removed servers were kept. After two simulated
// hours of claims with responses, entries with snapshots, and servers that are added and removed, the file must be as large as
// after the first windows, and opening it must load only the claims of the last spans.
func TestFileSizeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		st, _, err := storage.Open(dir, window, 64<<20)
		g.Expect(err).NotTo(HaveOccurred())
		size := func() int64 {
			info, err := os.Stat(filepath.Join(dir, "exchange.db"))
			g.Expect(err).NotTo(HaveOccurred())
			return info.Size()
		}
		var n, index uint64
		early := int64(0)
		for second := 0; second < 7200; second += 5 {
			b := &storage.Batch{}
			for range 100 {
				n++
				r := idempotency.Record{Key: idempotency.KeyOf("t", fmt.Sprint(n)), Token: idempotency.Token{Incarnation: 1, Sequence: n}, Response: &idempotency.Response{Status: 200, Body: make([]byte, 1000)}}
				b.Claims = append(b.Claims, r)
			}
			index++
			b.Entries = []consensus.Entry{{Term: 1, Index: index, Data: make([]byte, 2000)}}
			if index%64 == 0 {
				b.Entries, b.Snapshot = nil, &consensus.Snapshot{Term: 1, Index: index, Data: make([]byte, 50_000)}
			}
			b.Servers = []registry.Entry{{ID: fmt.Sprint("i-", index), Address: "x:1"}, {ID: fmt.Sprint("i-", index-min(index, 20)), State: registry.Removed}}
			g.Expect(st.Commit([]*storage.Batch{b})).To(Succeed())
			if second == 600 {
				early = size()
			}
			time.Sleep(5 * time.Second)
		}
		g.Expect(size()).To(BeNumerically("<=", early+16<<20), "bbolt grows a file by 16 MB at a time")
		g.Expect(st.Close()).To(Succeed())
		st, s, err := storage.Open(dir, window, 64<<20)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Corrupt).NotTo(HaveOccurred())
		g.Expect(len(s.Claims)).To(BeNumerically("<=", 100*24), "eight spans, each of which ends with the first commit after ten seconds")
		g.Expect(len(s.Claims)).To(BeNumerically(">=", 100*12))
		g.Expect(len(s.Entries)).To(BeNumerically("<", 64))
		g.Expect(len(s.Servers)).To(BeNumerically("<=", 21))
		g.Expect(st.Close()).To(Succeed())
	})
}
