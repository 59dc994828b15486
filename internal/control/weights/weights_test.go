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

// harness drives the tables: it delivers updates to edges that acknowledge at once, and sends the edges' reports.
type harness struct {
	*weights.Tables
	now       time.Duration
	sent      map[string]map[string]float64
	serviceOf map[string]string
}

func newHarness() *harness {
	h := &harness{sent: map[string]map[string]float64{}, serviceOf: map[string]string{}}
	h.Tables = weights.New("a", []string{"a", "b"}, 1, func() int { return 3 }, func(string, string) {})
	return h
}

func (h *harness) updateServer(service string, n int, state registry.State) {
	id := fmt.Sprint(service, "-", n)
	h.serviceOf[id] = service
	h.UpdateServers([]registry.Entry{{ID: id, Service: service, Address: id, Zone: "a", Capacity: 2, State: state}}, h.now)
}

// run advances the time by span; every second each edge reports attempts with the latency, in seconds, of each server.
func (h *harness) run(duration time.Duration, latency func(server string) float64) {
	for end := h.now + duration; h.now < end; h.now += step {
		if h.now%time.Second == 0 {
			for edge := range h.sent {
				r := &peer.Report{Period: 1, Services: []peer.ServiceStats{{Service: "tags", Requests: 40}}}
				for id := range h.serviceOf {
					if s := latency(id); s > 0 {
						r.Servers = append(r.Servers, peer.ServerStats{Server: id, Attempts: 10, TotalTime: 10 * s})
					}
				}
				h.HandleReport(edge, r, func(id string) (string, bool) { s, ok := h.serviceOf[id]; return s, ok })
			}
		}
		for edge, w := range h.Tick(h.now, func() []weights.PeerTraffic { return nil }) {
			for _, service := range w.Replaced {
				for id := range h.sent[edge] {
					if h.serviceOf[id] == service {
						delete(h.sent[edge], id)
					}
				}
			}
			for _, weight := range w.Changed {
				h.sent[edge][weight.Server] = weight.Weight
			}
			h.HandleReport(edge, &peer.Report{Applied: w.Tokens}, func(string) (string, bool) { return "", false })
		}
	}
}

func (h *harness) join(edge string) {
	h.sent[edge] = map[string]float64{}
	h.Join(edge, "a")
}

func evenLatency(string) float64 { return 0.1 }

func TestWeightsFollowServerLatency(t *testing.T) {
	g := NewWithT(t)
	h := newHarness()
	for n := range 4 {
		h.updateServer("tags", n, registry.Ready)
	}
	h.join("e-1")
	h.run(5*time.Second, evenLatency)
	g.Expect(h.sent["e-1"]).To(HaveLen(4))
	h.run(60*time.Second, func(id string) float64 {
		if id == "tags-3" {
			return 0.4
		}
		return 0.1
	})
	g.Expect(h.sent["e-1"]["tags-3"]).To(BeNumerically("<", 0.8*h.sent["e-1"]["tags-0"]))
	h.updateServer("tags", 0, registry.Draining)
	h.run(time.Second, evenLatency)
	g.Expect(h.sent["e-1"]["tags-0"]).To(BeZero(), "a draining server is removed from the table")
}

// An edge whose process or link ended attaches again: it gets the whole table, without the servers that were removed.
func TestReattachedEdgeGetsTheWholeTable(t *testing.T) {
	g := NewWithT(t)
	h := newHarness()
	for n := range 3 {
		h.updateServer("tags", n, registry.Ready)
	}
	h.join("e-1")
	h.run(5*time.Second, evenLatency)
	h.Leave("e-1")
	h.updateServer("tags", 2, registry.Removed)
	h.run(time.Second, evenLatency)
	h.join("e-1")
	h.run(time.Second, evenLatency)
	g.Expect(h.sent["e-1"]).To(HaveLen(2))
	h.updateServer("tags", 3, registry.Ready)
	h.run(5*time.Second, evenLatency)
	g.Expect(h.sent["e-1"]).To(HaveKey("tags-3"))
}

// A configuration drops a service and a later one adds it again, while its servers stay registered: the registry sends no
// changes, so the tables must add the servers themselves.
func TestRestoredServiceHasItsServers(t *testing.T) {
	g := NewWithT(t)
	h := newHarness()
	for n := range 3 {
		h.updateServer("tags", n, registry.Ready)
	}
	h.join("e-1")
	h.run(5*time.Second, evenLatency)
	h.SetConfig(&config.Config{})
	h.run(time.Second, evenLatency)
	h.SetConfig(&config.Config{Services: []*config.Service{{Name: "tags"}}})
	h.sent["e-1"] = map[string]float64{}
	h.Leave("e-1")
	h.join("e-1")
	h.run(3*time.Second, evenLatency)
	g.Expect(h.sent["e-1"]).To(HaveLen(3))
}
