package routing

import (
	"maps"
	"slices"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

// WatchBackoff is how long after a watch has ended the next is asked for where the settings say that changes come
// unsolicited. The module doesn't ask there, and a watch is how they come on sockets. It is half the time after
// which the protocol gives a sign of life.
const WatchBackoff = 1000.0

// listed takes an answer of discovery, unless its call no longer counts.
func (r *Router) listed(e ListReceived) {
	if r.follower.HandleList(e) {
		r.take(e.List)
	}
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
	r.follower.revision = l.Revision
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
	counts, watched := r.follower.HandleFailure(e)
	if !counts {
		return
	}
	asked := !watched || r.set.Rules.QueryDiscovery // by the module, which is told of a failure only then
	r.rewatch = r.rewatch || !asked
	r.log.Warn().Err(e.Err).Int64("revision", r.follower.revision).Msg("discovery call ended")
	if asked {
		r.pending = append(r.pending, rules.List{Kind: rules.ListFailed})
	}
}

// watchStarted tells the module that its call was answered, even if nothing has changed.
func (r *Router) watchStarted(e WatchStarted) {
	if r.follower.HandleWatchStarted(e) {
		r.pending = append(r.pending, rules.List{Kind: rules.ListChanges})
	}
}

// moved asks at discovery's new address.
func (r *Router) moved(e DiscoveryMoved) {
	r.rewatch = false
	r.follower.HandleMove(e)
}
