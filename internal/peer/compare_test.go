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

// Two planners that heard different parts of the news, in any order and with any of it missing, hold the same after one
// exchange of cells, and then exchange nothing more.
func TestComparingCellsMendsWhatWasMissed(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 3))
	bytes := 0
	for range 500 {
		a, b := registry.New(time.Minute), registry.New(time.Minute)
		for range rng.IntN(30) {
			e := registry.Entry{ID: fmt.Sprint("i-", rng.IntN(8)), Service: "tags", Address: "x:1", Capacity: 2, Seq: uint64(rng.IntN(5)),
				State: registry.State(rng.IntN(3)), TimedOut: rng.IntN(4) == 0, Owner: string(rune('p' + rng.IntN(2)))}
			e.Zone = string(rune('a' + int(e.ID[2]-'0')%3)) // a life doesn't move
			if rng.IntN(3) > 0 {
				a.Apply(e, 0)
			}
			if rng.IntN(3) > 0 {
				b.Apply(e, 0)
			}
		}
		take := func(d *registry.Registry, f *peer.Frame) {
			for _, e := range f.Entries {
				d.Apply(e, 0)
			}
			bytes += len(f.Entries)
		}
		ask := &peer.Frame{Digests: &peer.Digests{ByZone: a.ZoneDigests()}}
		if answer := ask.Digests.Compare(b, 0); answer != nil {
			take(a, answer)
			if last := answer.Digests.Compare(a, 0); last != nil {
				take(b, last)
			}
		}
		g.Expect(a.Digest()).To(Equal(b.Digest()))
		g.Expect((&peer.Digests{ByZone: a.ZoneDigests()}).Compare(b, 0)).To(BeNil())
	}
	g.Expect(bytes).To(BeNumerically(">", 500))
}

func TestComparingWaitsForNewsOnItsWay(t *testing.T) {
	g := NewWithT(t)
	c := peer.DigestComparison{}
	g.Expect(c.Due(1, 2, 1*time.Second)).To(BeFalse(), "it may be on its way")
	g.Expect(c.Due(2, 2, 2*time.Second)).To(BeFalse())
	g.Expect(c.Due(1, 2, 3*time.Second)).To(BeFalse())
	g.Expect(c.Due(1, 2, 4*time.Second)).To(BeTrue())
	g.Expect(c.Due(1, 2, 5*time.Second)).To(BeFalse(), "not again at once")
	g.Expect(c.Due(1, 2, 9*time.Second)).To(BeTrue())
}
