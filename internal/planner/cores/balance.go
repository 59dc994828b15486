package cores

import (
	"cmp"
	"slices"
)

const (
	// rebalanceThreshold is the load difference between two cores that starts rebalancing, as a share of the mean load.
	// Rebalancing stops at rebalanceTarget. This hysteresis, the cooldown after a move and the potential that falls with
	// each move (see planMoves) prevent oscillation. A returning proxy's last core may exceed the mean load by the same share.
	rebalanceThreshold = 0.25
	// rebalanceTarget is the load difference at which rebalancing stops, as a share of the mean load.
	rebalanceTarget = 0.05
	// moveCooldown is the time after a move in which a proxy is not moved again, in milliseconds.
	moveCooldown = 30000.0
)

// cost returns the load that a proxy adds to a core, in units of a mean proxy: half of it is fixed, half is proportional to
// the proxy's rate.
func cost(rate, meanRate float64) float64 {
	if meanRate <= 0 {
		return 1
	}
	return 0.5 + 0.5*rate/meanRate
}

// movableProxy is a candidate for a move.
type movableProxy struct {
	proxy, core, zone int
	cost              float64
	cooledDown        bool // moveCooldown has passed since its last move
}

// proxyMove is the move of a proxy to another core.
type proxyMove struct{ proxy, to int }

// pickCore returns the core for a new proxy: the assignable one with the least cost, where the cost of the proxy's own zone
// is added once more for each zone. This evens out the load and gives every core proxies of every zone.
func pickCore(loads []float64, zoneLoads []float64, zones int, assignable []bool) (core int, found bool) {
	for i := range loads {
		if !assignable[i] {
			continue
		}
		if !found || loads[i]+float64(zones)*zoneLoads[i] < loads[core]+float64(zones)*zoneLoads[core] {
			core, found = i, true
		}
	}
	return core, found
}

// planMoves returns at most limit moves that even out the load. Each moves a proxy from the most to the least loaded core
// whose cost is less than the difference of their loads. The sum of the squares of all loads falls with every move, so no
// sequence of moves can return to an earlier state.
func planMoves(proxies []movableProxy, assignable []bool, limit int) (moves []proxyMove) {
	loads, live, total := make([]float64, len(assignable)), 0.0, 0.0
	for i := range assignable {
		if assignable[i] {
			live++
		}
	}
	for _, candidate := range proxies {
		loads[candidate.core] += candidate.cost
		total += candidate.cost
	}
	if live < 2 {
		return nil
	}
	mean := total / live
	sorted := slices.Clone(proxies)
	slices.SortFunc(sorted, func(a, b movableProxy) int {
		return cmp.Or(cmp.Compare(b.cost, a.cost), cmp.Compare(a.proxy, b.proxy))
	})
	threshold := rebalanceThreshold
	for len(moves) < limit {
		from, to := mostAndLeastLoaded(loads, assignable)
		gap := loads[from] - loads[to]
		if gap <= threshold*mean {
			return moves
		}
		threshold = rebalanceTarget
		best := selectProxy(sorted, from, gap)
		if best < 0 {
			return moves
		}
		candidate := &sorted[best]
		loads[from], loads[to] = loads[from]-candidate.cost, loads[to]+candidate.cost
		candidate.core, candidate.cooledDown = to, false
		moves = append(moves, proxyMove{candidate.proxy, to})
	}
	return moves
}

// mostAndLeastLoaded returns the assignable cores with the largest and the smallest load, and the first of equal ones.
func mostAndLeastLoaded(loads []float64, assignable []bool) (most, least int) {
	most, least = -1, -1
	for i := range assignable {
		if assignable[i] && (most < 0 || loads[i] > loads[most]) {
			most = i
		}
		if assignable[i] && (least < 0 || loads[i] < loads[least]) {
			least = i
		}
	}
	return most, least
}

// roundingMargin is the relative tolerance that excludes a move which would only swap two loads up to rounding.
const roundingMargin = 1e-9

// selectProxy returns the index of the proxy to move away from a core, or -1 if there is none. The list is sorted by
// descending cost. The largest proxy of at most half the gap is preferred, otherwise the smallest that narrows the gap.
func selectProxy(sorted []movableProxy, from int, gap float64) int {
	best := -1
	for i, candidate := range sorted {
		if candidate.core != from || !candidate.cooledDown || candidate.cost >= gap*(1-roundingMargin) {
			continue
		}
		best = i
		if candidate.cost <= gap/2 {
			break
		}
	}
	return best
}
