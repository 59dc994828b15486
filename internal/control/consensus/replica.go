package consensus

import (
	"math/rand/v2"
	"time"
)

// Config is the initial state of a replica, as read from its disk, and its settings.
type Config struct {
	ID         string // identity of the replica
	Timing     Timing
	Seed       uint64     // seed of the random election timeouts
	Membership Membership // with which the cluster started; empty: received with the log
	HardState  HardState
	Snapshot   Snapshot
	Log        []Entry // entries after the snapshot
	Now        time.Duration
}

// Replica is one controller's replica of the log. It is not safe for concurrent use.
type Replica struct {
	id     string
	timing Timing
	rng    *rand.Rand
	now    time.Duration // time of the last event

	logState
	role Role
	electionState
	leaderState
	incomingSnapshot *snapshotAssembly // snapshot that a follower is receiving; nil: none
	output           Output
}

// logState is the replica's log and its progress. applied <= commit <= last index, and durable <= last index.
type logState struct {
	hard        HardState
	snapshot    Snapshot
	log         []Entry           // entries after snapshot, without gaps
	memberships []membershipEntry // the membership of snapshot, then those in log
	durable     uint64            // index of the last durable entry
	commit      uint64            // index of the last entry known to be committed
	applied     uint64            // index of the last entry returned by DrainOutput to be applied
}

// electionState is the state of a follower or candidate about leaders and votes.
type electionState struct {
	leader           string          // identity of the leader of the current term; empty: unknown
	leaderHeardAt    time.Duration   // last message of the leader; on the leader itself: start of its leadership
	leaderHasQuorum  bool            // the leader's last message reported contact with this replica
	electionDeadline time.Duration   // time at which the replica campaigns
	votes            map[string]bool // votes or pre-votes received by a candidate, by voter
	preVote          bool            // the candidate is collecting pre-votes
}

// leaderState is a leader's state about the other replicas. The learners are set on every replica, since any may be elected.
type leaderState struct {
	learners  []string
	peers     map[string]*progress // by identity; nil: the replica is not the leader
	readRound uint64               // number of the newest read round
}

// progress is the replication progress of another replica, as known to the leader.
type progress struct {
	match     uint64 // last entry that is durable on the peer and matches the leader's log
	next      uint64 // next entry to send
	heardAt   time.Duration
	readRound uint64 // newest read round that the peer replied to
	sentAt    time.Duration
	transfer  *transfer // snapshot transfer; nil: none
}

// New returns a replica that starts as a follower with the state read from its disk.
func New(c Config) *Replica {
	r := &Replica{id: c.ID, timing: c.Timing, rng: rand.New(rand.NewPCG(c.Seed, 2)), now: c.Now}
	r.hard, r.snapshot, r.log = c.HardState, c.Snapshot, c.Log
	r.commit, r.applied, r.leaderHeardAt = c.Snapshot.Index, c.Snapshot.Index, c.Now
	r.memberships = []membershipEntry{{0, c.Membership}}
	if c.Snapshot.Index > 0 {
		r.memberships = []membershipEntry{{c.Snapshot.Index, c.Snapshot.Membership}}
		s := c.Snapshot
		r.output.Install = &s
	}
	for _, e := range c.Log {
		r.applyMembershipEntry(e)
	}
	r.durable = r.lastIndex()
	r.commit = max(r.commit, min(c.HardState.Commit, r.durable))
	r.resetElectionTimer()
	return r
}

// ID returns the identity of the replica.
func (r *Replica) ID() string { return r.id }

// SetID sets the identity under which a replica that is not a voter may become one. It does nothing on a voter, candidate or
// leader.
func (r *Replica) SetID(id string) {
	if !r.IsVoter() && r.role == Follower {
		r.id = id
	}
}

// Role returns the replica's role.
func (r *Replica) Role() Role { return r.role }

// Leader returns the identity of the leader of the current term, or an empty string if it is unknown.
func (r *Replica) Leader() string { return r.leader }

// Term returns the newest term that the replica has seen.
func (r *Replica) Term() uint64 { return r.hard.Term }

// CommitIndex returns the index of the last entry known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commit }

// LastTerm returns the term of the last entry of the log.
func (r *Replica) LastTerm() uint64 {
	term, _ := r.termAt(r.lastIndex())
	return term
}

// HardState returns the current hard state, which may not be durable yet.
func (r *Replica) HardState() HardState { return r.hard }

// CommittedInTerm reports whether the replica is the leader and has committed an entry of its own term. Its commit index then
// covers all entries that earlier leaders committed.
func (r *Replica) CommittedInTerm() bool {
	term, known := r.termAt(r.commit)
	return r.role == Leader && known && term == r.hard.Term
}

// LastIndex returns the index of the last entry of the log.
func (r *Replica) LastIndex() uint64 { return r.lastIndex() }

// IsVoter reports whether the replica is a voter of the newest membership.
func (r *Replica) IsVoter() bool { return r.Membership().Contains(r.id) }

// Match returns the index up to which a replica's durable log is known to match the leader's, and the time of its last
// message. It is ok for the replica itself and, on a leader, for its peers.
func (r *Replica) Match(id string) (index uint64, heardAt time.Duration, ok bool) {
	if id == r.id {
		return r.durable, r.now, true
	}
	p := r.peers[id]
	if p == nil {
		return 0, 0, false
	}
	return p.match, p.heardAt, true
}

func (r *Replica) lastIndex() uint64 {
	if n := len(r.log); n > 0 {
		return r.log[n-1].Index
	}
	return r.snapshot.Index
}

// termAt returns the term of an entry. It returns false if the entry is before the snapshot or after the log.
func (r *Replica) termAt(index uint64) (uint64, bool) {
	if index == r.snapshot.Index {
		return r.snapshot.Term, true
	}
	if index < r.snapshot.Index || index > r.lastIndex() {
		return 0, false
	}
	return r.log[index-r.snapshot.Index-1].Term, true
}

// entriesFrom returns the entries of the log from an index on.
func (r *Replica) entriesFrom(index uint64) []Entry { return r.log[index-r.snapshot.Index-1:] }

func (r *Replica) persistHardState() {
	hard := r.hard
	r.output.HardState = &hard
}

func (r *Replica) sendImmediately(msg Message) {
	r.output.Immediate = append(r.output.Immediate, r.withSender(msg))
}

// sendAfterSync queues a message to be sent once all earlier changes are durable.
func (r *Replica) sendAfterSync(msg Message) {
	r.output.AfterSync = append(r.output.AfterSync, r.withSender(msg))
}

func (r *Replica) withSender(msg Message) Message {
	msg.From = r.id
	if msg.Term == 0 {
		msg.Term = r.hard.Term
	}
	return msg
}

// DrainOutput returns and resets the output that accumulated since the last call, with the entries committed since then.
func (r *Replica) DrainOutput() Output {
	if r.applied < r.commit {
		for i := r.applied + 1; i <= r.commit; i++ {
			r.output.Committed = append(r.output.Committed, r.log[i-r.snapshot.Index-1])
		}
		r.applied, r.hard.Commit = r.commit, r.commit
		r.persistHardState()
	}
	out := r.output
	r.output = Output{}
	return out
}

// MarkDurable reports to the replica that an output is durable, by the index and term of its last entry (see
// Output.LastEntry). It ignores a write whose entries were truncated or replaced by a snapshot in the meantime, because the
// replacement has a write of its own.
func (r *Replica) MarkDurable(index, term uint64, now time.Duration) {
	r.now = now
	if current, known := r.termAt(index); known && current == term {
		r.durable = max(r.durable, index)
	}
	if r.role == Leader {
		r.advanceCommit()
	}
}

// Tick advances the time and handles timeouts. It must be called several times per heartbeat interval.
func (r *Replica) Tick(now time.Duration) {
	r.now = now
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if now >= r.electionDeadline && r.IsVoter() {
		r.preCampaign()
	}
}

// tickLeader sends heartbeats. It steps down without contact to a majority, so that callers switch to another replica.
func (r *Replica) tickLeader() {
	for _, id := range r.replicationTargets() {
		if r.now-r.peers[id].sentAt >= r.timing.Heartbeat {
			r.sendAppend(id)
		}
	}
	if !r.HasQuorumContact(r.now) && r.now-r.leaderHeardAt > r.timing.contactTimeout() {
		r.becomeFollower(r.hard.Term, "")
	}
}

// HasQuorumContact reports whether the replica was recently in contact with a majority: a leader received messages from a
// majority; any other replica received a message of the leader that reported contact with it.
func (r *Replica) HasQuorumContact(now time.Duration) bool {
	span := r.timing.contactTimeout()
	if r.role != Leader {
		return r.leader != "" && now-r.leaderHeardAt < span && r.leaderHasQuorum
	}
	return r.Membership().HasQuorum(func(id string) bool { return id == r.id || now-r.peers[id].heardAt < span })
}

// Propose appends an entry with data to the log of a leader, and returns the entry's index and term. On a replica that is not
// the leader it does nothing and returns false.
func (r *Replica) Propose(data []byte, now time.Duration) (index, term uint64, ok bool) {
	r.now = now
	if r.role != Leader {
		return 0, 0, false
	}
	r.append(Entry{Data: data})
	return r.lastIndex(), r.hard.Term, true
}

// append appends an entry to a leader's log and sends it to the other replicas.
func (r *Replica) append(e Entry) {
	e.Term, e.Index = r.hard.Term, r.lastIndex()+1
	r.log = append(r.log, e)
	r.output.Entries = append(r.output.Entries, e)
	r.applyMembershipEntry(e)
	r.syncPeers()
	r.broadcastAppend()
	r.advanceCommit()
}

// advanceCommit advances the commit index to the last entry that is durable on a majority. Only an entry of the leader's own
// term is committed by counting replicas, since an earlier one may still be overwritten.
func (r *Replica) advanceCommit() {
	index := r.lastIndex()
	for ; index > r.commit; index-- {
		if term, _ := r.termAt(index); term != r.hard.Term {
			return
		}
		if r.durableOnQuorum(index) {
			break
		}
	}
	if index > r.commit {
		r.commit = index
		r.broadcastAppend()
	}
}

func (r *Replica) durableOnQuorum(index uint64) bool {
	return r.Membership().HasQuorum(func(id string) bool {
		if id == r.id {
			return r.durable >= index
		}
		return r.peers[id].match >= index
	})
}

// ReadIndex starts a round of messages that confirms whether the replica is still the leader. It returns the number of the
// round for ReadConfirmed.
func (r *Replica) ReadIndex(now time.Duration) uint64 {
	r.now = now
	r.readRound++
	if r.role == Leader {
		r.broadcastAppend()
	}
	return r.readRound
}

// ReadConfirmed reports whether a majority replied to a read round, and the replica's commit index covers all entries that
// were committed when the round began.
func (r *Replica) ReadConfirmed(round uint64) bool {
	if !r.CommittedInTerm() {
		return false
	}
	return r.Membership().HasQuorum(func(id string) bool { return id == r.id || r.peers[id].readRound >= round })
}

// Compact replaces the log up to an applied entry by a snapshot with data. It does nothing if the index is not applied or is
// already covered by the snapshot.
func (r *Replica) Compact(index uint64, data []byte) {
	term, ok := r.termAt(index)
	if !ok || index <= r.snapshot.Index || index > r.applied {
		return
	}
	membership := r.membershipAt(index)
	kept := []membershipEntry{{index, membership}}
	for _, l := range r.memberships {
		if l.index > index {
			kept = append(kept, l)
		}
	}
	r.log = append([]Entry(nil), r.log[index-r.snapshot.Index:]...)
	r.memberships = kept
	r.snapshot = Snapshot{Term: term, Index: index, Data: data, Membership: membership}
	s := r.snapshot
	r.output.Snapshot, r.output.Truncate, r.output.Entries = &s, 0, append([]Entry(nil), r.log...)
}

// Step processes a message of another replica. It ignores messages to another identity and messages of older terms, but
// replies to an Append of an older term with the newer one.
func (r *Replica) Step(msg Message, now time.Duration) {
	r.now = now
	if msg.To != r.id || msg.From == r.id {
		return
	}
	switch msg.Kind {
	case PreVoteRequest:
		r.handlePreVoteRequest(msg)
		return
	case PreVoteReply:
		r.handlePreVoteReply(msg)
		return
	}
	if msg.Term > r.hard.Term {
		r.becomeFollower(msg.Term, "")
	}
	if msg.Term < r.hard.Term {
		if msg.Kind == Append { // the reply carries the newer term to the former leader
			r.sendAfterSync(Message{Kind: AppendReply, To: msg.From})
		}
		return
	}
	switch msg.Kind {
	case VoteRequest:
		r.handleVoteRequest(msg)
	case VoteReply:
		r.handleVoteReply(msg)
	case Append:
		r.handleAppend(msg)
	case AppendReply:
		r.handleAppendReply(msg)
	case TimeoutNow:
		r.handleTimeoutNow(msg)
	}
}
