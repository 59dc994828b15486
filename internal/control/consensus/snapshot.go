package consensus

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	chunkBytes     = 256 << 10
	chunkHeartbeat = 4 // heartbeats after which a chunk without a reply is sent again
)

// transfer is a snapshot that a leader sends to one peer. It stays the same when newer snapshots are made meanwhile.
type transfer struct {
	snapshot      Snapshot
	checksum      uint64
	offset        int // bytes that the peer has
	awaitingReply bool
	sentAt        time.Duration
}

// snapshotAssembly is a snapshot that a follower receives.
type snapshotAssembly struct {
	header Chunk
	data   []byte
}

// sendSnapshot sends a peer the next chunk of a snapshot, or a heartbeat that matches anything while one is on its way.
func (r *Replica) sendSnapshot(p *progress, msg Message) {
	t := p.transfer
	if t == nil {
		t = &transfer{snapshot: r.snapshot, checksum: xxh3.Hash(r.snapshot.Data)}
		p.transfer = t
	}
	if t.awaitingReply && r.now-t.sentAt <= chunkHeartbeat*r.timing.Heartbeat {
		r.sendImmediately(msg)
		return
	}
	t.awaitingReply, t.sentAt = true, r.now
	end := min(len(t.snapshot.Data), t.offset+chunkBytes)
	msg.Chunk = &Chunk{Term: t.snapshot.Term, Index: t.snapshot.Index, Membership: t.snapshot.Membership, Checksum: t.checksum,
		Size: len(t.snapshot.Data), Offset: t.offset, Data: t.snapshot.Data[t.offset:end]}
	r.sendImmediately(msg)
}

// handleChunkReply notes how much of a snapshot a peer has.
func (r *Replica) handleChunkReply(p *progress, c Chunk) {
	t := p.transfer
	if t == nil || c.Index != t.snapshot.Index || c.Checksum != t.checksum {
		return
	}
	t.awaitingReply = false
	t.offset = min(max(0, c.Offset), len(t.snapshot.Data))
}

// handleChunk adds a chunk to what is here already. A snapshot that is complete and matches its checksum is installed.
func (r *Replica) handleChunk(msg, reply Message) {
	c := *msg.Chunk
	if c.Index <= r.commit { // nothing of it is new
		r.incoming = nil
		reply.OK, reply.Index = true, min(r.commit, r.durable)
		r.sendAfterSync(reply)
		return
	}
	in := r.incoming
	if in == nil || in.header.Index != c.Index || in.header.Checksum != c.Checksum || in.header.Size != c.Size {
		in = &snapshotAssembly{header: c}
		r.incoming = in
	}
	if c.Offset == len(in.data) {
		in.data = append(in.data, c.Data...)
	}
	if len(in.data) < c.Size {
		r.replyChunk(reply, c, len(in.data))
		return
	}
	r.incoming = nil
	if len(in.data) != c.Size || xxh3.Hash(in.data) != c.Checksum || c.Membership.Validate() != nil {
		r.replyChunk(reply, c, 0) // from the beginning
		return
	}
	r.install(Snapshot{Term: c.Term, Index: c.Index, Data: in.data, Membership: c.Membership})
	reply.OK, reply.Index = true, c.Index
	r.sendAfterSync(reply)
}

func (r *Replica) replyChunk(reply Message, c Chunk, received int) {
	reply.Chunk = &Chunk{Index: c.Index, Checksum: c.Checksum, Offset: received}
	r.sendImmediately(reply)
}

// install replaces log and state by a snapshot.
func (r *Replica) install(s Snapshot) {
	r.snapshot, r.log, r.memberships = s, nil, []membershipEntry{{s.Index, s.Membership}}
	r.commit, r.applied, r.durable = s.Index, s.Index, 0
	r.output.Snapshot, r.output.Truncate, r.output.Entries = &s, 0, nil
	r.output.Committed, r.output.Install = nil, &s
}
