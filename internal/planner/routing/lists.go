package routing

import (
	"maps"
	"slices"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/rules"
)

// WatchBackoff is the delay in milliseconds between the end of a watch and the next one where the settings say that
// changes are pushed. The module doesn't request them there, and over sockets they arrive through a watch. It is half of the
// protocol's keepalive interval.
const WatchBackoff = 1000.0

// handleList applies a list from discovery, unless its call is no longer current.
func (r *Router) handleList(e ListReceived) {
	if r.follower.HandleList(e) {
		r.addDiscoveryList(e.List)
	}
}

// addDiscoveryList queues a list from discovery for the module.
func (r *Router) addDiscoveryList(l protocol.List) {
	kind := rules.ListChanges
	if l.Complete {
		kind = rules.ListFull
	}
	r.addList(l, kind)
}

// addList queues a list for the module. From the first one on the planner answers heartbeats, except that an empty cached
// list doesn't count.
func (r *Router) addList(l protocol.List, kind rules.ListKind) {
	list := rules.List{Kind: kind}
	for _, m := range l.Members {
		list.Servers = append(list.Servers, r.names.serverEntry(m))
	}
	r.names.noteRemoved(list)
	r.follower.revision = l.Revision
	r.pending = append(r.pending, list)
	if kind == rules.ListCached && len(l.Members) == 0 {
		return // nothing can be assigned before discovery has answered
	}
	r.hasList = true
	for _, peer := range r.heartbeats {
		r.answerHeartbeat(peer)
	}
	clear(r.heartbeats)
}

// releaseUnusedIDs releases the IDs of servers that the list has dropped and that nothing refers to: no table of a joined
// proxy, no exclusion, no probe in flight. Without it, memory and work would grow with every server ever listed in
// deployments where servers are replaced by new ones. A server that is listed again later starts without history. Where a
// dropped server may stay in use, only the tables of joined proxies show whether it does, so nothing is released while no
// proxy has joined.
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

// handleCallFailed reports a failed call to the module, so that it calls again.
func (r *Router) handleCallFailed(e CallFailed) {
	current, wasWatch := r.follower.HandleFailure(e)
	if !current {
		return
	}
	requested := !wasWatch || r.set.Rules.QueryDiscovery // by the module: only then does it get a failure event
	r.watchEnded = r.watchEnded || !requested
	r.log.Warn().Err(e.Err).Int64("revision", r.follower.revision).Msg("discovery call ended")
	if requested {
		r.pending = append(r.pending, rules.List{Kind: rules.ListFailed})
	}
}

// handleWatchStarted reports to the module that its call was accepted, even if nothing has changed.
func (r *Router) handleWatchStarted(e WatchStarted) {
	if r.follower.HandleWatchStarted(e) {
		r.pending = append(r.pending, rules.List{Kind: rules.ListChanges})
	}
}

// handleMoved repeats the calls at discovery's new address.
func (r *Router) handleMoved(e DiscoveryMoved) {
	r.watchEnded = false
	r.follower.HandleMove(e)
}
