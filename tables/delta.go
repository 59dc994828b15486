package tables

import (
	"errors"
	"fmt"
	"math"
)

// Update carries a version to a receiver: whole, or as what differs from the version before.
type Update struct {
	Version
	Whole   bool
	Base    uint64             // the number that it builds on; 0 if whole
	From    Digest             // of the base; empty if whole
	To      Digest             // of the table that results
	Weights map[string]float32 // 0 removes
	Shut    []string
	Open    []string // shut out no more
	Gates   map[string]Gate
	NoGates []string // gates that are gone
}

// The reasons for which an update isn't applied.
var (
	ErrOrigin = errors.New("of another origin")
	ErrProxy  = errors.New("for another proxy")
	ErrOld    = errors.New("of a version that was overtaken")
	ErrGap    = errors.New("builds on a version that is not held")
	ErrDigest = errors.New("does not come to the digest that it states")
	ErrValue  = errors.New("a value that no table has")
)

// Whole is the update that carries a table as it is.
func Whole(t Table, v Version, key Key) Update {
	u := Update{Version: v, Whole: true, To: t.Digest(v, key), Weights: t.Clone().Weights, Gates: t.Clone().Gates}
	for name := range t.Shut {
		u.Shut = append(u.Shut, name)
	}
	return u
}

// Between is the update that takes a receiver from a table to the one that follows it.
func Between(from, to Table, v Version, key Key) Update {
	base := v
	base.Number--
	u := Update{Version: v, Base: base.Number, From: from.Digest(base, key), To: to.Digest(v, key),
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
	for name := range to.Shut {
		if !from.Shut[name] {
			u.Shut = append(u.Shut, name)
		}
	}
	for name := range from.Shut {
		if !to.Shut[name] {
			u.Open = append(u.Open, name)
		}
	}
	for class, g := range to.Gates {
		if was, held := from.Gates[class]; !held || was != g {
			u.Gates[class] = g
		}
	}
	for class := range from.Gates {
		if _, still := to.Gates[class]; !still {
			u.NoGates = append(u.NoGates, class)
		}
	}
	return u
}

// apply returns the table that an update makes of the one given. It checks values and the digest that results, not whether
// the update's base is the table given: that is the receiver's to know.
func (u Update) apply(t Table, key Key) (Table, error) {
	if next := New(); u.Whole {
		t = next
	} else {
		t = t.Clone()
	}
	for name, weight := range u.Weights {
		switch {
		case !(weight >= 0) || math.IsInf(float64(weight), 0) || u.Whole && weight == 0:
			return Table{}, fmt.Errorf("%w: weight %v", ErrValue, weight)
		case weight == 0:
			delete(t.Weights, name)
		default:
			t.Weights[name] = weight
		}
	}
	for _, name := range u.Shut {
		t.Shut[name] = true
	}
	for _, name := range u.Open {
		delete(t.Shut, name)
	}
	for class, g := range u.Gates {
		if !(g.Level >= 0) || math.IsInf(float64(g.Level), 0) || g.Again > 3 {
			return Table{}, fmt.Errorf("%w: gate %+v", ErrValue, g)
		}
		t.Gates[class] = g
	}
	for _, class := range u.NoGates {
		delete(t.Gates, class)
	}
	if t.Digest(u.Version, key) != u.To {
		return Table{}, ErrDigest
	}
	return t, nil
}
