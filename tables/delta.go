package tables

import (
	"errors"
	"fmt"
	"math"
)

// Update carries a version to a receiver, as a snapshot or as a delta to the version before.
type Update struct {
	Version
	Snapshot     bool
	Base         uint64             // number of the version that a delta builds on; 0 in a snapshot
	BaseDigest   Digest             // of the base; zero in a snapshot
	ResultDigest Digest             // of the resulting table
	Weights      map[string]float32 // by server; 0 removes the server
	Excluded     []string
	Readmitted   []string // servers that are no longer excluded
	Gates        map[string]Gate
	RemovedGates []string // classes whose gates are removed
}

// The reasons for which Receiver.Apply rejects an update.
var (
	ErrOriginMismatch = errors.New("update is of another origin")
	ErrProxyMismatch  = errors.New("update is for another proxy")
	ErrStale          = errors.New("update is older than the table held")
	ErrMissingBase    = errors.New("base of the update is not held")
	ErrDigestMismatch = errors.New("resulting table does not match the digest of the update")
	ErrInvalidValue   = errors.New("update contains an invalid value")
)

// Snapshot returns the update that carries a complete table.
func Snapshot(t Table, v Version, key Key) Update {
	u := Update{Version: v, Snapshot: true, ResultDigest: t.Digest(v, key), Weights: t.Clone().Weights, Gates: t.Clone().Gates}
	for name := range t.Excluded {
		u.Excluded = append(u.Excluded, name)
	}
	return u
}

// Delta returns the update that changes a receiver's table from one version to the next. Version v is that of the table to.
func Delta(from, to Table, v Version, key Key) Update {
	base := v
	base.Number--
	u := Update{Version: v, Base: base.Number, BaseDigest: from.Digest(base, key), ResultDigest: to.Digest(v, key),
		Weights: map[string]float32{}, Gates: map[string]Gate{}}
	for name, weight := range to.Weights {
		if previous, held := from.Weights[name]; !held || previous != weight {
			u.Weights[name] = weight
		}
	}
	for name := range from.Weights {
		if _, kept := to.Weights[name]; !kept {
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
		if previous, held := from.Gates[class]; !held || previous != g {
			u.Gates[class] = g
		}
	}
	for class := range from.Gates {
		if _, kept := to.Gates[class]; !kept {
			u.RemovedGates = append(u.RemovedGates, class)
		}
	}
	return u
}

// apply returns the result of applying the update to t, which isn't changed. It checks the values and the resulting digest.
// It doesn't check that t is the update's base: the receiver does.
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
