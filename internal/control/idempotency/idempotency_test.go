package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// Claims race over three claim stores while messages are lost and late, claimers give up, and claim stores lose
// their disks, as many at once as are borne. Whatever happens, two claims of a key never both stand.
var _ = Describe("ledgers and offices together", func() {
	It("never let two claims of a key stand", func() {
		for seed := range uint64(4000) {
			if w := newWorld(seed, 3, 1); !w.play() {
				Fail(fmt.Sprintf("seed %d: two claims stand", seed))
			}
			if w := newWorld(seed, 5, 2); !w.play() {
				Fail(fmt.Sprintf("seed %d, five ledgers: two claims stand", seed))
			}
		}
	})
})

type message struct {
	at  int
	do  func()
	via string // the claim store it came from or goes to, with its life
	age int
}

type world struct {
	rng          *rand.Rand
	names        []string
	stores       map[string]*idempotency.Store
	lives        map[string]int
	coordinators map[string]*idempotency.Coordinator
	copies       map[string]map[string]bool
	mail         []message
	step         int
	stands       map[idempotency.Token]bool
	alive        map[idempotency.Token]bool // not given up by its claimer
	key          idempotency.Key
	lost         int // disks that may be lost at once
}

func newWorld(seed uint64, stores, lost int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), names: []string{"a", "b", "c", "d", "e"}[:stores], stores: map[string]*idempotency.Store{}, lives: map[string]int{},
		coordinators: map[string]*idempotency.Coordinator{}, copies: map[string]map[string]bool{}, stands: map[idempotency.Token]bool{},
		alive: map[idempotency.Token]bool{}, key: idempotency.KeyOf("t", "k"), lost: lost}
	for i, n := range w.names {
		w.stores[n] = idempotency.NewStore(time.Hour, false)
		w.coordinators[n] = idempotency.NewCoordinator(append(append([]string{}, w.names[i:]...), w.names[:i]...), 5, 60)
	}
	return w
}

func (w *world) now() time.Duration { return time.Duration(w.step) }

// send delivers later, or never; a message to or from a life that is over is lost with its connection.
func (w *world) send(peer string, do func()) {
	if w.rng.IntN(12) == 0 {
		return
	}
	w.mail = append(w.mail, message{at: w.step + 1 + w.rng.IntN(8), do: do, via: peer, age: w.lives[peer]})
}

func (w *world) asks(coordinator string, asks []idempotency.Ask) {
	for _, a := range asks {
		life := w.lives[coordinator]
		w.send(a.To, func() {
			v, holder, store := w.stores[a.To].Claim(a.Record, w.now())
			if store && !w.stores[a.To].Stored(a.Record.Key, a.Record.Token) {
				v = idempotency.Unable
			}
			w.send(a.To, func() {
				if w.lives[coordinator] != life {
					return
				}
				more, done := w.coordinators[coordinator].Verdict(a.To, a.Record.Token, v, holder, w.now())
				w.asks(coordinator, more)
				if done != nil {
					w.ruled(*done)
				}
			})
		})
	}
}

func (w *world) ruled(o idempotency.Outcome) {
	if o.Ruling == idempotency.Stands && w.alive[o.Token] {
		w.stands[o.Token] = true
		return
	}
	w.withdraw(o.Token)
}

func (w *world) withdraw(t idempotency.Token) {
	if w.stands[t] || !w.alive[t] {
		return
	}
	w.alive[t] = false
	for _, n := range w.names {
		w.send(n, func() { w.stores[n].Void(w.key, t, w.now()) })
	}
}

// wipe ends a claim store's life and its disk; its coordinator ends with it, the others hear of the new life before it copies.
func (w *world) wipe(n string) {
	w.lives[n]++
	w.stores[n] = idempotency.NewStore(time.Hour, true)
	w.copies[n] = map[string]bool{}
	for _, o := range w.names {
		if o != n {
			for _, done := range w.coordinators[o].Forget(n) {
				w.ruled(done)
			}
			life := w.lives[n]
			w.mail = append(w.mail, message{at: w.step + 1 + w.rng.IntN(6), via: o, age: w.lives[o], do: func() {
				if w.stores[o].Blank() {
					return // it knows nothing itself
				}
				var all []idempotency.Record
				w.stores[o].Each(func(r idempotency.Record) { all = append(all, r) })
				w.mail = append(w.mail, message{at: w.step + 1 + w.rng.IntN(6), via: n, age: life, do: func() {
					for _, r := range all {
						w.stores[n].Copy(r, w.now())
					}
					if w.copies[n][o] = true; len(w.copies[n]) >= len(w.names)-w.lost {
						w.stores[n].Restored()
					}
				}})
			}})
		}
	}
	i := slices.Index(w.names, n)
	w.coordinators[n] = idempotency.NewCoordinator(append(append([]string{}, w.names[i:]...), w.names[:i]...), 5, 60)
}

func (w *world) play() bool {
	next := uint64(0)
	for w.step = 1; w.step < 160; w.step++ {
		if w.rng.IntN(10) == 0 {
			next++
			at := w.names[w.rng.IntN(len(w.names))]
			t := token(next)
			w.alive[t] = true
			w.asks(at, w.coordinators[at].Open(idempotency.Record{Key: w.key, Token: t, Home: at}, w.now()))
		}
		if w.rng.IntN(40) == 0 && next > 0 {
			w.withdraw(token(1 + w.rng.Uint64N(next)))
		}
		restored := true
		for _, s := range w.stores {
			restored = restored && !s.Blank()
		}
		if w.rng.IntN(25) == 0 && restored {
			for _, i := range w.rng.Perm(len(w.names))[:1+w.rng.IntN(w.lost)] {
				w.wipe(w.names[i])
			}
		}
		for _, n := range w.names {
			asks, done := w.coordinators[n].Tick(w.now())
			w.asks(n, asks)
			for _, o := range done {
				w.ruled(o)
			}
		}
		mail := w.mail
		w.mail = nil
		for _, m := range mail {
			switch {
			case m.at > w.step:
				w.mail = append(w.mail, m)
			case w.lives[m.via] == m.age:
				m.do()
			}
		}
		if len(w.stands) > 1 {
			return false
		}
	}
	return true
}
