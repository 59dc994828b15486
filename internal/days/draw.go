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
func Draw(c Catalogue, s Site, seed uint64) (Day, error) {
	p := sketch{rand: rand.New(rand.NewPCG(seed, streamOfDays)), site: s}
	control, other := c.split(s)
	if len(control) == 0 || len(other) == 0 {
		return Day{}, fmt.Errorf("site %s: the catalogue holds no kinds of one side", s.Name)
	}
	d := Day{Name: fmt.Sprintf("drawn-%d", seed), Slot: "trouble", Seed: seed}
	n := minTroubles + p.rand.IntN(maxTroubles-minTroubles+1)
	least := 2 + p.rand.IntN(n-1)
	var drawn []Kind
	for i := range n {
		k := p.pick(other)
		if i < least {
			k = p.pickControl(control, drawn)
			drawn = append(drawn, k)
		}
		p.add(&d, k)
	}
	byTime := func(a, b Trouble) int { return cmp.Compare(a.At, b.At) }
	slices.SortStableFunc(d.Plan, byTime)
	slices.SortStableFunc(d.Faults, byTime)
	if len(c.Closings) > 0 && p.chance(closes) {
		d.Closing = p.closing(c.Closings[p.rand.IntN(len(c.Closings))])
	}
	return d, nil
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

// sketch draws the parts of one day.
type sketch struct {
	rand *rand.Rand
	site Site
	last Trouble // the one drawn before
}

func (p *sketch) chance(share float64) bool { return p.rand.Float64() < share }

func (p *sketch) pickControl(control, drawn []Kind) Kind {
	if len(drawn) > 0 && p.chance(repeats) {
		return drawn[p.rand.IntN(len(drawn))]
	}
	return p.pick(control)
}

// pick draws a kind by weight.
func (p *sketch) pick(kinds []Kind) Kind {
	sum := 0
	for _, k := range kinds {
		sum += k.Weight
	}
	at := p.rand.IntN(sum)
	for _, k := range kinds {
		if at -= k.Weight; at < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}

func (p *sketch) add(d *Day, k Kind) {
	t := Trouble{Kind: k.Name, At: p.moment(), On: k.On, How: p.how(k.How, k.Follow), Count: p.count(k.Count),
		Share: p.within(k.Share), X: p.within(k.X), ForS: p.within(k.ForS), GapS: p.within(k.GapS)}
	p.last = t
	if k.Planned {
		d.Plan = append(d.Plan, t)
	} else {
		d.Faults = append(d.Faults, t)
	}
}

// moment draws when a trouble begins: often while the one before it goes on.
func (p *sketch) moment() float64 {
	last := max(firstAt, p.site.LengthS-lastGap)
	if p.last.Kind != "" && p.chance(overlaps) {
		return rounded(min(last, p.last.At+p.rand.Float64()*max(1, p.last.ForS)))
	}
	return p.within(Range{firstAt, last})
}

func (p *sketch) how(variants, follow []string) string {
	if len(variants) == 0 {
		return ""
	}
	how := variants[p.rand.IntN(len(variants))]
	if len(follow) > 0 && p.chance(follows) {
		how += " " + follow[p.rand.IntN(len(follow))]
	}
	return strings.TrimSpace(how)
}

func (p *sketch) count(c Counts) int {
	low, high := p.resolve(c[0]), p.resolve(c[1])
	return low + p.rand.IntN(max(1, high-low+1))
}

func (p *sketch) resolve(bound int) int {
	if bound == Tolerated {
		return max(1, p.site.Tolerate.Machines)
	}
	return bound
}

func (p *sketch) within(r Range) float64 {
	return rounded(r[0] + p.rand.Float64()*(r[1]-r[0]))
}

func (p *sketch) closing(k ClosingKind) *Closing {
	return &Closing{Kind: k.Kind, How: p.how(k.How, nil), DownS: p.within(k.DownS)}
}

// rounded keeps three decimals, so that days are easy to read.
func rounded(x float64) float64 { return math.Round(x*1000) / 1000 }
