package controller

import (
	"encoding/json"
	"net/http"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/platform/apierror"
)

const (
	maxWarmup   = 3600.0  // seconds; larger values are taken for a mistake and reduced to it
	maxCapacity = 1 << 20 // slots per server; larger values are reduced to it
)

// heartbeat is the body of a server's heartbeat.
type heartbeat struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Capacity int     `json:"capacity"`
	State    string  `json:"state"` // ready or draining
	Warmup   float64 `json:"warmup_left_s"`
	Seq      uint64  `json:"call_seq"`
}

func (h heartbeat) valid() bool {
	return h.Service != "" && h.Address != "" && h.Capacity >= 0 && (h.State == "ready" || h.State == "draining")
}

// entry returns the registry entry for a heartbeat received by the controller owner.
func (h heartbeat) entry(id, owner string) registry.Entry {
	e := registry.Entry{ID: id, Service: h.Service, Address: h.Address, Zone: h.Zone, Version: h.Version,
		Capacity: min(max(1, h.Capacity), maxCapacity), WarmupLeft: min(max(0, h.Warmup), maxWarmup), Seq: h.Seq, Owner: owner}
	if h.State == "draining" {
		e.State = registry.Draining
	}
	return e
}

// putInstance handles a server's heartbeat. A drain is acknowledged once the edges that could send to the server have been
// notified.
func (a *controlAPI) putInstance(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxHeartbeatBody, apierror.Malformed)
	if !ok {
		return
	}
	var h heartbeat
	if err := json.Unmarshal(body, &h); err != nil {
		writeError(w, apierror.Malformed.New("body: %s", err))
		return
	}
	if !h.valid() {
		writeError(w, apierror.Malformed.New("a heartbeat needs service, address, capacity and a state, ready or draining"))
		return
	}
	a.register(w, r, h.entry(r.PathValue("id"), a.Settings.IP))
}

// deleteInstance removes a server; it is the server's last call.
func (a *controlAPI) deleteInstance(w http.ResponseWriter, r *http.Request) {
	a.register(w, r, registry.Entry{ID: r.PathValue("id"), State: registry.Removed, Owner: a.Settings.IP})
}

func (a *controlAPI) register(w http.ResponseWriter, r *http.Request, e registry.Entry) {
	done := make(chan registration, 1)
	a.runOnOwner(func() { a.servers.register(e, done) })
	reply := await(r.Context(), done) // a server that disconnects first calls another controller
	switch {
	case reply.err != nil:
		writeError(w, reply.err)
	case reply.heartbeatTarget != "":
		writeJSON(w, http.StatusOK, map[string]string{"beat_target": reply.heartbeatTarget})
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}
