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

// Timing of a graceful shutdown. The platform kills the process at the end of the grace (grace_s).
const (
	defaultGraceSeconds = 6.0 // used if the settings contain no grace_s
	shutdownPoll        = 50 * time.Millisecond
	finishPoll          = 5 * time.Millisecond
	maxConfirmationWait = 500 * time.Millisecond

	// admitAllDuration is how long requests with any deadline are accepted: until clients and the platform have learned that
	// this edge is shutting down. By then the platform, which checks readiness each second, sends no new connections.
	admitAllDuration = 2500 * time.Millisecond
	quietBeforeExit  = 700 * time.Millisecond // time without any request after which the process may end early
	idleBeforeClose  = 500 * time.Millisecond // protects new connections whose first request has not arrived yet

	// stopAcceptBefore is how long before the end of the grace no new connections are accepted. flushReserve is reserved for
	// sending the last responses, exitReserve for the exit of the process; each is at most 1/maxReserveShare of the grace.
	stopAcceptBefore = time.Second
	flushReserve     = 200 * time.Millisecond
	exitReserve      = 150 * time.Millisecond
	maxReserveShare  = 20
	// The scheduling delay of the process counts for at most 1/maxLatenessShare of the grace, each time it is subtracted.
	maxLatenessShare = 24
	// Requests in progress at servers are not cancelled before the last 1/minResponseShare of the grace.
	minResponseShare = 6

	// A request may be sent up to loss_slack_s before its client sees that the edge has closed the connection, and be lost.
	// Idle connections are closed only while the round trip to the clients takes at most closeRaceShare of that time.
	defaultLossSlackSeconds = 0.2 // used if the settings contain no loss_slack_s
	closeRaceShare          = 0.5
)

// errShuttingDown rejects requests that an edge that is shutting down may not be able to answer in time.
var errShuttingDown = apierror.NotReady.New("this edge is shutting down")

// shutdownSchedule contains the times of the phases of a shutdown. All times are on the monotonic clock.
type shutdownSchedule struct {
	admitAllUntil time.Duration // until then every request is accepted; afterwards the process may end once no requests arrive
	stopAccept    time.Duration // when the listener is closed
	respondBy     time.Duration // when all accepted requests must be answered
	exitBy        time.Duration // when the process ends unconditionally
}

// newShutdownSchedule returns the schedule of a grace whose start was noticed at noticedAt. late is the worst scheduling
// delay of the process in the last seconds: the start may have been noticed that late, and the final steps may run that late,
// so the times are moved ahead by that much.
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

// admits reports whether a request that was read at now is accepted: until admitAllUntil every request, afterwards only one
// that ends in time even if it takes until its deadline, since a request must not be cancelled once it was sent to a server.
func (s *shutdownSchedule) admits(now, deadline time.Duration) bool {
	return now <= s.admitAllUntil || deadline <= s.respondBy
}

// shutdown is the state of an edge's graceful shutdown and the activity that it waits for.
type shutdown struct {
	schedule      atomic.Pointer[shutdownSchedule] // nil until a shutdown is requested
	exiting       atomic.Bool                      // new requests are rejected immediately
	work          context.Context                  // of all attempts and waits, cancelled when requests have to be answered
	stopWork      context.CancelFunc
	inFlight      atomic.Int64 // number of requests being served
	lastRequestAt atomic.Int64 // on the monotonic clock, in nanoseconds

	// Counted for the log, by the goroutine that shuts down.
	idleClosed int // idle connections closed
	unread     int // idle connections skipped, since they had unread bytes
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.work, s.stopWork = context.WithCancel(context.Background())
	return s
}

// requested reports whether a shutdown was requested.
func (s *shutdown) requested() bool { return s.schedule.Load() != nil }

// admits reports whether a request that was read at now is accepted.
func (s *shutdown) admits(now, deadline time.Duration) bool {
	schedule := s.schedule.Load()
	return schedule == nil || schedule.admits(now, deadline)
}

// respondBy returns the time by which accepted requests must be answered.
func (s *shutdown) respondBy() time.Duration {
	if schedule := s.schedule.Load(); schedule != nil {
		return schedule.respondBy
	}
	return math.MaxInt64
}

// shutDown shuts down gracefully: the edge reports not ready immediately, and continues to serve until no more requests
// arrive or the grace is nearly over. Accepted requests are answered before the process ends; others are rejected, which
// promises that they never run. The listener stays open for clients that still connect, and idle connections are closed
// while the round trip to the clients is short. It returns the cause of the end for the log.
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
		p.claims.sendResponses()
		cause = p.continueShutdown(schedule, drain, now)
	}
	p.finishShutdown(schedule, drain)
	return cause
}

// continueShutdown runs the steps that are due by the schedule. It returns a cause if the process may end now, else "".
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

// closeRaceLimit returns the longest round trip to the clients at which idle connections are closed. The measured round trip
// includes the scheduling delay of this process, which the caller adds to the limit: it loses no requests, since bytes that
// have arrived are read before a close.
func (p *Proxy) closeRaceLimit() time.Duration {
	return scale(p.Settings.Seconds("loss_slack_s", defaultLossSlackSeconds), closeRaceShare)
}

// sinceLastClientActivity returns the time since the last request or the last new connection, whose first request may be in
// transit.
func (p *Proxy) sinceLastClientActivity(now time.Duration) time.Duration {
	return min(now-time.Duration(p.shutdown.lastRequestAt.Load()), time.Since(p.clients.conns.LastAccept()))
}

// closeIdleClients closes clients' connections that have been idle for at least minIdle.
func (p *Proxy) closeIdleClients(minIdle time.Duration) {
	closed, unread := p.clients.conns.CloseIdle(minIdle)
	p.shutdown.idleClosed += closed
	p.shutdown.unread += unread
	if closed+unread > 0 {
		p.LogEvent("idle connections closed", "closed", closed, "unread", unread, "late", p.lateness.Worst(p.Now()))
	}
}

// finishShutdown rejects new requests, and waits until all responses were sent and every request that has arrived is
// answered, until exitBy at the latest. It also waits for the confirmations of responses, for at most maxConfirmationWait.
func (p *Proxy) finishShutdown(schedule *shutdownSchedule, drain *httpconn.Drain) {
	p.shutdown.exiting.Store(true)
	confirmBy := p.Now() + maxConfirmationWait
	for {
		answered := drain.Step() && p.shutdown.inFlight.Load() == 0
		now := p.Now()
		confirmed := now >= confirmBy || p.claims.unconfirmedCount() == 0
		if answered && confirmed || now >= schedule.exitBy {
			return
		}
		time.Sleep(finishPoll)
	}
}
