package cores

import (
	"cmp"
	"slices"
)

const (
	// unevenFrom is how far a core must lie over the mean before proxies are moved, as a share of the mean, and evenTo how
	// far moving goes on. Between them nothing happens: that, the rest after a move and the fall of a potential with each
	// move (see moves) are why it can't flap.
	unevenFrom = 0.25
	evenTo     = 0.05
	// moveRest is how long a proxy that was moved stays where it is.
	moveRest = 30000.0
)

// cost is what a proxy takes of a core: half by its number, half by its traffic, in units of a mean proxy.
func cost(rate, meanRate float64) float64 {
	if meanRate <= 0 {
		return 1
	}
	return 0.5 + 0.5*rate/meanRate
}

// movableProxy is a proxy that may be moved.
type movableProxy struct {
	proxy, core, zone int
	cost              float64
	rested            bool // it may be moved again
}

// move sends a proxy to another core.
type move struct{ proxy, to int }

// pick chooses the core for a newcomer: the one with the least cost, where what it has of the newcomer's zone counts
// as often as there are zones. So cores come out even, and each sees proxies of every zone.
func pick(loads []float64, zoneLoads []float64, zones int, open []bool) (core int, found bool) {
	for i := range loads {
		if !open[i] {
			continue
		}
		if !found || loads[i]+float64(zones)*zoneLoads[i] < loads[core]+float64(zones)*zoneLoads[core] {
			core, found = i, true
		}
	}
	return core, found
}

// planMoves evens out the cores by at most so many moves. Each goes from the fullest core to the emptiest and takes a proxy
// whose cost is less than the difference of the two, so that the sum of the squares of all loads falls with every move:
// no series of moves can lead back to where it began.
func planMoves(list []movableProxy, open []bool, limit int) (out []move) {
	loads, live, total := make([]float64, len(open)), 0.0, 0.0
	for i := range open {
		if open[i] {
			live++
		}
	}
	for _, s := range list {
		loads[s.core] += s.cost
		total += s.cost
	}
	if live < 2 {
		return nil
	}
	mean := total / live
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b movableProxy) int {
		return cmp.Or(cmp.Compare(b.cost, a.cost), cmp.Compare(a.proxy, b.proxy))
	})
	bound := unevenFrom
	for len(out) < limit {
		from, to := fullestAndEmptiest(loads, open)
		gap := loads[from] - loads[to]
		if gap <= bound*mean {
			return out
		}
		bound = evenTo
		best := movable(sorted, from, gap)
		if best < 0 {
			return out
		}
		s := &sorted[best]
		loads[from], loads[to] = loads[from]-s.cost, loads[to]+s.cost
		s.core, s.rested = to, false
		out = append(out, move{s.proxy, to})
	}
	return out
}

// fullestAndEmptiest are the open cores with the largest and the smallest load, the first of equal ones.
func fullestAndEmptiest(loads []float64, open []bool) (fullest, emptiest int) {
	fullest, emptiest = -1, -1
	for i := range open {
		if open[i] && (fullest < 0 || loads[i] > loads[fullest]) {
			fullest = i
		}
		if open[i] && (emptiest < 0 || loads[i] < loads[emptiest]) {
			emptiest = i
		}
	}
	return fullest, emptiest
}

// roundingMargin keeps a move that would only swap two loads, but for rounding, from being made.
const roundingMargin = 1e-9

// movable finds the proxy to take from a core, in a list by falling cost: the largest that at most halves the gap, else the
// smallest that narrows it; -1 if there is none.
func movable(sorted []movableProxy, from int, gap float64) int {
	best := -1
	for i, s := range sorted {
		if s.core != from || !s.rested || s.cost >= gap*(1-roundingMargin) {
			continue
		}
		best = i
		if s.cost <= gap/2 {
			break
		}
	}
	return best
}
