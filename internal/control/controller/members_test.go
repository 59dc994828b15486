package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/peer"
)

// A controller of another cluster is refused with one line that names it, and nothing that it says counts here.
func TestControllerOfAnotherClusterIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		before := h.learners()
		s := h.link("10.0.0.8", &peer.Handshake{Node: "other", IP: "10.0.0.8", Zone: "x", Incarnation: 6, Counted: true, Cluster: cluster + 1})
		g.Expect(h.log.with("peer rejected")).To(ConsistOf(And(ContainSubstring("10.0.0.8"), ContainSubstring("another cluster"))))
		<-s.p.link.Closed()
		term := h.consensus.replica.Term()
		s.send(&peer.Frame{ReplicaStatus: &peer.ReplicaStatus{Identity: "10.0.0.8", Cluster: cluster + 1, Ready: true}})
		s.send(&peer.Frame{Consensus: []consensus.Message{{Kind: consensus.Append, From: "10.0.0.8", To: ipA, Term: term + 50}}})
		g.Expect(h.consensus.replica.Term()).To(Equal(term))
		g.Expect(h.consensus.leads()).To(BeTrue())
		g.Expect(h.learners()).To(Equal(before))
		g.Expect(h.links.controllers).To(HaveLen(1))
		h.stop()
	})
}

// A message for a former identity at this address changes nothing.
func TestMessageForAFormerIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		b.send(&peer.Frame{Consensus: []consensus.Message{{Kind: consensus.VoteRequest, From: ipB, To: ipA + "#5", Term: 90, Index: 9, LogTerm: 9}}})
		g.Expect(h.consensus.replica.Term()).To(BeEquivalentTo(4))
		h.stop()
	})
}

// startReplacement asks a leader to replace a voter.
func (h *testController) startReplacement(voter, by string, dry bool) *call {
	body, _ := json.Marshal(operator.Replacement{Voter: voter, By: by, DryRun: dry}) // strings and a flag
	return h.startCall(http.MethodPost, "/members", "", string(body))
}

func (c *call) replaced(g *WithT) (made operator.ReplacementResult) {
	g.Expect(c.status()).To(Equal(http.StatusOK))
	g.Expect(json.Unmarshal(c.w.Body.Bytes(), &made)).To(Succeed())
	return made
}

// linkStandby links a controller without a vote that is level with the log.
func (h *testController) linkStandby(identity string) *scriptedPeer {
	s := h.linkReplica(identity)
	h.advance(tickInterval) // the leader takes it for a learner
	h.confirmReads(s)
	return s
}

func TestReplacementByAnOperator(t *testing.T) {
	const standby = "10.0.0.4#d"
	leading := func(t *testing.T) (h *testController, b *scriptedPeer) {
		h, b = startVoter(t)
		h.linkReplica(ipC) // all voters are in reach: the leader replaces none by itself
		h.becomeLeader(b)
		h.linkStandby(standby)
		return h, b
	}
	for name, one := range map[string]struct {
		voter, by string
		status    int
		says      string
	}{
		"of the leader":                    {ipA, "", http.StatusServiceUnavailable, "leadership is transferred first"},
		"of nobody":                        {"10.0.0.7", "", http.StatusConflict, "no such voter"},
		"by a voter":                       {ipC, ipB, http.StatusConflict, "there is no standby"},
		"by one who is not there":          {ipC, "10.0.0.5", http.StatusConflict, "there is no standby"},
		"of a voter by its former address": {ipC + "#2", "", http.StatusConflict, "no such voter"},
		"that names no voter":              {"", "", http.StatusBadRequest, "names a voter"},
	} {
		for _, dry := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", dry: ", dry), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					h, b := leading(t)
					b.received()
					out := h.startReplacement(one.voter, one.by, dry)
					g.Expect(out.status()).To(Equal(one.status))
					g.Expect(out.w.Body.String()).To(ContainSubstring(one.says))
					g.Expect(h.consensus.replica.Membership()).To(Equal(three))
					asked := false
					for _, f := range b.received() {
						for _, m := range f.Consensus {
							asked = asked || m.Kind == consensus.TimeoutNow
						}
					}
					g.Expect(asked).To(Equal(one.voter == ipA && !dry), "leadership is passed on, but not by a dry run")
					h.stop()
				})
			})
		}
	}
	t.Run("is only described by a dry run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, _ := leading(t)
			last := h.consensus.replica.LastIndex()
			made := h.startReplacement(ipC, "", true).replaced(g)
			g.Expect(made).To(Equal(operator.ReplacementResult{Epoch: 2, Voters: three.Voters, Next: []string{ipA, ipB, standby}}))
			g.Expect(h.consensus.replica.LastIndex()).To(Equal(last))
			h.stop()
		})
	})
	t.Run("is acknowledged once the joint membership is committed, and refused while it lasts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, b := leading(t)
			out := h.startReplacement(ipC, standby, false)
			g.Expect(out.status()).To(BeZero())
			during := h.startReplacement(ipB, "", false)
			g.Expect(during.status()).To(Equal(http.StatusServiceUnavailable))
			g.Expect(during.w.Body.String()).To(ContainSubstring("under way"))
			h.confirmReads(b)
			g.Expect(out.replaced(g)).To(Equal(operator.ReplacementResult{Epoch: 3, Voters: three.Voters, Next: []string{ipA, ipB, standby}}))
			g.Expect(h.members.current).To(Equal(joint))
			h.stop()
		})
	})
	t.Run("is nothing when it was made before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, _ := leading(t)
			last := h.consensus.replica.LastIndex()
			made := h.startReplacement(ipC+"#2", ipC, false).replaced(g)
			g.Expect(made.Next).To(Equal(three.Voters))
			g.Expect(h.consensus.replica.LastIndex()).To(Equal(last))
			h.stop()
		})
	})
	t.Run("that can't be committed gets an unclear answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, _ := leading(t)
			out := h.startReplacement(ipC, standby, false)
			h.advance(2 * callTimeout)
			g.Expect(out.status()).To(Equal(http.StatusBadGateway))
			h.stop()
		})
	})
	t.Run("that can't be read is refused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, _ := leading(t)
			for _, body := range []string{"", "[", `{"voter":7}`, string(make([]byte, maxReplacementBody+1))} {
				g.Expect(h.startCall(http.MethodPost, "/members", "", body).status()).To(Equal(http.StatusBadRequest))
			}
			h.stop()
		})
	})
}
