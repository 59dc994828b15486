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
	"mulleinwood/internal/platform/peer"
	"mulleinwood/rules"
)

// Tables are all services' tables, for the edges whose controller one planner is.
type Tables struct {
	zone      string
	zones     []string
	seed      uint64
	instances func() int
	log       func(service, note string)
	config    *config.Config
	edges     map[string]string // zones, by edge
	servers   map[string]registry.Entry
	services  map[string]*table
	met       uint64 // services so far
	nextLook  time.Duration
}

// Others are what the edges of the other planners bring.
type Others struct {
	Edges int
	Usual []peer.Zoned
}

type table struct {
	service  string
	mark     uint64 // above the module's own tokens: whose they are
	control  *rules.Controller
	ids      map[string]rules.ServerID
	names    map[rules.ServerID]string
	nextID   rules.ServerID
	edges    map[string]rules.ProxyID // by IP
	ips      map[rules.ProxyID]string
	nextEdge rules.ProxyID
	events   []rules.Event
	weights  map[string]map[string]float64 // by edge, what was ordered
	factors  map[string]float64
}

const (
	reportPeriod  = 1000.0 // milliseconds, between an edge's reports
	channelWide   = 1e6    // lines: a controller's links to its edges bound nothing
	warmupLongest = 30000.0
	tableLook     = 250 * time.Millisecond
)

// New makes the tables of a planner in a zone. Instances is how many planners there are, as known when a service is met.
func New(zone string, zones []string, seed uint64, instances func() int, log func(service, note string)) *Tables {
	t := &Tables{zone: zone, zones: slices.Sorted(slices.Values(zones)), seed: seed, instances: instances, log: log,
		edges: map[string]string{}, servers: map[string]registry.Entry{}, services: map[string]*table{}}
	if len(t.zones) == 0 {
		t.zones = []string{zone}
	}
	return t
}

func (t *Tables) at(zone string) int { return max(0, slices.Index(t.zones, zone)) }

// of finds a service's table, or makes it.
func (t *Tables) of(service string) *table {
	s := t.services[service]
	if s != nil {
		return s
	}
	aim, deadline := 1000.0, 5000.0
	if c := t.config; c != nil {
		for _, r := range c.Routes {
			for _, share := range r.Shares() {
				if share.Service == service && r.Setpoint > 0 {
					aim, deadline = r.Setpoint*1000, r.Deadline*1000
				}
			}
		}
	}
	t.met++
	s = &table{service: service, mark: t.met << markShift, ids: map[string]rules.ServerID{}, names: map[rules.ServerID]string{}, edges: map[string]rules.ProxyID{},
		ips: map[rules.ProxyID]string{}, weights: map[string]map[string]float64{}, factors: map[string]float64{}}
	s.control = rules.New(rules.Settings{Instances: max(1, t.instances()), Zone: t.at(t.zone), Zones: len(t.zones), Proxies: 1,
		Classes: []rules.Class{{Name: service, Aim: aim, Deadline: deadline, Worth: 1}}, Admission: rules.AdmitNone, RetryDefault: rules.RetryNever,
		ReportPeriod: reportPeriod, QueueLines: channelWide, LinesPerSec: channelWide, HeadLines: 1,
		ColdFor: warmupLongest, StartCapacity: 0.5, FallMultiple: 100}, t.seed)
	t.services[service] = s
	for _, edge := range slices.Sorted(maps.Keys(t.edges)) {
		s.join(t, edge)
	}
	for _, id := range slices.Sorted(maps.Keys(t.servers)) { // of a service that was forgotten and is back
		if e := t.servers[id]; e.Service == service {
			s.changed(t, e, 0)
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
	s.events = append(s.events, rules.Joined{Proxy: id, Zone: t.at(t.edges[edge]), Rate: 10, Fresh: true})
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

// Changed takes news of servers.
func (t *Tables) Changed(news []registry.Entry, now time.Duration) {
	for _, e := range news {
		if e.Service == "" {
			continue
		}
		s := t.of(e.Service)
		if t.servers[e.ID] = e; e.Ended() {
			delete(t.servers, e.ID)
		}
		s.changed(t, e, now)
	}
}

func (s *table) changed(t *Tables, e registry.Entry, now time.Duration) {
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
	case e.Ended() || e.Silent:
		state = rules.Gone
	case e.State == registry.Draining:
		state = rules.Draining
	}
	started := 0.0
	if e.Warmup > 0 { // it is warm when the module's span is over
		started = max(1, float64(now.Milliseconds())-warmupLongest+e.Warmup*1000)
	}
	s.events = append(s.events, rules.List{Kind: rules.ListChanges, Servers: []rules.Server{{ID: id, Weight: float64(e.Capacity),
		Zone: t.at(e.Zone), State: state, StartedAt: started}}})
	if e.Ended() {
		s.events = append(s.events, rules.Forgotten{Server: id})
		delete(s.ids, e.ID)
		delete(s.names, id)
		for _, held := range s.weights {
			delete(held, e.ID)
		}
	}
}

// Configured follows a new configuration: services that it doesn't know any more are forgotten.
func (t *Tables) Configured(c *config.Config) {
	t.config = c
	for name := range t.services {
		if !slices.ContainsFunc(c.Services, func(s *config.Service) bool { return s.Name == name }) {
			delete(t.services, name)
		}
	}
}

// Report takes what an edge saw. Service names the service of a server that is known.
func (t *Tables) Report(edge string, r *peer.Report, service func(server string) (string, bool)) {
	period := max(1, r.Period*1000)
	for _, m := range r.Met {
		name, known := service(m.Server)
		if !known {
			continue
		}
		s := t.of(name)
		id, ok := s.ids[m.Server]
		if !ok {
			continue
		}
		latency := 0.0
		if n := m.Tries - min(m.Tries, m.Failed); n > 0 {
			latency = m.Time / float64(n) * 1000
		}
		s.events = append(s.events, rules.Heard{Zone: t.at(t.edges[edge]), Server: id, Tries: float64(m.Tries), Failed: float64(m.Failed), Latency: latency, Period: period})
	}
	for _, a := range r.Asked {
		s := t.of(a.Service)
		if id, ok := s.edges[edge]; ok {
			s.events = append(s.events, rules.Demand{Proxy: id, Requests: float64(a.Requests), Unanswered: float64(a.Failed), Period: period})
		}
	}
	for _, token := range r.Applied {
		for _, s := range t.services {
			if id, ok := s.edges[edge]; ok && s.mark == token&^tokenMask {
				s.events = append(s.events, rules.Ack{Proxy: id, Token: uint32(token & tokenMask)})
			}
		}
	}
}

// Tokens to an edge carry the table's number above the module's own: one that is answered after its table was forgotten is
// nobody's.
const (
	markShift = 32
	tokenMask = 1<<markShift - 1
)

func (t *Tables) names() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Mine is what this planner's edges bring, by service and zone.
func (t *Tables) Mine() (all []peer.Zoned) {
	for _, name := range t.names() {
		own, _ := t.services[name].control.Mine()
		for z, rate := range own.Usual {
			if rate > 0.05 {
				all = append(all, peer.Zoned{Service: name, Zone: t.zones[z], Rate: float64(int(rate*10)) / 10})
			}
		}
	}
	return all
}

// Tick lets the controllers look, if it is time, and gives what they order, by edge. Others are told by those who know them.
func (t *Tables) Tick(now time.Duration, others func() []Others) map[string]*peer.Weights {
	if now < t.nextLook {
		return nil
	}
	elsewhere := others()
	t.nextLook = now + tableLook
	orders := map[string]*peer.Weights{}
	for _, name := range t.names() {
		s := t.services[name]
		part := rules.Part{Channel: 1, Usual: make([]float64, len(t.zones)), Demands: []float64{0}}
		for _, p := range elsewhere {
			part.Joined += float64(p.Edges)
			for _, u := range p.Usual {
				if u.Service == name {
					part.Usual[t.at(u.Zone)] += u.Rate
					part.Demands[0] += u.Rate
				}
			}
		}
		s.events = append(s.events, part)
		actions := s.control.Step(float64(now.Milliseconds())+1, s.events)
		s.events = s.events[:0]
		s.follow(t, actions, orders)
	}
	for _, w := range orders {
		slices.SortFunc(w.Lines, func(a, b peer.Weight) int { return cmp.Compare(a.Server, b.Server) })
	}
	return orders
}

// follow turns a controller's actions into what edges are sent.
func (s *table) follow(t *Tables, actions []rules.Action, orders map[string]*peer.Weights) {
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
				w.Lines = append(w.Lines, peer.Weight{Server: name, Weight: a.Weight})
				held := s.weights[s.ips[rules.ProxyID(a.Table)]]
				if held[name] = a.Weight; a.Weight <= 0 {
					delete(held, name)
				}
			}
		case rules.Bind: // the whole table: what is not in it is out
			ip := s.ips[a.Proxy]
			w := to(a.Proxy)
			w.Whole = append(w.Whole, s.service)
			for name, weight := range s.weights[ip] {
				if weight > 0 && !slices.ContainsFunc(w.Lines, func(l peer.Weight) bool { return l.Server == name }) {
					w.Lines = append(w.Lines, peer.Weight{Server: name, Weight: weight})
				}
			}
		case rules.Mark:
			for ip := range touched {
				orders[ip].Marks = append(orders[ip].Marks, s.mark|uint64(a.Token))
			}
		case rules.Log:
			t.log(s.service, a.Text)
		}
	}
}

// Ordered is the table of a service as it was ordered for an edge. It stays the tables'.
func (t *Tables) Ordered(edge, service string) map[string]float64 {
	if s := t.services[service]; s != nil {
		return s.weights[edge]
	}
	return nil
}

// Weight is what some edge was last sent for a server.
func (t *Tables) Weight(server string) float64 {
	for _, s := range t.services {
		for _, held := range s.weights {
			if w, ok := held[server]; ok && w > 0 {
				return w
			}
		}
	}
	return 0
}
