package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

var _ = Describe("a replica with a slow disk", func() {
	// A new leader replaces entries 2 and 3 of term 1 while they are being written. The end of that write doesn't make the
	// entries durable that replaced them.
	It("doesn't count a write of truncated entries for the entries that replaced them", func() {
		c := newReplica("c", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1})
		c.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "c", Term: 1, Index: 1, LogTerm: 1,
			Entries: []consensus.Entry{{Term: 1, Index: 2}, {Term: 1, Index: 3}}}, time.Second)
		c.DrainOutput() // the write of entries 2 and 3 begins
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 1, LogTerm: 1,
			Entries: []consensus.Entry{{Term: 2, Index: 2}}}, time.Second)
		c.DrainOutput()                  // the write of the replacement waits for the first one
		c.MarkDurable(3, 1, time.Second) // the first write is finished
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 2, LogTerm: 2}, time.Second)
		replies := ofKind(c.DrainOutput().Immediate, consensus.AppendReply)
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Index).To(BeNumerically("<=", 1), "entry 2 of term 2 is not durable yet")
		c.MarkDurable(2, 2, time.Second)
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 2, LogTerm: 2}, time.Second)
		Expect(ofKind(c.DrainOutput().Immediate, consensus.AppendReply)[0].Index).To(Equal(uint64(2)))
	})
	It("doesn't count a write of entries for the snapshot that replaced them", func() {
		c := newReplica("c", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1})
		c.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "c", Term: 1, Index: 1, LogTerm: 1,
			Entries: []consensus.Entry{{Term: 1, Index: 2}, {Term: 1, Index: 3}, {Term: 1, Index: 4}, {Term: 1, Index: 5}}}, time.Second)
		c.DrainOutput()
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Chunk: &consensus.Chunk{Term: 2, Index: 4, Membership: initialMembership, Checksum: emptyChecksum}}, time.Second)
		Expect(c.LastIndex()).To(Equal(uint64(4)))
		c.DrainOutput()
		c.MarkDurable(5, 1, time.Second)
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 4, LogTerm: 2}, time.Second)
		Expect(ofKind(c.DrainOutput().Immediate, consensus.AppendReply)[0].Index).To(BeNumerically("<", 4))
	})
})

const emptyChecksum = 0x2d06800538d394c2 // XXH3 of empty data
