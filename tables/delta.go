package tables

import (
	"errors"
	"fmt"
	"math"
)

// Update carries a version to a receiver: whole, or as what differs from the version before.
type Update struct {
	Version
	Snapshot     bool
	Base         uint64             // the number that it builds on; 0 if whole
	BaseDigest   Digest             // of the base; empty if whole
	ResultDigest Digest             // of the table that results
	Weights      map[string]float32 // 0 removes
	Excluded     []string
	Readmitted   []string // shut out no more
	Gates        map[string]Gate
	RemovedGates []string // gates that are gone
}

// The reasons for which an update isn't applied.
var (
	ErrOriginMismatch = errors.New("of another origin")
	ErrProxyMismatch  = errors.New("for another proxy")
	ErrStale          = errors.New("of a version that was overtaken")
	ErrMissingBase    = errors.New("builds on a version that is not held")
	ErrDigestMismatch = errors.New("does not come to the digest that it states")
	ErrInvalidValue   = errors.New("a value that no table has")
)

// Snapshot is the update that carries a table as it is.
func Snapshot(t Table, v Version, key Key) Update {
	u := Update{Version: v, Snapshot: true, ResultDigest: t.Digest(v, key), Weights: t.Clone().Weights, Gates: t.Clone().Gates}
	for name := range t.Excluded {
		u.Excluded = append(u.Excluded, name)
	}
	return u
}

// Delta is the update that takes a receiver from a table to the one that follows it.
func Delta(from, to Table, v Version, key Key) Update {
	base := v
	base.Number--
	u := Update{Version: v, Base: base.Number, BaseDigest: from.Digest(base, key), ResultDigest: to.Digest(v, key),
		Weights: map[string]float32{}, Gates: map[string]Gate{}}
	for name, weight := range to.Weights {
		if was, held := from.Weights[name]; !held || was != weight {
			u.Weights[name] = weight
		}
	}
	for name := range from.Weights {
		if _, still := to.Weights[name]; !still {
			u.Weights[name] = 0
		}
	}
	for name := range to.Excluded {
		if !from.Excluded[name] {
			u.Excluded = append(u.Excluded, name)
		}
	}
	for name := range from.Excluded {
		if !to.Excluded[name] {
			u.Readmitted = append(u.Readmitted, name)
		}
	}
	for class, g := range to.Gates {
		if was, held := from.Gates[class]; !held || was != g {
			u.Gates[class] = g
		}
	}
	for class := range from.Gates {
		if _, still := to.Gates[class]; !still {
			u.RemovedGates = append(u.RemovedGates, class)
		}
	}
	return u
}

// apply returns the table that an update makes of the one given. It checks values and the digest that results, not whether
// the update's base is the table given: that is the receiver's to know.
func (u Update) apply(t Table, key Key) (Table, error) {
	if next := New(); u.Snapshot {
		t = next
	} else {
		t = t.Clone()
	}
	for name, weight := range u.Weights {
		switch {
		case !(weight >= 0) || math.IsInf(float64(weight), 0) || u.Snapshot && weight == 0:
			return Table{}, fmt.Errorf("%w: weight %v", ErrInvalidValue, weight)
		case weight == 0:
			delete(t.Weights, name)
		default:
			t.Weights[name] = weight
		}
	}
	for _, name := range u.Excluded {
		t.Excluded[name] = true
	}
	for _, name := range u.Readmitted {
		delete(t.Excluded, name)
	}
	for class, g := range u.Gates {
		if !(g.Level >= 0) || math.IsInf(float64(g.Level), 0) || g.Again > 3 {
			return Table{}, fmt.Errorf("%w: gate %+v", ErrInvalidValue, g)
		}
		t.Gates[class] = g
	}
	for _, class := range u.RemovedGates {
		delete(t.Gates, class)
	}
	if t.Digest(u.Version, key) != u.ResultDigest {
		return Table{}, ErrDigestMismatch
	}
	return t, nil
}
