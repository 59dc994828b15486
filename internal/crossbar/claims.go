package crossbar

import (
	"sync"
	"time"

	"mulleinwood/internal/ticket"
	"mulleinwood/internal/trunk"
)

// claims are those that this edge has asked for and not heard of.
type claims struct {
	mu   sync.Mutex
	next uint64
	open map[ticket.Token]*claim
}

type claim struct {
	record ticket.Record
	done   chan trunk.Ruling
}

// claim asks for the right to run a key's operation. Without a clear answer in time it is withdrawn: nothing was run
// under it, and nothing ever will be.
func (c *Crossbar) claim(key ticket.Key, limit time.Duration) (ticket.Token, trunk.Ruling) {
	k := &c.claims
	k.mu.Lock()
	k.next++
	r := ticket.Record{Key: key, Token: ticket.Token{Life: c.life, N: k.next}}
	one := &claim{record: r, done: make(chan trunk.Ruling, 1)}
	k.open[r.Token] = one
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.open, r.Token)
		k.mu.Unlock()
	}()
	c.home.send(&trunk.Frame{Claims: []ticket.Record{r}})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case ruling := <-one.done:
		if ruling.Ruling != ticket.Stands {
			c.withdraw(r.Key, r.Token)
		}
		return r.Token, ruling
	case <-timer.C:
		c.withdraw(r.Key, r.Token)
		return r.Token, trunk.Ruling{Token: r.Token, Ruling: ticket.Refused}
	}
}

// withdraw voids a claim under which nothing was run.
func (c *Crossbar) withdraw(key ticket.Key, token ticket.Token) {
	c.home.send(&trunk.Frame{Voids: []ticket.Record{{Key: key, Token: token}}})
}

// finish has the answer of a claim's run kept, for repeats.
func (c *Crossbar) finish(key ticket.Key, token ticket.Token, a *ticket.Answer) {
	c.home.send(&trunk.Frame{Done: []ticket.Record{{Key: key, Token: token, Answer: a}}})
}

func (k *claims) ruled(r trunk.Ruling) {
	k.mu.Lock()
	one := k.open[r.Token]
	delete(k.open, r.Token) // what is decided is not asked again, of whoever
	k.mu.Unlock()
	if one != nil {
		one.done <- r // it has room for the one ruling
	}
}

// again puts open claims to a new home: the former may have died with them.
func (k *claims) again(c *Crossbar) {
	k.mu.Lock()
	var all []ticket.Record
	for _, one := range k.open {
		all = append(all, one.record)
	}
	k.mu.Unlock()
	if len(all) > 0 {
		c.home.send(&trunk.Frame{Claims: all})
	}
}
