package consensus

import "slices"

const (
	batchBytes    = 256 << 10 // maximum data of the entries in one message, unless a single entry is larger
	inFlightBytes = 1 << 20   // maximum data of the entries sent to a peer without a reply
)

// broadcastAppend sends an Append message to all other replicas.
func (r *Replica) broadcastAppend() {
	for _, id := range r.replicationTargets() {
		r.sendAppend(id)
	}
}

// sendAppend sends a peer its next entries, the next chunk of a snapshot, or a heartbeat.
func (r *Replica) sendAppend(id string) {
	p := r.peers[id]
	p.sentAt = r.now
	msg := Message{Kind: Append, To: id, Commit: r.commit, ReadRound: r.readRound,
		LeaderInContact: r.now-p.heardAt < r.timing.contactTimeout()}
	term, known := r.termAt(p.next - 1)
	if !known {
		r.sendSnapshot(p, msg)
		return
	}
	p.transfer = nil
	msg.Index, msg.LogTerm = p.next-1, term
	msg.Entries = r.nextBatch(p)
	p.next += uint64(len(msg.Entries)) // a rejection resets it
	r.sendImmediately(msg)
}

// nextBatch returns the entries to send to a peer now, within the limits of batchBytes and inFlightBytes.
func (r *Replica) nextBatch(p *progress) []Entry {
	if p.next > r.lastIndex() || p.next <= r.snapshot.Index {
		return nil
	}
	if from := max(p.match, r.snapshot.Index) + 1; from < p.next {
		if dataSize(r.entriesFrom(from)[:p.next-from]) >= inFlightBytes {
			return nil
		}
	}
	entries := r.entriesFrom(p.next)
	bytes := 0
	for i, e := range entries {
		if bytes += len(e.Data); i > 0 && bytes > batchBytes {
			entries = entries[:i]
			break
		}
	}
	return slices.Clone(entries)
}

func dataSize(entries []Entry) (bytes int) {
	for _, e := range entries {
		bytes += len(e.Data)
	}
	return bytes
}

// handleAppend processes a message of the leader. It appends the entries if the log matches at the entry before them.
func (r *Replica) handleAppend(msg Message) {
	if r.role != Follower || r.leader != msg.From {
		r.becomeFollower(r.hard.Term, msg.From)
	}
	r.leaderHeardAt, r.leaderHasQuorum = r.now, msg.LeaderInContact
	r.resetElectionTimer()
	if slices.ContainsFunc(msg.Entries, Entry.invalid) {
		return // a message with an invalid entry is ignored
	}
	reply := Message{Kind: AppendReply, To: msg.From, ReadRound: msg.ReadRound}
	if msg.Chunk != nil {
		r.handleChunk(msg, reply)
		return
	}
	term, known := r.termAt(msg.Index)
	switch {
	case msg.Index < r.snapshot.Index: // all entries may be older than the snapshot; committed entries always match
		reply.OK, reply.Index = true, r.commit
	case !known || term != msg.LogTerm:
		reply.Index = min(r.lastIndex(), max(r.commit, msg.Index-min(msg.Index, 1)))
		r.sendAfterSync(reply)
		return
	default:
		r.appendEntries(msg.Entries)
		reply.OK, reply.Index = true, msg.Index+uint64(len(msg.Entries))
	}
	r.commit = max(r.commit, min(msg.Commit, reply.Index))
	if len(msg.Entries) == 0 {
		// The reply to a heartbeat is sent at once, up to the durable entries: a slow disk must not cost the leader its
		// contact to a majority.
		reply.Index = min(reply.Index, r.durable)
		r.sendImmediately(reply)
		return
	}
	r.sendAfterSync(reply)
}

// appendEntries appends entries of the leader and truncates conflicting ones.
func (r *Replica) appendEntries(entries []Entry) {
	for i, e := range entries {
		if e.Index <= r.snapshot.Index {
			continue
		}
		if term, known := r.termAt(e.Index); known {
			if term == e.Term {
				continue
			}
			r.truncate(e.Index)
		}
		r.log = append(r.log, entries[i:]...)
		r.output.Entries = append(r.output.Entries, entries[i:]...)
		for _, added := range entries[i:] {
			r.applyMembershipEntry(added)
		}
		return
	}
}

// truncate removes the entries from an index on, with the memberships in them.
func (r *Replica) truncate(from uint64) {
	r.log = r.log[:from-r.snapshot.Index-1]
	r.durable = min(r.durable, from-1)
	r.revertMembership(from)
	r.output.Entries = slices.DeleteFunc(r.output.Entries, func(e Entry) bool { return e.Index >= from })
	if r.output.Truncate == 0 || from < r.output.Truncate {
		r.output.Truncate = from
	}
}

// handleAppendReply updates the progress of a peer, advances the commit index, and sends further entries.
func (r *Replica) handleAppendReply(msg Message) {
	p := r.peers[msg.From]
	if r.role != Leader || p == nil {
		return
	}
	p.heardAt, p.readRound = r.now, max(p.readRound, msg.ReadRound)
	switch {
	case msg.Chunk != nil && !msg.OK:
		r.handleChunkReply(p, *msg.Chunk)
	case !msg.OK:
		p.next = max(1, min(msg.Index+1, r.lastIndex()+1))
	default:
		p.next = max(p.next, msg.Index+1)
		if p.transfer != nil && msg.Index >= p.transfer.snapshot.Index {
			p.transfer = nil
		}
		if msg.Index > p.match {
			p.match = msg.Index
			r.advanceCommit()
		}
	}
	r.sendMore(msg.From)
}

// sendMore sends a peer its next entries or snapshot chunk, unless none is left or the limit in flight is reached.
func (r *Replica) sendMore(id string) {
	p := r.peers[id]
	if p == nil {
		return
	}
	if _, known := r.termAt(p.next - 1); !known {
		if p.transfer == nil || !p.transfer.awaitingReply {
			r.sendAppend(id)
		}
		return
	}
	if len(r.nextBatch(p)) > 0 {
		r.sendAppend(id)
	}
}
