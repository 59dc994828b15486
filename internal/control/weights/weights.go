// Package weights decides in what shares each edge's requests go to a service's servers: one controller of the decision
// module (rules) a service, fed with the registry, the configuration and what the edges of one controller process report.
// What it orders goes to the edges merged, and the next changes wait for their answers. It is a value fed with events;
// time is handed in.
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

// Tables are all services' tables, for the edges whose controller one planner is.
type Tables struct {
	zone          string
	zones         []string
	seed          uint64
	instances     func() int
	logNote       func(service, note string)
	config        *config.Config
	edges         map[string]string // zones, by edge
	servers       map[string]registry.Entry
	services      map[string]*table
	tablesCreated uint64 // services so far
	nextDecision  time.Duration
}

// PeerTraffic are what the edges of the other planners bring.
type PeerTraffic struct {
	Edges         int
	TrafficByZone []peer.ZoneTraffic
}

type table struct {
	service     string
	tokenPrefix uint64 // above the module's own tokens: whose they are
	controller  *rules.Controller
	ids         map[string]rules.ServerID
	names       map[rules.ServerID]string
	nextID      rules.ServerID
	edges       map[string]rules.ProxyID // by IP
	ips         map[rules.ProxyID]string
	nextEdge    rules.ProxyID
	events      []rules.Event
	weights     map[string]map[string]float64 // by edge, what was ordered
	factors     map[string]float64
}

const (
	reportPeriod     = 1000.0 // milliseconds, between an edge's reports
	unlimitedChannel = 1e6    // lines: a controller's links to its edges bound nothing
	maxWarmupMillis  = 30000.0
	decideInterval   = 250 * time.Millisecond
)

// New makes the tables of a planner in a zone. Instances is how many planners there are, as known when a service is met.
func New(zone string, zones []string, seed uint64, instances func() int, logNote func(service, note string)) *Tables {
	t := &Tables{zone: zone, zones: slices.Sorted(slices.Values(zones)), seed: seed, instances: instances, logNote: logNote,
		edges: map[string]string{}, servers: map[string]registry.Entry{}, services: map[string]*table{}}
	if len(t.zones) == 0 {
		t.zones = []string{zone}
	}
	return t
}

func (t *Tables) zoneIndex(zone string) int { return max(0, slices.Index(t.zones, zone)) }

// tableFor finds a service's table, or makes it.
func (t *Tables) tableFor(service string) *table {
	s := t.services[service]
	if s != nil {
		return s
	}
	latencyTarget, deadline := 1000.0, 5000.0
	if c := t.config; c != nil {
		for _, r := range c.Routes {
			for _, share := range r.Shares() {
				if share.Service == service && r.LatencyTarget > 0 {
					latencyTarget, deadline = r.LatencyTarget*1000, r.Deadline*1000
				}
			}
		}
	}
	t.tablesCreated++
	s = &table{service: service, tokenPrefix: t.tablesCreated << tokenPrefixShift, ids: map[string]rules.ServerID{}, names: map[rules.ServerID]string{}, edges: map[string]rules.ProxyID{},
		ips: map[rules.ProxyID]string{}, weights: map[string]map[string]float64{}, factors: map[string]float64{}}
	s.controller = rules.New(rules.Settings{Instances: max(1, t.instances()), Zone: t.zoneIndex(t.zone), Zones: len(t.zones), Proxies: 1,
		Classes: []rules.Class{{Name: service, Aim: latencyTarget, Deadline: deadline, Worth: 1}}, Admission: rules.AdmitNone, RetryDefault: rules.RetryNever,
		ReportPeriod: reportPeriod, QueueLines: unlimitedChannel, LinesPerSec: unlimitedChannel, HeadLines: 1,
		ColdFor: maxWarmupMillis, StartCapacity: 0.5, FallMultiple: 100}, t.seed)
	t.services[service] = s
	for _, edge := range slices.Sorted(maps.Keys(t.edges)) {
		s.join(t, edge)
	}
	for _, id := range slices.Sorted(maps.Keys(t.servers)) { // of a service that was forgotten and is back
		if e := t.servers[id]; e.Service == service {
			s.updateServer(t, e, 0)
		}
	}
	return s
}

func (s *table) join(t *Tables, edge string) {
	id, ok := s.edges[edge]
	if !ok {
		s.nextEdge++
		id = s.nextEdge
		s.edges[edge], s.ips[id] = id, edge
	}
	if s.weights[edge] == nil { // the module knows what it ordered for an edge that was here before
		s.weights[edge] = map[string]float64{}
	}
	s.events = append(s.events, rules.Joined{Proxy: id, Zone: t.zoneIndex(t.edges[edge]), Rate: 10, Fresh: true})
}

// Join takes an edge in. It holds no table yet.
func (t *Tables) Join(edge, zone string) {
	t.edges[edge] = zone
	for _, s := range t.services {
		s.join(t, edge)
	}
}

// Leave drops an edge.
func (t *Tables) Leave(edge string) {
	delete(t.edges, edge)
	for _, s := range t.services {
		if id, ok := s.edges[edge]; ok {
			s.events = append(s.events, rules.Left{Proxy: id})
		}
	}
}

// UpdateServers takes news of servers.
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

func (s *table) updateServer(t *Tables, e registry.Entry, now time.Duration) {
	id, ok := s.ids[e.ID]
	if !ok {
		if e.Ended() {
			return
		}
		s.nextID++
		id = s.nextID
		s.ids[e.ID], s.names[id] = id, e.ID
	}
	state := rules.Ready
	switch {
	case e.Ended() || e.TimedOut:
		state = rules.Gone
	case e.State == registry.Draining:
		state = rules.Draining
	}
	started := 0.0
	if e.WarmupLeft > 0 { // it is warm when the module's span is over
		started = max(1, float64(now.Milliseconds())-maxWarmupMillis+e.WarmupLeft*1000)
	}
	s.events = append(s.events, rules.List{Kind: rules.ListChanges, Servers: []rules.Server{{ID: id, Weight: float64(e.Capacity),
		Zone: t.zoneIndex(e.Zone), State: state, StartedAt: started}}})
	if e.Ended() {
		s.events = append(s.events, rules.Forgotten{Server: id})
		delete(s.ids, e.ID)
		delete(s.names, id)
		for _, ordered := range s.weights {
			delete(ordered, e.ID)
		}
	}
}

// SetConfig follows a new configuration: services that it doesn't know any more are forgotten.
func (t *Tables) SetConfig(c *config.Config) {
	t.config = c
	for name := range t.services {
		if !slices.ContainsFunc(c.Services, func(s *config.Service) bool { return s.Name == name }) {
			delete(t.services, name)
		}
	}
}

// HandleReport takes what an edge saw. Service names the service of a server that is known.
func (t *Tables) HandleReport(edge string, r *peer.Report, service func(server string) (string, bool)) {
	period := max(1, r.Period*1000)
	for _, m := range r.Servers {
		name, known := service(m.Server)
		if !known {
			continue
		}
		s := t.tableFor(name)
		id, ok := s.ids[m.Server]
		if !ok {
			continue
		}
		latency := 0.0
		if n := m.Attempts - min(m.Attempts, m.Failed); n > 0 {
			latency = m.TotalTime / float64(n) * 1000
		}
		s.events = append(s.events, rules.Heard{Zone: t.zoneIndex(t.edges[edge]), Server: id, Tries: float64(m.Attempts), Failed: float64(m.Failed), Latency: latency, Period: period})
	}
	for _, a := range r.Services {
		s := t.tableFor(a.Service)
		if id, ok := s.edges[edge]; ok {
			s.events = append(s.events, rules.Demand{Proxy: id, Requests: float64(a.Requests), Unanswered: float64(a.Failed), Period: period})
		}
	}
	for _, token := range r.Applied {
		for _, s := range t.services {
			if id, ok := s.edges[edge]; ok && s.tokenPrefix == token&^tokenMask {
				s.events = append(s.events, rules.Ack{Proxy: id, Token: uint32(token & tokenMask)})
			}
		}
	}
}

// Tokens to an edge carry the table's number above the module's own: one that is answered after its table was forgotten is
// nobody's.
const (
	tokenPrefixShift = 32
	tokenMask        = 1<<tokenPrefixShift - 1
)

func (t *Tables) names() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// OwnTraffic is what this planner's edges bring, by service and zone.
func (t *Tables) OwnTraffic() (all []peer.ZoneTraffic) {
	for _, name := range t.names() {
		own, _ := t.services[name].controller.Mine()
		for z, rate := range own.Usual {
			if rate > 0.05 {
				all = append(all, peer.ZoneTraffic{Service: name, Zone: t.zones[z], Rate: float64(int(rate*10)) / 10})
			}
		}
	}
	return all
}

// Tick lets the controllers look, if it is time, and gives what they order, by edge. Others are told by those who know them.
func (t *Tables) Tick(now time.Duration, peers func() []PeerTraffic) map[string]*peer.Weights {
	if now < t.nextDecision {
		return nil
	}
	elsewhere := peers()
	t.nextDecision = now + decideInterval
	orders := map[string]*peer.Weights{}
	for _, name := range t.names() {
		s := t.services[name]
		share := rules.Part{Channel: 1, Usual: make([]float64, len(t.zones)), Demands: []float64{0}}
		for _, p := range elsewhere {
			share.Joined += float64(p.Edges)
			for _, u := range p.TrafficByZone {
				if u.Service == name {
					share.Usual[t.zoneIndex(u.Zone)] += u.Rate
					share.Demands[0] += u.Rate
				}
			}
		}
		s.events = append(s.events, share)
		actions := s.controller.Step(float64(now.Milliseconds())+1, s.events)
		s.events = s.events[:0]
		s.collectOrders(t, actions, orders)
	}
	for _, w := range orders {
		slices.SortFunc(w.Changed, func(a, b peer.Weight) int { return cmp.Compare(a.Server, b.Server) })
	}
	return orders
}

// collectOrders turns a controller's actions into what edges are sent.
func (s *table) collectOrders(t *Tables, actions []rules.Action, orders map[string]*peer.Weights) {
	touched := map[string]bool{}
	to := func(id rules.ProxyID) *peer.Weights {
		ip := s.ips[id]
		touched[ip] = true
		if orders[ip] == nil {
			orders[ip] = &peer.Weights{}
		}
		return orders[ip]
	}
	for _, a := range actions {
		switch a := a.(type) {
		case rules.SetWeight:
			w, name := to(rules.ProxyID(a.Table)), s.names[a.Server]
			if name != "" {
				w.Changed = append(w.Changed, peer.Weight{Server: name, Weight: a.Weight})
				ordered := s.weights[s.ips[rules.ProxyID(a.Table)]]
				if ordered[name] = a.Weight; a.Weight <= 0 {
					delete(ordered, name)
				}
			}
		case rules.Bind: // the whole table: what is not in it is out
			ip := s.ips[a.Proxy]
			w := to(a.Proxy)
			w.Replaced = append(w.Replaced, s.service)
			for name, weight := range s.weights[ip] {
				if weight > 0 && !slices.ContainsFunc(w.Changed, func(l peer.Weight) bool { return l.Server == name }) {
					w.Changed = append(w.Changed, peer.Weight{Server: name, Weight: weight})
				}
			}
		case rules.Mark:
			for ip := range touched {
				orders[ip].Tokens = append(orders[ip].Tokens, s.tokenPrefix|uint64(a.Token))
			}
		case rules.Log:
			t.logNote(s.service, a.Text)
		}
	}
}

// OrderedWeights is the table of a service as it was ordered for an edge. It stays the tables'.
func (t *Tables) OrderedWeights(edge, service string) map[string]float64 {
	if s := t.services[service]; s != nil {
		return s.weights[edge]
	}
	return nil
}

// Weight is what some edge was last sent for a server.
func (t *Tables) Weight(server string) float64 {
	for _, s := range t.services {
		for _, ordered := range s.weights {
			if w, ok := ordered[server]; ok && w > 0 {
				return w
			}
		}
	}
	return 0
}
