// Package consensus lets a few controllers agree on one history of changes: terms, votes, and a log that is durable on
// more than half of them before a change counts. It is a value fed with events: no I/O, no clock, no goroutine. The
// caller stores what Output says, sends the messages, and tells when storing is done.
//
// Two things differ from the textbook. A member whose disk came back empty counts for nothing until it has heard the
// terms of all members that can have kept theirs, and holds all that a leader of at least the highest had: a member that
// forgot its votes and entries would otherwise help to elect one who lacks what was acknowledged. And before it stands
// for election, a member asks whether it would be elected, so that one that was cut off doesn't depose a leader.
package consensus

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Entry is one change of the history. A leader's first entry of a term is empty.
type Entry struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint,omitempty"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Term  uint64 `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint,omitempty"`
}

// Kind of a message.
type Kind uint8

// The kinds.
const (
	Append Kind = iota
	AppendReply
	VoteRequest
	VoteReply
	PreVoteRequest
	PreVoteReply
	TermRequest // from a member whose disk came back empty
	TermReply
)

// Message goes from one member to another.
type Message struct {
	Kind     Kind      `cbor:"1,keyasint"`
	From     string    `cbor:"2,keyasint"`
	To       string    `cbor:"3,keyasint"`
	Term     uint64    `cbor:"4,keyasint,omitempty"`
	Index    uint64    `cbor:"5,keyasint,omitempty"` // Append: the entry before Entries; replies: what matches; votes: last
	LogTerm  uint64    `cbor:"6,keyasint,omitempty"` // its term
	Entries  []Entry   `cbor:"7,keyasint,omitempty"`
	Commit   uint64    `cbor:"8,keyasint,omitempty"`
	Last     uint64    `cbor:"9,keyasint,omitempty"` // the leader's last entry
	Snapshot *Snapshot `cbor:"10,keyasint,omitempty"`
	OK       bool      `cbor:"11,keyasint,omitempty"`
	Round    uint64    `cbor:"12,keyasint,omitempty"` // of the leader, for reads
	Blank    bool      `cbor:"13,keyasint,omitempty"` // the sender knows nothing itself
}

// HardState is what must be durable before messages that tell of it leave.
type HardState struct {
	Term  uint64 `cbor:"1,keyasint"`
	Vote  string `cbor:"2,keyasint"`
	Blank bool   `cbor:"3,keyasint"` // the disk came back empty and what it held isn't restored yet
	Floor uint64 `cbor:"4,keyasint"` // no votes up to this term
	// Commit is what was known to be committed: a member that starts again goes by it at once, before anyone leads.
	Commit uint64 `cbor:"5,keyasint,omitempty"`
}

// Output is what has to be done after events. Now goes at once; After goes once Store is done.
type Output struct {
	Hard      *HardState
	Snapshot  *Snapshot // replaces log and snapshot on disk
	Truncate  uint64    // entries from this index on are dropped first; 0: none
	Entries   []Entry   // then these are added
	Now       []Message
	After     []Message
	Committed []Entry   // to be applied, in order
	Install   *Snapshot // to be taken over before Committed
}

// Empty tells that nothing has to be stored.
func (o *Output) Empty() bool {
	return o.Hard == nil && o.Snapshot == nil && o.Truncate == 0 && len(o.Entries) == 0
}

// Timing holds the member's spans, and how many members may lose their disks at once.
type Timing struct {
	Heartbeat       time.Duration // between two of a leader's messages
	ElectionTimeout time.Duration // without a leader, before asking for votes; up to twice that by chance
	Lost            int           // members that may lose their disks at once
}

// Role of a member.
type Role uint8

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

type progress struct {
	match, next uint64
	heard       time.Duration
	round       uint64 // the newest that was answered
	sentAt      time.Duration
	snapAt      time.Duration // when a snapshot was last sent
}

// Replica is one planner's part in the consensus.
type Replica struct {
	id      string
	members []string
	timing  Timing
	rng     *rand.Rand
	now     time.Duration

	hard     HardState
	snap     Snapshot
	log      []Entry // after snap
	stored   uint64  // last entry that is durable here
	commit   uint64
	applied  uint64
	role     Role
	leader   string
	heard    time.Duration // from a leader
	standAt  time.Duration
	votes    map[string]bool
	pre      bool
	peers    map[string]*progress
	terms    map[string]uint64 // told to a blank member
	blankAll map[string]bool
	askedAt  time.Duration
	round    uint64
	out      Output
}

// New makes a member from what its disk held. A disk that came back empty is told by hard.Blank.
func New(id string, members []string, timing Timing, seed uint64, hard HardState, snap Snapshot, log []Entry, now time.Duration) *Replica {
	m := &Replica{id: id, members: slices.Clone(members), timing: timing, rng: rand.New(rand.NewPCG(seed, 2)), hard: hard,
		snap: snap, log: log, commit: snap.Index, applied: snap.Index, now: now, heard: now,
		terms: map[string]uint64{}, blankAll: map[string]bool{}}
	slices.Sort(m.members)
	m.stored = m.last()
	m.commit = max(m.commit, min(hard.Commit, m.stored))
	m.resetElectionTimer()
	if snap.Index > 0 {
		s := snap
		m.out.Install = &s
	}
	return m
}

// Role, leader and progress, for callers.
func (m *Replica) Role() Role        { return m.role }
func (m *Replica) Leader() string    { return m.leader }
func (m *Replica) Term() uint64      { return m.hard.Term }
func (m *Replica) Commit() uint64    { return m.commit }
func (m *Replica) Last() uint64      { return m.last() }
func (m *Replica) Blank() bool       { return m.hard.Blank }
func (m *Replica) Members() []string { return m.members }

func (m *Replica) last() uint64 {
	if n := len(m.log); n > 0 {
		return m.log[n-1].Index
	}
	return m.snap.Index
}

// termOf gives the term of an entry, and whether it is known.
func (m *Replica) termOf(index uint64) (uint64, bool) {
	if index == m.snap.Index {
		return m.snap.Term, true
	}
	if index < m.snap.Index || index > m.last() {
		return 0, false
	}
	return m.log[index-m.snap.Index-1].Term, true
}

func (m *Replica) quorum() int { return len(m.members)/2 + 1 }

// resetElectionTimer draws anew how long the member waits for a leader.
func (m *Replica) resetElectionTimer() {
	m.standAt = m.now + m.timing.ElectionTimeout + time.Duration(m.rng.Int64N(int64(m.timing.ElectionTimeout)))
}

func (m *Replica) send(after bool, msg Message) {
	msg.From = m.id
	if msg.Term == 0 {
		msg.Term = m.hard.Term
	}
	if after {
		m.out.After = append(m.out.After, msg)
	} else {
		m.out.Now = append(m.out.Now, msg)
	}
}

func (m *Replica) others(do func(id string)) {
	for _, id := range m.members {
		if id != m.id {
			do(id)
		}
	}
}

// Take hands out what has to be done and starts collecting anew.
func (m *Replica) Take() Output {
	if m.applied < m.commit {
		for i := m.applied + 1; i <= m.commit; i++ {
			m.out.Committed = append(m.out.Committed, m.log[i-m.snap.Index-1])
		}
		m.applied, m.hard.Commit = m.commit, m.commit
		m.keep()
	}
	out := m.out
	m.out = Output{}
	return out
}

// Stored tells that an output's entries up to this index are durable.
func (m *Replica) Stored(index uint64, now time.Duration) {
	m.now = now
	m.stored = max(m.stored, min(index, m.last()))
	if m.role == Leader {
		m.advance()
	}
}

// Tick lets time pass.
func (m *Replica) Tick(now time.Duration) {
	m.now = now
	if m.hard.Blank && now >= m.askedAt {
		m.askedAt = now + 2*m.timing.Heartbeat
		m.others(func(id string) { m.send(false, Message{Kind: TermRequest, To: id, Blank: true}) })
		m.restore()
	}
	switch m.role {
	case Leader:
		m.others(func(id string) {
			if now-m.peers[id].sentAt >= m.timing.Heartbeat {
				m.push(id)
			}
		})
		if !m.Attached(now) && now-m.heard > 2*m.timing.ElectionTimeout {
			m.follow(m.hard.Term, "") // nobody follows: whoever is asked should ask another
		}
	default:
		if now >= m.standAt && !m.hard.Blank {
			m.stand(true)
		}
	}
}

// Attached tells whether the member lately heard from more than half: as a leader from followers, else from a leader.
func (m *Replica) Attached(now time.Duration) bool {
	span := 2 * m.timing.ElectionTimeout
	if m.role != Leader {
		return m.leader != "" && now-m.heard < span
	}
	n := 1
	for _, p := range m.peers {
		if now-p.heard < span {
			n++
		}
	}
	return n >= m.quorum()
}

// stand asks for votes, or first whether there would be any.
func (m *Replica) stand(pre bool) {
	m.resetElectionTimer()
	m.role, m.leader, m.pre, m.votes = Candidate, "", pre, map[string]bool{m.id: true}
	kind := PreVoteRequest
	term := m.hard.Term + 1
	if !pre {
		kind = VoteRequest
		m.hard.Term, m.hard.Vote = term, m.id
		m.keep()
	}
	logTerm, _ := m.termOf(m.last())
	m.others(func(id string) {
		m.send(!pre, Message{Kind: kind, To: id, Term: term, Index: m.last(), LogTerm: logTerm})
	})
	m.count()
}

func (m *Replica) keep() {
	h := m.hard
	m.out.Hard = &h
}

// count sees whether the votes are enough.
func (m *Replica) count() {
	n := 0
	for _, yes := range m.votes {
		if yes {
			n++
		}
	}
	if n < m.quorum() {
		return
	}
	if m.pre {
		m.stand(false)
		return
	}
	m.role, m.leader, m.heard = Leader, m.id, m.now
	m.peers = map[string]*progress{}
	m.others(func(id string) { m.peers[id] = &progress{next: m.last() + 1, heard: m.now} })
	m.add(nil) // commits what former terms left
}

// follow goes back to following, perhaps in a newer term.
func (m *Replica) follow(term uint64, leader string) {
	if term > m.hard.Term {
		m.hard.Term, m.hard.Vote = term, ""
		m.keep()
	}
	m.role, m.leader, m.peers, m.votes = Follower, leader, nil, nil
	m.resetElectionTimer()
}

// Propose adds a change; only a leader can. It returns the change's place.
func (m *Replica) Propose(data []byte, now time.Duration) (index, term uint64, ok bool) {
	m.now = now
	if m.role != Leader {
		return 0, 0, false
	}
	m.add(data)
	return m.last(), m.hard.Term, true
}

func (m *Replica) add(data []byte) {
	e := Entry{Term: m.hard.Term, Index: m.last() + 1, Data: data}
	m.log = append(m.log, e)
	m.out.Entries = append(m.out.Entries, e)
	m.others(m.push)
	m.advance()
}

// push sends a peer what it lacks, or a heartbeat.
func (m *Replica) push(id string) {
	p := m.peers[id]
	p.sentAt = m.now
	msg := Message{Kind: Append, To: id, Index: p.next - 1, Commit: m.commit, Last: m.last(), Round: m.round}
	term, known := m.termOf(p.next - 1)
	if !known {
		if m.now-p.snapAt > 4*m.timing.Heartbeat || p.snapAt == 0 {
			p.snapAt = m.now
			s := m.snap
			msg.Snapshot, msg.Index, msg.LogTerm = &s, s.Index, s.Term
		} else {
			msg.Index, msg.LogTerm = 0, 0 // a heartbeat that matches nothing, while the snapshot is on its way
			msg.Kind = Append
		}
		m.send(false, msg)
		return
	}
	msg.LogTerm = term
	if p.next <= m.last() {
		msg.Entries = slices.Clone(m.log[p.next-m.snap.Index-1:])
		p.next = m.last() + 1 // a refusal sets it back
	}
	m.send(false, msg)
}

// advance commits what more than half hold durably. Only entries of the own term commit by counting.
func (m *Replica) advance() {
	held := []uint64{}
	for _, id := range m.members {
		if id == m.id {
			held = append(held, m.stored)
		} else {
			held = append(held, m.peers[id].match)
		}
	}
	slices.Sort(held)
	at := held[len(held)-m.quorum()]
	if term, ok := m.termOf(at); ok && at > m.commit && term == m.hard.Term {
		m.commit = at
		m.others(m.push)
	}
}

// Confirm starts a round that shows whether the member still leads; Confirmed tells.
func (m *Replica) Confirm(now time.Duration) uint64 {
	m.now = now
	m.round++
	if m.role == Leader {
		m.others(m.push)
	}
	return m.round
}

// Confirmed tells whether more than half answered a round, and all that was committed when it began is known here.
func (m *Replica) Confirmed(round uint64) bool {
	if m.role != Leader {
		return false
	}
	if term, ok := m.termOf(m.commit); !ok || term != m.hard.Term {
		return false // nothing of this term is committed: former leaders' changes may not be
	}
	n := 1
	for _, p := range m.peers {
		if p.round >= round {
			n++
		}
	}
	return n >= m.quorum()
}

// Compact replaces the log up to an applied entry by a snapshot.
func (m *Replica) Compact(index uint64, data []byte) {
	term, ok := m.termOf(index)
	if !ok || index <= m.snap.Index || index > m.applied {
		return
	}
	m.log = slices.Clone(m.log[index-m.snap.Index:])
	m.snap = Snapshot{Term: term, Index: index, Data: data}
	s := m.snap
	m.out.Snapshot, m.out.Truncate, m.out.Entries = &s, 0, slices.Clone(m.log)
}

// Step takes a message.
func (m *Replica) Step(msg Message, now time.Duration) {
	m.now = now
	if msg.To != m.id || !slices.Contains(m.members, msg.From) {
		return
	}
	switch msg.Kind {
	case TermRequest:
		m.send(true, Message{Kind: TermReply, To: msg.From, Blank: m.hard.Blank})
		return
	case TermReply:
		if m.hard.Blank {
			m.blankAll[msg.From] = msg.Blank
			if delete(m.terms, msg.From); !msg.Blank { // one that knows nothing itself has nothing to tell
				m.terms[msg.From] = msg.Term
			}
			m.restore()
		}
		return
	case PreVoteRequest:
		m.answerPre(msg)
		return
	case PreVoteReply:
		if m.role == Candidate && m.pre && msg.Term == m.hard.Term+1 {
			m.votes[msg.From] = msg.OK
			m.count()
		}
		return
	}
	if msg.Term > m.hard.Term {
		m.follow(msg.Term, "")
	}
	if msg.Term < m.hard.Term {
		if msg.Kind == Append { // tells a former leader
			m.send(true, Message{Kind: AppendReply, To: msg.From})
		}
		return
	}
	switch msg.Kind {
	case VoteRequest:
		m.answerVote(msg)
	case VoteReply:
		if m.role == Candidate && !m.pre {
			m.votes[msg.From] = msg.OK
			m.count()
		}
	case Append:
		m.appended(msg)
	case AppendReply:
		m.replied(msg)
	}
}

// upToDate tells whether a log that ends so has all that ours has.
func (m *Replica) upToDate(msg Message) bool {
	term, _ := m.termOf(m.last())
	return msg.LogTerm > term || msg.LogTerm == term && msg.Index >= m.last()
}

func (m *Replica) answerPre(msg Message) {
	ok := !m.hard.Blank && msg.Term > m.hard.Term && msg.Term > m.hard.Floor && m.upToDate(msg)
	if m.role == Leader && m.Attached(m.now) || m.role == Follower && m.leader != "" && m.now-m.heard < m.timing.ElectionTimeout {
		ok = false
	}
	m.send(true, Message{Kind: PreVoteReply, To: msg.From, Term: msg.Term, OK: ok})
}

func (m *Replica) answerVote(msg Message) {
	ok := !m.hard.Blank && msg.Term > m.hard.Floor && m.upToDate(msg) && (m.hard.Vote == "" || m.hard.Vote == msg.From)
	if ok && m.hard.Vote == "" {
		m.hard.Vote = msg.From
		m.keep()
		m.resetElectionTimer()
	}
	m.send(true, Message{Kind: VoteReply, To: msg.From, OK: ok})
}

// appended takes what a leader sends.
func (m *Replica) appended(msg Message) {
	if m.role != Follower || m.leader != msg.From {
		m.follow(m.hard.Term, msg.From)
	}
	m.heard = m.now
	m.resetElectionTimer()
	if s := msg.Snapshot; s != nil && s.Index > m.commit {
		m.snap, m.log = *s, nil
		m.commit, m.applied, m.stored = s.Index, s.Index, 0
		m.out.Snapshot, m.out.Truncate, m.out.Entries = s, 0, nil
		m.out.Committed, m.out.Install = nil, s
	}
	reply := Message{Kind: AppendReply, To: msg.From, Round: msg.Round, Blank: m.hard.Blank}
	if term, ok := m.termOf(msg.Index); msg.Index < m.snap.Index {
		// All of it may be older than our snapshot: what we committed matches.
		reply.OK, reply.Index = true, m.commit
	} else if !ok || term != msg.LogTerm {
		reply.Index = min(m.last(), max(m.commit, msg.Index-min(msg.Index, 1)))
		m.send(true, reply)
		return
	} else {
		m.extend(msg.Entries)
		reply.OK, reply.Index = true, msg.Index+uint64(len(msg.Entries))
	}
	if len(msg.Entries) == 0 && msg.Snapshot == nil && reply.OK && !m.hard.Blank {
		// A heartbeat is answered at once, for what is durable: a slow disk shall not make its leader seem alone.
		reply.Index = min(reply.Index, m.stored)
		if at := min(msg.Commit, msg.Index); at > m.commit {
			m.commit = at
		}
		m.send(false, reply)
		return
	}
	if at := min(msg.Commit, reply.Index); at > m.commit {
		m.commit = at
	}
	if m.hard.Blank && m.complete() && msg.Term >= m.hard.Floor && m.last() >= msg.Last && reply.Index >= msg.Last {
		m.hard.Blank = false // all that this member may have held before is here again
		m.keep()
		reply.Blank = false
	}
	m.send(true, reply)
}

// extend takes entries over, dropping what conflicts with them.
func (m *Replica) extend(entries []Entry) {
	for i, e := range entries {
		if e.Index <= m.snap.Index {
			continue
		}
		if term, ok := m.termOf(e.Index); ok {
			if term == e.Term {
				continue
			}
			m.log = m.log[:e.Index-m.snap.Index-1]
			m.stored = min(m.stored, e.Index-1)
			m.out.Entries = slices.DeleteFunc(m.out.Entries, func(o Entry) bool { return o.Index >= e.Index })
			if m.out.Truncate == 0 || e.Index < m.out.Truncate {
				m.out.Truncate = e.Index
			}
		}
		m.log = append(m.log, entries[i:]...)
		m.out.Entries = append(m.out.Entries, entries[i:]...)
		return
	}
}

// replied takes a follower's answer.
func (m *Replica) replied(msg Message) {
	if m.role != Leader {
		return
	}
	p := m.peers[msg.From]
	p.heard, p.round = m.now, max(p.round, msg.Round)
	if !msg.OK {
		p.next = max(1, min(msg.Index+1, m.last()+1))
		m.pushMore(msg.From)
		return
	}
	p.next = max(p.next, msg.Index+1)
	// One whose disk came back empty holds it, and may have helped to elect others: it counts for nothing yet.
	if !msg.Blank && msg.Index > p.match {
		p.match = msg.Index
		m.advance()
	}
	m.pushMore(msg.From)
}

// pushMore sends what a peer still lacks, unless a snapshot is on its way to it.
func (m *Replica) pushMore(id string) {
	p := m.peers[id]
	_, known := m.termOf(p.next - 1)
	if p.next <= m.last() && (known || p.snapAt == 0 || m.now-p.snapAt > 4*m.timing.Heartbeat) {
		m.push(id)
	}
}

// complete tells whether a blank member has heard the terms of enough others: of all that can have kept their disks when
// as many as are borne lost theirs. Whoever it voted for, or made an entry count with, has one of those among them.
func (m *Replica) complete() bool { return len(m.terms) >= len(m.members)-m.timing.Lost }

// restore sees how far a blank member has come. Where all are blank, nothing was ever agreed: all begin anew.
func (m *Replica) restore() {
	if !m.hard.Blank {
		return
	}
	all := len(m.blankAll) == len(m.members)-1
	for _, blank := range m.blankAll {
		all = all && blank
	}
	if all && m.last() == 0 {
		m.hard.Blank = false
		m.keep()
		m.resetElectionTimer()
		return
	}
	if !m.complete() {
		return
	}
	floor := m.hard.Floor
	for _, term := range m.terms {
		floor = max(floor, term)
	}
	if floor > m.hard.Floor {
		m.hard.Floor = floor
		m.keep()
	}
}
