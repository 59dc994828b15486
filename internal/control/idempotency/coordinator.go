package idempotency

import "time"

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

// Ask is a claim to be put to a claim store.
type Ask struct {
	To     string
	Record Record
}

// Coordinator collects verdicts on claims. It asks its own claim store and one more first, and the others when that is slow or
// not enough: each asked claim store costs a sync and bytes between zones.
type Coordinator struct {
	members []string // its own first, then in the order in which they are asked
	hedge   time.Duration
	limit   time.Duration
	open    map[Token]*opened
}

type opened struct {
	record   Record
	asked    int
	verdicts map[string]Verdict
	holder   map[Token]int
	holders  map[Token]Record
	since    time.Duration
	hedged   bool
}

// NewCoordinator makes a coordinator for these claim stores, its own first.
func NewCoordinator(members []string, hedge, limit time.Duration) *Coordinator {
	return &Coordinator{members: members, hedge: hedge, limit: limit, open: map[Token]*opened{}}
}

func (c *Coordinator) quorum() int { return len(c.members)/2 + 1 }

// Open starts a claim.
func (c *Coordinator) Open(r Record, now time.Duration) []Ask {
	if c.open[r.Token] != nil {
		return nil
	}
	one := &opened{record: r, verdicts: map[string]Verdict{}, holder: map[Token]int{}, holders: map[Token]Record{}, since: now}
	c.open[r.Token] = one
	return c.ask(one, c.quorum())
}

func (c *Coordinator) ask(one *opened, upTo int) (asks []Ask) {
	for ; one.asked < min(upTo, len(c.members)); one.asked++ {
		asks = append(asks, Ask{c.members[one.asked], one.record})
	}
	return asks
}

// Verdict takes a claim store's verdict.
func (c *Coordinator) Verdict(from string, token Token, v Verdict, holder Record, now time.Duration) (asks []Ask, done *Outcome) {
	one := c.open[token]
	if one == nil {
		return nil, nil
	}
	if _, twice := one.verdicts[from]; twice {
		return nil, nil
	}
	one.verdicts[from] = v
	if v == Held {
		one.holder[holder.Token]++
		one.holders[holder.Token] = holder
	}
	return c.judge(one)
}

func (c *Coordinator) judge(one *opened) (asks []Ask, done *Outcome) {
	granted, held := 0, 0
	for _, v := range one.verdicts {
		switch v {
		case Granted:
			granted++
		case Held:
			held++
		}
	}
	open := len(c.members) - len(one.verdicts)
	switch {
	case granted >= c.quorum():
		return nil, c.close(one, Outcome{Ruling: Stands})
	case granted+open < c.quorum() && held > 0:
		best := Token{}
		for t, n := range one.holder {
			if n > one.holder[best] || n == one.holder[best] && (t.Life < best.Life || t.Life == best.Life && t.N < best.N) {
				best = t
			}
		}
		return nil, c.close(one, Outcome{Ruling: Taken, Holder: one.holders[best]})
	case granted+open < c.quorum():
		return nil, c.close(one, Outcome{Ruling: Refused})
	}
	pending := one.asked - len(one.verdicts)
	if granted+pending < c.quorum() {
		return c.ask(one, one.asked+c.quorum()-granted-pending), nil
	}
	return nil, nil
}

func (c *Coordinator) close(one *opened, out Outcome) *Outcome {
	out.Token, out.Key = one.record.Token, one.record.Key
	delete(c.open, one.record.Token)
	return &out
}

// Forget takes back what a claim store granted to claims that are still open: it began a new life, perhaps without its disk.
func (c *Coordinator) Forget(from string) (done []Outcome) {
	for _, one := range c.open {
		if one.verdicts[from] != Granted {
			continue
		}
		one.verdicts[from] = Unable
		if _, out := c.judge(one); out != nil {
			done = append(done, *out)
		}
	}
	return done
}

// Tick asks further claim stores where the first are slow, and gives up on what takes too long.
func (c *Coordinator) Tick(now time.Duration) (asks []Ask, done []Outcome) {
	for _, one := range c.open {
		if now-one.since > c.limit {
			done = append(done, *c.close(one, Outcome{Ruling: Refused}))
		} else if !one.hedged && now-one.since > c.hedge {
			one.hedged = true
			asks = append(asks, c.ask(one, len(c.members))...)
		}
	}
	return asks, done
}

// Busy tells whether claims are open, for callers that set timers.
func (c *Coordinator) Busy() bool { return len(c.open) > 0 }
