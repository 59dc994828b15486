package routing

import (
	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// hostedState is the additional state of a router that is one of several in a planner. A host follows discovery for all of
// them and tracks the progress of each.
type hostedState struct {
	enabled                  bool
	receivedEpoch            uint64 // the newest list epoch received from the host
	seenEpoch, appliedEpoch  uint64 // see Progress
	receivedShare, usedShare uint64 // numbers of the channel share last received, and of the one in use by the module
	rounds                   uint64
	leaving                  map[rules.ServerID]bool // servers that must leave all tables and may still be in one
}

// Progress describes which updates from its host a router has processed.
type Progress struct {
	Rounds       uint64 // number of the module's steps so far that returned actions
	SeenEpoch    uint64 // the newest list epoch that the module has processed
	AppliedEpoch uint64 // the newest list epoch that the tables of all joined proxies comply with
	ShareNumber  uint64 // number of the channel share that the module used in its last round
}

// NewHosted returns a router that doesn't call discovery: its host sends it the list and the proxies. known is the complete
// list as of the given epoch.
func NewHosted(set settings.Settings, module Stepper, calls Calls, known protocol.List, epoch uint64,
	log zerolog.Logger) *Router {
	set.Rules.QueryDiscovery = false // the host calls discovery instead of the module
	r := New(set, module, calls, known, log)
	r.timers = nil // no watch by the router either
	r.hosted = hostedState{enabled: true, receivedEpoch: epoch, leaving: map[rules.ServerID]bool{}}
	return r
}

// Progress returns the router's progress as of the last call of Advance.
func (r *Router) Progress() Progress {
	return Progress{Rounds: r.hosted.rounds, SeenEpoch: r.hosted.seenEpoch, AppliedEpoch: r.hosted.appliedEpoch,
		ShareNumber: r.hosted.usedShare}
}

func (r *Router) handleListUpdated(e ListUpdated) {
	r.addDiscoveryList(e.List)
	r.hosted.receivedEpoch = e.Epoch
	for _, m := range e.List.Members {
		id, known := r.names.ids[m.ID]
		delete(r.hosted.leaving, id)
		if known && (m.Phase == protocol.PhaseDraining || m.Phase != protocol.PhaseUp && !r.set.Rules.DrainOnly) {
			r.hosted.leaving[id] = true
		}
	}
	if e.List.Complete && !r.set.Rules.DrainOnly {
		for id := range r.names.unlisted {
			r.hosted.leaving[id] = true
		}
	}
}

// handleHandover adds a proxy whose stream another router had. The proxy may still hold the other router's table and
// exclusions.
func (r *Router) handleHandover(e ProxyHandedOver) {
	r.attach(e.Peer, e.Attach)
	s := r.streams[e.Peer.ID()]
	if s == nil {
		return
	}
	delete(r.tables.excluded, s.proxy) // left from an earlier stay of the proxy on this router
	for _, name := range e.Excluded {
		if r.tables.excluded[s.proxy] == nil {
			r.tables.excluded[s.proxy] = map[rules.ServerID]bool{}
		}
		id, known := r.names.ids[name]
		if !known { // not listed now; its ID is released once the proxy was told to include it again
			id = r.names.serverID(name)
			r.names.unlisted[id] = true
		}
		r.tables.excluded[s.proxy][id] = true
	}
}

// noteRound records that a step of the module returned actions. Such a step has processed all events so far, since a
// decision round always returns at least the timer of the next one.
func (h *hostedState) noteRound() {
	h.rounds++
	h.seenEpoch, h.usedShare = h.receivedEpoch, h.receivedShare
}

// updateAppliedEpoch advances the applied epoch once no table in use contains a server that must leave. A server that is
// absent from the mirror of a table has also been removed in the assignments given to the proxies' streams.
func (r *Router) updateAppliedEpoch() {
	if !r.hosted.enabled || r.hosted.appliedEpoch == r.hosted.seenEpoch {
		return
	}
	for id := range r.hosted.leaving {
		if r.tables.inUse(id) {
			return
		}
		delete(r.hosted.leaving, id)
	}
	r.hosted.appliedEpoch = r.hosted.seenEpoch
}

// inUse reports whether the table of a joined proxy contains a server.
func (t *tables) inUse(id rules.ServerID) bool {
	for _, s := range t.joined {
		if !s.bound {
			continue
		}
		if _, found := t.byID[s.table].weights[id]; found {
			return true
		}
	}
	return false
}
