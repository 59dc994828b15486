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

// at is a controller in zone z, sound and in reach.
func at(id, zone string) membership.Controller {
	return membership.Controller{ID: id, Zone: zone, MayVote: true, Connected: true, CaughtUp: true, Epoch: 4, Ready: true}
}

// three is what leader a sees of three voters in three zones.
func three(more ...membership.Controller) membership.View {
	return membership.View{Self: "a", Term: 3, Committed: true, WantedVoters: 3,
		Membership:  consensus.Membership{Epoch: 4, Voters: []string{"a", "b", "c"}},
		Controllers: append([]membership.Controller{at("a", "x"), at("b", "y"), at("c", "z")}, more...)}
}

// lose takes a controller out of reach.
func lose(v *membership.View, id string) {
	for i := range v.Controllers {
		if v.Controllers[i].ID == id {
			v.Controllers[i].Connected = false
		}
	}
}

// standby is a controller without a vote.
func standby(id, zone string) membership.Controller {
	c := at(id, zone)
	c.Ready = false
	return c
}

// settled decides now and once more after a while.
func settled(v membership.View, after time.Duration) membership.Decision {
	m := &membership.Manager{}
	m.Decide(v, 0)
	return m.Decide(v, after)
}

const long = time.Minute

var _ = Describe("the manager", func() {
	It("changes nothing while all voters are in reach", func() {
		Expect(settled(three(standby("d", "x")), long).Action).To(Equal(membership.ActionNone))
	})
	It("changes nothing when a voter is lost and nobody stands by", func() {
		v := three()
		lose(&v, "c")
		Expect(settled(v, long).Action).To(Equal(membership.ActionNone))
	})
	It("replaces a voter that is out of reach for long, not one that was cut off for a moment", func() {
		v := three(standby("d", "y"))
		lose(&v, "c")
		Expect(settled(v, membership.ReplaceAfter/2).Action).To(Equal(membership.ActionNone))
		d := settled(v, membership.ReplaceAfter+1)
		Expect(d.Action).To(Equal(membership.ActionBegin))
		Expect(d.Next).To(Equal([]string{"a", "b", "d"}))
	})
	It("doesn't hold against a voter what a former leader saw", func() {
		v := three(standby("d", "y"))
		lose(&v, "c")
		m := &membership.Manager{}
		m.Decide(v, 0)
		v.Term++
		Expect(m.Decide(v, long).Action).To(Equal(membership.ActionNone))
	})
	It("replaces at once a voter whose disk was lost, by the replica at its address", func() {
		v := three(standby("b#7f", "y"), standby("d", "y"))
		lose(&v, "b")
		Expect(settled(v, 1).Next).To(Equal([]string{"a", "b#7f", "c"}))
	})
	It("replaces two lost disks of five in one change", func() {
		v := three(at("d", "x"), at("e", "y"), standby("b#1", "y"), standby("c#1", "z"))
		v.Membership.Voters, v.WantedVoters = []string{"a", "b", "c", "d", "e"}, 5
		lose(&v, "b")
		lose(&v, "c")
		Expect(settled(v, 1).Next).To(Equal([]string{"a", "b#1", "c#1", "d", "e"}))
	})
	It("replaces a voter that is told to end, if somebody stands by", func() {
		v := three()
		v.Controllers[2].ShuttingDown = true
		Expect(settled(v, long).Action).To(Equal(membership.ActionNone))
		v = three(standby("d", "x"))
		v.Controllers[2].ShuttingDown = true
		Expect(settled(v, 1).Next).To(Equal([]string{"a", "b", "d"}))
	})
	It("has a leader that is told to end pass leadership on first", func() {
		v := three(standby("d", "x"))
		v.Controllers[0].ShuttingDown = true
		v.Controllers[1].CaughtUp = false
		d := settled(v, 1)
		Expect(d.Action).To(Equal(membership.ActionNone), "asked a moment ago")
		d = settled(v, time.Second)
		Expect(d.Action).To(Equal(membership.ActionTransferLeadership))
		Expect(d.To).To(Equal("c"))
	})
	It("takes nobody who is behind, ends, has no lasting disk or hasn't heard of the last change", func() {
		for _, spoil := range []func(*membership.Controller){
			func(c *membership.Controller) { c.CaughtUp = false }, func(c *membership.Controller) { c.ShuttingDown = true },
			func(c *membership.Controller) { c.MayVote = false }, func(c *membership.Controller) { c.Epoch = 3 },
			func(c *membership.Controller) { c.Connected = false },
		} {
			d := standby("d", "z")
			spoil(&d)
			v := three(d)
			lose(&v, "c")
			Expect(settled(v, long).Action).To(Equal(membership.ActionNone))
		}
	})
	It("begins nothing while the last change is not committed", func() {
		v := three(standby("d", "z"))
		v.Committed = false
		lose(&v, "c")
		Expect(settled(v, long).Action).To(Equal(membership.ActionNone))
	})
	It("adopts a change only once the entrants' stores hold what they need", func() {
		v := three(standby("d", "z"))
		v.Membership = consensus.Membership{Epoch: 4, Voters: []string{"a", "b", "c"}, Next: []string{"a", "b", "d"}}
		lose(&v, "c")
		Expect(settled(v, time.Second).Action).To(Equal(membership.ActionNone))
		v.Controllers[3].Ready = true
		Expect(settled(v, time.Second).Action).To(Equal(membership.ActionAdopt))
		v.Controllers[3].Epoch = 3
		Expect(settled(v, time.Second).Action).To(Equal(membership.ActionNone), "ready for another change than this one")
	})
	It("lets a voter that stays finish a change after which the leader has no vote", func() {
		v := three(at("d", "z"))
		v.Membership = consensus.Membership{Epoch: 4, Voters: []string{"a", "b", "c"}, Next: []string{"b", "c", "d"}}
		d := settled(v, time.Second)
		Expect(d.Action).To(Equal(membership.ActionTransferLeadership))
		Expect(v.Membership.Next).To(ContainElement(d.To))
	})
	It("abandons a change whose entrant is lost, or not ready in time", func() {
		v := three(standby("d", "z"))
		v.Membership.Next = []string{"a", "b", "d"}
		Expect(settled(v, membership.ReadyTimeout+1).Action).To(Equal(membership.ActionAbandon))
		lose(&v, "d")
		Expect(settled(v, membership.AbandonAfter/2).Action).To(Equal(membership.ActionNone))
		Expect(settled(v, membership.AbandonAfter+1).Action).To(Equal(membership.ActionAbandon))
	})
	It("grows to the voters that the tolerance needs, in zones with the fewest", func() {
		v := three(standby("d", "x"), standby("e", "w"), standby("f", "x"))
		v.WantedVoters = 5
		Expect(settled(v, 1).Next).To(Equal([]string{"a", "b", "c", "d", "e"}))
	})
	It("moves a vote to a zone without any from one with two, while all are in reach", func() {
		v := three(standby("d", "w"))
		v.Controllers[2].Zone = "y"
		Expect(settled(v, 1).Next).To(Or(Equal([]string{"a", "c", "d"}), Equal([]string{"a", "b", "d"})))
		lose(&v, "c")
		Expect(settled(v, 1).Action).To(Equal(membership.ActionNone))
	})
})

var _ = Describe("an identity", func() {
	It("holds the address and the disk", func() {
		Expect(membership.Identity("10.1.0.1", 0)).To(Equal("10.1.0.1"))
		id := membership.Identity("10.1.0.1", 0xab)
		Expect(id).To(Equal("10.1.0.1#ab"))
		Expect(membership.Address(id)).To(Equal("10.1.0.1"))
		Expect(membership.Addresses([]string{"10.1.0.1", id, "10.1.0.2"})).To(Equal([]string{"10.1.0.1", "10.1.0.2"}))
	})
})

var _ = Describe("a replacement by hand", func() {
	It("names the voters after it, and is nothing when it was made before", func() {
		v := three(standby("d", "x"))
		Expect(membership.Replace(v, "c", "")).To(Equal([]string{"a", "b", "d"}))
		Expect(membership.Replace(v, "c", "d")).To(Equal([]string{"a", "b", "d"}))
		Expect(membership.Replace(v, "gone", "b")).To(Equal([]string{"a", "b", "c"}))
	})
	DescribeTable("is refused with the reason", func(voter, by string, change func(*membership.View), reason error) {
		v := three(standby("d", "x"))
		change(&v)
		_, err := membership.Replace(v, voter, by)
		Expect(err).To(MatchError(reason))
	},
		Entry("of the leader", "a", "", func(*membership.View) {}, membership.ErrVoterIsLeader),
		Entry("of nobody", "z", "", func(*membership.View) {}, membership.ErrUnknownVoter),
		Entry("by one who doesn't stand by", "c", "b", func(*membership.View) {}, membership.ErrNoStandby),
		Entry("without anybody who stands by", "c", "", func(v *membership.View) { lose(v, "d") }, membership.ErrNoStandby),
		Entry("during a change", "c", "", func(v *membership.View) { v.Committed = false }, membership.ErrChangeInProgress),
	)
})
