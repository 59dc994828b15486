package days

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// Parameters of drawn days.
const (
	dayStream = 1 // PCG stream of days, so that other generators with the same seed draw other numbers

	minEvents      = 3
	maxEvents      = 7
	earliestStartS = 1.5 // seconds from the start of traffic
	endMarginS     = 2.0 // seconds between the latest start of an event and the end of the day

	overlapShare = 0.5  // share of events that start during the previously drawn event
	repeatShare  = 0.25 // share of control-side events that repeat a kind of the same day
	followShare  = 0.35 // share of variants with a suffix from Kind.Follow
	closingShare = 0.6  // share of days with a closing fault
)

// Draw generates a day for a site: three to seven often overlapping events, at least two of them on the control side, and
// in most days a closing fault. Equal arguments give equal days. It fails if the site supports no control-side kind or no
// other kind of the catalogue.
func Draw(catalogue Catalogue, site Site, seed uint64) (Day, error) {
	g := generator{rand: rand.New(rand.NewPCG(seed, dayStream)), site: site}
	control, other := catalogue.split(site)
	if len(control) == 0 || len(other) == 0 {
		return Day{}, fmt.Errorf("site %s: no supported kinds on the control side or none outside it", site.Name)
	}
	day := Day{Name: fmt.Sprintf("drawn-%d", seed), Slot: "trouble", Seed: seed}
	count := minEvents + g.rand.IntN(maxEvents-minEvents+1)
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
	byTime := func(a, b Event) int { return cmp.Compare(a.At, b.At) }
	slices.SortStableFunc(day.Plan, byTime)
	slices.SortStableFunc(day.Faults, byTime)
	if len(catalogue.Closings) > 0 && g.chance(closingShare) {
		day.Closing = g.closing(catalogue.Closings[g.rand.IntN(len(catalogue.Closings))])
	}
	return day, nil
}

// split returns the kinds that the site supports, separated into the control side and all other groups.
func (c Catalogue) split(s Site) (control, other []Kind) {
	for _, k := range c.Kinds {
		switch {
		case !s.Supports(k):
		case k.Group.Control():
			control = append(control, k)
		default:
			other = append(other, k)
		}
	}
	return control, other
}

// generator draws the events of one day.
type generator struct {
	rand     *rand.Rand
	site     Site
	previous Event // the event drawn last; its Kind is "" before the first draw
}

func (g *generator) chance(share float64) bool { return g.rand.Float64() < share }

func (g *generator) controlKind(control, drawn []Kind) Kind {
	if len(drawn) > 0 && g.chance(repeatShare) {
		return drawn[g.rand.IntN(len(drawn))]
	}
	return g.weighted(control)
}

// weighted draws a kind with a probability proportional to its weight.
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
	event := Event{Kind: kind.Name, At: g.startTime(), On: kind.On, How: g.variant(kind.How, kind.Follow),
		Count: g.count(kind.Count),
		Share: g.uniform(kind.Share), X: g.uniform(kind.X), ForS: g.uniform(kind.ForS), GapS: g.uniform(kind.GapS)}
	g.previous = event
	if kind.Planned {
		day.Plan = append(day.Plan, event)
	} else {
		day.Faults = append(day.Faults, event)
	}
}

// startTime draws the start of an event, often during the event drawn before it.
func (g *generator) startTime() float64 {
	last := max(earliestStartS, g.site.LengthS-endMarginS)
	if g.previous.Kind != "" && g.chance(overlapShare) {
		return roundToMillis(min(last, g.previous.At+g.rand.Float64()*max(1, g.previous.ForS)))
	}
	return g.uniform(Range{earliestStartS, last})
}

func (g *generator) variant(variants, follow []string) string {
	if len(variants) == 0 {
		return ""
	}
	how := variants[g.rand.IntN(len(variants))]
	if len(follow) > 0 && g.chance(followShare) {
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

// roundToMillis rounds to three decimals, which keeps written days readable.
func roundToMillis(x float64) float64 { return math.Round(x*1000) / 1000 }
