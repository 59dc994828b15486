package crossbar

import (
	"time"

	"mulleinwood/internal/cord"
	"mulleinwood/internal/meter"
)

// secondAfter is the part of the aim after which a server that says nothing is taken for one whose answer may not come.
const secondAfter = 0.75

// attempt tries one server. Where it says nothing for long and the request may be repeated, another one is asked beside
// it, out of the same budget, and the first good answer counts: a lost answer, or a server that stands still, would
// otherwise hold a lookup up to its deadline. The one that is not waited for runs on: to break it off would waste its work.
func (c *Crossbar) attempt(t *task, l *line, m *meter.Meter) outcome {
	way := &t.way
	if !way.Safe || t.rest != nil || way.Sent+1 >= way.Most {
		return c.try(t, l)
	}
	first := c.launch(t, l)
	silent := time.NewTimer(time.Duration(secondAfter * float64(t.aim)))
	defer silent.Stop()
	select {
	case out := <-first:
		return out
	case <-silent.C:
	}
	if t.until-c.now()-wayBack < 2*leastTime || !c.spend(m) {
		return <-first
	}
	other := c.pick(t.service, t.tried)
	if other == nil {
		c.back(m)
		return <-first
	}
	t.tried = append(t.tried, other)
	c.tally.Seconds.Inc()
	second := c.launch(t, other)
	for range 2 {
		select {
		case out := <-first:
			if first = nil; answers(out) || second == nil {
				c.drop(second)
				return out
			}
			c.forget(out)
			way.Ended(out.ending, out.status, false)
		case out := <-second:
			if second = nil; answers(out) || first == nil {
				c.drop(first)
				return out
			}
			c.forget(out)
			if out.ending == cord.NotSent {
				c.back(m)
			} else {
				way.Ended(out.ending, out.status, false)
			}
		}
	}
	return outcome{ending: cord.Perhaps} // not reached: the second of two is returned above
}

// answers tells whether there is nothing better to wait for.
func answers(out outcome) bool { return out.ending == cord.Ran && out.status < 500 }

// launch tries a server on a goroutine of its own.
func (c *Crossbar) launch(t *task, l *line) <-chan outcome {
	done := make(chan outcome, 1)
	go func() {
		out := c.try(t, l)
		c.waiting.wake(t.service)
		done <- out
	}()
	return done
}

// drop lets go of a try that still runs.
func (c *Crossbar) drop(running <-chan outcome) {
	if running != nil {
		go func() { c.forget(<-running) }()
	}
}

// forget gives back what an answer holds that nobody takes.
func (c *Crossbar) forget(out outcome) {
	c.held.give(out.booked)
	if out.rest != nil {
		out.end(false)
	}
}
