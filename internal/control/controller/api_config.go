package controller

import (
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/platform/apierror"
)

// putConfig replaces the configuration by the one in the body.
func (a *controlAPI) putConfig(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	if _, err := config.Parse(change.Body); err != nil {
		writeError(w, err)
		return
	}
	a.proposeConfig(w, r, change)
}

// patchConfig applies the patch in the body to the configuration.
func (a *controlAPI) patchConfig(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	change.Patch = true
	a.proposeConfig(w, r, change)
}

// readChange reads the body and the version that it is based on. If that fails, it answers the call with an error and
// returns false.
func readChange(w http.ResponseWriter, r *http.Request) (change statemachine.Change, ok bool) {
	body, ok := readBody(w, r, maxConfigBody, apierror.TooLarge)
	if !ok {
		return change, false
	}
	base, ok := config.ParseVersion(r.Header.Get("If-Match"))
	if !ok {
		writeError(w, apierror.Malformed.New("If-Match %q is no version", r.Header.Get("If-Match")))
		return change, false
	}
	return statemachine.Change{Base: uint64(base), Body: body}, true
}

// proposeConfig proposes a change on the leader and answers once it is applied.
func (a *controlAPI) proposeConfig(w http.ResponseWriter, r *http.Request, change statemachine.Change) {
	a.onLeader(w, r, func(done chan<- outcome) {
		// An invalid change needs no entry: it would be rejected as stale or as invalid.
		state := a.consensus.state
		if !state.HasAccepted(change) && len(a.consensus.proposals) == 0 && change.Base == state.Version() {
			if _, err := state.Check(change); err != nil {
				done <- outcome{err: err}
				return
			}
		}
		a.consensus.propose(change, func(version uint64, err error) {
			done <- outcome{body: map[string]any{"version": config.Version(version)}, err: err}
		})
	})
}

// getConfig answers with the newest configuration once it is confirmed that this controller still leads.
func (a *controlAPI) getConfig(w http.ResponseWriter, r *http.Request) {
	a.readConfirmed(w, r, func() ([]byte, error) {
		if a.consensus.state.Config == nil {
			return []byte(`{}`), nil
		}
		return json.Marshal(a.consensus.state.Config)
	})
}

// readConfirmed answers with the result of render once it is confirmed that this controller still leads.
func (a *controlAPI) readConfirmed(w http.ResponseWriter, r *http.Request, render func() ([]byte, error)) {
	a.onLeader(w, r, func(done chan<- outcome) {
		a.consensus.readConfirmed(render, func(body []byte, err error) {
			done <- outcome{body: json.RawMessage(body), err: err}
		})
	})
}

// getConfigHistory answers with the accepted configuration versions known to this controller, newest first.
func (a *controlAPI) getConfigHistory(w http.ResponseWriter, r *http.Request) {
	type acceptedVersion struct {
		Version string // no tag: the JSON names are the same since the first version
		Digest  string // first digestBytes of the call's digest, in hexadecimal
	}
	const digestBytes = 8
	done := make(chan []acceptedVersion, 1)
	a.runOnOwner(func() {
		versions := []acceptedVersion{}
		for _, change := range slices.Backward(a.consensus.state.AcceptedChanges) {
			versions = append(versions, acceptedVersion{config.Version(change.Version).String(),
				hex.EncodeToString(change.Digest[:digestBytes])})
		}
		done <- versions
	})
	writeJSON(w, http.StatusOK, await(r.Context(), done))
}

// getStatus answers with this controller's view of the system, for operators.
func (a *controlAPI) getStatus(w http.ResponseWriter, r *http.Request) {
	done := make(chan operator.Status, 1)
	a.runOnOwner(func() { done <- a.status() })
	writeJSON(w, http.StatusOK, await(r.Context(), done))
}

func (a *controlAPI) status() operator.Status {
	replica, state := a.consensus.replica, a.consensus.state
	s := operator.Status{Node: a.Settings.Node, IP: a.Settings.IP, Zone: a.Settings.Zone, InContact: a.consensus.inContact(),
		Version: config.Version(state.Version()).String(), Leader: a.consensus.leaderIP(), Members: a.members.current.Voters,
		Keys: a.claims.store.Len(), Recovering: a.claims.store.Recovering(),
		DiskFailing: a.writer.failing, DiskMs: a.writer.meanMillis,
		Term: replica.Term(), Commit: replica.CommitIndex(), LastIndex: replica.LastIndex(),
		BookingShortfalls: a.reservations.shortfalls(), Membership: a.members.operatorView()}
	for _, e := range a.links.edges {
		s.Edges = append(s.Edges, e.node)
	}
	for ip := range a.links.controllers {
		s.Controllers, s.Control = append(s.Controllers, ip), append(s.Control, controlAddress(a.Settings, ip))
	}
	slices.Sort(s.Edges)
	slices.Sort(s.Controllers)
	slices.Sort(s.Control)
	for _, e := range a.servers.registry.All(a.Now()) {
		s.Servers = append(s.Servers, operator.Server{ID: e.ID, Service: e.Service, Zone: e.Zone, Address: e.Address,
			State: e.State.String(), TimedOut: e.TimedOut, Capacity: e.Capacity, Weight: a.weights.tables.Weight(e.ID)})
	}
	return s
}
