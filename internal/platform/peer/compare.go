package peer

import (
	"time"

	"mulleinwood/internal/control/registry"
)

// Comparing tells when to ask the other end of a link which cells differ: once two of its full summaries in a row had
// another sum, since news may be on its way, and not again for a while.
type Comparing struct {
	differed int
	asked    time.Duration
	did      bool
}

const compareAgain = 4 * time.Second

// Due takes a full summary's sum.
func (c *Comparing) Due(theirs, ours uint64, now time.Duration) bool {
	if theirs == ours {
		c.differed = 0
		return false
	}
	c.differed++
	if c.differed < 2 || c.did && now-c.asked < compareAgain {
		return false
	}
	c.asked, c.did = now, true
	return true
}

// Compare answers what the other end says of its cells, after its Entries were taken: whoever is asked sends its lives of
// the cells that differ, and whoever asked sends its own of those that still do. It guards against news that was missed
// while links came and went, however that happened.
func (c *Cells) Compare(d *registry.Registry, now time.Duration) *Frame {
	ours, zones, here := d.Sums(), map[string]bool{}, map[string]uint64{}
	for zone, sum := range c.Sums {
		if ours[zone] != sum {
			zones[zone], here[zone] = true, ours[zone]
		}
	}
	for zone, sum := range ours {
		if _, told := c.Sums[zone]; !told && !c.Answer && sum != 0 { // a cell that the other end doesn't know
			zones[zone], here[zone] = true, sum
		}
	}
	switch {
	case len(zones) == 0:
		return nil
	case c.Answer:
		return &Frame{Entries: d.In(zones, now)}
	default:
		return &Frame{Entries: d.In(zones, now), Cells: &Cells{Sums: here, Answer: true}}
	}
}
