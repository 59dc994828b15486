package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/membership"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

// newController returns a healthy, connected controller in a zone.
func newController(id, zone string) membership.Controller {
	return membership.Controller{ID: id, Zone: zone, MayVote: true, Connected: true, CaughtUp: true, Epoch: 4, Ready: true}
}

// threeVoters returns the view of leader a of three voters in three zones, with standbys.
func threeVoters(standbys ...membership.Controller) membership.View {
	return membership.View{Self: "a", Term: 3, Committed: true, WantedVoters: 3,
		Membership:  consensus.Membership{Epoch: 4, Voters: []string{"a", "b", "c"}},
		Controllers: append([]membership.Controller{newController("a", "x"), newController("b", "y"), newController("c", "z")}, standbys...)}
}

// disconnect makes a controller unreachable.
func disconnect(v *membership.View, id string) {
	for i := range v.Controllers {
		if v.Controllers[i].ID == id {
			v.Controllers[i].Connected = false
		}
	}
}

// newStandby returns a healthy, connected controller that is not a voter.
func newStandby(id, zone string) membership.Controller {
	c := newController(id, zone)
	c.Ready = false
	return c
}

// decideAfter makes a decision at time 0 and returns a second one made at time after.
func decideAfter(v membership.View, after time.Duration) membership.Decision {
	m := &membership.Manager{}
	m.Decide(v, 0)
	return m.Decide(v, after)
}

const longOutage = time.Minute

var _ = Describe("the manager", func() {
	It("changes nothing while all voters are reachable", func() {
		Expect(decideAfter(threeVoters(newStandby("d", "x")), longOutage).Action).To(Equal(membership.ActionNone))
	})
	It("changes nothing if a voter is lost and there is no standby", func() {
		v := threeVoters()
		disconnect(&v, "c")
		Expect(decideAfter(v, longOutage).Action).To(Equal(membership.ActionNone))
	})
	It("replaces a voter only after it was unreachable for ReplaceAfter", func() {
		v := threeVoters(newStandby("d", "y"))
		disconnect(&v, "c")
		Expect(decideAfter(v, membership.ReplaceAfter/2).Action).To(Equal(membership.ActionNone))
		d := decideAfter(v, membership.ReplaceAfter+1)
		Expect(d.Action).To(Equal(membership.ActionBegin))
		Expect(d.Next).To(Equal([]string{"a", "b", "d"}))
	})
	It("ignores what was observed in an earlier term", func() {
		v := threeVoters(newStandby("d", "y"))
		disconnect(&v, "c")
		m := &membership.Manager{}
		m.Decide(v, 0)
		v.Term++
		Expect(m.Decide(v, longOutage).Action).To(Equal(membership.ActionNone))
	})
	It("replaces a voter that lost its disk at once, by the replica at its address", func() {
		v := threeVoters(newStandby("b#7f", "y"), newStandby("d", "y"))
		disconnect(&v, "b")
		Expect(decideAfter(v, 1).Next).To(Equal([]string{"a", "b#7f", "c"}))
	})
	It("replaces two lost disks of five in one change", func() {
		v := threeVoters(newController("d", "x"), newController("e", "y"), newStandby("b#1", "y"), newStandby("c#1", "z"))
		v.Membership.Voters, v.WantedVoters = []string{"a", "b", "c", "d", "e"}, 5
		disconnect(&v, "b")
		disconnect(&v, "c")
		Expect(decideAfter(v, 1).Next).To(Equal([]string{"a", "b#1", "c#1", "d", "e"}))
	})
	It("replaces a voter that is shutting down, if there is a standby", func() {
		v := threeVoters()
		v.Controllers[2].ShuttingDown = true
		Expect(decideAfter(v, longOutage).Action).To(Equal(membership.ActionNone))
		v = threeVoters(newStandby("d", "x"))
		v.Controllers[2].ShuttingDown = true
		Expect(decideAfter(v, 1).Next).To(Equal([]string{"a", "b", "d"}))
	})
	It("transfers leadership first if the leader is shutting down", func() {
		v := threeVoters(newStandby("d", "x"))
		v.Controllers[0].ShuttingDown = true
		v.Controllers[1].CaughtUp = false
		d := decideAfter(v, 1)
		Expect(d.Action).To(Equal(membership.ActionNone), "leadership was transferred less than transferRetry ago")
		d = decideAfter(v, time.Second)
		Expect(d.Action).To(Equal(membership.ActionTransferLeadership))
		Expect(d.To).To(Equal("c"))
	})
	It("ignores a standby that lags, is shutting down, may not vote, has an old membership or is unreachable", func() {
		for _, disqualify := range []func(*membership.Controller){
			func(c *membership.Controller) { c.CaughtUp = false }, func(c *membership.Controller) { c.ShuttingDown = true },
			func(c *membership.Controller) { c.MayVote = false }, func(c *membership.Controller) { c.Epoch = 3 },
			func(c *membership.Controller) { c.Connected = false },
		} {
			d := newStandby("d", "z")
			disqualify(&d)
			v := threeVoters(d)
			disconnect(&v, "c")
			Expect(decideAfter(v, longOutage).Action).To(Equal(membership.ActionNone))
		}
	})
	It("begins no change while the last one is not committed", func() {
		v := threeVoters(newStandby("d", "z"))
		v.Committed = false
		disconnect(&v, "c")
		Expect(decideAfter(v, longOutage).Action).To(Equal(membership.ActionNone))
	})
	It("adopts a change only once the new voters are ready", func() {
		v := threeVoters(newStandby("d", "z"))
		v.Membership = consensus.Membership{Epoch: 4, Voters: []string{"a", "b", "c"}, Next: []string{"a", "b", "d"}}
		disconnect(&v, "c")
		Expect(decideAfter(v, time.Second).Action).To(Equal(membership.ActionNone))
		v.Controllers[3].Ready = true
		Expect(decideAfter(v, time.Second).Action).To(Equal(membership.ActionAdopt))
		v.Controllers[3].Epoch = 3
		Expect(decideAfter(v, time.Second).Action).To(Equal(membership.ActionNone), "ready for an earlier change")
	})
	It("transfers leadership to a remaining voter if the change removes the leader", func() {
		v := threeVoters(newController("d", "z"))
		v.Membership = consensus.Membership{Epoch: 4, Voters: []string{"a", "b", "c"}, Next: []string{"b", "c", "d"}}
		d := decideAfter(v, time.Second)
		Expect(d.Action).To(Equal(membership.ActionTransferLeadership))
		Expect(v.Membership.Next).To(ContainElement(d.To))
	})
	It("abandons a change if a new voter is lost, or not ready in time", func() {
		v := threeVoters(newStandby("d", "z"))
		v.Membership.Next = []string{"a", "b", "d"}
		Expect(decideAfter(v, membership.ReadyTimeout+1).Action).To(Equal(membership.ActionAbandon))
		disconnect(&v, "d")
		Expect(decideAfter(v, membership.AbandonAfter/2).Action).To(Equal(membership.ActionNone))
		Expect(decideAfter(v, membership.AbandonAfter+1).Action).To(Equal(membership.ActionAbandon))
	})
	It("adds voters up to the wanted number, in the zones with the fewest voters", func() {
		v := threeVoters(newStandby("d", "x"), newStandby("e", "w"), newStandby("f", "x"))
		v.WantedVoters = 5
		Expect(decideAfter(v, 1).Next).To(Equal([]string{"a", "b", "c", "d", "e"}))
	})
	It("moves a vote from a zone with two voters to one without any, while all voters are reachable", func() {
		v := threeVoters(newStandby("d", "w"))
		v.Controllers[2].Zone = "y"
		Expect(decideAfter(v, 1).Next).To(Or(Equal([]string{"a", "c", "d"}), Equal([]string{"a", "b", "d"})))
		disconnect(&v, "c")
		Expect(decideAfter(v, 1).Action).To(Equal(membership.ActionNone))
	})
})

var _ = Describe("an identity", func() {
	It("consists of the address and the disk number", func() {
		Expect(membership.Identity("10.1.0.1", 0)).To(Equal("10.1.0.1"))
		id := membership.Identity("10.1.0.1", 0xab)
		Expect(id).To(Equal("10.1.0.1#ab"))
		Expect(membership.Address(id)).To(Equal("10.1.0.1"))
		Expect(membership.Addresses([]string{"10.1.0.1", id, "10.1.0.2"})).To(Equal([]string{"10.1.0.1", "10.1.0.2"}))
	})
})

var _ = Describe("a replacement requested by an operator", func() {
	It("returns the new voters, and the current ones if it was already made", func() {
		v := threeVoters(newStandby("d", "x"))
		Expect(membership.Replace(v, "c", "")).To(Equal([]string{"a", "b", "d"}))
		Expect(membership.Replace(v, "c", "d")).To(Equal([]string{"a", "b", "d"}))
		Expect(membership.Replace(v, "gone", "b")).To(Equal([]string{"a", "b", "c"}))
	})
	DescribeTable("is rejected with a reason", func(voter, by string, change func(*membership.View), reason error) {
		v := threeVoters(newStandby("d", "x"))
		change(&v)
		_, err := membership.Replace(v, voter, by)
		Expect(err).To(MatchError(reason))
	},
		Entry("of the leader", "a", "", func(*membership.View) {}, membership.ErrVoterIsLeader),
		Entry("of an unknown voter", "z", "", func(*membership.View) {}, membership.ErrUnknownVoter),
		Entry("by a controller that is no standby", "c", "b", func(*membership.View) {}, membership.ErrNoStandby),
		Entry("without a standby", "c", "", func(v *membership.View) { disconnect(v, "d") }, membership.ErrNoStandby),
		Entry("during a change", "c", "", func(v *membership.View) { v.Committed = false }, membership.ErrChangeInProgress),
	)
})
