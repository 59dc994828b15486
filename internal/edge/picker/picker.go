// Package picker picks a server for each request at an edge: it knows the lines to servers, how full and how sound each is
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

// Line leads to one life of a server.
type Line struct {
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

// Met counts what was met at a line.
type Met struct {
	Tries, Failed uint32
	Time          float64 // seconds, over all answers
}

// Gone tells whether the line's server is leaving or gone: nothing new may be sent.
func (l *Line) Gone() bool { return l.gone }

// Weighed tells whether any table spoke of the line.
func (l *Line) Weighed() bool { return l.weighed }

// Out is how many requests are out on the line.
func (l *Line) Out() int { return l.out }

// Finder holds the lines of one edge.
type Finder struct {
	zone     string
	chance   func() float64 // from 0 to 1
	lines    map[string]*Line
	services map[string][]*Line // by id
	fit      []candidate        // kept between picks
	roster   []uint32           // edges of the zone
	self     uint32
}

type candidate struct {
	l      *Line
	weight float64
	load   float64
}

// New makes a picker for an edge of a zone.
func New(zone string, chance func() float64) *Finder {
	return &Finder{zone: zone, chance: chance, lines: map[string]*Line{}, services: map[string][]*Line{}}
}

// Add takes a new line in.
func (f *Finder) Add(l *Line) {
	l.weight, l.Capacity = 1, max(1, l.Capacity)
	f.deal(l)
	f.lines[l.ID] = l
	all := f.services[l.Service]
	at, _ := slices.BinarySearchFunc(all, l, func(a, b *Line) int { return cmp.Compare(a.ID, b.ID) })
	f.services[l.Service] = slices.Insert(slices.Clip(all), at, l)
}

// Deal takes the edges of the zone, this one among them, and deals the slots of the zone's servers to them: by rendezvous
// hashing, so that all edges come to the same without a word, and few slots change hands when an edge comes or goes.
func (f *Finder) Deal(roster []uint32, self uint32) {
	f.roster, f.self = roster, self
	for _, l := range f.lines {
		f.deal(l)
	}
}

func (f *Finder) deal(l *Line) {
	if l.own = 0; l.Zone != f.zone || !slices.Contains(f.roster, f.self) {
		return
	}
	mine, rank := score(l.ID, f.self), 0
	for _, e := range f.roster {
		if s := score(l.ID, e); s > mine || s == mine && e > f.self {
			rank++
		}
	}
	l.own = l.Capacity / len(f.roster)
	if rank < l.Capacity%len(f.roster) {
		l.own++
	}
}

func score(server string, edge uint32) uint64 { return xxh3.HashStringSeed(server, uint64(edge)) }

// Dealt is how many slots of a service are this edge's.
func (f *Finder) Dealt(service string) (own int) {
	for _, l := range f.services[service] {
		own += l.own
	}
	return own
}

// Line finds a line by its server's id.
func (f *Finder) Line(id string) *Line { return f.lines[id] }

// Len is how many lines there are.
func (f *Finder) Len() int { return len(f.lines) }

// Serves tells whether any line leads to a service.
func (f *Finder) Serves(service string) bool { return len(f.services[service]) > 0 }

// All gives the lines in no order.
func (f *Finder) All() []*Line {
	all := make([]*Line, 0, len(f.lines))
	for _, l := range f.lines {
		all = append(all, l)
	}
	return all
}

// End takes a line out: its server is leaving or gone. What is out on it goes on.
func (f *Finder) End(id string) *Line {
	l := f.lines[id]
	if l == nil {
		return nil
	}
	l.gone = true
	delete(f.lines, id)
	if f.services[l.Service] = slices.DeleteFunc(f.services[l.Service], func(o *Line) bool { return o == l }); len(f.services[l.Service]) == 0 {
		delete(f.services, l.Service)
	}
	return l
}

// Silent notes whether a server's beats stopped.
func (f *Finder) Silent(id string, silent bool) {
	if l := f.lines[id]; l != nil {
		l.silent = silent
	}
}

// Weigh takes a changed line of the tables.
func (f *Finder) Weigh(id string, weight float64) {
	if l := f.lines[id]; l != nil {
		l.weight, l.weighed = weight, true
	}
}

// Unweigh forgets a service's table: the lines of another one follow. Those that it doesn't name are as on the first day,
// since on a large site a table names a part of the servers.
func (f *Finder) Unweigh(service string) {
	for _, l := range f.services[service] {
		l.weight, l.weighed = 1, false
	}
}

// load is how full the server is thought to be.
func (l *Line) load(now time.Duration) float64 {
	others := l.others * math.Exp(-float64(now-l.toldAt)/float64(reportFades))
	return (float64(l.out) + others) / float64(l.Capacity)
}

// open tells whether the line takes another request now.
func (l *Line) open(now time.Duration) bool {
	return l.out < l.Capacity && now >= l.until && !(l.silent && now-l.answered > answeredNear)
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

// fits tells whether a line is for a round, and with what weight.
func (f *Finder) fits(l *Line, round int, now time.Duration, load float64) (weight float64, ok bool) {
	home := l.Zone == f.zone
	switch round {
	case dealt:
		return l.weight, l.out < l.own && l.open(now) && (!l.weighed || l.weight > 0) && load < 1
	case byTable:
		return l.weight, home && l.open(now) && (!l.weighed || l.weight > 0) && load < 1
	case byTableAt:
		return l.weight, l.open(now) && (l.weighed && l.weight > 0 || !l.weighed && home) && load < crowded
	case elsewhere:
		return 1, l.open(now) && load < 1
	default:
		if !home || now < l.until {
			return lastResort, l.out < 2*l.Capacity
		}
		return 1, l.out < 2*l.Capacity
	}
}

// Pick chooses a line and books a place on it. The tables say in what shares; of two drawn so, the less loaded one is
// taken. Where the table's servers have no room, others may help out. It gives nil where nobody has room.
func (f *Finder) Pick(service string, not func(*Line) bool, now time.Duration) *Line {
	all := f.services[service]
	for round := range rounds {
		f.fit = f.fit[:0]
		sum := 0.0
		for _, l := range all {
			if not(l) {
				continue
			}
			load := l.load(now)
			if weight, ok := f.fits(l, round, now, load); ok {
				f.fit = append(f.fit, candidate{l, weight, load})
				sum += weight
			}
		}
		if len(f.fit) == 0 {
			continue
		}
		a, b := f.draw(sum), f.draw(sum)
		if b.load < a.load {
			a = b
		}
		f.Book(a.l)
		return a.l
	}
	return nil
}

// Book takes a place on a line, for one who chose it otherwise.
func (f *Finder) Book(l *Line) { l.out++ }

// Lines are those to a service, by id. They stay the picker's.
func (f *Finder) Lines(service string) []*Line { return f.services[service] }

func (f *Finder) draw(sum float64) candidate {
	at := f.chance() * sum
	for _, c := range f.fit {
		if at -= c.weight; at < 0 {
			return c
		}
	}
	return f.fit[len(f.fit)-1]
}

// Told takes a server's word on its load.
func (f *Finder) Told(l *Line, running, waiting float64, now time.Duration) {
	l.others, l.toldAt = max(0, running+waiting-float64(l.out)), now
}

// Done gives a booked place back and counts how it went: whether the request arrived at the server, and whether the
// server answered it well.
func (f *Finder) Done(l *Line, took time.Duration, arrived, answered bool, now time.Duration) {
	l.out--
	if answered {
		l.fails, l.until, l.answered = 0, 0, now
		l.met.Time += took.Seconds()
		l.met.Tries++
		return
	}
	if arrived {
		l.met.Tries++
		l.met.Failed++
	}
	l.fails++
	if l.fails >= 2 || !arrived {
		l.until = now + min(doubtMost, doubtFirst<<min(4, l.fails-1))
	}
}

// Met hands out what was met on a line since it was last asked.
func (f *Finder) Met(l *Line) Met {
	m := l.met
	l.met = Met{}
	return m
}
