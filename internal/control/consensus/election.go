package consensus

import "time"

// resetElectionTimer sets the time at which the replica campaigns unless it hears from a leader before. The delay is random
// between one and two election timeouts, so that replicas rarely campaign at the same time.
func (r *Replica) resetElectionTimer() {
	timeout := r.timing.ElectionTimeout
	r.electionDeadline = r.now + timeout + time.Duration(r.rng.Int64N(int64(timeout)))
}

// preCampaign requests pre-votes for the next term from the voters. It changes neither term nor vote, so that a replica that
// can't be elected doesn't raise the term of the others.
func (r *Replica) preCampaign() {
	r.becomeCandidate()
	r.preVote = true
	r.requestVotes(PreVoteRequest, r.hard.Term+1, r.sendImmediately)
	r.countVotes()
}

// campaign starts an election: it increments the term, votes for itself and requests votes from the other voters.
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

// countVotes starts the election after a majority of pre-votes, and becomes leader after a majority of votes. In an election
// the own vote is durable before any reply arrives, because vote requests are sent after the sync.
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

// becomeLeader makes the replica the leader of the current term. The first leader of a cluster also chooses the cluster ID.
func (r *Replica) becomeLeader() {
	r.role, r.leader, r.leaderHeardAt, r.incomingSnapshot = Leader, r.id, r.now, nil
	r.peers = map[string]*progress{}
	r.syncPeers()
	first := Entry{} // committing it also commits the entries of earlier terms
	if m := r.Membership(); m.Cluster == 0 {
		m.Epoch, m.Cluster = m.Epoch+1, r.rng.Uint64()|1
		first.Membership = &m
	}
	r.append(first)
}

// becomeFollower makes the replica a follower in a term that must not be older than its own. An empty leader means that the
// leader is not known yet.
func (r *Replica) becomeFollower(term uint64, leader string) {
	if term > r.hard.Term {
		r.hard.Term, r.hard.Vote = term, ""
		r.persistHardState()
	}
	r.role, r.leader, r.peers, r.votes = Follower, leader, nil, nil
	r.resetElectionTimer()
}

// upToDate reports whether a candidate's log is at least as up to date as the replica's own log.
func (r *Replica) upToDate(msg Message) bool {
	term, _ := r.termAt(r.lastIndex())
	return msg.LogTerm > term || msg.LogTerm == term && msg.Index >= r.lastIndex()
}

// hasLiveLeader reports whether the replica is in contact with a leader, so that it must reject pre-votes.
func (r *Replica) hasLiveLeader() bool {
	if r.role == Leader {
		return r.HasQuorumContact(r.now)
	}
	return r.role == Follower && r.leader != "" && r.now-r.leaderHeardAt < r.timing.ElectionTimeout
}

// handlePreVoteRequest replies whether the replica would vote for a candidate in the requested term. A rejection carries the
// replica's own term instead. Without it, a replica that voted in a term without a leader and a candidate with a more
// up-to-date log would reject each other forever.
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
		r.becomeFollower(msg.Term, "") // the next campaign uses a higher term
	case msg.OK && msg.Term == r.hard.Term+1:
		r.votes[msg.From] = true
		r.countVotes()
	}
}

// handleVoteRequest grants the vote of a term to the first candidate with an up-to-date log.
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

// TransferLeadership requests a voter that holds the complete log to campaign at once. It reports whether the request was
// sent; it is not sent if this replica is not the leader, or the voter lacks entries.
func (r *Replica) TransferLeadership(to string, now time.Duration) bool {
	r.now = now
	p := r.peers[to]
	if r.role != Leader || p == nil || p.match < r.lastIndex() || !r.Membership().Contains(to) {
		return false
	}
	r.sendImmediately(Message{Kind: TimeoutNow, To: to})
	return true
}

// handleTimeoutNow campaigns without a pre-vote, because the leader itself requested it.
func (r *Replica) handleTimeoutNow(msg Message) {
	if r.role == Follower && r.leader == msg.From && r.IsVoter() {
		r.campaign()
	}
}
