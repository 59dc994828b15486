package rules

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestPriorityQueueAgainstSearch compares the queue with a linear search over random sets, and counts the comparisons.
func TestPriorityQueueAgainstSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for _, n := range []int{1, 7, 64, 1000} {
		compared := 0
		before := func(a, b *server) bool { compared++; return lessAssigned(a, b) }
		var r priorityQueue[*server]
		var all []*server
		r.reset(before)
		for i := range n {
			s := &server{Server: Server{ID: ServerID(i)}, assignedRate: float64(rng.IntN(9)),
				targetRate: 1 + rng.Float64()}
			all = append(all, s)
			r.add(s)
		}
		compared = 0
		for range n {
			known := map[*server]bool{}
			for range rng.IntN(4) {
				known[all[rng.IntN(n)]] = true
			}
			got, found := r.first(func(s *server) bool { return known[s] })
			rest := slices.DeleteFunc(slices.Clone(all), func(s *server) bool { return known[s] })
			if found != (len(rest) > 0) || found && got != slices.MinFunc(rest, func(a, b *server) int {
				if lessAssigned(a, b) {
					return -1
				}
				return 1
			}) {
				t.Fatalf("%d servers: found %v, %t", n, got, found)
			}
			if found {
				got.assignedRate += rng.Float64()
				r.fixFirst()
			}
			r.restore()
		}
		if n == 1000 && compared > n*100 {
			t.Errorf("%d comparisons for %d lines of %d servers", compared, n, n)
		}
	}
}

// BenchmarkSizes measures the most expensive decisions as proxies and servers grow together: all proxies join at once, and
// six in ten servers are replaced.
func BenchmarkSizes(b *testing.B) {
	for _, n := range []int{1, 2, 4, 8, 16} {
		servers, set := manyServers(100*n, 3), largeSettings(240*n)
		set.QueueLines, set.LinesPerSec = 28*float64(set.Proxies), 6*float64(set.Proxies)
		removed, added := []Event(nil), List{Kind: ListChanges}
		for i, s := range servers[:60*n] {
			added.Servers = append(added.Servers, ready(ServerID(100000+i), s.Zone))
		}
		removed = append(removed, List{Kind: ListFull, Servers: servers[60*n:]})
		runDecision := func(name string, joined bool, prepare, measured []Event) {
			b.Run(fmt.Sprintf("%s/%dx%d", name, set.Proxies, len(servers)), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					c, now := New(set, 1), 1000.0
					c.Step(now, []Event{List{Kind: ListCached, Servers: servers}})
					if joined {
						c.Step(now+decisionInterval, manyProxies(set.Proxies, 3))
					}
					c.Step(now+2*decisionInterval, prepare)
					b.StartTimer()
					c.Step(now+3*decisionInterval, measured)
				}
			})
		}
		runDecision("join", false, nil, manyProxies(set.Proxies, 3))
		runDecision("leave", true, nil, removed)
		runDecision("come", true, removed, []Event{added})
	}
}
