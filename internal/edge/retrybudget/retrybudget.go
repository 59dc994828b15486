// Package retrybudget bounds further tries. The budget is one for the whole fleet and every sliding window; each edge
// spends only what it has earned itself: a share of the requests that it took, and at most a small budget that starts empty.
// So a restart refills nothing, an edge that joins brings nothing, and the sum needs nobody's agreement.
package retrybudget

// earnShare is the part of the allowed ratio that is spent: the rest covers tries that a server counts and we don't.
const earnShare = 0.6

// Budget is one edge's budget for one service.
type Budget struct {
	earn   float64
	budget float64
	most   float64
}

// New makes a retry budget for a fleet-wide ratio and slack. Edges is how many share the slack; 0: not known yet.
func New(ratio, slack float64, edges int) *Budget {
	b := &Budget{earn: ratio * earnShare}
	b.Share(slack, edges)
	return b
}

// Share sets the most that the budget holds: half of the slack, dealt to all edges and as many more.
func (b *Budget) Share(slack float64, edges int) {
	if edges <= 0 {
		b.most = min(1, slack/2)
	} else {
		b.most = max(1, slack/2/float64(2*edges))
	}
	b.budget = min(b.budget, b.most)
}

// Request counts a request that was taken.
func (b *Budget) Request() { b.budget = min(b.most, b.budget+b.earn) }

// Spend takes one further try out of the budget; if keep is set, only where another one is left in a budget that holds two.
func (b *Budget) Spend(keep bool) bool {
	if b.budget < 1 || keep && b.most >= 2 && b.budget < 2 {
		return false
	}
	b.budget--
	return true
}

// Back returns a try that reached no server.
func (b *Budget) Back() { b.budget = min(b.most, b.budget+1) }
