package controller

import (
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

func TestSnapshotThatCantBeReadServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		v := voter(ipA)
		v.Snapshot = &consensus.Snapshot{Term: 4, Index: 64, Data: []byte("no state"), Membership: three}
		v.Entries = nil
		v.Hard.Commit = 64
		prepared(t, dir, v)
		h := start(t, ipA, dir, false)
		b := h.linked(ipB)
		h.turn()
		h.pass(2 * electionTimeout)
		h.lead(b)
		read := h.begins(http.MethodGet, "/config", "", "")
		h.confirms(b)
		g.Expect(read.status()).NotTo(Equal(http.StatusOK), read.w.Body.String())
		h.stop()
	})
}
