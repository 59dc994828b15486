package consensus_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

func TestAgreement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "consensus")
}

var _ = Describe("whole agreements", func() {
	It("lose nothing that was acknowledged, and never differ", func() {
		acknowledged := 0
		for seed := range uint64(120) {
			w := newWorld(seed, 3, 1, "")
			Expect(w.play(12*time.Second)).To(BeEmpty(), "seed %d", seed)
			acknowledged += len(w.acked)
			w = newWorld(seed, 5, 2, "")
			Expect(w.play(12*time.Second)).To(BeEmpty(), "seed %d, five members", seed)
			acknowledged += len(w.acked)
		}
		Expect(acknowledged).To(BeNumerically(">", 1000), "hardly anything was agreed: the test shows nothing")
	})
	for _, fault := range []string{"acknowledges before storing", "votes with an empty disk"} {
		It("are seen to go wrong when a member "+fault, func() {
			for seed := range uint64(400) {
				if newWorld(seed, 3, 1, fault).play(12*time.Second) != "" {
					return
				}
			}
			Fail("the planted fault was not seen")
		})
	}
})

// member makes one of three, with what its disk held.
func member(id string, hard consensus.HardState, log ...consensus.Entry) *consensus.Replica {
	return consensus.New(id, []string{"a", "b", "c"}, consensus.Timing{Heartbeat: timing.Heartbeat, ElectionTimeout: timing.ElectionTimeout, Lost: 1}, 1, hard, consensus.Snapshot{}, log, 0)
}

func kinds(ms []consensus.Message, k consensus.Kind) (found []consensus.Message) {
	for _, m := range ms {
		if m.Kind == k {
			found = append(found, m)
		}
	}
	return found
}

// lead makes a leader of member a.
func lead(m *consensus.Replica) {
	m.Tick(10 * time.Second)
	term := m.Term() + 1
	m.Step(consensus.Message{Kind: consensus.PreVoteReply, From: "b", To: "a", Term: term, OK: true}, 10*time.Second)
	m.Step(consensus.Message{Kind: consensus.VoteReply, From: "b", To: "a", Term: term, OK: true}, 10*time.Second)
	Expect(m.Role()).To(Equal(consensus.Leader))
}

var _ = Describe("a member", func() {
	It("commits nothing without others", func() {
		m := member("a", consensus.HardState{})
		lead(m)
		m.Propose([]byte("x"), 10*time.Second)
		m.Stored(2, 10*time.Second)
		Expect(m.Commit()).To(BeZero())
	})
	It("tells nobody of a vote that is not stored", func() {
		m := member("a", consensus.HardState{})
		m.Step(consensus.Message{Kind: consensus.VoteRequest, From: "b", To: "a", Term: 3}, time.Second)
		out := m.Take()
		Expect(kinds(out.Now, consensus.VoteReply)).To(BeEmpty())
		Expect(kinds(out.After, consensus.VoteReply)).To(HaveLen(1))
		Expect(out.Hard.Vote).To(Equal("b"))
	})
	It("goes by what was committed as soon as it starts again", func() {
		m := member("a", consensus.HardState{Term: 3, Commit: 1}, consensus.Entry{Term: 2, Index: 1, Data: []byte("x")}, consensus.Entry{Term: 3, Index: 2})
		Expect(m.Take().Committed).To(HaveLen(1))
	})
	It("votes once a term", func() {
		m := member("a", consensus.HardState{})
		m.Step(consensus.Message{Kind: consensus.VoteRequest, From: "b", To: "a", Term: 3}, time.Second)
		m.Step(consensus.Message{Kind: consensus.VoteRequest, From: "c", To: "a", Term: 3}, time.Second)
		votes := kinds(m.Take().After, consensus.VoteReply)
		Expect(votes).To(HaveLen(2))
		Expect(votes[1].OK).To(BeFalse())
	})
	It("steps down when it hears of a later term, and answers a former leader", func() {
		m := member("a", consensus.HardState{})
		lead(m)
		m.Take()
		m.Step(consensus.Message{Kind: consensus.Append, From: "c", To: "a", Term: 9}, 11*time.Second)
		Expect(m.Leader()).To(Equal("c"))
		m.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "a", Term: 2}, 11*time.Second)
		replies := kinds(m.Take().After, consensus.AppendReply)
		Expect(replies[len(replies)-1].Term).To(Equal(uint64(9)))
	})
	It("doesn't depose a leader that others hear, after it was cut off", func() {
		m := member("a", consensus.HardState{Term: 4})
		m.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "a", Term: 4}, time.Second)
		m.Take()
		m.Step(consensus.Message{Kind: consensus.PreVoteRequest, From: "c", To: "a", Term: 5, Index: 9, LogTerm: 4}, time.Second+timing.Heartbeat)
		Expect(kinds(m.Take().After, consensus.PreVoteReply)[0].OK).To(BeFalse())
	})
	It("with an empty disk neither votes nor counts before it has heard all terms and holds what the leader has", func() {
		m := member("b", consensus.HardState{Blank: true})
		m.Step(consensus.Message{Kind: consensus.VoteRequest, From: "c", To: "b", Term: 7, Index: 3, LogTerm: 6}, time.Second)
		Expect(kinds(m.Take().After, consensus.VoteReply)[0].OK).To(BeFalse())
		entries := []consensus.Entry{{Term: 7, Index: 1}, {Term: 7, Index: 2}}
		m.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "b", Term: 7, Entries: entries, Commit: 2, Last: 2}, time.Second)
		Expect(kinds(m.Take().After, consensus.AppendReply)[0].Blank).To(BeTrue())
		for _, from := range []string{"a", "c"} {
			m.Step(consensus.Message{Kind: consensus.TermReply, From: from, To: "b", Term: 7}, time.Second)
		}
		m.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "b", Term: 7, Index: 2, LogTerm: 7, Commit: 2, Last: 2}, time.Second)
		out := m.Take()
		Expect(kinds(out.After, consensus.AppendReply)[0].Blank).To(BeFalse())
		Expect(m.Blank()).To(BeFalse())
		Expect(out.Hard.Floor).To(Equal(uint64(7)))
		m.Step(consensus.Message{Kind: consensus.VoteRequest, From: "c", To: "b", Term: 7, Index: 3, LogTerm: 7}, time.Second)
		Expect(kinds(m.Take().After, consensus.VoteReply)[0].OK).To(BeFalse())
	})
	It("that missed everything takes a snapshot, then the changes after it", func() {
		a := member("a", consensus.HardState{})
		lead(a)
		for i := range 5 {
			a.Propose([]byte{byte(i)}, 10*time.Second)
		}
		a.Take()
		a.Stored(6, 10*time.Second)
		a.Step(consensus.Message{Kind: consensus.AppendReply, From: "b", To: "a", Term: 1, OK: true, Index: 6}, 10*time.Second)
		a.Take()
		a.Compact(5, []byte("five"))
		a.Take()
		a.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1, Index: 0}, 11*time.Second)
		c := member("c", consensus.HardState{})
		sent := a.Take().Now
		Expect(sent[len(sent)-1].Snapshot).NotTo(BeNil())
		c.Step(sent[len(sent)-1], 11*time.Second)
		Expect(c.Take().Install.Data).To(Equal([]byte("five")))
		a.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1, OK: true, Index: 5}, 11*time.Second)
		for _, m := range a.Take().Now {
			if m.To == "c" {
				c.Step(m, 11*time.Second)
			}
		}
		Expect(c.Last()).To(Equal(uint64(6)))
	})
	It("confirms that it leads only by answers to that very round", func() {
		a := member("a", consensus.HardState{})
		lead(a)
		a.Stored(1, 10*time.Second)
		a.Step(consensus.Message{Kind: consensus.AppendReply, From: "b", To: "a", Term: 1, OK: true, Index: 1, Round: 0}, 10*time.Second)
		round := a.Confirm(10 * time.Second)
		Expect(a.Confirmed(round)).To(BeFalse())
		a.Step(consensus.Message{Kind: consensus.AppendReply, From: "c", To: "a", Term: 1, OK: true, Index: 1, Round: round}, 10*time.Second)
		Expect(a.Confirmed(round)).To(BeTrue())
	})
})
