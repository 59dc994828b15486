package consensus

import "time"

// resetElectionTimer draws anew how long the replica waits for a leader.
func (r *Replica) resetElectionTimer() {
	timeout := r.timing.ElectionTimeout
	r.electionDeadline = r.now + timeout + time.Duration(r.rng.Int64N(int64(timeout)))
}

// campaign asks for votes, or first whether there would be any.
func (r *Replica) campaign(preVote bool) {
	r.resetElectionTimer()
	r.role, r.leader, r.preVote, r.votes = Candidate, "", preVote, map[string]bool{r.id: true}
	request := Message{Kind: PreVoteRequest, Term: r.hard.Term + 1, Index: r.last()}
	request.LogTerm, _ = r.termAt(r.last())
	if !preVote {
		request.Kind = VoteRequest
		r.hard.Term, r.hard.Vote = request.Term, r.id
		r.persistHardState()
	}
	for _, id := range r.Membership().All() {
		if id == r.id {
			continue
		}
		request.To = id
		if preVote {
			r.sendImmediately(request)
		} else {
			r.sendAfterSync(request)
		}
	}
	r.countVotes()
}

// countVotes sees whether the votes are enough. The own vote counts before it is durable only in a pre-vote.
func (r *Replica) countVotes() {
	if !r.Membership().Quorum(func(id string) bool { return r.votes[id] }) {
		return
	}
	if r.preVote {
		r.campaign(false)
		return
	}
	r.becomeLeader()
}

func (r *Replica) becomeLeader() {
	r.role, r.leader, r.leaderHeardAt, r.incoming = Leader, r.id, r.now, nil
	r.peers = map[string]*progress{}
	r.syncPeers()
	first := Entry{} // commits what former terms left
	if m := r.Membership(); m.Cluster == 0 {
		m.Epoch, m.Cluster = m.Epoch+1, r.rng.Uint64()|1
		first.Membership = &m
	}
	r.append(first)
}

// becomeFollower goes back to following, perhaps in a newer term.
func (r *Replica) becomeFollower(term uint64, leader string) {
	if term > r.hard.Term {
		r.hard.Term, r.hard.Vote = term, ""
		r.persistHardState()
	}
	r.role, r.leader, r.peers, r.votes = Follower, leader, nil, nil
	r.resetElectionTimer()
}

// upToDate tells whether a candidate's log has all that this one has.
func (r *Replica) upToDate(msg Message) bool {
	term, _ := r.termAt(r.last())
	return msg.LogTerm > term || msg.LogTerm == term && msg.Index >= r.last()
}

// hasLiveLeader tells whether there is a leader that a pre-vote must not depose.
func (r *Replica) hasLiveLeader() bool {
	if r.role == Leader {
		return r.HasQuorumContact(r.now)
	}
	return r.role == Follower && r.leader != "" && r.now-r.leaderHeardAt < r.timing.ElectionTimeout
}

// handlePreVoteRequest tells a candidate whether it would get this vote, in the term that it asked for. A refusal carries the
// own term instead: one that voted in a term which nobody led would else refuse a candidate that has the better log, and
// be refused by it, for ever.
func (r *Replica) handlePreVoteRequest(msg Message) {
	reply := Message{Kind: PreVoteReply, To: msg.From, Term: r.hard.Term}
	if msg.Term > r.hard.Term && r.upToDate(msg) && !r.hasLiveLeader() {
		reply.Term, reply.OK = msg.Term, true
	}
	r.sendAfterSync(reply)
}

func (r *Replica) handlePreVoteReply(msg Message) {
	switch {
	case r.role != Candidate || !r.preVote:
	case !msg.OK && msg.Term > r.hard.Term:
		r.becomeFollower(msg.Term, "") // and stands again in a term above it
	case msg.OK && msg.Term == r.hard.Term+1:
		r.votes[msg.From] = true
		r.countVotes()
	}
}

func (r *Replica) handleVoteRequest(msg Message) {
	ok := r.upToDate(msg) && (r.hard.Vote == "" || r.hard.Vote == msg.From)
	if ok && r.hard.Vote == "" {
		r.hard.Vote = msg.From
		r.persistHardState()
		r.resetElectionTimer()
	}
	r.sendAfterSync(Message{Kind: VoteReply, To: msg.From, OK: ok})
}

func (r *Replica) handleVoteReply(msg Message) {
	if r.role == Candidate && !r.preVote {
		r.votes[msg.From] = msg.OK
		r.countVotes()
	}
}

// TransferLeadership asks a voter that holds the whole log to stand for election at once.
func (r *Replica) TransferLeadership(to string, now time.Duration) bool {
	r.now = now
	p := r.peers[to]
	if r.role != Leader || p == nil || p.match < r.last() || !r.Membership().Contains(to) {
		return false
	}
	r.sendImmediately(Message{Kind: TimeoutNow, To: to})
	return true
}

// campaignNow stands for election without a pre-vote, since the leader itself asks for it.
func (r *Replica) campaignNow(msg Message) {
	if r.role == Follower && r.leader == msg.From && r.Votes() {
		r.campaign(false)
	}
}
