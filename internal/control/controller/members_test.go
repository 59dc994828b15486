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

// A controller of another cluster must be rejected with one log line that names it, and its messages must be ignored.
func TestControllerOfAnotherClusterIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		before := h.learners()
		s := h.link("10.0.0.8", &peer.Handshake{Node: "other", IP: "10.0.0.8", Zone: "x", Incarnation: 6, Counted: true, Cluster: cluster + 1})
		g.Expect(h.log.containing("peer rejected")).To(ConsistOf(And(ContainSubstring("10.0.0.8"), ContainSubstring("another cluster"))))
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

// A message for a previous identity at this address must be ignored.
func TestMessageForAFormerIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		b.send(&peer.Frame{Consensus: []consensus.Message{{Kind: consensus.VoteRequest, From: ipB, To: ipA + "#5", Term: 90, Index: 9, LogTerm: 9}}})
		g.Expect(h.consensus.replica.Term()).To(BeEquivalentTo(4))
		h.stop()
	})
}

// startReplacement starts a call to replace a voter.
func (h *testController) startReplacement(voter, by string, dry bool) *call {
	body, _ := json.Marshal(operator.Replacement{Voter: voter, By: by, DryRun: dry}) // strings and a bool can't fail
	return h.startCall(http.MethodPost, "/members", "", string(body))
}

func (c *call) replacementResult(g *WithT) (result operator.ReplacementResult) {
	g.Expect(c.status()).To(Equal(http.StatusOK))
	g.Expect(json.Unmarshal(c.w.Body.Bytes(), &result)).To(Succeed())
	return result
}

// linkStandby links a controller without a vote that is caught up with the log.
func (h *testController) linkStandby(identity string) *scriptedPeer {
	s := h.linkReplica(identity)
	h.advance(tickInterval) // the leader adds it as a learner
	h.confirmReads(s)
	return s
}

func TestReplacementByAnOperator(t *testing.T) {
	const standby = "10.0.0.4#d"
	startLeader := func(t *testing.T) (h *testController, b *scriptedPeer) {
		h, b = startVoter(t)
		h.linkReplica(ipC) // all voters are linked, so that the leader replaces none by itself
		h.becomeLeader(b)
		h.linkStandby(standby)
		return h, b
	}
	for name, testCase := range map[string]struct {
		voter, by string
		status    int
		says      string
	}{
		"of the leader":                     {ipA, "", http.StatusServiceUnavailable, "leadership is transferred first"},
		"of an unknown voter":               {"10.0.0.7", "", http.StatusConflict, "no such voter"},
		"by a voter":                        {ipC, ipB, http.StatusConflict, "there is no standby"},
		"by an unlinked controller":         {ipC, "10.0.0.5", http.StatusConflict, "there is no standby"},
		"of a voter by a previous identity": {ipC + "#2", "", http.StatusConflict, "no such voter"},
		"that names no voter":               {"", "", http.StatusBadRequest, "names a voter"},
	} {
		for _, dry := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", dry: ", dry), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					h, b := startLeader(t)
					b.received()
					response := h.startReplacement(testCase.voter, testCase.by, dry)
					g.Expect(response.status()).To(Equal(testCase.status))
					g.Expect(response.w.Body.String()).To(ContainSubstring(testCase.says))
					g.Expect(h.consensus.replica.Membership()).To(Equal(threeVoters))
					transferred := false
					for _, f := range b.received() {
						for _, m := range f.Consensus {
							transferred = transferred || m.Kind == consensus.TimeoutNow
						}
					}
					g.Expect(transferred).To(Equal(testCase.voter == ipA && !dry), "a dry run must not transfer leadership")
					h.stop()
				})
			})
		}
	}
	t.Run("is only reported by a dry run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, _ := startLeader(t)
			last := h.consensus.replica.LastIndex()
			result := h.startReplacement(ipC, "", true).replacementResult(g)
			g.Expect(result).To(Equal(operator.ReplacementResult{Epoch: 2, Voters: threeVoters.Voters, Next: []string{ipA, ipB, standby}}))
			g.Expect(h.consensus.replica.LastIndex()).To(Equal(last))
			h.stop()
		})
	})
	t.Run("is acknowledged once the joint membership is committed, and rejected during a change", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, b := startLeader(t)
			response := h.startReplacement(ipC, standby, false)
			g.Expect(response.status()).To(BeZero())
			during := h.startReplacement(ipB, "", false)
			g.Expect(during.status()).To(Equal(http.StatusServiceUnavailable))
			g.Expect(during.w.Body.String()).To(ContainSubstring("under way"))
			h.confirmReads(b)
			g.Expect(response.replacementResult(g)).To(Equal(operator.ReplacementResult{Epoch: 3, Voters: threeVoters.Voters, Next: []string{ipA, ipB, standby}}))
			g.Expect(h.members.current).To(Equal(jointMembership))
			h.stop()
		})
	})
	t.Run("changes nothing if it was already made", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, _ := startLeader(t)
			last := h.consensus.replica.LastIndex()
			result := h.startReplacement(ipC+"#2", ipC, false).replacementResult(g)
			g.Expect(result.Next).To(Equal(threeVoters.Voters))
			g.Expect(h.consensus.replica.LastIndex()).To(Equal(last))
			h.stop()
		})
	})
	t.Run("that can't be committed is unconfirmed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, _ := startLeader(t)
			response := h.startReplacement(ipC, standby, false)
			h.advance(2 * callTimeout)
			g.Expect(response.status()).To(Equal(http.StatusBadGateway))
			h.stop()
		})
	})
	t.Run("that can't be decoded is rejected", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, _ := startLeader(t)
			for _, body := range []string{"", "[", `{"voter":7}`, string(make([]byte, maxReplacementBody+1))} {
				g.Expect(h.startCall(http.MethodPost, "/members", "", body).status()).To(Equal(http.StatusBadRequest))
			}
			h.stop()
		})
	})
}
