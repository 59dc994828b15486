// Package picker picks a server for each request at an edge: it knows the upstreams to servers, how full and how sound each is
// thought to be. It is a value fed with events; time and chance are handed in. Its owner keeps the connections and holds a
// lock around it.
package picker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	loadReportDecay  = 300 * time.Millisecond // of a server's word on its load
	minSuspicion     = 500 * time.Millisecond
	maxSuspicion     = 4 * time.Second
	recentResponse   = 2 * time.Second // an answer that lately is worth more than beats that stopped
	lastResortWeight = 0.01            // weight of a server in doubt or far away, where nothing better is left
	maxTableLoad     = 1.5             // of its slots, up to which a server of the table takes more
)

// Upstream leads to one life of a server.
type Upstream struct {
	ID, Service, Zone string
	Capacity          int
	Attachment        any // what the owner keeps with it

	ownSlots            int  // of its slots, those that are dealt to this edge
	timedOut            bool // its beats stopped
	removed             bool
	weight              float64
	hasWeight           bool
	inFlight            int     // requests that are out from here
	othersLoad          float64 // requests of others, by the server's last word
	loadReportedAt      time.Duration
	consecutiveFailures int
	suspectUntil        time.Duration // in doubt
	lastResponse        time.Duration // last answer
	stats               Stats
}

// Stats counts what was met at an upstream.
type Stats struct {
	Attempts, Failed uint32
	TotalTime        float64 // seconds, over all answers
}

// Removed tells whether the upstream's server is leaving or gone: nothing new may be sent.
func (u *Upstream) Removed() bool { return u.removed }

// HasWeight tells whether any table spoke of the upstream.
func (u *Upstream) HasWeight() bool { return u.hasWeight }

// InFlight is how many requests are out on the upstream.
func (u *Upstream) InFlight() int { return u.inFlight }

// Picker holds the upstreams of one edge.
type Picker struct {
	zone       string
	random     func() float64 // from 0 to 1
	upstreams  map[string]*Upstream
	services   map[string][]*Upstream // by id
	candidates []candidate            // kept between picks
	zoneEdges  []uint32               // edges of the zone
	self       uint32
}

type candidate struct {
	upstream *Upstream
	weight   float64
	load     float64
}

// New makes a picker for an edge of a zone.
func New(zone string, random func() float64) *Picker {
	return &Picker{zone: zone, random: random, upstreams: map[string]*Upstream{}, services: map[string][]*Upstream{}}
}

// Add takes a new upstream in.
func (p *Picker) Add(u *Upstream) {
	u.weight, u.Capacity = 1, max(1, u.Capacity)
	p.assignSlotsOf(u)
	p.upstreams[u.ID] = u
	all := p.services[u.Service]
	at, _ := slices.BinarySearchFunc(all, u, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	p.services[u.Service] = slices.Insert(slices.Clip(all), at, u)
}

// AssignSlots takes the edges of the zone, this one among them, and deals the slots of the zone's servers to them: by rendezvous
// hashing, so that all edges come to the same without a word, and few slots change hands when an edge comes or goes.
func (p *Picker) AssignSlots(zoneEdges []uint32, self uint32) {
	p.zoneEdges, p.self = zoneEdges, self
	for _, u := range p.upstreams {
		p.assignSlotsOf(u)
	}
}

func (p *Picker) assignSlotsOf(u *Upstream) {
	if u.ownSlots = 0; u.Zone != p.zone || !slices.Contains(p.zoneEdges, p.self) {
		return
	}
	mine, rank := score(u.ID, p.self), 0
	for _, e := range p.zoneEdges {
		if s := score(u.ID, e); s > mine || s == mine && e > p.self {
			rank++
		}
	}
	u.ownSlots = u.Capacity / len(p.zoneEdges)
	if rank < u.Capacity%len(p.zoneEdges) {
		u.ownSlots++
	}
}

func score(server string, edge uint32) uint64 { return xxh3.HashStringSeed(server, uint64(edge)) }

// OwnSlots is how many slots of a service are this edge's.
func (p *Picker) OwnSlots(service string) (slots int) {
	for _, u := range p.services[service] {
		slots += u.ownSlots
	}
	return slots
}

// Get finds an upstream by its server's id.
func (p *Picker) Get(id string) *Upstream { return p.upstreams[id] }

// Len is how many upstreams there are.
func (p *Picker) Len() int { return len(p.upstreams) }

// Serves tells whether any upstream leads to a service.
func (p *Picker) Serves(service string) bool { return len(p.services[service]) > 0 }

// All gives the upstreams in no order.
func (p *Picker) All() []*Upstream {
	all := make([]*Upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		all = append(all, u)
	}
	return all
}

// Remove takes an upstream out: its server is leaving or gone. What is out on it goes on.
func (p *Picker) Remove(id string) *Upstream {
	u := p.upstreams[id]
	if u == nil {
		return nil
	}
	u.removed = true
	delete(p.upstreams, id)
	if p.services[u.Service] = slices.DeleteFunc(p.services[u.Service], func(o *Upstream) bool { return o == u }); len(p.services[u.Service]) == 0 {
		delete(p.services, u.Service)
	}
	return u
}

// SetTimedOut notes whether a server's beats stopped.
func (p *Picker) SetTimedOut(id string, timedOut bool) {
	if u := p.upstreams[id]; u != nil {
		u.timedOut = timedOut
	}
}

// SetWeight takes a changed upstream of the tables.
func (p *Picker) SetWeight(id string, weight float64) {
	if u := p.upstreams[id]; u != nil {
		u.weight, u.hasWeight = weight, true
	}
}

// ClearWeights forgets a service's table: the upstreams of another one follow. Those that it doesn't name are as on the first day,
// since on a large site a table names a part of the servers.
func (p *Picker) ClearWeights(service string) {
	for _, u := range p.services[service] {
		u.weight, u.hasWeight = 1, false
	}
}

// load is how full the server is thought to be.
func (u *Upstream) load(now time.Duration) float64 {
	others := u.othersLoad * math.Exp(-float64(now-u.loadReportedAt)/float64(loadReportDecay))
	return (float64(u.inFlight) + others) / float64(u.Capacity)
}

// available tells whether the upstream takes another request now.
func (u *Upstream) available(now time.Duration) bool {
	return u.inFlight < u.Capacity && now >= u.suspectUntil && !(u.timedOut && now-u.lastResponse > recentResponse)
}

// The passes of a pick: each looks further than the one before.
const (
	ownSlots      = iota // slots that are this edge's: nobody else comes there while there is room
	tableInZone          // by the table, at home while there is room, since to cross zones has a price
	tableAnyZone         // by the table, wherever
	spareCapacity        // room elsewhere
	lastResort           // nothing better is left: those in doubt, too, and some that are full
	passes
)

// eligible tells whether an upstream is for a round, and with what weight.
func (p *Picker) eligible(u *Upstream, pass int, now time.Duration, load float64) (weight float64, ok bool) {
	inZone := u.Zone == p.zone
	switch pass {
	case ownSlots:
		return u.weight, u.inFlight < u.ownSlots && u.available(now) && (!u.hasWeight || u.weight > 0) && load < 1
	case tableInZone:
		return u.weight, inZone && u.available(now) && (!u.hasWeight || u.weight > 0) && load < 1
	case tableAnyZone:
		return u.weight, u.available(now) && (u.hasWeight && u.weight > 0 || !u.hasWeight && inZone) && load < maxTableLoad
	case spareCapacity:
		return 1, u.available(now) && load < 1
	default:
		if !inZone || now < u.suspectUntil {
			return lastResortWeight, u.inFlight < 2*u.Capacity
		}
		return 1, u.inFlight < 2*u.Capacity
	}
}

// Pick chooses an upstream and books a place on it. The tables say in what shares; of two drawn so, the less loaded one is
// taken. Where the table's servers have no room, others may help out. It gives nil where nobody has room.
func (p *Picker) Pick(service string, excluded func(*Upstream) bool, now time.Duration) *Upstream {
	all := p.services[service]
	for pass := range passes {
		p.candidates = p.candidates[:0]
		totalWeight := 0.0
		for _, u := range all {
			if excluded(u) {
				continue
			}
			load := u.load(now)
			if weight, ok := p.eligible(u, pass, now, load); ok {
				p.candidates = append(p.candidates, candidate{u, weight, load})
				totalWeight += weight
			}
		}
		if len(p.candidates) == 0 {
			continue
		}
		a, b := p.draw(totalWeight), p.draw(totalWeight)
		if b.load < a.load {
			a = b
		}
		p.Reserve(a.upstream)
		return a.upstream
	}
	return nil
}

// Reserve takes a place on an upstream, for one who chose it otherwise.
func (p *Picker) Reserve(u *Upstream) { u.inFlight++ }

// Lines are those to a service, by id. They stay the picker's.
func (p *Picker) Upstreams(service string) []*Upstream { return p.services[service] }

func (p *Picker) draw(totalWeight float64) candidate {
	at := p.random() * totalWeight
	for _, c := range p.candidates {
		if at -= c.weight; at < 0 {
			return c
		}
	}
	return p.candidates[len(p.candidates)-1]
}

// ReportLoad takes a server's word on its load.
func (p *Picker) ReportLoad(u *Upstream, running, waiting float64, now time.Duration) {
	u.othersLoad, u.loadReportedAt = max(0, running+waiting-float64(u.inFlight)), now
}

// Release gives a booked place back and counts how it went: whether the request arrived at the server, and whether the
// server answered it well.
func (p *Picker) Release(u *Upstream, took time.Duration, arrived, succeeded bool, now time.Duration) {
	u.inFlight--
	if succeeded {
		u.consecutiveFailures, u.suspectUntil, u.lastResponse = 0, 0, now
		u.stats.TotalTime += took.Seconds()
		u.stats.Attempts++
		return
	}
	if arrived {
		u.stats.Attempts++
		u.stats.Failed++
	}
	u.consecutiveFailures++
	if u.consecutiveFailures >= 2 || !arrived {
		u.suspectUntil = now + min(maxSuspicion, minSuspicion<<min(4, u.consecutiveFailures-1))
	}
}

// TakeStats hands out what was met on an upstream since it was last asked.
func (p *Picker) TakeStats(u *Upstream) Stats {
	m := u.stats
	u.stats = Stats{}
	return m
}
