package program

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/routing"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// timerModule sets a timer in each step, as the real module does in each round.
type timerModule struct {
	times []float64
	done  context.CancelFunc
}

func (m *timerModule) Step(now float64, _ []rules.Event) []rules.Action {
	if m.times = append(m.times, now); len(m.times) == 20 {
		m.done()
	}
	return []rules.Action{rules.Timer{Delay: 8}}
}

// TestTimersStayOnGrid guards against rounds that drift because every timer fires slightly late. The times that the module sees
// must be multiples of the clock granularity.
func TestTimersStayOnGrid(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	m := &timerModule{done: cancel}
	set := settings.Settings{Granularity: 4, Rules: rules.Settings{QueryDiscovery: true}}
	router := routing.New(set, m, nil, protocol.List{}, zerolog.Nop())
	started := time.Now()
	if err := loop(ctx, router, nil, set.Granularity); err != nil {
		t.Fatal(err)
	}
	if len(m.times) < 20 {
		t.Fatalf("%d turns", len(m.times))
	}
	for i, at := range m.times {
		if math.Mod(at, 4) != 0 {
			t.Errorf("turn %d at %v, which is not on the grid", i, at)
		}
		if i > 0 && at < m.times[i-1]+8 {
			t.Errorf("turn %d at %v, %v after the one before", i, at, at-m.times[i-1])
		}
	}
	if span, real := m.times[19]-m.times[0], time.Since(started); span > float64(real.Milliseconds())+8 {
		t.Errorf("the module saw %v ms pass in %v", span, real)
	}
	if alignToGrid(5.5, 0) != 5.5 {
		t.Error("a time is changed although the granularity is 0")
	}
}
