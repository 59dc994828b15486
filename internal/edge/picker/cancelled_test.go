package picker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/edge/picker"
)

// Guards against cancelled attempts that change a server's health: an attempt whose client disconnected releases its slot and
// counts neither as a failure nor as a success, so the server is not suspected, and a suspicion is not ended. A time that is
// known to be long is counted; a short one isn't.
func TestCancelledAttemptsDoNotAffectHealth(t *testing.T) {
	g := NewWithT(t)
	p := picker.New("zone", func() float64 { return 0 })
	p.Add(&picker.Upstream{ID: "i-1", Service: "tags", Zone: "zone", Capacity: 2})
	none := func(*picker.Upstream) bool { return false }
	pick := func(now time.Duration) *picker.Upstream { return p.Pick("tags", none, now) }
	for i := range 50 {
		u := pick(time.Second)
		g.Expect(u).NotTo(BeNil())
		p.Cancelled(u, time.Duration(i%2)*time.Second)
		g.Expect(u.InFlight()).To(Equal(0))
	}
	u := pick(time.Second)
	stats := p.TakeStats(u)
	g.Expect(stats.Attempts).To(BeEquivalentTo(25))
	g.Expect(stats.Failed).To(BeZero())
	g.Expect(stats.TotalTime).To(Equal(25.0))
}
