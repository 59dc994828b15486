// Package days generates random fault scenarios, called days, for the users' bench and parses the reports of the bench.
//
// A day is a list of events at fixed times. The kinds of events and the ranges of their fields are data (days/kinds.toml);
// the limits of a deployment are read from its site file. The package performs no I/O, and equal arguments give equal days.
package days

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Group is the part of a deployment that a kind of event affects.
type Group string

// The groups of events. Core and Operator form the control side.
const (
	Core     Group = "core"
	Edge     Group = "edge"
	Server   Group = "server"
	Client   Group = "client"
	Operator Group = "operator"
)

// Control reports whether the group belongs to the control side.
func (g Group) Control() bool { return g == Core || g == Operator }

var groups = []Group{Core, Edge, Server, Client, Operator}

// Range holds the lowest and the highest value of a field. The zero Range leaves the field out of an event.
type Range [2]float64

func (r Range) valid() bool { return 0 <= r[0] && r[0] <= r[1] }

// Counts holds the lowest and the highest number of affected machines. A bound may be Tolerated.
type Counts [2]int

// Tolerated is a bound of Counts that stands for the number of failed machines that a site tolerates.
const Tolerated = -1

func (c Counts) valid() bool {
	return c[0] >= Tolerated && c[1] >= Tolerated && (c[0] <= c[1] || c[1] == Tolerated)
}

// Kind is a kind of event with the ranges from which its fields are drawn.
type Kind struct {
	Name     string   `toml:"name"`
	Group    Group    `toml:"group"`
	Planned  bool     `toml:"planned"`  // planned maintenance, not a fault
	Contract string   `toml:"contract"` // the contract that must be in force at the site; "" for none
	On       string   `toml:"on"`       // the class of affected machines
	How      []string `toml:"how"`      // variants, one of which is drawn
	Follow   []string `toml:"follow"`   // suffixes that may be appended to the variant
	Weight   int      `toml:"weight"`   // relative frequency; 1 if not given
	Share    Range    `toml:"share"`
	X        Range    `toml:"x"`
	ForS     Range    `toml:"for_s"`
	GapS     Range    `toml:"gap_s"`
	Count    Counts   `toml:"count"`
}

// ClosingKind is a kind of fault at the end of a day, with the range of its duration.
type ClosingKind struct {
	Kind  string   `toml:"kind"`
	How   []string `toml:"how"`
	DownS Range    `toml:"down_s"`
}

// Catalogue lists all kinds of events and closing faults that days are drawn from.
type Catalogue struct {
	Kinds    []Kind        `toml:"kind"`
	Closings []ClosingKind `toml:"closing"`
}

// ParseCatalogue parses a catalogue. It rejects unknown fields, unknown groups and ranges whose minimum exceeds the maximum.
func ParseCatalogue(text []byte) (Catalogue, error) {
	var c Catalogue
	if err := decodeStrictly(text, &c); err != nil {
		return Catalogue{}, err
	}
	for i := range c.Kinds {
		c.Kinds[i].Weight = max(1, c.Kinds[i].Weight)
		if err := c.Kinds[i].check(); err != nil {
			return Catalogue{}, err
		}
	}
	for _, closing := range c.Closings {
		if closing.Kind == "" || !closing.DownS.valid() {
			return Catalogue{}, fmt.Errorf("closing %q: kind is missing or the range is invalid", closing.Kind)
		}
	}
	return c, nil
}

// Without returns a copy of the catalogue that lacks the named kinds.
func (c Catalogue) Without(names ...string) Catalogue {
	named := func(k Kind) bool { return slices.Contains(names, k.Name) }
	c.Kinds = slices.DeleteFunc(slices.Clone(c.Kinds), named)
	return c
}

func (k Kind) check() error {
	switch {
	case k.Name == "":
		return fmt.Errorf("kind has no name")
	case !slices.Contains(groups, k.Group):
		return fmt.Errorf("%s: unknown group %q", k.Name, k.Group)
	case !k.Count.valid() || !k.Share.valid() || !k.X.valid() || !k.ForS.valid() || !k.GapS.valid():
		return fmt.Errorf("%s: range is invalid: the minimum exceeds the maximum", k.Name)
	}
	return nil
}

// UnsupportedKinds returns the names of the kinds in a day that the site doesn't support, because a contract that they need
// isn't in force there. Kinds that aren't in the catalogue count as supported.
func (c Catalogue) UnsupportedKinds(d Day, s Site) []string {
	var unsupported []string
	for _, t := range d.Events() {
		named := func(k Kind) bool { return k.Name == t.Kind }
		supported := func(k Kind) bool { return named(k) && s.Supports(k) }
		if slices.ContainsFunc(c.Kinds, named) && !slices.ContainsFunc(c.Kinds, supported) {
			unsupported = append(unsupported, t.Kind)
		}
	}
	slices.Sort(unsupported)
	return slices.Compact(unsupported)
}

func decodeStrictly(text []byte, target any) error {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(target)
}
