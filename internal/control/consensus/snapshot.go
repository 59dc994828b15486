package consensus

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	chunkBytes     = 256 << 10
	chunkHeartbeat = 4 // heartbeats after which a chunk that was not answered is sent again
)

// transfer is a snapshot that a leader sends to one peer. It stays the same when newer snapshots are made meanwhile.
type transfer struct {
	snapshot Snapshot
	sum      uint64
	offset   int // held by the peer
	waiting  bool
	sentAt   time.Duration
}

// assembly is a snapshot that a follower receives.
type assembly struct {
	header Chunk
	data   []byte
}

// pushSnapshot sends a peer the next chunk of a snapshot, or a heartbeat that matches anything while one is on its way.
func (r *Replica) pushSnapshot(p *progress, msg Message) {
	t := p.transfer
	if t == nil {
		t = &transfer{snapshot: r.snapshot, sum: xxh3.Hash(r.snapshot.Data)}
		p.transfer = t
	}
	if t.waiting && r.now-t.sentAt <= chunkHeartbeat*r.timing.Heartbeat {
		r.sendNow(msg)
		return
	}
	t.waiting, t.sentAt = true, r.now
	end := min(len(t.snapshot.Data), t.offset+chunkBytes)
	msg.Chunk = &Chunk{Term: t.snapshot.Term, Index: t.snapshot.Index, Membership: t.snapshot.Membership, Sum: t.sum,
		Size: len(t.snapshot.Data), Offset: t.offset, Data: t.snapshot.Data[t.offset:end]}
	r.sendNow(msg)
}

// chunkHeld takes a peer's word on how much of a snapshot it holds.
func (r *Replica) chunkHeld(p *progress, c Chunk) {
	t := p.transfer
	if t == nil || c.Index != t.snapshot.Index || c.Sum != t.sum {
		return
	}
	t.waiting = false
	t.offset = min(max(0, c.Offset), len(t.snapshot.Data))
}

// takeChunk adds a chunk to what is here already. A snapshot that is complete and matches its sum is taken over.
func (r *Replica) takeChunk(msg, reply Message) {
	c := *msg.Chunk
	if c.Index <= r.commit { // nothing of it is new
		r.incoming = nil
		reply.OK, reply.Index = true, min(r.commit, r.stored)
		r.sendStored(reply)
		return
	}
	in := r.incoming
	if in == nil || in.header.Index != c.Index || in.header.Sum != c.Sum || in.header.Size != c.Size {
		in = &assembly{header: c}
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
	if len(in.data) != c.Size || xxh3.Hash(in.data) != c.Sum || c.Membership.Validate() != nil {
		r.replyChunk(reply, c, 0) // from the beginning
		return
	}
	r.install(Snapshot{Term: c.Term, Index: c.Index, Data: in.data, Membership: c.Membership})
	reply.OK, reply.Index = true, c.Index
	r.sendStored(reply)
}

func (r *Replica) replyChunk(reply Message, c Chunk, held int) {
	reply.Chunk = &Chunk{Index: c.Index, Sum: c.Sum, Offset: held}
	r.sendNow(reply)
}

// install replaces log and state by a snapshot.
func (r *Replica) install(s Snapshot) {
	r.snapshot, r.log, r.memberships = s, nil, []located{{s.Index, s.Membership}}
	r.commit, r.applied, r.stored = s.Index, s.Index, 0
	r.out.Snapshot, r.out.Truncate, r.out.Entries = &s, 0, nil
	r.out.Committed, r.out.Install = nil, &s
}
