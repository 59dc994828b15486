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

// handleList takes an answer of discovery, unless its call no longer counts.
func (r *Router) handleList(e ListReceived) {
	if r.follower.HandleList(e) {
		r.addDiscoveryList(e.List)
	}
}

// addDiscoveryList tells the module of what discovery says.
func (r *Router) addDiscoveryList(l protocol.List) {
	kind := rules.ListChanges
	if l.Complete {
		kind = rules.ListFull
	}
	r.addList(l, kind)
}

// addList tells the module of a list. The first one that holds anything puts the planner to use.
func (r *Router) addList(l protocol.List, kind rules.ListKind) {
	list := rules.List{Kind: kind}
	for _, m := range l.Members {
		list.Servers = append(list.Servers, r.names.serverEntry(m))
	}
	r.names.noteRemoved(list)
	r.follower.revision = l.Revision
	r.pending = append(r.pending, list)
	if kind == rules.ListCached && len(l.Members) == 0 {
		return // nothing can be ordered before discovery has been heard
	}
	r.hasList = true
	for _, peer := range r.heartbeats {
		r.answerHeartbeat(peer)
	}
	clear(r.heartbeats)
}

// releaseUnusedIDs gives back the numbers of servers that the list has dropped and nothing refers to: no table of a joined proxy,
// no shut-out, no probe under way. It guards against memory and work that grow with all servers ever met, where new
// ones come for good. A server that comes back later starts clean. Where a dropped server may stay in use, tables tell
// whether it does, so there must be some.
func (r *Router) releaseUnusedIDs() {
	if r.set.Rules.DrainOnly && len(r.tables.joined) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(r.names.unlisted)) {
		if !r.names.servers[id].probing && r.tables.forget(id) {
			r.log.Info().Str("server", r.names.servers[id].name).Int("known", len(r.names.ids)-1).Msg("server forgotten")
			r.names.release(id)
			r.pending = append(r.pending, rules.Forgotten{Server: id})
		}
	}
}

// handleCallFailed tells the module that its call has ended, so that it asks again.
func (r *Router) handleCallFailed(e CallFailed) {
	current, wasWatch := r.follower.HandleFailure(e)
	if !current {
		return
	}
	requested := !wasWatch || r.set.Rules.QueryDiscovery // by the module, which is told of a failure only then
	r.watchEnded = r.watchEnded || !requested
	r.log.Warn().Err(e.Err).Int64("revision", r.follower.revision).Msg("discovery call ended")
	if requested {
		r.pending = append(r.pending, rules.List{Kind: rules.ListFailed})
	}
}

// handleWatchStarted tells the module that its call was answered, even if nothing has changed.
func (r *Router) handleWatchStarted(e WatchStarted) {
	if r.follower.HandleWatchStarted(e) {
		r.pending = append(r.pending, rules.List{Kind: rules.ListChanges})
	}
}

// handleMoved asks at discovery's new address.
func (r *Router) handleMoved(e DiscoveryMoved) {
	r.watchEnded = false
	r.follower.HandleMove(e)
}
