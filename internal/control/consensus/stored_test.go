package consensus_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

var _ = Describe("a replica whose disk is slow", func() {
	// Entries 2 and 3 of term 1 are on their way to the disk when a new leader replaces them. That those were written says
	// nothing of the ones that took their places.
	It("doesn't take a write of entries that were cut off for one of those in their place", func() {
		c := replica("c", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1})
		c.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "c", Term: 1, Index: 1, LogTerm: 1,
			Entries: []consensus.Entry{{Term: 1, Index: 2}, {Term: 1, Index: 3}}}, time.Second)
		c.DrainOutput() // to the disk
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 1, LogTerm: 1,
			Entries: []consensus.Entry{{Term: 2, Index: 2}}}, time.Second)
		c.DrainOutput()                  // to the disk, once it has done the first write
		c.MarkDurable(3, 1, time.Second) // which it has now
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 2, LogTerm: 2}, time.Second)
		replies := ofKind(c.DrainOutput().Immediate, consensus.AppendReply)
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Index).To(BeNumerically("<=", 1), "entry 2 of term 2 is not on the disk yet")
		c.MarkDurable(2, 2, time.Second)
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 2, LogTerm: 2}, time.Second)
		Expect(ofKind(c.DrainOutput().Immediate, consensus.AppendReply)[0].Index).To(Equal(uint64(2)))
	})
	It("doesn't take a write of entries for one of the snapshot that replaced them", func() {
		c := replica("c", consensus.HardState{Term: 1}, consensus.Entry{Term: 1, Index: 1})
		c.Step(consensus.Message{Kind: consensus.Append, From: "a", To: "c", Term: 1, Index: 1, LogTerm: 1,
			Entries: []consensus.Entry{{Term: 1, Index: 2}, {Term: 1, Index: 3}, {Term: 1, Index: 4}, {Term: 1, Index: 5}}}, time.Second)
		c.DrainOutput()
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Chunk: &consensus.Chunk{Term: 2, Index: 4, Membership: founders, Checksum: emptySum}}, time.Second)
		Expect(c.LastIndex()).To(Equal(uint64(4)))
		c.DrainOutput()
		c.MarkDurable(5, 1, time.Second)
		c.Step(consensus.Message{Kind: consensus.Append, From: "b", To: "c", Term: 2, Index: 4, LogTerm: 2}, time.Second)
		Expect(ofKind(c.DrainOutput().Immediate, consensus.AppendReply)[0].Index).To(BeNumerically("<", 4))
	})
})

const emptySum = 0x2d06800538d394c2 // XXH3 of nothing
