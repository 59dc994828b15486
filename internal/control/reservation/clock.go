package reservation

import (
	"slices"
	"time"
)

// Clock is the core's time of day: the median of the planners' own, so that one that is hours off decides nothing. Between
// words it runs by the steady clock; jumps of its own time of day are as those of the others.
type Clock struct {
	offsets map[string]float64 // by planner: its time of day less our steady time, both in seconds
}

// NewClock makes a clock that heard nobody.
func NewClock() *Clock { return &Clock{offsets: map[string]float64{}} }

// Observe takes a planner's time of day, our own included.
func (c *Clock) Observe(from string, wall float64, now time.Duration) {
	c.offsets[from] = wall - now.Seconds()
}

// Now is the core's time, in seconds.
func (c *Clock) Now(now time.Duration) float64 {
	if len(c.offsets) == 0 {
		return 0
	}
	all := make([]float64, 0, len(c.offsets))
	for _, o := range c.offsets {
		all = append(all, o)
	}
	slices.Sort(all)
	middle := all[len(all)/2]
	if len(all)%2 == 0 {
		middle = (all[len(all)/2-1] + middle) / 2
	}
	return middle + now.Seconds()
}
