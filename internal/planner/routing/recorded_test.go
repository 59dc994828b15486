package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/rs/zerolog"

	"mulleinwood/internal/planner/protocol"
	"mulleinwood/internal/planner/settings"
	"mulleinwood/rules"
)

// recordedDigest is the digest of the messages that a planner sent in the scenario below before planners could use several
// cores.
const recordedDigest = "09d263b9c0c9bfd4249a70f65c0ac1c6c6eb04ba155198682cf8a0eab89b3bdb"

// digestPeer is a peer that adds what it is sent to a digest, and keeps the tokens that it has to acknowledge.
type digestPeer struct {
	peer
	digest hash.Hash
	tokens []uint32
}

func (d *digestPeer) Assign(o protocol.Assignment) error {
	text, err := o.Append(nil)
	fmt.Fprintf(d.digest, "%d:%s", d.id, text)
	if o.Token != nil {
		d.tokens = append(d.tokens, *o.Token)
	}
	return err
}

// TestOneCoreIsWhatItWas checks that a planner with one core decides and encodes as before planners could use several: a
// scenario of joins, reports, drains, restarts, suspected servers and broken streams must give the same messages, byte for
// byte.
func TestOneCoreIsWhatItWas(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64: other processors may fuse a multiplication and an addition")
	}
	const proxies, servers, rounds = 24, 40, 600
	rng := rand.New(rand.NewPCG(16, 7))
	classes := []rules.Class{{Name: "view", LatencyTarget: 1000, Deadline: 4000, Value: 1},
		{Name: "post", LatencyTarget: 500, Deadline: 2000, Value: 5, Effect: rules.Keyed}, {Name: "pay", LatencyTarget: 500, Deadline: 1500, Value: 2, Effect: rules.Unsafe}}
	set := settings.Settings{ZoneNames: []string{"n", "s", "w"}, KindNames: []string{"m"}, Rules: rules.Settings{Instances: 1,
		Zones: 3, Proxies: proxies, Classes: classes, Probes: true, ReportPeriod: 1000, QueueLines: 3600, LinesPerSec: 2400, MessageCost: 3,
		MaxMessages: 20, MessageWindow: 10000, DrainGrace: 2000, MaxTimeWithoutServer: 2500, WarmupTime: 10000, StartCapacity: 0.2, OverloadFactor: 2.5,
		OverloadTime: 3000, MinConnections: 200, LocalFirst: true, RetryDefault: rules.RetryIfNotRun}}
	entry := func(i int, phase string, since float64) protocol.Member {
		return protocol.Member{ID: fmt.Sprint("s-", i), Address: "h", Zone: set.ZoneNames[i%3], Kind: "m", Phase: phase, Weight: 1, StartedAt: since}
	}
	known := protocol.List{Revision: 1, Complete: true}
	for i := range servers {
		known.Members = append(known.Members, entry(i, protocol.PhaseUp, 0))
	}
	calls, sum, now := &callLog{}, sha256.New(), 1e6
	r := New(set, rules.New(set.Rules, 9), calls, known, zerolog.Nop())
	peers, id := make([]*digestPeer, proxies), uint64(0)
	revision := int64(1)
	change := func(m protocol.Member) {
		revision++
		r.Handle(ListReceived{Call: 1, List: protocol.List{Revision: revision, Members: []protocol.Member{m}}})
	}
	for round := range rounds {
		now += 100
		for p := range peers {
			if peers[p] == nil && round >= p || peers[p] != nil && rng.IntN(900) == 0 { // joins, or reconnects with a newer stream
				id++
				peers[p] = &digestPeer{peer: peer{id: id}, digest: sum}
				r.Handle(MessageReceived{peers[p], protocol.Attach{Proxy: p, Zone: set.ZoneNames[p%3], Rate: 1 + float64(p*p%17)}})
			}
			for d := peers[p]; d != nil && len(d.tokens) > 0 && rng.IntN(3) > 0; d.tokens = d.tokens[1:] {
				r.Handle(MessageReceived{d, protocol.Ack{Proxy: p, Token: d.tokens[0], Elapsed: 50}})
			}
			if peers[p] != nil && (round+p)%10 == 0 {
				for _, c := range classes {
					r.Handle(MessageReceived{peers[p], protocol.UsageReport{Proxy: p, Class: c.Name, Requests: float64(rng.IntN(30)), Period: 1000}})
				}
			}
		}
		for i := range servers {
			if (round+i)%10 == 0 {
				tries, mean := float64(5+rng.IntN(20)), 60+40*rng.Float64()+float64(i%7)*20
				failed := 0.0
				if i == 11 && round > 200 && round < 260 { // doesn't respond for six seconds
					failed = tries
				}
				if round > 400 && round < 460 { // all slow
					mean *= 12
				}
				r.Handle(MessageReceived{&peer{}, protocol.ServerReport{Zone: set.ZoneNames[rng.IntN(3)], Server: fmt.Sprint("s-", i), Attempts: tries,
					Failed: failed, Latency: mean, Period: 1000}})
			}
		}
		switch i := round / 10 % servers; {
		case round%50 == 10:
			change(entry(i, protocol.PhaseDraining, 0))
		case round%50 == 30:
			change(entry(i-2, protocol.PhaseRemoved, 0))
		case round%50 == 45:
			change(entry(i-3, protocol.PhaseUp, now-100))
		}
		for _, s := range r.names.servers {
			if s.probing {
				r.Handle(Probed{Server: r.names.ids[s.name], OK: round%3 > 0})
			}
		}
		if _, _, err := r.Advance(now); err != nil {
			t.Fatal(err)
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != recordedDigest {
		t.Errorf("digest of the messages %s, want %s", got, recordedDigest)
	}
}
