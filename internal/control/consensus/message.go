package consensus

import (
	"fmt"
	"time"
)

// Entry is one entry of the log. A leader's first entry of a term has neither data nor, in most cases, a membership.
type Entry struct {
	Term       uint64      `cbor:"1,keyasint"`
	Index      uint64      `cbor:"2,keyasint"`
	Data       []byte      `cbor:"3,keyasint,omitempty"`
	Membership *Membership `cbor:"4,keyasint,omitempty"`
}

// Validate says why an entry that was read or received can't be one.
func (e Entry) Validate() error {
	if e.Membership == nil {
		return nil
	}
	if e.Membership.Epoch == 0 {
		return fmt.Errorf("entry %d holds a membership without an epoch", e.Index)
	}
	if err := e.Membership.Validate(); err != nil {
		return fmt.Errorf("entry %d: %w", e.Index, err)
	}
	return nil
}

// invalid reports whether the entry holds an impossible membership.
func (e Entry) invalid() bool { return e.Validate() != nil }

// Snapshot stands for all entries up to Index, and for the membership in force there.
type Snapshot struct {
	Term       uint64     `cbor:"1,keyasint"`
	Index      uint64     `cbor:"2,keyasint"`
	Data       []byte     `cbor:"3,keyasint,omitempty"`
	Membership Membership `cbor:"4,keyasint"`
}

// Kind of a message.
type Kind uint8

// The kinds. Their numbers are sent between processes: 6 and 7 are retired.
const (
	Append         Kind = 0
	AppendReply    Kind = 1
	VoteRequest    Kind = 2
	VoteReply      Kind = 3
	PreVoteRequest Kind = 4
	PreVoteReply   Kind = 5
	TimeoutNow     Kind = 8 // from a leader that transfers leadership to the receiver
)

// Message goes from one replica to another, named by their identities.
type Message struct {
	Kind            Kind    `cbor:"1,keyasint"`
	From            string  `cbor:"2,keyasint"`
	To              string  `cbor:"3,keyasint"`
	Term            uint64  `cbor:"4,keyasint,omitempty"`
	Index           uint64  `cbor:"5,keyasint,omitempty"` // Append: the entry before Entries; replies: what matches; votes: last
	LogTerm         uint64  `cbor:"6,keyasint,omitempty"` // its term
	Entries         []Entry `cbor:"7,keyasint,omitempty"`
	Commit          uint64  `cbor:"8,keyasint,omitempty"`
	OK              bool    `cbor:"11,keyasint,omitempty"`
	ReadRound       uint64  `cbor:"12,keyasint,omitempty"` // of the leader, for reads
	LeaderInContact bool    `cbor:"14,keyasint,omitempty"` // Append: the leader lately heard the receiver
	// Append: a part of a snapshot; AppendReply: how much of it the sender has
	Chunk *Chunk `cbor:"15,keyasint,omitempty"`
}

// Chunk is a part of a snapshot on its way. In a reply only Index, Sum and Offset are set.
type Chunk struct {
	Term       uint64     `cbor:"1,keyasint,omitempty"`
	Index      uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint,omitempty"`
	Checksum   uint64     `cbor:"4,keyasint"` // of the data of the complete snapshot
	Size       int        `cbor:"5,keyasint,omitempty"`
	Offset     int        `cbor:"6,keyasint,omitempty"` // of Data, in bytes; in a reply, the bytes that are there
	Data       []byte     `cbor:"7,keyasint,omitempty"`
}

// HardState is what must be durable before messages that depend on it leave.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint"`
	// Lost is written by earlier versions only: the disk came back empty and what it held was not restored. Such a file is
	// treated like an empty disk.
	DiskLost bool `cbor:"3,keyasint,omitempty"`
	// Commit is what was known to be committed: a replica that starts again goes by it at once, before anyone leads.
	Commit uint64 `cbor:"5,keyasint,omitempty"`
}

// Output is what the caller has to do after events: send Immediate, store the fields from Hard to Entries and then send
// AfterSync and call MarkDurable, and apply Install and Committed to the state.
type Output struct {
	HardState *HardState
	Snapshot  *Snapshot // replaces log and snapshot on disk
	Truncate  uint64    // entries from this index on are dropped first; 0: none
	Entries   []Entry   // then these are added
	Immediate []Message // to be sent at once
	AfterSync []Message // to be sent once all of the above is durable
	Committed []Entry   // to be applied, in order
	Install   *Snapshot // to replace the state, before Committed
}

// Empty reports whether nothing has to be stored.
func (o *Output) Empty() bool {
	return o.HardState == nil && o.Snapshot == nil && o.Truncate == 0 && len(o.Entries) == 0
}

// LastEntry is the index and term of the last entry that has to be stored; 0, 0: there is none.
func (o *Output) LastEntry() (index, term uint64) {
	if n := len(o.Entries); n > 0 {
		return o.Entries[n-1].Index, o.Entries[n-1].Term
	}
	if o.Snapshot != nil {
		return o.Snapshot.Index, o.Snapshot.Term
	}
	return 0, 0
}

// Timing holds a replica's time spans.
type Timing struct {
	Heartbeat       time.Duration // between two of a leader's messages
	ElectionTimeout time.Duration // without a leader, before campaigning; up to twice that at random
}

// contactTimeout is how old contact may be for a replica to count as in contact with a majority.
func (t Timing) contactTimeout() time.Duration { return 2 * t.ElectionTimeout }

// Role of a replica.
type Role uint8

// The roles. A learner is a follower that has no vote.
const (
	Follower Role = iota
	Candidate
	Leader
)
