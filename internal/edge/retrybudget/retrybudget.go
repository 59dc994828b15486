// Package retrybudget bounds further tries. The budget is one for the whole fleet and every sliding window; each edge
// spends only what it has earned itself: a share of the requests that it took, and at most a small purse that starts empty.
// So a restart refills nothing, an edge that joins brings nothing, and the sum needs nobody's agreement.
package retrybudget

// earnShare is the part of the allowed ratio that is spent: the rest covers tries that a server counts and we don't.
const earnShare = 0.6

// Meter is one edge's purse for one service.
type Meter struct {
	earn  float64
	purse float64
	most  float64
}

// New makes a retry budget for a fleet-wide ratio and slack. Edges is how many share the slack; 0: not known yet.
func New(ratio, slack float64, edges int) *Meter {
	m := &Meter{earn: ratio * earnShare}
	m.Share(slack, edges)
	return m
}

// Share sets the most that the purse holds: half of the slack, dealt to all edges and as many more.
func (m *Meter) Share(slack float64, edges int) {
	if edges <= 0 {
		m.most = min(1, slack/2)
	} else {
		m.most = max(1, slack/2/float64(2*edges))
	}
	m.purse = min(m.purse, m.most)
}

// Request counts a request that was taken.
func (m *Meter) Request() { m.purse = min(m.most, m.purse+m.earn) }

// Spend takes one further try out of the purse; if keep is set, only where another one is left in a purse that holds two.
func (m *Meter) Spend(keep bool) bool {
	if m.purse < 1 || keep && m.most >= 2 && m.purse < 2 {
		return false
	}
	m.purse--
	return true
}

// Back returns a try that reached no server.
func (m *Meter) Back() { m.purse = min(m.most, m.purse+1) }
