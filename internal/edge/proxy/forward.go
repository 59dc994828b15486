package proxy

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/edge/attempt"
	"mulleinwood/internal/edge/retrybudget"
	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/peer"
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

// outcome is how a try ended, and the answer if there is one.
type outcome struct {
	ending attempt.Ending
	status int
	header http.Header
	body   []byte
	rest   io.Reader // of an answer that isn't held whole; end has to be called then
	length int64     // of the whole answer, where rest is set; -1: not told
	end    func(whole bool)
	err    error
}

// ServeHTTP takes a client's request.
func (c *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	now := c.now()
	c.lastSeen.Store(int64(now))
	if c.leaving.Load() {
		w.Header().Set("Connection", "close")
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

// task is a request on its way.
type task struct {
	r       *http.Request
	id      string
	body    []byte // or its beginning, if there is a rest
	length  int64  // of the whole body; -1: it comes in chunks
	rest    *rest
	booked  int64 // of the account of what is held
	route   *config.Route
	service string
	until   time.Duration
	aim     time.Duration
	began   time.Duration
	tried   []*upstream
	way     attempt.Attempt
	pass    *pass
	stale   bool // the client has waited for longer than the aim: what is fresh is worth more
}

// take reads a request whole and checks what its route needs.
func (c *Proxy) take(w http.ResponseWriter, r *http.Request, tree *config.Tree, route *config.Route, now time.Duration) (*task, error) {
	t := &task{r: r, id: r.Header.Get("X-Attempt-Id"), route: route, began: now, aim: time.Duration(route.Setpoint * float64(time.Second))}
	if t.id == "" {
		return nil, apierror.Malformed.New("X-Attempt-Id is missing")
	}
	if route.Kind == config.Keyed && r.Header.Get("X-Operation-Key") == "" {
		return nil, apierror.Malformed.New("X-Operation-Key is missing on a keyed route")
	}
	t.until = now + time.Duration(route.Deadline*float64(time.Second))
	if text := r.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return nil, apierror.Malformed.New("X-Deadline-Ms %q is no time", text)
		}
		t.until = min(t.until, now+time.Duration(ms*float64(time.Millisecond)))
		t.stale = route.Deadline-ms/1000 > route.Setpoint
	}
	if r.Body != nil && r.ContentLength != 0 {
		if err := c.takeBody(w, t, tree.Config.Limits.BodyBytes); err != nil {
			return t, err
		}
	}
	t.service = choose(route)
	return t, nil
}

// choose draws one of a route's services by their gains.
func choose(route *config.Route) string {
	shares := route.Shares()
	sum := 0.0
	for _, s := range shares {
		sum += s.Gain
	}
	at := rand.Float64() * sum
	for _, s := range shares {
		if at -= s.Gain; at < 0 {
			return s.Service
		}
	}
	return shares[0].Service
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
		if ruling.Answer == nil {
			c.refuse(w, t.r, apierror.AtWork.New("the operation is at work"))
			return
		}
		header := http.Header{}
		for name, value := range ruling.Answer.Headers {
			header.Set(name, value)
		}
		c.answer(w, t, outcome{ending: attempt.Ran, status: ruling.Answer.Status, header: header, body: ruling.Answer.Body})
		return
	}
	out := c.run(t)
	switch out.ending {
	case attempt.Ran:
		if out.rest != nil {
			break // too long to be kept: repeats are told that the operation is at work until its window is over
		}
		a := &idempotency.Answer{Status: out.status, Headers: map[string]string{}, Body: out.body}
		for _, name := range []string{"X-Server-Seal", "Content-Type"} {
			if v := out.header.Get(name); v != "" {
				a.Headers[name] = v
			}
		}
		c.finish(key, token, a)
	case attempt.NotSent, attempt.NotRun:
		c.withdraw(key, token)
	}
	c.answer(w, t, out)
}

// run sends a request to servers until one answers, or no further try is allowed.
func (c *Proxy) run(t *task) (out outcome) {
	budget := c.asks(t.service)
	out = outcome{ending: attempt.NotSent, err: apierror.NoServer.New("no server of %s", t.service)}
	t.pass = c.reservations.enter(c, t)
	defer c.reservations.leave(c, t.pass, t.service)
	way := &t.way
	way.Safe, way.Most = t.route.Kind == config.Safe, t.route.Tries
	for {
		if t.until-c.now()-wayBack < leastTime {
			if way.Sent == 0 {
				return outcome{ending: attempt.NotSent, err: apierror.Busy.New("no time left")}
			}
			return out
		}
		u := c.seize(t, way.Sent > 0)
		if u == nil {
			if way.Sent == 0 && out.ending == attempt.NotSent {
				out.err = apierror.Busy.New("no room at %s", t.service)
			}
			if way.Paid {
				c.back(budget)
			}
			return out
		}
		t.tried = append(t.tried, u)
		out = c.try(t, u)
		c.metrics.Tries.WithLabelValues(out.ending.String()).Inc()
		c.waiting.wake(t.service)
		held := out.rest == nil && (t.rest == nil || !t.rest.touched.Load())
		next := way.Ended(out.ending, out.status, held)
		if next == attempt.Stop || c.now() > t.until-leastTime {
			return out
		}
		if next == attempt.Pay {
			if !c.spend(budget, t.pass) {
				return out
			}
			way.Paid = true
		}
	}
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

// hop are the headers that concern one connection. Expect is among them: what it asks for was granted here, and a server
// that doesn't answer it would never be sent the body.
var hop = map[string]bool{"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// endToEnd copies the headers that concern more than one connection.
func endToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	named := from.Values("Connection")
	for name, values := range from {
		if !hop[name] {
			to[name] = values
		}
	}
	for _, list := range named {
		for _, name := range strings.Split(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	return to
}

// try sends the request to one server.
func (c *Proxy) try(t *task, u *upstream) (out outcome) {
	began := c.now()
	left := t.until - began - wayBack
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.r.Context()), left)
	defer func() {
		if out.rest == nil {
			cancel()
		}
	}()
	dialCtx, dialDone := context.WithTimeout(ctx, dialLimit)
	k, err := c.connect(dialCtx, u, t.rest != nil || t.route.Kind != config.Safe && c.distrusts(u.Service))
	dialDone()
	if err != nil {
		c.done(u, 0, false, false)
		return outcome{ending: attempt.NotSent, err: apierror.NoServer.Wrap(err, "dial")}
	}
	u.mu.Lock()
	dead := u.dead
	u.mu.Unlock()
	if dead { // it began to leave while we dialled
		k.conn.Close()
		c.done(u, 0, false, false)
		return outcome{ending: attempt.NotSent, err: apierror.NoServer.New("server left")}
	}
	req := c.request(ctx, t, u)
	sent := c.now()
	resp, err := k.conn.RoundTrip(req)
	if err != nil {
		k.conn.Close()
		kind := apierror.PerhapsRun
		if ctx.Err() != nil {
			kind = apierror.TimedOut
		} else if t.rest != nil && t.rest.failed.Load() != nil { // the client broke off, or was too slow: not the server's doing
			c.done(u, 0, true, true)
			return outcome{ending: attempt.Perhaps, err: kind.Wrap(*t.rest.failed.Load(), "body")}
		} else if k.used {
			c.distrust(u.Service)
		}
		c.done(u, 0, true, false)
		return outcome{ending: attempt.Perhaps, err: kind.Wrap(err, "server %s", u.ID)}
	}
	out = c.read(t, u, resp)
	now := c.now()
	answered := out.ending == attempt.Ran && out.status < 500
	if out.ending == attempt.Perhaps {
		c.distrust(u.Service)
	} else {
		c.tell(u, resp.Header)
	}
	end := func(whole bool) {
		if !whole || resp.Close || t.rest != nil { // after a long body it isn't known whether all of it was taken
			k.conn.Close()
		} else {
			u.free(k, c.now(), resp.Header)
		}
		c.done(u, now-sent, true, answered)
	}
	if out.rest == nil {
		end(out.ending != attempt.Perhaps)
		return out
	}
	out.end = func(whole bool) {
		resp.Body.Close()
		end(whole)
		cancel()
		c.waiting.wake(t.service)
	}
	return out
}

// distrust notes that a service's connections can't be reused safely for now: servers drop them, or send on them what
// belongs to no request. What must not run twice then goes on new ones, where nothing is left over; a new connection
// costs little beside an operation whose outcome nobody knows.
func (c *Proxy) distrust(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubted[service] = c.now() + distrustFor
}

func (c *Proxy) distrusts(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now() < c.doubted[service]
}

// request makes what is sent to the server.
func (c *Proxy) request(ctx context.Context, t *task, u *upstream) *http.Request {
	header := endToEnd(t.r.Header)
	left := max(1, (t.until - c.now() - wayBack).Milliseconds())
	header["X-Deadline-Ms"] = []string{strconv.FormatInt(left, 10)}
	header["X-Expected-Instance"] = []string{u.ID}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // so that none is added
	}
	target := &url.URL{Scheme: "http", Host: u.address, Opaque: t.r.RequestURI}
	if strings.HasPrefix(t.r.RequestURI, "//") || !strings.HasPrefix(t.r.RequestURI, "/") {
		copied := *t.r.URL
		target = &copied
		target.Scheme, target.Host = "http", u.address
	}
	req := (&http.Request{Method: t.r.Method, URL: target, Host: t.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	switch {
	case t.rest != nil:
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(t.body), t.rest))
		req.ContentLength = t.length
	case len(t.body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(t.body))
		req.ContentLength = t.length
	case t.r.Body != nil && t.r.ContentLength != 0:
		req.Body = http.NoBody
	}
	return req
}

// read takes a server's answer: whole if it is short, else its beginning. It is this try's only if it carries its id,
// and has to tell its end.
func (c *Proxy) read(t *task, u *upstream, resp *http.Response) (out outcome) {
	defer func() {
		if out.rest == nil {
			resp.Body.Close()
		}
	}()
	bare := t.r.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	most := int64(answerHeld)
	if t.route.Kind == config.Keyed {
		most = answerKept
	}
	a := attempt.Answer{Came: true, Ours: resp.Header.Get("X-Attempt-Id") == t.id, Ends: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || bare,
		NotRun: resp.Header.Get("X-Not-Run") != "" || resp.StatusCode == http.StatusMisdirectedRequest,
		Good:   resp.StatusCode/100 == 2, Sealed: resp.Header.Get("X-Server-Seal") != ""}
	var body []byte
	var whole bool
	var err error
	if a.Ours && a.Ends {
		var booked int64
		body, whole, booked, err = c.held.hold(resp.Body, resp.ContentLength, most)
		t.booked += booked
		a.Whole = err == nil && (whole || !a.NotRun) // what turns a request away is short
	}
	switch a.Ending() {
	case attempt.Perhaps:
		why := "answer of server " + u.ID
		switch {
		case !a.Ours:
			why += " belongs to another try: " + strconv.Quote(resp.Header.Get("X-Attempt-Id"))
		case !a.Ends:
			why += " has no end of its own"
		case err != nil:
			why += " breaks off: " + err.Error()
		case !a.Whole:
			why += " turns it away at length"
		default:
			why += " is a success without a seal"
		}
		return outcome{ending: attempt.Perhaps, err: apierror.PerhapsRun.New("%s", why)}
	case attempt.NotRun:
		return outcome{ending: attempt.NotRun, status: resp.StatusCode, header: resp.Header, body: body,
			err: apierror.NotRun.New("server %s turned it away with %d", u.ID, resp.StatusCode)}
	}
	out = outcome{ending: attempt.Ran, status: resp.StatusCode, header: resp.Header, body: body}
	if !whole {
		out.rest, out.length = resp.Body, resp.ContentLength
	}
	return out
}

// answer passes on what a server said, or says why nobody did.
func (c *Proxy) answer(w http.ResponseWriter, t *task, out outcome) {
	if out.ending != attempt.Ran {
		err := out.err
		if out.ending == attempt.NotSent || out.ending == attempt.NotRun {
			if t.way.Sent > 0 && out.ending == attempt.NotSent && !errorx.IsOfType(err, apierror.NotRun) {
				err = apierror.NotRun.Wrap(err, "turned away before")
			}
		}
		c.refuse(w, t.r, err)
		return
	}
	h := w.Header()
	for name, values := range endToEnd(out.header) {
		h[name] = values
	}
	h["X-Attempt-Id"] = []string{t.id}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // none is guessed
	}
	switch {
	case t.r.Method == http.MethodHead: // the length that the server told stands
	case out.rest == nil:
		h["Content-Length"] = []string{strconv.Itoa(len(out.body))}
	case out.length >= 0:
		h["Content-Length"] = []string{strconv.FormatInt(out.length, 10)}
	}
	c.metrics.Requests.WithLabelValues(string(t.route.Kind), strconv.Itoa(out.status)).Inc()
	w.WriteHeader(out.status)
	_, gone := w.Write(out.body) // a client that is gone has given up
	if out.rest == nil {
		return
	}
	var broken error
	if gone == nil {
		broken, gone = stream(w, out.rest)
	}
	out.end(broken == nil && gone == nil)
	if broken != nil { // what was cut short must not look whole
		c.metrics.GivenUp.WithLabelValues(apierror.Kind(apierror.PerhapsRun.New("broken off"))).Inc()
		c.note(apierror.PerhapsRun.Wrap(broken, "answer breaks off"), t.r)
		panic(http.ErrAbortHandler)
	}
}

// refuse answers an error as the table of kinds says.
func (c *Proxy) refuse(w http.ResponseWriter, r *http.Request, err error) {
	a := apierror.For(err)
	h := w.Header()
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		h["X-Attempt-Id"] = []string{id}
	}
	if a.Retry > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.Retry*(0.75+rand.Float64()/2), 'f', 3, 64))
	}
	h["Content-Type"] = []string{"text/plain"}
	body := apierror.Kind(err) + "\n"
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(a.Status)
	_, _ = io.WriteString(w, body) // a client that is gone has given up
	c.metrics.GivenUp.WithLabelValues(apierror.Kind(err)).Inc()
	c.note(err, r)
}

// note logs what was given up, with its cause: a few lines a second of each kind, since a flood of refusals should not
// cost more than the requests did. The counters tell all.
func (c *Proxy) note(err error, r *http.Request) {
	kind, second := apierror.Kind(err), int64(c.now()/time.Second)
	c.mu.Lock()
	if c.noted.second != second {
		c.noted.second, c.noted.lines = second, map[string]int{}
	}
	c.noted.lines[kind]++
	n := c.noted.lines[kind]
	c.mu.Unlock()
	if n <= notedMost {
		_ = c.logger.Log("event", "given up", "kind", kind, "try", r.Header.Get("X-Attempt-Id"), "host", r.Host, "cause", err)
	}
}

// asks counts a request for a service and gives the service's retry budget.
func (c *Proxy) asks(service string) *retrybudget.Budget {
	c.mu.Lock()
	defer c.mu.Unlock()
	budget := c.budgets[service]
	slack := c.set.Bound("retry_slack", 0)
	if budget == nil {
		budget = retrybudget.New(c.set.Bound("retry_ratio", 0), slack, int(c.edges.Load()))
		c.budgets[service] = budget
	}
	budget.Share(slack, int(c.edges.Load()))
	budget.Request()
	a := c.asked[service]
	if a == nil {
		a = &peer.Asked{Service: service}
		c.asked[service] = a
	}
	a.Requests++
	return budget
}

// spend takes a further try out of the budget. While room is booked at the service, one try is kept for those who booked.
func (c *Proxy) spend(budget *retrybudget.Budget, p *pass) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return budget.Spend(p != nil && p.under == "")
}

func (c *Proxy) back(budget *retrybudget.Budget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	budget.Back()
}
