// Package retrybudget bounds retries. The budget is one for the whole fleet and every sliding window; each edge spends only
// what it has earned itself: a share of the requests that it accepted, in a token bucket that is small and starts empty. So
// a restart refills nothing, an edge that joins brings nothing, and the sum needs no agreement.
package retrybudget

// earnShare is the part of the allowed ratio that is earned: the rest covers attempts that a server counts and an edge
// doesn't.
const earnShare = 0.6

// Budget is one edge's budget for one service: a token bucket of retries.
type Budget struct {
	earnPerRequest float64
	tokens         float64
	limit          float64 // of tokens
}

// New makes an empty budget for a fleet that may make ratio retries a request, and slack more in any window. Edges is how
// many edges share the slack; 0: not known yet.
func New(ratio, slack float64, edges int) *Budget {
	b := &Budget{earnPerRequest: ratio * earnShare}
	b.SetShare(slack, edges)
	return b
}

// SetShare sets the limit of tokens: half of the slack, divided among the edges and as many that may join.
func (b *Budget) SetShare(slack float64, edges int) {
	if edges <= 0 {
		b.limit = min(1, slack/2)
	} else {
		b.limit = max(1, slack/2/float64(2*edges))
	}
	b.tokens = min(b.tokens, b.limit)
}

// Earn adds what a request earns.
func (b *Budget) Earn() { b.tokens = min(b.limit, b.tokens+b.earnPerRequest) }

// Spend takes out one retry, and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SpendUnlessLast takes out one retry only where another one remains, in a budget that can hold two: the last is kept for
// others.
func (b *Budget) SpendUnlessLast() bool {
	if b.limit >= 2 && b.tokens < 2 {
		return false
	}
	return b.Spend()
}

// Refund returns a retry that reached no server.
func (b *Budget) Refund() { b.tokens = min(b.limit, b.tokens+1) }
