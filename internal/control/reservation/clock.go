package reservation

import (
	"slices"
	"time"
)

// Clock is the controllers' common time of day: the median of their own clocks, so that one that is hours off decides
// nothing. Between observations it runs by the steady clock.
type Clock struct {
	offsets map[string]float64 // by controller: its time of day less our steady time, both in seconds
}

// NewClock makes a clock that has observed nobody.
func NewClock() *Clock { return &Clock{offsets: map[string]float64{}} }

// Observe takes a controller's time of day, the own one included.
func (c *Clock) Observe(controller string, wall float64, now time.Duration) {
	c.offsets[controller] = wall - now.Seconds()
}

// Now is the common time in seconds since 1970; 0: nobody was observed yet.
func (c *Clock) Now(now time.Duration) float64 {
	if len(c.offsets) == 0 {
		return 0
	}
	all := make([]float64, 0, len(c.offsets))
	for _, offset := range c.offsets {
		all = append(all, offset)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	if len(all)%2 == 0 {
		median = (all[len(all)/2-1] + median) / 2
	}
	return median + now.Seconds()
}
