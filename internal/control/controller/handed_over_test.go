package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/peer"
)

func TestHandedOverResponsesAreDurableBeforeTheSyncReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.failDisk()
		r := claimRecord(1)
		r.Response = &idempotency.Response{Status: 200, Body: []byte("done")}
		b.received()
		b.send(&peer.Frame{Responses: []idempotency.Record{r}, SyncRequest: 1})
		h.advance(3 * writeRetry)
		h.repairDisk()
		h.advance(3 * writeRetry)
		replied := false
		for _, f := range b.received() {
			replied = replied || f.SyncReply == 1
		}
		h.stop()
		s := readDisk(t, h.dir)
		g.Expect(replied).To(BeTrue())
		r.ResponseHolder = ipA
		g.Expect(s.Claims).To(ContainElement(r))
	})
}
