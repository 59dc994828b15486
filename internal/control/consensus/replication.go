package consensus

import "slices"

const (
	batchBytes    = 256 << 10 // of entries in one message, unless a single entry is larger
	inFlightBytes = 1 << 20   // of entries that are sent ahead of a peer's answers
)

func (r *Replica) pushAll() {
	for _, id := range r.targets() {
		r.push(id)
	}
}

// push sends a peer what it lacks, or a heartbeat.
func (r *Replica) push(id string) {
	p := r.peers[id]
	p.sentAt = r.now
	msg := Message{Kind: Append, To: id, Commit: r.commit, Round: r.round, Heard: r.now-p.heard < r.timing.attachedSpan()}
	term, known := r.termAt(p.next - 1)
	if !known {
		r.pushSnapshot(p, msg)
		return
	}
	p.transfer = nil
	msg.Index, msg.LogTerm = p.next-1, term
	msg.Entries = r.nextBatch(p)
	p.next += uint64(len(msg.Entries)) // a refusal sets it back
	r.sendNow(msg)
}

// nextBatch is what may be sent to a peer now, within the bounds of a message and of what is in flight.
func (r *Replica) nextBatch(p *progress) []Entry {
	if p.next > r.last() || p.next <= r.snapshot.Index {
		return nil
	}
	if from := max(p.match, r.snapshot.Index) + 1; from < p.next {
		if size(r.entriesFrom(from)[:p.next-from]) >= inFlightBytes {
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

func size(entries []Entry) (bytes int) {
	for _, e := range entries {
		bytes += len(e.Data)
	}
	return bytes
}

// appended takes what a leader sends.
func (r *Replica) appended(msg Message) {
	if r.role != Follower || r.leader != msg.From {
		r.follow(r.hard.Term, msg.From)
	}
	r.heard, r.heardByLeader = r.now, msg.Heard
	r.resetElectionTimer()
	if slices.ContainsFunc(msg.Entries, Entry.invalid) {
		return // nothing of a message that can't be is taken
	}
	reply := Message{Kind: AppendReply, To: msg.From, Round: msg.Round}
	if msg.Chunk != nil {
		r.takeChunk(msg, reply)
		return
	}
	term, known := r.termAt(msg.Index)
	switch {
	case msg.Index < r.snapshot.Index: // all of it may be older than the snapshot: what is committed here matches
		reply.OK, reply.Index = true, r.commit
	case !known || term != msg.LogTerm:
		reply.Index = min(r.last(), max(r.commit, msg.Index-min(msg.Index, 1)))
		r.sendStored(reply)
		return
	default:
		r.extend(msg.Entries)
		reply.OK, reply.Index = true, msg.Index+uint64(len(msg.Entries))
	}
	r.commit = max(r.commit, min(msg.Commit, reply.Index))
	if len(msg.Entries) == 0 {
		// A heartbeat is answered at once, for what is durable: a slow disk shall not make its leader seem alone.
		reply.Index = min(reply.Index, r.stored)
		r.sendNow(reply)
		return
	}
	r.sendStored(reply)
}

// extend takes entries over, dropping what conflicts with them.
func (r *Replica) extend(entries []Entry) {
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
		r.out.Entries = append(r.out.Entries, entries[i:]...)
		for _, added := range entries[i:] {
			r.followMembership(added)
		}
		return
	}
}

// truncate drops the log from an entry on.
func (r *Replica) truncate(from uint64) {
	r.log = r.log[:from-r.snapshot.Index-1]
	r.stored = min(r.stored, from-1)
	r.dropMembership(from)
	r.out.Entries = slices.DeleteFunc(r.out.Entries, func(e Entry) bool { return e.Index >= from })
	if r.out.Truncate == 0 || from < r.out.Truncate {
		r.out.Truncate = from
	}
}

// replied takes a follower's answer.
func (r *Replica) replied(msg Message) {
	p := r.peers[msg.From]
	if r.role != Leader || p == nil {
		return
	}
	p.heard, p.round = r.now, max(p.round, msg.Round)
	switch {
	case msg.Chunk != nil && !msg.OK:
		r.chunkHeld(p, *msg.Chunk)
	case !msg.OK:
		p.next = max(1, min(msg.Index+1, r.last()+1))
	default:
		p.next = max(p.next, msg.Index+1)
		if p.transfer != nil && msg.Index >= p.transfer.snapshot.Index {
			p.transfer = nil
		}
		if msg.Index > p.match {
			p.match = msg.Index
			r.advance()
		}
	}
	r.pushMore(msg.From)
}

// pushMore sends what a peer still lacks, unless it is on its way.
func (r *Replica) pushMore(id string) {
	p := r.peers[id]
	if p == nil {
		return
	}
	if _, known := r.termAt(p.next - 1); !known {
		if p.transfer == nil || !p.transfer.waiting {
			r.push(id)
		}
		return
	}
	if len(r.nextBatch(p)) > 0 {
		r.push(id)
	}
}
