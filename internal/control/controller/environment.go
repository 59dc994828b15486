package controller

import (
	"time"

	"github.com/go-kit/log"

	"mulleinwood/internal/platform/metrics"
	"mulleinwood/internal/platform/nodesettings"
)

// environment is what every part of a controller may use: the facts of the platform, the log, the counters and the clock.
// Nothing in it changes after the start.
type environment struct {
	settings  *nodesettings.Settings
	logger    log.Logger
	metrics   *metrics.Metrics
	startedAt time.Time
	// incarnation names this run of the process; it is drawn at random.
	incarnation uint64
}

// now is the time since the process started, on the steady clock: jumps of the time of day don't show in it.
func (e *environment) now() time.Duration { return time.Since(e.startedAt) }

// logEvent writes one line. A line that can't be written is lost, since that must not stop a controller.
func (e *environment) logEvent(event string, keyvals ...any) {
	_ = e.logger.Log(append([]any{"event", event}, keyvals...)...)
}

// wallClock is this machine's time of day, in seconds since 1970.
func wallClock() float64 { return float64(time.Now().UnixNano()) / float64(time.Second) }
