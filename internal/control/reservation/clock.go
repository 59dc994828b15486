package reservation

import (
	"slices"
	"time"
)

// Clock is the controllers' common time of day: the median of their own clocks, so that a single clock that is hours off has
// no effect. Between observations it advances with the monotonic clock.
type Clock struct {
	offsets map[string]float64 // by controller: its time of day minus the local monotonic time, in seconds
}

// NewClock returns a clock without observations.
func NewClock() *Clock { return &Clock{offsets: map[string]float64{}} }

// Observe records the time of day of a controller, the local one included, in seconds since 1970.
func (c *Clock) Observe(controller string, wall float64, now time.Duration) {
	c.offsets[controller] = wall - now.Seconds()
}

// Now returns the common time in seconds since 1970, or 0 if no controller was observed yet.
func (c *Clock) Now(now time.Duration) float64 {
	if len(c.offsets) == 0 {
		return 0
	}
	offsets := make([]float64, 0, len(c.offsets))
	for _, offset := range c.offsets {
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if len(offsets)%2 == 0 {
		median = (offsets[len(offsets)/2-1] + median) / 2
	}
	return median + now.Seconds()
}
