// Package days draws days of trouble for the users' bench, and reads what the bench said of the days it played.
//
// A day is a list of troubles at set times. The kinds of trouble and the ranges of their fields are data (days/kinds.toml);
// what a deployment can take is read from its site file. The package does no input or output of its own, and equal
// arguments give equal days.
package days

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Group says which part of a deployment a kind of trouble strikes.
type Group string

// The groups of trouble. Core and operator together are the control side.
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

// Range holds the lowest and the highest value of a field. The zero range leaves the field out of a trouble.
type Range [2]float64

func (r Range) valid() bool { return 0 <= r[0] && r[0] <= r[1] }

// Counts holds the lowest and the highest number of things struck; Tolerated stands for what the site bears the loss of.
type Counts [2]int

// Tolerated is, as a bound of Counts, the number of machines that a site bears the loss of.
const Tolerated = -1

func (c Counts) valid() bool {
	return c[0] >= Tolerated && c[1] >= Tolerated && (c[0] <= c[1] || c[1] == Tolerated)
}

// Kind is a kind of trouble with the ranges that its fields are drawn from.
type Kind struct {
	Name     string   `toml:"name"`
	Group    Group    `toml:"group"`
	Planned  bool     `toml:"planned"`  // planned work, not a fault
	Contract string   `toml:"contract"` // the part of the rules that must be in force; "" for none
	On       string   `toml:"on"`       // the class of machines
	How      []string `toml:"how"`      // variants, one of which is drawn
	Follow   []string `toml:"follow"`   // words that may stand after the variant
	Weight   int      `toml:"weight"`   // how often it is drawn, 1 if not given
	Share    Range    `toml:"share"`
	X        Range    `toml:"x"`
	ForS     Range    `toml:"for_s"`
	GapS     Range    `toml:"gap_s"`
	Count    Counts   `toml:"count"`
}

// ClosingKind is a way in which a day can close.
type ClosingKind struct {
	Kind  string   `toml:"kind"`
	How   []string `toml:"how"`
	DownS Range    `toml:"down_s"`
}

// Catalogue lists all kinds of trouble that days are drawn from.
type Catalogue struct {
	Kinds    []Kind        `toml:"kind"`
	Closings []ClosingKind `toml:"closing"`
}

// ParseCatalogue reads a catalogue and refuses unknown fields, unknown groups and impossible ranges.
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
			return Catalogue{}, fmt.Errorf("closing %q: no kind, or a range from high to low", closing.Kind)
		}
	}
	return c, nil
}

// Without returns the catalogue less the kinds of these names.
func (c Catalogue) Without(names ...string) Catalogue {
	named := func(k Kind) bool { return slices.Contains(names, k.Name) }
	c.Kinds = slices.DeleteFunc(slices.Clone(c.Kinds), named)
	return c
}

func (k Kind) check() error {
	switch {
	case k.Name == "":
		return fmt.Errorf("a kind without a name")
	case !slices.Contains(groups, k.Group):
		return fmt.Errorf("%s: unknown group %q", k.Name, k.Group)
	case !k.Count.valid() || !k.Share.valid() || !k.X.valid() || !k.ForS.valid() || !k.GapS.valid():
		return fmt.Errorf("%s: a range from high to low", k.Name)
	}
	return nil
}

// Closed returns the names of a day's kinds that the site cannot take, because a contract that they need is not in force
// there. Kinds that the catalogue does not know are taken to be open.
func (c Catalogue) Closed(d Day, s Site) []string {
	var closed []string
	for _, t := range d.Troubles() {
		named := func(k Kind) bool { return k.Name == t.Kind }
		open := func(k Kind) bool { return named(k) && s.Open(k) }
		if slices.ContainsFunc(c.Kinds, named) && !slices.ContainsFunc(c.Kinds, open) {
			closed = append(closed, t.Kind)
		}
	}
	slices.Sort(closed)
	return slices.Compact(closed)
}

func decodeStrictly(text []byte, into any) error {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
}
