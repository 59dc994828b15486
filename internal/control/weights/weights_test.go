package weights_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/peer"
)

const step = 250 * time.Millisecond

// planner plays the tables' owner: it passes orders on to edges that answer at once, and asks as edges do.
type planner struct {
	*weights.Tables
	now  time.Duration
	held map[string]map[string]float64
	of   map[string]string
}

func newPlanner() *planner {
	p := &planner{held: map[string]map[string]float64{}, of: map[string]string{}}
	p.Tables = weights.New("a", []string{"a", "b"}, 1, func() int { return 3 }, func(string, string) {})
	return p
}

func (p *planner) server(service string, n int, state registry.State) {
	id := fmt.Sprint(service, "-", n)
	p.of[id] = service
	p.UpdateServers([]registry.Entry{{ID: id, Service: service, Address: id, Zone: "a", Capacity: 2, State: state}}, p.now)
}

// runs lets time pass; each second edges say what they met, by the latency of each server.
func (p *planner) runs(span time.Duration, latency func(server string) float64) {
	for end := p.now + span; p.now < end; p.now += step {
		if p.now%time.Second == 0 {
			for edge := range p.held {
				r := &peer.Report{Period: 1, Services: []peer.ServiceStats{{Service: "tags", Requests: 40}}}
				for id := range p.of {
					if s := latency(id); s > 0 {
						r.Servers = append(r.Servers, peer.ServerStats{Server: id, Attempts: 10, TotalTime: 10 * s})
					}
				}
				p.HandleReport(edge, r, func(id string) (string, bool) { s, ok := p.of[id]; return s, ok })
			}
		}
		for edge, w := range p.Tick(p.now, func() []weights.PeerTraffic { return nil }) {
			for _, service := range w.Replaced {
				for id := range p.held[edge] {
					if p.of[id] == service {
						delete(p.held[edge], id)
					}
				}
			}
			for _, l := range w.Changed {
				p.held[edge][l.Server] = l.Weight
			}
			p.HandleReport(edge, &peer.Report{Applied: w.Tokens}, func(string) (string, bool) { return "", false })
		}
	}
}

func (p *planner) join(edge string) {
	p.held[edge] = map[string]float64{}
	p.Join(edge, "a")
}

func even(string) float64 { return 0.1 }

func TestWeightsFollowWhatServersShow(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner()
	for n := range 4 {
		p.server("tags", n, registry.Ready)
	}
	p.join("e-1")
	p.runs(5*time.Second, even)
	g.Expect(p.held["e-1"]).To(HaveLen(4))
	p.runs(60*time.Second, func(id string) float64 {
		if id == "tags-3" {
			return 0.4
		}
		return 0.1
	})
	g.Expect(p.held["e-1"]["tags-3"]).To(BeNumerically("<", 0.8*p.held["e-1"]["tags-0"]))
	p.server("tags", 0, registry.Draining)
	p.runs(time.Second, even)
	g.Expect(p.held["e-1"]["tags-0"]).To(BeZero(), "it leaves, and is out of the table")
}

// An edge whose process or link ended comes back to its controller: the whole table follows, without what is gone.
func TestAnEdgeThatComesBackGetsItsTable(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner()
	for n := range 3 {
		p.server("tags", n, registry.Ready)
	}
	p.join("e-1")
	p.runs(5*time.Second, even)
	p.Leave("e-1")
	p.server("tags", 2, registry.Removed)
	p.runs(time.Second, even)
	p.join("e-1")
	p.runs(time.Second, even)
	g.Expect(p.held["e-1"]).To(HaveLen(2))
	p.server("tags", 3, registry.Ready)
	p.runs(5*time.Second, even)
	g.Expect(p.held["e-1"]).To(HaveKey("tags-3"))
}

// A configuration drops a service and a later one has it again, while its servers were there all the time: nothing is news
// to the registry, and the tables have to know them all the same.
func TestAServiceThatComesBackHasItsServers(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner()
	for n := range 3 {
		p.server("tags", n, registry.Ready)
	}
	p.join("e-1")
	p.runs(5*time.Second, even)
	p.SetConfig(&config.Config{})
	p.runs(time.Second, even)
	p.SetConfig(&config.Config{Services: []*config.Service{{Name: "tags"}}})
	p.held["e-1"] = map[string]float64{}
	p.Leave("e-1")
	p.join("e-1")
	p.runs(3*time.Second, even)
	g.Expect(p.held["e-1"]).To(HaveLen(3))
}
