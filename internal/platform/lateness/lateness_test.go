package lateness

import (
	"testing"
	"time"
)

// The worst lateness counts for one window at least and two at most, and is forgotten after that.
func TestWorstLatenessIsForgotten(t *testing.T) {
	var m Meter
	m.Observe(time.Second, time.Second+300*time.Millisecond)
	m.Observe(2*time.Second, 2*time.Second+10*time.Millisecond)
	for _, c := range []struct{ now, worst time.Duration }{
		{2 * time.Second, 300 * time.Millisecond},
		{window, 300 * time.Millisecond},
		{2*window - time.Millisecond, 300 * time.Millisecond},
		{time.Second + 3*window, 0},
	} {
		if got := m.Worst(c.now); got != c.worst {
			t.Errorf("after %s: %s, want %s", c.now, got, c.worst)
		}
	}
	m.Observe(time.Minute, time.Minute)
	if got := m.Worst(time.Minute); got != 0 {
		t.Errorf("on time: %s", got)
	}
}
