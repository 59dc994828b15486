// Package picker selects a server for each request at an edge. It tracks the upstreams, their estimated load and health, and
// the weights that the controllers assigned. It does no I/O: events, time and randomness are passed in. The owner manages the
// connections and serialises all calls with a lock.
//
// A pick goes through passes, each of which considers more upstreams than the one before (see pass). Within a pass two
// candidates are drawn by weight and the less loaded one is chosen (the power of two choices), since several edges pick
// without seeing each other's requests. The slots of a zone's servers are divided among the zone's edges by rendezvous
// hashing, so that edges rarely use the same slots while there is free capacity.
package picker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// loadReportDecay is the time constant with which the load that a server reported decays exponentially.
	loadReportDecay = 300 * time.Millisecond
	// minSuspicion and maxSuspicion bound how long an upstream is suspected after failures; the time doubles with each failure.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 4 * time.Second
	// maxSuspicionShift limits the number of doublings, so that the duration can't overflow.
	maxSuspicionShift = 4
	// toleratedFailures is the number of consecutive failed attempts that reached the server before it is suspected.
	toleratedFailures = 1
	// recentResponse is the maximum age of a response that counts as a sign of life although heartbeats stopped.
	recentResponse = 2 * time.Second
	// lastResortWeight is the weight, in the last resort pass, of an upstream that is suspected or in another zone.
	lastResortWeight = 0.01
	// maxTableLoad is the load, as a fraction of its slots, below which a server of the weight table receives more requests.
	maxTableLoad = 1.5
	// maxRequestsPerSlot is the number of requests per slot up to which an edge sends more as a last resort.
	maxRequestsPerSlot = 2
)

// Upstream is one incarnation of a server, as seen by an edge.
type Upstream struct {
	ID, Service, Zone string
	Capacity          int // slots of the server; Add raises it to at least 1
	Attachment        any // data of the owner; the picker doesn't use it

	ownSlots int  // slots of the server that are assigned to this edge
	timedOut bool // its heartbeats stopped
	removed  bool
	tableWeight
	loadEstimate
	health
	stats Stats
}

// tableWeight is the weight that the weight tables assign to an upstream.
type tableWeight struct {
	weight    float64
	hasWeight bool // a table contains the upstream
}

// loadEstimate is the estimated load of a server.
type loadEstimate struct {
	inFlight       int     // requests from this edge
	othersLoad     float64 // requests of other edges, from the server's last load report
	loadReportedAt time.Duration
}

// health is the result of the last attempts at a server.
type health struct {
	consecutiveFailures int
	suspectUntil        time.Duration // the server is suspected until then
	lastResponse        time.Duration
}

// Stats contains counts of the attempts at an upstream.
type Stats struct {
	Attempts, Failed uint32
	TotalTime        float64 // seconds, over all successful attempts and those cancelled ones that count
}

// Removed reports whether the upstream's server is draining or gone, so that no new request may be sent to it.
func (u *Upstream) Removed() bool { return u.removed }

// HasWeight reports whether a weight table contains the upstream.
func (u *Upstream) HasWeight() bool { return u.hasWeight }

// InFlight returns the number of requests of this edge at the server.
func (u *Upstream) InFlight() int { return u.inFlight }

// Picker holds the upstreams of one edge. It is not safe for concurrent use.
type Picker struct {
	zone       string
	random     func() float64 // from [0, 1)
	upstreams  map[string]*Upstream
	services   map[string][]*Upstream // sorted by id
	zoneEdges  []uint32               // hashes of the zone's edges
	self       uint32                 // hash of this edge
	candidates []candidate            // of the current pass; reused to save allocations
}

type candidate struct {
	upstream *Upstream
	weight   float64
	load     float64
}

// New returns a picker for an edge of a zone. random returns numbers from [0, 1).
func New(zone string, random func() float64) *Picker {
	return &Picker{zone: zone, random: random, upstreams: map[string]*Upstream{}, services: map[string][]*Upstream{}}
}

// Add adds an upstream, with weight 1 until a weight table contains it.
func (p *Picker) Add(u *Upstream) {
	u.weight, u.Capacity = 1, max(1, u.Capacity)
	p.assignSlotsOf(u)
	p.upstreams[u.ID] = u
	all := p.services[u.Service]
	at, _ := slices.BinarySearchFunc(all, u, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	p.services[u.Service] = slices.Insert(slices.Clip(all), at, u)
}

// AssignSlots divides the slots of the zone's servers among the zone's edges, which include this one. Rendezvous hashing gives
// all edges the same division without communication, and few slots are reassigned when an edge joins or leaves.
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

// OwnSlots returns the number of slots of a service that are assigned to this edge.
func (p *Picker) OwnSlots(service string) (slots int) {
	for _, u := range p.services[service] {
		slots += u.ownSlots
	}
	return slots
}

// Get returns the upstream with a server's ID, or nil if there is none.
func (p *Picker) Get(id string) *Upstream { return p.upstreams[id] }

// Len returns the number of upstreams.
func (p *Picker) Len() int { return len(p.upstreams) }

// Serves reports whether there is an upstream for a service.
func (p *Picker) Serves(service string) bool { return len(p.services[service]) > 0 }

// All returns the upstreams in no particular order.
func (p *Picker) All() []*Upstream {
	all := make([]*Upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		all = append(all, u)
	}
	return all
}

// Upstreams returns the upstreams of a service, sorted by ID. The slice must not be modified.
func (p *Picker) Upstreams(service string) []*Upstream { return p.services[service] }

// Remove removes and returns the upstream of a server that is draining or gone, or returns nil if there is none. Requests in
// flight on it continue.
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

// SetTimedOut records whether a server's heartbeats stopped.
func (p *Picker) SetTimedOut(id string, timedOut bool) {
	if u := p.upstreams[id]; u != nil {
		u.timedOut = timedOut
	}
}

// SetWeight sets a server's weight in the table of its service; with 0 the table gives it no requests.
func (p *Picker) SetWeight(id string, weight float64) {
	if u := p.upstreams[id]; u != nil {
		u.weight, u.hasWeight = weight, true
	}
}

// ClearWeights drops the weight table of a service before the weights of another one are set. Servers that the new table
// doesn't contain have their initial weight again, since on a large site a table contains only part of the servers.
func (p *Picker) ClearWeights(service string) {
	for _, u := range p.services[service] {
		u.weight, u.hasWeight = 1, false
	}
}

// load returns the estimated load of the server as a fraction of its slots.
func (u *Upstream) load(now time.Duration) float64 {
	others := u.othersLoad * math.Exp(-float64(now-u.loadReportedAt)/float64(loadReportDecay))
	return (float64(u.inFlight) + others) / float64(u.Capacity)
}

// available reports whether the upstream can receive another request now: it has a free slot, is not suspected, and its
// heartbeats continue or it responded recently.
func (u *Upstream) available(now time.Duration) bool {
	alive := !u.timedOut || now-u.lastResponse <= recentResponse
	return u.inFlight < u.Capacity && now >= u.suspectUntil && alive
}

// inTable reports whether the weight table gives the upstream requests or no table contains it.
func (u *Upstream) inTable() bool { return !u.hasWeight || u.weight > 0 }

// pass is a round of a pick. Each pass considers more upstreams than the one before.
type pass uint8

const (
	ownSlots      pass = iota // slots assigned to this edge, which other edges don't use while they have free slots
	tableInZone               // servers of the weight table in the edge's zone with room, since crossing zones is costly
	tableAnyZone              // servers of the weight table in any zone
	spareCapacity             // any available server
	lastResort                // also servers that are suspected, and full ones up to maxRequestsPerSlot
	passes
)

// eligible reports whether an upstream is considered in a pass, and returns its weight there.
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

// Pick chooses an upstream of a service that is not excluded, and reserves a slot on it. It returns nil if none has room.
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

// findCandidates collects the candidates of a pass in p.candidates and returns the sum of their weights.
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

// Reserve takes a slot on an upstream that the caller chose without Pick.
func (p *Picker) Reserve(u *Upstream) { u.inFlight++ }

// ReportLoad records the load that a server reported: the requests that are running and waiting there.
func (p *Picker) ReportLoad(u *Upstream, running, waiting float64, now time.Duration) {
	u.othersLoad, u.loadReportedAt = max(0, running+waiting-float64(u.inFlight)), now
}

// Succeeded releases a slot after a successful attempt that took the given time.
func (p *Picker) Succeeded(u *Upstream, took, now time.Duration) {
	u.inFlight--
	u.health = health{lastResponse: now}
	u.stats.TotalTime += took.Seconds()
	u.stats.Attempts++
}

// Failed releases a slot after a failed attempt that reached the server. The server is suspected after more than
// toleratedFailures of them in a row.
func (p *Picker) Failed(u *Upstream, now time.Duration) {
	u.inFlight--
	u.stats.Attempts++
	u.stats.Failed++
	if u.consecutiveFailures++; u.consecutiveFailures > toleratedFailures {
		u.avoid(now)
	}
}

// Cancelled releases a slot after an attempt that was cancelled because its client disconnected, which is no evidence about
// the server's health. took is counted in the stats, since it is known to be long; with 0 the attempt is not counted.
func (p *Picker) Cancelled(u *Upstream, took time.Duration) {
	u.inFlight--
	if took > 0 {
		u.stats.TotalTime += took.Seconds()
		u.stats.Attempts++
	}
}

// Unreachable releases a slot after an attempt that didn't reach the server. The server is suspected at once.
func (p *Picker) Unreachable(u *Upstream, now time.Duration) {
	u.inFlight--
	u.consecutiveFailures++
	u.avoid(now)
}

func (u *Upstream) avoid(now time.Duration) {
	doublings := min(maxSuspicionShift, u.consecutiveFailures-1)
	u.suspectUntil = now + min(maxSuspicion, minSuspicion<<doublings)
}

// TakeStats returns the counts of an upstream since the last call and resets them.
func (p *Picker) TakeStats(u *Upstream) Stats {
	s := u.stats
	u.stats = Stats{}
	return s
}
