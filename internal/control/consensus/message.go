package consensus

import (
	"fmt"
	"time"
)

// Entry is one entry of the log. A leader's first entry of a term has no data, and a membership only if it chooses the
// cluster ID.
type Entry struct {
	Term       uint64      `cbor:"1,keyasint"`
	Index      uint64      `cbor:"2,keyasint"`
	Data       []byte      `cbor:"3,keyasint,omitempty"`
	Membership *Membership `cbor:"4,keyasint,omitempty"`
}

// Validate returns an error if the entry has an invalid membership.
func (e Entry) Validate() error {
	if e.Membership == nil {
		return nil
	}
	if e.Membership.Epoch == 0 {
		return fmt.Errorf("entry %d has a membership without an epoch", e.Index)
	}
	if err := e.Membership.Validate(); err != nil {
		return fmt.Errorf("entry %d: %w", e.Index, err)
	}
	return nil
}

// invalid reports whether the entry has an invalid membership.
func (e Entry) invalid() bool { return e.Validate() != nil }

// Snapshot is the state after all entries up to Index, and the membership in effect at Index.
type Snapshot struct {
	Term       uint64     `cbor:"1,keyasint"`
	Index      uint64     `cbor:"2,keyasint"`
	Data       []byte     `cbor:"3,keyasint,omitempty"`
	Membership Membership `cbor:"4,keyasint"`
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. Their numbers are part of the protocol: 6 and 7 are retired.
const (
	Append         Kind = 0
	AppendReply    Kind = 1
	VoteRequest    Kind = 2
	VoteReply      Kind = 3
	PreVoteRequest Kind = 4
	PreVoteReply   Kind = 5
	TimeoutNow     Kind = 8 // sent by a leader that transfers leadership to the receiver
)

// Message is a message between two replicas. From and To are their identities.
type Message struct {
	Kind            Kind    `cbor:"1,keyasint"`
	From            string  `cbor:"2,keyasint"`
	To              string  `cbor:"3,keyasint"`
	Term            uint64  `cbor:"4,keyasint,omitempty"`
	Index           uint64  `cbor:"5,keyasint,omitempty"` // Append: entry before Entries; replies: see OK; votes: last entry
	LogTerm         uint64  `cbor:"6,keyasint,omitempty"` // Append, vote requests: term of the entry at Index
	Entries         []Entry `cbor:"7,keyasint,omitempty"`
	Commit          uint64  `cbor:"8,keyasint,omitempty"`
	OK              bool    `cbor:"11,keyasint,omitempty"` // AppendReply: the log matches up to Index; votes: granted
	ReadRound       uint64  `cbor:"12,keyasint,omitempty"` // Append, AppendReply: the leader's newest read round
	LeaderInContact bool    `cbor:"14,keyasint,omitempty"` // Append: the leader recently heard from the receiver
	// Chunk is a part of a snapshot in Append, and the number of bytes received in AppendReply.
	Chunk *Chunk `cbor:"15,keyasint,omitempty"`
}

// Chunk is a part of a snapshot in a message. In a reply only Index, Checksum and Offset are set.
type Chunk struct {
	Term       uint64     `cbor:"1,keyasint,omitempty"`
	Index      uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint,omitempty"`
	Checksum   uint64     `cbor:"4,keyasint"` // XXH3 of the data of the complete snapshot
	Size       int        `cbor:"5,keyasint,omitempty"`
	Offset     int        `cbor:"6,keyasint,omitempty"` // of Data, in bytes; in a reply, the bytes received
	Data       []byte     `cbor:"7,keyasint,omitempty"`
}

// HardState is the state that must be durable before messages that depend on it are sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote string `cbor:"2,keyasint"`
	// DiskLost is written by earlier versions only: the disk was found empty and its contents were not restored. A file with
	// this flag is treated like an empty disk.
	DiskLost bool `cbor:"3,keyasint,omitempty"`
	// Commit is the last entry known to be committed. After a restart a replica applies entries up to it at once, before it
	// has a leader.
	Commit uint64 `cbor:"5,keyasint,omitempty"`
}

// Output contains the caller's work after events: send Immediate; store the fields from HardState to Entries, then send
// AfterSync and call MarkDurable; and apply Install and Committed to the state.
type Output struct {
	HardState *HardState
	Snapshot  *Snapshot // replaces the log and the snapshot on disk
	Truncate  uint64    // entries from this index on are deleted first; 0: none
	Entries   []Entry   // appended after Truncate
	Immediate []Message // messages to be sent at once
	AfterSync []Message // messages to be sent once all of the above is durable
	Committed []Entry   // entries to be applied, in order
	Install   *Snapshot // replaces the state, before Committed is applied
}

// Empty reports whether the output contains nothing to store.
func (o *Output) Empty() bool {
	return o.HardState == nil && o.Snapshot == nil && o.Truncate == 0 && len(o.Entries) == 0
}

// LastEntry returns the index and term of the last entry to be stored, or 0, 0 if there is none.
func (o *Output) LastEntry() (index, term uint64) {
	if n := len(o.Entries); n > 0 {
		return o.Entries[n-1].Index, o.Entries[n-1].Term
	}
	if o.Snapshot != nil {
		return o.Snapshot.Index, o.Snapshot.Term
	}
	return 0, 0
}

// Timing holds a replica's timer settings.
type Timing struct {
	Heartbeat       time.Duration // interval of a leader's heartbeats
	ElectionTimeout time.Duration // minimum time without a leader before a campaign; the maximum is twice that
}

// contactTimeout is the time since the last message of a replica after which it counts as out of contact.
func (t Timing) contactTimeout() time.Duration { return 2 * t.ElectionTimeout }

// Role is the role of a replica.
type Role uint8

// The roles of a replica. A learner is a follower that is not a voter.
const (
	Follower Role = iota
	Candidate
	Leader
)
