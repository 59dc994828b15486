// Package retrybudget bounds further tries. The budget is one for the whole fleet and every sliding window; each edge
// spends only what it has earned itself: a share of the requests that it took, and at most a small budget that starts empty.
// So a restart refills nothing, an edge that joins brings nothing, and the sum needs nobody's agreement.
package retrybudget

// earnShare is the part of the allowed ratio that is spent: the rest covers tries that a server counts and we don't.
const earnShare = 0.6

// Budget is one edge's budget for one service.
type Budget struct {
	earnPerRequest float64
	tokens         float64
	limit          float64
}

// New makes a retry budget for a fleet-wide ratio and slack. Edges is how many share the slack; 0: not known yet.
func New(ratio, slack float64, edges int) *Budget {
	b := &Budget{earnPerRequest: ratio * earnShare}
	b.SetShare(slack, edges)
	return b
}

// SetShare sets the most that the budget holds: half of the slack, dealt to all edges and as many more.
func (b *Budget) SetShare(slack float64, edges int) {
	if edges <= 0 {
		b.limit = min(1, slack/2)
	} else {
		b.limit = max(1, slack/2/float64(2*edges))
	}
	b.tokens = min(b.tokens, b.limit)
}

// Earn counts a request that was taken.
func (b *Budget) Earn() { b.tokens = min(b.limit, b.tokens+b.earnPerRequest) }

// Spend takes one further try out of the budget; if keep is set, only where another one is left in a budget that holds two.
func (b *Budget) Spend(keepOne bool) bool {
	if b.tokens < 1 || keepOne && b.limit >= 2 && b.tokens < 2 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a try that reached no server.
func (b *Budget) Refund() { b.tokens = min(b.limit, b.tokens+1) }
