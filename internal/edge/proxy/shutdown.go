package proxy

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/httpconn"
)

// Timing of a graceful shutdown. The platform ends the process when the grace (grace_s) is over.
const (
	defaultGraceSeconds = 6.0 // seconds, where the settings don't say
	shutdownPoll        = 50 * time.Millisecond
	finishPoll          = 5 * time.Millisecond

	// admitAllDuration is how long requests are accepted whatever their deadline: until clients and platform know that this
	// edge is shutting down. By then the platform, which asks for readiness each second, sends no new connections.
	admitAllDuration = 2500 * time.Millisecond
	quietBeforeExit  = 700 * time.Millisecond // without any request
	idleBeforeClose  = 500 * time.Millisecond // so that a connection that was just made is not closed before its request comes

	// stopAcceptBefore, flushReserve and exitReserve are counted back from the end of the grace: no new connections, time for
	// the last responses to leave, and time for the process to end. Of a short grace the reserves are a twentieth each.
	stopAcceptBefore = time.Second
	flushReserve     = 200 * time.Millisecond
	exitReserve      = 150 * time.Millisecond
	maxReserveShare  = 20
	// maxLatenessShare bounds how much of the grace the process's own lateness may take from it, each time that it counts.
	maxLatenessShare = 24
	// minResponseShare: requests that servers work on are not given up before the last sixth of the grace.
	minResponseShare = 6

	// A request may cross a close for loss_slack_s. Connections are closed at will only while the way to the clients and back
	// takes half of that at most.
	defaultLossSlackSeconds = 0.2 // seconds, where the settings don't say
	closeRaceShare          = 0.5
)

// errShuttingDown refuses what an edge that was asked to end can't promise to answer.
var errShuttingDown = apierror.NotReady.New("this edge is shutting down")

// shutdownSchedule divides the grace of a shutdown. All times are on the steady clock.
type shutdownSchedule struct {
	admitAllUntil time.Duration // until then every request is accepted; from then on the process may end when nothing comes
	stopAccept    time.Duration // from then on no new connections are accepted
	respondBy     time.Duration // what was accepted is answered by then
	exitBy        time.Duration // the process ends, whatever is left
}

// newShutdownSchedule divides a grace that was noticed to have started. The process may have noticed that as late, and may do
// what is due at the end as late, as it was in the last seconds: by that much its own times come earlier.
func newShutdownSchedule(noticedAt, grace, late time.Duration) *shutdownSchedule {
	reserve := func(d time.Duration) time.Duration { return min(d, grace/maxReserveShare) }
	late = min(late, grace/maxLatenessShare)
	startedAt := noticedAt - late
	exitBy := startedAt + grace - reserve(exitReserve) - late
	respondBy := max(exitBy-reserve(flushReserve)-late, noticedAt+grace-grace/minResponseShare)
	admitAllUntil := noticedAt + min(admitAllDuration, grace/2)
	return &shutdownSchedule{admitAllUntil: admitAllUntil, stopAccept: noticedAt + max(grace/2, grace-stopAcceptBefore),
		respondBy: respondBy, exitBy: exitBy}
}

// admits reports whether a request that has been read now is accepted: at first any, then only what is over in time even if
// it takes up to its deadline. Once a request has been sent to a server it may not be broken off.
func (s *shutdownSchedule) admits(now, deadline time.Duration) bool {
	return now <= s.admitAllUntil || deadline <= s.respondBy
}

// shutdown is how far the end of an edge has come, and what it depends on.
type shutdown struct {
	schedule      atomic.Pointer[shutdownSchedule] // nil: no shutdown was requested
	exiting       atomic.Bool                      // requests that come now are refused at once
	work          context.Context                  // of all attempts and waits; it ends when they have to be answered
	stopWork      context.CancelFunc
	inFlight      atomic.Int64 // requests
	lastRequestAt atomic.Int64 // on the steady clock, in nanoseconds

	// Of the goroutine that shuts down, for the log.
	idleClosed int // idle connections that it closed
	unread     int // times that it passed one over, since something had arrived that was not read
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.work, s.stopWork = context.WithCancel(context.Background())
	return s
}

// requested reports whether the process was asked to end.
func (s *shutdown) requested() bool { return s.schedule.Load() != nil }

// admits reports whether a request that has been read now is accepted.
func (s *shutdown) admits(now, deadline time.Duration) bool {
	schedule := s.schedule.Load()
	return schedule == nil || schedule.admits(now, deadline)
}

// respondBy is when all that is accepted has to be answered.
func (s *shutdown) respondBy() time.Duration {
	if schedule := s.schedule.Load(); schedule != nil {
		return schedule.respondBy
	}
	return math.MaxInt64
}

// shutDown ends in order: not ready at once, and serving on until no request comes any more or the grace is nearly over.
// What is accepted is answered before the process ends; what can't be is refused, which promises that it never runs. The
// listener stays open for clients that still come, and connections that clients keep without using them are closed once the
// way to the clients is free. It gives the cause of the end, for the log.
func (p *Proxy) shutDown(listener net.Listener) (cause string) {
	schedule := newShutdownSchedule(p.Now(), p.Settings.Seconds("grace_s", defaultGraceSeconds), p.lateness.Worst(p.Now()))
	drain := httpconn.NewDrain(listener, p.clients.conns)
	p.shutdown.schedule.Store(schedule)
	p.LogEvent("shutdown requested", "in_flight", p.shutdown.inFlight.Load(), "late", p.lateness.Worst(p.Now()))
	for cause == "" {
		due := p.Now() + shutdownPoll
		time.Sleep(shutdownPoll)
		now := p.Now()
		p.lateness.Observe(due, now)
		cause = p.continueShutdown(schedule, drain, now)
	}
	p.finishShutdown(schedule, drain)
	return cause
}

// continueShutdown does what is due by the schedule. It gives the cause if the process may end now.
func (p *Proxy) continueShutdown(schedule *shutdownSchedule, drain *httpconn.Drain, now time.Duration) (cause string) {
	mayClose := p.clients.conns.RoundTripWithin(p.closeRaceLimit() + p.lateness.Worst(now))
	if now > schedule.admitAllUntil && mayClose {
		p.closeIdleClients(idleBeforeClose)
	}
	stopped := mayClose && now > schedule.stopAccept && drain.StopAccepting()
	if now >= schedule.respondBy {
		p.shutdown.stopWork()
	}
	switch {
	case now >= schedule.exitBy:
		return "grace is over"
	case !mayClose || !drain.Quiet() || p.shutdown.inFlight.Load() > 0:
	case now > schedule.admitAllUntil && p.sinceLastClientActivity(now) > quietBeforeExit:
		return "no request comes"
	case stopped:
		return "all requests are answered"
	}
	return ""
}

// closeRaceLimit is how long the way to the clients and back may take while connections are closed at will. What is measured
// has the process's own lateness in it, which no client notices: what has arrived by then is read before a close.
func (p *Proxy) closeRaceLimit() time.Duration {
	return scale(p.Settings.Seconds("loss_slack_s", defaultLossSlackSeconds), closeRaceShare)
}

// sinceLastClientActivity is the time since the last request, or the last new connection, whose request may be on its way.
func (p *Proxy) sinceLastClientActivity(now time.Duration) time.Duration {
	return min(now-time.Duration(p.shutdown.lastRequestAt.Load()), time.Since(p.clients.conns.LastAccept()))
}

// closeIdleClients closes what has been idle for so long.
func (p *Proxy) closeIdleClients(minIdle time.Duration) {
	closed, unread := p.clients.conns.CloseIdle(minIdle)
	p.shutdown.idleClosed += closed
	p.shutdown.unread += unread
	if closed+unread > 0 {
		p.LogEvent("idle connections closed", "closed", closed, "unread", unread, "late", p.lateness.Worst(p.Now()))
	}
}

// finishShutdown refuses what still comes, and waits until the last responses have left and nothing that has arrived is left
// unanswered.
func (p *Proxy) finishShutdown(schedule *shutdownSchedule, drain *httpconn.Drain) {
	p.shutdown.exiting.Store(true)
	for {
		done := drain.Step() && p.shutdown.inFlight.Load() == 0
		if done || p.Now() >= schedule.exitBy {
			return
		}
		time.Sleep(finishPoll)
	}
}
