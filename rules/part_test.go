package rules

import (
	"math"
	"testing"
)

// sharedPlanner runs controllers that share one planner: proxy p is joined to controller p mod n. Like a host, it passes
// each controller the traffic of the others.
type sharedPlanner struct {
	t      *testing.T
	fleets []*fleet
}

func newSharedPlanner(t *testing.T, n int, set Settings, servers ...Server) *sharedPlanner {
	s := &sharedPlanner{t: t}
	for range n {
		s.fleets = append(s.fleets, newFleet(t, set, servers...))
	}
	for p := range set.Proxies {
		s.fleets[p%n].step(Joined{Proxy: ProxyID(p), Zone: p / n % set.Zones, Rate: 20})
	}
	return s
}

func (s *sharedPlanner) exchangeParts() {
	for i, f := range s.fleets {
		part := Part{ChannelShare: 1 / float64(len(s.fleets))}
		for j, other := range s.fleets {
			if own, _ := other.c.OwnLoad(); i != j {
				part = part.plus(own)
			}
		}
		f.step(part)
	}
}

func (p Part) plus(o Part) Part {
	p.JoinedProxies += o.JoinedProxies
	p.TypicalRates = sumByIndex(p.TypicalRates, o.TypicalRates)
	p.Demands = sumByIndex(p.Demands, o.Demands)
	return p
}

func sumByIndex(a, b []float64) []float64 {
	sum := make([]float64, max(len(a), len(b)))
	for i := range sum {
		if i < len(a) {
			sum[i] += a[i]
		}
		if i < len(b) {
			sum[i] += b[i]
		}
	}
	return sum
}

// TestLevelsOfSeveralCoresMatchASingleController guards against controllers that each compare the work of their own proxies
// with the throughput of the whole fleet: together they would admit a multiple of it.
func TestLevelsOfSeveralCoresMatchASingleController(t *testing.T) {
	set := settings()
	set.Proxies = 8
	levels := func(n int) []float64 {
		s := newSharedPlanner(t, n, set, fourServers()...)
		for look := range 40 {
			for i, f := range s.fleets {
				var events []Event
				// the servers answer 200 requests a second, with a high latency after the tenth decision
				for id := range ServerID(4) {
					latency := 100.0
					if look > 10 {
						latency = 1500
					}
					events = append(events, heard(id+1, int(id)/2, 50, 0, latency))
				}
				for p := i; p < set.Proxies; p += n {
					for k := range set.Classes {
						events = append(events, Demand{Proxy: ProxyID(p), Class: k, Requests: 25,
							Period: 1000})
					}
				}
				f.advance(1000, events...)
			}
			s.exchangeParts()
		}
		return s.fleets[n-1].c.admissionLevels()
	}
	alone, together := levels(1), levels(4)
	if alone[0] > 0.9 {
		t.Fatalf("levels %v: no overload", alone)
	}
	for k := range alone {
		if math.Abs(alone[k]-together[k]) > 0.03 {
			t.Errorf("class %d: level %.3f with four controllers, %.3f with one", k, together[k], alone[k])
		}
	}
}

// TestCoreKeepsToItsChannelShare guards against controllers that each fill the planner's whole channel.
func TestCoreKeepsToItsChannelShare(t *testing.T) {
	set := largeSettings(600)
	f := newFleet(t, set, manyServers(200, 3)...)
	f.step(append([]Event{Part{ChannelShare: 0.25}}, manyProxies(600, 3)...)...)
	if _, waiting := f.c.OwnLoad(); waiting == 0 || waiting > 0.25*set.QueueLines {
		t.Errorf("%v lines wait, want at most a quarter of %v", waiting, set.QueueLines)
	}
}
