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
	// electionTimeout is three heartbeats and a bit: a follower stands for election after one to two of it.
	electionTimeout = 500 * time.Millisecond
	// callTimeout is how long an operator's call waits for the consensus. It is above two election timeouts, so that a
	// call may survive a change of leader.
	callTimeout = 1500 * time.Millisecond
	// compactAfter is how many applied entries the log holds before a snapshot replaces them.
	compactAfter = 64
)

// consensusEvents is what the consensus runtime tells the other parts.
type consensusEvents interface {
	// sendConsensus sends a message to the replica that it names, if there is a link to it.
	sendConsensus(m consensus.Message)
	// membershipCommitted is called for every committed membership, in order, again after a restart.
	membershipCommitted(m consensus.Membership)
	// configChanged is called once per turn in which entries changed the configuration.
	configChanged(update *peer.Config)
}

// consensusRuntime drives the replica: it stores and sends what the replica puts out, applies what is committed to the
// state machine and answers the calls that waited for it.
type consensusRuntime struct {
	*node.Env
	writer  *writer
	events  consensusEvents
	replica *consensus.Replica
	state   *statemachine.StateMachine

	proposals map[uint64]proposal // by index of the entry that they wait for
	reads     []read
	// snapshotUnreadable: the state here is not what was committed. The replica votes and stores on, so that the others
	// keep their majority, and neither leads nor serves.
	snapshotUnreadable bool
	loggedRole         string
}

// proposal is a call that waits for its entry.
type proposal struct {
	term     uint64 // of the entry; another one at the index means that ours was cut off
	deadline time.Duration
	done     func(version uint64, err error)
}

// read is a call that waits for the proof that this controller still leads.
type read struct {
	readIndex uint64
	deadline  time.Duration
	render    func() ([]byte, error)
	done      func(body []byte, err error)
}

// leads reports whether this controller leads and has the state that it needs for that.
func (r *consensusRuntime) leads() bool {
	return r.replica != nil && r.replica.Role() == consensus.Leader && !r.snapshotUnreadable
}

// leaderIP is the address of the leader, as far as it is known; empty: it is not.
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

// process does what the replica wants done after the events of a turn.
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

// store makes the output durable and then sends what waited for that.
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

// apply applies what was committed, and tells the edges if that changed the configuration.
func (r *consensusRuntime) apply(out consensus.Output) {
	before := r.state.Version()
	bookingsBefore := r.state.Bookings.Version
	if out.Install != nil && !r.install(*out.Install) {
		return
	}
	if r.snapshotUnreadable {
		return // there is no state that entries could be applied to
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
			changes = nil // the snapshot brought more than these
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

// applyEntry applies one entry and answers the call that waited for it. It gives the change of the configuration, if the
// entry was one and was not refused.
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

// configUpdate is what edges are sent of the configuration that changes led to: the change itself, where there was one and it
// is a delta.
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

// configSnapshot is the complete configuration, for an edge that has none or missed a change; nil: there is none yet.
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
		return // the log grows until it can be saved
	}
	r.replica.Compact(r.state.Index, data)
	r.state.EntriesSinceSnapshot = 0
}

// propose appends a change to the log of a leader; done hears how it was applied, or that this is not known.
func (r *consensusRuntime) propose(change statemachine.Change, done func(version uint64, err error)) {
	data, err := cbor.Marshal(change)
	if err != nil {
		done(0, apierror.Malformed.Wrap(err, "change"))
		return
	}
	index, term, _ := r.replica.Propose(data, r.Now())
	r.awaitEntry(index, term, done)
}

// awaitEntry has done wait for the entry at an index. Whoever waited there before waits for an entry that was cut off the
// log.
func (r *consensusRuntime) awaitEntry(index, term uint64, done func(version uint64, err error)) {
	if superseded, ok := r.proposals[index]; ok {
		superseded.done(0, errSuperseded())
	}
	r.proposals[index] = proposal{term: term, deadline: r.Now() + callTimeout, done: done}
}

// readConfirmed answers with what render gives once a majority has confirmed that this controller still leads.
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

// expireProposals answers calls that waited for too long, or that this controller can't confirm any more.
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
