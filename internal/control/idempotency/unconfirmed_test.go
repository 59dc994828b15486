package idempotency_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
)

var _ = Describe("unconfirmed responses", func() {
	response := func(n uint64, bytes int) idempotency.Record {
		return idempotency.Record{Key: idempotency.Key{byte(n)}, Token: idempotency.Token{Incarnation: 1, Sequence: n},
			Response: &idempotency.Response{Status: 200, Body: make([]byte, bytes)}}
	}
	sequences := func(records []idempotency.Record) (all []uint64) {
		for _, r := range records {
			all = append(all, r.Token.Sequence)
		}
		return all
	}
	const window, large = time.Minute, 1 << 20
	It("are sent again with growing delays until they are confirmed", func() {
		b := idempotency.NewUnconfirmed(window, large)
		b.Add(response(1, 10), 0)
		var sentAt []time.Duration
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			if len(b.Due(now, large)) > 0 {
				sentAt = append(sentAt, now)
			}
		}
		Expect(sentAt).To(Equal([]time.Duration{0, time.Second, 3 * time.Second, 7 * time.Second, 15 * time.Second}))
		b.Confirm([]idempotency.Token{{Incarnation: 1, Sequence: 1}})
		Expect(b.Due(window, large)).To(BeEmpty())
		Expect(b.Len()).To(BeZero())
		Expect(b.Dropped()).To(BeZero())
	})
	It("are all due at once after an attachment", func() {
		b := idempotency.NewUnconfirmed(window, large)
		b.Add(response(1, 10), 0)
		b.Add(response(2, 10), 0)
		Expect(sequences(b.Due(0, large))).To(Equal([]uint64{1, 2}))
		b.MarkAllDue(100 * time.Millisecond)
		Expect(sequences(b.Due(100*time.Millisecond, large))).To(Equal([]uint64{1, 2}))
		Expect(b.Due(200*time.Millisecond, large)).To(BeEmpty())
	})
	It("are sent in frames of limited size, the oldest first", func() {
		b := idempotency.NewUnconfirmed(window, large)
		for n := range uint64(3) {
			b.Add(response(n, 1000), 0)
		}
		Expect(sequences(b.Due(0, 3000))).To(Equal([]uint64{0, 1}))
		Expect(sequences(b.Due(0, 3000))).To(Equal([]uint64{2}))
		b.Add(response(9, 5000), 0)
		Expect(sequences(b.Due(0, 3000))).To(Equal([]uint64{9}), "one that is larger by itself")
	})
	It("are dropped, the oldest first, beyond the limit of bytes and after the window", func() {
		b := idempotency.NewUnconfirmed(window, 3000)
		for n := range uint64(4) {
			b.Add(response(n, 1000), time.Duration(n)*time.Second)
		}
		Expect(b.Len()).To(Equal(2))
		Expect(b.Dropped()).To(Equal(2))
		Expect(sequences(b.Due(window+2500*time.Millisecond, large))).To(Equal([]uint64{3}))
		Expect(b.Dropped()).To(Equal(3))
	})
})

var _ = Describe("a store's responses", func() {
	r := idempotency.Record{Key: idempotency.Key{1}, Token: idempotency.Token{Incarnation: 1, Sequence: 1}}
	It("are durable once the store was told so, and again after a restart", func() {
		withResponse := r
		withResponse.Response = &idempotency.Response{Status: 200}
		s := idempotency.NewStore(time.Minute, false)
		held, durable := s.StoreResponse(withResponse, 0)
		Expect([]bool{held, durable}).To(Equal([]bool{true, false}))
		s.MarkResponseDurable(r.Key, r.Token)
		held, durable = s.StoreResponse(withResponse, 0)
		Expect([]bool{held, durable}).To(Equal([]bool{true, true}))
		restarted := idempotency.NewStore(time.Minute, false)
		restarted.Load(r, 0)
		_, durable = restarted.StoreResponse(withResponse, 0)
		Expect(durable).To(BeFalse())
		restarted = idempotency.NewStore(time.Minute, false)
		restarted.Load(r, 0)
		restarted.Load(withResponse, 0)
		_, durable = restarted.StoreResponse(withResponse, 0)
		Expect(durable).To(BeTrue())
	})
	It("of a key are found and imported whichever claim ran", func() {
		other := idempotency.Record{Key: r.Key, Token: idempotency.Token{Incarnation: 2, Sequence: 1}, Response: &idempotency.Response{Status: 200}}
		source := idempotency.NewStore(time.Minute, false)
		source.Load(other, 0)
		Expect(source.Response(r.Key, r.Token)).To(BeNil(), "its age is unknown")
		ran, ok := source.ResponseOfKey(r.Key)
		Expect(ok).To(BeTrue())
		Expect(ran).To(Equal(other))
		s := idempotency.NewStore(time.Minute, true)
		s.Import(r, 0)
		stored, ok := s.ImportResponse(ran, 0)
		Expect(ok).To(BeTrue())
		Expect(stored.Imported).To(BeTrue())
		Expect(s.Response(r.Key, other.Token)).To(Equal(other.Response))
		Expect(s.Response(r.Key, r.Token)).To(BeNil())
		s.FinishRecovery()
		reply, holder, _ := s.Grant(idempotency.Record{Key: r.Key, Token: other.Token}, 0)
		Expect(reply).To(Equal(idempotency.ReplyConflict), "an imported key is granted to nobody")
		Expect(holder.Imported).To(BeTrue())
		_, ok = s.ImportResponse(ran, 0)
		Expect(ok).To(BeFalse(), "it is stored already")
	})
	It("tell whether a majority granted the claim that holds the key", func() {
		for _, imported := range []bool{false, true} {
			c := idempotency.NewCoordinator([]string{"a", "b", "c"}, time.Second, time.Second)
			repeat := idempotency.Record{Key: r.Key, Token: idempotency.Token{Incarnation: 3, Sequence: 1}}
			c.Start(repeat, 0)
			c.HandleReply("a", repeat.Token, idempotency.ReplyConflict, r)
			holder := r
			holder.Imported = imported
			_, result := c.HandleReply("b", repeat.Token, idempotency.ReplyConflict, holder)
			Expect(result.Holder.Token).To(Equal(r.Token))
			Expect(result.HolderGranted).To(Equal(!imported))
		}
	})
	It("are not stored for a claim of a key that another one ran", func() {
		s := idempotency.NewStore(time.Minute, false)
		other := idempotency.Record{Key: r.Key, Token: idempotency.Token{Incarnation: 2, Sequence: 1}, Response: &idempotency.Response{Status: 200}}
		s.Complete(other, 0)
		second := r
		second.Response = &idempotency.Response{Status: 201}
		held, _ := s.StoreResponse(second, 0)
		Expect(held).To(BeFalse())
		Expect(s.Response(r.Key, r.Token).Status).To(Equal(200))
	})
})
