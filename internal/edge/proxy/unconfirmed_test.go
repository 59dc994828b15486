package proxy

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/httpconn"
)

func grantAll(idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
	return idempotency.OutcomeGranted, nil
}

// storedCount returns how many responses the scripted controller received since the last call.
func (h *testEdge) storedCount() int {
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	count := len(h.stored)
	h.stored = nil
	return count
}

func (h *testEdge) runKeyed(key string) {
	h.g.Expect(h.request("POST", "/k/x", "x", "X-Operation-Key", key).Code).To(Equal(200))
}

// Guards against DENIED: a response that came while its edge was attached to no controller was never sent to one.
func TestResponseWithoutAControllerIsSentAtTheNextAttachment(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.decideClaim = grantAll
		link := h.session.link
		h.addServer("i-1", func(r *http.Request) string {
			h.session.clearLink()
			return goodResponse(r)
		})
		h.runKeyed("k")
		h.g.Expect(h.storedCount()).To(BeZero())
		h.session.setLink(link, "10.0.0.8")
		h.handleControllerAttached()
		h.g.Expect(h.storedCount()).To(Equal(1))
	})
}

// Guards against DENIED: a response whose message was lost with a controller, or on its way, was never sent again.
func TestResponseIsSentAgainUntilItIsConfirmed(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.decideClaim = grantAll
		h.addServer("i-1", goodResponse)
		h.runKeyed("k")
		token := h.stored[0].Token
		h.g.Expect(h.storedCount()).To(Equal(1))
		h.claims.sendResponses()
		h.g.Expect(h.storedCount()).To(BeZero(), "not due yet")
		for range 11 { // summaries keep the link up
			time.Sleep(100 * time.Millisecond)
			h.session.link.Send(&peer.Summary{})
			h.controllerEnd.Send(&peer.Summary{})
		}
		h.claims.sendResponses()
		h.g.Expect(h.storedCount()).To(Equal(1))
		h.handleControllerAttached()
		h.g.Expect(h.storedCount()).To(Equal(1), "to the new controller at once")
		h.controllerEnd.Send(peer.ResponseConfirmations{token})
		synctest.Wait()
		h.g.Expect(h.claims.unconfirmedCount()).To(BeZero())
		h.handleControllerAttached()
		h.g.Expect(h.storedCount()).To(BeZero())
	})
}

// Guards against DENIED: an edge that ends must not take unconfirmed responses with it, and must not wait for ever for a
// confirmation that doesn't come.
func TestShutdownWaitsForConfirmations(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.decideClaim = grantAll
		h.addServer("i-1", goodResponse)
		h.runKeyed("k")
		token := h.stored[0].Token
		schedule := newShutdownSchedule(h.Now(), 6*time.Second, 0)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		h.g.Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		drain := httpconn.NewDrain(listener, h.clients.conns)
		finish := func() time.Duration {
			startedAt := h.Now()
			h.finishShutdown(schedule, drain)
			return h.Now() - startedAt
		}
		go func() {
			time.Sleep(200 * time.Millisecond)
			h.controllerEnd.Send(peer.ResponseConfirmations{token})
		}()
		h.g.Expect(finish()).To(BeNumerically("~", 200*time.Millisecond, 20*time.Millisecond))
		h.claims.complete(idempotency.Record{Token: idempotency.Token{Sequence: 9}}, &idempotency.Response{Status: 200})
		h.g.Expect(finish()).To(BeNumerically("~", maxConfirmationWait, 20*time.Millisecond))
	})
}
