package controller

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/apierror"
)

const bodyMost = 32 << 20

// waiter is a call that waits for its entry.
type waiter struct {
	term   uint64
	until  time.Duration
	answer func(version uint64, err error)
}

// read is a call that waits for the proof that this planner still leads.
type read struct {
	round  uint64
	until  time.Duration
	body   func() ([]byte, error)
	answer func(body []byte, err error)
}

// handler is the control calls' tree of matchers.
func (c *Controller) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /instances/{id}", c.beat)
	mux.HandleFunc("DELETE /instances/{id}", c.leave)
	mux.HandleFunc("PUT /config", func(w http.ResponseWriter, r *http.Request) { c.change(w, r, false) })
	mux.HandleFunc("PATCH /config", func(w http.ResponseWriter, r *http.Request) { c.change(w, r, true) })
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, r *http.Request) { c.readWith(w, r, c.newest) })
	mux.HandleFunc("GET /config/history", c.pastVersions)
	mux.HandleFunc("GET /bookings", func(w http.ResponseWriter, r *http.Request) { c.readWith(w, r, c.bookings) })
	mux.HandleFunc("PUT /bookings", c.bookingCall)
	mux.HandleFunc("PUT /bookings/{id}", c.bookingCall)
	mux.HandleFunc("DELETE /bookings/{id}", c.bookingCall)
	mux.HandleFunc("POST /members", c.replaceMember)
	mux.HandleFunc("GET /status", c.status)
	mux.Handle("GET /metrics", c.metrics.Handler())
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(w, apierror.UnknownCall.New("%s %s is no call", r.Method, r.URL.Path))
	})
	return mux
}

// refuse answers an error as the table of kinds says.
func refuse(w http.ResponseWriter, err error) {
	a := apierror.For(err)
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter, 'f', -1, 64))
	}
	reply(w, a.Status, map[string]string{"error": err.Error()})
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"error":"the answer can't be written"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // a caller that is gone asks again
}

// elsewhere sends a caller to the leader.
func (c *Controller) elsewhere(w http.ResponseWriter, r *http.Request, leader string) {
	if leader == "" || leader == c.set.IP {
		refuse(w, apierror.NoLeader.New("nobody leads now"))
		return
	}
	w.Header().Set("Location", "http://"+c.controlOf(leader)+r.URL.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// controlOf is where a controller takes control calls: all use the same port.
func (c *Controller) controlOf(ip string) string {
	_, port, err := net.SplitHostPort(c.set.Listen.Control)
	if err != nil {
		return ip
	}
	return net.JoinHostPort(ip, port)
}

func (c *Controller) leads() bool {
	return c.replica != nil && c.replica.Role() == consensus.Leader && !c.unreadable
}

// leader is the address of the leader, as far as it is known.
func (c *Controller) leader() string { return membership.Address(c.replica.Leader()) }

type answered struct {
	version uint64
	body    []byte
	leader  string
	err     error
}

func (c *Controller) change(w http.ResponseWriter, r *http.Request, patch bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		kind := apierror.Malformed
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			kind = apierror.TooLarge
		}
		refuse(w, kind.Wrap(err, "body"))
		return
	}
	base, ok := config.ParseVersion(r.Header.Get("If-Match"))
	if !ok {
		refuse(w, apierror.Malformed.New("If-Match %q is no version", r.Header.Get("If-Match")))
		return
	}
	if !patch {
		if _, err := config.Parse(body); err != nil {
			refuse(w, err)
			return
		}
	}
	change := statemachine.Change{Base: uint64(base), Patch: patch, Body: body}
	done := make(chan answered, 1)
	c.do(func() { c.propose(change, done) })
	select {
	case a := <-done:
		switch {
		case a.leader != "":
			c.elsewhere(w, r, a.leader)
		case a.err != nil:
			refuse(w, a.err)
		default:
			reply(w, http.StatusOK, map[string]any{"version": config.Version(a.version)})
		}
	case <-r.Context().Done():
	}
}

// propose puts a change into the history, if this planner leads.
func (c *Controller) propose(change statemachine.Change, done chan answered) {
	if !c.leads() {
		if leader := c.leader(); leader != "" && leader != c.set.IP {
			done <- answered{leader: leader}
		} else {
			done <- answered{err: apierror.NoLeader.New("nobody leads now")}
		}
		return
	}
	// What is plainly wrong needs no entry: whether it is stale or invalid, it is refused either way.
	if !c.state.Knows(change) && len(c.waiters) == 0 && change.Base == c.state.Version() {
		if _, err := c.state.Check(change); err != nil {
			done <- answered{err: err}
			return
		}
	}
	data, err := cbor.Marshal(change)
	if err != nil {
		done <- answered{err: apierror.Malformed.Wrap(err, "change")}
		return
	}
	index, term, _ := c.replica.Propose(data, c.now())
	c.wait(index, waiter{term: term, until: c.now() + callLimit, answer: func(version uint64, err error) {
		done <- answered{version: version, err: err}
	}})
}

// wait has a call wait for the entry at an index. Whoever waited there before waits for an entry that was cut off the log.
func (c *Controller) wait(index uint64, w waiter) {
	if former, ok := c.waiters[index]; ok {
		former.answer(0, apierror.Unconfirmed.New("another change took its place"))
	}
	c.waiters[index] = w
}

// apply takes what the consensus committed.
func (c *Controller) apply(out consensus.Output) {
	before, booked := c.state.Version(), c.state.Bookings.Version
	var last *statemachine.Change
	steps := 0
	if out.Install != nil {
		if err := c.state.Restore(*out.Install); err != nil {
			// It votes and stores on, so that the others keep their majority, and neither leads nor serves.
			_ = c.logger.Log("event", "snapshot can't be read", "index", out.Install.Index, "cause", err)
			c.unreadable = true
			return
		}
		c.unreadable = false
		c.applyMembership(out.Install.Membership)
		steps = 2
	}
	if c.unreadable {
		return // nothing can be applied to a state that is not there
	}
	for _, e := range out.Committed {
		if e.Membership != nil {
			c.applyMembership(*e.Membership)
		}
		change, err := c.state.Apply(e)
		if change != nil {
			last, steps = change, steps+1
			_ = c.logger.Log("event", "configuration", "version", config.Version(c.state.Version()), "index", e.Index, "term", e.Term, "routes", len(c.state.Config.Routes))
		}
		if w, ok := c.waiters[e.Index]; ok {
			delete(c.waiters, e.Index)
			if w.term != e.Term {
				err = apierror.Unconfirmed.New("another change took its place")
			}
			w.answer(c.state.Version(), err)
		}
	}
	if v := c.state.Bookings.Version; v != booked {
		_ = c.logger.Log("event", "bookings", "version", v, "held", len(c.state.Bookings.Active))
	}
	if c.state.Version() != before {
		f := &peer.Config{Version: c.state.Version()}
		if steps == 1 && last.Patch {
			f.Base, f.Delta = before, last.Body
		} else if whole, err := json.Marshal(c.state.Config); err == nil {
			f.Snapshot = whole
		}
		c.pushConfig(f)
	}
	if c.state.EntriesSinceSnapshot > compactAfter {
		if data, err := c.state.Save(); err == nil {
			c.replica.Compact(c.state.Index, data)
			c.state.EntriesSinceSnapshot = 0
		}
	}
}

// pushConfig sends a configuration to the edges.
func (c *Controller) pushConfig(f *peer.Config) {
	for _, e := range c.edges {
		e.link.Send(&peer.Frame{Config: f})
	}
	c.tables.SetConfig(c.state.Config)
}

// whole is the configuration for one who has none, or another.
func (c *Controller) whole() *peer.Config {
	if c.state.Config == nil {
		return nil
	}
	body, err := json.Marshal(c.state.Config)
	if err != nil {
		return nil
	}
	return &peer.Config{Version: c.state.Version(), Snapshot: body}
}

// newest is the configuration.
func (c *Controller) newest() ([]byte, error) {
	if c.state.Config == nil {
		return []byte(`{}`), nil
	}
	return json.Marshal(c.state.Config)
}

// readWith answers with what holds now, once it is sure that this planner still leads.
func (c *Controller) readWith(w http.ResponseWriter, r *http.Request, render func() ([]byte, error)) {
	done := make(chan answered, 1)
	c.do(func() {
		if !c.leads() {
			done <- answered{leader: c.leader()}
			return
		}
		round := c.replica.ReadIndex(c.now())
		c.reads = append(c.reads, read{round, c.now() + callLimit, render, func(body []byte, err error) { done <- answered{body: body, err: err} }})
	})
	select {
	case a := <-done:
		switch {
		case a.err != nil:
			refuse(w, a.err)
		case a.body == nil:
			c.elsewhere(w, r, a.leader)
		default:
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
			_, _ = w.Write(a.body) // a caller that is gone asks again
		}
	case <-r.Context().Done():
	}
}

func (c *Controller) answerReads() {
	c.reads = slices.DeleteFunc(c.reads, func(r read) bool {
		switch {
		case c.leads() && c.replica.ReadConfirmed(r.round):
			r.answer(r.body())
		case !c.leads() || c.now() > r.until:
			r.answer(nil, apierror.NoLeader.New("it could not be confirmed that this planner leads"))
		default:
			return false
		}
		return true
	})
}

// overdue answers calls that waited for too long, and drops fetches that nobody answers.
func (c *Controller) overdue(now time.Duration) {
	for index, w := range c.waiters {
		if now > w.until || !c.leads() {
			delete(c.waiters, index)
			w.answer(0, apierror.Unconfirmed.New("no agreement in time: the change may still be taken"))
		}
	}
	for token, f := range c.fetches {
		if now > f.until {
			delete(c.fetches, token)
			f.do(nil)
		}
	}
}

// pastVersions tells which versions were taken, newest first.
func (c *Controller) pastVersions(w http.ResponseWriter, _ *http.Request) {
	type past struct{ Version, Digest string }
	done := make(chan []past, 1)
	c.do(func() {
		all := []past{}
		for _, t := range slices.Backward(c.state.Accepted) {
			all = append(all, past{config.Version(t.Version).String(), hex.EncodeToString(t.Digest[:8])})
		}
		done <- all
	})
	reply(w, http.StatusOK, <-done)
}

// status tells operators how this planner sees the system.
func (c *Controller) status(w http.ResponseWriter, _ *http.Request) {
	done := make(chan operator.Status, 1)
	c.do(func() {
		v := operator.Status{Node: c.set.Node, IP: c.set.IP, Zone: c.set.Zone, InContact: c.attached(), Version: config.Version(c.state.Version()).String(),
			Leader: c.leader(), Members: c.membership.Voters, Keys: c.claimStore.Len(), Recovering: c.claimStore.Recovering(), DiskFailing: c.store.failing, DiskMs: c.store.took()}
		for _, e := range c.edges {
			v.Edges = append(v.Edges, e.node)
		}
		for ip := range c.peers {
			v.Controllers, v.Control = append(v.Controllers, ip), append(v.Control, c.controlOf(ip))
		}
		slices.Sort(v.Edges)
		slices.Sort(v.Controllers)
		slices.Sort(v.Control)
		for _, e := range c.registry.All(c.now()) {
			v.Servers = append(v.Servers, operator.Server{ID: e.ID, Service: e.Service, Zone: e.Zone, Address: e.Address,
				State: e.State.String(), TimedOut: e.TimedOut, Capacity: e.Capacity, Weight: c.tables.Weight(e.ID)})
		}
		v.BookingShortfalls = c.endangered()
		v.Term, v.Commit, v.LastIndex = c.replica.Term(), c.replica.Commit(), c.replica.Last()
		v.Membership = c.membershipView()
		done <- v
	})
	reply(w, http.StatusOK, <-done)
}
