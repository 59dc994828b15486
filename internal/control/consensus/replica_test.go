package consensus_test

import (
	"bytes"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

var founders = consensus.Membership{Epoch: 1, Cluster: 7, Voters: []string{"a", "b", "c"}}

// replica makes one of three, with what its disk held.
func replica(id string, hard consensus.HardState, log ...consensus.Entry) *consensus.Replica {
	return consensus.New(consensus.Config{ID: id, Membership: founders, Timing: timing, Seed: 1, HardState: hard, Log: log})
}

// learner makes one that knows nothing yet.
func learner(id string) *consensus.Replica {
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

const began = 10 * time.Second

// lead makes a leader of replica a, with its first entry stored.
func lead(r *consensus.Replica) {
	r.Tick(began)
	term := r.Term() + 1
	r.Step(consensus.Message{Kind: consensus.PreVoteReply, From: "b", To: "a", Term: term, OK: true}, began)
	r.Step(consensus.Message{Kind: consensus.VoteReply, From: "b", To: "a", Term: term, OK: true}, began)
	Expect(r.Role()).To(Equal(consensus.Leader))
	stored(r)
}

// stored tells a replica that its whole log is durable.
func stored(r *consensus.Replica) { r.MarkDurable(r.LastIndex(), r.LastTerm(), began) }

// holds has a peer answer that it holds a leader's log up to an entry.
func holds(leader *consensus.Replica, id string, index uint64) {
	leader.Step(consensus.Message{Kind: consensus.AppendReply, From: id, To: leader.ID(), Term: leader.Term(), OK: true, Index: index}, began)
}

var _ = Describe("a replica", func() {
	It("commits nothing without others", func() {
		r := replica("a", consensus.HardState{})
		lead(r)
		r.Propose([]byte("x"), began)
		stored(r)
		Expect(r.CommitIndex()).To(BeZero())
	})
	It("counts no write whose entries were cut off the log while it was under way", func() {
		c := replica("c", consensus.HardState{Term: 1})
		first := []consensus.Entry{{Term: 1, Index: 1}, {Term: 1, Index: 2}}
		c.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "c", Term: 1, Entries: first}, time.Second)
		under := c.DrainOutput()
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Entries: []consensus.Entry{{Term: 2, Index: 1}, {Term: 2, Index: 2}}}, time.Second)
		c.DrainOutput()
		index, term := under.LastEntry()
		c.MarkDurable(index, term, time.Second)
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 2, LogTerm: 2}, time.Second)
		Expect(ofKind(c.DrainOutput().Immediate, consensus.AppendReply)[0].Index).To(BeZero(), "what b sent is not on the disk yet")
	})
	It("takes nothing of a message with a membership that can't be", func() {
		c := replica("c", consensus.HardState{Term: 1})
		twice := consensus.Membership{Epoch: 2, Voters: []string{"a", "a"}}
		c.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "c", Term: 1, Entries: []consensus.Entry{{Term: 1, Index: 1, Membership: &twice}}}, time.Second)
		Expect(c.LastIndex()).To(BeZero())
		Expect(c.Membership()).To(Equal(founders))
	})
	It("tells nobody of a vote that is not stored", func() {
		r := replica("a", consensus.HardState{})
		r.Step(consensus.Message{Kind: consensus.VoteRequest, From: "b", To: "a", Term: 3}, time.Second)
		out := r.DrainOutput()
		Expect(ofKind(out.Immediate, consensus.VoteReply)).To(BeEmpty())
		Expect(ofKind(out.AfterSync, consensus.VoteReply)).To(HaveLen(1))
		Expect(out.HardState.Vote).To(Equal("b"))
	})
	It("goes by what was committed as soon as it starts again", func() {
		r := replica("a", consensus.HardState{Term: 3, Commit: 1}, consensus.Entry{Term: 2, Index: 1, Data: []byte("x")}, consensus.Entry{Term: 3, Index: 2})
		Expect(r.DrainOutput().Committed).To(HaveLen(1))
	})
	It("votes once a term", func() {
		r := replica("a", consensus.HardState{})
		r.Step(consensus.Message{Kind: consensus.VoteRequest, From: "b", To: "a", Term: 3}, time.Second)
		r.Step(consensus.Message{Kind: consensus.VoteRequest, From: "c", To: "a", Term: 3}, time.Second)
		votes := ofKind(r.DrainOutput().AfterSync, consensus.VoteReply)
		Expect(votes).To(HaveLen(2))
		Expect(votes[1].OK).To(BeFalse())
	})
	It("steps down when it hears of a later term, and answers a former leader", func() {
		r := replica("a", consensus.HardState{})
		lead(r)
		r.DrainOutput()
		r.Step(consensus.Message{Kind: consensus.Append, From: "c", To: "a", Term: 9}, 11*time.Second)
		Expect(r.Leader()).To(Equal("c"))
		r.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "a", Term: 2}, 11*time.Second)
		replies := ofKind(r.DrainOutput().AfterSync, consensus.AppendReply)
		Expect(replies[len(replies)-1].Term).To(Equal(uint64(9)))
	})
	It("doesn't depose a leader that others hear, after it was cut off", func() {
		r := replica("a", consensus.HardState{Term: 4})
		r.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "a", Term: 4}, time.Second)
		r.DrainOutput()
		r.Step(consensus.Message{Kind: consensus.PreVoteRequest, From: "c", To: "a", Term: 5, Index: 9, LogTerm: 4}, time.Second+timing.Heartbeat)
		Expect(ofKind(r.DrainOutput().AfterSync, consensus.PreVoteReply)[0].OK).To(BeFalse())
	})
	It("is elected for the better log although another voted in a later term that nobody led", func() {
		b := replica("b", consensus.HardState{Term: 6}, consensus.Entry{Term: 6, Index: 1}, consensus.Entry{Term: 6, Index: 2})
		c := replica("c", consensus.HardState{Term: 8, Vote: "a"}, consensus.Entry{Term: 6, Index: 1})
		now := time.Second
		for range 5 { // a is gone
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
	It("confirms that it leads only by answers to that very round", func() {
		r := replica("a", consensus.HardState{})
		lead(r)
		holds(r, "b", 1)
		round := r.ReadIndex(began)
		Expect(r.ReadConfirmed(round)).To(BeFalse())
		r.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1, OK: true, Index: 1, ReadRound: round}, began)
		Expect(r.ReadConfirmed(round)).To(BeTrue())
	})
	It("that follows is not in contact with a majority while its leader doesn't hear it", func() {
		r := replica("b", consensus.HardState{})
		r.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "b", Term: 1, LeaderInContact: true}, time.Second)
		Expect(r.HasQuorumContact(time.Second)).To(BeTrue())
		r.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "b", Term: 1}, time.Second)
		Expect(r.HasQuorumContact(time.Second)).To(BeFalse(), "what it sends is lost: a cut one way")
	})
	It("that stood still as leader is in contact with nobody when it wakes", func() {
		r := replica("a", consensus.HardState{})
		lead(r)
		holds(r, "b", 1)
		Expect(r.HasQuorumContact(began)).To(BeTrue())
		Expect(r.HasQuorumContact(began + 5*time.Second)).To(BeFalse())
	})
})

var _ = Describe("a replica that is behind", func() {
	It("is sent a long log in messages of bounded size, and not more than it answers", func() {
		a, c := replica("a", consensus.HardState{}), replica("c", consensus.HardState{})
		lead(a)
		for range 200 {
			a.Propose(make([]byte, 50<<10), began)
			stored(a)
			holds(a, "b", a.LastIndex())
		}
		a.DrainOutput()
		a.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1}, began) // it holds nothing
		messages, most := 0, 0
		for range 400 {
			ahead := 0
			for _, m := range sentTo(a.DrainOutput().Immediate, "c") {
				bytes := 0
				for _, e := range m.Entries {
					bytes += len(e.Data)
				}
				messages, most, ahead = messages+1, max(most, bytes), ahead+bytes
				c.Step(m, began)
			}
			Expect(ahead).To(BeNumerically("<=", 2<<20))
			out := c.DrainOutput()
			stored(c)
			for _, m := range append(out.Immediate, out.AfterSync...) {
				a.Step(m, began)
			}
			if c.LastIndex() == a.LastIndex() {
				break
			}
		}
		Expect(c.LastIndex()).To(Equal(a.LastIndex()))
		Expect(most).To(BeNumerically("<=", 300<<10))
		Expect(messages).To(BeNumerically(">", 20))
	})

	state := bytes.Repeat([]byte("0123456789abcdef"), 100<<10) // 1.6 MB
	// leading makes a leader whose log begins with a snapshot.
	leading := func() *consensus.Replica {
		a := replica("a", consensus.HardState{})
		lead(a)
		for i := range 5 {
			a.Propose([]byte{byte(i)}, began)
		}
		stored(a)
		holds(a, "b", 6)
		a.DrainOutput()
		a.Compact(5, state)
		a.DrainOutput()
		a.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1, Index: 0}, began)
		return a
	}
	// exchange passes messages both ways until nothing more comes; it counts the chunks.
	exchange := func(a, c *consensus.Replica, most int) (chunks int, installed *consensus.Snapshot) {
		for range most {
			sent := sentTo(a.DrainOutput().Immediate, "c")
			for _, m := range sent {
				if m.Chunk != nil {
					chunks++
					Expect(len(m.Chunk.Data)).To(BeNumerically("<=", 256<<10))
				}
				c.Step(m, began)
			}
			out := c.DrainOutput()
			if out.Install != nil {
				installed = out.Install
			}
			stored(c)
			for _, m := range append(out.Immediate, out.AfterSync...) {
				a.Step(m, began)
			}
			if len(sent) == 0 {
				break
			}
		}
		return chunks, installed
	}
	It("takes a snapshot in chunks, then the changes after it", func() {
		a, c := leading(), replica("c", consensus.HardState{})
		chunks, installed := exchange(a, c, 50)
		Expect(chunks).To(Equal(7))
		Expect(installed.Data).To(Equal(state))
		Expect(installed.Membership).To(Equal(founders))
		Expect(c.LastIndex()).To(Equal(uint64(6)))
	})
	It("takes a snapshot up where it was broken off, from another leader too", func() {
		a, c := leading(), replica("c", consensus.HardState{})
		before, _ := exchange(a, c, 4)
		Expect(before).To(Equal(4))
		b := consensus.New(consensus.Config{ID: "b", Timing: timing, Seed: 1, HardState: consensus.HardState{Term: 1},
			Snapshot: consensus.Snapshot{Term: 1, Index: 5, Data: state, Membership: founders}, Log: []consensus.Entry{{Term: 1, Index: 6}}})
		b.Tick(began)
		for _, kind := range []consensus.Kind{consensus.PreVoteReply, consensus.VoteReply} {
			b.Step(consensus.Message{Kind: kind, From: "a", To: "b", Term: 2, OK: true}, began)
		}
		b.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "b", Term: 2, Index: 0}, began)
		after, installed := exchange(b, c, 50)
		Expect(installed.Data).To(Equal(state))
		Expect(after).To(Equal(4), "the first finds that four are here")
	})
	It("goes on with the snapshot that is under way when newer ones are made", func() {
		a, c := leading(), replica("c", consensus.HardState{})
		exchange(a, c, 3)
		a.Propose([]byte("more"), began)
		stored(a)
		holds(a, "b", 7)
		a.DrainOutput()
		a.Compact(7, append([]byte("newer"), state...))
		a.Tick(began + 5*timing.Heartbeat) // what was on its way is lost with what was taken above
		chunks, _ := exchange(a, c, 80)
		Expect(c.CommitIndex()).To(BeNumerically(">=", 7))
		Expect(chunks).To(BeNumerically("<=", 4+8))
	})
	It("begins a snapshot anew that fails its sum", func() {
		a, c := leading(), replica("c", consensus.HardState{})
		exchange(a, c, 2)
		for _, m := range sentTo(a.DrainOutput().Immediate, "c") {
			if m.Chunk != nil {
				spoilt := *m.Chunk
				spoilt.Data = bytes.ToUpper(spoilt.Data)
				m.Chunk = &spoilt
			}
			c.Step(m, began)
		}
		for _, m := range c.DrainOutput().Immediate {
			a.Step(m, began)
		}
		_, installed := exchange(a, c, 50)
		Expect(installed.Data).To(Equal(state))
	})
	It("costs as much to bring back after a thousand changes as after a hundred", func() {
		cost := func(changes int) (bytes int) {
			a, c := replica("a", consensus.HardState{}), replica("c", consensus.HardState{})
			lead(a)
			for i := range changes {
				a.Propose(fmt.Appendf(nil, "change %d", i), began)
				stored(a)
				holds(a, "b", a.LastIndex())
				a.DrainOutput()
				if i%64 == 63 {
					a.Compact(a.CommitIndex(), state)
					a.DrainOutput()
				}
			}
			a.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1, Index: 0}, began)
			for range 100 {
				for _, m := range sentTo(a.DrainOutput().Immediate, "c") {
					if m.Chunk != nil {
						bytes += len(m.Chunk.Data)
					}
					for _, e := range m.Entries {
						bytes += len(e.Data)
					}
					c.Step(m, began)
				}
				out := c.DrainOutput()
				stored(c)
				for _, m := range append(out.Immediate, out.AfterSync...) {
					a.Step(m, began)
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
		r := replica("a", consensus.HardState{})
		lead(r)
		Expect(r.BeginChange([]string{"a", "b", "d"}, began)).To(MatchError(consensus.ErrTermNotCommitted))
		holds(r, "b", 1)
		Expect(r.BeginChange([]string{"a", "b", "d"}, began)).To(Succeed())
	})
	It("is changed once at a time", func() {
		r := replica("a", consensus.HardState{})
		lead(r)
		holds(r, "b", 1)
		Expect(r.BeginChange([]string{"a", "b", "d"}, began)).To(Succeed())
		Expect(r.BeginChange([]string{"a", "b", "e"}, began)).To(MatchError(consensus.ErrChangeInProgress))
		Expect(r.AdoptChange(began)).To(MatchError(consensus.ErrChangeInProgress), "it is not committed")
		stored(r)
		holds(r, "b", 2)
		Expect(r.BeginChange([]string{"a", "b", "e"}, began)).To(MatchError(consensus.ErrChangeInProgress))
		Expect(r.AdoptChange(began)).To(Succeed())
		Expect(r.Membership()).To(Equal(consensus.Membership{Epoch: 3, Cluster: 7, Voters: []string{"a", "b", "d"}}))
	})
	It("is not finished by a leader that would not vote afterwards", func() {
		joint := consensus.Membership{Epoch: 2, Cluster: 7, Voters: founders.Voters, Next: []string{"b", "c", "d"}}
		r := replica("a", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1, Membership: &joint})
		r.Tick(began)
		for _, kind := range []consensus.Kind{consensus.PreVoteReply, consensus.VoteReply} {
			for _, from := range []string{"b", "c"} {
				r.Step(consensus.Message{Kind: kind, From: from, To: "a", Term: 2, OK: true}, began)
			}
		}
		stored(r)
		holds(r, "b", 2)
		holds(r, "c", 2)
		Expect(r.AdoptChange(began)).To(MatchError(consensus.ErrLeaderRemoved))
		Expect(r.AbandonChange(began)).To(Succeed())
	})
	It("needs a majority before and after while it is joint", func() {
		r := replica("a", consensus.HardState{})
		lead(r)
		holds(r, "b", 1)
		Expect(r.BeginChange([]string{"a", "d", "e"}, began)).To(Succeed())
		stored(r)
		holds(r, "b", 2)
		Expect(r.CommitIndex()).To(Equal(uint64(1)), "of the next voters only a holds it")
		holds(r, "d", 2)
		Expect(r.CommitIndex()).To(Equal(uint64(2)))
	})
	It("counts no learner", func() {
		r := replica("a", consensus.HardState{})
		lead(r)
		r.SetLearners([]string{"x", "y"})
		holds(r, "x", 1)
		holds(r, "y", 1)
		Expect(r.CommitIndex()).To(BeZero())
	})
	It("is learnt by a replica that knew nothing, which then votes", func() {
		d := learner("d")
		d.Tick(time.Hour)
		Expect(d.Role()).To(Equal(consensus.Follower), "one that knows no voters doesn't stand")
		joint := consensus.Membership{Epoch: 2, Cluster: 7, Voters: founders.Voters, Next: []string{"a", "b", "d"}}
		d.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "d", Term: 3, Entries: []consensus.Entry{{Term: 3, Index: 1, Membership: &joint}}}, time.Hour)
		Expect(d.IsVoter()).To(BeTrue())
		d.Tick(2 * time.Hour)
		Expect(d.Role()).To(Equal(consensus.Candidate))
	})
	It("goes back with an entry that is cut off the log", func() {
		joint := consensus.Membership{Epoch: 2, Cluster: 7, Voters: founders.Voters, Next: []string{"a", "b", "d"}}
		c := replica("c", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1}, consensus.Entry{Term: 1, Index: 2, Membership: &joint})
		Expect(c.Membership()).To(Equal(joint))
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 1, LogTerm: 1, Entries: []consensus.Entry{{Term: 2, Index: 2}}}, time.Second)
		Expect(c.Membership()).To(Equal(founders))
	})
	It("travels with a snapshot", func() {
		now := consensus.Membership{Epoch: 5, Cluster: 7, Voters: []string{"a", "d", "e"}}
		c := consensus.New(consensus.Config{ID: "c", Membership: founders, Timing: timing, Snapshot: consensus.Snapshot{Term: 2, Index: 9, Membership: now}})
		Expect(c.Membership()).To(Equal(now))
		c.Tick(time.Hour)
		Expect(c.Role()).To(Equal(consensus.Follower), "it is no voter any more")
	})
	It("of a new cluster gets its name from the first leader", func() {
		r := consensus.New(consensus.Config{ID: "a", Membership: consensus.Membership{Epoch: 1, Voters: founders.Voters}, Timing: timing, Seed: 1})
		lead(r)
		Expect(r.Membership().Cluster).NotTo(BeZero())
		Expect(r.Membership().Epoch).To(Equal(uint64(2)))
	})
	It("that can't be is said to be wrong", func() {
		Expect(consensus.Membership{Epoch: 3}.Validate()).To(HaveOccurred())
		Expect(consensus.Membership{Epoch: 3, Voters: []string{"a", "a"}}.Validate()).To(HaveOccurred())
		Expect(founders.Validate()).To(Succeed())
	})
	It("passes leadership only to a voter that holds the whole log", func() {
		r := replica("a", consensus.HardState{})
		lead(r)
		Expect(r.TransferLeadership("b", began)).To(BeFalse())
		holds(r, "b", 1)
		r.DrainOutput()
		Expect(r.TransferLeadership("b", began)).To(BeTrue())
		b := replica("b", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1})
		b.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1}, began)
		b.Step(ofKind(r.DrainOutput().Immediate, consensus.TimeoutNow)[0], began)
		Expect(ofKind(b.DrainOutput().AfterSync, consensus.VoteRequest)).To(HaveLen(2))
	})
})
