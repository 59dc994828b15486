package routing

import (
	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// fed is what a router keeps that is one of several of a planner: a host follows discovery for all of them and must know
// how far each has come.
type fed struct {
	on          bool
	told        uint64 // the newest epoch of the list that was told
	seen, done  uint64 // see Progress
	dealt, deal uint64 // the shares of the channel that were told and that the module works with
	looks       uint64
	leaving     map[rules.ServerID]bool // servers that may not stay in tables, and may be in one
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
	r.fed = fed{on: true, told: epoch, leaving: map[rules.ServerID]bool{}}
	return r
}

// Progress is how far the router has come. Tables are looked through for it, so it is for once a look.
func (r *Router) Progress() Progress {
	return Progress{Rounds: r.fed.looks, SeenEpoch: r.fed.seen, AppliedEpoch: r.fed.done, ShareNumber: r.fed.deal}
}

func (r *Router) told(e ListUpdated) {
	r.take(e.List)
	r.fed.told = e.Epoch
	for _, m := range e.List.Members {
		id, known := r.names.ids[m.ID]
		delete(r.fed.leaving, id)
		if known && (m.Phase == protocol.PhaseDraining || m.Phase != protocol.PhaseUp && !r.set.Rules.DrainOnly) {
			r.fed.leaving[id] = true
		}
	}
	if e.List.Complete && !r.set.Rules.DrainOnly {
		for id := range r.names.gone {
			r.fed.leaving[id] = true
		}
	}
}

// handed takes in a proxy whose stream another router had. It may hold that one's table and what that one shut out.
func (r *Router) handed(e ProxyHandedOver) {
	r.attach(e.Peer, e.Attach)
	s := r.streams[e.Peer.ID()]
	if s == nil {
		return
	}
	delete(r.tables.shut, s.proxy) // of an earlier stay here
	for _, name := range e.Excluded {
		if r.tables.shut[s.proxy] == nil {
			r.tables.shut[s.proxy] = map[rules.ServerID]bool{}
		}
		id, known := r.names.ids[name]
		if !known { // not listed now; its number is given back once the proxy was told to let it in
			id = r.names.server(name)
			r.names.gone[id] = true
		}
		r.tables.shut[s.proxy][id] = true
	}
}

// look notes that the module was asked, ordered something and has thus looked at all that it was told: a look orders at least
// the next one.
func (f *fed) look() {
	f.looks++
	f.seen, f.deal = f.told, f.dealt
}

// confirm notes which changes of the list no table in use contradicts any more. Orders that take a server out have been
// given to the proxy's stream once its mirror lacks the server.
func (r *Router) confirm() {
	if !r.fed.on || r.fed.done == r.fed.seen {
		return
	}
	for id := range r.fed.leaving {
		if r.tables.inUse(id) {
			return
		}
		delete(r.fed.leaving, id)
	}
	r.fed.done = r.fed.seen
}

// inUse says whether the table of a joined proxy holds a server.
func (t *tables) inUse(id rules.ServerID) bool {
	for _, s := range t.joined {
		if !s.bound {
			continue
		}
		if _, holds := t.of[s.table].weights[id]; holds {
			return true
		}
	}
	return false
}
