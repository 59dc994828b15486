package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/peer"
)

func TestAnswersThatAreHandedOverAreDurableBeforeThatIsSaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := voterAt(t)
		h.refuse()
		r := record(1)
		r.Response = &idempotency.Response{Status: 200, Body: []byte("done")}
		b.hears()
		b.says(&peer.Frame{Responses: []idempotency.Record{r}, SyncRequest: 1})
		h.pass(3 * writeRetry)
		h.mend()
		h.pass(3 * writeRetry)
		said := false
		for _, f := range b.hears() {
			said = said || f.SyncReply == 1
		}
		h.stop()
		s := held(t, h.dir)
		g.Expect(said).To(BeTrue())
		r.ResponseHolder = ipA
		g.Expect(s.Claims).To(ContainElement(r))
	})
}
