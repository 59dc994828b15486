package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
)

func TestTicket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

const window = time.Minute

func token(n uint64) idempotency.Token { return idempotency.Token{Incarnation: 1, Sequence: n} }

// put gives a claim store a claim and makes it durable, as a host does.
func put(s *idempotency.Store, r idempotency.Record, now time.Duration) idempotency.GrantReply {
	v, _, store := s.Grant(r, now)
	if store && !s.MarkDurable(r.Key, r.Token) {
		return idempotency.ReplyUnavailable
	}
	return v
}

var _ = Describe("a ledger", func() {
	key := idempotency.KeyOf("toll.example", "k-1")

	It("grants a key to one token, and to that one again", func() {
		s := idempotency.NewStore(window, false)
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 0)).To(Equal(idempotency.ReplyGranted))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 1)).To(Equal(idempotency.ReplyConflict))
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.ReplyGranted))
	})
	It("answers repeats that race each other with the run that both are repeats of", func() {
		answer := &idempotency.Response{Status: 200, Body: []byte("first")}
		stores := map[string]*idempotency.Store{}
		for _, id := range []string{"a", "b", "c"} {
			stores[id] = idempotency.NewStore(window, false)
		}
		first := idempotency.Record{Key: key, Token: token(5)}
		for _, id := range []string{"a", "b"} { // a majority
			put(stores[id], first, 0)
		}
		first.Response = answer
		stores["a"].Complete(first, 1)
		// Two repeats at once, and whichever token is the smaller one: the one holds the key at the store that doesn't know the
		// first claim, and the other is told of it.
		for _, race := range [][2]idempotency.Token{{token(6), token(7)}, {token(2), token(1)}, {token(1), token(9)}} {
			put(stores["c"], idempotency.Record{Key: key, Token: race[0]}, 2)
			repeat := idempotency.Record{Key: key, Token: race[1]}
			coordinator := idempotency.NewCoordinator([]string{"c", "a", "b"}, 20*time.Millisecond, time.Second)
			var result *idempotency.Result
			requests := coordinator.Start(repeat, 3)
			for len(requests) > 0 && result == nil {
				next := requests[0]
				reply, holder, _ := stores[next.To].Grant(next.Record, 3)
				var more []idempotency.GrantRequest
				more, result = coordinator.HandleReply(next.To, repeat.Token, reply, holder)
				requests = append(requests[1:], more...)
			}
			Expect(result.Outcome).To(Equal(idempotency.OutcomeConflict))
			var found *idempotency.Response
			for _, s := range stores {
				if response := s.Response(key, result.Holder.Token); response != nil {
					found = response
				}
			}
			Expect(found).To(Equal(answer), "holder %v", result.Holder.Token)
			stores["c"].Revoke(key, race[0], 4)
		}
	})
	It("answers nobody with a run that may be of an earlier window", func() {
		s := idempotency.NewStore(window, false)
		s.Load(idempotency.Record{Key: key, Token: token(1), Response: &idempotency.Response{Status: 200}}, 0)
		Expect(s.Response(key, token(1))).NotTo(BeNil())
		Expect(s.Response(key, token(2))).To(BeNil())
	})
	It("takes the same key of another tenant for another operation", func() {
		s := idempotency.NewStore(window, false)
		put(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		Expect(put(s, idempotency.Record{Key: idempotency.KeyOf("bridge.example", "k-1"), Token: token(2)}, 1)).To(Equal(idempotency.ReplyGranted))
	})
	It("grants again once a claim is withdrawn, but not a claim that comes after its withdrawal", func() {
		s := idempotency.NewStore(window, false)
		put(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Revoke(key, token(1), 1)
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.ReplyUnavailable))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 3)).To(Equal(idempotency.ReplyGranted))
	})
	It("keeps a durable claim when storing it once more fails", func() {
		s := idempotency.NewStore(window, false)
		put(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		s.MarkFailed(key, token(1))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 1)).To(Equal(idempotency.ReplyConflict))
	})
	It("forgets a claim that the disk refused", func() {
		s := idempotency.NewStore(window, false)
		_, _, store := s.Grant(idempotency.Record{Key: key, Token: token(1)}, 0)
		Expect(store).To(BeTrue())
		s.MarkFailed(key, token(1))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 1)).To(Equal(idempotency.ReplyGranted))
	})
	It("holds answers within its bound, the newest, and gives up none of the claims", func() {
		s := idempotency.NewStore(window, false)
		s.SetMaxResponseBytes(1000)
		name := func(n uint64) idempotency.Key { return idempotency.KeyOf("t", fmt.Sprint(n)) }
		for n := range uint64(30) {
			now := time.Duration(n) * 3 * time.Second
			s.Expire(now)
			put(s, idempotency.Record{Key: name(n), Token: token(n)}, now)
			s.Complete(idempotency.Record{Key: name(n), Token: token(n), Response: &idempotency.Response{Status: 200, Body: make([]byte, 100+n)}}, now)
			s.Revoke(name(n), token(n), now)
			held, bytes := 0, uint64(0)
			for m := range n + 1 {
				if a := s.Response(name(m), token(m)); a != nil {
					held, bytes = held+1, bytes+uint64(len(a.Body))
					Expect(m).To(BeNumerically(">", int(n)-10))
				}
			}
			Expect(bytes).To(BeNumerically("<=", 1000))
			Expect(held).To(BeNumerically(">=", min(int(n)+1, 7)))
			Expect(put(s, idempotency.Record{Key: name(n - min(n, 15)), Token: token(99)}, now)).To(Equal(idempotency.ReplyConflict), "one whose answer is gone has run all the same")
		}
	})
	It("keeps the answer of the claim that ran, where another claim of its key is held", func() {
		answer := &idempotency.Response{Status: 200}
		s := idempotency.NewStore(window, true)
		s.Import(idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Import(idempotency.Record{Key: key, Token: token(2)}, 0)
		s.FinishRecovery()
		s.Complete(idempotency.Record{Key: key, Token: token(2), Response: answer}, 1)
		Expect(s.Response(key, token(2))).To(Equal(answer))
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.ReplyConflict))
		s.Revoke(key, token(2), 3)
		Expect(s.Response(key, token(2))).To(Equal(answer), "what ran is not withdrawn")
		s.Complete(idempotency.Record{Key: key, Token: token(1), Response: answer}, 4)
		Expect(s.Response(key, token(2))).To(Equal(answer), "and is not replaced")
	})
	It("keeps a claim for its window, and no longer", func() {
		s := idempotency.NewStore(window, false)
		put(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Expire(window)
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, window)).To(Equal(idempotency.ReplyConflict))
		s.Expire(window + 1)
		Expect(s.Len()).To(BeZero())
	})
	It("grants nothing while blank, and nobody a key that it copied", func() {
		s := idempotency.NewStore(window, true)
		Expect(put(s, idempotency.Record{Key: key, Token: token(3)}, 0)).To(Equal(idempotency.ReplyUnavailable))
		s.Import(idempotency.Record{Key: key, Token: token(1)}, 1) // stood, with the grant that was lost here
		s.Import(idempotency.Record{Key: key, Token: token(2)}, 1) // held by one claim store alone
		s.FinishRecovery()
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.ReplyConflict))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 2)).To(Equal(idempotency.ReplyConflict))
	})
})

var _ = Describe("an office", func() {
	key := idempotency.KeyOf("toll.example", "k-1")
	open := func(c *idempotency.Coordinator, n uint64) []idempotency.GrantRequest {
		return c.Start(idempotency.Record{Key: key, Token: token(n)}, 0)
	}

	It("asks its own ledger and one more, and the third when they are slow", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		Expect(open(c, 1)).To(HaveLen(2))
		asks, done := c.Tick(21)
		Expect(done).To(BeEmpty())
		Expect(asks).To(HaveLen(1))
		Expect(asks[0].To).To(Equal("c"))
	})
	It("lets a claim stand on more than half of the ledgers, whatever a stale claim holds elsewhere", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		open(c, 1)
		c.HandleReply("a", token(1), idempotency.ReplyGranted, idempotency.Record{})
		asks, _ := c.HandleReply("b", token(1), idempotency.ReplyConflict, idempotency.Record{Token: token(9)})
		Expect(asks).To(HaveLen(1))
		_, done := c.HandleReply("c", token(1), idempotency.ReplyGranted, idempotency.Record{})
		Expect(done.Outcome).To(Equal(idempotency.OutcomeGranted))
	})
	It("takes back the grant of a ledger that began a new life", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		open(c, 1)
		c.HandleReply("b", token(1), idempotency.ReplyGranted, idempotency.Record{})
		Expect(c.DiscardGrants("b")).To(BeEmpty())
		_, done := c.HandleReply("a", token(1), idempotency.ReplyGranted, idempotency.Record{})
		Expect(done).To(BeNil())
	})
	It("refuses what can't be decided in time", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		open(c, 1)
		_, done := c.Tick(901)
		Expect(done).To(HaveLen(1))
		Expect(done[0].Outcome).To(Equal(idempotency.OutcomeUndecided))
	})
})
