package idempotency

import (
	"slices"
	"time"
)

// Outcome is the outcome of a claim.
type Outcome uint8

// The rulings.
const (
	OutcomeUndecided Outcome = iota // it could not be decided: the claimer withdraws it
	OutcomeGranted                  // the claimer may run it
	OutcomeConflict                 // another claim holds the key
)

func (r Outcome) String() string {
	return [...]string{"refused", "stands", "taken"}[min(r, OutcomeConflict)]
}

// Result of a claim.
type Result struct {
	Token   Token
	Key     Key
	Outcome Outcome
	Holder  Record // of the claim that holds the key
}

// GrantRequest is a claim to be put to a store.
type GrantRequest struct {
	To     string
	Record Record
}

// Coordinator collects verdicts on claims. A claim stands with a majority of the stores, in a joint membership with a
// majority of the former and of the next ones. The coordinator asks its own store and one more first, and the others when
// that is slow or not enough: each asked store costs a sync and bytes between zones.
type Coordinator struct {
	self         string
	voters       []string
	next         []string // joint: after the change under way
	requestOrder []string // in which stores are asked
	hedgeDelay   time.Duration
	timeout      time.Duration
	pending      map[Token]*pendingClaim
}

type pendingClaim struct {
	record       Record
	requested    map[string]bool
	replies      map[string]GrantReply
	holderCounts map[Token]int
	holders      map[Token]Record
	startedAt    time.Duration
	hedged       bool
}

// NewCoordinator makes a coordinator for these stores, its own first. It asks all of them after hedge and gives up after
// limit.
func NewCoordinator(stores []string, hedgeDelay, timeout time.Duration) *Coordinator {
	c := &Coordinator{hedgeDelay: hedgeDelay, timeout: timeout, pending: map[Token]*pendingClaim{}}
	if len(stores) > 0 {
		c.self = stores[0]
	}
	c.voters, c.requestOrder = slices.Clone(stores), slices.Clone(stores)
	return c
}

// SetStores changes the stores that count: voters, and during a change also next. Grants stay; what was asked of a store
// that knew a newer membership is asked again.
func (c *Coordinator) SetStores(self string, voters, next []string) (requests []GrantRequest, results []Result) {
	c.self, c.voters, c.next = self, slices.Clone(voters), slices.Clone(next)
	all := slices.Concat(voters, next)
	slices.Sort(all)
	all = slices.Compact(all)
	at := max(0, slices.Index(all, self))
	c.requestOrder = slices.Concat(all[at:], all[:at])
	for _, p := range c.oldestFirst() {
		requests = append(requests, c.retryStale(p)...)
		more, result := c.evaluate(p)
		requests = append(requests, more...)
		if result != nil {
			results = append(results, *result)
		}
	}
	return requests, results
}

// retryStale puts a claim once more to the stores that knew a newer membership than the one it was put under.
func (c *Coordinator) retryStale(p *pendingClaim) (requests []GrantRequest) {
	for _, id := range c.requestOrder {
		if p.replies[id] == ReplyStaleEpoch {
			delete(p.replies, id)
			requests = append(requests, GrantRequest{id, p.record})
		}
	}
	return requests
}

// oldestFirst are the open claims, oldest first.
func (c *Coordinator) oldestFirst() []*pendingClaim {
	all := make([]*pendingClaim, 0, len(c.pending))
	for _, p := range c.pending {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pendingClaim) int {
		if a.startedAt != b.startedAt {
			return int(a.startedAt - b.startedAt)
		}
		return compareTokens(a.record.Token, b.record.Token)
	})
	return all
}

func compareTokens(a, b Token) int {
	switch {
	case a.Incarnation != b.Incarnation && a.Incarnation < b.Incarnation, a.Incarnation == b.Incarnation && a.Sequence < b.Sequence:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// Start starts a claim.
func (c *Coordinator) Start(r Record, now time.Duration) []GrantRequest {
	if c.pending[r.Token] != nil || len(c.voters) == 0 {
		return nil
	}
	p := &pendingClaim{record: r, requested: map[string]bool{}, replies: map[string]GrantReply{}, holderCounts: map[Token]int{},
		holders: map[Token]Record{}, startedAt: now}
	c.pending[r.Token] = p
	if len(c.next) > 0 {
		return c.requestUpTo(p, len(c.requestOrder))
	}
	return c.requestUpTo(p, quorum(c.voters))
}

func quorum(stores []string) int { return len(stores)/2 + 1 }

// requestUpTo asks further stores until so many of those that count were asked.
func (c *Coordinator) requestUpTo(p *pendingClaim, count int) (requests []GrantRequest) {
	requested := c.requestedCount(p)
	for _, id := range c.requestOrder {
		if requested >= count {
			break
		}
		if !p.requested[id] {
			p.requested[id] = true
			requested++
			requests = append(requests, GrantRequest{id, p.record})
		}
	}
	return requests
}

// requestedCount is how many of the stores that count were asked.
func (c *Coordinator) requestedCount(p *pendingClaim) (count int) {
	for _, id := range c.requestOrder {
		if p.requested[id] {
			count++
		}
	}
	return count
}

// HandleReply takes a store's verdict.
func (c *Coordinator) HandleReply(from string, token Token, reply GrantReply, holder Record, now time.Duration) (requests []GrantRequest, result *Result) {
	p := c.pending[token]
	if p == nil {
		return nil, nil
	}
	if _, duplicate := p.replies[from]; duplicate {
		return nil, nil
	}
	p.replies[from] = reply
	if reply == ReplyConflict {
		p.holderCounts[holder.Token]++
		p.holders[holder.Token] = holder
	}
	return c.evaluate(p)
}

// tally is how far a claim has come in one set of stores.
type tally struct {
	quorum, granted, inFlight, undecided int
}

func (c *Coordinator) tally(p *pendingClaim, stores []string) tally {
	t := tally{quorum: quorum(stores)}
	for _, id := range stores {
		reply, replied := p.replies[id]
		switch {
		case replied && reply == ReplyGranted:
			t.granted++
		case !replied || reply == ReplyStaleEpoch: // asked again once the membership is known here
			t.undecided++
			if p.requested[id] {
				t.inFlight++
			}
		}
	}
	return t
}

func (t tally) succeeded() bool { return t.granted >= t.quorum }
func (t tally) failed() bool    { return t.granted+t.undecided < t.quorum }
func (t tally) needsMore() bool { return t.granted+t.inFlight < t.quorum }

func (c *Coordinator) evaluate(p *pendingClaim) (requests []GrantRequest, result *Result) {
	sets := []tally{c.tally(p, c.voters)}
	if len(c.next) > 0 {
		sets = append(sets, c.tally(p, c.next))
	}
	inAllSets := func(is func(tally) bool) bool {
		return !slices.ContainsFunc(sets, func(t tally) bool { return !is(t) })
	}
	switch {
	case inAllSets(tally.succeeded):
		return nil, c.finish(p, Result{Outcome: OutcomeGranted})
	case slices.ContainsFunc(sets, tally.failed):
		return nil, c.finish(p, c.failureResult(p))
	case slices.ContainsFunc(sets, tally.needsMore):
		return c.requestUpTo(p, c.requestedCount(p)+c.missingGrants(sets)), nil
	}
	return nil, nil
}

// missingGrants is how many more stores have to be asked; all of them during a change.
func (c *Coordinator) missingGrants(sets []tally) int {
	if len(sets) > 1 {
		return len(c.requestOrder)
	}
	return sets[0].quorum - sets[0].granted - sets[0].inFlight
}

// failureResult is the outcome of a claim that can't stand any more.
func (c *Coordinator) failureResult(p *pendingClaim) Result {
	if len(p.holderCounts) == 0 {
		return Result{Outcome: OutcomeUndecided}
	}
	best := Token{}
	for t, n := range p.holderCounts {
		if n > p.holderCounts[best] || n == p.holderCounts[best] && compareTokens(t, best) < 0 {
			best = t
		}
	}
	return Result{Outcome: OutcomeConflict, Holder: p.holders[best]}
}

func (c *Coordinator) finish(p *pendingClaim, result Result) *Result {
	result.Token, result.Key = p.record.Token, p.record.Key
	delete(c.pending, p.record.Token)
	return &result
}

// ForgetGrants takes back what a store granted to claims that are still open: its disk was lost.
func (c *Coordinator) ForgetGrants(from string) (results []Result) {
	for _, p := range c.oldestFirst() {
		if p.replies[from] != ReplyGranted {
			continue
		}
		p.replies[from] = ReplyUnavailable
		if _, result := c.evaluate(p); result != nil {
			results = append(results, *result)
		}
	}
	return results
}

// Tick asks further stores where the first are slow, and gives up on what takes too long.
func (c *Coordinator) Tick(now time.Duration) (requests []GrantRequest, results []Result) {
	for _, p := range c.oldestFirst() {
		if now-p.startedAt > c.timeout {
			results = append(results, *c.finish(p, Result{Outcome: OutcomeUndecided}))
			continue
		}
		requests = append(requests, c.retryStale(p)...)
		if !p.hedged && now-p.startedAt > c.hedgeDelay {
			p.hedged = true
			requests = append(requests, c.requestUpTo(p, len(c.requestOrder))...)
		}
	}
	return requests, results
}

// HasPending tells whether claims are open, for callers that set timers.
func (c *Coordinator) HasPending() bool { return len(c.pending) > 0 }
