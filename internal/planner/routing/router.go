// Package routing connects the planner's protocol with the decision module: it translates messages into events and actions
// into messages, and takes no decisions. One goroutine owns a Router and its state; there are no locks.
package routing

import (
	"container/heap"
	"errors"
	"fmt"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// maxLoggedDetail limits the bytes of a peer's message that are logged.
const maxLoggedDetail = 80

// ErrSuperseded is the reason for closing a stream whose proxy has a newer one.
var ErrSuperseded = errors.New("the proxy has a newer stream")

// Router translates between peers, discovery and the decision module. Handle takes an event; Advance runs the module and
// carries out its actions.
type Router struct {
	follower *Follower
	set      settings.Settings
	names    *names
	tables   *tables
	module   Stepper
	log      zerolog.Logger

	pending    []rules.Event // for the next Advance
	timers     timers
	streams    map[uint64]*stream // by peer ID, current ones only
	superseded map[uint64]bool    // peers whose proxy has a newer stream, until they disconnect
	heartbeats map[uint64]Peer    // peers whose heartbeat is answered once there is a list
	hasList    bool
	watchEnded bool           // a watch that the module didn't request has ended since the last Advance
	dropped    map[string]int // number of rejected messages, by reason
	hosted     hostedState
}

// New returns a router that starts from the last known list.
func New(set settings.Settings, module Stepper, calls Calls, known protocol.List, log zerolog.Logger) *Router {
	n := newNames(set)
	r := &Router{follower: NewFollower(calls, 0), set: set, names: n, tables: newTables(n), module: module, log: log,
		streams: map[uint64]*stream{}, superseded: map[uint64]bool{}, dropped: map[string]int{}, heartbeats: map[uint64]Peer{}}
	r.addList(known, rules.ListCached)
	if !set.Rules.QueryDiscovery {
		r.timers = timers{{watch: true}}
	}
	return r
}

// Handle takes one event. Events for the module are queued for the next Advance. A panic is logged and closes at most the
// peer that sent the message.
func (r *Router) Handle(e Event) {
	defer func() {
		if p := recover(); p != nil {
			r.log.Error().Str("event", fmt.Sprintf("%T", e)).Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).
				Msg("event not handled")
			if received, ok := e.(MessageReceived); ok {
				received.Peer.Close(fmt.Errorf("panic: %v", p))
			}
		}
	}()
	switch e := e.(type) {
	case MessageReceived:
		r.handleMessage(e.Peer, e.Message)
	case Disconnected:
		r.handleDisconnected(e.Peer)
	case WatchStarted:
		r.handleWatchStarted(e)
	case ListReceived:
		r.handleList(e)
	case CallFailed:
		r.handleCallFailed(e)
	case DiscoveryMoved:
		r.handleMoved(e)
	case ListUpdated:
		r.handleListUpdated(e)
	case ProxyHandedOver:
		r.handleHandover(e)
	case ShareAllocated:
		r.hosted.receivedShare = e.Number
		r.pending = append(r.pending, e.Part)
	case Probed:
		info := &r.names.servers[e.Server]
		info.probing = false
		r.pending = append(r.pending, rules.Probed{Server: e.Server, OK: e.OK, Refused: e.Refused,
			Elapsed: milliseconds(e.Elapsed), Load: r.names.loadValues(e.Load)})
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// handleMessage handles a message of a peer.
func (r *Router) handleMessage(from Peer, m protocol.Message) {
	if r.superseded[from.ID()] { // its state is outdated, and the new stream repeats part of it
		r.countDropped("message of a stream that has been replaced", fmt.Sprintf("%T", m))
		return
	}
	switch m := m.(type) {
	case protocol.Heartbeat:
		if !r.hasList {
			r.heartbeats[from.ID()] = from
			from.DeferHeartbeat()
			return
		}
		r.answerHeartbeat(from)
	case protocol.Collector:
		if _, known := r.names.zones[m.Zone]; !known {
			r.countDropped("collector of an unknown zone", m.Zone)
		}
	case protocol.Attach:
		r.attach(from, m)
	case protocol.Ack:
		if s := r.streams[from.ID()]; s == nil || int(s.proxy) != m.Proxy {
			r.countDropped("answer that is not from the proxy's stream", strconv.Itoa(m.Proxy))
			return
		}
		r.pending = append(r.pending, rules.Ack{Proxy: rules.ProxyID(m.Proxy), Token: m.Token, Elapsed: m.Elapsed})
	case protocol.Nack: // reported to the module as leaving and joining again: a whole table follows, at its usual cost
		s := r.streams[from.ID()]
		if s == nil || int(s.proxy) != m.Proxy {
			r.countDropped("refusal that is not from the proxy's stream", strconv.Itoa(m.Proxy))
			return
		}
		r.tables.leave(s)
		r.tables.join(s)
		r.pending = append(r.pending, rules.Left{Proxy: s.proxy}, s.joined)
	case protocol.ServerReport:
		zone, zoneKnown := r.names.zones[m.Zone]
		server, serverKnown := r.names.reportedServer(m)
		if !zoneKnown || !serverKnown {
			r.countDropped("report of an unknown zone or server", m.Zone+" "+m.Server+m.Address)
			return
		}
		r.pending = append(r.pending, rules.Heard{Zone: zone, Server: server, Attempts: m.Attempts,
			Failed: m.Failed, Latency: m.Latency, Period: m.Period, Load: r.names.loadValues(m.Load)})
	case protocol.UsageReport:
		class, known := r.names.classes[m.Class]
		if !known || m.Proxy >= r.set.Rules.Proxies {
			r.countDropped("usage of an unknown class or proxy", m.Class)
			return
		}
		r.pending = append(r.pending, rules.Demand{Proxy: rules.ProxyID(m.Proxy), Class: class,
			Requests: m.Requests, Unanswered: m.Unanswered, Period: m.Period})
	}
}

// attach adds a proxy. A new stream replaces the proxy's old one, even if the old one hasn't disconnected yet.
func (r *Router) attach(from Peer, m protocol.Attach) {
	zone, known := r.names.zones[m.Zone]
	if !known || m.Proxy >= r.set.Rules.Proxies {
		r.countDropped("unknown proxy or zone", strconv.Itoa(m.Proxy)+" "+m.Zone)
		return
	}
	proxy := rules.ProxyID(m.Proxy)
	if r.streams[from.ID()] != nil {
		// Each attach costs a whole table on the channel that all proxies share, so a stream may attach once.
		r.countDropped("second joining on one stream", strconv.Itoa(m.Proxy))
		return
	}
	if old := r.tables.joined[proxy]; old != nil {
		if old.peer.ID() > from.ID() { // delayed bytes of an older connection
			r.supersede(from)
			return
		}
		r.leave(old)
		r.supersede(old.peer)
	}
	s := &stream{peer: from, proxy: proxy, joined: rules.Joined{Proxy: proxy, Zone: zone, Rate: m.Rate, Fresh: m.Fresh}}
	r.streams[from.ID()] = s
	r.tables.join(s)
	r.pending = append(r.pending, s.joined)
	r.log.Info().Int("proxy", m.Proxy).Str("zone", m.Zone).Float64("rate", m.Rate).Bool("fresh", m.Fresh).
		Msg("proxy joined")
}

// supersede closes a connection whose proxy has a newer one and ignores its further messages.
func (r *Router) supersede(peer Peer) {
	r.superseded[peer.ID()] = true
	peer.Close(ErrSuperseded)
}

func (r *Router) handleDisconnected(peer Peer) {
	delete(r.heartbeats, peer.ID())
	delete(r.superseded, peer.ID())
	if s := r.streams[peer.ID()]; s != nil {
		r.leave(s)
		r.log.Info().Int("proxy", int(s.proxy)).Msg("proxy left")
	}
}

func (r *Router) leave(s *stream) {
	delete(r.streams, s.peer.ID())
	r.tables.leave(s)
	r.pending = append(r.pending, rules.Left{Proxy: s.proxy})
}

func (r *Router) answerHeartbeat(to Peer) {
	if err := to.AnswerHeartbeat(); err != nil {
		r.countDropped("heartbeat of a peer that is gone", err.Error())
	}
}

// countDropped counts a rejected message, and logs the first, the tenth, the hundredth and so on of each reason.
func (r *Router) countDropped(reason, detail string) {
	if r.dropped[reason]++; ShouldLog(r.dropped[reason]) {
		r.log.Warn().Str("reason", reason).Str("last", detail[:min(len(detail), maxLoggedDetail)]).Int("count",
			r.dropped[reason]).Msg("message not used")
	}
}

// ShouldLog reports whether the nth event of a kind is logged: the first, the tenth, the hundredth and so on.
func ShouldLog(n int) bool {
	for n > 1 && n%10 == 0 {
		n /= 10
	}
	return n == 1
}

// Advance passes all events up to now, in milliseconds, to the module and carries out its actions. It returns the time at
// which it must be called again at the latest, if scheduled is true. After an error the router can't be used any more.
func (r *Router) Advance(now float64) (next float64, scheduled bool, err error) {
	for len(r.timers) > 0 && r.timers[0].due <= now {
		if due := heap.Pop(&r.timers).(timer); due.watch {
			r.follower.StartWatch()
		} else {
			r.pending = append(r.pending, rules.Tick{Token: due.token})
		}
	}
	if r.watchEnded { // Handle doesn't know the time
		r.watchEnded = false
		heap.Push(&r.timers, timer{due: now + WatchBackoff, watch: true})
	}
	if len(r.pending) > 0 {
		events := r.pending
		r.pending = nil
		if err := r.step(now, events); err != nil {
			return 0, false, err
		}
		r.tables.flush(func(s *stream, err error) {
			r.log.Warn().Int("proxy", int(s.proxy)).Err(err).Msg("orders not sent")
		})
		r.releaseUnusedIDs()
		r.updateAppliedEpoch()
	}
	if len(r.timers) == 0 {
		return 0, false, nil
	}
	return r.timers[0].due, true, nil
}

// step runs the module and carries out its actions. It returns an error if the module panics or an action can't be carried
// out: the state of both can't be trusted afterwards, so the program must end.
func (r *Router) step(now float64, events []rules.Event) (err error) {
	activity := "decision module"
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%s panicked: %v\n%s", activity, p, debug.Stack())
		}
	}()
	actions := r.module.Step(now, events)
	if len(actions) > 0 {
		r.hosted.noteRound()
	}
	for _, a := range actions {
		activity = "carrying out an order"
		if err := r.execute(now, a); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) execute(now float64, action rules.Action) error {
	switch action := action.(type) {
	case rules.Timer:
		heap.Push(&r.timers, timer{due: now + max(0, action.Delay), token: action.Token})
	case rules.Probe:
		r.probe(action.Server)
	case rules.Watch:
		r.follower.StartWatch()
	case rules.Fetch:
		if r.follower.fetch == 0 {
			r.follower.StartFetch()
		}
	case rules.Log:
		r.logModuleText(action.Text)
	case rules.SetWeight:
		r.tables.setWeight(action)
	case rules.Bind:
		r.tables.bind(action)
	case rules.Withdraw:
		r.tables.withdraw(action)
	case rules.Admit:
		r.tables.admit(action)
	case rules.Mark:
		r.tables.mark(action)
	default:
		return fmt.Errorf("no order for action %T", action)
	}
	return nil
}

// logModuleText logs a line of the module. The module knows servers by ID only, so the server's name is added for operators.
func (r *Router) logModuleText(text string) {
	line := r.log.Info().Str("by", "rules")
	var id int
	if n, _ := fmt.Sscanf(text, "server %d ", &id); n == 1 && id >= 0 && id < len(r.names.servers) {
		line = line.Str("server", r.names.servers[id].name)
	}
	line.Msg(text)
}

// probe probes a server, unless a probe of it is in flight or the settings forbid probes.
func (r *Router) probe(id rules.ServerID) {
	info := &r.names.servers[id]
	if !r.set.Rules.Probes || info.probing || info.address == "" {
		return
	}
	info.probing = true
	r.follower.calls.Probe(id, info.address, r.set.LoadReports)
}
