package peer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/peer"
)

// Two controllers that received different updates, in any order and with some missing, have the same registry after one
// exchange of digests, and exchange nothing more afterwards.
func TestCompareRepairsMissedUpdates(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 3))
	entries := 0
	for range 500 {
		a, b := registry.New(time.Minute), registry.New(time.Minute)
		for range rng.IntN(30) {
			e := registry.Entry{ID: fmt.Sprint("i-", rng.IntN(8)), Service: "tags", Address: "x:1", Capacity: 2, Seq: uint64(rng.IntN(5)),
				State: registry.State(rng.IntN(3)), TimedOut: rng.IntN(4) == 0, Owner: string(rune('p' + rng.IntN(2)))}
			e.Zone = string(rune('a' + int(e.ID[2]-'0')%3)) // a server doesn't change its zone
			if rng.IntN(3) > 0 {
				a.Apply(e, 0)
			}
			if rng.IntN(3) > 0 {
				b.Apply(e, 0)
			}
		}
		apply := func(to *registry.Registry, messages []peer.Message) *peer.Digests {
			f := peer.FrameOf(messages...)
			for _, e := range f.Entries {
				to.Apply(e, 0)
			}
			entries += len(f.Entries)
			return f.Digests
		}
		request := &peer.Digests{ByZone: a.ZoneDigests()}
		if reply := request.Compare(b, 0); reply != nil {
			digests := apply(a, reply)
			if last := digests.Compare(a, 0); last != nil {
				apply(b, last)
			}
		}
		g.Expect(a.Digest()).To(Equal(b.Digest()))
		g.Expect((&peer.Digests{ByZone: a.ZoneDigests()}).Compare(b, 0)).To(BeNil())
	}
	g.Expect(entries).To(BeNumerically(">", 500))
}

func TestCompareWaitsForUpdatesInFlight(t *testing.T) {
	g := NewWithT(t)
	c := peer.DigestComparison{}
	g.Expect(c.Due(1, 2, 1*time.Second)).To(BeFalse(), "the update may still be in flight")
	g.Expect(c.Due(2, 2, 2*time.Second)).To(BeFalse())
	g.Expect(c.Due(1, 2, 3*time.Second)).To(BeFalse())
	g.Expect(c.Due(1, 2, 4*time.Second)).To(BeTrue())
	g.Expect(c.Due(1, 2, 5*time.Second)).To(BeFalse(), "not again within compareInterval")
	g.Expect(c.Due(1, 2, 9*time.Second)).To(BeTrue())
}
