// Package picker picks a server for each request at an edge: it knows the upstreams, how full and how sound each is thought
// to be, and the weights that the controllers ordered. It is a value fed with events; time and randomness are handed in. Its
// owner keeps the connections and holds a lock around it.
//
// A pick goes through passes, each of which considers more upstreams than the one before (see pass). Within a pass two
// candidates are drawn by weight and the less loaded one is taken (the power of two choices), since several edges pick
// without seeing each other. Slots of a zone's servers are divided among the zone's edges by rendezvous hashing, so that
// edges rarely meet on a server while there is room.
package picker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// loadReportDecay is the time constant by which a server's word on its load loses its weight.
	loadReportDecay = 300 * time.Millisecond
	// minSuspicion and maxSuspicion are how long an upstream is avoided after failures; it doubles with each.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// maxSuspicionShift keeps the doubling from overflowing.
	maxSuspicionShift = 4
	// toleratedFailures is how many attempts in a row may fail that arrived at the server, before it is avoided.
	toleratedFailures = 1
	// recentResponse is how old a response may be that is believed more than heartbeats that stopped.
	recentResponse = 2 * time.Second
	// lastResortWeight is that of an upstream that is avoided or in another zone, where nothing better is left.
	lastResortWeight = 0.01
	// maxTableLoad is up to which load, in shares of its slots, a server of the weight table takes more requests.
	maxTableLoad = 1.5
	// maxRequestsPerSlot is up to how many requests a slot an edge sends as a last resort.
	maxRequestsPerSlot = 2
)

// Upstream leads to one incarnation of a server.
type Upstream struct {
	ID, Service, Zone string
	Capacity          int // slots of the server; at least 1
	Attachment        any // what the owner keeps with it

	ownSlots int  // of its slots, those that are this edge's
	timedOut bool // its heartbeats stopped
	removed  bool
	tableWeight
	loadEstimate
	health
	stats Stats
}

// tableWeight is what the weight tables say of an upstream.
type tableWeight struct {
	weight    float64
	hasWeight bool // any table named it
}

// loadEstimate is how busy a server is thought to be.
type loadEstimate struct {
	inFlight       int     // requests from this edge
	othersLoad     float64 // requests of others, by the server's last word
	loadReportedAt time.Duration
}

// health is how the last attempts at a server went.
type health struct {
	consecutiveFailures int
	suspectUntil        time.Duration // it is avoided
	lastResponse        time.Duration
}

// Stats counts attempts at an upstream.
type Stats struct {
	Attempts, Failed uint32
	TotalTime        float64 // seconds, over all successful attempts
}

// Removed reports whether the upstream's server is draining or gone: nothing new may be sent.
func (u *Upstream) Removed() bool { return u.removed }

// HasWeight reports whether any weight table named the upstream.
func (u *Upstream) HasWeight() bool { return u.hasWeight }

// InFlight is how many requests of this edge are at the server.
func (u *Upstream) InFlight() int { return u.inFlight }

// Picker holds the upstreams of one edge.
type Picker struct {
	zone       string
	random     func() float64 // from [0, 1)
	upstreams  map[string]*Upstream
	services   map[string][]*Upstream // sorted by id
	zoneEdges  []uint32               // hashes of the zone's edges
	self       uint32                 // hash of this edge
	candidates []candidate            // of the present pass; kept to save allocations
}

type candidate struct {
	upstream *Upstream
	weight   float64
	load     float64
}

// New makes a picker for an edge of a zone. Random draws from [0, 1).
func New(zone string, random func() float64) *Picker {
	return &Picker{zone: zone, random: random, upstreams: map[string]*Upstream{}, services: map[string][]*Upstream{}}
}

// Add adds an upstream. Until a weight table names it its weight is 1.
func (p *Picker) Add(u *Upstream) {
	u.weight, u.Capacity = 1, max(1, u.Capacity)
	p.assignSlotsOf(u)
	p.upstreams[u.ID] = u
	all := p.services[u.Service]
	at, _ := slices.BinarySearchFunc(all, u, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	p.services[u.Service] = slices.Insert(slices.Clip(all), at, u)
}

// AssignSlots divides the slots of the zone's servers among the zone's edges, this one among them: by rendezvous hashing, so
// that all edges come to the same division without a message, and few slots change hands when an edge comes or goes.
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
	own, rank := rendezvousScore(u.ID, p.self), 0
	for _, edge := range p.zoneEdges {
		if s := rendezvousScore(u.ID, edge); s > own || s == own && edge > p.self {
			rank++
		}
	}
	u.ownSlots = u.Capacity / len(p.zoneEdges)
	if rank < u.Capacity%len(p.zoneEdges) {
		u.ownSlots++
	}
}

func rendezvousScore(server string, edge uint32) uint64 {
	return xxh3.HashStringSeed(server, uint64(edge))
}

// OwnSlots is how many slots of a service are this edge's.
func (p *Picker) OwnSlots(service string) (slots int) {
	for _, u := range p.services[service] {
		slots += u.ownSlots
	}
	return slots
}

// Get finds an upstream by its server's id; nil: there is none.
func (p *Picker) Get(id string) *Upstream { return p.upstreams[id] }

// Len is how many upstreams there are.
func (p *Picker) Len() int { return len(p.upstreams) }

// Serves reports whether any upstream leads to a service.
func (p *Picker) Serves(service string) bool { return len(p.services[service]) > 0 }

// All gives the upstreams in no order.
func (p *Picker) All() []*Upstream {
	all := make([]*Upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		all = append(all, u)
	}
	return all
}

// Upstreams are those of a service, sorted by id. The slice must not be changed.
func (p *Picker) Upstreams(service string) []*Upstream { return p.services[service] }

// Remove takes out the upstream of a server that drains or is gone, and gives it; nil: there is none. What is in flight on it
// goes on.
func (p *Picker) Remove(id string) *Upstream {
	u := p.upstreams[id]
	if u == nil {
		return nil
	}
	u.removed = true
	delete(p.upstreams, id)
	p.services[u.Service] = slices.DeleteFunc(p.services[u.Service], func(other *Upstream) bool { return other == u })
	if len(p.services[u.Service]) == 0 {
		delete(p.services, u.Service)
	}
	return u
}

// SetTimedOut notes whether a server's heartbeats stopped.
func (p *Picker) SetTimedOut(id string, timedOut bool) {
	if u := p.upstreams[id]; u != nil {
		u.timedOut = timedOut
	}
}

// SetWeight sets a server's weight in the table of its service; 0 takes it out of the table.
func (p *Picker) SetWeight(id string, weight float64) {
	if u := p.upstreams[id]; u != nil {
		u.weight, u.hasWeight = weight, true
	}
}

// ClearWeights forgets a service's weight table: those of another one follow. Servers that it doesn't name are as on the
// first day, since on a large site a table names a part of the servers.
func (p *Picker) ClearWeights(service string) {
	for _, u := range p.services[service] {
		u.weight, u.hasWeight = 1, false
	}
}

// load is how full the server is thought to be, in shares of its slots.
func (u *Upstream) load(now time.Duration) float64 {
	others := u.othersLoad * math.Exp(-float64(now-u.loadReportedAt)/float64(loadReportDecay))
	return (float64(u.inFlight) + others) / float64(u.Capacity)
}

// available reports whether the upstream takes another request now: it has a slot, is not avoided, and its heartbeats go on
// or it answered lately.
func (u *Upstream) available(now time.Duration) bool {
	alive := !u.timedOut || now-u.lastResponse <= recentResponse
	return u.inFlight < u.Capacity && now >= u.suspectUntil && alive
}

// inTable reports whether the weight table gives the upstream requests, or no table names it.
func (u *Upstream) inTable() bool { return !u.hasWeight || u.weight > 0 }

// pass is a round of a pick. Each considers more upstreams than the one before.
type pass uint8

const (
	ownSlots      pass = iota // slots that are this edge's: no other edge comes there while there is room
	tableInZone               // by the table, in the own zone while there is room, since crossing zones has a price
	tableAnyZone              // by the table, wherever
	spareCapacity             // any server with room
	lastResort                // nothing better is left: servers that are avoided, too, and some that are full
	passes
)

// eligible reports whether an upstream is considered in a pass, and with what weight.
func (p *Picker) eligible(u *Upstream, in pass, now time.Duration, load float64) (weight float64, ok bool) {
	inZone := u.Zone == p.zone
	switch in {
	case ownSlots:
		return u.weight, u.inFlight < u.ownSlots && u.available(now) && u.inTable() && load < 1
	case tableInZone:
		return u.weight, inZone && u.available(now) && u.inTable() && load < 1
	case tableAnyZone:
		named := u.hasWeight && u.weight > 0 || !u.hasWeight && inZone
		return u.weight, u.available(now) && named && load < maxTableLoad
	case spareCapacity:
		return 1, u.available(now) && load < 1
	default:
		if !inZone || now < u.suspectUntil {
			return lastResortWeight, u.inFlight < maxRequestsPerSlot*u.Capacity
		}
		return 1, u.inFlight < maxRequestsPerSlot*u.Capacity
	}
}

// Pick chooses an upstream of a service that is not excluded, and reserves a slot on it; nil: none has room.
func (p *Picker) Pick(service string, excluded func(*Upstream) bool, now time.Duration) *Upstream {
	all := p.services[service]
	for in := range passes {
		total := p.findCandidates(all, excluded, in, now)
		if len(p.candidates) == 0 {
			continue
		}
		first, second := p.draw(total), p.draw(total)
		if second.load < first.load {
			first = second
		}
		p.Reserve(first.upstream)
		return first.upstream
	}
	return nil
}

// findCandidates collects the candidates of a pass, and gives the sum of their weights.
func (p *Picker) findCandidates(all []*Upstream, excluded func(*Upstream) bool, in pass, now time.Duration) (total float64) {
	p.candidates = p.candidates[:0]
	for _, u := range all {
		if excluded(u) {
			continue
		}
		load := u.load(now)
		if weight, ok := p.eligible(u, in, now, load); ok {
			p.candidates = append(p.candidates, candidate{u, weight, load})
			total += weight
		}
	}
	return total
}

func (p *Picker) draw(total float64) candidate {
	at := p.random() * total
	for _, c := range p.candidates {
		if at -= c.weight; at < 0 {
			return c
		}
	}
	return p.candidates[len(p.candidates)-1]
}

// Reserve takes a slot on an upstream, for a caller that chose it otherwise.
func (p *Picker) Reserve(u *Upstream) { u.inFlight++ }

// ReportLoad takes a server's word on its load: requests that run and that wait there.
func (p *Picker) ReportLoad(u *Upstream, running, waiting float64, now time.Duration) {
	u.othersLoad, u.loadReportedAt = max(0, running+waiting-float64(u.inFlight)), now
}

// Succeeded gives a slot back after an attempt that was answered well.
func (p *Picker) Succeeded(u *Upstream, took, now time.Duration) {
	u.inFlight--
	u.health = health{lastResponse: now}
	u.stats.TotalTime += took.Seconds()
	u.stats.Attempts++
}

// Failed gives a slot back after an attempt that arrived at the server and was not answered well. The server is avoided
// after some of them in a row.
func (p *Picker) Failed(u *Upstream, now time.Duration) {
	u.inFlight--
	u.stats.Attempts++
	u.stats.Failed++
	if u.consecutiveFailures++; u.consecutiveFailures > toleratedFailures {
		u.avoid(now)
	}
}

// Cancelled gives a slot back after an attempt that was broken off because its client left. That says nothing of the
// server's health. Took is a time that counts all the same, since it is known to be a long one; 0: none does.
func (p *Picker) Cancelled(u *Upstream, took time.Duration) {
	u.inFlight--
	if took > 0 {
		u.stats.TotalTime += took.Seconds()
		u.stats.Attempts++
	}
}

// Unreachable gives a slot back after an attempt that didn't arrive at the server, which is avoided for a while.
func (p *Picker) Unreachable(u *Upstream, now time.Duration) {
	u.inFlight--
	u.consecutiveFailures++
	u.avoid(now)
}

func (u *Upstream) avoid(now time.Duration) {
	doublings := min(maxSuspicionShift, u.consecutiveFailures-1)
	u.suspectUntil = now + min(maxSuspicion, minSuspicion<<doublings)
}

// TakeStats gives what was counted at an upstream since the last call.
func (p *Picker) TakeStats(u *Upstream) Stats {
	s := u.stats
	u.stats = Stats{}
	return s
}
