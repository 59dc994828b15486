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
	// missedHeartbeats is the number of missed heartbeats after which a server is timed out.
	missedHeartbeats = 2.5
	// tombstoneRetention is how long a removed server is remembered, so that a late heartbeat can't restore it.
	tombstoneRetention = 90 * time.Second
)

// registrar maintains the server registry and broadcasts its changes.
type registrar struct {
	*node.Env
	links       *linkTable
	registry    *registry.Registry
	broadcaster *broadcast.Broadcaster
	inContact   func() bool            // reports contact with a majority of the voters
	onUpdates   func([]registry.Entry) // called with the changed entries

	calls    map[uint64]func() // unacknowledged heartbeats and deregistrations, by number
	lastCall uint64
}

func newRegistrar(env *node.Env, links *linkTable, inContact func() bool, onUpdates func([]registry.Entry)) *registrar {
	servers := registry.New(tombstoneRetention)
	return &registrar{Env: env, links: links, registry: servers, broadcaster: broadcast.New(servers), inContact: inContact,
		onUpdates: onUpdates, calls: map[uint64]func(){}}
}

// load restores the servers from the disk in their stored state. Their next heartbeats confirm them; without heartbeats they
// time out. It returns the entries that were added.
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

// expireHeartbeats marks the servers whose heartbeats stopped as timed out and broadcasts the change.
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

// publish sends the broadcaster's pending updates and acknowledges the completed calls.
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

// registration is the reply to a server's call.
type registration struct {
	heartbeatTarget string // address for the server's next heartbeats; empty: this controller's
	err             error
}

// register handles a server's call. A server's drain or removal is acknowledged once every edge that could send to the
// server has been notified. A controller that is cut off from the others can't notify them, so it rejects such a call and
// the server calls another controller.
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

// heartbeatTarget returns the control address of a controller in the server's zone, so that heartbeats don't cross zones. It
// returns the empty string if this controller is in the zone or no other one is available.
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
