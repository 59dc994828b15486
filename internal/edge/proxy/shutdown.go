package proxy

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/tcpstate"
)

// Timing of a graceful shutdown. The platform ends the process when the grace (grace_s) is over.
const (
	defaultGrace = 6.0 // seconds, where the settings don't say
	shutdownPoll = 50 * time.Millisecond
	finishPoll   = 5 * time.Millisecond

	// openAdmission is how long requests are accepted whatever their deadline: until clients and platform know that this
	// edge is shutting down. By then the platform, which asks for readiness each second, sends no new connections.
	openAdmission   = 2500 * time.Millisecond
	quietBeforeExit = 700 * time.Millisecond // without any request
	idleBeforeClose = 500 * time.Millisecond // so that a connection that was just made is not closed before its request comes

	// stopAcceptBefore, flushReserve and exitReserve are counted back from the end of the grace: no new connections, time for
	// the last responses to leave, and time for the process to end. Of a short grace the reserves are a twentieth each.
	stopAcceptBefore = time.Second
	flushReserve     = 200 * time.Millisecond
	exitReserve      = 150 * time.Millisecond
	maxReserveShare  = 20
)

// errShuttingDown refuses what an edge that was asked to end can't promise to answer.
var errShuttingDown = apierror.NotReady.New("this edge is shutting down")

// shutdownSchedule divides the grace of a shutdown. All times are on the steady clock.
type shutdownSchedule struct {
	quietFrom  time.Duration // from then on the process may end once no request comes any more
	openUntil  time.Duration // until then every request is accepted
	stopAccept time.Duration // from then on no new connections are accepted
	answerBy   time.Duration // what was accepted is answered by then
	exitBy     time.Duration // the process ends, whatever is left
}

func newShutdownSchedule(startedAt, grace time.Duration) *shutdownSchedule {
	reserve := func(d time.Duration) time.Duration { return min(d, grace/maxReserveShare) }
	exitBy := startedAt + grace - reserve(exitReserve)
	open := startedAt + min(openAdmission, grace/2)
	return &shutdownSchedule{quietFrom: open, openUntil: open, stopAccept: startedAt + max(grace/2, grace-stopAcceptBefore),
		answerBy: exitBy - reserve(flushReserve), exitBy: exitBy}
}

// admits reports whether a request that has been read now is accepted: at first any, then only what is over in time even if
// it takes up to its deadline. Once a request has been sent to a server it may not be broken off.
func (s *shutdownSchedule) admits(now, deadline time.Duration) bool {
	return now <= s.openUntil || deadline <= s.answerBy
}

// shutdown is how far the end of an edge has come, and what it depends on.
type shutdown struct {
	schedule      atomic.Pointer[shutdownSchedule] // nil: no shutdown was requested
	exiting       atomic.Bool                      // requests that come now are refused at once
	work          context.Context                  // of all attempts and waits; it ends when they have to be answered
	stopWork      context.CancelFunc
	inFlight      atomic.Int64 // requests
	lastRequestAt atomic.Int64 // on the steady clock, in nanoseconds
	met           idleClose    // used by shutDown alone
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

// answerBy is when all that is accepted has to be answered.
func (s *shutdown) answerBy() time.Duration {
	if schedule := s.schedule.Load(); schedule != nil {
		return schedule.answerBy
	}
	return math.MaxInt64
}

// shutDown ends in order: not ready at once, and serving on until no request comes any more or the grace is nearly over.
// What is accepted is answered before the process ends; what can't be is refused, which promises that it never runs. The
// listener stays open for clients that still come, and connections that clients keep without using them are closed. It
// gives the cause of the end, for the log.
func (p *Proxy) shutDown(listener net.Listener) (cause string) {
	schedule := newShutdownSchedule(p.Now(), p.Settings.Seconds("grace_s", defaultGrace))
	p.shutdown.schedule.Store(schedule)
	p.LogEvent("shutdown requested", "in_flight", p.shutdown.inFlight.Load())
	for cause == "" {
		due := p.Now() + shutdownPoll
		time.Sleep(shutdownPoll)
		now := p.Now()
		p.lateness.Observe(due, now)
		cause = p.continueShutdown(schedule, listener, now)
	}
	p.finishShutdown(schedule, listener)
	return cause
}

// continueShutdown does what is due by the schedule. It gives the cause if the process may end now.
func (p *Proxy) continueShutdown(schedule *shutdownSchedule, listener net.Listener, now time.Duration) (cause string) {
	if now > schedule.openUntil {
		unsent := p.clients.conns.unsent()
		if met := p.clients.conns.closeIdle(idleBeforeClose); met.closed > 0 {
			met.unsent = unsent
			p.shutdown.met.add(met)
			p.LogEvent("idle connections closed", "closed", met.closed, "unread", met.unread, "unsent_bytes", met.unsent, "late",
				p.lateness.Worst(now))
		}
	}
	stopped := now > schedule.stopAccept
	if stopped {
		_ = listener.Close() // the process is about to end: one that stays open ends with it
	}
	if now >= schedule.answerBy {
		p.shutdown.stopWork()
	}
	quiet := now-time.Duration(p.shutdown.lastRequestAt.Load()) > quietBeforeExit
	switch {
	case now >= schedule.exitBy:
		return "grace is over"
	case now > schedule.quietFrom && quiet && p.idle():
		return "no request comes"
	case stopped && p.idle():
		return "all requests are answered"
	}
	return ""
}

// finishShutdown refuses what still comes, and waits until the last responses have left.
func (p *Proxy) finishShutdown(schedule *shutdownSchedule, listener net.Listener) {
	p.shutdown.exiting.Store(true)
	p.LogEvent("last connections close", "unaccepted", tcpstate.Readable(listener), "unsent_bytes", p.clients.conns.unsent())
	_ = listener.Close() // as above
	for {
		p.shutdown.met.add(p.clients.conns.closeIdle(0))
		if p.idle() || p.Now() >= schedule.exitBy {
			return
		}
		time.Sleep(finishPoll)
	}
}

// idle reports whether no request is read, served or answered.
func (p *Proxy) idle() bool { return p.shutdown.inFlight.Load() == 0 && p.clients.conns.busy() == 0 }
