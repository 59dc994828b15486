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
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/peer"
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
func (x *Exchange) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /instances/{id}", x.beat)
	mux.HandleFunc("DELETE /instances/{id}", x.leave)
	mux.HandleFunc("PUT /config", func(w http.ResponseWriter, r *http.Request) { x.change(w, r, false) })
	mux.HandleFunc("PATCH /config", func(w http.ResponseWriter, r *http.Request) { x.change(w, r, true) })
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, r *http.Request) { x.readWith(w, r, x.newest) })
	mux.HandleFunc("GET /config/history", x.pastVersions)
	mux.HandleFunc("GET /bookings", func(w http.ResponseWriter, r *http.Request) { x.readWith(w, r, x.bookings) })
	mux.HandleFunc("PUT /bookings", x.bookingCall)
	mux.HandleFunc("PUT /bookings/{id}", x.bookingCall)
	mux.HandleFunc("DELETE /bookings/{id}", x.bookingCall)
	mux.HandleFunc("GET /status", x.status)
	mux.Handle("GET /metrics", x.tally.Handler())
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(w, apierror.UnknownCall.New("%s %s is no call", r.Method, r.URL.Path))
	})
	return mux
}

// refuse answers an error as the table of kinds says.
func refuse(w http.ResponseWriter, err error) {
	a := apierror.For(err)
	if a.Retry > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.Retry, 'f', -1, 64))
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
func (x *Exchange) elsewhere(w http.ResponseWriter, r *http.Request, leader string) {
	if leader == "" || leader == x.set.IP {
		refuse(w, apierror.NoLeader.New("nobody leads now"))
		return
	}
	w.Header().Set("Location", "http://"+x.controlOf(leader)+r.URL.RequestURI())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// controlOf is where a controller takes control calls: all use the same port.
func (x *Exchange) controlOf(ip string) string {
	_, port, err := net.SplitHostPort(x.set.Listen.Control)
	if err != nil {
		return ip
	}
	return net.JoinHostPort(ip, port)
}

func (x *Exchange) leads() bool { return x.member != nil && x.member.Role() == consensus.Leader }

func (x *Exchange) leader() string {
	if x.member != nil {
		return x.member.Leader()
	}
	if len(x.members) > 0 {
		for _, ip := range x.members {
			if x.peers[ip] != nil {
				return ip
			}
		}
	}
	return ""
}

type answered struct {
	version uint64
	body    []byte
	leader  string
	err     error
}

func (x *Exchange) change(w http.ResponseWriter, r *http.Request, patch bool) {
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
	c := statemachine.Change{Base: uint64(base), Patch: patch, Body: body}
	done := make(chan answered, 1)
	x.do(func() { x.propose(c, done) })
	select {
	case a := <-done:
		switch {
		case a.leader != "":
			x.elsewhere(w, r, a.leader)
		case a.err != nil:
			refuse(w, a.err)
		default:
			reply(w, http.StatusOK, map[string]any{"version": config.Version(a.version)})
		}
	case <-r.Context().Done():
	}
}

// propose puts a change into the history, if this planner leads.
func (x *Exchange) propose(c statemachine.Change, done chan answered) {
	if !x.leads() {
		if leader := x.leader(); leader != "" && leader != x.set.IP {
			done <- answered{leader: leader}
		} else {
			done <- answered{err: apierror.NoLeader.New("nobody leads now")}
		}
		return
	}
	// What is plainly wrong needs no entry: whether it is stale or invalid, it is refused either way.
	if !x.state.Knows(c) && len(x.waiters) == 0 && c.Base == x.state.Version() {
		if _, err := x.state.Check(c); err != nil {
			done <- answered{err: err}
			return
		}
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		done <- answered{err: apierror.Malformed.Wrap(err, "change")}
		return
	}
	index, term, _ := x.member.Propose(data, x.now())
	x.waiters[index] = waiter{term: term, until: x.now() + callLimit, answer: func(version uint64, err error) {
		done <- answered{version: version, err: err}
	}}
}

// apply takes what the agreement committed.
func (x *Exchange) apply(out consensus.Output) {
	before, booked := x.state.Version(), x.state.Book.Version
	var last *statemachine.Change
	steps := 0
	if out.Install != nil {
		if err := x.state.Restore(*out.Install); err != nil {
			_ = x.logger.Log("event", "snapshot can't be read", "cause", err)
			return
		}
		steps = 2
	}
	for _, e := range out.Committed {
		c, err := x.state.Apply(e)
		if c != nil {
			last, steps = c, steps+1
			_ = x.logger.Log("event", "configuration", "version", config.Version(x.state.Version()), "index", e.Index, "term", e.Term, "routes", len(x.state.Config.Routes))
		}
		if w, ok := x.waiters[e.Index]; ok {
			delete(x.waiters, e.Index)
			if w.term != e.Term {
				err = apierror.Unconfirmed.New("another change took its place")
			}
			w.answer(x.state.Version(), err)
		}
	}
	if v := x.state.Book.Version; v != booked {
		_ = x.logger.Log("event", "bookings", "version", v, "held", len(x.state.Book.All))
	}
	if x.state.Version() != before {
		f := &peer.Config{Version: x.state.Version()}
		if steps == 1 && last.Patch {
			f.Base, f.Change = before, last.Body
		} else if whole, err := json.Marshal(x.state.Config); err == nil {
			f.Whole = whole
		}
		x.pushConfig(f)
	}
	if x.state.Since > compactAfter {
		if data, err := x.state.Save(); err == nil {
			x.member.Compact(x.state.Index, data)
			x.state.Since = 0
		}
	}
}

// pushConfig sends a configuration to the edges, and to controllers without a vote.
func (x *Exchange) pushConfig(f *peer.Config) {
	for _, e := range x.edges {
		e.link.Send(&peer.Frame{Config: f})
	}
	for ip, p := range x.peers {
		if x.leads() && !slices.Contains(x.members, ip) {
			p.link.Send(&peer.Frame{Config: f})
		}
	}
	x.tables.Configured(x.state.Config)
}

// whole is the configuration for one who has none, or another.
func (x *Exchange) whole() *peer.Config {
	if x.state.Config == nil {
		return nil
	}
	body, err := json.Marshal(x.state.Config)
	if err != nil {
		return nil
	}
	return &peer.Config{Version: x.state.Version(), Whole: body}
}

// observed takes a configuration that a controller without a vote was sent.
func (x *Exchange) observed(c *peer.Config) (whole bool) {
	if x.member != nil || c.Version <= x.state.Version() {
		return true
	}
	var next *config.Config
	var err error
	if c.Whole != nil {
		next, err = config.Parse(c.Whole)
	} else if x.state.Config == nil || c.Base != x.state.Version() {
		return false
	} else {
		next, err = x.state.Config.Patch(c.Change)
	}
	if err != nil {
		_ = x.logger.Log("event", "configuration can't be read", "cause", err)
		return false
	}
	x.state.Config = next
	x.pushConfig(x.whole())
	return true
}

// newest is the configuration.
func (x *Exchange) newest() ([]byte, error) {
	if x.state.Config == nil {
		return []byte(`{}`), nil
	}
	return json.Marshal(x.state.Config)
}

// readWith answers with what holds now, once it is sure that this planner still leads.
func (x *Exchange) readWith(w http.ResponseWriter, r *http.Request, render func() ([]byte, error)) {
	done := make(chan answered, 1)
	x.do(func() {
		if !x.leads() {
			done <- answered{leader: x.leader()}
			return
		}
		round := x.member.Confirm(x.now())
		x.reads = append(x.reads, read{round, x.now() + callLimit, render, func(body []byte, err error) { done <- answered{body: body, err: err} }})
	})
	select {
	case a := <-done:
		switch {
		case a.err != nil:
			refuse(w, a.err)
		case a.body == nil:
			x.elsewhere(w, r, a.leader)
		default:
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
			_, _ = w.Write(a.body) // a caller that is gone asks again
		}
	case <-r.Context().Done():
	}
}

func (x *Exchange) answerReads() {
	x.reads = slices.DeleteFunc(x.reads, func(r read) bool {
		switch {
		case x.leads() && x.member.Confirmed(r.round):
			r.answer(r.body())
		case !x.leads() || x.now() > r.until:
			r.answer(nil, apierror.NoLeader.New("it could not be confirmed that this planner leads"))
		default:
			return false
		}
		return true
	})
}

// overdue answers calls that waited for too long, and drops fetches that nobody answers.
func (x *Exchange) overdue(now time.Duration) {
	for index, w := range x.waiters {
		if now > w.until || !x.leads() {
			delete(x.waiters, index)
			w.answer(0, apierror.Unconfirmed.New("no agreement in time: the change may still be taken"))
		}
	}
	for token, f := range x.fetches {
		if now > f.until {
			delete(x.fetches, token)
			f.do(nil)
		}
	}
}

// pastVersions tells which versions were taken, newest first.
func (x *Exchange) pastVersions(w http.ResponseWriter, _ *http.Request) {
	type past struct{ Version, Digest string }
	done := make(chan []past, 1)
	x.do(func() {
		all := []past{}
		for _, t := range slices.Backward(x.state.Taken) {
			all = append(all, past{config.Version(t.Version).String(), hex.EncodeToString(t.Digest[:8])})
		}
		done <- all
	})
	reply(w, http.StatusOK, <-done)
}

// status tells operators how this planner sees the system.
func (x *Exchange) status(w http.ResponseWriter, _ *http.Request) {
	done := make(chan operator.View, 1)
	x.do(func() {
		v := operator.View{Node: x.set.Node, IP: x.set.IP, Zone: x.set.Zone, Attached: x.attached(), Version: config.Version(x.state.Version()).String(),
			Leader: x.leader(), Members: x.members, Keys: x.ledger.Len(), LedgerBlank: x.ledger.Blank(), DiskRefuses: x.store.failing, DiskMs: x.store.took()}
		for _, e := range x.edges {
			v.Edges = append(v.Edges, e.node)
		}
		for ip := range x.peers {
			v.Exchanges, v.Control = append(v.Exchanges, ip), append(v.Control, x.controlOf(ip))
		}
		slices.Sort(v.Edges)
		slices.Sort(v.Exchanges)
		slices.Sort(v.Control)
		for _, e := range x.dir.All(x.now()) {
			v.Servers = append(v.Servers, operator.Server{ID: e.ID, Service: e.Service, Zone: e.Zone, Address: e.Address,
				State: e.State.String(), Silent: e.Silent, Capacity: e.Capacity, Weight: x.tables.Weight(e.ID)})
		}
		v.Endangered = x.endangered()
		if x.member != nil {
			v.Term, v.Commit, v.Last, v.Blank = x.member.Term(), x.member.Commit(), x.member.Last(), x.member.Blank()
		}
		done <- v
	})
	reply(w, http.StatusOK, <-done)
}
