package controller

import (
	"encoding/json"
	"io"
	"net/http"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/platform/apierror"
)

// heartbeatBody is what a server says of itself.
type heartbeatBody struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Capacity int     `json:"capacity"`
	State    string  `json:"state"`
	Warmup   float64 `json:"warmup_left_s"`
	Seq      uint64  `json:"call_seq"`
}

const (
	beatMost   = 64 << 10
	warmupMost = 3600.0  // seconds; a longer one is a mistake
	slotsMost  = 1 << 20 // of a server
)

// beat takes a server's call. That a server is leaving is acknowledged once those who could send to it know.
func (c *Controller) beat(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, beatMost))
	if err != nil {
		refuse(w, apierror.Malformed.Wrap(err, "body"))
		return
	}
	var b heartbeatBody
	if err := json.Unmarshal(text, &b); err != nil {
		refuse(w, apierror.Malformed.New("body: %s", err))
		return
	}
	if b.Service == "" || b.Address == "" || b.State != "ready" && b.State != "draining" || b.Capacity < 0 {
		refuse(w, apierror.Malformed.New("a beat needs service, address, capacity and a state, ready or draining"))
		return
	}
	e := registry.Entry{ID: r.PathValue("id"), Service: b.Service, Address: b.Address, Zone: b.Zone, Version: b.Version,
		Capacity: min(max(1, b.Capacity), slotsMost), WarmupLeft: min(max(0, b.Warmup), warmupMost), Seq: b.Seq, Owner: c.set.IP}
	if b.State == "draining" {
		e.State = registry.Draining
	}
	c.register(w, r, e)
}

// leave takes a server's last call.
func (c *Controller) leave(w http.ResponseWriter, r *http.Request) {
	c.register(w, r, registry.Entry{ID: r.PathValue("id"), State: registry.Removed, Owner: c.set.IP})
}

type registered struct {
	target string
	err    error
}

func (c *Controller) register(w http.ResponseWriter, r *http.Request, e registry.Entry) {
	done := make(chan registered, 1)
	c.do(func() { c.registerNow(e, done) })
	select {
	case a := <-done:
		switch {
		case a.err != nil:
			refuse(w, a.err)
		case a.target != "":
			reply(w, http.StatusOK, map[string]string{"beat_target": a.target})
		default:
			reply(w, http.StatusOK, struct{}{})
		}
	case <-r.Context().Done():
	}
}

func (c *Controller) registerNow(e registry.Entry, done chan registered) {
	if e.State > registry.Ready && !c.attached() {
		// Cut off from the others, this planner can't let them know; another can.
		done <- registered{err: apierror.NoLeader.New("cut off from the other planners")}
		return
	}
	c.nextCall++
	answer := registered{target: c.beatTarget(e.Zone)}
	c.calls[c.nextCall] = func() { done <- answer }
	if changed, first := c.broadcaster.HandleServerCall(e, c.nextCall, c.now()); first {
		_ = c.logger.Log("event", "server", "server", changed.ID, "service", changed.Service, "zone", changed.Zone,
			"address", changed.Address, "state", changed.State, "seq", changed.Seq)
	}
}

// beatTarget is the controller of the server's zone, so that beats don't cross zones.
func (c *Controller) beatTarget(zone string) string {
	if zone == "" || zone == c.set.Zone {
		return ""
	}
	for ip, p := range c.peers {
		if p.zone == zone && p.attached {
			return c.controlOf(ip)
		}
	}
	return ""
}
