package controller

import (
	"time"

	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/apierror"
)

const (
	// missedHeartbeats is how many heartbeats a server may leave out before it counts as silent.
	missedHeartbeats = 2.5
	// tombstoneRetention is how long a server that is gone is remembered, so that a late heartbeat can't bring it back.
	tombstoneRetention = 90 * time.Second
)

// registrar keeps the register of servers and spreads what changes in it.
type registrar struct {
	*node.Env
	links       *linkTable
	registry    *registry.Registry
	broadcaster *broadcast.Broadcaster
	inContact   func() bool            // with a majority of the voters
	onUpdates   func([]registry.Entry) // is called with what changed here

	calls    map[uint64]func() // heartbeats and last calls that are not acknowledged yet
	lastCall uint64
}

func newRegistrar(env *node.Env, links *linkTable, inContact func() bool, onUpdates func([]registry.Entry)) *registrar {
	servers := registry.New(tombstoneRetention)
	return &registrar{Env: env, links: links, registry: servers, broadcaster: broadcast.New(servers), inContact: inContact,
		onUpdates: onUpdates, calls: map[uint64]func(){}}
}

// load takes over the servers that the disk held, as they were: their next heartbeats confirm them, or their silence takes
// them out. It gives what is new here.
func (r *registrar) load(entries []registry.Entry) (added []registry.Entry) {
	for _, e := range entries {
		e.WarmupLeft, e.Owner = 0, r.Settings.IP
		if current, updated := r.registry.Apply(e, r.Now()); updated {
			added = append(added, current)
		}
	}
	return added
}

func (r *registrar) handleMessage(p *remote, m peer.Message) {
	switch m := m.(type) {
	case peer.RegistryUpdate:
		if len(m.Entries) > 0 {
			r.broadcaster.HandleUpdate(p.peerName(), m.Entries, m.AckID, r.Now())
		}
	case *peer.Digests:
		if reply := m.Compare(r.registry, r.Now()); reply != nil {
			p.link.Send(reply...)
		}
	case peer.RegistryAck:
		r.broadcaster.HandleAck(p.peerName(), uint64(m))
	}
}

// expireHeartbeats marks the servers whose heartbeats stopped, and spreads that.
func (r *registrar) expireHeartbeats(now time.Duration) {
	timeout := time.Duration(missedHeartbeats * r.Settings.BeatPeriod * float64(time.Second))
	changed := r.registry.MarkTimedOut(r.Settings.IP, r.links.controllerUnreachable, timeout, now)
	if len(changed) == 0 {
		return
	}
	for _, e := range changed {
		r.LogEvent("server timed out", "server", e.ID, "service", e.Service, "removed", e.Ended())
	}
	r.broadcaster.Publish(changed)
}

// publish does what the broadcaster has gathered: it sends updates and acknowledges calls.
func (r *registrar) publish() {
	out := r.broadcaster.DrainOutput()
	if len(out.Updates) > 0 {
		r.onUpdates(out.Updates)
	}
	for _, m := range out.Messages {
		p := r.links.byPeerName(m.To)
		if p == nil {
			continue
		}
		if m.Acked != 0 {
			p.link.Send(peer.RegistryAck(m.Acked))
		} else {
			p.link.Send(peer.RegistryUpdate{Entries: m.Entries, AckID: m.AckID})
		}
	}
	for _, call := range out.AckedCalls {
		if done := r.calls[call]; done != nil {
			delete(r.calls, call)
			done()
		}
	}
}

// registration is the outcome of a server's call.
type registration struct {
	heartbeatTarget string // address for the server's later heartbeats; empty: this one
	err             error
}

// register takes a server's call in. That a server drains or is gone is acknowledged once those who could send to it know;
// a controller that is cut off from the others can't let them know, so it refuses the call and another one takes it.
func (r *registrar) register(e registry.Entry, done chan<- registration) {
	if e.State > registry.Ready && !r.inContact() {
		done <- registration{err: apierror.NoLeader.New("cut off from the other controllers")}
		return
	}
	r.lastCall++
	reply := registration{heartbeatTarget: r.heartbeatTarget(e.Zone)}
	r.calls[r.lastCall] = func() { done <- reply }
	if changed, first := r.broadcaster.HandleServerCall(e, r.lastCall, r.Now()); first {
		r.LogEvent("server changed", "server", changed.ID, "service", changed.Service, "zone", changed.Zone,
			"address", changed.Address, "state", changed.State, "seq", changed.Seq)
	}
}

// heartbeatTarget is the control address of a controller of the server's zone, so that heartbeats don't cross zones.
func (r *registrar) heartbeatTarget(zone string) string {
	if zone == "" || zone == r.Settings.Zone {
		return ""
	}
	for ip, p := range r.links.controllers {
		if p.zone == zone && p.summary.inContact {
			return controlAddress(r.Settings, ip)
		}
	}
	return ""
}
