package proxy

import (
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
)

// sendTo sends a keyed request with this Host header.
func (h *testEdge) sendTo(host string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", "http://a.example/k/x", strings.NewReader("x"))
	r.RequestURI, r.Host = "/k/x", host
	r.Header.Set("X-Attempt-Id", "try-1")
	r.Header.Set("X-Deadline-Ms", "2000")
	r.Header.Set("X-Operation-Key", "k")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	synctest.Wait()
	return w
}

// claimOnce grants each key to its first claim, as the claim stores do, and stores responses.
func (h *testEdge) claimOnce() {
	holders := map[idempotency.Key]idempotency.Token{}
	h.decideClaim = func(r idempotency.Record) (idempotency.Outcome, *idempotency.Response) {
		if holder, taken := holders[r.Key]; taken && holder != r.Token {
			for _, stored := range h.stored {
				if stored.Key == r.Key {
					return idempotency.OutcomeConflict, stored.Response
				}
			}
			return idempotency.OutcomeConflict, nil
		}
		holders[r.Key] = r.Token
		return idempotency.OutcomeGranted, nil
	}
}

// Guards against TWICE: a repeat ran again if its Host header named another port than the first request's.
func TestKeyedOperationRunsOnceWhateverFormItsHostHas(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.claimOnce()
		h.addServer("i-1", goodResponse)
		for _, host := range []string{"a.example:8641", "a.example", "A.EXAMPLE:80", "a.example.", "a.example:8641"} {
			h.g.Expect(h.sendTo(host).Code).To(Equal(200), host)
		}
		h.g.Expect(h.received).To(HaveLen(1))
	})
}

// Guards against TWICE during an upgrade: an edge of an earlier version claims a key under the Host header as it is.
func TestKeyedOperationRunsOnceBesideAnEarlierVersion(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.claimOnce()
		h.addServer("i-1", goodResponse)
		earlier := idempotency.Record{Key: idempotency.KeyOf("a.example:8641", "k"), Token: idempotency.Token{Incarnation: 7, Sequence: 1}}
		h.decideClaim(earlier) // by an edge of the earlier version, which runs the operation
		h.g.Expect(h.sendTo("a.example:8641").Code).To(Equal(409))
		h.g.Expect(h.received).To(BeEmpty())
		h.g.Expect(h.revoked).To(HaveLen(2), "both claims, under which nothing ran")
		h.decideClaim = nil
		h.claimOnce()
		h.g.Expect(h.sendTo("a.example:8641").Code).To(Equal(200))
		outcome, response := h.decideClaim(earlier)
		h.g.Expect(outcome).To(Equal(idempotency.OutcomeConflict), "the earlier version finds the operation")
		h.g.Expect(string(response.Body)).To(Equal("bytes"))
	})
}

// A Host header that is no host gets 400, and nothing runs.
func TestHostThatIsNoHost(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.claimOnce()
		h.addServer("i-1", goodResponse)
		for _, host := range []string{"", ":80", "a.example:http", "a.example/x", "user@a.example", "[::1"} {
			h.g.Expect(h.sendTo(host).Code).To(Equal(400), host)
		}
		h.g.Expect(h.sendTo("b.example").Code).To(Equal(404))
		h.g.Expect(h.received).To(BeEmpty())
	})
}
