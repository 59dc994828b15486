package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

func TestRemovedLeaderGetsANewIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		b := voterDisk(ipC)
		m := jointMembership
		b.Membership = &m
		b.Entries = append(b.Entries, consensus.Entry{Term: 4, Index: 2, Membership: &m})
		b.Hard.Commit = 2
		writeDisk(t, dir, b)
		h := start(t, ipC, dir, false)
		sb, sd := h.linkReplica(ipB), h.linkReplica("10.0.0.4#d")
		h.advance(2 * electionTimeout)
		term := h.consensus.replica.Term() + 1
		for _, s := range []*scriptedPeer{sb, sd} {
			s.sendConsensus(consensus.Message{Kind: consensus.PreVoteReply, Term: term, OK: true})
		}
		for _, s := range []*scriptedPeer{sb, sd} {
			s.sendConsensus(consensus.Message{Kind: consensus.VoteReply, Term: term, OK: true})
		}
		g.Expect(h.consensus.leads()).To(BeTrue())
		transfers := 0
		for range 30 { // it must not finish the change itself, but transfer leadership to a voter of the next membership
			h.advance(tickInterval)
			for _, s := range []*scriptedPeer{sb, sd} {
				for _, f := range s.received() {
					for _, m := range f.Consensus {
						if m.Kind == consensus.TimeoutNow {
							transfers++
						}
					}
				}
				s.sendConsensus(consensus.Message{Kind: consensus.AppendReply, Term: h.consensus.replica.Term(), OK: true, Index: h.consensus.replica.LastIndex()})
			}
		}
		g.Expect(h.consensus.leads()).To(BeTrue())
		g.Expect(h.members.current.Joint()).To(BeTrue())
		g.Expect(transfers).To(BeNumerically(">", 0))
		last, final := h.consensus.replica.LastIndex(), consensus.Membership{Epoch: jointMembership.Epoch + 1, Cluster: jointMembership.Cluster, Voters: jointMembership.Next}
		h.followLeader(sb, term+1, consensus.Message{Index: last, LogTerm: term, Entries: []consensus.Entry{{Term: term + 1, Index: last + 1, Membership: &final}}, Commit: last + 1})
		h.advance(4 * electionTimeout)
		g.Expect(h.members.current.Joint()).To(BeFalse())
		g.Expect(h.members.identity).To(HavePrefix(ipC + "#"))
		g.Expect(h.consensus.replica.ID()).To(Equal(h.members.identity))
		h.stop()
	})
}
