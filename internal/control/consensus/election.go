package consensus

import "time"

// resetElectionTimer draws how long the replica waits for a leader before it campaigns: one to two election timeouts, so
// that replicas rarely campaign at the same time.
func (r *Replica) resetElectionTimer() {
	timeout := r.timing.ElectionTimeout
	r.electionDeadline = r.now + timeout + time.Duration(r.rng.Int64N(int64(timeout)))
}

// preCampaign asks the voters whether they would vote for this replica in the next term. Nothing becomes durable, so that a
// replica that can't be elected doesn't raise the term of the others.
func (r *Replica) preCampaign() {
	r.becomeCandidate()
	r.preVote = true
	r.requestVotes(PreVoteRequest, r.hard.Term+1, r.sendImmediately)
	r.countVotes()
}

// campaign asks the voters for their votes in the next term.
func (r *Replica) campaign() {
	r.becomeCandidate()
	r.preVote = false
	r.hard.Term, r.hard.Vote = r.hard.Term+1, r.id
	r.persistHardState()
	r.requestVotes(VoteRequest, r.hard.Term, r.sendAfterSync)
	r.countVotes()
}

func (r *Replica) becomeCandidate() {
	r.resetElectionTimer()
	r.role, r.leader, r.votes = Candidate, "", map[string]bool{r.id: true}
}

func (r *Replica) requestVotes(kind Kind, term uint64, send func(Message)) {
	for _, id := range r.Membership().All() {
		if id != r.id {
			send(Message{Kind: kind, To: id, Term: term, Index: r.lastIndex(), LogTerm: r.LastTerm()})
		}
	}
}

// countVotes goes on where the votes are enough. The own vote counts before it is durable only in a pre-vote: vote requests
// leave after it is.
func (r *Replica) countVotes() {
	if !r.Membership().HasQuorum(func(id string) bool { return r.votes[id] }) {
		return
	}
	if r.preVote {
		r.campaign()
		return
	}
	r.becomeLeader()
}

// becomeLeader starts to lead the term of the election. The first leader of a cluster also names the cluster.
func (r *Replica) becomeLeader() {
	r.role, r.leader, r.leaderHeardAt, r.incoming = Leader, r.id, r.now, nil
	r.peers = map[string]*progress{}
	r.syncPeers()
	first := Entry{} // commits what earlier terms left
	if m := r.Membership(); m.Cluster == 0 {
		m.Epoch, m.Cluster = m.Epoch+1, r.rng.Uint64()|1
		first.Membership = &m
	}
	r.append(first)
}

// becomeFollower follows a leader in a term that is not older than the own one; an empty leader is not known yet.
func (r *Replica) becomeFollower(term uint64, leader string) {
	if term > r.hard.Term {
		r.hard.Term, r.hard.Vote = term, ""
		r.persistHardState()
	}
	r.role, r.leader, r.peers, r.votes = Follower, leader, nil, nil
	r.resetElectionTimer()
}

// upToDate reports whether a candidate's log holds all that this one may have committed.
func (r *Replica) upToDate(msg Message) bool {
	term, _ := r.termAt(r.lastIndex())
	return msg.LogTerm > term || msg.LogTerm == term && msg.Index >= r.lastIndex()
}

// hasLiveLeader reports whether there is a leader that a pre-vote must not depose.
func (r *Replica) hasLiveLeader() bool {
	if r.role == Leader {
		return r.HasQuorumContact(r.now)
	}
	return r.role == Follower && r.leader != "" && r.now-r.leaderHeardAt < r.timing.ElectionTimeout
}

// handlePreVoteRequest tells a candidate whether it would get this vote, in the term that it asked for. A refusal carries the
// own term instead: a replica that voted in a term which nobody led would otherwise refuse a candidate with the better log,
// and be refused by it, for ever.
func (r *Replica) handlePreVoteRequest(msg Message) {
	reply := Message{Kind: PreVoteReply, To: msg.From, Term: r.hard.Term}
	if msg.Term > r.hard.Term && r.upToDate(msg) && !r.hasLiveLeader() {
		reply.Term, reply.OK = msg.Term, true
	}
	r.sendAfterSync(reply)
}

// handlePreVoteReply counts a pre-vote.
func (r *Replica) handlePreVoteReply(msg Message) {
	switch {
	case r.role != Candidate || !r.preVote:
	case !msg.OK && msg.Term > r.hard.Term:
		r.becomeFollower(msg.Term, "") // and campaigns again in a term above it
	case msg.OK && msg.Term == r.hard.Term+1:
		r.votes[msg.From] = true
		r.countVotes()
	}
}

// handleVoteRequest votes for the first candidate of a term whose log is up to date.
func (r *Replica) handleVoteRequest(msg Message) {
	ok := r.upToDate(msg) && (r.hard.Vote == "" || r.hard.Vote == msg.From)
	if ok && r.hard.Vote == "" {
		r.hard.Vote = msg.From
		r.persistHardState()
		r.resetElectionTimer()
	}
	r.sendAfterSync(Message{Kind: VoteReply, To: msg.From, OK: ok})
}

// handleVoteReply counts a vote.
func (r *Replica) handleVoteReply(msg Message) {
	if r.role == Candidate && !r.preVote {
		r.votes[msg.From] = msg.OK
		r.countVotes()
	}
}

// TransferLeadership asks a voter that holds the complete log to campaign at once, and reports whether it was asked.
func (r *Replica) TransferLeadership(to string, now time.Duration) bool {
	r.now = now
	p := r.peers[to]
	if r.role != Leader || p == nil || p.match < r.lastIndex() || !r.Membership().Contains(to) {
		return false
	}
	r.sendImmediately(Message{Kind: TimeoutNow, To: to})
	return true
}

// campaignNow campaigns without a pre-vote, since the leader itself asks for it.
func (r *Replica) campaignNow(msg Message) {
	if r.role == Follower && r.leader == msg.From && r.IsVoter() {
		r.campaign()
	}
}
