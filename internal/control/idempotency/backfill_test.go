package idempotency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
)

var _ = Describe("a backfill of responses", func() {
	const expiresAt = time.Minute
	claims := func(count int) (all []idempotency.Record) {
		for n := range count {
			all = append(all, idempotency.Record{Key: idempotency.Key{byte(n), byte(n >> 8)}, Token: idempotency.Token{Incarnation: 1, Sequence: uint64(n)}})
		}
		return all
	}
	withResponses := func(records []idempotency.Record) (replies []idempotency.Record) {
		for _, r := range records {
			r.Response = &idempotency.Response{Status: 200}
			replies = append(replies, r)
		}
		return replies
	}
	all := func(idempotency.Record) bool { return true }
	It("asks one source after the other for all claims, with one query in flight", func() {
		b := idempotency.NewBackfill(claims(300), expiresAt)
		sources := []string{"a", "b"}
		found := map[idempotency.Token]bool{}
		asked := map[string]int{}
		missing := func(r idempotency.Record) bool { return !found[r.Token] }
		for !b.Done(sources, 0) {
			source, query := b.Next(sources, missing, 0)
			if len(query) == 0 {
				continue
			}
			_, second := b.Next(sources, missing, 0)
			Expect(second).To(BeEmpty())
			asked[source] += len(query)
			replies := query
			if source == "b" {
				replies = withResponses(query)
			}
			for _, r := range b.HandleReplies(source, replies) {
				found[r.Token] = true
			}
		}
		Expect(asked).To(Equal(map[string]int{"a": 300, "b": 300}))
		Expect(found).To(HaveLen(300))
		Expect(b.Fetched()).To(Equal(300))
	})
	It("asks again for what a reply left out", func() {
		b := idempotency.NewBackfill(claims(10), expiresAt)
		source, query := b.Next([]string{"a"}, all, 0)
		Expect(query).To(HaveLen(10))
		Expect(b.HandleReplies(source, withResponses(query[:3]))).To(HaveLen(3))
		_, rest := b.Next([]string{"a"}, all, 0)
		Expect(rest).To(Equal(query[3:]))
	})
	It("goes on with other sources while one does not reply, and returns to it", func() {
		b := idempotency.NewBackfill(claims(2), expiresAt)
		sources := []string{"a", "b"}
		source, _ := b.Next(sources, all, 0)
		Expect(source).To(Equal("a"))
		source, query := b.Next(sources, all, 600*time.Millisecond)
		Expect(source).To(Equal("b"))
		Expect(b.HandleReplies("a", withResponses(query))).To(BeEmpty(), "a reply that came too late")
		Expect(b.HandleReplies("b", query)).To(BeEmpty())
		Expect(b.Done(sources, 600*time.Millisecond)).To(BeFalse())
		source, _ = b.Next(sources, all, 700*time.Millisecond)
		Expect(source).To(BeEmpty())
		source, query = b.Next(sources, all, 2*time.Second)
		Expect(source).To(Equal("a"))
		Expect(b.HandleReplies("a", withResponses(query))).To(HaveLen(2))
		Expect(b.Done(sources, 2*time.Second)).To(BeTrue())
	})
	It("ignores replies to other queries", func() {
		b := idempotency.NewBackfill(claims(2), expiresAt)
		_, query := b.Next([]string{"a"}, all, 0)
		other := idempotency.Record{Key: idempotency.Key{9, 9}, Token: query[0].Token, Response: &idempotency.Response{Status: 200}}
		Expect(b.HandleReplies("a", []idempotency.Record{other})).To(BeEmpty())
		Expect(b.HandleReplies("a", withResponses(query))).To(HaveLen(2))
	})
	It("ends with the window of the claims, whether or not all sources were asked", func() {
		b := idempotency.NewBackfill(claims(1), expiresAt)
		Expect(b.Done([]string{"a"}, expiresAt)).To(BeFalse())
		Expect(b.Done([]string{"a"}, expiresAt+1)).To(BeTrue())
	})
})
