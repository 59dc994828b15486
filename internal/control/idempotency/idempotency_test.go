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

func token(n uint64) idempotency.Token { return idempotency.Token{Life: 1, N: n} }

// put gives a claim store a claim and makes it durable, as a host does.
func put(s *idempotency.Store, r idempotency.Record, now time.Duration) idempotency.Verdict {
	v, _, store := s.Claim(r, now)
	if store && !s.Stored(r.Key, r.Token) {
		return idempotency.Unable
	}
	return v
}

var _ = Describe("a ledger", func() {
	key := idempotency.KeyOf("toll.example", "k-1")

	It("grants a key to one token, and to that one again", func() {
		s := idempotency.NewStore(window, false)
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 0)).To(Equal(idempotency.Granted))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 1)).To(Equal(idempotency.Held))
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.Granted))
	})
	It("takes the same key of another tenant for another operation", func() {
		s := idempotency.NewStore(window, false)
		put(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		Expect(put(s, idempotency.Record{Key: idempotency.KeyOf("bridge.example", "k-1"), Token: token(2)}, 1)).To(Equal(idempotency.Granted))
	})
	It("grants again once a claim is withdrawn, but not a claim that comes after its withdrawal", func() {
		s := idempotency.NewStore(window, false)
		put(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Void(key, token(1), 1)
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.Unable))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 3)).To(Equal(idempotency.Granted))
	})
	It("keeps a durable claim when storing it once more fails", func() {
		s := idempotency.NewStore(window, false)
		put(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Failed(key, token(1))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 1)).To(Equal(idempotency.Held))
	})
	It("forgets a claim that the disk refused", func() {
		s := idempotency.NewStore(window, false)
		_, _, store := s.Claim(idempotency.Record{Key: key, Token: token(1)}, 0)
		Expect(store).To(BeTrue())
		s.Failed(key, token(1))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 1)).To(Equal(idempotency.Granted))
	})
	It("holds answers within its bound, the newest, and gives up none of the claims", func() {
		s := idempotency.NewStore(window, false)
		s.Bound(1000)
		name := func(n uint64) idempotency.Key { return idempotency.KeyOf("t", fmt.Sprint(n)) }
		for n := range uint64(30) {
			now := time.Duration(n) * 3 * time.Second
			s.Expire(now)
			put(s, idempotency.Record{Key: name(n), Token: token(n)}, now)
			s.Done(idempotency.Record{Key: name(n), Token: token(n), Answer: &idempotency.Answer{Status: 200, Body: make([]byte, 100+n)}}, now)
			s.Void(name(n), token(n), now)
			held, bytes := 0, uint64(0)
			for m := range n + 1 {
				if a := s.Answer(name(m), token(m)); a != nil {
					held, bytes = held+1, bytes+uint64(len(a.Body))
					Expect(m).To(BeNumerically(">", int(n)-10))
				}
			}
			Expect(bytes).To(BeNumerically("<=", 1000))
			Expect(held).To(BeNumerically(">=", min(int(n)+1, 7)))
			Expect(put(s, idempotency.Record{Key: name(n - min(n, 15)), Token: token(99)}, now)).To(Equal(idempotency.Held), "one whose answer is gone has run all the same")
		}
	})
	It("keeps the answer of the claim that ran, where another claim of its key is held", func() {
		answer := &idempotency.Answer{Status: 200}
		s := idempotency.NewStore(window, true)
		s.Copy(idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Copy(idempotency.Record{Key: key, Token: token(2)}, 0)
		s.Restored()
		s.Done(idempotency.Record{Key: key, Token: token(2), Answer: answer}, 1)
		Expect(s.Answer(key, token(2))).To(Equal(answer))
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.Held))
		s.Void(key, token(2), 3)
		Expect(s.Answer(key, token(2))).To(Equal(answer), "what ran is not withdrawn")
		s.Done(idempotency.Record{Key: key, Token: token(1), Answer: answer}, 4)
		Expect(s.Answer(key, token(2))).To(Equal(answer), "and is not replaced")
	})
	It("keeps a claim for its window, and no longer", func() {
		s := idempotency.NewStore(window, false)
		put(s, idempotency.Record{Key: key, Token: token(1)}, 0)
		s.Expire(window)
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, window)).To(Equal(idempotency.Held))
		s.Expire(window + 1)
		Expect(s.Len()).To(BeZero())
	})
	It("grants nothing while blank, and nobody a key that it copied", func() {
		s := idempotency.NewStore(window, true)
		Expect(put(s, idempotency.Record{Key: key, Token: token(3)}, 0)).To(Equal(idempotency.Unable))
		s.Copy(idempotency.Record{Key: key, Token: token(1)}, 1) // stood, with the grant that was lost here
		s.Copy(idempotency.Record{Key: key, Token: token(2)}, 1) // held by one claim store alone
		s.Restored()
		Expect(put(s, idempotency.Record{Key: key, Token: token(1)}, 2)).To(Equal(idempotency.Held))
		Expect(put(s, idempotency.Record{Key: key, Token: token(2)}, 2)).To(Equal(idempotency.Held))
	})
})

var _ = Describe("an office", func() {
	key := idempotency.KeyOf("toll.example", "k-1")
	open := func(c *idempotency.Coordinator, n uint64) []idempotency.Ask {
		return c.Open(idempotency.Record{Key: key, Token: token(n)}, 0)
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
		c.Verdict("a", token(1), idempotency.Granted, idempotency.Record{}, 1)
		asks, _ := c.Verdict("b", token(1), idempotency.Held, idempotency.Record{Token: token(9)}, 1)
		Expect(asks).To(HaveLen(1))
		_, done := c.Verdict("c", token(1), idempotency.Granted, idempotency.Record{}, 1)
		Expect(done.Ruling).To(Equal(idempotency.Stands))
	})
	It("takes back the grant of a ledger that began a new life", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		open(c, 1)
		c.Verdict("b", token(1), idempotency.Granted, idempotency.Record{}, 1)
		Expect(c.Forget("b")).To(BeEmpty())
		_, done := c.Verdict("a", token(1), idempotency.Granted, idempotency.Record{}, 2)
		Expect(done).To(BeNil())
	})
	It("refuses what can't be decided in time", func() {
		c := idempotency.NewCoordinator([]string{"a", "b", "c"}, 20, 900)
		open(c, 1)
		_, done := c.Tick(901)
		Expect(done).To(HaveLen(1))
		Expect(done[0].Ruling).To(Equal(idempotency.Refused))
	})
})
