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

// Ask is a claim to be put to a ledger.
type Ask struct {
	To     string
	Record Record
}

// Office collects verdicts on claims. It asks its own ledger and one more first, and the others when that is slow or
// not enough: each asked ledger costs a sync and bytes between zones.
type Office struct {
	members []string // its own first, then in the order in which they are asked
	hurry   time.Duration
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
	hurried  bool
}

// NewOffice makes an office for these ledgers, its own first.
func NewOffice(members []string, hurry, limit time.Duration) *Office {
	return &Office{members: members, hurry: hurry, limit: limit, open: map[Token]*opened{}}
}

func (o *Office) quorum() int { return len(o.members)/2 + 1 }

// Open starts a claim.
func (o *Office) Open(r Record, now time.Duration) []Ask {
	if o.open[r.Token] != nil {
		return nil
	}
	c := &opened{record: r, verdicts: map[string]Verdict{}, holder: map[Token]int{}, holders: map[Token]Record{}, since: now}
	o.open[r.Token] = c
	return o.ask(c, o.quorum())
}

func (o *Office) ask(c *opened, upTo int) (asks []Ask) {
	for ; c.asked < min(upTo, len(o.members)); c.asked++ {
		asks = append(asks, Ask{o.members[c.asked], c.record})
	}
	return asks
}

// Verdict takes a ledger's verdict.
func (o *Office) Verdict(from string, token Token, v Verdict, holder Record, now time.Duration) (asks []Ask, done *Outcome) {
	c := o.open[token]
	if c == nil {
		return nil, nil
	}
	if _, twice := c.verdicts[from]; twice {
		return nil, nil
	}
	c.verdicts[from] = v
	if v == Held {
		c.holder[holder.Token]++
		c.holders[holder.Token] = holder
	}
	return o.judge(c)
}

func (o *Office) judge(c *opened) (asks []Ask, done *Outcome) {
	granted, held := 0, 0
	for _, v := range c.verdicts {
		switch v {
		case Granted:
			granted++
		case Held:
			held++
		}
	}
	open := len(o.members) - len(c.verdicts)
	switch {
	case granted >= o.quorum():
		return nil, o.close(c, Outcome{Ruling: Stands})
	case granted+open < o.quorum() && held > 0:
		best := Token{}
		for t, n := range c.holder {
			if n > c.holder[best] || n == c.holder[best] && (t.Life < best.Life || t.Life == best.Life && t.N < best.N) {
				best = t
			}
		}
		return nil, o.close(c, Outcome{Ruling: Taken, Holder: c.holders[best]})
	case granted+open < o.quorum():
		return nil, o.close(c, Outcome{Ruling: Refused})
	}
	pending := c.asked - len(c.verdicts)
	if granted+pending < o.quorum() {
		return o.ask(c, c.asked+o.quorum()-granted-pending), nil
	}
	return nil, nil
}

func (o *Office) close(c *opened, out Outcome) *Outcome {
	out.Token, out.Key = c.record.Token, c.record.Key
	delete(o.open, c.record.Token)
	return &out
}

// Forget takes back what a ledger granted to claims that are still open: it began a new life, perhaps without its disk.
func (o *Office) Forget(from string) (done []Outcome) {
	for _, c := range o.open {
		if c.verdicts[from] != Granted {
			continue
		}
		c.verdicts[from] = Unable
		if _, out := o.judge(c); out != nil {
			done = append(done, *out)
		}
	}
	return done
}

// Tick asks further ledgers where the first are slow, and gives up on what takes too long.
func (o *Office) Tick(now time.Duration) (asks []Ask, done []Outcome) {
	for _, c := range o.open {
		if now-c.since > o.limit {
			done = append(done, *o.close(c, Outcome{Ruling: Refused}))
		} else if !c.hurried && now-c.since > o.hurry {
			c.hurried = true
			asks = append(asks, o.ask(c, len(o.members))...)
		}
	}
	return asks, done
}

// Busy tells whether claims are open, for callers that set timers.
func (o *Office) Busy() bool { return len(o.open) > 0 }
