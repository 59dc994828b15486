package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
)

func TestLeaderThatIsVotedOutComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		b := voter(ipC)
		m := joint
		b.Membership = &m
		b.Entries = append(b.Entries, consensus.Entry{Term: 4, Index: 2, Membership: &m})
		b.Hard.Commit = 2
		prepared(t, dir, b)
		h := start(t, ipC, dir, false)
		sb, sd := h.linked(ipB), h.linked("10.0.0.4#d")
		h.pass(2 * electionTimeout)
		term := h.replica.Term() + 1
		for _, s := range []*script{sb, sd} {
			s.agrees(consensus.Message{Kind: consensus.PreVoteReply, Term: term, OK: true})
		}
		for _, s := range []*script{sb, sd} {
			s.agrees(consensus.Message{Kind: consensus.VoteReply, Term: term, OK: true})
		}
		g.Expect(h.leads()).To(BeTrue())
		for range 30 {
			h.pass(tickEvery)
			if h.leads() {
				h.confirms(sb)
				h.confirms(sd)
			}
		}
		t.Log(h.membership, h.identity, h.replica.ID(), h.leads())
		h.pass(4 * electionTimeout)
		g.Expect(h.membership.Joint()).To(BeFalse())
		g.Expect(h.identity).To(HavePrefix(ipC + "#"))
		g.Expect(h.replica.ID()).To(Equal(h.identity))
		h.stop()
	})
}
