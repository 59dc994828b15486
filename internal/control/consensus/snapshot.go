package consensus

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	chunkBytes     = 256 << 10 // maximum data of a chunk
	chunkHeartbeat = 4         // heartbeat intervals after which a chunk without a reply is sent again
)

// transfer is the transfer of a snapshot to one peer. It continues with the same snapshot when newer ones are created.
type transfer struct {
	snapshot      Snapshot
	checksum      uint64
	offset        int // bytes that the peer has received
	awaitingReply bool
	sentAt        time.Duration
}

// snapshotAssembly is a partially received snapshot.
type snapshotAssembly struct {
	header Chunk
	data   []byte
}

// sendSnapshot sends a peer the next chunk of a snapshot. While a chunk is in flight it sends a heartbeat without an entry
// index, which matches any log.
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

// handleChunkReply updates the number of snapshot bytes that a peer has received.
func (r *Replica) handleChunkReply(p *progress, c Chunk) {
	t := p.transfer
	if t == nil || c.Index != t.snapshot.Index || c.Checksum != t.checksum {
		return
	}
	t.awaitingReply = false
	t.offset = min(max(0, c.Offset), len(t.snapshot.Data))
}

// handleChunk adds a chunk to the snapshot being received. A complete snapshot that matches its checksum is installed.
func (r *Replica) handleChunk(msg, reply Message) {
	c := *msg.Chunk
	if c.Index <= r.commit { // the snapshot is older than the committed log
		r.incomingSnapshot = nil
		reply.OK, reply.Index = true, min(r.commit, r.durable)
		r.sendAfterSync(reply)
		return
	}
	buffer := r.incomingSnapshot
	if buffer == nil || buffer.header.Index != c.Index || buffer.header.Checksum != c.Checksum || buffer.header.Size != c.Size {
		buffer = &snapshotAssembly{header: c}
		r.incomingSnapshot = buffer
	}
	if c.Offset == len(buffer.data) {
		buffer.data = append(buffer.data, c.Data...)
	}
	if len(buffer.data) < c.Size {
		r.replyChunk(reply, c, len(buffer.data))
		return
	}
	r.incomingSnapshot = nil
	if len(buffer.data) != c.Size || xxh3.Hash(buffer.data) != c.Checksum || c.Membership.Validate() != nil {
		r.replyChunk(reply, c, 0) // restart the transfer
		return
	}
	r.installSnapshot(Snapshot{Term: c.Term, Index: c.Index, Data: buffer.data, Membership: c.Membership})
	reply.OK, reply.Index = true, c.Index
	r.sendAfterSync(reply)
}

func (r *Replica) replyChunk(reply Message, c Chunk, received int) {
	reply.Chunk = &Chunk{Index: c.Index, Checksum: c.Checksum, Offset: received}
	r.sendImmediately(reply)
}

// installSnapshot replaces the log and the state by a snapshot.
func (r *Replica) installSnapshot(s Snapshot) {
	r.snapshot, r.log, r.memberships = s, nil, []membershipEntry{{s.Index, s.Membership}}
	r.commit, r.applied, r.durable = s.Index, s.Index, 0
	r.output.Snapshot, r.output.Truncate, r.output.Entries = &s, 0, nil
	r.output.Committed, r.output.Install = nil, &s
}
