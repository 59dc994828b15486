package controller

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/membership"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/apierror"
)

const (
	heartbeatInterval = 150 * time.Millisecond
	// electionTimeout is a little more than three heartbeats. A follower starts an election after one to two timeouts.
	electionTimeout = 500 * time.Millisecond
	// callTimeout is how long an operator's call waits for the consensus. It exceeds two election timeouts, so that a call
	// can outlast a change of leader.
	callTimeout = 1500 * time.Millisecond
	// compactAfter is the number of applied entries after which a snapshot replaces them in the log.
	compactAfter = 64
)

// consensusEvents receives the consensus runtime's events for the other components.
type consensusEvents interface {
	// sendConsensus sends a message to the replica m.To, if there is a link to it.
	sendConsensus(m consensus.Message)
	// membershipCommitted is called for every committed membership, in order. Memberships are repeated after a restart.
	membershipCommitted(m consensus.Membership)
	// configChanged is called once per turn if applied entries changed the configuration.
	configChanged(update *peer.Config)
}

// consensusRuntime drives the replica: it stores and sends the replica's output, applies committed entries to the state
// machine and completes the calls that wait for them.
type consensusRuntime struct {
	*node.Env
	writer  *writer
	events  consensusEvents
	replica *consensus.Replica
	state   *statemachine.StateMachine

	proposals map[uint64]proposal // pending calls, by the index of their entry
	reads     []read
	// snapshotUnreadable is set if a snapshot could not be restored, so that the local state lacks committed changes. The
	// replica still votes and stores entries, to preserve the majority, but neither leads nor serves.
	snapshotUnreadable bool
	loggedRole         string
}

// proposal is a call that waits until its entry is applied.
type proposal struct {
	term     uint64 // of the entry; a different term at the index means that the entry was truncated
	deadline time.Duration
	done     func(version uint64, err error)
}

// read is a call that waits for confirmation that this controller still leads.
type read struct {
	readIndex uint64
	deadline  time.Duration
	render    func() ([]byte, error)
	done      func(body []byte, err error)
}

// leads reports whether this controller is the leader and its state is complete.
func (r *consensusRuntime) leads() bool {
	return r.replica != nil && r.replica.Role() == consensus.Leader && !r.snapshotUnreadable
}

// leaderIP returns the address of the leader, or the empty string if the leader is unknown.
func (r *consensusRuntime) leaderIP() string { return membership.Address(r.replica.Leader()) }

// inContact reports whether this controller is in contact with a majority of the voters.
func (r *consensusRuntime) inContact() bool {
	return !r.snapshotUnreadable && r.replica.HasQuorumContact(r.Now())
}

func (r *consensusRuntime) tick(now time.Duration) {
	if !r.snapshotUnreadable {
		r.replica.Tick(now)
	}
}

// process handles the replica's output after the events of a turn.
func (r *consensusRuntime) process() {
	out := r.replica.DrainOutput()
	for _, m := range out.Immediate {
		r.events.sendConsensus(m)
	}
	r.store(&out)
	r.apply(out)
	r.completeReads()
	r.logRole()
}

// store makes the output durable and then sends the messages that depend on it.
func (r *consensusRuntime) store(out *consensus.Output) {
	if out.Empty() && len(out.AfterSync) == 0 {
		return
	}
	index, term := out.LastEntry()
	messages := out.AfterSync
	done := func() {
		for _, m := range messages {
			r.events.sendConsensus(m)
		}
		if index > 0 {
			r.replica.MarkDurable(index, term, r.Now())
		}
	}
	if out.Empty() && r.writer.idle() {
		done()
		return
	}
	r.writer.write(&storage.Batch{Hard: out.HardState, Snapshot: out.Snapshot, Truncate: out.Truncate,
		Entries: out.Entries}, done)
}

// apply applies committed entries and reports a change of the configuration.
func (r *consensusRuntime) apply(out consensus.Output) {
	before := r.state.Version()
	bookingsBefore := r.state.Bookings.Version
	if out.Install != nil && !r.install(*out.Install) {
		return
	}
	if r.snapshotUnreadable {
		return // there is no state to apply the entries to
	}
	var changes []*statemachine.Change
	for _, e := range out.Committed {
		if change := r.applyEntry(e); change != nil {
			changes = append(changes, change)
		}
	}
	if v := r.state.Bookings.Version; v != bookingsBefore {
		r.LogEvent("bookings changed", "version", v, "active", len(r.state.Bookings.Active))
	}
	if r.state.Version() != before {
		if out.Install != nil {
			changes = nil // the snapshot may contain more changes than these
		}
		r.events.configChanged(r.configUpdate(before, changes))
	}
	r.compact()
}

// install restores the state from a snapshot, and reports whether it could be read.
func (r *consensusRuntime) install(s consensus.Snapshot) bool {
	if err := r.state.Restore(s); err != nil {
		r.LogEvent("snapshot unreadable", "index", s.Index, "cause", err)
		r.snapshotUnreadable = true
		return false
	}
	r.snapshotUnreadable = false
	r.events.membershipCommitted(s.Membership)
	return true
}

// applyEntry applies one entry and completes the call that waits for it. It returns the change of the configuration, or nil
// if the entry has none or the change was rejected.
func (r *consensusRuntime) applyEntry(e consensus.Entry) *statemachine.Change {
	if e.Membership != nil {
		r.events.membershipCommitted(*e.Membership)
	}
	change, err := r.state.Apply(e)
	if change != nil {
		r.LogEvent("configuration changed", "version", config.Version(r.state.Version()), "index", e.Index, "term", e.Term,
			"routes", len(r.state.Config.Routes))
	}
	if p, ok := r.proposals[e.Index]; ok {
		delete(r.proposals, e.Index)
		if p.term != e.Term {
			err = errSuperseded()
		}
		p.done(r.state.Version(), err)
	}
	return change
}

func errSuperseded() error { return apierror.Unconfirmed.New("another change took its place") }

// configUpdate returns the update to send to the edges after changes: a delta if there was a single change and it is a
// patch, otherwise the complete configuration.
func (r *consensusRuntime) configUpdate(before uint64, changes []*statemachine.Change) *peer.Config {
	if len(changes) == 1 && changes[0].Patch {
		return &peer.Config{Version: r.state.Version(), Base: before, Delta: changes[0].Body}
	}
	update := &peer.Config{Version: r.state.Version()}
	if body, err := json.Marshal(r.state.Config); err == nil {
		update.Snapshot = body
	}
	return update
}

// configSnapshot returns the complete configuration for an edge that has none or missed a change. It returns nil if there
// is no configuration yet.
func (r *consensusRuntime) configSnapshot() *peer.Config {
	if r.state.Config == nil {
		return nil
	}
	body, err := json.Marshal(r.state.Config)
	if err != nil {
		return nil
	}
	return &peer.Config{Version: r.state.Version(), Snapshot: body}
}

func (r *consensusRuntime) compact() {
	if r.state.EntriesSinceSnapshot <= compactAfter {
		return
	}
	data, err := r.state.Save()
	if err != nil {
		return // the log grows until the state can be saved
	}
	r.replica.Compact(r.state.Index, data)
	r.state.EntriesSinceSnapshot = 0
}

// propose appends a change to the leader's log. It calls done with the result of applying it, or with an error that says
// that the result is unknown.
func (r *consensusRuntime) propose(change statemachine.Change, done func(version uint64, err error)) {
	data, err := cbor.Marshal(change)
	if err != nil {
		done(0, apierror.Malformed.Wrap(err, "change"))
		return
	}
	index, term, _ := r.replica.Propose(data, r.Now())
	r.awaitEntry(index, term, done)
}

// awaitEntry calls done when the entry at index is applied. A call that already waits for this index fails, since its entry
// was truncated from the log.
func (r *consensusRuntime) awaitEntry(index, term uint64, done func(version uint64, err error)) {
	if superseded, ok := r.proposals[index]; ok {
		superseded.done(0, errSuperseded())
	}
	r.proposals[index] = proposal{term: term, deadline: r.Now() + callTimeout, done: done}
}

// readConfirmed calls done with the result of render once a majority has confirmed that this controller still leads.
func (r *consensusRuntime) readConfirmed(render func() ([]byte, error), done func(body []byte, err error)) {
	now := r.Now()
	r.reads = append(r.reads, read{readIndex: r.replica.ReadIndex(now), deadline: now + callTimeout, render: render, done: done})
}

func (r *consensusRuntime) completeReads() {
	r.reads = slices.DeleteFunc(r.reads, func(pending read) bool {
		switch {
		case r.leads() && r.replica.ReadConfirmed(pending.readIndex):
			pending.done(pending.render())
		case !r.leads() || r.Now() > pending.deadline:
			pending.done(nil, apierror.NoLeader.New("it could not be confirmed that this controller leads"))
		default:
			return false
		}
		return true
	})
}

// expireProposals fails calls that timed out, and all calls if this controller no longer leads.
func (r *consensusRuntime) expireProposals(now time.Duration) {
	for index, p := range r.proposals {
		if now > p.deadline || !r.leads() {
			delete(r.proposals, index)
			p.done(0, apierror.Unconfirmed.New("not committed in time: the change may still be applied"))
		}
	}
}

func (r *consensusRuntime) logRole() {
	role := "follower of " + r.replica.Leader()
	if r.replica.Role() == consensus.Leader {
		role = "leader"
	} else if r.replica.Leader() == "" {
		role = "no leader"
	}
	if !r.replica.IsVoter() {
		role += ", no vote"
	}
	if role != r.loggedRole {
		r.loggedRole = role
		r.LogEvent("role changed", "role", role, "term", r.replica.Term(), "commit", r.replica.CommitIndex())
	}
}
