package consensus

import (
	"math/rand/v2"
	"time"
)

// Config is what a replica starts with: what its disk held, and its timing.
type Config struct {
	ID         string // identity of the replica
	Timing     Timing
	Seed       uint64     // of its random election timeouts
	Membership Membership // that the cluster started with; empty: the replica learns it from the log
	HardState  HardState
	Snapshot   Snapshot
	Log        []Entry // after the snapshot
	Now        time.Duration
}

// Replica is one controller's part in the consensus. It is not safe for concurrent use.
type Replica struct {
	id     string
	timing Timing
	rng    *rand.Rand
	now    time.Duration // of the last event

	logState
	role Role
	electionState
	leaderState
	incoming *snapshotAssembly // of a follower that receives a snapshot; nil: none
	output   Output
}

// logState is what the replica knows of the log. applied <= commit <= last index, and durable <= last index.
type logState struct {
	hard        HardState
	snapshot    Snapshot
	log         []Entry           // after snapshot, without a gap
	memberships []membershipEntry // that of snapshot first, then those of log
	durable     uint64            // last entry that is durable here
	commit      uint64            // last entry that is known to be committed
	applied     uint64            // last entry that was handed out to be applied
}

// electionState is what a follower or candidate knows of leaders and votes.
type electionState struct {
	leader           string          // identity, in the own term; empty: not known
	leaderHeardAt    time.Duration   // of a leader: when its term began
	leaderHasQuorum  bool            // as the leader last said: it was in contact with this replica
	electionDeadline time.Duration   // when the replica campaigns
	votes            map[string]bool // for a candidate, by voter
	preVote          bool            // a candidate asks for pre-votes
}

// leaderState is what a leader knows of its peers. The learners are set on every replica, for when it leads.
type leaderState struct {
	learners  []string
	peers     map[string]*progress // nil: the replica doesn't lead
	readRound uint64               // of the newest read
}

// progress is what a leader knows of a peer.
type progress struct {
	match     uint64 // last entry that is durable there and agrees with the own log
	next      uint64 // first entry to be sent
	heardAt   time.Duration
	readRound uint64 // the newest that was answered
	sentAt    time.Duration
	transfer  *transfer // of a snapshot; nil: none
}

// New makes a replica from what its disk held.
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

// ID is the identity of the replica.
func (r *Replica) ID() string { return r.id }

// SetID gives a replica that has no vote another identity, under which it may become a voter. It changes nothing on one that
// votes or leads.
func (r *Replica) SetID(id string) {
	if !r.IsVoter() && r.role == Follower {
		r.id = id
	}
}

// Role is the replica's role.
func (r *Replica) Role() Role { return r.role }

// Leader is the identity of the leader of the own term; empty: it is not known.
func (r *Replica) Leader() string { return r.leader }

// Term is the newest term that the replica has seen.
func (r *Replica) Term() uint64 { return r.hard.Term }

// CommitIndex is the index of the last entry that is known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commit }

// LastTerm is the term of the last entry of the log.
func (r *Replica) LastTerm() uint64 {
	term, _ := r.termAt(r.lastIndex())
	return term
}

// HardState is the newest term and vote.
func (r *Replica) HardState() HardState { return r.hard }

// CommittedInTerm reports whether the replica leads and has committed an entry of its own term, and so knows all that
// earlier leaders committed.
func (r *Replica) CommittedInTerm() bool {
	term, known := r.termAt(r.commit)
	return r.role == Leader && known && term == r.hard.Term
}

// LastIndex is the index of the last entry of the log.
func (r *Replica) LastIndex() uint64 { return r.lastIndex() }

// IsVoter reports whether the replica has a vote.
func (r *Replica) IsVoter() bool { return r.Membership().Contains(r.id) }

// Match is how far a peer's durable log is known to agree with the leader's, and when the peer was last heard. It is known
// on a leader only, but for the replica itself.
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

// termAt gives the term of an entry; false: it is before the snapshot or after the log.
func (r *Replica) termAt(index uint64) (uint64, bool) {
	if index == r.snapshot.Index {
		return r.snapshot.Term, true
	}
	if index < r.snapshot.Index || index > r.lastIndex() {
		return 0, false
	}
	return r.log[index-r.snapshot.Index-1].Term, true
}

// entriesFrom is the part of the log from an index on.
func (r *Replica) entriesFrom(index uint64) []Entry { return r.log[index-r.snapshot.Index-1:] }

func (r *Replica) persistHardState() {
	hard := r.hard
	r.output.HardState = &hard
}

func (r *Replica) sendImmediately(msg Message) {
	r.output.Immediate = append(r.output.Immediate, r.withSender(msg))
}

// sendAfterSync sends a message once all that was changed before is durable.
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

// DrainOutput hands out what has to be done since the last call, with the entries that were committed since then.
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

// MarkDurable tells that an output is durable, by the index and term of its last entry (see Output.LastEntry). A write whose
// entries were truncated or replaced by a snapshot while it was under way counts for nothing: what took their place has a
// write of its own.
func (r *Replica) MarkDurable(index, term uint64, now time.Duration) {
	r.now = now
	if current, known := r.termAt(index); known && current == term {
		r.durable = max(r.durable, index)
	}
	if r.role == Leader {
		r.advance()
	}
}

// Tick lets time pass. It is called several times in a heartbeat interval.
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

// tickLeader sends heartbeats, and steps down when no majority was heard for long, so that callers go to another replica.
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

// HasQuorumContact reports whether the replica was lately in contact with a majority: a leader heard one, any other replica
// heard a leader that had heard it, too.
func (r *Replica) HasQuorumContact(now time.Duration) bool {
	span := r.timing.contactTimeout()
	if r.role != Leader {
		return r.leader != "" && now-r.leaderHeardAt < span && r.leaderHasQuorum
	}
	return r.Membership().HasQuorum(func(id string) bool { return id == r.id || now-r.peers[id].heardAt < span })
}

// Propose appends an entry with data to the log of a leader, and gives the entry's index and term. It is not ok on a replica
// that doesn't lead.
func (r *Replica) Propose(data []byte, now time.Duration) (index, term uint64, ok bool) {
	r.now = now
	if r.role != Leader {
		return 0, 0, false
	}
	r.append(Entry{Data: data})
	return r.lastIndex(), r.hard.Term, true
}

// append adds an entry to a leader's log and sends it.
func (r *Replica) append(e Entry) {
	e.Term, e.Index = r.hard.Term, r.lastIndex()+1
	r.log = append(r.log, e)
	r.output.Entries = append(r.output.Entries, e)
	r.applyMembershipEntry(e)
	r.syncPeers()
	r.broadcastAppend()
	r.advance()
}

// advance commits what is durable on a majority. Only entries of the own term are committed by counting: an earlier one may
// still be replaced.
func (r *Replica) advance() {
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

// ReadIndex starts a round of messages that shows whether the replica still leads, and gives its number for ReadConfirmed.
func (r *Replica) ReadIndex(now time.Duration) uint64 {
	r.now = now
	r.readRound++
	if r.role == Leader {
		r.broadcastAppend()
	}
	return r.readRound
}

// ReadConfirmed reports whether a majority answered a round, and all that was committed when it began is known here.
func (r *Replica) ReadConfirmed(round uint64) bool {
	if !r.CommittedInTerm() {
		return false
	}
	return r.Membership().HasQuorum(func(id string) bool { return id == r.id || r.peers[id].readRound >= round })
}

// Compact replaces the log up to an applied entry by a snapshot with data. It changes nothing for any other index.
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

// Step handles a message of another replica.
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
		if msg.Kind == Append { // tells an earlier leader of the newer term
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
		r.campaignNow(msg)
	}
}
