package routing

import (
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
	case r.watch:
	case r.fetch:
		r.fetch = 0
		if r.watch != 0 && e.List.Revision < r.revision {
			return // the watch is ahead of it
		}
	default:
		return
	}
	kind := rules.ListChanges
	if e.List.Complete {
		kind = rules.ListFull
	}
	r.list(e.List, kind)
}

// list tells the module of a list. The first one that holds anything puts the planner to use.
func (r *Router) list(l protocol.List, kind rules.ListKind) {
	list := rules.List{Kind: kind}
	for _, m := range l.Members {
		list.Servers = append(list.Servers, r.names.entry(m))
	}
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

// callFailed tells the module that its call has ended, so that it asks again.
func (r *Router) callFailed(e CallFailed) {
	asked := true // by the module, which is told of a failure only then
	switch e.Call {
	case r.watch:
		asked = r.set.Rules.AskDiscovery
		r.watch, r.rewatch = 0, !asked
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

// startWatch asks for the changes after the last revision, unless a watch stands.
func (r *Router) startWatch() {
	if r.watch == 0 {
		r.lastCall++
		r.watch = r.lastCall
		r.calls.Watch(r.watch, r.revision)
	}
}
