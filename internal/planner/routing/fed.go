package routing

import (
	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// hostedState is what a router keeps that is one of several of a planner: a host follows discovery for all of them and must know
// how far each has come.
type hostedState struct {
	enabled                  bool
	receivedEpoch            uint64 // the newest epoch of the list that was told
	seenEpoch, appliedEpoch  uint64 // see Progress
	receivedShare, usedShare uint64 // the shares of the channel that were told and that the module works with
	rounds                   uint64
	leaving                  map[rules.ServerID]bool // servers that may not stay in tables, and may be in one
}

// Progress is how far a router that is fed has come.
type Progress struct {
	Rounds       uint64 // of its module, so far
	SeenEpoch    uint64 // the newest epoch of the list that its module has looked at
	AppliedEpoch uint64 // the newest epoch that no table of its joined proxies contradicts
	ShareNumber  uint64 // the number of the share of the channel that its module worked with in its last look
}

// NewHosted returns a router that asks discovery nothing: the host tells it the list, of which known is the whole as of the
// epoch, and which proxies it has.
func NewHosted(set settings.Settings, module Stepper, calls Calls, known protocol.List, epoch uint64,
	log zerolog.Logger) *Router {
	set.Rules.QueryDiscovery = false // the module need not ask
	r := New(set, module, calls, known, log)
	r.timers = nil // nor the router
	r.hosted = hostedState{enabled: true, receivedEpoch: epoch, leaving: map[rules.ServerID]bool{}}
	return r
}

// Progress is how far the router has come. Tables are looked through for it, so it is for once a look.
func (r *Router) Progress() Progress {
	return Progress{Rounds: r.hosted.rounds, SeenEpoch: r.hosted.seenEpoch, AppliedEpoch: r.hosted.appliedEpoch, ShareNumber: r.hosted.usedShare}
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

// handleHandover takes in a proxy whose stream another router had. It may hold that one's table and what that one shut out.
func (r *Router) handleHandover(e ProxyHandedOver) {
	r.attach(e.Peer, e.Attach)
	s := r.streams[e.Peer.ID()]
	if s == nil {
		return
	}
	delete(r.tables.excluded, s.proxy) // of an earlier stay here
	for _, name := range e.Excluded {
		if r.tables.excluded[s.proxy] == nil {
			r.tables.excluded[s.proxy] = map[rules.ServerID]bool{}
		}
		id, known := r.names.ids[name]
		if !known { // not listed now; its number is given back once the proxy was told to let it in
			id = r.names.serverID(name)
			r.names.unlisted[id] = true
		}
		r.tables.excluded[s.proxy][id] = true
	}
}

// noteRound notes that the module was asked, ordered something and has thus looked at all that it was told: a look orders at least
// the next one.
func (f *hostedState) noteRound() {
	f.rounds++
	f.seenEpoch, f.usedShare = f.receivedEpoch, f.receivedShare
}

// updateAppliedEpoch notes which changes of the list no table in use contradicts any more. Orders that take a server out have been
// given to the proxy's stream once its mirror lacks the server.
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

// inUse says whether the table of a joined proxy holds a server.
func (t *tables) inUse(id rules.ServerID) bool {
	for _, s := range t.joined {
		if !s.bound {
			continue
		}
		if _, holds := t.byID[s.table].weights[id]; holds {
			return true
		}
	}
	return false
}
