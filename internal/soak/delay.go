package soak

import (
	"context"
	"time"
)

// delayProbe is the interval at which the soak's own scheduling delay is measured.
const delayProbe = 10 * time.Millisecond

// minDelay is the smallest delay that is recorded.
const minDelay = 10 * time.Millisecond

// Delay is a scheduling delay of the soak itself. Times recorded around At may be late by as much.
type Delay struct {
	At   time.Duration
	Late time.Duration
}

// measureDelay records the delays of a timer until ctx ends.
func measureDelay(ctx context.Context, r *recorder) {
	for due := r.now() + delayProbe; ctx.Err() == nil; due += delayProbe {
		time.Sleep(due - r.now())
		now := r.now()
		if late := now - due; late >= minDelay {
			r.add(func(all *Record) { all.Delays = append(all.Delays, Delay{now, late}) })
			due = now
		}
	}
}

// delayAround returns the longest delay within delayWindow of at.
func (r *Record) delayAround(at time.Duration) (worst time.Duration) {
	for _, d := range r.Delays {
		if d.At >= at-delayWindow && d.At <= at+delayWindow {
			worst = max(worst, d.Late)
		}
	}
	return worst
}

// maxDelay returns the longest delay of the whole run.
func (r *Record) maxDelay() (worst time.Duration) {
	for _, d := range r.Delays {
		worst = max(worst, d.Late)
	}
	return worst
}

// delayWindow is the distance in time within which delays and pauses affect a recorded time.
const delayWindow = 2 * time.Second
