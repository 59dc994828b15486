package idempotency

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is the outcome of a claim. Its numbers are part of the protocol between processes.
type Outcome uint8

// The outcomes of a claim.
const (
	OutcomeUndecided Outcome = iota // timed out or can't be granted, without a known holder; the claimant revokes the claim
	OutcomeGranted                  // the claimant may run the operation
	OutcomeConflict                 // another claim holds the key
)

// String returns the outcome's label in metrics. The labels are those of the first release, because dashboards use them.
func (o Outcome) String() string {
	return [...]string{"refused", "stands", "taken"}[min(o, OutcomeConflict)]
}

// Result is the final result of a claim.
type Result struct {
	Token   Token
	Key     Key
	Outcome Outcome
	Holder  Record // the claim that holds the key; set with OutcomeConflict only
	// HolderGranted is set if a majority of the stores granted the holder's claim. Otherwise it may be a claim that was left
	// behind at a minority, while another claim of the key ran.
	HolderGranted bool
}

// GrantRequest is a claim to be sent to a store.
type GrantRequest struct {
	To     string // identity of the replica that holds the store
	Record Record
}

// Coordinator collects grants for claims, and in the same way the confirmations of responses: a store grants a record once it
// holds it durably. It first sends requests to its own store and to as many others as form a majority,
// and to the remaining stores if those are slow or don't suffice: each request costs a disk sync and traffic between zones.
// While the membership is joint it sends requests to all stores at once. It is not safe for concurrent use.
type Coordinator struct {
	self         string
	voters       []string
	next         []string // voters after the change in progress; empty if the membership is not joint
	requestOrder []string // all stores of voters and next, the own store first
	hedgeDelay   time.Duration
	timeout      time.Duration
	pending      map[Token]*pendingClaim
}

type pendingClaim struct {
	record       Record
	requested    map[string]bool
	replies      map[string]GrantReply
	holderCounts map[Token]int // number of stores that reported the claim as the holder of the key
	grantCounts  map[Token]int // number of those that granted it themselves
	holders      map[Token]Record
	startedAt    time.Duration
	hedged       bool // requests to all stores were sent after hedgeDelay
}

// NewCoordinator returns a coordinator for the given stores; the first is its own. After hedgeDelay a pending claim is sent to
// all stores, and after timeout it ends with OutcomeUndecided.
func NewCoordinator(stores []string, hedgeDelay, timeout time.Duration) *Coordinator {
	c := &Coordinator{hedgeDelay: hedgeDelay, timeout: timeout, pending: map[Token]*pendingClaim{}}
	if len(stores) > 0 {
		c.self = stores[0]
	}
	c.voters, c.requestOrder = slices.Clone(stores), slices.Clone(stores)
	return c
}

// SetStores sets the stores whose grants count: voters and, during a membership change, also next. Grants received earlier
// remain; requests are repeated to stores that replied ReplyStaleEpoch.
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

// retryStale repeats the request to the stores that rejected it with ReplyStaleEpoch.
func (c *Coordinator) retryStale(p *pendingClaim) (requests []GrantRequest) {
	for _, id := range c.requestOrder {
		if p.replies[id] == ReplyStaleEpoch {
			delete(p.replies, id)
			requests = append(requests, GrantRequest{id, p.record})
		}
	}
	return requests
}

// oldestFirst returns the pending claims in a fixed order, so that the same events always have the same results.
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

// Start begins to collect grants for a claim. It does nothing for a claim that is already pending or while no voters are set.
func (c *Coordinator) Start(r Record, now time.Duration) []GrantRequest {
	if c.pending[r.Token] != nil || len(c.voters) == 0 {
		return nil
	}
	p := &pendingClaim{record: r, requested: map[string]bool{}, replies: map[string]GrantReply{}, holderCounts: map[Token]int{},
		grantCounts: map[Token]int{}, holders: map[Token]Record{}, startedAt: now}
	c.pending[r.Token] = p
	if len(c.next) > 0 {
		return c.requestUpTo(p, len(c.requestOrder))
	}
	return c.requestUpTo(p, quorum(c.voters))
}

func quorum(stores []string) int { return len(stores)/2 + 1 }

// requestUpTo sends requests to further stores until count stores of requestOrder have received one.
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

// requestedCount returns the number of stores in requestOrder to which a request was sent.
func (c *Coordinator) requestedCount(p *pendingClaim) (count int) {
	for _, id := range c.requestOrder {
		if p.requested[id] {
			count++
		}
	}
	return count
}

// HandleReply processes a store's reply; holder is used with ReplyConflict only. Later replies of the same store are ignored.
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
		if !holder.Imported {
			p.grantCounts[holder.Token]++
		}
		p.holders[holder.Token] = holder
	}
	return c.evaluate(p)
}

// tally counts the replies to a claim in one set of stores.
type tally struct {
	quorum    int
	granted   int
	undecided int // stores that may still grant the claim
	inFlight  int // undecided stores to which a request was sent
}

func (c *Coordinator) tally(p *pendingClaim, stores []string) tally {
	t := tally{quorum: quorum(stores)}
	for _, id := range stores {
		reply, replied := p.replies[id]
		switch {
		case replied && reply == ReplyGranted:
			t.granted++
		case !replied || reply == ReplyStaleEpoch: // a stale request is repeated after SetStores
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

// evaluate finishes a claim that is granted or can no longer be granted. Otherwise it returns requests to further stores if
// the requests in flight can't complete a quorum.
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
		return nil, c.finish(p, c.failureResult(p))
	case slices.ContainsFunc(sets, tally.needsMore):
		return c.requestUpTo(p, c.requestedCount(p)+c.missingGrants(sets)), nil
	}
	return nil, nil
}

// missingGrants returns how many more stores need a request. During a membership change that is all stores.
func (c *Coordinator) missingGrants(sets []tally) int {
	if len(sets) > 1 {
		return len(c.requestOrder)
	}
	return sets[0].quorum - sets[0].granted - sets[0].inFlight
}

// failureResult returns the result of a claim that can no longer be granted: a conflict with the holder that most stores
// reported, or OutcomeUndecided if no store reported one.
func (c *Coordinator) failureResult(p *pendingClaim) Result {
	if len(p.holderCounts) == 0 {
		return Result{Outcome: OutcomeUndecided}
	}
	best := Token{}
	for token, count := range p.holderCounts {
		if count > p.holderCounts[best] || count == p.holderCounts[best] && compareTokens(token, best) < 0 {
			best = token
		}
	}
	return Result{Outcome: OutcomeConflict, Holder: p.holders[best],
		HolderGranted: p.grantCounts[best] >= quorum(c.voters)}
}

func (c *Coordinator) finish(p *pendingClaim, result Result) *Result {
	result.Token, result.Key = p.record.Token, p.record.Key
	delete(c.pending, p.record.Token)
	return &result
}

// DiscardGrants discards a store's grants of pending claims, because its disk was lost or it is no longer a voter.
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

// Tick sends requests to all stores for claims older than the hedge delay, and ends claims older than the timeout.
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

// HasPending reports whether any claim is pending. Callers use it to set timers.
func (c *Coordinator) HasPending() bool { return len(c.pending) > 0 }
