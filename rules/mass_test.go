package rules

import "testing"

// replaced is a fleet of 60 servers, 36 of which start while the others answer late and fail half of their tries. Its 240
// proxies have rate requests a second each.
func replaced(t *testing.T, rate float64) *fleet {
	t.Helper()
	set := largeSettings(240)
	servers := manyServers(60, set.Zones)
	f := newFleet(t, set, servers...)
	var joins []Event
	for i := range set.Proxies {
		joins = append(joins, Joined{Proxy: ProxyID(i), Zone: i % set.Zones, Rate: rate, Fresh: true})
	}
	f.after(100, joins...)
	meets := func(failed, latency float64) {
		events := f.acks()
		for _, s := range servers {
			events = append(events, heard(s.ID, s.Zone, 10, failed, latency))
		}
		for i := range set.Proxies {
			events = append(events, Demand{Proxy: ProxyID(i), Requests: rate, Period: 1000})
		}
		f.after(1000, events...)
	}
	for range 8 {
		meets(0, 100)
	}
	for i := range servers[:36] {
		servers[i].StartedAt = f.now
	}
	f.step(List{Kind: ListFull, Servers: servers})
	for range 4 {
		meets(5, 900)
	}
	if f.c.pressure <= collapse {
		t.Fatalf("pressure %v is no collapse", f.c.pressure)
	}
	return f
}

// Six in ten servers were replaced within seconds. All successors were held out as cold until they were warm by the
// settings, 18 s, and the others collapsed under what all had carried. A proxy with a request in two seconds over nine
// lines never meets enough failures at one server to avoid it, so nothing runs to the cold ones but what tables send.
func TestReplacedFleetIsNotHeldOut(t *testing.T) {
	f := replaced(t, 0.4)
	kept, cold := 0, 0.0
	for _, s := range f.c.servers {
		if s.kept {
			kept++
		}
		if f.c.present(s) < 1 {
			cold += s.share
			if most := coldSafety * f.c.set.FallMultiple * f.c.present(s) / 60; s.share > most+1e-9 {
				t.Errorf("cold server %d gets a share of %.4f, over its budget of %.4f", s.ID, s.share, most)
			}
		}
	}
	if kept > 0 || cold < 0.1 {
		t.Errorf("%d servers are held out, and the cold ones get %.2f of the traffic", kept, cold)
	}
	f = replaced(t, 40) // here a proxy meets a server often enough to avoid it
	for _, s := range f.c.servers {
		if f.c.present(s) < 1 && !s.kept {
			t.Fatalf("cold server %d is let in though proxies avoid those that fail them", s.ID)
		}
	}
}
