package idempotency

import (
	"slices"
	"time"
)

// Ruling is the outcome of a claim.
type Ruling uint8

// The rulings.
const (
	Refused Ruling = iota // it could not be decided: the claimer withdraws it
	Stands                // the claimer may run it
	Taken                 // another claim holds the key
)

func (r Ruling) String() string { return [...]string{"refused", "stands", "taken"}[min(r, Taken)] }

// Outcome of a claim.
type Outcome struct {
	Token  Token
	Key    Key
	Ruling Ruling
	Holder Record // of the claim that holds the key
}

// Ask is a claim to be put to a store.
type Ask struct {
	To     string
	Record Record
}

// Coordinator collects verdicts on claims. A claim stands with a majority of the stores, in a joint membership with a
// majority of the former and of the next ones. The coordinator asks its own store and one more first, and the others when
// that is slow or not enough: each asked store costs a sync and bytes between zones.
type Coordinator struct {
	self   string
	voters []string
	next   []string // joint: after the change under way
	order  []string // in which stores are asked
	hedge  time.Duration
	limit  time.Duration
	open   map[Token]*pendingClaim
}

type pendingClaim struct {
	record   Record
	asked    map[string]bool
	verdicts map[string]Verdict
	holder   map[Token]int
	holders  map[Token]Record
	since    time.Duration
	hedged   bool
}

// NewCoordinator makes a coordinator for these stores, its own first. It asks all of them after hedge and gives up after
// limit.
func NewCoordinator(stores []string, hedge, limit time.Duration) *Coordinator {
	c := &Coordinator{hedge: hedge, limit: limit, open: map[Token]*pendingClaim{}}
	if len(stores) > 0 {
		c.self = stores[0]
	}
	c.voters, c.order = slices.Clone(stores), slices.Clone(stores)
	return c
}

// SetStores changes the stores that count: voters, and during a change also next. Grants stay; what was asked of a store
// that knew a newer membership is asked again.
func (c *Coordinator) SetStores(self string, voters, next []string) (asks []Ask, done []Outcome) {
	c.self, c.voters, c.next = self, slices.Clone(voters), slices.Clone(next)
	all := slices.Concat(voters, next)
	slices.Sort(all)
	all = slices.Compact(all)
	at := max(0, slices.Index(all, self))
	c.order = slices.Concat(all[at:], all[:at])
	for _, p := range c.sorted() {
		asks = append(asks, c.askAgain(p)...)
		more, out := c.judge(p)
		asks = append(asks, more...)
		if out != nil {
			done = append(done, *out)
		}
	}
	return asks, done
}

// askAgain puts a claim once more to the stores that knew a newer membership than the one it was put under.
func (c *Coordinator) askAgain(p *pendingClaim) (asks []Ask) {
	for _, id := range c.order {
		if p.verdicts[id] == Behind {
			delete(p.verdicts, id)
			asks = append(asks, Ask{id, p.record})
		}
	}
	return asks
}

// sorted are the open claims, oldest first.
func (c *Coordinator) sorted() []*pendingClaim {
	all := make([]*pendingClaim, 0, len(c.open))
	for _, p := range c.open {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pendingClaim) int {
		if a.since != b.since {
			return int(a.since - b.since)
		}
		return compareTokens(a.record.Token, b.record.Token)
	})
	return all
}

func compareTokens(a, b Token) int {
	switch {
	case a.Life != b.Life && a.Life < b.Life, a.Life == b.Life && a.N < b.N:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// Open starts a claim.
func (c *Coordinator) Open(r Record, now time.Duration) []Ask {
	if c.open[r.Token] != nil || len(c.voters) == 0 {
		return nil
	}
	p := &pendingClaim{record: r, asked: map[string]bool{}, verdicts: map[string]Verdict{}, holder: map[Token]int{},
		holders: map[Token]Record{}, since: now}
	c.open[r.Token] = p
	if len(c.next) > 0 {
		return c.askUpTo(p, len(c.order))
	}
	return c.askUpTo(p, quorum(c.voters))
}

func quorum(stores []string) int { return len(stores)/2 + 1 }

// askUpTo asks further stores until so many of those that count were asked.
func (c *Coordinator) askUpTo(p *pendingClaim, count int) (asks []Ask) {
	asked := c.asked(p)
	for _, id := range c.order {
		if asked >= count {
			break
		}
		if !p.asked[id] {
			p.asked[id] = true
			asked++
			asks = append(asks, Ask{id, p.record})
		}
	}
	return asks
}

// asked is how many of the stores that count were asked.
func (c *Coordinator) asked(p *pendingClaim) (count int) {
	for _, id := range c.order {
		if p.asked[id] {
			count++
		}
	}
	return count
}

// Verdict takes a store's verdict.
func (c *Coordinator) Verdict(from string, token Token, v Verdict, holder Record, now time.Duration) (asks []Ask, done *Outcome) {
	p := c.open[token]
	if p == nil {
		return nil, nil
	}
	if _, twice := p.verdicts[from]; twice {
		return nil, nil
	}
	p.verdicts[from] = v
	if v == Held {
		p.holder[holder.Token]++
		p.holders[holder.Token] = holder
	}
	return c.judge(p)
}

// tally is how far a claim has come in one set of stores.
type tally struct {
	quorum, granted, pending, open int
}

func (c *Coordinator) tally(p *pendingClaim, stores []string) tally {
	t := tally{quorum: quorum(stores)}
	for _, id := range stores {
		v, said := p.verdicts[id]
		switch {
		case said && v == Granted:
			t.granted++
		case !said || v == Behind: // asked again once the membership is known here
			t.open++
			if p.asked[id] {
				t.pending++
			}
		}
	}
	return t
}

func (t tally) stands() bool     { return t.granted >= t.quorum }
func (t tally) impossible() bool { return t.granted+t.open < t.quorum }
func (t tally) short() bool      { return t.granted+t.pending < t.quorum }

func (c *Coordinator) judge(p *pendingClaim) (asks []Ask, done *Outcome) {
	sets := []tally{c.tally(p, c.voters)}
	if len(c.next) > 0 {
		sets = append(sets, c.tally(p, c.next))
	}
	all := func(is func(tally) bool) bool {
		return !slices.ContainsFunc(sets, func(t tally) bool { return !is(t) })
	}
	switch {
	case all(tally.stands):
		return nil, c.close(p, Outcome{Ruling: Stands})
	case slices.ContainsFunc(sets, tally.impossible):
		return nil, c.close(p, c.lost(p))
	case slices.ContainsFunc(sets, tally.short):
		return c.askUpTo(p, c.asked(p)+c.missing(sets)), nil
	}
	return nil, nil
}

// missing is how many more stores have to be asked; all of them during a change.
func (c *Coordinator) missing(sets []tally) int {
	if len(sets) > 1 {
		return len(c.order)
	}
	return sets[0].quorum - sets[0].granted - sets[0].pending
}

// lost is the outcome of a claim that can't stand any more.
func (c *Coordinator) lost(p *pendingClaim) Outcome {
	if len(p.holder) == 0 {
		return Outcome{Ruling: Refused}
	}
	best := Token{}
	for t, n := range p.holder {
		if n > p.holder[best] || n == p.holder[best] && compareTokens(t, best) < 0 {
			best = t
		}
	}
	return Outcome{Ruling: Taken, Holder: p.holders[best]}
}

func (c *Coordinator) close(p *pendingClaim, out Outcome) *Outcome {
	out.Token, out.Key = p.record.Token, p.record.Key
	delete(c.open, p.record.Token)
	return &out
}

// Forget takes back what a store granted to claims that are still open: its disk was lost.
func (c *Coordinator) Forget(from string) (done []Outcome) {
	for _, p := range c.sorted() {
		if p.verdicts[from] != Granted {
			continue
		}
		p.verdicts[from] = Unable
		if _, out := c.judge(p); out != nil {
			done = append(done, *out)
		}
	}
	return done
}

// Tick asks further stores where the first are slow, and gives up on what takes too long.
func (c *Coordinator) Tick(now time.Duration) (asks []Ask, done []Outcome) {
	for _, p := range c.sorted() {
		if now-p.since > c.limit {
			done = append(done, *c.close(p, Outcome{Ruling: Refused}))
			continue
		}
		asks = append(asks, c.askAgain(p)...)
		if !p.hedged && now-p.since > c.hedge {
			p.hedged = true
			asks = append(asks, c.askUpTo(p, len(c.order))...)
		}
	}
	return asks, done
}

// Busy tells whether claims are open, for callers that set timers.
func (c *Coordinator) Busy() bool { return len(c.open) > 0 }
