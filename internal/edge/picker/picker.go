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
	reportFades  = 300 * time.Millisecond // of a server's word on its load
	doubtFirst   = 500 * time.Millisecond
	doubtMost    = 4 * time.Second
	answeredNear = 2 * time.Second // an answer that lately is worth more than beats that stopped
	lastResort   = 0.01            // weight of a server in doubt or far away, where nothing better is left
	crowded      = 1.5             // of its slots, up to which a server of the table takes more
)

// Upstream leads to one life of a server.
type Upstream struct {
	ID, Service, Zone string
	Capacity          int
	Host              any // what the owner keeps with it

	own      int  // of its slots, those that are dealt to this edge
	silent   bool // its beats stopped
	gone     bool
	weight   float64
	weighed  bool
	out      int     // requests that are out from here
	others   float64 // requests of others, by the server's last word
	toldAt   time.Duration
	fails    int
	until    time.Duration // in doubt
	answered time.Duration // last answer
	met      Met
}

// Met counts what was met at an upstream.
type Met struct {
	Tries, Failed uint32
	Time          float64 // seconds, over all answers
}

// Gone tells whether the upstream's server is leaving or gone: nothing new may be sent.
func (u *Upstream) Gone() bool { return u.gone }

// Weighed tells whether any table spoke of the upstream.
func (u *Upstream) Weighed() bool { return u.weighed }

// Out is how many requests are out on the upstream.
func (u *Upstream) Out() int { return u.out }

// Picker holds the upstreams of one edge.
type Picker struct {
	zone      string
	chance    func() float64 // from 0 to 1
	upstreams map[string]*Upstream
	services  map[string][]*Upstream // by id
	fit       []candidate            // kept between picks
	roster    []uint32               // edges of the zone
	self      uint32
}

type candidate struct {
	l      *Upstream
	weight float64
	load   float64
}

// New makes a picker for an edge of a zone.
func New(zone string, chance func() float64) *Picker {
	return &Picker{zone: zone, chance: chance, upstreams: map[string]*Upstream{}, services: map[string][]*Upstream{}}
}

// Add takes a new upstream in.
func (p *Picker) Add(u *Upstream) {
	u.weight, u.Capacity = 1, max(1, u.Capacity)
	p.deal(u)
	p.upstreams[u.ID] = u
	all := p.services[u.Service]
	at, _ := slices.BinarySearchFunc(all, u, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	p.services[u.Service] = slices.Insert(slices.Clip(all), at, u)
}

// Deal takes the edges of the zone, this one among them, and deals the slots of the zone's servers to them: by rendezvous
// hashing, so that all edges come to the same without a word, and few slots change hands when an edge comes or goes.
func (p *Picker) Deal(roster []uint32, self uint32) {
	p.roster, p.self = roster, self
	for _, u := range p.upstreams {
		p.deal(u)
	}
}

func (p *Picker) deal(u *Upstream) {
	if u.own = 0; u.Zone != p.zone || !slices.Contains(p.roster, p.self) {
		return
	}
	mine, rank := score(u.ID, p.self), 0
	for _, e := range p.roster {
		if s := score(u.ID, e); s > mine || s == mine && e > p.self {
			rank++
		}
	}
	u.own = u.Capacity / len(p.roster)
	if rank < u.Capacity%len(p.roster) {
		u.own++
	}
}

func score(server string, edge uint32) uint64 { return xxh3.HashStringSeed(server, uint64(edge)) }

// Dealt is how many slots of a service are this edge's.
func (p *Picker) Dealt(service string) (own int) {
	for _, u := range p.services[service] {
		own += u.own
	}
	return own
}

// Upstream finds an upstream by its server's id.
func (p *Picker) Upstream(id string) *Upstream { return p.upstreams[id] }

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

// End takes an upstream out: its server is leaving or gone. What is out on it goes on.
func (p *Picker) End(id string) *Upstream {
	u := p.upstreams[id]
	if u == nil {
		return nil
	}
	u.gone = true
	delete(p.upstreams, id)
	if p.services[u.Service] = slices.DeleteFunc(p.services[u.Service], func(o *Upstream) bool { return o == u }); len(p.services[u.Service]) == 0 {
		delete(p.services, u.Service)
	}
	return u
}

// Silent notes whether a server's beats stopped.
func (p *Picker) Silent(id string, silent bool) {
	if u := p.upstreams[id]; u != nil {
		u.silent = silent
	}
}

// Weigh takes a changed upstream of the tables.
func (p *Picker) Weigh(id string, weight float64) {
	if u := p.upstreams[id]; u != nil {
		u.weight, u.weighed = weight, true
	}
}

// Unweigh forgets a service's table: the upstreams of another one follow. Those that it doesn't name are as on the first day,
// since on a large site a table names a part of the servers.
func (p *Picker) Unweigh(service string) {
	for _, u := range p.services[service] {
		u.weight, u.weighed = 1, false
	}
}

// load is how full the server is thought to be.
func (u *Upstream) load(now time.Duration) float64 {
	others := u.others * math.Exp(-float64(now-u.toldAt)/float64(reportFades))
	return (float64(u.out) + others) / float64(u.Capacity)
}

// open tells whether the upstream takes another request now.
func (u *Upstream) open(now time.Duration) bool {
	return u.out < u.Capacity && now >= u.until && !(u.silent && now-u.answered > answeredNear)
}

// The rounds of a pick: each looks further than the one before.
const (
	dealt     = iota // slots that are this edge's: nobody else comes there while there is room
	byTable          // by the table, at home while there is room, since to cross zones has a price
	byTableAt        // by the table, wherever
	elsewhere        // room elsewhere
	anything         // nothing better is left: those in doubt, too, and some that are full
	rounds
)

// fits tells whether an upstream is for a round, and with what weight.
func (p *Picker) fits(u *Upstream, round int, now time.Duration, load float64) (weight float64, ok bool) {
	home := u.Zone == p.zone
	switch round {
	case dealt:
		return u.weight, u.out < u.own && u.open(now) && (!u.weighed || u.weight > 0) && load < 1
	case byTable:
		return u.weight, home && u.open(now) && (!u.weighed || u.weight > 0) && load < 1
	case byTableAt:
		return u.weight, u.open(now) && (u.weighed && u.weight > 0 || !u.weighed && home) && load < crowded
	case elsewhere:
		return 1, u.open(now) && load < 1
	default:
		if !home || now < u.until {
			return lastResort, u.out < 2*u.Capacity
		}
		return 1, u.out < 2*u.Capacity
	}
}

// Pick chooses an upstream and books a place on it. The tables say in what shares; of two drawn so, the less loaded one is
// taken. Where the table's servers have no room, others may help out. It gives nil where nobody has room.
func (p *Picker) Pick(service string, not func(*Upstream) bool, now time.Duration) *Upstream {
	all := p.services[service]
	for round := range rounds {
		p.fit = p.fit[:0]
		sum := 0.0
		for _, u := range all {
			if not(u) {
				continue
			}
			load := u.load(now)
			if weight, ok := p.fits(u, round, now, load); ok {
				p.fit = append(p.fit, candidate{u, weight, load})
				sum += weight
			}
		}
		if len(p.fit) == 0 {
			continue
		}
		a, b := p.draw(sum), p.draw(sum)
		if b.load < a.load {
			a = b
		}
		p.Book(a.l)
		return a.l
	}
	return nil
}

// Book takes a place on an upstream, for one who chose it otherwise.
func (p *Picker) Book(u *Upstream) { u.out++ }

// Lines are those to a service, by id. They stay the picker's.
func (p *Picker) Upstreams(service string) []*Upstream { return p.services[service] }

func (p *Picker) draw(sum float64) candidate {
	at := p.chance() * sum
	for _, c := range p.fit {
		if at -= c.weight; at < 0 {
			return c
		}
	}
	return p.fit[len(p.fit)-1]
}

// Told takes a server's word on its load.
func (p *Picker) Told(u *Upstream, running, waiting float64, now time.Duration) {
	u.others, u.toldAt = max(0, running+waiting-float64(u.out)), now
}

// Done gives a booked place back and counts how it went: whether the request arrived at the server, and whether the
// server answered it well.
func (p *Picker) Done(u *Upstream, took time.Duration, arrived, answered bool, now time.Duration) {
	u.out--
	if answered {
		u.fails, u.until, u.answered = 0, 0, now
		u.met.Time += took.Seconds()
		u.met.Tries++
		return
	}
	if arrived {
		u.met.Tries++
		u.met.Failed++
	}
	u.fails++
	if u.fails >= 2 || !arrived {
		u.until = now + min(doubtMost, doubtFirst<<min(4, u.fails-1))
	}
}

// Met hands out what was met on an upstream since it was last asked.
func (p *Picker) Met(u *Upstream) Met {
	m := u.met
	u.met = Met{}
	return m
}
