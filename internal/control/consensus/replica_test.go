package consensus_test

import (
	"bytes"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

var initialMembership = consensus.Membership{Epoch: 1, Cluster: 7, Voters: []string{"a", "b", "c"}}

// newReplica returns one of three voters with the given state on its disk.
func newReplica(id string, hard consensus.HardState, log ...consensus.Entry) *consensus.Replica {
	return consensus.New(consensus.Config{ID: id, Membership: initialMembership, Timing: timing, Seed: 1, HardState: hard, Log: log})
}

// newLearner returns a replica without a membership or a log.
func newLearner(id string) *consensus.Replica {
	return consensus.New(consensus.Config{ID: id, Timing: timing, Seed: 1})
}

func ofKind(ms []consensus.Message, k consensus.Kind) (found []consensus.Message) {
	for _, m := range ms {
		if m.Kind == k {
			found = append(found, m)
		}
	}
	return found
}

func sentTo(ms []consensus.Message, id string) (found []consensus.Message) {
	for _, m := range ms {
		if m.To == id {
			found = append(found, m)
		}
	}
	return found
}

const electedAt = 10 * time.Second

// electLeader makes replica a the leader, with a durable first entry.
func electLeader(r *consensus.Replica) {
	r.Tick(electedAt)
	term := r.Term() + 1
	r.Step(consensus.Message{Kind: consensus.PreVoteReply, From: "b", To: "a", Term: term, OK: true}, electedAt)
	r.Step(consensus.Message{Kind: consensus.VoteReply, From: "b", To: "a", Term: term, OK: true}, electedAt)
	Expect(r.Role()).To(Equal(consensus.Leader))
	markAllDurable(r)
}

// markAllDurable marks the complete log of a replica as durable.
func markAllDurable(r *consensus.Replica) { r.MarkDurable(r.LastIndex(), r.LastTerm(), electedAt) }

// acknowledge sends a leader a peer's reply that its log matches up to an index.
func acknowledge(leader *consensus.Replica, id string, index uint64) {
	leader.Step(consensus.Message{Kind: consensus.AppendReply, From: id, To: leader.ID(), Term: leader.Term(), OK: true, Index: index}, electedAt)
}

var _ = Describe("a replica", func() {
	It("commits nothing without a majority", func() {
		r := newReplica("a", consensus.HardState{})
		electLeader(r)
		r.Propose([]byte("x"), electedAt)
		markAllDurable(r)
		Expect(r.CommitIndex()).To(BeZero())
	})
	It("ignores a write whose entries were truncated in the meantime", func() {
		c := newReplica("c", consensus.HardState{Term: 1})
		first := []consensus.Entry{{Term: 1, Index: 1}, {Term: 1, Index: 2}}
		c.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "c", Term: 1, Entries: first}, time.Second)
		firstWrite := c.DrainOutput()
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Entries: []consensus.Entry{{Term: 2, Index: 1}, {Term: 2, Index: 2}}}, time.Second)
		c.DrainOutput()
		index, term := firstWrite.LastEntry()
		c.MarkDurable(index, term, time.Second)
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 2, LogTerm: 2}, time.Second)
		Expect(ofKind(c.DrainOutput().Immediate, consensus.AppendReply)[0].Index).To(BeZero(), "the entries of b are not durable yet")
	})
	It("ignores a message with an invalid membership", func() {
		c := newReplica("c", consensus.HardState{Term: 1})
		invalid := consensus.Membership{Epoch: 2, Voters: []string{"a", "a"}}
		c.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "c", Term: 1, Entries: []consensus.Entry{{Term: 1, Index: 1, Membership: &invalid}}}, time.Second)
		Expect(c.LastIndex()).To(BeZero())
		Expect(c.Membership()).To(Equal(initialMembership))
	})
	It("sends no vote before it is durable", func() {
		r := newReplica("a", consensus.HardState{})
		r.Step(consensus.Message{Kind: consensus.VoteRequest, From: "b", To: "a", Term: 3}, time.Second)
		out := r.DrainOutput()
		Expect(ofKind(out.Immediate, consensus.VoteReply)).To(BeEmpty())
		Expect(ofKind(out.AfterSync, consensus.VoteReply)).To(HaveLen(1))
		Expect(out.HardState.Vote).To(Equal("b"))
	})
	It("applies committed entries immediately after a restart", func() {
		r := newReplica("a", consensus.HardState{Term: 3, Commit: 1}, consensus.Entry{Term: 2, Index: 1, Data: []byte("x")}, consensus.Entry{Term: 3, Index: 2})
		Expect(r.DrainOutput().Committed).To(HaveLen(1))
	})
	It("votes once per term", func() {
		r := newReplica("a", consensus.HardState{})
		r.Step(consensus.Message{Kind: consensus.VoteRequest, From: "b", To: "a", Term: 3}, time.Second)
		r.Step(consensus.Message{Kind: consensus.VoteRequest, From: "c", To: "a", Term: 3}, time.Second)
		votes := ofKind(r.DrainOutput().AfterSync, consensus.VoteReply)
		Expect(votes).To(HaveLen(2))
		Expect(votes[1].OK).To(BeFalse())
	})
	It("steps down for a newer term, and replies to a former leader", func() {
		r := newReplica("a", consensus.HardState{})
		electLeader(r)
		r.DrainOutput()
		r.Step(consensus.Message{Kind: consensus.Append, From: "c", To: "a", Term: 9}, 11*time.Second)
		Expect(r.Leader()).To(Equal("c"))
		r.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "a", Term: 2}, 11*time.Second)
		replies := ofKind(r.DrainOutput().AfterSync, consensus.AppendReply)
		Expect(replies[len(replies)-1].Term).To(Equal(uint64(9)))
	})
	It("rejects the pre-vote of a partitioned replica while it is in contact with the leader", func() {
		r := newReplica("a", consensus.HardState{Term: 4})
		r.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "a", Term: 4}, time.Second)
		r.DrainOutput()
		r.Step(consensus.Message{Kind: consensus.PreVoteRequest, From: "c", To: "a", Term: 5, Index: 9, LogTerm: 4}, time.Second+timing.Heartbeat)
		Expect(ofKind(r.DrainOutput().AfterSync, consensus.PreVoteReply)[0].OK).To(BeFalse())
	})
	It("is elected with the more up-to-date log although another replica voted in a later term without a leader", func() {
		b := newReplica("b", consensus.HardState{Term: 6}, consensus.Entry{Term: 6, Index: 1}, consensus.Entry{Term: 6, Index: 2})
		c := newReplica("c", consensus.HardState{Term: 8, Vote: "a"}, consensus.Entry{Term: 6, Index: 1})
		now := time.Second
		for range 5 { // a is unreachable
			b.Tick(now)
			for _, m := range sentTo(b.DrainOutput().Immediate, "c") {
				c.Step(m, now)
			}
			for _, m := range c.DrainOutput().AfterSync {
				b.Step(m, now)
			}
			now += time.Second
		}
		Expect(b.Term()).To(BeNumerically(">", 8))
	})
	It("confirms a read only by replies to its own round", func() {
		r := newReplica("a", consensus.HardState{})
		electLeader(r)
		acknowledge(r, "b", 1)
		round := r.ReadIndex(electedAt)
		Expect(r.ReadConfirmed(round)).To(BeFalse())
		r.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1, OK: true, Index: 1, ReadRound: round}, electedAt)
		Expect(r.ReadConfirmed(round)).To(BeTrue())
	})
	It("is not in contact with a majority as a follower whose messages don't reach the leader", func() {
		r := newReplica("b", consensus.HardState{})
		r.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "b", Term: 1, LeaderInContact: true}, time.Second)
		Expect(r.HasQuorumContact(time.Second)).To(BeTrue())
		r.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "b", Term: 1}, time.Second)
		Expect(r.HasQuorumContact(time.Second)).To(BeFalse(), "its messages are lost: a partition in one direction")
	})
	It("is not in contact with a majority as a leader that was frozen", func() {
		r := newReplica("a", consensus.HardState{})
		electLeader(r)
		acknowledge(r, "b", 1)
		Expect(r.HasQuorumContact(electedAt)).To(BeTrue())
		Expect(r.HasQuorumContact(electedAt + 5*time.Second)).To(BeFalse())
	})
})

var _ = Describe("a lagging replica", func() {
	It("receives a long log in messages of bounded size, with a limit in flight", func() {
		a, c := newReplica("a", consensus.HardState{}), newReplica("c", consensus.HardState{})
		electLeader(a)
		for range 200 {
			a.Propose(make([]byte, 50<<10), electedAt)
			markAllDurable(a)
			acknowledge(a, "b", a.LastIndex())
		}
		a.DrainOutput()
		a.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1}, electedAt) // its log is empty
		messages, largest := 0, 0
		for range 400 {
			inFlight := 0
			for _, m := range sentTo(a.DrainOutput().Immediate, "c") {
				bytes := 0
				for _, e := range m.Entries {
					bytes += len(e.Data)
				}
				messages, largest, inFlight = messages+1, max(largest, bytes), inFlight+bytes
				c.Step(m, electedAt)
			}
			Expect(inFlight).To(BeNumerically("<=", 2<<20))
			out := c.DrainOutput()
			markAllDurable(c)
			for _, m := range append(out.Immediate, out.AfterSync...) {
				a.Step(m, electedAt)
			}
			if c.LastIndex() == a.LastIndex() {
				break
			}
		}
		Expect(c.LastIndex()).To(Equal(a.LastIndex()))
		Expect(largest).To(BeNumerically("<=", 300<<10))
		Expect(messages).To(BeNumerically(">", 20))
	})

	state := bytes.Repeat([]byte("0123456789abcdef"), 100<<10) // 1.6 MB
	// leading returns a leader whose log begins with a snapshot.
	leading := func() *consensus.Replica {
		a := newReplica("a", consensus.HardState{})
		electLeader(a)
		for i := range 5 {
			a.Propose([]byte{byte(i)}, electedAt)
		}
		markAllDurable(a)
		acknowledge(a, "b", 6)
		a.DrainOutput()
		a.Compact(5, state)
		a.DrainOutput()
		a.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1, Index: 0}, electedAt)
		return a
	}
	// exchange delivers messages in both directions until a sends none, in at most maxRounds rounds, and counts the chunks.
	exchange := func(a, c *consensus.Replica, maxRounds int) (chunks int, installed *consensus.Snapshot) {
		for range maxRounds {
			sent := sentTo(a.DrainOutput().Immediate, "c")
			for _, m := range sent {
				if m.Chunk != nil {
					chunks++
					Expect(len(m.Chunk.Data)).To(BeNumerically("<=", 256<<10))
				}
				c.Step(m, electedAt)
			}
			out := c.DrainOutput()
			if out.Install != nil {
				installed = out.Install
			}
			markAllDurable(c)
			for _, m := range append(out.Immediate, out.AfterSync...) {
				a.Step(m, electedAt)
			}
			if len(sent) == 0 {
				break
			}
		}
		return chunks, installed
	}
	It("receives a snapshot in chunks, then the entries after it", func() {
		a, c := leading(), newReplica("c", consensus.HardState{})
		chunks, installed := exchange(a, c, 50)
		Expect(chunks).To(Equal(7))
		Expect(installed.Data).To(Equal(state))
		Expect(installed.Membership).To(Equal(initialMembership))
		Expect(c.LastIndex()).To(Equal(uint64(6)))
	})
	It("resumes an interrupted snapshot transfer, also from another leader", func() {
		a, c := leading(), newReplica("c", consensus.HardState{})
		before, _ := exchange(a, c, 4)
		Expect(before).To(Equal(4))
		b := consensus.New(consensus.Config{ID: "b", Timing: timing, Seed: 1, HardState: consensus.HardState{Term: 1},
			Snapshot: consensus.Snapshot{Term: 1, Index: 5, Data: state, Membership: initialMembership}, Log: []consensus.Entry{{Term: 1, Index: 6}}})
		b.Tick(electedAt)
		for _, kind := range []consensus.Kind{consensus.PreVoteReply, consensus.VoteReply} {
			b.Step(consensus.Message{Kind: kind, From: "a", To: "b", Term: 2, OK: true}, electedAt)
		}
		b.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "b", Term: 2, Index: 0}, electedAt)
		after, installed := exchange(b, c, 50)
		Expect(installed.Data).To(Equal(state))
		Expect(after).To(Equal(4), "the first chunk finds that four were received")
	})
	It("continues a snapshot transfer when newer snapshots are created", func() {
		a, c := leading(), newReplica("c", consensus.HardState{})
		exchange(a, c, 3)
		a.Propose([]byte("more"), electedAt)
		markAllDurable(a)
		acknowledge(a, "b", 7)
		a.DrainOutput()
		a.Compact(7, append([]byte("newer"), state...))
		a.Tick(electedAt + 5*timing.Heartbeat) // the chunk in flight is lost with the drained output above
		chunks, _ := exchange(a, c, 80)
		Expect(c.CommitIndex()).To(BeNumerically(">=", 7))
		Expect(chunks).To(BeNumerically("<=", 4+8))
	})
	It("restarts a snapshot transfer with a wrong checksum", func() {
		a, c := leading(), newReplica("c", consensus.HardState{})
		exchange(a, c, 2)
		for _, m := range sentTo(a.DrainOutput().Immediate, "c") {
			if m.Chunk != nil {
				corrupt := *m.Chunk
				corrupt.Data = bytes.ToUpper(corrupt.Data)
				m.Chunk = &corrupt
			}
			c.Step(m, electedAt)
		}
		for _, m := range c.DrainOutput().Immediate {
			a.Step(m, electedAt)
		}
		_, installed := exchange(a, c, 50)
		Expect(installed.Data).To(Equal(state))
	})
	It("needs as many bytes to catch up after a thousand changes as after a hundred", func() {
		cost := func(changes int) (bytes int) {
			a, c := newReplica("a", consensus.HardState{}), newReplica("c", consensus.HardState{})
			electLeader(a)
			for i := range changes {
				a.Propose(fmt.Appendf(nil, "change %d", i), electedAt)
				markAllDurable(a)
				acknowledge(a, "b", a.LastIndex())
				a.DrainOutput()
				if i%64 == 63 {
					a.Compact(a.CommitIndex(), state)
					a.DrainOutput()
				}
			}
			a.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1, Index: 0}, electedAt)
			for range 100 {
				for _, m := range sentTo(a.DrainOutput().Immediate, "c") {
					if m.Chunk != nil {
						bytes += len(m.Chunk.Data)
					}
					for _, e := range m.Entries {
						bytes += len(e.Data)
					}
					c.Step(m, electedAt)
				}
				out := c.DrainOutput()
				markAllDurable(c)
				for _, m := range append(out.Immediate, out.AfterSync...) {
					a.Step(m, electedAt)
				}
			}
			Expect(c.LastIndex()).To(Equal(a.LastIndex()))
			return bytes
		}
		Expect(cost(1000)).To(BeNumerically("~", cost(100), 1000))
	})
})

var _ = Describe("the membership", func() {
	It("is not changed before an entry of the leader's own term is committed", func() {
		r := newReplica("a", consensus.HardState{})
		electLeader(r)
		Expect(r.BeginChange([]string{"a", "b", "d"}, electedAt)).To(MatchError(consensus.ErrTermNotCommitted))
		acknowledge(r, "b", 1)
		Expect(r.BeginChange([]string{"a", "b", "d"}, electedAt)).To(Succeed())
	})
	It("has one change at a time", func() {
		r := newReplica("a", consensus.HardState{})
		electLeader(r)
		acknowledge(r, "b", 1)
		Expect(r.BeginChange([]string{"a", "b", "d"}, electedAt)).To(Succeed())
		Expect(r.BeginChange([]string{"a", "b", "e"}, electedAt)).To(MatchError(consensus.ErrChangeInProgress))
		Expect(r.AdoptChange(electedAt)).To(MatchError(consensus.ErrChangeInProgress), "it is not committed")
		markAllDurable(r)
		acknowledge(r, "b", 2)
		Expect(r.BeginChange([]string{"a", "b", "e"}, electedAt)).To(MatchError(consensus.ErrChangeInProgress))
		Expect(r.AdoptChange(electedAt)).To(Succeed())
		Expect(r.Membership()).To(Equal(consensus.Membership{Epoch: 3, Cluster: 7, Voters: []string{"a", "b", "d"}}))
	})
	It("is not finished by a leader that would be no voter afterwards", func() {
		joint := consensus.Membership{Epoch: 2, Cluster: 7, Voters: initialMembership.Voters, Next: []string{"b", "c", "d"}}
		r := newReplica("a", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1, Membership: &joint})
		r.Tick(electedAt)
		for _, kind := range []consensus.Kind{consensus.PreVoteReply, consensus.VoteReply} {
			for _, from := range []string{"b", "c"} {
				r.Step(consensus.Message{Kind: kind, From: from, To: "a", Term: 2, OK: true}, electedAt)
			}
		}
		markAllDurable(r)
		acknowledge(r, "b", 2)
		acknowledge(r, "c", 2)
		Expect(r.AdoptChange(electedAt)).To(MatchError(consensus.ErrLeaderRemoved))
		Expect(r.AbandonChange(electedAt)).To(Succeed())
	})
	It("needs a majority before and after while it is joint", func() {
		r := newReplica("a", consensus.HardState{})
		electLeader(r)
		acknowledge(r, "b", 1)
		Expect(r.BeginChange([]string{"a", "d", "e"}, electedAt)).To(Succeed())
		markAllDurable(r)
		acknowledge(r, "b", 2)
		Expect(r.CommitIndex()).To(Equal(uint64(1)), "only a of the next voters holds the entry")
		acknowledge(r, "d", 2)
		Expect(r.CommitIndex()).To(Equal(uint64(2)))
	})
	It("counts no learners toward a quorum", func() {
		r := newReplica("a", consensus.HardState{})
		electLeader(r)
		r.SetLearners([]string{"x", "y"})
		acknowledge(r, "x", 1)
		acknowledge(r, "y", 1)
		Expect(r.CommitIndex()).To(BeZero())
	})
	It("is received by a replica without a membership, which then votes", func() {
		d := newLearner("d")
		d.Tick(time.Hour)
		Expect(d.Role()).To(Equal(consensus.Follower), "a replica without a membership doesn't campaign")
		joint := consensus.Membership{Epoch: 2, Cluster: 7, Voters: initialMembership.Voters, Next: []string{"a", "b", "d"}}
		d.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "d", Term: 3, Entries: []consensus.Entry{{Term: 3, Index: 1, Membership: &joint}}}, time.Hour)
		Expect(d.IsVoter()).To(BeTrue())
		d.Tick(2 * time.Hour)
		Expect(d.Role()).To(Equal(consensus.Candidate))
	})
	It("is reverted when its entry is truncated", func() {
		joint := consensus.Membership{Epoch: 2, Cluster: 7, Voters: initialMembership.Voters, Next: []string{"a", "b", "d"}}
		c := newReplica("c", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1}, consensus.Entry{Term: 1, Index: 2, Membership: &joint})
		Expect(c.Membership()).To(Equal(joint))
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 1, LogTerm: 1, Entries: []consensus.Entry{{Term: 2, Index: 2}}}, time.Second)
		Expect(c.Membership()).To(Equal(initialMembership))
	})
	It("is part of a snapshot", func() {
		now := consensus.Membership{Epoch: 5, Cluster: 7, Voters: []string{"a", "d", "e"}}
		c := consensus.New(consensus.Config{ID: "c", Membership: initialMembership, Timing: timing, Snapshot: consensus.Snapshot{Term: 2, Index: 9, Membership: now}})
		Expect(c.Membership()).To(Equal(now))
		c.Tick(time.Hour)
		Expect(c.Role()).To(Equal(consensus.Follower), "it is no longer a voter")
	})
	It("gets a cluster ID from the first leader", func() {
		r := consensus.New(consensus.Config{ID: "a", Membership: consensus.Membership{Epoch: 1, Voters: initialMembership.Voters}, Timing: timing, Seed: 1})
		electLeader(r)
		Expect(r.Membership().Cluster).NotTo(BeZero())
		Expect(r.Membership().Epoch).To(Equal(uint64(2)))
	})
	It("is validated", func() {
		Expect(consensus.Membership{Epoch: 3}.Validate()).To(HaveOccurred())
		Expect(consensus.Membership{Epoch: 3, Voters: []string{"a", "a"}}.Validate()).To(HaveOccurred())
		Expect(initialMembership.Validate()).To(Succeed())
	})
	It("transfers leadership only to a voter with the complete log", func() {
		r := newReplica("a", consensus.HardState{})
		electLeader(r)
		Expect(r.TransferLeadership("b", electedAt)).To(BeFalse())
		acknowledge(r, "b", 1)
		r.DrainOutput()
		Expect(r.TransferLeadership("b", electedAt)).To(BeTrue())
		b := newReplica("b", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1})
		b.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1}, electedAt)
		b.Step(ofKind(r.DrainOutput().Immediate, consensus.TimeoutNow)[0], electedAt)
		Expect(ofKind(b.DrainOutput().AfterSync, consensus.VoteRequest)).To(HaveLen(2))
	})
})
