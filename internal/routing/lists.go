package routing

import (
	"maps"
	"slices"

	"mulleinwood/internal/protocol"
	"mulleinwood/rules"
)

// watchPause is how long after a watch has ended the next is asked for where the settings say that changes come
// unsolicited. The module doesn't ask there, and a watch is how they come on sockets. It is half the time after
// which the protocol gives a sign of life.
const watchPause = 1000.0

// listed takes an answer of discovery, unless its call no longer counts.
func (r *Router) listed(e Listed) {
	switch e.Call {
	case r.older:
	case r.watch:
		renumbered := !r.heard && e.List.Revision < r.revision
		if r.heard = true; renumbered && !e.List.Complete && r.fetch == 0 {
			r.startFetch() // another service than the one that the list held is from: its changes don't build on that
		}
	case r.fetch:
		r.fetch = 0
		if r.watch != 0 && r.heard && e.List.Revision < r.revision {
			return // the watch is ahead of it
		}
	default:
		return
	}
	r.take(e.List)
}

// take tells the module of what discovery says.
func (r *Router) take(l protocol.List) {
	kind := rules.ListChanges
	if l.Complete {
		kind = rules.ListFull
	}
	r.list(l, kind)
}

// list tells the module of a list. The first one that holds anything puts the planner to use.
func (r *Router) list(l protocol.List, kind rules.ListKind) {
	list := rules.List{Kind: kind}
	for _, m := range l.Members {
		list.Servers = append(list.Servers, r.names.entry(m))
	}
	r.names.left(list)
	r.revision = l.Revision
	r.pending = append(r.pending, list)
	if kind == rules.ListCached && len(l.Members) == 0 {
		return // nothing can be ordered before discovery has been heard
	}
	r.hasList = true
	for _, peer := range r.waiting {
		r.answer(peer)
	}
	clear(r.waiting)
}

// retire gives back the numbers of servers that the list has dropped and nothing refers to: no table of a joined proxy,
// no shut-out, no probe under way. It guards against memory and work that grow with all servers ever met, where new
// ones come for good. A server that comes back later starts clean. Where a dropped server may stay in use, tables tell
// whether it does, so there must be some.
func (r *Router) retire() {
	if r.set.Rules.DrainOnly && len(r.tables.joined) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.names.gone)) {
		if !r.names.servers[id].probing && r.tables.forget(id) {
			r.log.Info().Str("server", r.names.servers[id].name).Int("known", len(r.names.ids)-1).Msg("server forgotten")
			r.names.giveBack(id)
			r.pending = append(r.pending, rules.Forgotten{Server: id})
		}
	}
}

// callFailed tells the module that its call has ended, so that it asks again.
func (r *Router) callFailed(e CallFailed) {
	asked := true // by the module, which is told of a failure only then
	switch e.Call {
	case r.watch:
		asked = r.set.Rules.AskDiscovery
		r.watch, r.rewatch = 0, !asked
	case r.older:
		r.older = 0
		return // the one that comes in its place has been asked for
	case r.fetch:
		r.fetch = 0
	default:
		return
	}
	r.log.Warn().Err(e.Err).Int64("revision", r.revision).Msg("discovery call ended")
	if asked {
		r.pending = append(r.pending, rules.List{Kind: rules.ListFailed})
	}
}

// watchBegun notes that discovery has taken a watch on: a call that is answered counts as answered even if nothing
// has changed. What is still open at discovery's former address ends only now, so that no change is missed.
func (r *Router) watchBegun(e WatchBegun) {
	if e.Call != r.watch {
		return
	}
	r.begun = true
	if r.older != 0 {
		r.calls.Cancel(r.older)
		r.older = 0
	}
	r.pending = append(r.pending, rules.List{Kind: rules.ListChanges})
}

// moved asks at discovery's new address at once. A watch that stands at the former one is believed until the new
// one is answered, or the former one ends: guards against drains that are missed in between.
func (r *Router) moved(e Moved) {
	r.calls.Move(e.Discovery)
	switch {
	case r.watch != 0 && r.begun:
		if r.older != 0 {
			r.calls.Cancel(r.older)
		}
		r.older = r.watch
	case r.watch != 0:
		r.calls.Cancel(r.watch)
	}
	r.watch, r.rewatch = 0, false
	r.startWatch()
	if r.fetch != 0 {
		r.calls.Cancel(r.fetch)
		r.startFetch()
	}
}

// startFetch asks for the whole list.
func (r *Router) startFetch() {
	r.lastCall++
	r.fetch = r.lastCall
	r.calls.Fetch(r.fetch)
}

// startWatch asks for the changes after the last revision, unless a watch stands.
func (r *Router) startWatch() {
	if r.watch == 0 {
		r.lastCall++
		r.watch, r.begun, r.heard = r.lastCall, false, false
		r.calls.Watch(r.watch, r.revision)
	}
}
