package proxy

import (
	"slices"
	"sync"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/platform/peer"
)

// claims are those that this edge has asked for and not heard of.
type claims struct {
	mu    sync.Mutex
	next  uint64
	open  map[idempotency.Token]*claim
	kept  []keptAnswer // of the last window, oldest first: a controller that loses its disk is given them again
	size  int          // bytes of their bodies
	voids []keptAnswer // claims that were withdrawn lately
}

// voidFor is how long a withdrawal is repeated: as long as a core that lost power takes to be back.
const voidFor = 4 * time.Second

type keptAnswer struct {
	at     time.Duration
	record idempotency.Record
}

// keptMost bounds the memory that kept answers take: an edge has a small machine.
const keptMost = 8 << 20

type claim struct {
	record idempotency.Record
	asked  int // controllers that were asked and have not ruled
	done   chan peer.Ruling
}

// claimHedge is how long the controller has before another is asked, too: it may have died, and a cut is heard
// only by its silence.
const claimHedge = 60 * time.Millisecond

// claim asks for the right to run a key's operation. If no controller can be reached early, or none answers clearly in
// time, it is withdrawn: nothing was run under it, and nothing ever will be.
func (c *Proxy) claim(key idempotency.Key, early, limit time.Duration) (idempotency.Token, peer.Ruling) {
	k := &c.claims
	k.mu.Lock()
	k.next++
	r := idempotency.Record{Key: key, Token: idempotency.Token{Life: c.life, N: k.next}}
	one := &claim{record: r, done: make(chan peer.Ruling, 1)}
	k.open[r.Token] = one
	k.mu.Unlock()
	hedge := claimHedge
	if !k.put(c.controller.send, one) {
		hedge = 0
	}
	second := time.AfterFunc(hedge, func() { k.put(c.controller.sendElsewhere(c), one) })
	defer second.Stop()
	defer func() {
		k.mu.Lock()
		delete(k.open, r.Token)
		k.mu.Unlock()
	}()
	began := c.now()
	timer := time.NewTimer(min(early, limit))
	defer timer.Stop()
	for {
		select {
		case ruling := <-one.done:
			if ruling.Ruling != idempotency.Stands {
				c.withdraw(r.Key, r.Token)
			}
			return r.Token, ruling
		case <-c.ending:
			c.withdraw(r.Key, r.Token)
			return r.Token, peer.Ruling{Token: r.Token, Ruling: idempotency.Refused}
		case <-timer.C:
			if gone := c.now() - began; gone < limit && c.controller.reaches() {
				timer.Reset(limit - gone) // somebody is at it
				continue
			}
			c.withdraw(r.Key, r.Token)
			return r.Token, peer.Ruling{Token: r.Token, Ruling: idempotency.Refused}
		}
	}
}

// withdraw voids a claim under which nothing was run. It is said again for a while: a core that could not rule on the
// claim may not hear of its end either, and whoever holds it would turn away the client's next try.
func (c *Proxy) withdraw(key idempotency.Key, token idempotency.Token) {
	r := idempotency.Record{Key: key, Token: token}
	c.controller.sendBoth(&peer.Frame{Voids: []idempotency.Record{r}})
	c.claims.mu.Lock()
	defer c.claims.mu.Unlock()
	c.claims.voids = append(c.claims.voids, keptAnswer{c.now(), r})
}

// sayAgain repeats what was withdrawn lately.
func (k *claims) sayAgain(c *Proxy) {
	k.mu.Lock()
	now := c.now()
	k.voids = slices.DeleteFunc(k.voids, func(v keptAnswer) bool { return now-v.at > voidFor })
	f := &peer.Frame{}
	for _, v := range k.voids {
		f.Voids = append(f.Voids, v.record)
	}
	k.mu.Unlock()
	if len(f.Voids) > 0 {
		c.controller.sendBoth(f)
	}
}

// finish has the answer of a claim's run kept, for repeats.
func (c *Proxy) finish(key idempotency.Key, token idempotency.Token, a *idempotency.Answer) {
	r := idempotency.Record{Key: key, Token: token, Answer: a}
	c.controller.send(&peer.Frame{Done: []idempotency.Record{r}})
	k, now, window := &c.claims, c.now(), c.set.Seconds("key_window_s", 60)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept, k.size = append(k.kept, keptAnswer{now, r}), k.size+len(a.Body)
	n := 0
	for ; n < len(k.kept) && (now-k.kept[n].at > window || k.size > keptMost); n++ {
		k.size -= len(k.kept[n].record.Answer.Body)
	}
	if n > 0 {
		k.kept = slices.Delete(k.kept, 0, n)
	}
}

// restore gives a controller whose disk came back empty the answers that this edge still holds.
func (k *claims) restore(link *peer.Link) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f := &peer.Frame{}
	for i, a := range k.kept {
		if f.Done = append(f.Done, a.record); len(f.Done) == 100 || i == len(k.kept)-1 {
			link.Send(f)
			f = &peer.Frame{}
		}
	}
}

// put asks one controller more, unless the claim is decided.
func (k *claims) put(send func(*peer.Frame) bool, one *claim) bool {
	k.mu.Lock()
	if k.open[one.record.Token] == nil {
		k.mu.Unlock()
		return true
	}
	one.asked++
	k.mu.Unlock()
	if send(&peer.Frame{Claims: []idempotency.Record{one.record}}) {
		return true
	}
	k.mu.Lock()
	one.asked--
	k.mu.Unlock()
	return false
}

// ruled takes a controller's word. That one could not decide it matters only once no other is asked: the first to decide
// is believed, and then nobody is asked again.
func (k *claims) ruled(r peer.Ruling) {
	k.mu.Lock()
	defer k.mu.Unlock()
	one := k.open[r.Token]
	if one == nil {
		return
	}
	one.asked--
	if r.Ruling == idempotency.Refused && one.asked > 0 {
		return
	}
	delete(k.open, r.Token)
	one.done <- r // it has room for the one ruling
}

// again puts open claims to a new controller: the former may have died with them.
func (k *claims) again(c *Proxy) {
	k.sayAgain(c)
	k.mu.Lock()
	var all []*claim
	for _, one := range k.open {
		all = append(all, one)
	}
	k.mu.Unlock()
	for _, one := range all {
		k.put(c.controller.send, one)
	}
}
