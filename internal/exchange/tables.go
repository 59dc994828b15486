package exchange

import (
	"cmp"
	"slices"
	"time"

	"mulleinwood/internal/dialplan"
	"mulleinwood/internal/directory"
	"mulleinwood/internal/trunk"
	"mulleinwood/rules"
)

// tables lets the decision module decide the weights: one controller a service, fed with the directory, the
// configuration and what this planner's edges report. What it orders goes to the edges merged, and the next changes
// wait for their answers.
type tables struct {
	x        *Exchange
	zones    []string
	services map[string]*table
	nextLook time.Duration
}

type table struct {
	service  string
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
	channelWide   = 1e6    // lines: an exchange's links to its edges bound nothing
	warmupLongest = 30000.0
	tableLook     = 250 * time.Millisecond
)

func newTables(x *Exchange) *tables {
	t := &tables{x: x, services: map[string]*table{}}
	for z := range x.set.Zones {
		t.zones = append(t.zones, z)
	}
	if len(t.zones) == 0 {
		t.zones = []string{x.set.Zone}
	}
	slices.Sort(t.zones)
	return t
}

func (t *tables) zone(name string) int { return max(0, slices.Index(t.zones, name)) }

// of finds a service's table, or makes it.
func (t *tables) of(service string) *table {
	s := t.services[service]
	if s != nil {
		return s
	}
	aim, deadline := 1000.0, 5000.0
	if c := t.x.state.Config; c != nil {
		for _, r := range c.Routes {
			for _, share := range r.Shares() {
				if share.Service == service && r.Setpoint > 0 {
					aim, deadline = r.Setpoint*1000, r.Deadline*1000
				}
			}
		}
	}
	s = &table{service: service, ids: map[string]rules.ServerID{}, names: map[rules.ServerID]string{}, edges: map[string]rules.ProxyID{},
		ips: map[rules.ProxyID]string{}, weights: map[string]map[string]float64{}, factors: map[string]float64{}}
	s.control = rules.New(rules.Settings{Instances: max(1, len(t.x.members)), Zone: t.zone(t.x.set.Zone), Zones: len(t.zones), Proxies: 1,
		Classes: []rules.Class{{Name: service, Aim: aim, Deadline: deadline, Worth: 1}}, Admission: rules.AdmitNone, RetryDefault: rules.RetryNever,
		ReportPeriod: reportPeriod, QueueLines: channelWide, LinesPerSec: channelWide, HeadLines: 1,
		ColdFor: warmupLongest, StartCapacity: 0.5, FallMultiple: 100}, t.x.life)
	t.services[service] = s
	for _, e := range t.x.edges {
		s.join(t, e)
	}
	return s
}

func (s *table) join(t *tables, p *peer) {
	id, ok := s.edges[p.ip]
	if !ok {
		s.nextEdge++
		id = s.nextEdge
		s.edges[p.ip], s.ips[id] = id, p.ip
	}
	s.weights[p.ip] = map[string]float64{}
	s.events = append(s.events, rules.Joined{Proxy: id, Zone: t.zone(p.zone), Rate: 10, Fresh: true})
}

func (t *tables) join(p *peer) {
	for _, s := range t.services {
		s.join(t, p)
	}
}

func (t *tables) leave(p *peer) {
	for _, s := range t.services {
		if id, ok := s.edges[p.ip]; ok {
			s.events = append(s.events, rules.Left{Proxy: id})
			delete(s.weights, p.ip)
		}
	}
}

// changed takes news of servers.
func (t *tables) changed(news []directory.Entry) {
	now := t.x.now()
	for _, e := range news {
		if e.Service == "" {
			continue
		}
		s := t.of(e.Service)
		id, ok := s.ids[e.ID]
		if !ok {
			if e.State == directory.Gone {
				continue
			}
			s.nextID++
			id = s.nextID
			s.ids[e.ID], s.names[id] = id, e.ID
		}
		state := rules.Ready
		switch {
		case e.State == directory.Gone || e.Silent:
			state = rules.Gone
		case e.State == directory.Draining:
			state = rules.Draining
		}
		started := 0.0
		if e.Warmup > 0 { // it is warm when the module's span is over
			started = max(1, float64(now.Milliseconds())-warmupLongest+e.Warmup*1000)
		}
		s.events = append(s.events, rules.List{Kind: rules.ListChanges, Servers: []rules.Server{{ID: id, Weight: float64(e.Capacity),
			Zone: t.zone(e.Zone), State: state, StartedAt: started}}})
		if e.State == directory.Gone {
			s.events = append(s.events, rules.Forgotten{Server: id})
			delete(s.ids, e.ID)
			delete(s.names, id)
		}
	}
}

// configured follows a new configuration: services that it doesn't know any more are forgotten.
func (t *tables) configured() {
	for name := range t.services {
		if !slices.ContainsFunc(t.x.state.Config.Services, func(s *dialplan.Service) bool { return s.Name == name }) {
			delete(t.services, name)
		}
	}
}

// report takes what an edge saw.
func (t *tables) report(p *peer, r *trunk.Report) {
	period := max(1, r.Period*1000)
	for _, m := range r.Met {
		e, known := t.x.dir.Get(m.Server)
		if !known {
			continue
		}
		s := t.of(e.Service)
		id, ok := s.ids[m.Server]
		if !ok {
			continue
		}
		latency := 0.0
		if n := m.Tries - min(m.Tries, m.Failed); n > 0 {
			latency = m.Time / float64(n) * 1000
		}
		s.events = append(s.events, rules.Heard{Zone: t.zone(p.zone), Server: id, Tries: float64(m.Tries), Failed: float64(m.Failed), Latency: latency, Period: period})
	}
	for _, a := range r.Asked {
		s := t.of(a.Service)
		if id, ok := s.edges[p.ip]; ok {
			s.events = append(s.events, rules.Demand{Proxy: id, Requests: float64(a.Requests), Unanswered: float64(a.Failed), Period: period})
		}
	}
	for _, token := range r.Applied {
		s := t.services[t.serviceOf(token)]
		if s == nil {
			continue
		}
		if id, ok := s.edges[p.ip]; ok {
			s.events = append(s.events, rules.Ack{Proxy: id, Token: token & 0xffff})
		}
	}
}

// Tokens to an edge carry the service's place in the sorted list above the module's own.
func (t *tables) names() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (t *tables) serviceOf(token uint32) string {
	if names := t.names(); int(token>>16) < len(names) {
		return names[token>>16]
	}
	return ""
}

// mine is what this planner's edges bring, by service and zone.
func (t *tables) mine() (all []trunk.Zoned) {
	for _, name := range t.names() {
		own, _ := t.services[name].control.Mine()
		for z, rate := range own.Usual {
			if rate > 0.05 {
				all = append(all, trunk.Zoned{Service: name, Zone: t.zones[z], Rate: float64(int(rate*10)) / 10})
			}
		}
	}
	return all
}

// tick lets the controllers look, and sends the edges what they order.
func (t *tables) tick(now time.Duration) {
	if now < t.nextLook {
		return
	}
	t.nextLook = now + tableLook
	orders := map[string]*trunk.Weights{}
	for i, name := range t.names() {
		s := t.services[name]
		part := rules.Part{Channel: 1, Usual: make([]float64, len(t.zones)), Demands: []float64{0}}
		for _, p := range t.x.peers {
			part.Joined += float64(p.fleet)
			for _, u := range p.usual {
				if u.Service == name {
					part.Usual[t.zone(u.Zone)] += u.Rate
					part.Demands[0] += u.Rate
				}
			}
		}
		s.events = append(s.events, part)
		actions := s.control.Step(float64(now.Milliseconds())+1, s.events)
		s.events = s.events[:0]
		s.follow(t, actions, uint32(i)<<16, orders)
	}
	for ip, w := range orders {
		if e := t.x.edges[ip]; e != nil {
			slices.SortFunc(w.Lines, func(a, b trunk.Weight) int { return cmp.Compare(a.Server, b.Server) })
			e.link.Send(&trunk.Frame{Weights: w})
		}
	}
}

// follow turns a controller's actions into what edges are sent.
func (s *table) follow(t *tables, actions []rules.Action, mark uint32, orders map[string]*trunk.Weights) {
	touched := map[string]bool{}
	to := func(id rules.ProxyID) *trunk.Weights {
		ip := s.ips[id]
		touched[ip] = true
		if orders[ip] == nil {
			orders[ip] = &trunk.Weights{}
		}
		return orders[ip]
	}
	for _, a := range actions {
		switch a := a.(type) {
		case rules.SetWeight:
			w, name := to(rules.ProxyID(a.Table)), s.names[a.Server]
			if name != "" {
				w.Lines = append(w.Lines, trunk.Weight{Server: name, Weight: a.Weight})
				if held := s.weights[s.ips[rules.ProxyID(a.Table)]]; held != nil {
					held[name] = a.Weight
				}
			}
		case rules.Bind: // the whole table: what is not in it is out
			ip := s.ips[a.Proxy]
			w := to(a.Proxy)
			for name, weight := range s.weights[ip] {
				if weight > 0 && !slices.ContainsFunc(w.Lines, func(l trunk.Weight) bool { return l.Server == name }) {
					w.Lines = append(w.Lines, trunk.Weight{Server: name, Weight: weight})
				}
			}
		case rules.Mark:
			for ip := range touched {
				orders[ip].Marks = append(orders[ip].Marks, mark|a.Token)
			}
		case rules.Log:
			_ = t.x.logger.Log("event", "table", "service", s.service, "note", a.Text)
		}
	}
}

// weight is what some edge was last sent for a server.
func (t *tables) weight(server string) float64 {
	for _, s := range t.services {
		for _, held := range s.weights {
			if w, ok := held[server]; ok && w > 0 {
				return w
			}
		}
	}
	return 0
}
