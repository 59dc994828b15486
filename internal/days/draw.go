package days

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Bounds of a drawn day.
const (
	streamOfDays = 1 // second half of the random source: other draws from the same seed differ

	minTroubles = 3
	maxTroubles = 7
	firstAt     = 1.5 // seconds from the start of traffic
	lastGap     = 2.0 // seconds between the start of the last trouble and the end of the day

	overlaps = 0.5  // share of troubles that begin while the one drawn before them goes on
	repeats  = 0.25 // share of troubles of the control side whose kind the day holds already
	follows  = 0.35 // share of variants that are followed by a further word
	closes   = 0.6  // share of days with a closing fault
)

// Draw draws a day for a site: three to seven troubles, at least two of them of the control side, often overlapping, and
// in most days a closing fault. Equal arguments give equal days.
func Draw(catalogue Catalogue, site Site, seed uint64) (Day, error) {
	g := generator{rand: rand.New(rand.NewPCG(seed, streamOfDays)), site: site}
	control, other := catalogue.split(site)
	if len(control) == 0 || len(other) == 0 {
		return Day{}, fmt.Errorf("site %s: the catalogue holds no kinds of one side", site.Name)
	}
	day := Day{Name: fmt.Sprintf("drawn-%d", seed), Slot: "trouble", Seed: seed}
	count := minTroubles + g.rand.IntN(maxTroubles-minTroubles+1)
	controlCount := 2 + g.rand.IntN(count-1)
	var drawn []Kind
	for i := range count {
		kind := g.weighted(other)
		if i < controlCount {
			kind = g.controlKind(control, drawn)
			drawn = append(drawn, kind)
		}
		g.add(&day, kind)
	}
	byTime := func(a, b Trouble) int { return cmp.Compare(a.At, b.At) }
	slices.SortStableFunc(day.Plan, byTime)
	slices.SortStableFunc(day.Faults, byTime)
	if len(catalogue.Closings) > 0 && g.chance(closes) {
		day.Closing = g.closing(catalogue.Closings[g.rand.IntN(len(catalogue.Closings))])
	}
	return day, nil
}

// split returns the kinds that the site can take: those of the control side, and the others.
func (c Catalogue) split(s Site) (control, other []Kind) {
	for _, k := range c.Kinds {
		switch {
		case !s.Open(k):
		case k.Group.Control():
			control = append(control, k)
		default:
			other = append(other, k)
		}
	}
	return control, other
}

// generator draws the parts of one day.
type generator struct {
	rand     *rand.Rand
	site     Site
	previous Trouble // the one drawn before
}

func (g *generator) chance(share float64) bool { return g.rand.Float64() < share }

func (g *generator) controlKind(control, drawn []Kind) Kind {
	if len(drawn) > 0 && g.chance(repeats) {
		return drawn[g.rand.IntN(len(drawn))]
	}
	return g.weighted(control)
}

// weighted draws a kind by weight.
func (g *generator) weighted(kinds []Kind) Kind {
	sum := 0
	for _, kind := range kinds {
		sum += kind.Weight
	}
	remaining := g.rand.IntN(sum)
	for _, kind := range kinds {
		if remaining -= kind.Weight; remaining < 0 {
			return kind
		}
	}
	return kinds[len(kinds)-1]
}

func (g *generator) add(day *Day, kind Kind) {
	trouble := Trouble{Kind: kind.Name, At: g.startTime(), On: kind.On, How: g.variant(kind.How, kind.Follow),
		Count: g.count(kind.Count),
		Share: g.uniform(kind.Share), X: g.uniform(kind.X), ForS: g.uniform(kind.ForS), GapS: g.uniform(kind.GapS)}
	g.previous = trouble
	if kind.Planned {
		day.Plan = append(day.Plan, trouble)
	} else {
		day.Faults = append(day.Faults, trouble)
	}
}

// startTime draws when a trouble begins: often while the one before it goes on.
func (g *generator) startTime() float64 {
	last := max(firstAt, g.site.LengthS-lastGap)
	if g.previous.Kind != "" && g.chance(overlaps) {
		return roundToMillis(min(last, g.previous.At+g.rand.Float64()*max(1, g.previous.ForS)))
	}
	return g.uniform(Range{firstAt, last})
}

func (g *generator) variant(variants, follow []string) string {
	if len(variants) == 0 {
		return ""
	}
	how := variants[g.rand.IntN(len(variants))]
	if len(follow) > 0 && g.chance(follows) {
		how += " " + follow[g.rand.IntN(len(follow))]
	}
	return strings.TrimSpace(how)
}

func (g *generator) count(c Counts) int {
	low, high := g.resolve(c[0]), g.resolve(c[1])
	return low + g.rand.IntN(max(1, high-low+1))
}

func (g *generator) resolve(bound int) int {
	if bound == Tolerated {
		return max(1, g.site.Tolerate.Machines)
	}
	return bound
}

func (g *generator) uniform(r Range) float64 {
	return roundToMillis(r[0] + g.rand.Float64()*(r[1]-r[0]))
}

func (g *generator) closing(k ClosingKind) *Closing {
	return &Closing{Kind: k.Kind, How: g.variant(k.How, nil), DownS: g.uniform(k.DownS)}
}

// roundToMillis keeps three decimals, so that days are easy to read.
func roundToMillis(x float64) float64 { return math.Round(x*1000) / 1000 }
