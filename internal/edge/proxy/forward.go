package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/platform/apierror"
)

const (
	waitShare   = 0.2 // of the aim that a request may wait here for room
	claimShare  = 0.5 // of the time left that a claim may take
	claimMost   = 1200 * time.Millisecond
	wayBack     = 5 * time.Millisecond // kept of the deadline for the answer's way
	leastTime   = 10 * time.Millisecond
	distrustFor = 5 * time.Second
	notedMost   = 5    // lines of log a second for each kind of error
	staleRank   = 1000 // below every priority
)

// errEnding refuses what comes in the last moments of a process that was told to end.
var errEnding = apierror.NotReady.New("this edge is ending")

// ServeHTTP takes a client's request.
func (c *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	now := c.now()
	c.lastSeen.Store(int64(now))
	if c.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if c.lastCall.Load() {
		c.refuse(w, r, errEnding)
		return
	}
	tree := c.tree.Load()
	if tree == nil {
		c.refuse(w, r, apierror.NotReady.New("no configuration yet"))
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") { // a whole URI, which servers have to take, too
		path = r.URL.EscapedPath()
	}
	route := tree.Find(r.Host, path)
	if route == nil {
		c.refuse(w, r, apierror.NoRoute.New("no route for %s%s", r.Host, path))
		return
	}
	t, err := c.take(w, r, tree, route, now)
	if t != nil {
		defer func() { c.held.give(t.booked) }()
	}
	if err != nil {
		c.refuse(w, r, err)
		return
	}
	if route.Kind == config.Keyed {
		c.keyed(w, t)
		return
	}
	out := c.run(t)
	c.answer(w, t, out)
}

// keyed runs an operation at most once: claimed before the first byte leaves, kept once it is answered.
func (c *Proxy) keyed(w http.ResponseWriter, t *task) {
	key := idempotency.KeyOf(strings.ToLower(t.r.Host), t.r.Header.Get("X-Operation-Key"))
	left := t.until - c.now()
	token, ruling := c.claim(key, time.Duration(float64(t.aim)*waitShare), min(claimMost, time.Duration(float64(left)*claimShare)))
	switch ruling.Ruling {
	case idempotency.Refused:
		c.refuse(w, t.r, apierror.Unclaimed.New("the key could not be claimed"))
		return
	case idempotency.Taken:
		c.repeat(w, t, ruling.Answer)
		return
	}
	out := c.run(t)
	switch t.way.Claim(out.cause) {
	case attempt.Finish:
		c.finish(key, token, kept(out))
	case attempt.Withdraw:
		c.withdraw(key, token)
	case attempt.Leave: // repeats are told that the operation is at work until its window is over
	}
	c.answer(w, t, out)
}

// repeat answers a request whose key was claimed before.
func (c *Proxy) repeat(w http.ResponseWriter, t *task, first *idempotency.Answer) {
	if first == nil {
		c.refuse(w, t.r, apierror.AtWork.New("the operation is at work"))
		return
	}
	header := http.Header{}
	for name, value := range first.Headers {
		header.Set(name, value)
	}
	c.answer(w, t, outcome{cause: attempt.Answered, status: first.Status, header: header, body: first.Body})
}

// kept is what repeats of an operation are told.
func kept(out outcome) *idempotency.Answer {
	a := &idempotency.Answer{Status: out.status, Headers: map[string]string{}, Body: out.body}
	for _, name := range []string{"X-Server-Seal", "Content-Type"} {
		if v := out.header.Get(name); v != "" {
			a.Headers[name] = v
		}
	}
	return a
}

// run sends a request to servers until one answers, or no further try is allowed.
func (c *Proxy) run(t *task) outcome {
	budget := c.asks(t.service)
	told := outcome{cause: attempt.NoRoom, err: fmt.Errorf("no room at %s", t.service)}
	t.pass = c.reservations.enter(c, t)
	defer c.reservations.leave(c, t.pass, t.service)
	way := &t.way
	way.Safe, way.Most = t.route.Kind == config.Safe, t.route.Tries
	for {
		if t.until-c.now()-wayBack < leastTime {
			if way.Sent == 0 {
				return outcome{cause: attempt.NoTime, err: errNoTime}
			}
			return told
		}
		u := c.seize(t, way.Sent > 0)
		if u == nil {
			if way.Paid {
				c.back(budget)
			}
			if way.Sent == 0 {
				told.cause = attempt.NoRoom
			}
			return told
		}
		out := c.tryAt(t, u)
		if way.Supersedes(out.cause) {
			told = out
		}
		held := t.rest == nil || !t.rest.touched.Load()
		next := way.Over(out.cause, held)
		if next == attempt.Stop || c.now() > t.until-leastTime {
			return told
		}
		if next == attempt.Pay {
			if !c.spend(budget, t.pass) {
				return told
			}
			way.Paid = true
		}
	}
}

// errNoTime says that the deadline is too near for any server.
var errNoTime = errors.New("no time left")

// tryAt is one try with what is counted of it.
func (c *Proxy) tryAt(t *task, u *upstream) outcome {
	t.tried = append(t.tried, u)
	out := c.try(t, u)
	c.metrics.Tries.WithLabelValues(out.cause.Row().Ending.String()).Inc()
	c.waiting.wake(t.service)
	return out
}

// seize finds a server with room, waiting a little for one.
func (c *Proxy) seize(t *task, further bool) *upstream {
	if u := c.place(t); u != nil || further || !c.serves(t.service) {
		return u // without any server there is nothing to wait for
	}
	limit, rank := min(time.Duration(float64(t.aim)*waitShare), (t.until-c.now())/4), t.route.Priority
	if t.stale { // it comes after all that can still be in time, and has nothing to lose by waiting
		limit, rank = (t.until-c.now())/3, rank+staleRank
	}
	if c.reservations.first(t.pass) {
		rank -= bookedRank
	}
	w := c.waiting.wait(t.service, rank, c.now())
	defer c.waiting.leave(t.service, w)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case <-w.wake:
			if u := c.place(t); u != nil {
				return u
			}
		case <-timer.C:
			return c.place(t)
		case <-c.ending:
			return nil
		}
	}
}

// place picks a server, if the request may have room at its service.
func (c *Proxy) place(t *task) *upstream {
	if !c.reservations.admit(t.pass, c.now()) {
		return nil
	}
	u := c.pick(t.service, t.tried)
	if u == nil && t.way.Sent == 0 {
		c.reservations.back(t.pass)
	}
	return u
}
