// Package retrybudget limits retries. The limit applies to the whole fleet in any sliding window. Each edge has a token bucket
// that is small, starts empty and is filled only by the requests that the edge accepted. Neither a restart nor an edge that
// joins adds tokens, so the sum stays within the limit without coordination.
package retrybudget

// earnShare is the fraction of the allowed ratio that an edge earns. The rest covers attempts that a server counts and an
// edge doesn't.
const earnShare = 0.6

// Budget is the token bucket of one edge for one service. Each retry costs one token. It is not safe for concurrent use.
type Budget struct {
	earnPerRequest float64
	tokens         float64
	limit          float64 // maximum number of tokens
}

// New returns an empty budget for a fleet that may make ratio retries per request, and slack more retries in any window.
// edges is the number of edges that share the slack, or 0 if it is not known yet.
func New(ratio, slack float64, edges int) *Budget {
	b := &Budget{earnPerRequest: ratio * earnShare}
	b.SetShare(slack, edges)
	return b
}

// SetShare sets the maximum number of tokens: half of the slack, divided by twice the number of edges to allow for edges that
// join, but at least 1. While the number of edges is not known (0), it is half of the slack, but at most 1.
func (b *Budget) SetShare(slack float64, edges int) {
	if edges <= 0 {
		b.limit = min(1, slack/2)
	} else {
		b.limit = max(1, slack/2/float64(2*edges))
	}
	b.tokens = min(b.tokens, b.limit)
}

// Earn adds the tokens for one accepted request.
func (b *Budget) Earn() { b.tokens = min(b.limit, b.tokens+b.earnPerRequest) }

// Spend takes one token for a retry and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SpendUnlessLast is like Spend, but in a budget that can hold two tokens it takes one only if another remains, so that the
// last token is kept for other callers.
func (b *Budget) SpendUnlessLast() bool {
	if b.limit >= 2 && b.tokens < 2 {
		return false
	}
	return b.Spend()
}

// Refund returns the token of a retry that reached no server.
func (b *Budget) Refund() { b.tokens = min(b.limit, b.tokens+1) }
