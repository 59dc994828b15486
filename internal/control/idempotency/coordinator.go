package idempotency

import (
	"cmp"
	"slices"
	"time"
)

// Outcome of a claim. The numbers are sent between processes.
type Outcome uint8

// The outcomes.
const (
	OutcomeUndecided Outcome = iota // not known in time: the claimant revokes the claim
	OutcomeGranted                  // the claimant may run the operation
	OutcomeConflict                 // another claim holds the key
)

// String is the outcome's name in metrics. The names are those of the first version, since dashboards read them.
func (o Outcome) String() string {
	return [...]string{"refused", "stands", "taken"}[min(o, OutcomeConflict)]
}

// Result is the end of a claim.
type Result struct {
	Token   Token
	Key     Key
	Outcome Outcome
	Holder  Record // with OutcomeConflict: the claim that holds the key
}

// GrantRequest is a claim that is to be put to a store.
type GrantRequest struct {
	To     string // identity of the replica
	Record Record
}

// Coordinator collects grants for claims. It asks its own store and as many others as make a majority first, and the rest
// when those are slow or not enough: each store that is asked costs a sync and bytes between zones. While the membership is
// joint it asks all at once.
type Coordinator struct {
	self         string
	voters       []string
	next         []string // joint: the voters after the change under way
	requestOrder []string // of voters and next, its own first
	hedgeDelay   time.Duration
	timeout      time.Duration
	pending      map[Token]*pendingClaim
}

type pendingClaim struct {
	record       Record
	requested    map[string]bool
	replies      map[string]GrantReply
	holderCounts map[Token]int // stores that named a claim as holder of the key
	holders      map[Token]Record
	startedAt    time.Duration
	hedged       bool // all stores were asked
}

// NewCoordinator makes a coordinator for these stores, its own first. A claim asks all of them after hedgeDelay, and is
// undecided after timeout.
func NewCoordinator(stores []string, hedgeDelay, timeout time.Duration) *Coordinator {
	c := &Coordinator{hedgeDelay: hedgeDelay, timeout: timeout, pending: map[Token]*pendingClaim{}}
	if len(stores) > 0 {
		c.self = stores[0]
	}
	c.voters, c.requestOrder = slices.Clone(stores), slices.Clone(stores)
	return c
}

// SetStores changes the stores that count: voters, and during a change also next. Grants stay; stores that knew a newer
// membership are asked again.
func (c *Coordinator) SetStores(self string, voters, next []string) (requests []GrantRequest, results []Result) {
	c.self, c.voters, c.next = self, slices.Clone(voters), slices.Clone(next)
	all := slices.Concat(voters, next)
	slices.Sort(all)
	all = slices.Compact(all)
	own := max(0, slices.Index(all, self))
	c.requestOrder = slices.Concat(all[own:], all[:own])
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

// retryStale asks again the stores that knew a newer membership than the one under which they were asked.
func (c *Coordinator) retryStale(p *pendingClaim) (requests []GrantRequest) {
	for _, id := range c.requestOrder {
		if p.replies[id] == ReplyStaleEpoch {
			delete(p.replies, id)
			requests = append(requests, GrantRequest{id, p.record})
		}
	}
	return requests
}

// oldestFirst lists the pending claims in a fixed order, so that the same events have the same outcome.
func (c *Coordinator) oldestFirst() []*pendingClaim {
	all := make([]*pendingClaim, 0, len(c.pending))
	for _, p := range c.pending {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pendingClaim) int {
		return cmp.Or(cmp.Compare(a.startedAt, b.startedAt), compareTokens(a.record.Token, b.record.Token))
	})
	return all
}

func compareTokens(a, b Token) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence))
}

// Start begins to collect grants for a claim. A claim that is pending already goes on as it was.
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

// requestUpTo asks further stores until count of those that matter were asked.
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

// requestedCount is how many of the stores that matter were asked.
func (c *Coordinator) requestedCount(p *pendingClaim) (count int) {
	for _, id := range c.requestOrder {
		if p.requested[id] {
			count++
		}
	}
	return count
}

// HandleReply takes a store's reply; holder counts with ReplyConflict. The first reply of a store is the one that counts.
func (c *Coordinator) HandleReply(from string, token Token, reply GrantReply, holder Record) (requests []GrantRequest,
	result *Result) {
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
	quorum    int
	granted   int
	undecided int // stores that may still grant it
	inFlight  int // of these, the ones that were asked
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

// evaluate ends a claim that is granted or can't be any more, and asks further stores where those that were asked are not
// enough.
func (c *Coordinator) evaluate(p *pendingClaim) (requests []GrantRequest, result *Result) {
	sets := []tally{c.tally(p, c.voters)}
	if len(c.next) > 0 {
		sets = append(sets, c.tally(p, c.next))
	}
	notSucceeded := func(t tally) bool { return !t.succeeded() }
	switch {
	case !slices.ContainsFunc(sets, notSucceeded):
		return nil, c.finish(p, Result{Outcome: OutcomeGranted})
	case slices.ContainsFunc(sets, tally.failed):
		return nil, c.finish(p, failureResult(p))
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

// failureResult is the end of a claim that can't be granted any more: a conflict with the claim that most stores named.
func failureResult(p *pendingClaim) Result {
	if len(p.holderCounts) == 0 {
		return Result{Outcome: OutcomeUndecided}
	}
	best := Token{}
	for token, count := range p.holderCounts {
		if count > p.holderCounts[best] || count == p.holderCounts[best] && compareTokens(token, best) < 0 {
			best = token
		}
	}
	return Result{Outcome: OutcomeConflict, Holder: p.holders[best]}
}

func (c *Coordinator) finish(p *pendingClaim, result Result) *Result {
	result.Token, result.Key = p.record.Token, p.record.Key
	delete(c.pending, p.record.Token)
	return &result
}

// DiscardGrants takes back what a store granted to pending claims: its disk was lost, or it counts for nothing any more.
func (c *Coordinator) DiscardGrants(from string) (results []Result) {
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

// Tick asks further stores where the first are slow, and gives up on claims that take too long.
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

// HasPending reports whether any claim is pending, for callers that set timers.
func (c *Coordinator) HasPending() bool { return len(c.pending) > 0 }
