package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/edge/picker"
)

func excludeNone(*picker.Upstream) bool { return false }

func newZonePicker(edges int, self uint32, servers, slots int) *picker.Picker {
	rng := rand.New(rand.NewPCG(uint64(self), 1))
	p := picker.New("hall", rng.Float64)
	for i := range servers {
		p.Add(&picker.Upstream{ID: fmt.Sprint("i-", i), Service: "tags", Zone: "hall", Capacity: slots})
	}
	var roster []uint32
	for e := range edges {
		roster = append(roster, uint32(e))
	}
	p.AssignSlots(roster, self)
	return p
}

// pickCounts picks n times and returns the number of picks of each server.
func pickCounts(p *picker.Picker, n int) map[string]int {
	at := map[string]int{}
	for range n {
		if u := p.Pick("tags", excludeNone, 0); u != nil {
			at[u.ID]++
		}
	}
	return at
}

// Guards against edges that use the same slots: edges that don't know each other's requests use different slots while each
// stays within its own.
func TestOwnSlotsSumToCapacity(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ edges, servers, slots int }{{3, 7, 2}, {10, 15, 2}, {23, 42, 2}, {4, 6, 4}, {2, 5, 5}, {1, 3, 2}, {9, 2, 4}} {
		whole, parts := map[string]int{}, 0
		for e := range c.edges {
			p := newZonePicker(c.edges, uint32(e), c.servers, c.slots)
			own := p.OwnSlots("tags")
			parts += own
			for id, n := range pickCounts(p, own) {
				whole[id] += n
			}
		}
		g.Expect(parts).To(Equal(c.servers*c.slots), "%+v", c)
		for id, n := range whole {
			g.Expect(n).To(Equal(c.slots), "%s of %+v", id, c)
		}
	}
}

func TestEdgeLeavingMovesNoSlotsOfOthers(t *testing.T) {
	g := NewWithT(t)
	moved, all := 0, 0
	for e := range uint32(9) { // the tenth edge leaves
		before, after := newZonePicker(10, e, 40, 2), newZonePicker(9, e, 40, 2)
		b, a := pickCounts(before, before.OwnSlots("tags")), pickCounts(after, after.OwnSlots("tags"))
		for id, n := range b {
			moved += max(0, n-a[id])
		}
		all += before.OwnSlots("tags")
	}
	g.Expect(moved).To(Equal(0), "no remaining edge loses a slot; only the free slots are reassigned")
	g.Expect(all).To(BeNumerically("<", 80))
}

// Guards against slots that stay unused: an edge with all the traffic uses the slots that are assigned to other edges too.
func TestOneEdgeMayUseAllSlots(t *testing.T) {
	g := NewWithT(t)
	p := newZonePicker(10, 3, 6, 2)
	at := pickCounts(p, 12)
	g.Expect(at).To(HaveLen(6))
	for id, n := range at {
		g.Expect(n).To(Equal(2), id)
	}
}

func TestPickAvoidsRemovedSuspectedAndLoaded(t *testing.T) {
	g := NewWithT(t)
	p := newZonePicker(1, 0, 3, 2)
	p.Remove("i-0")
	p.SetWeight("i-1", 0)
	g.Expect(pickCounts(p, 2)).To(Equal(map[string]int{"i-2": 2}), "neither a removed server nor one with weight 0 is picked while others have room")
	g.Expect(pickCounts(p, 2)).To(Equal(map[string]int{"i-1": 2}), "a server with weight 0 is picked when no other has room")

	p = newZonePicker(1, 0, 2, 1)
	u := p.Pick("tags", excludeNone, 0)
	p.Unreachable(u, 0)
	for range 5 {
		o := p.Pick("tags", excludeNone, time.Millisecond)
		g.Expect(o).NotTo(BeIdenticalTo(u), "an unreachable server is suspected")
		p.Succeeded(o, time.Millisecond, time.Millisecond)
	}
	p.ReportLoad(p.Get("i-0"), 1, 3, time.Second)
	p.ReportLoad(p.Get("i-1"), 0, 0, time.Second)
	g.Expect(p.Pick("tags", excludeNone, time.Second).ID).To(Equal("i-1"), "the load that a server reports includes requests of other edges")
}
