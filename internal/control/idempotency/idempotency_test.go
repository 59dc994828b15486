package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

const window = time.Minute

func token(n uint64) idempotency.Token { return idempotency.Token{Incarnation: 1, Sequence: n} }

// grantDurably requests a claim from a store and marks it durable, as a controller does.
func grantDurably(s *idempotency.Store, r idempotency.Record, now time.Duration) idempotency.GrantReply {
	reply, _, mustStore := s.Grant(r, now)
	if mustStore && !s.MarkDurable(r.Key, r.Token) {
		return idempotency.ReplyUnavailable
	}
	return reply
}

var _ = Describe("a store", func() {
	key := idempotency.KeyOf("toll.example", "k-1")

	It("grants a key to one token, and repeats the grant to that token", func() {
		s := idempotency.NewStore(window, false)
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(1)}, 0)).To(Equal(idempotency.ReplyGranted))
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(2)}, 1)).To(Equal(idempotency.ReplyConflict))
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.ReplyGranted))
	})
	It("returns the response of the first run to concurrent repeats", func() {
		response := &idempotency.Response{Status: 200, Body: []byte("first")}
		stores := map[string]*idempotency.Store{}
		for _, id := range []string{"a", "b", "c"} {
			stores[id] = idempotency.NewStore(window, false)
		}
		first := idempotency.Record{Key: key, Token: token(5)}
		for _, id := range []string{"a", "b"} { // a majority
			grantDurably(stores[id], first, 0)
		}
		first.Response = response
		stores["a"].Complete(first, 1)
		// Two concurrent repeats, with either token the smaller one: one repeat holds the key at the store without the first
		// claim, so the conflict of the other repeat may report it as the holder.
		for _, race := range [][2]idempotency.Token{{token(6), token(7)}, {token(2), token(1)}, {token(1), token(9)}} {
			grantDurably(stores["c"], idempotency.Record{Key: key, Token: race[0]}, 2)
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
				if stored := s.Response(key, result.Holder.Token); stored != nil {
					found = stored
				}
			}
			Expect(found).To(Equal(response), "holder %v", result.Holder.Token)
			stores["c"].Revoke(key, race[0], 4)
		}
	})
	It("returns a response of unknown age to its own token only", func() {
		s := idempotency.NewStore(window, false)
		s.Load(idempotency.Record{Key: key, Token: token(1), Response: &idempotency.Response{Status: 200}}, 0)
		Expect(s.Response(key, token(1))).NotTo(BeNil())
		Expect(s.Response(key, token(2))).To(BeNil())
	})
	It("treats equal keys of different tenants as different operations", func() {
		s := idempotency.NewStore(window, false)
		grantDurably(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		Expect(grantDurably(s, idempotency.Record{Key: idempotency.KeyOf("bridge.example", "k-1"), Token: token(2)}, 1)).To(Equal(idempotency.ReplyGranted))
	})
	It("grants a key again after its claim was revoked, but not to a claim that arrives after its revocation", func() {
		s := idempotency.NewStore(window, false)
		grantDurably(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Revoke(key, token(1), 1)
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.ReplyUnavailable))
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(2)}, 3)).To(Equal(idempotency.ReplyGranted))
	})
	It("keeps a durable claim if a repeated write of it fails", func() {
		s := idempotency.NewStore(window, false)
		grantDurably(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		s.MarkFailed(key, token(1))
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(2)}, 1)).To(Equal(idempotency.ReplyConflict))
	})
	It("removes a claim that could not be stored", func() {
		s := idempotency.NewStore(window, false)
		_, _, mustStore := s.Grant(idempotency.Record{Key: key, Token: token(1)}, 0)
		Expect(mustStore).To(BeTrue())
		s.MarkFailed(key, token(1))
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(2)}, 1)).To(Equal(idempotency.ReplyGranted))
	})
	It("keeps the newest responses within the size limit, and all claims", func() {
		s := idempotency.NewStore(window, false)
		s.SetMaxResponseBytes(1000)
		keyOf := func(n uint64) idempotency.Key { return idempotency.KeyOf("t", fmt.Sprint(n)) }
		for n := range uint64(30) {
			now := time.Duration(n) * 3 * time.Second
			s.Expire(now)
			grantDurably(s, idempotency.Record{Key: keyOf(n), Token: token(n)}, now)
			s.Complete(idempotency.Record{Key: keyOf(n), Token: token(n), Response: &idempotency.Response{Status: 200, Body: make([]byte, 100+n)}}, now)
			s.Revoke(keyOf(n), token(n), now)
			held, bytes := 0, uint64(0)
			for m := range n + 1 {
				if r := s.Response(keyOf(m), token(m)); r != nil {
					held, bytes = held+1, bytes+uint64(len(r.Body))
					Expect(m).To(BeNumerically(">", int(n)-10))
				}
			}
			Expect(bytes).To(BeNumerically("<=", 1000))
			Expect(held).To(BeNumerically(">=", min(int(n)+1, 7)))
			Expect(grantDurably(s, idempotency.Record{Key: keyOf(n - min(n, 15)), Token: token(99)}, now)).To(Equal(idempotency.ReplyConflict), "a claim whose response was dropped has run")
		}
	})
	It("stores the response of the claim that ran in place of another claim of its key", func() {
		response := &idempotency.Response{Status: 200}
		s := idempotency.NewStore(window, true)
		s.Import(idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Import(idempotency.Record{Key: key, Token: token(2)}, 0)
		s.FinishRecovery()
		s.Complete(idempotency.Record{Key: key, Token: token(2), Response: response}, 1)
		Expect(s.Response(key, token(2))).To(Equal(response))
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.ReplyConflict))
		s.Revoke(key, token(2), 3)
		Expect(s.Response(key, token(2))).To(Equal(response), "a claim that ran is not revoked")
		s.Complete(idempotency.Record{Key: key, Token: token(1), Response: response}, 4)
		Expect(s.Response(key, token(2))).To(Equal(response), "a claim that ran is not replaced")
	})
	It("retains a claim for its window only", func() {
		s := idempotency.NewStore(window, false)
		grantDurably(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Expire(window)
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(2)}, window)).To(Equal(idempotency.ReplyConflict))
		s.Expire(window + 1)
		Expect(s.Len()).To(BeZero())
	})
	It("grants nothing while recovering, and never a key that it imported", func() {
		s := idempotency.NewStore(window, true)
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(3)}, 0)).To(Equal(idempotency.ReplyUnavailable))
		s.Import(idempotency.Record{Key: key, Token: token(1)}, 1) // granted, with the grant that was lost here
		s.Import(idempotency.Record{Key: key, Token: token(2)}, 1) // held by one store only
		s.FinishRecovery()
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.ReplyConflict))
		Expect(grantDurably(s, idempotency.Record{Key: key, Token: token(2)}, 2)).To(Equal(idempotency.ReplyConflict))
	})
})

var _ = Describe("a coordinator", func() {
	key := idempotency.KeyOf("toll.example", "k-1")
	start := func(c *idempotency.Coordinator, n uint64) []idempotency.GrantRequest {
		return c.Start(idempotency.Record{Key: key, Token: token(n)}, 0)
	}

	It("sends requests to its own store and one other, and to the third after the hedge delay", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		Expect(start(c, 1)).To(HaveLen(2))
		requests, results := c.Tick(21)
		Expect(results).To(BeEmpty())
		Expect(requests).To(HaveLen(1))
		Expect(requests[0].To).To(Equal("c"))
	})
	It("grants a claim with a majority of the stores, even if another claim holds the key at one store", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		start(c, 1)
		c.HandleReply("a", token(1), idempotency.ReplyGranted, idempotency.Record{})
		requests, _ := c.HandleReply("b", token(1), idempotency.ReplyConflict, idempotency.Record{Token: token(9)})
		Expect(requests).To(HaveLen(1))
		_, result := c.HandleReply("c", token(1), idempotency.ReplyGranted, idempotency.Record{})
		Expect(result.Outcome).To(Equal(idempotency.OutcomeGranted))
	})
	It("discards the grants of a store that lost its disk", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		start(c, 1)
		c.HandleReply("b", token(1), idempotency.ReplyGranted, idempotency.Record{})
		Expect(c.DiscardGrants("b")).To(BeEmpty())
		_, result := c.HandleReply("a", token(1), idempotency.ReplyGranted, idempotency.Record{})
		Expect(result).To(BeNil())
	})
	It("ends a claim as undecided after the timeout", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		start(c, 1)
		_, results := c.Tick(901)
		Expect(results).To(HaveLen(1))
		Expect(results[0].Outcome).To(Equal(idempotency.OutcomeUndecided))
	})
})
