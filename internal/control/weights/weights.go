// Package weights computes the weights by which each edge distributes requests over a service's servers. For each service it
// runs one controller of the decision module (package rules). Its inputs are the registry of servers, the configuration and
// the reports of the edges that are attached to one gateway controller. Its orders are merged into one message per edge, and
// further changes wait for the acknowledgements. Tables does no I/O and takes the time as a parameter.
package weights

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/peer"
	"mulleinwood/rules"
)

// Tables holds the weight tables of all services, for the edges that are attached to one controller. It is not safe for
// concurrent use.
type Tables struct {
	zone      string
	zones     []string // sorted
	seed      uint64
	instances func() int
	logNote   func(service, note string)

	config        *config.Config            // nil before the first configuration
	edges         map[string]string         // zone by edge
	servers       map[string]registry.Entry // servers that have not ended, by id
	services      map[string]*serviceTable
	tablesCreated uint64
	nextDecision  time.Duration
}

// PeerTraffic is the traffic of the edges that are attached to another controller.
type PeerTraffic struct {
	Edges         int
	TrafficByZone []peer.ZoneTraffic
}

// serviceTable is the weight table of one service. The decision module identifies servers and edges by numbers.
type serviceTable struct {
	service     string
	tokenPrefix uint64
	controller  *rules.Controller
	events      []rules.Event // pending for the next step of the module

	serverIDs    map[string]rules.ServerID
	serverNames  map[rules.ServerID]string
	lastServerID rules.ServerID
	edgeIDs      map[string]rules.ProxyID // by IP
	edgeIPs      map[rules.ProxyID]string
	lastEdgeID   rules.ProxyID
	assigned     map[string]map[string]float64 // last assigned weight by edge and server
}

const (
	reportPeriod     = 1000.0  // milliseconds between two reports of an edge
	unlimitedChannel = 1e6     // lines a second: links from a controller to its edges are not a bottleneck
	maxWarmupMillis  = 30000.0 // longest time for which the module treats a server as cold
	decisionInterval = 250 * time.Millisecond
	minTrafficRate   = 0.05 // requests a second; less traffic isn't reported to peers

	// Values for services without a route that sets them, in milliseconds.
	defaultLatencyTarget = 1000.0
	defaultDeadline      = 5000.0
	// initialEdgeRate is the assumed traffic of an edge before its first report, in requests a second.
	initialEdgeRate = 10
)

// New returns the tables of a controller in a zone. Instances returns the number of controllers that decide independently,
// and is called once per service table; logNote is called with the log lines of the module.
func New(zone string, zones []string, seed uint64, instances func() int, logNote func(service, note string)) *Tables {
	t := &Tables{zone: zone, zones: slices.Sorted(slices.Values(zones)), seed: seed, instances: instances, logNote: logNote,
		edges: map[string]string{}, servers: map[string]registry.Entry{}, services: map[string]*serviceTable{}}
	if len(t.zones) == 0 {
		t.zones = []string{zone}
	}
	return t
}

func (t *Tables) zoneIndex(zone string) int { return max(0, slices.Index(t.zones, zone)) }

// tableFor returns a service's table and creates it if necessary.
func (t *Tables) tableFor(service string) *serviceTable {
	if s := t.services[service]; s != nil {
		return s
	}
	t.tablesCreated++
	s := &serviceTable{service: service, tokenPrefix: t.tablesCreated << tokenPrefixShift,
		controller: rules.New(t.moduleSettings(service), t.seed),
		serverIDs:  map[string]rules.ServerID{}, serverNames: map[rules.ServerID]string{},
		edgeIDs: map[string]rules.ProxyID{}, edgeIPs: map[rules.ProxyID]string{}, assigned: map[string]map[string]float64{}}
	t.services[service] = s
	for _, edge := range slices.Sorted(maps.Keys(t.edges)) {
		s.join(t, edge)
	}
	for _, id := range slices.Sorted(maps.Keys(t.servers)) { // the service may have been dropped and added again
		if e := t.servers[id]; e.Service == service {
			s.updateServer(t, e, 0)
		}
	}
	return s
}

func (t *Tables) moduleSettings(service string) rules.Settings {
	latencyTarget, deadline := t.targets(service)
	return rules.Settings{Instances: max(1, t.instances()), Zone: t.zoneIndex(t.zone), Zones: len(t.zones), Proxies: 1,
		Classes:   []rules.Class{{Name: service, LatencyTarget: latencyTarget, Deadline: deadline, Value: 1}},
		Admission: rules.AdmitNone, RetryDefault: rules.RetryNever, ReportPeriod: reportPeriod,
		QueueLines: unlimitedChannel, LinesPerSec: unlimitedChannel, MessageCost: 1,
		WarmupTime: maxWarmupMillis, StartCapacity: 0.5, OverloadFactor: 100}
}

// targets returns the latency target and the deadline of the last route to a service, in milliseconds.
func (t *Tables) targets(service string) (latencyTarget, deadline float64) {
	latencyTarget, deadline = defaultLatencyTarget, defaultDeadline
	if t.config == nil {
		return latencyTarget, deadline
	}
	for _, r := range t.config.Routes {
		for _, target := range r.Shares() {
			if target.Service == service && r.LatencyTarget > 0 {
				latencyTarget, deadline = r.LatencyTarget*1000, r.Deadline*1000
			}
		}
	}
	return latencyTarget, deadline
}

func (s *serviceTable) join(t *Tables, edge string) {
	id, known := s.edgeIDs[edge]
	if !known {
		s.lastEdgeID++
		id = s.lastEdgeID
		s.edgeIDs[edge], s.edgeIPs[id] = id, edge
	}
	if s.assigned[edge] == nil { // the module keeps the assigned weights of an edge that rejoins
		s.assigned[edge] = map[string]float64{}
	}
	s.events = append(s.events, rules.Joined{Proxy: id, Zone: t.zoneIndex(t.edges[edge]), Rate: initialEdgeRate, Fresh: true})
}

// Join adds an edge, identified by its IP address, that has no table yet.
func (t *Tables) Join(edge, zone string) {
	t.edges[edge] = zone
	for _, s := range t.services {
		s.join(t, edge)
	}
}

// Leave removes an edge.
func (t *Tables) Leave(edge string) {
	delete(t.edges, edge)
	for _, s := range t.services {
		if id, ok := s.edgeIDs[edge]; ok {
			s.events = append(s.events, rules.Left{Proxy: id})
		}
	}
}

// UpdateServers applies changed entries of the registry.
func (t *Tables) UpdateServers(updates []registry.Entry, now time.Duration) {
	for _, e := range updates {
		if e.Service == "" {
			continue
		}
		s := t.tableFor(e.Service)
		if t.servers[e.ID] = e; e.Ended() {
			delete(t.servers, e.ID)
		}
		s.updateServer(t, e, now)
	}
}

func (s *serviceTable) updateServer(t *Tables, e registry.Entry, now time.Duration) {
	id, known := s.serverIDs[e.ID]
	if !known {
		if e.Ended() {
			return
		}
		s.lastServerID++
		id = s.lastServerID
		s.serverIDs[e.ID], s.serverNames[id] = id, e.ID
	}
	s.events = append(s.events, rules.List{Kind: rules.ListChanges, Servers: []rules.Server{{ID: id, Weight: float64(e.Capacity),
		Zone: t.zoneIndex(e.Zone), State: moduleState(e), StartedAt: moduleStart(e, now)}}})
	if e.Ended() {
		s.forgetServer(e.ID, id)
	}
}

// moduleState returns an entry's state for the decision module. A server that timed out gets no requests until its next
// heartbeat.
func moduleState(e registry.Entry) rules.State {
	switch {
	case e.Ended() || e.TimedOut:
		return rules.Removed
	case e.State == registry.Draining:
		return rules.Draining
	}
	return rules.Ready
}

// moduleStart returns the start time of a server for the module, in milliseconds, chosen such that the warm-up ends when the
// server reported; 0: it is warm.
func moduleStart(e registry.Entry, now time.Duration) float64 {
	if e.WarmupLeft <= 0 {
		return 0
	}
	return max(1, float64(now.Milliseconds())-maxWarmupMillis+e.WarmupLeft*1000)
}

func (s *serviceTable) forgetServer(name string, id rules.ServerID) {
	s.events = append(s.events, rules.Forgotten{Server: id})
	delete(s.serverIDs, name)
	delete(s.serverNames, id)
	for _, assigned := range s.assigned {
		delete(assigned, name)
	}
}

// SetConfig applies a new configuration and drops the tables of services that it doesn't contain.
func (t *Tables) SetConfig(c *config.Config) {
	t.config = c
	for name := range t.services {
		if !slices.ContainsFunc(c.Services, func(s *config.Service) bool { return s.Name == name }) {
			delete(t.services, name)
		}
	}
}

// HandleReport applies a report of an edge. ServiceOf returns the service of a server, and whether the server is known.
func (t *Tables) HandleReport(edge string, r *peer.Report, serviceOf func(server string) (service string, known bool)) {
	period := max(1, r.Period*1000)
	for _, stats := range r.Servers {
		if service, known := serviceOf(stats.Server); known {
			t.tableFor(service).handleServerStats(t.zoneIndex(t.edges[edge]), stats, period)
		}
	}
	for _, stats := range r.Services {
		s := t.tableFor(stats.Service)
		if id, ok := s.edgeIDs[edge]; ok {
			s.events = append(s.events, rules.Demand{Proxy: id, Requests: float64(stats.Requests),
				Unanswered: float64(stats.Failed),
				Period:     period})
		}
	}
	for _, token := range r.Applied {
		t.handleApplied(edge, token)
	}
}

func (s *serviceTable) handleServerStats(zone int, stats peer.ServerStats, period float64) {
	id, known := s.serverIDs[stats.Server]
	if !known {
		return
	}
	latency := 0.0 // milliseconds
	if succeeded := stats.Attempts - min(stats.Attempts, stats.Failed); succeeded > 0 {
		latency = stats.TotalTime / float64(succeeded) * 1000
	}
	s.events = append(s.events, rules.Heard{Zone: zone, Server: id, Attempts: float64(stats.Attempts),
		Failed: float64(stats.Failed), Latency: latency, Period: period})
}

// handleApplied passes an edge's acknowledgement of a token to the table that issued it.
func (t *Tables) handleApplied(edge string, token uint64) {
	for _, s := range t.services {
		if id, ok := s.edgeIDs[edge]; ok && s.tokenPrefix == token&^tokenMask {
			s.events = append(s.events, rules.Ack{Proxy: id, Token: uint32(token & tokenMask)})
		}
	}
}

// Tokens to an edge contain the table's number in the bits above the module's own token, so that a token of a dropped table
// matches no other table.
const (
	tokenPrefixShift = 32
	tokenMask        = 1<<tokenPrefixShift - 1
)

func (t *Tables) serviceNames() []string { return slices.Sorted(maps.Keys(t.services)) }

// OwnTraffic returns the traffic of the edges of this controller by service and zone, in requests a second rounded down to a
// tenth.
func (t *Tables) OwnTraffic() (all []peer.ZoneTraffic) {
	for _, name := range t.serviceNames() {
		own, _ := t.services[name].controller.OwnLoad()
		for zone, rate := range own.TypicalRates {
			if rate > minTrafficRate {
				all = append(all, peer.ZoneTraffic{Service: name, Zone: t.zones[zone], Rate: float64(int(rate*10)) / 10})
			}
		}
	}
	return all
}

// Tick runs the module's decisions every decisionInterval and returns the resulting weights by edge; nil: none are due. Peers
// returns the traffic of the other controllers' edges.
func (t *Tables) Tick(now time.Duration, peers func() []PeerTraffic) map[string]*peer.Weights {
	if now < t.nextDecision {
		return nil
	}
	t.nextDecision = now + decisionInterval
	remote := peers()
	u := &updates{byEdge: map[string]*peer.Weights{}}
	for _, name := range t.serviceNames() {
		s := t.services[name]
		s.events = append(s.events, t.remoteTraffic(name, remote))
		actions := s.controller.Step(float64(now.Milliseconds())+1, s.events)
		s.events = s.events[:0]
		u.collect(t, s, actions)
	}
	for _, w := range u.byEdge {
		slices.SortFunc(w.Changed, func(a, b peer.Weight) int { return cmp.Compare(a.Server, b.Server) })
	}
	return u.byEdge
}

// remoteTraffic returns the traffic of the other controllers' edges for a service.
func (t *Tables) remoteTraffic(service string, peers []PeerTraffic) rules.Part {
	part := rules.Part{ChannelShare: 1, TypicalRates: make([]float64, len(t.zones)), Demands: []float64{0}}
	for _, p := range peers {
		part.JoinedProxies += float64(p.Edges)
		for _, traffic := range p.TrafficByZone {
			if traffic.Service == service {
				part.TypicalRates[t.zoneIndex(traffic.Zone)] += traffic.Rate
				part.Demands[0] += traffic.Rate
			}
		}
	}
	return part
}

// updates collects the messages to the edges after a decision.
type updates struct {
	byEdge       map[string]*peer.Weights
	changedEdges map[string]bool // edges with changes of the table that is being collected
}

func (u *updates) forEdge(edge string) *peer.Weights {
	u.changedEdges[edge] = true
	if u.byEdge[edge] == nil {
		u.byEdge[edge] = &peer.Weights{}
	}
	return u.byEdge[edge]
}

// collect adds the module's actions for one service to the messages.
func (u *updates) collect(t *Tables, s *serviceTable, actions []rules.Action) {
	u.changedEdges = map[string]bool{}
	for _, action := range actions {
		switch action := action.(type) {
		case rules.SetWeight:
			u.setWeight(s, s.edgeIPs[rules.ProxyID(action.Table)], s.serverNames[action.Server], action.Weight)
		case rules.Bind:
			u.replaceTable(s, s.edgeIPs[action.Proxy])
		case rules.Mark:
			for edge := range u.changedEdges {
				u.byEdge[edge].Tokens = append(u.byEdge[edge].Tokens, s.tokenPrefix|uint64(action.Token))
			}
		case rules.Log:
			t.logNote(s.service, action.Text)
		}
	}
}

func (u *updates) setWeight(s *serviceTable, edge, server string, weight float64) {
	w := u.forEdge(edge)
	if server == "" {
		return // the server has ended
	}
	w.Changed = append(w.Changed, peer.Weight{Server: server, Weight: weight})
	assigned := s.assigned[edge]
	if assigned[server] = weight; weight <= 0 {
		delete(assigned, server)
	}
}

// replaceTable adds the complete table; it replaces all weights that the edge has for the service.
func (u *updates) replaceTable(s *serviceTable, edge string) {
	w := u.forEdge(edge)
	w.Replaced = append(w.Replaced, s.service)
	for server, weight := range s.assigned[edge] {
		if weight > 0 && !slices.ContainsFunc(w.Changed, func(l peer.Weight) bool { return l.Server == server }) {
			w.Changed = append(w.Changed, peer.Weight{Server: server, Weight: weight})
		}
	}
}

// WeightsFor returns the last assigned weights of a service's servers for an edge. The map must not be changed.
func (t *Tables) WeightsFor(edge, service string) map[string]float64 {
	if s := t.services[service]; s != nil {
		return s.assigned[edge]
	}
	return nil
}

// Weight returns a weight above 0 that was last assigned to a server for any edge; 0: none.
func (t *Tables) Weight(server string) float64 {
	for _, s := range t.services {
		for _, assigned := range s.assigned {
			if w, ok := assigned[server]; ok && w > 0 {
				return w
			}
		}
	}
	return 0
}
