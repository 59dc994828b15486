package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/platform/apierror"
)

const (
	resendInterval = time.Second
	retryDelay     = 200 * time.Millisecond
	maxRedirects   = 2
	callTimeout    = 1500 * time.Millisecond
	serviceNames   = 4 // number of service names that changes add or replace
)

// operatorState is an operator. It reads the active version from any controller and submits a change based on it. Without a
// definite reply it repeats the same call at any controller.
type operatorState struct {
	number int
	call   *call
	calls  int
}

// call is one configuration change that an operator requests.
type call struct {
	data     []byte
	change   statemachine.Change
	version  uint64
	at       int
	resendAt time.Duration // when it is sent again
	finished bool
	repeated bool // sent again after it was acknowledged
}

// pendingProposal is a call that waits for its log entry to be applied.
type pendingProposal struct {
	term     uint64
	deadline time.Duration
	respond  func(err error)
}

// committedChange is a change that became active according to the committed history alone.
type committedChange struct{ base, version uint64 }

// tickOperator resends an operator's open call or starts a new one.
func (w *cluster) tickOperator(o *operatorState) {
	if c := o.call; c != nil {
		if w.now >= c.resendAt {
			c.resendAt = w.now + resendInterval
			c.at = w.nextController(c.at)
			w.sendChange(o, c, c.at, maxRedirects)
		}
		return
	}
	if w.rng.IntN(w.scenario.ChangeIntervalTicks) != 0 {
		return
	}
	from := w.controllers[w.anyController()]
	if !w.isRunning(from.number) {
		return
	}
	base := from.state.Version()
	o.calls++
	c := &call{version: base + 1 + uint64(w.rng.IntN(4)), at: w.anyController()}
	item := fmt.Sprintf(`{"name":"s-%d","health_path":"/%d/%d"}`, w.rng.IntN(serviceNames), o.number, o.calls)
	switch {
	case base == 0 || w.rng.IntN(4) == 0:
		c.change = statemachine.Change{Base: base, Body: fmt.Appendf(nil,
			`{"version":"r%d","services":[%s],"limits":{},"plants":[]}`, c.version, item)}
	case w.rng.IntN(8) == 0: // an invalid change: its version doesn't exceed its base
		c.version = base
		fallthrough
	default:
		c.change = statemachine.Change{Base: base, Patch: true,
			Body: fmt.Appendf(nil, `{"version":"r%d","upsert":{"services":[%s]},"remove":{}}`, c.version, item)}
	}
	data, err := cbor.Marshal(c.change)
	if err != nil {
		panic(err) // can't fail: numbers and bytes only
	}
	c.data, c.resendAt, o.call = data, w.now+resendInterval, c
	w.sendChange(o, c, c.at, maxRedirects)
}

// sendChange sends a call to a controller. A controller that isn't the leader redirects it to the leader that it knows.
func (w *cluster) sendChange(o *operatorState, c *call, address, redirects int) {
	w.scheduleMillis(1+w.rng.IntN(5), func() {
		n := w.controllers[address]
		if !w.isRunning(address) || c.finished {
			return
		}
		if n.replica.Role() == consensus.Leader {
			w.proposeChange(o, c, n)
			return
		}
		leader := slices.Index(w.controllerNames, membership.Address(n.replica.Leader()))
		if leader >= 0 && leader != address && redirects > 0 {
			w.sendChange(o, c, leader, redirects-1)
		} else {
			c.resendAt = min(c.resendAt, w.now+retryDelay)
		}
	})
}

// proposeChange handles a call at the leader. The reply may be lost.
func (w *cluster) proposeChange(o *operatorState, c *call, n *controller) {
	incarnation := n.incarnation
	respond := func(err error) {
		w.scheduleMillis(1+w.rng.IntN(5), func() {
			if n.incarnation == incarnation && w.rng.IntN(w.scenario.replyLoss()) > 0 {
				w.handleChangeReply(o, c, err)
			}
		})
	}
	if !n.state.HasAccepted(c.change) && len(n.proposals) == 0 && c.change.Base == n.state.Version() {
		if _, err := n.state.Check(c.change); err != nil {
			respond(err)
			return
		}
	}
	index, term, _ := n.replica.Propose(c.data, w.now)
	n.proposals[index] = pendingProposal{term, w.now + callTimeout, respond}
	w.processOutput(n)
}

// handleChangeReply handles the reply to a call. Only a definite reply ends the call.
func (w *cluster) handleChangeReply(o *operatorState, c *call, err error) {
	if c.finished {
		return
	}
	status := 200
	if err != nil {
		status = apierror.For(err).Status
	}
	if status >= 500 {
		c.resendAt = min(c.resendAt, w.now+retryDelay)
		return
	}
	if c.repeated {
		w.result.Retries++
		if c.finished = true; status != 200 {
			w.fail("AGAIN: the change to r%d was acknowledged, and was rejected with %d when it was sent again",
				c.version, status)
		}
		return
	}
	c.finished, o.call = true, nil
	if status != 200 {
		w.rejectedChanges[string(c.data)] = true
		if position, committed := w.committedChanges[string(c.data)]; committed {
			w.fail("CONFIG: the change to r%d was rejected with %d but is active, based on r%d",
				position.version, status, position.base)
		}
		return
	}
	w.result.Changes++
	position, committed := w.committedChanges[string(c.data)]
	switch {
	case !committed:
		w.fail("CONFIG: a change based on r%d was acknowledged but never became active", c.change.Base)
	case w.acknowledgedBase[position.base] != "" && w.acknowledgedBase[position.base] != string(c.data):
		w.fail("CONFIG: two changes based on r%d were both acknowledged", position.base)
	}
	w.acknowledgedBase[position.base] = string(c.data)
	w.acknowledgements = append(w.acknowledgements, acknowledgement{position.version, w.now})
	w.membershipAudit.newestVersion, w.membershipAudit.lastChangeAt = max(w.membershipAudit.newestVersion, position.version),
		w.now
	w.resendChange(o, c)
}

// resendChange occasionally repeats an acknowledged call at any controller. The repeated call may be acknowledged or remain
// unconfirmed, but must not be rejected.
func (w *cluster) resendChange(o *operatorState, c *call) {
	if w.rng.IntN(4) > 0 {
		return
	}
	w.scheduleAfter(time.Duration(w.rng.IntN(8000))*time.Millisecond, func() {
		repeated := &call{data: c.data, change: c.change, version: c.version, resendAt: forever, repeated: true}
		w.sendChange(o, repeated, w.anyController(), maxRedirects)
	})
}

// auditEntry checks an entry that a controller considers committed against the history.
func (w *cluster) auditEntry(n *controller, e consensus.Entry) {
	switch at := int(e.Index); {
	case at > len(w.history)+1:
		w.fail("FAULT: %s committed entry %d, but no controller has committed entry %d", n.name, at, len(w.history)+1)
	case at == len(w.history)+1:
		w.history = append(w.history, e)
		w.recordCommitted(e)
		if e.Membership != nil {
			w.auditMembership(e)
		}
	default:
		recorded := w.history[at-1]
		same := (recorded.Membership == nil) == (e.Membership == nil) &&
			(e.Membership == nil || recorded.Membership.Equal(*e.Membership))
		if recorded.Term != e.Term || string(recorded.Data) != string(e.Data) || !same {
			w.fail("CONFIG: %s has a different entry at index %d", n.name, at)
		}
	}
}

// recordCommitted records a new entry of the history. It decides by the versions alone: a change becomes active if its base
// is the active version, its own version is higher and the same change wasn't committed before.
func (w *cluster) recordCommitted(e consensus.Entry) {
	var c statemachine.Change
	if len(e.Data) > 0 && cbor.Unmarshal(e.Data, &c) == nil {
		w.recordChange(string(e.Data), c)
	}
	w.versionAt = append(w.versionAt, w.currentVersion)
}

// recordChange records a committed change under its encoded bytes.
func (w *cluster) recordChange(data string, c statemachine.Change) {
	var version uint64
	if _, err := fmt.Sscanf(string(c.Body), `{"version":"r%d"`, &version); err != nil {
		return
	}
	if _, known := w.committedChanges[data]; known || c.Base != w.currentVersion || version <= w.currentVersion {
		return
	}
	w.committedChanges[data] = committedChange{c.Base, version}
	w.currentVersion = version
	if w.rejectedChanges[data] {
		w.fail("CONFIG: a change to r%d was rejected but became active", version)
	}
}

// auditApplied applies an entry to a controller's state machine, checks the resulting version and replies to the waiting
// call.
func (w *cluster) auditApplied(n *controller, e consensus.Entry) {
	if w.scenario.PlantedFault == "a base isn't looked at" && len(e.Data) > 0 {
		var c statemachine.Change
		if cbor.Unmarshal(e.Data, &c) == nil && !n.state.HasAccepted(c) {
			c.Base = n.state.Version()
			e.Data, _ = cbor.Marshal(c)
		}
	}
	bookingsBefore := len(n.state.Bookings.Active)
	_, err := n.state.Apply(e)
	if len(n.state.Bookings.Active) < bookingsBefore {
		w.fail("LOST: a booking is missing at %s", n.name)
	}
	if w.scenario.PlantedFault == "calls are forgotten" {
		n.state.AcceptedChanges = nil
	}
	if want := w.versionAt[e.Index-1]; n.state.Version() != want {
		w.fail("CONFIG: %s has r%d after entry %d, but the history leads to r%d", n.name, n.state.Version(), e.Index, want)
	}
	if wait, ok := n.proposals[e.Index]; ok {
		delete(n.proposals, e.Index)
		if wait.term != e.Term {
			err = apierror.Unconfirmed.New("another change was committed instead")
		}
		wait.respond(err)
	}
}

// auditFinalState checks the leader's state at the end against the acknowledged changes and bookings.
func (w *cluster) auditFinalState() {
	for _, n := range w.controllers {
		if !w.isRunning(n.number) {
			continue
		}
		if n.replica.Role() == consensus.Leader && n.replica.HasQuorumContact(w.now) && w.bookingAcked &&
			len(n.state.Bookings.Active) == 0 {
			w.fail("LOST: a booking was acknowledged but the leader %s has none", n.name)
		}
		if n.replica.Role() == consensus.Leader && n.replica.HasQuorumContact(w.now) && len(w.acknowledgements) > 0 {
			if newest := w.acknowledgements[len(w.acknowledgements)-1]; n.state.Version() < newest.version &&
				w.now-newest.ackedAt > stabilizationTime {
				w.fail("LOST: the leader has r%d although r%d was acknowledged", n.state.Version(), newest.version)
			}
		}
	}
}

// expireProposals replies to calls that have timed out or whose controller no longer leads.
func (w *cluster) expireProposals(n *controller) {
	for _, index := range sortedKeys(n.proposals) {
		if wait := n.proposals[index]; w.now > wait.deadline || n.replica.Role() != consensus.Leader {
			delete(n.proposals, index)
			wait.respond(apierror.Unconfirmed.New("not committed in time"))
		}
	}
}
